"""The replicated log as one process holds it: a snapshot, and the entries after it. No I/O, no clock.

An entry has a log index, counted from 1 without a gap, and the term of the leader that made it. It carries one change
set, or nothing: a new leader's first entry is empty and commits the entries of earlier leaders. So a log index is not
the version of a change set.

The log is bounded: compaction moves committed entries, except the newest, into the snapshot, which holds every object
as of its index. Change sets above the snapshot's version can be sent one by one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, pack, unpack
from rushweir.rollout.commands import Objects

MAX_OBJECTS, MAX_SNAPSHOT_BYTES = 100_000, 67_108_864  # of all objects


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Limits of the log and of messages. Compaction leaves at most ``entries`` committed entries of at most ``bytes``
    bytes; it begins at twice as much. ``chunk_bytes``: objects in one message, plus one more object;
    ``message_bytes``: entries in one message, plus one more entry."""

    entries: int = 2_048
    bytes: int = 8_388_608
    chunk_bytes: int = 131_072
    message_bytes: int = 262_144


LOG_LIMITS = LogLimits()


@dataclass(frozen=True, slots=True)
class Entry:
    """``version``: of the newest change set at or before this entry."""

    term: int
    version: int
    data: bytes = b""
    change_set: ChangeSet | None = None


@dataclass(slots=True)
class Snapshot:
    """All compacted entries: the objects as of a log index."""

    index: int = 0
    term: int = 0
    version: int = 0
    objects: Objects = field(default_factory=dict)


def decode_entry(term: int, previous_version: int, data: bytes) -> Entry:
    """Return the entry that follows one whose newest change set is ``previous_version``. Raises ChangeSetError."""
    if not data:
        return Entry(term, previous_version)
    change_set = unpack(data)
    if change_set.version != previous_version + 1:
        raise ChangeSetError(f"change set {change_set.version} after change set {previous_version}")
    return Entry(term, change_set.version, data, change_set)


def encode_entry(term: int, change_set: ChangeSet) -> Entry:
    """Return an entry that carries a change set."""
    return Entry(term, change_set.version, pack(change_set), change_set)


def apply_change_set(objects: Objects, change_set: ChangeSet) -> int:
    """Change the objects in place; return by how many bytes they grew."""
    grown = 0
    for change in change_set.changes:
        old = objects.pop(change.key, None)
        if old is not None:
            grown -= object_size(change.key, old[1])
        if change.data is not None:
            objects[change.key] = (change_set.version, change.data)
            grown += object_size(change.key, change.data)
    return grown


def object_size(key: tuple[str, str], data: bytes) -> int:
    """Bytes that an object counts for in the limit of all objects."""
    return len(key[0]) + len(key[1]) + len(data)


class Log:
    """Entries from ``snapshot.index + 1`` to ``last_index``."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry], limits: LogLimits = LOG_LIMITS) -> None:
        self.snapshot, self.entries, self.limits = snapshot, entries, limits
        self.bytes = sum(len(e.data) for e in entries)

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def version(self) -> int:
        """Of the newest change set in the log, committed or not."""
        return self.entries[-1].version if self.entries else self.snapshot.version

    def entry_at(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    def term(self, index: int) -> int | None:
        """The term of the entry at an index; None if it is compacted or does not exist."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term if self.snapshot.index < index <= self.last_index else None

    def version_at(self, index: int) -> int:
        """The version of the newest change set at or before an index."""
        return (
            self.snapshot.version
            if index <= self.snapshot.index
            else self.entry_at(min(index, self.last_index)).version
        )

    def append(self, entry: Entry) -> None:
        self.entries.append(entry)
        self.bytes += len(entry.data)

    def truncate(self, index: int) -> None:
        """Drop the entry at this index and all after it."""
        k = index - self.snapshot.index - 1
        self.bytes -= sum(len(e.data) for e in self.entries[k:])
        del self.entries[k:]

    def change_sets(self, after: int, until: int) -> list[ChangeSet]:
        """The change sets with a version above ``after``, up to the log index ``until``."""
        found: list[ChangeSet] = []
        for entry in reversed(self.entries[: max(0, until - self.snapshot.index)]):
            if entry.version <= after:
                break
            if entry.change_set is not None:
                found.append(entry.change_set)
        return found[::-1]

    def is_full(self) -> bool:
        """Whether the log has reached the size at which compaction begins."""
        return len(self.entries) > 2 * self.limits.entries or self.bytes > 2 * self.limits.bytes

    def compactable(self, committed: int) -> int:
        """How many entries up to the index ``committed`` are beyond the limits; 0 or less: none."""
        k = committed - self.snapshot.index
        remaining_bytes = self.limits.bytes
        for n in range(k - 1, max(-1, k - 1 - self.limits.entries), -1):
            remaining_bytes -= len(self.entries[n].data)
            if remaining_bytes < 0:
                break
            k = n
        return k

    def compact(self, committed: int, max_changes: int | None = None) -> bool:
        """Move entries beyond the limits, up to the index ``committed``, into the snapshot; return whether any were.

        ``max_changes``: changes in one call, plus those of one more entry; an entry counts as a change itself. The
        snapshot is consistent after each call."""
        beyond = self.compactable(committed)
        if beyond <= 0:
            return False
        k = changed = 0
        while k < beyond and (max_changes is None or changed < max_changes):
            change_set = self.entries[k].change_set
            if change_set is not None:
                apply_change_set(self.snapshot.objects, change_set)
                changed += len(change_set.changes)
            changed += 1  # an empty entry takes time, too
            k += 1
        last = self.entries[k - 1]
        self.snapshot.index += k
        self.snapshot.term = last.term
        self.snapshot.version = last.version
        self.bytes -= sum(len(e.data) for e in self.entries[:k])
        del self.entries[:k]
        return True
