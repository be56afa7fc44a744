"""The owner of one budget: which holder has leased how much, and what is free. No I/O, no clock.

What a holder may use counts here until it surely cannot use it any more: until it reports that it uses a later grant,
or until the grant has expired. The owner counts that time from its answer, which is later than the request from which
the holder counts, and allows for the drift of both clocks. Of two grants that a holder may be using the larger
counts. So what all holders may use never exceeds the total, however messages are lost, duplicated or delayed.

Tokens move with the shares. What nobody holds refills a reserve here, and so does what overflowed a holder's full
bucket, as its next request reports; a holder whose bucket is not full gets tokens of the reserve with each answer.
Tokens in a bucket that is taken back, or whose holder fell silent, count as used.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from math import inf, isqrt

from rushweir.budgets.allocation import allocate, is_settled, split_by_weight
from rushweir.budgets.records import NO_SHARE, UNIT, BudgetTotal, Share
from rushweir.fleet.drift import max_under_drift, min_under_drift

# For holders taken over from a predecessor, whose reported total is not handed off; never the minimum.
UNKNOWN_TOTAL = BudgetTotal(2**62, 2**62)
# Fraction of what may be leased that the owner keeps; equal to the policy's OWNER_CEILING_SHARE.
RETAINED_SHARE = 1 / 3
RESERVE_SHARE = 0.25  # of the leasable burst is left for the reserve
ADDED_SHARE = 0.5  # most of the reserve that one grant takes; others will request some
MAX_GRANTS = 8  # of one holder that may be in flight; older ones are merged


@dataclass(slots=True)
class Grant:
    """A lease that was granted to a holder."""

    serial: int
    share: Share
    expires_at: float


@dataclass(slots=True)
class LeaseHolder:
    """What the owner knows of one holder."""

    total: BudgetTotal  # what may be leased, as it reported last
    demand: int = 0
    requested_at: float = 0.0
    overflow: int = -1  # in all, as it reported last; -1: unknown, and earlier overflow is lost
    serial: int = 0  # of its last request
    grants: list[Grant] = field(default_factory=list)  # that it may be using, by serial
    answered_serial: int = 0  # of its last request that was answered, or could not be

    def covered_share(self) -> Share:
        """Returns what the holder may be using."""
        covered = NO_SHARE
        for g in self.grants:
            covered = covered.covering(g.share)
        return covered


class BudgetOwner:
    """The ownership state of one budget."""

    def __init__(self, now: float, lease_ms: float, may_grant_at: float) -> None:
        """Nothing is leased before ``may_grant_at``."""
        self.leasable, self.lease_ms, self.may_grant_at = BudgetTotal(0, 0), lease_ms, may_grant_at
        self.total = self.leasable  # as reported last, with minimum shares; its slots determine the owner
        self.holders: dict[int, LeaseHolder] = {}
        self.reserve, self.updated_at = 0.0, now
        self.retained = NO_SHARE  # not leased: the owner's own process uses it ...
        self.retained_until = now  # ... while holders request leases
        self.allocation: dict[int, int] = {}

    def request(
        self, now: float, holder_id: int, serial: int, used_serial: int, demand: int, total: BudgetTotal,
        overflow: int = 0, missing: int = 0, duration_ms: float = inf,
    ) -> tuple[Share, int] | None:  # fmt: skip
        """Handles a holder's lease request; returns its share from now on and the tokens that come with it, or None
        if nothing may be granted yet or the request is outdated.

        The holder uses the grant with the serial ``used_serial`` or a later one, and demands so much a second of
        ``total``, which is what may be leased, without the minimum shares of slots. ``overflow`` is all that its
        bucket had no capacity for since it began, ``missing`` what its bucket could take now; ``duration_ms``: how
        long it may use the answer, a lease at most."""
        if not self.record_request(now, holder_id, serial, used_serial, demand, total, overflow):
            return None
        holder = self.holders[holder_id]
        holder.answered_serial = serial
        if now < self.may_grant_at:
            return None
        leased = self._leased(holder_id)
        share = Share(
            min(self._rate_share(holder_id), max(0, self.leasable.rate - leased.rate)),
            min(self._burst_share(holder_id), max(0, self.leasable.burst - leased.burst)),
        )
        if not share.burst or not share.rate:
            share = NO_SHARE
        if len(holder.grants) >= MAX_GRANTS:
            first, second = holder.grants[:2]
            holder.grants[:2] = [
                Grant(second.serial, first.share.covering(second.share), max(first.expires_at, second.expires_at))
            ]
        holder.grants.append(Grant(serial, share, now + max_under_drift(min(duration_ms, self.lease_ms))))
        # This grant shrinks what is unleased, and so the reserve's cap. The tokens added now leave the reserve.
        self.reserve = min(self.reserve, self._unleased().burst)
        added_tokens = int(min(self.reserve * ADDED_SHARE, missing, share.burst))
        self.reserve -= added_tokens
        return share, added_tokens

    def record_request(
        self,
        now: float,
        holder_id: int,
        serial: int,
        used_serial: int,
        demand: int,
        total: BudgetTotal,
        overflow: int = 0,
    ) -> bool:
        """Records what a request reports; returns whether it may still be answered, now or later."""
        self.advance(now)
        holder = self.holders.setdefault(holder_id, LeaseHolder(total))
        if serial <= holder.serial:
            return serial == holder.serial and serial > holder.answered_serial
        holder.serial, holder.demand, holder.requested_at, holder.total = serial, demand, now, total
        # Processes reload settings one after the other: as long as any has the smaller total, it applies.
        totals = [other.total for other in self.holders.values()]
        rate, burst = min(reported.rate for reported in totals), min(reported.burst for reported in totals)
        self.retained = Share(int(rate * RETAINED_SHARE), int(burst * RETAINED_SHARE))
        self.retained_until = now + self.lease_ms
        self.leasable = replace(total, rate=rate - self.retained.rate, burst=burst - self.retained.burst)
        holder.grants = [g for g in holder.grants if g.serial >= used_serial]
        # A running sum is reported, so a request that is lost or duplicated changes nothing.
        if holder.overflow >= 0:
            self.reserve = min(self.reserve + max(0, overflow - holder.overflow), float(self._unleased().burst))
        holder.overflow = overflow
        return True

    def retained_share(self, now: float) -> Share:
        """Returns what the owner's process may use now.

        It ends a lease duration after the last request, as a lease does: where the budget's slots change, nobody
        notifies the owner among the former slots, and the owner among the new ones waits for leases to expire."""
        return self.retained if now < self.retained_until else NO_SHARE

    def lease_expiry(self, now: float, holder_id: int) -> float:
        """Returns when the lease of a holder expires; ``now`` if it has none."""
        holder = self.holders.get(holder_id)
        return max((g.expires_at for g in holder.grants), default=now) if holder is not None else now

    def advance(self, now: float) -> None:
        """Advances the time: grants expire, and the reserve refills by what nobody holds."""
        unleased = self._unleased()
        # Computed before grants expire: until then they refilled the holder's bucket, not the reserve. The time is
        # reduced by the clock drift, since the clock may run fast.
        self.reserve = min(
            float(unleased.burst), self.reserve + unleased.rate * min_under_drift(now - self.updated_at) / 1000
        )
        self.updated_at = now
        for holder_id, holder in list(self.holders.items()):
            holder.grants = [g for g in holder.grants if g.expires_at > now]
            if not holder.grants and now - holder.requested_at > self.lease_ms:
                del self.holders[holder_id]

    def _unleased(self) -> Share:
        leased = self._leased(None)
        return Share(max(0, self.leasable.rate - leased.rate), max(0, self.leasable.burst - leased.burst))

    def _leased(self, without: int | None) -> Share:
        leased = NO_SHARE
        for holder_id, holder in self.holders.items():
            if holder_id != without:
                leased += holder.covered_share()
        return leased

    def _rate_share(self, holder_id: int) -> int:
        demands = {k: holder.demand for k, holder in self.holders.items()}
        allocation = allocate(self.leasable.rate, demands)
        if not is_settled(allocation, self.allocation) or sum(self.allocation.values()) > self.leasable.rate:
            self.allocation = allocation
        return self.allocation[holder_id]

    def _burst_share(self, holder_id: int) -> int:
        """One unit for each holder with demand, as far as there are units, since less is of no use; the rest by the
        square roots of the demands, as the variance of arrivals grows. What the reserve needs stays here."""
        available = self.leasable.burst - int(self.leasable.burst * RESERVE_SHARE)
        demands = {k: holder.demand for k, holder in self.holders.items() if holder.demand > 0}
        if holder_id not in demands:
            return 0
        units = available // UNIT
        if units >= len(demands):
            order = sorted(demands)
            extra = split_by_weight(available - len(demands) * UNIT, [isqrt(demands[k]) + 1 for k in order])
            return UNIT + extra[order.index(holder_id)]
        served = sorted(demands, key=lambda k: (-demands[k], k))[:units]
        return UNIT if holder_id in served else 0

    # --- handoff ---------------------------------------------------------------------------------

    def ownership_state(self, now: float) -> list[list[int]]:
        """Returns what a successor has to count, as rows: holder, serial, rate, burst, time left."""
        self.advance(now)
        rows = []
        for holder_id, holder in self.holders.items():
            left_ms = max((g.expires_at for g in holder.grants), default=now) - now
            # Includes the grants of a predecessor whose holder has requested nothing here yet.
            serial = max([holder.serial, *(g.serial for g in holder.grants)])
            rows.append([holder_id, serial, *astuple(holder.covered_share()), int(left_ms) + 1])
        return rows

    def restore(self, now: float, rows: list[list[int]], wait_ms: float = 0.0) -> None:
        """Continues from a predecessor's ownership state, at once or after the rest of its wait."""
        for holder_id, serial, rate, burst, left_ms in rows:
            # The latest serial, so that it is kept whichever of the predecessor's grants the holder uses.
            grant = Grant(serial, Share(rate, burst), now + max_under_drift(left_ms))
            self.holders[holder_id] = LeaseHolder(UNKNOWN_TOTAL, 0, now, -1, 0, [grant] if rate or burst else [])
        self.may_grant_at = min(self.may_grant_at, now + max_under_drift(wait_ms))
