"""The ledger's files: a log that is appended to, and snapshots that let it begin anew.

    costs.snap          generation, and the whole ledger as of its log's begin; replaced as one (rename)
    costs-GEN.log       what happened since

A snapshot names its generation, and only the log of that generation is read with it: a crash between the two
leaves either the old pair or the new snapshot with an empty log, never steps that are done twice. What a crash may
lose is what was not synced yet, ``SYNC_S`` at most: for the time of a power cut, not of a kill, which loses nothing
that was written.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from zlib import crc32

import orjson

from rushweir.costs import log
from rushweir.costs.ledger import Costs, Entry, Step
from rushweir.files import replace_file

FORMAT = 1
SYNC_S = 0.1
COMPACT_BYTES = 16 * 1024 * 1024  # of a log, before it begins anew


class StoreError(Exception):
    """Files that can't be taken; the text names the file and what is wrong."""


class Store:
    """Keeps one ledger in a folder. Writes are buffered: call ``flush`` after each turn, ``sync`` now and then."""

    def __init__(self, folder: Path, costs: Costs) -> None:
        """Read what is there into an empty ledger, cutting a torn end. Raises StoreError, OSError."""
        self.folder, self.costs = folder, costs
        folder.mkdir(parents=True, exist_ok=True)
        self.generation = self._snapshot()
        self.path = self._log(self.generation)
        data = self.path.read_bytes() if self.path.exists() else b""
        try:
            end = log.good_end(data)
            self.replayed = log.replay(costs, data[:end])
        except log.LogError as problem:
            raise StoreError(f"{self.path}: {problem}") from None
        self.torn = len(data) - end
        self.file = open(self.path, "ab", buffering=1 << 16)  # noqa: SIM115 - closed in ``close``
        if self.torn:
            self.file.truncate(end)
            self.file.seek(0, os.SEEK_END)
        if not end:
            self.file.write(log.MAGIC)
        self.size = max(end, len(log.MAGIC))
        self._drop_others()

    def _log(self, generation: int) -> Path:
        return self.folder / f"costs-{generation}.log"

    def _snapshot(self) -> int:
        path = self.folder / "costs.snap"
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return 0
        try:
            head, body = data.split(b"\n", 1)
            kept = orjson.loads(head)
            if kept["format"] != FORMAT or kept["crc32"] != crc32(body):
                raise ValueError("another format, or altered")
            self.costs.restore(orjson.loads(body))
            return int(kept["generation"])
        except (ValueError, KeyError, TypeError) as problem:
            # To begin with empty accounts would forget what partners used: somebody must look.
            raise StoreError(f"{path}: {problem}") from None

    def _drop_others(self) -> None:
        for path in self.folder.glob("costs-*.log"):
            if path != self.path:
                with contextlib.suppress(OSError):
                    path.unlink()

    # --- writing ---------------------------------------------------------------------------------

    def opened(self, entry: Entry) -> None:
        self._write(log.opened(entry))

    def stepped(self, step: Step, now: float) -> None:
        self._write(log.stepped(step, now))

    def _write(self, data: bytes) -> None:
        self.file.write(data)
        self.size += len(data)

    def flush(self) -> None:
        """Hand what is buffered to the system: from then on a kill of this process loses nothing of it."""
        self.file.flush()

    def sync(self) -> None:
        """Have the disk take it; to be called beside the event loop."""
        self.file.flush()
        os.fdatasync(self.file.fileno())

    @property
    def wants_compaction(self) -> bool:
        return self.size > COMPACT_BYTES

    def compact(self) -> None:
        """Begin anew with a snapshot. Raises OSError where it can't be written; then all goes on as before."""
        body = orjson.dumps(self.costs.dump())
        new = self.generation + 1
        head = orjson.dumps({"format": FORMAT, "generation": new, "crc32": crc32(body)})
        file = open(self._log(new), "wb", buffering=1 << 16)  # noqa: SIM115 - kept, or closed below
        try:
            file.write(log.MAGIC)
            file.flush()
            os.fsync(file.fileno())
            replace_file(self.folder / "costs.snap", head + b"\n" + body, 0o600)
        except OSError:
            file.close()
            with contextlib.suppress(OSError):
                self._log(new).unlink()
            raise
        self.file.close()
        self.file, self.path, self.generation, self.size = file, self._log(new), new, len(log.MAGIC)
        self._drop_others()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sync()
        self.file.close()
