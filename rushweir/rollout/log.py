"""The replicated log as one process holds it: a base, and the entries behind it. No I/O, no clock.

An entry has an index, counted from 1 without a gap, and the term of the leader that made it. It carries one step, or
nothing: a new leader's first entry, by which it commits what others left. So an index is not a step's number.

The log is bounded: what lies before the newest entries in force is folded into the base, which has every object as
it was at its index. Steps above ``base.number`` can be told one by one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, pack, unpack
from rushweir.rollout.commands import Objects

MOST_OBJECTS, MOST_WHOLE = 100_000, 67_108_864  # objects of the whole, and bytes of them


@dataclass(frozen=True, slots=True)
class Bounds:
    """Entries in force that stay after a fold at most, and bytes of them; at twice as much the log is folded.
    ``part``: bytes of objects told in one message, and one more object; ``message``: of entries, and one more."""

    entries: int = 2_048
    bytes: int = 8_388_608
    part: int = 131_072
    message: int = 262_144


BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Entry:
    """``number``: of the newest step at or before it."""

    term: int
    number: int
    data: bytes = b""
    step: ChangeSet | None = None


@dataclass(slots=True)
class Base:
    """All that the log has folded: objects as of an index."""

    index: int = 0
    term: int = 0
    number: int = 0
    objects: Objects = field(default_factory=dict)


def entry(term: int, before: int, data: bytes) -> Entry:
    """An entry behind one whose newest step is ``before``. Raises ChangeSetError."""
    if not data:
        return Entry(term, before)
    step = unpack(data)
    if step.version != before + 1:
        raise ChangeSetError(f"step {step.version} behind step {before}")
    return Entry(term, step.version, data, step)


def entry_of(term: int, step: ChangeSet) -> Entry:
    return Entry(term, step.version, pack(step), step)


def apply(objects: Objects, step: ChangeSet) -> int:
    """Change objects by a step; by how many bytes they grew."""
    grown = 0
    for c in step.changes:
        old = objects.pop(c.key, None)
        if old is not None:
            grown -= size(c.key, old[1])
        if c.data is not None:
            objects[c.key] = (step.version, c.data)
            grown += size(c.key, c.data)
    return grown


def size(key: tuple[str, str], data: bytes) -> int:
    return len(key[0]) + len(key[1]) + len(data)


class Log:
    """Entries from ``base.index + 1`` to ``last``."""

    def __init__(self, base: Base, entries: list[Entry], bounds: Bounds = BOUNDS) -> None:
        self.base, self.entries, self.bounds = base, entries, bounds
        self.bytes = sum(len(e.data) for e in entries)

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def number(self) -> int:
        """Of the newest step in it, in force or not."""
        return self.entries[-1].number if self.entries else self.base.number

    def at(self, index: int) -> Entry:
        return self.entries[index - self.base.index - 1]

    def term(self, index: int) -> int | None:
        """Of the entry there; None: it is folded, or there is none."""
        if index == self.base.index:
            return self.base.term
        return self.at(index).term if self.base.index < index <= self.last else None

    def number_at(self, index: int) -> int:
        return self.base.number if index <= self.base.index else self.at(min(index, self.last)).number

    def append(self, e: Entry) -> None:
        self.entries.append(e)
        self.bytes += len(e.data)

    def cut(self, index: int) -> None:
        """This entry and those behind it are no more."""
        k = index - self.base.index - 1
        self.bytes -= sum(len(e.data) for e in self.entries[k:])
        del self.entries[k:]

    def steps(self, after: int, until: int) -> list[ChangeSet]:
        """The steps with a number above ``after``, up to an index."""
        found: list[ChangeSet] = []
        for e in reversed(self.entries[: max(0, until - self.base.index)]):
            if e.number <= after:
                break
            if e.step is not None:
                found.append(e.step)
        return found[::-1]

    def full(self) -> bool:
        return len(self.entries) > 2 * self.bounds.entries or self.bytes > 2 * self.bounds.bytes

    def beyond(self, applied: int) -> int:
        """How many entries are in force and beyond the bounds; 0 or less: none."""
        k, room = applied - self.base.index, self.bounds.bytes
        for n in range(k - 1, max(-1, k - 1 - self.bounds.entries), -1):
            room -= len(self.entries[n].data)
            if room < 0:
                break
            k = n
        return k

    def fold(self, applied: int, most: int | None = None) -> bool:
        """Compact what is in force and beyond the bounds into the base; whether there was anything. ``most``: entries
        with so many changes at once, and one entry more; the base is whole after each such slice."""
        beyond = self.beyond(applied)
        if beyond <= 0:
            return False
        k = room = 0
        while k < beyond and (most is None or room < most):
            step = self.entries[k].step
            if step is not None:
                apply(self.base.objects, step)
                room += len(step.changes)
            room += 1  # an empty one takes its moment, too
            k += 1
        last = self.entries[k - 1]
        self.base.index, self.base.term, self.base.number = self.base.index + k, last.term, last.number
        self.bytes -= sum(len(e.data) for e in self.entries[:k])
        del self.entries[:k]
        return True
