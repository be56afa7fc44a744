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

from rushweir.lab.sim.control_world import BOUNDS
from rushweir.rollout.commands import Send
from rushweir.rollout.control import Control
from rushweir.rollout.control_proposals import Proposals
from rushweir.rollout.follower import Follower
from rushweir.rollout.log_compaction import RESTING, LogCompaction
from rushweir.rollout.storage import Kept


class HastyVote(Control):
    def tell(self, peer: int, kind: str, *rest: Any) -> None:
        self._send(Send(peer, [kind, self.term, 0, *rest]))


class HastyFollower(Follower):
    def answer(self, leader: int) -> None:
        c = self.control
        c.tell(leader, "append_answer", True, max(self.matched, c.commit), self.sent_at)


class HastyAnswer(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.follower = HastyFollower(self)


class OlderTerm(Control):
    def lead(self) -> None:
        super().lead()
        self.peers = dict(self.peers)

    def count_up(self) -> None:
        index = sorted((self.durable, *(p.match for p in self.peers.values())), reverse=True)[self.majority - 1]
        if index > self.commit:
            self.force(index)
            for p in self.peers.values():
                p.send(beat=True)


class Lone(Control):
    def count_up(self) -> None:
        self.force(self.durable)


class Sure(Control):
    def _quorum_at(self) -> float:
        return inf


class Careless(Proposals):
    def _conflict(self, changes: tuple, base: int) -> str:
        return ""


class NoBase(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.proposals = Careless(self)


class Trusting(Control):
    def _is_outdated(self, source: int, position: int, kind: str) -> bool:
        return False

    def told_outdated(self, position: int) -> None:
        return


class RestlessCompaction(LogCompaction):
    def turn(self) -> None:
        self.state = RESTING
        super().turn()


class Restless(Control):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.folding = RestlessCompaction(self)


KINDS = {
    "hasty_vote": HastyVote, "hasty_answer": HastyAnswer, "older_term": OlderTerm, "lone": Lone, "sure": Sure,
    "no_base": NoBase, "trusting": Trusting, "believed": Control, "restless": Restless, "forgetful": Control,
    "over": Control,
}  # fmt: skip


def planted(kind: str) -> dict[str, Any]:
    """What a day is given to play with the fault."""

    def make(me: int, count: int, kept: Kept, seed: int, now: float) -> Control:
        return KINDS[kind](me, count, kept, seed, now, bounds=BOUNDS)

    disk = {"forget": kind == "forgetful", "over": kind == "over"}
    return {"make": make, "believe": kind == "believed", "disk": disk}
