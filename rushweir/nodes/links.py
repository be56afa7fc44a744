"""Records of a node and its connections, and their limits."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from rushweir.ingress import commands
from rushweir.link.websocket import Messages

DIALING, HANDSHAKE, OPEN, CLOSING, GONE = "dialing", "handshake", "open", "closing", "gone"


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections to nodes. Times are in milliseconds, sizes in bytes."""

    streams: int = 32  # attempts in flight on one connection
    max_links: int = 8  # connections to one node
    connect_timeout_ms: float = 250.0  # from the dial to the end of the handshake
    idle_ms: float = 15_000.0
    ping_ms: float = 5_000.0  # after this time with attempts in flight and no input: a ping, then the end
    probe_timeout_ms: float = 250.0
    grace_ms: float = 1_000.0  # after a node begins to drain or is gone, until nothing more is written to it
    max_message: int = 1_048_576
    path: str = "/node"


class Link:
    """One connection to a node. Times are in milliseconds."""

    __slots__ = (
        "created_at", "conn", "reads", "idle_since", "abandoned", "messages", "node", "ping_sent", "probes",
        "last_id", "state", "streams", "waiting", "writable",
    )  # fmt: skip

    def __init__(self, conn: int, node: Node, now: float, messages: Messages) -> None:
        self.conn, self.node, self.created_at, self.messages = conn, node, now, messages
        self.state, self.writable, self.last_id = DIALING, True, 0
        self.waiting: OrderedDict[int, commands.Attempt] = OrderedDict()  # not written yet, by their identity
        self.streams: dict[int, commands.Attempt] = {}  # written, by the id on the wire
        self.abandoned: OrderedDict[int, commands.Attempt] = OrderedDict()  # given up; an answer may still come
        self.probes: dict[int, float] = {}  # time of sending, by the id on the wire
        self.idle_since, self.reads, self.ping_sent = now, 0, False

    @property
    def held_bytes(self) -> int:
        """The memory of an incomplete message."""
        return self.messages.held_bytes

    @property
    def load(self) -> int:
        """Attempts that wait or are in flight."""
        return len(self.waiting) + len(self.streams)


@dataclass(slots=True)
class Node:
    """A node as the pool knows it."""

    address: str
    links: list[Link] = field(default_factory=list)
    unavailable_since: float | None = None  # when the list first had it as draining or gone
    unexpected_messages: int = 0
    late_answers: int = 0
    dial_failures: int = 0
