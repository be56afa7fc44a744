"""Requests that wait for a decision or have attempts in flight."""

from rushweir import interface
from rushweir.state import ServerRecord
from rushweir.token_buckets import Customer


class PendingRequest:
    """A request that waits for a decision or has attempts in flight."""

    def __init__(
        self,
        request: interface.Request,
        request_class: interface.RequestClass,
        customer: Customer,
        reserved_share: float,
        aim_at: float,
        number: int,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.customer = customer
        self.reserved_share = reserved_share  # of the in-flight capacity, left to more valuable requests
        self.aim_at = aim_at
        self.number = number  # identifies it in messages between gateways
        self.reservation = list[tuple[int, float]]()  # units taken of each partition, once it is sent
        self.within_quota = self.answered = False
        self.charges_own_ceiling = False  # whether this gateway's own share of the ceiling was charged
        self.owner: int | None = None  # the gateway that was asked, and how often so far
        self.ask_count = 0
        self.attempts: list[tuple[interface.Server, float]] = []  # where each was sent, and when
        self.in_flight: set[int] = set()  # numbers of attempts
        self.first_executed: tuple[interface.Server, float] | None = None  # the first attempt that may have run

    def charge_own_ceiling(self) -> bool:
        """Charge the request to the gateway's own share of the ceiling, once and if it has the tokens."""
        if not self.charges_own_ceiling and self.customer.ceiling_tokens >= self.request.units:
            self.charges_own_ceiling = True
            self.customer.ceiling_tokens = self.customer.ceiling_tokens - self.request.units
        return self.charges_own_ceiling

    def add_attempt(self, server: ServerRecord, now: float) -> int:
        """Record an attempt and return its number."""
        number = len(self.attempts)
        self.attempts.append((server.entry, now))
        self.in_flight.add(number)
        self.customer.open_attempts += 1
        server.in_flight[(self.request.id, number)] = now
        if server.idle_connections:
            server.idle_connections.pop()
        return number

    def end_attempt(self, attempt: int) -> None:
        """Record that an attempt is no longer in flight."""
        self.in_flight.discard(attempt)
        self.customer.open_attempts -= 1
