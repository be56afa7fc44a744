"""The servers as one gateway knows them, and the choice among them."""

import random
from collections.abc import Callable

from rushweir import interface
from rushweir.policy.time_constants import MEMORY_MS
from rushweir.state import Health, ServerRecord, apply_member_update

LATENCY_ALPHA = 0.1  # least weight of a sample in a running mean of latency
MAX_LATENCY_RATIO = 10.0  # samples count for no more than so many times the usual latency
EJECTION_FAILURE_RATE = 0.4  # a server is ejected at this failure rate ...
EJECTION_MEAN_MULTIPLE = 1.5  # ... if it is also so many times the mean of all servers
PRICE_FACTOR = 10.0  # weight of the prices of a zone crossing and of a handshake in a server's cost
SAMPLE_SIZE = 12  # servers compared for one attempt


class ServerPool:
    """The server list, and the health, warm-up and choice of servers."""

    def __init__(self, settings: interface.Settings, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.apply_settings(settings)
        self.servers = dict[str, ServerRecord]()
        self.groups = dict[tuple[str, str], Health]()
        self.overall = Health(MEMORY_MS, now)
        self.ready_servers = list[ServerRecord]()

    def apply_settings(self, settings: interface.Settings) -> None:
        """Use other settings; what is known of the servers stays."""
        self.zone = settings.zone
        self.rules = settings.rules
        self.other_gateways_share = 1 - 1 / settings.gateways
        self.cross_zone_factor = 1 + PRICE_FACTOR * settings.prices.get("crossZone", 0.0)
        self.dial_factor = 1 + PRICE_FACTOR * settings.prices.get("handshake", 0.0)
        self.connection_idle_ms = interface.IDLE_TIMEOUT_SHARE * settings.limits.connection_idle_ms
        self.multiplexed = settings.limits.streams_per_connection > 1
        self.uses_weights = settings.weights in ("nominal", "rough")  # a live weight reports load, and late

    def update_members(self, event: interface.Members, now: float) -> None:
        """Apply an update of the server list."""

        def make_record(entry: interface.Server) -> ServerRecord:
            groups = ("zone", entry.zone), ("kind", entry.kind)
            group_health = [self.groups.setdefault(group, Health(MEMORY_MS, now)) for group in groups]
            weight = max(entry.weight, 0.01) if self.uses_weights else 1.0
            return ServerRecord(entry, weight, [Health(MEMORY_MS, now), *group_health])

        self.servers = apply_member_update(self.servers, event, make_record)
        used_groups = {
            group
            for server in self.servers.values()
            for group in (("zone", server.entry.zone), ("kind", server.entry.kind))
        }
        self.groups = {group: health for group, health in self.groups.items() if group in used_groups}
        self.ready_servers = [
            server for server in self.servers.values() if server.entry.state is interface.State.READY
        ]

    def warm_up(self, server: ServerRecord, now: float) -> float:
        """The share of its full capacity that a server has by now, from ``cold_share`` at its start to 1."""
        started_at = server.entry.online_since_ms
        rules = self.rules
        elapsed_share = min(1.0, max(0.0, now - started_at) / rules.cold_ms) if started_at and rules.cold_ms else 1.0
        return rules.cold_share + (1 - rules.cold_share) * elapsed_share

    def warm_ready_count(self, now: float) -> float:
        """The number of ready servers, each counted by how far it has warmed up."""
        return sum(self.warm_up(server, now) for server in self.ready_servers)

    def failure_threshold(self, least: float, now: float) -> float:
        """The failure rate at which a server is ejected: ``least``, or a multiple of the mean if that is more."""
        return max(least, EJECTION_MEAN_MULTIPLE * self.overall.failure_rate(now))

    def choose(self, now: float, allowed: Callable[[interface.Server], bool], avoid: set[str]) -> ServerRecord | None:
        """The server for an attempt, or None if none is allowed.

        A random sample is compared by cost: relative latency times attempts in flight over capacity, times the prices
        of a zone crossing and a new connection. Ejected servers and addresses in ``avoid`` come last.
        """
        ready = self.ready_servers
        costs = dict[ServerRecord, float]()
        threshold = self.failure_threshold(EJECTION_FAILURE_RATE, now)
        sample = self.rng.sample(ready, min(SAMPLE_SIZE, len(ready)))
        # In a large fleet few servers of the sample have a connection to this gateway: as many that have one are
        # compared too, and each other costs more by the price of its handshake, as one of another zone does by that
        # of the crossing.
        connected = self._connected_servers(now)
        other_connected = [server for server in connected if server not in sample]
        allowed_sample = [server for server in sample if allowed(server.entry)]
        compared = allowed_sample + [
            server
            for server in self.rng.sample(other_connected, min(SAMPLE_SIZE, len(other_connected)))
            if allowed(server.entry)
        ]
        capacities = {server: server.weight * self.warm_up(server, now) for server in compared}
        penalties = {
            server: 1e6 * server.is_failing(threshold, now) + 1e3 * (server.entry.address in avoid)
            for server in compared
        }
        # Slow start: a random draw by capacity gives a cold server its warm-up's share of what warm ones get. Bounds
        # on its attempts left it idle.
        sound = [server for server in allowed_sample if not penalties[server]] or allowed_sample
        drawn = self.rng.choices(sound, [capacities[server] for server in sound])[0] if sound else None
        if drawn is None or capacities[drawn] < drawn.weight:
            return drawn
        for server in [server for server in compared if capacities[server] >= server.weight]:
            # The attempts of other gateways are unknown: a random number that grows with the number of gateways
            # stands for them, so that the gateways do not all choose the same server.
            others = self.other_gateways_share * self.rng.expovariate(1.0) + 1 - self.other_gateways_share
            price = (1 if server.entry.zone == self.zone else self.cross_zone_factor) * (
                1 if server in connected else self.dial_factor
            )
            latency = server.relative_latency * server.health[-1].relative_latency.value
            load = len(server.in_flight) + others
            costs[server] = latency * load / capacities[server] * price + penalties[server]
        return min(costs, key=costs.get)

    def _connected_servers(self, now: float) -> dict[ServerRecord, None]:
        """The ready servers to which a connection for one more attempt is believed open, in the list's order."""
        return dict.fromkeys(
            server
            for server in self.ready_servers
            if (server.idle_connections or server.in_flight)
            and server.has_free_connection(now - self.connection_idle_ms, self.multiplexed)
        )

    def record_outcome(self, event: interface.Outcome, usual_ms: float, now: float) -> bool:
        """Learn from an attempt's outcome, given the usual latency of its class.

        Returns whether the outcome says nothing about the load: it was superseded or unknown, or its server is
        failing.
        """
        server = self.servers.get(event.server)
        if (
            server is None
            or server.in_flight.pop((event.id, event.attempt), None) is None
            or event.result is interface.Result.SUPERSEDED
        ):
            return True
        if event.result in (interface.Result.OK, interface.Result.ERROR, interface.Result.FULL):
            server.record_answer(now, self.connection_idle_ms)
        # For a zone or a kind an unanswered attempt is a sign of pressure, not of a failure.
        unanswered = event.result in (interface.Result.TIMEOUT, interface.Result.CANCELLED)
        kind_latency = server.health[-1].relative_latency
        ratio = min(event.spent_ms / usual_ms, MAX_LATENCY_RATIO)
        # A jammed server answers nothing, so its answers never show that it is slow (incident L33b1c1): an unanswered
        # attempt counts if it took longer than expected. That also finds silent servers and those that swallow
        # requests. An impatient client makes its server look slower than it is.
        if event.result is interface.Result.OK or (
            unanswered and ratio > kind_latency.value * server.relative_latency
        ):
            server.relative_latency += LATENCY_ALPHA * (ratio / kind_latency.value - server.relative_latency)
            kind_latency.update(ratio, LATENCY_ALPHA)
        for health in (server.health[0], self.overall, *([] if unanswered else server.health[1:])):
            health.record(event.result not in (interface.Result.OK, interface.Result.FULL), now)
        return server.is_failing(self.failure_threshold(EJECTION_FAILURE_RATE / 2, now), now)
