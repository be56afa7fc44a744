"""The asyncio shell around a Core: transports, a datagram socket, a clock and files. It decides nothing.

Commands are carried out in the order in which they were given. One timer of the event loop stands for all timers of
the core. Input goes to the core in the same turn of the loop; output is handed to the transport at once. A connection
whose transport holds more than ``HIGH_WATER`` bytes is reported as congested until they are sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path

from rushweir import interface
from rushweir.ingress import commands
from rushweir.ingress.accepting import BACKLOG, Acceptor, bind
from rushweir.ingress.core import Core
from rushweir.ingress.state_files import StateFiles
from rushweir.ingress.transports import Connection, Datagrams, Sender

HIGH_WATER = 65_536  # bytes in a transport from which on its connection is congested
READ_SIZE = 65_536  # bytes
LAST_BYTES_MS = 300.0  # for clients to read their last bytes and close, at the end
MAX_LINGER_EXTENSIONS = 5  # of the time that a slow client has for its last bytes


def calm_collector() -> None:
    """Make the garbage collector run rarely. Reference counts free nearly all objects of a request; a collection
    mostly walks through settings and long-lived records, which takes milliseconds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


class Unread(Enum):
    """What comes next on a socket that is not read yet."""

    NOTHING = 0
    BYTES = 1
    END = 2  # closed or broken by the other side


def _unread_input(sock: socket.socket | None) -> Unread:
    if sock is None:
        return Unread.NOTHING
    try:
        data = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return Unread.NOTHING
    except OSError:
        return Unread.END
    return Unread.BYTES if data else Unread.END


