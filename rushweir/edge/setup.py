"""The platform's ingress put together: which parts, and how many descriptors each may hold. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from rushweir.edge.backends import Endpoint, Pool, PoolSettings
from rushweir.edge.config import Address, Config
from rushweir.edge.front import ClientConnection, Shared
from rushweir.edge.members import Members
from rushweir.edge.peers import Peers
from rushweir.ingress import commands as c
from rushweir.ingress import core as base

RESERVED = 24  # listening, datagrams, discovery (two while it moves), the loop's own, standard streams, and to spare
ACCEPTED = 16  # connections taken in one turn of the loop, above the bound, before the core closes any
KEPT = 1 / 8  # of all: clients may hold a third for requests, and need to find some of them free
IDLE_MS = 2_000.0  # clients that ask once and stay use up the connections that clients may hold
CLIENTS = 0.7  # of the rest: a third of all for those who ask, and room for those who only connect


@dataclass(frozen=True, slots=True)
class Budget:
    """Descriptors of one ingress, out of its limit."""

    clients: int
    backends: int
    kept: int  # connections of clients that asked something: above it they are left as they are answered

    @classmethod
    def of(cls, sockets: int) -> Budget:
        """Raises ValueError where the limit leaves no room to serve."""
        rest = sockets - RESERVED - ACCEPTED
        if rest < 16:
            raise ValueError(f"limits.sockets: {RESERVED + ACCEPTED + 16} at least, not {sockets}")
        clients = int(rest * CLIENTS)
        return cls(clients, rest - clients, int(sockets * KEPT))


@dataclass(frozen=True, slots=True)
class Setup(base.Setup):
    discovery: Address = ("", 0)
    peers: tuple[Address, ...] = ()
    kept: int = 128
    pool: PoolSettings = field(default_factory=lambda: PoolSettings(most=64))

    def components(self, core: base.Core) -> Components:
        where: dict[str, Endpoint] = {}
        shared = Shared(
            self.settings, core.health, lambda: core.draining or core.stopping, self.kept, lambda: core.now
        )
        return Components(
            front=lambda: ClientConnection(shared),
            pool=Pool(self.pool, where, core.new_conn, core.engine.call_at),
            list=Members(self.discovery, self.seed, where, core.new_conn, core.engine.call_at),
            peers=self._peers(),
            shared=shared,
        )

    def _peers(self) -> Peers | None:
        return Peers(self.settings.gateway, list(self.peers)) if self.settings.sharing.peers and self.peers else None

    def apply_to(self, core: base.Core) -> None:
        core.components.shared.adopt(self.settings)
        core.components.shared.kept = self.kept
        core.pool.settings = self.pool
        if core.peers is None or core.peers.numbers != {a: k for k, a in enumerate(self.peers)}:
            # A number means another ingress now, or none: a word from the old one's address would count as its.
            core.peers = core.components.peers = self._peers()
            core.commands.append(c.SetPeerAddresses(dict(enumerate(self.peers))))
        core.list.move(core.now, self.discovery)


@dataclass(slots=True)
class Components(base.Components):
    shared: Shared | None = None  # what the clients' connections share


def setup(config: Config) -> Setup:
    """Raises ValueError where the limits leave no room to serve."""
    budget = Budget.of(config.sockets)
    return Setup(
        config.settings,
        handshake_ms=2_000.0,
        http_idle_ms=IDLE_MS,
        unread_ms=5_000.0,
        max_unread_bytes=262_144,
        seed=config.seed,
        max_clients=budget.clients,
        max_traces=2,
        keep_list=False,
        discovery=config.discovery,
        peers=config.peers,
        kept=budget.kept,
        pool=PoolSettings(budget.backends, config.dial_timeout_ms, config.idle_ms),
    )
