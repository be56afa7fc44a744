"""A control process: the shell around ``Control``. It carries messages, writes and answers, and decides nothing.

On its listening address two paths are served: ``/control`` for the other control processes, ``/watch`` for ingresses,
by whoever was given as ``sessions``. Of two processes the one with the higher number dials. Operators come by a Unix
socket (control_operators.py). Writes are control_disk.py's.
"""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
from collections.abc import Callable
from typing import Any

from rushweir.config.control import ControlConfig
from rushweir.daemon.control_disk import Disk
from rushweir.daemon.control_files import ControlFiles
from rushweir.daemon.control_sessions import Sessions
from rushweir.daemon.control_wires import Dials, Served
from rushweir.daemon.notify import notify
from rushweir.ingress.byte_totals import ByteTotals
from rushweir.ingress.shell import calm_collector
from rushweir.link import rpc
from rushweir.link.upstream import Upstream
from rushweir.rollout.change_sets import Change
from rushweir.rollout.commands import (
    Append,
    Committed,
    Compact,
    LogEvent,
    ProposalAnswered,
    Rewrite,
    Send,
    SnapshotInstalled,
)
from rushweir.rollout.control import Control
from rushweir.rollout.control_channel import MAX_MESSAGE_BYTES, NONCE_BYTES, OPEN, READY, ChannelError, SealedChannel

PAUSE_MS, CONNECT_MS, PING_MS = (100.0, 1_000.0), 1_000.0, 1_000.0
MOST_FORWARDED = 64  # proposals that another process was asked to make
FORWARD_S = 20.0  # until its answer is no longer waited for
BACKLOG = 1_024
YOUNG = 5_000  # new objects that the garbage collector looks at in one go: a millisecond; entries make many that stay


def changes_of(rows: list[Any]) -> tuple[Change, ...]:
    """Rows of kind, name and data. Raises ValueError."""
    found = []
    for row in rows:
        match row:
            case [str(kind), str(name), bytes() | None as data]:
                found.append(Change((kind, name), data))
            case _:
                raise ValueError("a change is a kind, a name, and data or nothing")
    return tuple(found)


class Line:
    """A connection to another control process, whichever side dialed."""

    def __init__(self, process: ControlProcess, send: Callable[[bytes], None], close: Callable[[str], None]) -> None:
        self.process, self.send_text, self.close = process, send, close
        config = process.config
        self.channel = SealedChannel(config.me, config.count, config.key, secrets.token_bytes(NONCE_BYTES))
        self.send_text(self.channel.hello())

    def send(self, body: list[Any]) -> None:
        self.send_text(self.channel.write(body))

    def text(self, text: bytes | str) -> None:
        self._take(self.channel.read, text)

    def call(self, call: rpc.Call | rpc.Reply) -> None:
        self._take(self.channel.take, call)

    def _take(self, read: Callable[[Any], list[Any] | None], given: Any) -> None:
        before = self.channel.state
        try:
            body = read(given)
        except ChannelError as problem:
            self.process.log("warning", "control_link_refused", peer=self.channel.peer, why=str(problem))
            self.close(str(problem))
            return
        if body is not None:
            self.process.received(self, body)
        elif self.channel.state is READY:
            self.send([])
        elif self.channel.state is OPEN and before is READY:
            self.process.line_up(self)

    def writable(self, on: bool) -> None:
        """The bound on what waits is the transport's: beyond it the connection ends, and the log's way goes on."""

    def lost(self) -> None:
        self.process.line_down(self)


class Dialed:
    """Owns a link that goes out (link/upstream.py)."""

    def __init__(self, process: ControlProcess, peer: int, dials: Dials) -> None:
        self.process, self.dials, self.line = process, dials, None
        host, port = process.config.addresses[peer]
        url = f"ws://[{host}]:{port}/control" if ":" in host else f"ws://{host}:{port}/control"
        self.link = Upstream(
            self, url, {}, seed=secrets.randbits(32), new_conn=dials.new_conn,
            at=lambda when, what, argument: dials.at(when, what, argument, self.link), retry_delay_ms=PAUSE_MS,
            connect_timeout_ms=CONNECT_MS, ping_interval_ms=PING_MS, max_message=MAX_MESSAGE_BYTES,
        )  # fmt: skip
        self.link.start(process.clock())
        dials.carry(self.link)

    def opened(self) -> None:
        self.line = Line(self.process, self._send, self._close)

    def _send(self, text: bytes) -> None:
        self.link.send(text)
        self.dials.carry(self.link)

    def _close(self, why: str) -> None:
        self.link.drop(self.process.clock())
        self.dials.carry(self.link)

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        if self.line is not None:
            self.line.call(message)

    def bad_message(self, why: str) -> None:
        self._close(why)

    def link_lost(self, was_open: bool) -> None:
        line, self.line = self.line, None
        if line is not None:
            line.lost()


