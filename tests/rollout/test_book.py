"""The book of settings: its digests, tombstones, differences and bytes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import book as b
from rushweir.rollout.book import Book, BookError, entry, key_of, packed
from rushweir.rollout.change_sets import Change, ChangeSet

KEYS = st.tuples(st.sampled_from(["partner", "plan", "p"]), st.text(max_size=3))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
LOGS = st.lists(CHANGES, max_size=12)


def made(log: list, upto: int | None = None) -> Book:
    book = Book()
    for number, changes in enumerate(log[:upto], 1):
        book.take(ChangeSet(number, tuple(changes)))
    return book


def anew(book: Book) -> Book:
    """The same objects, put in at once."""
    other = Book()
    other.put([row for part in book.parts for row in part.items()], book.version)
    return other


def parted(rows: list[b.Row]) -> dict[int, dict[str, bytes | None]]:
    return {b.part_of(t): {u: held for u, held in rows if b.part_of(u) == b.part_of(t)} for t, _ in rows}


@given(KEYS)
def test_a_key_comes_back_and_no_kind_runs_into_a_name(key: tuple[str, str]) -> None:
    assert key_of(packed(key)) == key
    assert packed(("a", "bc")) != packed(("ab", "c"))


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
    back = Book.load(book.dump())
    assert (back.version, back.digest()) == (book.version, book.digest())
    assert (back.gone, back.floor, back.count) == (book.gone, book.floor, book.count)


def test_the_digest_tells_version_key_and_data_apart() -> None:
    one = made([[Change(("plan", "a"), b"1")]])
    digests = {one.digest()}
    digests.add(made([[Change(("plan", "a"), b"2")]]).digest())
    digests.add(made([[Change(("plan", "b"), b"1")]]).digest())
    digests.add(made([[Change(("plan", "a"), b"1")], [Change(("plan", "a"), b"1")]]).digest())
    late = Book()
    late.put(list(one.parts[b.part_of(packed(("plan", "a")))].items()), 2)
    digests.add(late.digest())
    assert len(digests) == 5


def test_a_step_costs_the_parts_it_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    book = made([[Change(("partner", str(k)), b"x" * 20) for k in range(4_000)]])
    weighed = []
    real = b.weight
    monkeypatch.setattr(b, "weight", lambda text, held: (weighed.append(text), real(text, held))[1])
    before = list(book.sums)
    book.take(ChangeSet(2, (Change(("partner", "7"), b"y"),)))
    assert weighed == [packed(("partner", "7"))] * 2  # the old and the new
    assert sum(s != t for s, t in zip(before, book.sums, strict=True)) == 1


def test_only_the_next_step_is_taken() -> None:
    book = made([[Change(("plan", "a"), b"1")]])
    for number in (1, 3):
        with pytest.raises(BookError, match=f"step {number} does not follow on version 1"):
            book.take(ChangeSet(number, (Change(("plan", "a"), b"2"),)))


def test_tombstones_are_bounded_and_below_their_floor_there_is_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(b, "MOST_GONE", 2)
    names = [("partner", n) for n in "abc"]
    log = [[Change(k, b"1") for k in names], *([Change(k, None)] for k in names)]
    book = made(log)
    assert list(book.gone) == [packed(k) for k in names[1:]]
    assert book.floor == 2
    assert book.since(1) is None
    assert book.since(2) == [(packed(("partner", "c")), None), (packed(("partner", "b")), None)]


def test_what_comes_again_has_no_tombstone() -> None:
    key = ("partner", "a")
    book = made([[Change(key, b"1")], [Change(key, None)], [Change(key, b"2")]])
    assert book.gone == {}
    assert book.since(2) == [(packed(key), entry(3, b"2"))]


def test_after_a_leap_nothing_is_told_of_what_was_not_seen() -> None:
    book = Book()
    book.put([(packed(("plan", "a")), entry(9, b"1"))], 12)
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
    assert old.size == anew(old).size == sum(len(t) + len(held) for p in old.parts for t, held in p.items())


def test_a_torn_or_altered_snapshot_is_refused_at_every_byte() -> None:
    data = made([[Change(("plan", n), b"1") for n in "abc"], [Change(("plan", "b"), None)]]).dump()
    for at in range(len(data)):
        with pytest.raises(BookError):
            Book.load(data[:at])
        with pytest.raises(BookError):
            Book.load(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
    with pytest.raises(BookError):
        Book.load(data + b"\0")


def test_records_with_good_checksums_that_are_no_book_are_refused() -> None:
    row = [packed(("plan", "a")), entry(1, b"1")]
    for payload, why in [
        (["part", 0, 7], "wrong"),
        (["part", 400, [row]], "part"),
        (["part", b.part_of(row[0]), [[row[0], b"short"]]], "version"),
        (["part", 0, [["", b"x" * 9]]], "key"),
        (["end", b"x" * 16], "digest"),
        (["strange"], "strange"),
        (7, "wrong"),
    ]:
        with pytest.raises(BookError, match=why):
            Book.load(b.MAGIC + b.record(["book", 1, 0]) + b.record(payload))


def test_parts_that_differ_are_found_by_their_digests() -> None:
    log = [[Change(("plan", n), b"1") for n in "abcdefgh"], [Change(("plan", "c"), b"2")]]
    new, old = made(log), made(log, 1)
    part = b.part_of(packed(("plan", "c")))
    assert new.differing(old.digests()) == [part]
    assert new.changed(part, 1) == [(packed(("plan", "c")), entry(2, b"2"))]
    with pytest.raises(BookError):
        new.differing(b"short")
