"""The file of a control process: torn ends are dropped, damage and a lost head are refused with the byte."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.rollout import storage
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.log import Log, LogLimits, Snapshot, encode_entry
from rushweir.rollout.storage import PersistentState, StorageError, decode_file


def change_set(version: int, size: int = 3) -> ChangeSet:
    return ChangeSet(version, (Change(("partner", f"p{version % 4}"), bytes(size)),), "me")


HEAD = PersistentState(
    1, 3, term=9, voted_for=1, commit_index=4, snapshot=Snapshot(4, 1, 3, {("plan", "a"): (3, b"x")})
)
WRITES = [
    (["entry", 5, 9, b""], ["at", 1]),
    (["in", 5], ["entry", 6, 9, pack(change_set(4))], ["entry", 7, 9, pack(change_set(5))], ["at", 2]),
    (["term", 17, -1], ["at", 3]),
    (["heard", 7, 3, 9], ["cut", 7], ["entry", 7, 17, b""], ["at", 4]),
    (["old", 12], ["at", 5]),
]
WHOLE = storage.encode_file(HEAD.records()) + b"".join(storage.pack_records(w) for w in WRITES)


def test_decode_returns_the_encoded_state():
    state = decode_file(WHOLE, 1, 3)
    assert (state.term, state.voted_for, state.position, state.commit_index, state.newer_position) == (
        17,
        -1,
        5,
        5,
        12,
    )
    assert [e.term for e in state.entries] == [9, 9, 17]
    assert state.entries[1].change_set == change_set(4)
    assert state.snapshot == HEAD.snapshot and state.known_positions == (7, 3, 9) and state.valid_bytes == len(WHOLE)
    again = decode_file(storage.encode_file(state.records()), 1, 3)
    assert (again.entries, again.snapshot, again.term) == (state.entries, state.snapshot, state.term)


def test_file_torn_at_any_byte_is_read_up_to_its_last_complete_record():
    """A kill may leave any part of a write on disk."""
    begin = len(storage.encode_file(HEAD.records()))
    last = None
    for size in range(begin, len(WHOLE)):
        state = decode_file(WHOLE[:size], 1, 3)
        assert (
            begin <= state.valid_bytes <= size
            and decode_file(WHOLE[: state.valid_bytes], 1, 3).valid_bytes == state.valid_bytes
        )
        assert last is None or state.valid_bytes >= last.valid_bytes and state.position >= last.position
        last = state
    assert last is not None and last.position == 4


def test_zeros_after_the_last_record_are_a_torn_end():
    """Some file systems leave a file longer than what was written."""
    assert decode_file(WHOLE + bytes(5_000), 1, 3).valid_bytes == len(WHOLE)


def test_file_without_its_head_is_refused():
    for size in range(len(storage.encode_file(HEAD.records())) - 40):
        with pytest.raises(StorageError, match="byte [0-9]+: .*lost its beginning.*vote twice"):
            decode_file(WHOLE[:size], 1, 3)


def test_damage_before_the_last_record_is_refused_with_its_byte():
    found = 0
    begin = len(storage.encode_file(HEAD.records()))
    last = len(WHOLE) - len(storage.pack_records((WRITES[-1][-1],)))
    for at in range(8, last):
        damaged = bytearray(WHOLE)
        damaged[at] ^= 0x10
        with pytest.raises(StorageError, match=r"byte \d+: "):
            decode_file(bytes(damaged), 1, 3)
        found += at >= begin
    assert found > 100


@pytest.mark.parametrize(
    ("written", "message"),
    [
        ([["entry", 6, 9, b""]], "entry 6 after entry 4"),
        ([["entry", 5, 9, pack(change_set(7))]], "change set 7 after change set 3"),
        ([["cut", 4]], "a cut at 4"),
        ([["in", 9]], "commit index 9"),
        ([["term", 8, 0]], "term 8 after term 9"),
        ([["of", 1, 3]], "a record 'of'"),
        ([["else", 1]], "a record 'else'"),
        ([["entry", 5]], "byte"),
        (["seven"], "a record 's'"),
    ],
)
def test_inconsistent_records_are_refused(written, message):
    with pytest.raises(StorageError, match=f"byte {len(storage.encode_file(HEAD.records()))}: ") as problem:
        decode_file(storage.encode_file(HEAD.records()) + storage.pack_records(written), 1, 3)
    assert message in str(problem.value)


def test_file_of_another_process_or_format_is_refused():
    for me, count in ((0, 3), (1, 5)):
        with pytest.raises(StorageError, match="the file of control process 1 of 3"):
            decode_file(WHOLE, me, count)
    with pytest.raises(StorageError, match="not of this format"):
        decode_file(b"RWCOSTS\x01" + WHOLE[8:], 1, 3)


def test_log_stays_bounded_and_returns_recent_change_sets():
    log = Log(Snapshot(), [], LogLimits(entries=8, bytes=1_000))
    for n in range(1, 200):
        log.append(encode_entry(8, change_set(n)))
        if log.is_full():
            assert log.compact(log.last_index - 1)  # the last is not committed
        assert len(log.entries) <= 16
        assert [s.version for s in log.change_sets(n - 3, n - 1)] == list(range(max(1, n - 2), n))
    assert log.version == 199 and log.snapshot.version >= 180 and set(log.snapshot.objects) == {
        ("partner", f"p{k}") for k in range(4)}  # fmt: skip
    big = Log(Snapshot(), [], LogLimits(entries=8, bytes=1_000))
    for n in range(1, 6):
        big.append(encode_entry(8, change_set(n, 600)))
        if big.is_full():
            big.compact(n)
        assert big.bytes <= 2_000


def test_uncommitted_entries_are_not_compacted():
    log = Log(Snapshot(), [], LogLimits(entries=2))
    for n in range(1, 8):
        log.append(encode_entry(8, change_set(n)))
    assert log.is_full() and not log.compact(0) and not log.compact(2)
    assert log.compact(7) and log.snapshot.index == 5 and [e.version for e in log.entries] == [6, 7]


OBJECTS = st.dictionaries(st.text(min_size=1, max_size=8), st.binary(max_size=300), max_size=30)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(OBJECTS, st.integers(1, 500))
def test_chunks_hold_all_objects_as_of_their_creation(objects, max_bytes):
    snapshot = Snapshot(1, 8, 1, {("kind", name): (1, data) for name, data in objects.items()})
    chunks = storage.SnapshotChunks(snapshot, max_bytes)
    made = []
    snapshot.objects["kind", "later"] = (2, b"an object that is added later is in no chunk")
    while len(made) < chunks.available:
        made.append(chunks.chunk(len(made)))
        assert chunks.is_last(len(made) - 1) == (len(made) == chunks.available)
    assert [chunks.chunk(k) for k in range(chunks.available)] == made  # requested again
    del snapshot.objects["kind", "later"]
    rows = [row for chunk in made for row in chunk]
    assert {(k, n): (v, d) for k, n, v, d in rows} == snapshot.objects and len(rows) == len(snapshot.objects)
    assert len(made) == 1 or all(made)
