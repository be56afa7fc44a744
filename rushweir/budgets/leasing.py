"""What a process does as the owner of budgets: it answers lease requests and hands ownership state off. No I/O, no
clock.

Requests wait until the message budget has capacity for their answers, those first whose holders' leases expire first:
an answer that is counted but not sent is a share that nobody can use until it expires.
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
REQUEST_SHARE = 0.25  # of the lease: how often a holder renews it
# Of the lease: a request that waited longer was repeated since, or its sender is gone.
STALE_REQUEST_SHARE = 2 * REQUEST_SHARE
IDLE_LEASES = 4  # lease durations after which a budget without demand is forgotten; its leases have expired by then


class LeaseGranter:
    """The budgets that one process owns. ``Budgets`` adds its part as a lease holder."""

    def __init__(self, fleet: Fleet, lease_ms: float, max_budgets: int) -> None:
        """``max_budgets``: also the limit of pending requests."""
        self.fleet, self.lease_ms, self.max_budgets = fleet, lease_ms, max_budgets
        self.owned: dict[int, BudgetOwner] = {}
        # By budget and holder: since when, and the request.
        self.pending_requests: dict[tuple[int, int], tuple[float, list[int]]] = {}
        self.handoffs = Handoffs(max_budgets, lease_ms)
        self.changes: list[ShareChanged] = []
        self.counts: Counter[str] = Counter()
        self.outbox: dict[int, list[list]] = {}  # entries for other processes, by id
        self.next_expiry_at = inf  # when the next lease or retained share of this process expires
        self.sweep_at = 0.0
        self.view = View()  # as seen last; the fleet may hold another by now
        self.owner_cache: dict[tuple[int, int, int, int], int] = {}  # owners, in the view ...
        self.owner_cache_view = self.view  # ... that was held when they were computed
        self.may_grant_at = inf  # from when on this process may grant leases as a new owner
        self.stopped = False
        self.retained_shares: dict[int, Share] = {}  # as last reported in ``changes``

    def owner_of(self, key: int, total: BudgetTotal, without: int = 0) -> int:
        """Returns the process that owns a budget in the view held here, or would own it without the process
        ``without``; 0: none."""
        if self.fleet.view is not self.owner_cache_view:
            self.owner_cache_view, self.owner_cache = self.fleet.view, {}
        found = self.owner_cache.get((key, total.first_slot, total.slot_count, without))
        if found is None:
            slots = self.fleet.view.slots
            candidates = {slot for slot, entry in slots.items() if entry.state == ACTIVE and entry.id != without}
            candidates &= set(total.slots(self.fleet.settings.slot_count))
            found = slots[rendezvous(key & CRC_MASK, candidates, 1)[0]].id if candidates else 0
            if len(self.owner_cache) < 4 * self.max_budgets:
                self.owner_cache[key, total.first_slot, total.slot_count, without] = found
        return found

    def minimum_share_of(self, key: int, total: BudgetTotal, slot: int) -> Share:
        """Returns the minimum share that a slot owns of a budget."""
        slot_count = self.fleet.settings.slot_count
        position, position_count = (slot - total.first_slot) % slot_count, total.slot_count or slot_count
        if position >= position_count:
            return NO_SHARE
        rate = minimum_amount(key, position, position_count, int(total.rate * total.minimum_share))
        burst = minimum_amount(key, position, position_count, int(total.burst * total.minimum_share), UNIT)
        return Share(rate, burst) if rate and burst else NO_SHARE

    def _is_view_confirmed(self) -> bool:
        """Whether this process's view is surely in force, or was within the last lease duration."""
        return self.fleet.view.number > 0 and self.fleet.view_age() < min_under_drift(self.lease_ms)

    # --- retained shares -------------------------------------------------------------------------

    def _update_retained(self, now: float) -> None:
        """Updates the shares that this process retains as an owner, as long as it surely is one, and reports
        changes."""
        is_confirmed = self._is_view_confirmed() and not self.stopped
        for key in sorted(self.retained_shares.keys() | self.owned.keys()):
            owner = self.owned.get(key)
            is_owner = is_confirmed and owner is not None and now >= owner.may_grant_at
            is_owner = is_owner and self.owner_of(key, owner.total) == self.fleet.me
            retained = owner.retained_share(now) if is_owner else NO_SHARE
            if retained != self.retained_shares.get(key, NO_SHARE):
                # The refill is counted by this process's clock, which may run fast: reduced by the clock drift.
                drift_reduced = Share(int(retained.rate * (1 - MAX_CLOCK_DRIFT)), retained.burst)
                self.changes.append(ShareChanged("", drift_reduced, 0, inf, NO_SHARE, key & CRC_MASK))
                self.retained_shares[key] = retained
            if retained == NO_SHARE:
                self.retained_shares.pop(key, None)
            else:
                self.next_expiry_at = min(self.next_expiry_at, owner.retained_until)
        if self.retained_shares:
            self.next_expiry_at = min(
                self.next_expiry_at, self.fleet.view_confirmed_at + min_under_drift(self.lease_ms)
            )

    def retained_share(self, now: float, name: str) -> Share:
        """Returns what this process may use now of a budget as its owner."""
        key = budget_key(name)
        return self.retained_shares[key] if key in self.retained_shares and self._is_view_confirmed() else NO_SHARE

    # --- lease requests --------------------------------------------------------------------------

    def _enqueue_request(self, holder: int, row: list[int]) -> None:
        """A request came. Of one holder and budget only the last one counts."""
        _, key, serial, used_serial, demand, overflow, _, rate, burst, minimum, first_slot, slot_count = row
        total = BudgetTotal(rate, burst, minimum / 100, first_slot, slot_count)
        if self.stopped or self.owner_of(key, total) != self.fleet.me:
            self.counts["not_home"] += 1
            return
        # What it gave back is free for others at once, even if its answer waits.
        self._owned_budget(key, total).record_request(
            self.fleet.now, holder, serial, used_serial, demand, self._leasable(key, total), overflow
        )
        pending = self.pending_requests.get((key, holder))
        if pending is None and len(self.pending_requests) >= self.max_budgets:
            self.counts["not_heard"] += 1
        elif pending is None or pending[1][2] < serial:
            self.pending_requests[key, holder] = self.fleet.now, row

    def _answer_pending(self, now: float) -> None:
        """Answers the requests for which there is message capacity."""

        def lease_expiry(key: tuple[int, int]) -> float:
            owner = self.owned.get(key[0])
            return owner.lease_expiry(now, key[1]) if owner is not None else now

        for key in sorted(self.pending_requests, key=lambda key: (lease_expiry(key), key)):
            since, row = self.pending_requests[key]
            holder = key[1]
            if holder not in self.outbox and not (self.fleet.app_budget.allows(now) and self._spare_datagrams() >= 1):
                if now - since > STALE_REQUEST_SHARE * self.lease_ms:
                    del self.pending_requests[key]
                    self.counts["not_answered"] += 1
                continue
            del self.pending_requests[key]
            self._answer_request(holder, row)

    def _spare_datagrams(self) -> float:
        """Returns how many datagrams may be sent beside those already planned."""
        return self.fleet.app_budget.tokens - len(self.outbox)

    def _answer_request(self, holder: int, row: list) -> None:
        _, key, serial, used_serial, demand, overflow, missing, rate, burst, minimum, first_slot, slot_count = row
        total = BudgetTotal(rate, burst, minimum / 100, first_slot, slot_count)
        now = self.fleet.now
        if self.stopped or self.owner_of(key, total) != self.fleet.me or not self._is_view_confirmed():
            self.counts["not_home"] += 1
            return
        owner = self._owned_budget(key, total)
        duration_ms = self._grant_ms()
        answer = owner.request(
            now, holder, serial, used_serial, demand, self._leasable(key, total), overflow, missing, duration_ms
        )
        if answer is None:
            return
        share, added_tokens = answer
        self.counts["granted"] += 1
        if holder == self.fleet.me:
            self._on_grant(serial, key, share, added_tokens, duration_ms)
        else:
            self.outbox.setdefault(holder, []).append(
                [GRANT, key, serial, share.rate, share.burst, added_tokens, duration_ms]
            )

    def _owned_budget(self, key: int, total: BudgetTotal) -> BudgetOwner:
        owner = self.owned.get(key)
        if owner is None:
            # What a predecessor leased is unknown.
            owner = self.owned[key] = BudgetOwner(
                self.fleet.now, self.lease_ms, max(self.fleet.now, self.may_grant_at)
            )
        owner.total = total
        return owner

    def _grant_ms(self) -> int:
        """Returns how long what is granted now may be used, in ms from the request.

        No lease outlasts the last moment at which this view was confirmed by more than a lease duration, since that
        is how long the next owner waits. Both clocks may run slow by the drift; one deduction from the duration
        covers both."""
        return int(min_under_drift(self.lease_ms) - self.fleet.view_age())

    def _on_grant(self, serial: int, key: int, share: Share, added_tokens: int, duration_ms: int) -> None:
        """This process's own request was answered."""
        raise NotImplementedError

    def _leasable(self, key: int, total: BudgetTotal) -> BudgetTotal:
        """Returns the total without the minimum shares of occupied slots; those of free slots are leased."""
        owned = NO_SHARE
        for slot in self.fleet.view.slots:
            owned += self.minimum_share_of(key, total, slot)
        return replace(total, rate=total.rate - owned.rate, burst=total.burst - owned.burst)

    def _sweep(self, now: float) -> None:
        if now < self.sweep_at:
            return
        self.sweep_at = now + self.lease_ms
        for key, owner in list(self.owned.items()):
            owner.advance(now)
            if not owner.holders and now > owner.may_grant_at + IDLE_LEASES * self.lease_ms:
                del self.owned[key]

    # --- handoff ---------------------------------------------------------------------------------

    def _check_view(self, now: float) -> None:
        if self.fleet.view is not self.view:
            self._on_view_change(now)

    def _on_view_change(self, now: float) -> None:
        """This process holds another view: hands off what it owned to the next owners, if it was the owner until
        now."""
        before, self.view = self.view, self.fleet.view
        if not follows(self.view, before) and self.owned:
            # Another may have been the owner in a view between, and may grant leases by now.
            self.owned.clear()
            self.counts["homes_lost"] += 1
        # For what this process owns from now on without receiving state: all earlier leases have expired then.
        self.may_grant_at = now + max_under_drift(self.lease_ms)
        self._update_retained(now)  # before a successor starts granting
        self.handoffs.on_view_change(before, self.view, self._handoff_target)
        for key, owner in list(self.owned.items()):
            receiver = self.owner_of(key, owner.total)
            if receiver != self.fleet.me:
                del self.owned[key]
                self._hand_off(now, key, owner, receiver)

    def _handoff_target(self, key: int, total: BudgetTotal) -> int:
        """Returns the present owner of state that was handed off; 0: none, or this process, which gave it away."""
        owner = self.owner_of(key, total, self.fleet.me if self.stopped else 0)
        return owner if owner != self.fleet.me else 0

    def _hand_off(self, now: float, key: int, owner: BudgetOwner, receiver: int) -> None:
        """Hands ownership state to the next owner, if there is one; of an owner that still waited, with the rest of
        its wait."""
        wait_ms = int(max(0.0, owner.may_grant_at - now)) + 1 if owner.may_grant_at > now else 0
        if receiver and owner.may_grant_at < inf and self.handoffs.start(
            key, owner.total, receiver, self.fleet.view.number, owner.ownership_state(now), wait_ms,
            now + self.lease_ms,
        ):  # fmt: skip
            self.counts["handed_over"] += 1

    def _on_handoff_page(self, sender: int, entry: list) -> None:
        """A page of a predecessor's state. The state is in force from now on, and leases may be granted at once,
        or after the wait that the predecessor still had to go through."""
        _, key, view, page, page_count, wait_ms, rows = entry
        now, owner, held_view = self.fleet.now, self.owned.get(key), self.fleet.view.number
        if self.stopped or view > held_view or not isinstance(rows, list):
            return  # of a view that is not held yet; it is repeated
        if view < held_view and not self.handoffs.has_received(key, view):
            self.outbox.setdefault(sender, []).append([HANDOFF_REFUSED, key, view])
            return
        if view == held_view and (owner is None or owner.may_grant_at > now):
            all_rows = self.handoffs.on_page(now, sender, key, view, page, page_count, rows)
            if all_rows is not None:
                owner = owner or BudgetOwner(now, self.lease_ms, inf)
                owner.restore(now, all_rows, wait_ms)
                self.owned[key] = owner
                self.counts["taken_over"] += 1
        self.outbox.setdefault(sender, []).append([HANDOFF_ACK, key, view, page])

    def _on_handoff_refused(self, sender: int, key: int, view: int) -> None:
        handoff = self.handoffs.outgoing.get(key)
        if handoff is not None:
            self.handoffs.on_refused(
                sender, key, view, self._handoff_target(key, handoff.total), self.fleet.view.number
            )

    def _send_handoffs(self, now: float) -> None:
        """Sends due pages before anything else that waits: an owner without its state keeps all holders waiting."""
        pages = self.handoffs.due_pages(now)
        while self.fleet.app_budget.allows(now) and (due := next(pages, None)) is not None:
            self.fleet.send_app(TOPIC, due[0], [[[HANDOFF_PAGE, *due[1]]]])
