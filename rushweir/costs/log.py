"""The ledger's append-only log: records that survive a kill, without I/O; store.py has the files.

    file    "RWCOSTS" version(1)  record*
    record  defined in frames.py, which also says how a torn end and damage in the middle are treated

A payload is a JSON array: ["open", request id, attempt, partner, route, estimate, time, keyed], or ["step", event,
request id, attempt, state, amount, time].
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from rushweir.costs.ledger import CostLedger, Entry, Transition
from rushweir.frames import FrameError, RecordFormat

VERSION = 1
MAGIC = b"RWCOSTS" + bytes([VERSION])
FRAMES = RecordFormat(MAGIC, 65_536)


class LogError(ValueError):
    """An invalid log: of another format, or damaged elsewhere than at a torn end."""


def encode(payload: Any) -> bytes:
    """A record with a payload of JSON values."""
    return FRAMES.frame(orjson.dumps(payload))


def encode_open(entry: Entry) -> bytes:
    """The record of an entry that is opened."""
    return encode(
        [
            "open",
            entry.request_id,
            entry.attempt,
            entry.partner,
            entry.route,
            entry.estimate,
            entry.since,
            entry.keyed,
        ]
    )


def encode_transition(transition: Transition, now: float) -> bytes:
    """The record of a transition."""
    return encode(
        [
            "step",
            transition.event,
            transition.request_id,
            transition.attempt,
            transition.state,
            transition.amount,
            now,
        ]
    )


def records(data: bytes) -> Iterator[tuple[int, Any]]:
    """The end offset and payload of each complete record. Raises LogError if the file is of another format."""
    try:
        for end, payload in FRAMES.payloads(data):
            yield end, orjson.loads(payload)
    except FrameError as problem:
        raise LogError(f"not a ledger log: {problem}") from None


def valid_end(data: bytes) -> int:
    """The number of valid bytes of a log, up to its torn end.

    Raises LogError if complete records follow what looks torn: then something else than a kill happened to the file,
    and truncating it would lose charges.
    """
    try:
        return FRAMES.valid_end(data)
    except FrameError as problem:
        raise LogError(str(problem)) from None


def replay(ledger: CostLedger, data: bytes) -> int:
    """Replay a log on a ledger; returns the number of records. Raises LogError."""
    count = 0
    for _, payload in records(data):
        count += 1
        try:
            kind, *rest = payload
            if kind == "open":
                request_id, attempt, partner, route, estimate, at, keyed = rest
                if (request_id, attempt) not in ledger.entries:
                    ledger.open(at, request_id, attempt, partner, route, estimate, keyed)
            elif kind == "step":
                event, request_id, attempt, state, amount, at = rest
                ledger.apply(Transition(event, request_id, attempt, state, amount), at)
            else:
                raise ValueError(f"unknown kind {kind!r}")
        except (ValueError, TypeError, KeyError) as problem:
            raise LogError(f"record {count}: {problem}") from None
    return count
