"""The file of a control process: torn ends are cut, damage and lost beginnings are refused and named."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import storage
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.log import Base, Bounds, Log, entry_of
from rushweir.rollout.storage import Kept, StorageError, read


def step(n: int, size: int = 3) -> ChangeSet:
    return ChangeSet(n, (Change(("partner", f"p{n % 4}"), bytes(size)),), "me")


HEAD = Kept(1, 3, term=9, voted=1, committed=4, base=Base(4, 1, 3, {("plan", "a"): (3, b"x")}))
WRITES = [
    (["entry", 5, 9, b""], ["at", 1]),
    (["in", 5], ["entry", 6, 9, pack(step(4))], ["entry", 7, 9, pack(step(5))], ["at", 2]),
    (["term", 17, -1], ["at", 3]),
    (["heard", 7, 3, 9], ["cut", 7], ["entry", 7, 17, b""], ["at", 4]),
    (["old", 12], ["at", 5]),
]
WHOLE = storage.whole(HEAD.records()) + b"".join(storage.pack(w) for w in WRITES)


def test_what_is_written_is_read():
    kept = read(WHOLE, 1, 3)
    assert (kept.term, kept.voted, kept.position, kept.committed, kept.old) == (17, -1, 5, 5, 12)
    assert [e.term for e in kept.entries] == [9, 9, 17] and kept.entries[1].step == step(4)
    assert kept.base == HEAD.base and kept.heard == (7, 3, 9) and kept.good == len(WHOLE)
    again = read(storage.whole(kept.records()), 1, 3)
    assert (again.entries, again.base, again.term) == (kept.entries, kept.base, kept.term)


def test_torn_at_every_byte():
    """A kill may leave any part of what was being written: what is whole counts, and what is not is cut."""
    begin, last = len(storage.whole(HEAD.records())), None
    for size in range(begin, len(WHOLE)):
        kept = read(WHOLE[:size], 1, 3)
        assert begin <= kept.good <= size and read(WHOLE[: kept.good], 1, 3).good == kept.good
        assert last is None or kept.good >= last.good and kept.position >= last.position
        last = kept
    assert last is not None and last.position == 4


def test_torn_with_zeros_behind():
    """As some file systems leave it: longer, with nothing in it."""
    assert read(WHOLE + bytes(5_000), 1, 3).good == len(WHOLE)


def test_a_file_without_its_beginning_is_refused():
    for size in range(len(storage.whole(HEAD.records())) - 40):
        with pytest.raises(StorageError, match="byte [0-9]+: .*lost its beginning.*vote twice"):
            read(WHOLE[:size], 1, 3)


def test_damage_in_the_middle_is_refused_and_named():
    found = 0
    begin = len(storage.whole(HEAD.records()))
    last = len(WHOLE) - len(storage.pack((WRITES[-1][-1],)))
    for at in range(8, last):
        spoilt = bytearray(WHOLE)
        spoilt[at] ^= 0x10
        with pytest.raises(StorageError, match=r"byte \d+: "):
            read(bytes(spoilt), 1, 3)
        found += at >= begin
    assert found > 100


@pytest.mark.parametrize(
    ("written", "says"),
    [
        ([["entry", 6, 9, b""]], "entry 6 behind entry 4"),
        ([["entry", 5, 9, pack(step(7))]], "step 7 behind step 3"),
        ([["cut", 4]], "a cut at 4"),
        ([["in", 9]], "in force up to 9"),
        ([["term", 8, 0]], "term 8 behind term 9"),
        ([["of", 1, 3]], "a record 'of'"),
        ([["else", 1]], "a record 'else'"),
        ([["entry", 5]], "byte"),
        (["seven"], "a record 's'"),
    ],
)
def test_records_that_make_no_sense_are_refused(written, says):
    with pytest.raises(StorageError, match=f"byte {len(storage.whole(HEAD.records()))}: ") as problem:
        read(storage.whole(HEAD.records()) + storage.pack(written), 1, 3)
    assert says in str(problem.value)


def test_the_file_of_another_is_refused():
    for me, count in ((0, 3), (1, 5)):
        with pytest.raises(StorageError, match="the file of control process 1 of 3"):
            read(WHOLE, me, count)
    with pytest.raises(StorageError, match="not of this format"):
        read(b"RWCOSTS\x01" + WHOLE[8:], 1, 3)


def test_the_log_is_bounded_and_says_since():
    log = Log(Base(), [], Bounds(entries=8, bytes=1_000))
    for n in range(1, 200):
        log.append(entry_of(8, step(n)))
        if log.full():
            assert log.fold(log.last - 1)  # the last is not in force
        assert len(log.entries) <= 16
        assert [s.version for s in log.steps(n - 3, n - 1)] == list(range(max(1, n - 2), n))
    assert log.number == 199 and log.base.number >= 180 and set(log.base.objects) == {
        ("partner", f"p{k}") for k in range(4)}  # fmt: skip
    big = Log(Base(), [], Bounds(entries=8, bytes=1_000))
    for n in range(1, 6):
        big.append(entry_of(8, step(n, 600)))
        if big.full():
            big.fold(n)
        assert big.bytes <= 2_000


def test_nothing_is_folded_that_is_not_in_force():
    log = Log(Base(), [], Bounds(entries=2))
    for n in range(1, 8):
        log.append(entry_of(8, step(n)))
    assert log.full() and not log.fold(0) and not log.fold(2)
    assert log.fold(7) and log.base.index == 5 and [e.number for e in log.entries] == [6, 7]


OBJECTS = st.dictionaries(st.text(min_size=1, max_size=8), st.binary(max_size=300), max_size=30)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(OBJECTS, st.integers(1, 500))
def test_parts_make_the_whole_again(objects, room):
    base = Base(1, 8, 1, {("kind", name): (1, data) for name, data in objects.items()})
    made, parts = storage.Parts(base, room), []
    base.objects["kind", "later"] = (2, b"what comes later is no part of it")
    while len(parts) < made.known:
        parts.append(made.rows(len(parts)))
        assert made.is_last(len(parts) - 1) == (len(parts) == made.known)
    assert [made.rows(k) for k in range(made.known)] == parts  # asked for again
    del base.objects["kind", "later"]
    rows = [r for part in parts for r in part]
    assert {(k, n): (v, d) for k, n, v, d in rows} == base.objects and len(rows) == len(base.objects)
    assert len(parts) == 1 or all(parts)
