"""Writes lines out of the process, from a bounded queue and in a thread, since a stalled reader must not stall the
ingress."""

from __future__ import annotations

import contextlib
import queue
import threading
from typing import Protocol

MAX_QUEUED_LINES = 4_096  # some 4 MB at most
MAX_LINE_LENGTH = 8_192  # characters


class Stream(Protocol):
    """What a sink writes to."""

    def write(self, text: str, /) -> object: ...

    def flush(self) -> object: ...


class Sink:
    """Queues lines without blocking, writes them from a thread, and counts those dropped as the queue was full."""

    def __init__(self, stream: Stream, max_lines: int = MAX_QUEUED_LINES) -> None:
        self.stream = stream
        self.lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self.dropped = 0
        self.reported_dropped = 0
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        """Queues a line, cut to ``MAX_LINE_LENGTH``, or drops it if the queue is full."""
        try:
            self.lines.put_nowait(line[:MAX_LINE_LENGTH])
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            if self.dropped > self.reported_dropped:
                missing, self.reported_dropped = self.dropped - self.reported_dropped, self.dropped
                line = f"log: {missing} lines dropped, reader too slow\n{line}"
            # If the reader has gone, its lines are lost: there is nowhere left to report it.
            with contextlib.suppress(OSError, ValueError):
                self.stream.write(line + "\n")
                if self.lines.empty():
                    self.stream.flush()

    def close(self, within_s: float = 1.0) -> None:
        """Writes the queued lines, in ``within_s`` seconds at most for each of the two steps."""
        with contextlib.suppress(queue.Full):
            self.lines.put(None, timeout=within_s)
        self.thread.join(within_s)
