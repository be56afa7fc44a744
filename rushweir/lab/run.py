"""Play a day through real ingresses: processes, troubles, a live table, a report, a verdict."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from rushweir.lab.day import Day
from rushweir.lab.records import clock
from rushweir.lab.report import report
from rushweir.lab.stage import Stage
from rushweir.lab.troubles import Troubles


def table(stage: Stage) -> Group:
    """What a day looks like now."""
    counts: dict[str, int] = stage.crowd.last.get("counts", {}) if stage.crowd else {}
    now = (clock() - stage.start_at) / 1000
    service = Table(title=f"{stage.day.name}: {max(0.0, now):5.1f} s of {stage.day.length / 1000:g} s", expand=False)
    for column in ("class", "asked", "in time", "late", "refused", "failed", "other"):
        service.add_column(column, justify="left" if column == "class" else "right")
    by: dict[str, Counter[str]] = {c.name: Counter() for c in stage.day.classes}
    for name, n in counts.items():
        what, _, rest = name.partition("/")
        cls = rest.split("/")[0]
        if cls in by:
            by[cls][what] += n
    for cls, c in by.items():
        other = sum(n for what, n in c.items() if what not in ("asked", "good", "late", "refused", "failed"))
        service.add_row(cls, *(str(c[w]) for w in ("asked", "good", "late", "refused", "failed")), str(other))
    nodes = Table(expand=False)
    for column in ("node", "room", "list", "in work", "waiting", "served"):
        nodes.add_column(column)
    states = stage.fleet.last.get("states", {}) if stage.fleet else {}
    for address, node in zip(stage.addresses, stage.day.nodes, strict=True):
        listed = stage.list.servers.get(address)
        s = states.get(address, {})
        up = "" if s.get("up", True) else " (down)"
        nodes.add_row(address, node.room, (listed.state.value if listed else "gone") + up,
                      *(str(s.get(x, "")) for x in ("running", "waiting", "served")))  # fmt: skip
    events = "\n".join(f"{t / 1000:6.1f} s  {text}" for t, text in stage.events[-8:])
    whys = ", ".join(f"{k[4:]} {n}" for k, n in sorted(counts.items()) if k.startswith("why/"))
    return Group(service, f"refusals: {whys or 'none'}", nodes, events)


async def run_day(day: Day, folder: Path, plain: bool, serve: list[str] | None = None) -> Stage:
    """Play a day to its end; its records are then in the folder."""
    stage = Stage(day, folder, serve)
    console = Console()
    live = None
    try:
        await stage.up()
        await stage.start_crowd()
        if not plain and console.is_terminal:
            live = Live(table(stage), console=console, refresh_per_second=4, transient=True)
            live.start()
        troubles = asyncio.create_task(Troubles(stage).play())
        end = time.monotonic() + day.length / 1000 + 30.0
        while not stage.crowd.ended.is_set() and time.monotonic() < end:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stage.crowd.ended.wait(), 0.5)
            stage.fleet.tell({"do": "look", "nodes": []})
            if live is not None:
                live.update(table(stage))
            for k, process in stage.ingresses.items():
                if process.returncode not in (None, -signal.SIGKILL) and k not in stage.retired:
                    raise RuntimeError(f"ingress {k} ended by itself; see {folder / 'errors.txt'}")
        troubles.cancel()
    finally:
        if live is not None:
            live.stop()
        await stage.end()
    return stage


def play(day: Day, keep: Path | None, plain: bool = False, serve: list[str] | None = None) -> int:
    """Play a day, report, judge; returns the exit code."""
    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rushweir-")))
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.glob("*.jsonl")):
            print(f"{folder}: holds records of another day", file=sys.stderr)
            return 2
        try:
            asyncio.run(run_day(day, folder, plain, serve))
        except RuntimeError as problem:
            print(f"lab: {problem}", file=sys.stderr)
            errors = folder / "errors.txt"
            if errors.exists():
                print(errors.read_text()[-2000:], file=sys.stderr)
            return 1
        text, kept = report(folder, day)
        print(text)
        return 0 if kept else 1


def hold_up(day: Day, keep: Path | None) -> int:
    """Keep a fleet up and say how to reach it, its consoles and its sockets, until Ctrl-C."""

    async def main(folder: Path) -> None:
        users = {"demo": secrets.token_urlsafe(9)}
        stage = Stage(day, folder, users=users)
        stop = asyncio.Event()
        for sign in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(sign, stop.set)
        try:
            await stage.up()
            for k, url in enumerate(stage.urls):
                print(f"ingress {k} {url}", flush=True)
            name = next(n for n, p in reversed(day.partner_names()) if p.spread in (0, day.ingresses))
            print(f"credential {stage.credentials[name]}", flush=True)
            for k in range(day.ingresses):
                where = (await stage.ask(k, "status"))["console"]
                print(f"console {k} {where} user demo password {users['demo']}", flush=True)
                print(f"socket {k} {stage.socket(k)}", flush=True)
            await stop.wait()
        finally:
            await stage.end()

    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rushweir-")))
        folder.mkdir(parents=True, exist_ok=True)
        os.chmod(folder, 0o700)
        asyncio.run(main(folder))
    return 0
