"""What a socket shows, as results: each way in which an attempt can end, driven without any socket."""

from __future__ import annotations

import pytest

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol
from rushweir.nodes.pool import Pool, PoolSettings

NODE = "127.0.0.1:9001"


class Wire:
    """A pool, and a node at the other end of each of its connections."""

    def __init__(self, **settings) -> None:
        self.timers, self.conns, self.now = [], 0, 0.0
        self.pool = Pool(PoolSettings(**settings), {}, self.new_conn, lambda at, f, x: self.timers.append((at, f, x)))
        self.nodes: dict[int, Messages] = {}
        self.calls: list[tuple[int, rpc.Call]] = []
        self.dials: list[c.Dial] = []
        self.over: set[int] = set()
        self.serial = 0

    def new_conn(self, owner) -> int:
        self.conns += 1
        return self.conns

    def attempt(self, until: float = 1e9, cls: str = "look", node: str = NODE) -> c.Attempt:
        self.serial += 1
        a = c.Attempt(f"r{self.serial}", 0, node, self.now, until, {"data": None}, cls)
        self.pool.send(self.now, a)
        self.carry()
        return a

    def carry(self) -> None:
        """Carry out orders; a dial waits for ``dialed``."""
        while self.pool.out:
            order = self.pool.out.pop(0)
            if isinstance(order, c.Dial):
                self.dials.append(order)
            elif isinstance(order, c.Write):
                self.read(order.conn, order.data)
            else:
                self.over.add(order.conn)

    def read(self, conn: int, data: bytes) -> None:
        node = self.nodes.get(conn)
        if node is None:
            proto = server_protocol(1 << 20)
            proto.receive_data(data)
            (request,) = proto.events_received()
            proto.send_response(proto.accept(request))
            self.nodes[conn] = Messages(proto)
        else:
            for text in node.receive(data):
                self.calls.append((conn, rpc.parse(text)))

    def up(self, conn: int | None = None) -> int:
        """A dial succeeds, and the handshake."""
        conn = conn or self.dials[-1].conn
        self.pool.dialed(self.now, conn)
        self.carry()
        self.answer_bytes(conn)
        return conn

    def answer_bytes(self, conn: int) -> None:
        writes, _ = self.nodes[conn].take()
        self.pool.received(self.now, conn, b"".join(writes))
        self.carry()

    def answer(self, conn: int, text: bytes) -> None:
        self.nodes[conn].send(text)
        self.answer_bytes(conn)

    def ended(self) -> list:
        out, self.pool.ended = self.pool.ended, []
        return out

    def results(self) -> list[i.Result]:
        return [e.result for e in self.ended()]

    def tick(self, now: float) -> None:
        self.now = self.pool.now = now
        due = [t for t in self.timers if t[0] <= now]
        self.timers = [t for t in self.timers if t[0] > now]
        for _, f, x in due:
            f(x)
        self.carry()


def test_a_refused_connect_never_ran():
    w = Wire()
    w.attempt()
    w.pool.dial_failed(0.0, w.dials[0].conn)
    assert w.results() == [i.Result.CONNECT_FAILED] and not w.calls


def test_a_connect_or_handshake_too_late_never_ran():
    w = Wire(connect_timeout_ms=250.0)
    w.attempt()
    w.tick(249.0)
    assert not w.ended()
    w.tick(250.0)
    assert w.results() == [i.Result.CONNECT_FAILED] and w.dials[0].conn in w.over
    w.attempt()
    w.pool.dialed(w.now, w.dials[1].conn)  # TCP is there, but no answer to the handshake
    w.carry()
    w.tick(600.0)
    assert w.results() == [i.Result.CONNECT_FAILED] and not w.calls


