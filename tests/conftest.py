"""A gateway's policy and plain helpers to feed it; no bench, no clock, fixed seeds."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path

import pytest

from rushweir import interface as i
from rushweir.lab import ports
from rushweir.policy import Policy
from tests import lanes

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"  # a line each: test | cause | issue
MOST_RED = 3


def known_red() -> dict[str, str]:
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {name.strip(): why.strip() for name, _, why in (line.partition("|") for line in lines if line.strip())}


def pytest_configure() -> None:
    """Each worker draws its ports from a part of its own."""
    if worker := os.environ.get("PYTEST_XDIST_WORKER"):
        (first, end), count = ports.PORTS, int(os.environ["PYTEST_XDIST_WORKER_COUNT"])
        size, place = (end - first) // count, int(worker.removeprefix("gw")) % count
        ports.PORTS = first + place * size, first + (place + 1) * size


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    return lanes.scheduler(config, log)


def pytest_collection_modifyitems(items) -> None:
    """Tests that are known to fail for a real fault run all the same, and their failing is no news."""
    red = known_red()
    if len(red) > MOST_RED:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {MOST_RED} tests at most")
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))
    if "PYTEST_XDIST_WORKER" in os.environ:
        items.sort(key=lambda item: lanes.rank(item.nodeid))


def pytest_terminal_summary(terminalreporter) -> None:
    for name, why in known_red().items():
        terminalreporter.write_line(f"known red: {name} | {why}")


CLASSES = (
    i.RequestClass("look", 800.0, 3000.0, effect=i.Effect.SAFE),
    i.RequestClass("book", 1200.0, 3000.0, 5.0, 0.0, i.Effect.KEYED, i.Group.ZONE, window_ms=2000.0),
    i.RequestClass("pay", 1200.0, 3000.0, worth=5.0, effect=i.Effect.UNSAFE),
)
PLANS = (
    i.Plan("rated", rate=2.0, burst=6.0, over_cost=0.5),
    i.Plan("wide", rate=1000.0, burst=1000.0, over_cost=0.5),
    i.Plan("soft", rate=1.0, burst=2.0, over_worth=0.3),
    i.Plan("open", max_in_flight=2, over_cost=1.0),
    i.Plan("capped", 10.0, 20.0, ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0, over_cost=0.5),
)
RULES = i.Rules(8.0, 1000.0, cold_share=0.2, cold_ms=10000.0, fall_multiple=3.0, fall_ms=1500.0)
SETTINGS = i.Settings(
    gateway=0,
    gateways=3,
    zone="a",
    classes=CLASSES,
    plans=PLANS,
    rules=RULES,
    limits=i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0),
    sharing=i.Sharing(peers=True, messages_per_s=60.0),
)


class Gateway:
    """A policy with time and request numbers kept for the test."""

    def __init__(self, settings: i.Settings = SETTINGS, servers: int = 6, now: float = 1000.0) -> None:
        self.policy, self.now, self.n = Policy(settings, 7, now), now, 0
        self.policy.start()
        zones = ("a", "b")
        self.list(*(i.Server(f"s{k}", zone=zones[k % 2]) for k in range(servers)))

    def list(self, *servers: i.Server, scope: i.Scope = i.Scope.FULL) -> None:
        self.do(i.Members(scope, servers))

    def do(self, event: i.Event) -> list[i.Action]:
        return self.policy.handle(self.now, event)

    def ask(self, plan: str = "wide", cls: str = "look", customer: str = "c", units: float = 1.0, **more):
        """One request; returns its id and the policy's decision on it (a Send, Refuse or Fail)."""
        self.n += 1
        fields = {"not_after_ms": self.now + 3000.0, "gateway_count": 1, "first_gateway": 0} | more
        actions = self.do(i.Request(f"r{self.n}", cls, plan, customer, units=units, **fields))
        mine = [a for a in actions if getattr(a, "id", None) == f"r{self.n}"]
        mine = [a for a in mine if not isinstance(a, i.SetTimer)]
        assert len(mine) == 1
        return f"r{self.n}", mine[0]

    def end(self, rid: str, send: i.Send, result=i.Result.OK, spent=50.0, attempt=0, **more):
        more = {"settled": result is i.Result.OK} | more
        actions = self.do(i.Outcome(rid, attempt, send.server, result, spent, **more))
        return [a for a in actions if not isinstance(a, i.SetTimer)]

    def odd(self, count: int, step: float, spent: float, odd_spent: float, odd_result=i.Result.OK):
        """One request after another; tells which went to a server of odd number."""
        chosen = []
        for _ in range(count):
            rid, send = self.ask()
            self.now += step
            chosen.append(int(send.server[1:]) % 2 == 1)
            if chosen[-1]:
                self.end(rid, send, odd_result, odd_spent, settled=True)
            else:
                self.end(rid, send, spent=spent)
        return chosen

    def serve(self, count: int, spent: float = 50.0, **ask) -> None:
        for _ in range(count):
            rid, send = self.ask(**ask)
            self.now += spent
            self.end(rid, send, spent=spent)


