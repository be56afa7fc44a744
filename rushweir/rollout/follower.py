"""What a process takes from its leader: entries behind what both have, or the whole in parts. No I/O, no clock.

An answer says up to where this process's *disk* has what the leader has; so it goes out once what was sent is on
disk, and at once for what was there before (a slow disk does not look like silence).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rushweir.rollout.change_sets import MAX_NAME_CHARS, MAX_OBJECT_BYTES, ChangeSetError
from rushweir.rollout.commands import Objects, SnapshotInstalled
from rushweir.rollout.log import MOST_OBJECTS, MOST_WHOLE, Base, Entry, entry, size

if TYPE_CHECKING:
    from rushweir.rollout.control import Control


@dataclass(slots=True)
class Taking:
    """A whole, while its parts come."""

    index: int
    term: int
    number: int
    next: int = 0
    bytes: int = 0
    objects: Objects = field(default_factory=dict)


class Follower:
    def __init__(self, control: Control) -> None:
        self.control = control
        self.matched = 0  # entries up to this one are the leader's, too
        self.sent_at = 0.0  # by the leader's clock: the newest of its messages
        self.taking: Taking | None = None

    def reset(self) -> None:
        """There is another leader, or none."""
        self.matched, self.taking = 0, None

    def append(self, source: int, before: int, before_term: int, commit: int, rows: list, sent_at: float) -> None:
        c, log = self.control, self.control.log
        self.sent_at = sent_at
        if before > log.last or (before >= log.base.index and log.term(before) != before_term):
            c.tell(source, "append_answer", False, self._hint(before), sent_at)
            return
        self.matched = max(self.matched, c.commit)
        k = max(before, log.base.index) + 1
        while k <= log.last and k <= before + len(rows) and log.term(k) == rows[k - before - 1][0]:
            k += 1
        if new := rows[k - before - 1 :]:
            self._take_over(k, new)
        self.matched = max(self.matched, before + len(rows))
        c.force(min(commit, self.matched))
        self.answer(source)

    def _take_over(self, k: int, rows: list) -> None:
        """These are the leader's from ``k`` on. Raises ChangeSetError or ValueError before anything is changed."""
        c, log = self.control, self.control.log
        if k <= c.commit:
            raise ValueError(f"entry {k} is in force here, and another")  # no leader sends it
        new: list[Entry] = []
        number = log.number_at(k - 1)
        for term, data in rows:
            new.append(entry(term, number, data))
            number = new[-1].number
        records: list[list[Any]] = []
        if k <= log.last:
            c.cut(k)
            records.append(["cut", k])
        for n, e in enumerate(new, k):
            log.append(e)
            records.append(["entry", n, e.term, e.data])
        c.keep(records)

    def _hint(self, before: int) -> int:
        """Up to where the two may be equal: not in the term that differs (Raft, 5.3), but what is in force is."""
        c, log = self.control, self.control.log
        k = min(before - 1, log.last)
        if before <= log.last:
            differs = log.term(before)
            while k > max(c.commit, log.base.index) and log.term(k) == differs:
                k -= 1
        return max(k, c.commit)

    def answer(self, leader: int) -> None:
        c = self.control
        c.tell(leader, "append_answer", True, min(max(self.matched, c.commit), c.durable), self.sent_at)

    # --- the whole -------------------------------------------------------------------------------

    def part(self, source: int, index: int, term: int, number: int, k: int, last: bool, rows: list,
             sent_at: float) -> None:  # fmt: skip
        c = self.control
        self.sent_at = sent_at
        if index <= c.commit:
            self.taking = None
            self.answer(source)
            return
        t = self.taking
        if t is None or (t.index, t.term) != (index, term):
            t = self.taking = Taking(index, term, number)
        if k == t.next:
            self._take(t, rows)
            t.next += 1
            if last:
                self._install(t)
                return  # answered once it is on disk
        c.tell(source, "part_answer", index, t.next, sent_at)

    def _take(self, t: Taking, rows: list) -> None:
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
            t.bytes += size((kind, name), data)
        t.objects |= new
        if t.bytes > MOST_WHOLE or len(t.objects) > MOST_OBJECTS:
            self.taking = None
            raise ChangeSetError(f"a whole of more than {MOST_OBJECTS} objects or {MOST_WHOLE} bytes")

    def _install(self, t: Taking) -> None:
        c = self.control
        self.taking = None
        c.replace(Base(t.index, t.term, t.number, t.objects))
        self.matched = max(self.matched, t.index)
        c.orders.append(SnapshotInstalled(t.number, dict(c.objects)))
