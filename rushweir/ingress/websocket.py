"""The ingress of ``rushweir serve``: clients, nodes, list and counter over WebSocket, keyed datagrams. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from zlib import crc32

from rushweir import interface as i
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, BudgetTotal, budget_key
from rushweir.counter.client import CounterClient
from rushweir.discovery.pushed import PushedList
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.websocket import ClientConnection, FrontSettings
from rushweir.ingress import core as base
from rushweir.ingress.clients import Client
from rushweir.ingress.membership import Membership
from rushweir.nodes.pool import Pool, PoolSettings
from rushweir.peers.datagram import Peers


def let_go(budgets: Budgets, name: str) -> None:
    """Spend nothing more of what was lent of a budget: its doors are others, and so is the home that counts it. What
    is on its way is not taken either; where it was lent it counts until it is surely over."""
    key = budget_key(name)
    if (held := budgets.held_leases.get(key)) is not None:
        budgets.held_leases[key] = replace(
            held, total=BudgetTotal(0, 0), share=NO_SHARE, requested_at={}, reported_share=NO_SHARE
        )


@dataclass(frozen=True, slots=True)
class Setup(base.Setup):
    front: FrontSettings = field(default_factory=FrontSettings)
    pool: PoolSettings = field(default_factory=PoolSettings)
    credentials: Credentials = field(default_factory=lambda: Credentials({}))
    peer_key: bytes | None = None
    list_url: str = ""
    counter_url: str = ""
    fleet: Membership | None = None

    def components(self, core: base.Core) -> base.Components:
        s, at = self.settings, core.engine.call_at
        headers = {"User-Agent": f"rushweir ingress={s.gateway} zone={s.zone}"}
        made = base.Components(
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
            made.peers = Peers(s.gateway, s.gateways, self.peer_key)
        made.fleet = self.fleet
        return made

    def adopt(self, core: base.Core) -> None:
        """Connections stay, those of a partner that is gone until their open requests are answered."""
        core.pool.settings = self.pool
        for client in list(core.clients.open.values()):
            client.front.settings = self.front
            if client.front.partner is not None:
                self._look(core, client)

    def touch(self, core: base.Core, now: float, names: Collection[str]) -> None:
        """These partners changed, or are no more, and nothing else did."""
        core._at(now)
        for client in list(core.clients.open.values()):
            if client.front.partner is not None and client.front.partner.name in names:
                self._look(core, client)
        core._run()

    def moved(self, core: base.Core, now: float, names: Iterable[str]) -> None:
        """These partners have other plans or doors. The policy has a customer's doors from its first request until it
        is idle, which a busy one never is; and between the two nothing must fill by the one of each."""
        quota = getattr(core.engine.policy, "quota", None)
        for name in names if quota is not None else ():
            c, partner = quota.customers.get(crc32(name.encode())), self.credentials.partner_named(name)
            if c is None or partner is None:
                continue
            quota.change_plan(c, partner.plan, now)
            if c.gateway_range != (partner.first_gateway, partner.gateway_count):
                quota.refill(c, now)
                if core.fleet is not None:
                    let_go(core.fleet.budgets, name)
                    core.engine.update_share(
                        now, i.Part(name, 0.0, 0.0)
                    )  # until the next request says what it has now
                c.gateway_range = partner.first_gateway, partner.gateway_count
                c.gateway_count, c.owners = quota.gateways_and_owners(c.key, *c.gateway_range)
                quota.refill(c, now)  # no more than the new part's burst

    def renew(self, core: base.Core, now: float) -> None:
        """As ``Core.reload`` does it, but the nodes are gone through only where their networks changed: each of
        thousands would be told to the policy again for a plan."""
        if self.node_networks is not core.setup.node_networks:
            core.reload(now, self)
            return
        core._at(now)
        core.setup = self
        settings = self.settings if core.fleet is None else core.fleet.among(self.settings)
        core.engine.apply_settings(now, settings, self.margin_ms)
        core.load_shedder.apply_settings(self.late_ms, self.max_late_ms)
        core._value_classes()
        core.telemetry.usage.set_partners(self.partners())
        core.telemetry.set_classes({k.name: k.aim_ms for k in self.settings.classes})
        core.telemetry.traces.apply_settings(self.trace_share, self.max_traces)
        self.adopt(core)
        core._run()

    def _look(self, core: base.Core, client: Client) -> None:
        front = client.front
        new = self.credentials.partner_named(front.partner.name)
        if new is not None:
            front.partner = new
        else:
            core.counts["partners_gone"] += 1
            front.refuse_new("partner_gone")
            core.clients.leave_if_idle(client)

    def partners(self) -> Iterable[tuple[str, str]]:
        return self.credentials
