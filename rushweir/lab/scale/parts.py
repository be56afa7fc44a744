"""What stands in a hollow ingress for its front and its connections to nodes. No I/O, no clock.

A hollow ingress is the real core (ingress/core.py) with the real policy, quota mail, member, views, budgets, list
watcher, watch and settings. It leaves out:

- the front: no client's bytes, handshake, sign-in or framing; a request is given to the core as a front gives it on;
- the pool: no connection to a node; ``Answers`` ends each attempt after a time drawn by the node that was chosen;
- of the process: the operators' socket, metrics, console, log; its settings are read once for all that share it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from rushweir import interface as i
from rushweir.fronts.states import OPEN
from rushweir.ingress import commands as c
from rushweir.ingress import core as base
from rushweir.ingress import websocket
from rushweir.ingress.pool import BasePool

WORK_MS = (4.0, 40.0)  # of nodes, middle time of an attempt: each node has its own
SPREAD = 0.4  # of the logarithm of a time
LOST = 0.002  # share of attempts that end by a reset


class Front:
    """A connection's front that takes requests as they are, and answers nobody."""

    state, partner, partial_message, backlog, refusal_reason, is_busy = OPEN, None, 0, 0, "", False
    awaits_close_ack, discarded_count = False, 0
    held_bytes = refusable_bytes = unsent_bytes = 0  # no client's bytes are held

    def __init__(self) -> None:
        self.open_ids: set[Any] = set()
        self.answers = 0

    def receive(self, asked: Any) -> Any:
        return asked

    def answer(self, answer: c.Answer) -> None:
        self.answers += 1

    def take(self) -> tuple[list[bytes], bool]:
        return [], False

    def is_idle(self, quiet_ms: float) -> bool:
        return False

    def receive_eof(self) -> None: ...

    def refuse_new(self, why: str) -> None: ...

    def announce_close(self) -> None: ...

    def close(self, code: int, reason: str) -> None: ...

    fail = close


class Answers(BasePool):
    """Nodes as a model: attempts end by themselves."""

    def __init__(self, seed: int, new_conn: Any, at: Any) -> None:
        super().__init__(new_conn, at)
        self.rng = random.Random(seed)
        self.open: dict[int, c.Attempt] = {}
        self.settings: Any = None
        self.links: dict[int, Any] = {}

    def send(self, now: float, attempt: c.Attempt) -> None:
        self.now = now
        low, high = WORK_MS
        middle = low * (high / low) ** (crc32(attempt.node.encode()) / 0xFFFFFFFF)
        self.open[id(attempt)] = attempt
        self.at(now + middle * self.rng.lognormvariate(0.0, SPREAD), self._done, attempt)

    def _done(self, attempt: c.Attempt) -> None:
        if self.open.pop(id(attempt), None) is not None:
            lost = self.rng.random() < LOST
            self.ended.append(c.AttemptEnded(attempt, i.Result.RESET if lost else i.Result.OK, None if lost else {}))

    def _abandon(self, attempt: c.Attempt, result: i.Result) -> None:
        if self.open.pop(id(attempt), None) is not None:
            self.ended.append(c.AttemptEnded(attempt, result))

    def _is_unsent(self, attempt: c.Attempt) -> bool:
        return False

    def probe(self, now: float, server: str) -> None:
        self.now = now
        self.ended.append(c.ProbeEnded(server, i.Result.OK, 1.0))

    def apply_list(self, now: float, servers: dict[str, i.State]) -> None:
        self.now = now

    def close_all(self, now: float) -> None:
        self.open.clear()


@dataclass(frozen=True, slots=True)
class HollowSetup(websocket.Setup):
    """The ingress of ``rushweir serve`` without clients and nodes."""

    def components(self, core: base.Core) -> base.Components:
        made = websocket.Setup.components(self, core)
        made.front = Front
        made.pool = Answers(self.seed, core.new_conn, core.engine.call_at)
        return made
