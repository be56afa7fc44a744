"""Limits of a WebSocket connection, and records of where the answers to its messages go."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from rushweir.costs.decisions import CostRules
from rushweir.link import rpc


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Limits of one client connection. Its memory is at most one message, its open requests and ``buffer``."""

    path: str = "/"
    max_message: int = 262_144  # bytes after decompression
    max_batch: int = 1000  # messages in one JSON-RPC batch
    max_open: int = 1024  # requests accepted and not yet answered
    buffer: int = 1_048_576  # bytes of answers queued for a client that does not read them
    largest_units: float = 1.0  # most quota units of one request
    costs: CostRules | None = None  # prices of requests; None: each request states its own ``units``


class BatchAnswers:
    """Collects the answers of one batch, which are sent as one array once none is missing."""

    __slots__ = ("answers", "left")

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.left = 0  # answers still missing


@dataclass(slots=True)
class RequestRef:
    """Identifies the request that an answer belongs to: its JSON-RPC id, and its batch if it came in one."""

    id: rpc.Id
    batch: BatchAnswers | None


def finite_number(value: Any) -> float | None:
    """Returns a JSON number as a finite float, and None for anything else, ``true`` and ``false`` included."""
    if type(value) is int or type(value) is float:
        try:
            converted = float(value)
        except OverflowError:
            return None
        return converted if math.isfinite(converted) else None
    return None


def is_utf8(data: bytes) -> bool:
    """Returns whether the bytes decode as UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
