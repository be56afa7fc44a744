"""What clients of a day ask: one schedule of tries, drawn from a seed alone.

Arrivals are drawn ahead and do not wait for answers (an open loop): a slow fleet does not make its load go
away. Each partner asks as a Poisson process whose rate follows its habit (quiet, full, heavy), the day's
wave, and the storms that befall it; each try has its door, its class, its work and its patience.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from rushweir.lab.day import Day, DayPlan


@dataclass(frozen=True, slots=True)
class Planned:
    """One first try."""

    t: float
    partner: str
    cls: str
    units: float
    work: float
    within: float
    door: int


def doors(day: Day, k: int, plan: DayPlan) -> tuple[int, int]:
    """The ingresses of the k-th partner: the first, and how many from it on."""
    count = min(plan.spread or day.ingresses, day.ingresses)
    return k % day.ingresses, count


def capacity(day: Day) -> float:
    """Work that all nodes do, in ms a ms."""
    return sum(n.kind.cores * n.kind.speed for n in day.nodes)


def schedule(day: Day) -> list[Planned]:
    """All first tries of a day, in order of time."""
    if day.traffic is not None:
        return day.traffic
    rng = random.Random(day.seed)
    shares = [c.share for c in day.classes]
    mean_work = sum(c.share * c.work for c in day.classes) / sum(shares)
    people = day.partner_names()
    habits = [_habit(day, rng) for _ in people]
    quotas = [p.rate or p.size for _, p in people]
    inside = sum(min(h, 1.0) * q for h, q in zip(habits, quotas, strict=True))
    # The quotas are as the plans say; partners use them so far that the load inside them is the day's.
    scale = day.load * capacity(day) * 1000 / mean_work / inside if inside else 1.0
    out: list[Planned] = []
    for k, ((name, plan), habit, quota) in enumerate(zip(people, habits, quotas, strict=True)):
        own = random.Random(rng.getrandbits(64))
        asked = quota * (min(habit * scale, 0.95) if habit <= 1 else habit)
        weights, first, count = _weights(day, own, name, k, plan)
        spikes = _spikes(day, own) if habit <= 1 else []
        t = 0.0
        storms = max([tr.size for tr in day.troubles if tr.what == "storm" and concerns(tr.on, name)], default=1.0)
        most = asked * (1 + day.swing) * max(1.0, storms) * max([x for _, _, x in spikes], default=1.0)
        while True:
            t += own.expovariate(most / 1000)
            if t >= day.length:
                break
            spike = max([x for begin, end, x in spikes if begin <= t < end], default=1.0)
            if own.random() * most > asked * _wave(day, t) * _storm(day, name, t) * spike:
                continue
            while len(weights) > 1 and t >= weights[0][0]:
                weights.pop(0)
            cls = own.choices(day.classes, shares)[0]
            door = (first + own.choices(range(count), weights[0][1])[0]) % day.ingresses
            work = _work(own, cls.work, cls.cv)
            units = 1.0 if day.units == "one" else float(min(day.most_units, max(1, round(2 * work / mean_work))))
            out.append(Planned(t, name, cls.name, units, work, cls.deadline * day.try_share, door))
    out.sort(key=lambda p: p.t)
    return out


def _habit(day: Day, rng: random.Random) -> float:
    """How much of its quota a partner asks."""
    kind = rng.random()
    if kind < day.heavy:
        return rng.uniform(*day.heavy_x)
    return rng.uniform(0.85, 1.0) if kind < day.heavy + day.full else day.calm * rng.uniform(0.6, 1.4)


def _spikes(day: Day, rng: random.Random) -> list[tuple[float, float, float]]:
    """When a partner's tries pile up: from, until, times."""
    out: list[tuple[float, float, float]] = []
    if rng.random() < day.spiky:
        t = rng.expovariate(1 / day.spike_every) * 1000
        while t < day.length:
            out.append((t, t + rng.uniform(*day.spike_s) * 1000, rng.uniform(*day.spike_x)))
            t = out[-1][1] + rng.expovariate(1 / day.spike_every) * 1000
    return out


def _wave(day: Day, t: float) -> float:
    return 1 + day.swing * math.sin(2 * math.pi * t / max(day.length / 2, 1.0))


def _storm(day: Day, partner: str, t: float) -> float:
    times = 1.0
    for tr in day.troubles:
        if tr.what == "storm" and tr.at <= t < tr.at + tr.length and concerns(tr.on, partner):
            times = max(times, tr.size)
    return times


def concerns(on: tuple[str, ...], partner: str) -> bool:
    """Whether a trouble's words name a partner, by itself or by its plan; no words name all."""
    return not on or partner in on or partner.rpartition("-")[0] in on


def _weights(
    day: Day, rng: random.Random, name: str, k: int, plan: DayPlan
) -> tuple[list[tuple[float, list[float]]], int, int]:
    """How a partner's tries spread over its doors: until when, and the weights. They turn at each shift."""
    first, count = doors(day, k, plan)
    turns = sorted(
        tr.at for tr in day.troubles
        if tr.what == "shift" and (tr.on or rng.random() < tr.size) and concerns(tr.on, name)
    )  # fmt: skip
    return [(until, [rng.random() ** 2 + 0.05 for _ in range(count)]) for until in (*turns, math.inf)], first, count


def _work(rng: random.Random, mean: float, cv: float) -> float:
    sigma = math.sqrt(math.log(1 + cv * cv))
    return max(1.0, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))
