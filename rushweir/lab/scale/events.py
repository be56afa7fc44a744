"""Events of a fleet on virtual clocks (lab/sim): what each costs, what is served meanwhile, when all is as before.

The members and their budgets are the real cores; the network takes 0.5 to 4 ms and loses one datagram in a hundred;
clocks run 0.05% apart. Each third member has a ceiling of its own that is lent at nine doors and asked for there.
What is up and has a number works: ``working`` is the share of all places, ``served`` that of the units asked for at
all doors, each against what it is while all is calm. Nothing of the quotas' mail or of requests beyond is in it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from rushweir.budgets.records import BudgetTotal
from rushweir.lab.scale.accounts import kind_of
from rushweir.lab.sim.fleets import Members
from rushweir.lab.sim.spenders import Sharers
from rushweir.lab.sim.world import Process, World

SEEDS, DOORS, ASKS_PER_S, ZONES = 3, 9, 4.0, 6
DRIFT, LOSS = 0.0005, 0.01
CALM_MS, LOOK_MS, LONGEST_MS = 10_000.0, 100.0, 180_000.0
RACK, RACK_AWAY_MS, ZONE_AWAY_MS = 40, 2_000.0, 10_000.0
SPLIT_MS, SPLIT_KEEP_MS = 120_000.0, 20_000.0  # an hour, and the ten minutes after which a number may be another's
PACE_MS, FAST_MS, ROLLED, FAST_ROLLED, AWAY_MS = 180_000.0, 1_800.0, 2, 20, 500.0  # 480 a day: one in 180 s


class Counting(World):
    """A world that counts what is sent by kind, and by who sent it."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.kinds: dict[str, list[int]] = {}
        self.by: Counter[Any] = Counter()

    def _send(self, source: Any, to: Any, data: bytes) -> None:
        entry = self.kinds.setdefault(kind_of(data), [0, 0])
        entry[0] += 1
        entry[1] += len(data)
        self.by[source] += len(data)
        super()._send(source, to, data)


class Fleet(Sharers):
    """Members with budgets. That parts keep within the whole at each instant is for days to see (lab/sim/days.py)."""

    def _sum(self, p: Process) -> None: ...


@dataclass(slots=True)
class Sums:
    """Since the last look at them."""

    at: float
    sent: int = 0
    sent_bytes: int = 0
    asked: int = 0
    served: int = 0
    missed: int = 0  # asked where nobody was


