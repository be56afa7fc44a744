"""Where an ingress keeps the settings that came from the control processes: a thin shell on files.

In the state folder: ``rollout.book`` and ``rollout.log`` (rollout/stored_settings.py), and ``rollout.between``, whose
customers are held down until all know their new doors (rollout/ceilings.py): a restart must not forget it. It is on
disk before the change that it is of. All are written in a thread, in their order.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator, Sequence
from mmap import ACCESS_READ, mmap
from pathlib import Path

from rushweir.files import replace_file
from rushweir.rollout import stored_settings as disk
from rushweir.rollout.ceilings import IntermediateVersions
from rushweir.rollout.change_sets import Key
from rushweir.rollout.object_store import FileData, ObjectStore, decode_records, encode_record
from rushweir.rollout.stored_settings import Append, StoredSettings
from rushweir.rollout.watcher_commands import Persist

BOOK, LOG, BETWEEN = "rollout.book", "rollout.log", "rollout.between"

# Books are read and written in memory that goes back to the system at once: among the objects that live on, a few MB
# that were free again stayed with the process for good.


@contextlib.contextmanager
def mapped(path: Path) -> Iterator[FileData | None]:
    """A file's bytes; None: there is no file. Raises OSError."""
    if not path.exists():
        yield None
    elif not path.stat().st_size:
        yield b""
    else:
        with open(path, "rb") as file, mmap(file.fileno(), 0, access=ACCESS_READ) as data:
            yield data


@contextlib.contextmanager
def snapshot(book: ObjectStore) -> Iterator[memoryview]:
    """A book's bytes, as ``ObjectStore.dump``. Raises OSError."""
    pages = sum(map(len, book.pages()))
    with mmap(-1, pages) as room:
        for page in book.pages():
            room.write(page)
        with memoryview(room) as data:
            yield data


class Files:
    """What is kept, in a folder that is locked."""

    def __init__(self, folder: Path) -> None:
        self.book, self.log, self.between = folder / BOOK, folder / LOG, folder / BETWEEN
        self.bytes = 0  # written in this life

    def load(self) -> tuple[StoredSettings, list[str]]:
        """Cuts a log behind its last whole record. Raises OSError."""
        with mapped(self.book) as book, mapped(self.log) as log:
            kept, wrong, good = disk.load(book, log)
            torn = log is not None and good < len(log)
        if torn:
            os.truncate(self.log, good)
        if kept.store.version and good < len(disk.MAGIC):  # no log to write behind
            kept.write_failed()
        return kept, wrong

    def load_between(self) -> IntermediateVersions:
        """Raises OSError, ValueError, TypeError."""
        if not self.between.exists():
            return IntermediateVersions()
        found = [payload for _, payload in decode_records(self.between.read_bytes(), 0)]
        if len(found) != 1:
            raise ValueError(f"{BETWEEN} is torn or altered")
        return IntermediateVersions.load(found[0])

    def write(self, orders: Sequence[Persist | IntermediateVersions]) -> None:
        """In their order; appended ones that follow on each other with one fsync. Raises OSError."""
        waiting: list[bytes] = []
        for order in orders:
            if isinstance(order, IntermediateVersions):
                replace_file(self.between, encode_record(order.dump()), 0o600)
            elif isinstance(order.operation, Append):
                waiting.append(order.operation.data)
            else:
                waiting.clear()  # the book has them
                with snapshot(order.operation.store) as data:
                    replace_file(self.book, data, 0o600)
                    self.bytes += len(data) + len(disk.MAGIC)
                replace_file(self.log, disk.MAGIC, 0o600)
        if waiting:
            with open(self.log, "ab") as file:
                file.write(b"".join(waiting))
                file.flush()
                os.fsync(file.fileno())
            self.bytes += sum(map(len, waiting))


class Objects:
    """Those of a book, made as they are walked through: a list of all would be larger than what is made of them."""

    def __init__(self, book: ObjectStore) -> None:
        self.book = book

    def __iter__(self) -> Iterator[tuple[Key, bytes]]:
        return ((key, data) for key, _, data in self.book.objects())
