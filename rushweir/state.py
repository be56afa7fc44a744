"""Records that the rules keep and the text of a message between peers; no decision is made here."""

import math
from base64 import b85decode, b85encode
from collections import deque
from collections.abc import Iterable
from struct import Struct
from struct import error as StructError

from rushweir import interface as i


class Rate:
    """An amount per second, forgotten exponentially."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float, now: float) -> None:
        self.sum, self.memory, self.at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.sum, self.at = self.total(now) + amount, now

    def total(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / self.memory)

    def set(self, per_s: float, now: float) -> None:
        self.sum, self.at = per_s * self.memory / 1000, now

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory


class Store:
    """A customer's store of units and attempts out, as a keeper holds it or a door was last told."""

    __slots__ = ("at", "demand", "level", "out")

    def __init__(self, level: float, memory: float, now: float) -> None:
        self.level, self.at, self.demand = level, now, Rate(memory, now)
        self.out: deque[float] = deque()

    def refill(self, rate: float, most: float, now: float) -> None:
        self.level, self.at = min(most, self.level + rate * (now - self.at) / 1000), now

    def take(self, units: float, now: float) -> None:
        self.level -= units
        self.out.append(now)

    def settle(self, more: float, over: bool, most: float) -> None:
        self.level = min(most, self.level - more)
        if over and self.out:
            self.out.popleft()


class Customer:
    """What a door knows of one customer: its last word of the store, and what it owes the keeper."""

    def __init__(
        self, plan: i.Plan, index: int, key: int, doors: int, ranks: list[int], store: Store, began: float
    ) -> None:
        self.plan, self.index, self.hash, self.doors, self.ranks = plan, index, key, doors, ranks
        self.store, self.ceiling_at, self.seen, self.told = store, began, store.at, -math.inf
        self.open = 0
        self.ceiling = self.asked = self.pending = self.value = 0.0


class Health:
    """How often something failed lately, and how slow it is against the usual."""

    def __init__(self, memory: float, now: float) -> None:
        self.bad, self.all, self.slow = Rate(memory, now), Rate(memory, now), 1.0

    def note(self, failed: bool, now: float) -> None:
        self.bad.add(failed, now)
        self.all.add(1, now)

    def fail(self, now: float) -> float:
        return self.bad.total(now) / (1 + self.all.total(now))


class Backend:
    """One server as one gateway knows it; its own health first, then those of its zone and its kind."""

    def __init__(self, entry: i.Server, weight: float, health: list[Health]) -> None:
        self.entry, self.weight, self.health = entry, weight, health
        self.slow, self.answered = 1.0, 0.0
        self.out: dict[tuple[str, int], float] = {}  # attempts out, oldest first, and when they were sent
        self.sent: deque[float] = deque()

    def recent(self, since: float) -> int:
        """Attempts sent since then; earlier ones are forgotten."""
        while self.sent and self.sent[0] < since:
            self.sent.popleft()
        return len(self.sent)

    def oldest(self, now: float) -> float:
        return next(iter(self.out.values()), now)


class Ticket:
    """A request that is owed an answer or has attempts out."""

    def __init__(self, r: i.Request, cls: i.RequestClass, c: Customer, grant: list) -> None:
        self.r, self.cls, self.c, self.grant = r, cls, c, grant
        self.inside = self.done = False
        self.keeper: int | None = None  # who was asked, and how often so far
        self.asks = 0
        self.sends: list[tuple[i.Server, float]] = []
        self.out: set[int] = set()
        self.ran: tuple[i.Server, float] | None = None  # the first attempt that may have run

    def sent(self, b: Backend, now: float) -> int:
        """Note an attempt; returns its number."""
        n = len(self.sends)
        self.sends.append((b.entry, now))
        self.out.add(n)
        self.c.open += 1
        b.out[(self.r.id, n)] = now
        b.sent.append(now)
        return n

    def back(self, attempt: int) -> None:
        self.out.discard(attempt)
        self.c.open -= 1


def pack(form: Struct, entries: Iterable[tuple]) -> str:
    return b85encode(b"".join(form.pack(*e) for e in entries)).decode()


def unpack(form: Struct, text: str) -> list[tuple]:
    """The entries of a message; none if the text is not a message of ours."""
    try:
        return list(form.iter_unpack(b85decode(text)))
    except (ValueError, StructError):
        return []
