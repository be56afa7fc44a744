"""Settings and components of an ingress, independent of the protocols that it speaks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir import interface

if TYPE_CHECKING:  # networks are a C extension, which an ingress without them need not load
    from rushweir.ingress.core import Core
    from rushweir.link.networks import AddressSet

MAX_CLIENTS = 20_000  # connections; further clients are answered 503 and closed


@dataclass(slots=True)
class Components:
    """The parts of an ingress that speak a protocol. ``front`` makes the state of a client's new connection;
    ``list``, ``counter``, ``peers`` and ``fleet`` may be missing."""

    front: Callable[[], Any]
    pool: Any
    list: Any = None
    counter: Any = None
    peers: Any = None
    fleet: Any = None


@dataclass(frozen=True, slots=True)
class Setup:
    """Settings of an ingress; subclasses make the components for a protocol."""

    settings: interface.Settings
    margin_ms: float = 25.0  # an answer is sent so long before the client's deadline
    handshake_ms: float = 5_000.0  # limit for reading a request
    ping_ms: float = 30_000.0  # a client is pinged after being silent for so long, and dropped after twice that
    http_idle_ms: float = 15_000.0
    unread_ms: float = 10_000.0  # a client that reads no answers for so long is dropped
    max_unread_bytes: int = 1_048_576  # of answers that wait for one client
    held_bytes: int = 268_435_456  # memory for the messages of all connections together
    seed: int = 0
    boot: str = ""
    max_clients: int = MAX_CLIENTS
    trace_share: float = 0.0  # of requests without a problem whose trace is stored
    max_traces: int = 2_000  # that are stored
    late_ms: float = 60.0  # delay of the event loop from which on load is shed ...
    max_late_ms: float = 400.0  # ... and from which on nothing new is accepted
    client_networks: AddressSet | None = None  # from which clients may connect; None: all
    node_networks: AddressSet | None = None  # in which nodes may be; None: all
    keep_list: bool = True  # save the node list to disk, for the next start

    def components(self, core: Core) -> Components:
        """The components of a core with these settings."""
        raise NotImplementedError

    def apply_to(self, core: Core) -> None:
        """Apply these settings to the components of a running core."""

    def partners(self) -> list[tuple[str, str]]:
        """Name and plan of each partner that the settings name."""
        return []
