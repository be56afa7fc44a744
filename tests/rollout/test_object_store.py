"""The object store: digests, tombstones, deltas and encoding."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import object_store
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.object_store import (
    MAGIC,
    ObjectStore,
    ObjectStoreError,
    Row,
    bucket_of,
    decode_key,
    encode_key,
    encode_object,
    encode_record,
)

KEYS = st.tuples(st.sampled_from(["partner", "plan", "p"]), st.text(max_size=3))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
LOGS = st.lists(CHANGES, max_size=12)


def store_of(changes_by_version: list, end: int | None = None) -> ObjectStore:
    store = ObjectStore()
    for number, changes in enumerate(changes_by_version[:end], 1):
        store.apply(ChangeSet(number, tuple(changes)))
    return store


def rebuilt(store: ObjectStore) -> ObjectStore:
    """Return a store of the same objects, put in at once."""
    other = ObjectStore()
    other.put([row for bucket in store.buckets for row in bucket.items()], store.version)
    return other


def rows_by_bucket(rows: list[Row]) -> dict[int, dict[str, bytes | None]]:
    return {bucket_of(t): {u: stored for u, stored in rows if bucket_of(u) == bucket_of(t)} for t, _ in rows}


@given(KEYS)
def test_encoded_key_is_decoded_and_distinguishes_kind_from_name(key: tuple[str, str]) -> None:
    assert decode_key(encode_key(key)) == key
    assert encode_key(("a", "bc")) != encode_key(("ab", "c"))


@settings(deadline=None)
@given(LOGS)
def test_incremental_digests_equal_those_of_a_rebuilt_store(changes_by_version: list) -> None:
    store = store_of(changes_by_version)
    assert (store.digest(), store.digests()) == (rebuilt(store).digest(), rebuilt(store).digests())
    assert store.count == sum(1 for _ in store.objects())


@settings(deadline=None)
@given(LOGS, st.data())
def test_rows_since_a_version_turn_it_into_the_present_one(changes_by_version: list, data: st.DataObject) -> None:
    version = data.draw(st.integers(0, len(changes_by_version)))
    old, new = store_of(changes_by_version, version), store_of(changes_by_version)
    rows = new.since(version)
    assert rows is not None
    old.put(rows, new.version)
    assert (old.digest(), dict(sorted(o[:2] for o in old.objects()))) == (
        new.digest(), dict(sorted(o[:2] for o in new.objects())))  # fmt: skip


@settings(deadline=None)
@given(LOGS)
def test_store_is_loaded_again_with_its_tombstones(changes_by_version: list) -> None:
    store = store_of(changes_by_version)
    loaded = ObjectStore.load(store.dump())
    assert (loaded.version, loaded.digest()) == (store.version, store.digest())
    assert (loaded.tombstones, loaded.tombstone_floor, loaded.count) == (
        store.tombstones,
        store.tombstone_floor,
        store.count,
    )


def test_digest_depends_on_version_key_and_data() -> None:
    one = store_of([[Change(("plan", "a"), b"1")]])
    digests = {one.digest()}
    digests.add(store_of([[Change(("plan", "a"), b"2")]]).digest())
    digests.add(store_of([[Change(("plan", "b"), b"1")]]).digest())
    digests.add(store_of([[Change(("plan", "a"), b"1")], [Change(("plan", "a"), b"1")]]).digest())
    skipped = ObjectStore()
    skipped.put(list(one.buckets[bucket_of(encode_key(("plan", "a")))].items()), 2)
    digests.add(skipped.digest())
    assert len(digests) == 5


def test_change_set_computes_digests_of_changed_objects_only(monkeypatch: pytest.MonkeyPatch) -> None:
    store = store_of([[Change(("partner", str(k)), b"x" * 20) for k in range(4_000)]])
    digested = []
    real = object_store.content_digest
    monkeypatch.setattr(
        object_store, "content_digest", lambda text, stored: (digested.append(text), real(text, stored))[1]
    )
    before = list(store.sums)
    store.apply(ChangeSet(2, (Change(("partner", "7"), b"y"),)))
    assert digested == [encode_key(("partner", "7"))] * 2  # the old and the new
    assert sum(s != t for s, t in zip(before, store.sums, strict=True)) == 1


def test_change_set_that_is_not_the_next_is_refused() -> None:
    store = store_of([[Change(("plan", "a"), b"1")]])
    for number in (1, 3):
        with pytest.raises(ObjectStoreError, match=f"change set {number} does not follow version 1"):
            store.apply(ChangeSet(number, (Change(("plan", "a"), b"2"),)))


def test_tombstones_are_bounded_and_since_has_no_answer_below_their_floor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(object_store, "MAX_TOMBSTONES", 2)
    names = [("partner", n) for n in "abc"]
    changes_by_version = [[Change(k, b"1") for k in names], *([Change(k, None)] for k in names)]
    store = store_of(changes_by_version)
    assert list(store.tombstones) == [encode_key(k) for k in names[1:]]
    assert store.tombstone_floor == 2
    assert store.since(1) is None
    assert store.since(2) == [(encode_key(("partner", "c")), None), (encode_key(("partner", "b")), None)]


def test_object_that_is_created_again_has_no_tombstone() -> None:
    key = ("partner", "a")
    store = store_of([[Change(key, b"1")], [Change(key, None)], [Change(key, b"2")]])
    assert store.tombstones == {}
    assert store.since(2) == [(encode_key(key), encode_object(3, b"2"))]


def test_since_has_no_answer_for_skipped_versions() -> None:
    store = ObjectStore()
    store.put([(encode_key(("plan", "a")), encode_object(9, b"1"))], 12)
    assert store.since(11) is None
    assert store.since(12) == []


def test_merge_takes_known_sums_count_and_size() -> None:
    first = [Change(("plan", n), b"1") for n in "abcd"]
    second = [Change(("plan", "a"), None), Change(("plan", "e"), b"")]
    new, old = store_of([first, second]), store_of([first])
    rows = new.since(1)
    assert rows is not None
    old.merge(rows_by_bucket(rows), 2, new.sums, new.count, new.size)
    assert (old.digest(), old.count) == (new.digest(), new.count) == (rebuilt(old).digest(), 4)
    assert (
        old.size
        == rebuilt(old).size
        == sum(len(t) + len(stored) for bucket in old.buckets for t, stored in bucket.items())
    )


def test_store_torn_or_altered_at_any_byte_is_refused() -> None:
    data = store_of([[Change(("plan", n), b"1") for n in "abc"], [Change(("plan", "b"), None)]]).dump()
    for at in range(len(data)):
        with pytest.raises(ObjectStoreError):
            ObjectStore.load(data[:at])
        with pytest.raises(ObjectStoreError):
            ObjectStore.load(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
    with pytest.raises(ObjectStoreError):
        ObjectStore.load(data + b"\0")


def test_malformed_records_with_valid_checksums_are_refused() -> None:
    row = [encode_key(("plan", "a")), encode_object(1, b"1")]
    for payload, why in [
        (["part", 0, 7], "invalid"),
        (["part", 400, [row]], "another bucket"),
        (["part", bucket_of(row[0]), [[row[0], b"short"]]], "version"),
        (["part", 0, [["", b"x" * 9]]], "key"),
        (["end", b"x" * 16], "digest"),
        (["strange"], "strange"),
        (7, "invalid"),
    ]:
        with pytest.raises(ObjectStoreError, match=why):
            ObjectStore.load(MAGIC + encode_record(["book", 1, 0]) + encode_record(payload))


def test_differing_buckets_are_found_by_their_digests() -> None:
    changes_by_version = [[Change(("plan", n), b"1") for n in "abcdefgh"], [Change(("plan", "c"), b"2")]]
    new, old = store_of(changes_by_version), store_of(changes_by_version, 1)
    bucket = bucket_of(encode_key(("plan", "c")))
    assert new.differing_buckets(old.digests()) == [bucket]
    assert new.changed_since(bucket, 1) == [(encode_key(("plan", "c")), encode_object(2, b"2"))]
    with pytest.raises(ObjectStoreError):
        new.differing_buckets(b"short")
