"""Processes of the laboratory: a fleet of nodes, and a crowd. Commands as JSON lines on standard input, answers
on standard output; the end of the input ends the process."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.day import Day, DayClass, DayNode, DayPlan, Trouble
from rushweir.lab.records import Recorder, record_loop_delays
from rushweir.lab.standins.crowd import Crowd
from rushweir.lab.standins.model import Meter, NodeKind
from rushweir.lab.standins.node import Fleet
from rushweir.lab.traffic import Planned


def pack_day(day: Day) -> dict[str, Any]:
    return orjson.loads(orjson.dumps(day))


def unpack_day(o: dict[str, Any]) -> Day:
    day = Day(**{**o, "nodes": [], "classes": [], "plans": [], "troubles": []})
    day.rooms, day.ingress_rooms = tuple(o["rooms"]), tuple(o["ingress_rooms"])
    day.heavy_x, day.spike_x, day.spike_s = tuple(o["heavy_x"]), tuple(o["spike_x"]), tuple(o["spike_s"])
    day.nodes = [DayNode(**{**n, "kind": NodeKind(**n["kind"])}) for n in o["nodes"]]
    day.classes = [DayClass(**c) for c in o["classes"]]
    day.plans = [DayPlan(**p) for p in o["plans"]]
    day.troubles = [Trouble(**{**t, "on": tuple(t["on"])}) for t in o["troubles"]]
    if o["traffic"] is not None:
        day.traffic = [Planned(**p) for p in o["traffic"]]
    return day


async def lines() -> Any:
    """Standard input, line by line, without blocking the loop."""
    reader = asyncio.StreamReader(limit=1 << 28)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield orjson.loads(line)


def say(**fields: Any) -> None:
    sys.stdout.buffer.write(orjson.dumps(fields) + b"\n")
    sys.stdout.buffer.flush()


async def fleet(first: dict[str, Any]) -> None:
    """The nodes of a day. Commands: fault, kill, up; each names nodes by number."""
    records = Recorder(Path(first["records"]))
    day = unpack_day(first["day"])
    quotas = {name: p.rate for name, p in day.partner_names()}
    meter = Meter(day.meter, day.meter_late, quotas) if day.meter else None
    nodes = Fleet(records, day.key_window, meter)
    for k, n in enumerate(day.nodes):
        await nodes.add(n.room, n.kind, day.seed * 1000 + k)
    say(ready=[n.address for n in nodes.nodes])
    async for command in lines():
        for k in command.get("nodes", ()):
            node = nodes.nodes[k]
            if command["do"] == "fault":
                if node.model is not None:
                    if command["name"] in ("silent", "cut") and command["value"]:
                        records.note("fault", node=node.address, name=command["name"])
                    node.fault(command["name"], command["value"])
            elif command["do"] == "kill":
                if node.model is not None:
                    node.kill()
            elif command["do"] == "up" and node.model is None:
                await node.up(cold=True)
        states = {
            n.address: {
                "up": n.model is not None, "since": n.online_since, "served": n.served,
                "running": len(n.model.running) if n.model else 0, "waiting": len(n.model.waiting) if n.model else 0,
            }
            for n in nodes.nodes
        }  # fmt: skip
        say(states=states, number=command.get("number"))
    nodes.close()
    records.close()


async def crowd(first: dict[str, Any]) -> None:
    """The clients of a day. Commands: leave, stop."""
    records = Recorder(Path(first["records"]))
    people = Crowd(unpack_day(first["day"]), records, first["urls"], first["credentials"], first["start"])
    await people.connect()
    say(ready=True)

    async def figures() -> None:
        while True:
            await asyncio.sleep(0.5)
            say(counts=dict(people.counts))

    async def commands() -> None:
        async for command in lines():
            if command["do"] == "leave":
                people.leave(tuple(command["on"]), command["share"])
            elif command["do"] == "stop":
                return

    side = [asyncio.create_task(figures()), asyncio.create_task(commands())]
    side.append(asyncio.create_task(record_loop_delays(records, "clients")))
    play = asyncio.create_task(people.play())
    await asyncio.wait([play, side[1]], return_when=asyncio.FIRST_COMPLETED)
    for task in (*side, play):
        task.cancel()
    await asyncio.gather(*side, play, return_exceptions=True)
    await people.close()
    say(counts=dict(people.counts), ended=True)
    records.close()


def main() -> None:
    first = orjson.loads(sys.stdin.buffer.readline())
    asyncio.run({"fleet": fleet, "crowd": crowd}[sys.argv[1]](first))


if __name__ == "__main__":
    main()
