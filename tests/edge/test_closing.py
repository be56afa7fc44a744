"""New connections that end with no answer: each way there is, and what keeps a request that has begun from it.

The platform counts such a request as refused, and as lost beyond one in 200. The ways, all of this file: room made
for newcomers; 50 ms of quiet once the process is told to end, and again 0.7 s later; what still lies in the listening
queue by then; the process's last moment. Whoever is turned away, too slow or unreadable gets an answer.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from rushweir.edge.front import QUIET_MS
from rushweir.edge.service import LAST_S
from rushweir.ingress import commands as c
from rushweir.ingress.clients import LINGER_MS
from tests.edge.conftest import Edge, answer, booking, request
from tests.edge.live import play

COMES_MS = 400.0  # after SIGTERM new connections keep coming for so long, by the platform's page


def part(data, how):
    return {"nothing": b"", "a byte": data[:1], "half": data[: len(data) // 2], "all but a byte": data[:-1]}[how]


def ended_without_a_word(edge, conn):
    ends = [o for o in edge.seen if isinstance(o, c.AbortConnection | c.CloseConnection) and o.conn == conn]
    return bool(ends) and not edge.written(conn)


@pytest.mark.parametrize("how", ["nothing", "a byte", "half", "all but a byte"])
@pytest.mark.parametrize("when", ["room", "told to end", "0.7 s later"])
def test_only_a_new_connection_on_which_nothing_has_come_ends_with_no_answer(when, how):
    """From its first byte on a request is waited for, and served."""
    edge, data = Edge(max_clients=3), booking("one")
    conn = edge.connect()
    if how != "nothing":
        edge.say(conn, part(data, how))
    edge.pass_ms(QUIET_MS + 1)
    if when == "room":
        for _ in range(3):
            edge.connect()
    else:
        edge.core.drain_clients(edge.now, edge.core.setup.settings)
        edge.turn()
        if when != "told to end":
            edge.core.stop(edge.now)
            edge.turn()
        edge.pass_ms(10 * LINGER_MS)
    assert ended_without_a_word(edge, conn) is (how == "nothing")
    if how != "nothing":
        up, _ = edge.dial_up(edge.say(conn, data[len(part(data, how)) :]))
        edge.say(up, answer())
        assert edge.statuses(conn) == [200]


@pytest.mark.parametrize("quiet", [0.0, 0.5 * QUIET_MS, 0.99 * QUIET_MS])
def test_a_connection_that_came_just_now_makes_no_room_and_the_newcomer_is_told(quiet):
    edge = Edge(max_clients=3)
    conns = [edge.connect() for _ in range(3)]
    edge.pass_ms(quiet)
    new = edge.connect()
    assert not edge.closed & set(conns) and edge.statuses(new) == [503]
    _, up = edge.sent(request("one"), conns[0])
    edge.say(up, answer())
    assert edge.statuses(conns[0]) == [200]


@pytest.mark.parametrize("ms", [0.0, 100.0, 300.0, COMES_MS])
@pytest.mark.parametrize("quiet", [0.0, LINGER_MS - 1.0])
def test_whoever_comes_while_the_process_ends_is_answered(ms, quiet):
    """New connections come for up to 0.4 s, and one that came then is not closed for its quiet before 0.7 s."""
    edge = Edge()
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.pass_ms(ms)
    conn = edge.connect()
    edge.pass_ms(quiet)
    if ms + quiet >= COMES_MS:
        edge.pass_ms(LAST_S * 1000 - ms - quiet)
        edge.core.stop(edge.now)
        edge.turn()
        edge.pass_ms(LINGER_MS - 1.0)
    edge.sent(request("one"), conn)
    edge.say(next(iter(edge.core.pool.links)), answer())
    assert edge.statuses(conn) == [200] and b"Connection: close" in edge.written(conn)


def test_whoever_is_turned_away_too_slow_or_unreadable_gets_an_answer():
    edge = Edge(max_clients=1)
    edge.sent()  # under way: it does not go
    away = edge.connect()
    assert edge.statuses(away) == [503]
    edge = Edge()
    edge.core.load_shedder.delay_ms = 10_000.0
    late = edge.connect()
    edge.say(late, request())
    assert edge.statuses(late) == [503]
    edge = Edge()
    silent, noise = edge.connect(), edge.connect()
    edge.say(noise, b"\x00\x01\r\n\r\n")
    edge.pass_ms(2_100.0)
    assert [edge.statuses(k) for k in (silent, noise)] == [[408], [400]]


def test_what_lay_in_the_listening_queue_a_turn_before_the_end_is_answered():
    """As many as one turn of the loop takes in connected and asked while it did something else, and then the end
    begins. The queue of later ones is reset: by the platform nobody comes any more for 0.3 s by then."""

    async def scenario(p):
        socks = []
        for k in range(16):
            sock = socket.create_connection(("127.0.0.1", p.port))  # no await: nobody accepts it
            sock.sendall(request(f"r{k}"))
            sock.setblocking(False)
            socks.append(sock)
        p.clients += socks
        assert p.core.counts["accepted"] == 0
        await asyncio.sleep(0)  # the turn in which they are taken in
        p.core.drain_clients(p.shell.clock(), p.core.setup.settings)
        p.shell.carry_out()
        stopping = asyncio.create_task(p.shell.stop(3_000.0))
        statuses = [(await p.read(sock))[0] for sock in socks]
        assert len(statuses) == 16 and set(statuses) <= {200, 503} and p.core.counts["accepted"] == 16
        for sock in socks:
            sock.close()
        assert await stopping is True

    play(scenario)


def test_what_comes_into_the_listening_queue_after_that_is_reset_and_nothing_of_it_is_sent_on():
    async def scenario(p):
        stopping = asyncio.create_task(p.shell.stop(0.0))
        await asyncio.sleep(0)  # nobody is taken in any more; the socket still listens
        sock = socket.create_connection(("127.0.0.1", p.port))
        sock.sendall(request("late"))
        await stopping
        sock.settimeout(5)
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        sock.close()
        assert not p.heads() and not p.core.counts["accepted"]

    play(scenario)


def test_a_client_taken_in_at_the_very_end_is_answered_or_sees_the_end_and_nothing_of_it_is_sent_on():
    """Its request comes after the shutdown: read, thrown away, and never sent on."""

    async def scenario(p):
        sock = await p.client()
        client = next(iter(p.core.clients.open.values()))
        stopping = asyncio.create_task(p.shell.stop(0.0))
        assert await p.shell.loop.sock_recv(sock, 1) == b""
        sock.sendall(request("late"))
        await p.until(lambda: client.drained)
        sock.close()
        assert await stopping is True
        assert not p.heads() and not p.core.engine.counts["requests"]

    play(scenario)
