"""An ingress's settings from the control processes: a thin shell on asyncio around ``Watcher``.

start, with something kept      its objects, checked, before the ingress serves; no control process is needed
start, with nothing             the first version that comes and fits; who changed after what all act on is held
                                down until all act on that change; where ceilings are lent, all until
                                four terms after they do
a change                        applied in a turn of the loop (reloading.py), then appended to the log
a large step                    read, weighed and prepared in threads, applied in a turn, noted in the next
all act on a version            told to whoever holds ceilings down meanwhile (config/live.py, settled)
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from websockets.uri import InvalidURI

from rushweir.config import Config, ConfigError, live
from rushweir.config.objects import Refused
from rushweir.config.private import read_key
from rushweir.config.text import Spot
from rushweir.daemon.beside import beside
from rushweir.daemon.lock import StateLock
from rushweir.daemon.rollout_files import Files, Objects
from rushweir.link.websocket import Messages, client_protocol
from rushweir.rollout.ceilings import UNKNOWN_CUSTOMERS, IntermediateVersions
from rushweir.rollout.change_sets import Change
from rushweir.rollout.large_messages import LargeMessage
from rushweir.rollout.stored_settings import Rewrite, StoredSettings
from rushweir.rollout.watch_channel import MAX_MESSAGE_BYTES
from rushweir.rollout.watch_connections import Connect, Disconnect
from rushweir.rollout.watcher import Watcher
from rushweir.rollout.watcher_commands import Apply, LogEvent, Persist, Send

MOST_UNSENT = 1_048_576  # bytes that wait in a connection; it says little, so more is a connection that is stuck


class Wire(asyncio.Protocol):
    """One connection to a control process."""

    def __init__(self, rollouts: Rollouts, conn: int, url: str) -> None:
        self.rollouts, self.conn = rollouts, conn
        self.messages = Messages(client_protocol(url, MAX_MESSAGE_BYTES))
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.waiting: deque[bytes | str] = deque()  # behind a large one; no more is read meanwhile
        self.weighs = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.rollouts.wires.get(self.conn) is not self:
            transport.abort()
            return
        self.messages.connect({})
        self.flush()

    def data_received(self, data: bytes) -> None:
        r = self.rollouts
        if r.wires.get(self.conn) is not self:
            return
        r.received_bytes += len(data)
        if self.open:
            texts = self.messages.receive(data)
        else:
            self.open = bool(opened := self.messages.receive_handshake(data))
            if opened is False and self.transport is not None:
                self.transport.abort()
            if not self.open:
                return
            r.core.opened(r.clock(), self.conn)
            texts = self.messages.messages()
        self.waiting.extend(texts)
        self._take()

    def _take(self) -> None:
        r = self.rollouts
        while self.waiting and not self.weighs:
            text = self.waiting.popleft()
            if (work := r.core.prepare_large_message(text)) is None:
                r.core.received(r.clock(), self.conn, text)
            else:
                self.weighs = True
                self.transport.pause_reading()
                r.spawn(self._weigh(text, work))
        self.flush()
        r.carry_out()

    async def _weigh(self, text: bytes | str, work: LargeMessage) -> None:
        """A large message is read beside the loop; those behind it wait."""
        await beside(work.prepare)
        r, self.weighs = self.rollouts, False
        if r.wires.get(self.conn) is self:
            r.core.received(r.clock(), self.conn, text, work)
            self._take()
            if not self.weighs and not self.transport.is_closing():
                self.transport.resume_reading()

    def send(self, data: bytes) -> None:
        self.messages.send(data)
        self.flush()

    def flush(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        writes, end = self.messages.take()
        if writes:
            transport.write(b"".join(writes))
        if end or transport.get_write_buffer_size() > MOST_UNSENT:
            transport.abort()

    def connection_lost(self, problem: Exception | None) -> None:
        r = self.rollouts
        if r.wires.pop(self.conn, None) is not None:
            r.core.lost(r.clock(), self.conn)
            r.carry_out()


class Rollouts:
    """One ingress's watch on the control processes, from before its start to its end."""

    def __init__(self, path: Path, config: Config, clock: Callable[[], float], log: Any) -> None:
        """``config``: of the machine alone. Takes the state folder's lock. Raises lock.Held, ConfigError, OSError."""
        block, state = config.file.rollout, config.state
        assert block is not None and state is not None
        self.path, self.clock, self.log = path, clock, log
        self.lent = config.file.fleet is not None
        spot = config.spots.get(("rollout", "key_file"), Spot(str(path), 1, 1))
        key = read_key(config.base / block.key_file, "key-file", spot)
        self.lock = StateLock(state)
        self.files = Files(state)
        kept, wrong = self.files.load()
        for why in wrong:
            log.event("error", "kept_settings_refused", folder=str(state), why=why)
        number = config.file.ingress[0]
        name = block.name or (f"ingress {number}" if number >= 0 else f"{socket.gethostname()}:{state.resolve()}")
        addresses = tuple(f"[{h}]:{p}" if ":" in h else f"{h}:{p}" for ((h, p),) in block.control)
        self.given = (name[:128], addresses, key)
        self.core = self._watching(kept)
        self.first: asyncio.Future[Config] = asyncio.get_running_loop().create_future()
        self.service: Any = None
        self.apply: Callable[[tuple[Change, ...], int, Any], Awaitable[None]] = self._first
        self.wires: dict[int, Wire] = {}
        self.dials: dict[int, asyncio.Task] = {}
        self.writes: list[Persist | IntermediateVersions] = []
        self.between = IntermediateVersions()  # as it is on disk, or will be
        self.writing: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.received_bytes = self.settled = 0
        self.broken = self.stopped = False

    def _watching(self, kept: StoredSettings) -> Watcher:
        name, addresses, key = self.given
        return Watcher(self.clock(), name, addresses, kept, key, secrets.randbits(63))

    async def begin(self) -> Config:
        """The settings to start with: kept ones at once, else the first that come. Raises ConfigError."""
        book = self.core.store
        if book.version:
            try:
                self.between = self.files.load_between()
                config = live.assemble(self.path, Objects(book), book.version, self.between)
            except (Refused, ValueError, TypeError) as problem:
                self.log.event("error", "kept_settings_refused", version=book.version, why=str(problem)[:300])
                self.core = self._watching(StoredSettings())
            else:
                self.log.event("info", "settings_kept", version=book.version, objects=book.count)
                self.carry_out()
                return config
        self.log.event("info", "settings_awaited", controls=list(self.given[1]))
        self.carry_out()
        return await self.first

    async def _first(self, changes: tuple[Change, ...], version: int, _: Any) -> None:
        rows = [(c.key, c.data) for c in changes if c.data is not None]
        if self.first.done():  # nobody serves yet; what came first is what it starts with
            raise Refused([(("", ""), "", "the ingress is starting")])
        least = self.core.least
        if version < least:  # its steps come; until then what it has may be nobody's any more
            raise Refused([(("", ""), "", f"all others act on {least} or later")])
        frozen = self.core.buffer.frozen
        assert frozen is not None
        between = live.newcomer(frozen.versions, version, least, self.lent)
        try:
            self.first.set_result(live.assemble(self.path, rows, version, between))
            self.between = between
            self.writes.append(between)  # ahead of the change that it is of
        except ConfigError as problem:
            self.first.set_exception(problem)
            raise Refused([(("", ""), "", str(problem)[:300])]) from None

    def attach(self, service: Any) -> None:
        """From now on the service applies."""
        self.service, self.apply = service, service.reloading.step
        ops = service.ops
        ops.methods["status"] = lambda: ops.status() | {"rollout": self.status()}

    def status(self) -> dict[str, Any]:
        between = IntermediateVersions() if self.service is None else self.service.config.between
        held = len(between.customers.keys() - {UNKNOWN_CUSTOMERS})
        told = {"received_bytes": self.received_bytes, "written_bytes": self.files.bytes, "held_down": held}
        return self.core.status() | told | {"counts": dict(self.core.counts)}

    async def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for wire in list(self.wires.values()):
            if wire.transport is not None:
                wire.transport.abort()
        for task in (*self.dials.values(), *self.tasks):
            task.cancel()
        await asyncio.gather(*self.dials.values(), *self.tasks, return_exceptions=True)
        if self.writing is not None:
            await asyncio.wait([self.writing])

    # --- orders ----------------------------------------------------------------------------------

    def carry_out(self) -> None:
        if self.stopped:
            return
        orders = self.core.commands
        while orders:
            order = orders.popleft()
            match order:
                case Connect():
                    task = asyncio.get_running_loop().create_task(self._dial(order))
                    self.dials[order.conn] = task
                    task.add_done_callback(lambda _, conn=order.conn: self.dials.pop(conn, None))
                case Disconnect():
                    self._drop(order.conn)
                case Send():
                    if (wire := self.wires.get(order.conn)) is not None:
                        wire.send(order.data)
                case Apply():
                    self.spawn(self._apply(order))
                case Persist():
                    self.writes.append(order)
                case LogEvent():
                    self.log.event(order.level, order.event, **order.fields)
        if self.writes and self.writing is None:
            self.writing = asyncio.get_running_loop().create_task(self._write())
        if self.service is not None and self.core.least > self.settled:
            self.settled = self.core.least
            self.spawn(self._settle(self.settled))
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.001, (self.core.next_at() - self.clock()) / 1000)
        self.timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        self.core.advance(self.clock())
        self.carry_out()

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _keep_between(self) -> None:
        now = self.service.config.between if self.service is not None else self.between
        if now != self.between:
            self.between = now
            self.writes.append(now)

    async def _settle(self, version: int) -> None:
        await self.service.reloading.settled(version)
        self._keep_between()
        self.carry_out()
        self.log.event("info", "settings_everywhere", version=version)

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.log.event("error", "rollout_failed", why=repr(problem)[:300])

    async def _apply(self, order: Apply) -> None:
        many = len(order.layer.rows) > live.FEW
        try:
            changes = await beside(lambda: order.changes) if many else order.changes
            await self.apply(changes, order.version, order.intermediate_values)
            self._keep_between()
        except Refused as problem:
            key, field, text = problem.wrong[0]
            self.core.refused(self.clock(), order.version, key, field, text)
        except Exception as problem:  # a fault of the program, at one change: it stays on what it has and says so
            self.log.event("error", "rollout_failed", version=order.version, why=repr(problem)[:300])
            self.core.refused(self.clock(), order.version, ("", ""), "", f"the program failed: {problem!r}"[:300])
        else:
            if many:  # others have their turn between what it took to apply and what it takes to note it
                await asyncio.sleep(0)
            self.core.applied(self.clock(), order.version)
            self.log.event("info", "settings_in_force", version=order.version, changes=len(changes))
        self.carry_out()

    async def _dial(self, order: Connect) -> None:
        host, _, port = order.address.rpartition(":")
        try:
            wire = self.wires[order.conn] = Wire(self, order.conn, f"ws://{order.address}/watch")
            await asyncio.get_running_loop().create_connection(lambda: wire, host.strip("[]"), int(port))
        except (OSError, ValueError, InvalidURI):
            if self.wires.pop(order.conn, None) is not None and not self.stopped:
                self.core.lost(self.clock(), order.conn)
                self.carry_out()

    def _drop(self, conn: int) -> None:
        wire = self.wires.pop(conn, None)
        if (task := self.dials.get(conn)) is not None:
            task.cancel()
        if wire is not None and wire.transport is not None:
            wire.transport.abort()

    async def _write(self) -> None:
        while self.writes:
            orders, self.writes = self.writes, []
            if self.broken:  # nothing goes behind a torn end; the book is written anew first
                anew = (
                    n for n, o in enumerate(orders) if isinstance(o, Persist) and isinstance(o.operation, Rewrite)
                )
                orders = orders[next(anew, len(orders)) :]
                orders = [self.between, *orders] if orders else []
            if not orders:
                continue
            try:
                whole = any(isinstance(o, Persist) and isinstance(o.operation, Rewrite) for o in orders)
                await (beside if whole else asyncio.to_thread)(self.files.write, orders)
            except OSError as problem:
                self.broken = True
                self.core.persist_failed(self.clock(), str(problem))
            else:
                self.broken = False
                if kept := [o.version for o in orders if isinstance(o, Persist)]:
                    self.core.persisted(self.clock(), kept[-1])
            with contextlib.suppress(RuntimeError):  # the loop ends
                self.writing_done()
        self.writing = None

    def writing_done(self) -> None:
        self.carry_out()
