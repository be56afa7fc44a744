"""Connections that are refused, and come again at once, leave nothing behind, whatever their bytes were.

Guards against the memory of ten clients whose bytes can't be read (review/6): timers of the core and of the event
loop, and cycles that only the garbage collector frees, kept each connection for seconds after its end.
"""

from __future__ import annotations

import asyncio
import gc
import socket

import pytest

from rushweir.edge.front import ClientConnection
from rushweir.edge.http import MAX_HEAD_BYTES, MAX_HEADER_FIELDS, RequestReader
from rushweir.ingress import commands
from rushweir.ingress.clients import Client
from rushweir.ingress.timers import MIN_SWEEP_SIZE, Timer
from rushweir.ingress.transports import Connection
from tests.edge.conftest import Edge, answer, request
from tests.edge.live import run_scenario

CONNECTIONS = 60
HALF = request()[:-10]
CLOSE = {"Connection": "close"}
REFUSED = {
    "noise": b"\x16\x03\x01\x02\xfe" * 400,
    "target missing": b"GET\r\n\r\n",
    "two lengths": request(Content_Length="1", content_length="2"),
    "length not a number": request(Content_Length="x"),
    "length negative": request(Content_Length="-1"),
    "length beside a coding": request(Content_Length="4", Transfer_Encoding="chunked"),
    "body too large": request(Content_Length="60000000"),
    "chunk size not a number": request(Transfer_Encoding="chunked") + b"zz\r\n",
    "head too long": request(Cookie="x" * (MAX_HEAD_BYTES + 1)),
    "too many fields": request(**{f"X-{k}": "" for k in range(MAX_HEADER_FIELDS + 1)}),
    "another protocol": request(Connection="upgrade", Upgrade="websocket"),
    "no such class": request(cls="none", **CLOSE),
    "no such plan": request(plan="none", **CLOSE),
    "customer out of range": request(customer="ffffffffffffffff", **CLOSE),
    "deadline not a number": request(Req_Deadline_Ms="soon", **CLOSE),
    "too many ahead": request(cls="none") * 100,
    "sound, then closed": request(**CLOSE),
}
LEFT = {"half a request": HALF, "nothing": b"", "half a body": request(Content_Length="9") + b"half"}
KEPT_TYPES = {Client, ClientConnection, RequestReader, Connection, socket.socket}


def counts():
    """Returns the number of objects that belong to connections, by type."""
    found = dict.fromkeys((kept.__name__ for kept in KEPT_TYPES), 0) | {"transports": 0, "timers of the loop": 0}
    for thing in gc.get_objects():
        if type(thing) in KEPT_TYPES:
            found[type(thing).__name__] += 1
        elif type(thing).__name__ == "_SelectorSocketTransport":
            found["transports"] += 1
        elif type(thing) is asyncio.TimerHandle and not thing.cancelled():
            found["timers of the loop"] += 1
    return found


@pytest.fixture
def no_collector():
    """Cyclic garbage stays, as it does for a long time in an ingress (``calm_collector``)."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def come_and_go(live, data, is_read):
    sock = await live.client()
    if data:
        await live.send(sock, data)
    while is_read and await live.shell.loop.sock_recv(sock, 65_536):
        pass
    live.clients.remove(sock)
    sock.close()
    await live.until(lambda: not live.core.clients.open and not live.shell.clients)


@pytest.mark.parametrize("name", [*REFUSED, *LEFT])
def test_refused_connections_leave_nothing_behind(name, no_collector):
    async def scenario(live):
        data = REFUSED.get(name, LEFT.get(name))
        await come_and_go(live, data, name in REFUSED)  # what is made once is there from now on
        before = counts()
        for _ in range(CONNECTIONS):
            try:
                await come_and_go(live, data, name in REFUSED)
            except ConnectionResetError:
                assert name == "too many ahead"  # more than is read after the error
        assert {kind: n - before[kind] for kind, n in counts().items() if n > before[kind] + 3} == {}

    run_scenario(scenario)


def test_timers_of_refused_connections_are_dropped(no_collector):
    """The timer against silent clients held the record of each refused connection for 30 s."""
    edge = Edge()
    for _ in range(2 * MIN_SWEEP_SIZE):
        edge.receive(edge.connect(), REFUSED["noise"])
        edge.core.ended(edge.now, edge.core.next_conn)
        edge.commands.clear()
    assert len(edge.core.engine.timers) <= MIN_SWEEP_SIZE + 1
    assert sum(type(thing) is Client for thing in gc.get_objects()) <= 1


def test_one_connection_has_one_timer_of_a_kind():
    """Each message that came in two pieces left a timer for the time in which it had to be complete."""
    edge = Edge()
    data, conn = request(cls="none"), edge.connect()
    for _ in range(2 * MIN_SWEEP_SIZE):
        edge.receive(conn, data[:50])
        edge.receive(conn, data[50:])
        edge.commands.clear()
    assert len(edge.core.clients.open[conn].timers) <= 3
    assert len(edge.core.engine.timers) <= MIN_SWEEP_SIZE + 1


def test_message_that_follows_another_has_its_own_time():
    """The timer of the former message was replaced, not left to end this one early."""
    edge = Edge()
    data, conn = request(cls="none"), edge.connect()
    edge.receive(conn, data[:50])
    edge.advance_ms(1_500.0)
    edge.receive(conn, data[50:] + data[:50])
    edge.advance_ms(1_900.0)
    assert edge.statuses(conn) == [400]
    edge.advance_ms(200.0)
    assert edge.statuses(conn) == [400, 408]


def test_cancelled_timer_is_not_called():
    edge = Edge()
    called = []
    timer = edge.core.engine.call_at(edge.now + 1.0, called.append, 1)
    edge.core.engine.call_at(edge.now + 1.0, called.append, 2)
    timer.cancel()
    edge.advance_ms(5.0)
    assert called == [2] and isinstance(timer, Timer)


def test_timer_cancelled_by_one_due_at_the_same_time_is_not_called():
    edge = Edge()
    called = []
    edge.core.engine.call_at(edge.now + 1.0, lambda _: later.cancel(), None)
    later = edge.core.engine.call_at(edge.now + 1.0, called.append, 1)
    edge.advance_ms(5.0)
    assert not called


def test_dials_that_time_out_leave_nothing_behind(no_collector):
    """The exception that ended a dial and its task referred to each other."""

    async def scenario(live):
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fill = [socket.socket() for _ in range(3)]  # fills the queue: the next connection neither succeeds nor fails
        for sock in fill:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        for _ in range(CONNECTIONS):
            live.shell.handlers[commands.Dial](
                commands.Dial(live.core.new_conn(None), *full.getsockname(), timeout_ms=1.0)
            )
        await live.until(lambda: not live.shell.dials)
        await asyncio.sleep(0)
        assert sum(type(thing) is asyncio.Task for thing in gc.get_objects()) < CONNECTIONS // 2
        for sock in (*fill, full):
            sock.close()

    run_scenario(scenario)


def test_answer_after_refused_requests_is_served():
    """Refusals on a connection that stays open cancel none of the timers that it needs."""
    edge = Edge()
    conn = edge.connect()
    edge.receive(conn, request(cls="none"))
    _, backend_conn = edge.send_request(request("one"), conn)
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [400, 200]
    edge.advance_ms(edge.core.setup.http_idle_ms + 1.0)
    assert conn in edge.closed
