"""Token buckets of customers, and what a gateway knows of each customer."""

import math

from rushweir import interface as i
from rushweir.state import DecayingRate


def refilled_tokens(level: float, rate: float, most: float, ms: float) -> float:
    """A store that was at a level so long ago, filled at so many units a second."""
    return min(most, level + rate * ms / 1000)


class TokenBucket:
    """A customer's store of units and attempts out, as a keeper holds it or a door was last told."""

    __slots__ = ("refilled_at", "ceiling_tokens", "ceiling_refilled_at", "demand", "tokens", "in_flight")

    def __init__(self, level: float, memory: float, now: float) -> None:
        self.tokens, self.refilled_at, self.demand = level, now, DecayingRate(memory, now)
        self.ceiling_tokens, self.ceiling_refilled_at = 0.0, now  # what a keeper has of the ceiling
        self.in_flight = dict[tuple[int, int], float]()  # places taken: by which gateway and number, when

    def refill(self, rate: float, most: float, now: float) -> None:
        self.tokens, self.refilled_at = refilled_tokens(self.tokens, rate, most, now - self.refilled_at), now

    def fill_ceiling(self, rate: float, most: float, now: float) -> None:
        self.ceiling_tokens, self.ceiling_refilled_at = (
            refilled_tokens(self.ceiling_tokens, rate, most, now - self.ceiling_refilled_at),
            now,
        )

    def count_in_flight(self, since: float) -> int:
        """Attempts out; older ones are forgotten."""
        while self.in_flight and self.in_flight[first := next(iter(self.in_flight))] < since:
            del self.in_flight[first]
        return len(self.in_flight)

    def settle(self, more: float, over: tuple[int, int] | None, most: float, paid: bool = False) -> None:
        if over is not None and over not in self.in_flight:
            return  # told before, or forgotten
        self.tokens = min(most, self.tokens - more)
        if over is not None:
            self.ceiling_tokens -= (
                more * paid
            )  # never sent, if it gives back; what was only guessed too high stays spent
            del self.in_flight[over]


class LeasedShare:
    """A part of a ceiling: a rate and a burst, given from time to time, and what it had no room for in all; ``kept``:
    the same as a keeper has it."""

    __slots__ = ("updated_at", "burst", "owner_share", "rate", "overflowed_tokens")

    def __init__(self, now: float) -> None:
        self.rate, self.burst, self.overflowed_tokens, self.updated_at, self.owner_share = (
            0.0,
            0.0,
            0.0,
            now,
            (0.0, 0.0),
        )


class Customer:
    """What a door knows of one customer: its last word of the store, and what it owes the keeper."""

    def __init__(
        self, plan: i.Plan, index: int, key: int, doors: int, ranks: list[int], store: TokenBucket, began: float
    ) -> None:
        self.plan, self.plan_index, self.key, self.gateway_count, self.owners = plan, index, key, doors, ranks
        self.bucket, self.ceiling_refilled_at, self.last_seen_at, self.reported_at = (
            store,
            began,
            store.refilled_at,
            -math.inf,
        )
        self.reported_tokens = math.inf  # the level as it was told
        self.open_attempts, self.unasked_demand = (
            0,
            0.0,
        )  # attempts out; units refused on a word since the keeper was asked
        self.unconfirmed_units = 0.0  # of what it owes, in a message that no answer has come to
        self.unreported_units, self.granted_share, self.ceiling_tokens = (
            0.0,
            1.0,
            0.0 if plan.ceiling_rate else math.inf,
        )
        self.reported_by: int | None = None  # the gateway whose word it was
        self.gateway_range = 0, 1  # its first door, and how many from it on
        self.leased_share: LeasedShare | None = None  # the part of the ceiling that it has, where ceilings are lent

    def refill(self, part: float, now: float) -> None:
        """Fill the store, and of the ceiling what is lent, or this door's own of an even part for all."""
        p = self.plan
        self.bucket.refill(p.rate, p.burst, now)
        if p.ceiling_rate and self.leased_share is not None:
            full = self.ceiling_tokens + self.leased_share.rate * (now - self.ceiling_refilled_at) / 1000
            self.ceiling_tokens, self.ceiling_refilled_at = min(full, self.leased_share.burst), now
            self.leased_share.overflowed_tokens += full - self.ceiling_tokens
        elif p.ceiling_rate:
            own, ms = part / self.gateway_count, now - self.ceiling_refilled_at
            full = refilled_tokens(self.ceiling_tokens, p.ceiling_rate * own, p.ceiling_burst * own, ms)
            self.ceiling_tokens, self.ceiling_refilled_at = full, now

    def take_question_flags(self, own: bool) -> int:
        """What a question tells beside its units: whether the keeper is to pay of the ceiling; what was refused."""
        missed, self.unasked_demand = min(127, int(self.unasked_demand)), 0.0
        return (not own) + 2 * missed

    def is_low(self, part: float, since: float) -> bool:
        """Whether the store was told to be below this part of the burst, after ``since``."""
        return self.reported_tokens < part * self.plan.burst and self.reported_at > since

    def report_usage(self, to: int, again: bool) -> float:
        """Units that its first keeper is to be told of with a question; none while its answer may be under way."""
        if to != self.owners[0]:
            self.unconfirmed_units = 0.0
        elif self.unconfirmed_units and not again:
            return 0.0
        else:
            self.unconfirmed_units = self.unreported_units
        return self.unconfirmed_units

    def confirm_usage(self, source: int) -> bool:
        """Whether this is its first keeper, which has by now what it was told."""
        if first := source == self.owners[0]:
            self.unreported_units, self.unconfirmed_units = self.unreported_units - self.unconfirmed_units, 0.0
        return first

    def apply_report(self, level: float, share: float, now: float, by: int | None = None) -> None:
        """Note the keeper's word."""
        self.reported_by = by
        self.bucket.tokens, self.reported_tokens, self.granted_share = level, level, share
        self.reported_at = self.bucket.refilled_at = now
