"""An ingress's settings from the control processes: a thin shell on asyncio around ``Watching``.

    start, with something kept      its objects, checked, before the ingress serves; no control process is needed
    start, with nothing             the first version that comes and fits
    a change                        applied in a turn of the loop (reloading.py), then appended to the log
    all act on a version            told to whoever holds ceilings down meanwhile (config/live.py, settled)

Files in the state folder: ``rollout.book`` and ``rollout.log`` (rollout/kept.py), and ``rollout.between``, whose
customers are held down until all know their new doors (rollout/ceilings.py): a restart must not forget it. It is on
disk before the change that it is of. All are written in a thread, in their order.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import socket
from collections.abc import Awaitable, Callable, Iterator, Sequence
from mmap import ACCESS_READ, mmap
from pathlib import Path
from typing import Any

from websockets.uri import InvalidURI

from rushweir.config import Config, ConfigError, live
from rushweir.config.objects import Refused
from rushweir.config.rollout import read_key
from rushweir.config.text import Spot
from rushweir.daemon.lock import StateLock
from rushweir.files import replace_file
from rushweir.link.websocket import Messages, client_protocol
from rushweir.rollout import kept as disk
from rushweir.rollout.book import Book, Data, record, records
from rushweir.rollout.ceilings import Between
from rushweir.rollout.kept import Append, Kept
from rushweir.rollout.steps import Change, Key
from rushweir.rollout.watch_mail import MOST_MESSAGE
from rushweir.rollout.watching import Apply, Keep, Note, Send, Watching
from rushweir.rollout.watching_links import Connect, Disconnect

BOOK, LOG, BETWEEN = "rollout.book", "rollout.log", "rollout.between"
MOST_UNSENT = 1_048_576  # bytes that wait in a connection; it says little, so more is a connection that is stuck


# Books are read and written in memory that goes back to the system at once: among the objects that live on, a few MB
# that were free again stayed with the process for good.


@contextlib.contextmanager
def mapped(path: Path) -> Iterator[Data | None]:
    """A file's bytes; None: there is no file. Raises OSError."""
    if not path.exists():
        yield None
    elif not path.stat().st_size:
        yield b""
    else:
        with open(path, "rb") as file, mmap(file.fileno(), 0, access=ACCESS_READ) as data:
            yield data


@contextlib.contextmanager
def snapshot(book: Book) -> Iterator[memoryview]:
    """A book's bytes, as ``Book.dump``. Raises OSError."""
    pages = sum(map(len, book.pages()))
    with mmap(-1, pages) as room:
        for page in book.pages():
            room.write(page)
        with memoryview(room) as data:
            yield data


class Files:
    """What is kept, in a folder that is locked."""

    def __init__(self, folder: Path) -> None:
        self.book, self.log, self.between = folder / BOOK, folder / LOG, folder / BETWEEN
        self.bytes = 0  # written in this life

    def load(self) -> tuple[Kept, list[str]]:
        """Cuts a log behind its last whole record. Raises OSError."""
        with mapped(self.book) as book, mapped(self.log) as log:
            kept, wrong, good = disk.load(book, log)
            torn = log is not None and good < len(log)
        if torn:
            os.truncate(self.log, good)
        if kept.book.version and good < len(disk.MAGIC):  # no log to write behind
            kept.failed()
        return kept, wrong

    def load_between(self) -> Between:
        """Raises OSError, ValueError, TypeError."""
        if not self.between.exists():
            return Between()
        found = [payload for _, payload in records(self.between.read_bytes(), 0)]
        if len(found) != 1:
            raise ValueError(f"{BETWEEN} is torn or altered")
        return Between.load(found[0])

    def write(self, orders: Sequence[Keep | Between]) -> None:
        """In their order; appended ones that follow on each other with one fsync. Raises OSError."""
        waiting: list[bytes] = []
        for order in orders:
            if isinstance(order, Between):
                replace_file(self.between, record(order.dump()), 0o600)
            elif isinstance(order.what, Append):
                waiting.append(order.what.data)
            else:
                waiting.clear()  # the book has them
                with snapshot(order.what.book) as data:
                    replace_file(self.book, data, 0o600)
                    self.bytes += len(data) + len(disk.MAGIC)
                replace_file(self.log, disk.MAGIC, 0o600)
        if waiting:
            with open(self.log, "ab") as file:
                file.write(b"".join(waiting))
                file.flush()
                os.fsync(file.fileno())
            self.bytes += sum(map(len, waiting))


class Objects:
    """Those of a book, made as they are walked through: a list of all would be larger than what is made of them."""

    def __init__(self, book: Book) -> None:
        self.book = book

    def __iter__(self) -> Iterator[tuple[Key, bytes]]:
        return ((key, data) for key, _, data in self.book.objects())


