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


class DecayingRate:
    """An amount per second, forgotten exponentially."""

    __slots__ = ("updated_at", "memory_ms", "decayed_sum")

    def __init__(self, memory: float, now: float) -> None:
        self.decayed_sum, self.memory_ms, self.updated_at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.decayed_sum, self.updated_at = self.total(now) + amount, now

    def total(self, now: float) -> float:
        # Of nothing nothing is left: most rates of failures are none, and are asked for at each choice.
        return self.decayed_sum * math.exp((self.updated_at - now) / self.memory_ms) if self.decayed_sum else 0.0

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory_ms


class RunningMean:
    """A running mean: the first value counts as two samples, later ones at least by a given weight."""

    __slots__ = ("count", "value")

    def __init__(self, value: float) -> None:
        self.value, self.count = value, 2

    def update(self, sample: float, least: float) -> None:
        self.count += 1
        self.value += max(least, 1 / self.count) * (sample - self.value)


class Partitions:
    """Room cut into parts, and how much of each is in use."""

    def __init__(self) -> None:
        self.sizes, self.used = [0.0], [0.0]

    def resize(self, count: int, shares: list[tuple[int, float]]) -> None:
        self.sizes = [0.0] * count
        self.used += [0.0] * (count - len(self.used))
        for k, size in shares:
            self.sizes[k] += size

    def utilization(self) -> float:
        return sum(self.used) / max(1e-9, sum(self.sizes))

    def reserve(self, order: list[int], amount: float) -> list[tuple[int, float]]:
        """Take an amount from the parts in this order; what they lack comes from the first."""
        grant = []
        for k in order:
            grant.append((k, min(amount, max(0.0, self.sizes[k] - self.used[k]))))
            amount -= grant[-1][1]
        grant.append((order[0], amount))
        for k, part in grant:
            self.used[k] += part
        return grant

    def release(self, grant: list[tuple[int, float]]) -> None:
        for k, part in grant:
            self.used[k] = max(0.0, self.used[k] - part)


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


class Health:
    """How often something failed lately, and how slow it is against the usual."""

    def __init__(self, memory: float, now: float) -> None:
        self.failures, self.outcomes, self.relative_latency = (
            DecayingRate(memory, now),
            DecayingRate(memory, now),
            RunningMean(1.0),
        )

    def record(self, failed: bool, now: float) -> None:
        self.failures.add(failed, now)
        self.outcomes.add(1, now)

    def failure_rate(self, now: float) -> float:
        bad = self.failures.total(now)
        return bad / (1 + self.outcomes.total(now)) if bad else 0.0


class ServerRecord:
    """One server as one gateway knows it; its own health first, then those of its zone and its kind."""

    def __init__(self, entry: i.Server, weight: float, health: list[Health]) -> None:
        self.entry, self.weight, self.health = entry, weight, health
        self.relative_latency, self.last_answer_at = 1.0, 0.0
        self.in_flight: dict[tuple[str, int], float] = {}  # attempts out, and when they were sent
        self.idle_connections: deque[float] = (
            deque()
        )  # connections thought to be free, and since when; the latest is used first

    def record_answer(self, now: float, idle_ms: float) -> None:
        """A whole answer came: its connection is free."""
        self.last_answer_at = now
        self.idle_connections.append(now)
        while self.idle_connections and self.idle_connections[0] <= now - idle_ms:
            self.idle_connections.popleft()

    def has_free_connection(self, since: float, many: bool) -> bool:
        """Whether a connection is thought to be open for one more; ``many`` go over each at once."""
        return bool(self.idle_connections and self.idle_connections[-1] >= since) or (many and bool(self.in_flight))

    def is_failing(self, bar: float, now: float) -> bool:
        """Whether it, its zone or its kind fails that often."""
        for h in self.health:  # noqa: SIM110 - a generator for each server cost a third of a choice
            if h.failures.decayed_sum and h.failure_rate(now) >= bar:
                return True
        return False


def apply_member_update(
    servers: dict[str, ServerRecord], event: i.Members, make: Callable[[i.Server], ServerRecord]
) -> dict[str, ServerRecord]:
    """The servers after a change of the list; one that started anew is a new one."""
    new = {} if event.scope in (i.Scope.FULL, i.Scope.CACHED) else dict(servers)
    for e in event.servers:
        b = servers.get(e.address)
        if b is None or b.entry.online_since_ms != e.online_since_ms:
            b = make(e)
        new[e.address], b.entry = b, e
    return {a: b for a, b in new.items() if b.entry.state is not i.State.GONE}


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


class Outbox:
    """Entries for peers, sent in messages of at most so many, as a token bucket of messages allows."""

    def __init__(self, form: Struct, per_s: float, burst: float, most: int, now: float) -> None:
        self.entry_format, self.messages_per_ms, self.burst, self.max_entries = form, per_s / 1000, burst, most
        self.tokens, self.refilled_at = burst, now
        self.waiting: dict[int, list[tuple]] = {}
        self.repeats: list[tuple[int, tuple]] = []

    def enqueue(self, to: int, entry: tuple, again: bool = False) -> None:
        """``again``: once more at the next call of ``repeat``; who hears it twice must take it once."""
        self.waiting.setdefault(to, []).append(entry)
        if again:
            self.repeats.append((to, entry))

    def enqueue_repeats(self) -> None:
        repeats, self.repeats = self.repeats, []
        for to, entry in repeats:
            self.enqueue(to, entry)

    def available_messages(self, now: float) -> float:
        """Messages that may go at once beside what waits."""
        return min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms) - len(self.waiting)

    def flush(self, now: float) -> list[tuple[int, str]]:
        """What goes out now: each peer's entries together, as far as the tokens last."""
        self.tokens, self.refilled_at = (
            min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms),
            now,
        )
        out = []
        for to, entries in list(self.waiting.items()):
            while entries and self.tokens >= 1:
                self.tokens -= 1
                text = b85encode(b"".join(self.entry_format.pack(*e) for e in entries[: self.max_entries])).decode()
                out.append((to, text))
                del entries[: self.max_entries]
            if not entries:
                del self.waiting[to]
        return out


def rendezvous(key: int, among: set[int], count: int) -> list[int]:
    """The few highest by rendezvous hashing."""
    return nsmallest(count, among, key=lambda p: crc32(b"%d %d" % (key, p)))


def gateways_and_owners(key: int, first: int, spread: int, s: i.Settings, count: int) -> tuple[int, list[int]]:
    """How many doors a customer has, and its few keepers among those that are there."""
    doors = {(first + k) % s.gateways for k in range(min(spread, s.gateways))}
    doors = doors.intersection(s.present_gateways) or doors
    return len(doors), rendezvous(key, doors, count)


def unpack_entries(form: Struct, text: str) -> list[tuple]:
    """The entries of a message; none if the text is not a message of ours."""
    try:
        return [e for e in form.iter_unpack(b85decode(text)) if all(map(math.isfinite, e))]
    except (ValueError, StructError):
        return []
