"""The courses of requests that are kept: those that failed or came late, and a sample of the rest. No I/O, no clock.

A course is what became of one request: when it was taken, each attempt, the answer. Which are kept is decided at
the end, when it is known how it went; the sample is by the request's id, so that all who see the id choose alike.
Two rings, so that a storm of failures leaves the sample, and the sample the failures.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from rushweir.ingress.commands import AnswerKind


@dataclass(slots=True)
class RequestTrace:
    """What became of one request; times in milliseconds of the ingress's clock."""

    request_id: str
    client_id: Any
    conn: int
    class_name: str
    partner: str
    taken_ms: float
    ended_ms: float
    kind: str
    reason: str
    attempts: tuple[dict[str, Any], ...]

    def as_row(self) -> dict[str, Any]:
        return {
            "request": self.request_id, "client_id": self.client_id, "connection": self.conn,
            "class": self.class_name, "partner": self.partner, "at": self.taken_ms,
            "took_ms": round(self.ended_ms - self.taken_ms, 2), "kind": self.kind, "why": self.reason,
            "attempts": list(self.attempts),
        }  # fmt: skip


class RequestTraces:
    """At most ``keep`` courses, half of them of requests that went wrong."""

    def __init__(self, sample: float, keep: int) -> None:
        self.rings: tuple[OrderedDict[str, RequestTrace], ...] = (OrderedDict(), OrderedDict())
        self.adopt(sample, keep)

    def adopt(self, sample: float, keep: int) -> None:
        self.bar, self.most = int(sample * 2**32), max(1, keep // 2)
        for ring in self.rings:
            while len(ring) > self.most:
                ring.popitem(last=False)

    def wants(self, request_id: str, kind: str, late: bool) -> int | None:
        """The ring that a request belongs to: 0 where it went wrong, 1 by sample, None if it is not kept."""
        if late or kind == AnswerKind.FAILED:
            return 0
        return 1 if crc32(request_id.encode()) < self.bar else None

    def keep(self, ring: int, course: RequestTrace) -> None:
        held = self.rings[ring]
        held[course.request_id] = course
        if len(held) > self.most:
            held.popitem(last=False)

    def find(self, request_id: str) -> RequestTrace | None:
        return self.rings[0].get(request_id) or self.rings[1].get(request_id)

    def last(self, count: int, wrong: bool = True) -> list[RequestTrace]:
        """The newest first."""
        ring = self.rings[0 if wrong else 1]
        return [ring[k] for k in list(reversed(ring))[:count]]
