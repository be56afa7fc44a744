"""Time: what an attempt tells its backend is what is left to the client; each request has its answer when its time is
up; nothing goes out for a client that is gone. Every way to an attempt and to an answer, without sockets."""

from __future__ import annotations

import re
from dataclasses import replace

import orjson
import pytest

from rushweir.edge.backends import COOLDOWN_MS
from rushweir.ingress import commands as c
from rushweir.ingress.engine import ATTEMPT_END_MARGIN_MS
from tests.edge.conftest import LIST, SETTINGS, Edge, answer, booking, request

WITHIN = 1_500  # ms, by every request here
MARGIN_MS = 25.0  # an answer leaves so long before
SET = "units=1,spread=3,first=0"
THREE = replace(
    SETTINGS, gateways=3, sharing=replace(SETTINGS.sharing, peers=True, messages_per_s=60.0),
    rules=replace(SETTINGS.rules, ask_within_ms=1_000.0),
)  # fmt: skip
PEERS = tuple((f"10.7.0.{k}", 7946) for k in range(3))


class Timed(Edge):
    """Keeps when each order was given, and when each request was whole."""

    def __init__(self, *args, **kwargs):
        self.times, self.came = [], {}
        super().__init__(*args, **kwargs)

    def turn(self):
        found = super().turn()
        self.times += [self.now] * len(found)
        return found

    def asked(self, rid, conn=None, **more):
        conn = self.connect() if conn is None else conn
        self.came[rid] = self.now
        return conn, self.receive(conn, request(rid, Req_Deadline_Ms=str(WITHIN), **more))

    def orders(self, kind):
        return [(at, o) for at, o in zip(self.times, self.commands, strict=True) if isinstance(o, kind)]

    def dials(self):
        """Those to backends that have not come up, failed or been given up."""
        links = self.core.pool.links
        return [k for k in (o.conn for _, o in self.orders(c.Dial)) if k in links and links[k].state == "dialing"]

    def told(self, rid):
        """Of each attempt of a request: what was left when it was written, and what it told."""
        found = []
        for at, o in self.orders(c.Write):
            if f"Req-Id: {rid}\r\n".encode() in o.data and b"Req-Deadline-Ms" in o.data:
                left = self.came[rid] + WITHIN - at
                found.append((left, int(re.search(rb"Req-Deadline-Ms: (\d+)", o.data)[1])))
        return found

    def up(self, conn=None):
        self.core.dialed(self.now, self.dials()[0] if conn is None else conn)
        self.turn()

    def links(self, state="busy"):
        return [k.conn for k in self.core.pool.links.values() if k.state == state]


def one_dial(edge):
    edge.asked("one")
    edge.advance_ms(240.0)
    edge.up()


def an_idle_connection(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], answer())
    edge.advance_ms(COOLDOWN_MS + 5.0)
    edge.policy.server_pool.rng.seed(1)
    for k in range(2, 9):
        edge.asked(f"r{k}")


def a_connection_that_rests(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], answer())
    for k in range(2, 9):
        edge.asked(f"r{k}")
    edge.advance_ms(COOLDOWN_MS)


def behind_another(edge):
    conn, _ = edge.asked("one")
    edge.asked("two", conn)
    edge.up()
    edge.advance_ms(300.0)
    edge.receive(edge.links()[0], answer())
    edge.advance_ms(COOLDOWN_MS)
    if edge.dials():
        edge.up()


def after_a_failed_dial(edge):
    edge.asked("one")
    edge.advance_ms(250.0)
    edge.core.dial_failed(edge.now, edge.dials()[0])
    edge.turn()
    edge.advance_ms(100.0)
    edge.up()


def after_a_refusal(edge):
    one_dial(edge)
    edge.advance_ms(120.0)
    edge.receive(edge.links()[0], answer(b"", "503 No", "Srv-Declined: 1\r\n"))
    edge.up()


def after_a_reset(edge):
    one_dial(edge)
    edge.advance_ms(150.0)
    edge.core.ended(edge.now, edge.links()[0])
    edge.turn()
    edge.up()


def after_a_spoilt_answer(edge):
    one_dial(edge)
    edge.advance_ms(150.0)
    edge.receive(edge.links()[0], b"\x00noise\r\n\r\n")
    edge.up()


def used_to_quick_answers(edge):
    """A backend that says nothing is found silent by how soon the others answer."""
    conn = edge.connect()
    for k in range(60):
        edge.receive(conn, request(f"w{k}"))
        for dial in edge.dials():
            edge.up(dial)
        edge.advance_ms(COOLDOWN_MS)
        edge.receive(edge.links()[0], answer())
        edge.advance_ms(COOLDOWN_MS)
    edge.advance_ms(13_000.0)  # and all connections are gone
    assert not edge.core.pool.links


def after_a_silent_backend(edge):
    used_to_quick_answers(edge)
    edge.asked("one")
    edge.up()
    while not edge.dials():
        edge.advance_ms(10.0)
    edge.advance_ms(100.0)
    edge.up()


def after_a_drain(edge):
    source = edge.core.list.conn
    edge.core.dialed(edge.now, source)
    edge.turn()
    edge.receive(source, answer(orjson.dumps(LIST)))
    edge.asked("one")
    edge.advance_ms(200.0)
    name = edge.core.pool.links[edge.dials()[0]].backend.id
    entry = next(e for e in LIST["servers"] if e["id"] == name) | {"state": "Terminating"}
    edge.receive(source, answer(orjson.dumps({"version": 8, "full": False, "servers": [entry]})))
    edge.advance_ms(100.0)
    edge.up()


