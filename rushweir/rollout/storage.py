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
from rushweir.rollout.log import BOUNDS, Base, Entry, entry
from rushweir.rollout.steps import MOST_STEP, StepError

VERSION = 1
FRAMES = RecordFormat(b"RWSTEPS" + bytes([VERSION]), 4 * MOST_STEP)
Records = Iterable[list[Any]]
WRITTEN = 65_536  # bytes of a file that are made at once, and one record more


class StorageError(ValueError):
    """A file that can't be used; the text says why, and at which byte."""


@dataclass(slots=True)
class Kept:
    """What a process had on disk."""

    me: int
    count: int
    term: int = 0
    voted: int = -1
    position: int = 0
    committed: int = 0
    heard: tuple[int, ...] = ()
    old: int = 0
    base: Base = field(default_factory=Base)
    entries: list[Entry] = field(default_factory=list)
    good: int = 0  # bytes of the file that are good; what is behind them is a torn end

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    def records(self) -> Iterator[list[Any]]:
        """The whole of it, as a file begins; each is made when it is asked for, of what there is then."""
        yield ["of", self.me, self.count]
        yield ["at", self.position]
        yield ["term", self.term, self.voted]
        parts, k = Parts(self.base, WRITTEN), 0
        while k < parts.known:
            yield ["part", *parts.rows(k)]
            k += 1
        yield ["base", self.base.index, self.base.term, self.base.number, len(self.base.objects)]
        for k, e in enumerate(self.entries, 1):
            yield ["entry", self.base.index + k, e.term, e.data]
        yield ["in", self.committed]
        yield ["heard", *self.heard]

    def __iter__(self) -> Iterator[list[Any]]:
        return self.records()


class Parts:
    """The objects of a base, as they are now, in pieces that fit into messages and records. Where a piece ends is
    found when it is made: to list all of many objects at once would hold a turn of the loop for long."""

    def __init__(self, base: Base, most: int = BOUNDS.part) -> None:
        """Pieces of ``most`` bytes, and one more object."""
        # Two lists, not one of pairs: those would be 25,300 new objects for the garbage collector to look at.
        self.keys, self.values, self.most = list(base.objects), list(base.objects.values()), most
        self.begins = [0]  # of each piece that is known

    @property
    def known(self) -> int:
        """Pieces that can be asked for now: those that were, and the next."""
        return len(self.begins) - (self.begins[-1] >= len(self.keys) and len(self.begins) > 1)

    def is_last(self, k: int) -> bool:
        """Of one that was made."""
        return self.begins[k + 1] >= len(self.keys)

    def rows(self, k: int) -> list[list[Any]]:
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


def pack(records: Records) -> bytes:
    return b"".join(FRAMES.frame(msgpack.packb(r)) for r in records)


def whole(records: Records) -> bytes:
    """A new file."""
    return b"".join(whole_in_pieces(records))


def whole_in_pieces(records: Records) -> Iterator[bytes]:
    """A new file, some WRITTEN bytes at a time."""
    piece = bytearray(FRAMES.magic)
    for r in records:
        piece += FRAMES.frame(msgpack.packb(r))
        if len(piece) >= WRITTEN:
            yield bytes(piece)
            piece.clear()
    yield bytes(piece)


def read(data: bytes, me: int, count: int) -> Kept:
    """What a file says. Raises StorageError."""
    try:
        good = FRAMES.valid_end(data)
    except FrameError as problem:
        raise StorageError(f"byte {problem.offset}: {problem}") from None
    kept, reader, begin = Kept(me, count, good=good), _Reader(), len(FRAMES.magic)
    for end, payload in FRAMES.payloads(data[:good]):
        try:
            kind, *rest = msgpack.unpackb(payload)
            reader.take(kept, kind, rest)
        except (StepError, ValueError, TypeError, KeyError, msgpack.UnpackException) as problem:
            raise StorageError(f"byte {begin}: {problem}") from None
        begin = end
    if not reader.whole:
        raise StorageError(
            f"byte {good}: the file has lost its beginning, and with it the term in which this process voted. "
            "A process that goes on without could vote twice: see docs/rollout.md on replacing one"
        )
    return kept


