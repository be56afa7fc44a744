"""Proposals of changes: refused, or waiting to come into force. No I/O, no clock.

from     event                                    answer
-        not a leader; too many wait; a bad step  why not
-        an object changed since the base         why not, with the object's name
OPEN     its step is in force                     the number
OPEN     the process leads no more                unsure: others may have it, and it may come into force
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.rollout.change_sets import Change, ChangeSet, ChangeSetError, pack, validate_changes
from rushweir.rollout.commands import ProposalAnswered
from rushweir.rollout.election import LEADER, NOBODY
from rushweir.rollout.log import MAX_OBJECTS, MAX_SNAPSHOT_BYTES

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

MAX_PENDING_PROPOSALS, MAX_PENDING_BYTES = (
    256,
    4_194_304,
)  # proposals that wait, and bytes of entries that are not in force
MOST_AUTHOR = 128  # characters


class Proposals:
    def __init__(self, control: Control) -> None:
        self.control = control
        self.pending: dict[int, tuple[int, int]] = {}  # index of the entry: request_id, number

    def propose(self, request_id: int, changes: tuple[Change, ...], author: str, base: int | None) -> None:
        c = self.control
        why = self._refusal(changes, author, base)
        if why:
            leader = c.leader if c.leader != c.me else NOBODY
            c.commands.append(ProposalAnswered(request_id, None, why, leader))
            return
        number = c.log.version + 1
        data = pack(ChangeSet(number, changes, author))
        self.pending[c.log.last_index + 1] = (request_id, number)
        c.append_entry(data)
        if not c.peers:
            return  # the only one: in force once it is on its disk

    def _refusal(self, changes: tuple[Change, ...], author: str, base: int | None) -> str:
        c = self.control
        if c.outdated:
            return "the disk of this control process is an older copy than what it told: it takes part no more"
        if c.election.role is not LEADER:
            return (
                "this control process does not lead"
                if c.leader != NOBODY
                else (
                    "no majority: this control process reaches no leader that a majority follows; nothing is changed"
                )
            )
        if len(self.pending) >= MAX_PENDING_PROPOSALS or self._open_bytes() > MAX_PENDING_BYTES:
            return f"{len(self.pending)} changes wait already"
        if len(author) > MOST_AUTHOR:
            return f"author: {MOST_AUTHOR} characters at most"
        try:
            validate_changes(changes)
        except ChangeSetError as problem:
            return str(problem)
        grown = sum(len(ch.data or b"") for ch in changes)
        if len(c.objects) + len(changes) > MAX_OBJECTS or c.object_bytes + grown > MAX_SNAPSHOT_BYTES:
            return f"more than {MAX_OBJECTS} objects or {MAX_SNAPSHOT_BYTES} bytes in all"
        return "" if base is None else self._conflict(changes, base)

    def _conflict(self, changes: tuple[Change, ...], base: int) -> str:
        """The log says what changed since; also what is not in force yet, for it comes before this."""
        c = self.control
        if base > c.log.version:
            return f"version {base} is not known here, {c.version} is the newest"
        if base < c.snapshot_version:
            return f"too much has changed since version {base}: look at the newest, {c.version}, and make it again"
        mine = {ch.key for ch in changes}
        for step in reversed(c.log.change_sets(base, c.log.last_index)):
            for ch in step.changes:
                if ch.key in mine:
                    name = " ".join(w for w in ch.key if w)
                    by = f" by {step.author}" if step.author else ""
                    return f"{name}: changed by step {step.version}{by} since version {base}"
        return ""

    def _open_bytes(self) -> int:
        c = self.control
        return sum(len(c.log.entry_at(k).data) for k in range(c.commit_index + 1, c.log.last_index + 1))

    def in_force(self, index: int) -> None:
        c = self.control
        while self.pending and (first := next(iter(self.pending))) <= index:
            request_id, number = self.pending.pop(first)
            c.commands.append(ProposalAnswered(request_id, number, "", c.me))

    def left_open(self) -> None:
        for request_id, number in self.pending.values():
            why = f"step {number} was not confirmed by a majority; it may come into force yet: look before you retry"
            self.control.commands.append(ProposalAnswered(request_id, None, why, NOBODY, unsure=True))
        self.pending.clear()
