"""An ingress's side of the distribution: it watches one control process and acts on what it gets. No I/O, no clock.

watch_connections.py decides whom it watches, reorder_buffer.py keeps what it knows beyond what it acts on. This one
speaks, and gives the orders to apply and to keep.

    what came                                     then
    a step on the newest known                    taken, if the whole's digest fits; else repaired
    a step that is known, twice or late           nothing
    a step ahead of its predecessor               asked again, from the newest known
    a piece of what differs, on the newest known  collected; taken with the last, if the digest fits
    a message whose seal does not fit             refused; asked again; MOST_BAD in a row: another control process
    a digest that does not fit                    nothing taken; what differs is asked for by the digests of parts

    applying      event                           then
    nothing       something newer is known        order Apply, once; all from the version that is acted on
    nothing       objects of its version mended   the same
    a version     applied                         acts on it; order Persist, and told when it is on disk
    a version     refused                         stays; told, with object and field; applied anew with the next step

Order Apply is whole or nothing. It says that it acts on a version only when that is on disk too, so that no restart
falls behind what it said. Versions never go back, here or on disk.
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

ACTS_MS = (200.0, 2_000.0)  # between two words on what it acts on: with something new, and as a sign of life
RETRY_MS = (200.0, 3_200.0)  # before it asks again: at first, and at most
STUCK_MS = 5_000.0  # behind what the beats tell, and nothing came: it asks again
KEEP_MS = 10_000.0  # before a disk that failed is tried again
FOLD_MS = 20.0  # between two parts of the book's memory that are packed
MOST_BAD = 5  # messages in a row


class Watcher:
    def __init__(
        self, now: float, name: str, controls: tuple[str, ...], kept: StoredSettings, key: bytes = b"", seed: int = 0
    ) -> None:
        """Acts on what was kept from the start, if anything was."""
        self.now, self.name, self.key, self.rng = now, name, key, random.Random(seed)
        self.commands: deque[Connect | Disconnect | Send | Apply | Persist | LogEvent] = deque()
        self.stored_state, self.store = kept, kept.store
        self.buffer = ReorderBuffer(self.store)
        self.connections = WatchConnections(self, name, controls, now, self.rng)
        self.on_disk = self.store.version
        self.least = self.head = 0  # as the control processes tell
        self.refusal: Refusal | None = None  # of a version newer than the one that it acts on
        self.disk_why = ""
        self.repair_delta: Delta | None = None
        self.chunks_received = 0  # of it that came
        self.repairing = False
        self.weighed: LargeMessage | None = None  # of the message that is being received
        self.bad = 0
        self.retry = RETRY_MS[0]
        self.ask_at = self.keep_at = self.fold_at = float("inf")
        self.progress_at = self.acts_at = now
        self.reported_version = -1  # the version that it said it acts on
        self.counts: Counter[str] = Counter()
        self._crowded()

    @property
    def version(self) -> int:
        """What it acts on."""
        return self.store.version

    def status(self) -> dict[str, Any]:
        link = self.connections.primary
        return {
            "version": self.version, "known": max(self.buffer.version, self.head), "least": self.least,
            "refused": self.refusal.reason() if self.refusal else "", "on_disk": self.on_disk, "disk": self.disk_why,
            "watches": self.connections.order[link.choice] if link is not None and link.nonce >= 0 else "",
            "current": link is not None and link.current,
        }  # fmt: skip

    # --- what happens ----------------------------------------------------------------------------

    def opened(self, now: float, conn: int) -> None:
        self.now = now
        self.connections.opened(now, conn)

    def lost(self, now: float, conn: int) -> None:
        self.now = now
        main = self.connections.primary
        if main is not None and main.conn == conn:
            self._forget_pieces()
            self.ask_at = float("inf")
        self.connections.lost(now, conn)

    def prepare_large_message(self, text: bytes | str) -> LargeMessage | None:
        """What may be done beside the loop before a large message is ``received``; None: it is none. Messages behind
        it on its connection have to wait."""
        return LargeMessage(text, self.key, self.buffer.view()) if len(text) > LARGE_MESSAGE_CHARS else None

    def received(self, now: float, conn: int, text: bytes | str, weighed: LargeMessage | None = None) -> None:
        """``weighed``: what was done with it before."""
        self.now, self.weighed = now, weighed
        link = self.connections.find(conn)
        if link is None:
            return
        link.last_seen_at = now
        try:
            method, fields = watch_channel.read(text, self.key) if weighed is None else weighed.read()
            if method == "rollout.beat":
                self._beat(conn, fields)
            elif link is not self.connections.primary or link.nonce < 0:
                return
            elif method == "rollout.step":
                self._receive_change_set(fields)
            elif method == "rollout.mend":
                self._mend(fields)
            elif method == "rollout.ask":
                self._send("rollout.parts", self._state() | {"digests": self.buffer.digests()})
            self.bad = 0
        except (watch_channel.MessageError, ChangeSetError, ObjectStoreError) as problem:
            self._bad(conn, str(problem))

    def applied(self, now: float, version: int) -> None:
        """The changes ordered last are acted on."""
        self.now = now
        base, rows = self.store.version, self.buffer.applied()
        self.refusal = None
        for what in self.stored_state.add(base, rows):
            self.commands.append(Persist(what, version))
        self._say()
        self._apply()
        self._crowded()

    def refused(self, now: float, version: int, key: Key, field: str, text: str) -> None:
        """None of the changes ordered last is acted on."""
        self.now = now
        self.buffer.refused()
        self.refusal = Refusal(version, key, field, text)
        self.counts["refused"] += 1
        self.commands.append(
            LogEvent("error", "settings_refused", {"version": version, "why": self.refusal.reason()})
        )
        self._say_refused()
        if self.buffer.version > version:
            self._apply()
        self._crowded()

    def persisted(self, now: float, version: int) -> None:
        self.now, self.disk_why = now, ""
        self.on_disk = max(self.on_disk, version)
        self._say()

    def persist_failed(self, now: float, why: str) -> None:
        """The disk has what it had, or a torn end; all is written anew a little later."""
        self.now = now
        if not self.disk_why:
            self.commands.append(LogEvent("error", "settings_not_kept", {"why": why[: watch_channel.MAX_TEXT_CHARS]}))
        self.disk_why = why[: watch_channel.MAX_TEXT_CHARS]
        self.stored_state.write_failed()
        self.keep_at = now + KEEP_MS
        self._say()

    def next_at(self) -> float:
        due = min(self.connections.next_at(), self.ask_at, self.keep_at, self.fold_at)
        if self._watching():
            due = min(due, self.acts_at)
            if self.head > self.buffer.version:
                due = min(due, self.progress_at + STUCK_MS)
        return due

    def advance(self, now: float) -> None:
        self.now = now
        self.connections.advance(now)
        if now >= self.keep_at:
            self.keep_at = float("inf")
            self.commands.append(Persist(self.stored_state.rewrite(), self.version))
        if now >= self.fold_at:
            self.fold_at = float("inf")
            # Not while a change is applied: whoever does that may look into the book from beside the loop.
            if self.buffer.applying is None and self.store.compact():
                self.fold_at = now + FOLD_MS
        if not self._watching():
            return
        if now >= self.ask_at:
            self._watch()
        elif self.head > self.buffer.version and now >= self.progress_at + STUCK_MS:
            self.counts["stuck"] += 1
            self._watch()
        if now >= self.acts_at:
            self._say(True)

    # --- what a control process says -------------------------------------------------------------

    def _beat(self, conn: int, fields: dict[str, Any]) -> None:
        head, least = watch_channel.int_field(fields, "head"), watch_channel.int_field(fields, "least")
        nonce = watch_channel.int_field(fields, "nonce") if "nonce" in fields else None
        self.least = max(self.least, least)
        if self.connections.primary is not None and self.connections.primary.conn == conn:
            if fields.get("waits") is True or head > self.head and self.head <= self.buffer.version:
                self.progress_at = self.now  # it is behind from now on, not before; or only has to wait
            self.head = head
        self.connections.heartbeat(self.now, conn, nonce, head, fields.get("current") is True)

    def _receive_change_set(self, fields: dict[str, Any]) -> None:
        weighed, self.weighed = self.weighed, None
        step, delta = (decode_change_set(fields), None) if weighed is None else (weighed.decoded(), weighed.delta)
        digest = watch_channel.bytes_field(fields, "digest", DIGEST_BYTES)
        if step.version <= self.buffer.version:
            self.counts["known"] += 1
        elif step.version > self.buffer.version + 1:
            self.counts["ahead"] += 1
            self._ask_again()
        elif self.buffer.take_change_set(step, digest, delta):
            self._version_advanced()
        else:
            self._repair()

    def _mend(self, fields: dict[str, Any]) -> None:
        base, version = watch_channel.int_field(fields, "base"), watch_channel.int_field(fields, "version")
        rows, digest = fields.get("rows"), watch_channel.bytes_field(fields, "digest", DIGEST_BYTES)
        if not isinstance(rows, list):
            raise watch_channel.MessageError("rows: an array")
        piece = watch_channel.int_field(fields, "piece")
        if base != self.buffer.version or version < base or piece > self.chunks_received:
            self._forget_pieces()
            self._ask_again()
            return
        if piece < self.chunks_received and piece:
            return  # twice
        self.progress_at = self.now
        delta = self.repair_delta = (
            self.repair_delta if self.repair_delta is not None and piece else Delta(self.buffer)
        )
        self.chunks_received = piece + 1
        try:
            for row in rows:
                text, held = row
                validate_row(text, held)
                delta.add(text, held)
            for part, marks in parse_object_digests(fields.get("marks")):
                delta.delete_unlisted(part, marks)
        except (TypeError, ValueError) as problem:
            self._forget_pieces()
            raise ObjectStoreError(f"what differs: {problem}") from None
        if fields.get("more") is True:
            return
        self._forget_pieces()
        if self.buffer.take_delta(delta, version, digest):
            self.counts["mended"] += 1
            self._version_advanced()
        else:
            self._repair()

    def _forget_pieces(self) -> None:
        self.repair_delta, self.chunks_received = None, 0

    def _version_advanced(self) -> None:
        self.progress_at, self.retry, self.ask_at = self.now, RETRY_MS[0], float("inf")
        self.repairing = False
        self._apply()

    def _repair(self) -> None:
        """The digest does not fit: it may have been altered here, or what came was wrong."""
        self.counts["digest_wrong"] += 1
        self.commands.append(LogEvent("warning", "settings_differ", {"version": self.buffer.version}))
        self.repairing = True
        self._ask_again()

    def _bad(self, conn: int, why: str) -> None:
        self.counts["bad_messages"] += 1
        self.bad += 1
        if self.bad == 1:
            self.commands.append(
                LogEvent("warning", "rollout_message_refused", {"why": why[: watch_channel.MAX_TEXT_CHARS]})
            )
        if self.bad >= MOST_BAD:
            self.bad = 0
            self.commands.append(Disconnect(conn))
            self.lost(self.now, conn)
        elif self._watching() and self.connections.primary is not None and self.connections.primary.conn == conn:
            self._forget_pieces()
            self._ask_again()

    # --- what it says ----------------------------------------------------------------------------

    def primary_changed(self) -> None:
        """A control process to watch, from its start."""
        self.head = self.connections.primary.head if self.connections.primary is not None else 0
        self._watch()
        self._say_refused()

    def _watching(self) -> bool:
        return self.connections.primary is not None and self.connections.primary.nonce >= 0

    def _state(self) -> dict[str, Any]:
        return {"version": self.buffer.version, "acts": self._acting_version(), "repair": self.repairing}

    def _acting_version(self) -> int:
        return min(self.version, self.on_disk)

    def _watch(self) -> None:
        assert self.connections.primary is not None
        self.ask_at, self.progress_at = float("inf"), self.now
        self._forget_pieces()
        self.reported_version, self.acts_at = self._acting_version(), self.now + ACTS_MS[1]
        fields = {"who": self.name, "nonce": self.connections.primary.nonce, "digest": self.buffer.digest()}
        self.counts["watches"] += 1
        self._send("rollout.watch", self._state() | fields)

    def _ask_again(self) -> None:
        """A little later, and later each time: what is on its way comes meanwhile."""
        if self.ask_at == float("inf"):
            self.ask_at = self.now + self.retry * self.rng.uniform(0.5, 1.0)
            self.retry = min(RETRY_MS[1], self.retry * 2)

    def _say(self, alive: bool = False) -> None:
        """What it acts on: at once if nothing was said for a while."""
        if not self._watching():
            return
        if not alive and self._acting_version() == self.reported_version and not self.disk_why:
            return
        if not alive and self.now < self.acts_at - ACTS_MS[1] + ACTS_MS[0]:
            self.acts_at = min(self.acts_at, self.now + ACTS_MS[0])
            return
        self.reported_version, self.acts_at = self._acting_version(), self.now + ACTS_MS[1]
        why = f"can't keep its settings: {self.disk_why}" if self.disk_why else ""
        self._send("rollout.acts", {"version": self.reported_version, "why": why[: watch_channel.MAX_TEXT_CHARS]})

    def _say_refused(self) -> None:
        r = self.refusal
        if self._watching() and r is not None:
            told = {"kind": r.key[0], "name": r.key[1], "field": r.field, "text": r.text}
            cut = {name: value[: watch_channel.MAX_TEXT_CHARS] for name, value in told.items()}
            self._send("rollout.refused", {"version": r.version, "acts": self._acting_version(), **cut})

    def _send(self, method: str, fields: dict[str, Any]) -> None:
        assert self.connections.primary is not None
        self.commands.append(Send(self.connections.primary.conn, watch_channel.write(method, fields, self.key)))

    def _crowded(self) -> None:
        if self.store.needs_compaction:
            self.fold_at = min(self.fold_at, self.now + FOLD_MS)

    def _apply(self) -> None:
        if self.buffer.applying is None and (self.buffer.version > self.version or self.buffer.rows):
            if self.refusal is not None and self.refusal.version == self.buffer.version:
                return
            version = self.buffer.version
            self.commands.append(Apply(self.buffer.freeze(), version))
