"""The ingress of ``rushweir serve``: clients, nodes, list and counter over WebSocket, keyed datagrams. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from rushweir.counter.client import CounterClient
from rushweir.discovery.pushed import PushedList
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.websocket import ClientConnection, FrontSettings
from rushweir.ingress import core as base
from rushweir.ingress.membership import Membership
from rushweir.nodes.pool import Pool, PoolSettings
from rushweir.peers.datagram import Peers


@dataclass(frozen=True, slots=True)
class Setup(base.Setup):
    front: FrontSettings = field(default_factory=FrontSettings)
    pool: PoolSettings = field(default_factory=PoolSettings)
    credentials: Credentials = field(default_factory=lambda: Credentials({}))
    peer_key: bytes | None = None
    list_url: str = ""
    counter_url: str = ""
    fleet: Membership | None = None

    def parts(self, core: base.Core) -> base.Parts:
        s, at = self.settings, core.engine.at
        headers = {"User-Agent": f"rushweir ingress={s.me} zone={s.zone}"}
        made = base.Parts(
            lambda: ClientConnection(core.setup.front, lambda: core.setup.credentials, core.health),
            Pool(self.pool, headers, core.new_conn, at),
        )
        if self.list_url:
            made.list = PushedList(self.list_url, headers, self.seed, core.new_conn, at, not s.ask_discovery)
        if self.counter_url:
            made.counter = CounterClient(
                self.counter_url, headers, self.seed, s.sharing.counter_timeout_ms or 50.0, core.new_conn, at
            )
        if self.peer_key:
            made.peers = Peers(s.me, s.gateways, self.peer_key)
        made.fleet = self.fleet
        return made

    def adopt(self, core: base.Core) -> None:
        """Connections stay, those of a partner that is gone until their open requests are answered."""
        core.pool.settings = self.pool
        partners = {p.name: p for p in self.credentials.by_digest.values()}
        for client in list(core.clients.open.values()):
            front = client.front
            front.settings = self.front
            if front.partner is not None:
                new = partners.get(front.partner.name)
                if new is not None:
                    front.partner = new
                else:
                    core.counts["partners_gone"] += 1
                    front.refuse_new("partner_gone")
                    core.clients.leave_if_idle(client)

    def partners(self) -> list[tuple[str, str]]:
        return [(p.name, p.plan) for p in self.credentials.by_digest.values()]
