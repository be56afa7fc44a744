"""Connections of a control process on asyncio's transports. They carry; what is said on them is others' affair.

What comes in is WebSocket, to a path that somebody serves; a link that goes out is an ``Upstream``, which dials again
after a growing, jittered pause (link/upstream.py).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Protocol

from websockets.frames import CloseCode
from websockets.http11 import Request

from rushweir.ingress import commands as c
from rushweir.ingress.byte_totals import ByteTotals
from rushweir.link.upstream import Upstream
from rushweir.link.websocket import Messages, release, server_protocol

MOST_CONNECTIONS = 4_096  # that came in
MOST_UNSENT = 16_777_216  # bytes that wait for one connection; beyond it is ended
MOST_INCOMPLETE = 134_217_728  # bytes of incomplete messages of all connections that came in
MOST_HEAD = 16_384  # bytes of a handshake
HANDSHAKE_S = 5.0
REFUSED_S = 1.0  # for the other side to read why it is refused


class Session(Protocol):
    """What serves one connection that came in."""

    def text(self, text: bytes | str) -> None: ...

    def writable(self, on: bool) -> None: ...

    def lost(self) -> None: ...


class Served(asyncio.Protocol):
    """One connection that came in."""

    def __init__(
        self, paths: dict[str, Callable[[Served], Session]], open_: set[Served], most: int,
        incomplete: ByteTotals[Served],
    ) -> None:  # fmt: skip
        """``paths``: what serves each; ``most``: bytes of a message; ``incomplete``: of incomplete messages, of all
        connections."""
        self.paths, self.open, self.most, self.incomplete = paths, open_, most, incomplete
        self.head_bytes = 0
        self.refused = False
        self.proto = server_protocol(most)
        self.messages: Messages | None = None
        self.session: Session | None = None
        self.transport: asyncio.Transport | None = None
        self.end_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.open.add(self)
        if len(self.open) > MOST_CONNECTIONS:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=262_144)
        self._end_after(HANDSHAKE_S, self._late)

    def _end_after(self, seconds: float, function: Callable[[], None]) -> None:
        """Calls a function after a time, unless the connection is lost before: the timer would keep all of it."""
        if self.end_timer is not None:
            self.end_timer.cancel()
        self.end_timer = asyncio.get_running_loop().call_later(seconds, function)

    def _late(self) -> None:
        if self.messages is None and self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.refused:
            return
        if self.messages is None:
            self._shake(data)
        else:
            for text in self.messages.receive(data):
                if self.session is not None:
                    self.session.text(text)
            self.flush()
        if self.refused:
            return
        self.incomplete.set(self, self.head_bytes if self.messages is None else self.messages.held_bytes)
        while self.incomplete.total > MOST_INCOMPLETE:
            self.incomplete.largest().refuse()

    def refuse(self) -> None:
        """Drops what is incomplete, and ends: with 503 a handshake, with 1013 a message (RFC 6455, 7.4.1)."""
        self.refused = True
        self.incomplete.set(self, 0)
        if self.messages is None:
            self._end_handshake(503, "out of memory")
            return
        self.messages.stop_reading()
        self.messages.close(CloseCode.TRY_AGAIN_LATER, "out of memory")
        self.flush()
        self._end_soon()

    def _end_handshake(self, status: int, reason: str) -> None:
        self.refused = True
        self.incomplete.set(self, 0)
        release(self.proto)
        self.proto = server_protocol(self.most)  # the handshake goes with the former one
        self.proto.send_response(self.proto.reject(status, f"{reason}\n"))
        if self.transport is not None:
            self.transport.write(b"".join(self.proto.data_to_send()))
        self._end_soon()

    def _end_soon(self) -> None:
        """Ends the sending direction, and the connection a moment later: closed with unread input it would be reset,
        and the other side would not read why."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            self._end_after(REFUSED_S, self.transport.abort)

    def _shake(self, data: bytes) -> None:
        self.head_bytes += len(data)
        if self.head_bytes > MOST_HEAD:
            self._end_handshake(431, "handshake too long")
            return
        self.proto.receive_data(data)
        request = next(iter(self.proto.events_received()), None)
        if not isinstance(request, Request):
            if self.proto.handshake_exc is not None:
                self._end_handshake(400, "no handshake of WebSocket")
            return
        serve = self.paths.get(request.path)
        if serve is None:
            self.proto.send_response(self.proto.reject(404, "nothing is served at this path\n"))
        else:
            self.proto.send_response(self.proto.accept(request))
        self.messages = Messages(self.proto)
        self.flush()
        if serve is not None and self.messages.open:
            self.session = serve(self)
            for text in self.messages.messages():
                self.session.text(text)
        self.flush()

    def send(self, text: bytes) -> None:
        if self.messages is not None:
            self.messages.send(text)
            self.flush()

    def close(self, why: str) -> None:
        if self.messages is not None:
            self.messages.close(CloseCode.POLICY_VIOLATION, why)
            self.flush()
        if self.transport is not None:
            self.transport.close()

    def flush(self) -> None:
        transport = self.transport
        if self.messages is None or transport is None or transport.is_closing():
            return
        writes, end = self.messages.take()
        if writes:
            transport.write(b"".join(writes))
        if end:
            transport.close()
        elif transport.get_write_buffer_size() > MOST_UNSENT:
            transport.abort()

    def pause_writing(self) -> None:
        if self.session is not None:
            self.session.writable(False)

    def resume_writing(self) -> None:
        if self.session is not None:
            self.session.writable(True)

    def connection_lost(self, problem: Exception | None) -> None:
        self.open.discard(self)
        self.incomplete.set(self, 0)
        if self.end_timer is not None:
            self.end_timer.cancel()
        self.transport = None
        release(self.proto)
        session, self.session = self.session, None
        if session is not None:
            session.lost()


