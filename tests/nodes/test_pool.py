"""Each way in which an attempt can end, and its result; driven without sockets."""

from __future__ import annotations

import pytest

from rushweir import interface
from rushweir.ingress import commands
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol
from rushweir.nodes.pool import Pool, PoolSettings

NODE = "127.0.0.1:9001"


class Harness:
    """A pool, and a node at the other end of each of its connections."""

    def __init__(self, **settings) -> None:
        self.timers, self.connections, self.now = [], 0, 0.0
        self.pool = Pool(
            PoolSettings(**settings),
            {},
            self.new_conn,
            lambda at, function, argument: self.timers.append((at, function, argument)),
        )
        self.nodes: dict[int, Messages] = {}
        self.calls: list[tuple[int, rpc.Call]] = []
        self.dials: list[commands.Dial] = []
        self.closed: set[int] = set()
        self.serial = 0

    def new_conn(self, owner) -> int:
        self.connections += 1
        return self.connections

    def attempt(self, deadline_ms: float = 1e9, method: str = "look", node: str = NODE) -> commands.Attempt:
        self.serial += 1
        attempt = commands.Attempt(f"r{self.serial}", 0, node, self.now, deadline_ms, {"data": None}, method)
        self.pool.send(self.now, attempt)
        self.execute()
        return attempt

    def execute(self) -> None:
        """Executes the pool's commands; a dial waits for ``open``."""
        while self.pool.out:
            command = self.pool.out.pop(0)
            if isinstance(command, commands.Dial):
                self.dials.append(command)
            elif isinstance(command, commands.Write):
                self.read(command.conn, command.data)
            else:
                self.closed.add(command.conn)

    def read(self, conn: int, data: bytes) -> None:
        node = self.nodes.get(conn)
        if node is None:
            protocol = server_protocol(1 << 20)
            protocol.receive_data(data)
            (request,) = protocol.events_received()
            protocol.send_response(protocol.accept(request))
            self.nodes[conn] = Messages(protocol)
        else:
            for text in node.receive(data):
                self.calls.append((conn, rpc.parse(text)))

    def open(self, conn: int | None = None) -> int:
        """Completes a dial and its handshake; the last dial if none is given."""
        conn = conn or self.dials[-1].conn
        self.pool.dialed(self.now, conn)
        self.execute()
        self.send_output(conn)
        return conn

    def send_output(self, conn: int) -> None:
        writes, _ = self.nodes[conn].take()
        self.pool.received(self.now, conn, b"".join(writes))
        self.execute()

    def answer(self, conn: int, text: bytes) -> None:
        self.nodes[conn].send(text)
        self.send_output(conn)

    def ended(self) -> list:
        ended, self.pool.ended = self.pool.ended, []
        return ended

    def results(self) -> list[interface.Result]:
        return [end.result for end in self.ended()]

    def tick(self, now: float) -> None:
        self.now = self.pool.now = now
        due = [timer for timer in self.timers if timer[0] <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        for _, function, argument in due:
            function(argument)
        self.execute()


def test_refused_connection_is_connect_failed():
    harness = Harness()
    harness.attempt()
    harness.pool.dial_failed(0.0, harness.dials[0].conn)
    assert harness.results() == [interface.Result.CONNECT_FAILED] and not harness.calls


def test_connect_or_handshake_timeout_is_connect_failed():
    harness = Harness(connect_timeout_ms=250.0)
    harness.attempt()
    harness.tick(249.0)
    assert not harness.ended()
    harness.tick(250.0)
    assert harness.results() == [interface.Result.CONNECT_FAILED] and harness.dials[0].conn in harness.closed
    harness.attempt()
    harness.pool.dialed(harness.now, harness.dials[1].conn)  # TCP connects, but the handshake is not answered
    harness.execute()
    harness.tick(600.0)
    assert harness.results() == [interface.Result.CONNECT_FAILED] and not harness.calls


def test_refused_handshake_is_connect_failed():
    harness = Harness()
    harness.attempt()
    conn = harness.dials[0].conn
    harness.pool.dialed(0.0, conn)
    harness.pool.received(0.0, conn, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert harness.results() == [interface.Result.CONNECT_FAILED]


def test_replies_give_results():
    harness = Harness()
    attempts = [harness.attempt() for _ in range(6)]
    conn = harness.open()
    assert len(harness.dials) == 1 and [call.method for _, call in harness.calls] == ["look"] * 6
    ids = [call.id for _, call in harness.calls]
    harness.answer(conn, rpc.result(ids[0], {"data": 5, "cost": 2, "used": 7, "load": {"util": 0.5}}))
    harness.answer(conn, rpc.error(ids[1], rpc.NODE_FULL, "full"))
    harness.answer(conn, rpc.error(ids[2], rpc.NODE_ERROR, "broken"))
    harness.answer(conn, rpc.error(ids[3], rpc.INTERNAL_ERROR, "broken"))
    harness.answer(conn, rpc.error(ids[4], 404, "no such ride"))
    harness.answer(conn, rpc.result(ids[5], 17))
    ended = harness.ended()
    assert [end.result.value for end in ended] == ["ok", "full", "error", "error", "ok", "ok"]
    first = ended[0]
    assert (first.body, first.cost, first.quota_used, first.load) == (("result", 5), 2.0, 7, {"util": 0.5})
    assert ended[4].body == ("error", {"code": 404, "message": "no such ride"})
    assert ended[5].body == ("result", 17) and [end.attempt for end in ended] == attempts


def test_implausible_costs_count_as_zero():
    harness = Harness()
    for _ in range(6):
        harness.attempt()
    conn = harness.open()
    for (_, call), cost in zip(list(harness.calls), (-1, 0, 1e300, "3", True, None), strict=True):
        harness.answer(conn, rpc.result(call.id, {"data": 1, "cost": cost}))
    assert [end.cost for end in harness.ended()] == [0.0] * 6


def test_lost_connection_resets_written_attempts_and_fails_waiting_ones():
    harness = Harness(max_links=1)
    first = harness.attempt()
    conn = harness.open()
    harness.pool.congested(conn)  # no more writes are accepted
    second = harness.attempt()
    assert [call.method for _, call in harness.calls] == ["look"]
    harness.pool.lost(0.0, conn)
    results = {id(end.attempt): end.result for end in harness.ended()}
    assert results == {id(first): interface.Result.RESET, id(second): interface.Result.CONNECT_FAILED}


def test_waiting_attempt_is_written_when_the_connection_drained():
    harness = Harness(max_links=1)
    harness.attempt()
    conn = harness.open()
    harness.pool.congested(conn)
    harness.attempt()
    harness.pool.drained(1.0, conn)
    harness.execute()
    assert len(harness.calls) == 2 and not harness.ended()


def test_expired_and_cancelled_attempts_by_whether_they_were_written():
    harness = Harness(max_links=1)
    written = harness.attempt()
    conn = harness.open()
    harness.pool.congested(conn)
    waiting = harness.attempt()
    harness.pool.expire(5.0, waiting)
    assert harness.results() == [interface.Result.SUPERSEDED]  # it was never written
    harness.pool.drained(5.0, conn)
    harness.pool.expire(6.0, written)
    harness.execute()
    assert harness.results() == [interface.Result.TIMEOUT]
    assert harness.calls[-1][1].method == "rpc.cancel" and harness.calls[-1][1].id is None
    other = harness.attempt()
    harness.pool.cancel(7.0, other)
    assert harness.results() == [interface.Result.CANCELLED]
    harness.pool.cancel(8.0, other)  # already ended: no second result
    harness.pool.expire(8.0, other)
    assert not harness.ended()


def test_late_duplicate_and_unmatched_answers_are_dropped_and_counted():
    harness = Harness()
    attempt = harness.attempt()
    conn = harness.open()
    harness.pool.expire(1.0, attempt)
    harness.execute()
    harness.ended()
    harness.answer(conn, rpc.result(harness.calls[0][1].id, {}))
    harness.answer(conn, rpc.result(harness.calls[0][1].id, {}))
    harness.answer(conn, rpc.result(99, {}))
    harness.answer(conn, rpc.result("1", {}))
    harness.answer(conn, b'{"jsonrpc":"2.0"')
    harness.answer(conn, rpc.call("look", {}, 5))
    assert not harness.ended()
    assert (
        harness.pool.counts["late_answers"],
        harness.pool.counts["stray_answers"],
        harness.pool.counts["bad_messages"],
    ) == (1, 3, 2)


def test_answers_in_one_read_with_the_nodes_close_all_count():
    harness = Harness()
    harness.attempt()
    harness.attempt()
    conn = harness.open()
    node = harness.nodes[conn]
    for _, call in harness.calls:
        node.send(rpc.result(call.id, {}))
    node.close(1001)
    harness.pool.received(1.0, conn, b"".join(node.take()[0]))
    assert [end.result for end in harness.ended()] == [interface.Result.OK, interface.Result.OK]


def test_attempts_spread_over_links_up_to_the_limits():
    harness = Harness(streams=2, max_links=2)
    for _ in range(4):
        harness.attempt()
    assert len(harness.dials) == 2
    harness.attempt()
    assert harness.results() == [interface.Result.SUPERSEDED]  # the limit is local: nothing was sent
    for dial in list(harness.dials):
        harness.open(dial.conn)
    assert sorted(conn for conn, _ in harness.calls) == sorted([harness.dials[0].conn, harness.dials[1].conn] * 2)
    conn, call = harness.calls[0]
    harness.answer(conn, rpc.result(call.id, {}))
    harness.attempt()
    assert harness.calls[-1][0] == conn and harness.results() == [interface.Result.OK]


def test_nothing_is_written_after_the_drain_grace():
    harness = Harness(grace_ms=1000.0, max_links=1)
    harness.pool.apply_list(0.0, {NODE: interface.State.READY})
    harness.attempt()
    conn = harness.open()
    harness.pool.congested(conn)
    harness.now = 100.0
    harness.attempt()  # waits for the connection
    harness.pool.apply_list(100.0, {NODE: interface.State.DRAINING})
    harness.pool.apply_list(900.0, {NODE: interface.State.DRAINING})  # reported again: the first time counts
    harness.pool.drained(1100.0, conn)
    harness.execute()
    assert harness.results() == [interface.Result.SUPERSEDED] and len(harness.calls) == 1
    harness.now = 1200.0
    harness.attempt()
    assert harness.results() == [interface.Result.SUPERSEDED]
    harness.pool.apply_list(1300.0, {})  # gone from the list
    harness.now = 1301.0
    harness.attempt()
    assert harness.results() == [interface.Result.SUPERSEDED]
    harness.pool.apply_list(1400.0, {NODE: interface.State.READY})
    harness.now = 1400.0
    harness.attempt()
    assert len(harness.calls) == 2


def test_idle_connections_are_closed_and_silent_ones_reset():
    harness = Harness(idle_ms=1000.0, ping_ms=300.0)
    harness.attempt()
    conn = harness.open()
    harness.answer(conn, rpc.result(harness.calls[0][1].id, {}))
    harness.ended()
    harness.tick(1000.0)
    assert (
        harness.nodes[conn].protocol.close_rcvd is not None and harness.nodes[conn].protocol.close_rcvd.code == 1000
    )
    harness.tick(2001.0)
    assert conn in harness.closed and not harness.pool.links
    harness.attempt()
    conn = harness.open()
    harness.tick(2301.0)  # a ping is sent, and nothing comes back
    assert not harness.ended()
    harness.tick(2601.0)
    assert harness.results() == [interface.Result.RESET] and harness.pool.counts["silent_links"] == 1


def test_probe_results():
    harness = Harness(probe_timeout_ms=250.0)
    harness.pool.probe(0.0, NODE)
    assert harness.results() == [interface.Result.CONNECT_FAILED]  # no open connection
    harness.attempt()
    conn = harness.open()
    harness.pool.probe(0.0, NODE)
    harness.execute()
    harness.answer(conn, rpc.result(harness.calls[-1][1].id, {"load": {"util": 0.25}}))
    (end,) = harness.ended()
    assert (end.result, end.load) == (interface.Result.OK, {"util": 0.25})
    harness.pool.probe(10.0, NODE)
    harness.execute()
    harness.tick(260.0)
    assert harness.results() == [interface.Result.TIMEOUT]


@pytest.mark.parametrize("address", ["nowhere", "host:port", ":80", ""])
def test_malformed_address_is_connect_failed(address):
    harness = Harness()
    harness.attempt(node=address)
    assert harness.results() == [interface.Result.CONNECT_FAILED] and not harness.dials


def test_tables_are_emptied_when_nodes_are_gone():
    harness = Harness(streams=4)
    for k in range(500):
        harness.now = float(k)
        attempt = harness.attempt(node=f"10.0.0.{k % 250}:80")
        harness.pool.dial_failed(harness.now, harness.dials[-1].conn)
        assert harness.results() == [interface.Result.CONNECT_FAILED] and attempt
    harness.pool.apply_list(1000.0, {})
    harness.pool.apply_list(1000.0 + 62_000.0, {})
    assert not harness.pool.nodes and not harness.pool.links and not harness.pool.link_by_attempt
