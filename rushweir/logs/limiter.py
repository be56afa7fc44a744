"""Which events are written: so many of each cause, the rest counted. No I/O, no clock.

A node that refuses connections makes the same line thousands of times a second, and the line that matters is the
other one. So each cause has a token bucket of its own; what was left out is told with the next line of that cause,
or when its bucket has been quiet for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

MOST_CAUSES = 256  # causes are fixed texts of the program; should they ever be more, the rest share one bucket
REST = "other_causes"
TELL_MS = 10_000.0  # what was left out is told at the latest after this


@dataclass(slots=True)
class Bucket:
    tokens: float
    at: float
    left_out: int = 0
    since: float = 0.0  # when the first of these came


class Limiter:
    """Token buckets of lines, by cause."""

    def __init__(self, per_s: float, at_once: int) -> None:
        self.per_s, self.at_once = per_s, at_once
        self.buckets: dict[str, Bucket] = {}

    def allow(self, now: float, cause: str) -> tuple[bool, int]:
        """Whether a line of this cause is written now, and how many were left out before it."""
        bucket = self.buckets.get(cause)
        if bucket is None:
            if len(self.buckets) >= MOST_CAUSES and cause != REST:
                return self.allow(now, REST)
            bucket = self.buckets[cause] = Bucket(self.at_once, now)
        bucket.tokens = min(self.at_once, bucket.tokens + (now - bucket.at) * self.per_s / 1000)
        bucket.at = now
        if bucket.tokens < 1:
            bucket.since = bucket.since if bucket.left_out else now
            bucket.left_out += 1
            return False, 0
        bucket.tokens -= 1
        left, bucket.left_out = bucket.left_out, 0
        return True, left

    def overdue(self, now: float) -> list[tuple[str, int]]:
        """Causes whose lines were left out some time ago, and how many; told now, and counted anew."""
        found = []
        for cause, bucket in self.buckets.items():
            if bucket.left_out and now - bucket.since >= TELL_MS:
                found.append((cause, bucket.left_out))
                bucket.left_out = 0
        return found