class Dials:
    """Carries out the orders of links that go out."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock, self.loop = clock, asyncio.get_running_loop()
        self.serial = 0
        self.links: dict[int, Upstream] = {}
        self.transports: dict[int, asyncio.Transport] = {}
        self.tasks: dict[int, asyncio.Task] = {}
        self.dead = False

    def new_conn(self, link: Upstream) -> int:
        self.serial += 1
        self.links[self.serial] = link
        return self.serial

    def at(self, when: float, what: Callable[..., None], argument: Any, link: Upstream) -> None:
        self.loop.call_later(max(0.0, (when - self.clock()) / 1000), self._due, what, argument, link)

    def _due(self, what: Callable[..., None], argument: Any, link: Upstream) -> None:
        if not self.dead:
            link.now = self.clock()
            what(argument)
            self.carry(link)

    def carry(self, link: Upstream) -> None:
        orders, link.out = link.out, []
        for order in orders:
            transport = self.transports.get(getattr(order, "conn", 0))
            match order:
                case c.Dial():
                    task = self.tasks[order.conn] = self.loop.create_task(self._connect(order))
                    task.add_done_callback(lambda done, conn=order.conn: self._dialed(conn, done))
                case c.Write() if transport is not None and not transport.is_closing():
                    transport.write(order.data)
                    if transport.get_write_buffer_size() > MOST_UNSENT:
                        transport.abort()
                case c.CloseConnection() if transport is not None:
                    transport.close()
                case c.AbortConnection():
                    self.links.pop(order.conn, None)
                    if (task := self.tasks.get(order.conn)) is not None:
                        task.cancel()
                    if transport is not None:
                        transport.abort()

    async def _connect(self, order: c.Dial) -> bool:
        """Returns whether the connection is open. The exception is dropped here: the task would keep it, and the
        exception refers to the task."""
        try:
            async with asyncio.timeout(order.timeout_ms / 1000):
                await self.loop.create_connection(lambda: _Dialed(self, order.conn), order.host, order.port)
        except Exception:  # noqa: BLE001 - besides OSError a UnicodeError, for a host name that can't be looked up
            return False
        return True

    def _dialed(self, conn: int, task: asyncio.Task[bool]) -> None:
        self.tasks.pop(conn, None)
        link = self.links.get(conn)
        if link is not None and not self.dead and (task.cancelled() or not task.result()):
            link.dial_failed(self.clock(), conn)
            self.carry(link)

    async def close(self) -> None:
        self.dead = True
        for transport in self.transports.values():
            transport.abort()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        with contextlib.suppress(Exception):
            await asyncio.gather(*tasks, return_exceptions=True)


class _Dialed(asyncio.Protocol):
    """A connection that was dialed."""

    def __init__(self, dials: Dials, conn: int) -> None:
        self.dials, self.conn = dials, conn

    def connection_made(self, transport: Any) -> None:
        link = self.dials.links.get(self.conn)
        if link is None or self.dials.dead:
            transport.abort()
            return
        self.dials.transports[self.conn] = transport
        link.dialed(self.dials.clock(), self.conn)
        self.dials.carry(link)

    def data_received(self, data: bytes) -> None:
        link = self.dials.links.get(self.conn)
        if link is not None and not self.dials.dead:
            link.received(self.dials.clock(), self.conn, data)
            self.dials.carry(link)

    def connection_lost(self, problem: Exception | None) -> None:
        self.dials.transports.pop(self.conn, None)
        link = self.dials.links.pop(self.conn, None)
        if link is not None and not self.dials.dead:
            link.lost(self.dials.clock(), self.conn)
            self.dials.carry(link)
