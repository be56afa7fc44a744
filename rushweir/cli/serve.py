"""Run one ingress until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import logging
import secrets
import signal
import sys

import structlog

from rushweir.config import Config
from rushweir.ingress.core import Core
from rushweir.ingress.shell import Clock, Shell
from rushweir.rules import Policy


def set_up_logs(as_json: bool) -> None:
    """Logs on standard error, one event a line."""
    shared = [structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.stdlib.add_log_level]
    text = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    last = structlog.processors.JSONRenderer() if as_json else text
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last], foreign_pre_chain=shared
        )
    )
    root = logging.getLogger("rushweir")
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False


def calm_collector() -> None:
    """Reference counts free nearly all that a request makes; what the collector walks through at its default
    pace are the settings and the rules' long-lived records, for milliseconds at a time."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


async def run(config: Config, announce: bool = True) -> int:
    """Serve until SIGTERM or SIGINT; returns the exit code: 0 when all that was open got its answer."""
    log = logging.getLogger("rushweir")
    clock = Clock()
    boot = secrets.token_hex(4)
    seed = secrets.randbits(63)
    settings = config.settings()
    core = Core(config.setup(seed, boot + "-"), Policy(settings, seed, clock()), clock())
    state = config.state
    if state is not None:
        state.mkdir(parents=True, exist_ok=True)
    peers = dict(config.file.peers.peer) if config.file.peers else {}
    shell = Shell(core, clock, peers=peers, list_file=state / "list.json" if state else None, log=log)
    stop = asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(sign, stop.set)
    host, port = config.listen
    bind = config.file.peers.bind if config.file.peers else None
    try:
        port = await shell.serve(host, port, bind)
    except OSError as problem:
        log.error("cannot listen: %s", problem)
        await shell.kill()
        return 1
    where = f"ws://{f'[{host}]' if ':' in host else host}:{port}{config.file.path}"
    told = f", peers on {shell.peer_port()}" if bind is not None else ""
    if announce:
        print(f"ingress {settings.me} listens on {where}{told}", flush=True)
    log.info("listening on %s, boot %s", where, boot)
    calm_collector()
    await stop.wait()
    log.info("stopping, %d requests open", core.engine.ledger.owed)
    answered = await shell.stop()
    log.info("stopped: %s", core.figures())
    return 0 if answered else 1


def serve(config: Config, as_json: bool) -> int:
    set_up_logs(as_json)
    return asyncio.run(run(config))

