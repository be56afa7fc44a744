"""Control processes: run one, make a change of the settings, see how they stand."""

from __future__ import annotations

import asyncio
import getpass
import secrets
import sys
from base64 import b64decode, b64encode
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
import orjson

from rushweir.cli.ask import Daemon, NoDaemon, Refused
from rushweir.link.text import printable
from rushweir.rollout.change_sets import Change, Key

MOST_BEHIND = 50  # lines about ingresses
FETCHES = 5  # of all objects, where they change meanwhile
SOCKET = click.option(
    "--socket", type=click.Path(path_type=Path), envvar="RUSHWEIR_CONTROL_SOCKET", required=True,
    help="The operators' socket of a control process, any of them.",
)  # fmt: skip


def add_to(main: click.Group) -> None:
    main.add_command(control)
    main.add_command(change)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--new", is_flag=True, help="The first start of all of them: there is no log yet.")
@click.option(
    "--from",
    "copies",
    multiple=True,
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="COPY",
    help="Its log is lost: make it of copies of all the others' logs; all are down.",
)
@click.option("--log", type=click.Choice(["text", "json"]), default="text", help="Form of the log, standard error.")
def control(file: Path, new: bool, copies: tuple[Path, ...], log: str) -> None:
    """Run one control process with the settings in FILE, until SIGTERM."""
    from rushweir.config import ConfigError
    from rushweir.config.control import load_control
    from rushweir.daemon.control_files import ControlFiles
    from rushweir.daemon.control_operators import Operators
    from rushweir.daemon.control_process import ControlProcess
    from rushweir.daemon.lock import Held
    from rushweir.ingress.shell import Clock
    from rushweir.logs.limiter import Limiter
    from rushweir.logs.log import Log
    from rushweir.logs.sink import Sink
    from rushweir.rollout.object_store import ObjectStore
    from rushweir.rollout.storage import StorageError
    from rushweir.rollout.watch_sessions import WatchSessions

    try:
        config = load_control(file)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    clock = Clock()
    lines = Log(Sink(sys.stderr), clock, Limiter(5.0, 20), log, "info")

    async def run() -> int:
        try:
            files = ControlFiles(config.state, config.me, config.count, new, copies)
        except (Held, StorageError, OSError) as problem:
            click.echo(str(problem), err=True)
            return 1
        if files.torn:
            lines.event("warning", "torn_end_cut", path=str(files.path), at=files.kept.valid_bytes, bytes=files.torn)
        sessions = None
        if config.watch_key is not None:
            sessions = WatchSessions(clock(), ObjectStore(), config.watch_key, seed=secrets.randbits(63), first=new)
        process = ControlProcess(config, files, clock, lines.event, sessions)
        try:
            return await process.run(lambda line: print(line, flush=True), lambda p: Operators(p).serve())
        except OSError as problem:
            click.echo(f"{file}: {problem}", err=True)
            return 1

    try:
        sys.exit(asyncio.run(run()))
    finally:
        lines.sink.close()


@click.group()
def change() -> None:
    """Settings in force: change them, see who has which."""


@change.command("apply")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False))
@SOCKET
@click.option("--base", type=int, help="The version that FILES were made on; the newest if not given.")
@click.option("--author", default="", help="Who makes it; the user if not given.")
@click.option("--dry-run", is_flag=True, help="Print what would change.")
def change_apply(files: tuple[Path, ...], socket: Path, base: int | None, author: str, dry_run: bool) -> None:
    """Make one step of all in which FILES differ from the settings in force. FILES are the whole: what stands in none
    of them is taken out. Exit code 1: refused, and nothing changed, or nobody can tell."""
    from rushweir.config import ConfigError

    try:
        wanted = read_objects(files)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    sys.exit(_asking(socket, lambda d: _apply(d, wanted, base, author or getpass.getuser(), dry_run)))


