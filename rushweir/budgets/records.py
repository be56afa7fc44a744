"""Budgets and leases as plain records. Amounts are thousandths of a unit, times milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf
from zlib import crc32

from rushweir.state import DecayingRate

UNIT = 1_000  # thousandths


@dataclass(frozen=True, slots=True)
class BudgetTotal:
    """What all processes together may use of a budget: tokens refill at ``rate`` a second up to ``burst``."""

    rate: int
    burst: int
    minimum_share: float = 0.25  # fraction of both that slots own, each its minimum share, without a lease
    first_slot: int = 0  # the slots that use the budget: from this one on ...
    slot_count: int = 0  # ... this many, wrapping around; 0: all

    @classmethod
    def from_units(
        cls, rate: float, burst: float, minimum_share: float = 0.25, first_slot: int = 0, slot_count: int = 0
    ) -> BudgetTotal:
        """Converts units a second and units; fractions of a thousandth are dropped."""
        return cls(int(rate * UNIT), int(burst * UNIT), minimum_share, first_slot, slot_count)

    def is_within(self, other: BudgetTotal) -> bool:
        """Whether everything that is leased of this total may be leased of the other, too."""
        is_smaller = (
            self.rate <= other.rate and self.burst <= other.burst and self.minimum_share >= other.minimum_share
        )
        return is_smaller and (self.first_slot, self.slot_count) == (other.first_slot, other.slot_count)

    def slots(self, slot_count: int) -> list[int]:
        """Returns the slots that use the budget."""
        return [(self.first_slot + k) % slot_count for k in range(min(self.slot_count or slot_count, slot_count))]


@dataclass(frozen=True, slots=True)
class Share:
    """What one process may use of a budget: a token bucket of its own."""

    rate: int = 0
    burst: int = 0

    def __add__(self, other: Share) -> Share:
        return Share(self.rate + other.rate, self.burst + other.burst)

    def covering(self, other: Share) -> Share:
        """Returns the smallest share that covers both."""
        return Share(max(self.rate, other.rate), max(self.burst, other.burst))


NO_SHARE = Share()


@dataclass(frozen=True, slots=True)
class ShareChanged:
    """A process's share of a budget has changed: its bucket refills by ``share`` from now on, ``added_tokens`` are
    added, and tokens beyond the new burst are lost."""

    name: str
    share: Share
    added_tokens: int = 0
    lease_ms: float = 0.0  # until what exceeds ``minimum_share`` expires by itself
    minimum_share: Share = NO_SHARE
    # Not 0: this is the owner's retained share of the budget whose name has this CRC; the name may be unknown here.
    retained_key: int = 0


@dataclass(slots=True)
class HeldLease:
    """One budget as a lease holder knows it."""

    name: str
    total: BudgetTotal
    demand: DecayingRate
    used_at: float
    share: Share = NO_SHARE
    expires_at: float = -inf  # when the lease ends
    applied_serial: int = 0  # serial of the grant in use
    serial: int = 0
    requested_at: dict[int, float] = field(default_factory=dict)  # times, by serial
    next_request_at: float = 0.0
    reported_share: Share = NO_SHARE  # what was reported to the user last


def budget_key(name: str) -> int:
    """Returns the key of a budget on the wire. Its lower half is the CRC of the name, by which both the budget's
    owner and the policy's first owner of a customer's token bucket are chosen, so that they are the same process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=3).digest(), "big") << 32 | crc32(name.encode())
