"""The ledger's log: records that survive a kill, without I/O; store.py has the files.

    file    "RWCOSTS" version(1)  record*
    record  length(4) crc32(4) payload          big-endian; the checksum is over length and payload

A payload is a JSON array: ["open", rid, number, partner, route, guess, at, keyed], or ["step", event, rid, number,
state, amount, at]. The end of a file may be torn: reading stops at the first record that is not whole, and says how
many bytes were good, so that the file is cut there before anything is written behind it. A record that is wrong in
the middle, with good ones behind it, is no torn tail but damage, and is told apart.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Any
from zlib import crc32

import orjson

from rushweir.costs.ledger import Costs, Entry, Step

VERSION = 1
MAGIC = b"RWCOSTS" + bytes([VERSION])
HEAD = Struct(">II")
MOST_RECORD = 65_536


class LogError(ValueError):
    """A log that can't be read: another format, or damage that is no torn end."""


def record(payload: Any) -> bytes:
    data = orjson.dumps(payload)
    return HEAD.pack(len(data), crc32(data, len(data))) + data


def opened(e: Entry) -> bytes:
    return record(["open", e.rid, e.number, e.partner, e.route, e.guess, e.at, e.keyed])


def stepped(s: Step, now: float) -> bytes:
    return record(["step", s.event, s.rid, s.number, s.state, s.amount, now])


def records(data: bytes) -> Iterator[tuple[int, Any]]:
    """Each whole record and where it ends. Raises LogError where the file is of another format."""
    if not data:
        return
    if data[: len(MAGIC)] != MAGIC:
        if MAGIC.startswith(data):  # torn within its first bytes
            return
        raise LogError("no ledger log, or one of another version")
    at = len(MAGIC)
    while (found := _whole(data, at)) is not None:
        at, payload = found
        yield at, payload


def _whole(data: bytes, at: int) -> tuple[int, Any] | None:
    """The record that begins here, and where it ends; None where there is no whole one."""
    if at + HEAD.size > len(data):
        return None
    length, check = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    if length > MOST_RECORD or end > len(data):
        return None
    body = data[at + HEAD.size : end]
    if crc32(body, length) != check:
        return None
    return end, orjson.loads(body)


def good_end(data: bytes) -> int:
    """How many bytes of a log are good: up to its torn end. Raises LogError where whole records lie behind what is
    torn: then something else than a kill happened to the file, and cutting it would lose charges."""
    end = len(MAGIC) if data[: len(MAGIC)] == MAGIC else 0
    for end, _ in records(data):  # noqa: B007 - the last one counts
        pass
    for at in range(end + 1, min(len(data), end + MOST_RECORD + HEAD.size)):
        found = _whole(data, at)
        if found is not None and found[0] - at > HEAD.size + 2:
            raise LogError(f"damaged at byte {end}: whole records lie behind it, from byte {at}")
    return end


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
