"""What a leader knows of each other process, and what it sends it: entries, or the whole in parts. No I/O, no clock.

    from      event                                               to
    ENTRIES   what it needs next is folded away here              WHOLE     parts, one on its way at a time
    WHOLE     it has all parts on disk                            ENTRIES
    WHOLE     no answer for an election time, or a new stream     WHOLE     the same part again

Entries are sent ahead of their answers, within bounds; after an answer that they do not fit, from what does fit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.rollout.storage import SnapshotChunks

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

FLYING, FLYING_BYTES = 512, 2_097_152  # entries sent and not confirmed, and bytes of them; one more entry


@dataclass(slots=True)
class SnapshotTransfer:
    """The base, being told to one peer."""

    index: int
    term: int
    version: int
    parts: SnapshotChunks
    next: int = 0
    sent_at: float = 0.0


class Peer:
    """One other process, as its leader sees it."""

    def __init__(self, control: Control, id: int) -> None:
        self.control, self.id = control, id
        self.match_index = 0  # entries up to this one are on its disk
        self.next = control.log.last_index + 1
        self.heard_at = control.now  # when that was sent which it answered last
        self.heartbeat_at = control.now
        self.transfer: SnapshotTransfer | None = None

    def tick(self) -> None:
        if self.control.now >= self.heartbeat_at:
            w = self.transfer
            if w is not None and self.control.now - w.sent_at >= self.control.timing.election_timeout_ms:
                self._send_part(w)
            self.replicate(heartbeat=True)

    def connected(self) -> None:
        """What was on its way is lost."""
        self.next = self.match_index + 1
        if self.transfer is not None:
            self._send_part(self.transfer)
        self.replicate(heartbeat=True)

    def replicate(self, heartbeat: bool = False) -> None:
        """What it may get now, at least a word if ``beat``."""
        log = self.control.log
        if self.transfer is None and self.next <= log.snapshot.index:
            b = log.snapshot
            self.transfer = SnapshotTransfer(b.index, b.term, b.version, SnapshotChunks(b, log.limits.chunk_bytes))
            self._send_part(self.transfer)
        if self.transfer is not None:
            if heartbeat:  # an entry's place that it can't have: it answers, and that is all that is wanted
                self._append(log.snapshot.index, [])
            return
        while (rows := self._rows()) or heartbeat:
            heartbeat = False
            self._append(self.next - 1, rows)
            self.next += len(rows)

    def _append(self, before: int, rows: list[list[Any]]) -> None:
        c = self.control
        self.heartbeat_at = c.now + c.timing.heartbeat_ms
        c.send(
            self.id,
            "append",
            before,
            c.log.term(before),
            min(c.commit_index, c.log.last_index),
            rows,
            c.positions(),
            c.now,
        )

    def _rows(self) -> list[list[Any]]:
        log, rows, size = self.control.log, [], 0
        flying = sum(
            len(log.entry_at(n).data) for n in range(max(self.match_index, log.snapshot.index) + 1, self.next)
        )
        most, k = min(log.limits.message_bytes, FLYING_BYTES - flying), self.next
        while k <= log.last_index and k - self.match_index <= FLYING and size < most:
            e = log.entry_at(k)
            rows.append([e.term, e.data])
            size += len(e.data)
            k += 1
        return rows

    def _send_part(self, w: SnapshotTransfer) -> None:
        c = self.control
        w.sent_at = c.now
        rows = w.parts.chunk(w.next)
        c.send(self.id, "part", w.index, w.term, w.version, w.next, w.parts.is_last(w.next), rows, c.now)

    # --- answers ---------------------------------------------------------------------------------

    def answered(self, fits: bool, index: int, sent_at: float) -> None:
        """``index``: up to where its disk has what this log has, or up to where the two may be equal."""
        self._heard(sent_at)
        if fits:
            self.match_index = max(self.match_index, min(index, self.control.log.last_index))
            self.next = max(self.next, self.match_index + 1)
            if self.transfer is not None and self.match_index >= self.transfer.index:
                self.transfer = None
        elif self.transfer is None:
            self.next = max(self.match_index, min(index, self.next - 2, self.control.log.last_index)) + 1
        self.replicate()

    def part_answered(self, index: int, wanted: int, sent_at: float) -> None:
        self._heard(sent_at)
        w = self.transfer
        if w is not None and w.index == index and 0 <= wanted < w.parts.available and wanted != w.next:
            w.next = wanted
            self._send_part(w)

    def _heard(self, sent_at: float) -> None:
        self.heard_at = max(self.heard_at, min(sent_at, self.control.now))
