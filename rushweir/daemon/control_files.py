"""The folder of a control process: one file of its log, held by one process. Plain file calls, no decisions.

A fold makes the file anew in two halves. ``make`` writes the new one under another name while the old one is
still appended to, and takes as long as it likes. ``Place``, in its turn among the writes, copies what was appended
meanwhile and puts the new one in place of the old one. A kill before that leaves the old file with all that was
appended, a kill after it the new one with the same; what was half made is taken away at the next start.
"""

from __future__ import annotations

import contextlib
import os
from dataclasses import dataclass
from pathlib import Path

from rushweir.daemon.lock import StateLock
from rushweir.files import replace_file
from rushweir.rollout import storage
from rushweir.rollout.commands import Append, Compact, Rewrite
from rushweir.rollout.storage import PersistentState, StorageError

NAME, HALF_MADE = "steps.log", "steps.log.fold"
COPIED = 1_048_576  # bytes at a time


@dataclass(slots=True)
class Place:
    """The file that this fold asked for is made: it may take its place."""

    fold: Compact


Write = Append | Rewrite | Compact | Place


class ControlFiles:
    """``steps.log`` in a folder."""

    def __init__(self, folder: Path, me: int, count: int, new: bool, copies: tuple[Path, ...] = ()) -> None:
        """Takes the folder's lock. Raises lock.Held, StorageError, OSError; ``new``: the first start of all;
        ``copies``: the log is lost, and is made of those of all the others, which are down."""
        self.path, self.half = folder / NAME, folder / HALF_MADE
        self.lock = StateLock(folder)
        self.fd = self.half_fd = -1
        self.size = 0  # of the file, with what is not synced yet
        self.fold: Compact | None = None  # on its way
        self.from_ = 0  # what it replaces ends there; what is behind stays
        try:
            if copies:
                self._rebuild(me, count, copies)
            self.kept = self._open(me, count, new)
        except BaseException:
            self.lock.close()
            raise

    def _open(self, me: int, count: int, new: bool) -> PersistentState:
        if not self.path.exists():
            if not new:
                raise StorageError(
                    f"{self.path}: is not there. A control process without it has forgotten what it voted for and "
                    "what it confirmed, and must not go on; --new is for the first start of all of them"
                )
            replace_file(self.path, storage.encode_file(PersistentState(me, count).records()), 0o600)
        self.half.unlink(missing_ok=True)
        data = self.path.read_bytes()
        try:
            kept = storage.decode_file(data, me, count)
        except StorageError as problem:
            raise StorageError(f"{self.path}: {problem}") from None
        self.fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if kept.valid_bytes < len(data):  # a write that a kill interrupted: what is behind it would be unreadable
            os.ftruncate(self.fd, kept.valid_bytes)
            os.fsync(self.fd)
        self.torn, self.size = len(data) - kept.valid_bytes, kept.valid_bytes
        return kept

    def _rebuild(self, me: int, count: int, copies: tuple[Path, ...]) -> None:
        if self.path.exists():
            raise StorageError(f"{self.path}: is there, and is not overwritten: take it away first")
        others = []
        for path in copies:
            data, why = path.read_bytes(), ""
            for k in range(count):
                try:
                    others.append(storage.decode_file(data, k, count))
                    break
                except StorageError as problem:
                    why = str(problem)
            else:
                raise StorageError(f"{path}: {why}")
        replace_file(self.path, storage.encode_file(storage.rebuild_state(me, count, others).records()), 0o600)

    def carry(self, orders: list[Write]) -> tuple[int, int]:
        """Carry out in order, so that all outlives a crash; the serial of the last write, and that of a fold whose
        file is in place now, 0: none. Raises OSError: then nobody knows what is on disk (a failed fsync may have
        dropped it), and the process must end."""
        last = placed = 0
        for order in orders:
            match order:
                case Append():
                    self.size += _write(self.fd, storage.pack_records(order.records))
                    last = order.serial
                case Rewrite():
                    self._rewrite(order)
                    last = order.serial
                case Compact():
                    self.fold, self.from_ = order, self.size
                case Place() if self.fold is order.fold:
                    self._place()
                    placed = order.fold.serial
                case Place():
                    pass  # a Rewrite came between
        os.fdatasync(self.fd)
        return last, placed

    def _rewrite(self, order: Rewrite) -> None:
        data = storage.encode_file(order.records)
        replace_file(self.path, data, 0o600)
        os.close(self.fd)
        self.fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self.size, self.fold = len(data), None

    def make(self, fold: Compact) -> None:
        """Write the file that a fold asks for, beside the one that is appended to; it may run beside ``carry``, and
        once at a time. Raises OSError."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        if self.half_fd >= 0:  # a Rewrite ended the one before
            os.close(self.half_fd)
        self.half_fd = os.open(self.half, flags, 0o600)
        for piece in storage.encode_file_chunks(fold.records):
            if self.fold is not fold:
                return
            _write(self.half_fd, piece)  # others get their turn in each
        os.fsync(self.half_fd)  # so that little is left for ``_place``

    def _place(self) -> None:
        with open(self.path, "rb") as old:
            old.seek(self.from_)
            while data := old.read(COPIED):
                _write(self.half_fd, data)
        os.fsync(self.half_fd)
        os.replace(self.half, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        os.close(self.fd)
        self.fd, self.half_fd, self.fold = self.half_fd, -1, None
        self.size = os.fstat(self.fd).st_size

    def close(self) -> None:
        for fd in (self.fd, self.half_fd):
            with contextlib.suppress(OSError):
                if fd >= 0:
                    os.close(fd)
        self.lock.close()


def _write(fd: int, data: bytes) -> int:
    """All of it; how many bytes."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(fd, rest) :]
    return len(data)
