"""Faults injected into the code of control processes, each of which the days must find; not part of the program.

``hasty_vote``: a vote is sent before it is on disk. ``hasty_answer``: entries are confirmed before they are on disk.
``older_term``: a leader commits an entry of an older term by counting. ``lone``: a leader's own disk is a majority.
``sure``: a leader never steps down. ``no_base``: nobody checks the base version of a change. ``trusting``: an older
copy of a disk takes part. ``believed``: a torn end is taken for a complete one and written after. ``restless``: the
log is compacted while its file is being made. ``forgetful``: a compacted file lacks what was written while it was
made. ``over``: a compacted file replaces that of a snapshot that came from the leader meanwhile.
"""

from __future__ import annotations

from math import inf
from typing import Any

from rushweir.lab.sim.control_world import LOG_LIMITS
from rushweir.rollout.commands import Send
from rushweir.rollout.control import Control
from rushweir.rollout.control_proposals import Proposals
from rushweir.rollout.follower import Follower
from rushweir.rollout.log_compaction import IDLE, LogCompaction
from rushweir.rollout.storage import PersistentState


class HastyVote(Control):
    """Sends messages, votes too, before their term is on disk."""

    def send(self, peer: int, kind: str, *rest: Any) -> None:
        self._send_now(Send(peer, [kind, self.term, 0, *rest]))


class HastyFollower(Follower):
    """Confirms entries before they are on disk."""

    def send_append_answer(self, leader: int) -> None:
        control = self.control
        index = max(self.match_index, control.commit_index)
        control.send(leader, "append_answer", True, index, self.leader_sent_at)  # matched


class HastyAnswer(Control):
    """A process with a hasty follower."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.follower = HastyFollower(self)


class OlderTerm(Control):
    """Commits entries of older terms by counting."""

    def become_leader(self) -> None:
        super().become_leader()
        self.peers = dict(self.peers)

    def advance_commit_index(self) -> None:
        match_indexes = (self.persisted_index, *(p.match_index for p in self.peers.values()))
        index = sorted(match_indexes, reverse=True)[self.majority - 1]
        if index > self.commit_index:
            self.commit_through(index)
            for peer in self.peers.values():
                peer.replicate(heartbeat=True)


class Lone(Control):
    """Takes its own disk for a majority."""

    def advance_commit_index(self) -> None:
        self.commit_through(self.persisted_index)


class Sure(Control):
    """Leads on without a majority's answers."""

    def _leadership_expires_at(self) -> float:
        return inf


class Careless(Proposals):
    """Finds no conflicts."""

    def _conflict(self, changes: tuple, base: int) -> str:
        return ""


class NoBase(Control):
    """A process that checks no base version."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.proposals = Careless(self)


class Trusting(Control):
    """Accepts messages of older copies of a disk."""

    def _should_ignore(self, source: int, position: int, kind: str) -> bool:
        return False

    def stop_if_outdated(self, position: int) -> None:
        return


class RestlessCompaction(LogCompaction):
    """Compacts while the file is being made."""

    def advance(self) -> None:
        self.state = IDLE
        super().advance()


class Restless(Control):
    """A process with a restless compaction."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.compaction = RestlessCompaction(self)


KINDS = {
    "hasty_vote": HastyVote, "hasty_answer": HastyAnswer, "older_term": OlderTerm, "lone": Lone, "sure": Sure,
    "no_base": NoBase, "trusting": Trusting, "believed": Control, "restless": Restless, "forgetful": Control,
    "over": Control,
}  # fmt: skip


def inject(kind: str) -> dict[str, Any]:
    """The arguments of a day with the fault."""

    def make(me: int, count: int, state: PersistentState, seed: int, now: float) -> Control:
        return KINDS[kind](me, count, state, seed, now, limits=LOG_LIMITS)

    disk = {"forget": kind == "forgetful", "over": kind == "over"}
    return {"make": make, "believe": kind == "believed", "disk": disk}
