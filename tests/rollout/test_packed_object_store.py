"""The packed object store: it equals a plain one, packed or not; its compaction and its memory per object."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Iterator
from hashlib import sha256
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.config import live
from rushweir.daemon.rollout_files import Files, Objects
from rushweir.rollout import packed_object_store, stored_settings
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.object_store import ObjectStore, Row, bucket_of, encode_key, encode_object, encode_record
from rushweir.rollout.packed_object_store import PackedObjectStore
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watcher import COMPACT_MS, Watcher
from tests.rollout.test_object_store import rows_by_bucket

KEYS = st.tuples(st.sampled_from(["partner", "plan"]), st.text(max_size=2))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
MADE = """\
ingress 0 1
zone a
listen 127.0.0.1:0
path /dispatch
state run
list {
    url ws://127.0.0.1:9/list
}
rollout {
    control 127.0.0.1:9
    key-file watch.key
}
"""
OBJECTS = 8_000


@pytest.fixture
def no_unpacked_rows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allow no unpacked rows, so that small stores are packed."""
    monkeypatch.setattr(packed_object_store, "MAX_UNPACKED_ROWS", 0)


def partners(count: int, version: int, data: bytes) -> list[Row]:
    return [(encode_key(("partner", str(n))), encode_object(version, data)) for n in range(count)]


def packed_buckets(store: ObjectStore) -> int:
    return sum(bool(bucket.page) for bucket in store.buckets)  # type: ignore[attr-defined]


def all_of(store: ObjectStore) -> tuple:
    rows = sorted(store.objects())
    names = [sorted(bucket) for bucket in store.buckets]
    digests = [sorted(store.object_digests(n)) for n in range(len(names))]
    totals = (store.version, store.count, store.size, store.tombstone_floor, store.tombstones)
    totals = (*totals, store.digest(), store.digests())
    return rows, names, digests, totals, [store.get(key) for key, _, _ in rows]


@settings(deadline=None, max_examples=60)
@given(st.lists(st.tuples(CHANGES, st.sampled_from(["", "compact", "pack", "load", "copy", "merge"])), max_size=10))
def test_packed_store_equals_a_plain_store_after_any_changes(actions: list) -> None:
    before = packed_object_store.MAX_UNPACKED_ROWS
    packed_object_store.MAX_UNPACKED_ROWS = 0
    try:
        plain, packed = ObjectStore(), PackedObjectStore()
        for version, (changes, action) in enumerate(actions, 1):
            change_set = ChangeSet(version, tuple(changes))
            plain.apply(change_set)
            if action == "merge":
                rows = plain.since(packed.version)
                if rows is not None:
                    packed.merge(rows_by_bucket(rows), plain.version, plain.sums, plain.count, plain.size)
                    plain.skip_to(version)  # as merge does: tombstones are not compared
            else:
                packed.apply(change_set)
            if action == "compact":
                while packed.compact():
                    pass
                assert packed.unpacked == 0
            elif action == "pack":
                for bucket in packed.buckets:
                    bucket.pack()  # type: ignore[attr-defined]
            elif action == "load":
                packed = PackedObjectStore.load(packed.dump(), {encode_key(c.key) for c in changes})
            elif action == "copy":
                packed = packed.copy()
            assert all_of(packed) == all_of(plain)
            assert all(bool(a) == bool(b) for a, b in zip(packed.buckets, plain.buckets, strict=True))
            assert all_of(ObjectStore.load(packed.dump())) == all_of(plain)
    finally:
        packed_object_store.MAX_UNPACKED_ROWS = before


@pytest.mark.usefixtures("no_unpacked_rows")
def test_copy_does_not_change_with_the_original() -> None:
    store = PackedObjectStore()
    store.put([(encode_key(("plan", str(n))), encode_object(1, b"1")) for n in range(40)], 1)
    while store.compact():
        pass
    other = store.copy()
    before = all_of(other)
    store.apply(ChangeSet(2, (Change(("plan", "7"), b"2"), Change(("plan", "8"), None))))
    assert all_of(other) == before != all_of(store)


def test_few_changes_stay_unpacked_and_many_are_packed_a_few_buckets_at_a_time() -> None:
    store = PackedObjectStore()
    store.put(partners(packed_object_store.MAX_UNPACKED_ROWS, 1, b"x" * 50), 1)
    assert not store.compact()
    assert all(not bucket.page for bucket in store.buckets)  # type: ignore[attr-defined]
    store.put(partners(4 * packed_object_store.MAX_UNPACKED_ROWS, 2, b"y" * 50), 2)
    rounds = 0
    while True:
        before = packed_buckets(store)
        has_more = store.compact()
        rounds += 1
        assert packed_buckets(store) - before <= packed_object_store.BUCKETS_PER_COMPACTION
        if not has_more:
            break
    assert store.unpacked <= packed_object_store.MAX_UNPACKED_ROWS
    assert 10 < rounds <= 64
    assert not store.compact()


