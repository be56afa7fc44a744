"""Requests as they are drawn: when, whose, by which route. No I/O, no clock; all chance from the generator given."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate

from rushweir.ingress.queries import Query


class Tail:
    """One of ``count``, the k-th with a weight of k to the power of ``-law`` (Zipf): few ask for most."""

    def __init__(self, count: int, law: float = 1.0) -> None:
        self.sums = list(accumulate((k + 1) ** -law for k in range(count)))

    def draw(self, rng: random.Random) -> int:
        return bisect_left(self.sums, rng.random() * self.sums[-1])

    def share(self, k: int) -> float:
        """How much of all the k-th asks for."""
        return (self.sums[k] - (self.sums[k - 1] if k else 0.0)) / self.sums[-1]


class Tenants:
    """Whose request comes to one ingress. The first ``lent`` tenants come through their doors only, and through each
    of these the more often: all ingresses together see every tenant as often as the tail says."""

    def __init__(self, tail: Tail, lent: int, own: Sequence[int], share: float) -> None:
        """``own``: of the first ``lent``, those whose door this is; ``share``: of ingresses that are doors."""
        self.tail, self.own = tail, own
        self.before = tail.sums[lent - 1] if lent else 0.0
        self.sums = list(accumulate((tail.sums[k] - (tail.sums[k - 1] if k else 0.0)) / share for k in own))

    def draw(self, rng: random.Random) -> int:
        mine = self.sums[-1] if self.sums else 0.0
        x = rng.random() * (mine + self.tail.sums[-1] - self.before)
        if x < mine:
            return self.own[bisect_left(self.sums, x)]
        return bisect_left(self.tail.sums, x - mine + self.before)


class Requests:
    """The requests of one ingress: arrivals by chance alone (Poisson), tenants and routes by heavy tails."""

    def __init__(self, rng: random.Random, tenants: Tenants, routes: Sequence[Route]) -> None:
        self.rng, self.tenants, self.routes = rng, tenants, routes
        self.route_tail = Tail(len(routes))

    def pause_s(self, per_s: float) -> float:
        return self.rng.expovariate(per_s)

    def draw(self) -> tuple[int, str, float]:
        """The tenant's rank, class and units of the next one."""
        cls, units = self.routes[self.route_tail.draw(self.rng)]
        return self.tenants.draw(self.rng), cls, units


Route = tuple[str, float]  # its class, and what a request by it counts


def routes(count: int, classes: Sequence[str]) -> list[Route]:
    """Routes over classes in turn; every seventh counts two units."""
    return [(classes[k % len(classes)], 2.0 if k % 7 == 6 else 1.0) for k in range(count)]


def ask(cls: str, units: float, partner: object) -> Query:
    """As a front would have understood it."""
    return Query(cls, {"data": {"work": 1}}, None, units, partner)  # type: ignore[arg-type]
