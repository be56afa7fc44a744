"""B, the room for units in flight, cut by f2."""

import math

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.times import MEMORY_MS

AIM_PART = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
POPULAR_MS, PRIOR = 15000.0, 2.0  # window of popularity; units added for each class against noise
START_RATE, SPREAD = 12.0, 1.0  # finished by a ready server in a second, presumed; of B's root more, banked
PRESSED_MS, PRESSED_PART = 2000.0, 0.1  # life of signs of pressure; their part of outcomes and 5 good ones
KEEP_PART = 0.5  # of the room: closed to worthless work
LENGTH_ALPHA, VALUE_ALPHA = 0.05, 0.02  # least weight of a sample in each running mean
MEDIAN_STEP = 0.05  # of the median, for each answer


class Room:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, s: i.Settings, now: float) -> None:
        self.classes, self.length = dict[str, i.RequestClass](), dict[str, st.Mean]()
        self.asked = dict[str, st.Rate]()
        self.adopt(s, set(), now)
        self.finished, self.mean_units = st.Rate(MEMORY_MS, now), (1 + s.sharing.largest_request) / 2
        self.outcomes, self.parts = st.Health(PRESSED_MS, now), st.Parts()
        values = [c.worth * p.price / self.length[c.name].value for c in s.classes for p in s.plans]
        self.value = sum(values) / len(values)
        self.credit, self.most, self.at, self.median = 0.0, 0.0, now, 1.0  # of times, in lengths

    def adopt(self, s: i.Settings, out: set[str], now: float) -> None:
        """Other classes; those of requests that are out stay until the next change."""
        old = {n: c for n, c in self.classes.items() if n in out}
        self.s, self.classes = s, old | {c.name: c for c in s.classes}
        self.length = {n: self.length.get(n) or st.Mean(c.aim_ms / 4) for n, c in self.classes.items()}
        self.asked = {n: self.asked.get(n) or st.Rate(POPULAR_MS, now) for n in self.classes}

    def pressed(self, now: float) -> bool:
        return self.outcomes.bad.total(now) > PRESSED_PART * (5 + self.outcomes.all.total(now))

    def observe(self, name: str, e: i.Outcome, units: float, now: float) -> None:
        ok, late = e.result is i.Result.OK, e.spent_ms > self.classes[name].aim_ms
        unanswered = e.result in (i.Result.TIMEOUT, i.Result.CANCELLED)
        self.outcomes.note(e.result is i.Result.FULL or unanswered or (ok and late), now)
        self.finished.add(units * ok, now)
        if ok:
            self.median *= 1 + MEDIAN_STEP * (1 if e.spent_ms > self.median * self.length[name].value else -1)
            self.length[name].learn(e.spent_ms, LENGTH_ALPHA)

    def range_of(self, name: str) -> int:
        """Range of lengths [2^k lmin, 2^(k+1) lmin) of a class, from 0; the top one is closed above."""
        lengths = [m.value for m in self.length.values()]
        ranges = max(1, math.ceil(math.log2(max(lengths) / min(lengths)) - 1e-9))
        return min(int(math.log2(self.length[name].value / min(lengths))), ranges - 1)

    def partition(self, ready: float, now: float) -> None:
        """B and its parts, by f2: popularity (units asked) times length; a cold server is ready by its warmth."""
        f2 = {n: (r.total(now) + PRIOR) * self.length[n].value for n, r in self.asked.items()}
        ranges, whole = {n: self.range_of(n) for n in f2}, sum(f2.values())
        aim = sum(f2[n] * self.classes[n].aim_ms for n in f2) / whole / 1000
        start = START_RATE * self.mean_units * max(1, ready) / self.s.gateways
        pressed, done = self.pressed(now), self.finished.per_s(now)
        room = max(start / 2 if pressed else start, done) * aim * AIM_PART
        self.bank(now)
        self.most = room * aim * 1000
        self.parts.resize(1 + max(ranges.values()), [(ranges[n], f / whole * room) for n, f in f2.items()])

    def bank(self, now: float) -> float:
        """Room not used so far, in units times ms: it pays for what is in flight beyond B, a large request or chance,
        so that all gateways have no more in flight over time than all their B (L33b1c1: each added a root).
        Harm: after a long request a gateway with a room below one stays shut for a while."""
        sizes, used = sum(self.parts.sizes), sum(self.parts.used)
        self.credit = min(self.most, self.credit + (sizes - used) * (now - self.at))
        self.credit, self.at = max(self.credit, -MEMORY_MS * self.mean_units), now
        return self.credit

    def keep(self, name: str, price: float) -> float:
        """The part of the room that a request leaves free for dearer ones: in the paper length alone is profit."""
        value = self.classes[name].worth * price / self.length[name].value
        self.value += VALUE_ALPHA * (value - self.value)
        return KEEP_PART * max(0.0, 1 - value / self.value)

    def fits(self, name: str, units: float, keep: float, now: float) -> list[int] | None:
        """The parts that a request may draw from now, in order; None if there is no room."""
        parts, top = self.parts, min(self.range_of(name), len(self.parts.sizes) - 1)
        pressed = self.pressed(now)
        order = [*range(top, -1, -1), *([] if pressed else range(top + 1, len(parts.sizes)))]
        used, free = sum(parts.used), sum(max(0.0, parts.sizes[k] - parts.used[k]) for k in order)
        more = SPREAD * math.sqrt(sum(parts.sizes) * self.mean_units) * (self.bank(now) > 0 and not pressed)
        short = free + more < units - 1e-9 or (sum(parts.sizes) + more) * (1 - keep) - used < units
        if short and (used > 1e-6 or self.credit < 0):
            return None
        return order  # an idle gateway with credit takes a request larger than its room

    def wait(self, name: str, units: float) -> float:
        """Advice: in what time so much room is given back at the present pace; one time in flight at most."""
        return self.length[name].value * min(1.0, units / max(1e-9, sum(self.parts.used)))
