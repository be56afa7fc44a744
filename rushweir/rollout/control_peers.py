"""What a leader knows of each other process and sends it: append entries, or a snapshot in chunks. No I/O, no clock.

    from       event                                           to
    ENTRIES    the next entry that it needs is compacted       SNAPSHOT   chunks, one in flight at a time
    SNAPSHOT   it has all chunks on disk                       ENTRIES
    SNAPSHOT   no answer for an election timeout, or a new     SNAPSHOT   the same chunk again
               stream

Entries are sent ahead of their answers, within limits; after a rejection, again from where the logs match.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.rollout.storage import SnapshotChunks

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

MAX_IN_FLIGHT, MAX_IN_FLIGHT_BYTES = 512, 2_097_152  # entries sent and not confirmed; plus one entry


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to one peer. ``next``: number of the chunk in flight."""

    index: int
    term: int
    version: int
    chunks: SnapshotChunks
    next: int = 0
    sent_at: float = 0.0


class Peer:
    """One other process, as its leader sees it."""

    def __init__(self, control: Control, id: int) -> None:
        self.control, self.id = control, id
        self.match_index = 0  # entries up to it are on the peer's disk
        self.next_index = control.log.last_index + 1
        self.last_heard_at = control.now  # when the message that it answered last was sent
        self.heartbeat_due_at = control.now
        self.transfer: SnapshotTransfer | None = None

    def tick(self) -> None:
        """Send a heartbeat if it is due, and an unanswered chunk again."""
        if self.control.now >= self.heartbeat_due_at:
            transfer = self.transfer
            timeout = self.control.timing.election_timeout_ms
            if transfer is not None and self.control.now - transfer.sent_at >= timeout:
                self._send_chunk(transfer)
            self.replicate(heartbeat=True)

    def connected(self) -> None:
        """Begin again on a new stream: messages in flight are lost."""
        self.next_index = self.match_index + 1
        if self.transfer is not None:
            self._send_chunk(self.transfer)
        self.replicate(heartbeat=True)

    def replicate(self, heartbeat: bool = False) -> None:
        """Send what the limits allow; at least one message if ``heartbeat``."""
        log = self.control.log
        if self.transfer is None and self.next_index <= log.snapshot.index:
            snapshot = log.snapshot
            chunks = SnapshotChunks(snapshot, log.limits.chunk_bytes)
            self.transfer = SnapshotTransfer(snapshot.index, snapshot.term, snapshot.version, chunks)
            self._send_chunk(self.transfer)
        if self.transfer is not None:
            if heartbeat:  # after an entry that the peer can't have: only its answer matters
                self._append_entries(log.snapshot.index, [])
            return
        while (rows := self._rows()) or heartbeat:
            heartbeat = False
            self._append_entries(self.next_index - 1, rows)
            self.next_index += len(rows)

    def _append_entries(self, previous: int, rows: list[list[Any]]) -> None:
        control = self.control
        log = control.log
        self.heartbeat_due_at = control.now + control.timing.heartbeat_ms
        commit_index = min(control.commit_index, log.last_index)
        control.send(
            self.id, "append", previous, log.term(previous), commit_index, rows, control.positions(), control.now
        )

    def _rows(self) -> list[list[Any]]:
        """Term and data of the entries that may be sent in one message now."""
        log, rows, size = self.control.log, [], 0
        unconfirmed = range(max(self.match_index, log.snapshot.index) + 1, self.next_index)
        in_flight_bytes = sum(len(log.entry_at(n).data) for n in unconfirmed)
        max_bytes, k = min(log.limits.message_bytes, MAX_IN_FLIGHT_BYTES - in_flight_bytes), self.next_index
        while k <= log.last_index and k - self.match_index <= MAX_IN_FLIGHT and size < max_bytes:
            entry = log.entry_at(k)
            rows.append([entry.term, entry.data])
            size += len(entry.data)
            k += 1
        return rows

    def _send_chunk(self, transfer: SnapshotTransfer) -> None:
        control = self.control
        transfer.sent_at = control.now
        rows = transfer.chunks.chunk(transfer.next)
        is_last = transfer.chunks.is_last(transfer.next)
        control.send(
            self.id,
            "part",
            transfer.index,
            transfer.term,
            transfer.version,
            transfer.next,
            is_last,
            rows,
            control.now,
        )

    # --- answers ---------------------------------------------------------------------------------

    def append_answered(self, accepted: bool, index: int, sent_at: float) -> None:
        """``index``: up to it the peer's disk has this log's entries, or, if rejected, the logs may be equal."""
        self._note_answer(sent_at)
        if accepted:
            self.match_index = max(self.match_index, min(index, self.control.log.last_index))
            self.next_index = max(self.next_index, self.match_index + 1)
            if self.transfer is not None and self.match_index >= self.transfer.index:
                self.transfer = None
        elif self.transfer is None:
            hint = min(index, self.next_index - 2, self.control.log.last_index)
            self.next_index = max(self.match_index, hint) + 1
        self.replicate()

    def chunk_answered(self, index: int, wanted: int, sent_at: float) -> None:
        """``wanted``: number of the chunk of the snapshot at ``index`` that the peer needs next."""
        self._note_answer(sent_at)
        transfer = self.transfer
        if (
            transfer is not None
            and transfer.index == index
            and 0 <= wanted < transfer.chunks.available
            and wanted != transfer.next
        ):
            transfer.next = wanted
            self._send_chunk(transfer)

    def _note_answer(self, sent_at: float) -> None:
        self.last_heard_at = max(self.last_heard_at, min(sent_at, self.control.now))
