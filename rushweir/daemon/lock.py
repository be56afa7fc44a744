"""A state folder belongs to one process at a time."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

import orjson


class Held(Exception):
    """Another process holds the folder; the text says which."""


class StateLock:
    """An advisory lock (flock) on a file in the state folder. It goes with the process, however that ends; and it
    belongs to the open file, so that handing the descriptor to a successor hands over the lock without a gap."""

    def __init__(self, folder: Path, descriptor: int | None = None) -> None:
        """Take the lock, or go on with one that was handed over. Raises Held, or OSError."""
        self.path = folder / "lock"
        if descriptor is not None:
            self.fd = descriptor
            return
        folder.mkdir(parents=True, exist_ok=True)
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = self._read()
            os.close(self.fd)
            raise Held(f"state folder {folder} is held by {holder}") from None

    def tell(self, **who: object) -> None:
        """Note who holds it, for whoever comes second. That it can't be noted (a full disk) changes nothing."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.fd, 0)
            os.pwrite(self.fd, orjson.dumps(who) + b"\n", 0)

    def _read(self) -> str:
        try:
            who = orjson.loads(os.pread(self.fd, 4096, 0))
            return f"process {int(who['pid'])}, ingress {who['ingress']}, since {who['since']}"
        except (OSError, ValueError, TypeError, KeyError):
            return "a process that has not said who it is yet"

    def close(self) -> None:
        os.close(self.fd)
