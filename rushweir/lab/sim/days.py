"""Random days of a simulated fleet: a script of faults drawn from a seed, played, checked at each step, and cut down
to the shortest script that still breaks what it broke.

A script is a list of steps, each a time, a fault and its arguments, so that it can be read, kept and played again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rushweir.lab.sim.fleets import Broken, Members
from rushweir.lab.sim.world import World

Step = tuple[float, str, tuple]
SLOW_MS = (20.0, 400.0)  # of a datagram that is overtaken
LONGEST_MS = 20_000.0  # of a fault
QUIET_MS = 30_000.0  # after the last fault, until all must have found together


@dataclass(frozen=True, slots=True)
class Size:
    """How large a day is, and what its members are told."""

    seeds: int = 3
    members: int = 9  # at the start; as many more places wait
    length_ms: float = 40_000.0
    faults: int = 14
    drift: float = 0.01
    settings: dict[str, Any] = field(default_factory=lambda: {"keep_ms": 6_000.0, "view_ms": 3_000.0})


FAULTS = (
    "kill", "restart", "stop", "stop", "leave", "join", "one_way", "halves", "thirds", "alone", "noise", "lag", "all",
    "tenth", "usurp",
)  # fmt: skip


def draw(seed: int, size: Size) -> list[Step]:
    """The script of a day."""
    rng, places, steps = random.Random(seed), 2 * size.members, list[Step]()
    for _ in range(size.faults):
        at, what = rng.uniform(2_000.0, size.length_ms), rng.choice(FAULTS)
        k, ms = rng.randrange(places), rng.uniform(500.0, LONGEST_MS)
        match what:
            case "stop" | "one_way" | "noise" | "alone" | "usurp" | "lag":
                steps.append((at, what, (k, rng.randrange(places), ms)))
            case "halves" | "thirds":
                order = list(range(places))
                rng.shuffle(order)
                steps.append((at, what, (tuple(order), ms)))
            case "all" | "tenth":
                steps.append((at, what, (rng.randrange(1 << 30), ms / 4)))
            case _:
                steps.append((at, what, (k,)))
    return sorted(steps)


class Day:
    """One day being played."""

    kind = Members

    def __init__(self, seed: int, size: Size, script: list[Step], make: Callable | None = None) -> None:
        self.size, self.script = size, script
        self.world = World(seed)
        self.fleet = self.kind(self.world, size.seeds, 2 * size.members, size.drift, **size.settings)
        if make is not None:
            self.fleet.make = make
        self.world.net.loss = 0.02
        self.away: set[int] = set()  # places that left for good

    def play(self) -> None:
        """Raises Broken."""
        for k in range(self.size.members):
            self.world.later(self.world.rng.uniform(0, 1_500.0), self._up, k)
        for at, what, arguments in self.script:
            self.world.later(at, getattr(self, what), *arguments)
        end = max([self.size.length_ms, *(s[0] + LONGEST_MS for s in self.script)])
        self.world.run(end)
        self._heal()
        self.world.run(end + QUIET_MS)
        self._found_together()

    def _heal(self) -> None:
        self.world.net.cut.clear()
        self._calm()
        self.world.net.loss = 0.0
        for k in range(2 * self.size.members):
            if self._is_up(k):
                self.world.go_on(Members.place(k))
            elif k < self.size.members and k not in self.away:
                self._up(k)

    def _found_together(self) -> None:
        """All that are up hold one view, in force, with a seat for each."""
        up = self.fleet.up()
        views = {p.core.view.number for p in up}
        lost = [p.name[0] for p in up if not self._seated(p) or not self._current(p)]
        if len(views) != 1 or lost:
            raise Broken(f"{QUIET_MS / 1000:g} s after the last fault: views {sorted(views)}, without a seat {lost}")

    def _seated(self, p: Any) -> bool:
        p.core.now = p.clock(self.world.now)
        return p.core.slot() >= 0

    def _current(self, p: Any) -> bool:
        return p.core.is_view_current()

    # --- faults ----------------------------------------------------------------------------------

    def _is_up(self, k: int) -> bool:
        p = self.world.at.get(Members.place(k))
        return p is not None and p.up

    def _up(self, k: int) -> None:
        if not self._is_up(k):
            self.fleet.start(k)

    def kill(self, k: int) -> None:
        if self._is_up(k):
            self.world.kill(Members.place(k))

    def restart(self, k: int, after_ms: float = 300.0) -> None:
        if self._is_up(k):
            self.kill(k)
            self.world.later(after_ms, self._up, k)

    def join(self, k: int) -> None:
        self.away.discard(k)
        self._up(k)

    def leave(self, k: int) -> None:
        if k >= self.size.seeds and self._is_up(k):
            p = self.world.at[Members.place(k)]
            if not p.stopped:
                self.away.add(k)
                p.core.leave(p.clock(self.world.now))
                self.world._turned(p)
                self.world.later(1_000.0, self._gone, p)

    def _gone(self, p: Any) -> None:
        p.up = False

    def stop(self, k: int, _: int, ms: float) -> None:
        if self._is_up(k):
            place, p = Members.place(k), self.world.at[Members.place(k)]
            self.world.stop(place)
            self.world.later(2 * ms, self._go_on, place, p)

    def _go_on(self, place: Any, p: Any) -> None:
        if self.world.at.get(place) is p:
            self.world.go_on(place)

    def one_way(self, a: int, b: int, ms: float) -> None:
        """All that A's room says to B's is lost; what B's says to A's arrives."""
        others = range(2 * self.size.members)
        self._cut({(Members.place(x), Members.place(y)) for x in others for y in others
                   if x % 3 == a % 3 != y % 3}, ms)  # fmt: skip

    def alone(self, k: int, way: int, ms: float) -> None:
        """One member is not heard, or hears nothing, or both."""
        others = [x for x in range(2 * self.size.members) if x != k]
        out = {(Members.place(k), Members.place(x)) for x in others}
        into = {(b, a) for a, b in out}
        self._cut((out, into, out | into)[way % 3], ms)

    def usurp(self, k: int, _: int, ms: float) -> None:
        """A seed is cut off, and the others restart at once: they know nothing of what they granted it."""
        self.alone(k % self.size.seeds, 2, ms)
        for other in range(self.size.seeds):
            if other != k % self.size.seeds:
                self.restart(other, 50.0)

    def halves(self, order: tuple[int, ...], ms: float) -> None:
        self._split([order[: len(order) // 2], order[len(order) // 2 :]], ms)

    def thirds(self, order: tuple[int, ...], ms: float) -> None:
        self._split([order[k::3] for k in range(3)], ms)

    def _split(self, sides: list, ms: float) -> None:
        pairs = {
            (Members.place(x), Members.place(y))
            for a in sides for b in sides if a is not b for x in a for y in b
        }  # fmt: skip
        self._cut(pairs, ms)

    def _cut(self, pairs: set, ms: float) -> None:
        new = pairs - self.world.net.cut  # another cut's pairs heal with that one
        self.world.net.cut |= new
        self.world.later(ms, self._mend, new)

    def _mend(self, pairs: set) -> None:
        self.world.net.cut -= pairs

    def noise(self, _: int, __: int, ms: float) -> None:
        net = self.world.net
        net.loss, net.doubled, net.corrupt, net.slow = 0.2, 0.1, 0.02, 0.2
        self.world.later(ms, self._calm)

    def lag(self, _: int, __: int, ms: float) -> None:
        """Datagrams wait in queues on their way, for longer than rights last."""
        net = self.world.net
        net.slow, net.slow_ms = 0.5, (300.0, 2_500.0)
        self.world.later(ms, self._calm)

    def _calm(self) -> None:
        net = self.world.net
        net.loss, net.doubled, net.corrupt, net.slow, net.slow_ms = 0.02, 0.0, 0.0, 0.0, SLOW_MS

    def all(self, _: int, ms: float) -> None:
        for k in range(2 * self.size.members):
            self.restart(k, ms)

    def tenth(self, _: int, ms: float) -> None:
        """One after the other, each back before the next goes."""
        for n, k in enumerate(range(self.size.members)):
            self.world.later(n * 800.0, self.restart, k, 300.0)


def check(
    seed: int, size: Size, script: list[Step] | None = None, make: Callable | None = None, kind: type[Day] = Day
) -> str:
    """What a day broke; nothing if all held."""
    try:
        kind(seed, size, draw(seed, size) if script is None else script, make).play()
    except Broken as problem:
        return str(problem)
    return ""


def cut_down(seed: int, size: Size, script: list[Step], broke: Callable[[list[Step]], bool]) -> list[Step]:
    """A script of which no step can be left out without losing what it breaks."""
    size_, n = len(script), 2
    while size_ > 1:
        chunk = max(1, len(script) // n)
        for k in range(0, len(script), chunk):
            shorter = script[:k] + script[k + chunk :]
            if broke(shorter):
                script, n = shorter, max(2, n - 1)
                break
        else:
            if chunk == 1:
                break
            n = min(len(script), 2 * n)
        size_ = len(script)
    return script
