"""A control process: one of a small fixed set that agrees on the numbered steps of the settings (Raft; Ongaro and
Ousterhout 2014). No I/O, no clock. This is its interface; what it does inside follows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from rushweir.rollout.orders import Objects, Order
from rushweir.rollout.steps import Change, Step


@dataclass(frozen=True, slots=True)
class Times:
    """In milliseconds of the process's own clock."""

    beat: float = 200.0  # a leader is heard at least so often
    election: float = 1_500.0  # silence after which others stand, after this and up to twice of it


class Control:
    """One of ``count`` control processes, the one with number ``me`` (from 0)."""

    orders: deque[Order]  # to be carried out, in order, after each call
    number: int  # the newest step in force that is known here; 0: none
    floor: int  # steps above it are kept one by one; a watcher below it needs the whole
    objects: Objects  # all objects as of ``number``
    leader: int  # who leads as far as is known here, -1: nobody

    def __init__(self, me: int, count: int, kept: Any, seed: int, now: float, times: Times = Times()) -> None:
        """``kept``: what its disk held (``log.read``)."""
        raise NotImplementedError

    def start(self, now: float) -> None:
        raise NotImplementedError

    def next_at(self) -> float | None:
        """When ``advance`` is to be called."""
        raise NotImplementedError

    def advance(self, now: float) -> None:
        raise NotImplementedError

    def linked(self, now: float, peer: int) -> None:
        """There is a new stream to a peer; what was on its way is lost."""
        raise NotImplementedError

    def message(self, now: float, source: int, body: list[Any]) -> None:
        """Bad ones are counted and dropped."""
        raise NotImplementedError

    def kept(self, now: float, serial: int) -> None:
        """What was asked with this serial, and all before it, outlives a crash now."""
        raise NotImplementedError

    def propose(
        self, now: float, ticket: int, changes: tuple[Change, ...], author: str = "", base: int | None = None
    ) -> None:
        """Make one step of these changes; one ``Answered`` with the ticket follows.

        ``base`` is the version on which whoever makes the change has seen the settings: where a later step changed
        one of the same objects it is refused with that object's name. None: whatever there is, is changed.
        """
        raise NotImplementedError

    def since(self, number: int) -> list[Step] | None:
        """The steps in force after this one, in order; None where they are kept no more: the whole is needed."""
        raise NotImplementedError

    def status(self, now: float) -> dict[str, Any]:
        raise NotImplementedError
