"""The base of the pools of connections to nodes, independent of their protocol. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rushweir import interface
from rushweir.ingress import commands


class BasePool:
    """A pool of connections. ``out`` has commands for the shell, ``ended`` the attempts and probes that ended."""

    waits_for_input = False  # whether attempts wait until all input of their client was read

    def __init__(self, new_conn: Callable[[Any], int], at: Callable[[float, Callable[..., None], Any], None]) -> None:
        """``new_conn`` returns a connection's number and registers its handler; ``at`` sets a timer."""
        self.new_conn, self.at = new_conn, at
        self.out: list[commands.ShellCommand] = []
        self.ended: list[commands.AttemptEnded | commands.ProbeEnded] = []
        self.counts: Counter[str] = Counter()
        self.links: dict[int, Any] = {}  # open and opening connections, by their numbers
        self.now = 0.0
        self.hold: Callable[[int, int], None] = lambda conn, held_bytes: None  # records the memory of a connection
        # Whether nothing was received on a connection that is not read yet, as while the event loop is busy.
        self.is_quiet: Callable[[int], bool] = lambda conn: True
        # Whether a client still waits for an attempt, which may have been queued here for a while.
        self.wanted: Callable[[commands.Attempt], bool] = lambda attempt: True

    def cancel(self, now: float, attempt: commands.Attempt) -> None:
        """Stop waiting for an attempt. Its node may go on working on it."""
        self.now = now
        self._abandon(attempt, interface.Result.CANCELLED)

    def withdraw(self, now: float, attempt: commands.Attempt) -> None:
        """Drop an attempt that no client waits for, unless it is sent: then its node may be working on it, and its
        connection serves other attempts."""
        self.now = now
        if self._is_unsent(attempt):
            self._abandon(attempt, interface.Result.CANCELLED)

    def client_read(self, now: float, attempt: commands.Attempt) -> None:
        """More input of an attempt's client was read, for which the attempt may have waited."""

    def largest_incomplete_answer(self) -> tuple[int, int]:
        """The memory of the largest answer that is not complete, in bytes, and its connection."""
        return max(((link.held_bytes, link.conn) for link in self.links.values()), default=(0, 0))

    def drop_incomplete_answer(self, now: float, conn: int) -> None:
        """End the attempt whose answer is incomplete: there is no memory for it."""
        raise NotImplementedError

    def _is_unsent(self, attempt: commands.Attempt) -> bool:
        """Whether an attempt is not completely sent yet."""
        raise NotImplementedError

    def expire(self, now: float, attempt: commands.Attempt) -> None:
        """End an attempt whose deadline has passed."""
        self.now = now
        self._abandon(attempt, interface.Result.TIMEOUT)

    def _abandon(self, attempt: commands.Attempt, result: interface.Result) -> None:
        raise NotImplementedError
