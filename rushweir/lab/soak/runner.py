"""Plays many seeds, some at a time, and prints what broke and the command that plays it again."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.soak.scenario import draw

PROCESS_LIMIT_S = 120.0  # for the process of a play, which ends it after half of that


@dataclass(frozen=True, slots=True)
class Order:
    """What to play. ``sabotage``: a fault of lab/sabotage.py that all ingresses have."""

    programs: tuple[str, ...]
    seeds: range
    jobs: int
    keep: Path | None
    sabotage: str = ""


class Soak:
    """One soak: its plays run in process groups of their own, which are ended with it."""

    def __init__(self, order: Order, folder: Path, say: Callable[[str], None]) -> None:
        self.order, self.folder, self.say = order, folder, say
        self.rows: list[dict[str, Any]] = []
        self.running: set[asyncio.subprocess.Process] = set()

    async def run(self) -> None:
        """Plays all seeds of all programs."""
        waiting = [(program, seed) for program in self.order.programs for seed in self.order.seeds]
        waiting.reverse()

        async def work() -> None:
            while waiting:
                await self._play(*waiting.pop())

        workers = [asyncio.create_task(work()) for _ in range(self.order.jobs)]
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, lambda: [w.cancel() for w in workers])
        try:
            await asyncio.gather(*workers)
        finally:
            for process in list(self.running):
                await self._end(process)

    async def _play(self, program: str, seed: int) -> None:
        folder = self.folder / f"{program}-{seed}"
        command = [sys.executable, "-m", "rushweir.lab.soak.play", program, str(seed), str(folder)]
        if self.order.sabotage:
            command += [sys.executable, "-m", "rushweir.lab.sabotage", self.order.sabotage, program]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE, start_new_session=True
        )
        self.running.add(process)
        try:
            output, errors = await asyncio.wait_for(process.communicate(), PROCESS_LIMIT_S)
            row = self._row(output, errors, process.returncode)
        except TimeoutError:
            row = {"judged": {}, "breaches": [{"rule": 0, "at_s": PROCESS_LIMIT_S, "text": "the play did not end"}]}
        finally:
            await self._end(process)
        self.rows.append({"program": program, "seed": seed, "scenario": repr(draw(program, seed)), **row})
        self._tell(program, seed, row)
        if self.order.keep is None and not row["breaches"]:
            shutil.rmtree(folder, ignore_errors=True)

    @staticmethod
    def _row(output: bytes, errors: bytes, status: int | None) -> dict[str, Any]:
        with contextlib.suppress(orjson.JSONDecodeError, IndexError):
            return orjson.loads(output.strip().splitlines()[-1])
        text = f"the play ended with {status}: {errors.decode(errors='replace')[-300:]}"
        return {"judged": {}, "breaches": [{"rule": 0, "at_s": 0.0, "text": text}]}

    async def _end(self, process: asyncio.subprocess.Process) -> None:
        """Ends a play and all that it started, which are one process group."""
        self.running.discard(process)
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        await process.wait()

    def _tell(self, program: str, seed: int, row: dict[str, Any]) -> None:
        if not row["breaches"]:
            return
        self.say(f"{program} seed {seed}: BROKEN, again with: {again(program, seed)}")
        for breach in row["breaches"][:5]:
            what = f"rule {breach['rule']}" if breach["rule"] else "process"
            self.say(f"    {what} at {breach['at_s']:8.3f} s: {breach['text']}")


def again(program: str, seed: int) -> str:
    """Returns the command that plays a seed again."""
    return f"python -m rushweir lab soak --program {program} --seeds {seed}-{seed}"


def summary(rows: list[dict[str, Any]], took_s: float) -> list[str]:
    """Returns a line for each program."""
    lines = []
    for program in sorted({row["program"] for row in rows}):
        plays = [row for row in rows if row["program"] == program]
        judged = sum(row["judged"].get("1", 0) for row in plays)
        broken = [row["seed"] for row in plays if row["breaches"]]
        killed = sum(row.get("killed", 0) for row in plays)
        named = f" (seeds {', '.join(map(str, sorted(broken)))})" if broken else ""
        lines.append(
            f"{program}: {len(plays)} plays, {judged} requests judged, {killed} processes killed after their time, "
            f"{len(broken)} broken{named}"
        )
    return [*lines, f"{took_s:.0f} s"]


def run(order: Order, file: Path | None, say: Callable[[str], None]) -> int:
    """Plays, prints, and returns the exit status: 1 where something broke, 130 where it was interrupted."""
    began = time.monotonic()
    with contextlib.ExitStack() as stack:
        folder = order.keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rushweir-soak-")))
        soak = Soak(order, folder, say)
        try:
            asyncio.run(soak.run())
        except asyncio.CancelledError:
            say("interrupted")
            return 130
        for line in summary(soak.rows, time.monotonic() - began):
            say(line)
        if file is not None:
            file.write_bytes(orjson.dumps(soak.rows, option=orjson.OPT_INDENT_2))
        return 1 if any(row["breaches"] for row in soak.rows) else 0
