"""What a control process has on disk: one file of checksummed records (frames.py). No I/O.

    of     me, count                      whose it is; the first record of each file
    at     position                       writes of this process so far, over all its files; the last of each write
    term   term, voted                    the newest term it knows and whom it voted for in it, -1: nobody
    part   [kind, name, version, data]*   objects of the base
    base   index, term, number, objects   what the parts before it make; objects: how many
    entry  index, term, data              behind the last one
    cut    index                          this entry and those behind it are no more
    in     index                          entries up to this one are in force
    heard  position*                      the highest position of each process that was told, its own too
    old    position                       this file is an older copy than what was told, up to there, by its process

A file is made whole by atomic replacement, and after that only grows; so it always has its head, up to its base. One
without is not what was left by any kill, and is refused: a process that forgot its term could vote twice in it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgpack

from rushweir.frames import FrameError, RecordFormat
from rushweir.rollout.change_sets import MAX_CHANGE_SET_BYTES, ChangeSetError
from rushweir.rollout.log import LOG_LIMITS, Entry, Snapshot, decode_entry

VERSION = 1
FRAMES = RecordFormat(b"RWSTEPS" + bytes([VERSION]), 4 * MAX_CHANGE_SET_BYTES)
Records = Iterable[list[Any]]
WRITE_CHUNK_BYTES = 65_536  # bytes of a file that are made at once, and one record more


class StorageError(ValueError):
    """A file that can't be used; the text says why, and at which byte."""


@dataclass(slots=True)
class PersistentState:
    """What a process had on disk."""

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
    valid_bytes: int = 0  # bytes of the file that are good; what is behind them is a torn end

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def records(self) -> Iterator[list[Any]]:
        """The whole of it, as a file begins; each is made when it is asked for, of what there is then."""
        yield ["of", self.me, self.count]
        yield ["at", self.position]
        yield ["term", self.term, self.voted_for]
        parts, k = SnapshotChunks(self.snapshot, WRITE_CHUNK_BYTES), 0
        while k < parts.available:
            yield ["part", *parts.chunk(k)]
            k += 1
        yield ["base", self.snapshot.index, self.snapshot.term, self.snapshot.version, len(self.snapshot.objects)]
        for k, e in enumerate(self.entries, 1):
            yield ["entry", self.snapshot.index + k, e.term, e.data]
        yield ["in", self.commit_index]
        yield ["heard", *self.known_positions]

    def __iter__(self) -> Iterator[list[Any]]:
        return self.records()


class SnapshotChunks:
    """The objects of a base, as they are now, in pieces that fit into messages and records. Where a piece ends is
    found when it is made: to list all of many objects at once would hold a turn of the loop for long."""

    def __init__(self, base: Snapshot, most: int = LOG_LIMITS.chunk_bytes) -> None:
        """Pieces of ``most`` bytes, and one more object."""
        # Two lists, not one of pairs: those would be 25,300 new objects for the garbage collector to look at.
        self.keys, self.values, self.most = list(base.objects), list(base.objects.values()), most
        self.begins = [0]  # of each piece that is known

    @property
    def available(self) -> int:
        """Pieces that can be asked for now: those that were, and the next."""
        return len(self.begins) - (self.begins[-1] >= len(self.keys) and len(self.begins) > 1)

    def is_last(self, k: int) -> bool:
        """Of one that was made."""
        return self.begins[k + 1] >= len(self.keys)

    def chunk(self, k: int) -> list[list[Any]]:
        """The piece: kind, name, version and data of each object."""
        found: list[list[Any]] = []
        at, room = self.begins[k], self.most
        while at < len(self.keys) and room > 0:
            (kind, name), (version, data) = self.keys[at], self.values[at]
            found.append([kind, name, version, data])
            room -= len(kind) + len(name) + len(data) + 16
            at += 1
        if k + 1 == len(self.begins):
            self.begins.append(at)
        return found


def pack_records(records: Records) -> bytes:
    return b"".join(FRAMES.frame(msgpack.packb(r)) for r in records)


def encode_file(records: Records) -> bytes:
    """A new file."""
    return b"".join(encode_file_chunks(records))


def encode_file_chunks(records: Records) -> Iterator[bytes]:
    """A new file, some WRITE_CHUNK_BYTES bytes at a time."""
    piece = bytearray(FRAMES.magic)
    for r in records:
        piece += FRAMES.frame(msgpack.packb(r))
        if len(piece) >= WRITE_CHUNK_BYTES:
            yield bytes(piece)
            piece.clear()
    yield bytes(piece)


