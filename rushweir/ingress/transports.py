"""The shell's asyncio protocols: connections, the datagram socket, and a datagram socket that only sends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rushweir.ingress.shell import Shell


HALF_CLOSED_S = 1.0  # time to send the last bytes to a client that closed its sending direction


class Sender:
    """A datagram socket that only sends, for an ingress that hands off: asyncio's transport can't stop reading."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock.dup()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that can't be sent is lost."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, address)

    def is_closing(self) -> bool:
        """Whether the socket is closed."""
        return self.sock.fileno() < 0

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


def _socket_to_peek_at(transport: asyncio.BaseTransport) -> socket.socket:
    """A socket object on the transport's descriptor, to peek at its input; to be detached before that closes."""
    sock = transport.get_extra_info("socket")
    return socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())


def _break_reference_cycle(transport: asyncio.BaseTransport) -> None:
    """Lets reference counts free a transport whose connection was lost. asyncio's transport refers to itself by its
    reading method, and the garbage collector, which frees such cycles, runs rarely (``calm_collector``)."""
    if hasattr(transport, "_read_ready_cb"):
        transport._read_ready_cb = None


class Connection(asyncio.BufferedProtocol):
    """One connection, of a client (``conn`` is None until it is made) or dialed. The event loop calls it directly
    as it reads; with streams, a task would have to wake up between each read and the core."""

    def __init__(self, shell: Shell, conn: int | None = None) -> None:
        self.shell = shell
        self.conn = conn
        self.ended = False
        self.is_client = conn is None
        self.transport: asyncio.Transport | None = None
        self.close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        shell = self.shell
        self.transport = transport
        transport.set_write_buffer_limits(high=shell.high_water)
        if self.conn is None:
            address = transport.get_extra_info("peername") or ("",)
            self.conn = shell.core.accepted(shell.clock(), address[0])
            shell.transports[self.conn] = transport
            shell.clients[self.conn] = _socket_to_peek_at(transport)
        elif self.conn in shell.core.upstream_handlers:
            shell.transports[self.conn] = transport
            shell.dialed[self.conn] = _socket_to_peek_at(transport)
            shell.core.dialed(shell.clock(), self.conn)
        else:  # the core has given up on it
            transport.abort()
        shell.carry_out()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.shell.buffer

    def buffer_updated(self, count: int) -> None:
        # The clock is read here: it is the time at which an update of the node list was read.
        shell = self.shell
        shell.core.received(shell.clock(), self.conn, bytes(shell.buffer[:count]))
        shell.carry_out()

    def eof_received(self) -> bool:
        if self.is_client and self.transport.get_write_buffer_size():
            # A client that closed its sending direction and reads nothing would hold its descriptor for ever.
            self.call_later(HALF_CLOSED_S, self.transport.abort)
        self._end(is_eof=True)
        return False  # the transport closes once its unsent bytes are written

    def connection_lost(self, problem: Exception | None) -> None:
        self._end(is_eof=False)  # broken, or closed by this side, unless its end was read before
        if self.is_client and self.shell.acceptor is not None:
            self.shell.acceptor.open.discard(self)
        if self.close_timer is not None:
            self.close_timer.cancel()
        _break_reference_cycle(self.transport)
        self.transport = None

    def call_later(self, seconds: float, function: Callable[..., None], *arguments: Any) -> None:
        """Calls a function after a time unless the connection is lost before: the timer would keep its transport."""
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.close_timer = self.shell.loop.call_later(seconds, function, *arguments)

    def _end(self, *, is_eof: bool) -> None:
        if not self.ended:
            self.ended = True
            shell = self.shell
            shell.transports.pop(self.conn, None)
            for sockets in (shell.clients, shell.dialed):
                if (sock := sockets.pop(self.conn, None)) is not None:
                    sock.detach()
            shell.core.ended(shell.clock(), self.conn, is_eof)
            shell.carry_out()

    def resume_writing(self) -> None:
        if not self.ended:
            self.shell.core.drained(self.shell.clock(), self.conn)
            self.shell.carry_out()


class Datagrams(asyncio.DatagramProtocol):
    """The datagram socket of the peers and the fleet."""

    def __init__(self, shell: Shell) -> None:
        self.shell = shell

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.shell.core.datagram(self.shell.clock(), data, address[:2])
        self.shell.carry_out()

    def error_received(self, error: OSError) -> None:
        """Ignores ICMP errors of peers that are down: a peer that is down is noticed by its silence."""
