"""Lines out of the process. A reader that stalls must not stall the ingress: a thread writes, off a bounded queue."""

from __future__ import annotations

import contextlib
import queue
import threading
from typing import Protocol

MOST_LINES = 4_096  # that wait for the reader; at most some 4 MB
MOST_LINE = 8_192  # characters of one line


class Stream(Protocol):
    def write(self, text: str, /) -> object: ...

    def flush(self) -> object: ...


class Sink:
    """Takes lines at once, writes them when the reader can take them, counts those that found no room."""

    def __init__(self, stream: Stream, most: int = MOST_LINES) -> None:
        self.stream = stream
        self.lines: queue.Queue[str | None] = queue.Queue(most)
        self.dropped = 0
        self.told = 0
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        try:
            self.lines.put_nowait(line[:MOST_LINE])
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            if self.dropped > self.told:
                missing, self.told = self.dropped - self.told, self.dropped
                line = f"log: {missing} lines lost, nobody read\n{line}"
            # A reader that went away takes the lines with it: there is nowhere left to say so.
            with contextlib.suppress(OSError, ValueError):
                self.stream.write(line + "\n")
                if self.lines.empty():
                    self.stream.flush()

    def close(self, within_s: float = 1.0) -> None:
        """Write what waits, for so long at most."""
        with contextlib.suppress(queue.Full):
            self.lines.put(None, timeout=within_s)
        self.thread.join(within_s)
