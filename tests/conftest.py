"""Gateways of one policy each, alone or in a network, with fixed seeds and simulated time; and hooks of pytest."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path

import pytest

from rushweir import interface
from rushweir.lab import ports
from rushweir.policy import Policy
from tests import lanes

KNOWN_FAILURES = Path(__file__).parents[1] / "KNOWN-RED.txt"  # a line each: test | cause | issue
MAX_KNOWN_FAILURES = 3


def known_failures() -> dict[str, str]:
    """The tests that are known to fail, with cause and issue."""
    lines = KNOWN_FAILURES.read_text().splitlines() if KNOWN_FAILURES.exists() else []
    return {name.strip(): cause.strip() for name, _, cause in (line.partition("|") for line in lines if line.strip())}


def pytest_configure() -> None:
    """Give each worker a range of ports of its own."""
    if worker := os.environ.get("PYTEST_XDIST_WORKER"):
        first, end = ports.PORTS
        count = int(os.environ["PYTEST_XDIST_WORKER_COUNT"])
        size = (end - first) // count
        index = int(worker.removeprefix("gw")) % count
        ports.PORTS = first + index * size, first + (index + 1) * size


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    return lanes.scheduler(config, log)


def pytest_collection_modifyitems(items) -> None:
    """Expect tests that are known to fail for a real fault to fail; they run all the same. Order tests by lane."""
    failures = known_failures()
    if len(failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{KNOWN_FAILURES.name}: {MAX_KNOWN_FAILURES} tests at most")
    for item in items:
        if item.nodeid in failures:
            item.add_marker(pytest.mark.xfail(reason=failures[item.nodeid], strict=False))
    if "PYTEST_XDIST_WORKER" in os.environ:
        items.sort(key=lambda item: lanes.rank(item.nodeid))


def pytest_terminal_summary(terminalreporter) -> None:
    for name, cause in known_failures().items():
        terminalreporter.write_line(f"known red: {name} | {cause}")


CLASSES = (
    interface.RequestClass("look", 800.0, 3000.0, effect=interface.Effect.SAFE),
    interface.RequestClass(
        "book", 1200.0, 3000.0, 5.0, 0.0, interface.Effect.KEYED, interface.Group.ZONE, window_ms=2000.0
    ),
    interface.RequestClass("pay", 1200.0, 3000.0, worth=5.0, effect=interface.Effect.UNSAFE),
)
PLANS = (
    interface.Plan("rated", rate=2.0, burst=6.0, over_cost=0.5),
    interface.Plan("wide", rate=1000.0, burst=1000.0, over_cost=0.5),
    interface.Plan("soft", rate=1.0, burst=2.0, over_worth=0.3),
    interface.Plan("open", max_in_flight=2, over_cost=1.0),
    interface.Plan("capped", 10.0, 20.0, ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0, over_cost=0.5),
)
RULES = interface.Rules(8.0, 1000.0, cold_share=0.2, cold_ms=10000.0, fall_multiple=3.0, fall_ms=1500.0)
SETTINGS = interface.Settings(
    gateway=0,
    gateways=3,
    zone="a",
    classes=CLASSES,
    plans=PLANS,
    rules=RULES,
    limits=interface.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0),
    sharing=interface.Sharing(peers=True, messages_per_s=60.0),
)


class Gateway:
    """One gateway's policy on a clock that the test sets, with servers s0, s1, ... alternately in zones a and b."""

    def __init__(self, settings: interface.Settings = SETTINGS, servers: int = 6, now: float = 1000.0) -> None:
        self.policy = Policy(settings, 7, now)
        self.now = now
        self.request_count = 0
        self.policy.start()
        zones = ("a", "b")
        self.update_servers(*(interface.Server(f"s{k}", zone=zones[k % 2]) for k in range(servers)))

    def update_servers(self, *servers: interface.Server, scope: interface.Scope = interface.Scope.FULL) -> None:
        """Give the policy an update of the server list."""
        self.handle(interface.Members(scope, servers))

    def handle(self, event: interface.Event) -> list[interface.Action]:
        """The actions that an event leads to now."""
        return self.policy.handle(self.now, event)

    def request(self, plan: str = "wide", class_name: str = "look", customer: str = "c", units: float = 1.0, **more):
        """One request; returns its id and the policy's decision on it: a Send, Refuse or Fail."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        fields = {"not_after_ms": self.now + 3000.0, "gateway_count": 1, "first_gateway": 0} | more
        actions = self.handle(interface.Request(request_id, class_name, plan, customer, units=units, **fields))
        own_actions = [action for action in actions if getattr(action, "id", None) == request_id]
        own_actions = [action for action in own_actions if not isinstance(action, interface.SetTimer)]
        assert len(own_actions) == 1
        return request_id, own_actions[0]

    def end_attempt(
        self,
        request_id: str,
        send: interface.Send,
        result=interface.Result.OK,
        spent_ms=50.0,
        attempt=0,
        **more,
    ):
        """Report an attempt's outcome; returns the actions without timers."""
        more = {"settled": result is interface.Result.OK} | more
        actions = self.handle(interface.Outcome(request_id, attempt, send.server, result, spent_ms, **more))
        return [action for action in actions if not isinstance(action, interface.SetTimer)]

    def requests_to_odd_servers(
        self, count: int, step_ms: float, spent_ms: float, odd_spent_ms: float, odd_result=interface.Result.OK
    ):
        """Serve one request after another; returns for each whether it went to a server of odd number."""
        chosen = []
        for _ in range(count):
            request_id, send = self.request()
            self.now += step_ms
            chosen.append(int(send.server[1:]) % 2 == 1)
            if chosen[-1]:
                self.end_attempt(request_id, send, odd_result, odd_spent_ms, settled=True)
            else:
                self.end_attempt(request_id, send, spent_ms=spent_ms)
        return chosen

    def serve(self, count: int, spent_ms: float = 50.0, **request) -> None:
        """Serve one request after another."""
        for _ in range(count):
            request_id, send = self.request(**request)
            self.now += spent_ms
            self.end_attempt(request_id, send, spent_ms=spent_ms)


