"""Traces of requests that failed or were answered late, and of a sample of the others. No I/O, no clock.

A trace tells what happened to one request: when it was accepted, each attempt, the answer. Whether it is stored is
decided at the end of the request. The sample is taken by the hash of the request's id, so that all who see the id
choose the same requests. Problems and the sample have a ring each, so that neither displaces the other.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from rushweir.ingress.commands import AnswerKind


@dataclass(slots=True)
class RequestTrace:
    """What happened to one request. Times are milliseconds of the ingress's clock."""

    request_id: str
    client_id: Any
    conn: int
    class_name: str
    partner: str
    accepted_ms: float
    ended_ms: float
    kind: str
    reason: str
    attempts: tuple[dict[str, Any], ...]

    def as_row(self) -> dict[str, Any]:
        """The trace as operators see it."""
        return {
            "request": self.request_id, "client_id": self.client_id, "connection": self.conn,
            "class": self.class_name, "partner": self.partner, "at": self.accepted_ms,
            "took_ms": round(self.ended_ms - self.accepted_ms, 2), "kind": self.kind, "why": self.reason,
            "attempts": list(self.attempts),
        }  # fmt: skip


class RequestTraces:
    """At most ``max_traces`` traces, half of them of requests with a problem."""

    def __init__(self, sample_share: float, max_traces: int) -> None:
        self.rings: tuple[OrderedDict[str, RequestTrace], ...] = (OrderedDict(), OrderedDict())
        self.apply_settings(sample_share, max_traces)

    def apply_settings(self, sample_share: float, max_traces: int) -> None:
        """Apply other bounds to the traces that are stored and to later ones."""
        self.sampled_below, self.ring_size = int(sample_share * 2**32), max(1, max_traces // 2)
        for ring in self.rings:
            while len(ring) > self.ring_size:
                ring.popitem(last=False)

    def ring_of(self, request_id: str, kind: str, late: bool) -> int | None:
        """The ring that stores a request: 0 for problems, 1 for the sample, None if it is not stored."""
        if late or kind == AnswerKind.FAILED:
            return 0
        return 1 if crc32(request_id.encode()) < self.sampled_below else None

    def add(self, ring: int, trace: RequestTrace) -> None:
        """Store a trace; the oldest of a full ring is dropped."""
        traces = self.rings[ring]
        traces[trace.request_id] = trace
        if len(traces) > self.ring_size:
            traces.popitem(last=False)

    def find(self, request_id: str) -> RequestTrace | None:
        """The stored trace of a request."""
        return self.rings[0].get(request_id) or self.rings[1].get(request_id)

    def last(self, count: int, problems: bool = True) -> list[RequestTrace]:
        """The newest traces of problems, or of the sample, newest first."""
        ring = self.rings[0 if problems else 1]
        return [ring[k] for k in list(reversed(ring))[:count]]
