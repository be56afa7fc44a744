"""Tests of deadlines on every path to an attempt and to an answer, without sockets.

An attempt sends its backend the time that its client has left, every request is answered by its deadline, and nothing
is sent for a disconnected client."""

from __future__ import annotations

import re
from dataclasses import replace

import orjson
import pytest

from rushweir.edge.backends import COOLDOWN_MS
from rushweir.ingress import commands
from rushweir.ingress.engine import ATTEMPT_END_MARGIN_MS
from tests.edge.conftest import LIST, SETTINGS, Edge, answer, booking, request

WITHIN_MS = 1_500  # ms, by every request here
MARGIN_MS = 25.0  # answers are sent this long before the deadline
SET = "units=1,spread=3,first=0"
THREE = replace(
    SETTINGS, gateways=3, sharing=replace(SETTINGS.sharing, peers=True, messages_per_s=60.0),
    rules=replace(SETTINGS.rules, ask_within_ms=1_000.0),
)  # fmt: skip
PEERS = tuple((f"10.7.0.{k}", 7946) for k in range(3))


class Timed(Edge):
    """Stores the time of each command, and the arrival of each request."""

    def __init__(self, *args, **kwargs):
        self.times, self.arrived_ms = [], {}
        super().__init__(*args, **kwargs)

    def turn(self):
        found = super().turn()
        self.times += [self.now] * len(found)
        return found

    def send_timed(self, rid, conn=None, **more):
        conn = self.connect() if conn is None else conn
        self.arrived_ms[rid] = self.now
        return conn, self.receive(conn, request(rid, Req_Deadline_Ms=str(WITHIN_MS), **more))

    def commands_of(self, kind):
        return [(at, o) for at, o in zip(self.times, self.commands, strict=True) if isinstance(o, kind)]

    def dials(self):
        """Returns the dials to backends that are still pending."""
        links = self.core.pool.links
        return [
            k
            for k in (o.conn for _, o in self.commands_of(commands.Dial))
            if k in links and links[k].state == "dialing"
        ]

    def deadlines_sent(self, rid):
        """Returns, for each attempt of a request, the time left when it was written and the time that it sent."""
        found = []
        for at, o in self.commands_of(commands.Write):
            if f"Req-Id: {rid}\r\n".encode() in o.data and b"Req-Deadline-Ms" in o.data:
                left_ms = self.arrived_ms[rid] + WITHIN_MS - at
                found.append((left_ms, int(re.search(rb"Req-Deadline-Ms: (\d+)", o.data)[1])))
        return found

    def connect_backend(self, conn=None):
        self.core.dialed(self.now, self.dials()[0] if conn is None else conn)
        self.turn()

    def links(self, state="busy"):
        return [k.conn for k in self.core.pool.links.values() if k.state == state]


def one_dial(edge):
    edge.send_timed("one")
    edge.advance_ms(240.0)
    edge.connect_backend()


def an_idle_connection(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], answer())
    edge.advance_ms(COOLDOWN_MS + 5.0)
    edge.policy.server_pool.rng.seed(1)
    for k in range(2, 9):
        edge.send_timed(f"r{k}")


def a_connection_that_rests(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], answer())
    for k in range(2, 9):
        edge.send_timed(f"r{k}")
    edge.advance_ms(COOLDOWN_MS)


def behind_another(edge):
    conn, _ = edge.send_timed("one")
    edge.send_timed("two", conn)
    edge.connect_backend()
    edge.advance_ms(300.0)
    edge.receive(edge.links()[0], answer())
    edge.advance_ms(COOLDOWN_MS)
    if edge.dials():
        edge.connect_backend()


def after_a_failed_dial(edge):
    edge.send_timed("one")
    edge.advance_ms(250.0)
    edge.core.dial_failed(edge.now, edge.dials()[0])
    edge.turn()
    edge.advance_ms(100.0)
    edge.connect_backend()


def after_a_refusal(edge):
    one_dial(edge)
    edge.advance_ms(120.0)
    edge.receive(edge.links()[0], answer(b"", "503 No", "Srv-Declined: 1\r\n"))
    edge.connect_backend()


def after_a_reset(edge):
    one_dial(edge)
    edge.advance_ms(150.0)
    edge.core.ended(edge.now, edge.links()[0])
    edge.turn()
    edge.connect_backend()


def after_a_spoilt_answer(edge):
    one_dial(edge)
    edge.advance_ms(150.0)
    edge.receive(edge.links()[0], b"\x00noise\r\n\r\n")
    edge.connect_backend()


