"""How long a fold of the log holds the loop of a control process, and those who wait for an answer, at a size.

Three real ``rushweir control`` processes on loopback get the objects, then changes of one object each by ten
operators, until the log was folded some times. In each process each turn's callbacks are timed: by the clock, and by
the loop's own processor time, which leaves out what other processes of a busy machine took. Answers are timed
at the operators' sockets, and told apart by whether the leader's log was being folded in that second.

    .venv/bin/python -m benchmarks.control_fold [--objects 25300] [--seconds 90] [--json FILE]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from base64 import b64encode
from pathlib import Path
from typing import Any

COUNT, OPERATORS, DATA = 3, 10, 100  # DATA: bytes of an object
AT_ONCE = 1_000  # objects in one step of the first ones
LINE = 1 << 24


def timed(words: list[str], to: Path) -> None:
    """A control process as it is, with each callback of its loop timed."""
    from asyncio import events

    rows: list[tuple[float, float, float, str]] = []  # when, wall and CPU in ms, what
    run, begun = events.Handle._run, [0.0, 0.0]

    def collects(phase: str, facts: dict[str, int]) -> None:
        """In whichever thread: the others wait for it."""
        now = time.perf_counter(), time.thread_time()
        if phase == "start":
            begun[:] = now
        elif (took := (now[0] - begun[0]) * 1000) >= 2.0:
            what = f"collector, generation {facts['generation']}"
            rows.append((time.time(), took, (now[1] - begun[1]) * 1000, what))

    gc.callbacks.append(collects)

    def _run(handle: Any) -> None:
        cpu, wall = time.thread_time(), time.perf_counter()
        run(handle)
        took = (time.perf_counter() - wall) * 1000
        if took >= 2.0:
            rows.append((time.time(), took, (time.thread_time() - cpu) * 1000, _what(handle)))

    events.Handle._run = _run
    from rushweir.cli.main import main

    sys.argv = ["rushweir", *words]
    try:
        main()
    finally:
        to.write_text(json.dumps(rows))


def _what(handle: Any) -> str:
    call = handle._callback
    owner = getattr(call, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {owner.get_coro().__qualname__}"
    return getattr(call, "__qualname__", repr(call))


def ports() -> list[int]:
    found: list[int] = []
    while len(found) < COUNT:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in found:
                found.append(port)
    return found


class Operator:
    """One connection to a control process's socket."""

    def __init__(self, path: Path) -> None:
        self.path = path

    async def ask(self, method: str, **params: Any) -> Any:
        if not hasattr(self, "writer"):
            self.reader, self.writer = await asyncio.open_unix_connection(str(self.path), limit=LINE)
        call = {"jsonrpc": "2.0", "id": 1, "method": method, "params": params}
        self.writer.write(json.dumps(call).encode() + b"\n")
        told = json.loads(await self.reader.readline())
        if "error" in told:
            raise RuntimeError(told["error"])
        return told["result"]


def row(n: int) -> list[str]:
    return ["partner", f"partner-{n:05d}", b64encode(os.urandom(DATA)).decode()]


