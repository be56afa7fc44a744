"""Records of a control process: its times, and writes that are not on disk yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """In milliseconds of the process's own clock."""

    heartbeat_ms: float = 200.0  # a leader is heard at least so often
    election_timeout_ms: float = 1_500.0  # silence after which others stand, after this and up to twice of it


TIMING = Timing()


@dataclass(slots=True)
class PendingWrite:
    """One write that is not on disk yet."""

    serial: int
    position: int
    last_index: int  # the log's end with it
    term: int | None  # the term that it keeps, if it does
