"""The file of a control process: torn ends are cut, damage and lost beginnings are refused and named."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import storage
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.log import Log, LogLimits, Snapshot, encode_entry
from rushweir.rollout.storage import PersistentState, StorageError, decode_file


def step(n: int, size: int = 3) -> ChangeSet:
    return ChangeSet(n, (Change(("partner", f"p{n % 4}"), bytes(size)),), "me")


HEAD = PersistentState(
    1, 3, term=9, voted_for=1, commit_index=4, snapshot=Snapshot(4, 1, 3, {("plan", "a"): (3, b"x")})
)
WRITES = [
    (["entry", 5, 9, b""], ["at", 1]),
    (["in", 5], ["entry", 6, 9, pack(step(4))], ["entry", 7, 9, pack(step(5))], ["at", 2]),
    (["term", 17, -1], ["at", 3]),
    (["heard", 7, 3, 9], ["cut", 7], ["entry", 7, 17, b""], ["at", 4]),
    (["old", 12], ["at", 5]),
]
WHOLE = storage.encode_file(HEAD.records()) + b"".join(storage.pack_records(w) for w in WRITES)


def test_what_is_written_is_read():
    kept = decode_file(WHOLE, 1, 3)
    assert (kept.term, kept.voted_for, kept.position, kept.commit_index, kept.newer_position) == (17, -1, 5, 5, 12)
    assert [e.term for e in kept.entries] == [9, 9, 17] and kept.entries[1].change_set == step(4)
    assert kept.snapshot == HEAD.snapshot and kept.known_positions == (7, 3, 9) and kept.valid_bytes == len(WHOLE)
    again = decode_file(storage.encode_file(kept.records()), 1, 3)
    assert (again.entries, again.snapshot, again.term) == (kept.entries, kept.snapshot, kept.term)


def test_torn_at_every_byte():
    """A kill may leave any part of what was being written: what is whole counts, and what is not is cut."""
    begin, last = len(storage.encode_file(HEAD.records())), None
    for size in range(begin, len(WHOLE)):
        kept = decode_file(WHOLE[:size], 1, 3)
        assert (
            begin <= kept.valid_bytes <= size
            and decode_file(WHOLE[: kept.valid_bytes], 1, 3).valid_bytes == kept.valid_bytes
        )
        assert last is None or kept.valid_bytes >= last.valid_bytes and kept.position >= last.position
        last = kept
    assert last is not None and last.position == 4


def test_torn_with_zeros_behind():
    """As some file systems leave it: longer, with nothing in it."""
    assert decode_file(WHOLE + bytes(5_000), 1, 3).valid_bytes == len(WHOLE)


def test_a_file_without_its_beginning_is_refused():
    for size in range(len(storage.encode_file(HEAD.records())) - 40):
        with pytest.raises(StorageError, match="byte [0-9]+: .*lost its beginning.*vote twice"):
            decode_file(WHOLE[:size], 1, 3)


def test_damage_in_the_middle_is_refused_and_named():
    found = 0
    begin = len(storage.encode_file(HEAD.records()))
    last = len(WHOLE) - len(storage.pack_records((WRITES[-1][-1],)))
    for at in range(8, last):
        spoilt = bytearray(WHOLE)
        spoilt[at] ^= 0x10
        with pytest.raises(StorageError, match=r"byte \d+: "):
            decode_file(bytes(spoilt), 1, 3)
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
    with pytest.raises(StorageError, match=f"byte {len(storage.encode_file(HEAD.records()))}: ") as problem:
        decode_file(storage.encode_file(HEAD.records()) + storage.pack_records(written), 1, 3)
    assert says in str(problem.value)


def test_the_file_of_another_is_refused():
    for me, count in ((0, 3), (1, 5)):
        with pytest.raises(StorageError, match="the file of control process 1 of 3"):
            decode_file(WHOLE, me, count)
    with pytest.raises(StorageError, match="not of this format"):
        decode_file(b"RWCOSTS\x01" + WHOLE[8:], 1, 3)


def test_the_log_is_bounded_and_says_since():
    log = Log(Snapshot(), [], LogLimits(entries=8, bytes=1_000))
    for n in range(1, 200):
        log.append(encode_entry(8, step(n)))
        if log.is_full():
            assert log.compact(log.last_index - 1)  # the last is not in force
        assert len(log.entries) <= 16
        assert [s.version for s in log.change_sets(n - 3, n - 1)] == list(range(max(1, n - 2), n))
    assert log.version == 199 and log.snapshot.version >= 180 and set(log.snapshot.objects) == {
        ("partner", f"p{k}") for k in range(4)}  # fmt: skip
    big = Log(Snapshot(), [], LogLimits(entries=8, bytes=1_000))
    for n in range(1, 6):
        big.append(encode_entry(8, step(n, 600)))
        if big.is_full():
            big.compact(n)
        assert big.bytes <= 2_000


def test_nothing_is_folded_that_is_not_in_force():
    log = Log(Snapshot(), [], LogLimits(entries=2))
    for n in range(1, 8):
        log.append(encode_entry(8, step(n)))
    assert log.is_full() and not log.compact(0) and not log.compact(2)
    assert log.compact(7) and log.snapshot.index == 5 and [e.version for e in log.entries] == [6, 7]


OBJECTS = st.dictionaries(st.text(min_size=1, max_size=8), st.binary(max_size=300), max_size=30)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(OBJECTS, st.integers(1, 500))
def test_parts_make_the_whole_again(objects, room):
    base = Snapshot(1, 8, 1, {("kind", name): (1, data) for name, data in objects.items()})
    made, parts = storage.SnapshotChunks(base, room), []
    base.objects["kind", "later"] = (2, b"what comes later is no part of it")
    while len(parts) < made.available:
        parts.append(made.chunk(len(parts)))
        assert made.is_last(len(parts) - 1) == (len(parts) == made.available)
    assert [made.chunk(k) for k in range(made.available)] == parts  # asked for again
    del base.objects["kind", "later"]
    rows = [r for part in parts for r in part]
    assert {(k, n): (v, d) for k, n, v, d in rows} == base.objects and len(rows) == len(base.objects)
    assert len(parts) == 1 or all(parts)
