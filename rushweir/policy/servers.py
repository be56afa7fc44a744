"""The servers as one gateway knows them, and the choice among them."""

import random

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.times import MEMORY_MS

SLOW_ALPHA = 0.1  # least weight of a sample in a running mean
WORST = 10.0  # times the usual: a sample counts for no more
FAIL_OUT, STANDS_OUT = 0.4, 1.5  # failing part to set a server aside, if also so many times the mean
CROSS, SAMPLE = 10.0, 12  # times the price of crossing zones; servers looked at, a small fleet whole


class Fleet:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.adopt(settings)
        self.servers, self.groups = dict[str, st.Backend](), dict[tuple[str, str], st.Health]()
        self.whole, self.ready = st.Health(MEMORY_MS, now), list[st.Backend]()

    def adopt(self, settings: i.Settings) -> None:
        self.zone, self.rules, self.others = settings.zone, settings.rules, 1 - 1 / settings.gateways
        self.cross, self.dial = (1 + CROSS * settings.prices.get(p, 0.0) for p in ("crossZone", "handshake"))
        self.idle_ms, self.many = i.IDLE_PART * settings.limits.conn_idle_ms, settings.limits.streams > 1
        self.sized = settings.weights in ("nominal", "rough")  # a live weight tells load, and late

    def update(self, event: i.Members, now: float) -> None:
        def make(e: i.Server) -> st.Backend:
            groups = ("zone", e.zone), ("kind", e.kind)
            alike = [self.groups.setdefault(g, st.Health(MEMORY_MS, now)) for g in groups]
            weight = max(e.weight, 0.01) if self.sized else 1.0
            return st.Backend(e, weight, [st.Health(MEMORY_MS, now), *alike])

        self.servers = st.listed(self.servers, event, make)
        heard = {g for b in self.servers.values() for g in (("zone", b.entry.zone), ("kind", b.entry.kind))}
        self.groups = {g: h for g, h in self.groups.items() if g in heard}
        self.ready = [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warmth(self, b: st.Backend, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        done = min(1.0, max(0.0, now - since) / r.cold_ms) if since and r.cold_ms else 1.0
        return r.cold_share + (1 - r.cold_share) * done

    def able(self, now: float) -> float:
        return sum(self.warmth(b, now) for b in self.ready)

    def bar(self, least: float, now: float) -> float:
        return max(least, STANDS_OUT * self.whole.fail(now))

    def choose(self, now: float, allowed, avoid: set[str]) -> st.Backend | None:
        # Attempts of other gateways are noise that grows with their number: gateways must not herd.
        ready, costs, bar = self.ready, dict[st.Backend, float](), self.bar(FAIL_OUT, now)
        sample = self.rng.sample(ready, min(SAMPLE, len(ready)))
        # In a large fleet few of those drawn have a connection to this gateway: as many that have one are looked at
        # too, and each other costs more by the price of its dial, as one of another zone does by that of crossing.
        open_to = dict.fromkeys(b for b in ready if (b.idle or b.out) and b.free(now - self.idle_ms, self.many))
        more = [b for b in open_to if b not in sample]
        lots = [b for b in sample if allowed(b.entry)]
        looked = lots + [b for b in self.rng.sample(more, min(SAMPLE, len(more))) if allowed(b.entry)]
        able = {b: b.weight * self.warmth(b, now) for b in looked}
        bad = {b: 1e6 * b.fails(bar, now) + 1e3 * (b.entry.address in avoid) for b in looked}
        # Slow start: a cold server gets its warmth's part of what warm ones get, by lot: bounds left it idle.
        sound = [b for b in lots if not bad[b]] or lots
        drawn = self.rng.choices(sound, [able[b] for b in sound])[0] if sound else None
        if drawn is None or able[drawn] < drawn.weight:
            return drawn
        for b in [b for b in looked if able[b] >= b.weight]:
            others = self.others * self.rng.expovariate(1.0) + 1 - self.others
            far = (1 if b.entry.zone == self.zone else self.cross) * (1 if b in open_to else self.dial)
            costs[b] = b.slow * b.health[-1].slow.value * (len(b.out) + others) / able[b] * far + bad[b]
        return min(costs, key=costs.get)

    def done(self, e: i.Outcome, usual: float, now: float) -> bool:
        b = self.servers.get(e.server)
        if b is None or b.out.pop((e.id, e.attempt), None) is None or e.result is i.Result.MOOT:
            return True
        if e.result in (i.Result.OK, i.Result.ERROR, i.Result.FULL):
            b.answer(now, self.idle_ms)
        unanswered = e.result in (i.Result.TIMEOUT, i.Result.CANCELLED)  # of a zone or kind this is pressure
        kind, ratio = b.health[-1].slow, min(e.spent_ms / usual, WORST)
        # A jammed server answers nothing, and would never be found slow by its answers (L33b1c1). Also for
        # silent and swallowing ones. Harm: an impatient client makes its server look slower than it is.
        if e.result is i.Result.OK or (unanswered and ratio > kind.value * b.slow):
            b.slow += SLOW_ALPHA * (ratio / kind.value - b.slow)
            kind.learn(ratio, SLOW_ALPHA)
        for h in (b.health[0], self.whole, *([] if unanswered else b.health[1:])):
            h.note(e.result not in (i.Result.OK, i.Result.FULL), now)
        return b.fails(self.bar(FAIL_OUT / 2, now), now)