def decode_file(data: bytes, me: int, count: int) -> PersistentState:
    """What a file says. Raises StorageError."""
    try:
        good = FRAMES.valid_end(data)
    except FrameError as problem:
        raise StorageError(f"byte {problem.offset}: {problem}") from None
    kept, reader, begin = PersistentState(me, count, valid_bytes=good), _Reader(), len(FRAMES.magic)
    for end, payload in FRAMES.payloads(data[:good]):
        try:
            kind, *rest = msgpack.unpackb(payload)
            reader.take(kept, kind, rest)
        except (ChangeSetError, ValueError, TypeError, KeyError, msgpack.UnpackException) as problem:
            raise StorageError(f"byte {begin}: {problem}") from None
        begin = end
    if not reader.whole:
        raise StorageError(
            f"byte {good}: the file has lost its beginning, and with it the term in which this process voted. "
            "A process that goes on without could vote twice: see docs/rollout.md on replacing one"
        )
    return kept


def rebuild_state(me: int, count: int, others: list[PersistentState]) -> PersistentState:
    """The disk of a process that lost its own, of those of *all* the others, none of which ran since.

    What the lost one confirmed, one of the others has: the most complete log of them has all that is in force (Raft,
    5.4.1), and no term that it voted in is newer than the newest, for who stood in it wrote it down first. Raises
    StorageError."""
    if sorted(k.me for k in others) != [k for k in range(count) if k != me]:
        raise StorageError(f"the files of all the others are needed, not of {sorted(k.me for k in others)}")
    best = max(others, key=lambda k: (k.entries[-1].term if k.entries else k.snapshot.term, k.last_index))
    heard = [
        max((k.known_positions[n] for k in others if len(k.known_positions) == count), default=0)
        for n in range(count)
    ]
    for k in others:
        heard[k.me] = max(heard[k.me], k.position)
    heard[me] += 1  # beyond all that it told, so that nobody takes it for an older copy
    return PersistentState(
        me, count, max(k.term for k in others), position=heard[me], known_positions=tuple(heard),
        snapshot=best.snapshot, commit_index=min(max(k.commit_index for k in others), best.last_index),
        entries=list(best.entries),
    )  # fmt: skip


class _Reader:
    """The records of a file, in their order."""

    def __init__(self) -> None:
        self.heads: set[str] = set()
        self.objects: dict = {}
        self.whole = False

    def take(self, kept: PersistentState, kind: str, rest: list[Any]) -> None:
        if not self.whole:
            if kind not in ("of", "at", "term", "part", "base") or kind in self.heads:
                raise ValueError(f"a record {kind!r} in the file's beginning")
            if kind != "part":
                self.heads.add(kind)
        elif kind not in ("term", "entry", "cut", "in", "at", "heard", "old"):
            raise ValueError(f"a record {kind!r} behind the file's beginning")
        getattr(self, f"_{kind}")(kept, *rest)

    def _of(self, kept: PersistentState, me: int, count: int) -> None:
        if (me, count) != (kept.me, kept.count):
            raise ValueError(f"the file of control process {me} of {count}, not of {kept.me} of {kept.count}")

    def _at(self, kept: PersistentState, position: int) -> None:
        if _index(position) < kept.position:
            raise ValueError(f"write {position} behind write {kept.position}")
        kept.position = position

    def _term(self, kept: PersistentState, term: int, voted: int) -> None:
        if _index(term) < kept.term:
            raise ValueError(f"term {term} behind term {kept.term}")
        kept.term, kept.voted_for = term, voted

    def _part(self, kept: PersistentState, *rows: list[Any]) -> None:
        for kind, name, version, data in rows:
            self.objects[kind, name] = (version, data)

    def _base(self, kept: PersistentState, index: int, term: int, number: int, objects: int) -> None:
        if len(self.objects) != objects or not {"of", "at", "term"} <= self.heads:
            raise ValueError(f"a base of {objects} objects behind {len(self.objects)}, or records missing before it")
        kept.snapshot = Snapshot(_index(index), _index(term), _index(number), self.objects)
        kept.commit_index, self.whole = index, True

    def _entry(self, kept: PersistentState, index: int, term: int, data: bytes) -> None:
        last = kept.snapshot.index + len(kept.entries)
        if index != last + 1:
            raise ValueError(f"entry {index} behind entry {last}")
        before = kept.entries[-1].version if kept.entries else kept.snapshot.version
        kept.entries.append(decode_entry(_index(term), before, data))

    def _cut(self, kept: PersistentState, index: int) -> None:
        if not kept.commit_index < index <= kept.snapshot.index + len(kept.entries):
            raise ValueError(f"a cut at {index}, with {kept.commit_index} in force and {len(kept.entries)} entries")
        del kept.entries[index - kept.snapshot.index - 1 :]

    def _heard(self, kept: PersistentState, *positions: int) -> None:
        kept.known_positions = tuple(_index(p) for p in positions)

    def _old(self, kept: PersistentState, position: int) -> None:
        kept.newer_position = _index(position)

    def _in(self, kept: PersistentState, index: int) -> None:
        if not kept.commit_index <= index <= kept.snapshot.index + len(kept.entries):
            raise ValueError(f"in force up to {index}: not so many entries, or more were")
        kept.commit_index = index


def _index(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r:.40}: a whole number is expected")
    return value
