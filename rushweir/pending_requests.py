"""Requests that are owed an answer or have attempts out."""

from rushweir import interface as i
from rushweir.state import ServerRecord
from rushweir.token_buckets import Customer


class PendingRequest:
    """A request that is owed an answer or has attempts out."""

    def __init__(
        self, r: i.Request, cls: i.RequestClass, c: Customer, keep: float, aim_at: float, number: int
    ) -> None:
        self.request, self.request_class, self.customer, self.reserved_share, self.aim_at, self.number = (
            r,
            cls,
            c,
            keep,
            aim_at,
            number,
        )
        self.reservation = list[tuple[int, float]]()  # room drawn, once it is sent
        self.within_quota = self.answered = False
        self.own_ceiling_pays = False  # whether its door's own part of the ceiling paid
        self.owner: int | None = None  # who was asked, and how often so far
        self.ask_count = 0
        self.attempts: list[tuple[i.Server, float]] = []
        self.in_flight: set[int] = set()
        self.first_executed: tuple[i.Server, float] | None = None  # the first attempt that may have run

    def add_attempt(self, b: ServerRecord, now: float) -> int:
        """Note an attempt; returns its number."""
        n = len(self.attempts)
        self.attempts.append((b.entry, now))
        self.in_flight.add(n)
        self.customer.open_attempts += 1
        b.in_flight[(self.request.id, n)] = now
        if b.idle_connections:
            b.idle_connections.pop()
        return n

    def end_attempt(self, attempt: int) -> None:
        self.in_flight.discard(attempt)
        self.customer.open_attempts -= 1
