"""What one process may conclude from its own clock about another's.

Each member counts with a monotonic clock of its own. All that is assumed of two of them is that in the same time
neither counts more than ``DRIFT`` more or less than true time passed; they share no zero.
"""

MAX_CLOCK_DRIFT = (
    0.01  # of the time counted; the clocks of two machines differ by 0.0005 at most when they are in order
)


def min_under_drift(ms: float) -> float:
    """What may be counted here of a right that another gave for so long: it is over here first."""
    return ms * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


def max_under_drift(ms: float) -> float:
    """What has to be counted here until a right given to another for so long is surely over there."""
    return ms * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
