"""Records that the rules keep and the text of a message between peers; no decision is made here."""

import math
from base64 import b85decode, b85encode
from collections import deque
from collections.abc import Iterable
from struct import Struct
from struct import error as StructError
from zlib import crc32

from rushweir import interface as i

ENTRY = Struct(">IHHBB")  # of one customer: hash, units spent, demand, attempts out, level of the store


class Rate:
    """An amount per second, forgotten exponentially."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float, now: float) -> None:
        self.sum, self.memory, self.at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.sum, self.at = self.total(now) + amount, now

    def total(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / self.memory)

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory


class Heard:
    """What one peer last told of one customer."""

    __slots__ = ("at", "demand", "level", "open", "run", "spent")

    def __init__(self) -> None:
        self.run, self.spent, self.demand, self.open, self.level, self.at = b"", 0, 0.0, 0, 1.0, 0.0


class Customer:
    """One customer's stores as seen from one gateway, and the calls about it."""

    def __init__(self, r: i.Request, plan: i.Plan, settings: i.Settings, memory: float, now: float) -> None:
        self.plan, self.hash, self.level, self.at = plan, crc32(r.customer.encode()), plan.burst, now
        doors = {(r.first + k) % settings.gateways for k in range(r.spread)}
        self.peers, self.doors = sorted(doors - {settings.me}), max(1, len(doors))
        self.demand, self.others = Rate(memory, now), Rate(memory, now)
        self.spent = self.open = self.ceiling = 0
        self.ceiling_at = self.synced = self.seen = now
        self.epoch, self.added, self.theirs, self.new = -1, 0, 0, (0.0, 0.0)
        self.call: tuple[float, float] | None = None

    def refill(self, now: float) -> None:
        """Fill the store at the quota's rate and the own part of the ceiling at its part of the rate."""
        plan = self.plan
        self.level = min(plan.burst, self.level + plan.rate * (now - self.at) / 1000)
        most, more = plan.ceiling_burst / self.doors, plan.ceiling_rate / self.doors
        self.ceiling = min(most, self.ceiling + more * (now - self.ceiling_at) / 1000)
        self.at = self.ceiling_at = now


class Backend:
    """One server as one gateway knows it."""

    def __init__(self, entry: i.Server, sized: bool, eject_ms: float) -> None:
        self.entry, self.slow, self.fail, self.eject_ms = entry, 1.0, 0.0, eject_ms
        self.weight, self.answered, self.out_until = max(entry.weight, 0.01) if sized else 1.0, 0.0, 0.0
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

    def __init__(self, r: i.Request, cls: i.RequestClass, c: Customer, inside: bool, grant: list) -> None:
        self.r, self.cls, self.c, self.inside, self.grant, self.done = r, cls, c, inside, grant, False
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


def write_news(run: bytes, customers: Iterable[Customer], now: float) -> str:
    parts = [run]
    for c in customers:
        demand = min(round(64 * math.log2(1 + 16 * c.demand.per_s(now))), 65535)
        level = round(255 * max(0.0, c.level) / c.plan.burst) if c.plan.burst else 255
        parts.append(ENTRY.pack(c.hash, c.spent % 65536, demand, min(c.open, 255), level))
    return b85encode(b"".join(parts)).decode()


def read_news(text: str) -> tuple[bytes, list[tuple[int, int, float, int, float]]] | None:
    """The sender's run and what it tells of each customer; None if the text is not a message of ours."""
    try:
        raw = b85decode(text)
        entries = list(ENTRY.iter_unpack(raw[2:]))
    except (ValueError, StructError):
        return None
    news = [(key, spent, (2 ** (dem / 64) - 1) / 16, out, lev / 255) for key, spent, dem, out, lev in entries]
    return raw[:2], news
