"""One play and its verdict, in a process of its own: ``python -m rushweir.lab.soak.play PROGRAM SEED FOLDER``."""

from __future__ import annotations

import asyncio
import sys
from bisect import bisect_right
from collections import defaultdict
from pathlib import Path

import orjson

from rushweir.lab.checker import Record, Verdict, check
from rushweir.lab.records import read_all
from rushweir.lab.soak.processes import Fault
from rushweir.lab.soak.run_play import RunPlay
from rushweir.lab.soak.scenario import PROGRAMS, SERVE, draw
from rushweir.lab.soak.serve_play import ServePlay

PLAY_LIMIT_S = 60.0  # a play ends after some ten seconds


def attribute_arrivals(records: list[Record]) -> None:
    """Gives arrivals over HTTP, which do not say who sent them, the ingress that their client had asked last."""
    asked: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for record in records:
        if record["e"] == "ask":
            asked[record["tag"]].append((record["t"], record["ingress"]))
    for record in records:
        if record["e"] == "arrive" and record["ingress"] < 0 and record["tag"] in asked:
            asks = asked[record["tag"]]
            record["ingress"] = asks[max(0, bisect_right(asks, (record["t"], 1 << 30)) - 1)][1]


def judge(folder: Path) -> tuple[Verdict, float]:
    """Returns the verdict on the records in a folder, and when they begin."""
    records = read_all(folder)
    attribute_arrivals(records)
    return check(records), records[0]["t"]


def report(verdict: Verdict, faults: list[Fault], start: float) -> dict:
    """Returns what a play found as a row."""
    breaches = [
        {"rule": rule, "at_s": round((breach.t - start) / 1000, 3), "text": breach.text}
        for rule, found in verdict.breaches.items() for breach in found
    ]  # fmt: skip
    breaches += [{"rule": 0, "at_s": round((f.at - start) / 1000, 3), "text": f.text} for f in faults]
    return {"judged": {str(rule): count for rule, count in verdict.judged.items()}, "breaches": breaches}


async def play_in_time(play: RunPlay | ServePlay) -> list[Fault]:
    """Plays. Where that takes longer than ``PLAY_LIMIT_S``, writes what each task waits for into the play's folder.

    Raises TimeoutError."""
    task = asyncio.create_task(play.play())
    done, _ = await asyncio.wait([task], timeout=PLAY_LIMIT_S)
    if not done:
        with open(play.folder / "stuck.txt", "w") as file:
            for each in asyncio.all_tasks():
                each.print_stack(file=file)
        task.cancel()
        raise TimeoutError(f"the play did not end in {PLAY_LIMIT_S:.0f} s; see {play.folder / 'stuck.txt'}")
    return task.result()


def main() -> int:
    """Plays, prints the row, and returns the exit status: 1 where something is broken."""
    program, seed, folder, command = sys.argv[1], int(sys.argv[2]), Path(sys.argv[3]), sys.argv[4:]
    if program not in PROGRAMS:
        print(f"usage: play {{{','.join(PROGRAMS)}}} SEED FOLDER [COMMAND...]", file=sys.stderr)
        return 2
    folder.mkdir(parents=True, exist_ok=True)
    kind = ServePlay if program == SERVE else RunPlay
    play = kind(draw(program, seed), folder, command or None)
    try:
        faults = asyncio.run(play_in_time(play))
    except (RuntimeError, TimeoutError) as problem:
        print(orjson.dumps({"judged": {}, "breaches": [{"rule": 0, "at_s": 0.0, "text": repr(problem)}]}).decode())
        return 1
    verdict, start = judge(folder)
    row = report(verdict, faults, start)
    row["killed"] = play.processes.killed
    print(orjson.dumps(row).decode())
    return 1 if row["breaches"] else 0


if __name__ == "__main__":
    sys.exit(main())
