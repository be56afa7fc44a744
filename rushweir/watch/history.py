"""The last hour, in slots of ten seconds. No I/O, no clock."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from hdrh.histogram import HdrHistogram

from rushweir.ingress.commands import AnswerKind

SLOT_MS = 10_000.0
SLOTS = 360
MAX_REASONS = 32  # different reasons in a slot; the others are counted as "other"
KINDS = (AnswerKind.SERVED, AnswerKind.REFUSED, AnswerKind.FAILED, "left")


class History:
    """The requests that ended in each slot, and how long they took. ``slots`` does not have the current one yet."""

    def __init__(self, now: float) -> None:
        self.slots: deque[dict[str, Any]] = deque(maxlen=SLOTS)
        self.slot_start = now - now % SLOT_MS
        self.durations = HdrHistogram(1, 60_000, 2)  # ms, of served requests
        self.kinds: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.bad_attempts = 0
        self.max_delay_ms = 0.0  # of the event loop

    def answered(self, now: float, kind: str, reason: str, took_ms: float) -> None:
        """Count a request that has ended."""
        if now - self.slot_start >= SLOT_MS:
            self.close_slots(now)
        self.kinds[kind] += 1
        if kind == AnswerKind.SERVED:
            self.durations.record_value(min(60_000, max(1, round(took_ms))))
        elif kind == AnswerKind.REFUSED:
            self.reasons[reason if reason in self.reasons or len(self.reasons) < MAX_REASONS else "other"] += 1

    def close_slots(self, now: float) -> None:
        """Store the slots that are over, also those in which nothing happened."""
        while now - self.slot_start >= SLOT_MS:
            self.slots.append(self._row())
            self.slot_start += SLOT_MS
            self.durations.reset()
            self.kinds.clear()
            self.reasons.clear()
            self.bad_attempts, self.max_delay_ms = 0, 0.0
            if now - self.slot_start >= SLOT_MS * SLOTS:  # the process was suspended for an hour: all slots are empty
                self.slot_start = now - now % SLOT_MS
                self.slots.clear()

    def _row(self) -> dict[str, Any]:
        served = self.kinds[AnswerKind.SERVED]
        return {
            "at": self.slot_start, **{k: self.kinds[k] for k in KINDS}, "reasons": dict(self.reasons),
            "p50_ms": self.durations.get_value_at_percentile(50) if served else None,
            "p99_ms": self.durations.get_value_at_percentile(99) if served else None,
            "bad_attempts": self.bad_attempts, "loop_delay_ms": round(self.max_delay_ms, 1),
        }  # fmt: skip
