"""The sessions of a control process with its watchers: what each watcher is sent, and when. No I/O, no clock.

Each watcher has one session:

    state         waits for                        then
    OPENED        its watch                        CHANGE_SETS, ASKED or QUEUED, by its version
    CHANGE_SETS   a newer change set, bytes        the change set; ASKED if the recent ones don't suffice or cost more
    ASKED         the digests of its buckets       QUEUED, for a delta
    HELD          a majority that hears us         QUEUED, for a snapshot, as it has nothing
    QUEUED        one of MAX_LARGE_SESSIONS        CHUNKS
    CHUNKS        bytes                            CHANGE_SETS, when the last chunk was sent

A full snapshot is sent only to a watcher with nothing. Such a watcher waits until this process is current, so that
none begins with settings that the majority has left behind.

The bytes per second of all sessions are bounded by a token bucket: at most ``rate`` per second and ``burst`` at once,
and one message more, as the last one may overdraw it. Messages of at most SMALL_MESSAGE_BYTES are sent first, by
sessions in turn; the rest, and at least a quarter of the rate, is for larger change sets and chunks, in turn too.
Heartbeats are sent at once, and counted. A change set is packed and sealed once for all watchers.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout import watch_session_limits as limits
from rushweir.rollout.applied_versions import EXPIRE_MS, AppliedVersions
from rushweir.rollout.change_sets import ChangeSet, Key, pack
from rushweir.rollout.object_store import (
    BUCKET_COUNT,
    DIGEST_BYTES,
    ObjectStore,
    ObjectStoreError,
    Row,
    encode_key,
    encode_object,
)
from rushweir.rollout.watch_channel import MAX_TEXT_CHARS, MessageError, bytes_field, int_field, text_field
from rushweir.rollout.watch_session_records import (
    Close,
    Rates,
    RecentChangeSet,
    Report,
    Send,
    Session,
    SessionState,
    TokenBucket,
    delta_rows,
    snapshot_messages,
)


class WatchSessions:
    """All sessions of one control process; ``commands`` are for its shell. Times are in ms."""

    def __init__(
        self, now: float, store: ObjectStore, key: bytes = b"", rates: Rates | None = None, seed: int = 0,
        expire_ms: float = EXPIRE_MS, first: bool = False,
    ) -> None:  # fmt: skip
        """``store``: the result of the log so far; ``committed`` changes it. ``first``: as in AppliedVersions."""
        self.now, self.store, self.key, self.rng = now, store, key, random.Random(seed)
        self.bucket = TokenBucket(rates or Rates(), now)
        self.applied_versions = AppliedVersions(now, expire_ms, first)
        self.sessions: dict[int, Session] = {}
        self.by_name: dict[str, int] = {}
        self.recent: dict[int, RecentChangeSet] = {}
        self.recent_bytes = self.sent_bytes = 0
        self.small: dict[int, None] = {}  # sessions with a small next message, in the order of their turns
        self.large: dict[int, None] = {}  # those with a large one
        self.queue: dict[int, None] = {}  # sessions in state QUEUED
        self.heartbeats: deque[tuple[float, int]] = deque()
        self.current, self.reported_at = False, now
        self.commands: deque[Send | Close | Report] = deque()
        self.counts: Counter[str] = Counter()

    # --- events ----------------------------------------------------------------------------------

    def committed(self, now: float, change_set: ChangeSet) -> None:
        """Apply and send a committed change set. Raises ObjectStoreError if it is not the next."""
        self._set_clock(now)
        self.store.apply(change_set)
        digest = self.store.digest()
        message = self._change_set_message(change_set, digest)
        self.recent[change_set.version] = RecentChangeSet(message, digest, self.sent_bytes)
        self.sent_bytes += len(message)
        self.recent_bytes += len(message)
        while (
            len(self.recent) > limits.MAX_RECENT
            or self.recent_bytes > limits.MAX_RECENT_BYTES
            and len(self.recent) > 1
        ):
            self.recent_bytes -= len(self.recent.pop(next(iter(self.recent))).message)
        for session in self.sessions.values():
            if session.state is SessionState.CHANGE_SETS:
                self._schedule(session)
        self._pump()

    def snapshot_installed(self, now: float, version: int, objects: dict[Key, tuple[int, bytes]]) -> None:
        """Replace all objects, as this process starts or lagged so far that it took a snapshot of the log."""
        self._set_clock(now)
        store = ObjectStore()
        store.put([(encode_key(key), encode_object(at, data)) for key, (at, data) in objects.items()], version)
        self.store, self.recent, self.recent_bytes = store, {}, 0
        for session in self.sessions.values():
            if session.state is SessionState.CHANGE_SETS:
                self._schedule(session)
        self._pump()

    def set_current(self, now: float, current: bool) -> None:
        """Note whether a majority of the control processes hears this one."""
        self._set_clock(now)
        if current is self.current:
            return
        self.current = current
        for session in list(self.sessions.values()) if current else ():
            if session.state is SessionState.HELD:
                self._enqueue(session)
        self._pump()

    def opened(self, now: float, conn: int) -> None:
        """Begin a session with a heartbeat, or refuse the connection if there are too many."""
        self._set_clock(now)
        if len(self.sessions) >= limits.MAX_SESSIONS:
            self.commands.append(Close(conn, "too many sessions"))
            return
        session = self.sessions[conn] = Session(conn, self.rng.getrandbits(62), now)
        self._send(session, self._heartbeat(session.nonce))
        self.heartbeats.append((now + limits.HEARTBEAT_MS, conn))

    def closed(self, now: float, conn: int) -> None:
        """End a session."""
        self._set_clock(now)
        session = self.sessions.pop(conn, None)
        if session is None:
            return
        self._unschedule(session)
        if self.by_name.get(session.watcher) == conn:
            del self.by_name[session.watcher]
            self.applied_versions.connected.discard(session.watcher)
        self._start_large()
        self._pump()

    def set_writable(self, now: float, conn: int, writable: bool) -> None:
        """Note whether the connection takes more; its shell bounds what waits in it."""
        self._set_clock(now)
        session = self.sessions.get(conn)
        if session is not None and session.writable is not writable:
            session.writable = writable
            if writable and session.state in (SessionState.CHANGE_SETS, SessionState.CHUNKS):
                self._schedule(session)
            self._pump()

    def received(self, now: float, conn: int, text: bytes | str) -> None:
        """Handle a message of a watcher; a malformed one closes its session."""
        self._set_clock(now)
        session = self.sessions.get(conn)
        if session is None:
            return
        session.last_seen_at = now
        try:
            method, fields = watch_channel.read(text, self.key)
            self._received(session, method, fields)
        except (MessageError, ObjectStoreError) as problem:
            self.counts["bad_messages"] += 1
            self._drop(session, str(problem))
        self._pump()

    def take_report(self, now: float, report: Any) -> None:
        """Merge a report of another control process. Raises ValueError."""
        self._set_clock(now)
        self.applied_versions.merge_report(now, report)

    def minimum_acting_version(self) -> int:
        """Return the version that all watchers which are known and not expired act on."""
        return self.applied_versions.minimum(self.now)

    def rows(self) -> list[dict[str, Any]]:
        """Return the status rows of all known watchers, for operators."""
        return self.applied_versions.rows(self.now, self.store.version)

    def next_at(self) -> float:
        """Return when ``advance`` is due."""
        due = self.reported_at + limits.REPORT_MS[0 if self.applied_versions.changed else 1]
        if self.heartbeats:
            due = min(due, self.heartbeats[0][0])
        if self.small or self.large:
            due = min(due, self.now + self.bucket.wait_ms())
        return due

    def advance(self, now: float) -> None:
        """Send the heartbeats, reports and messages that are due; close silent sessions."""
        self._set_clock(now)
        while self.heartbeats and self.heartbeats[0][0] <= now:
            _, conn = self.heartbeats.popleft()
            session = self.sessions.get(conn)
            if session is None:
                continue
            if now - session.last_seen_at > limits.SILENT_MS:
                self._drop(session, "silent")
                continue
            # With the nonce until it watches: its first heartbeat may have been refused on the way.
            self._send(session, self._heartbeat(None if session.watcher else session.nonce, self._waits(session)))
            self.heartbeats.append((now + limits.HEARTBEAT_MS, conn))
        if now >= self.reported_at + limits.REPORT_MS[0 if self.applied_versions.changed else 1]:
            self.reported_at = now
            self.commands.append(Report(self.applied_versions.report(now)))
        self._pump()

    # --- messages of watchers --------------------------------------------------------------------

    def _received(self, session: Session, method: str, fields: dict[str, Any]) -> None:
        if method == "rollout.watch":
            self._watch(session, fields)
        elif not session.watcher:
            raise MessageError(f"{method} before a watch")
        elif method == "rollout.parts":
            self._digests_received(session, fields)
        elif method == "rollout.acts":
            self._record(session, int_field(fields, "version"), text_field(fields, "why"))
        elif method == "rollout.refused":
            version, kind, name = int_field(fields, "version"), *(text_field(fields, n) for n in ("kind", "name"))
            why = f"{kind} {name}: {text_field(fields, 'field')}: {text_field(fields, 'text')}"[:MAX_TEXT_CHARS]
            self.counts["refused"] += 1
            self._record(session, int_field(fields, "acts"), why, version)
        else:
            raise MessageError(f"unknown method {method!r:.40}")

    def _record(self, session: Session, version: int, why: str, refused: int = 0) -> None:
        old = self.applied_versions.known.get(session.watcher)
        if not why and old is not None and (old.acting_version == version or old.refused_version > version):
            # A keepalive, or an older version is on its disk now: it still refuses what it refused.
            why, refused = old.why, old.refused_version
        if not self.applied_versions.record(self.now, session.watcher, version, why, refused):
            raise MessageError("too many ingresses are known")

    def _watch(self, session: Session, fields: dict[str, Any]) -> None:
        if int_field(fields, "nonce") != session.nonce:
            raise MessageError("nonce of another session")
        watcher, version = text_field(fields, "who", watch_channel.MAX_NAME_CHARS), int_field(fields, "version")
        digest, repair = bytes_field(fields, "digest", DIGEST_BYTES), fields.get("repair") is True
        if not watcher or session.watcher not in ("", watcher):
            raise MessageError("who: missing, or changed within a session")
        old = self.sessions.get(self.by_name.get(watcher, -1))
        if old is not None and old is not session:
            self._drop(old, "replaced by a newer session of the same watcher")
        session.watcher, self.by_name[watcher] = watcher, session.conn
        self.applied_versions.connected.add(watcher)
        self._record(session, int_field(fields, "acts"), "")
        self._unschedule(session)
        self._start_large()
        self.counts["watches"] += 1
        session.sent = version
        head = self.store.version
        if version == 0 and not repair and head:
            self._enqueue(session)
        elif repair or self._is_altered(version, digest):
            self._ask_digests(session)
        else:
            session.state = SessionState.CHANGE_SETS
            self._schedule(session)

    def _is_altered(self, version: int, digest: bytes) -> bool:
        """Return whether the digest is known not to be that of the version."""
        if version == self.store.version:
            return digest != self.store.digest()
        recent = self.recent.get(version)
        return recent is not None and recent.digest != digest

    def _ask_digests(self, session: Session) -> None:
        session.state = SessionState.ASKED
        self.counts["asked"] += 1
        self._send(session, watch_channel.write("rollout.ask", {}, self.key))

    def _digests_received(self, session: Session, fields: dict[str, Any]) -> None:
        if session.state is not SessionState.ASKED:
            return  # a newer watch came meanwhile
        version = int_field(fields, "version")
        if version > self.store.version:
            session.state, session.sent = SessionState.CHANGE_SETS, version
            return  # it is ahead of this process; no watcher goes back
        session.theirs = bytes_field(fields, "digests", BUCKET_COUNT * DIGEST_BYTES)
        self.store.differing_buckets(session.theirs)  # raises if they are malformed
        session.sent, session.repair = version, fields.get("repair") is True
        self._enqueue(session)

    # --- deltas and snapshots --------------------------------------------------------------------

    def _enqueue(self, session: Session) -> None:
        """Queue a session for a delta, or for a snapshot if it sent no digests."""
        if not session.theirs and not self.current:
            session.state = SessionState.HELD
            return
        session.state = SessionState.QUEUED
        self.queue[session.conn] = None
        self._start_large()

    def _start_large(self) -> None:
        """Start chunks while few sessions get them. Only then are rows collected: those for all would fill memory."""
        chunks = SessionState.CHUNKS
        while self.queue and sum(s.state is chunks for s in self.sessions.values()) < limits.MAX_LARGE_SESSIONS:
            session = self.sessions[next(iter(self.queue))]
            del self.queue[session.conn]
            rows, digests = self._rows(session)
            session.messages = snapshot_messages(
                session.sent, self.store.version, self.store.digest(), rows, digests, self.key
            )
            session.target, session.theirs, session.state = self.store.version, b"", chunks
            self._schedule(session)

    def _rows(self, session: Session) -> tuple[list[Row], dict[int, bytes]]:
        """Return the rows of a snapshot, or of a delta with the object digests that it needs."""
        if not session.theirs:
            self.counts["wholes"] += 1
            return [row for bucket in self.store.buckets for row in bucket.items()], {}
        return delta_rows(self.store, session)

    # --- sending ---------------------------------------------------------------------------------

    def _schedule(self, session: Session) -> None:
        """Give a session a turn among those with small or large next messages."""
        if session.conn in self.small or session.conn in self.large or not session.writable:
            return
        if session.state is SessionState.CHUNKS:
            self.large[session.conn] = None
        elif session.state is SessionState.CHANGE_SETS and session.sent < self.store.version:
            first = self.recent.get(session.sent + 1)
            if first is None or self.sent_bytes - first.bytes_before > limits.MAX_CATCH_UP_BYTES + len(first.message):
                self._ask_digests(session)
            else:
                (self.small if len(first.message) <= limits.SMALL_MESSAGE_BYTES else self.large)[session.conn] = None

    def _unschedule(self, session: Session) -> None:
        for turns in (self.small, self.large, self.queue):
            turns.pop(session.conn, None)
        session.messages, session.theirs, session.state = None, b"", SessionState.OPENED

    def _pump(self) -> None:
        """Send messages by turns while there are tokens."""
        bucket = self.bucket
        while bucket.tokens > 0 and (self.small or self.large):
            is_large = bool(self.large) and (not self.small or bucket.large_tokens > 0)
            turns = self.large if is_large else self.small
            conn = next(iter(turns))
            del turns[conn]
            session = self.sessions[conn]
            if not session.writable:
                continue
            message = self._next_message(session)
            if message is not None:
                self._send(session, message)
                bucket.large_tokens -= len(message) if is_large else 0
            self._schedule(session)

    def _next_message(self, session: Session) -> bytes | None:
        if session.state is SessionState.CHUNKS and session.messages is not None:
            message = next(session.messages, None)
            if message is None:
                session.messages, session.state, session.sent = None, SessionState.CHANGE_SETS, session.target
                self._start_large()
            return message
        recent = self.recent.get(session.sent + 1) if session.state is SessionState.CHANGE_SETS else None
        if recent is None:
            return None
        session.sent += 1
        self.counts["steps"] += 1
        return recent.message

    def _send(self, session: Session, message: bytes) -> None:
        self.bucket.tokens -= len(message)
        self.counts["bytes"] += len(message)
        self.commands.append(Send(session.conn, message))

    def _change_set_message(self, change_set: ChangeSet, digest: bytes) -> bytes:
        return watch_channel.write("rollout.step", {"step": pack(change_set), "digest": digest}, self.key)

    def _waits(self, session: Session) -> bool:
        """Return whether the watcher only has to wait, so that it need not ask again."""
        is_scheduled = session.conn in self.small or session.conn in self.large
        is_queued = session.state in (SessionState.HELD, SessionState.QUEUED, SessionState.CHUNKS)
        return is_queued or is_scheduled or not session.writable

    def _heartbeat(self, nonce: int | None = None, waits: bool = False) -> bytes:
        fields: dict[str, Any] = {
            "head": self.store.version, "least": self.minimum_acting_version(),
            "current": self.current, "waits": waits,
        }  # fmt: skip
        if nonce is not None:
            fields["nonce"] = nonce
        return watch_channel.write("rollout.beat", fields, self.key)

    def _drop(self, session: Session, why: str) -> None:
        self.commands.append(Close(session.conn, why))
        self.closed(self.now, session.conn)

    def _set_clock(self, now: float) -> None:
        self.now = max(self.now, now)
        self.bucket.fill(self.now)
