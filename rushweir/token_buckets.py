"""Token buckets of customers, and what one gateway knows of each customer's quota."""

import math

from rushweir import interface
from rushweir.state import DecayingRate


def refilled_tokens(tokens: float, rate: float, burst: float, elapsed_ms: float) -> float:
    """The tokens of a bucket after a time, refilled at ``rate`` units per second up to ``burst``."""
    return min(burst, tokens + rate * elapsed_ms / 1000)


class TokenBucket:
    """A customer's token bucket and attempts in flight, as its owner holds them or as a gateway had them reported."""

    __slots__ = (
        "refilled_at", "ceiling_tokens", "ceiling_refilled_at", "demand", "tokens", "in_flight", "rate", "burst",
        "ceiling_rate", "ceiling_burst",
    )  # fmt: skip

    def __init__(self, tokens: float, memory_ms: float, now: float) -> None:
        self.tokens = tokens
        self.refilled_at = now
        self.demand = DecayingRate(memory_ms, now)  # units requested
        self.ceiling_tokens = 0.0  # the owner's share of the ceiling
        self.ceiling_refilled_at = now
        self.in_flight = dict[tuple[int, int], float]()  # when each was admitted, by gateway and request number
        # Of the last refill, in units per second and units.
        self.rate = self.ceiling_rate = 0.0
        self.burst = tokens
        self.ceiling_burst = 0.0

    def is_as_new(self, now: float) -> bool:
        """Whether nothing is lost if it is forgotten: no attempt is in flight, and quota and ceiling have filled."""
        tokens = refilled_tokens(self.tokens, self.rate, self.burst, now - self.refilled_at)
        ceiling_ms = now - self.ceiling_refilled_at
        ceiling = refilled_tokens(self.ceiling_tokens, self.ceiling_rate, self.ceiling_burst, ceiling_ms)
        has_filled = (not self.rate or tokens >= self.burst) and ceiling >= self.ceiling_burst
        return has_filled and not self.in_flight

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Refill the quota's tokens up to now."""
        self.tokens = refilled_tokens(self.tokens, rate, burst, now - self.refilled_at)
        self.rate, self.burst = rate, burst
        self.refilled_at = now

    def refill_ceiling(self, rate: float, burst: float, now: float) -> None:
        """Refill the tokens of the owner's share of the ceiling up to now."""
        self.ceiling_tokens = refilled_tokens(self.ceiling_tokens, rate, burst, now - self.ceiling_refilled_at)
        self.ceiling_rate, self.ceiling_burst = rate, burst
        self.ceiling_refilled_at = now

    def count_in_flight(self, since: float) -> int:
        """Forget the attempts admitted before ``since`` and count the others."""
        while self.in_flight and self.in_flight[first := next(iter(self.in_flight))] < since:
            del self.in_flight[first]
        return len(self.in_flight)

    def settle(
        self, extra_units: float, ended_attempt: tuple[int, int] | None, burst: float, ceiling_charged: bool = False
    ) -> None:
        """Charge units beyond those charged at admission; negative ones are returned.

        ``ended_attempt`` names the request, by gateway and number, if it has ended. A repeated report of an end, or
        one of a forgotten request, changes nothing. ``ceiling_charged``: the owner's ceiling share was charged.
        """
        if ended_attempt is not None and ended_attempt not in self.in_flight:
            return
        self.tokens = min(burst, self.tokens - extra_units)
        if ended_attempt is not None:
            # Ceiling tokens return only for a request that was never sent; those of an overestimate stay spent.
            self.ceiling_tokens -= extra_units * ceiling_charged
            del self.in_flight[ended_attempt]


class LeasedShare:
    """A share of a customer's ceiling that is leased to this gateway: units per second and a burst."""

    __slots__ = ("updated_at", "burst", "owner_share", "rate", "overflowed_tokens")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.overflowed_tokens = 0.0  # tokens lost at a full bucket so far
        self.updated_at = now
        self.owner_share = 0.0, 0.0  # rate and burst of the share held as the customer's first owner


