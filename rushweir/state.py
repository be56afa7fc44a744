"""Records and arithmetic that the policy decides by: rates, means, partitions, servers. No decision is made here."""

import math
from collections import deque
from collections.abc import Callable
from heapq import nsmallest
from zlib import crc32

from rushweir import interface


class DecayingRate:
    """A sum of amounts that decays exponentially; ``memory_ms`` is the time constant of the decay."""

    __slots__ = ("updated_at", "memory_ms", "decayed_sum")

    def __init__(self, memory_ms: float, now: float) -> None:
        self.decayed_sum = 0.0
        self.memory_ms = memory_ms
        self.updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Decay the sum up to now and add an amount to it."""
        self.decayed_sum = self.total(now) + amount
        self.updated_at = now

    def total(self, now: float) -> float:
        """The decayed sum, in units of the amounts."""
        # Most rates of failures are zero and are read for each choice of a server: they skip the exponential.
        return self.decayed_sum * math.exp((self.updated_at - now) / self.memory_ms) if self.decayed_sum else 0.0

    def per_s(self, now: float) -> float:
        """The mean amount per second over the memory."""
        return self.total(now) * 1000 / self.memory_ms


class RunningMean:
    """A running mean whose initial value counts as two samples."""

    __slots__ = ("count", "value")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 2

    def update(self, sample: float, least_weight: float) -> None:
        """Add a sample, with the weight of one among all so far, or with ``least_weight`` if that is more."""
        self.count += 1
        self.value += max(least_weight, 1 / self.count) * (sample - self.value)


class Partitions:
    """The partitions of the in-flight capacity, one for each length range, and the units in use of each."""

    def __init__(self) -> None:
        self.sizes = [0.0]
        self.used = [0.0]

    def resize(self, count: int, shares: list[tuple[int, float]]) -> None:
        """Make ``count`` partitions; each share adds units to the size of the partition that it names."""
        self.sizes = [0.0] * count
        self.used += [0.0] * (count - len(self.used))
        for index, size in shares:
            self.sizes[index] += size

    def utilization(self) -> float:
        """The share of all capacity that is in use; above 1 if it is overdrawn."""
        return sum(self.used) / max(1e-9, sum(self.sizes))

    def reserve(self, order: list[int], amount: float) -> list[tuple[int, float]]:
        """Take units from the partitions in this order; what they lack is taken from the first.

        Returns the reservation: units taken by partition, to be given to ``release``.
        """
        reservation = []
        for index in order:
            reservation.append((index, min(amount, max(0.0, self.sizes[index] - self.used[index]))))
            amount -= reservation[-1][1]
        reservation.append((order[0], amount))
        for index, units in reservation:
            self.used[index] += units
        return reservation

    def release(self, reservation: list[tuple[int, float]]) -> None:
        """Return the units of a reservation."""
        for index, units in reservation:
            self.used[index] = max(0.0, self.used[index] - units)


class Health:
    """The recent failures of a server or a group of servers, and its latency relative to the usual one."""

    def __init__(self, memory_ms: float, now: float) -> None:
        self.failures = DecayingRate(memory_ms, now)
        self.outcomes = DecayingRate(memory_ms, now)
        self.relative_latency = RunningMean(1.0)

    def record(self, failed: bool, now: float) -> None:
        """Count an outcome."""
        self.failures.add(failed, now)
        self.outcomes.add(1, now)

    def failure_rate(self, now: float) -> float:
        """The share of recent outcomes that were failures, with one good outcome added."""
        failures = self.failures.total(now)
        return failures / (1 + self.outcomes.total(now)) if failures else 0.0


class ServerRecord:
    """One server as one gateway knows it; ``health``: its own, its zone's and its kind's."""

    def __init__(self, entry: interface.Server, weight: float, health: list[Health]) -> None:
        self.entry = entry
        self.weight = weight
        self.health = health
        self.relative_latency = 1.0  # relative to its kind
        self.last_answer_at = 0.0
        self.in_flight: dict[tuple[str, int], float] = {}  # when each attempt was sent, by request id and number
        # When each connection that is believed idle became so; the one used last is reused first.
        self.idle_connections: deque[float] = deque()

    def record_answer(self, now: float, idle_ms: float) -> None:
        """Note a complete answer: its connection is idle, and those idle for ``idle_ms`` are taken for closed."""
        self.last_answer_at = now
        self.idle_connections.append(now)
        while self.idle_connections and self.idle_connections[0] <= now - idle_ms:
            self.idle_connections.popleft()

    def has_free_connection(self, since: float, multiplexed: bool) -> bool:
        """Whether a connection for one more attempt is believed open: idle since ``since`` or later, or shared."""
        idle = bool(self.idle_connections and self.idle_connections[-1] >= since)
        return idle or (multiplexed and bool(self.in_flight))

    def is_failing(self, threshold: float, now: float) -> bool:
        """Whether the failure rate of the server, its zone or its kind reaches a threshold."""
        for health in self.health:  # noqa: SIM110 - a generator for each server cost a third of a choice
            if health.failures.decayed_sum and health.failure_rate(now) >= threshold:
                return True
        return False


def apply_member_update(
    servers: dict[str, ServerRecord],
    event: interface.Members,
    make_record: Callable[[interface.Server], ServerRecord],
) -> dict[str, ServerRecord]:
    """The servers after an update of the list, by address. A server that restarted gets a new record."""
    updated = {} if event.scope in (interface.Scope.FULL, interface.Scope.CACHED) else dict(servers)
    for entry in event.servers:
        record = servers.get(entry.address)
        if record is None or record.entry.online_since_ms != entry.online_since_ms:
            record = make_record(entry)
        updated[entry.address] = record
        record.entry = entry
    return {address: record for address, record in updated.items() if record.entry.state is not interface.State.GONE}


def rendezvous(key: int, candidates: set[int], count: int) -> list[int]:
    """The first ``count`` candidates for a key by rendezvous hashing."""
    return nsmallest(count, candidates, key=lambda candidate: crc32(b"%d %d" % (key, candidate)))


def gateways_and_owners(
    key: int, first_gateway: int, gateway_count: int, settings: interface.Settings, owner_count: int
) -> tuple[int, list[int]]:
    """How many gateways a customer comes through, and its first owners among those that are running."""
    gateways = {
        (first_gateway + offset) % settings.gateways for offset in range(min(gateway_count, settings.gateways))
    }
    gateways = gateways.intersection(settings.present_gateways) or gateways
    return len(gateways), rendezvous(key, gateways, owner_count)
