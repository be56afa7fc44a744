"""Cold servers under a whole fleet in simulated time: the decisions of the program, unchanged, on servers that count.

A server that has just started can do ``cold_share`` of its work, and falls when all ingresses together send it more
than N requests in the window that the settings name, N being ``fall_multiple`` times what it can do then. What a
fleet of ingresses sends by lot spreads around its mean; beyond N only twice the root of N and 2 more are put down to
chance.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import sqrt
from typing import Any

from rushweir import interface as i
from rushweir.policy import Policy

BEGAN = 1_000_000.0
WAY_MS = 1.0  # between ingress and server, one way


@dataclass(frozen=True, slots=True)
class Scene:
    """A fleet and what befalls it. Times in milliseconds from its beginning, work in milliseconds of one core."""

    ingresses: int
    servers: int
    load: float = 0.6  # of what all servers can do warm
    work_ms: float = 80.0
    cores: int = 2
    warm_ms: float = 4_000.0  # of traffic before anything starts anew
    starts: tuple[tuple[float, int], ...] = ()  # (when, how many servers start anew then), after ``warm_ms``
    told_ms: tuple[float, float] = (0.0, 0.0)  # an ingress hears of a start so much later, drawn for each
    uneven: float = 1.0  # of the busiest ingress's traffic to the mean, falling off by rank
    again: float = 0.5  # of refused requests that come again
    seconds: float = 12.0
    rules: i.Rules = i.Rules(8.0, 1000.0, cold_share=0.2, cold_ms=10_000.0, fall_multiple=3.0, fall_ms=1500.0)
    aim_ms: float = 800.0
    seed: int = 1


@dataclass(slots=True)
class Server:
    """What one server was sent, and when it will be free."""

    number: int
    cores: list[float]
    started: float = 0.0  # 0: long ago
    sent: deque[float] = field(default_factory=deque)

    def warmth(self, now: float, rules: i.Rules) -> float:
        done = min(1.0, (now - self.started) / rules.cold_ms) if self.started else 1.0
        return rules.cold_share + (1 - rules.cold_share) * done


@dataclass(slots=True)
class Asked:
    until: float
    attempts: int = 0


@dataclass(slots=True)
class Found:
    """``worst`` is the most that a cold server got, in roots of N above N; ``mean`` what all got in parts of N."""

    worst: float = -1e9
    mean: float = 0.0
    windows: int = 0
    falls: int = 0  # windows above N + 2 roots + 2
    asked: int = 0
    served: int = 0
    cold_sends: int = 0


class ColdFleet:
    """One play of a scene."""

    def __init__(self, scene: Scene, policy: Callable[..., Any] = Policy) -> None:
        self.scene, self.rng, self.now = scene, random.Random(scene.seed), BEGAN
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serial = 0
        self.found = Found()
        self.servers = [Server(k, [0.0] * scene.cores) for k in range(scene.servers)]
        self.open: dict[str, Asked] = {}
        self.out: dict[tuple[str, int], tuple[str, float]] = {}  # attempts: where, and when they were sent
        cls = i.RequestClass("ask", scene.aim_ms, 3000.0, effect=i.Effect.SAFE)
        limits = i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0)
        self.policies = [
            policy(
                i.Settings(k, scene.ingresses, "a", (cls,), (i.Plan("wide", 1e9, 1e9),), scene.rules, limits),
                scene.seed * 1000 + k, BEGAN,
            )
            for k in range(scene.ingresses)
        ]  # fmt: skip
        for k, policy_ in enumerate(self.policies):
            self.do(k, policy_.start())
            self.listed(k, i.Scope.FULL, self.servers)

    # --- time ------------------------------------------------------------------------------------

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        heappush(self.events, (when, self.serial, what, args))

    def run(self) -> Found:
        s = self.scene
        per_ms = s.load * s.servers * s.cores / s.work_ms
        weights = [s.uneven / (k + 1) ** 0.5 if s.uneven > 1 else 1.0 for k in range(s.ingresses)]
        for k, weight in enumerate(weights):
            self.arrive(k, per_ms * weight / sum(weights))
        for when, count in s.starts:
            self.at(BEGAN + s.warm_ms + when, self.start_anew, count)
        end = BEGAN + s.warm_ms + s.seconds * 1000
        while self.events and self.events[0][0] <= end:
            self.now, _, what, args = heappop(self.events)
            what(*args)
        self.found.mean /= max(1, self.found.windows)
        return self.found

    # --- traffic ---------------------------------------------------------------------------------

    def arrive(self, k: int, per_ms: float) -> None:
        self.at(self.now + self.rng.expovariate(per_ms), self._arrived, k, per_ms)

    def _arrived(self, k: int, per_ms: float) -> None:
        self.found.asked += 1
        self.ask(k, self.now + 3000.0)
        self.arrive(k, per_ms)

    def ask(self, k: int, until: float) -> None:
        self.serial += 1
        rid = f"r{self.serial}"
        self.open[rid] = Asked(until)
        self.event(k, i.Request(rid, "ask", "wide", f"c{k}", until, 1.0, 1, k))

    def event(self, k: int, event: i.Event) -> None:
        self.do(k, self.policies[k].handle(self.now, event))

    def do(self, k: int, actions: list[i.Action]) -> None:
        for action in actions:
            match action:
                case i.Send():
                    self.send(k, action)
                case i.SetTimer():
                    self.at(self.now + action.after_ms, self.event, k, i.Timer(action.ref))
                case i.Cancel():
                    self.ended(k, action.id, action.attempt, i.Result.CANCELLED)
                case i.Refuse():
                    until = self.open.pop(action.id).until
                    back = self.now + max(action.retry_after_ms, 40.0)
                    if back < until and self.rng.random() < self.scene.again:
                        self.at(back, self.ask, k, until)
                case i.Fail():
                    self.open.pop(action.id, None)

    def send(self, k: int, action: i.Send) -> None:
        request, server, s = self.open[action.id], self.servers[int(action.server[1:])], self.scene
        n, request.attempts = request.attempts, request.attempts + 1
        self.out[action.id, n] = action.server, self.now
        self.count(server)
        core = min(range(len(server.cores)), key=server.cores.__getitem__)
        begin = max(self.now + WAY_MS, server.cores[core])
        server.cores[core] = begin + self.rng.expovariate(1 / s.work_ms) / server.warmth(self.now, s.rules)
        back = server.cores[core] + WAY_MS
        late = back >= request.until
        self.at(min(back, request.until), self.ended, k, action.id, n, i.Result.TIMEOUT if late else i.Result.OK)

    def ended(self, k: int, rid: str, n: int, result: i.Result) -> None:
        """The attempt's one outcome; what a server still does for one that was given up is its own affair."""
        address, sent = self.out.pop((rid, n), ("", 0.0))
        if not address:
            return
        settled = result is i.Result.OK
        if settled:
            self.found.served += self.open.pop(rid, None) is not None
        self.event(k, i.Outcome(rid, n, address, result, self.now - sent, settled))

    # --- servers ---------------------------------------------------------------------------------

    def count(self, server: Server) -> None:
        rules = self.scene.rules
        if not server.started or self.now - server.started > rules.cold_ms:
            return
        self.found.cold_sends += 1
        server.sent.append(self.now)
        while server.sent[0] <= self.now - rules.fall_ms:
            server.sent.popleft()
        able = self.scene.cores / self.scene.work_ms * server.warmth(self.now, rules)
        n = rules.fall_multiple * able * rules.fall_ms
        self.found.windows += 1
        self.found.mean += len(server.sent) / n
        self.found.worst = max(self.found.worst, (len(server.sent) - n) / sqrt(n))
        self.found.falls += len(server.sent) > n + 2 * sqrt(n) + 2

    def start_anew(self, count: int) -> None:
        warm = [s for s in self.servers if not s.started]
        chosen = self.rng.sample(warm, min(count, len(warm)))
        for server in chosen:
            server.started, server.cores = self.now, [self.now] * len(server.cores)
        for k in range(len(self.policies)):
            self.at(self.now + self.rng.uniform(*self.scene.told_ms), self.listed, k, i.Scope.DELTA, chosen)

    def listed(self, k: int, scope: i.Scope, servers: list[Server]) -> None:
        entries = tuple(i.Server(f"s{x.number}", zone="a", online_since_ms=x.started) for x in servers)
        self.event(k, i.Members(scope, entries))
