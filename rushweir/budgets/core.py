"""The budgets of one process: what it may spend, whom it asks, and whose home it is. No I/O, no clock.

Each budget has a home: the process with one of the numbers that use it, by rendezvous, in the view that is in force.
A process owns a floor of each budget with its number; the rest it asks the home for, again and again while there is
demand, and spends what the last answer gave it until that is over by its own clock, counted from its question.

A home lends only while it is surely in the view in force (younger than ``term``), and whatever it lends is over a
term after the last moment at which it was sure. So a new home lends nothing for a term (with the drift) after it
holds its view, unless the predecessor hands it the ledger (handover.py). A number that is new to its process brings
its floor only after that time, too: homes lend the floors of numbers that nobody has.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from rushweir.budgets.leasing import (
    GRANT,
    HANDOFF_ACK,
    HANDOFF_PAGE,
    HANDOFF_REFUSED,
    IDLE_LEASES,
    REQUEST,
    REQUEST_SHARE,
    TOPIC,
    LeaseGranter,
)
from rushweir.budgets.records import NO_SHARE, BudgetTotal, HeldLease, Share, ShareChanged, budget_key
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import MAX_CLOCK_DRIFT, max_under_drift, min_under_drift
from rushweir.fleet.table import paginate
from rushweir.state import DecayingRate

TICK_MS, ENTRIES_BYTES = 50.0, 190
REQUEST_FIELDS = 12  # numbers of a question
DEMAND_MS = 1_000.0  # memory of demand
EMPTY_BUCKET_REQUEST_MS = 300.0  # until a holder whose bucket is empty asks again
MAX_PENDING_REQUESTS = 8  # questions whose answers are waited for


class Budgets(LeaseGranter):
    """All budgets of one process. Take what changed from ``changes`` after each call, in order."""

    def __init__(self, fleet: Fleet, term_ms: float, most: int = 4096) -> None:
        """``most``: budgets known at once; beyond it a new one gets its floor only."""
        super().__init__(fleet, term_ms, most)
        self.held_leases: dict[int, HeldLease] = {}
        self.minimum_share_from = inf  # from when on the floors of this process's number are its own ...
        self.reported_minimum_share = False  # ... and whether its users were told
        self.last_slot = -1
        # Of the bucket of a budget, in thousandths, what it had no room for since it began, and what it has room for
        # now: its user knows.
        self.bucket_state: Callable[[str], tuple[int, int]] = lambda name: (0, 0)
        fleet.app_handlers[TOPIC] = self._on_message

    # --- users -----------------------------------------------------------------------------------

    def record_demand(self, now: float, name: str, whole: BudgetTotal, amount: int) -> None:
        """Somebody wants so much of a budget. Tells its part, if it was not known here."""
        key = budget_key(name)
        h = self.held_leases.get(key)
        if self.stopped:
            return
        if h is None:
            if len(self.held_leases) >= self.max_budgets:
                self.counts["too_many"] += 1
                self.changes.append(ShareChanged(name, self.minimum_share(key, whole)))
                return
            h = self.held_leases[key] = HeldLease(name, whole, DecayingRate(DEMAND_MS, now), now)
            self._report_share(key, h, 0)
        if h.total != whole:
            old, h.total = h.total, whole
            if not old.is_within(whole):
                self._return_lease(now, key, h)
            self._report_share(key, h, 0)
        h.demand.add(amount, now)
        h.used_at = now
        if (
            h.next_request_at > now + EMPTY_BUCKET_REQUEST_MS
            and self.bucket_state(name)[1] > h.reported_share.burst - amount
        ):
            h.next_request_at = (
                now + EMPTY_BUCKET_REQUEST_MS
            )  # too little is left for this: what the reserve has is needed now

    def _return_lease(self, now: float, key: int, h: HeldLease) -> None:
        """The whole shrank: what was lent of the larger one is given back before anything is asked of the smaller,
        and answers to what was asked of the larger one come too late."""
        h.serial += 1
        h.share, h.applied_serial, h.requested_at, h.next_request_at = NO_SHARE, h.serial, {}, now
        if self.owner_of(key, h.total) == self.fleet.me and key in self.owned:
            # What stays with the home shrinks in the same moment.
            self._owned_budget(key, h.total).record_request(
                now, self.fleet.me, h.serial, h.serial, 0, self._leasable(key, h.total), self.bucket_state(h.name)[0]
            )  # fmt: skip
            self._update_retained(now)

    def share(self, now: float, name: str) -> Share:
        """What may be spent now: the lease if it is not over, and the floor."""
        h = self.held_leases.get(budget_key(name))
        if h is None:
            return NO_SHARE
        return self.minimum_share(budget_key(name), h.total) + (h.share if now < h.expires_at else NO_SHARE)

    def minimum_share(self, key: int, whole: BudgetTotal) -> Share:
        """What this process owns with its number."""
        n = self.fleet.slot() if self.fleet.now >= self.minimum_share_from else -1
        return self.minimum_share_of(key, whole, n) if n >= 0 else NO_SHARE

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self.fleet.call_after(TICK_MS, self._tick, None)

    def expire_leases(self, now: float) -> None:
        """Before anything is decided in a turn: rights that are over are over now, however late this turn comes."""
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = inf
        self.fleet.view_age()
        for key, h in self.held_leases.items():
            if h.share != NO_SHARE and now >= h.expires_at:
                h.share = NO_SHARE
                self.counts["ended"] += 1
                self._report_share(key, h, 0)
            elif h.share != NO_SHARE:
                self.next_expiry_at = min(self.next_expiry_at, h.expires_at)
        if self.last_slot >= 0 and self.fleet.slot() < 0:
            self._on_slot_change(now)
        self._update_retained(now)

    def _tick(self, _: object) -> None:
        now = self.fleet.now
        self.expire_leases(now)
        self._check_view(now)
        self._update_retained(now)
        if self.fleet.slot() != self.last_slot:
            self._on_slot_change(now)
        if self.last_slot >= 0:
            self.next_expiry_at = min(
                self.next_expiry_at, self.fleet.slot_confirmed_at + min_under_drift(self.fleet.settings.keep_ms)
            )
            if now >= self.minimum_share_from and not self.reported_minimum_share:
                self.reported_minimum_share = True
                self._report_all_shares()
        self._send_handoffs(now)
        for key, h in list(self.held_leases.items()):
            if now - h.used_at > IDLE_LEASES * self.lease_ms:
                del self.held_leases[key]
                self.changes.append(ShareChanged(h.name, NO_SHARE))
            elif now >= h.next_request_at and not self.fleet.leaving:
                self._request_lease(now, key, h)
        self._sweep(now)
        self._answer_pending(now)
        self._send()
        self.fleet.call_after(TICK_MS, self._tick, None)

    def _on_slot_change(self, now: float) -> None:
        """This process has another number, or none."""
        self.last_slot = self.fleet.slot()
        self.minimum_share_from, self.reported_minimum_share = (
            now + max_under_drift(self.lease_ms) if self.last_slot >= 0 else inf,
            False,
        )
        self._report_all_shares()

    def _report_all_shares(self) -> None:
        for key, h in self.held_leases.items():
            self._report_share(key, h, 0)

    def _report_share(self, key: int, h: HeldLease, add: int) -> None:
        """Tell the user its part, if it is another or tokens come along."""
        now = self.fleet.now
        owned = self.minimum_share(key, h.total)
        part = owned + (h.share if now < h.expires_at else NO_SHARE)
        if part != h.reported_share or add:
            h.reported_share = part
            # The fill is counted by this process's clock, which may run fast.
            slowed = Share(int(part.rate * (1 - MAX_CLOCK_DRIFT)), part.burst)
            self.changes.append(ShareChanged(h.name, slowed, add, max(0.0, h.expires_at - now), owned))

    def stop(self, now: float) -> None:
        """Nothing is spent any more, and nothing lent: the number goes back, or to a successor."""
        self.stopped = True  # a question on its way would find a ledger that knows nothing, and lend all anew
        for key, h in self.held_leases.items():
            home = self.owner_of(key, h.total)
            if h.share != NO_SHARE and home not in (0, self.fleet.me):
                h.serial += 1  # acting on nothing: what it holds is free at once
                self.outbox.setdefault(home, []).append(self._request_row(key, h, h.serial, 0))
            h.share = NO_SHARE
            self.changes.append(ShareChanged(h.name, NO_SHARE))
        self.held_leases.clear()
        self._update_retained(now)
        self.pending_requests.clear()
        for key, home in self.owned.items():
            self._hand_off(now, key, home, self.owner_of(key, home.scope, self.fleet.me))
        self.owned.clear()
        self._send_handoffs(now)
        self._send()

    # --- as a holder -----------------------------------------------------------------------------

    def _request_lease(self, now: float, key: int, h: HeldLease) -> None:
        home = self.owner_of(key, h.total)
        demand = int(h.demand.per_s(now))
        if not home or (not demand and h.share == NO_SHARE):
            return
        h.next_request_at = now + self.lease_ms * REQUEST_SHARE
        h.serial += 1
        h.requested_at[h.serial] = now
        if len(h.requested_at) > MAX_PENDING_REQUESTS:
            del h.requested_at[next(iter(h.requested_at))]
        row = self._request_row(key, h, h.applied_serial, demand)
        if home == self.fleet.me:
            self._answer_request(self.fleet.me, row)
        else:
            self.outbox.setdefault(home, []).append(row)

    def _request_row(self, key: int, h: HeldLease, holding: int, demand: int) -> list[int]:
        w, floor = h.total, int(h.total.minimum_share * 100)
        bucket = self.bucket_state(h.name)
        return [REQUEST, key, h.serial, holding, demand, *bucket, w.rate, w.burst, floor, w.first_slot, w.slot_count]

    def _on_grant(self, serial: int, key: int, part: Share, add: int, lasts: int) -> None:
        h = self.held_leases.get(key)
        asked = h.requested_at.get(serial) if h is not None else None
        if asked is None or serial <= h.applied_serial:
            return
        now, before = self.fleet.now, h.share if self.fleet.now < h.expires_at else NO_SHARE
        until = asked + min(float(lasts), min_under_drift(self.lease_ms))
        if until <= now:
            return
        h.share, h.expires_at, h.applied_serial = part, until, serial
        h.requested_at = {s: at for s, at in h.requested_at.items() if s > serial}
        self.next_expiry_at = min(self.next_expiry_at, until)
        self._report_share(key, h, add)
        if part.rate < before.rate or part.burst < before.burst:
            h.next_request_at = now  # so that the home knows soon that the difference is free

    # --- messages --------------------------------------------------------------------------------

    def _on_message(self, who: int, body: list) -> None:
        now = self.fleet.now
        self.expire_leases(now)
        self._check_view(now)
        for entry in body[0]:
            kind = entry[0]
            if not all(type(x) is int and x >= 0 for x in (entry[:6] if kind == HANDOFF_PAGE else entry)):
                raise TypeError("whole numbers")
            if kind == REQUEST:
                if len(entry) != REQUEST_FIELDS:
                    raise ValueError("a question")
                self._enqueue_request(who, entry)
            elif kind == GRANT:
                _, key, serial, rate, burst, add, lasts = entry
                # Whoever was asked may answer, also when it is the home no more: what it lent counts to its end.
                self._on_grant(serial, key, Share(rate, burst), add, lasts)
            elif kind == HANDOFF_PAGE:
                self._on_handoff_page(who, entry)
            elif kind == HANDOFF_ACK:
                self.handoffs.on_ack(who, *entry[1:])
            elif kind == HANDOFF_REFUSED:
                self._on_handoff_refused(who, *entry[1:])

    def _send(self) -> None:
        for to, entries in self.outbox.items():
            for portion in paginate(entries, ENTRIES_BYTES):
                self.fleet.send_app(TOPIC, to, [portion])
        self.outbox.clear()
