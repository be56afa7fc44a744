"""A virtual clock, processes with clocks of their own, and a network between them; all chance from one seed.

True time is the world's, in milliseconds. A process sees ``offset + rate * (true time since its start)``: clocks
share no zero and run apart. A process can be killed, stopped and continued as SIGSTOP does it: what comes meanwhile
waits in a queue, bounded as a socket's is, and its timers come late. What a process writes to its disk is there
after a moment, and only then; a kill loses what was not.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Protocol

from rushweir.fleet import commands

QUEUE = 400  # datagrams that wait for a process that is stopped
DISK_MS = (1.0, 12.0)


class Runs(Protocol):
    """What a process of the world runs: a core with calls and orders."""

    commands: deque

    def start(self, now: float) -> None: ...

    def next_at(self) -> float | None: ...

    def advance(self, now: float) -> None: ...

    def datagram(self, now: float, data: bytes) -> None: ...

    def file_saved(self, now: float, serial: int) -> None: ...


@dataclass(slots=True)
class Net:
    """What the network does to datagrams. ``cut`` holds pairs, from and to: one direction each."""

    delay_ms: tuple[float, float] = (0.5, 4.0)
    loss: float = 0.0
    doubled: float = 0.0
    corrupt: float = 0.0
    slow: float = 0.0  # share that takes far longer, and so is overtaken
    slow_ms: tuple[float, float] = (20.0, 400.0)
    cut: set[tuple[Any, Any]] = field(default_factory=set)


@dataclass(slots=True, eq=False)  # known by what it is, not by what is in it
class Process:
    name: Any  # of its place: its address
    core: Runs
    born: float
    offset: float
    rate: float
    up: bool = True
    stopped: bool = False
    queue: deque[bytes] = field(default_factory=deque)
    wake: int = 0  # the serial of the event that wakes it next
    wake_at: float = 0.0

    def clock(self, true: float) -> float:
        return self.offset + (true - self.born) * self.rate

    def true(self, clock: float) -> float:
        return self.born + (clock - self.offset) / self.rate


class World:
    """Processes by their places, and what is on its way."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.net = random.Random(seed), 0.0, Net()
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serial = 0
        self.at: dict[Any, Process] = {}
        self.disks: dict[Any, bytes] = {}
        self.counts: Counter[str] = Counter()
        self.watchers: list[Callable[[Process, Any], None]] = []  # told each order that is not the world's affair
        self.after: list[Callable[[Process], None]] = []  # called after each turn of a process

    # --- time ------------------------------------------------------------------------------------

    def later(self, ms: float, what: Callable[..., None], *arguments: Any) -> int:
        self.serial += 1
        heappush(self.events, (self.now + ms, self.serial, what, arguments))
        return self.serial

    def run(self, until: float) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, what, arguments = heappop(events)
            what(*arguments)
        self.now = until

    # --- processes -------------------------------------------------------------------------------

    def start(self, name: Any, make: Callable[[float, bytes | None], Runs], rate: float = 1.0) -> Process:
        """A process at a place that has none; ``make`` gets its clock and what its disk holds."""
        assert name not in self.at or not self.at[name].up, f"{name} is up"
        offset = self.rng.uniform(0, 1e9)
        p = self.at[name] = Process(name, make(offset, self.disks.get(name)), self.now, offset, rate)
        p.core.start(offset)
        self._turned(p)
        return p

    def kill(self, name: Any) -> None:
        p = self.at[name]
        p.up = False
        p.queue.clear()

    def stop(self, name: Any) -> None:
        self.at[name].stopped = True

    def go_on(self, name: Any) -> None:
        p = self.at[name]
        if p.up and p.stopped:
            p.stopped = False
            # As an event loop does: what can be read is read, then the timers that are due come.
            while p.queue and p.up:
                p.core.datagram(p.clock(self.now), p.queue.popleft())
                self._turned(p)
            self._wake(p, p.wake)

    def _wake(self, p: Process, serial: int) -> None:
        if not p.up or serial != p.wake:
            return
        if p.stopped:
            return  # ``go_on`` wakes it
        p.core.advance(p.clock(self.now))
        self._turned(p)

    def _turned(self, p: Process) -> None:
        """Carry out the orders of a process that did something."""
        orders = p.core.commands
        while orders:
            order = orders.popleft()
            if type(order) is commands.SendTo:
                self._send(p.name, order.address, order.data)
            elif type(order) is commands.SaveFile:
                self.later(self.rng.uniform(*DISK_MS), self._written, p, order)
            else:
                for watch in self.watchers:
                    watch(p, order)
        for look in self.after:
            look(p)
        at = p.core.next_at()
        if at is not None:
            after = max(self.now, p.true(at)) + 1e-6 - self.now  # never a moment too early by its own clock
            when = self.now + after  # as ``later`` has it: now + (then - now) may fall short of then by the last bit
            if p.wake_at != when or not p.wake:
                p.wake, p.wake_at = self.later(after, self._wake_by, p), when

    def _wake_by(self, p: Process) -> None:
        # The event's own serial is unknown to it: what counts is that it is the latest one that was set.
        if p.wake_at <= self.now:
            self._wake(p, p.wake)

    def _written(self, p: Process, order: commands.SaveFile) -> None:
        if p.up and p.stopped:
            self.later(5.0, self._written, p, order)
        elif p.up:
            self.disks[p.name] = order.data
            p.core.file_saved(p.clock(self.now), order.serial)
            self._turned(p)

    # --- network ---------------------------------------------------------------------------------

    def _send(self, source: Any, to: Any, data: bytes) -> None:
        net, rng = self.net, self.rng
        self.counts["sent"] += 1
        if (source, to) in net.cut or rng.random() < net.loss:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (rng.random() < net.doubled)):
            ms = rng.uniform(*(net.slow_ms if rng.random() < net.slow else net.delay_ms))
            self.later(ms, self._arrive, to, self._spoil(data) if rng.random() < net.corrupt else data)

    def _spoil(self, data: bytes) -> bytes:
        k = self.rng.randrange(len(data))
        return data[:k] + bytes([data[k] ^ 1 << self.rng.randrange(8)]) + data[k + 1 :]

    def _arrive(self, to: Any, data: bytes) -> None:
        p = self.at.get(to)
        if p is None or not p.up:
            return
        if p.stopped:
            if len(p.queue) < QUEUE:
                p.queue.append(data)
            return
        p.core.datagram(p.clock(self.now), data)
        self._turned(p)

    def split(self, *sides: Iterable[Any]) -> None:
        """Cut between the sides, both ways."""
        groups = [list(s) for s in sides]
        for a in groups:
            for b in groups:
                if a is not b:
                    self.net.cut |= {(x, y) for x in a for y in b}