class Run:
    def __init__(self, folder: Path, objects: int, seconds: float) -> None:
        self.folder, self.objects, self.seconds = folder, objects, seconds
        self.answers: list[tuple[float, float]] = []  # when asked, ms
        self.floors: list[tuple[float, int, int]] = []  # when, process, floor
        self.leaders: set[int] = set()
        self.terms: set[int] = set()
        self.over = False

    async def play(self) -> dict[str, Any]:
        where = ports()
        for k in range(COUNT):
            key = self.folder / f"{k}.key"
            key.write_bytes(b"k" * 32)
            key.chmod(0o600)
            text = "".join(f"process {n} 127.0.0.1:{port}\n" for n, port in enumerate(where))
            text += f"control {k}\nstate state-{k}\nkey-file {k}.key\nsocket {k}.sock\n"
            (self.folder / f"{k}.conf").write_text(text)
        processes = []
        for k in range(COUNT):
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "benchmarks.control_fold", "--process", str(self.folder / f"{k}.json"),
                    "control", str(self.folder / f"{k}.conf"), "--new", stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )  # fmt: skip
        try:
            for process in processes:
                await asyncio.wait_for(process.stdout.readline(), 30)
            return await self._work(processes)
        finally:
            for process in processes:
                if process.returncode is None:
                    process.send_signal(signal.SIGTERM)
                    await process.wait()

    async def _work(self, processes: list[Any]) -> dict[str, Any]:
        first = Operator(self.folder / "0.sock")
        for begin in range(0, self.objects, AT_ONCE):
            rows = [row(n) for n in range(begin, min(self.objects, begin + AT_ONCE))]
            while (await first.ask("propose", changes=rows, author="b"))["number"] is None:
                await asyncio.sleep(0.2)
        begin = time.time()
        looks = [asyncio.create_task(self._look(k)) for k in range(COUNT)]
        asks = [asyncio.create_task(self._asks(k)) for k in range(OPERATORS)]
        await asyncio.sleep(self.seconds)
        self.over = True
        await asyncio.gather(*looks, *asks)
        for process in processes:
            process.send_signal(signal.SIGTERM)
            await process.wait()
        return self._told(begin)

    async def _asks(self, k: int) -> None:
        operator = Operator(self.folder / f"{k % COUNT}.sock")
        while not self.over:
            at = time.time()
            told = await operator.ask("propose", changes=[row(random.randrange(self.objects))], author="b")
            if told["number"] is None:
                raise RuntimeError(told["why"])
            self.answers.append((at, (time.time() - at) * 1000))

    async def _look(self, k: int) -> None:
        operator = Operator(self.folder / f"{k}.sock")
        while not self.over:
            told = await operator.ask("status")
            self.leaders.add(told["leader"])
            self.terms.add(told["term"])
            self.floors.append((time.time(), k, told["floor"]))
            await asyncio.sleep(0.05)

    def _told(self, begin: float) -> dict[str, Any]:
        holds = {k: [r for r in json.loads((self.folder / f"{k}.json").read_text()) if r[0] >= begin]
                 for k in range(COUNT)}  # fmt: skip
        folds = {k: self._folds(k) for k in range(COUNT)}
        leader = next(iter(self.leaders))
        near = [ms for at, ms in self.answers if any(at - 0.6 <= f <= at + ms / 1000 + 0.6 for f in folds[leader])]
        far = [ms for at, ms in self.answers if not any(at - 0.6 <= f <= at + ms / 1000 + 0.6 for f in folds[leader])]
        worst = {
            k: [(round(wall, 1), round(cpu, 1), what, self._near(at, folds[k]))
                for at, wall, cpu, what in sorted(rows, key=lambda r: -r[2])[:5]]
            for k, rows in holds.items()
        }  # fmt: skip
        return {
            "objects": self.objects, "changes": len(self.answers), "leaders": sorted(self.leaders),
            "terms": len(self.terms), "folds": {k: len(f) for k, f in folds.items()},
            "answers_ms": {"near a fold": spread(near), "else": spread(far)},
            "worst holds: wall ms, CPU ms, callback, s from a fold": worst,
        }  # fmt: skip

    def _folds(self, k: int) -> list[float]:
        rows = [(at, floor) for at, of, floor in self.floors if of == k]
        grew = [b[0] for a, b in zip(rows, rows[1:], strict=False) if b[1] > a[1]]
        return [at for before, at in zip([0.0, *grew], grew, strict=False) if at - before > 1.0]  # not each slice

    @staticmethod
    def _near(at: float, folds: list[float]) -> float | None:
        return min((round(abs(at - f), 2) for f in folds), default=None)


def spread(values: list[float]) -> dict[str, float]:
    values = sorted(values)
    if not values:
        return {"n": 0}
    return {"n": len(values), "half": round(values[len(values) // 2], 1),
            "99 in 100": round(values[len(values) * 99 // 100], 1), "most": round(values[-1], 1)}  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--objects", type=int, default=25_300)
    parser.add_argument("--seconds", type=float, default=90.0)
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        told = asyncio.run(Run(Path(folder), given.objects, given.seconds).play())
    text = json.dumps(told, indent=1)
    if given.json:
        given.json.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--process"]:
        timed(sys.argv[3:], Path(sys.argv[2]))
    else:
        main()
