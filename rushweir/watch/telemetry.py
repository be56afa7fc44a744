"""All that is seen of one ingress, in one place: the engine tells it each end, others ask. No I/O, no clock."""

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

MOST_EVENTS = 1_000
BUCKETS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0)
GOOD = frozenset({"ok", "cancelled", "moot"})  # results that tell nothing bad of a node


class ClassCounts:
    """Ends of one class by kind, and how long the served ones took, by bucket."""

    __slots__ = ("aim_ms", "buckets", "kinds", "sum_ms")

    def __init__(self, aim_ms: float) -> None:
        self.aim_ms, self.sum_ms = aim_ms, 0.0
        self.kinds = dict.fromkeys(KINDS, 0)
        self.buckets = [0] * (len(BUCKETS_MS) + 1)


class NodeCounts:
    """Attempts of one node by result, and a running mean of how long the good ones took."""

    __slots__ = ("last_bad", "mean_ms", "results")

    def __init__(self) -> None:
        self.results: dict[str, int] = {}
        self.mean_ms, self.last_bad = 0.0, ""

    @property
    def bad(self) -> int:
        return sum(n for result, n in self.results.items() if result not in GOOD)


class Telemetry:
    """What is seen of one ingress. Bounded: nodes and classes by the list and the settings, the rest by rings."""

    def __init__(
        self, now: float, partners: Iterable[tuple[str, str]] = (), aims: dict[str, float] | None = None,
        sample: float = 0.0, keep: int = 2, on_trace: Callable[[RequestTrace], None] | None = None,
    ) -> None:  # fmt: skip
        """``partners``: name and plan; ``aims``: of each class, in milliseconds; ``on_trace`` gets each trace."""
        self.usage, self.history, self.traces = Usage(partners, now), History(now), RequestTraces(sample, keep)
        self.classes: dict[str, ClassCounts] = {}
        self.nodes: dict[str, NodeCounts] = {}
        self.events: deque[dict[str, Any]] = deque(maxlen=MOST_EVENTS)
        self.on_trace, self.serial = on_trace, 0
        self.know_classes(aims or {})

    def know_classes(self, aims: dict[str, float]) -> None:
        self.classes = {name: self.classes.get(name) or ClassCounts(aim) for name, aim in aims.items()}
        for name, aim in aims.items():
            self.classes[name].aim_ms = aim

    def know_nodes(self, addresses: Iterable[str]) -> None:
        """The list as it is now; what was counted of nodes that left it is forgotten."""
        self.nodes = {a: self.nodes.get(a) or NodeCounts() for a in addresses}

    # --- what the engine tells -------------------------------------------------------------------

    def answered(self, now: float, entry: Entry, kind: str, why: str) -> None:
        """A request has its final answer, or its client left."""
        took = now - entry.accepted_ms
        self.usage.count(now, entry.partner, kind, entry.units)
        self.history.answered(now, kind, why, took)
        counts = self.classes.get(entry.class_name)
        if counts is not None:
            counts.kinds[kind] += 1
            if kind == AnswerKind.SERVED:
                counts.buckets[bisect_left(BUCKETS_MS, took)] += 1
                counts.sum_ms += took
        late = kind == AnswerKind.SERVED and counts is not None and took > counts.aim_ms
        ring = self.traces.wants(entry.request_id, kind, late)
        if ring is not None:
            entry.pending_trace = (ring, kind, why, now)

    def request_rejected(self, now: float, partner: str, units: float, why: str) -> None:
        """A request was refused before it was taken."""
        self.usage.count(now, partner, AnswerKind.REFUSED, units)
        self.history.answered(now, AnswerKind.REFUSED, why, 0.0)

    def attempted(self, now: float, attempt: Attempt, result: str) -> None:
        """An attempt ended."""
        node = self.nodes.get(attempt.node)
        if node is not None:
            node.results[result] = node.results.get(result, 0) + 1
            if result == "ok":
                took = now - attempt.sent_ms
                node.mean_ms += 0.05 * (took - node.mean_ms) if node.mean_ms else took
            elif result not in GOOD:
                node.last_bad = result
        if result not in GOOD:
            self.history.bad_attempts += 1

    def request_finished(self, now: float, entry: Entry) -> LogEvent | None:
        """A request whose course is kept has its last attempt back; returns the line for the log, if any."""
        ring, kind, why, ended = entry.pending_trace
        attempts = tuple(
            {
                "number": a.number, "node": a.node, "after_ms": round(a.sent_ms - entry.accepted_ms, 2),
                "result": a.result, "took_ms": round(a.ended_ms - a.sent_ms, 2),
            }
            for a in entry.attempts
        )  # fmt: skip
        client_id = getattr(entry.ref, "id", None)
        course = RequestTrace(
            entry.request_id,
            client_id,
            entry.conn,
            entry.class_name,
            entry.partner,
            entry.accepted_ms,
            ended,
            kind,
            why,
            attempts,
        )
        self.traces.keep(ring, course)
        if self.on_trace is not None:
            self.on_trace(course)
        if kind != AnswerKind.FAILED:
            return None
        return LogEvent(
            "warning", "request_failed",
            {
                "request": entry.request_id, "connection": entry.conn, "class": entry.class_name,
                "partner": entry.partner, "why": why,
                "attempts": [f"{a['number']}:{a['node']}:{a['result']}" for a in attempts],
            },
        )  # fmt: skip

    # --- events ----------------------------------------------------------------------------------

    def event(self, now: float, level: str, cause: str, fields: dict[str, Any]) -> None:
        self.serial += 1
        self.events.append({"number": self.serial, "at": now, "level": level, "cause": cause, "fields": fields})
