"""The bounds of a WebSocket connection, and where the answers to its messages go. Plain records."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from rushweir.costs.decisions import CostRules
from rushweir.link import rpc


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Bounds of one client connection; memory for it is at most a message, its open requests and ``buffer``."""

    path: str = "/"
    max_message: int = 262_144  # bytes, inflated
    max_batch: int = 1000
    max_open: int = 1024  # requests taken and not yet answered
    buffer: int = 1_048_576  # bytes of answers that wait for a client that does not read
    largest_units: float = 1.0
    costs: CostRules | None = None  # what requests cost; None: each says it, ``units``


class BatchSlot:
    """The answers of one batch, sent as one array when the last is there."""

    __slots__ = ("answers", "left")

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.left = 0


@dataclass(slots=True)
class Ref:
    """Where an answer goes: the request's id, and the batch that it stands in."""

    id: rpc.Id
    batch: BatchSlot | None


def number(value: Any) -> float | None:
    """A JSON number as a finite float; None for anything else (true and false are no numbers here)."""
    if type(value) is int or type(value) is float:
        try:
            number = float(value)
        except OverflowError:
            return None
        return number if math.isfinite(number) else None
    return None


def is_utf8(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
