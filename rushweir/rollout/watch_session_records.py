"""Commands and records of the sessions of a control process with its watchers; their token bucket and chunks."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout import watch_session_limits as limits
from rushweir.rollout.object_store import ObjectStore, Row


class SessionState(StrEnum):
    """What a session waits for; watch_sessions.py has the table of transitions."""

    OPENED = "opened"
    CHANGE_SETS = "steps"
    ASKED = "asked"
    HELD = "held"
    QUEUED = "queued"
    CHUNKS = "large"


@dataclass(frozen=True, slots=True)
class Send:
    """Send one message to a watcher."""

    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection of a watcher."""

    conn: int
    why: str


@dataclass(frozen=True, slots=True)
class Report:
    """Give this report to each of the other control processes, by their ``take_report``."""

    report: dict[str, Any]


@dataclass(slots=True)
class RecentChangeSet:
    """A change set as it was sent."""

    message: bytes
    digest: bytes  # of the store after the change set
    bytes_before: int  # of all messages before this one, since the process began


@dataclass(slots=True)
class Session:
    """The connection of one watcher. ``watcher``: its name, empty until it sends a watch."""

    conn: int
    nonce: int
    last_seen_at: float
    state: SessionState = SessionState.OPENED
    watcher: str = ""
    sent: int = 0  # the version that it has once all that was sent has arrived
    writable: bool = True
    theirs: bytes = b""  # digests of its buckets, while it waits to be sent chunks
    repair: bool = False  # its objects differ from those of its version
    messages: Iterator[bytes] | None = None  # with chunks
    target: int = 0  # the version that the chunks lead to


@dataclass(frozen=True, slots=True)
class Rates:
    """Bytes per second to all watchers together, and bytes at once."""

    rate: float = 8 * 1_048_576.0
    burst: float = 1_048_576.0


@dataclass(slots=True)
class TokenBucket:
    """Bytes that may be sent now, of which ``large_tokens`` are reserved for large messages. Times are in ms."""

    rates: Rates
    updated_at: float
    tokens: float = field(init=False)
    large_tokens: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.rates.burst

    def fill(self, now: float) -> None:
        """Add the tokens of the time that passed."""
        more = self.rates.rate * (now - self.updated_at) / 1000
        self.tokens = min(self.rates.burst, self.tokens + more)
        self.large_tokens = min(
            self.rates.burst * limits.LARGE_MESSAGE_SHARE, self.large_tokens + more * limits.LARGE_MESSAGE_SHARE
        )
        self.updated_at = now

    def wait_ms(self) -> float:
        """Return the time until something may be sent."""
        return max(1.0, -self.tokens / self.rates.rate * 1000)


def delta_rows(store: ObjectStore, session: Session) -> tuple[list[Row], dict[int, bytes]]:
    """Return the rows that differ, and the object digests of buckets if tombstones don't name all deletions."""
    buckets = store.differing_buckets(session.theirs)
    after = -1 if session.repair else session.sent
    rows: list[Row] = [row for b in buckets for row in store.changed_since(b, after)]
    deleted = store.deleted_since(session.sent)
    if session.repair or deleted is None:
        return rows, {b: store.object_digests(b) for b in buckets}
    return rows + [(text, None) for text in deleted], {}


def snapshot_messages(
    base: int, version: int, digest: bytes, rows: list[Row], digests: dict[int, bytes], key: bytes
) -> Iterator[bytes]:
    """Yield the messages with all rows of a delta or snapshot, and with the object digests of buckets.

    Messages are made one by one as they are sent; the bytes of the rows never change meanwhile."""
    at = 0
    number = 0
    while True:
        chunk = list[Row]()
        chunk_digests = dict[int, bytes]()
        bytes_left = limits.CHUNK_BYTES
        while at < len(rows) and bytes_left > 0:
            chunk.append(rows[at])
            bytes_left -= len(rows[at][0]) + len(rows[at][1] or b"")
            at += 1
        while bytes_left > 0 and digests:
            bucket, bucket_digests = digests.popitem()
            chunk_digests[bucket] = bucket_digests
            bytes_left -= len(bucket_digests)
        more = at < len(rows) or bool(digests)
        fields = {
            "base": base, "version": version, "piece": number, "rows": chunk, "marks": chunk_digests, "more": more
        }  # fmt: skip
        number += 1
        yield watch_channel.write("rollout.mend", {**fields, "digest": b"" if more else digest}, key)
        if not more:
            return
