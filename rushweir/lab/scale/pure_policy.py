"""The decisions of one ingress, by calls: a request by the list's length and by ingresses, a change of the list."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import replace
from statistics import median

from rushweir import interface as i
from rushweir.lab.scale.pure_measure import cpu, traced
from rushweir.lab.scale.samples import Role, Sample
from rushweir.policy import Policy

ZONES = 6
GAP_MS = 7.0  # between two requests: 143 a second
REQUESTS = 400  # in a block that is timed
PAIRS = 1  # of blocks, in each round
CLASSES = (
    i.RequestClass("quick", 400.0, 2_000.0, 1.0, effect=i.Effect.SAFE),
    i.RequestClass("usual", 1_000.0, 4_000.0, 2.0, effect=i.Effect.SAFE),
    i.RequestClass("long", 4_000.0, 10_000.0, 4.0, effect=i.Effect.SAFE),
)
PLANS = tuple(i.Plan(f"plan{k}", rate=1_000.0, burst=2_000.0) for k in range(8))


def settings(gateways: int = 1, peers: bool = False, mail: float = 60.0) -> i.Settings:
    """Of one ingress among ``gateways``; ``mail``: messages a second that it may send."""
    return i.Settings(
        0, gateways, "zone0", CLASSES, PLANS, limits=i.Limits(max_attempts=3, retry_after=True),
        sharing=i.Sharing(peers=peers, messages_per_s=mail), prices={"crossZone": 0.1},
    )  # fmt: skip


def servers(count: int) -> tuple[i.Server, ...]:
    return tuple(
        i.Server(f"127.{1 + k // 65_000}.{k // 250 % 256}.{k % 250 + 1}:9000", f"zone{k % ZONES}", k % 12)
        for k in range(count)
    )


class Ingress:
    """A policy whose requests are answered at once, on a clock of its own."""

    def __init__(self, of: i.Settings, listed: tuple[i.Server, ...], spread: int = 1) -> None:
        self.policy, self.now, self.spread = Policy(of, 7, 0.0), 0.0, spread
        self.policy.start()
        self.policy.handle(0.0, i.Members(i.Scope.FULL, listed))
        self.serial, self.refused = itertools.count(), 0

    def request(self, customer: str, answered: bool = True) -> None:
        """A request, and its good answer in the same call; time goes on by what lies between two."""
        self.now += GAP_MS
        rid = f"r{next(self.serial)}"
        event = i.Request(rid, "usual", "plan1", customer, self.now + 4_000.0, gateway_count=self.spread)
        sends = [a for a in self.policy.handle(self.now, event) if isinstance(a, i.Send)]
        if not answered:
            return
        self.refused += not sends
        for a in sends:
            self.policy.handle(self.now + 1.0, i.Outcome(rid, 0, a.server, i.Result.OK, 20.0, True))

    def tick(self) -> None:
        self.policy.handle(self.now, i.Timer(0))


def request_by_list(size: int) -> Iterator[Sample]:
    """A whole request of a customer that is known, and the timer of ten times a second, by backends in the list."""
    role, by = "decisions", "backends"
    one = Ingress(settings(), servers(size))
    for k in range(REQUESTS):  # connections become known, rates learnt
        one.request(f"c{k % 50}")
    one.tick()

    def block() -> None:
        for k in range(REQUESTS):
            one.request(f"c{k % 50}")

    yield Sample(role, "request", "us", by, size, cpu(block) / REQUESTS * 1e6, "core")
    yield Sample(role, "tick", "us", by, size, cpu(lambda: [one.tick() for _ in range(20)]) / 20 * 1e6, "core")
    if one.refused:
        raise RuntimeError(f"{one.refused} requests were refused: what was measured is not a whole request")


def request_by_ingresses(size: int) -> Iterator[Sample]:
    """A request up to its question to the keeper: of a customer not seen for 30 s, and of one that is known."""
    role, by = "newcomer", "ingresses"
    one = Ingress(settings(size, peers=True, mail=1e6), servers(100), size)
    fresh = itertools.count()

    def unseen() -> None:
        for _ in range(REQUESTS):
            one.request(f"new{next(fresh)}", answered=False)

    def known() -> None:
        for k in range(REQUESTS):
            one.request(f"old{k % 50}", answered=False)

    def cleared(block) -> float:
        # What is asked stays open until an answer comes: it is forgotten between the blocks, as ends do.
        one.policy.pending.clear()
        one.policy.checks.clear()
        one.policy.quota.held_requests.clear()
        return cpu(block, 1)

    known()
    pairs = [(cleared(unseen), cleared(known)) for _ in range(PAIRS)]
    for name, times in zip(("unseen", "known"), zip(*pairs, strict=True), strict=True):
        yield Sample(role, name, "us", by, size, median(times) / REQUESTS * 1e6, "core")


def change_by_list(size: int) -> Iterator[Sample]:
    """A change of one backend in the list, and a zone's backends told one by one and in one message."""
    role, by = "backend_change", "backends"
    listed = servers(size)
    one = Ingress(settings(), listed)
    changed = replace(listed[0], state=i.State.DRAINING), listed[0]
    times = 20

    def changes() -> None:
        for k in range(times):
            one.now += 1.0
            one.policy.handle(one.now, i.Members(i.Scope.DELTA, (changed[k % 2],)))

    zone = [s for s in listed if s.zone == "zone0"]

    def told(state: i.State, at_once: bool) -> None:
        gone = tuple(replace(s, state=state) for s in zone)
        for part in [gone] if at_once else [(s,) for s in gone]:
            one.policy.handle(one.now, i.Members(i.Scope.DELTA, part))

    yield Sample(role, "one_change", "ms", by, size, cpu(changes) / times * 1e3, "core")
    one_by_one = cpu(lambda: told(i.State.GONE, False), 1)
    told(i.State.READY, True)
    yield Sample(role, "a_zone_one_by_one", "ms", by, size, one_by_one * 1e3, "core")
    yield Sample(role, "a_zone_at_once", "ms", by, size, cpu(lambda: told(i.State.GONE, True), 1) * 1e3, "core")


