"""An answer without a length is whole when its backend closes the connection, and cut when the connection breaks.

Guards against bookings that ran and were told as failed, since no answer without a length was forwarded (review/9),
and against a cut answer that is served.
"""

from __future__ import annotations

import socket

import orjson
import pytest

from rushweir.edge.http import MAX_BODY_BYTES
from rushweir.ingress import commands
from tests.edge.conftest import LIST, Edge, answer, booking, request
from tests.edge.live import run_scenario

BODY = b'{"ride": 7}'
HEADS = {
    "close said": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "close not said": b"HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "interim answer ahead": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Meter: 3\r\n\r\n",
}
WITH_LENGTH = {
    "a length": answer(BODY),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + BODY + b"\r\n0\r\n\r\n",
}


def close(edge, conn, *, is_eof):
    """Ends a connection of the backend, and returns the commands that follow."""
    edge.core.ended(edge.now, conn, is_eof)
    edge.closed.add(conn)
    return edge.turn()


@pytest.mark.parametrize("name", HEADS)
def test_answer_that_ends_by_the_close_of_its_connection_is_served(edge, name):
    conn, backend_conn = edge.send_request(booking())
    edge.receive(backend_conn, HEADS[name] + BODY[:4])
    edge.receive(backend_conn, BODY[4:])
    assert not edge.written(conn)
    close(edge, backend_conn, is_eof=True)
    assert edge.statuses(conn) == [200] and edge.written(conn).endswith(BODY)
    assert not edge.core.pool.links and not edge.core.memory.held_bytes and not edge.core.engine.ledger.entries


@pytest.mark.parametrize("cut", range(len(HEADS["close said"] + BODY) + 1))
def test_answer_cut_by_a_reset_is_never_served(edge, cut):
    conn, backend_conn = edge.send_request(booking())
    edge.receive(backend_conn, (HEADS["close said"] + BODY)[:cut])
    assert not edge.written(conn)
    close(edge, backend_conn, is_eof=False)
    assert edge.core.engine.counts["attempt_reset"] == 1 and 200 not in edge.statuses(conn)


@pytest.mark.parametrize("cut", range(len(HEADS["close said"]) + 1))
def test_answer_closed_before_its_body_is_never_served(edge, cut):
    conn, backend_conn = edge.send_request(booking())
    edge.receive(backend_conn, HEADS["close said"][:cut])
    close(edge, backend_conn, is_eof=True)
    assert edge.core.engine.counts["attempt_reset"] == 1 and 200 not in edge.statuses(conn)


@pytest.mark.parametrize("name", WITH_LENGTH)
def test_answer_with_a_length_is_not_completed_by_a_close(name):
    for cut in range(len(WITH_LENGTH[name])):
        edge = Edge()
        conn, backend_conn = edge.send_request(booking(Req_Deadline_Ms="500"))
        edge.receive(backend_conn, WITH_LENGTH[name][:cut])
        close(edge, backend_conn, is_eof=True)
        edge.advance_ms(1_000.0)
        assert 200 not in edge.statuses(conn), cut


