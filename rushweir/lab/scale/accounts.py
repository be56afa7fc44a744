"""What one ingress spent and carried, by kind. No I/O, no clock.

Datagrams are told apart by their first bytes, which are not secret: the quotas' messages (peers/datagram.py) and, of
the fleet's (fleet/frame.py), probes, the table, what the chair and the seats need, joining, and what budgets say.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rushweir.fleet import frame as f
from rushweir.peers import datagram

MAIL, PROBE, TABLE, CHAIR, JOIN, BUDGETS, LIST, OTHER = (
    "mail", "probe", "table", "chair", "join", "budgets", "list", "other"
)  # fmt: skip
FLEET = (PROBE, TABLE, CHAIR, JOIN)  # what a member costs that uses nothing of its fleet
_KINDS = {
    **dict.fromkeys((f.JOIN, f.JOIN_REPLY), JOIN),
    **dict.fromkeys((f.PROBE, f.PROBE_ACK, f.INDIRECT_PROBE, f.INDIRECT_ACK), PROBE),
    **dict.fromkeys((f.DIGEST, f.VERSIONS, f.ROWS), TABLE),
    **dict.fromkeys(range(f.PREPARE, f.LEASE_RELEASE + 1), CHAIR),
    f.APP: BUDGETS,
}  # fmt: skip


def kind_of(data: bytes) -> str:
    """What a datagram is for."""
    if data[:1] == bytes([datagram.VERSION]):
        return MAIL
    if data[:1] == bytes([f.VERSION]) and len(data) > 1:
        return _KINDS.get(data[1], OTHER)
    return OTHER


class Account:
    """Sums since the start: of each kind ``[count, bytes]`` sent and got, and ``[turns, seconds]`` of CPU."""

    def __init__(self, watched: Iterable[tuple[str, int]] = ()) -> None:
        """``watched``: addresses whose datagrams are counted once more, each for itself."""
        self.sent: dict[str, list[float]] = {}
        self.got: dict[str, list[float]] = {}
        self.cpu: dict[str, list[float]] = {}
        self.by_peer = {a: ({}, {}) for a in watched}  # sent to it, got from it

    def send(self, kind: str, size: int, to: tuple[str, int] | None = None) -> None:
        add(self.sent, kind, size)
        if to in self.by_peer:
            add(self.by_peer[to][0], kind, size)

    def get(self, kind: str, size: int, source: tuple[str, int] | None = None) -> None:
        add(self.got, kind, size)
        if source in self.by_peer:
            add(self.by_peer[source][1], kind, size)

    def turn(self, kind: str, seconds: float) -> None:
        add(self.cpu, kind, seconds)

    def dump(self) -> dict[str, Any]:
        """As JSON can have it."""
        return {
            "sent": self.sent, "got": self.got, "cpu": self.cpu,
            "by_peer": {f"{h}:{p}": {"sent": s, "got": g} for (h, p), (s, g) in self.by_peer.items()},
        }  # fmt: skip


def add(sums: dict[str, list[float]], kind: str, amount: float) -> None:
    entry = sums.get(kind)
    if entry is None:
        entry = sums[kind] = [0, 0]
    entry[0] += 1
    entry[1] += amount


def minus(later: Any, earlier: Any) -> Any:
    """What came between two dumps, figure by figure; what is no figure is the later one's."""
    if isinstance(later, dict):
        old = earlier if isinstance(earlier, dict) else {}
        return {k: minus(v, old.get(k)) for k, v in later.items()}
    if isinstance(later, list):
        old = earlier if isinstance(earlier, list) else [0] * len(later)
        return [minus(a, b) for a, b in zip(later, old, strict=True)]
    if isinstance(later, int | float) and not isinstance(later, bool):
        return later - (earlier or 0)
    return later
