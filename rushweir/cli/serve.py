"""Run one ingress until it is told to stop."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from rushweir.config import Config
from rushweir.daemon.handover import HandoverError, take_over
from rushweir.daemon.lock import Held
from rushweir.daemon.service import Service, make_log
from rushweir.fleet.seating import KeptError


def serve(path: Path, config: Config, form: str, take: bool) -> int:
    """Serve; the exit code: 0 all answered, 1 not, or no way to start. ``take``: from the daemon that runs."""
    inherited = None
    if take:
        if config.file.control is None:
            click.echo("--take-over: the settings name no control socket", err=True)
            return 1
        try:
            inherited = take_over(config.base / config.file.control.socket)
        except HandoverError as problem:
            click.echo(f"--take-over: {problem}", err=True)
            return 1
    log = make_log(config, form)

    async def run() -> int:
        try:
            service = Service(path, config, log, inherited)
        except (Held, KeptError, OSError) as problem:
            click.echo(str(problem), err=True)
            return 1
        return await service.run(lambda line: print(line, flush=True))

    try:
        return asyncio.run(run())
    finally:
        log.sink.close()
        sys.stdout.flush()
