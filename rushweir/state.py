"""Plain records that the rules keep, and generic arithmetic; no decision is made here."""

import math
from base64 import b85decode, b85encode
from collections import deque
from collections.abc import Callable
from heapq import nsmallest
from struct import Struct
from struct import error as StructError
from zlib import crc32

from rushweir import interface as i


class Rate:
    """An amount per second, forgotten exponentially."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float, now: float) -> None:
        self.sum, self.memory, self.at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.sum, self.at = self.total(now) + amount, now

    def total(self, now: float) -> float:
        # Of nothing nothing is left: most rates of failures are none, and are asked for at each choice.
        return self.sum * math.exp((self.at - now) / self.memory) if self.sum else 0.0

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory


class Mean:
    """A running mean: the first value counts as two samples, later ones at least by a given weight."""

    __slots__ = ("count", "value")

    def __init__(self, value: float) -> None:
        self.value, self.count = value, 2

    def learn(self, sample: float, least: float) -> None:
        self.count += 1
        self.value += max(least, 1 / self.count) * (sample - self.value)


class Parts:
    """Room cut into parts, and how much of each is in use."""

    def __init__(self) -> None:
        self.sizes, self.used = [0.0], [0.0]

    def resize(self, count: int, shares: list[tuple[int, float]]) -> None:
        self.sizes = [0.0] * count
        self.used += [0.0] * (count - len(self.used))
        for k, size in shares:
            self.sizes[k] += size

    def full(self) -> float:
        return sum(self.used) / max(1e-9, sum(self.sizes))

    def draw(self, order: list[int], amount: float) -> list[tuple[int, float]]:
        """Take an amount from the parts in this order; what they lack comes from the first."""
        grant = []
        for k in order:
            grant.append((k, min(amount, max(0.0, self.sizes[k] - self.used[k]))))
            amount -= grant[-1][1]
        grant.append((order[0], amount))
        for k, part in grant:
            self.used[k] += part
        return grant

    def give_back(self, grant: list[tuple[int, float]]) -> None:
        for k, part in grant:
            self.used[k] = max(0.0, self.used[k] - part)


def filled(level: float, rate: float, most: float, ms: float) -> float:
    """A store that was at a level so long ago, filled at so many units a second."""
    return min(most, level + rate * ms / 1000)


class Store:
    """A customer's store of units and attempts out, as a keeper holds it or a door was last told."""

    __slots__ = ("at", "ceiling", "ceiling_at", "demand", "level", "out")

    def __init__(self, level: float, memory: float, now: float) -> None:
        self.level, self.at, self.demand = level, now, Rate(memory, now)
        self.ceiling, self.ceiling_at = 0.0, now  # what a keeper has of the ceiling
        self.out = dict[tuple[int, int], float]()  # places taken: by which gateway and number, when

    def refill(self, rate: float, most: float, now: float) -> None:
        self.level, self.at = filled(self.level, rate, most, now - self.at), now

    def fill_ceiling(self, rate: float, most: float, now: float) -> None:
        self.ceiling, self.ceiling_at = filled(self.ceiling, rate, most, now - self.ceiling_at), now

    def open(self, since: float) -> int:
        """Attempts out; older ones are forgotten."""
        while self.out and self.out[first := next(iter(self.out))] < since:
            del self.out[first]
        return len(self.out)

    def settle(self, more: float, over: tuple[int, int] | None, most: float, paid: bool = False) -> None:
        if over is not None and over not in self.out:
            return  # told before, or forgotten
        self.level = min(most, self.level - more)
        if over is not None:
            self.ceiling -= more * paid  # never sent, if it gives back; what was only guessed too high stays spent
            del self.out[over]


class Lent:
    """A part of a ceiling: a rate and a burst, given from time to time, and what it had no room for in all; ``kept``:
    the same as a keeper has it."""

    __slots__ = ("at", "burst", "kept", "rate", "spilled")

    def __init__(self, now: float) -> None:
        self.rate, self.burst, self.spilled, self.at, self.kept = 0.0, 0.0, 0.0, now, (0.0, 0.0)


