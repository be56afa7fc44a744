"""Tests of the connections that come in to a control process: what is incomplete is bounded, and refused honestly."""

from __future__ import annotations

import asyncio
import gc

import pytest

from rushweir.daemon import control_wires
from rushweir.daemon.control_wires import MOST_HEAD, Served
from rushweir.ingress.byte_totals import ByteTotals
from rushweir.link.websocket import Messages, client_protocol
from tests.fronts.test_front import frame

MOST_MESSAGE = 100_000
TEXT = 1
HALF = frame(TEXT, b"x" * 40_000)[:-1]


class Transport:
    """Records what is written."""

    def __init__(self):
        self.written, self.ended, self.aborted = b"", False, False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.ended = True

    def abort(self):
        self.aborted = True

    close = abort

    def is_closing(self):
        return self.aborted

    def set_write_buffer_limits(self, high):
        """Nothing waits here."""

    def get_write_buffer_size(self):
        return 0


class Session:
    def __init__(self):
        self.texts = []

    def text(self, text):
        self.texts.append(text)

    def writable(self, on):
        """Nothing waits here."""

    def lost(self):
        """Nothing is left to do."""


class Wire:
    """One connection, with the client's side of it."""

    def __init__(self, open_, incomplete):
        self.session, self.transport = Session(), Transport()
        self.served = Served({"/watch": lambda _: self.session}, open_, MOST_MESSAGE, incomplete)
        self.served.connection_made(self.transport)
        self.client = Messages(client_protocol("ws://x/watch", MOST_MESSAGE))

    def open(self):
        self.client.connect({})
        self.served.data_received(b"".join(self.client.take()[0]))
        assert self.client.receive_handshake(self.transport.written)
        self.transport.written = b""
        return self

    def close_code(self):
        self.client.receive(self.transport.written)
        return self.client.close_code


def run(scenario):
    async def main():
        incomplete, open_ = ByteTotals(), set()
        await scenario(lambda: Wire(open_, incomplete), incomplete)
        for served in list(open_):
            served.connection_lost(None)
        assert not incomplete.total and not incomplete.by_holder

    asyncio.run(main())


# Guards against: each of 4,096 connections may stop in the middle of a message of 8 MB.
def test_largest_incomplete_message_is_refused_where_all_take_too_much(monkeypatch):
    monkeypatch.setattr(control_wires, "MOST_INCOMPLETE", 100_000)

    async def scenario(wire, incomplete):
        small, *large = [wire().open() for _ in range(4)]
        small.served.data_received(HALF[:100])
        for one in large:
            one.served.data_received(HALF)
        assert sum(one.close_code() == 1013 for one in large) == 1 and small.close_code() is None
        assert 2 * len(HALF) <= incomplete.total <= 100_000
        refused = next(one for one in large if one.close_code() == 1013)
        assert refused.transport.ended and not refused.transport.aborted
        refused.served.data_received(HALF)
        assert not refused.session.texts
        small.served.data_received(HALF[100:] + b"x")
        assert [len(text) for text in small.session.texts] == [40_000]

    run(scenario)


# Guards against: a handshake of 128 lines of 8 KB each could be held on each connection.
@pytest.mark.parametrize(("size", "status"), [(100, b"400"), (5000, b"431")])
def test_handshake_that_does_not_end_is_refused(size, status):
    async def scenario(wire, incomplete):
        one = wire()
        one.served.data_received(b"GET /watch HTTP/1.1\r\n")
        for number in range(MOST_HEAD // size + 1):
            one.served.data_received(b"X-%d: %s\r\n" % (number, b"v" * size))
        assert one.transport.written.startswith(b"HTTP/1.1 " + status) and one.transport.ended
        assert not incomplete.total  # else the same connection might be refused a second time

    run(scenario)


def test_incomplete_handshake_is_refused_with_503_where_all_take_too_much(monkeypatch):
    monkeypatch.setattr(control_wires, "MOST_INCOMPLETE", 1000)

    async def scenario(wire, incomplete):
        one = wire()
        one.served.data_received(b"GET /watch HTTP/1.1\r\nX: " + b"v" * 2000)
        assert one.transport.written.startswith(b"HTTP/1.1 503 ") and one.transport.ended

    run(scenario)


# Guards against: the timer of the handshake kept each connection for its 5 s, also one that had ended.
def test_connection_that_has_ended_leaves_no_timer():
    def timers():
        return [t for t in gc.get_objects() if type(t) is asyncio.TimerHandle and not t.cancelled()]

    async def scenario(wire, incomplete):
        refused = wire()
        refused.served.data_received(b"no HTTP\r\n\r\n")
        assert refused.transport.ended and timers()
        refused.served.connection_lost(None)
        wire().served.connection_lost(None)
        wire().open().served.connection_lost(None)
        assert not timers()

    run(scenario)
