"""Connections that end while something of a request is on them: nothing owed goes with them. Real sockets."""

from __future__ import annotations

import asyncio

import pytest

from tests.edge.conftest import booking, request
from tests.edge.live import play


def halves(data):
    return data[:-1], data[-1:]


def test_half_a_request_at_the_end_becomes_whole_and_is_answered():
    """It was closed after 50 ms of quiet, as an idle one: its last byte met a closed connection."""

    async def scenario(p):
        first, last = halves(booking())
        half, idle = await p.client(), await p.client()
        await p.say(half, first)
        await p.until(lambda: any(k.front.partial for k in p.core.clients.open.values()))
        p.core.drain_clients(p.shell.clock(), p.core.setup.settings)
        p.shell.carry_out()
        assert await p.shell.loop.sock_recv(idle, 1) == b""  # the idle one is closed by now
        stopping = asyncio.create_task(p.shell.stop(3_000.0))
        await p.until(lambda: p.core.stopping)
        await p.say(half, last)
        assert await p.read(half) == (200, b"served")
        assert await p.shell.loop.sock_recv(half, 1) == b""
        for sock in (half, idle):
            sock.close()
        assert await stopping is True

    play(scenario)


def test_half_a_request_that_stays_half_is_told_at_the_very_end():
    async def scenario(p):
        half = await p.client()
        await p.say(half, halves(booking())[0])
        await p.until(lambda: any(k.front.partial for k in p.core.clients.open.values()))
        stopping = asyncio.create_task(p.shell.stop(0.0))
        assert (await p.read(half))[0] == 503
        half.close()
        await stopping

    play(scenario)


def test_room_for_a_new_client_is_not_made_of_half_a_request():
    """It counted as spare, and was cut off: the request whose last byte came then was lost without a word."""

    async def scenario(p):
        first, last = halves(booking())
        half = await p.client()
        await p.say(half, first)
        await p.until(lambda: any(k.front.partial for k in p.core.clients.open.values()))
        idle = await p.client()
        for client in p.core.clients.open.values():
            client.quiet_at -= 1_000.0  # both are quiet for long; the half one for longer
        await p.client()
        assert await p.shell.loop.sock_recv(idle, 1) == b""
        await p.say(half, last)
        assert (await p.read(half))[0] == 200

    play(scenario, max_clients=2)


def test_an_idle_time_that_ends_in_the_middle_of_a_request_ends_nothing():
    async def scenario(p):
        first, last = halves(booking("two"))
        sock = await p.client()
        await p.say(sock, request("one"))
        assert (await p.read(sock))[0] == 200
        client = next(iter(p.core.clients.open.values()))
        await p.say(sock, first)
        await p.until(lambda: client.front.partial)
        client.quiet_at -= 5_000.0
        p.core.clients._idle_http((client, 1_000.0))  # the timer, at this instant
        p.shell.carry_out()
        await p.say(sock, last)
        assert (await p.read(sock))[0] == 200

    play(scenario)


def test_a_last_answer_reaches_a_client_that_takes_it_slowly():
    """After a second its connection was cut with the rest of the answer still on this side."""

    async def scenario(p):
        p.body = b"x" * 60_000
        sock, client, transport = await p.slow_client()
        await p.say(sock, request(Connection="close"))
        await p.until(lambda: client.ended and transport.get_write_buffer_size())
        await p.until(lambda: p.shell.lingering)
        p.shell.end_linger()
        assert await p.read(sock) == (200, p.body)

    play(scenario)


@pytest.mark.parametrize("more", [b"", b"GET / HTTP/1.1\r\nHos", request("three")])
def test_bytes_after_the_last_request_take_no_answer_with_them(more):
    """What lies unread when a socket closes resets its connection, and with it what the client has not read yet."""

    async def scenario(p):
        p.release.clear()
        sock = await p.client()
        await p.say(sock, request("one", Connection="close"))
        await p.until(lambda: p.heads())
        p.release.set()
        sock.sendall(more)
        assert await p.read(sock) == (200, b"served")
        assert await p.shell.loop.sock_recv(sock, 1) == b"" and len(p.heads()) == 1

    play(scenario)


def test_what_waits_behind_another_request_counts_its_time_from_when_it_came(edge):
    """It was given its whole time again when its turn came: the client had long given up."""
    conn, up = edge.sent(request("one"))
    edge.say(conn, request("two", Req_Deadline_Ms="300"))
    edge.pass_ms(290.0)
    from tests.edge.conftest import answer

    edge.say(up, answer())
    assert edge.statuses(conn) == [200, 503] and b"too_late" in edge.written(conn)