def test_loading_a_log_decompresses_each_page_at_most_once(monkeypatch: pytest.MonkeyPatch) -> None:
    stored = StoredSettings()
    stored.store.put(partners(4_000, 1, b"x" * 50), 1)
    store, log = stored.rewrite().store.dump(), stored_settings.MAGIC
    for n in range(2_000):
        rows = [(encode_key(("partner", str(n * 7 % 4_000))), encode_object(2 + n, b"y" * 50))]
        stored.store.put(rows, 2 + n)
        log += encode_record(["rows", 1 + n, 2 + n, rows, stored.store.digest()])
    decompressed = []
    real = packed_object_store.decompress
    monkeypatch.setattr(packed_object_store, "decompress", lambda page: (decompressed.append(1), real(page))[1])
    loaded, problems, _ = stored_settings.load(store, log)
    assert (loaded.store.digest(), problems) == (stored.store.digest(), [])
    assert len(decompressed) <= 256


# --- memory --------------------------------------------------------------------------------------


def rows(count: int = OBJECTS) -> Iterator[tuple[tuple[str, str], bytes]]:
    yield ("class", "position"), b"aim 800ms\ndeadline 3s\nrepeat safe\n"
    for n in range(20):
        yield ("plan", f"plan-{n}"), b"rate 5/s\nburst 5\nslot %d\n" % n
    for n in range(count):
        digest = sha256(b"%d" % n).hexdigest().encode()
        yield ("partner", f"partner-{n:05d}"), b"plan plan-%d\ncredential sha256:%s\n" % (n % 20, digest)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A folder of an ingress that stored OBJECTS partners."""
    store = ObjectStore()
    store.put([(encode_key(key), encode_object(1 + len(data) % 3, data)) for key, data in rows()], 3)
    (tmp_path / "run").mkdir()
    (tmp_path / "run" / "rollout.book").write_bytes(store.dump())
    (tmp_path / "run" / "rollout.log").write_bytes(stored_settings.MAGIC)
    (tmp_path / "watch.key").write_bytes(b"w" * 32)
    (tmp_path / "one.conf").write_text(MADE)
    return tmp_path


def test_memory_per_object_of_store_settings_and_start_is_bounded(folder: Path) -> None:
    """Bytes are counted by tracemalloc."""
    live.assemble(folder / "one.conf", list(rows(1)), 1)  # tables of the grammar and models are made
    gc.collect()
    tracemalloc.start(1)
    try:
        stored, problems = Files(folder / "run").load()
        gc.collect()
        store_bytes = tracemalloc.get_traced_memory()[0]
        config = live.assemble(folder / "one.conf", Objects(stored.store), 3)
        gc.collect()
        both, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (problems, stored.store.count, len(config.file.partners)) == ([], OBJECTS + 21, OBJECTS)
    assert store_bytes < 100 * OBJECTS  # 77, with 1,002 unpacked rows; a plain store 237
    assert both - store_bytes < 340 * OBJECTS  # 280
    assert peak - both < 80 * OBJECTS  # 31; 319 with a list of all objects


def test_buckets_are_even_enough_for_their_bound() -> None:
    """A lookup decompresses one bucket."""
    counts = [0] * 256
    for key, _ in rows(25_300):
        counts[bucket_of(encode_key(key))] += 1
    assert max(counts) < 2 * 25_300 / 256


def test_watcher_compacts_its_store_in_turns_and_not_while_it_applies_changes() -> None:
    stored = StoredSettings()
    stored.store.put(partners(3 * packed_object_store.MAX_UNPACKED_ROWS, 1, b"x" * 50), 1)
    digest = stored.store.digest()
    core = Watcher(0.0, "i", ("c",), stored)
    core.buffer.freeze()
    core.advance(COMPACT_MS)
    assert not any(bucket.page for bucket in stored.store.buckets)  # type: ignore[attr-defined]
    core.refused(2 * COMPACT_MS, 1, ("", ""), "", "")
    now, rounds = 2 * COMPACT_MS, 0
    while stored.store.needs_compaction:
        now += COMPACT_MS
        assert core.next_at() <= now
        before = packed_buckets(stored.store)
        core.advance(now)
        assert packed_buckets(stored.store) - before <= packed_object_store.BUCKETS_PER_COMPACTION
        rounds += 1
    assert rounds > 10
    assert stored.store.digest() == digest
