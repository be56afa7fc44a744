"""Persistent state of a control process: one file of checksummed records (frames.py). No I/O.

    of     me, count                      the process that owns it; the first record of each file
    at     position                       writes of this process so far, over all its files; the last of each write
    term   term, voted                    the newest term it knows and whom it voted for in it, -1: nobody
    part   [kind, name, version, data]*   objects of the snapshot
    base   index, term, number, objects   the snapshot that the parts before it make; objects: how many
    entry  index, term, data              the log entry after the last one
    cut    index                          this entry and those after it are dropped
    in     index                          the commit index
    heard  position*                      the highest known position of each process, its own too
    old    position                       this file is an older copy: its process has reported this position

A file is created by atomic replacement and then only appended to, so it always has its head, up to its base. A file
without it is not the result of any kill and is refused: a process that forgot its term could vote twice in it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgpack

from rushweir.frames import FrameError, RecordFormat
from rushweir.rollout.change_sets import MAX_CHANGE_SET_BYTES, ChangeSetError
from rushweir.rollout.log import LOG_LIMITS, Entry, Snapshot, decode_entry

VERSION = 1
FRAMES = RecordFormat(b"RWSTEPS" + bytes([VERSION]), 4 * MAX_CHANGE_SET_BYTES)
Records = Iterable[list[Any]]
WRITE_CHUNK_BYTES = 65_536  # of a file that are generated at once, plus one record


class StorageError(ValueError):
    """A file that can't be used; the text says why, and at which byte."""


@dataclass(slots=True)
class PersistentState:
    """What a control process has on disk.

    ``position``: writes so far. ``known_positions``: the highest known position of each process. ``newer_position``:
    above 0 if the file is an older copy. ``valid_bytes``: of the file; the bytes after them are a torn end."""

    me: int
    count: int
    term: int = 0
    voted_for: int = -1
    position: int = 0
    commit_index: int = 0
    known_positions: tuple[int, ...] = ()
    newer_position: int = 0
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    valid_bytes: int = 0

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def records(self) -> Iterator[list[Any]]:
        """All records of a new file; each is generated on request from what there is then."""
        yield ["of", self.me, self.count]
        yield ["at", self.position]
        yield ["term", self.term, self.voted_for]
        chunks, k = SnapshotChunks(self.snapshot, WRITE_CHUNK_BYTES), 0
        while k < chunks.available:
            yield ["part", *chunks.chunk(k)]
            k += 1
        yield ["base", self.snapshot.index, self.snapshot.term, self.snapshot.version, len(self.snapshot.objects)]
        for k, entry in enumerate(self.entries, 1):
            yield ["entry", self.snapshot.index + k, entry.term, entry.data]
        yield ["in", self.commit_index]
        yield ["heard", *self.known_positions]

    def __iter__(self) -> Iterator[list[Any]]:
        return self.records()


class SnapshotChunks:
    """The objects of a snapshot, as they are at creation, in chunks that fit into messages and records.

    The end of a chunk is found when the chunk is made: listing many objects at once would block the event loop."""

    def __init__(self, snapshot: Snapshot, max_bytes: int = LOG_LIMITS.chunk_bytes) -> None:
        """``max_bytes``: of a chunk, plus one object."""
        # Two lists, not one of pairs, which would be 25,300 new objects for the garbage collector to scan.
        self.keys = list(snapshot.objects)
        self.values = list(snapshot.objects.values())
        self.max_bytes = max_bytes
        self.begins = [0]  # of each chunk that is known

    @property
    def available(self) -> int:
        """Chunks that can be requested now: those made before, and the next."""
        return len(self.begins) - (self.begins[-1] >= len(self.keys) and len(self.begins) > 1)

    def is_last(self, k: int) -> bool:
        """Whether chunk ``k``, which was made before, is the last one."""
        return self.begins[k + 1] >= len(self.keys)

    def chunk(self, k: int) -> list[list[Any]]:
        """Chunk ``k``: kind, name, version and data of each object."""
        rows: list[list[Any]] = []
        at = self.begins[k]
        remaining_bytes = self.max_bytes
        while at < len(self.keys) and remaining_bytes > 0:
            kind, name = self.keys[at]
            version, data = self.values[at]
            rows.append([kind, name, version, data])
            remaining_bytes -= len(kind) + len(name) + len(data) + 16
            at += 1
        if k + 1 == len(self.begins):
            self.begins.append(at)
        return rows


def pack_records(records: Records) -> bytes:
    """Encode records to append to a file."""
    return b"".join(FRAMES.frame(msgpack.packb(r)) for r in records)


def encode_file(records: Records) -> bytes:
    """Encode a new file."""
    return b"".join(encode_file_chunks(records))


def encode_file_chunks(records: Records) -> Iterator[bytes]:
    """Encode a new file, about WRITE_CHUNK_BYTES at a time."""
    chunk = bytearray(FRAMES.magic)
    for record in records:
        chunk += FRAMES.frame(msgpack.packb(record))
        if len(chunk) >= WRITE_CHUNK_BYTES:
            yield bytes(chunk)
            chunk.clear()
    yield bytes(chunk)


