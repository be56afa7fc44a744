"""The budgets of one process: what it may use, whom it asks, and which budgets it owns. No I/O, no clock.

Each budget has an owner: of the processes whose slots use it, the one chosen by rendezvous hashing in the view that
is in force. With its slot a process owns a minimum share of each budget; for the rest it requests a lease from the
owner, again and again while there is demand, and uses what the last answer granted until the lease has expired by its
own clock, counted from its request.

An owner grants leases only while its view is surely in force (younger than the lease duration), and all of them
expire within a lease duration after the last moment at which that was sure. So a new owner grants nothing for a lease
duration (with the drift) after it holds its view, unless its predecessor hands the ownership state off (handoff.py).
A slot that is new to its process brings its minimum share only after that time, too, since owners lease the minimum
shares of free slots."""

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
REQUEST_FIELDS = 12  # numbers in a lease request
DEMAND_MS = 1_000.0  # time constant of the demand estimate
EMPTY_BUCKET_REQUEST_MS = 300.0  # until a holder whose bucket is empty requests again
MAX_PENDING_REQUESTS = 8  # of one budget whose answers are awaited


class Budgets(LeaseGranter):
    """All budgets of one process. Take the changes from ``changes`` after each call, in order."""

    def __init__(self, fleet: Fleet, lease_ms: float, max_budgets: int = 4096) -> None:
        """``max_budgets``: budgets known at once; a further one gets its minimum share only."""
        super().__init__(fleet, lease_ms, max_budgets)
        self.held_leases: dict[int, HeldLease] = {}
        self.minimum_share_from = inf  # from when on this process owns the minimum shares of its slot ...
        self.reported_minimum_share = False  # ... and whether that was reported
        self.last_slot = -1
        # Returns for a budget's bucket, in thousandths, what overflowed since it began, and its free capacity now.
        # Set by the user of the budgets.
        self.bucket_state: Callable[[str], tuple[int, int]] = lambda name: (0, 0)
        fleet.app_handlers[TOPIC] = self._on_message

    # --- users -----------------------------------------------------------------------------------

    def record_demand(self, now: float, name: str, total: BudgetTotal, amount: int) -> None:
        """Records demand for an amount of a budget. Reports the share if the budget was not known here."""
        key = budget_key(name)
        held = self.held_leases.get(key)
        if self.stopped:
            return
        if held is None:
            if len(self.held_leases) >= self.max_budgets:
                self.counts["too_many"] += 1
                self.changes.append(ShareChanged(name, self.minimum_share(key, total)))
                return
            held = self.held_leases[key] = HeldLease(name, total, DecayingRate(DEMAND_MS, now), now)
            self._report_share(key, held, 0)
        if held.total != total:
            former, held.total = held.total, total
            if not former.is_within(total):
                self._return_lease(now, key, held)
            self._report_share(key, held, 0)
        held.demand.add(amount, now)
        held.used_at = now
        if (
            held.next_request_at > now + EMPTY_BUCKET_REQUEST_MS
            and self.bucket_state(name)[1] > held.reported_share.burst - amount
        ):
            # Too few tokens are left: those of the reserve are needed now.
            held.next_request_at = now + EMPTY_BUCKET_REQUEST_MS

    def _return_lease(self, now: float, key: int, held: HeldLease) -> None:
        """The total shrank: returns what was leased of the larger one before anything is requested of the smaller,
        and ignores answers to earlier requests."""
        held.serial += 1
        held.share, held.applied_serial, held.requested_at, held.next_request_at = NO_SHARE, held.serial, {}, now
        if self.owner_of(key, held.total) == self.fleet.me and key in self.owned:
            # What the owner retains shrinks at the same moment.
            self._owned_budget(key, held.total).record_request(
                now, self.fleet.me, held.serial, held.serial, 0, self._leasable(key, held.total),
                self.bucket_state(held.name)[0],
            )  # fmt: skip
            self._update_retained(now)

    def share(self, now: float, name: str) -> Share:
        """Returns what may be used now: the lease if it has not expired, and the minimum share."""
        held = self.held_leases.get(budget_key(name))
        if held is None:
            return NO_SHARE
        return self.minimum_share(budget_key(name), held.total) + (held.share if now < held.expires_at else NO_SHARE)

    def minimum_share(self, key: int, total: BudgetTotal) -> Share:
        """Returns what this process owns with its slot."""
        slot = self.fleet.slot() if self.fleet.now >= self.minimum_share_from else -1
        return self.minimum_share_of(key, total, slot) if slot >= 0 else NO_SHARE

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Starts the periodic work."""
        self.fleet.call_after(TICK_MS, self._tick, None)

    def expire_leases(self, now: float) -> None:
        """Called first in each turn: leases that have expired end now, however late the turn comes."""
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = inf
        self.fleet.view_age()
        for key, held in self.held_leases.items():
            if held.share != NO_SHARE and now >= held.expires_at:
                held.share = NO_SHARE
                self.counts["ended"] += 1
                self._report_share(key, held, 0)
            elif held.share != NO_SHARE:
                self.next_expiry_at = min(self.next_expiry_at, held.expires_at)
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
        for key, held in list(self.held_leases.items()):
            if now - held.used_at > IDLE_LEASES * self.lease_ms:
                del self.held_leases[key]
                self.changes.append(ShareChanged(held.name, NO_SHARE))
            elif now >= held.next_request_at and not self.fleet.leaving:
                self._request_lease(now, key, held)
        self._sweep(now)
        self._answer_pending(now)
        self._send()
        self.fleet.call_after(TICK_MS, self._tick, None)

    def _on_slot_change(self, now: float) -> None:
        """This process has another slot, or none."""
        self.last_slot = self.fleet.slot()
        self.minimum_share_from, self.reported_minimum_share = (
            now + max_under_drift(self.lease_ms) if self.last_slot >= 0 else inf,
            False,
        )
        self._report_all_shares()

    def _report_all_shares(self) -> None:
        for key, held in self.held_leases.items():
            self._report_share(key, held, 0)

    def _report_share(self, key: int, held: HeldLease, added_tokens: int) -> None:
        """Reports a share to the user if it changed or tokens come with it."""
        now = self.fleet.now
        minimum = self.minimum_share(key, held.total)
        share = minimum + (held.share if now < held.expires_at else NO_SHARE)
        if share != held.reported_share or added_tokens:
            held.reported_share = share
            # The refill is counted by this process's clock, which may run fast: reduced by the clock drift.
            drift_reduced = Share(int(share.rate * (1 - MAX_CLOCK_DRIFT)), share.burst)
            self.changes.append(
                ShareChanged(held.name, drift_reduced, added_tokens, max(0.0, held.expires_at - now), minimum)
            )

    def stop(self, now: float) -> None:
        """Ends all use and all grants: the slot goes back, or to a successor."""
        self.stopped = True  # a request in flight would find empty ownership state and lease all again
        for key, held in self.held_leases.items():
            owner = self.owner_of(key, held.total)
            if held.share != NO_SHARE and owner not in (0, self.fleet.me):
                held.serial += 1  # nothing is used any more: its lease is free at once
                self.outbox.setdefault(owner, []).append(self._request_row(key, held, held.serial, 0))
            held.share = NO_SHARE
            self.changes.append(ShareChanged(held.name, NO_SHARE))
        self.held_leases.clear()
        self._update_retained(now)
        self.pending_requests.clear()
        for key, owner in self.owned.items():
            self._hand_off(now, key, owner, self.owner_of(key, owner.total, self.fleet.me))
        self.owned.clear()
        self._send_handoffs(now)
        self._send()

    # --- as a lease holder -----------------------------------------------------------------------

    def _request_lease(self, now: float, key: int, held: HeldLease) -> None:
        owner = self.owner_of(key, held.total)
        demand = int(held.demand.per_s(now))
        if not owner or (not demand and held.share == NO_SHARE):
            return
        held.next_request_at = now + self.lease_ms * REQUEST_SHARE
        held.serial += 1
        held.requested_at[held.serial] = now
        if len(held.requested_at) > MAX_PENDING_REQUESTS:
            del held.requested_at[next(iter(held.requested_at))]
        row = self._request_row(key, held, held.applied_serial, demand)
        if owner == self.fleet.me:
            self._answer_request(self.fleet.me, row)
        else:
            self.outbox.setdefault(owner, []).append(row)

    def _request_row(self, key: int, held: HeldLease, used_serial: int, demand: int) -> list[int]:
        total, minimum = held.total, int(held.total.minimum_share * 100)
        bucket = self.bucket_state(held.name)
        return [
            REQUEST, key, held.serial, used_serial, demand, *bucket, total.rate, total.burst, minimum,
            total.first_slot, total.slot_count,
        ]  # fmt: skip

    def _on_grant(self, serial: int, key: int, share: Share, added_tokens: int, duration_ms: int) -> None:
        held = self.held_leases.get(key)
        requested_at = held.requested_at.get(serial) if held is not None else None
        if requested_at is None or serial <= held.applied_serial:
            return
        now, previous = self.fleet.now, held.share if self.fleet.now < held.expires_at else NO_SHARE
        expires_at = requested_at + min(float(duration_ms), min_under_drift(self.lease_ms))
        if expires_at <= now:
            return
        held.share, held.expires_at, held.applied_serial = share, expires_at, serial
        held.requested_at = {s: sent_at for s, sent_at in held.requested_at.items() if s > serial}
        self.next_expiry_at = min(self.next_expiry_at, expires_at)
        self._report_share(key, held, added_tokens)
        if share.rate < previous.rate or share.burst < previous.burst:
            held.next_request_at = now  # so that the owner soon knows that the difference is free

    # --- messages --------------------------------------------------------------------------------

    def _on_message(self, sender: int, body: list) -> None:
        now = self.fleet.now
        self.expire_leases(now)
        self._check_view(now)
        for entry in body[0]:
            kind = entry[0]
            if not all(type(x) is int and x >= 0 for x in (entry[:6] if kind == HANDOFF_PAGE else entry)):
                raise TypeError("not a natural number")
            if kind == REQUEST:
                if len(entry) != REQUEST_FIELDS:
                    raise ValueError("malformed lease request")
                self._enqueue_request(sender, entry)
            elif kind == GRANT:
                _, key, serial, rate, burst, added_tokens, duration_ms = entry
                # Accepted also from a former owner: what it leased counts until it expires.
                self._on_grant(serial, key, Share(rate, burst), added_tokens, duration_ms)
            elif kind == HANDOFF_PAGE:
                self._on_handoff_page(sender, entry)
            elif kind == HANDOFF_ACK:
                self.handoffs.on_ack(sender, *entry[1:])
            elif kind == HANDOFF_REFUSED:
                self._on_handoff_refused(sender, *entry[1:])

    def _send(self) -> None:
        for to, entries in self.outbox.items():
            for page in paginate(entries, ENTRIES_BYTES):
                self.fleet.send_app(TOPIC, to, [page])
        self.outbox.clear()
