"""How many datagrams may go now."""

from __future__ import annotations

BURST_S = 0.5  # of what a second allows, at once


class MessageBudget:
    """A token bucket that what has to go may overdraw, by what a second allows at most."""

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s, self.tokens, self.updated_at = per_s, per_s * BURST_S, now

    def allows(self, now: float) -> bool:
        self.tokens = min(self.per_s * BURST_S, self.tokens + (now - self.updated_at) * self.per_s / 1000)
        self.updated_at = now
        return self.tokens >= 1

    def spend(self, now: float, count: float = 1.0) -> None:
        self.allows(now)
        self.tokens = max(-self.per_s, self.tokens - count)
