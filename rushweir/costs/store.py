"""The ledger's files: an append-only log, and snapshots that allow a new log to begin.

    costs.snap          generation, and the complete ledger at the start of that generation's log; replaced atomically
    costs-GEN.log       the records since then

A snapshot names its generation, and only the log of that generation is replayed on it: a crash between the two writes
leaves either the old pair or the new snapshot with an empty log, and no transition is applied twice. A power cut may
lose what was not synced yet, ``SYNC_INTERVAL_S`` at most; a kill loses nothing that was written.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from zlib import crc32

import orjson

from rushweir.costs import log
from rushweir.costs.ledger import CostLedger, Entry, Transition
from rushweir.files import replace_file

FORMAT = 1
SYNC_INTERVAL_S = 0.1
COMPACT_BYTES = 16 * 1024 * 1024  # log size from which compaction is due


class StoreError(Exception):
    """Invalid files; the text names the file and what is wrong."""


class Store:
    """Stores one ledger in a folder. Writes are buffered: call ``flush`` after each turn, ``sync`` periodically."""

    def __init__(self, folder: Path, ledger: CostLedger) -> None:
        """Load the files into an empty ledger, truncating a torn end. Raises StoreError, OSError."""
        self.folder = folder
        self.ledger = ledger
        folder.mkdir(parents=True, exist_ok=True)
        self.generation = self._load_snapshot()
        self.path = self._log_path(self.generation)
        data = self.path.read_bytes() if self.path.exists() else b""
        try:
            end = log.valid_end(data)
            self.replayed_records = log.replay(ledger, data[:end])
        except log.LogError as problem:
            raise StoreError(f"{self.path}: {problem}") from None
        self.torn_bytes = len(data) - end
        self.file = open(self.path, "ab", buffering=1 << 16)  # noqa: SIM115 - closed in ``close``
        if self.torn_bytes:
            self.file.truncate(end)
            self.file.seek(0, os.SEEK_END)
        if not end:
            self.file.write(log.MAGIC)
        self.size = max(end, len(log.MAGIC))
        self._delete_other_logs()

    def _log_path(self, generation: int) -> Path:
        return self.folder / f"costs-{generation}.log"

    def _load_snapshot(self) -> int:
        """Restore the ledger from the snapshot; returns its generation, 0 if there is none."""
        path = self.folder / "costs.snap"
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return 0
        try:
            head, body = data.split(b"\n", 1)
            header = orjson.loads(head)
            if header["format"] != FORMAT or header["crc32"] != crc32(body):
                raise ValueError("another format, or altered")
            self.ledger.restore(orjson.loads(body))
            return int(header["generation"])
        except (ValueError, KeyError, TypeError) as problem:
            # Starting with empty accounts would lose what partners used: an operator must look at the file.
            raise StoreError(f"{path}: {problem}") from None

    def _delete_other_logs(self) -> None:
        for path in self.folder.glob("costs-*.log"):
            if path != self.path:
                with contextlib.suppress(OSError):
                    path.unlink()

    # --- writing ---------------------------------------------------------------------------------

    def append_open(self, entry: Entry) -> None:
        """Append the record of an entry that is opened."""
        self._write(log.encode_open(entry))

    def append_transition(self, transition: Transition, now: float) -> None:
        """Append the record of a transition."""
        self._write(log.encode_transition(transition, now))

    def _write(self, data: bytes) -> None:
        self.file.write(data)
        self.size += len(data)

    def flush(self) -> None:
        """Write the buffer to the operating system: from then on, a kill of this process loses nothing of it."""
        self.file.flush()

    def sync(self) -> None:
        """Force what was written to disk. Blocks: call it outside of the event loop."""
        self.file.flush()
        os.fdatasync(self.file.fileno())

    @property
    def wants_compaction(self) -> bool:
        """Whether the log is larger than ``COMPACT_BYTES``."""
        return self.size > COMPACT_BYTES

    def compact(self) -> None:
        """Write a snapshot and begin a new log. Raises OSError if it can't be written; the old pair stays in use."""
        body = orjson.dumps(self.ledger.dump())
        next_generation = self.generation + 1
        head = orjson.dumps({"format": FORMAT, "generation": next_generation, "crc32": crc32(body)})
        file = open(self._log_path(next_generation), "wb", buffering=1 << 16)  # noqa: SIM115 - kept, or closed below
        try:
            file.write(log.MAGIC)
            file.flush()
            os.fsync(file.fileno())
            replace_file(self.folder / "costs.snap", head + b"\n" + body, 0o600)
        except OSError:
            file.close()
            with contextlib.suppress(OSError):
                self._log_path(next_generation).unlink()
            raise
        self.file.close()
        self.file = file
        self.path = self._log_path(next_generation)
        self.generation = next_generation
        self.size = len(log.MAGIC)
        self._delete_other_logs()

    def close(self) -> None:
        """Sync and close the log."""
        with contextlib.suppress(OSError):
            self.sync()
        self.file.close()
