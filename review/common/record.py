"""The record of one run: what was sent, answered and run, one JSON object a line."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Collects events with their time in milliseconds since the beginning, and writes them to a file."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Returns the milliseconds since the beginning."""
        return (time.monotonic() - self.began) * 1000

    def note(self, event: str, **fields: Any) -> dict[str, Any]:
        """Records an event and returns it."""
        line = {"at_ms": round(self.now(), 1), "event": event, **fields}
        self.events.append(line)
        self.file.write(json.dumps(line) + "\n")
        return line

    def of(self, event: str) -> list[dict[str, Any]]:
        """Returns all events of one kind."""
        return [line for line in self.events if line["event"] == event]

    def close(self) -> None:
        """Closes the file."""
        self.file.close()
