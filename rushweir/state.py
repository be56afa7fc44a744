"""Plain records that the rules keep, and generic arithmetic; no decision is made here."""

import math
from collections import deque
from collections.abc import Callable
from heapq import nsmallest
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


def rendezvous(key: int, among: set[int], count: int) -> list[int]:
    """The few highest by rendezvous hashing."""
    return nsmallest(count, among, key=lambda p: crc32(b"%d %d" % (key, p)))


def gateways_and_owners(key: int, first: int, spread: int, s: i.Settings, count: int) -> tuple[int, list[int]]:
    """How many doors a customer has, and its few keepers among those that are there."""
    doors = {(first + k) % s.gateways for k in range(min(spread, s.gateways))}
    doors = doors.intersection(s.present_gateways) or doors
    return len(doors), rendezvous(key, doors, count)
