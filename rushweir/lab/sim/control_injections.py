"""Faults planted in control processes, each of which the days must find; not reachable from the program.

``hasty_vote``: a vote is told before it is on disk. ``hasty_answer``: entries are confirmed before they are on disk.
``older_term``: a leader puts an entry of an older term in force by counting. ``lone``: a leader's own disk is a
majority. ``sure``: a leader never steps down. ``no_base``: nobody looks at what a change was made on. ``trusting``:
an older copy of a disk takes part. ``believed``: a torn end is taken for what it was to be, and written behind.
``restless``: the log is folded on while its file is being made. ``forgetful``: a fold's file lacks what was written
while it was made. ``over``: a fold's file takes its place though the whole came from the leader meanwhile.
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
    def send(self, peer: int, kind: str, *rest: Any) -> None:
        self._send_now(Send(peer, [kind, self.term, 0, *rest]))


class HastyFollower(Follower):
    def send_append_answer(self, leader: int) -> None:
        c = self.control
        c.send(leader, "append_answer", True, max(self.match_index, c.commit_index), self.sent_at)


class HastyAnswer(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.follower = HastyFollower(self)


class OlderTerm(Control):
    def become_leader(self) -> None:
        super().become_leader()
        self.peers = dict(self.peers)

    def advance_commit_index(self) -> None:
        index = sorted((self.persisted_index, *(p.match_index for p in self.peers.values())), reverse=True)[
            self.majority - 1
        ]
        if index > self.commit_index:
            self.commit_through(index)
            for p in self.peers.values():
                p.replicate(heartbeat=True)


class Lone(Control):
    def advance_commit_index(self) -> None:
        self.commit_through(self.persisted_index)


class Sure(Control):
    def _leadership_expires_at(self) -> float:
        return inf


class Careless(Proposals):
    def _conflict(self, changes: tuple, base: int) -> str:
        return ""


class NoBase(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.proposals = Careless(self)


class Trusting(Control):
    def _is_from_outdated_disk(self, source: int, position: int, kind: str) -> bool:
        return False

    def check_own_position(self, position: int) -> None:
        return


class RestlessCompaction(LogCompaction):
    def advance(self) -> None:
        self.state = IDLE
        super().advance()


class Restless(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.compaction = RestlessCompaction(self)


KINDS = {
    "hasty_vote": HastyVote, "hasty_answer": HastyAnswer, "older_term": OlderTerm, "lone": Lone, "sure": Sure,
    "no_base": NoBase, "trusting": Trusting, "believed": Control, "restless": Restless, "forgetful": Control,
    "over": Control,
}  # fmt: skip


def planted(kind: str) -> dict[str, Any]:
    """What a day is given to play with the fault."""

    def make(me: int, count: int, kept: PersistentState, seed: int, now: float) -> Control:
        return KINDS[kind](me, count, kept, seed, now, limits=LOG_LIMITS)

    disk = {"forget": kind == "forgetful", "over": kind == "over"}
    return {"make": make, "believe": kind == "believed", "disk": disk}
