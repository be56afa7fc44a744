"""Records of one backend and of the connections to it. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from rushweir.edge.http import AnswerReader
from rushweir.ingress import commands

DIALING, IDLE, BUSY, GONE = "dialing", "idle", "busy", "gone"


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits, time-outs and the probe of the backend pool."""

    max_connections: int  # to all backends together
    connect_timeout_ms: float = 250.0
    idle_ms: float = 15_000.0  # a backend closes an idle connection after this time at the latest
    probe_timeout_ms: float = 250.0
    probe_path: bytes = b"/ping"
    host: bytes = b"origin"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address of a backend, and when it last started."""

    host: str
    port: int
    since_ms: float = 0.0


@dataclass(slots=True)
class Probe:
    """A health probe that has no result yet."""

    node: str
    sent_ms: float


class Link:
    """One connection to a backend."""

    __slots__ = (
        "backend",
        "conn",
        "endpoint",
        "idle_since",
        "job",
        "reader",
        "cooldown_until",
        "state",
        "has_unsent_bytes",
    )

    def __init__(self, conn: int, backend: Backend, now: float) -> None:
        self.conn, self.backend, self.state, self.idle_since = conn, backend, DIALING, now
        self.endpoint, self.cooldown_until = backend.endpoint, now
        self.job: commands.Attempt | Probe | None = None
        self.has_unsent_bytes = False  # bytes of the request are still in this process
        self.reader = AnswerReader()

    @property
    def held_bytes(self) -> int:
        """The memory of an incomplete answer."""
        return self.reader.held_bytes


@dataclass(slots=True)
class Backend:
    """A backend of the list, or one that left it and still has connections."""

    id: str
    endpoint: Endpoint
    ready: bool = True
    idle: list[Link] = field(default_factory=list)  # the last used one is last
    links: set[Link] = field(default_factory=set)
    dialing: int = 0  # number of dials
    waiting: deque[commands.Attempt | Probe] = field(default_factory=deque)
