"""B, the room for units in flight, cut by f2."""

import math

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.time_constants import MEMORY_MS

AIM_SHARE = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
POPULARITY_MS, PRIOR_UNITS = 15000.0, 2.0  # window of popularity; units added for each class against noise
START_UNITS_PER_S, CREDIT_ROOTS = (
    12.0,
    1.0,
)  # finished by a ready server in a second, presumed; of B's root more, banked
PRESSURE_MS, PRESSURE_SHARE = 2000.0, 0.1  # life of signs of pressure; their part of outcomes and 5 good ones
MAX_RESERVED_SHARE = 0.5  # of the room: closed to worthless work
LENGTH_ALPHA, VALUE_ALPHA = 0.05, 0.02  # least weight of a sample in each running mean
MEDIAN_STEP = 0.05  # of the median, for each answer


class InFlightCapacity:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, s: i.Settings, now: float) -> None:
        self.classes, self.lengths = dict[str, i.RequestClass](), dict[str, st.RunningMean]()
        self.popularity = dict[str, st.DecayingRate]()
        self.apply_settings(s, set(), now)
        self.finished, self.mean_units = st.DecayingRate(MEMORY_MS, now), (1 + s.sharing.largest_request) / 2
        self.outcomes, self.partitions = st.Health(PRESSURE_MS, now), st.Partitions()
        values = [c.worth * p.price / self.lengths[c.name].value for c in s.classes for p in s.plans]
        self.mean_value = sum(values) / len(values)
        self.credit, self.max_credit, self.credit_at, self.median_ratio = 0.0, 0.0, now, 1.0  # of times, in lengths

    def apply_settings(self, s: i.Settings, out: set[str], now: float) -> None:
        """Other classes; those of requests that are out stay until the next change."""
        old = {n: c for n, c in self.classes.items() if n in out}
        self.settings, self.classes = s, old | {c.name: c for c in s.classes}
        self.lengths = {n: self.lengths.get(n) or st.RunningMean(c.aim_ms / 4) for n, c in self.classes.items()}
        self.popularity = {n: self.popularity.get(n) or st.DecayingRate(POPULARITY_MS, now) for n in self.classes}

    def under_pressure(self, now: float) -> bool:
        return self.outcomes.failures.total(now) > PRESSURE_SHARE * (5 + self.outcomes.outcomes.total(now))

    def observe_outcome(self, name: str, e: i.Outcome, units: float, now: float) -> None:
        ok, late = e.result is i.Result.OK, e.spent_ms > self.classes[name].aim_ms
        unanswered = e.result in (i.Result.TIMEOUT, i.Result.CANCELLED)
        self.outcomes.record(e.result is i.Result.FULL or unanswered or (ok and late), now)
        self.finished.add(units * ok, now)
        if ok:
            self.median_ratio *= 1 + MEDIAN_STEP * (
                1 if e.spent_ms > self.median_ratio * self.lengths[name].value else -1
            )
            self.lengths[name].update(e.spent_ms, LENGTH_ALPHA)

    def length_range(self, name: str) -> int:
        """Range of lengths [2^k lmin, 2^(k+1) lmin) of a class, from 0; the top one is closed above."""
        lengths = [m.value for m in self.lengths.values()]
        ranges = max(1, math.ceil(math.log2(max(lengths) / min(lengths)) - 1e-9))
        return min(int(math.log2(self.lengths[name].value / min(lengths))), ranges - 1)

    def partition(self, ready: float, now: float) -> None:
        """B and its parts, by f2: popularity (units asked) times length; a cold server is ready by its warmth."""
        f2 = {n: (r.total(now) + PRIOR_UNITS) * self.lengths[n].value for n, r in self.popularity.items()}
        ranges, whole = {n: self.length_range(n) for n in f2}, sum(f2.values())
        aim = sum(f2[n] * self.classes[n].aim_ms for n in f2) / whole / 1000
        start = START_UNITS_PER_S * self.mean_units * max(1, ready) / self.settings.gateways
        pressed, done = self.under_pressure(now), self.finished.per_s(now)
        room = max(start / 2 if pressed else start, done) * aim * AIM_SHARE
        self.accrue_credit(now)
        self.max_credit = room * aim * 1000
        self.partitions.resize(1 + max(ranges.values()), [(ranges[n], f / whole * room) for n, f in f2.items()])

    def accrue_credit(self, now: float) -> float:
        """Room not used so far, in units times ms: it pays for what is in flight beyond B, a large request or chance,
        so that all gateways have no more in flight over time than all their B (L33b1c1: each added a root).
        Harm: after a long request a gateway with a room below one stays shut for a while."""
        sizes, used = sum(self.partitions.sizes), sum(self.partitions.used)
        self.credit = min(self.max_credit, self.credit + (sizes - used) * (now - self.credit_at))
        self.credit, self.credit_at = max(self.credit, -MEMORY_MS * self.mean_units), now
        return self.credit

    def reserved_share(self, name: str, price: float) -> float:
        """The part of the room that a request leaves free for dearer ones: in the paper length alone is profit."""
        value = self.classes[name].worth * price / self.lengths[name].value
        self.mean_value += VALUE_ALPHA * (value - self.mean_value)
        return MAX_RESERVED_SHARE * max(0.0, 1 - value / self.mean_value)

    def find_partitions(self, name: str, units: float, keep: float, now: float) -> list[int] | None:
        """The parts that a request may draw from now, in order; None if there is no room."""
        parts, top = self.partitions, min(self.length_range(name), len(self.partitions.sizes) - 1)
        pressed = self.under_pressure(now)
        order = [*range(top, -1, -1), *([] if pressed else range(top + 1, len(parts.sizes)))]
        used, free = sum(parts.used), sum(max(0.0, parts.sizes[k] - parts.used[k]) for k in order)
        more = (
            CREDIT_ROOTS
            * math.sqrt(sum(parts.sizes) * self.mean_units)
            * (self.accrue_credit(now) > 0 and not pressed)
        )
        short = free + more < units - 1e-9 or (sum(parts.sizes) + more) * (1 - keep) - used < units
        if short and (used > 1e-6 or self.credit < 0):
            return None
        return order  # an idle gateway with credit takes a request larger than its room

    def estimate_wait_ms(self, name: str, units: float) -> float:
        """Advice: in what time so much room is given back at the present pace; one time in flight at most."""
        return self.lengths[name].value * min(1.0, units / max(1e-9, sum(self.partitions.used)))
