"""The ledger's log: records that survive a kill, without I/O; store.py has the files.

    file    "RWCOSTS" version(1)  record*
    record  as frames.py has it; it says what becomes of a torn end, and of damage in the middle

A payload is a JSON array: ["open", rid, number, partner, route, guess, at, keyed], or ["step", event, rid, number,
state, amount, at].
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from rushweir.costs.ledger import Costs, Entry, Step
from rushweir.frames import FrameError, RecordFormat

VERSION = 1
MAGIC = b"RWCOSTS" + bytes([VERSION])
FRAMES = RecordFormat(MAGIC, 65_536)


class LogError(ValueError):
    """A log that can't be read: another format, or damage that is no torn end."""


def record(payload: Any) -> bytes:
    return FRAMES.frame(orjson.dumps(payload))


def opened(e: Entry) -> bytes:
    return record(["open", e.rid, e.number, e.partner, e.route, e.guess, e.at, e.keyed])


def stepped(s: Step, now: float) -> bytes:
    return record(["step", s.event, s.rid, s.number, s.state, s.amount, now])


def records(data: bytes) -> Iterator[tuple[int, Any]]:
    """Each whole record and where it ends. Raises LogError where the file is of another format."""
    try:
        for end, payload in FRAMES.payloads(data):
            yield end, orjson.loads(payload)
    except FrameError as problem:
        raise LogError(f"no ledger log: {problem}") from None


def good_end(data: bytes) -> int:
    """How many bytes of a log are good: up to its torn end. Raises LogError where whole records lie behind what is
    torn: then something else than a kill happened to the file, and cutting it would lose charges."""
    try:
        return FRAMES.valid_end(data)
    except FrameError as problem:
        raise LogError(str(problem)) from None


def replay(costs: Costs, data: bytes) -> int:
    """Do all of a log again on a ledger; how many records there were. Raises LogError."""
    count = 0
    for _, payload in records(data):
        count += 1
        try:
            kind, *rest = payload
            if kind == "open":
                rid, number, partner, route, guess, at, keyed = rest
                if (rid, number) not in costs.entries:
                    costs.open(at, rid, number, partner, route, guess, keyed)
            elif kind == "step":
                event, rid, number, state, amount, at = rest
                costs.apply(Step(event, rid, number, state, amount), at)
            else:
                raise ValueError(f"kind {kind!r}")
        except (ValueError, TypeError, KeyError) as problem:
            raise LogError(f"record {count}: {problem}") from None
    return count
