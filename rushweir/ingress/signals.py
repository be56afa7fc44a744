"""Handles the signals of an ingress from the start of the process to its end.

The event loop's own handlers exist only while the loop runs: before and after that a SIGHUP would end the process,
and a SIGTERM would end it without answers. These handlers are always installed, and signals that arrive before the
ingress can act on them are deferred.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import asyncio

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Signals:
    """Signal handlers: ``install`` them first of all, and ``attach`` the calls once the event loop runs."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self.calls: Mapping[int, Callable[[], object]] = {}
        self.deferred: dict[int, None] = {}  # received before ``attach``, in order of arrival
        self.wakeup: tuple[socket.socket, socket.socket] | None = None  # wakes a loop that waits in its selector

    def install(self) -> None:
        """Installs the handlers."""
        for number in HANDLED:
            signal.signal(number, self._received)

    def _received(self, number: int, frame: Any) -> None:
        if self.loop is None:
            self.deferred[number] = None
        else:
            self.loop.call_soon_threadsafe(self.calls[number])

    def attach(self, loop: asyncio.AbstractEventLoop, calls: Mapping[int, Callable[[], object]]) -> None:
        """Runs each signal's call in the loop from now on, and those of deferred signals at once."""
        self.wakeup = reader, writer = socket.socketpair()
        for end in self.wakeup:
            end.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reader, self._drain_wakeup, reader)
        self.loop, self.calls = loop, calls
        deferred, self.deferred = self.deferred, {}
        for number in deferred:
            calls[number]()

    def detach(self) -> None:
        """Defers signals again: they must not end the process, which is about to end by itself."""
        if self.loop is not None and self.wakeup is not None:
            signal.set_wakeup_fd(-1)
            self.loop.remove_reader(self.wakeup[0])
            for end in self.wakeup:
                end.close()
        self.loop = self.wakeup = None

    def ignore(self) -> None:
        """Ignores the signals to the end of the process. The interpreter's own end restores the system's default for
        handled signals, which would end the process by one that comes then."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def _drain_wakeup(self, reader: socket.socket) -> None:
        """Empties the wake-up socket; the handlers have already run."""
        reader.recv(4096)
