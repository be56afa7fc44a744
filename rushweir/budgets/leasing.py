"""What a process does as the home of budgets: it answers holders, and hands ledgers over. No I/O, no clock.

Questions wait until the messages' budget has room for their answers, those first whose askers' rights end first: an
answer that is counted and not sent is a part that nobody may spend until it is over.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import inf

from rushweir.budgets.allocation import minimum_amount
from rushweir.budgets.budget_owner import BudgetOwner
from rushweir.budgets.handoff import Handoffs, follows
from rushweir.budgets.records import NO_SHARE, UNIT, BudgetTotal, Share, ShareChanged, budget_key
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import MAX_CLOCK_DRIFT, max_under_drift, min_under_drift
from rushweir.fleet.views import ACTIVE, View
from rushweir.state import rendezvous

TOPIC, CRC_MASK = 1, 0xFFFFFFFF
REQUEST, GRANT, HANDOFF_PAGE, HANDOFF_ACK, HANDOFF_REFUSED = range(5)
REQUEST_SHARE = 0.25  # of the term: how often a holder asks again
STALE_REQUEST_SHARE = (
    2 * REQUEST_SHARE
)  # of the term: a question that waited for so long was asked anew, or its asker is gone
IDLE_LEASES = 4  # without demand a budget is forgotten here; what it lent is over by then


class LeaseGranter:
    """The homes of one process. What it needs of holders is in ``Budgets``."""

    def __init__(self, fleet: Fleet, term_ms: float, most: int) -> None:
        """``most``: budgets, and questions that wait."""
        self.fleet, self.lease_ms, self.max_budgets = fleet, term_ms, most
        self.owned: dict[int, BudgetOwner] = {}
        self.pending_requests: dict[
            tuple[int, int], tuple[float, list[int]]
        ] = {}  # by budget and asker: since when, and what
        self.handoffs = Handoffs(most, term_ms)
        self.changes: list[ShareChanged] = []
        self.counts: Counter[str] = Counter()
        self.outbox: dict[int, list[list]] = {}  # entries for others, by process
        self.next_expiry_at = inf  # when the next right of this process is over
        self.sweep_at = 0.0
        self.view = View()  # as it was looked at last: the fleet may hold another by now
        self.owner_cache: dict[tuple[int, int, int, int], int] = {}  # homes, in the view ...
        self.owner_cache_view = self.view  # ... that was held when they were looked for
        self.grants_from = inf  # from when on this process may lend as a new home
        self.stopped = False
        self.retained_shares: dict[int, Share] = {}  # what this process has as a home, as its user was told

    def owner_of(self, key: int, whole: BudgetTotal, without: int = 0) -> int:
        """The process that is the home of a budget in the view held here, or would be without one; 0: none."""
        if self.fleet.view is not self.owner_cache_view:
            self.owner_cache_view, self.owner_cache = self.fleet.view, {}
        found = self.owner_cache.get((key, whole.first_slot, whole.slot_count, without))
        if found is None:
            seats = self.fleet.view.slots
            here = {n for n, s in seats.items() if s.state == ACTIVE and s.id != without}
            here &= set(whole.slots(self.fleet.settings.slot_count))
            found = seats[rendezvous(key & CRC_MASK, here, 1)[0]].id if here else 0
            if len(self.owner_cache) < 4 * self.max_budgets:
                self.owner_cache[key, whole.first_slot, whole.slot_count, without] = found
        return found

    def minimum_share_of(self, key: int, whole: BudgetTotal, number: int) -> Share:
        most = self.fleet.settings.slot_count
        place, count = (number - whole.first_slot) % most, whole.slot_count or most
        if place >= count:
            return NO_SHARE
        rate = minimum_amount(key, place, count, int(whole.rate * whole.minimum_share))
        burst = minimum_amount(key, place, count, int(whole.burst * whole.minimum_share), UNIT)
        return Share(rate, burst) if rate and burst else NO_SHARE

    def _is_view_confirmed(self) -> bool:
        """Whether this process's view is surely in force, or was so a moment ago."""
        return self.fleet.view.number > 0 and self.fleet.view_age() < min_under_drift(self.lease_ms)

    # --- what stays here -------------------------------------------------------------------------

    def _update_retained(self, now: float) -> None:
        """What this process has as a home, as long as it is surely one: told to its user where it changed."""
        sure = self._is_view_confirmed() and not self.stopped
        for key in sorted(self.retained_shares.keys() | self.owned.keys()):
            home = self.owned.get(key)
            mine = sure and home is not None and now >= home.grants_from
            mine = mine and self.owner_of(key, home.total) == self.fleet.me
            has = home.retained if mine else NO_SHARE
            if has != self.retained_shares.get(key, NO_SHARE):
                slowed = Share(int(has.rate * (1 - MAX_CLOCK_DRIFT)), has.burst)
                self.changes.append(ShareChanged("", slowed, 0, inf, NO_SHARE, key & CRC_MASK))
                self.retained_shares[key] = has
            if has == NO_SHARE:
                self.retained_shares.pop(key, None)
        if self.retained_shares:
            self.next_expiry_at = min(
                self.next_expiry_at, self.fleet.view_confirmed_at + min_under_drift(self.lease_ms)
            )

    def retained_share(self, now: float, name: str) -> Share:
        """What may be spent now as a home."""
        key = budget_key(name)
        return self.retained_shares[key] if key in self.retained_shares and self._is_view_confirmed() else NO_SHARE

    # --- questions -------------------------------------------------------------------------------

    def _enqueue_request(self, who: int, row: list[int]) -> None:
        """A question came. Of one asker and budget only the last one counts."""
        _, key, serial, holding, demand, spilled, _, rate, burst, floor, first, count = row
        whole = BudgetTotal(rate, burst, floor / 100, first, count)
        if self.stopped or self.owner_of(key, whole) != self.fleet.me:
            self.counts["not_home"] += 1
            return
        # What it gave back is free for others at once, also where its answer waits.
        self._owned_budget(key, whole).record_request(
            self.fleet.now, who, serial, holding, demand, self._leasable(key, whole), spilled
        )
        had = self.pending_requests.get((key, who))
        if had is None and len(self.pending_requests) >= self.max_budgets:
            self.counts["not_heard"] += 1
        elif had is None or had[1][2] < serial:
            self.pending_requests[key, who] = self.fleet.now, row

    def _answer_pending(self, now: float) -> None:
        """Answer those questions that there is room for."""

        def ends(asked: tuple[int, int]) -> float:
            home = self.owned.get(asked[0])
            return home.lease_expiry(now, asked[1]) if home is not None else now

        for asked in sorted(self.pending_requests, key=lambda a: (ends(a), a)):
            since, row = self.pending_requests[asked]
            who = asked[1]
            if who not in self.outbox and not (self.fleet.app_budget.allows(now) and self._spare_datagrams() >= 1):
                if now - since > STALE_REQUEST_SHARE * self.lease_ms:
                    del self.pending_requests[asked]
                    self.counts["not_answered"] += 1
                continue
            del self.pending_requests[asked]
            self._answer_request(who, row)

    def _spare_datagrams(self) -> float:
        """Datagrams that may go beside those that will."""
        return self.fleet.app_budget.tokens - len(self.outbox)

    def _answer_request(self, who: int, row: list) -> None:
        _, key, serial, holding, demand, spilled, lacks, rate, burst, floor, first, count = row
        whole = BudgetTotal(rate, burst, floor / 100, first, count)
        now = self.fleet.now
        if self.stopped or self.owner_of(key, whole) != self.fleet.me or not self._is_view_confirmed():
            self.counts["not_home"] += 1
            return
        home = self._owned_budget(key, whole)
        lasts = self._grant_ms()
        told = home.request(now, who, serial, holding, demand, self._leasable(key, whole), spilled, lacks, lasts)
        if told is None:
            return
        part, add = told
        self.counts["granted"] += 1
        if who == self.fleet.me:
            self._on_grant(serial, key, part, add, lasts)
        else:
            self.outbox.setdefault(who, []).append([GRANT, key, serial, part.rate, part.burst, add, lasts])

    def _owned_budget(self, key: int, whole: BudgetTotal) -> BudgetOwner:
        home = self.owned.get(key)
        if home is None:
            # What a predecessor lent is unknown.
            home = self.owned[key] = BudgetOwner(self.fleet.now, self.lease_ms, max(self.fleet.now, self.grants_from))
        home.total = whole
        return home

    def _grant_ms(self) -> int:
        """For how long what is granted now may be acted on, in ms from the question. No right outlasts the last sure
        moment of this view by more than a term: so long the next home waits. Both clocks may run slow by the drift,
        together: what is taken off of one term is enough for it."""
        return int(min_under_drift(self.lease_ms) - self.fleet.view_age())

    def _on_grant(self, serial: int, key: int, part: Share, add: int, lasts: int) -> None:
        """This process's own question was answered."""
        raise NotImplementedError

    def _leasable(self, key: int, whole: BudgetTotal) -> BudgetTotal:
        """The whole without the floors that numbers own; those of numbers that nobody has are lent."""
        owned = NO_SHARE
        for n in self.fleet.view.slots:
            owned += self.minimum_share_of(key, whole, n)
        return replace(whole, rate=whole.rate - owned.rate, burst=whole.burst - owned.burst)

    def _sweep(self, now: float) -> None:
        if now < self.sweep_at:
            return
        self.sweep_at = now + self.lease_ms
        for key, home in list(self.owned.items()):
            home.advance(now)
            if not home.holders and now > home.grants_from + IDLE_LEASES * self.lease_ms:
                del self.owned[key]

    # --- from home to home -----------------------------------------------------------------------

    def _check_view(self, now: float) -> None:
        if self.fleet.view is not self.view:
            self._on_view_change(now)

    def _on_view_change(self, now: float) -> None:
        """Another view holds here. What this process lent as a home goes to the next, if it was one to the end."""
        before, self.view = self.view, self.fleet.view
        if not follows(self.view, before) and self.owned:
            # Another may have been in its place in a view between, and may lend by now.
            self.owned.clear()
            self.counts["homes_lost"] += 1
        # Whatever this process is the home of from now on, and no ledger comes for: all that was lent is over then.
        self.grants_from = now + max_under_drift(self.lease_ms)
        self._update_retained(now)  # before a successor begins to lend
        self.handoffs.on_view_change(before, self.view, self._handoff_target)
        for key, home in list(self.owned.items()):
            to = self.owner_of(key, home.total)
            if to != self.fleet.me:
                del self.owned[key]
                self._hand_off(now, key, home, to)

    def _handoff_target(self, key: int, scope: BudgetTotal) -> int:
        """Where a ledger given away belongs now; 0: nowhere, or here, where it was given away."""
        home = self.owner_of(key, scope, self.fleet.me if self.stopped else 0)
        return home if home != self.fleet.me else 0

    def _hand_off(self, now: float, key: int, home: BudgetOwner, to: int) -> None:
        """A ledger goes to the next home, if there is one; of a home that still waited, with the rest of its wait."""
        wait = int(max(0.0, home.grants_from - now)) + 1 if home.grants_from > now else 0
        if to and home.grants_from < inf and self.handoffs.start(
            key, home.total, to, self.fleet.view.number, home.ownership_state(now), wait, now + self.lease_ms
        ):  # fmt: skip
            self.counts["handed_over"] += 1

    def _on_handoff_page(self, who: int, entry: list) -> None:
        """A predecessor's ledger. It is counted from now on, and lending may begin at once, or after the wait that
        the predecessor still had to go through."""
        _, key, view, page, of, wait, rows = entry
        now, home, held = self.fleet.now, self.owned.get(key), self.fleet.view.number
        if self.stopped or view > held or not isinstance(rows, list):
            return  # of a view that is not here yet: it comes again
        if view < held and not self.handoffs.has_received(key, view):
            self.outbox.setdefault(who, []).append([HANDOFF_REFUSED, key, view])
            return
        if view == held and (home is None or home.grants_from > now):
            all_rows = self.handoffs.on_page(now, who, key, view, page, of, rows)
            if all_rows is not None:
                home = home or BudgetOwner(now, self.lease_ms, inf)
                home.restore(now, all_rows, wait)
                self.owned[key] = home
                self.counts["taken_over"] += 1
        self.outbox.setdefault(who, []).append([HANDOFF_ACK, key, view, page])

    def _on_handoff_refused(self, who: int, key: int, view: int) -> None:
        g = self.handoffs.outgoing.get(key)
        if g is not None:
            self.handoffs.on_refused(who, key, view, self._handoff_target(key, g.total), self.fleet.view.number)

    def _send_handoffs(self, now: float) -> None:
        """Before anything else that waits for room: a home without its ledger keeps all others waiting."""
        ledgers = self.handoffs.due_pages(now)
        while self.fleet.app_budget.allows(now) and (due := next(ledgers, None)) is not None:
            self.fleet.send_app(TOPIC, due[0], [[[HANDOFF_PAGE, *due[1]]]])
