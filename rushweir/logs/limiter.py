"""Limits how many events of each cause are written, and counts the others. No I/O, no clock.

A node that refuses connections causes the same line thousands of times a second, which must not suppress other lines.
So each cause has a token bucket of its own. The number of suppressed events is written with the next line of that
cause, or after some time without one.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CAUSES = 256  # causes are fixed texts of the program; any beyond these share one bucket
OTHER_CAUSES = "other_causes"
REPORT_DELAY_MS = 10_000.0  # suppressed events are reported at the latest after this time


@dataclass(slots=True)
class Bucket:
    """The token bucket of one cause. Times are in milliseconds."""

    tokens: float
    updated_at: float
    suppressed: int = 0
    suppressed_since: float = 0.0  # time of the first suppressed event


class Limiter:
    """Token buckets of log events, by cause."""

    def __init__(self, per_s: float, burst: int) -> None:
        self.per_s, self.burst = per_s, burst
        self.buckets: dict[str, Bucket] = {}

    def allow(self, now: float, cause: str) -> tuple[bool, int]:
        """Returns whether an event of this cause is written now, and how many were suppressed before it."""
        bucket = self.buckets.get(cause)
        if bucket is None:
            if len(self.buckets) >= MAX_CAUSES and cause != OTHER_CAUSES:
                return self.allow(now, OTHER_CAUSES)
            bucket = self.buckets[cause] = Bucket(self.burst, now)
        bucket.tokens = min(self.burst, bucket.tokens + (now - bucket.updated_at) * self.per_s / 1000)
        bucket.updated_at = now
        if bucket.tokens < 1:
            bucket.suppressed_since = bucket.suppressed_since if bucket.suppressed else now
            bucket.suppressed += 1
            return False, 0
        bucket.tokens -= 1
        count, bucket.suppressed = bucket.suppressed, 0
        return True, count

    def overdue(self, now: float) -> list[tuple[str, int]]:
        """Returns the causes whose suppressed events are due for a report, with their number, and resets it."""
        overdue = []
        for cause, bucket in self.buckets.items():
            if bucket.suppressed and now - bucket.suppressed_since >= REPORT_DELAY_MS:
                overdue.append((cause, bucket.suppressed))
                bucket.suppressed = 0
        return overdue
