"""Tests of connections that end during a request: no answer is lost with them. Real sockets."""

from __future__ import annotations

import asyncio

import pytest

from tests.edge.conftest import booking, request
from tests.edge.live import run_scenario


def halves(data):
    return data[:-1], data[-1:]


def test_request_completed_during_shutdown_is_answered():
    """It was closed as idle after 50 ms without bytes, and its last byte arrived at a closed connection."""

    async def scenario(live):
        first, last = halves(booking())
        half, idle = await live.client(), await live.client()
        await live.send(half, first)
        await live.until(lambda: any(k.front.partial_message for k in live.core.clients.open.values()))
        live.core.drain_clients(live.shell.clock(), live.core.setup.settings)
        live.shell.carry_out()
        assert await live.shell.loop.sock_recv(idle, 1) == b""  # the idle connection is closed
        stopping = asyncio.create_task(live.shell.stop(3_000.0))
        await live.until(lambda: live.core.stopping)
        await live.send(half, last)
        assert await live.read(half) == (200, b"served")
        assert await live.shell.loop.sock_recv(half, 1) == b""
        for sock in (half, idle):
            sock.close()
        assert await stopping is True

    run_scenario(scenario)


def test_incomplete_request_gets_503_when_shutdown_ends():
    async def scenario(live):
        half = await live.client()
        await live.send(half, halves(booking())[0])
        await live.until(lambda: any(k.front.partial_message for k in live.core.clients.open.values()))
        stopping = asyncio.create_task(live.shell.stop(0.0))
        assert (await live.read(half))[0] == 503
        half.close()
        await stopping

    run_scenario(scenario)


def test_connection_with_an_incomplete_request_is_not_closed_for_a_new_client():
    """It counted as idle and was closed, and a request whose last byte arrived then was lost without an answer."""

    async def scenario(live):
        first, last = halves(booking())
        half = await live.client()
        await live.send(half, first)
        await live.until(lambda: any(k.front.partial_message for k in live.core.clients.open.values()))
        idle = await live.client()
        for client in live.core.clients.open.values():
            client.last_active_at -= 1_000.0  # both are silent for long, the incomplete one for longer
        await live.client()
        assert await live.shell.loop.sock_recv(idle, 1) == b""
        await live.send(half, last)
        assert (await live.read(half))[0] == 200

    run_scenario(scenario, max_clients=2)


def test_idle_timeout_during_a_request_closes_nothing():
    async def scenario(live):
        first, last = halves(booking("two"))
        sock = await live.client()
        await live.send(sock, request("one"))
        assert (await live.read(sock))[0] == 200
        client = next(iter(live.core.clients.open.values()))
        await live.send(sock, first)
        await live.until(lambda: client.front.partial_message)
        client.last_active_at -= 5_000.0
        live.core.clients._close_if_idle(client)  # the timer fires now
        live.shell.carry_out()
        await live.send(sock, last)
        assert (await live.read(sock))[0] == 200

    run_scenario(scenario)


def test_last_answer_reaches_a_slow_reader():
    """Its connection was cut after a second, while the rest of the answer was still in this process."""

    async def scenario(live):
        live.body = b"x" * 60_000
        sock, client, transport = await live.slow_client()
        await live.send(sock, request(Connection="close"))
        await live.until(lambda: client.ended and transport.get_write_buffer_size())
        await live.until(lambda: live.shell.lingering)
        live.shell.end_linger()
        assert await live.read(sock) == (200, live.body)

    run_scenario(scenario)


@pytest.mark.parametrize("more", [b"", b"GET / HTTP/1.1\r\nHos", request("three")])
def test_bytes_after_the_last_request_do_not_reset_its_answer(more):
    """Closing a socket with unread bytes resets the connection, and discards what the client has not read yet."""

    async def scenario(live):
        live.release.clear()
        sock = await live.client()
        await live.send(sock, request("one", Connection="close"))
        await live.until(lambda: live.heads())
        live.release.set()
        sock.sendall(more)
        assert await live.read(sock) == (200, b"served")
        assert await live.shell.loop.sock_recv(sock, 1) == b"" and len(live.heads()) == 1

    run_scenario(scenario)


def test_pipelined_request_counts_its_deadline_from_its_arrival(edge):
    """Its deadline started anew when its turn came, long after the client had given up."""
    conn, backend_conn = edge.send_request(request("one"))
    edge.receive(conn, request("two", Req_Deadline_Ms="300"))
    edge.advance_ms(290.0)
    from tests.edge.conftest import answer

    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200, 503] and b"too_late" in edge.written(conn)
