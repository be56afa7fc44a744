"""One node, its connections, and the bounds of both. Plain records."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from rushweir.ingress import commands as c
from rushweir.link.websocket import Messages

DIALING, HANDSHAKE, OPEN, CLOSING, GONE = "dialing", "handshake", "open", "closing", "gone"


@dataclass(frozen=True, slots=True)
class PoolSettings:
    streams: int = 32  # attempts on one connection at once
    max_links: int = 8  # connections to one node
    connect_timeout_ms: float = 250.0  # from the dial to the end of the handshake
    idle_ms: float = 15_000.0
    ping_ms: float = 5_000.0  # with attempts out and nothing heard: a ping, and the end when it is not answered
    probe_timeout_ms: float = 250.0
    grace_ms: float = 1_000.0  # after a node drains or is gone, nothing more is written to it
    max_message: int = 1_048_576
    path: str = "/node"


class Link:
    """One connection to a node."""

    __slots__ = (
        "born", "conn", "heard", "idle_since", "late", "messages", "node", "pinged", "probes", "serial", "state",
        "streams", "waiting", "writable",
    )  # fmt: skip

    def __init__(self, conn: int, node: Node, now: float, messages: Messages) -> None:
        self.conn, self.node, self.born, self.messages = conn, node, now, messages
        self.state, self.writable, self.serial = DIALING, True, 0
        self.waiting: OrderedDict[int, c.Attempt] = OrderedDict()  # not handed over yet, by their identity
        self.streams: dict[int, c.Attempt] = {}  # handed over, by the id on the wire
        self.late: OrderedDict[int, c.Attempt] = OrderedDict()  # given up, an answer may still come
        self.probes: dict[int, float] = {}  # when each was sent
        self.idle_since, self.heard, self.pinged = now, 0, False

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.streams)


@dataclass(slots=True)
class Node:
    """A node as the pool knows it."""

    address: str
    links: list[Link] = field(default_factory=list)
    closed_at: float | None = None  # when it was told to drain or gone
    strays: int = 0
    late: int = 0
    dial_failures: int = 0