def rebuilt(me: int, count: int, others: list[Kept]) -> Kept:
    """The disk of a process that lost its own, of those of *all* the others, none of which ran since.

    What the lost one confirmed, one of the others has: the most complete log of them has all that is in force (Raft,
    5.4.1), and no term that it voted in is newer than the newest, for who stood in it wrote it down first. Raises
    StorageError."""
    if sorted(k.me for k in others) != [k for k in range(count) if k != me]:
        raise StorageError(f"the files of all the others are needed, not of {sorted(k.me for k in others)}")
    best = max(others, key=lambda k: (k.entries[-1].term if k.entries else k.base.term, k.last))
    heard = [max((k.heard[n] for k in others if len(k.heard) == count), default=0) for n in range(count)]
    for k in others:
        heard[k.me] = max(heard[k.me], k.position)
    heard[me] += 1  # beyond all that it told, so that nobody takes it for an older copy
    return Kept(
        me, count, max(k.term for k in others), position=heard[me], heard=tuple(heard), base=best.base,
        committed=min(max(k.committed for k in others), best.last), entries=list(best.entries),
    )  # fmt: skip


class _Reader:
    """The records of a file, in their order."""

    def __init__(self) -> None:
        self.heads: set[str] = set()
        self.objects: dict = {}
        self.whole = False

    def take(self, kept: Kept, kind: str, rest: list[Any]) -> None:
        if not self.whole:
            if kind not in ("of", "at", "term", "part", "base") or kind in self.heads:
                raise ValueError(f"a record {kind!r} in the file's beginning")
            if kind != "part":
                self.heads.add(kind)
        elif kind not in ("term", "entry", "cut", "in", "at", "heard", "old"):
            raise ValueError(f"a record {kind!r} behind the file's beginning")
        getattr(self, f"_{kind}")(kept, *rest)

    def _of(self, kept: Kept, me: int, count: int) -> None:
        if (me, count) != (kept.me, kept.count):
            raise ValueError(f"the file of control process {me} of {count}, not of {kept.me} of {kept.count}")

    def _at(self, kept: Kept, position: int) -> None:
        if _index(position) < kept.position:
            raise ValueError(f"write {position} behind write {kept.position}")
        kept.position = position

    def _term(self, kept: Kept, term: int, voted: int) -> None:
        if _index(term) < kept.term:
            raise ValueError(f"term {term} behind term {kept.term}")
        kept.term, kept.voted = term, voted

    def _part(self, kept: Kept, *rows: list[Any]) -> None:
        for kind, name, version, data in rows:
            self.objects[kind, name] = (version, data)

    def _base(self, kept: Kept, index: int, term: int, number: int, objects: int) -> None:
        if len(self.objects) != objects or not {"of", "at", "term"} <= self.heads:
            raise ValueError(f"a base of {objects} objects behind {len(self.objects)}, or records missing before it")
        kept.base = Base(_index(index), _index(term), _index(number), self.objects)
        kept.committed, self.whole = index, True

    def _entry(self, kept: Kept, index: int, term: int, data: bytes) -> None:
        last = kept.base.index + len(kept.entries)
        if index != last + 1:
            raise ValueError(f"entry {index} behind entry {last}")
        before = kept.entries[-1].number if kept.entries else kept.base.number
        kept.entries.append(entry(_index(term), before, data))

    def _cut(self, kept: Kept, index: int) -> None:
        if not kept.committed < index <= kept.base.index + len(kept.entries):
            raise ValueError(f"a cut at {index}, with {kept.committed} in force and {len(kept.entries)} entries")
        del kept.entries[index - kept.base.index - 1 :]

    def _heard(self, kept: Kept, *positions: int) -> None:
        kept.heard = tuple(_index(p) for p in positions)

    def _old(self, kept: Kept, position: int) -> None:
        kept.old = _index(position)

    def _in(self, kept: Kept, index: int) -> None:
        if not kept.committed <= index <= kept.base.index + len(kept.entries):
            raise ValueError(f"in force up to {index}: not so many entries, or more were")
        kept.committed = index


def _index(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r:.40}: a whole number is expected")
    return value
