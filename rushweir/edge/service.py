"""Runs one ingress of the platform as a process: its configuration, its signals and its shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys

import orjson

from rushweir.discovery.source import UpdateError
from rushweir.edge.config import Config, load
from rushweir.edge.setup import ACCEPT_BURST, setup
from rushweir.edge.trace import Trace
from rushweir.ingress import commands
from rushweir.ingress.component_counts import counts_by_component
from rushweir.ingress.core import Core
from rushweir.ingress.shell import Clock, Shell, calm_collector
from rushweir.ingress.signals import Signals
from rushweir.logs.limiter import Limiter
from rushweir.policy import Policy

LOG_LINES_PER_S, LOG_BURST_LINES = 2.0, 20  # limits for each cause
ACCEPTING_S = 0.7  # how long after SIGTERM new clients are still accepted
# After that the platform kills the process no sooner than the longest deadline or, if that is longer, this time. Late
# requests must be answered by then, with a margin.
PLATFORM_KILL_MS, ANSWER_MARGIN_MS = 3_000.0, 100.0


class Log:
    """Writes log events as JSON lines to standard error, with a rate limit for each cause."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limiter = Limiter(LOG_LINES_PER_S, LOG_BURST_LINES)

    def emit(self, event: commands.LogEvent) -> None:
        """Writes an event unless its cause is over the limit; the next line of the cause has the number left out."""
        now = self.clock()
        allowed, left_out = self.limiter.allow(now, event.cause)
        if allowed:
            line = {"at": round(now), "level": event.level, "cause": event.cause, **event.fields}
            if left_out:
                line["left_out"] = left_out
            sys.stderr.buffer.write(orjson.dumps(line, default=str) + b"\n")
            sys.stderr.buffer.flush()


class Service:
    """One ingress, from its configuration to its shutdown."""

    def __init__(self, config: Config, signals: Signals) -> None:
        """Raises ValueError if the limits are too low to serve."""
        self.config, self.signals, self.clock = config, signals, Clock()
        self.log = Log(self.clock)
        now = self.clock()
        ingress_setup = setup(config)
        self.core = Core(ingress_setup, Policy(ingress_setup.settings, config.seed, now), now)
        self.ending = asyncio.Event()

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT. Raises OSError if it can't listen."""
        config, core = self.config, self.core
        listening = socket.create_server(config.listen)
        self.shell = shell = Shell(
            core, self.clock, peers=dict(enumerate(config.peers)), log=self.log.emit, high_water=0,
            accept_at_once=ACCEPT_BURST,
        )  # fmt: skip
        if config.known_list is not None:
            try:
                core.preload_nodes(self.clock(), core.list.known(config.known_list))
            except UpdateError as problem:
                core.log(self.clock(), "error", "known_list_refused", why=str(problem))
        await shell.serve(*config.listen, config.peer_listen, listening=listening)
        calm_collector()
        core.log(self.clock(), "info", "started", name=config.name, listen=config.listen, sockets=config.sockets,
                 memory_mb=config.memory_mb, cores=config.cores, backends=len(core.nodes.effective))  # fmt: skip
        shell.carry_out()
        if os.environ.get("EDGE_TRACE"):
            self.trace(Trace(core))
        # Signals received since the process began are handled now; a second SIGTERM changes nothing.
        calls = {signal.SIGHUP: self.reload, signal.SIGTERM: self.ending.set, signal.SIGINT: self.ending.set}
        self.signals.attach(asyncio.get_running_loop(), calls)
        try:
            await self.ending.wait()
            await self.end()
        finally:
            self.signals.detach()

    def trace(self, trace: Trace) -> None:
        """Writes a trace line now and once a second."""
        self.log.emit(commands.LogEvent("debug", "trace", trace.line(self.clock())))
        asyncio.get_running_loop().call_later(1.0, self.trace, trace)

    def reload(self) -> None:
        """Reloads the configuration; an invalid one is refused and changes nothing."""
        now = self.clock()
        try:
            new = load(os.environ)
            new_setup = setup(new)
        except ValueError as problem:
            self.core.log(now, "error", "reload_refused", why=str(problem))
        else:
            self.config = new
            self.core.reload(now, new_setup)
            self.core.log(now, "info", "reloaded", discovery=new.discovery)
        self.shell.carry_out()

    async def end(self) -> None:
        """Shuts down: new clients are accepted and answered for ``ACCEPTING_S`` more, then none."""
        core, shell = self.core, self.shell
        core.log(self.clock(), "info", "stopping", owed=core.engine.ledger.unanswered)
        core.drain_clients(self.clock(), core.setup.settings)
        shell.carry_out()
        await asyncio.sleep(ACCEPTING_S)
        longest = max(request_class.deadline_ms for request_class in core.setup.settings.classes)
        answered = await shell.stop(min(longest, PLATFORM_KILL_MS) - ANSWER_MARGIN_MS)
        self.log.emit(commands.LogEvent("info", "stopped", {"answered": answered, **counts_by_component(core)}))


def run(signals: Signals) -> int:
    """Runs one ingress and returns the exit status: 2 for an invalid configuration, 1 if it can't listen."""
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
    signals.ignore()
    return 0
