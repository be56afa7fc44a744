"""What a budget is, and what is known of it. Plain records; amounts are thousandths, times milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf
from zlib import crc32

from rushweir.state import DecayingRate

UNIT = 1_000


@dataclass(frozen=True, slots=True)
class BudgetTotal:
    """A rate and a burst that all processes share: tokens fill at ``rate`` a second up to ``burst``."""

    rate: int
    burst: int
    minimum_share: float = 0.25  # of both is owned by the numbers, each its part, without asking
    first_slot: int = 0  # the numbers that use it: from this one on ...
    slot_count: int = 0  # ... so many, counted round; 0: all

    @classmethod
    def from_units(
        cls, rate: float, burst: float, floor: float = 0.25, first: int = 0, count: int = 0
    ) -> BudgetTotal:
        """From units a second and units; what is smaller than a thousandth is not given out."""
        return cls(int(rate * UNIT), int(burst * UNIT), floor, first, count)

    def is_within(self, other: BudgetTotal) -> bool:
        """Whether whatever is lent of this one may be lent of the other, too."""
        less = self.rate <= other.rate and self.burst <= other.burst and self.minimum_share >= other.minimum_share
        return less and (self.first_slot, self.slot_count) == (other.first_slot, other.slot_count)

    def slots(self, most: int) -> list[int]:
        """The numbers that use it, of so many that there are."""
        return [(self.first_slot + k) % most for k in range(min(self.slot_count or most, most))]


@dataclass(frozen=True, slots=True)
class Share:
    """What one process may spend of a whole: a token bucket of its own."""

    rate: int = 0
    burst: int = 0

    def __add__(self, other: Share) -> Share:
        return Share(self.rate + other.rate, self.burst + other.burst)

    def covering(self, other: Share) -> Share:
        """What covers either."""
        return Share(max(self.rate, other.rate), max(self.burst, other.burst))


NO_SHARE = Share()


@dataclass(frozen=True, slots=True)
class ShareChanged:
    """A process's part of a budget from now on: ``part`` is all it may fill by and hold; ``add`` tokens come with it.
    What is in the bucket beyond the new burst is gone."""

    name: str
    share: Share
    added_tokens: int = 0
    lease_ms: float = 0.0  # for so long; then what is not ``owned`` is over by itself
    minimum_share: Share = NO_SHARE
    retained_key: int = (
        0  # not 0: as the home has it, for whoever asks there; the CRC of a name that may be unknown here
    )


@dataclass(slots=True)
class HeldLease:
    """One budget as a holder knows it."""

    name: str
    total: BudgetTotal
    demand: DecayingRate
    used_at: float
    share: Share = NO_SHARE
    expires_at: float = -inf  # of the lease
    applied_serial: int = 0  # serial of the grant acted on
    serial: int = 0
    requested_at: dict[int, float] = field(default_factory=dict)  # when, by serial
    next_request_at: float = 0.0
    reported_share: Share = NO_SHARE  # as the user was told last


def budget_key(name: str) -> int:
    """A budget on the wire. Its home is where the module's first keeper of a customer of that name is: both go by the
    CRC of the name, which is the lower half of this."""
    return int.from_bytes(blake2b(name.encode(), digest_size=3).digest(), "big") << 32 | crc32(name.encode())
