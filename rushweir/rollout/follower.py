"""What a follower takes from its leader: append entries, or a snapshot in chunks. No I/O, no clock.

An answer says up to which index this process's *disk* has the leader's entries. So it is sent once new entries are on
disk. An immediate answer confirms what is on disk already, so that a slow disk does not look like a lost connection.
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
class IncomingSnapshot:
    """A snapshot whose chunks are being received. ``next_chunk``: number of the next one; ``size``: bytes so far."""

    index: int
    term: int
    version: int
    next_chunk: int = 0
    size: int = 0
    objects: Objects = field(default_factory=dict)


class Follower:
    """The part of a control process that follows a leader."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.match_index = 0  # entries up to it equal the leader's
        # When the leader sent its newest message, by its own clock; returned with answers, so that the leader knows
        # which message was received.
        self.leader_sent_at = 0.0
        self.incoming_snapshot: IncomingSnapshot | None = None

    def reset(self) -> None:
        """Forget what was received from the former leader."""
        self.match_index, self.incoming_snapshot = 0, None

    def append_entries(
        self,
        source: int,
        previous_index: int,
        previous_term: int,
        commit_index: int,
        rows: list,
        leader_sent_at: float,
    ) -> None:
        """Take entries that follow the index ``previous_index``. Raises ChangeSetError or ValueError."""
        control, log = self.control, self.control.log
        self.leader_sent_at = leader_sent_at
        if previous_index > log.last_index or (
            previous_index >= log.snapshot.index and log.term(previous_index) != previous_term
        ):
            conflict_hint = self._conflict_hint(previous_index)
            control.send(source, "append_answer", False, conflict_hint, leader_sent_at)  # not matched
            return
        self.match_index = max(self.match_index, control.commit_index)
        k = max(previous_index, log.snapshot.index) + 1
        while (
            k <= log.last_index and k <= previous_index + len(rows) and log.term(k) == rows[k - previous_index - 1][0]
        ):
            k += 1
        if new := rows[k - previous_index - 1 :]:
            self._replace_entries(k, new)
        self.match_index = max(self.match_index, previous_index + len(rows))
        control.commit_through(min(commit_index, self.match_index))
        self.send_append_answer(source)

    def _replace_entries(self, first_index: int, rows: list) -> None:
        """Replace the entries from ``first_index`` on.

        Raises ChangeSetError or ValueError before anything is changed."""
        control, log = self.control, self.control.log
        if first_index <= control.commit_index:
            raise ValueError(f"entry {first_index} differs and is committed here")  # no correct leader sends it
        new: list[Entry] = []
        version = log.version_at(first_index - 1)
        for term, data in rows:
            new.append(decode_entry(term, version, data))
            version = new[-1].version
        records: list[list[Any]] = []
        if first_index <= log.last_index:
            control.truncate_log(first_index)
            records.append(["cut", first_index])
        for index, entry in enumerate(new, first_index):
            log.append(entry)
            records.append(["entry", index, entry.term, entry.data])
        control.persist(records)

    def _conflict_hint(self, previous_index: int) -> int:
        """Returns the index before this log's entries of the conflicting term (Raft, 5.3), at least the commit index.

        If this log ends before ``previous_index``, there is no conflicting term: its last index."""
        control, log = self.control, self.control.log
        k = min(previous_index - 1, log.last_index)
        if previous_index <= log.last_index:
            conflicting_term = log.term(previous_index)
            while k > max(control.commit_index, log.snapshot.index) and log.term(k) == conflicting_term:
                k -= 1
        return max(k, control.commit_index)

    def send_append_answer(self, leader: int) -> None:
        """Tell the leader up to which index its entries are on disk here."""
        control = self.control
        index = min(max(self.match_index, control.commit_index), control.persisted_index)
        control.send(leader, "append_answer", True, index, self.leader_sent_at)  # matched

    # --- snapshots -------------------------------------------------------------------------------

    def install_chunk(self, source: int, index: int, term: int, version: int, k: int, last: bool, rows: list,
                      leader_sent_at: float) -> None:  # fmt: skip
        """Take chunk ``k`` of the snapshot at a log index. Raises ChangeSetError."""
        control = self.control
        self.leader_sent_at = leader_sent_at
        if index <= control.commit_index:
            self.incoming_snapshot = None
            self.send_append_answer(source)
            return
        incoming_snapshot = self.incoming_snapshot
        if incoming_snapshot is None or (incoming_snapshot.index, incoming_snapshot.term) != (index, term):
            incoming_snapshot = self.incoming_snapshot = IncomingSnapshot(index, term, version)
        if k == incoming_snapshot.next_chunk:
            self._add_objects(incoming_snapshot, rows)
            incoming_snapshot.next_chunk += 1
            if last:
                self._finish(incoming_snapshot)
                return  # answered once it is on disk
        control.send(source, "part_answer", index, incoming_snapshot.next_chunk, leader_sent_at)

    def _add_objects(self, incoming_snapshot: IncomingSnapshot, rows: list) -> None:
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
            incoming_snapshot.size += object_size((kind, name), data)
        incoming_snapshot.objects |= new
        if incoming_snapshot.size > MAX_SNAPSHOT_BYTES or len(incoming_snapshot.objects) > MAX_OBJECTS:
            self.incoming_snapshot = None
            raise ChangeSetError(f"a snapshot of more than {MAX_OBJECTS} objects or {MAX_SNAPSHOT_BYTES} bytes")

    def _finish(self, incoming_snapshot: IncomingSnapshot) -> None:
        control = self.control
        self.incoming_snapshot = None
        snapshot = Snapshot(
            incoming_snapshot.index, incoming_snapshot.term, incoming_snapshot.version, incoming_snapshot.objects
        )
        control.install_snapshot(snapshot)
        self.match_index = max(self.match_index, incoming_snapshot.index)
        control.commands.append(SnapshotInstalled(incoming_snapshot.version, dict(control.objects)))