class Play:
    """One fleet, from its start through an event to the time when all is as before."""

    def __init__(self, size: int, seed: int, **settings: Any) -> None:
        self.size, self.world = size, Counting(seed)
        self.fleet = Fleet(self.world, SEEDS, size, DRIFT, **settings)
        self.world.net.loss = LOSS
        self.counts: Counter[str] = Counter()
        self.working: list[float] = []  # share of places, at each look
        for n in range(max(1, size // 3)):
            name, first, doors = f"shared-{n}", n * 3 % size, min(DOORS, size)
            self.fleet.share(
                name, BudgetTotal.from_units(2 * ASKS_PER_S * doors, 4 * ASKS_PER_S * doors, 0.25, first, doors)
            )
            for k in range(doors):
                self.world.later(self.world.rng.uniform(0, 1_000.0), self._ask, (first + k) % size, name)

    def _ask(self, k: int, name: str) -> None:
        # Numbers are given in any order: a budget's doors are those with its numbers, wherever they are.
        place = self.places().get(k)
        done = None if place is None else self.fleet.want(place, name)
        self.counts["missed" if done is None else "served" if done else "refused"] += 1
        self.world.later(self.world.rng.expovariate(ASKS_PER_S) * 1000, self._ask, k, name)

    def places(self) -> dict[int, int]:
        """Where the process with each number is."""
        if self.world.now - self.looked_at > LOOK_MS:
            self.looked_at = self.world.now
            self.numbers = {
                p.core.assigned_slot: k for k in range(self.size)
                if (p := self._up(k)) is not None and p.core.assigned_slot >= 0
            }  # fmt: skip
        return self.numbers

    looked_at, numbers = -inf, {}

    def _up(self, k: int) -> Process | None:
        p = self.world.at.get(Members.place(k))
        return p if p is not None and p.up else None

    def start(self, k: int) -> None:
        if self._up(k) is None:
            self.fleet.start(k)

    def kill(self, k: int, away_ms: float) -> None:
        """Gone without a word, and back after a while as another process."""
        if self._up(k) is not None:
            self.world.kill(Members.place(k))
            self.world.later(away_ms, self.start, k)

    def restart(self, k: int) -> None:
        """In order: the number is given back, and a new process asks for one."""
        p = self._up(k)
        if p is not None:
            p.core.leave(p.clock(self.world.now))
            self.world._turned(p)
            self._gone(k, p)

    def _gone(self, k: int, p: Process) -> None:
        if p.core.left:
            p.up = False
            self.world.later(AWAY_MS, self.start, k)
        else:
            self.world.later(10.0, self._gone, k, p)

    def split(self, ms: float) -> None:
        places = [Members.place(k) for k in range(self.size)]
        self.world.split(places[::2], places[1::2])
        self.world.later(ms, self.world.net.cut.clear)

    # --- what is seen ----------------------------------------------------------------------------

    def together(self) -> bool:
        """All are up, with a number each, in one view that they may act on."""
        up = [p for k in range(self.size) if (p := self._up(k)) is not None]
        if len(up) < self.size or len({p.core.view.number for p in up}) != 1:
            return False
        return all(self._works(p) and p.core.fleet.is_view_current() for p in up)

    def _works(self, p: Process) -> bool:
        p.core.fleet.now = p.clock(self.world.now)
        return not p.core.leaving and p.core.fleet.slot() >= 0

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> float:
        """So long, or until something holds; how long it was."""
        began = self.world.now
        while self.world.now - began < ms and not until():
            self.world.run(self.world.now + LOOK_MS)
            up = (self._up(k) for k in range(self.size))
            self.working.append(sum(p is not None and self._works(p) for p in up) / self.size)
        return self.world.now - began

    def sums(self) -> Sums:
        c, kinds = self.counts, self.world.kinds.values()
        return Sums(
            self.world.now, sum(n for n, _ in kinds), sum(b for _, b in kinds),
            sum(c.values()), c["served"], c["missed"],
        )  # fmt: skip


Change = Callable[[Play], float]  # what happens; tells for how long


def rack(play: Play) -> float:
    """The last 40, no seed among them: seeds stand in racks of their own."""
    for k in range(max(SEEDS, play.size - RACK), play.size):
        play.kill(k, RACK_AWAY_MS)
    return RACK_AWAY_MS


def zone(play: Play) -> float:
    """A sixth, with one of the seeds."""
    for k in range(1, play.size, ZONES):
        play.kill(k, ZONE_AWAY_MS)
    return ZONE_AWAY_MS


def split(play: Play) -> float:
    play.split(SPLIT_MS)
    return SPLIT_MS


def roll(play: Play) -> float:
    return _rolled(play, ROLLED, PACE_MS)


def roll_fast(play: Play) -> float:
    return _rolled(play, FAST_ROLLED, FAST_MS)


def _rolled(play: Play, count: int, pace_ms: float) -> float:
    for n in range(count):
        play.world.later(n * pace_ms, play.restart, (SEEDS + n) % play.size)
    return (count - 1) * pace_ms + AWAY_MS


EVENTS: dict[str, tuple[Change, dict[str, float]]] = {
    "rack": (rack, {}), "zone": (zone, {}), "split": (split, {"keep_ms": SPLIT_KEEP_MS}),
    "roll": (roll, {}), "roll-fast": (roll_fast, {}),
}  # fmt: skip


def play(event: str, size: int, seed: int) -> list[tuple[str, str, float, float]]:
    """Figure, unit, value and the virtual seconds that it is of."""
    change, settings = EVENTS[event]
    p = Play(size, seed, **settings)
    for k in range(size):
        p.world.later(p.world.rng.uniform(0, 200.0), p.start, k)
    out = [("start", "s", p.run(2 * LONGEST_MS, p.together) / 1000, 0.0)]
    p.run(CALM_MS)  # budgets are lent by then
    before = p.sums()
    p.run(CALM_MS)
    calm = p.sums()
    p.working.clear()
    p.world.by.clear()
    took = change(p)
    p.run(took)
    ended = p.sums()
    # The last of those that went has to be seen to be away before all can be as it was.
    back = p.run(LONGEST_MS, p.together)
    after = p.sums()
    calm_s, event_s = (calm.at - before.at) / 1000, (after.at - calm.at) / 1000
    rate = (calm.sent_bytes - before.sent_bytes) / size / calm_s
    busiest = max(p.world.by.values(), default=0) / event_s
    served = [(b.served - a.served) / max(1, b.asked - a.asked) for a, b in ((before, calm), (calm, after))]
    return [
        *out,
        ("back", "s", back / 1000, event_s),
        ("back_in_time", "1", float(p.together()), event_s),
        ("working_mean", "1", sum(p.working) / len(p.working), event_s),
        ("working_least", "1", min(p.working), event_s),
        ("served_calm", "1", served[0], calm_s),
        ("served_meanwhile", "1", served[1], event_s),
        ("missed_meanwhile", "1", (after.missed - calm.missed) / max(1, after.asked - calm.asked), event_s),
        ("sent_calm", "B/s", rate, calm_s),
        ("sent_meanwhile", "B/s", (after.sent_bytes - calm.sent_bytes) / size / event_s, event_s),
        ("sent_busiest", "B/s", busiest, event_s),
        ("datagrams_meanwhile", "1/s", (after.sent - calm.sent) / size / event_s, event_s),
        ("event", "s", (ended.at - calm.at) / 1000, event_s),
    ]
