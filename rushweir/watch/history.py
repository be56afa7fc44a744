"""The last hour, in slots of ten seconds. No I/O, no clock."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from hdrh.histogram import HdrHistogram

from rushweir.ingress.commands import AnswerKind

SLOT_MS = 10_000.0
SLOTS = 360
MOST_REASONS = 32  # different reasons in a slot; the rest count as "other"
KINDS = (AnswerKind.SERVED, AnswerKind.REFUSED, AnswerKind.FAILED, "left")


class History:
    """What came to an end in each slot, and how long it took; the slot at hand is not in ``slots`` yet."""

    def __init__(self, now: float) -> None:
        self.slots: deque[dict[str, Any]] = deque(maxlen=SLOTS)
        self.began = now - now % SLOT_MS
        self.times = HdrHistogram(1, 60_000, 2)  # ms, of what was served
        self.kinds: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.bad_attempts = 0
        self.worst_delay = 0.0

    def answered(self, now: float, kind: str, why: str, took_ms: float) -> None:
        if now - self.began >= SLOT_MS:
            self.turn(now)
        self.kinds[kind] += 1
        if kind == AnswerKind.SERVED:
            self.times.record_value(min(60_000, max(1, round(took_ms))))
        elif kind == AnswerKind.REFUSED:
            self.reasons[why if why in self.reasons or len(self.reasons) < MOST_REASONS else "other"] += 1

    def turn(self, now: float) -> None:
        """Close the slots that are over. Slots in which nothing happened are told as such."""
        while now - self.began >= SLOT_MS:
            self.slots.append(self._slot())
            self.began += SLOT_MS
            self.times.reset()
            self.kinds.clear()
            self.reasons.clear()
            self.bad_attempts, self.worst_delay = 0, 0.0
            if now - self.began >= SLOT_MS * SLOTS:  # the process was held up for an hour: all of it is empty
                self.began = now - now % SLOT_MS
                self.slots.clear()

    def _slot(self) -> dict[str, Any]:
        served = self.kinds[AnswerKind.SERVED]
        return {
            "at": self.began, **{k: self.kinds[k] for k in KINDS}, "reasons": dict(self.reasons),
            "p50_ms": self.times.get_value_at_percentile(50) if served else None,
            "p99_ms": self.times.get_value_at_percentile(99) if served else None,
            "bad_attempts": self.bad_attempts, "loop_delay_ms": round(self.worst_delay, 1),
        }  # fmt: skip
