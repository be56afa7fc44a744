"""The telemetry of one ingress, in one place: the engine reports each end, others read it. No I/O, no clock."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from rushweir.ingress.commands import AnswerKind, Attempt, LogEvent
from rushweir.ingress.ledger import Entry
from rushweir.watch.history import KINDS, History
from rushweir.watch.request_traces import RequestTrace, RequestTraces
from rushweir.watch.usage import Usage

MAX_EVENTS = 1_000
BUCKETS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0)
GOOD = frozenset({"ok", "cancelled", "moot"})  # results that are no fault of the node


class ClassCounts:
    """Requests of one class by kind of answer, and the durations of those served, by bucket."""

    __slots__ = ("aim_ms", "buckets", "kinds", "sum_ms")

    def __init__(self, aim_ms: float) -> None:
        self.aim_ms, self.sum_ms = aim_ms, 0.0
        self.kinds = dict.fromkeys(KINDS, 0)
        self.buckets = [0] * (len(BUCKETS_MS) + 1)


class NodeCounts:
    """Attempts of one node by result, and a running mean of the durations of the successful ones."""

    __slots__ = ("last_bad", "mean_ms", "results")

    def __init__(self) -> None:
        self.results: dict[str, int] = {}
        self.mean_ms, self.last_bad = 0.0, ""

    @property
    def bad(self) -> int:
        """Number of attempts that failed."""
        return sum(n for result, n in self.results.items() if result not in GOOD)


class Telemetry:
    """Counts, history, traces and events. Nodes and classes are bounded by list and settings, the rest by rings."""

    def __init__(
        self, now: float, partners: Iterable[tuple[str, str]] = (), aims: dict[str, float] | None = None,
        sample_share: float = 0.0, max_traces: int = 2, on_trace: Callable[[RequestTrace], None] | None = None,
    ) -> None:  # fmt: skip
        """``partners``: name and plan of each; ``aims``: ms by class; ``on_trace`` is called with each trace."""
        self.usage = Usage(partners, now)
        self.history = History(now)
        self.traces = RequestTraces(sample_share, max_traces)
        self.classes: dict[str, ClassCounts] = {}
        self.nodes: dict[str, NodeCounts] = {}
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self.on_trace, self.last_event = on_trace, 0
        self.set_classes(aims or {})

    def set_classes(self, aims: dict[str, float]) -> None:
        """Replace the classes, by the aim of each in ms. Classes in both keep their counts."""
        self.classes = {name: self.classes.get(name) or ClassCounts(aim) for name, aim in aims.items()}
        for name, aim in aims.items():
            self.classes[name].aim_ms = aim

    def set_nodes(self, addresses: Iterable[str]) -> None:
        """Replace the nodes by those of the list. Nodes in both keep their counts."""
        self.nodes = {a: self.nodes.get(a) or NodeCounts() for a in addresses}

    # --- reports of the engine -------------------------------------------------------------------

    def answered(self, now: float, entry: Entry, kind: str, reason: str) -> None:
        """A request has its final answer, or its client left."""
        took_ms = now - entry.accepted_ms
        self.usage.count(now, entry.partner, kind, entry.units)
        self.history.answered(now, kind, reason, took_ms)
        counts = self.classes.get(entry.class_name)
        if counts is not None:
            counts.kinds[kind] += 1
            if kind == AnswerKind.SERVED:
                counts.buckets[bisect_left(BUCKETS_MS, took_ms)] += 1
                counts.sum_ms += took_ms
        late = kind == AnswerKind.SERVED and counts is not None and took_ms > counts.aim_ms
        ring = self.traces.ring_of(entry.request_id, kind, late)
        if ring is not None:
            entry.pending_trace = (ring, kind, reason, now)

    def request_rejected(self, now: float, partner: str, units: float, reason: str) -> None:
        """A request was refused before it was accepted."""
        self.usage.count(now, partner, AnswerKind.REFUSED, units)
        self.history.answered(now, AnswerKind.REFUSED, reason, 0.0)

    def attempted(self, now: float, attempt: Attempt, result: str) -> None:
        """An attempt has ended."""
        counts = self.nodes.get(attempt.node)
        if counts is not None:
            counts.results[result] = counts.results.get(result, 0) + 1
            if result == "ok":
                took_ms = now - attempt.sent_ms
                counts.mean_ms += 0.05 * (took_ms - counts.mean_ms) if counts.mean_ms else took_ms
            elif result not in GOOD:
                counts.last_bad = result
        if result not in GOOD:
            self.history.bad_attempts += 1

    def request_finished(self, now: float, entry: Entry) -> LogEvent | None:
        """The last attempt of a request with a pending trace has ended; returns an event for the log, if any."""
        ring, kind, reason, ended_ms = entry.pending_trace
        attempts = tuple(
            {
                "number": a.number, "node": a.node, "after_ms": round(a.sent_ms - entry.accepted_ms, 2),
                "result": a.result, "took_ms": round(a.ended_ms - a.sent_ms, 2),
            }
            for a in entry.attempts
        )  # fmt: skip
        client_id = getattr(entry.ref, "id", None)
        trace = RequestTrace(
            entry.request_id, client_id, entry.conn, entry.class_name, entry.partner, entry.accepted_ms, ended_ms,
            kind, reason, attempts,
        )  # fmt: skip
        self.traces.add(ring, trace)
        if self.on_trace is not None:
            self.on_trace(trace)
        if kind != AnswerKind.FAILED:
            return None
        return LogEvent(
            "warning", "request_failed",
            {
                "request": entry.request_id, "connection": entry.conn, "class": entry.class_name,
                "partner": entry.partner, "why": reason,
                "attempts": [f"{a['number']}:{a['node']}:{a['result']}" for a in attempts],
            },
        )  # fmt: skip

    # --- events ----------------------------------------------------------------------------------

    def event(self, now: float, level: str, cause: str, fields: dict[str, Any]) -> None:
        """Store an event; the oldest is dropped."""
        self.last_event += 1
        self.events.append({"number": self.last_event, "at": now, "level": level, "cause": cause, "fields": fields})
