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

from rushweir.budgets.budget_owner import BudgetOwner
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, BudgetTotal, HeldLease, Share
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import min_under_drift
from rushweir.fleet.views import SEED_BITS, View

KINDS = ("late", "hasty", "kept", "early", "freed", "drowsy", "long", "faithful", "slack")


class Freed(BudgetOwner):
    def request(
        self, now: float, who: int, serial: int, used_serial: int, demand: int, whole: BudgetTotal, spilled: int = 0,
        lacks: int = 0, lasts: float = inf,
    ) -> tuple[Share, int] | None:  # fmt: skip
        return super().request(now, who, serial, serial, demand, whole, spilled, lacks, lasts)

    def advance(self, now: float) -> None:
        super().advance(now)
        for h in self.holders.values():
            h.grants = h.grants[-1:]


class Planted(Budgets):
    def __init__(self, kind: str, fleet: Fleet, term_ms: float) -> None:
        super().__init__(fleet, term_ms)
        self.kind, self.last = kind, -1

    def _on_grant(self, serial: int, key: int, part: Share, add: int, lasts: int) -> None:
        h = self.held_leases.get(key)
        if self.kind == "late" and h is not None and serial in h.requested_at:
            h.requested_at[serial] = self.fleet.now
        super()._on_grant(serial, key, part, add, lasts)

    def _on_view_change(self, now: float) -> None:
        if self.kind == "faithful":
            self.view = View(self.fleet.view.number - (1 << SEED_BITS), self.view.slots)
        super()._on_view_change(now)
        if self.kind == "hasty":
            self.may_grant_at = now

    def _on_slot_change(self, now: float) -> None:
        super()._on_slot_change(now)
        if self.kind == "early" and self.last_slot >= 0:
            self.minimum_share_from = now

    def minimum_share(self, key: int, whole: BudgetTotal) -> Share:
        n = self.fleet.slot()
        self.last = n if n >= 0 else self.last
        if self.kind == "kept" and self.last >= 0:
            return self.minimum_share_of(key, whole, self.last)
        return super().minimum_share(key, whole)

    def _owned_budget(self, key: int, whole: BudgetTotal) -> BudgetOwner:
        if self.kind == "freed" and self.owned.get(key) is None:
            self.owned[key] = Freed(self.fleet.now, self.lease_ms, max(self.fleet.now, self.may_grant_at))
        return super()._owned_budget(key, whole)

    def _return_lease(self, now: float, key: int, h: HeldLease) -> None:
        if self.kind != "slack":
            super()._return_lease(now, key, h)

    def _grant_ms(self) -> int:
        return int(min_under_drift(self.lease_ms)) if self.kind == "long" else super()._grant_ms()

    def expire_leases(self, now: float) -> None:
        if self.kind != "drowsy":
            super().expire_leases(now)

    def _tick(self, _: object) -> None:
        if self.kind == "drowsy":
            Budgets.expire_leases(self, self.fleet.now)
        super()._tick(_)

    def share(self, now: float, name: str) -> Share:
        if self.kind != "drowsy":
            return super().share(now, name)
        # What it would spend: what its user was told last.
        return next((h.reported_share for h in self.held_leases.values() if h.name == name), NO_SHARE)
