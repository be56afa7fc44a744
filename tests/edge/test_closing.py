"""Tests of new connections that end without an answer, and that a request that has begun is not among them.

The platform counts such a request as refused, and as lost beyond one in 200. It can happen when a connection is
closed for a new client; after 50 ms without bytes at shutdown, and again 0.7 s later; in the listen queue at that
time; and at the very end of the process. Rejected, slow and malformed clients get an answer.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from rushweir.edge.front import MIN_IDLE_MS
from rushweir.edge.service import ACCEPTING_S
from rushweir.ingress import commands
from rushweir.ingress.clients import LINGER_MS
from tests.edge.conftest import Edge, answer, booking, request
from tests.edge.live import run_scenario

COMES_MS = 400.0  # new connections arrive for so long after SIGTERM, by the platform's page


def part(data, how):
    return {"nothing": b"", "a byte": data[:1], "half": data[: len(data) // 2], "all but a byte": data[:-1]}[how]


def ended_without_a_word(edge, conn):
    ends = [
        o
        for o in edge.commands
        if isinstance(o, commands.AbortConnection | commands.CloseConnection) and o.conn == conn
    ]
    return bool(ends) and not edge.written(conn)


@pytest.mark.parametrize("how", ["nothing", "a byte", "half", "all but a byte"])
@pytest.mark.parametrize("when", ["room", "shutdown begins", "0.7 s later"])
def test_only_a_connection_without_any_bytes_is_closed_without_an_answer(when, how):
    """From its first byte on a request is awaited and served."""
    edge, data = Edge(max_clients=3), booking("one")
    conn = edge.connect()
    if how != "nothing":
        edge.receive(conn, part(data, how))
    edge.advance_ms(MIN_IDLE_MS + 1)
    if when == "room":
        for _ in range(3):
            edge.connect()
    else:
        edge.core.drain_clients(edge.now, edge.core.setup.settings)
        edge.turn()
        if when != "shutdown begins":
            edge.core.stop(edge.now)
            edge.turn()
        edge.advance_ms(10 * LINGER_MS)
    assert ended_without_a_word(edge, conn) is (how == "nothing")
    if how != "nothing":
        backend_conn, _ = edge.complete_dial(edge.receive(conn, data[len(part(data, how)) :]))
        edge.receive(backend_conn, answer())
        assert edge.statuses(conn) == [200]


@pytest.mark.parametrize("quiet", [0.0, 0.5 * MIN_IDLE_MS, 0.99 * MIN_IDLE_MS])
def test_recent_connection_is_not_closed_for_a_new_one_which_gets_503(quiet):
    edge = Edge(max_clients=3)
    conns = [edge.connect() for _ in range(3)]
    edge.advance_ms(quiet)
    new = edge.connect()
    assert not edge.closed & set(conns) and edge.statuses(new) == [503]
    _, backend_conn = edge.send_request(request("one"), conns[0])
    edge.receive(backend_conn, answer())
    assert edge.statuses(conns[0]) == [200]


@pytest.mark.parametrize("ms", [0.0, 100.0, 300.0, COMES_MS])
@pytest.mark.parametrize("quiet", [0.0, LINGER_MS - 1.0])
def test_new_connections_during_shutdown_are_answered(ms, quiet):
    """New connections arrive for up to 0.4 s, and these are not closed as idle before 0.7 s."""
    edge = Edge()
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.advance_ms(ms)
    conn = edge.connect()
    edge.advance_ms(quiet)
    if ms + quiet >= COMES_MS:
        edge.advance_ms(ACCEPTING_S * 1000 - ms - quiet)
        edge.core.stop(edge.now)
        edge.turn()
        edge.advance_ms(LINGER_MS - 1.0)
    edge.send_request(request("one"), conn)
    edge.receive(next(iter(edge.core.pool.links)), answer())
    assert edge.statuses(conn) == [200] and b"Connection: close" in edge.written(conn)


def test_rejected_slow_and_malformed_clients_get_an_answer():
    edge = Edge(max_clients=1)
    edge.send_request()  # an open request: its connection is not closed
    away = edge.connect()
    assert edge.statuses(away) == [503]
    edge = Edge()
    edge.core.load_shedder.delay_ms = 10_000.0
    late = edge.connect()
    edge.receive(late, request())
    assert edge.statuses(late) == [503]
    edge = Edge()
    silent, noise = edge.connect(), edge.connect()
    edge.receive(noise, b"\x00\x01\r\n\r\n")
    edge.advance_ms(2_100.0)
    assert [edge.statuses(k) for k in (silent, noise)] == [[408], [400]]


def test_listen_queue_is_answered_when_shutdown_begins():
    """As many clients as one turn of the loop accepts connect and send while it is busy, and then shutdown begins.

    Later ones in the queue are reset: on the platform no client has connected for 0.3 s by then."""

    async def scenario(live):
        socks = []
        for k in range(16):
            sock = socket.create_connection(("127.0.0.1", live.port))  # no await, so that it is not accepted
            sock.sendall(request(f"r{k}"))
            sock.setblocking(False)
            socks.append(sock)
        live.clients += socks
        assert live.core.counts["accepted"] == 0
        await asyncio.sleep(0)  # the turn in which they are accepted
        live.core.drain_clients(live.shell.clock(), live.core.setup.settings)
        live.shell.carry_out()
        stopping = asyncio.create_task(live.shell.stop(3_000.0))
        statuses = [(await live.read(sock))[0] for sock in socks]
        assert len(statuses) == 16 and set(statuses) <= {200, 503} and live.core.counts["accepted"] == 16
        for sock in socks:
            sock.close()
        assert await stopping is True

    run_scenario(scenario)


def test_connection_queued_after_accepting_ended_is_reset_and_not_forwarded():
    async def scenario(live):
        stopping = asyncio.create_task(live.shell.stop(0.0))
        await asyncio.sleep(0)  # accepting has ended; the socket still listens
        sock = socket.create_connection(("127.0.0.1", live.port))
        sock.sendall(request("late"))
        await stopping
        sock.settimeout(5)
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        sock.close()
        assert not live.heads() and not live.core.counts["accepted"]

    run_scenario(scenario)


def test_request_after_shutdown_is_discarded_and_not_forwarded():
    """The request arrives after the shutdown of the socket: it is read, discarded and not forwarded."""

    async def scenario(live):
        sock = await live.client()
        client = next(iter(live.core.clients.open.values()))
        stopping = asyncio.create_task(live.shell.stop(0.0))
        assert await live.shell.loop.sock_recv(sock, 1) == b""
        sock.sendall(request("late"))
        await live.until(lambda: client.discarded_bytes)
        sock.close()
        assert await stopping is True
        assert not live.heads() and not live.core.engine.counts["requests"]

    run_scenario(scenario)