class Customer:
    """What a door knows of one customer: its last word of the store, and what it owes the keeper."""

    def __init__(
        self, plan: i.Plan, index: int, key: int, doors: int, ranks: list[int], store: Store, began: float
    ) -> None:
        self.plan, self.index, self.hash, self.doors, self.ranks = plan, index, key, doors, ranks
        self.store, self.ceiling_at, self.seen, self.told = store, began, store.at, -math.inf
        self.word = math.inf  # the level as it was told
        self.open, self.missed = 0, 0.0  # attempts out; units refused on a word since the keeper was asked
        self.mailed = 0.0  # of what it owes, in a message that no answer has come to
        self.pending, self.share, self.ceiling = 0.0, 1.0, 0.0 if plan.ceiling_rate else math.inf
        self.by: int | None = None  # the gateway whose word it was
        self.through = 0, 1  # its first door, and how many from it on
        self.lent: Lent | None = None  # the part of the ceiling that it has, where ceilings are lent

    def refill(self, part: float, now: float) -> None:
        """Fill the store, and of the ceiling what is lent, or this door's own of an even part for all."""
        p = self.plan
        self.store.refill(p.rate, p.burst, now)
        if p.ceiling_rate and self.lent is not None:
            full = self.ceiling + self.lent.rate * (now - self.ceiling_at) / 1000
            self.ceiling, self.ceiling_at = min(full, self.lent.burst), now
            self.lent.spilled += full - self.ceiling
        elif p.ceiling_rate:
            own, ms = part / self.doors, now - self.ceiling_at
            full = filled(self.ceiling, p.ceiling_rate * own, p.ceiling_burst * own, ms)
            self.ceiling, self.ceiling_at = full, now

    def over(self, own: bool) -> int:
        """What a question tells beside its units: whether the keeper is to pay of the ceiling; what was refused."""
        missed, self.missed = min(127, int(self.missed)), 0.0
        return (not own) + 2 * missed

    def low(self, part: float, since: float) -> bool:
        """Whether the store was told to be below this part of the burst, after ``since``."""
        return self.word < part * self.plan.burst and self.told > since

    def tell(self, to: int, again: bool) -> float:
        """Units that its first keeper is to be told of with a question; none while its answer may be under way."""
        if to != self.ranks[0]:
            self.mailed = 0.0
        elif self.mailed and not again:
            return 0.0
        else:
            self.mailed = self.pending
        return self.mailed

    def heard(self, source: int) -> bool:
        """Whether this is its first keeper, which has by now what it was told."""
        if first := source == self.ranks[0]:
            self.pending, self.mailed = self.pending - self.mailed, 0.0
        return first

    def learn(self, level: float, share: float, now: float, by: int | None = None) -> None:
        """Note the keeper's word."""
        self.by = by
        self.store.level, self.word, self.share = level, level, share
        self.told = self.store.at = now


class Health:
    """How often something failed lately, and how slow it is against the usual."""

    def __init__(self, memory: float, now: float) -> None:
        self.bad, self.all, self.slow = Rate(memory, now), Rate(memory, now), Mean(1.0)

    def note(self, failed: bool, now: float) -> None:
        self.bad.add(failed, now)
        self.all.add(1, now)

    def fail(self, now: float) -> float:
        bad = self.bad.total(now)
        return bad / (1 + self.all.total(now)) if bad else 0.0


class Backend:
    """One server as one gateway knows it; its own health first, then those of its zone and its kind."""

    def __init__(self, entry: i.Server, weight: float, health: list[Health]) -> None:
        self.entry, self.weight, self.health = entry, weight, health
        self.slow, self.answered = 1.0, 0.0
        self.out: dict[tuple[str, int], float] = {}  # attempts out, and when they were sent
        self.idle: deque[float] = deque()  # connections thought to be free, and since when; the latest is used first

    def answer(self, now: float, idle_ms: float) -> None:
        """A whole answer came: its connection is free."""
        self.answered = now
        self.idle.append(now)
        while self.idle and self.idle[0] <= now - idle_ms:
            self.idle.popleft()

    def free(self, since: float, many: bool) -> bool:
        """Whether a connection is thought to be open for one more; ``many`` go over each at once."""
        return bool(self.idle and self.idle[-1] >= since) or (many and bool(self.out))

    def fails(self, bar: float, now: float) -> bool:
        """Whether it, its zone or its kind fails that often."""
        for h in self.health:  # noqa: SIM110 - a generator for each server cost a third of a choice
            if h.bad.sum and h.fail(now) >= bar:
                return True
        return False


