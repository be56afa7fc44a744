"""What stands on asyncio's transports for the shell: connections, the datagram socket, and one that only sends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushweir.ingress.shell import Shell


HALF_CLOSED_S = 1.0  # for the last bytes to a client that ended its sending


class Sender:
    """The datagram socket of an ingress that only sends any more. (A transport can't stop reading.)"""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock.dup()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):  # a datagram that does not go is a datagram lost
            self.sock.sendto(data, address)

    def is_closing(self) -> bool:
        return self.sock.fileno() < 0

    def close(self) -> None:
        self.sock.close()


class Connection(asyncio.BufferedProtocol):
    """One connection, of a client (``conn`` is None until it is made) or dialed. Its calls come straight from
    the event loop's reading: with streams, a task's wake-up lay between each read and the core."""

    def __init__(self, shell: Shell, conn: int | None = None) -> None:
        self.shell, self.conn, self.ended = shell, conn, False
        self.transport: asyncio.Transport | None = None  # of a client

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        shell = self.shell
        transport.set_write_buffer_limits(high=shell.high_water)
        if self.conn is None:
            where = transport.get_extra_info("peername") or ("",)
            self.conn = shell.core.accepted(shell.clock(), where[0])
            shell.transports[self.conn] = transport
            self.transport = transport
            sock = transport.get_extra_info("socket")
            # The transport's own descriptor, to be looked at without reading from it; given back before it closes.
            shell.clients[self.conn] = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
        elif self.conn in shell.core.upstream_handlers:
            shell.transports[self.conn] = transport
            shell.core.dialed(shell.clock(), self.conn)
        else:  # given up meanwhile
            transport.abort()
        shell.carry_out()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.shell.buffer

    def buffer_updated(self, count: int) -> None:
        # An update of the list counts from the clock taken here.
        shell = self.shell
        shell.core.received(shell.clock(), self.conn, bytes(shell.buffer[:count]))
        shell.carry_out()

    def eof_received(self) -> bool:
        if self.transport is not None and self.transport.get_write_buffer_size():
            # A client that only ended its sending, and takes nothing, would hold its descriptor for good.
            self.shell.loop.call_later(HALF_CLOSED_S, self.transport.abort)
        self._end()
        return False  # what waits to be written still goes out, then the transport closes

    def connection_lost(self, problem: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended, shell = True, self.shell
            shell.transports.pop(self.conn, None)
            if (sock := shell.clients.pop(self.conn, None)) is not None:
                sock.detach()
            shell.core.ended(shell.clock(), self.conn)
            shell.carry_out()

    def resume_writing(self) -> None:
        if not self.ended:
            self.shell.core.drained(self.shell.clock(), self.conn)
            self.shell.carry_out()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, shell: Shell) -> None:
        self.shell = shell

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.shell.core.datagram(self.shell.clock(), data, address[:2])
        self.shell.carry_out()

    def error_received(self, error: OSError) -> None:
        """A peer that is down answers with an ICMP error; that it is down shows in its silence."""
