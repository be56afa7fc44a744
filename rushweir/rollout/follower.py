"""What a process takes from its leader: entries behind what both have, or the whole in parts. No I/O, no clock.

An answer says up to where this process's *disk* has what the leader has; so it goes out once what was sent is on
disk, and at once for what was there before (a slow disk does not look like silence).
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
    """A whole, while its parts come."""

    index: int
    term: int
    version: int
    next: int = 0
    bytes: int = 0
    objects: Objects = field(default_factory=dict)


class Follower:
    def __init__(self, control: Control) -> None:
        self.control = control
        self.match_index = 0  # entries up to this one are the leader's, too
        self.sent_at = 0.0  # by the leader's clock: the newest of its messages
        self.install: SnapshotInstall | None = None

    def reset(self) -> None:
        """There is another leader, or none."""
        self.match_index, self.install = 0, None

    def append(self, source: int, before: int, before_term: int, commit: int, rows: list, sent_at: float) -> None:
        c, log = self.control, self.control.log
        self.sent_at = sent_at
        if before > log.last_index or (before >= log.snapshot.index and log.term(before) != before_term):
            c.send(source, "append_answer", False, self._hint(before), sent_at)
            return
        self.match_index = max(self.match_index, c.commit_index)
        k = max(before, log.snapshot.index) + 1
        while k <= log.last_index and k <= before + len(rows) and log.term(k) == rows[k - before - 1][0]:
            k += 1
        if new := rows[k - before - 1 :]:
            self._take_over(k, new)
        self.match_index = max(self.match_index, before + len(rows))
        c.commit_through(min(commit, self.match_index))
        self.send_append_answer(source)

    def _take_over(self, k: int, rows: list) -> None:
        """These are the leader's from ``k`` on. Raises ChangeSetError or ValueError before anything is changed."""
        c, log = self.control, self.control.log
        if k <= c.commit_index:
            raise ValueError(f"entry {k} is in force here, and another")  # no leader sends it
        new: list[Entry] = []
        number = log.version_at(k - 1)
        for term, data in rows:
            new.append(decode_entry(term, number, data))
            number = new[-1].version
        records: list[list[Any]] = []
        if k <= log.last_index:
            c.truncate_log(k)
            records.append(["cut", k])
        for n, e in enumerate(new, k):
            log.append(e)
            records.append(["entry", n, e.term, e.data])
        c.persist(records)

    def _hint(self, before: int) -> int:
        """Up to where the two may be equal: not in the term that differs (Raft, 5.3), but what is in force is."""
        c, log = self.control, self.control.log
        k = min(before - 1, log.last_index)
        if before <= log.last_index:
            differs = log.term(before)
            while k > max(c.commit_index, log.snapshot.index) and log.term(k) == differs:
                k -= 1
        return max(k, c.commit_index)

    def send_append_answer(self, leader: int) -> None:
        c = self.control
        c.send(
            leader, "append_answer", True, min(max(self.match_index, c.commit_index), c.persisted_index), self.sent_at
        )

    # --- the whole -------------------------------------------------------------------------------

    def part(self, source: int, index: int, term: int, number: int, k: int, last: bool, rows: list,
             sent_at: float) -> None:  # fmt: skip
        c = self.control
        self.sent_at = sent_at
        if index <= c.commit_index:
            self.install = None
            self.send_append_answer(source)
            return
        t = self.install
        if t is None or (t.index, t.term) != (index, term):
            t = self.install = SnapshotInstall(index, term, number)
        if k == t.next:
            self._take(t, rows)
            t.next += 1
            if last:
                self._install(t)
                return  # answered once it is on disk
        c.send(source, "part_answer", index, t.next, sent_at)

    def _take(self, t: SnapshotInstall, rows: list) -> None:
        new: Objects = {}
        for kind, name, version, data in rows:
            sound = isinstance(kind, str) and isinstance(name, str) and type(data) is bytes and type(version) is int
            if (
                not sound
                or len(data) > MAX_OBJECT_BYTES
                or not 0 < len(kind) <= MAX_NAME_CHARS
                or len(name) > MAX_NAME_CHARS
            ):
                raise ChangeSetError("a part of the whole with what is no object")
            new[kind, name] = (version, data)
            t.bytes += object_size((kind, name), data)
        t.objects |= new
        if t.bytes > MAX_SNAPSHOT_BYTES or len(t.objects) > MAX_OBJECTS:
            self.install = None
            raise ChangeSetError(f"a whole of more than {MAX_OBJECTS} objects or {MAX_SNAPSHOT_BYTES} bytes")

    def _install(self, t: SnapshotInstall) -> None:
        c = self.control
        self.install = None
        c.install_snapshot(Snapshot(t.index, t.term, t.version, t.objects))
        self.match_index = max(self.match_index, t.index)
        c.commands.append(SnapshotInstalled(t.version, dict(c.objects)))
