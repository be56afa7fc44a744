"""Processes of the scale run: hollow ingresses, real ones, backends, the list, clients, what is only counted.

Commands come as JSON lines on standard input, answers go out as lines with the command's number, news without one.
The end of the input ends the process and all that it started: it comes also where the parent was killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import AsyncIterator
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import orjson

from rushweir.config import Config
from rushweir.config.load import load_text
from rushweir.ingress.shell import calm_collector
from rushweir.lab.bench_load import Relay, drive, rss_kb
from rushweir.lab.scale.hollow import Hollow
from rushweir.lab.scale.scene import Scene

END_S = 6.0  # for a real ingress to end by itself


async def lines() -> AsyncIterator[dict[str, Any]]:
    """Standard input, line by line, without blocking the loop."""
    reader = asyncio.StreamReader(limit=1 << 28)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield orjson.loads(line)


def say(**fields: Any) -> None:
    with contextlib.suppress(BrokenPipeError):
        sys.stdout.buffer.write(orjson.dumps(fields, option=orjson.OPT_NON_STR_KEYS) + b"\n")
        sys.stdout.buffer.flush()


def process_figures() -> dict[str, Any]:
    return {"at": time.monotonic(), "cpu_s": time.process_time(), "rss_kb": rss_kb(os.getpid())}


async def hollow(first: dict[str, Any]) -> None:
    """Hollow ingresses. Commands: go (all at once), drive (so many requests a second each), read."""
    scene, folder = Scene(**first["scene"]), Path(first["folder"])
    watched = [tuple(a) for a in first["watched"]]
    config = load_text(first["settings"], "scale.conf", folder / "common")
    calm_collector()
    tail = scene.tail()
    empty_kb = rss_kb(os.getpid())
    loop, ending, told = asyncio.get_running_loop(), asyncio.Event(), None
    members: dict[int, Hollow] = {}

    def moved() -> None:  # many members move at once: one line for them
        nonlocal told
        if told is None:
            told = loop.call_later(0.1, tell)

    def tell() -> None:
        nonlocal told
        told = None
        states = [m.state() for m in members.values()]
        say(
            open=sum(s["open"] for s in states), views=sorted({s["view"] for s in states}),
            seats=min(s["seats"] for s in states), at=max(s["at"] for s in states),
            ended=[m.ended for m in members.values() if m.ended],
        )  # fmt: skip

    for place, bind in first["places"]:
        own, seed = folder / f"hollow-{place}", scene.seed * 100_000 + place
        members[place] = Hollow(place, _bound_to(config, tuple(bind)), own, seed, watched, moved, scene, tail)
    say(ready=True)
    tasks = set()
    async for command in lines():
        number = command.get("number")
        if command["do"] == "go":
            tasks |= {loop.create_task(m.run(ending)) for m in members.values()}
            for task in tasks:
                task.add_done_callback(lambda t: t.exception() is None or say(failed=repr(t.exception())))
            say(number=number)
        elif command["do"] == "drive":
            for m in members.values():
                m.drive(command["per_s"])
            say(number=number)
        elif command["do"] == "read":
            found = [m.dump() for m in members.values() if m.shell is not None]
            say(number=number, members=found, empty_kb=empty_kb, **process_figures())
    os._exit(0)  # nothing is to be given back, and hundreds of members would take their time for it


def _bound_to(config: Config, bind: tuple[str, int]) -> Config:
    peers = config.file.peers.model_copy(update={"bind": bind})
    return replace(config, file=config.file.model_copy(update={"peers": peers}))


async def reals(first: dict[str, Any]) -> None:
    """Processes of ``rushweir serve``, one for each settings file. Command: read."""
    started = []
    with open(first["errors"], "ab") as errors:
        for file in first["files"]:
            started.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "rushweir",
                    "serve",
                    "--log",
                    "json",
                    file,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=errors,
                )  # fmt: skip
            )
    say(ready=[p.pid for p in started])

    async def listens(k: int) -> None:
        say(place=k, listens=(await started[k].stdout.readline()).decode().strip())

    waiting = [asyncio.create_task(listens(k)) for k in range(len(started))]
    try:
        async for command in lines():
            if command["do"] == "read":
                found = [real_figures(p.pid) for p in started]
                say(number=command["number"], processes=found, at=time.monotonic())
    finally:
        for process in started:
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
        for process in started:
            try:
                await asyncio.wait_for(process.wait(), END_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        for task in waiting:
            task.cancel()
    if any(p.returncode for p in started):
        sys.exit(1)  # one did not end by itself, or not well


def real_figures(pid: int) -> dict[str, Any]:
    fds = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    return {"cpu_s": cpu_ns_s(pid), "rss_kb": rss_kb(pid), "fds": fds}


def cpu_ns_s(pid: int) -> float:
    """CPU seconds that a process has used, all its threads, from the scheduler's account: ticks are too coarse."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((t / "schedstat").read_text().split()[0]) for t in tasks) / 1e9