@pytest.mark.parametrize(("head", "result"), [
    (b"HTTP/1.1 500 No\r\n\r\n", "error"), (b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\n\r\n", "full"),
    (b"HTTP/1.1 503 No\r\n\r\n", "error"),
])  # fmt: skip
@pytest.mark.parametrize("body", [b"", b"no"])
def test_other_answers_without_a_length_map_to_the_platforms_table(edge, head, result, body):
    _, backend_conn = edge.send_request(booking())
    edge.receive(backend_conn, head + body)
    close(edge, backend_conn, is_eof=True)
    assert edge.core.engine.counts[f"attempt_{result}"] == 1


def test_answer_before_the_request_is_written_never_ran(edge):
    conn, backend_conn = edge.send_request(booking(body=b"x" * 60_000))
    edge.core.congested(edge.now, backend_conn, 1000)
    edge.receive(backend_conn, HEADS["close said"] + BODY)
    close(edge, backend_conn, is_eof=True)
    assert edge.core.engine.counts["attempt_connect_failed"] == 1 and not edge.written(conn)


def test_answer_that_never_ends_is_given_up(edge):
    conn, backend_conn = edge.send_request()
    edge.receive(backend_conn, HEADS["close said"] + BODY)
    edge.receive(backend_conn, b"z" * (MAX_BODY_BYTES + 1))
    assert backend_conn in edge.closed and edge.core.engine.counts["attempt_reset"] == 1 and not edge.written(conn)


def test_answer_whose_connection_stays_open_is_given_up_in_time(edge):
    conn, backend_conn = edge.send_request(booking(Req_Deadline_Ms="500"))
    edge.receive(backend_conn, HEADS["close not said"] + BODY)
    edge.advance_ms(1_000.0)
    assert edge.statuses(conn) == [502] and backend_conn in edge.closed


def test_close_after_the_attempt_was_given_up_answers_nothing(edge):
    conn, backend_conn = edge.send_request(booking(Req_Deadline_Ms="500"))
    edge.receive(backend_conn, HEADS["close said"] + BODY)
    edge.advance_ms(1_000.0)
    close(edge, backend_conn, is_eof=True)
    assert edge.statuses(conn) == [502] and len(edge.statuses(conn)) == 1


def test_list_that_ends_by_the_close_of_its_connection_applies(edge):
    """Each answer of such a discovery was taken for a lost call."""
    dial = next(o for o in edge.commands if isinstance(o, commands.Dial) and o.port == 8500)
    edge.core.dialed(edge.now, dial.conn)
    edge.turn()
    shorter = {**LIST, "version": 8, "servers": LIST["servers"][:1]}
    edge.receive(dial.conn, HEADS["close said"] + orjson.dumps(shorter))
    close(edge, dial.conn, is_eof=True)
    assert list(edge.core.nodes.listed) == ["s-1"] and edge.core.list.counts["lost"] == 0


@pytest.mark.parametrize("is_eof", [True, False])
def test_list_that_is_cut_does_not_apply(edge, is_eof):
    dial = next(o for o in edge.commands if isinstance(o, commands.Dial) and o.port == 8500)
    edge.core.dialed(edge.now, dial.conn)
    edge.turn()
    text = orjson.dumps({**LIST, "version": 8, "servers": LIST["servers"][:1]})
    edge.receive(dial.conn, HEADS["close said"] + text[: len(text) // 2])
    close(edge, dial.conn, is_eof=is_eof)
    assert len(edge.core.nodes.listed) == 3


# --- on sockets ----------------------------------------------------------------------------------


def backend_that(ends):
    """Returns the handler of a backend that sends an answer without a length in two pieces, and ``ends``."""

    async def handle(head, body, writer):
        writer.write(HEADS["close said"] + BODY[:5])
        await writer.drain()
        writer.write(BODY[5:])
        await writer.drain()
        sock = writer.get_extra_info("socket")
        if ends == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        elif ends == "end of sending":
            writer.write_eof()
        else:
            writer.close()

    return handle


@pytest.mark.parametrize("ends", ["close", "end of sending"])
def test_close_of_a_socket_completes_the_answer(ends):
    async def scenario(live):
        live.backends[0].handle = backend_that(ends)
        sock = await live.client()
        await live.send(sock, booking())
        assert await live.read(sock) == (200, BODY) and live.core.pool.counts["answers_ended_by_close"] == 1

    run_scenario(scenario, count=1)


def test_reset_of_a_socket_cuts_the_answer():
    """Whatever was read by then: the reset is on the socket together with the last bytes."""

    async def scenario(live):
        live.backends[0].handle = backend_that("reset")
        sock = await live.client()
        await live.send(sock, booking(Req_Deadline_Ms="600"))
        status, _ = await live.read(sock)
        assert status == 502 and not live.served() and live.core.engine.counts["attempt_reset"]

    run_scenario(scenario, count=1)


def test_attempt_cut_by_this_side_serves_nothing():
    """The shell shuts the socket down, which reads as an end."""

    async def scenario(live):
        async def handle(head, body, writer):
            writer.write(HEADS["close said"] + BODY)
            await writer.drain()

        live.backends[0].handle = handle
        sock = await live.client()
        await live.send(sock, request(Req_Deadline_Ms="300"))
        status, _ = await live.read(sock)
        assert status in (502, 503) and not live.served()

    run_scenario(scenario, count=1)
