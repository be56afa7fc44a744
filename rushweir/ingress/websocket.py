"""The setup of ``rushweir serve``: clients, nodes, list and counter over WebSocket, sealed datagrams. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from zlib import crc32

from rushweir import interface
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, BudgetTotal, budget_key
from rushweir.counter.client import CounterClient
from rushweir.discovery.pushed import PushedList
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.websocket import ClientConnection, FrontSettings
from rushweir.ingress import core as base
from rushweir.ingress.clients import Client
from rushweir.ingress.health import health
from rushweir.ingress.membership import Membership
from rushweir.nodes.pool import Pool, PoolSettings
from rushweir.peers.datagram import Peers


def release_lease(budgets: Budgets, name: str) -> None:
    """Stop spending the leased share of a budget, since its gateways, and so its owner, have changed. Replies on the
    way are ignored; the former owner counts the share until its lease has expired."""
    key = budget_key(name)
    if (lease := budgets.held_leases.get(key)) is not None:
        budgets.held_leases[key] = replace(
            lease, total=BudgetTotal(0, 0), share=NO_SHARE, requested_at={}, reported_share=NO_SHARE
        )


@dataclass(frozen=True, slots=True)
class Setup(base.Setup):
    """An ingress that speaks WebSocket with clients, nodes and services."""

    front: FrontSettings = field(default_factory=FrontSettings)
    pool: PoolSettings = field(default_factory=PoolSettings)
    credentials: Credentials = field(default_factory=lambda: Credentials({}))
    peer_key: bytes | None = None
    list_url: str = ""
    counter_url: str = ""
    fleet: Membership | None = None

    def components(self, core: base.Core) -> base.Components:
        """The components of an ingress with these settings."""
        settings = self.settings
        call_at = core.engine.call_at
        headers = {"User-Agent": f"rushweir ingress={settings.gateway} zone={settings.zone}"}
        components = base.Components(
            lambda: ClientConnection(core.setup.front, lambda: core.setup.credentials, lambda: health(core)),
            Pool(self.pool, headers, core.new_conn, call_at),
        )
        if self.list_url:
            components.list = PushedList(
                self.list_url, headers, self.seed, core.new_conn, call_at, not settings.ask_discovery
            )
        if self.counter_url:
            components.counter = CounterClient(
                self.counter_url,
                headers,
                self.seed,
                settings.sharing.counter_timeout_ms or 50.0,
                core.new_conn,
                call_at,
            )
        if self.peer_key:
            components.peers = Peers(settings.gateway, settings.gateways, self.peer_key)
        components.fleet = self.fleet
        return components

    def apply_to(self, core: base.Core) -> None:
        """Apply these settings to the open connections; those of a removed partner are closed once they are idle."""
        core.pool.settings = self.pool
        for client in list(core.clients.open.values()):
            client.front.settings = self.front
            if client.front.partner is not None:
                self._update_partner(core, client)

    def update_partners(self, core: base.Core, now: float, names: Collection[str]) -> None:
        """Apply changes of these partners, some of which may be removed, where nothing else changed."""
        core._set_time(now)
        for client in list(core.clients.open.values()):
            if client.front.partner is not None and client.front.partner.name in names:
                self._update_partner(core, client)
        core._process()

    def update_plans_and_gateways(self, core: base.Core, now: float, names: Iterable[str]) -> None:
        """Apply other plans or gateways of these partners to the policy. It takes a customer's gateways from its
        first request and keeps them until it is idle, which a busy one never is. The buckets are refilled by the
        former rate first, so that no time is counted by two rates."""
        quota = getattr(core.engine.policy, "quota", None)
        for name in names if quota is not None else ():
            customer = quota.customers.get(crc32(name.encode()))
            partner = self.credentials.partner_named(name)
            if customer is None or partner is None:
                continue
            quota.change_plan(customer, partner.plan, now)
            if customer.gateway_range != (partner.first_gateway, partner.gateway_count):
                quota.refill(customer, now)
                if core.fleet is not None:
                    release_lease(core.fleet.budgets, name)
                    # No share until the next request asks for one.
                    core.engine.update_share(now, interface.Part(name, 0.0, 0.0))
                customer.gateway_range = partner.first_gateway, partner.gateway_count
                customer.gateway_count, customer.owners = quota.gateways_and_owners(
                    customer.key, *customer.gateway_range
                )
                quota.refill(customer, now)  # limits the tokens to the burst of the new share

    def reload(self, core: base.Core, now: float) -> None:
        """Apply these settings like ``Core.reload``, but go through the nodes only if their networks changed: a
        change of a plan need not report thousands of nodes to the policy again."""
        if self.node_networks is not core.setup.node_networks:
            core.reload(now, self)
            return
        core._set_time(now)
        core.setup = self
        settings = self.settings if core.fleet is None else core.fleet.with_present_gateways(self.settings)
        core.engine.apply_settings(now, settings, self.margin_ms)
        core.load_shedder.apply_settings(self.late_ms, self.max_late_ms)
        core._compute_request_values()
        core.telemetry.usage.set_partners(self.partners())
        core.telemetry.set_classes({k.name: k.aim_ms for k in self.settings.classes})
        core.telemetry.traces.apply_settings(self.trace_share, self.max_traces)
        self.apply_to(core)
        core._process()

    def _update_partner(self, core: base.Core, client: Client) -> None:
        front = client.front
        partner = self.credentials.partner_named(front.partner.name)
        if partner is not None:
            front.partner = partner
        else:
            core.counts["partners_gone"] += 1
            front.refuse_new("partner_gone")
            core.clients.close_when_idle(client)

    def partners(self) -> Iterable[tuple[str, str]]:
        """Name and plan of each partner."""
        return self.credentials