@change.command("status")
@SOCKET
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def change_status(socket: Path, as_json: bool) -> None:
    """How a control process stands: exit code 1 where it reaches no majority."""

    def ask(daemon: Daemon) -> int:
        told = daemon.ask("status")
        if as_json:
            click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2))
        else:
            leads = "nobody leads" if told["leader"] < 0 else f"{told['leader']} leads"
            who = f"control {told['me']} of {told['count']}"
            click.echo(f"{who}: {told['role']}, {leads}, step {told['number']} in force")
            if told["role"] == "outdated":
                click.echo("its disk is an older copy than what it told: it takes part no more")
            elif not told["majority"]:
                click.echo("no majority: it goes on with what it has, and takes no change")
            _tell_ingresses(told.get("ingresses", ()), told.get("least", 0))
        return 0 if told["majority"] else 1

    sys.exit(_asking(socket, ask))


def _tell_ingresses(rows: Any, least: int) -> None:
    if not rows:
        return
    behind = [r for r in rows if r["behind"] or r["why"]]
    click.echo(f"{len(rows)} ingresses, {len(rows) - len(behind)} act on the newest; all act on {least} or later")
    for r in behind[:MOST_BEHIND]:
        click.echo(printable(f"  {r['ingress']}: acts on {r['acts']}, {r['behind']} behind: {r['why']}"))
    if len(behind) > MOST_BEHIND:
        click.echo(f"  and {len(behind) - MOST_BEHIND} more")


def _asking(socket: Path, what: Any) -> int:
    daemon = None
    try:
        daemon = Daemon(socket)
        return what(daemon)
    except NoDaemon as problem:
        click.echo(str(problem), err=True)
        return 3
    except Refused as problem:
        click.echo(str(problem), err=True)
        return 1
    finally:
        if daemon is not None:
            daemon.close()


def read_objects(files: tuple[Path, ...]) -> dict[Key, bytes]:
    """The objects of settings files together. Raises ConfigError, also where two differ about one."""
    from rushweir.config import ConfigError, load
    from rushweir.config.objects import objects
    from rushweir.config.text import Problem, Spot

    found: dict[Key, bytes] = {}
    origin: dict[Key, Path] = {}
    for path in files:
        for key, data in objects(load(path)):
            if found.setdefault(key, data) != data:
                text = f"{' '.join(w for w in key if w)}: another than in {origin[key]}"
                raise ConfigError([Problem(Spot(str(path), 1, 1), text)])
            origin.setdefault(key, path)
    return found


def fetch(daemon: Daemon) -> tuple[int, dict[Key, bytes]]:
    """The version in force, and its objects."""
    for _ in range(FETCHES):
        found: dict[Key, bytes] = {}
        told = daemon.ask("objects")
        number = told["number"]
        while True:
            found |= {(k, n): b64decode(data) for k, n, _, data in told["objects"]}
            if not told["more"] or told["number"] != number:
                break
            told = daemon.ask("objects", after=told["objects"][-1][:2])
        if told["number"] == number:
            return number, found
    raise Refused("the settings change too fast to be read whole; try again")


def differences(old: Mapping[Key, bytes], new: Mapping[Key, bytes]) -> list[Change]:
    """What makes one of the other; what is there before what names it, as the new ones stand."""
    made = [Change(key, data) for key, data in new.items() if old.get(key) != data]
    return made + [Change(key, None) for key in old if key not in new]


def _apply(daemon: Daemon, wanted: dict[Key, bytes], base: int | None, author: str, dry_run: bool) -> int:
    number, there = fetch(daemon)
    changes = differences(there, wanted)
    if not changes:
        click.echo(f"nothing differs from step {number}")
        return 0
    for c in changes if dry_run else ():
        sign = "-" if c.data is None else "~" if c.key in there else "+"
        click.echo(f"{sign} {printable(' '.join(w for w in c.key if w))}")
    if dry_run:
        return 0
    rows = [[*c.key, None if c.data is None else b64encode(c.data).decode()] for c in changes]
    told = daemon.ask("propose", changes=rows, author=author, base=number if base is None else base)
    if told["number"] is None:
        click.echo(("unsure: " if told["unsure"] else "refused: ") + printable(told["why"]), err=True)
        return 1
    click.echo(f"step {told['number']}: {len(changes)} objects changed")
    return 0
