"""The customers that a gateway knows, the buckets that it owns, and when they are forgotten."""

from collections.abc import Callable

from rushweir import interface
from rushweir.token_buckets import Customer, LeasedShare, TokenBucket

CUSTOMER_IDLE_MS = 30000.0  # idle customers are forgotten after this time
SWEEP_INTERVAL_MS = CUSTOMER_IDLE_MS / 10
FULL_SWEEP_INTERVAL_MS = 100.0  # between two searches for customers that can be forgotten, where there are too many


class KnownCustomers:
    """Customers, owned buckets and leased shares, by the CRC of the customer's name."""

    def __init__(self, now: float) -> None:
        self.customers = dict[int, Customer]()
        self.owned_buckets = dict[int, TokenBucket]()
        self.leased_shares = dict[int, LeasedShare]()
        self.swept_at = now
        self.full_sweep_at = now - FULL_SWEEP_INTERVAL_MS

    def sweep_is_due(self, now: float) -> bool:
        """Whether idle customers are to be forgotten now."""
        return now - self.swept_at >= SWEEP_INTERVAL_MS

    def forget_idle(self, now: float) -> None:
        """Forget customers, buckets and shares that were idle for ``CUSTOMER_IDLE_MS``."""
        self.swept_at = now
        for key, customer in list(self.customers.items()):
            if now - customer.last_seen_at >= CUSTOMER_IDLE_MS and not customer.open_attempts:
                del self.customers[key]
        for key, bucket in list(self.owned_buckets.items()):
            if now - bucket.refilled_at >= CUSTOMER_IDLE_MS:
                del self.owned_buckets[key]
        for key, lease in list(self.leased_shares.items()):
            if key not in self.customers and now - lease.updated_at >= CUSTOMER_IDLE_MS:
                del self.leased_shares[key]

    def full_sweep_is_due(self, now: float) -> bool:
        """Whether to search again for customers that can be forgotten, where there are too many."""
        return now - self.full_sweep_at >= FULL_SWEEP_INTERVAL_MS

    def forget_unused(
        self, now: float, in_use: set[int], owner_ceiling_share: Callable[[interface.Plan], float]
    ) -> None:
        """Forget customers and buckets that differ in nothing from new ones, since their quota has refilled.

        ``in_use``: customers whose owner or counter is being asked; ``owner_ceiling_share``: of a plan's ceiling."""
        self.full_sweep_at = now
        for key, customer in list(self.customers.items()):
            if key not in in_use and customer.is_as_new(1 - owner_ceiling_share(customer.plan), now):
                del self.customers[key]
        for key, bucket in list(self.owned_buckets.items()):
            if bucket.is_as_new(now):
                del self.owned_buckets[key]
