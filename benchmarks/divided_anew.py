"""How long a whole is not lent after its home is killed, after members leave and after they join, in simulated time.

    .venv/bin/python -m benchmarks.divided_anew [SEEDS]

Twelve processes share one ceiling, all with demand, 2% of the datagrams lost, a term of 3 s. Of each change: when the
first process held the next view and the last one did, when a home that lends was there again, and when nine tenths of
the whole could be spent again and for how long they could not. Seconds after the change, median and worst over seeds.
"""

from __future__ import annotations

import sys
from statistics import median

from rushweir.budgets.records import BudgetTotal, budget_key
from rushweir.lab.sim.spenders import Sharers
from rushweir.lab.sim.world import World

COUNT, TERM_MS, SETTLED_MS, WATCHED_MS, LOOK_MS = 12, 3_000.0, 20_000.0, 14_000.0, 20.0
WHOLE, NAME = BudgetTotal.from_units(50, 100), "one"
ENOUGH = 0.9  # of the whole
SETTINGS = {"keep_ms": 15_000.0, "view_ms": 5_000.0, "per_s": 15.0, "apps_per_s": 12.0}


class Scene:
    """A fleet that lends, with one change."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.fleet = Sharers(self.world, 3, 2 * COUNT, 0.01, **SETTINGS)
        self.fleet.term = TERM_MS
        self.fleet.share(NAME, WHOLE)
        self.world.net.loss = 0.02
        for k in range(COUNT):
            self.fleet.start(k)
        for k in range(2 * COUNT):
            self._asks(k)
        self.world.run(SETTLED_MS)
        self.view = max(p.core.view.number for p in self.fleet.up())

    def _asks(self, k: int) -> None:
        self.fleet.want(k, NAME)
        self.world.later(self.world.rng.expovariate(8.0) * 1000, self._asks, k)

    def home(self) -> int:
        """The place of the home, by the view that most hold."""
        p = self.fleet.up()[-1]
        id_ = p.core.budgets.owner_of(budget_key(NAME), WHOLE)
        return next(k for k in range(2 * COUNT) if self._core(k) is not None and self._core(k).fleet.me == id_)

    def _core(self, k: int):
        p = self.world.at.get(self.fleet.place(k))
        return p.core if p is not None and p.up else None

    def kill_home(self) -> None:
        self.world.kill(self.fleet.place(self.home()))

    def leave(self, k: int) -> None:
        p = self.world.at[self.fleet.place(k)]
        p.core.leave(p.clock(self.world.now))
        self.world._turned(p)
        self.world.later(1_000.0, self._gone, p)

    def _gone(self, p) -> None:
        p.up = False

    def home_leaves(self) -> None:
        self.leave(self.home())

    def three_leave(self) -> None:
        for k in (COUNT - 1, COUNT - 2, COUNT - 3):
            self.leave(k)

    def one_joins(self) -> None:
        self.fleet.start(COUNT)

    def six_join(self) -> None:
        for k in range(6):
            self.world.later(120.0 * k, self.fleet.start, COUNT + k)

    def spendable(self) -> tuple[float, bool]:
        """The share of the whole that all may spend now, and whether a home lends."""
        rate, lends = 0, False
        for p in self.fleet.up():
            if not p.stopped:
                rate += self.fleet._part(p, NAME).rate
                was, p.core.fleet.now = p.core.fleet.now, p.clock(self.world.now)
                lends |= p.core.budgets.retained_share(p.core.fleet.now, NAME).rate > 0
                p.core.fleet.now = was
        return rate / WHOLE.rate, lends

    def play(self, change: str) -> tuple[float, ...]:
        start = self.world.now
        getattr(self, change)()
        first = last = lends = 0.0
        again = start
        short = 0.0
        while self.world.now < start + WATCHED_MS:
            self.world.run(self.world.now + LOOK_MS)
            held = [p.core.view.number for p in self.fleet.up() if not p.core.leaving]
            if max(held) > self.view and not first:
                first = self.world.now - start
            if min(held) < max(held):
                last = self.world.now - start
            share, has = self.spendable()
            if not has:
                lends = self.world.now - start
            if share < ENOUGH:
                short += LOOK_MS
                again = self.world.now
        return tuple(x / 1000 for x in (first, last, lends, again - start, short))


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    print(f"{COUNT} processes, term {TERM_MS / 1000:g} s, {seeds} seeds; s after the change, median (worst)")
    for change in ("kill_home", "home_leaves", "three_leave", "one_joins", "six_join"):
        found = zip(*(Scene(seed).play(change) for seed in range(seeds)), strict=True)
        words = "first view", "all hold it", "a home lends", "nine tenths", "short in all"
        told = (f"{w} {median(f):.2f} ({max(f):.2f})" for w, f in zip(words, found, strict=True))
        print(f"{change:12} {'; '.join(told)}")


if __name__ == "__main__":
    main()
