"""Faults planted in budgets, each of which the days must find. Nothing of this is reachable from the program.

``late``: a lease counts from the answer, not from the question. ``hasty``: a new home lends at once. ``kept``: a
floor is spent on whatever number the process had last. ``early``: a floor is its number's at once. ``freed``: what
a holder had counts as free as soon as it is answered. ``drowsy``: a right that is over is looked at by a timer, not
in the turn that spends. ``long``: a grant is for a whole term, however old the word of the view is that it rests on.
``faithful``: a home keeps its ledger over a view that it never held. ``slack``: what was lent of a whole stays
when the whole shrinks.
"""

from __future__ import annotations

from math import inf

from rushweir.budgets.core import Budgets
from rushweir.budgets.home import Home
from rushweir.budgets.records import NOTHING, Held, Part, Whole
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import shortest
from rushweir.fleet.views import SEED_BITS, View

KINDS = ("late", "hasty", "kept", "early", "freed", "drowsy", "long", "faithful", "slack")


class Freed(Home):
    def ask(
        self, now: float, who: int, serial: int, holding: int, demand: int, whole: Whole, spilled: int = 0,
        lacks: int = 0, lasts: float = inf,
    ) -> tuple[Part, int] | None:  # fmt: skip
        return super().ask(now, who, serial, serial, demand, whole, spilled, lacks, lasts)

    def settle(self, now: float) -> None:
        super().settle(now)
        for h in self.holders.values():
            h.grants = h.grants[-1:]


class Planted(Budgets):
    def __init__(self, kind: str, fleet: Fleet, term_ms: float) -> None:
        super().__init__(fleet, term_ms)
        self.kind, self.last = kind, -1

    def _granted(self, serial: int, key: int, part: Part, add: int, lasts: int) -> None:
        h = self.held.get(key)
        if self.kind == "late" and h is not None and serial in h.asked:
            h.asked[serial] = self.fleet.now
        super()._granted(serial, key, part, add, lasts)

    def _view(self, now: float) -> None:
        if self.kind == "faithful":
            self.view = View(self.fleet.view.number - (1 << SEED_BITS), self.view.seats)
        super()._view(now)
        if self.kind == "hasty":
            self.opens_at = now

    def _number(self, now: float) -> None:
        super()._number(now)
        if self.kind == "early" and self.numbered >= 0:
            self.owned_at = now

    def floor(self, key: int, whole: Whole) -> Part:
        n = self.fleet.seat()
        self.last = n if n >= 0 else self.last
        if self.kind == "kept" and self.last >= 0:
            return self.floor_of(key, whole, self.last)
        return super().floor(key, whole)

    def _home(self, key: int, whole: Whole) -> Home:
        if self.kind == "freed" and self.homes.get(key) is None:
            self.homes[key] = Freed(self.fleet.now, self.term, max(self.fleet.now, self.opens_at))
        return super()._home(key, whole)

    def _give_up(self, now: float, key: int, h: Held) -> None:
        if self.kind != "slack":
            super()._give_up(now, key, h)

    def _lasts(self) -> int:
        return int(shortest(self.term)) if self.kind == "long" else super()._lasts()

    def turn(self, now: float) -> None:
        if self.kind != "drowsy":
            super().turn(now)

    def _tick(self, _: object) -> None:
        if self.kind == "drowsy":
            Budgets.turn(self, self.fleet.now)
        super()._tick(_)

    def part(self, now: float, name: str) -> Part:
        if self.kind != "drowsy":
            return super().part(now, name)
        # What it would spend: what its user was told last.
        return next((h.told for h in self.held.values() if h.name == name), NOTHING)