def used_to_quick_answers(edge):
    """Lets backends answer quickly, by which a silent backend is detected."""
    conn = edge.connect()
    for k in range(60):
        edge.receive(conn, request(f"w{k}"))
        for dial in edge.dials():
            edge.connect_backend(dial)
        edge.advance_ms(COOLDOWN_MS)
        edge.receive(edge.links()[0], answer())
        edge.advance_ms(COOLDOWN_MS)
    edge.advance_ms(13_000.0)  # until all connections are closed
    assert not edge.core.pool.links


def after_a_silent_backend(edge):
    used_to_quick_answers(edge)
    edge.send_timed("one")
    edge.connect_backend()
    while not edge.dials():
        edge.advance_ms(10.0)
    edge.advance_ms(100.0)
    edge.connect_backend()


def after_a_drain(edge):
    source = edge.core.list.conn
    edge.core.dialed(edge.now, source)
    edge.turn()
    edge.receive(source, answer(orjson.dumps(LIST)))
    edge.send_timed("one")
    edge.advance_ms(200.0)
    name = edge.core.pool.links[edge.dials()[0]].backend.id
    entry = next(e for e in LIST["servers"] if e["id"] == name) | {"state": "Terminating"}
    edge.receive(source, answer(orjson.dumps({"version": 8, "full": False, "servers": [entry]})))
    edge.advance_ms(100.0)
    edge.connect_backend()


def after_an_owners_silence(edge):
    """The owner of the customer's token bucket is asked first and does not answer; then the next one is asked."""
    for k in range(8):
        edge.send_timed(f"r{k}", customer=f"{k:016x}", X_Metering=SET)
    assert len(edge.dials()) < 8  # some wait
    for _ in range(30):
        edge.advance_ms(10.0)
        for conn in edge.dials():
            edge.connect_backend(conn)
        for conn in edge.links():
            edge.receive(conn, answer())


PATHS = {
    "a dial": (one_dial, 1), "an idle connection": (an_idle_connection, 1),
    "a connection that rests": (a_connection_that_rests, 1), "behind another request": (behind_another, 1),
    "after a failed dial": (after_a_failed_dial, 1), "after a refusal": (after_a_refusal, 2),
    "after a reset": (after_a_reset, 2), "after a spoilt answer": (after_a_spoilt_answer, 2),
    "after a silent backend": (after_a_silent_backend, 2), "after a drain": (after_a_drain, 1),
    "after an owner's silence": (after_an_owners_silence, 1),
}  # fmt: skip


def make_edge(path):
    return Timed(THREE, peers=PEERS) if "owner" in path else Timed()


@pytest.mark.parametrize("path", PATHS)
def test_attempt_sends_the_remaining_time_of_its_client(path):
    """Never more than the remaining time, and less only by the margin in which the answer is sent."""
    edge, (play, attempts) = make_edge(path), PATHS[path]
    play(edge)
    found = [pair for rid in edge.arrived_ms for pair in edge.deadlines_sent(rid)]
    assert max(len(edge.deadlines_sent(rid)) for rid in edge.arrived_ms) == attempts and found
    for left_ms, sent_ms in found:
        assert left_ms - MARGIN_MS - ATTEMPT_END_MARGIN_MS - 1 <= sent_ms <= left_ms


def silent_backends(edge):
    edge.send_timed("one")
    edge.connect_backend()
    for _ in range(30):
        edge.advance_ms(60.0)
        for conn in edge.dials():
            edge.connect_backend(conn)


def dials_that_never_come_up(edge):
    edge.send_timed("one")


