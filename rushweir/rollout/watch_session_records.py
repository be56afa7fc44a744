"""What a control process keeps of each that watches it, its bounds and its token bucket; sending.py decides."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout import watch_session_limits as limits
from rushweir.rollout.object_store import Row

OPENED, STEPS, ASKED, HELD, QUEUED, LARGE = "opened", "steps", "asked", "held", "queued", "large"


@dataclass(frozen=True, slots=True)
class Send:
    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    conn: int
    why: str


@dataclass(frozen=True, slots=True)
class Report:
    """For each of the other control processes, whose ``take_report`` it is."""

    report: dict[str, Any]


@dataclass(slots=True)
class RecentChangeSet:
    message: bytes
    digest: bytes  # of the whole after the step
    behind: int  # bytes of all messages before this one, since the process began


@dataclass(slots=True)
class Session:
    conn: int
    nonce: int
    last_seen_at: float
    state: str = OPENED
    watcher: str = ""
    sent: int = 0  # the version that it has when all that was sent came
    writable: bool = True
    theirs: bytes = b""  # digests of its parts, while it waits for a place
    repair: bool = False  # its objects are not even those of its version
    messages: Iterator[bytes] | None = None
    target: int = 0  # the version that its pieces make


@dataclass(frozen=True, slots=True)
class Rates:
    """Bytes a second to all who watch together, and bytes at once."""

    rate: float = 8 * 1_048_576.0
    burst: float = 1_048_576.0


@dataclass(slots=True)
class TokenBucket:
    rates: Rates
    at: float
    level: float = field(init=False)
    large: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.rates.burst

    def fill(self, now: float) -> None:
        more = self.rates.rate * (now - self.at) / 1000
        self.level = min(self.rates.burst, self.level + more)
        self.large = min(
            self.rates.burst * limits.LARGE_MESSAGE_SHARE, self.large + more * limits.LARGE_MESSAGE_SHARE
        )
        self.at = now

    def wait_ms(self) -> float:
        """Until something may go."""
        return max(1.0, -self.level / self.rates.rate * 1000)


def snapshot_messages(
    base: int, version: int, digest: bytes, rows: list[Row], marks: dict[int, bytes], key: bytes
) -> Iterator[bytes]:
    """Messages with all rows and marks, made one by one as they go out; the rows' bytes never change meanwhile."""
    at = number = 0
    while True:
        piece, told, room = list[Row](), dict[int, bytes](), limits.CHUNK_BYTES
        while at < len(rows) and room > 0:
            piece.append(rows[at])
            room -= len(rows[at][0]) + len(rows[at][1] or b"")
            at += 1
        while room > 0 and marks:
            part, named = marks.popitem()
            told[part] = named
            room -= len(named)
        more = at < len(rows) or bool(marks)
        fields = {"base": base, "version": version, "piece": number, "rows": piece, "marks": told, "more": more}
        number += 1
        yield watch_channel.write("rollout.mend", {**fields, "digest": b"" if more else digest}, key)
        if not more:
            return
