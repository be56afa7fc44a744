"""Proposals of changes: refused, or pending until they are committed. No I/O, no clock.

from      event                                            answer
-         not the leader; too many pending; invalid        the reason
-         an object changed since the base version         the reason, with the object's name
PENDING   its change set is committed                      the version
PENDING   the process leads no more                        unsure: others may have it, and it may be committed
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.rollout.change_sets import Change, ChangeSet, ChangeSetError, pack, validate_changes
from rushweir.rollout.commands import ProposalAnswered
from rushweir.rollout.election import LEADER, NOBODY
from rushweir.rollout.log import MAX_OBJECTS, MAX_SNAPSHOT_BYTES

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

MAX_PENDING_PROPOSALS, MAX_PENDING_BYTES = 256, 4_194_304  # bytes: of uncommitted entries
MAX_AUTHOR_CHARS = 128


class Proposals:
    """The proposals that a leader has accepted and not answered yet."""

    def __init__(self, control: Control) -> None:
        self.control = control
        self.pending: dict[int, tuple[int, int]] = {}  # log index of the entry: request id, version

    def propose(self, request_id: int, changes: tuple[Change, ...], author: str, base: int | None) -> None:
        """Append a change set of these changes to the log, or answer why not. ``base``: see ``Control.propose``."""
        control = self.control
        reason = self._refusal(changes, author, base)
        if reason:
            leader = control.leader if control.leader != control.me else NOBODY
            control.commands.append(ProposalAnswered(request_id, None, reason, leader))
            return
        version = control.log.version + 1
        data = pack(ChangeSet(version, changes, author))
        self.pending[control.log.last_index + 1] = (request_id, version)
        control.append_entry(data)
        if not control.peers:
            return  # the only process: committed once it is on its disk

    def _refusal(self, changes: tuple[Change, ...], author: str, base: int | None) -> str:
        """Why a proposal is refused; empty: it is accepted."""
        control = self.control
        if control.outdated:
            return "the disk of this control process is an older copy than it has reported: it takes part no more"
        if control.election.role is not LEADER:
            return (
                "this control process is not the leader"
                if control.leader != NOBODY
                else "no majority: this control process reaches no leader with a majority; nothing is changed"
            )
        if len(self.pending) >= MAX_PENDING_PROPOSALS or self._pending_bytes() > MAX_PENDING_BYTES:
            return f"{len(self.pending)} changes are pending already"
        if len(author) > MAX_AUTHOR_CHARS:
            return f"author: {MAX_AUTHOR_CHARS} characters at most"
        try:
            validate_changes(changes)
        except ChangeSetError as problem:
            return str(problem)
        added_bytes = sum(len(change.data or b"") for change in changes)
        if (
            len(control.objects) + len(changes) > MAX_OBJECTS
            or control.object_bytes + added_bytes > MAX_SNAPSHOT_BYTES
        ):
            return f"more than {MAX_OBJECTS} objects or {MAX_SNAPSHOT_BYTES} bytes in all"
        return "" if base is None else self._conflict(changes, base)

    def _conflict(self, changes: tuple[Change, ...], base: int) -> str:
        """Why the changes conflict with later ones, uncommitted ones included: those come before this proposal."""
        control = self.control
        if base > control.log.version:
            return f"version {base} is not known here, {control.version} is the newest"
        if base < control.snapshot_version:
            return (
                f"too much has changed since version {base}: look at the newest, {control.version}, and make it again"
            )
        keys = {change.key for change in changes}
        for change_set in reversed(control.log.change_sets(base, control.log.last_index)):
            for change in change_set.changes:
                if change.key in keys:
                    name = " ".join(word for word in change.key if word)
                    by = f" by {change_set.author}" if change_set.author else ""
                    return f"{name}: changed by change set {change_set.version}{by} since version {base}"
        return ""

    def _pending_bytes(self) -> int:
        control = self.control
        uncommitted = range(control.commit_index + 1, control.log.last_index + 1)
        return sum(len(control.log.entry_at(k).data) for k in uncommitted)

    def answer_committed(self, index: int) -> None:
        """Answer the proposals whose entries are committed, up to a log index."""
        control = self.control
        while self.pending and (first := next(iter(self.pending))) <= index:
            request_id, version = self.pending.pop(first)
            control.commands.append(ProposalAnswered(request_id, version, "", control.me))

    def fail_pending(self) -> None:
        """Answer all pending proposals as unsure."""
        for request_id, version in self.pending.values():
            reason = (
                f"change set {version} was not confirmed by a majority and may still be committed: "
                "look before you retry"
            )
            self.control.commands.append(ProposalAnswered(request_id, None, reason, NOBODY, unsure=True))
        self.pending.clear()