def decode_file(data: bytes, me: int, count: int) -> PersistentState:
    """Return the state in the file of process ``me`` of ``count``. Raises StorageError."""
    try:
        valid_bytes = FRAMES.valid_end(data)
    except FrameError as problem:
        raise StorageError(f"byte {problem.offset}: {problem}") from None
    state = PersistentState(me, count, valid_bytes=valid_bytes)
    reader = _Reader()
    begin = len(FRAMES.magic)
    for end, payload in FRAMES.payloads(data[:valid_bytes]):
        try:
            kind, *rest = msgpack.unpackb(payload)
            reader.take(state, kind, rest)
        except (ChangeSetError, ValueError, TypeError, KeyError, msgpack.UnpackException) as problem:
            raise StorageError(f"byte {begin}: {problem}") from None
        begin = end
    if not reader.has_head:
        raise StorageError(
            f"byte {valid_bytes}: the file has lost its beginning, and with it the term in which this process voted. "
            "A process that goes on without could vote twice: see docs/rollout.md on replacing one"
        )
    return state


def rebuild_state(me: int, count: int, others: list[PersistentState]) -> PersistentState:
    """Rebuild the state of a process that lost its disk from the states of *all* others, none of which ran since.

    What the lost process confirmed, one of the others has: the most complete log of them has all that is committed
    (Raft, 5.4.1), and no term that it voted in is newer than the newest of theirs: a candidate persists its term
    first. Raises StorageError."""
    if sorted(k.me for k in others) != [k for k in range(count) if k != me]:
        raise StorageError(f"the files of all the others are needed, not of {sorted(k.me for k in others)}")
    best = max(others, key=lambda k: (k.entries[-1].term if k.entries else k.snapshot.term, k.last_index))
    positions = [
        max((k.known_positions[n] for k in others if len(k.known_positions) == count), default=0)
        for n in range(count)
    ]
    for other in others:
        positions[other.me] = max(positions[other.me], other.position)
    positions[me] += 1  # above every position that it reported, so that nobody takes its disk for an older copy
    return PersistentState(
        me, count, max(k.term for k in others), position=positions[me], known_positions=tuple(positions),
        snapshot=best.snapshot, commit_index=min(max(k.commit_index for k in others), best.last_index),
        entries=list(best.entries),
    )  # fmt: skip


class _Reader:
    """Reads the records of a file in their order."""

    def __init__(self) -> None:
        self.heads: set[str] = set()
        self.objects: dict = {}
        self.has_head = False

    def take(self, state: PersistentState, kind: str, rest: list[Any]) -> None:
        """Apply one record to the state. Raises ValueError or TypeError."""
        if not self.has_head:
            if kind not in ("of", "at", "term", "part", "base") or kind in self.heads:
                raise ValueError(f"a record {kind!r} in the file's beginning")
            if kind != "part":
                self.heads.add(kind)
        elif kind not in ("term", "entry", "cut", "in", "at", "heard", "old"):
            raise ValueError(f"a record {kind!r} after the file's beginning")
        RECORD_READERS[kind](self, state, *rest)

    def _owner(self, state: PersistentState, me: int, count: int) -> None:
        if (me, count) != (state.me, state.count):
            raise ValueError(f"the file of control process {me} of {count}, not of {state.me} of {state.count}")

    def _position(self, state: PersistentState, position: int) -> None:
        if _index(position) < state.position:
            raise ValueError(f"write {position} after write {state.position}")
        state.position = position

    def _term(self, state: PersistentState, term: int, voted_for: int) -> None:
        if _index(term) < state.term:
            raise ValueError(f"term {term} after term {state.term}")
        state.term, state.voted_for = term, voted_for

    def _objects(self, state: PersistentState, *rows: list[Any]) -> None:
        for kind, name, version, data in rows:
            self.objects[kind, name] = (version, data)

    def _snapshot(self, state: PersistentState, index: int, term: int, version: int, objects: int) -> None:
        if len(self.objects) != objects or not {"of", "at", "term"} <= self.heads:
            raise ValueError(f"a base of {objects} objects after {len(self.objects)}, or records missing before it")
        state.snapshot = Snapshot(_index(index), _index(term), _index(version), self.objects)
        state.commit_index, self.has_head = index, True

    def _entry(self, state: PersistentState, index: int, term: int, data: bytes) -> None:
        last = state.snapshot.index + len(state.entries)
        if index != last + 1:
            raise ValueError(f"entry {index} after entry {last}")
        previous_version = state.entries[-1].version if state.entries else state.snapshot.version
        state.entries.append(decode_entry(_index(term), previous_version, data))

    def _truncate(self, state: PersistentState, index: int) -> None:
        if not state.commit_index < index <= state.snapshot.index + len(state.entries):
            raise ValueError(
                f"a cut at {index}, with commit index {state.commit_index} and {len(state.entries)} entries"
            )
        del state.entries[index - state.snapshot.index - 1 :]

    def _known_positions(self, state: PersistentState, *positions: int) -> None:
        state.known_positions = tuple(_index(p) for p in positions)

    def _newer_position(self, state: PersistentState, position: int) -> None:
        state.newer_position = _index(position)

    def _commit_index(self, state: PersistentState, index: int) -> None:
        if not state.commit_index <= index <= state.snapshot.index + len(state.entries):
            raise ValueError(f"commit index {index}: beyond the last entry, or below {state.commit_index}")
        state.commit_index = index


RECORD_READERS: dict[str, Callable[..., None]] = {
    "of": _Reader._owner,
    "at": _Reader._position,
    "term": _Reader._term,
    "part": _Reader._objects,
    "base": _Reader._snapshot,
    "entry": _Reader._entry,
    "cut": _Reader._truncate,
    "in": _Reader._commit_index,
    "heard": _Reader._known_positions,
    "old": _Reader._newer_position,
}


def _index(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r:.40}: a whole number is expected")
    return value
