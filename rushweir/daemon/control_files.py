"""The folder of a control process: one file of its log, held by one process. Plain file calls, no decisions."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from rushweir.daemon.lock import StateLock
from rushweir.files import replace_file
from rushweir.rollout import storage
from rushweir.rollout.orders import Append, Rewrite
from rushweir.rollout.storage import Kept, StorageError

NAME = "steps.log"


class ControlFiles:
    """``steps.log`` in a folder."""

    def __init__(self, folder: Path, me: int, count: int, new: bool, copies: tuple[Path, ...] = ()) -> None:
        """Takes the folder's lock. Raises lock.Held, StorageError, OSError; ``new``: the first start of all;
        ``copies``: the log is lost, and is made of those of all the others, which are down."""
        self.path = folder / NAME
        self.lock = StateLock(folder)
        self.fd = -1
        try:
            if copies:
                self._rebuild(me, count, copies)
            self.kept = self._open(me, count, new)
        except BaseException:
            self.lock.close()
            raise

    def _open(self, me: int, count: int, new: bool) -> Kept:
        if not self.path.exists():
            if not new:
                raise StorageError(
                    f"{self.path}: is not there. A control process without it has forgotten what it voted for and "
                    "what it confirmed, and must not go on; --new is for the first start of all of them"
                )
            replace_file(self.path, storage.whole(Kept(me, count).records()), 0o600)
        data = self.path.read_bytes()
        try:
            kept = storage.read(data, me, count)
        except StorageError as problem:
            raise StorageError(f"{self.path}: {problem}") from None
        self.fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if kept.good < len(data):  # a write that a kill interrupted: what is behind it would be unreadable
            os.ftruncate(self.fd, kept.good)
            os.fsync(self.fd)
        self.torn = len(data) - kept.good
        return kept

    def _rebuild(self, me: int, count: int, copies: tuple[Path, ...]) -> None:
        if self.path.exists():
            raise StorageError(f"{self.path}: is there, and is not overwritten: take it away first")
        others = []
        for path in copies:
            data, why = path.read_bytes(), ""
            for k in range(count):
                try:
                    others.append(storage.read(data, k, count))
                    break
                except StorageError as problem:
                    why = str(problem)
            else:
                raise StorageError(f"{path}: {why}")
        replace_file(self.path, storage.whole(storage.rebuilt(me, count, others).records()), 0o600)

    def carry(self, orders: list[Append | Rewrite]) -> int:
        """Carry out in order, so that all outlives a crash; the last serial. Raises OSError: then nobody knows what
        is on disk (a failed fsync may have dropped it), and the process must end."""
        for order in orders:
            if isinstance(order, Rewrite):
                replace_file(self.path, storage.whole(order.records), 0o600)
                os.close(self.fd)
                self.fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            else:
                data = memoryview(storage.pack(order.records))
                while data:
                    data = data[os.write(self.fd, data) :]
        os.fdatasync(self.fd)
        return orders[-1].serial

    def close(self) -> None:
        with contextlib.suppress(OSError):
            if self.fd >= 0:
                os.close(self.fd)
        self.lock.close()
