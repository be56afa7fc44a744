"""Assembles the platform's ingress and divides its file descriptors among its components. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from rushweir import interface
from rushweir.edge.backend_links import Endpoint, PoolSettings
from rushweir.edge.backends import Pool
from rushweir.edge.config import Address, Config
from rushweir.edge.discovery_watch import DiscoveryWatch
from rushweir.edge.front import ClientConnection, Shared
from rushweir.edge.peers import Peers
from rushweir.ingress import commands
from rushweir.ingress import core as base
from rushweir.ingress.health import health

# Listening and datagram sockets, discovery (two while it moves), the event loop, standard streams, and a reserve.
RESERVED_DESCRIPTORS = 24
ACCEPT_BURST = 16  # connections accepted in one turn of the loop beyond the limit, before the core closes any
CROWDED_SHARE = 1 / 8  # of all: clients may use a third for requests, and some of these must stay free
IDLE_MS = 2_000.0  # clients that stay connected after one request use up the connections for clients
CLIENT_SHARE = 0.7  # of the rest: a third of all for clients with requests, the others for clients that only connect
# Of the memory limit, for the messages of all connections: the process, its lists, and memory that is free but not
# given back take the rest.
HELD_SHARE = 1 / 6
# Of the memory limit, for what is known of customers, since whoever sends requests may name ever new ones.
CUSTOMER_SHARE = 1 / 6
CUSTOMER_BYTES = 1_300  # of memory for a customer and its bucket
BYTES_OF_MB = 1_048_576


@dataclass(frozen=True, slots=True)
class Budget:
    """The file descriptors of one ingress, divided by use."""

    clients: int
    backends: int
    crowded_above: int  # more connections with a request than this are closed as they are answered

    @classmethod
    def of(cls, sockets: int) -> Budget:
        """Divides the limit. Raises ValueError if it is too low to serve."""
        rest = sockets - RESERVED_DESCRIPTORS - ACCEPT_BURST
        if rest < 16:
            raise ValueError(
                f"limits.sockets: must be at least {RESERVED_DESCRIPTORS + ACCEPT_BURST + 16}, not {sockets}"
            )
        clients = int(rest * CLIENT_SHARE)
        return cls(clients, rest - clients, int(sockets * CROWDED_SHARE))


@dataclass(frozen=True, slots=True)
class Setup(base.Setup):
    """The settings of the platform's ingress, and how its components are created and updated from them."""

    discovery: Address = ("", 0)
    peers: tuple[Address, ...] = ()
    crowded_above: int = 128
    pool: PoolSettings = field(default_factory=lambda: PoolSettings(max_connections=64))

    def components(self, core: base.Core) -> Components:
        """Returns the components of a new ingress."""
        endpoints: dict[str, Endpoint] = {}
        shared = Shared(
            self.settings,
            lambda: health(core),
            lambda: core.draining or core.stopping,
            self.crowded_above,
            lambda: core.now,
        )
        pool = Pool(self.pool, endpoints, core.new_conn, core.engine.call_at)
        pool.client_is_read = core.clients.is_read
        return Components(
            front=lambda: ClientConnection(shared),
            pool=pool,
            list=DiscoveryWatch(self.discovery, self.seed, endpoints, core.new_conn, core.engine.call_at),
            peers=self._peers(),
            shared=shared,
        )

    def _peers(self) -> Peers | None:
        return Peers(self.settings.gateway, list(self.peers)) if self.settings.sharing.peers and self.peers else None

    def apply_to(self, core: base.Core) -> None:
        """Applies this setup to a running ingress, and reconnects to discovery."""
        core.components.shared.adopt(self.settings)
        core.components.shared.crowded_above = self.crowded_above
        core.pool.settings = self.pool
        if core.peers is None or core.peers.numbers != {address: number for number, address in enumerate(self.peers)}:
            # Numbers were reassigned: a message from a former address would be attributed to another ingress.
            core.peers = core.components.peers = self._peers()
            core.commands.append(commands.SetPeerAddresses(dict(enumerate(self.peers))))
        core.list.move(core.now, self.discovery)


@dataclass(slots=True)
class Components(base.Components):
    """The components of the platform's ingress."""

    shared: Shared | None = None  # state that the client connections share


def settings_within(config: Config) -> interface.Settings:
    """Returns the settings with the bounds that follow from the limits of the process."""
    max_customers = max(1, int(config.memory_mb * BYTES_OF_MB * CUSTOMER_SHARE / CUSTOMER_BYTES))
    return replace(config.settings, limits=replace(config.settings.limits, max_customers=max_customers))


def setup(config: Config) -> Setup:
    """Returns the setup of a configuration. Raises ValueError if its limits are too low to serve."""
    budget = Budget.of(config.sockets)
    return Setup(
        settings_within(config),
        handshake_ms=2_000.0,
        http_idle_ms=IDLE_MS,
        unread_ms=5_000.0,
        max_unread_bytes=262_144,
        held_bytes=int(config.memory_mb * BYTES_OF_MB * HELD_SHARE),
        seed=config.seed,
        max_clients=budget.clients,
        max_traces=2,
        keep_list=False,
        discovery=config.discovery,
        peers=config.peers,
        crowded_above=budget.crowded_above,
        pool=PoolSettings(budget.backends, config.dial_timeout_ms, config.idle_ms),
    )
