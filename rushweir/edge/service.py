"""One ingress of the platform as a process: its configuration, its signals, its end."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys

import orjson

from rushweir.discovery.source import UpdateError
from rushweir.edge.config import Config, load
from rushweir.edge.setup import ACCEPTED, setup
from rushweir.edge.signals import Signals
from rushweir.edge.trace import Trace
from rushweir.ingress import commands as c
from rushweir.ingress.core import Core
from rushweir.ingress.shell import Clock, Shell, calm_collector
from rushweir.logs.decisions import Limiter
from rushweir.policy import Policy

LINES_PER_S, LINES_AT_ONCE = 2.0, 20  # of each cause
LAST_S = 0.7  # after SIGTERM clients may still come for so long
# The platform kills no sooner than the longest deadline, or this where it is longer, after that; what came late must
# be answered by then, and a little before.
KILL_MS, BEFORE_MS = 3_000.0, 100.0


class Log:
    """One JSON object a line on standard error, limited by cause."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.limiter = clock, Limiter(LINES_PER_S, LINES_AT_ONCE)

    def emit(self, event: c.LogEvent) -> None:
        now = self.clock()
        may, left_out = self.limiter.may(now, event.cause)
        if may:
            line = {"at": round(now), "level": event.level, "cause": event.cause, **event.fields}
            if left_out:
                line["left_out"] = left_out
            sys.stderr.buffer.write(orjson.dumps(line, default=str) + b"\n")
            sys.stderr.buffer.flush()


class Service:
    """One ingress, from its configuration to its end."""

    def __init__(self, config: Config, signals: Signals) -> None:
        """Raises ValueError where the limits leave no room to serve."""
        self.config, self.signals, self.clock = config, signals, Clock()
        self.log = Log(self.clock)
        now = self.clock()
        self.core = Core(setup(config), Policy(config.settings, config.seed, now), now)
        self.ending = asyncio.Event()

    async def run(self) -> None:
        config, core = self.config, self.core
        listening = socket.create_server(config.listen)
        self.shell = shell = Shell(
            core, self.clock, peers=dict(enumerate(config.peers)), log=self.log.emit, high_water=0,
            accept_at_once=ACCEPTED,
        )  # fmt: skip
        if config.known is not None:
            try:
                core.preload_nodes(self.clock(), core.list.known(config.known))
            except UpdateError as problem:
                core.log(self.clock(), "error", "known_list_refused", why=str(problem))
        await shell.serve(*config.listen, config.peer_listen, listening=listening)
        calm_collector()
        core.log(self.clock(), "info", "started", name=config.name, listen=config.listen, sockets=config.sockets,
                  memory_mb=config.memory_mb, cores=config.cores, backends=len(core.nodes.effective))  # fmt: skip
        shell.carry_out()
        if os.environ.get("EDGE_TRACE"):
            self.trace(Trace(core))
        # Those that came since the process began are taken now; a second SIGTERM changes nothing.
        asks = {signal.SIGHUP: self.reload, signal.SIGTERM: self.ending.set, signal.SIGINT: self.ending.set}
        self.signals.attach(asyncio.get_running_loop(), asks)
        try:
            await self.ending.wait()
            await self.end()
        finally:
            self.signals.detach()

    def trace(self, trace: Trace) -> None:
        self.log.emit(c.LogEvent("debug", "trace", trace.line(self.clock())))
        asyncio.get_running_loop().call_later(1.0, self.trace, trace)

    def reload(self) -> None:
        """Take the configuration anew: whole, or not at all."""
        now = self.clock()
        try:
            new = load(os.environ)
            made = setup(new)
        except ValueError as problem:
            self.core.log(now, "error", "reload_refused", why=str(problem))
        else:
            self.config = new
            self.core.reload(now, made)
            self.core.log(now, "info", "reloaded", discovery=new.discovery)
        self.shell.carry_out()

    async def end(self) -> None:
        """Clients may come for a while yet, and are answered; then nobody new."""
        core, shell = self.core, self.shell
        core.log(self.clock(), "info", "stopping", owed=core.engine.ledger.unanswered)
        core.drain_clients(self.clock(), core.setup.settings)
        shell.carry_out()
        await asyncio.sleep(LAST_S)
        longest = max(k.deadline_ms for k in core.setup.settings.classes)
        answered = await shell.stop(min(longest, KILL_MS) - BEFORE_MS)
        self.log.emit(c.LogEvent("info", "stopped", {"answered": answered, **core.counts_by_component()}))


def run(signals: Signals) -> int:
    """One ingress, from its start to its end; returns the process's exit status."""
    try:
        service = Service(load(os.environ), signals)
    except ValueError as problem:
        print(f"rushweir: {problem}", file=sys.stderr)
        return 2
    try:
        asyncio.run(service.run())
    except OSError as problem:
        print(f"rushweir: {problem}", file=sys.stderr)
        return 1
    return 0
