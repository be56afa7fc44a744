"""Runs a case's play and turns its verdict into the exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0


def main(folder: Path, play: Callable[[Record, bool], Awaitable[list[str]]]) -> int:
    """Runs ``play(record, trouble)``, which returns the breaks of the rule; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, trouble), LIMIT_S))
    except Exception as problem:  # noqa: BLE001 - whatever it is, the case could not run
        traceback.print_exc()
        record.note("not_run", why=f"{type(problem).__name__}: {problem}")
        return NOT_RUN
    finally:
        record.file.flush()
    for line in breaks:
        record.note("rule_broken", what=line)
        print(line)
    record.note("verdict", trouble=trouble, breaks=len(breaks))
    record.close()
    print(f"{'broken' if breaks else 'held'}: {len(breaks)} breaks; trouble {'on' if trouble else 'off'}")
    return BROKEN if breaks else HELD


def run(file: str, play: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Runs the play of a case's script and exits."""
    sys.exit(main(Path(file).resolve().parent, play))