def answers_without_end(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")


def silent_owners(edge):
    for k in range(8):
        edge.send_timed(f"r{k}", customer=f"{k:016x}", X_Metering=SET)


def two_on_one_connection(edge):
    conn, _ = edge.send_timed("one")
    edge.send_timed("two", conn)
    edge.connect_backend()


def a_module_that_forgets(edge):
    edge.policy.handle = lambda now, event: []
    edge.send_timed("one")


def a_module_that_raises(edge):
    edge.send_timed("one")
    edge.connect_backend()
    edge.policy.handle = None


def the_process_ends(edge):
    edge.send_timed("one")
    edge.connect_backend()
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.advance_ms(700.0)
    edge.core.stop(edge.now)
    edge.turn()


def its_class_goes(edge):
    edge.send_timed("one")
    edge.connect_backend()
    edge.core.reload(edge.now, replace(edge.core.setup, settings=replace(SETTINGS, classes=SETTINGS.classes[1:])))
    edge.turn()


def its_backend_leaves_the_list(edge):
    one_dial(edge)
    source = edge.core.list.conn
    edge.core.dialed(edge.now, source)
    edge.turn()
    edge.receive(source, answer(orjson.dumps({"version": 8, "full": True, "servers": []})))


def nobody_listed(edge):
    its_backend_leaves_the_list(edge)
    edge.send_timed("two")


WAITING_SCENARIOS = (
    silent_backends, dials_that_never_come_up, answers_without_end, silent_owners, two_on_one_connection,
    a_module_that_forgets, a_module_that_raises, the_process_ends, its_class_goes, its_backend_leaves_the_list,
    nobody_listed,
)  # fmt: skip


@pytest.mark.parametrize("play", WAITING_SCENARIOS, ids=lambda play: play.__name__)
def test_every_request_is_answered_by_its_deadline_whatever_it_waits_for(play):
    """The platform allows one in 500 without an answer; here each is answered before its deadline."""
    edge = make_edge(play.__name__)
    play(edge)
    edge.advance_ms(4_000.0)
    clients = {o.conn for _, o in edge.commands_of(commands.Write) if o.conn not in edge.core.upstream_handlers} - {0}
    given = [
        (at, o.conn) for at, o in edge.commands_of(commands.Write) for _ in re.findall(rb"HTTP/1\.1 \d{3} ", o.data)
    ]
    assert len(given) == len(edge.arrived_ms) and clients
    assert max(at for at, _ in given) <= min(edge.arrived_ms.values()) + WITHIN_MS
    assert not edge.core.engine.ledger.unanswered


# --- disconnected clients -----------------------------------------------------------------------------


def a_dial_comes_up(edge):
    edge.connect_backend()


def a_dial_fails(edge):
    edge.core.dial_failed(edge.now, edge.dials()[0])
    edge.turn()


def refused(edge):
    edge.receive(edge.links()[0], answer(b"", "503 No", "Srv-Declined: 1\r\n"))


def failed(edge):
    edge.receive(edge.links()[0], answer(b"", "500 No"))


def broken(edge):
    edge.core.ended(edge.now, edge.links()[0])
    edge.turn()


def spoilt(edge):
    edge.receive(edge.links()[0], b"\x00noise\r\n\r\n")


def silent(edge):
    edge.advance_ms(600.0)


def left_out_of_the_list(edge):
    source = edge.core.list.conn
    edge.core.dialed(edge.now, source)
    edge.turn()
    name = edge.core.pool.links[edge.dials()[0]].backend.id
    page = {"version": 8, "full": True, "servers": [e for e in LIST["servers"] if e["id"] != name]}
    edge.receive(source, answer(orjson.dumps(page)))


LATER_EVENTS = {
    "a dial comes up": (False, a_dial_comes_up), "a dial fails": (False, a_dial_fails),
    "its backend is left out": (False, left_out_of_the_list), "refused": (True, refused), "failed": (True, failed),
    "broken": (True, broken), "spoilt": (True, spoilt), "silent": (True, silent),
}  # fmt: skip


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize("seen", ["read", "not read yet"])
@pytest.mark.parametrize("then", LATER_EVENTS)
def test_no_further_attempt_for_a_disconnected_client(then, seen, keyed):
    """Neither a waiting first attempt nor a retry is sent, whether or not the disconnect is read yet."""
    edge, (out, play) = Timed(), LATER_EVENTS[then]
    if then == "silent":
        used_to_quick_answers(edge)
    conn = edge.connect()
    edge.receive(conn, booking("one") if keyed else request("one"))
    if out:
        edge.connect_backend()
    before = sum(b"Req-Id: one" in o.data for _, o in edge.commands_of(commands.Write))
    assert before == out
    if seen == "read":
        edge.core.ended(edge.now, conn)
        edge.turn()
        edge.closed.add(conn)
    else:
        edge.core.engine.is_connected = lambda k: k != conn
    if edge.dials() or edge.links():
        play(edge)
    for _ in range(20):
        for dial in edge.dials():
            edge.connect_backend(dial)
        edge.advance_ms(100.0)
    assert sum(b"Req-Id: one" in o.data for _, o in edge.commands_of(commands.Write)) == before
    assert not edge.core.engine.ledger.unanswered and not (seen == "read" and edge.statuses(conn))
