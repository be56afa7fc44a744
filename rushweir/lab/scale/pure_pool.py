"""Connections to backends: how many an ingress holds and opens at 143 requests a second, and the pool's own work."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterator
from functools import cache

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.lab.scale.pure_measure import cpu, traced
from rushweir.lab.scale.pure_policy import GAP_MS, LISTS, Ingress, servers, settings
from rushweir.lab.scale.samples import Role, Sample
from rushweir.nodes.links import OPEN
from rushweir.nodes.pool import Pool, PoolSettings

SPAN_MS = 20_000.0  # longer than a connection stays open without work
ATTEMPTS = 200  # in a block that is timed


@cache
def used(size: int) -> tuple[int, float]:
    """Connections that are open after some time, and how many are opened a second, where each backend that a request
    goes to gets one, and it closes when idle for so long as the pool says."""
    one, idle = Ingress(settings(), servers(size)), PoolSettings().idle_ms
    chosen: list[tuple[float, str]] = []
    handle = one.policy.handle

    def seen(now: float, event: i.Event) -> list[i.Action]:
        actions = handle(now, event)
        chosen.extend((now, a.server) for a in actions if isinstance(a, i.Send))
        return actions

    one.policy.handle = seen
    links: OrderedDict[str, float] = OrderedDict()
    opened = 0
    for k in range(int(SPAN_MS / GAP_MS)):
        one.request(f"c{k % 50}")
        now, address = chosen[-1]
        while links and next(iter(links.values())) < now - idle:
            links.popitem(last=False)
        opened += address not in links and now > idle
        links[address] = now
        links.move_to_end(address)
    return len(links), opened * 1000 / (SPAN_MS - idle)


def empty() -> Pool:
    numbers = itertools.count()
    return Pool(PoolSettings(), {}, lambda _: next(numbers), lambda *_: None)


def opened(made: Pool, held: tuple[i.Server, ...]) -> None:
    """A connection to each of these, open and without work."""
    for k, s in enumerate(held):
        made.send(0.0, c.Attempt(f"r{k}", 0, s.address, 0.0, 1_000.0, {}, "usual"))
    for link in made.links.values():
        link.state = OPEN
    for link in list(made.links.values()):
        for waiting in list(link.waiting.values()):
            made.withdraw(0.0, waiting)


def counted(size: int) -> Iterator[Sample]:
    role, by = "connections", "backends"
    held, dials = used(size)
    yield Sample(role, "descriptors", "1", by, size, held, "simulated", SPAN_MS / 1000)
    yield Sample(role, "opened", "1/s", by, size, dials, "simulated", SPAN_MS / 1000)
    made, listed = empty(), servers(size)
    _, memory = traced(lambda: opened(made, listed[:held]))
    yield Sample(role, "memory_of_connections", "MB", by, size, memory / 1e6, "core")


def timed(size: int) -> Iterator[Sample]:
    role, by, listed = "connections", "backends", servers(size)
    held, made = used(size)[0], empty()
    opened(made, listed[:held])
    states = {s.address: s.state for s in listed}
    yield Sample(
        role, "told_of_a_change_cpu", "ms", by, size, cpu(lambda: made.apply_list(1.0, states)) * 1e3, "core"
    )

    def sent() -> None:
        for k in range(ATTEMPTS):
            link = made._link_for(made.nodes[listed[k % held].address])
            assert link is not None

    yield Sample(role, "find_cpu", "us", by, size, cpu(sent) / ATTEMPTS * 1e6, "core")


ROLES = (Role("connections", "Connections to backends", "backends", LISTS, timed, counted),)
