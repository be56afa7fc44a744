"""The model of a dispatch node, in whatever time it is given: cores, a waiting room, cold start, falling over.

Not a measurement of any machine. Work is in milliseconds of one core of speed 1. Requests in work share the
cores; more than ``slots`` wait, more than ``queue`` waiting are turned away unseen. A node that holds more
than ``knee`` works less well. One that started is cold: its capacity grows evenly from ``cold_from`` to all
of it over ``cold_ms``. While cold, work sent to it in any ``fall_ms`` beyond ``fall_multiple`` times what it
can do in that time pushes it over, and it stays down. A cancel stops nothing, as in the users' own fleet.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(frozen=True, slots=True)
class NodeKind:
    """One kind of machine."""

    name: str = "std"
    cores: int = 2
    speed: float = 1.0
    slots: int = 16
    queue: int = 40
    thrash: float = 0.2
    knee: float = 10.0
    cold_from: float = 0.25
    cold_ms: float = 8_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 1_500.0


class NodeModel:
    """One node at work. Call ``advance`` before reading anything; ``finished`` holds the jobs that ended."""

    def __init__(self, kind: NodeKind, now: float, cold: bool) -> None:
        self.kind, self.now = kind, now
        self.started = now if cold else now - kind.cold_ms
        self.slow = 1.0  # all work takes so many times longer: a fault
        self.virtual = 0.0  # work that each request in work has got since the start
        self.running: list[tuple[float, int, object]] = []  # by the virtual time at which each is done
        self.waiting: deque[tuple[float, object]] = deque()
        self.serial = 0
        self.fallen = False
        self.recent: deque[tuple[float, float]] = deque()  # when work came, and how much
        self.recent_sum = 0.0
        self._done: list[object] = []  # ended while a request was taken, and not yet fetched

    def warmth(self, now: float) -> float:
        k = self.kind
        done = min(1.0, max(0.0, now - self.started) / k.cold_ms) if k.cold_ms else 1.0
        return k.cold_from + (1 - k.cold_from) * done

    def capacity(self, now: float) -> float:
        """Milliseconds of work a millisecond."""
        return self.kind.cores * self.kind.speed * self.warmth(now) / self.slow

    def rate(self) -> float:
        """What each request in work gets a millisecond."""
        n, k = len(self.running), self.kind
        if not n:
            return 0.0
        held = n + len(self.waiting)
        well = 1 / (1 + k.thrash * max(0.0, held / k.knee - 1))
        return k.speed * self.warmth(self.now) / self.slow * min(1.0, k.cores / n) * well

    def submit(self, now: float, job: object, work: float) -> bool:
        """Take a request; False where it is turned away, unseen. Work turned away is load all the same."""
        self._done = self.advance(now)
        self._budget(now, work)
        if self.fallen:
            return False
        if len(self.running) < self.kind.slots:
            self._run(job, work)
            return True
        if len(self.waiting) >= self.kind.queue:
            return False
        self.waiting.append((work, job))
        return True

    def advance(self, now: float) -> list[object]:
        """Let time pass; the jobs that ended meanwhile, in order."""
        done, self._done = self._done, []
        while self.running:
            rate = self.rate()
            need = (self.running[0][0] - self.virtual) / rate
            if need > now - self.now + 1e-6:  # less than that is rounding, and would never be caught up with
                self.virtual += (now - self.now) * rate
                break
            self.now += max(0.0, need)
            self.virtual = self.running[0][0]
            done.append(heappop(self.running)[2])
            if self.waiting:
                work, job = self.waiting.popleft()
                self._run(job, work)
        self.now = max(self.now, now)
        return done

    def next_at(self) -> float | None:
        """When ``advance`` finds something done, as far as can be told now."""
        if self._done:
            return self.now
        rate = self.rate()
        if not rate:
            return None
        # While the node warms up the rate grows, so that this is late by little; looked at again soon.
        due = self.now + max(0.0, self.running[0][0] - self.virtual) / rate
        return min(due, self.now + 50.0) if self.warmth(self.now) < 1 else due

    def _run(self, job: object, work: float) -> None:
        self.serial += 1
        heappush(self.running, (self.virtual + work, self.serial, job))

    def _budget(self, now: float, work: float) -> None:
        k = self.kind
        self.recent.append((now, work))
        self.recent_sum += work
        while self.recent[0][0] < now - k.fall_ms:
            self.recent_sum -= self.recent.popleft()[1]
        most = k.fall_multiple * self.capacity(now) * k.fall_ms
        if self.warmth(now) < 1 and self.recent_sum > most:
            self.fallen = True


class KeyMemory:
    """The keys that the nodes of one room remember, each for ``window_ms`` from its first arrival."""

    def __init__(self, window_ms: float, most: int = 200_000) -> None:
        self.window, self.most = window_ms, most
        self.keys: OrderedDict[str, tuple[float, object]] = OrderedDict()

    def first(self, now: float, key: str, what: object) -> object | None:
        """None for a key not known, which is noted; else what was noted for it."""
        while self.keys and (len(self.keys) > self.most or next(iter(self.keys.values()))[0] < now - self.window):
            self.keys.popitem(last=False)
        known = self.keys.get(key)
        if known is not None:
            return known[1]
        self.keys[key] = (now, what)
        return None

    def forget(self, key: str) -> None:
        self.keys.pop(key, None)


class Meter:
    """Use of each customer over all nodes, by finished periods, told late."""

    def __init__(self, period_ms: float, late_ms: float, rates: dict[str, float]) -> None:
        """``rates``: units a second of each customer's plan."""
        self.period, self.late, self.rates = period_ms, late_ms, rates
        self.counts: dict[int, dict[str, float]] = {}

    def add(self, now: float, customer: str, units: float) -> None:
        number = int(now // self.period)
        period = self.counts.setdefault(number, {})
        period[customer] = period.get(customer, 0.0) + units
        for old in [n for n in self.counts if n < number - 8]:
            del self.counts[old]

    def used(self, now: float, customer: str) -> int:
        """1 + percent of the rate used in the last period that has been added up; 0: nothing to tell."""
        rate = self.rates.get(customer, 0.0)
        if not rate:
            return 0
        number = int((now - self.late) // self.period) - 1
        return 1 + round(100 * self.counts.get(number, {}).get(customer, 0.0) / (rate * self.period / 1000))