def test_a_refused_handshake_never_ran():
    w = Wire()
    w.attempt()
    conn = w.dials[0].conn
    w.pool.dialed(0.0, conn)
    w.pool.received(0.0, conn, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert w.results() == [i.Result.CONNECT_FAILED]


def test_answers():
    w = Wire()
    attempts = [w.attempt() for _ in range(6)]
    conn = w.up()
    assert len(w.dials) == 1 and [x.method for _, x in w.calls] == ["look"] * 6
    ids = [x.id for _, x in w.calls]
    w.answer(conn, rpc.result(ids[0], {"data": 5, "cost": 2, "used": 7, "load": {"util": 0.5}}))
    w.answer(conn, rpc.error(ids[1], rpc.NODE_FULL, "full"))
    w.answer(conn, rpc.error(ids[2], rpc.NODE_ERROR, "broken"))
    w.answer(conn, rpc.error(ids[3], rpc.INTERNAL_ERROR, "broken"))
    w.answer(conn, rpc.error(ids[4], 404, "no such ride"))
    w.answer(conn, rpc.result(ids[5], 17))
    ended = w.ended()
    assert [e.result.value for e in ended] == ["ok", "full", "error", "error", "ok", "ok"]
    first = ended[0]
    assert (first.body, first.cost, first.quota_used, first.load) == (("result", 5), 2.0, 7, {"util": 0.5})
    assert ended[4].body == ("error", {"code": 404, "message": "no such ride"})
    assert ended[5].body == ("result", 17) and [e.attempt for e in ended] == attempts


def test_costs_that_are_no_sensible_figure_tell_nothing():
    w = Wire()
    for _ in range(6):
        w.attempt()
    conn = w.up()
    for (_, call), cost in zip(list(w.calls), (-1, 0, 1e300, "3", True, None), strict=True):
        w.answer(conn, rpc.result(call.id, {"data": 1, "cost": cost}))
    assert [e.cost for e in w.ended()] == [0.0] * 6


def test_lost_after_the_write_may_have_run_and_before_it_never_ran():
    w = Wire(max_links=1)
    first = w.attempt()
    conn = w.up()
    w.pool.congested(conn)  # the connection holds back writes
    second = w.attempt()
    assert [x.method for _, x in w.calls] == ["look"]
    w.pool.lost(0.0, conn)
    results = {id(e.attempt): e.result for e in w.ended()}
    assert results == {id(first): i.Result.RESET, id(second): i.Result.CONNECT_FAILED}


def test_what_waits_is_written_when_the_connection_drained():
    w = Wire(max_links=1)
    w.attempt()
    conn = w.up()
    w.pool.congested(conn)
    w.attempt()
    w.pool.drained(1.0, conn)
    w.carry()
    assert len(w.calls) == 2 and not w.ended()


def test_time_up_or_cancelled():
    w = Wire(max_links=1)
    out = w.attempt()
    conn = w.up()
    w.pool.congested(conn)
    waiting = w.attempt()
    w.pool.expire(5.0, waiting)
    assert w.results() == [i.Result.SUPERSEDED]  # it was never written
    w.pool.drained(5.0, conn)
    w.pool.expire(6.0, out)
    w.carry()
    assert w.results() == [i.Result.TIMEOUT]
    assert w.calls[-1][1].method == "rpc.cancel" and w.calls[-1][1].id is None
    other = w.attempt()
    w.pool.cancel(7.0, other)
    assert w.results() == [i.Result.CANCELLED]
    w.pool.cancel(8.0, other)  # it is over: nothing more
    w.pool.expire(8.0, other)
    assert not w.ended()


def test_late_second_and_stray_answers_reach_nobody():
    w = Wire()
    a = w.attempt()
    conn = w.up()
    w.pool.expire(1.0, a)
    w.carry()
    w.ended()
    w.answer(conn, rpc.result(w.calls[0][1].id, {}))
    w.answer(conn, rpc.result(w.calls[0][1].id, {}))
    w.answer(conn, rpc.result(99, {}))
    w.answer(conn, rpc.result("1", {}))
    w.answer(conn, b'{"jsonrpc":"2.0"')
    w.answer(conn, rpc.call("look", {}, 5))
    assert not w.ended()
    assert (w.pool.counts["late_answers"], w.pool.counts["stray_answers"], w.pool.counts["bad_messages"]) == (1, 3, 2)


def test_streams_links_and_the_cap():
    w = Wire(streams=2, max_links=2)
    for _ in range(4):
        w.attempt()
    assert len(w.dials) == 2
    w.attempt()
    assert w.results() == [i.Result.SUPERSEDED]  # the cap is this side's: nothing was sent
    for d in list(w.dials):
        w.up(d.conn)
    assert sorted(conn for conn, _ in w.calls) == sorted([w.dials[0].conn, w.dials[1].conn] * 2)
    conn, call = w.calls[0]
    w.answer(conn, rpc.result(call.id, {}))
    w.attempt()
    assert w.calls[-1][0] == conn and w.results() == [i.Result.OK]


def test_nothing_is_written_after_the_grace_of_a_drain():
    w = Wire(grace_ms=1000.0, max_links=1)
    w.pool.notified(0.0, {NODE: i.State.READY})
    w.attempt()
    conn = w.up()
    w.pool.congested(conn)
    w.now = 100.0
    w.attempt()  # waits for the connection
    w.pool.notified(100.0, {NODE: i.State.DRAINING})
    w.pool.notified(900.0, {NODE: i.State.DRAINING})  # told again: the first time counts
    w.pool.drained(1100.0, conn)
    w.carry()
    assert w.results() == [i.Result.SUPERSEDED] and len(w.calls) == 1
    w.now = 1200.0
    w.attempt()
    assert w.results() == [i.Result.SUPERSEDED]
    w.pool.notified(1300.0, {})  # gone from the list
    w.now = 1301.0
    w.attempt()
    assert w.results() == [i.Result.SUPERSEDED]
    w.pool.notified(1400.0, {NODE: i.State.READY})
    w.now = 1400.0
    w.attempt()
    assert len(w.calls) == 2


def test_idle_connections_close_and_silent_ones_end():
    w = Wire(idle_ms=1000.0, ping_ms=300.0)
    w.attempt()
    conn = w.up()
    w.answer(conn, rpc.result(w.calls[0][1].id, {}))
    w.ended()
    w.tick(1000.0)
    assert w.nodes[conn].proto.close_rcvd is not None and w.nodes[conn].proto.close_rcvd.code == 1000
    w.tick(2001.0)
    assert conn in w.over and not w.pool.links
    w.attempt()
    conn = w.up()
    w.tick(2301.0)  # a ping goes out, and nothing comes back
    assert not w.ended()
    w.tick(2601.0)
    assert w.results() == [i.Result.RESET] and w.pool.counts["silent_links"] == 1


def test_probes():
    w = Wire(probe_timeout_ms=250.0)
    w.pool.probe(0.0, NODE)
    assert w.results() == [i.Result.CONNECT_FAILED]  # no connection to ask over
    w.attempt()
    conn = w.up()
    w.pool.probe(0.0, NODE)
    w.carry()
    w.answer(conn, rpc.result(w.calls[-1][1].id, {"load": {"util": 0.25}}))
    (end,) = w.ended()
    assert (end.result, end.load) == (i.Result.OK, {"util": 0.25})
    w.pool.probe(10.0, NODE)
    w.carry()
    w.tick(260.0)
    assert w.results() == [i.Result.TIMEOUT]


@pytest.mark.parametrize("address", ["nowhere", "host:port", ":80", ""])
def test_an_address_that_is_none_never_ran(address):
    w = Wire()
    w.attempt(node=address)
    assert w.results() == [i.Result.CONNECT_FAILED] and not w.dials


def test_tables_stay_bounded():
    w = Wire(streams=4)
    for k in range(500):
        w.now = float(k)
        a = w.attempt(node=f"10.0.0.{k % 250}:80")
        w.pool.dial_failed(w.now, w.dials[-1].conn)
        assert w.results() == [i.Result.CONNECT_FAILED] and a
    w.pool.notified(1000.0, {})
    w.pool.notified(1000.0 + 62_000.0, {})
    assert not w.pool.nodes and not w.pool.links and not w.pool.link_by_attempt
