"""A control process' side of the distribution: what each ingress that watches gets, and when. No I/O, no clock.

Each that watches has one session:

    state     waits for                          then
    opened    its watch                          steps, asked or large, by its version
    steps     a step that it has not, bytes      the step; asked where the recent ones do not reach, or cost more
    asked     the digests of its parts           large: what differs
    held      a majority that hears us           large: the whole, to one with nothing
    queued    one of the MOST_LARGE places       large
    large     bytes                              steps, when the last piece went out

The whole goes only to one with nothing. A newcomer waits until this process is current, so that nobody begins with
settings that a majority left behind.

Bytes a second are bounded over all sessions by a token bucket: at most ``rate`` a second and ``burst`` at once, and
one message more, as it may go below nothing by its last. Messages of at most SMALL bytes go first, each session's in
turn; of what is left, and of a quarter of the rate at least, larger steps and pieces go, each session's in turn too.
Beats go at once, and are counted. A step is packed and sealed once, however many get it.
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
    ASKED,
    HELD,
    LARGE,
    OPENED,
    QUEUED,
    STEPS,
    Close,
    Rates,
    RecentChangeSet,
    Report,
    Send,
    Session,
    TokenBucket,
    snapshot_messages,
)  # fmt: skip


class WatchSessions:
    """All sessions of one control process; ``commands`` are for its shell."""

    def __init__(
        self, now: float, book: ObjectStore, key: bytes = b"", rates: Rates | None = None, seed: int = 0,
        expire_ms: float = EXPIRE_MS, first: bool = False,
    ) -> None:  # fmt: skip
        """``book`` is what the log made so far; each ``committed`` step changes it. ``first``: as Standing has it."""
        self.now, self.store, self.key, self.rng = now, book, key, random.Random(seed)
        self.bucket = TokenBucket(rates or Rates(), now)
        self.applied_versions = AppliedVersions(now, expire_ms, first)
        self.sessions: dict[int, Session] = {}
        self.by_name: dict[str, int] = {}
        self.recent: dict[int, RecentChangeSet] = {}
        self.recent_bytes = self.passed = 0
        self.small: dict[int, None] = {}  # sessions whose next message is small, in their order; so with the large
        self.large: dict[int, None] = {}
        self.queue: dict[int, None] = {}
        self.beats: deque[tuple[float, int]] = deque()
        self.current, self.reported_at = False, now
        self.commands: deque[Send | Close | Report] = deque()
        self.counts: Counter[str] = Counter()

    # --- what happens ----------------------------------------------------------------------------

    def committed(self, now: float, step: ChangeSet) -> None:
        """The next step of the log. Raises BookError where it is not the next."""
        self._clock(now)
        self.store.apply(step)
        digest = self.store.digest()
        message = self._change_set_message(step, digest)
        self.recent[step.version] = RecentChangeSet(message, digest, self.passed)
        self.passed += len(message)
        self.recent_bytes += len(message)
        while (
            len(self.recent) > limits.MAX_RECENT
            or self.recent_bytes > limits.MAX_RECENT_BYTES
            and len(self.recent) > 1
        ):
            self.recent_bytes -= len(self.recent.pop(next(iter(self.recent))).message)
        for s in self.sessions.values():
            if s.state is STEPS:
                self._line(s)
        self._pump()

    def snapshot_installed(self, now: float, number: int, objects: dict[Key, tuple[int, bytes]]) -> None:
        """All there is at a version: of a process that begins, or was so far behind that it took the whole."""
        self._clock(now)
        book = ObjectStore()
        book.put(
            [(encode_key(key), encode_object(version, data)) for key, (version, data) in objects.items()], number
        )
        self.store, self.recent, self.recent_bytes = book, {}, 0
        for s in self.sessions.values():
            if s.state is STEPS:
                self._line(s)
        self._pump()

    def set_current(self, now: float, current: bool) -> None:
        """Whether a majority of the control processes hears this one."""
        self._clock(now)
        if current is self.current:
            return
        self.current = current
        for s in list(self.sessions.values()) if current else ():
            if s.state is HELD:
                self._line_up(s)
        self._pump()

    def opened(self, now: float, conn: int) -> None:
        self._clock(now)
        if len(self.sessions) >= limits.MAX_SESSIONS:
            self.commands.append(Close(conn, "too many sessions"))
            return
        s = self.sessions[conn] = Session(conn, self.rng.getrandbits(62), now)
        self._send(s, self._beat(s.nonce))
        self.beats.append((now + limits.HEARTBEAT_MS, conn))

    def closed(self, now: float, conn: int) -> None:
        self._clock(now)
        s = self.sessions.pop(conn, None)
        if s is None:
            return
        self._out_of_line(s)
        if self.by_name.get(s.watcher) == conn:
            del self.by_name[s.watcher]
            self.applied_versions.connected.discard(s.watcher)
        self._places()
        self._pump()

    def set_writable(self, now: float, conn: int, writable: bool) -> None:
        """Whether the connection takes more: what waits in it is bounded by its shell."""
        self._clock(now)
        s = self.sessions.get(conn)
        if s is not None and s.writable is not writable:
            s.writable = writable
            if writable and s.state in (STEPS, LARGE):
                self._line(s)
            self._pump()

    def received(self, now: float, conn: int, text: bytes | str) -> None:
        self._clock(now)
        s = self.sessions.get(conn)
        if s is None:
            return
        s.last_seen_at = now
        try:
            method, fields = watch_channel.read(text, self.key)
            self._message(s, method, fields)
        except (MessageError, ObjectStoreError) as problem:
            self.counts["bad_messages"] += 1
            self._drop(s, str(problem))
        self._pump()

    def take_report(self, now: float, told: Any) -> None:
        """Of another control process. Raises ValueError."""
        self._clock(now)
        self.applied_versions.merge_report(now, told)

    def minimum_acting_version(self) -> int:
        """The version that all who are known and not expired act on."""
        return self.applied_versions.minimum(self.now)

    def rows(self) -> list[dict[str, Any]]:
        return self.applied_versions.rows(self.now, self.store.version)

    def next_at(self) -> float:
        due = self.reported_at + limits.REPORT_MS[0 if self.applied_versions.changed else 1]
        if self.beats:
            due = min(due, self.beats[0][0])
        if self.small or self.large:
            due = min(due, self.now + self.bucket.wait_ms())
        return due

    def advance(self, now: float) -> None:
        self._clock(now)
        while self.beats and self.beats[0][0] <= now:
            _, conn = self.beats.popleft()
            s = self.sessions.get(conn)
            if s is None:
                continue
            if now - s.last_seen_at > limits.SILENT_MS:
                self._drop(s, "silent")
                continue
            # The nonce until it watches: its first beat may have been refused on the way.
            self._send(s, self._beat(None if s.watcher else s.nonce, self._waits(s)))
            self.beats.append((now + limits.HEARTBEAT_MS, conn))
        if now >= self.reported_at + limits.REPORT_MS[0 if self.applied_versions.changed else 1]:
            self.reported_at = now
            self.commands.append(Report(self.applied_versions.report(now)))
        self._pump()

    # --- what they say ---------------------------------------------------------------------------

    def _message(self, s: Session, method: str, fields: dict[str, Any]) -> None:
        if method == "rollout.watch":
            self._watch(s, fields)
        elif not s.watcher:
            raise MessageError(f"{method} before a watch")
        elif method == "rollout.parts":
            self._differs(s, fields)
        elif method == "rollout.acts":
            self._acts(s, int_field(fields, "version"), text_field(fields, "why"))
        elif method == "rollout.refused":
            version, kind, name = int_field(fields, "version"), *(text_field(fields, n) for n in ("kind", "name"))
            why = f"{kind} {name}: {text_field(fields, 'field')}: {text_field(fields, 'text')}"[:MAX_TEXT_CHARS]
            self.counts["refused"] += 1
            self._acts(s, int_field(fields, "acts"), why, version)
        else:
            raise MessageError(f"method {method!r:.40}")

    def _acts(self, s: Session, version: int, why: str, at: int = 0) -> None:
        old = self.applied_versions.known.get(s.watcher)
        if not why and old is not None and (old.acting_version == version or old.refused_version > version):
            # A sign of life, or an older version came to its disk: what it refused it still refuses.
            why, at = old.why, old.refused_version
        if not self.applied_versions.record(self.now, s.watcher, version, why, at):
            raise MessageError("too many ingresses are known")

    def _watch(self, s: Session, fields: dict[str, Any]) -> None:
        if int_field(fields, "nonce") != s.nonce:
            raise MessageError("a watch of another session")
        who, version = text_field(fields, "who", watch_channel.MAX_NAME_CHARS), int_field(fields, "version")
        digest, repair = bytes_field(fields, "digest", DIGEST_BYTES), fields.get("repair") is True
        if not who or s.watcher not in ("", who):
            raise MessageError("who: a name, and the same in all of a session")
        old = self.sessions.get(self.by_name.get(who, -1))
        if old is not None and old is not s:
            self._drop(old, "it came again")
        s.watcher, self.by_name[who] = who, s.conn
        self.applied_versions.connected.add(who)
        self._acts(s, int_field(fields, "acts"), "")
        self._out_of_line(s)
        self._places()
        self.counts["watches"] += 1
        s.sent = version
        head = self.store.version
        if version == 0 and not repair and head:
            self._line_up(s)
        elif repair or self._differ(version, digest):
            self._ask(s)
        else:
            s.state = STEPS
            self._line(s)

    def _differ(self, version: int, digest: bytes) -> bool:
        """Whether its objects surely are not those of its version."""
        if version == self.store.version:
            return digest != self.store.digest()
        r = self.recent.get(version)
        return r is not None and r.digest != digest

    def _ask(self, s: Session) -> None:
        s.state = ASKED
        self.counts["asked"] += 1
        self._send(s, watch_channel.write("rollout.ask", {}, self.key))

    def _differs(self, s: Session, fields: dict[str, Any]) -> None:
        if s.state is not ASKED:
            return  # it watched anew meanwhile
        version = int_field(fields, "version")
        if version > self.store.version:
            s.state, s.sent = STEPS, version  # it has more than this process; nobody goes back
            return
        s.theirs = bytes_field(fields, "digests", BUCKET_COUNT * DIGEST_BYTES)
        self.store.differing_buckets(s.theirs)  # refused now if it is no such thing
        s.sent, s.repair = version, fields.get("repair") is True
        self._line_up(s)

    # --- what differs ----------------------------------------------------------------------------

    def _line_up(self, s: Session) -> None:
        """For pieces of what differs; of the whole, to one that told no digests."""
        if not s.theirs and not self.current:
            s.state = HELD
            return
        s.state = QUEUED
        self.queue[s.conn] = None
        self._places()

    def _places(self) -> None:
        """What differs is looked up when there is a place, not before: rows for all who wait would take room."""
        while self.queue and sum(s.state is LARGE for s in self.sessions.values()) < limits.MAX_LARGE_SESSIONS:
            s = self.sessions[next(iter(self.queue))]
            del self.queue[s.conn]
            rows, marks = self._rows(s)
            s.messages = snapshot_messages(s.sent, self.store.version, self.store.digest(), rows, marks, self.key)
            s.target, s.theirs, s.state = self.store.version, b"", LARGE
            self._line(s)

    def _rows(self, s: Session) -> tuple[list[Row], dict[int, bytes]]:
        """What differs, and the names of all that is left where tombstones can't tell what is gone."""
        if not s.theirs:
            self.counts["wholes"] += 1
            return [row for part in self.store.buckets for row in part.items()], {}
        parts = self.store.differing_buckets(s.theirs)
        after = -1 if s.repair else s.sent
        rows: list[Row] = [row for p in parts for row in self.store.changed_since(p, after)]
        dropped = self.store.deleted_since(s.sent)
        if s.repair or dropped is None:
            return rows, {p: self.store.object_digests(p) for p in parts}
        return rows + [(text, None) for text in dropped], {}

    # --- what goes out ---------------------------------------------------------------------------

    def _line(self, s: Session) -> None:
        """Into the line for bytes that its next message belongs to."""
        if s.conn in self.small or s.conn in self.large or not s.writable:
            return
        if s.state is LARGE:
            self.large[s.conn] = None
        elif s.state is STEPS and s.sent < self.store.version:
            first = self.recent.get(s.sent + 1)
            if first is None or self.passed - first.behind > limits.MAX_CATCH_UP_BYTES + len(first.message):
                self._ask(s)
            else:
                (self.small if len(first.message) <= limits.SMALL_MESSAGE_BYTES else self.large)[s.conn] = None

    def _out_of_line(self, s: Session) -> None:
        for line in (self.small, self.large, self.queue):
            line.pop(s.conn, None)
        s.messages, s.theirs, s.state = None, b"", OPENED

    def _pump(self) -> None:
        bucket = self.bucket
        while bucket.level > 0 and (self.small or self.large):
            large = bool(self.large) and (not self.small or bucket.large > 0)
            line = self.large if large else self.small
            conn = next(iter(line))
            del line[conn]
            s = self.sessions[conn]
            if not s.writable:
                continue
            message = self._next(s)
            if message is not None:
                self._send(s, message)
                bucket.large -= len(message) if large else 0
            self._line(s)

    def _next(self, s: Session) -> bytes | None:
        if s.state is LARGE and s.messages is not None:
            message = next(s.messages, None)
            if message is None:
                s.messages, s.state, s.sent = None, STEPS, s.target
                self._places()
            return message
        recent = self.recent.get(s.sent + 1) if s.state is STEPS else None
        if recent is None:
            return None
        s.sent += 1
        self.counts["steps"] += 1
        return recent.message

    def _send(self, s: Session, message: bytes) -> None:
        self.bucket.level -= len(message)
        self.counts["bytes"] += len(message)
        self.commands.append(Send(s.conn, message))

    def _change_set_message(self, step: ChangeSet, digest: bytes) -> bytes:
        return watch_channel.write("rollout.step", {"step": pack(step), "digest": digest}, self.key)

    def _waits(self, s: Session) -> bool:
        """Whether it is in a line here, so that it need not ask again."""
        return s.state in (HELD, QUEUED, LARGE) or s.conn in self.small or s.conn in self.large or not s.writable

    def _beat(self, nonce: int | None = None, waits: bool = False) -> bytes:
        fields: dict[str, Any] = {
            "head": self.store.version, "least": self.minimum_acting_version(),
            "current": self.current, "waits": waits,
        }  # fmt: skip
        if nonce is not None:
            fields["nonce"] = nonce
        return watch_channel.write("rollout.beat", fields, self.key)

    def _drop(self, s: Session, why: str) -> None:
        self.commands.append(Close(s.conn, why))
        self.closed(self.now, s.conn)

    def _clock(self, now: float) -> None:
        self.now = max(self.now, now)
        self.bucket.fill(self.now)
