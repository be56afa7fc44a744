"""Tests of each state in which an ingress refuses all requests, and how long it lasts.

On quiet days the platform allows one ingress in ten 4 s of it without a break. docs/endings.md has the table."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from rushweir import interface
from rushweir.edge.backend_links import PoolSettings
from rushweir.ingress import commands
from rushweir.overload.decisions import SAMPLE_INTERVAL_MS
from rushweir.policy.in_flight_capacity import AIM_SHARE, START_UNITS_PER_S
from rushweir.policy.time_constants import MEMORY_MS
from tests.edge.conftest import CLASSES, LIST, SETTINGS, Edge, answer, request

ALLOWED_MS = 4_000.0
REQUEST_INTERVAL_MS, ANSWER_DELAY_MS, WITHIN_MS = (
    100.0,
    50.0,
    1_900,
)  # between requests; until backends answer; their deadlines
PLANS = (*SETTINGS.plans, interface.Plan("capped", rate=50.0, burst=20.0, ceiling_rate=6.0, ceiling_burst=3.0))
MADE = replace(SETTINGS, plans=PLANS)


class Busy(Edge):
    """Clients that send ten requests a second, and backends that answer all but those named in ``stuck``."""

    def __init__(self, *args, **kwargs):
        self.serial, self.sent_at, self.due, self.stuck, self.plan = 0, [], [], set(), "wide"
        super().__init__(*args, **kwargs)

    def turn(self):
        found = super().turn()
        for o in found:
            if isinstance(o, commands.Dial) and o.port == 80:
                self.due.append((self.now, "up", o.conn))
            elif (
                isinstance(o, commands.Write)
                and b"Req-Deadline-Ms" in o.data
                and not any(k in o.data for k in self.stuck)
            ):
                self.sent_at.append(self.now)
                self.due.append((self.now + ANSWER_DELAY_MS, "answer", o.conn))
        return found

    def play(self, ms, units=1):
        """Sends requests for ``ms`` milliseconds; returns the longest time without an attempt."""
        began, end = self.now, self.now + ms
        ask = self.now
        while self.now < end:
            if self.now >= ask:
                self.ask(units)
                ask += REQUEST_INTERVAL_MS
            self.advance_ms(10.0)
            due, self.due = [d for d in self.due if d[0] <= self.now], [d for d in self.due if d[0] > self.now]
            for _, what, conn in due:
                if what == "up" and conn in self.core.upstream_handlers:
                    self.core.dialed(self.now, conn)
                elif conn in self.core.upstream_handlers:
                    self.core.received(self.now, conn, answer())
                self.turn()
        moments = [began, *(t for t in self.sent_at if t >= began), end]
        return max(b - a for a, b in zip(moments, moments[1:], strict=False))

    def ask(self, units=1, rid=None):
        self.serial += 1
        more = {"X_Metering": f"units={units},spread=1,first=0", "Req_Deadline_Ms": str(WITHIN_MS)}
        customer = f"{self.serial:016x}" if self.plan == "wide" else "0" * 16
        rid = rid or f"q{self.serial}"
        self.receive(self.connect(), request(rid, plan=self.plan, customer=customer, Connection="close", **more))

    def list_says(self, version, servers):
        source = self.core.list
        if source.state == "dialing":
            self.core.dialed(self.now, source.conn)
            self.turn()
        self.receive(source.conn, answer(orjson.dumps({"version": version, "full": True, "servers": servers})))


STEP_MS = REQUEST_INTERVAL_MS + 10.0  # until the next request, plus the step of ``play``


@pytest.mark.parametrize("servers", [None, [], [e | {"state": "Terminating"} for e in LIST["servers"]]])
def test_without_a_ready_server_requests_are_refused_until_the_list_has_one(servers):
    """No list yet, an empty list, or all backends draining: for as long as the list stays so, and no longer."""
    edge = Busy(MADE, known=None)
    if servers is not None:
        edge.list_says(7, servers)
    assert edge.play(1_500.0) >= 1_490.0 and not edge.sent_at
    if edge.core.list.state == "away":
        edge.advance_ms(250.0)
    edge.list_says(9, LIST["servers"])
    assert edge.play(1_000.0) <= STEP_MS


def test_requests_are_accepted_soon_after_an_overload():
    """After a turn of 20 s, as long as the platform lets a thread run, requests are accepted within two seconds."""
    edge = Busy(MADE)
    edge.play(1_000.0)
    edge.now += 20_000.0
    edge.core.advance(edge.now)
    edge.turn()
    assert edge.core.load_shedder.pressure == 1.0
    refused_ms = edge.play(4_000.0)
    assert 500.0 < refused_ms <= 2_000.0 + STEP_MS


def test_requests_are_refused_while_the_loop_lags_and_accepted_two_seconds_later():
    edge = Busy(MADE)
    for _ in range(60):
        edge.now += 500.0 + SAMPLE_INTERVAL_MS  # each turn takes half a second
        edge.core.advance(edge.now)
        edge.turn()
    edge.sent_at.clear()
    edge.ask()
    assert edge.core.counts["turned_away"] == 1 and edge.core.load_shedder.pressure == 1.0
    assert edge.play(4_000.0) <= 1_000.0 + STEP_MS


def test_full_overload_refuses_requests_on_open_connections():
    edge = Busy(MADE)
    conn = edge.connect()
    edge.core.load_shedder.delay_ms = edge.core.load_shedder.max_delay_ms
    edge.receive(conn, request())
    assert edge.statuses(conn) == [503] and edge.core.engine.refusals == {"overloaded": 1}


def test_only_the_customer_over_its_ceiling_is_refused():
    """After a start a ceiling counts as used up: the first request is sent once the share has refilled by it."""
    edge = Busy(MADE)
    edge.plan = "capped"
    first = edge.play(2_000.0)
    assert edge.sent_at and first <= 1_000.0 / 6.0 + STEP_MS + REQUEST_INTERVAL_MS
    edge.plan = "wide"
    assert edge.play(1_000.0) <= STEP_MS


def test_full_ledger_refuses_requests_until_an_entry_ends():
    edge = Busy(replace(MADE, limits=replace(MADE.limits, max_open_requests=3)))
    edge.stuck = {b"stuck"}
    for k in range(3):
        edge.ask(rid=f"stuck{k}")
    assert edge.core.engine.ledger.is_full()
    assert edge.play(3_000.0) <= WITHIN_MS + STEP_MS <= ALLOWED_MS


def test_busy_backend_connections_refuse_requests_until_one_is_free():
    edge = Busy(MADE, pool=PoolSettings(2))
    edge.policy.capacity.finished.add(400.0, edge.now)
    edge.policy.capacity.partition(3, edge.now)
    edge.stuck = {b"stuck"}
    for k in range(2):
        edge.ask(rid=f"stuck{k}")
    due, edge.due = edge.due, []
    for _, _, conn in due:
        edge.core.dialed(edge.now, conn)
        edge.turn()
    assert [k.state for k in edge.core.pool.links.values()] == ["busy", "busy"]
    assert 1_000.0 < edge.play(3_000.0) <= WITHIN_MS + STEP_MS <= ALLOWED_MS
    assert edge.core.pool.counts["no_connection"] > 0


@pytest.mark.parametrize(("gateways", "units", "out_ms"), [(5, 3, 1_800.0), (30, 3, 400.0), (30, 9, 1_800.0)])
def test_requests_are_refused_until_the_deficit_of_a_long_request_is_paid_back(gateways, units, out_ms):
    """Units in flight beyond the capacity are paid back at the rate of the capacity.

    The deficit is MEMORY_MS times the mean request at most, and the capacity never less than at a start. With three
    servers for five ingresses this takes no time; where thirty ingresses share three servers it takes longer than 4 s
    (14.8 s after nine units), see docs/endings.md."""
    classes, sharing = CLASSES[:1], replace(MADE.sharing, largest_request=units)
    edge = Busy(replace(MADE, gateways=gateways, classes=classes, sharing=sharing))
    capacity, edge.stuck = edge.policy.capacity, {b"long"}
    edge.ask(units=units, rid="long")
    assert len(edge.sent_at) == 0 and edge.core.pool.links  # in flight
    edge.play(out_ms)
    for conn in [k.conn for k in edge.core.pool.links.values() if k.job is not None]:
        edge.receive(conn, answer())
    min_rate = START_UNITS_PER_S * len(LIST["servers"]) / gateways * classes[0].aim_ms / 1000 * AIM_SHARE
    deficit = max(0.0, -capacity.credit)
    assert deficit <= MEMORY_MS * capacity.mean_units
    refused_ms = edge.play(deficit / min_rate + 2_000.0)
    assert refused_ms <= deficit / min_rate + STEP_MS + REQUEST_INTERVAL_MS
    # Requests are refused for it where the capacity is small, and never where it is not.
    assert (refused_ms > 1_000.0) is (gateways > 5) and (refused_ms > ALLOWED_MS) is (units > 3)


def test_capacity_deficit_is_limited():
    """The deficit beyond the limit is forgotten, whatever was in flight for however long."""
    edge = Busy(replace(MADE, gateways=30, classes=CLASSES[:1]))
    capacity = edge.policy.capacity
    capacity.credit = -1e9
    edge.play(200.0)
    assert -MEMORY_MS * capacity.mean_units <= capacity.credit < 0 and not edge.sent_at
