"""The shared counter: what one ingress asks of it at 143 requests a second, by ingresses, and what a call costs."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Any

from rushweir import interface as i
from rushweir.counter.client import CounterClient
from rushweir.lab.scale.pure_measure import cpu
from rushweir.lab.scale.pure_policy import CLASSES, GAP_MS, PLANS, servers
from rushweir.lab.scale.samples import Role, Sample
from rushweir.link import rpc
from rushweir.link.upstream import OPEN
from rushweir.policy import Policy

ANSWER_MS, SERVED_MS, TENANTS = 5.0, 20.0, 200
WARM_MS, COUNT_MS = 60_000.0, 10_000.0  # its pace begins slow, by the number of ingresses, and has to settle
BACKENDS = 300
CALLS = 200  # in a block that is timed


def calls_each_s(ingresses: int) -> float:
    """Calls a second of one ingress that gets 143 requests a second and a counter that answers each, on its clock."""
    of = i.Settings(
        0, ingresses, "zone0", CLASSES, PLANS, limits=i.Limits(max_attempts=3, retry_after=True),
        sharing=i.Sharing(counter=True, counter_timeout_ms=50.0),
    )  # fmt: skip
    policy, due, serial, counted = Policy(of, 5, 0.0), [], itertools.count(), 0

    def at(when: float, event: Any) -> None:
        heapq.heappush(due, (when, next(serial), event))

    for a in policy.start():
        at(a.after_ms, i.Timer(a.ref))
    policy.handle(0.0, i.Members(i.Scope.FULL, servers(BACKENDS)))
    at(0.0, None)
    while due[0][0] < WARM_MS + COUNT_MS:
        now, number, event = heapq.heappop(due)
        if event is None:
            at(now + GAP_MS, None)
            name = f"c{number * 7 % TENANTS}"
            event = i.Request(f"r{number}", "long", "plan1", name, now + 8_000.0, gateway_count=ingresses)
        for a in policy.handle(now, event):
            if isinstance(a, i.Count):
                counted += now >= WARM_MS
                at(now + ANSWER_MS, i.Counted(a.name, i.Result.OK, a.amount, ANSWER_MS))
            elif isinstance(a, i.Send):
                at(now + SERVED_MS, i.Outcome(a.id, 0, a.server, i.Result.OK, SERVED_MS, True))
            elif isinstance(a, i.SetTimer):
                at(now + a.after_ms, i.Timer(a.ref))
    return counted * 1000 / COUNT_MS


def counted(size: int) -> Iterator[Sample]:
    role, by = "counter", "ingresses"
    calls = calls_each_s(size)
    yield Sample(role, "calls", "1/s", by, size, calls, "simulated", COUNT_MS / 1000)
    yield Sample(role, "calls_at_the_counter", "1/s", by, size, calls * size, "simulated", COUNT_MS / 1000)


def timed(size: int) -> Iterator[Sample]:
    role, by = "counter", "ingresses"
    client = CounterClient("ws://127.0.0.1:9/counter", {}, 1, 50.0, lambda _: 1, lambda *_: None)
    numbers = itertools.count()
    client.link.state = OPEN
    client.link.call = lambda method, params, number: asked.append(rpc.call(method, params, number))
    asked: list[bytes] = []

    def block() -> None:
        for _ in range(CALLS):
            client.add(float(next(numbers)), 1_000_000_007, 1.0, 60_000.0)
            client.message(rpc.parse(rpc.result(client.number, {"value": 12.5})))
        client.ended.clear()

    yield Sample(role, "call_cpu", "us", by, size, cpu(block) / CALLS * 1e6, "core")
    both = len(asked[0]) + len(rpc.result(client.number, {"value": 12.5}))
    yield Sample(role, "call_bytes", "B", by, size, both, "core")


ROLES = (
    Role("counter", "The shared counter, by ingresses that call it", "ingresses", (3, 25, 100, 700), timed, counted),
)