class Wire(asyncio.Protocol):
    """One connection to a control process."""

    def __init__(self, rollouts: Rollouts, conn: int, url: str) -> None:
        self.rollouts, self.conn = rollouts, conn
        self.messages = Messages(client_protocol(url, MOST_MESSAGE))
        self.transport: asyncio.Transport | None = None
        self.open = False

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
            self.open = bool(opened := self.messages.shake(data))
            if opened is False and self.transport is not None:
                self.transport.abort()
            if not self.open:
                return
            r.core.opened(r.clock(), self.conn)
            texts = self.messages.messages()
        for text in texts:
            r.core.received(r.clock(), self.conn, text)
        self.flush()
        r.carry_out()

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
        key = read_key(config.base / block.key_file, config.spots.get(("rollout", "key_file"), Spot(str(path), 1, 1)))
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
        self.apply: Callable[[tuple[Change, ...], int], Awaitable[None]] = self._first
        self.wires: dict[int, Wire] = {}
        self.dials: dict[int, asyncio.Task] = {}
        self.writes: list[Keep | Between] = []
        self.between = Between()  # as it is on disk, or will be
        self.writing: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.received_bytes = self.settled = 0
        self.broken = self.stopped = False

    def _watching(self, kept: Kept) -> Watching:
        name, addresses, key = self.given
        return Watching(self.clock(), name, addresses, kept, key, secrets.randbits(63))

    async def begin(self) -> Config:
        """The settings to start with: kept ones at once, else the first that come. Raises ConfigError."""
        book = self.core.book
        if book.version:
            try:
                self.between = self.files.load_between()
                config = live.assemble(self.path, Objects(book), book.version, self.between)
            except (Refused, ValueError, TypeError) as problem:
                self.log.event("error", "kept_settings_refused", version=book.version, why=str(problem)[:300])
                self.core = self._watching(Kept())
            else:
                self.log.event("info", "settings_kept", version=book.version, objects=book.count)
                self.carry_out()
                return config
        self.log.event("info", "settings_awaited", controls=list(self.given[1]))
        self.carry_out()
        return await self.first

    async def _first(self, changes: tuple[Change, ...], version: int) -> None:
        rows = [(c.key, c.data) for c in changes if c.data is not None]
        if self.first.done():  # nobody serves yet; what came first is what it starts with
            raise Refused([(("", ""), "", "the ingress is starting")])
        try:
            self.first.set_result(live.assemble(self.path, rows, version))
        except ConfigError as problem:
            self.first.set_exception(problem)
            raise Refused([(("", ""), "", str(problem)[:300])]) from None

    def attach(self, service: Any) -> None:
        """From now on the service applies."""
        self.service, self.apply = service, service.reloading.step
        ops = service.ops
        ops.methods["status"] = lambda: ops.status() | {"rollout": self.status()}

    def status(self) -> dict[str, Any]:
        held = 0 if self.service is None else len(self.service.config.between.customers)
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
        orders = self.core.orders
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
                    self._spawn(self._apply(order))
                case Keep():
                    self.writes.append(order)
                case Note():
                    self.log.event(order.level, order.event, **order.fields)
        if self.writes and self.writing is None:
            self.writing = asyncio.get_running_loop().create_task(self._write())
        if self.service is not None and self.core.least > self.settled:
            self.settled = self.core.least
            self._spawn(self._settle(self.settled))
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.001, (self.core.next_at() - self.clock()) / 1000)
        self.timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        self.core.advance(self.clock())
        self.carry_out()

    def _spawn(self, work: Any) -> None:
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
        try:
            await self.apply(order.changes, order.version)
            self._keep_between()
        except Refused as problem:
            key, field, text = problem.wrong[0]
            self.core.refused(self.clock(), order.version, key, field, text)
        except Exception as problem:  # a fault of the program, at one change: it stays on what it has and says so
            self.log.event("error", "rollout_failed", version=order.version, why=repr(problem)[:300])
            self.core.refused(self.clock(), order.version, ("", ""), "", f"the program failed: {problem!r}"[:300])
        else:
            self.core.applied(self.clock(), order.version)
            self.log.event("info", "settings_in_force", version=order.version, changes=len(order.changes))
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
                whole = (n for n, o in enumerate(orders) if isinstance(o, Keep) and not isinstance(o.what, Append))
                orders = orders[next(whole, len(orders)) :]
                orders = [self.between, *orders] if orders else []
            if not orders:
                continue
            try:
                await asyncio.to_thread(self.files.write, orders)
            except OSError as problem:
                self.broken = True
                self.core.keep_failed(self.clock(), str(problem))
            else:
                self.broken = False
                if kept := [o.version for o in orders if isinstance(o, Keep)]:
                    self.core.kept(self.clock(), kept[-1])
            with contextlib.suppress(RuntimeError):  # the loop ends
                self.writing_done()
        self.writing = None

    def writing_done(self) -> None:
        self.carry_out()
