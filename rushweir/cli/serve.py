"""Run one ingress until it is told to stop."""

from __future__ import annotations

import asyncio
import sys
import traceback
from pathlib import Path

import click

from rushweir.config import Config, ConfigError
from rushweir.daemon.handover import HandoverError, take_over
from rushweir.daemon.lock import Held
from rushweir.daemon.service import Service, make_log
from rushweir.fleet.view_manager import StoredViewError
from rushweir.ingress.shell import Clock
from rushweir.ingress.signals import Signals


def serve(path: Path, config: Config, form: str, take: bool) -> int:
    """Serve; the exit code: 0 all answered, 1 not, or no way to start. ``take``: from the daemon that runs."""
    # To the end of the process: one that comes while the settings are read is acted on once the ingress runs, and
    # one that comes when all is answered does not change the exit code.
    signals = Signals()
    signals.install()
    inherited = None
    if take:
        if config.file.rollout is not None:
            # Two processes would keep settings in one folder, and each would say what it acts on by the same name.
            click.echo(
                "--take-over: not with a rollout block, since one process alone may keep the settings; "
                "stop the running one, then start this one: it serves at once from what was kept", err=True,
            )  # fmt: skip
            return 1
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
            rollouts, known = None, config
            if config.file.rollout is not None:
                from rushweir.daemon.rollouts import Rollouts

                rollouts = Rollouts(path, config, Clock(), log)
                known = await rollouts.begin()
            service = Service(path, known, log, inherited, rollouts)
        except (Held, StoredViewError, ConfigError, OSError) as problem:
            click.echo(str(problem), err=True)
            return 1
        return await service.run(lambda line: print(line, flush=True), signals)

    try:
        return asyncio.run(run())
    except Exception as problem:
        where = traceback.extract_tb(problem.__traceback__)[-1]
        place = f"{where.name}, line {where.lineno} of {Path(where.filename).name}"
        log.event("error", "crashed", why=repr(problem), place=place)
        raise
    finally:
        signals.ignore()
        log.sink.close()
        sys.stdout.flush()
