"""An ingress as a daemon: starts, reloads, hands over and stops; a thin shell on asyncio around the parts."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import os
import secrets
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

from rushweir.config import Config, ConfigError
from rushweir.daemon import control
from rushweir.daemon.decisions import leaving
from rushweir.daemon.handover import Inherited
from rushweir.daemon.joining import Joining, bound, member
from rushweir.daemon.lock import StateLock
from rushweir.daemon.notify import notify
from rushweir.daemon.operations import Operations
from rushweir.daemon.reloading import Reloading
from rushweir.daemon.traces import Tracing
from rushweir.ingress.component_counts import counts_by_component
from rushweir.ingress.core import Core
from rushweir.ingress.membership import Membership
from rushweir.ingress.shell import Clock, Shell, calm_collector
from rushweir.ingress.signals import Signals
from rushweir.link import rpc
from rushweir.logs.limiter import Limiter
from rushweir.logs.log import Log
from rushweir.logs.sink import Sink
from rushweir.policy import Policy

TELL_EVERY_S = 5.0  # how often lines left out of the log are looked for


def program_version() -> str:
    try:
        return version("rushweir")
    except PackageNotFoundError:  # run from a checkout
        return "unpacked"


class Service:
    """One ingress, from its settings to its end."""

    def __init__(
        self, path: Path, config: Config, log: Log, inherited: Inherited | None = None, rollouts: Any = None
    ) -> None:
        """Takes the state folder's lock, unless ``rollouts`` has it. Raises lock.Held, or OSError."""
        self.path, self.config, self.log, self.inherited = path, config, log, inherited
        self.clock = Clock()
        self.boot, self.seed = secrets.token_hex(4), secrets.randbits(63)
        self.lock: StateLock | None = None
        self.rollouts = rollouts  # where the shared settings come from, if not from the file
        if rollouts is not None:
            self.lock = rollouts.lock
        elif config.state is not None:
            self.lock = StateLock(config.state, inherited.fds.get("lock") if inherited else None)
        self.member = member(config, secrets.randbits(63), self.clock())
        self.membership: Membership | None = None  # made once: a second would take the fleet's messages from it
        self.peer_socket: socket.socket | None = None
        self.since = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        facts = {"pid": os.getpid(), "boot": self.boot, "since": self.since, "version": program_version()}
        self.facts = facts
        self.ending = asyncio.Event()
        self.leave = self.rush = self.failed = False
        self.ending_reason = ""  # why the process ends, for the last line of its log
        self.reloading = Reloading(self)
        self.control: asyncio.Server | None = None
        self.control_file: Path | None = None
        self.control_tasks: set[asyncio.Task] = set()
        self.console: Any = None

    def _assemble(self) -> None:
        """The ingress, once its number is known."""
        config, now = self.config, self.clock()
        setup = self._setup(config)
        self.core = Core(setup, Policy(setup.settings, self.seed, now), now)
        self.core.telemetry.on_trace = Tracing().course
        self.ops = Operations(self.core, self.clock, config, self.facts)
        if self.rollouts is not None:
            self.rollouts.attach(self)
        peers = dict(config.file.peers.peer) if config.file.peers else {}
        self.shell = Shell(
            self.core, self.clock, peers=peers, folder=config.state, end=self._must_end, log=self.log.emit
        )

    def _setup(self, config: Config) -> Any:
        made = config.setup(self.seed, self.boot + "-")
        if self.member is not None and self.membership is None:
            b, given = config.file.budgets, config.file.ingress[0] < 0
            self.membership = Membership(self.member, config.me, given, b.term, b.floor, b.told)
        return replace(made, fleet=self.membership)

    async def _join(self) -> bool:
        """Open the fleet's socket, and wait for a number where the fleet gives it; whether there is one."""
        old, file = self.inherited, self.config.file
        kept = old is not None and file.peers and tuple(old.facts.get("peers", ())) == file.peers.bind
        self.peer_socket = old.socket("peers") if old and kept else None
        if self.member is None:
            return True
        if self.peer_socket is None:
            self.peer_socket = bound(file.peers.bind)
        if file.ingress[0] >= 0:
            return True
        joining = Joining(self.member, self.peer_socket, self.clock, self.config.state, self.log.event)
        number = await joining.run(self.ending)
        self.config = replace(self.config, seat=number)
        return number >= 0

    def _must_end(self, why: str) -> None:
        self.log.event("error", "must_end", why=why)
        self.failed = True
        self.stop(why)

    # --- from start to end -----------------------------------------------------------------------

    async def run(self, announce: Callable[[str], None] = print, signals: Signals | None = None) -> int:
        """Serve until told to stop; the exit code: 0 when all that was open got its answer, 1 when not. ``signals``:
        those of the process, whose handlers outlive the event loop; none are handled without."""
        signals = signals or Signals()
        calls: dict[int, Callable[[], object]] = {
            signal.SIGTERM: lambda: self.stop("SIGTERM"),
            signal.SIGINT: lambda: self.stop("SIGINT"),
            signal.SIGHUP: lambda: self._spawn(self._reload_by_signal()),
        }
        signals.attach(asyncio.get_running_loop(), calls)
        try:
            return await self._run(announce)
        finally:
            signals.detach()

    async def _run(self, announce: Callable[[str], None]) -> int:
        loop = asyncio.get_running_loop()
        try:
            if not await self._join():
                return self._ended_early(0)
            self._assemble()
            where = await self._start()
        except OSError as problem:
            self.log.event("error", "cannot_listen", why=str(problem))
            if hasattr(self, "shell"):
                await self.shell.kill()
            return self._ended_early(1)
        if self.inherited is not None:
            await asyncio.to_thread(self.inherited.done)
        me = self.core.setup.settings.gateway
        bind = self.config.file.peers.bind if self.config.file.peers else None
        announce(f"ingress {me} listens on {where}" + (f", peers on {self.shell.peer_port()}" if bind else ""))
        self.log.event("info", "listening", where=where, boot=self.boot, pid=os.getpid())
        notify("READY=1", f"MAINPID={os.getpid()}", f"STATUS=listening on {where}")
        calm_collector()
        telling = loop.create_task(self._tell_left_out())
        await self.ending.wait()
        telling.cancel()
        return await self._end()

    async def _start(self) -> str:
        file, old = self.config.file, self.inherited
        host, port = file.listen
        same = old is not None and tuple(old.facts.get("listen", ())) == (host, port)
        port = await self.shell.serve(
            host, port, file.peers.bind if file.peers else None,
            listening=old.socket("listen") if old and same else None,
            peer_socket=self.peer_socket,
        )  # fmt: skip
        if self.lock is not None:
            self.lock.tell(pid=os.getpid(), ingress=self.config.me, since=self.since)
        if file.control is not None:
            await self._open_control(self.config.base / file.control.socket, int(file.control.mode, 8))
        if file.console is not None:
            from rushweir.daemon.consoles import ConsoleProcess

            self.console = ConsoleProcess(self, old.socket("console") if old else None)
            await self.console.start()
            self.ops.facts["console"] = self.console.address
        return f"ws://{f'[{host}]' if ':' in host else host}:{port}{file.path}"

    def stop(self, why: str) -> None:
        """Stop, answering what is open; told a second time, without that."""
        self.rush = self.ending.is_set()
        self.ending_reason = self.ending_reason or why
        self.ending.set()

    async def _end(self) -> int:
        notify("STOPPING=1")
        within = self.config.file.stop
        self.core.log(self.clock(), "info", "stopping", open=self.core.engine.ledger.unanswered, successor=self.leave)
        self.shell.carry_out()
        if self.control is not None:
            self.control.close()
        if self.leave:
            ending = asyncio.create_task(self.shell.drain_and_stop(leaving(self.core.setup.settings), within))
        else:
            ending = asyncio.create_task(self.shell.stop(within))
        while not ending.done():
            await asyncio.wait([ending], timeout=0.05)
            if self.rush and not ending.done():
                ending.cancel()
                await asyncio.gather(ending, return_exceptions=True)
                await self.shell.answer_now()
                await self.shell.close_clients()
                await self.shell.kill()
        answered = not ending.cancelled() and ending.result()
        if self.console is not None:
            await self.console.end()
        if self.rollouts is not None:
            await self.rollouts.stop()
        self._drop_control_file()
        for task in list(self.control_tasks):
            task.cancel()
        figures = counts_by_component(self.core)["engine"]
        figures["requests_after_close"] = self.core.counts["requests_after_close"]
        self.log.event("info", "stopped", why=self.ending_reason, answered=answered, **figures)
        if self.lock is not None:
            self.lock.close()
        return 0 if answered and not self.failed else 1

    def _ended_early(self, code: int) -> int:
        if self.ending_reason:
            self.log.event("info", "stopped", why=self.ending_reason, answered=True)
        if self.lock is not None:
            self.lock.close()
        return code

    async def _tell_left_out(self) -> None:
        while True:
            await asyncio.sleep(TELL_EVERY_S)
            self.log.report_suppressed()

    # --- other settings --------------------------------------------------------------------------

    async def reload(self) -> list[dict[str, object]]:
        """Read the settings again and apply them, whole or not at all; what changed. Raises ConfigError."""
        return await self.reloading.reload()

    def taken(self, new: Config, changes: Sequence[Any] | None) -> None:
        """Other settings hold; None: the same ones, which all act on by now."""
        self.config = self.ops.config = new
        self.log.apply_settings(*log_settings(new))
        if changes is not None:
            self.ops.reloaded_at = self.clock()
            self.core.log(self.clock(), "info", "reloaded", changes=len(changes))

    async def _reload_by_signal(self) -> None:
        with contextlib.suppress(ConfigError):  # the log has it
            await self.reload()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.control_tasks.add(task)
        task.add_done_callback(self.control_tasks.discard)

    # --- operators -------------------------------------------------------------------------------

    async def _open_control(self, path: Path, mode: int) -> None:
        """Listen beside the name and move it there, so that a successor takes the name over without a gap, and
        nobody connects before the file's rights are set."""
        new = path.with_name(f"{path.name}.{os.getpid()}")
        with contextlib.suppress(FileNotFoundError):
            new.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        umask = os.umask(0o177)
        try:
            sock.bind(str(new))
        finally:
            os.umask(umask)
        os.chmod(new, mode)
        self.control = await asyncio.start_unix_server(self._operator, sock=sock, limit=control.MOST_LINE)
        os.replace(new, path)
        self.control_file, self.control_inode = path, path.stat().st_ino

    def _drop_control_file(self) -> None:
        with contextlib.suppress(OSError):
            if self.control_file is not None and self.control_file.stat().st_ino == self.control_inode:
                self.control_file.unlink()

    async def _operator(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.control_tasks.add(task)
        task.add_done_callback(self.control_tasks.discard)
        lines = control.Lines(control.MOST_LINE)
        handed = False
        try:
            if len(self.control_tasks) > control.MOST_CONNECTIONS:
                writer.write(rpc.error(None, rpc.REFUSED, "too many operators' connections") + b"\n")
                return
            while data := await reader.read(65536):
                for line in lines.feed(data):
                    call = control.ask(line)
                    if isinstance(call, bytes):
                        writer.write(call + b"\n")
                    elif call.method == "handover":
                        self._hand_over(call, writer)
                        handed = True
                    elif call.method == "handover.done" and handed:
                        handed = False
                        writer.write(rpc.result(call.id, {"open": self.core.engine.ledger.unanswered}) + b"\n")
                        self.leave = True
                        self.ending_reason = self.ending_reason or "handover"
                        self.ending.set()
                    else:
                        writer.write(await self._answer(call) + b"\n")
                    await writer.drain()  # one answer at a time: who reads slowly waits, and holds nobody up
        except ValueError as problem:
            writer.write(rpc.error(None, rpc.INVALID_REQUEST, str(problem)) + b"\n")
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            if handed:
                self.core.log(self.clock(), "warning", "handover_abandoned")
                self.shell.carry_out()
            writer.close()

    async def _answer(self, call: rpc.Call) -> bytes:
        if call.method == "reload":
            try:
                return rpc.result(call.id, {"changes": await self.reload()})
            except ConfigError as problem:
                return rpc.error(call.id, rpc.FAILED, "the settings are not taken", {"problems": str(problem)})
        if call.method == "stop":
            self.stop("operator")
            return rpc.result(call.id, {"open": self.core.engine.ledger.unanswered})
        if call.method == "metrics":
            from rushweir.daemon.metrics import exposition

            return rpc.result(call.id, exposition(self.core).decode())
        if call.method == "settings":  # tens of thousands of rows: beside the loop, and no change meanwhile
            async with self.reloading.lock:
                return await asyncio.to_thread(control.answer, call, self.ops.methods)
        answer = control.answer(call, self.ops.methods)
        self.shell.carry_out()
        return answer

    def _hand_over(self, call: rpc.Call, writer: asyncio.StreamWriter) -> None:
        """All sockets that listen, and the lock, in one message."""
        file = self.config.file
        sockets = self.shell.sockets()
        if self.lock is not None:
            sockets["lock"] = self.lock.fd
        if self.console is not None:
            sockets["console"] = self.console.sock.fileno()
        facts = {
            "sockets": list(sockets), "pid": os.getpid(), "listen": file.listen,
            "peers": file.peers.bind if file.peers else (), "console": file.console.listen if file.console else (),
        }  # fmt: skip
        with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as sock:
            socket.send_fds(sock, [rpc.result(call.id, facts) + b"\n"], list(sockets.values()))
        self.core.log(self.clock(), "info", "handover_begun")


def log_settings(config: Config) -> tuple[Limiter, str, str]:
    b = config.file.log
    return Limiter(b.each_cause, b.at_once), b.form, b.level


def make_log(config: Config, form: str = "") -> Log:
    """The log on standard error, by the settings, or in the form given."""
    limiter, own, level = log_settings(config)
    return Log(Sink(sys.stderr), Clock(), limiter, form or own, level)