class Clock:
    """Milliseconds that never run backwards, set by the wall clock once, at the start.

    The node list has start times of nodes in wall time, and ingresses that share a counter name its counts by the
    minute, so they need the wall clock. A later change of the wall clock must not move timers."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() + self.offset) * 1000.0


class Shell:
    """Runs one core. ``serve`` opens its sockets, ``stop`` ends it."""

    def __init__(
        self,
        core: Core,
        clock: Callable[[], float],
        *,
        peers: dict[int, tuple[str, int]] | None = None,
        folder: Path | None = None,
        end: Callable[[str], None] | None = None,
        log: Callable[[commands.LogEvent], None] | None = None,
        high_water: int = HIGH_WATER,
        accept_at_once: int = BACKLOG,
    ) -> None:
        """``folder``: the state folder; ``end`` is called with the reason if the process has to end; ``log`` gets the
        events for the log. A connection with more than ``high_water`` bytes unsent is reported as congested.
        ``accept_at_once``: connections accepted in one turn of the loop, so that a burst does not exceed the bound on
        descriptors before the core sees the first of them."""
        self.high_water = high_water
        self.accept_at_once = accept_at_once
        self.core = core
        self.clock = clock
        self.peers = peers or {}
        self.files = StateFiles(core, clock, folder, self.carry_out)
        self.loop = asyncio.get_running_loop()
        self.transports: dict[int, asyncio.Transport] = {}
        self.clients: dict[int, socket.socket] = {}  # the descriptors of the transports, to peek at
        self.dialed: dict[int, socket.socket] = {}  # the same, of the connections that this side opened
        self.dials: dict[int, asyncio.Task] = {}
        self.buffer = memoryview(bytearray(READ_SIZE))  # shared by all reads: its content is copied at once
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.acceptor: Acceptor | None = None
        self.udp: asyncio.DatagramTransport | Sender | None = None
        self.is_carrying_out = False
        self.killed = False
        core.engine.is_connected, core.pool.is_quiet = self.is_connected, self.is_quiet
        core.clients.has_no_unread_input = self.has_no_unread_input
        self.handlers = {
            commands.Write: self._write,
            commands.Dial: self._dial,
            commands.CloseConnection: self._close,
            commands.AbortConnection: self._abort,
            commands.SendPeerDatagram: self._send_peer_datagram,
            commands.SaveList: self.files.save_list,
            commands.SendDatagram: self._send_datagram,
            commands.SaveFile: self.files.save,
            commands.SetPeerAddresses: self._set_peer_addresses,
            commands.EndProcess: lambda command: end(command.reason) if end is not None else None,
            commands.LogEvent: log or (lambda _: None),
        }

    # --- start and shutdown ----------------------------------------------------------------------

    async def serve(
        self, host: str, port: int, peer_address: tuple[str, int] | None = None,
        *, listening: socket.socket | None = None, peer_socket: socket.socket | None = None,
    ) -> int:  # fmt: skip
        """Open the sockets, or use those given, and start the core; returns the port for clients."""
        if peer_socket is not None:
            self.udp, _ = await self.loop.create_datagram_endpoint(lambda: Datagrams(self), sock=peer_socket)
        elif peer_address is not None:
            self.udp, _ = await self.loop.create_datagram_endpoint(lambda: Datagrams(self), local_addr=peer_address)
        self.core.start(self.clock(), self.files.last_list())
        self.carry_out()
        sockets = [listening] if listening is not None else await bind(host, port)
        self.acceptor = Acceptor(self, sockets, self.accept_at_once)
        self.acceptor.start()
        return sockets[0].getsockname()[1]

    def peer_port(self) -> str:
        """The address of the datagram socket, as text."""
        host, port = self.udp.get_extra_info("sockname")[:2] if self.udp is not None else ("", 0)
        return f"{host}:{port}"

    def sockets(self) -> dict[str, int]:
        """The descriptors that a successor takes over, by name."""
        found = {"listen": self.acceptor.listening[0].fileno()} if self.acceptor is not None else {}
        if self.udp is not None:
            found["peers"] = self.udp.get_extra_info("socket").fileno()
        return found

    async def drain_and_stop(self, settings: interface.Settings, within_ms: float) -> bool:
        """Hand off to a successor that listens on the same sockets: accept no more connections, serve each open one
        until it is idle, then end as ``stop`` does. The listening socket is only closed here, so connections that
        wait in its queue go to the successor."""
        await self._stop_accepting()
        if self.udp is not None:
            # Both processes would read from one queue and miss datagrams, so this one only sends from now on.
            sender = Sender(self.udp.get_extra_info("socket"))
            self.udp.close()
            self.udp = sender
        self.core.drain_clients(self.clock(), settings)
        self.carry_out()
        end = self.loop.time() + within_ms / 1000
        while self.core.clients.open and self.loop.time() < end:
            await asyncio.sleep(0.01)
        return await self.stop(max(0.0, end - self.loop.time()) * 1000)

    async def stop(self, within_ms: float = 5_000.0) -> bool:
        """Accept no more requests, answer the open ones, and close; returns whether all were answered in time."""
        await self._stop_accepting()
        self.core.stop(self.clock())
        self.carry_out()
        end = self.loop.time() + within_ms / 1000
        while not self.core.is_idle() and self.loop.time() < end:
            await asyncio.sleep(0.01)
        answered = self.core.all_answered()
        await self.close_clients()
        await self._leave_fleet()
        await self.kill()
        return answered

    async def answer_now(self) -> None:
        """Answer what is open by what is known of its attempts, and give clients a last moment to read that their
        connections will be closed: what they have sent by then is refused."""
        await self._stop_accepting()
        self.core.stop(self.clock())
        self.core.answer_open(self.clock())
        self.carry_out()
        last = self.loop.time() + LAST_BYTES_MS / 1000
        while not self.core.is_idle() and self.loop.time() < last:
            await asyncio.sleep(0.01)

    async def close_clients(self) -> None:
        """Answer what is open by what is known of its attempts, and close the clients' connections."""
        self.core.finish(self.clock())
        self.carry_out()
        # Clients read their last bytes and close. Closing a socket with unread input would reset its connection, and
        # the client would lose what it has not read of its answer.
        last = self.loop.time() + LAST_BYTES_MS / 1000
        while self.clients and self.loop.time() < last:
            await asyncio.sleep(0.01)

    async def _leave_fleet(self) -> None:
        """Leave the fleet before the socket closes; the fleet gives up after a few attempts without a reply."""
        if self.core.fleet is not None:
            self.core.fleet.leave(self.core, self.clock())
            self.carry_out()
            while not self.core.fleet.has_left():
                await asyncio.sleep(0.01)
            self.carry_out()

    async def _stop_accepting(self) -> None:
        if self.acceptor is not None:
            await self.acceptor.stop()

    async def kill(self) -> None:
        """End at once without closing connections properly; a node list that is being written is completed."""
        self.killed = True
        if self.acceptor is not None:
            self.acceptor.close()
        if self.timer is not None:
            self.timer.cancel()
        if self.udp is not None:
            self.udp.close()
        for transport in self.transports.values():
            transport.abort()
        dials = list(self.dials.values())
        for task in dials:
            task.cancel()
        await asyncio.gather(*dials, return_exceptions=True)
        await self.files.close()

    # --- commands --------------------------------------------------------------------------------

    def carry_out(self) -> None:
        """Carry out all commands of the core, and set the timer."""
        if self.killed:
            self.core.commands.clear()
            return
        if self.is_carrying_out:
            return  # a command called the core; the loop below carries out the new commands
        self.is_carrying_out = True
        pending, handlers = self.core.commands, self.handlers
        try:
            while pending:
                command = pending.popleft()
                handlers[type(command)](command)
        finally:
            self.is_carrying_out = False
        at = self.core.next_at()
        if at is not None and (self.timer is None or at != self.timer_at):
            # A later time than that of the timer needs no change: the timer fires early and is set again.
            if self.timer is not None:
                if at > self.timer_at:
                    return
                self.timer.cancel()
            self.timer_at = at
            self.timer = self.loop.call_later(max(0.0, (at - self.clock()) / 1000), self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.core.advance(self.clock())
        self.carry_out()

    def _write(self, command: commands.Write) -> None:
        transport = self.transports.get(command.conn)
        if transport is None or transport.is_closing():
            return
        transport.write(command.data)
        waiting = transport.get_write_buffer_size()
        if waiting > self.high_water:
            self.core.congested(self.clock(), command.conn, waiting)

    def is_connected(self, conn: int) -> bool:
        """Whether a client's connection is open. Its end is looked for on the socket: in a long turn of the loop it
        may wait to be read while requests of the client are still being sent on."""
        return _unread_input(self.clients.get(conn)) is not Unread.END  # an end that was read is reported already

    def has_no_unread_input(self, conn: int) -> bool:
        """Whether all bytes that arrived on a client's connection were read."""
        return _unread_input(self.clients.get(conn)) is not Unread.BYTES

    def is_quiet(self, conn: int) -> bool:
        """Whether nothing waits to be read on a connection that this side opened, neither bytes nor its end."""
        return _unread_input(self.dialed.get(conn)) is Unread.NOTHING

    def _dial(self, command: commands.Dial) -> None:
        task = self.dials[command.conn] = self.loop.create_task(self._connect(command))
        task.add_done_callback(lambda ended: self._dial_ended(command.conn, ended))

    async def _connect(self, command: commands.Dial) -> bool:
        """Returns whether the connection is open. The exception is dropped here: the task would keep it, and the
        exception refers to the task."""
        try:
            async with asyncio.timeout(command.timeout_ms / 1000):
                await self.loop.create_connection(
                    lambda: self.dialed_protocol(command.conn), command.host, command.port
                )
        except Exception:  # noqa: BLE001 - besides OSError a UnicodeError, for a host name that can't be looked up
            return False
        return True

    def dialed_protocol(self, conn: int) -> Connection:
        """Returns the protocol of a connection that this side opens."""
        return Connection(self, conn)

    def _dial_ended(self, conn: int, task: asyncio.Task[bool]) -> None:
        """Report a failed dial. One that the core cancelled ends here too, so its descriptor is freed at once."""
        del self.dials[conn]
        if task.cancelled() or not task.result():
            self.core.dial_failed(self.clock(), conn)
            self.carry_out()

    def _close(self, command: commands.CloseConnection) -> None:
        """Close a connection so that its last bytes arrive. Closing a socket with unread input resets it, and the
        other side would lose the close frame. So only the sending direction is closed, further input is discarded,
        and the connection is aborted after a while."""
        transport = self.transports.get(command.conn)
        if transport is None or transport.is_closing():
            return
        with contextlib.suppress(OSError, RuntimeError):
            transport.write_eof()
        transport.get_protocol().call_later(
            command.within_ms / 1000, self.linger, transport, command.within_ms, MAX_LINGER_EXTENSIONS
        )

    def linger(
        self, transport: asyncio.Transport, within_ms: float, extensions: int, before: int | None = None
    ) -> None:
        """Abort a connection whose time for the last bytes is over. While it makes progress, with fewer unsent bytes
        than ``before``, it gets as much time again, ``extensions`` times at most, so that a slow client gets its
        whole answer."""
        waiting = transport.get_write_buffer_size()
        if waiting and extensions and (before is None or waiting < before):
            transport.get_protocol().call_later(
                within_ms / 1000, self.linger, transport, within_ms, extensions - 1, waiting
            )
        else:
            transport.abort()

    def _abort(self, command: commands.AbortConnection) -> None:
        if (dial := self.dials.get(command.conn)) is not None:
            dial.cancel()
        transport = self.transports.pop(command.conn, None)
        if transport is not None:
            # The transport closes in the loop's next turn. The next command may be another attempt of the same
            # request, which must not be sent before this connection has ended.
            with contextlib.suppress(OSError, AttributeError):
                transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            transport.abort()

    def _send_peer_datagram(self, command: commands.SendPeerDatagram) -> None:
        address = self.peers.get(command.peer)
        if self.udp is not None and address is not None and not self.udp.is_closing():
            self.udp.sendto(command.data, address)

    def _send_datagram(self, command: commands.SendDatagram) -> None:
        if self.udp is not None and not self.udp.is_closing():
            self.udp.sendto(command.data, command.address)

    def _set_peer_addresses(self, command: commands.SetPeerAddresses) -> None:
        self.peers = command.addresses
