"""What a follower takes from its leader: append entries, or a snapshot in chunks. No I/O, no clock.

An answer says up to which index this process's *disk* has the leader's entries. So it is sent once new entries are on
disk, and at once for those that were there before (a slow disk does not look like a lost connection).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rushweir.rollout.change_sets import MAX_NAME_CHARS, MAX_OBJECT_BYTES, ChangeSetError
from rushweir.rollout.commands import Objects, SnapshotInstalled
from rushweir.rollout.log import MAX_OBJECTS, MAX_SNAPSHOT_BYTES, Entry, Snapshot, decode_entry, object_size

if TYPE_CHECKING:
    from rushweir.rollout.control import Control


@dataclass(slots=True)
class SnapshotInstall:
    """A snapshot whose chunks are being received. ``next``: number of the next chunk."""

    index: int
    term: int
    version: int
    next: int = 0
    bytes: int = 0
    objects: Objects = field(default_factory=dict)


class Follower:
    """The part of a control process that follows a leader."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.match_index = 0  # entries up to it equal the leader's
        self.sent_at = 0.0  # of the leader's newest message, by the leader's clock
        self.install: SnapshotInstall | None = None

    def reset(self) -> None:
        """Begin with another leader, or none."""
        self.match_index, self.install = 0, None

    def append_entries(
        self, source: int, previous: int, previous_term: int, commit_index: int, rows: list, sent_at: float
    ) -> None:
        """Take entries that follow the index ``previous``. Raises ChangeSetError or ValueError."""
        control, log = self.control, self.control.log
        self.sent_at = sent_at
        if previous > log.last_index or (previous >= log.snapshot.index and log.term(previous) != previous_term):
            control.send(source, "append_answer", False, self._conflict_hint(previous), sent_at)
            return
        self.match_index = max(self.match_index, control.commit_index)
        k = max(previous, log.snapshot.index) + 1
        while k <= log.last_index and k <= previous + len(rows) and log.term(k) == rows[k - previous - 1][0]:
            k += 1
        if new := rows[k - previous - 1 :]:
            self._replace_entries(k, new)
        self.match_index = max(self.match_index, previous + len(rows))
        control.commit_through(min(commit_index, self.match_index))
        self.send_append_answer(source)

    def _replace_entries(self, begin: int, rows: list) -> None:
        """Replace the entries from ``begin`` on. Raises ChangeSetError or ValueError before anything is changed."""
        control, log = self.control, self.control.log
        if begin <= control.commit_index:
            raise ValueError(f"entry {begin} differs and is committed here")  # no correct leader sends it
        new: list[Entry] = []
        version = log.version_at(begin - 1)
        for term, data in rows:
            new.append(decode_entry(term, version, data))
            version = new[-1].version
        records: list[list[Any]] = []
        if begin <= log.last_index:
            control.truncate_log(begin)
            records.append(["cut", begin])
        for index, entry in enumerate(new, begin):
            log.append(entry)
            records.append(["entry", index, entry.term, entry.data])
        control.persist(records)

    def _conflict_hint(self, previous: int) -> int:
        """The last index at which the two logs may be equal.

        It is before the term that differs (Raft, 5.3), but not before the commit index."""
        control, log = self.control, self.control.log
        k = min(previous - 1, log.last_index)
        if previous <= log.last_index:
            conflicting_term = log.term(previous)
            while k > max(control.commit_index, log.snapshot.index) and log.term(k) == conflicting_term:
                k -= 1
        return max(k, control.commit_index)

    def send_append_answer(self, leader: int) -> None:
        """Tell the leader up to which index its entries are on disk here."""
        control = self.control
        index = min(max(self.match_index, control.commit_index), control.persisted_index)
        control.send(leader, "append_answer", True, index, self.sent_at)

    # --- snapshots -------------------------------------------------------------------------------

    def install_chunk(self, source: int, index: int, term: int, version: int, k: int, last: bool, rows: list,
                      sent_at: float) -> None:  # fmt: skip
        """Take chunk ``k`` of the snapshot at a log index. Raises ChangeSetError."""
        control = self.control
        self.sent_at = sent_at
        if index <= control.commit_index:
            self.install = None
            self.send_append_answer(source)
            return
        install = self.install
        if install is None or (install.index, install.term) != (index, term):
            install = self.install = SnapshotInstall(index, term, version)
        if k == install.next:
            self._add_objects(install, rows)
            install.next += 1
            if last:
                self._finish(install)
                return  # answered once it is on disk
        control.send(source, "part_answer", index, install.next, sent_at)

    def _add_objects(self, install: SnapshotInstall, rows: list) -> None:
        new: Objects = {}
        for kind, name, version, data in rows:
            is_valid = (
                isinstance(kind, str) and isinstance(name, str) and type(data) is bytes and type(version) is int
            )
            if (
                not is_valid
                or len(data) > MAX_OBJECT_BYTES
                or not 0 < len(kind) <= MAX_NAME_CHARS
                or len(name) > MAX_NAME_CHARS
            ):
                raise ChangeSetError("a malformed object in a snapshot chunk")
            new[kind, name] = (version, data)
            install.bytes += object_size((kind, name), data)
        install.objects |= new
        if install.bytes > MAX_SNAPSHOT_BYTES or len(install.objects) > MAX_OBJECTS:
            self.install = None
            raise ChangeSetError(f"a snapshot of more than {MAX_OBJECTS} objects or {MAX_SNAPSHOT_BYTES} bytes")

    def _finish(self, install: SnapshotInstall) -> None:
        control = self.control
        self.install = None
        control.install_snapshot(Snapshot(install.index, install.term, install.version, install.objects))
        self.match_index = max(self.match_index, install.index)
        control.commands.append(SnapshotInstalled(install.version, dict(control.objects)))
