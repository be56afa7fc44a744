"""The timers of an ingress, in the order of their times, then in that in which they were set. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Any

MIN_SWEEP_SIZE = 1024  # timers; fewer are not searched for obsolete ones


@dataclass(slots=True, eq=False)
class Timer:
    """A timer that calls ``function(argument)``, or one that was cancelled."""

    function: Callable[..., None] | None
    argument: Any

    def cancel(self) -> None:
        """Ensures that the timer is not called, and frees what it refers to."""
        self.function = self.argument = None


class Timers:
    """The timers of an ingress.

    Most are deadlines of requests that have their answer by now, or were cancelled. They are dropped when they are
    next, and all of them each time the number of timers has doubled, since each holds the record of its request.
    """

    def __init__(self, is_obsolete: Callable[[Callable[..., None], Any], bool]) -> None:
        """``is_obsolete`` tells whether a timer's call would do nothing, now and later."""
        self.is_obsolete = is_obsolete
        self.heap: list[tuple[float, int, Timer]] = []
        self.serial = 0
        self.sweep_size = MIN_SWEEP_SIZE

    def __len__(self) -> int:
        return len(self.heap)

    def add(self, when: float, function: Callable[..., None], argument: Any) -> Timer:
        """Sets a timer, and returns it to be cancelled."""
        self.serial += 1
        timer = Timer(function, argument)
        heappush(self.heap, (when, self.serial, timer))
        if len(self.heap) > self.sweep_size:
            self._sweep()
        return timer

    def next_at(self) -> float | None:
        """Returns when the next timer is due, or None."""
        heap = self.heap
        while heap and self._is_dropped(heap[0][2]):
            heappop(heap)
        return heap[0][0] if heap else None

    def run_due(self, now: float) -> None:
        """Calls what is due. Timers set meanwhile wait for the next call."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heappop(self.heap)[2])
        for timer in due:
            if timer.function is not None:
                timer.function(timer.argument)

    def _is_dropped(self, timer: Timer) -> bool:
        return timer.function is None or self.is_obsolete(timer.function, timer.argument)

    def _sweep(self) -> None:
        self.heap = [entry for entry in self.heap if not self._is_dropped(entry[2])]
        heapify(self.heap)
        self.sweep_size = max(MIN_SWEEP_SIZE, 2 * len(self.heap))
