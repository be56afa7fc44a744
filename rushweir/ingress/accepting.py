"""Accepts the connections of clients for the shell, as many as there are descriptors for.

asyncio's server accepts without regard to what is open, and makes each connection in a task: with many clients that
come again at once a process reaches its limit of descriptors, and accepts nothing for a second. Connections whose
client has closed them while they waited in the queue are closed unread: they would keep others waiting.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from rushweir.ingress.transports import Connection

if TYPE_CHECKING:
    from rushweir.ingress.shell import Shell

BACKLOG = 1024  # connections that wait to be accepted
MAX_LOOKS = 256  # connections looked at in one turn of the loop
PAUSE_S = 0.1  # after the system refused to accept
# The first byte of TCP_INFO where the other side has closed or reset the connection (Linux, tcp_states.h).
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8


async def bind(host: str, port: int) -> list[socket.socket]:
    """Returns a socket for each address of a host name, or of this machine if it is empty. Raises OSError."""
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    sockets = []
    try:
        for family, kind, protocol, _, address in dict.fromkeys(found):
            sock = socket.socket(family, kind, protocol)
            sockets.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(address)
    except OSError:
        for sock in sockets:
            sock.close()
        raise
    return sockets


def _has_left(sock: socket.socket) -> bool:
    """Whether the client has closed its connection, also behind bytes that are not read."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)
    except (OSError, AttributeError):
        return False  # not TCP, or not Linux: its end is read later


class Acceptor:
    """The listening sockets of a shell."""

    def __init__(self, shell: Shell, listening: list[socket.socket], at_once: int) -> None:
        """``at_once``: connections accepted in one turn of the loop, and beyond the bound on clients: the core closes
        others for them, whose descriptors are free one turn later."""
        self.shell, self.listening, self.at_once = shell, listening, at_once
        self.open: set[Connection] = set()  # those that have a descriptor
        self.tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Listens and accepts."""
        for sock in self.listening:
            sock.setblocking(False)
            sock.listen(BACKLOG)
            self._resume(sock)

    def _resume(self, listening: socket.socket) -> None:
        if listening.fileno() >= 0:
            self.shell.loop.add_reader(listening.fileno(), self._accept, listening)

    def _accept(self, listening: socket.socket) -> None:
        accepted = 0
        for _ in range(MAX_LOOKS):
            if accepted >= self.at_once or len(self.open) >= self.shell.core.setup.max_clients + self.at_once:
                return
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as problem:
                self._pause(listening, problem)
                return
            if _has_left(sock):
                self.shell.core.counts["left_in_queue"] += 1
                sock.close()
            else:
                accepted += 1
                self._connect(sock)

    def _pause(self, listening: socket.socket, problem: OSError) -> None:
        shell = self.shell
        shell.core.log(shell.clock(), "error", "accept_failed", why=str(problem))
        shell.carry_out()
        shell.loop.remove_reader(listening.fileno())
        shell.loop.call_later(PAUSE_S, self._resume, listening)

    def _connect(self, sock: socket.socket) -> None:
        connection = Connection(self.shell)
        self.open.add(connection)
        task = self.shell.loop.create_task(self.shell.loop.connect_accepted_socket(lambda: connection, sock))
        self.tasks.add(task)
        task.add_done_callback(lambda ended: self._connected(connection, ended))

    def _connected(self, connection: Connection, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is not None:
            self.open.discard(connection)

    def close(self) -> None:
        """Closes the listening sockets."""
        for sock in self.listening:
            if sock.fileno() >= 0:
                self.shell.loop.remove_reader(sock.fileno())
                sock.close()

    async def stop(self) -> None:
        """Accepts no more connections; those that are accepted have their protocol when this returns."""
        for sock in self.listening:
            if sock.fileno() >= 0:
                self.shell.loop.remove_reader(sock.fileno())
        await asyncio.sleep(0)  # what else is ready in this turn of the loop comes first
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.close()