async def backends(first: dict[str, Any]) -> None:
    """Nodes, many listening addresses to a process."""
    from rushweir.lab.scale.nodes import HollowNode

    nodes = [HollowNode(first["seed"] + k, first.get("work_ms")) for k in range(first["count"])]
    for node in nodes:
        await node.listen()
    say(ready=[f"127.0.0.1:{n.port}" for n in nodes])
    async for command in lines():
        served = sum(n.served for n in nodes)
        say(number=command["number"], served=served, **process_figures())
    os._exit(0)


async def listing(first: dict[str, Any]) -> None:
    """The list. Commands: change (so many a second from now on), zone (a part of the list at once), read."""
    from rushweir.lab.scale.nodes import Listing

    source = Listing(first["servers"], first["zones"], lambda count: say(watchers=count))
    say(ready=await source.listen())
    changing = None
    async for command in lines():
        if command["do"] == "change":
            if changing is not None:
                changing.cancel()
            per_s = command["per_s"]
            changing = asyncio.create_task(source.change(per_s)) if per_s else None
        elif command["do"] == "zone":
            source.zone(command["zone"], command["state"])
        say(number=command["number"], **source.figures(), **process_figures())
    os._exit(0)


async def crowd(first: dict[str, Any]) -> None:
    """Clients of real ingresses, drawn by the same law. Commands: drive, read."""
    from rushweir.lab.scale.nodes import Crowd

    people = Crowd(Scene(**first["scene"]), first["urls"], first["numbers"], first["credentials"])
    say(ready=True)
    async for command in lines():
        if command["do"] == "drive":
            people.drive(command["per_s"])
        say(number=command["number"], counts=dict(people.counts), **process_figures())
    os._exit(0)


async def relay(first: dict[str, Any]) -> None:
    """The bare relay of the bench, beside which an ingress is measured. Command: read."""
    passing = Relay(*first["node"].rsplit(":", 1), "/node")
    say(ready=await passing.listen())
    async for command in lines():
        say(number=command["number"], **process_figures())
    os._exit(0)


async def driver(first: dict[str, Any]) -> None:
    """Clients at a steady rate. Command: drive (one run, whose figures are the answer)."""
    say(ready=True)
    async for c in lines():
        told = await drive(c["url"], c["credential"], c["per_s"], c["seconds"], c["clients"], c["method"])
        say(number=c["number"], **told)
    os._exit(0)


def count(first: dict[str, Any]) -> None:
    """What is only counted of a role at a size, on the main thread; the input is watched by another."""
    from rushweir.lab.scale.registry import roles

    def watch() -> None:
        while sys.stdin.buffer.readline():
            pass
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()
    say(ready=True)
    try:
        say(samples=[asdict(s) for s in roles()[first["role"]].counted(first["size"])])
    except Exception as problem:  # noqa: BLE001 - whatever it is, it is told and named there
        say(failed=f"{type(problem).__name__}: {problem}")
    os._exit(0)


KINDS = {
    "hollow": hollow, "reals": reals, "backends": backends, "listing": listing, "crowd": crowd, "relay": relay,
    "driver": driver,
}  # fmt: skip


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's affair, which then closes the pipe
    first = orjson.loads(sys.stdin.buffer.readline())
    if planted := first.get("plants"):
        from rushweir.lab.scale.plants import plant

        plant(planted)
    if sys.argv[1] == "count":
        count(first)
    else:
        asyncio.run(KINDS[sys.argv[1]](first))


if __name__ == "__main__":
    main()
