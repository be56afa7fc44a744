"""Records of a control process: its timing, and writes in progress."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals by the process's own clock."""

    heartbeat_ms: float = 200.0  # the longest pause between messages of a leader
    election_timeout_ms: float = 1_500.0  # of silence until a pre-vote; drawn from this to twice of it


TIMING = Timing()


@dataclass(slots=True)
class PendingWrite:
    """A write that is not on disk yet. ``last_index``: of the log with it; ``term``: that it holds, if any."""

    serial: int
    position: int
    last_index: int
    term: int | None
