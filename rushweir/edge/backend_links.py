"""Records of one backend and of the connections to it. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from rushweir.edge.http import AnswerReader
from rushweir.ingress import commands as c

DIALING, IDLE, BUSY, GONE = "dialing", "idle", "busy", "gone"


@dataclass(frozen=True, slots=True)
class PoolSettings:
    most: int  # connections to all backends together
    connect_timeout_ms: float = 250.0
    idle_ms: float = 15_000.0  # after which a backend closes an idle connection, at the latest
    probe_timeout_ms: float = 250.0
    probe_path: bytes = b"/ping"
    host: bytes = b"origin"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a backend listens, and when it last started."""

    host: str
    port: int
    since_ms: float = 0.0


@dataclass(slots=True)
class Probe:
    server: str
    sent_ms: float


class Link:
    """One connection to a backend."""

    __slots__ = ("backend", "conn", "endpoint", "idle_since", "job", "reader", "rests_until", "state", "unsent")

    def __init__(self, conn: int, backend: Backend, now: float) -> None:
        self.conn, self.backend, self.state, self.idle_since = conn, backend, DIALING, now
        self.endpoint, self.rests_until = backend.endpoint, now
        self.job: c.Attempt | Probe | None = None
        self.unsent = False  # bytes of the request are still on this side
        self.reader = AnswerReader()


@dataclass(slots=True)
class Backend:
    id: str
    endpoint: Endpoint
    ready: bool = True
    idle: list[Link] = field(default_factory=list)  # the one used last at the end
    links: set[Link] = field(default_factory=set)
    dialing: int = 0
    waiting: deque[c.Attempt | Probe] = field(default_factory=deque)
