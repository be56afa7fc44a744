"""The shell around a Core: asyncio's transports, a datagram socket, a clock and a file. It decides nothing.

Orders are carried out in the order in which they were given. One timer of the event loop stands for all
timers of the core. What is read goes to the core in the same turn of the loop; writes are handed to the
transport at once, and a connection whose transport holds more than ``HIGH_WATER`` bytes is reported as
congested until it drained.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import time
from collections.abc import Callable
from pathlib import Path

from rushweir import interface as i
from rushweir.files import replace_file
from rushweir.ingress import commands as c
from rushweir.ingress.core import Core
from rushweir.ingress.transports import Connection, Datagrams, Sender

HIGH_WATER = 65_536  # bytes that wait in a transport before the connection counts as congested
READ_SIZE = 65_536
LAST_BYTES_MS = 300.0  # for those who still have connections at the end
MOST_LINGERS = 5  # times that a slow client gets its last bytes' time anew
BACKLOG = 1024


def calm_collector() -> None:
    """Reference counts free nearly all that a request makes; what the collector walks through at its default
    pace are the settings and the rules' long-lived records, for milliseconds at a time."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


class Clock:
    """Milliseconds that never run backwards, anchored to the wall clock once, at the start.

    The list of nodes tells start times of nodes in wall time, and ingresses that share a counter name its
    counts by the minute: so the clock is a wall clock; but a step of the wall clock must not move timers."""

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
        log: Callable[[c.LogEvent], None] | None = None,
        high_water: int = HIGH_WATER,
        accept_at_once: int = BACKLOG,
    ) -> None:
        """``folder`` keeps what outlives this process; ``end`` is told why it may not go on. ``log`` gets the
        lines for the log; a connection with more than ``high_water`` bytes unsent is
        reported as congested. ``accept_at_once``: connections taken in one turn of the loop, so that a crowd
        does not pass the bound on descriptors before the core has seen any of it."""
        self.high_water, self.accept_at_once = high_water, accept_at_once
        self.core, self.clock, self.peers = core, clock, peers or {}
        self.folder, self.list_file = folder, folder / "list.json" if folder is not None else None
        self.loop = asyncio.get_running_loop()
        self.transports: dict[int, asyncio.Transport] = {}
        self.clients: dict[int, socket.socket] = {}  # the same descriptors as the transports', to look at
        self.dials: dict[int, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()  # files being written
        self.buffer = memoryview(bytearray(READ_SIZE))  # for every read: what it holds is taken at once
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.server: asyncio.Server | None = None
        self.udp: asyncio.DatagramTransport | Sender | None = None
        self.saving: bytes | None = None
        self.saver: asyncio.Task | None = None
        self.carrying = self.dead = False
        core.engine.is_connected = self.present
        self.carry = {
            c.Write: self._write,
            c.Dial: self._dial,
            c.CloseConnection: self._close,
            c.AbortConnection: self._abort,
            c.SendPeerDatagram: self._datagram,
            c.SaveList: self._save,
            c.SendDatagram: self._send_to,
            c.SaveFile: self._save_file,
            c.SetPeerAddresses: self._peers,
            c.EndProcess: lambda order: end(order.reason) if end is not None else None,
            c.LogEvent: log or (lambda _: None),
        }

    # --- start and end ---------------------------------------------------------------------------

    async def serve(
        self, host: str, port: int, peer_address: tuple[str, int] | None = None,
        *, listening: socket.socket | None = None, peer_socket: socket.socket | None = None,
    ) -> int:  # fmt: skip
        """Open the sockets, or go on with those given, and start; returns the port that clients connect to."""
        if peer_socket is not None:
            self.udp, _ = await self.loop.create_datagram_endpoint(lambda: Datagrams(self), sock=peer_socket)
        elif peer_address is not None:
            self.udp, _ = await self.loop.create_datagram_endpoint(lambda: Datagrams(self), local_addr=peer_address)
        last = None
        if self.list_file is not None:
            with contextlib.suppress(FileNotFoundError):
                last = self.list_file.read_bytes()
        self.core.start(self.clock(), last)
        self.carry_out()
        where = {"sock": listening} if listening is not None else {"host": host, "port": port}
        backlog = self.accept_at_once
        self.server = await self.loop.create_server(lambda: Connection(self), backlog=backlog, **where)
        if backlog < BACKLOG and listening is not None:
            listening.listen(BACKLOG)  # what waits costs no descriptor; the loop made the queue as short as its turns
        return self.server.sockets[0].getsockname()[1]

    def peer_port(self) -> str:
        """Where messages of peers are taken, as text."""
        host, port = self.udp.get_extra_info("sockname")[:2] if self.udp is not None else ("", 0)
        return f"{host}:{port}"

    def sockets(self) -> dict[str, int]:
        """Descriptors that a successor goes on with."""
        found = {"listen": self.server.sockets[0].fileno()} if self.server is not None else {}
        if self.udp is not None:
            found["peers"] = self.udp.get_extra_info("socket").fileno()
        return found

    async def drain_and_stop(self, settings: i.Settings, within_ms: float) -> bool:
        """A successor listens on the same sockets by now: take no more connections, serve each that is open until
        its first idle moment, then end as ``stop`` does. The listening socket is only closed here, so that what
        waits in its queue is the successor's."""
        await self._stop_accepting()
        if self.udp is not None:
            # Both would read from one queue, and each would miss what the other took; sending goes on by then.
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
        """Take no more, answer what is open, close; whether all of it was answered in time."""
        await self._stop_accepting()
        self.core.stop(self.clock())
        self.carry_out()
        end = self.loop.time() + within_ms / 1000
        while not self.core.is_idle() and self.loop.time() < end:
            await asyncio.sleep(0.01)
        answered = self.core.is_idle()
        self.core.finish(self.clock())
        self.carry_out()
        # The last bytes go out, and those who got them close: a socket that is closed here with bytes unread resets
        # its connection, and what the other side has not read of its answer goes with it.
        last = self.loop.time() + LAST_BYTES_MS / 1000
        while self.clients and self.loop.time() < last:
            await asyncio.sleep(0.01)
        await self._leave_fleet()
        await self.kill()
        return answered

    async def _leave_fleet(self) -> None:
        """Give the number back before the socket closes; after a few tries without an answer it is over as well."""
        if self.core.fleet is not None:
            self.core.fleet.leave(self.core, self.clock())
            self.carry_out()
            while not self.core.fleet.has_left():
                await asyncio.sleep(0.01)
            self.carry_out()

    async def _stop_accepting(self) -> None:
        """Close the listening sockets, once what was accepted has its protocol: the loop makes it in a task of its
        own, which fails when the server is closed by then, and the client's connection would be open and dead."""
        if self.server is not None:
            for listening in self.server.sockets:
                self.loop.remove_reader(listening.fileno())
            for _ in range(3):
                await asyncio.sleep(0)
            self.server.close()

    async def kill(self) -> None:
        """End everything at once, without a word to anybody; a list being written is written to its end."""
        self.dead = True
        if self.server is not None:
            self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        if self.udp is not None:
            self.udp.close()
        for transport in self.transports.values():
            transport.abort()
        tasks = [*self.tasks, *self.dials.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.saver is not None:
            await self.saver

    # --- orders ----------------------------------------------------------------------------------

    def carry_out(self) -> None:
        """Carry out all orders there are, and set the timer."""
        if self.dead:
            self.core.commands.clear()
            return
        if self.carrying:
            return  # an order caused a call of the core; its orders are taken by the loop below
        self.carrying = True
        orders, carry = self.core.commands, self.carry
        try:
            while orders:
                order = orders.popleft()
                carry[type(order)](order)
        finally:
            self.carrying = False
        at = self.core.next_at()
        if at is not None and (self.timer is None or at != self.timer_at):
            # A later time than the one set needs no change: the timer comes, finds nothing, and is set anew.
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

    def _write(self, order: c.Write) -> None:
        transport = self.transports.get(order.conn)
        if transport is None or transport.is_closing():
            return
        transport.write(order.data)
        waiting = transport.get_write_buffer_size()
        if waiting > self.high_water:
            self.core.congested(self.clock(), order.conn, waiting)

    def present(self, conn: int) -> bool:
        """Whether a client's connection stands. Its end is looked for on the socket itself: in a turn of the loop
        that takes long it may wait to be read behind what would still be sent on for it."""
        sock = self.clients.get(conn)
        if sock is None:
            return True  # no connection of a client's, or one whose end the core was told of
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except (BlockingIOError, InterruptedError):
            return True  # nothing there to read
        except OSError:
            return False

    def _dial(self, order: c.Dial) -> None:
        task = self.dials[order.conn] = self.loop.create_task(self._connect(order))
        task.add_done_callback(lambda done: self._dial_over(order.conn, done))

    async def _connect(self, order: c.Dial) -> None:
        async with asyncio.timeout(order.timeout_ms / 1000):
            await self.loop.create_connection(lambda: Connection(self, order.conn), order.host, order.port)

    def _dial_over(self, conn: int, task: asyncio.Task) -> None:
        """Given up by the core, too: its descriptor is free then, and not when the other side would have answered."""
        del self.dials[conn]
        if task.cancelled() or task.exception() is not None:
            self.core.dial_failed(self.clock(), conn)
            self.carry_out()

    def _close(self, order: c.CloseConnection) -> None:
        """End a connection so that its last bytes arrive: closing a socket with unread input resets it, and
        the peer would lose the close frame. So the writing side ends, what still comes is thrown away, and
        after a while it is over in any case."""
        transport = self.transports.get(order.conn)
        if transport is None or transport.is_closing():
            return
        with contextlib.suppress(OSError, RuntimeError):
            transport.write_eof()
        self.loop.call_later(order.within_ms / 1000, self.linger, transport, order.within_ms, MOST_LINGERS)

    def linger(self, transport: asyncio.Transport, within_ms: float, left: int, before: int | None = None) -> None:
        """The time for a connection's last bytes is over. While some of them still wait on this side, fewer than
        ``before``, it gets as much time again, ``left`` times at most: a slow client is owed the whole answer."""
        waiting = transport.get_write_buffer_size()
        if waiting and left and (before is None or waiting < before):
            self.loop.call_later(within_ms / 1000, self.linger, transport, within_ms, left - 1, waiting)
        else:
            transport.abort()

    def _abort(self, order: c.AbortConnection) -> None:
        if (dial := self.dials.get(order.conn)) is not None:
            dial.cancel()
        transport = self.transports.pop(order.conn, None)
        if transport is not None:
            # The transport closes in the loop's next turn. What follows in this one may be the same request's
            # next attempt, which must not be out before this one's connection has ended.
            with contextlib.suppress(OSError, AttributeError):
                transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            transport.abort()

    def _datagram(self, order: c.SendPeerDatagram) -> None:
        address = self.peers.get(order.peer)
        if self.udp is not None and address is not None and not self.udp.is_closing():
            self.udp.sendto(order.data, address)

    def _send_to(self, order: c.SendDatagram) -> None:
        if self.udp is not None and not self.udp.is_closing():
            self.udp.sendto(order.data, order.address)

    def _peers(self, order: c.SetPeerAddresses) -> None:
        self.peers = order.addresses

    def _save_file(self, order: c.SaveFile) -> None:
        assert self.folder is not None  # only what has one asks for it
        task = self.loop.create_task(self._write_file(self.folder / order.name, order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write_file(self, path: Path, order: c.SaveFile) -> None:
        try:
            await asyncio.to_thread(replace_file, path, order.data)
        except OSError as problem:
            self.core.log(self.clock(), "error", "file_not_kept", file=order.name, why=str(problem))
        else:
            self.core.file_saved(self.clock(), order.serial)
        self.carry_out()

    def _save(self, order: c.SaveList) -> None:
        """Keep the list, off the event loop; of several that come meanwhile only the last is written."""
        self.saving = order.data
        if self.list_file is not None and self.saver is None:
            self.saver = self.loop.create_task(self._save_all())

    async def _save_all(self) -> None:
        assert self.list_file is not None
        while (data := self.saving) is not None:
            self.saving = None
            try:
                await asyncio.to_thread(replace_file, self.list_file, data)
            except OSError as problem:
                # All goes on but this: the next list is written again, and says so again.
                self.core.log(self.clock(), "error", "list_not_kept", why=str(problem))
                self.carry_out()
        self.saver = None