class Customer:
    """What a gateway knows of one customer: the owner's last report of its bucket, and the usage not yet reported."""

    __slots__ = (
        "bucket", "ceiling_refilled_at", "ceiling_tokens", "gateway_count", "gateway_range", "granted_share", "key",
        "last_seen_at", "leased_share", "open_attempts", "owners", "plan", "plan_index", "reported_at", "reported_by",
        "reported_tokens", "unasked_demand", "unconfirmed_units", "unreported_units",
    )  # fmt: skip

    def __init__(
        self,
        plan: interface.Plan,
        plan_index: int,
        key: int,
        gateway_count: int,
        owners: list[int],
        bucket: TokenBucket,
        started_at: float,
    ) -> None:
        self.plan = plan
        self.plan_index = plan_index
        self.key = key
        self.gateway_count = gateway_count
        self.owners = owners
        self.bucket = bucket
        self.ceiling_refilled_at = started_at
        self.last_seen_at = bucket.refilled_at
        self.reported_at = -math.inf
        self.reported_tokens = math.inf
        self.open_attempts = 0
        self.unasked_demand = 0.0  # units refused by an old report since the owner was asked
        self.unconfirmed_units = 0.0  # part of the unreported units, in a message that is not yet answered
        self.unreported_units = 0.0
        self.granted_share = 1.0  # share of the demand that the quota covers, by the last report
        self.ceiling_tokens = 0.0 if plan.ceiling_rate else math.inf
        self.reported_by: int | None = None  # the gateway that sent the last report
        self.gateway_range = 0, 1  # (first gateway, gateway count)
        self.leased_share: LeasedShare | None = None  # where ceilings are leased

    def is_as_new(self, gateways_share: float, now: float) -> bool:
        """Whether nothing is lost if it is forgotten: no attempt is open, and quota and ceiling have filled. Usage
        that is not reported yet was charged to the bucket here, so the owner's has filled by then too."""
        if self.open_attempts or self.leased_share is not None:
            return False
        self.refill(gateways_share, now)
        own_share = gateways_share / self.gateway_count  # rounded as in ``refill``
        own_ceiling = self.plan.ceiling_burst * own_share if self.plan.ceiling_rate else 0.0
        has_quota = not self.plan.rate or self.bucket.tokens >= self.plan.burst
        return has_quota and self.ceiling_tokens >= own_ceiling

    def refill(self, gateways_share: float, now: float) -> None:
        """Refill the bucket and this gateway's part of the ceiling.

        That is its leased share if there is one, else ``gateways_share`` / ``gateway_count``.
        """
        plan = self.plan
        self.bucket.refill(plan.rate, plan.burst, now)
        if plan.ceiling_rate and self.leased_share is not None:
            tokens = self.ceiling_tokens + self.leased_share.rate * (now - self.ceiling_refilled_at) / 1000
            self.ceiling_tokens = min(tokens, self.leased_share.burst)
            self.ceiling_refilled_at = now
            self.leased_share.overflowed_tokens += tokens - self.ceiling_tokens
        elif plan.ceiling_rate:
            own_share = gateways_share / self.gateway_count
            elapsed_ms = now - self.ceiling_refilled_at
            tokens = refilled_tokens(
                self.ceiling_tokens, plan.ceiling_rate * own_share, plan.ceiling_burst * own_share, elapsed_ms
            )
            self.ceiling_tokens = tokens
            self.ceiling_refilled_at = now

    def quota_wait_ms(self, bucket: TokenBucket, units: float) -> float:
        """In how many milliseconds a bucket has the tokens that it lacks, at the granted share of the rate."""
        missing = max(0.0, units - bucket.tokens)
        return missing * 1000 / (self.plan.rate * self.granted_share + 1e-9) * (self.plan.rate > 0)

    def ceiling_wait_ms(self, units: float, gateways_share: float) -> float:
        """In how many milliseconds this gateway's share of the ceiling has the tokens that it lacks."""
        missing = max(0.0, units - self.ceiling_tokens) * self.gateway_count
        rate = (
            self.leased_share.rate * self.gateway_count
            if self.leased_share and self.leased_share.rate
            else self.plan.ceiling_rate * gateways_share
        )
        return missing * 1000 / rate if missing else 0.0

    def take_question_flags(self, charges_own_ceiling: bool) -> int:
        """The flags of a question to the owner; the unasked demand that they report is cleared.

        1 if the owner's share of the ceiling is to be charged, plus 2 for each whole unit of unasked demand, to 127.
        """
        unasked_units = min(127, int(self.unasked_demand))
        self.unasked_demand = 0.0
        return (not charges_own_ceiling) + 2 * unasked_units

    def is_low(self, share: float, since: float) -> bool:
        """Whether a report after ``since`` had the bucket below this share of the burst."""
        return self.reported_tokens < share * self.plan.burst and self.reported_at > since

    def usage_to_report(self, owner: int, repeated: bool) -> float:
        """Units to report to the first owner with a question; none while the answer to a report may be on its way."""
        if owner != self.owners[0]:
            self.unconfirmed_units = 0.0
        elif self.unconfirmed_units and not repeated:
            return 0.0
        else:
            self.unconfirmed_units = self.unreported_units
        return self.unconfirmed_units

    def confirm_usage(self, source: int) -> bool:
        """Clear the usage reported to the first owner if the answer is from it; return whether it is."""
        if is_first_owner := source == self.owners[0]:
            self.unreported_units = self.unreported_units - self.unconfirmed_units
            self.unconfirmed_units = 0.0
        return is_first_owner

    def apply_report(self, tokens: float, share: float, now: float, source: int | None = None) -> None:
        """Take over an owner's report of the bucket and of the share of the demand that it grants."""
        self.reported_by = source
        self.bucket.tokens = tokens
        self.reported_tokens = tokens
        self.granted_share = share
        self.reported_at = self.bucket.refilled_at = now
