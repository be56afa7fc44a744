"""The signals that an ingress is told by, from the process's first moment to its last.

The event loop's own handlers stand only once the loop runs, and fall with it: before and after that a SIGHUP ended
the process, and a SIGTERM cut it off. These stand all the time; what comes before the ingress can act on it waits.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import asyncio

NUMBERS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Signals:
    """``install`` first of all, ``attach`` once there is somebody to act on them."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self.calls: Mapping[int, Callable[[], None]] = {}
        self.waiting: dict[int, None] = {}  # those that nobody could act on yet, in their order
        self.bell: tuple[socket.socket, socket.socket] | None = None  # wakes a loop that sleeps in its selector

    def install(self) -> None:
        for number in NUMBERS:
            signal.signal(number, self._came)

    def _came(self, number: int, frame: Any) -> None:
        if self.loop is None:
            self.waiting[number] = None
        else:
            self.loop.call_soon_threadsafe(self.calls[number])

    def attach(self, loop: asyncio.AbstractEventLoop, calls: Mapping[int, Callable[[], None]]) -> None:
        """From now on each signal makes its call in the loop; those that waited make it at once."""
        self.bell = ours, theirs = socket.socketpair()
        for end in self.bell:
            end.setblocking(False)
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        loop.add_reader(ours, self._rung, ours)
        self.loop, self.calls = loop, calls
        waiting, self.waiting = self.waiting, {}
        for number in waiting:
            calls[number]()

    def detach(self) -> None:
        """Nobody acts on them any more; they still don't end the process, which is about to end by itself."""
        if self.loop is not None and self.bell is not None:
            signal.set_wakeup_fd(-1)
            self.loop.remove_reader(self.bell[0])
            for end in self.bell:
                end.close()
        self.loop = self.bell = None

    def _rung(self, ours: socket.socket) -> None:
        """The handlers ran, between this turn of the loop and the last; there is nothing more to it."""
        ours.recv(4096)
