"""What a control process keeps of each that watches it, its bounds and its token bucket; sending.py decides."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.book import Row

BEAT_MS = 1_500.0
REPORT_MS = (1_000.0, 3_000.0)  # with something new to tell, and without
SILENT_MS = 10_000.0  # a session that says nothing for so long is closed
MOST_SESSIONS = 2_048
MOST_RECENT = 4_096  # steps that are kept as they went out
MOST_RECENT_BYTES = 8 * 1_048_576
MOST_STEPS_BYTES = 131_072  # of steps for one that comes back; beyond that what differs is asked for
SMALL = 16_384  # bytes of a message
PIECE = 32_768  # bytes of rows in a piece of what differs, before it is deflated
MOST_LARGE = 4  # sessions that get pieces at a time; others wait
LARGE_PART = 0.25  # of the rate, for larger messages

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

    told: dict[str, Any]


@dataclass(slots=True)
class Recent:
    message: bytes
    digest: bytes  # of the whole after the step
    behind: int  # bytes of all messages before this one, since the process began


@dataclass(slots=True)
class Session:
    conn: int
    nonce: int
    heard_at: float
    state: str = OPENED
    who: str = ""
    sent: int = 0  # the version that it has when all that was sent came
    writable: bool = True
    theirs: bytes = b""  # digests of its parts, while it waits for a place
    repair: bool = False  # its objects are not even those of its version
    pieces: Iterator[bytes] | None = None
    target: int = 0  # the version that its pieces make


@dataclass(frozen=True, slots=True)
class Rates:
    """Bytes a second to all who watch together, and bytes at once."""

    rate: float = 8 * 1_048_576.0
    burst: float = 1_048_576.0


@dataclass(slots=True)
class Bucket:
    rates: Rates
    at: float
    level: float = field(init=False)
    large: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.rates.burst

    def fill(self, now: float) -> None:
        more = self.rates.rate * (now - self.at) / 1000
        self.level = min(self.rates.burst, self.level + more)
        self.large = min(self.rates.burst * LARGE_PART, self.large + more * LARGE_PART)
        self.at = now

    def wait_ms(self) -> float:
        """Until something may go."""
        return max(1.0, -self.level / self.rates.rate * 1000)


def pieces(
    base: int, version: int, digest: bytes, rows: list[Row], marks: dict[int, bytes], key: bytes
) -> Iterator[bytes]:
    """Messages with all rows and marks, made one by one as they go out; the rows' bytes never change meanwhile."""
    at = number = 0
    while True:
        piece, told, room = list[Row](), dict[int, bytes](), PIECE
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
