"""The operators' commands: each asks a running daemon and prints what it says, as a table or as JSON."""

from __future__ import annotations

import functools
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from rushweir.cli.ask import Daemon, NoDaemon, Refused
from rushweir.cli.changes import tell_changes
from rushweir.link.text import printable

Row = dict[str, Any]


def _socket(given: Path | None, file: Path | None) -> Path:
    if given is not None:
        return given
    if file is None:
        raise click.UsageError("which daemon? --socket PATH, RUSHWEIR_SOCKET, or --file with its settings")
    from rushweir.config import ConfigError, load  # here: grammar and models cost half a second to load

    try:
        config = load(file)
    except ConfigError as problem:
        raise click.UsageError(str(problem)) from None
    if config.file.control is None:
        raise click.UsageError(f"{file}: names no control socket")
    return config.base / config.file.control.socket


def asks(command: Callable[..., Any]) -> Callable[..., Any]:
    """A command that gets a connection to the daemon first; its errors become texts and exit codes."""

    @click.option("--socket", type=click.Path(path_type=Path), envvar="RUSHWEIR_SOCKET", help="The control socket.")
    @click.option("--file", type=click.Path(path_type=Path), help="Or the settings that name it.")
    @functools.wraps(command)
    def run(socket: Path | None, file: Path | None, **more: Any) -> None:
        daemon = None
        try:
            daemon = Daemon(_socket(socket, file))
            code = command(daemon, **more)
        except NoDaemon as problem:
            click.echo(str(problem), err=True)
            code = 3
        except Refused as problem:
            click.echo(problem.problems or str(problem), err=True)
            code = 2 if problem.problems else 1
        finally:
            if daemon is not None:
                daemon.close()
        sys.exit(code or 0)

    return run


AS_JSON = click.option("--json", "as_json", is_flag=True, help="For programs.")
SEARCH = click.argument("search", default="")
FIRST = click.option("--first", default=0, help="Rows to skip.")
COUNT = click.option("--count", default=50, help="Rows at most.")


def out_json(value: Any) -> None:
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2))


