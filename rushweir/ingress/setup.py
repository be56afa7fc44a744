"""What an ingress is made of, whatever protocols it speaks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir import interface as i

if TYPE_CHECKING:  # networks: a tree in C, which an ingress without them need not load
    from rushweir.ingress.core import Core
    from rushweir.link.networks import AddressSet

MOST_CLIENTS = 20_000  # connections of clients: beyond, one is answered 503 and closed


@dataclass(slots=True)
class Components:
    """What speaks with the outside. ``front`` makes the state of a client's new connection; ``list``, ``counter``,
    ``peers`` and ``fleet`` may be missing."""

    front: Callable[[], Any]
    pool: Any
    list: Any = None
    counter: Any = None
    peers: Any = None
    fleet: Any = None


@dataclass(frozen=True, slots=True)
class Setup:
    """What an ingress is made of, whatever protocols it speaks; those that do derive from this."""

    settings: i.Settings
    margin_ms: float = 25.0  # an answer leaves this long before the client's time is up
    handshake_ms: float = 5_000.0  # for a client's request head
    ping_ms: float = 30_000.0  # a client heard of for so long is asked whether it is there; twice: dropped
    http_idle_ms: float = 15_000.0
    unread_ms: float = 10_000.0  # a client that takes nothing of its answers for so long is dropped
    max_unread_bytes: int = 1_048_576  # bytes of answers that wait for a client that does not read
    seed: int = 0
    boot: str = ""
    max_clients: int = MOST_CLIENTS
    trace_share: float = 0.0  # share of requests whose course is kept although nothing went wrong
    max_traces: int = 2_000  # kept at most
    late_ms: float = 60.0  # turns of this process that come later are too late ...
    max_late_ms: float = 400.0  # ... and so late that nothing new is taken
    client_networks: AddressSet | None = None  # that may connect; None: all
    node_networks: AddressSet | None = None  # that nodes may stand in
    keep_list: bool = True  # on disk, for the next start

    def components(self, core: Core) -> Components:
        raise NotImplementedError

    def adopt(self, core: Core) -> None:
        """These settings hold from now on: tell the parts."""

    def partners(self) -> list[tuple[str, str]]:
        """Name and plan of each that is known beforehand."""
        return []
