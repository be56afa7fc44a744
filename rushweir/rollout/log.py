"""The replicated log as one process holds it: a base, and the entries behind it. No I/O, no clock.

An entry has an index, counted from 1 without a gap, and the term of the leader that made it. It carries one step, or
nothing: a new leader's first entry, by which it commits what others left. So an index is not a step's number.

The log is bounded: what lies before the newest entries in force is folded into the base, which has every object as
it was at its index. Steps above ``base.version`` can be told one by one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, pack, unpack
from rushweir.rollout.commands import Objects

MAX_OBJECTS, MAX_SNAPSHOT_BYTES = 100_000, 67_108_864  # objects of the whole, and bytes of them


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Entries in force that stay after a fold at most, and bytes of them; at twice as much the log is folded.
    ``part``: bytes of objects told in one message, and one more object; ``message``: of entries, and one more."""

    entries: int = 2_048
    bytes: int = 8_388_608
    chunk_bytes: int = 131_072
    message_bytes: int = 262_144


LOG_LIMITS = LogLimits()


@dataclass(frozen=True, slots=True)
class Entry:
    """``number``: of the newest step at or before it."""

    term: int
    version: int
    data: bytes = b""
    change_set: ChangeSet | None = None


@dataclass(slots=True)
class Snapshot:
    """All that the log has folded: objects as of an index."""

    index: int = 0
    term: int = 0
    version: int = 0
    objects: Objects = field(default_factory=dict)


def decode_entry(term: int, before: int, data: bytes) -> Entry:
    """An entry behind one whose newest step is ``before``. Raises ChangeSetError."""
    if not data:
        return Entry(term, before)
    step = unpack(data)
    if step.version != before + 1:
        raise ChangeSetError(f"step {step.version} behind step {before}")
    return Entry(term, step.version, data, step)


def encode_entry(term: int, step: ChangeSet) -> Entry:
    return Entry(term, step.version, pack(step), step)


def apply_change_set(objects: Objects, step: ChangeSet) -> int:
    """Change objects by a step; by how many bytes they grew."""
    grown = 0
    for c in step.changes:
        old = objects.pop(c.key, None)
        if old is not None:
            grown -= object_size(c.key, old[1])
        if c.data is not None:
            objects[c.key] = (step.version, c.data)
            grown += object_size(c.key, c.data)
    return grown


def object_size(key: tuple[str, str], data: bytes) -> int:
    return len(key[0]) + len(key[1]) + len(data)


class Log:
    """Entries from ``base.index + 1`` to ``last``."""

    def __init__(self, base: Snapshot, entries: list[Entry], limits: LogLimits = LOG_LIMITS) -> None:
        self.snapshot, self.entries, self.limits = base, entries, limits
        self.bytes = sum(len(e.data) for e in entries)

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def version(self) -> int:
        """Of the newest step in it, in force or not."""
        return self.entries[-1].version if self.entries else self.snapshot.version

    def entry_at(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    def term(self, index: int) -> int | None:
        """Of the entry there; None: it is folded, or there is none."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term if self.snapshot.index < index <= self.last_index else None

    def version_at(self, index: int) -> int:
        return (
            self.snapshot.version
            if index <= self.snapshot.index
            else self.entry_at(min(index, self.last_index)).version
        )

    def append(self, e: Entry) -> None:
        self.entries.append(e)
        self.bytes += len(e.data)

    def truncate(self, index: int) -> None:
        """This entry and those behind it are no more."""
        k = index - self.snapshot.index - 1
        self.bytes -= sum(len(e.data) for e in self.entries[k:])
        del self.entries[k:]

    def change_sets(self, after: int, until: int) -> list[ChangeSet]:
        """The steps with a number above ``after``, up to an index."""
        found: list[ChangeSet] = []
        for e in reversed(self.entries[: max(0, until - self.snapshot.index)]):
            if e.version <= after:
                break
            if e.change_set is not None:
                found.append(e.change_set)
        return found[::-1]

    def is_full(self) -> bool:
        return len(self.entries) > 2 * self.limits.entries or self.bytes > 2 * self.limits.bytes

    def compactable(self, applied: int) -> int:
        """How many entries are in force and beyond the bounds; 0 or less: none."""
        k, room = applied - self.snapshot.index, self.limits.bytes
        for n in range(k - 1, max(-1, k - 1 - self.limits.entries), -1):
            room -= len(self.entries[n].data)
            if room < 0:
                break
            k = n
        return k

    def compact(self, applied: int, most: int | None = None) -> bool:
        """Compact what is in force and beyond the bounds into the base; whether there was anything. ``most``: entries
        with so many changes at once, and one entry more; the base is whole after each such slice."""
        beyond = self.compactable(applied)
        if beyond <= 0:
            return False
        k = room = 0
        while k < beyond and (most is None or room < most):
            step = self.entries[k].change_set
            if step is not None:
                apply_change_set(self.snapshot.objects, step)
                room += len(step.changes)
            room += 1  # an empty one takes its moment, too
            k += 1
        last = self.entries[k - 1]
        self.snapshot.index, self.snapshot.term, self.snapshot.version = (
            self.snapshot.index + k,
            last.term,
            last.version,
        )
        self.bytes -= sum(len(e.data) for e in self.entries[:k])
        del self.entries[:k]
        return True
