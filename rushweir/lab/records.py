"""What stand-ins and clients saw on their sockets: JSON lines, each with the machine's monotonic time in ms.

Records are the checker's only food. Each line is written at once, so that a process that is killed leaves
all that it saw; the monotonic clock is one for all processes of a machine.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson


def clock() -> float:
    return time.monotonic() * 1000.0


class Recorder:
    """A file of records; None as path keeps them in ``kept`` only, for tests."""

    def __init__(self, path: Path | None) -> None:
        self.fd = None if path is None else os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY, 0o644)
        self.kept: list[dict[str, Any]] = []

    def note(self, event: str, **fields: Any) -> None:
        """Note an event; ``t`` among the fields sets its time where that is not now."""
        record = {"t": round(clock(), 3), "e": event, **fields}
        if self.fd is None:
            self.kept.append(record)
        else:
            os.write(self.fd, orjson.dumps(record) + b"\n")

    def close(self) -> None:
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None


LOOP_INTERVAL_MS, MIN_LOOP_DELAY_MS = 10.0, 20.0


async def record_loop_delays(records: Recorder, process: str) -> None:
    """Records for how long this process's event loop was held up (``loop_held``), by itself or since the machine gave
    it no core. What it sent or read meanwhile has the time at which it came to it. Runs until it is cancelled."""
    while True:
        before = clock()
        await asyncio.sleep(LOOP_INTERVAL_MS / 1000)
        delay = clock() - before - LOOP_INTERVAL_MS
        if delay > MIN_LOOP_DELAY_MS:
            records.note("loop_held", process=process, ms=round(delay, 1))


def read(path: Path) -> Iterator[dict[str, Any]]:
    """The records of a file. A last line that is torn is left out; any other bad line raises ValueError."""
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            try:
                record = orjson.loads(line)
            except orjson.JSONDecodeError:
                if not line.endswith(b"\n"):
                    return
                raise ValueError(f"{path}:{number}: not a record") from None
            if not isinstance(record, dict) or type(record.get("t")) not in (int, float) or "e" not in record:
                raise ValueError(f"{path}:{number}: a record has t and e")
            yield record


def read_all(folder: Path) -> list[dict[str, Any]]:
    """All records under a folder, in order of time."""
    found = [r for path in sorted(folder.glob("*.jsonl")) for r in read(path)]
    found.sort(key=lambda r: r["t"])
    return found