def listed(servers: dict[str, Backend], event: i.Members, make: Callable[[i.Server], Backend]) -> dict[str, Backend]:
    """The servers after a change of the list; one that started anew is a new one."""
    new = {} if event.scope in (i.Scope.FULL, i.Scope.CACHED) else dict(servers)
    for e in event.servers:
        b = servers.get(e.address)
        if b is None or b.entry.online_since_ms != e.online_since_ms:
            b = make(e)
        new[e.address], b.entry = b, e
    return {a: b for a, b in new.items() if b.entry.state is not i.State.GONE}


class Ticket:
    """A request that is owed an answer or has attempts out."""

    def __init__(
        self, r: i.Request, cls: i.RequestClass, c: Customer, keep: float, aim_at: float, number: int
    ) -> None:
        self.r, self.cls, self.c, self.keep, self.aim_at, self.number = r, cls, c, keep, aim_at, number
        self.grant = list[tuple[int, float]]()  # room drawn, once it is sent
        self.inside = self.done = False
        self.own = False  # whether its door's own part of the ceiling paid
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
        if b.idle:
            b.idle.pop()
        return n

    def back(self, attempt: int) -> None:
        self.out.discard(attempt)
        self.c.open -= 1


class Outbox:
    """Entries for peers, sent in messages of at most so many, as a token bucket of messages allows."""

    def __init__(self, form: Struct, per_s: float, burst: float, most: int, now: float) -> None:
        self.form, self.per_ms, self.burst, self.most = form, per_s / 1000, burst, most
        self.tokens, self.at = burst, now
        self.waiting: dict[int, list[tuple]] = {}
        self.repeats: list[tuple[int, tuple]] = []

    def post(self, to: int, entry: tuple, again: bool = False) -> None:
        """``again``: once more at the next call of ``repeat``; who hears it twice must take it once."""
        self.waiting.setdefault(to, []).append(entry)
        if again:
            self.repeats.append((to, entry))

    def repeat(self) -> None:
        repeats, self.repeats = self.repeats, []
        for to, entry in repeats:
            self.post(to, entry)

    def free(self, now: float) -> float:
        """Messages that may go at once beside what waits."""
        return min(self.burst, self.tokens + (now - self.at) * self.per_ms) - len(self.waiting)

    def flush(self, now: float) -> list[tuple[int, str]]:
        """What goes out now: each peer's entries together, as far as the tokens last."""
        self.tokens, self.at = min(self.burst, self.tokens + (now - self.at) * self.per_ms), now
        out = []
        for to, entries in list(self.waiting.items()):
            while entries and self.tokens >= 1:
                self.tokens -= 1
                text = b85encode(b"".join(self.form.pack(*e) for e in entries[: self.most])).decode()
                out.append((to, text))
                del entries[: self.most]
            if not entries:
                del self.waiting[to]
        return out


def rendezvous(key: int, among: set[int], count: int) -> list[int]:
    """The few highest by rendezvous hashing."""
    return nsmallest(count, among, key=lambda p: crc32(b"%d %d" % (key, p)))


def around(key: int, first: int, spread: int, s: i.Settings, count: int) -> tuple[int, list[int]]:
    """How many doors a customer has, and its few keepers among those that are there."""
    doors = {(first + k) % s.gateways for k in range(min(spread, s.gateways))}
    doors = doors.intersection(s.present) or doors
    return len(doors), rendezvous(key, doors, count)


def unpack(form: Struct, text: str) -> list[tuple]:
    """The entries of a message; none if the text is not a message of ours."""
    try:
        return [e for e in form.iter_unpack(b85decode(text)) if all(map(math.isfinite, e))]
    except (ValueError, StructError):
        return []