def plain(value: Any) -> str:
    """A cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    return printable(value)


def table(rows: list[Row], columns: dict[str, str], title: str = "") -> Table:
    """Rows as a table; ``columns``: heading by field. Numbers stand to the right."""
    made = Table(title=title or None, title_justify="left", box=None, pad_edge=False, header_style="bold")
    for name, heading in columns.items():
        right = any(isinstance(r.get(name), int | float) and not isinstance(r.get(name), bool) for r in rows)
        made.add_column(heading, justify="right" if right else "left", overflow="fold")
    for r in rows:
        made.add_row(*(Text(plain(r.get(n))) for n in columns))
    return made


def show(*parts: Any) -> None:
    """Tables as wide as they need where the output is no terminal: a pipe has no width to fit in."""
    console = Console() if sys.stdout.isatty() else Console(width=200)
    for part in parts:
        console.print(part)


def shown(found: Row, what: str) -> str:
    last = found["first"] + len(found["rows"])
    return f"{found['first'] + 1}-{last} of {found['total']} {what}" if found["rows"] else f"no {what}"


NODES = {
    "address": "node", "zone": "zone", "kind": "kind", "state": "state", "mark": "", "warmth": "warmth", "out": "out",
    "slowness": "slow", "mean_ms": "mean ms", "ok": "ok", "bad": "bad", "last_bad": "last trouble",
}  # fmt: skip
PARTNERS = {
    "name": "partner", "plan": "plan", "served": "served", "refused": "refused", "failed": "failed", "left": "left",
    "units": "units", "store": "in store", "ceiling": "ceiling left", "out": "out",
}  # fmt: skip


def node_row(r: Row) -> Row:
    mark = "drained by hand" if r["by_hand"] else f"set aside: {r['aside']}" if r["aside"] else ""
    return {**r, "mark": mark}


def status_lines(s: Row) -> Table:
    ago = "never from its source" if s["list_age_ms"] is None else f"{s['list_age_ms'] / 1000:.1f} s ago"
    level = ("nothing is shed", "sheds connections", "sheds requests")[s["overload"]]
    rows = [
        ("ingress", f"{s['ingress']}, process {s.get('pid')}, version {s.get('version')}, since {s.get('since')}"),
        ("serving", "yes" if s["serving"] else f"NO: {s['why']}"),
        ("nodes", f"{s['nodes_ready']} ready of {s['nodes']}, list {ago}"),
        ("by hand", ", ".join(s["by_hand"]) or "none drained"),
        ("requests", f"{s['open_requests']} open, {s['attempts_out']} attempts out, {s['clients']} clients"),
        ("answers", ", ".join(f"{n} {k}" for k, n in s["answers"].items())),
        ("own load", f"turns come {s['loop_delay_ms']} ms late: {level}"),
        ("faults", str(s["faults"])),
    ]
    if (fleet := s.get("fleet")) is not None:
        alive = sum(m["state"] in ("alive", "suspect") for m in fleet["members"])
        sure = "in force" if fleet["current"] else "NOT surely in force"
        rows.append(("fleet", f"{alive} members, view {fleet['view']} {sure}" + ", in the chair" * fleet["chair"]))
    made = Table(box=None, show_header=False, pad_edge=False)
    for name, text in rows:
        made.add_row(name, Text(plain(text)))
    return made


@click.command()
@AS_JSON
@asks
def status(daemon: Daemon, as_json: bool) -> int:
    """How a running ingress stands. Exit code 1 where it does not serve."""
    found = daemon.ask("status")
    out_json(found) if as_json else show(status_lines(found))
    return 0 if found["serving"] else 1


@click.command()
@SEARCH
@click.option("--order", type=click.Choice(["address", "out", "failures", "slowness"]), default="address")
@FIRST
@COUNT
@AS_JSON
@asks
def nodes(daemon: Daemon, search: str, order: str, first: int, count: int, as_json: bool) -> None:
    """Dispatch nodes; SEARCH in address, zone, kind, state and why one is set aside."""
    found = daemon.ask("nodes", search=search, first=first, count=count, order=order)
    rows = [node_row(r) for r in found["rows"]]
    out_json(found) if as_json else show(table(rows, NODES), shown(found, "nodes"))


@click.command()
@SEARCH
@FIRST
@COUNT
@click.option("--heaviest", is_flag=True, help="Those who asked most in the last minutes.")
@AS_JSON
@asks
def partners(daemon: Daemon, search: str, first: int, count: int, heaviest: bool, as_json: bool) -> None:
    """Partners and their quotas; SEARCH in their names."""
    if heaviest:
        rows = daemon.ask("heaviest", count=count)
        out_json(rows) if as_json else show(table(rows, {**PARTNERS, "lately": "lately"}))
        return
    found = daemon.ask("partners", search=search, first=first, count=count)
    out_json(found) if as_json else show(table(found["rows"], PARTNERS), shown(found, "partners"))


@click.command()
@AS_JSON
@asks
def refusals(daemon: Daemon, as_json: bool) -> None:
    """Refusals by reason, since the start and in the last ten minutes."""
    rows = daemon.ask("refusals")["rows"]
    columns = {"reason": "reason", "lately": "last 10 min", "all": "since the start"}
    out_json(rows) if as_json else show(table(rows, columns))


@click.command()
@click.argument("search", default="")
@COUNT
@AS_JSON
@asks
def events(daemon: Daemon, search: str, count: int, as_json: bool) -> None:
    """What happened lately, newest first; SEARCH in causes and fields."""
    rows = daemon.ask("events", search=search, count=count)
    text = [{**r, "at": clock_time(r["at"]), "fields": words(r["fields"])} for r in rows]
    columns = {"at": "time", "level": "level", "cause": "event", "fields": ""}
    out_json(rows) if as_json else show(table(text, columns))


@click.command()
@click.argument("id")
@AS_JSON
@asks
def request(daemon: Daemon, id: str, as_json: bool) -> None:
    """What became of one request; its ID is in the data of a refusal or failure, and in the log."""
    found = daemon.ask("request", id=id)
    if as_json:
        out_json(found)
        return
    head = (
        f"{found['request']}: {found['class']} of {found['partner']}, connection {found['connection']}, "
        f"{found['kind']} {found['why']} after {found['took_ms']} ms"
    )
    columns = {"number": "attempt", "node": "node", "after_ms": "sent after ms"}
    columns |= {"result": "result", "took_ms": "took ms"}
    show(Text(plain(head)), table(found["attempts"], columns))


def _addresses(ctx: click.Context, _: click.Parameter, begun: str) -> list[str]:
    """Nodes' addresses for shell completion; none where no daemon can be asked."""
    try:
        daemon = Daemon(_socket(ctx.params.get("socket"), ctx.params.get("file")), 1.0)
        found = daemon.ask("nodes", search=begun, count=50)["rows"]
        daemon.close()
    except (NoDaemon, Refused, click.UsageError):
        return []
    return [r["address"] for r in found if r["address"].startswith(begun)]