def after_a_keepers_silence(edge):
    """A keeper of the customer's quota is asked first, and says nothing; then the next one."""
    for k in range(8):
        edge.asked(f"r{k}", customer=f"{k:016x}", X_Metering=SET)
    assert len(edge.dials()) < 8  # some wait
    for _ in range(30):
        edge.advance_ms(10.0)
        for conn in edge.dials():
            edge.up(conn)
        for conn in edge.links():
            edge.receive(conn, answer())


WAYS = {
    "a dial": (one_dial, 1), "an idle connection": (an_idle_connection, 1),
    "a connection that rests": (a_connection_that_rests, 1), "behind another request": (behind_another, 1),
    "after a failed dial": (after_a_failed_dial, 1), "after a refusal": (after_a_refusal, 2),
    "after a reset": (after_a_reset, 2), "after a spoilt answer": (after_a_spoilt_answer, 2),
    "after a silent backend": (after_a_silent_backend, 2), "after a drain": (after_a_drain, 1),
    "after a keeper's silence": (after_a_keepers_silence, 1),
}  # fmt: skip


def made(way):
    return Timed(THREE, peers=PEERS) if "keeper" in way else Timed()


@pytest.mark.parametrize("way", WAYS)
def test_attempt_sends_the_remaining_time_of_its_client(way):
    """Never more than that, and less only by the margin in which the answer has to leave."""
    edge, (play, attempts) = made(way), WAYS[way]
    play(edge)
    found = [pair for rid in edge.came for pair in edge.told(rid)]
    assert max(len(edge.told(rid)) for rid in edge.came) == attempts and found
    for left, told in found:
        assert left - MARGIN_MS - ATTEMPT_END_MARGIN_MS - 1 <= told <= left


def silent_backends(edge):
    edge.asked("one")
    edge.up()
    for _ in range(30):
        edge.advance_ms(60.0)
        for conn in edge.dials():
            edge.up(conn)


def dials_that_never_come_up(edge):
    edge.asked("one")


def answers_without_end(edge):
    one_dial(edge)
    edge.receive(edge.links()[0], b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")


def keepers_that_are_silent(edge):
    for k in range(8):
        edge.asked(f"r{k}", customer=f"{k:016x}", X_Metering=SET)


def two_on_one_connection(edge):
    conn, _ = edge.asked("one")
    edge.asked("two", conn)
    edge.up()


def a_module_that_forgets(edge):
    edge.policy.handle = lambda now, event: []
    edge.asked("one")


def a_module_that_raises(edge):
    edge.asked("one")
    edge.up()
    edge.policy.handle = None


def the_process_ends(edge):
    edge.asked("one")
    edge.up()
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.advance_ms(700.0)
    edge.core.stop(edge.now)
    edge.turn()


def its_class_goes(edge):
    edge.asked("one")
    edge.up()
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
    edge.asked("two")


HANGING = (
    silent_backends, dials_that_never_come_up, answers_without_end, keepers_that_are_silent, two_on_one_connection,
    a_module_that_forgets, a_module_that_raises, the_process_ends, its_class_goes, its_backend_leaves_the_list,
    nobody_listed,
)  # fmt: skip


@pytest.mark.parametrize("play", HANGING, ids=lambda play: play.__name__)
def test_every_request_is_answered_by_its_deadline_whatever_it_waits_for(play):
    """One in 500 may have none, by the platform; here each has one, before its client's time is over."""
    edge = made(play.__name__)
    play(edge)
    edge.advance_ms(4_000.0)
    clients = {o.conn for _, o in edge.orders(c.Write) if o.conn not in edge.core.upstream_handlers} - {0}
    given = [(at, o.conn) for at, o in edge.orders(c.Write) for _ in re.findall(rb"HTTP/1\.1 \d{3} ", o.data)]
    assert len(given) == len(edge.came) and clients
    assert max(at for at, _ in given) <= min(edge.came.values()) + WITHIN
    assert not edge.core.engine.ledger.unanswered


# --- clients that are gone ----------------------------------------------------------------------------


def a_dial_comes_up(edge):
    edge.up()


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


LATER = {
    "a dial comes up": (False, a_dial_comes_up), "a dial fails": (False, a_dial_fails),
    "its backend is left out": (False, left_out_of_the_list), "refused": (True, refused), "failed": (True, failed),
    "broken": (True, broken), "spoilt": (True, spoilt), "silent": (True, silent),
}  # fmt: skip


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize("seen", ["read", "not read yet"])
@pytest.mark.parametrize("then", LATER)
def test_no_further_attempt_for_a_disconnected_client(then, seen, keyed):
    """Not a first attempt that waits, nor a further one, whether its end was read or lies on the socket."""
    edge, (out, play) = Timed(), LATER[then]
    if then == "silent":
        used_to_quick_answers(edge)
    conn = edge.connect()
    edge.receive(conn, booking("one") if keyed else request("one"))
    if out:
        edge.up()
    before = sum(b"Req-Id: one" in o.data for _, o in edge.orders(c.Write))
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
            edge.up(dial)
        edge.advance_ms(100.0)
    assert sum(b"Req-Id: one" in o.data for _, o in edge.orders(c.Write)) == before
    assert not edge.core.engine.ledger.unanswered and not (seen == "read" and edge.statuses(conn))