class Watcher:
    """A connection of one that watches; its messages are its sessions' affair."""

    def __init__(self, process: ControlProcess, wire: Served) -> None:
        self.process, self.wire = process, wire
        process.watchers_serial += 1
        self.conn = process.watchers_serial
        process.watchers[self.conn] = wire
        process.tell_sessions("opened", self.conn)

    def text(self, text: bytes | str) -> None:
        self.process.tell_sessions("received", self.conn, text)

    def writable(self, on: bool) -> None:
        self.process.tell_sessions("set_writable", self.conn, on)

    def lost(self) -> None:
        self.process.watchers.pop(self.conn, None)
        self.process.tell_sessions("closed", self.conn)


class ControlProcess:
    """Runs one. Raises lock.Held, StorageError, OSError at its start."""

    def __init__(
        self, config: ControlConfig, files: ControlFiles, clock: Callable[[], float], log: Callable[..., None],
        sessions: Sessions | None = None,
    ) -> None:  # fmt: skip
        """``log(level, cause, **fields)`` takes a line."""
        self.config, self.clock, self.log, self.sessions = config, clock, log, sessions
        self.disk = Disk(files, self)
        self.core = Control(config.me, config.count, files.kept, secrets.randbits(63), clock())
        self.lines: dict[int, Line] = {}
        self.watchers: dict[int, Served] = {}
        self.watchers_serial = self.tickets = 0
        self.answers: dict[int, asyncio.Future[ProposalAnswered]] = {}
        self.forwarded: dict[
            int, tuple[int, asyncio.Future[ProposalAnswered]]
        ] = {}  # by ticket: whom it was given to
        self.timer: asyncio.TimerHandle | None = None
        self.ending = asyncio.Event()
        self.carrying = False
        self.wires: set[Served] = set()
        self.tasks: set[asyncio.Task] = set()

    # --- start and end ---------------------------------------------------------------------------

    async def run(self, say: Callable[[str], None], operators: Callable[[ControlProcess], Any]) -> int:
        """Until SIGTERM or a disk that fails; the exit code. ``operators``: opens their socket, and closes it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        dials = Dials(self.clock)
        self.core.start(self.clock())
        self.carry_out()
        calm_collector()  # else it walks through all objects and entries now and then, for 60 ms with 25,300
        gc.set_threshold(YOUNG, *gc.get_threshold()[1:])
        paths: dict[str, Callable] = {"/control": lambda wire: Line(self, wire.send, wire.close)}
        if self.sessions is not None:
            paths["/watch"] = lambda wire: Watcher(self, wire)
        host, port = self.config.addresses[self.config.me]
        incomplete = ByteTotals[Served]()
        server = await loop.create_server(
            lambda: Served(paths, self.wires, MAX_MESSAGE_BYTES, incomplete),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        try:
            async with operators(self):
                self.dialed = [Dialed(self, peer, dials) for peer in range(self.config.me)]
                say(f"control {self.config.me} listens on {host}:{server.sockets[0].getsockname()[1]}")
                notify("READY=1")
                await self.ending.wait()
        finally:
            server.close()
            if self.timer is not None:
                self.timer.cancel()
            await dials.close()
            for wire in list(self.wires):
                if wire.transport is not None:
                    wire.transport.abort()
            await self.disk.close()
        return 1 if self.disk.failed else 0

    # --- other control processes -----------------------------------------------------------------

    def line_up(self, line: Line) -> None:
        """The newest connection of a peer holds: its old one, if there is one, is one that only this side has."""
        peer = line.channel.peer
        old, self.lines[peer] = self.lines.get(peer), line
        if old is not None:
            old.close("replaced")
        self.log("info", "control_linked", peer=peer)
        self.core.peer_connected(self.clock(), peer)
        self.carry_out()

    def line_down(self, line: Line) -> None:
        peer = line.channel.peer
        if self.lines.get(peer) is not line:
            return
        del self.lines[peer]
        self.log("info", "control_unlinked", peer=peer)
        for ticket, (to, future) in list(self.forwarded.items()):
            if to == peer and not future.done():
                why = f"the connection to control process {peer}, which leads, was lost: the change may be in force"
                future.set_result(ProposalAnswered(ticket, None, why, -1, unsure=True))

    def received(self, line: Line, body: list[Any]) -> None:
        peer = line.channel.peer
        if self.lines.get(peer) is not line or not body:
            return
        match body:
            case ["propose", int(ticket), list(rows), str(author), int() | None as base]:
                task = asyncio.get_running_loop().create_task(self._propose_for(peer, ticket, rows, author, base))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case ["proposed", int(ticket), number, str(why), int(leader), bool(unsure)]:
                if ticket in self.forwarded and not self.forwarded[ticket][1].done():
                    self.forwarded[ticket][1].set_result(ProposalAnswered(ticket, number, why, leader, unsure))
            case ["report", told]:
                self.tell_sessions("take_report", told)
            case _:
                self.core.receive(self.clock(), peer, body)
                self.carry_out()

    # --- proposals -------------------------------------------------------------------------------

    async def propose(self, changes: tuple[Change, ...], author: str, base: int | None) -> ProposalAnswered:
        """Here, or by the one that leads."""
        leader = self.core.leader
        if leader in self.lines and leader != self.config.me and len(self.forwarded) < MOST_FORWARDED:
            self.tickets += 1
            ticket, future = self.tickets, asyncio.get_running_loop().create_future()
            self.forwarded[ticket] = (leader, future)
            try:
                self.lines[leader].send(["propose", ticket, [[*c.key, c.data] for c in changes], author, base])
                return await asyncio.wait_for(future, FORWARD_S)
            except TimeoutError:
                why = f"control process {leader}, which leads, does not answer: the change may come into force yet"
                return ProposalAnswered(ticket, None, why, -1, unsure=True)
            finally:
                del self.forwarded[ticket]
        return await self._propose(changes, author, base)

    async def _propose(self, changes: tuple[Change, ...], author: str, base: int | None) -> ProposalAnswered:
        self.tickets += 1
        ticket = self.tickets
        future = self.answers[ticket] = asyncio.get_running_loop().create_future()
        self.core.propose(self.clock(), ticket, changes, author, base)
        self.carry_out()
        return await future

    async def _propose_for(self, peer: int, ticket: int, rows: list, author: str, base: int | None) -> None:
        try:
            changes = changes_of(rows)
        except ValueError as problem:
            self.log("error", "bad_proposal", peer=peer, why=str(problem))
            return
        a = await self._propose(changes, author, base)
        if peer in self.lines:
            self.lines[peer].send(["proposed", ticket, a.version, a.reason, a.leader, a.unsure])

    # --- orders ----------------------------------------------------------------------------------

    def carry_out(self) -> None:
        if self.carrying:
            return
        self.carrying = True
        try:
            while self.core.commands:
                self._carry(self.core.commands.popleft())
        finally:
            self.carrying = False
        if self.sessions is not None:
            self.sessions.set_current(self.clock(), self.core.status(self.clock())["majority"])
            self._carry_sessions()
        self._set_timer()
        self.disk.go()

    def _carry(self, order: Any) -> None:
        match order:
            case Send():
                if (line := self.lines.get(order.peer)) is not None:
                    line.send(order.body)
            case Append() | Rewrite() | Compact():
                self.disk.add(order)
            case ProposalAnswered():
                if (future := self.answers.pop(order.request_id, None)) is not None and not future.done():
                    future.set_result(order)
            case LogEvent():
                self.log(order.level, order.cause, **order.fields)
            case Committed():
                self.log("info", "step_in_force", number=order.change_set.version, author=order.change_set.author)
                if self.sessions is not None:
                    self.sessions.committed(self.clock(), order.change_set)
            case SnapshotInstalled() if self.sessions is not None:
                self.sessions.snapshot_installed(self.clock(), order.version, order.objects)

    def kept(self, serial: int) -> None:
        self.core.persisted(self.clock(), serial)
        self.carry_out()

    def folded(self, serial: int) -> None:
        self.core.compacted(self.clock(), serial)
        self.carry_out()

    def disk_failed(self, problem: OSError) -> None:
        self.log("error", "disk_failed", path=str(self.disk.files.path), why=str(problem))
        self.ending.set()

    def _set_timer(self) -> None:
        times = [self.core.next_at(), self.sessions.next_at() if self.sessions is not None else None]
        due = min((t for t in times if t is not None), default=None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due is not None:
            wait = max(0.0, (due - self.clock()) / 1000)
            self.timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        now = self.clock()
        self.core.advance(now)
        if self.sessions is not None:
            self.sessions.advance(now)
        self.carry_out()

    # --- those that watch ------------------------------------------------------------------------

    def tell_sessions(self, what: str, *given: Any) -> None:
        if self.sessions is not None:
            getattr(self.sessions, what)(self.clock(), *given)
            self.carry_out()

    def _carry_sessions(self) -> None:
        orders = self.sessions.commands if self.sessions is not None else ()
        while orders:
            order = orders.popleft()
            if hasattr(order, "report"):
                for line in self.lines.values():
                    line.send(["report", order.report])
            elif (wire := self.watchers.get(order.conn)) is not None:
                if hasattr(order, "data"):
                    wire.send(order.data)
                else:
                    wire.close(order.why)