@click.command()
@click.argument("address", shell_complete=_addresses)
@click.option("--readmit", is_flag=True, help="Back to what the list says of it.")
@asks
def drain(daemon: Daemon, address: str, readmit: bool) -> None:
    """Send nothing new to the node at ADDRESS, as if the list had said that it drains."""
    found = daemon.ask("readmit" if readmit else "drain", address=address)
    click.echo(f"{plain(found['address'])} is {found['state']}" + (", drained by hand" if found["by_hand"] else ""))


@click.command()
@AS_JSON
@asks
def reload(daemon: Daemon, as_json: bool) -> None:
    """Read the settings again and apply them, whole or not at all. Exit code 2 where they are not taken."""
    found = daemon.ask("reload")
    if as_json:
        out_json(found)
        return
    tell_changes(found["changes"])
    click.echo(f"reloaded, {len(found['changes'])} changes")


@click.command()
@click.option("--wait/--no-wait", default=True, help="Until it has ended.")
@asks
def stop(daemon: Daemon, wait: bool) -> int:
    """Take nothing new, answer what is open, end."""
    click.echo(f"stopping, {daemon.ask('stop')['open']} requests open")
    if not wait:
        return 0
    end = time.monotonic() + 60
    while time.monotonic() < end:
        try:
            Daemon(daemon.path, 1.0).close()
        except NoDaemon:
            return 0
        time.sleep(0.05)
    click.echo("it has not ended yet", err=True)
    return 1


@click.command()
@click.option("--once", is_flag=True, help="One frame, and the end.")
@click.option("--every", default=1.0, help="Seconds between two looks.")
@asks
def top(daemon: Daemon, once: bool, every: float) -> None:
    """A live view: the ingress, its rooms, its busiest nodes, its heaviest partners. Ends with Ctrl-C."""
    before: Row = {}

    def frame() -> Group:
        found = daemon.ask("overview")
        busy = daemon.ask("nodes", order="out", count=8)["rows"]
        now, answers = found["status"]["now_ms"], found["status"]["answers"]
        span = (now - before["now"]) / 1000 if before else 0.0
        rates = [
            {"end": k, "a second": round((n - before["answers"][k]) / span, 1) if span else None, "all": n}
            for k, n in answers.items()
        ]
        before.update(now=now, answers=answers)
        return Group(
            status_lines(found["status"]), "",
            table(rates, {"end": "answers", "a second": "a second", "all": "all"}), "",
            table(found["rooms"], {k: k for k in ("zone", "nodes", "ready", "aside", "out", "ok", "bad")}), "",
            table([node_row(r) for r in busy], {k: v for k, v in NODES.items() if k != "kind"}), "",
            table(found["heaviest"][:8], {k: v for k, v in PARTNERS.items() if k not in ("left", "units")}), "",
            table(found["refusals"]["rows"][:6], {"reason": "refused for", "lately": "last 10 min", "all": "all"}),
        )  # fmt: skip

    if once:
        show(frame())
        return
    with Live(frame(), screen=True, auto_refresh=False) as live:
        try:
            while True:
                time.sleep(every)
                live.update(frame(), refresh=True)
        except KeyboardInterrupt:
            return


def clock_time(ms: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(ms / 1000)) + f".{int(ms) % 1000:03d}"


def words(fields: Row) -> str:
    return " ".join(f"{k}={v}" for k, v in fields.items())


def add_to(group: click.Group) -> None:
    for command in (status, nodes, partners, refusals, events, request, drain, reload, stop, top):
        group.add_command(command)