class GatewayNetwork:
    """Several gateways with messages and a counter between them, in memory; time advances in steps of 2 ms.

    Messages and counter calls take 4 ms, and each attempt succeeds after 100 ms.
    """

    def __init__(self, gateways: int, servers: int, settings: interface.Settings) -> None:
        self.gateways = [Gateway(replace(settings, gateway=k, gateways=gateways), servers) for k in range(gateways)]
        self.now = 1000.0
        self.request_count = 0
        self.counter_calls = 0
        self.messages: list[str] = []
        self.stopped: set[int] = set()
        self.counter_totals: dict[int, float] = {}
        self.counter_result = interface.Result.OK
        self.events: list[tuple[float, int, interface.Event]] = []
        self.decisions: dict[str, list[interface.Action]] = {}
        for k, gateway in enumerate(self.gateways):
            self.carry_out(k, gateway.policy.start())

    def carry_out(self, k: int, actions: list[interface.Action]) -> None:
        """Carry out the actions of gateway ``k``."""
        for action in actions:
            match action:
                case interface.SetTimer():
                    due = self.now + max(2.0, action.after_ms)
                    self.events.append((due, k, interface.Timer(action.ref)))
                case interface.Tell():
                    self.messages.append(action.text)
                    self.events.append((self.now + 4.0, action.to, interface.PeerMessage(k, action.text)))
                case interface.Count():
                    self._count(k, action)
                case interface.Send():
                    self.decisions.setdefault(action.id, []).append(action)
                    outcome = interface.Outcome(action.id, 0, action.server, interface.Result.OK, 100.0, True)
                    self.events.append((self.now + 100.0, k, outcome))
                case interface.Refuse() | interface.Fail():
                    self.decisions.setdefault(action.id, []).append(action)

    def _count(self, k: int, action: interface.Count) -> None:
        self.counter_calls += 1
        if self.counter_result is interface.Result.OK:
            self.counter_totals[action.name] = self.counter_totals.get(action.name, 0.0) + action.amount
        total = self.counter_totals.get(action.name, 0.0)
        self.events.append((self.now + 4.0, k, interface.Counted(action.name, self.counter_result, total)))

    def run(self, duration_ms: float) -> None:
        """Let time pass; events of stopped gateways are lost."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += 2.0
            due = [event for event in self.events if event[0] <= self.now]
            self.events = [event for event in self.events if event[0] > self.now]
            for _, k, event in due:
                if k not in self.stopped:
                    self.gateways[k].now = self.now
                    self.carry_out(k, self.gateways[k].handle(event))

    def request(self, k: int, plan: str = "rated", customer: str = "c", units: float = 1.0, **more) -> str:
        """One request through gateway ``k``; returns its id."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        gateway = self.gateways[k]
        fields = {
            "not_after_ms": self.now + 3000.0,
            "gateway_count": len(self.gateways),
            "first_gateway": 0,
        } | more
        gateway.now = self.now
        self.carry_out(
            k, gateway.handle(interface.Request(request_id, "look", plan, customer, units=units, **fields))
        )
        return request_id

    def restart(self, k: int) -> None:
        """Gateway ``k`` starts again with nothing but its server list."""
        self.stopped.discard(k)
        self.events = [event for event in self.events if event[1] != k]
        self.gateways[k] = Gateway(self.gateways[k].policy.settings, 60, self.now)
        self.carry_out(k, self.gateways[k].policy.start())

    def sent_count(self) -> int:
        """The number of requests sent on; each request has exactly one decision."""
        assert len(self.decisions) == self.request_count
        assert all(len(actions) == 1 for actions in self.decisions.values())
        return sum(isinstance(actions[0], interface.Send) for actions in self.decisions.values())


@pytest.fixture
def make_network():
    """Makes a network of gateways; keyword arguments replace settings."""

    def build(gateways: int = 60, servers: int = 60, **changes) -> GatewayNetwork:
        return GatewayNetwork(gateways, servers, replace(SETTINGS, **changes))

    return build


@pytest.fixture
def gateway() -> Gateway:
    """One of three gateways, with six servers."""
    return Gateway()


@pytest.fixture
def make_gateway():
    """Makes a gateway; keyword arguments replace settings."""

    def build(servers: int = 6, **changes) -> Gateway:
        return Gateway(replace(SETTINGS, **changes), servers)

    return build
