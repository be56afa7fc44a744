"""No attempt begins for a client that has closed its connection behind bytes that are not read yet.

Guards against requests that are sent to backends long after their client sent much, closed and went (review/10).
While unread bytes fill the receive buffer, the end of the connection waits in the client's own machine: nothing that
can be looked at tells it.
"""

from __future__ import annotations

import socket

import pytest

from rushweir.edge.backends import COOLDOWN_MS
from rushweir.ingress import commands
from tests.edge.conftest import Edge, answer, booking, request
from tests.edge.live import run_scenario

SEND_BUFFER_BYTES = 1_000_000  # more than the receive buffer of the ingress has at first
FILL_BYTES = 600_000
CHUNKED = booking("chunks", b"", Transfer_Encoding="chunked")
BEHIND = {
    "whole requests": b"".join(booking(f"behind-{k}", b"x" * 20_000) for k in range(FILL_BYTES // 20_000)),
    "bodies in small chunks": (CHUNKED + b"2\r\nxx\r\n" * 8_000 + b"0\r\n\r\n") * (FILL_BYTES // 56_000),
    "many small requests": request("small") * (FILL_BYTES // 150),
    "an endless head": request("endless")[:-2] + b"X: " + b"x" * FILL_BYTES,
    "noise": b"\0\1\2\3" * (FILL_BYTES // 4),
    "blank lines": b"\r\n" * (FILL_BYTES // 2),
}


def fill(sock, data):
    """Writes without waiting all that the buffers of both ends take, and returns its size."""
    sent = 0
    while sent < len(data):
        try:
            sent += sock.send(data[sent:])
        except BlockingIOError:
            break
    return sent


def close(sock, how):
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


async def client_with_buffer(live):
    sock = await live.client()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return sock


@pytest.mark.parametrize("how", ["FIN", "reset"])
@pytest.mark.parametrize("shape", BEHIND)
def test_no_attempt_for_a_client_that_sent_much_and_closed(shape, how):
    async def scenario(live):
        sock = await client_with_buffer(live)
        data = booking("first") + BEHIND[shape]
        assert fill(sock, data) > 65_536  # more than one read; no await from here on: nothing is read before the end
        close(sock, how)
        live.clients.remove(sock)
        await live.until(lambda: not live.core.clients.open and not live.core.engine.ledger.unanswered)
        assert not live.core.engine.ledger.entries and not live.heads()

    run_scenario(scenario)


@pytest.mark.parametrize("shape", BEHIND)
def test_no_retry_for_a_client_that_sent_much_and_closed(shape):
    """The first attempt fails in the turn in which the client closes."""

    async def scenario(live):
        live.release.clear()
        sock = await client_with_buffer(live)
        await live.send(sock, request("first"))
        await live.until(lambda: len(live.heads()) == 1)
        backend_conn = next(conn for conn, link in live.core.pool.links.items() if link.job is not None)
        assert fill(sock, BEHIND[shape]) > 65_536
        close(sock, "FIN")
        live.clients.remove(sock)
        live.core.ended(live.shell.clock(), backend_conn)
        live.shell.carry_out()
        await live.until(lambda: not live.core.clients.open)
        live.release.set()
        await live.until(lambda: not live.core.engine.ledger.entries)
        assert len(live.heads()) == 1

    run_scenario(scenario)


def test_no_attempt_after_a_dial_for_a_client_that_sent_much_and_closed():
    async def scenario(live):
        live.shell.gate.clear()
        sock = await client_with_buffer(live)
        await live.send(sock, booking("first"))
        await live.until(lambda: live.core.pool.counts["dials"] == 1)
        assert fill(sock, BEHIND["bodies in small chunks"]) > 65_536
        close(sock, "FIN")
        live.clients.remove(sock)
        live.shell.gate.set()
        await live.until(lambda: not live.core.clients.open and not live.core.engine.ledger.entries)
        assert not live.heads()

    run_scenario(scenario, count=1)


def test_client_that_sends_much_and_stays_gets_all_its_answers():
    """Its requests are sent on as soon as its input is read, in order."""

    async def scenario(live):
        sock = await client_with_buffer(live)
        ids = [f"behind-{k}" for k in range(30)]
        data = b"".join(booking(name, b"x" * 20_000) for name in ids)
        sent = fill(sock, data)
        await live.send(sock, data[sent:])
        for _ in ids:
            assert (await live.read(sock))[0] == 200
        assert [name for head in live.heads() for name in ids if f"{name}\r\n" in head] == ids

    run_scenario(scenario, count=1)


# --- without sockets -----------------------------------------------------------------------------


class Unread(Edge):
    """An ingress that is told on which connections bytes wait to be read."""

    def __init__(self):
        super().__init__()
        self.unread = set()
        self.core.clients.has_no_unread_input = lambda conn: conn not in self.unread

    def sent(self, rid):
        """Returns the number of attempts of a request."""
        head = b"Req-Id: " + rid.encode() + b"\r\n"
        return sum(head in command.data for command in self.commands if isinstance(command, commands.Write))

    def dial_all(self):
        links = self.core.pool.links
        for conn in [conn for conn, link in links.items() if link.state == "dialing"]:
            self.core.dialed(self.now, conn)
            self.turn()


@pytest.fixture
def unread():
    return Unread()


def test_attempt_is_sent_when_the_last_byte_was_read(unread):
    conn = unread.connect()
    unread.unread.add(conn)
    unread.receive(conn, request("one"))
    unread.dial_all()
    unread.receive(conn, request("two")[:20])
    unread.advance_ms(10 * COOLDOWN_MS)
    assert not unread.sent("one")
    unread.unread.clear()
    unread.receive(conn, request("two")[20:])
    assert unread.sent("one") == 1


def test_request_of_another_client_is_not_held_behind_it(unread):
    held, other = unread.connect(), unread.connect()
    unread.unread.add(held)
    unread.receive(held, request("held"))
    unread.receive(other, request("other"))
    unread.dial_all()
    assert unread.sent("other") == 1 and not unread.sent("held")


def test_request_of_a_client_that_never_stops_sending_is_answered_in_time(unread):
    conn = unread.connect()
    unread.unread.add(conn)
    began = unread.now
    unread.receive(conn, request("one", Req_Deadline_Ms="500") + request("two")[:20])
    unread.dial_all()
    while unread.now < began + 500.0:
        unread.receive(conn, b"X: y\r\n")
        unread.advance_ms(20.0)
        unread.dial_all()
    assert not unread.sent("one") and unread.statuses(conn)[:1] == [503]


def test_client_that_closes_while_its_attempt_is_held_gets_none(unread):
    conn = unread.connect()
    unread.unread.add(conn)
    unread.receive(conn, request("one"))
    unread.dial_all()
    unread.core.ended(unread.now, conn)
    unread.unread.clear()
    unread.turn()
    unread.advance_ms(5_000.0)
    assert not unread.sent("one") and not unread.core.engine.ledger.entries and not unread.core.pool.job_places


def test_held_attempt_uses_a_connection_that_becomes_free(unread):
    """Its own dial served another request meanwhile."""
    held, other = unread.connect(), unread.connect()
    unread.unread.add(held)
    unread.receive(held, request("held"))
    unread.dial_all()
    _, backend_conn = unread.send_request(request("other"), other)
    unread.receive(backend_conn, answer())
    unread.unread.clear()
    unread.receive(held, request("next")[:20])
    unread.advance_ms(COOLDOWN_MS + 1.0)
    unread.dial_all()
    assert unread.sent("held") == 1