def memory_by_list(size: int) -> Iterator[Sample]:
    listed = servers(size)
    _, memory = traced(lambda: Ingress(settings(), listed))
    yield Sample("backend_change", "memory", "MB", "backends", size, memory / 1e6, "core")


def seen(one: Ingress, names: list[str]) -> None:
    """Customers seen within 30 s as a door and as a keeper, all at one moment: so many are known at once."""
    for name in names:
        event = i.Request("r", "usual", "plan1", name, 4_000.0)
        c = one.policy.quota.customer(event, 0.0)
        one.policy.quota.decide_as_owner(c.key, c.plan, 1.0, 0.0, (0, 1))


def tenants(size: int) -> list[str]:
    return [f"tenant{k:05d}" for k in range(size)]


def customers_kept(size: int) -> Iterator[Sample]:
    """What is kept of so many customers."""
    one, names = Ingress(settings(), servers(100)), tenants(size)
    _, memory = traced(lambda: seen(one, names))
    yield Sample("customers", "memory", "MB", "tenants", size, memory / 1e6, "core")


def customers_swept(size: int) -> Iterator[Sample]:
    """They are looked through each 3 s."""
    one = Ingress(settings(), servers(100))
    seen(one, tenants(size))

    def swept() -> None:
        one.policy.quota.known.swept_at = -1e9
        one.policy.quota.tick(1.0)

    yield Sample("customers", "sweep_cpu", "ms", "tenants", size, cpu(swept) * 1e3, "core")


LISTS = (100, 500, 1_000, 3_000, 7_600)
ROLES = (
    Role("decisions", "A request's decisions, by the list's length", "backends", LISTS, request_by_list),
    Role("newcomer", "A request of a customer not seen for 30 s, by ingresses", "ingresses", (3, 25, 100, 200, 700),
         request_by_ingresses),
    Role("customers", "Customers that an ingress knows", "tenants", (1_000, 2_000, 4_000, 8_000, 16_000),
         customers_swept, customers_kept),
    Role("backend_change", "A change of the list in the module", "backends", LISTS, change_by_list,
         memory_by_list),
)  # fmt: skip