class Wired:
    """Several gateways with peers and a counter between them, in memory; time moves in steps of 2 ms."""

    def __init__(self, gateways: int, servers: int, settings: i.Settings) -> None:
        self.nodes = [Gateway(replace(settings, gateway=k, gateways=gateways), servers) for k in range(gateways)]
        self.now, self.n, self.calls = 1000.0, 0, 0
        self.told: list[str] = []
        self.dead: set[int] = set()
        self.totals: dict[int, float] = {}
        self.counter_result = i.Result.OK
        self.events: list[tuple[float, int, i.Event]] = []
        self.finals: dict[str, list[i.Action]] = {}
        for k, node in enumerate(self.nodes):
            self.act(k, node.policy.start())

    def act(self, k: int, actions: list[i.Action]) -> None:
        for a in actions:
            match a:
                case i.SetTimer():
                    self.events.append((self.now + max(2.0, a.after_ms), k, i.Timer(a.ref)))
                case i.Tell():
                    self.told.append(a.text)
                    self.events.append((self.now + 4.0, a.to, i.PeerMessage(k, a.text)))
                case i.Count():
                    self.calls += 1
                    good = self.counter_result is i.Result.OK
                    if good:
                        self.totals[a.name] = self.totals.get(a.name, 0.0) + a.amount
                    value = self.totals.get(a.name, 0.0)
                    self.events.append((self.now + 4.0, k, i.Counted(a.name, self.counter_result, value)))
                case i.Send():
                    self.finals.setdefault(a.id, []).append(a)
                    done = i.Outcome(a.id, 0, a.server, i.Result.OK, 100.0, True)
                    self.events.append((self.now + 100.0, k, done))
                case i.Refuse() | i.Fail():
                    self.finals.setdefault(a.id, []).append(a)

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 2.0
            due = [e for e in self.events if e[0] <= self.now]
            self.events = [e for e in self.events if e[0] > self.now]
            for _, k, event in due:
                if k not in self.dead:
                    self.nodes[k].now = self.now
                    self.act(k, self.nodes[k].do(event))

    def ask(self, k: int, plan: str = "rated", customer: str = "c", units: float = 1.0, **more) -> str:
        self.n += 1
        rid, node = f"r{self.n}", self.nodes[k]
        fields = {"not_after_ms": self.now + 3000.0, "gateway_count": len(self.nodes), "first_gateway": 0} | more
        node.now = self.now
        self.act(k, node.do(i.Request(rid, "look", plan, customer, units=units, **fields)))
        return rid

    def restart(self, k: int) -> None:
        """The gateway comes back with nothing but its list."""
        self.dead.discard(k)
        self.events = [e for e in self.events if e[1] != k]
        self.nodes[k] = Gateway(self.nodes[k].policy.settings, 60, self.now)
        self.act(k, self.nodes[k].policy.start())

    def sent(self) -> int:
        """Requests sent on; every one asked for has exactly one decision."""
        assert len(self.finals) == self.n
        assert all(len(a) == 1 for a in self.finals.values())
        return sum(isinstance(a[0], i.Send) for a in self.finals.values())


@pytest.fixture
def wire():
    def build(gateways: int = 60, servers: int = 60, **changes) -> Wired:
        return Wired(gateways, servers, replace(SETTINGS, **changes))

    return build


@pytest.fixture
def gateway() -> Gateway:
    return Gateway()


@pytest.fixture
def make():
    def build(servers: int = 6, **changes) -> Gateway:
        return Gateway(replace(SETTINGS, **changes), servers)

    return build
