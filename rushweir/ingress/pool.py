"""What the core drives as a pool of connections to nodes, whatever protocol these speak. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rushweir import interface as i
from rushweir.ingress import commands as c


class BasePool:
    """``out`` holds orders for the shell, ``ended`` what became of attempts and probes."""

    def __init__(self, new_conn: Callable[[Any], int], at: Callable[[float, Callable[..., None], Any], None]) -> None:
        """``new_conn`` names a connection and registers its handler; ``at`` sets a timer."""
        self.new_conn, self.at = new_conn, at
        self.out: list[c.ShellCommand] = []
        self.ended: list[c.AttemptEnded | c.ProbeEnded] = []
        self.counts: Counter[str] = Counter()
        self.now = 0.0
        # Whether somebody still waits for an attempt: it may have waited here for a while since it was sent.
        self.wanted: Callable[[c.Attempt], bool] = lambda attempt: True

    def cancel(self, now: float, attempt: c.Attempt) -> None:
        """Stop waiting for an attempt. Whether its node stops too is the node's own affair."""
        self.now = now
        self._give_up(attempt, i.Result.CANCELLED)

    def withdraw(self, now: float, attempt: c.Attempt) -> None:
        """Nobody waits for it any more. What is on its way goes on: its node may be at work, and its connection
        serves others; what is still here never goes out."""
        self.now = now
        if self._held_back(attempt):
            self._give_up(attempt, i.Result.CANCELLED)

    def _held_back(self, attempt: c.Attempt) -> bool:
        """Whether some of an attempt is still on this side."""
        raise NotImplementedError

    def expire(self, now: float, attempt: c.Attempt) -> None:
        """Its time is up."""
        self.now = now
        self._give_up(attempt, i.Result.TIMEOUT)

    def _give_up(self, attempt: c.Attempt, result: i.Result) -> None:
        raise NotImplementedError
