"""A token bucket that limits how many datagrams may be sent."""

from __future__ import annotations

BURST_S = 0.5  # seconds of the rate that may be saved up and sent at once


class MessageBudget:
    """A token bucket of datagrams. Datagrams that cannot wait may overdraw it, by one second's worth at most."""

    def __init__(self, per_s: float, now: float) -> None:
        """``per_s``: datagrams a second; ``now``: milliseconds."""
        self.per_s, self.tokens, self.updated_at = per_s, per_s * BURST_S, now

    def allows(self, now: float) -> bool:
        """Refills the bucket up to ``now`` and returns whether a whole token is available."""
        self.tokens = min(self.per_s * BURST_S, self.tokens + (now - self.updated_at) * self.per_s / 1000)
        self.updated_at = now
        return self.tokens >= 1

    def spend(self, now: float, count: float = 1.0) -> None:
        """Takes ``count`` tokens, which may make the balance negative."""
        self.allows(now)
        self.tokens = max(-self.per_s, self.tokens - count)
