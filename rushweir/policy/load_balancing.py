"""The servers as one gateway knows them, and the choice among them."""

import random

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.time_constants import MEMORY_MS

LATENCY_ALPHA = 0.1  # least weight of a sample in a running mean
MAX_LATENCY_RATIO = 10.0  # times the usual: a sample counts for no more
EJECTION_FAILURE_RATE, EJECTION_MEAN_MULTIPLE = (
    0.4,
    1.5,
)  # failing part to set a server aside, if also so many times the mean
PRICE_FACTOR, SAMPLE_SIZE = 10.0, 12  # times the price of crossing zones; servers looked at, a small fleet whole


class ServerPool:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.apply_settings(settings)
        self.servers, self.groups = dict[str, st.ServerRecord](), dict[tuple[str, str], st.Health]()
        self.overall, self.ready_servers = st.Health(MEMORY_MS, now), list[st.ServerRecord]()

    def apply_settings(self, settings: i.Settings) -> None:
        self.zone, self.rules, self.other_gateways_share = settings.zone, settings.rules, 1 - 1 / settings.gateways
        self.cross_zone_factor, self.dial_factor = (
            1 + PRICE_FACTOR * settings.prices.get(p, 0.0) for p in ("crossZone", "handshake")
        )
        self.connection_idle_ms, self.multiplexed = (
            i.IDLE_TIMEOUT_SHARE * settings.limits.connection_idle_ms,
            settings.limits.streams_per_connection > 1,
        )
        self.uses_weights = settings.weights in ("nominal", "rough")  # a live weight tells load, and late

    def update_members(self, event: i.Members, now: float) -> None:
        def make(e: i.Server) -> st.ServerRecord:
            groups = ("zone", e.zone), ("kind", e.kind)
            alike = [self.groups.setdefault(g, st.Health(MEMORY_MS, now)) for g in groups]
            weight = max(e.weight, 0.01) if self.uses_weights else 1.0
            return st.ServerRecord(e, weight, [st.Health(MEMORY_MS, now), *alike])

        self.servers = st.apply_member_update(self.servers, event, make)
        heard = {g for b in self.servers.values() for g in (("zone", b.entry.zone), ("kind", b.entry.kind))}
        self.groups = {g: h for g, h in self.groups.items() if g in heard}
        self.ready_servers = [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warm_up(self, b: st.ServerRecord, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        done = min(1.0, max(0.0, now - since) / r.cold_ms) if since and r.cold_ms else 1.0
        return r.cold_share + (1 - r.cold_share) * done

    def warm_ready_count(self, now: float) -> float:
        return sum(self.warm_up(b, now) for b in self.ready_servers)

    def failure_threshold(self, least: float, now: float) -> float:
        return max(least, EJECTION_MEAN_MULTIPLE * self.overall.failure_rate(now))

    def choose(self, now: float, allowed, avoid: set[str]) -> st.ServerRecord | None:
        # Attempts of other gateways are noise that grows with their number: gateways must not herd.
        ready, costs, bar = (
            self.ready_servers,
            dict[st.ServerRecord, float](),
            self.failure_threshold(EJECTION_FAILURE_RATE, now),
        )
        sample = self.rng.sample(ready, min(SAMPLE_SIZE, len(ready)))
        # In a large fleet few of those drawn have a connection to this gateway: as many that have one are looked at
        # too, and each other costs more by the price of its dial, as one of another zone does by that of crossing.
        open_to = dict.fromkeys(
            b
            for b in ready
            if (b.idle_connections or b.in_flight)
            and b.has_free_connection(now - self.connection_idle_ms, self.multiplexed)
        )
        more = [b for b in open_to if b not in sample]
        lots = [b for b in sample if allowed(b.entry)]
        looked = lots + [b for b in self.rng.sample(more, min(SAMPLE_SIZE, len(more))) if allowed(b.entry)]
        able = {b: b.weight * self.warm_up(b, now) for b in looked}
        bad = {b: 1e6 * b.is_failing(bar, now) + 1e3 * (b.entry.address in avoid) for b in looked}
        # Slow start: a cold server gets its warmth's part of what warm ones get, by lot: bounds left it idle.
        sound = [b for b in lots if not bad[b]] or lots
        drawn = self.rng.choices(sound, [able[b] for b in sound])[0] if sound else None
        if drawn is None or able[drawn] < drawn.weight:
            return drawn
        for b in [b for b in looked if able[b] >= b.weight]:
            others = self.other_gateways_share * self.rng.expovariate(1.0) + 1 - self.other_gateways_share
            far = (1 if b.entry.zone == self.zone else self.cross_zone_factor) * (
                1 if b in open_to else self.dial_factor
            )
            costs[b] = (
                b.relative_latency * b.health[-1].relative_latency.value * (len(b.in_flight) + others) / able[b] * far
                + bad[b]
            )
        return min(costs, key=costs.get)

    def record_outcome(self, e: i.Outcome, usual: float, now: float) -> bool:
        b = self.servers.get(e.server)
        if b is None or b.in_flight.pop((e.id, e.attempt), None) is None or e.result is i.Result.SUPERSEDED:
            return True
        if e.result in (i.Result.OK, i.Result.ERROR, i.Result.FULL):
            b.record_answer(now, self.connection_idle_ms)
        unanswered = e.result in (i.Result.TIMEOUT, i.Result.CANCELLED)  # of a zone or kind this is pressure
        kind, ratio = b.health[-1].relative_latency, min(e.spent_ms / usual, MAX_LATENCY_RATIO)
        # A jammed server answers nothing, and would never be found slow by its answers (L33b1c1). Also for
        # silent and swallowing ones. Harm: an impatient client makes its server look slower than it is.
        if e.result is i.Result.OK or (unanswered and ratio > kind.value * b.relative_latency):
            b.relative_latency += LATENCY_ALPHA * (ratio / kind.value - b.relative_latency)
            kind.update(ratio, LATENCY_ALPHA)
        for h in (b.health[0], self.overall, *([] if unanswered else b.health[1:])):
            h.record(e.result not in (i.Result.OK, i.Result.FULL), now)
        return b.is_failing(self.failure_threshold(EJECTION_FAILURE_RATE / 2, now), now)
