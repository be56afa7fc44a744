"""An ingress's side of settings distribution: it watches a control process and applies versions. No I/O, no clock.

watch_connections.py chooses the control process, reorder_buffer.py holds what was received beyond the acting version.
This core exchanges messages, and commands its shell to apply and to persist.

    received                                      then
    the next change set                           taken, if the digest of the whole store matches; else repair
    a change set that is known, repeated or late  nothing
    a change set beyond the next                  asks again, from the newest version received
    a chunk of a delta to the newest version      collected; taken with the last one, if the digest matches
    a message whose seal does not match           refused; asks again; after MAX_BAD_MESSAGES in a row it watches
                                                  another control process
    a digest that does not match                  nothing taken; the digests of buckets find what differs

    applying      event                           then
    nothing       a newer version is received     command Apply, once, with all changes since the acting version
    nothing       objects of its version repaired the same
    a version     applied                         is the acting version; command Persist, reported when it is on disk
    a version     refused                         the acting version stays; the refusal is reported with object and
                                                  field; applied again with the next change set

Apply covers all changes or none. A version is reported as applied only when it is on disk too, so that a restart
never falls behind the report. Versions never go back, in memory or on disk.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import ChangeSetError, Key
from rushweir.rollout.large_messages import LARGE_MESSAGE_CHARS, LargeMessage, decode_change_set
from rushweir.rollout.object_store import DIGEST_BYTES, ObjectStoreError, validate_row
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer, parse_object_digests
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watch_connections import Connect, Disconnect, WatchConnections
from rushweir.rollout.watcher_commands import Apply, LogEvent, Persist, Refusal, Send

REPORT_MIN_MS = 200.0  # between two reports of the acting version, if it has changed
REPORT_MAX_MS = 2_000.0  # between two reports, as a heartbeat
RETRY_MIN_MS, RETRY_MAX_MS = 200.0, 3_200.0  # before it asks again: at first, and at most
STUCK_MS = 5_000.0  # without progress behind the version in heartbeats, after which it asks again
PERSIST_RETRY_MS = 10_000.0  # before a failed write is repeated
COMPACT_MS = 20.0  # between two steps of the store's compaction in memory
MAX_BAD_MESSAGES = 5  # in a row, before it leaves a control process


class Watcher:
    """What one ingress knows and does; times are in ms. The shell takes ``commands`` after each call."""

    def __init__(
        self,
        now: float,
        name: str,
        controls: tuple[str, ...],
        stored: StoredSettings,
        key: bytes = b"",
        seed: int = 0,
    ) -> None:
        """``stored``: the settings on disk, which are acted on from the start. ``controls``: addresses."""
        self.now = now
        self.name = name
        self.key = key
        self.rng = random.Random(seed)
        self.commands: deque[Connect | Disconnect | Send | Apply | Persist | LogEvent] = deque()
        self.stored_state, self.store = stored, stored.store
        self.buffer = ReorderBuffer(self.store)
        self.connections = WatchConnections(self, name, controls, now, self.rng)
        self.on_disk = self.store.version
        # The least acting version of all ingresses, and the newest version, as heartbeats say.
        self.least = self.head = 0
        self.refusal: Refusal | None = None  # of a version newer than the acting version
        self.disk_failure = ""
        self.repair_delta: Delta | None = None
        self.chunks_received = 0  # of the repair delta
        self.repairing = False
        self.large_message: LargeMessage | None = None  # that is being received
        self.bad_messages = 0  # in a row
        self.retry_ms = RETRY_MIN_MS
        self.ask_at = self.persist_at = self.compact_at = float("inf")
        self.progress_at = self.report_at = now
        self.reported_version = -1  # the acting version that it reported last
        self.counts: Counter[str] = Counter()
        self._schedule_compaction()

    @property
    def version(self) -> int:
        """The acting version."""
        return self.store.version

    def status(self) -> dict[str, Any]:
        """Rows for operators."""
        link = self.connections.primary
        return {
            "version": self.version, "known": max(self.buffer.version, self.head), "least": self.least,
            "refused": self.refusal.reason() if self.refusal else "",
            "on_disk": self.on_disk, "disk": self.disk_failure,
            "watches": self.connections.order[link.choice] if link is not None and link.nonce >= 0 else "",
            "current": link is not None and link.current,
        }  # fmt: skip

    # --- events ----------------------------------------------------------------------------------

    def opened(self, now: float, conn: int) -> None:
        """A connection is established."""
        self.now = now
        self.connections.opened(now, conn)

    def lost(self, now: float, conn: int) -> None:
        """A connection could not be established, was closed or is broken."""
        self.now = now
        primary = self.connections.primary
        if primary is not None and primary.conn == conn:
            self._drop_chunks()
            self.ask_at = float("inf")
        self.connections.lost(now, conn)

    def prepare_large_message(self, text: bytes | str) -> LargeMessage | None:
        """The work that may be done in a thread before a large message is ``received``; None: it is not large. Later
        messages of its connection have to wait."""
        return LargeMessage(text, self.key, self.buffer.view()) if len(text) > LARGE_MESSAGE_CHARS else None

    def received(self, now: float, conn: int, text: bytes | str, large_message: LargeMessage | None = None) -> None:
        """A message came. ``large_message``: its work done before."""
        self.now, self.large_message = now, large_message
        link = self.connections.find(conn)
        if link is None:
            return
        link.last_seen_at = now
        try:
            method, fields = watch_channel.read(text, self.key) if large_message is None else large_message.read()
            if method == "rollout.beat":
                self._receive_heartbeat(conn, fields)
            elif link is not self.connections.primary or link.nonce < 0:
                return
            elif method == "rollout.step":
                self._receive_change_set(fields)
            elif method == "rollout.mend":
                self._receive_delta(fields)
            elif method == "rollout.ask":
                self._send("rollout.parts", self._watch_state() | {"digests": self.buffer.digests()})
            self.bad_messages = 0
        except (watch_channel.MessageError, ChangeSetError, ObjectStoreError) as problem:
            self._receive_malformed(conn, str(problem))

    def applied(self, now: float, version: int) -> None:
        """The changes of the last command Apply are in force."""
        self.now = now
        base, rows = self.store.version, self.buffer.applied()
        self.refusal = None
        for operation in self.stored_state.add(base, rows):
            self.commands.append(Persist(operation, version))
        self._report()
        self._apply_newest()
        self._schedule_compaction()

    def refused(self, now: float, version: int, key: Key, field: str, text: str) -> None:
        """None of the changes of the last command Apply is in force."""
        self.now = now
        self.buffer.refused()
        self.refusal = Refusal(version, key, field, text)
        self.counts["refused"] += 1
        self.commands.append(
            LogEvent("error", "settings_refused", {"version": version, "why": self.refusal.reason()})
        )
        self._report_refusal()
        if self.buffer.version > version:
            self._apply_newest()
        self._schedule_compaction()

    def persisted(self, now: float, version: int) -> None:
        """A version is on disk."""
        self.now, self.disk_failure = now, ""
        self.on_disk = max(self.on_disk, version)
        self._report()

    def persist_failed(self, now: float, why: str) -> None:
        """A write failed. The disk has its former content, or a torn end; all is rewritten after PERSIST_RETRY_MS."""
        self.now = now
        if not self.disk_failure:
            self.commands.append(LogEvent("error", "settings_not_kept", {"why": why[: watch_channel.MAX_TEXT_CHARS]}))
        self.disk_failure = why[: watch_channel.MAX_TEXT_CHARS]
        self.stored_state.write_failed()
        self.persist_at = now + PERSIST_RETRY_MS
        self._report()

    def next_at(self) -> float:
        """When ``advance`` is to be called next."""
        due = min(self.connections.next_at(), self.ask_at, self.persist_at, self.compact_at)
        if self._is_watching():
            due = min(due, self.report_at)
            if self.head > self.buffer.version:
                due = min(due, self.progress_at + STUCK_MS)
        return due

    def advance(self, now: float) -> None:
        """Do what is due."""
        self.now = now
        self.connections.advance(now)
        if now >= self.persist_at:
            self.persist_at = float("inf")
            self.commands.append(Persist(self.stored_state.rewrite(), self.version))
        if now >= self.compact_at:
            self.compact_at = float("inf")
            # Not while a change is applied: a thread may read the store meanwhile.
            if self.buffer.applying is None and self.store.compact():
                self.compact_at = now + COMPACT_MS
        if not self._is_watching():
            return
        if now >= self.ask_at:
            self._send_watch()
        elif self.head > self.buffer.version and now >= self.progress_at + STUCK_MS:
            self.counts["stuck"] += 1
            self._send_watch()
        if now >= self.report_at:
            self._report(True)

    # --- messages of control processes -----------------------------------------------------------

    def _receive_heartbeat(self, conn: int, fields: dict[str, Any]) -> None:
        head, least = watch_channel.int_field(fields, "head"), watch_channel.int_field(fields, "least")
        nonce = watch_channel.int_field(fields, "nonce") if "nonce" in fields else None
        self.least = max(self.least, least)
        if self.connections.primary is not None and self.connections.primary.conn == conn:
            if fields.get("waits") is True or head > self.head and self.head <= self.buffer.version:
                self.progress_at = self.now  # it is behind only from now on, or its messages are queued
            self.head = head
        self.connections.heartbeat(self.now, conn, nonce, head, fields.get("current") is True)

    def _receive_change_set(self, fields: dict[str, Any]) -> None:
        large_message, self.large_message = self.large_message, None
        change_set, delta = (
            (decode_change_set(fields), None)
            if large_message is None
            else (large_message.decoded(), large_message.delta)
        )
        digest = watch_channel.bytes_field(fields, "digest", DIGEST_BYTES)
        if change_set.version <= self.buffer.version:
            self.counts["known"] += 1
        elif change_set.version > self.buffer.version + 1:
            self.counts["ahead"] += 1
            self._ask_again()
        elif self.buffer.take_change_set(change_set, digest, delta):
            self._version_advanced()
        else:
            self._start_repair()

    def _receive_delta(self, fields: dict[str, Any]) -> None:
        base, version = watch_channel.int_field(fields, "base"), watch_channel.int_field(fields, "version")
        rows, digest = fields.get("rows"), watch_channel.bytes_field(fields, "digest", DIGEST_BYTES)
        if not isinstance(rows, list):
            raise watch_channel.MessageError("rows: not an array")
        chunk = watch_channel.int_field(fields, "piece")
        if base != self.buffer.version or version < base or chunk > self.chunks_received:
            self._drop_chunks()
            self._ask_again()
            return
        if chunk < self.chunks_received and chunk:
            return  # repeated
        self.progress_at = self.now
        delta = self.repair_delta = (
            self.repair_delta if self.repair_delta is not None and chunk else Delta(self.buffer)
        )
        self.chunks_received = chunk + 1
        try:
            for row in rows:
                text, stored = row
                validate_row(text, stored)
                delta.add(text, stored)
            for bucket, digests in parse_object_digests(fields.get("marks")):
                delta.delete_unlisted(bucket, digests)
        except (TypeError, ValueError) as problem:
            self._drop_chunks()
            raise ObjectStoreError(f"delta: {problem}") from None
        if fields.get("more") is True:
            return
        self._drop_chunks()
        if self.buffer.take_delta(delta, version, digest):
            self.counts["mended"] += 1
            self._version_advanced()
        else:
            self._start_repair()

    def _drop_chunks(self) -> None:
        self.repair_delta, self.chunks_received = None, 0

    def _version_advanced(self) -> None:
        self.progress_at, self.retry_ms, self.ask_at = self.now, RETRY_MIN_MS, float("inf")
        self.repairing = False
        self._apply_newest()

    def _start_repair(self) -> None:
        """A digest does not match: the store may be damaged, or what was received was wrong."""
        self.counts["digest_wrong"] += 1
        self.commands.append(LogEvent("warning", "settings_differ", {"version": self.buffer.version}))
        self.repairing = True
        self._ask_again()

    def _receive_malformed(self, conn: int, why: str) -> None:
        self.counts["bad_messages"] += 1
        self.bad_messages += 1
        if self.bad_messages == 1:
            self.commands.append(
                LogEvent("warning", "rollout_message_refused", {"why": why[: watch_channel.MAX_TEXT_CHARS]})
            )
        if self.bad_messages >= MAX_BAD_MESSAGES:
            self.bad_messages = 0
            self.commands.append(Disconnect(conn))
            self.lost(self.now, conn)
        elif self._is_watching() and self.connections.primary is not None and self.connections.primary.conn == conn:
            self._drop_chunks()
            self._ask_again()

    # --- messages to the control process ---------------------------------------------------------

    def primary_changed(self) -> None:
        """Another control process is to be watched, from the start."""
        self.head = self.connections.primary.head if self.connections.primary is not None else 0
        self._send_watch()
        self._report_refusal()

    def _is_watching(self) -> bool:
        return self.connections.primary is not None and self.connections.primary.nonce >= 0

    def _watch_state(self) -> dict[str, Any]:
        return {"version": self.buffer.version, "acts": self._acting_version(), "repair": self.repairing}

    def _acting_version(self) -> int:
        return min(self.version, self.on_disk)

    def _send_watch(self) -> None:
        assert self.connections.primary is not None
        self.ask_at, self.progress_at = float("inf"), self.now
        self._drop_chunks()
        self.reported_version, self.report_at = self._acting_version(), self.now + REPORT_MAX_MS
        fields = {"who": self.name, "nonce": self.connections.primary.nonce, "digest": self.buffer.digest()}
        self.counts["watches"] += 1
        self._send("rollout.watch", self._watch_state() | fields)

    def _ask_again(self) -> None:
        """After a delay that doubles each time, since messages in transit may arrive meanwhile."""
        if self.ask_at == float("inf"):
            self.ask_at = self.now + self.retry_ms * self.rng.uniform(0.5, 1.0)
            self.retry_ms = min(RETRY_MAX_MS, self.retry_ms * 2)

    def _report(self, heartbeat: bool = False) -> None:
        """Report the acting version, at most once in REPORT_MIN_MS."""
        if not self._is_watching():
            return
        if not heartbeat and self._acting_version() == self.reported_version and not self.disk_failure:
            return
        if not heartbeat and self.now < self.report_at - REPORT_MAX_MS + REPORT_MIN_MS:
            self.report_at = min(self.report_at, self.now + REPORT_MIN_MS)
            return
        self.reported_version, self.report_at = self._acting_version(), self.now + REPORT_MAX_MS
        why = f"can't keep its settings: {self.disk_failure}" if self.disk_failure else ""
        self._send("rollout.acts", {"version": self.reported_version, "why": why[: watch_channel.MAX_TEXT_CHARS]})

    def _report_refusal(self) -> None:
        refusal = self.refusal
        if self._is_watching() and refusal is not None:
            texts = {"kind": refusal.key[0], "name": refusal.key[1], "field": refusal.field, "text": refusal.text}
            shortened = {name: value[: watch_channel.MAX_TEXT_CHARS] for name, value in texts.items()}
            self._send("rollout.refused", {"version": refusal.version, "acts": self._acting_version(), **shortened})

    def _send(self, method: str, fields: dict[str, Any]) -> None:
        assert self.connections.primary is not None
        self.commands.append(Send(self.connections.primary.conn, watch_channel.write(method, fields, self.key)))

    def _schedule_compaction(self) -> None:
        if self.store.needs_compaction:
            self.compact_at = min(self.compact_at, self.now + COMPACT_MS)

    def _apply_newest(self) -> None:
        if self.buffer.applying is None and (self.buffer.version > self.version or self.buffer.rows):
            if self.refusal is not None and self.refusal.version == self.buffer.version:
                return
            version = self.buffer.version
            self.commands.append(Apply(self.buffer.freeze(), version))
