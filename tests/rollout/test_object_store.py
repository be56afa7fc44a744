"""The book of settings: its digests, tombstones, differences and bytes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import object_store as b
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.object_store import ObjectStore, ObjectStoreError, decode_key, encode_key, encode_object

KEYS = st.tuples(st.sampled_from(["partner", "plan", "p"]), st.text(max_size=3))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
LOGS = st.lists(CHANGES, max_size=12)


def made(log: list, upto: int | None = None) -> ObjectStore:
    book = ObjectStore()
    for number, changes in enumerate(log[:upto], 1):
        book.apply(ChangeSet(number, tuple(changes)))
    return book


def anew(book: ObjectStore) -> ObjectStore:
    """The same objects, put in at once."""
    other = ObjectStore()
    other.put([row for part in book.buckets for row in part.items()], book.version)
    return other


def parted(rows: list[b.Row]) -> dict[int, dict[str, bytes | None]]:
    return {b.bucket_of(t): {u: held for u, held in rows if b.bucket_of(u) == b.bucket_of(t)} for t, _ in rows}


@given(KEYS)
def test_a_key_comes_back_and_no_kind_runs_into_a_name(key: tuple[str, str]) -> None:
    assert decode_key(encode_key(key)) == key
    assert encode_key(("a", "bc")) != encode_key(("ab", "c"))


@settings(deadline=None)
@given(LOGS)
def test_digests_kept_up_are_those_made_anew(log: list) -> None:
    book = made(log)
    assert (book.digest(), book.digests()) == (anew(book).digest(), anew(book).digests())
    assert book.count == sum(1 for _ in book.objects())


@settings(deadline=None)
@given(LOGS, st.data())
def test_what_is_since_a_version_makes_this_one_of_it(log: list, data: st.DataObject) -> None:
    version = data.draw(st.integers(0, len(log)))
    old, new = made(log, version), made(log)
    rows = new.since(version)
    assert rows is not None
    old.put(rows, new.version)
    assert (old.digest(), dict(sorted(o[:2] for o in old.objects()))) == (
        new.digest(), dict(sorted(o[:2] for o in new.objects())))  # fmt: skip


@settings(deadline=None)
@given(LOGS)
def test_a_snapshot_comes_back_with_its_tombstones(log: list) -> None:
    book = made(log)
    back = ObjectStore.load(book.dump())
    assert (back.version, back.digest()) == (book.version, book.digest())
    assert (back.tombstones, back.tombstone_floor, back.count) == (book.tombstones, book.tombstone_floor, book.count)


def test_the_digest_tells_version_key_and_data_apart() -> None:
    one = made([[Change(("plan", "a"), b"1")]])
    digests = {one.digest()}
    digests.add(made([[Change(("plan", "a"), b"2")]]).digest())
    digests.add(made([[Change(("plan", "b"), b"1")]]).digest())
    digests.add(made([[Change(("plan", "a"), b"1")], [Change(("plan", "a"), b"1")]]).digest())
    late = ObjectStore()
    late.put(list(one.buckets[b.bucket_of(encode_key(("plan", "a")))].items()), 2)
    digests.add(late.digest())
    assert len(digests) == 5


def test_a_step_costs_the_parts_it_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    book = made([[Change(("partner", str(k)), b"x" * 20) for k in range(4_000)]])
    weighed = []
    real = b.content_digest
    monkeypatch.setattr(b, "content_digest", lambda text, held: (weighed.append(text), real(text, held))[1])
    before = list(book.sums)
    book.apply(ChangeSet(2, (Change(("partner", "7"), b"y"),)))
    assert weighed == [encode_key(("partner", "7"))] * 2  # the old and the new
    assert sum(s != t for s, t in zip(before, book.sums, strict=True)) == 1


def test_only_the_next_step_is_taken() -> None:
    book = made([[Change(("plan", "a"), b"1")]])
    for number in (1, 3):
        with pytest.raises(ObjectStoreError, match=f"step {number} does not follow on version 1"):
            book.apply(ChangeSet(number, (Change(("plan", "a"), b"2"),)))


def test_tombstones_are_bounded_and_below_their_floor_there_is_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(b, "MAX_TOMBSTONES", 2)
    names = [("partner", n) for n in "abc"]
    log = [[Change(k, b"1") for k in names], *([Change(k, None)] for k in names)]
    book = made(log)
    assert list(book.tombstones) == [encode_key(k) for k in names[1:]]
    assert book.tombstone_floor == 2
    assert book.since(1) is None
    assert book.since(2) == [(encode_key(("partner", "c")), None), (encode_key(("partner", "b")), None)]


def test_what_comes_again_has_no_tombstone() -> None:
    key = ("partner", "a")
    book = made([[Change(key, b"1")], [Change(key, None)], [Change(key, b"2")]])
    assert book.tombstones == {}
    assert book.since(2) == [(encode_key(key), encode_object(3, b"2"))]


def test_after_a_leap_nothing_is_told_of_what_was_not_seen() -> None:
    book = ObjectStore()
    book.put([(encode_key(("plan", "a")), encode_object(9, b"1"))], 12)
    assert book.since(11) is None
    assert book.since(12) == []


def test_sums_that_are_known_are_taken_as_they_are() -> None:
    first = [Change(("plan", n), b"1") for n in "abcd"]
    second = [Change(("plan", "a"), None), Change(("plan", "e"), b"")]
    new, old = made([first, second]), made([first])
    rows = new.since(1)
    assert rows is not None
    old.merge(parted(rows), 2, new.sums, new.count, new.size)
    assert (old.digest(), old.count) == (new.digest(), new.count) == (anew(old).digest(), 4)
    assert old.size == anew(old).size == sum(len(t) + len(held) for p in old.buckets for t, held in p.items())


def test_a_torn_or_altered_snapshot_is_refused_at_every_byte() -> None:
    data = made([[Change(("plan", n), b"1") for n in "abc"], [Change(("plan", "b"), None)]]).dump()
    for at in range(len(data)):
        with pytest.raises(ObjectStoreError):
            ObjectStore.load(data[:at])
        with pytest.raises(ObjectStoreError):
            ObjectStore.load(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
    with pytest.raises(ObjectStoreError):
        ObjectStore.load(data + b"\0")


def test_records_with_good_checksums_that_are_no_book_are_refused() -> None:
    row = [encode_key(("plan", "a")), encode_object(1, b"1")]
    for payload, why in [
        (["part", 0, 7], "wrong"),
        (["part", 400, [row]], "part"),
        (["part", b.bucket_of(row[0]), [[row[0], b"short"]]], "version"),
        (["part", 0, [["", b"x" * 9]]], "key"),
        (["end", b"x" * 16], "digest"),
        (["strange"], "strange"),
        (7, "wrong"),
    ]:
        with pytest.raises(ObjectStoreError, match=why):
            ObjectStore.load(b.MAGIC + b.encode_record(["book", 1, 0]) + b.encode_record(payload))


def test_parts_that_differ_are_found_by_their_digests() -> None:
    log = [[Change(("plan", n), b"1") for n in "abcdefgh"], [Change(("plan", "c"), b"2")]]
    new, old = made(log), made(log, 1)
    part = b.bucket_of(encode_key(("plan", "c")))
    assert new.differing_buckets(old.digests()) == [part]
    assert new.changed_since(part, 1) == [(encode_key(("plan", "c")), encode_object(2, b"2"))]
    with pytest.raises(ObjectStoreError):
        new.differing_buckets(b"short")
