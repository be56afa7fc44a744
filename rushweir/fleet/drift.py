"""Bounds on what one process may conclude from its own clock about another's.

Each member counts with its own monotonic clock. The only assumption about two of them is that over the same time
neither deviates from true time by more than ``MAX_CLOCK_DRIFT``; they share no epoch.
"""

# As a share of the elapsed time. The clocks of two healthy machines differ by 0.0005 at most.
MAX_CLOCK_DRIFT = 0.01


def min_under_drift(ms: float) -> float:
    """For how long, by the local clock, a right granted elsewhere for ``ms`` may be used: it ends here first."""
    return ms * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


def max_under_drift(ms: float) -> float:
    """How long to wait, by the local clock, until a right granted to another for ``ms`` has surely ended there."""
    return ms * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
