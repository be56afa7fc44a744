"""Members that share budgets in a world: each has demand of its own and spends what its part allows.

What must hold: at each instant what all may spend is within the whole, and what they spent is no more than what one
token bucket would have given.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, UNIT, BudgetTotal, Share, ShareChanged
from rushweir.fleet.core import Fleet
from rushweir.fleet.settings import FleetSettings
from rushweir.lab.sim.fleets import KEY, Broken, Members
from rushweir.lab.sim.world import Process, World

TERM_MS = 2_000.0
AWAY_MS = 300.0  # a process whose turns are so far apart may have been stopped


class Bucket:
    """A part as a spender uses it; it begins empty."""

    def __init__(self, now: float) -> None:
        self.part, self.level, self.at = NO_SHARE, 0.0, now
        self.spilled = 0.0  # what there was no room for, in all

    def fill(self, now: float) -> None:
        level, most = self.level + self.part.rate * (now - self.at) / 1000, float(self.part.burst)
        self.spilled += max(0.0, level - most)
        self.level, self.at = min(most, level), now

    def change(self, now: float, part: Share, add: int) -> None:
        self.fill(now)
        self.part = part
        self.level = min(float(part.burst), self.level + add)

    def take(self, now: float, amount: int) -> bool:
        self.fill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Spender:
    """One process: a member, its budgets, and what it does with its parts."""

    def __init__(self, fleet: Fleet, budgets: Budgets, spent: Callable[[str, int], None]) -> None:
        self.fleet, self.budgets, self.spent = fleet, budgets, spent
        self.commands: deque = fleet.commands
        self.buckets: dict[str, Bucket] = {}
        self.looked_at = -1e9  # in true time: when what all may spend was summed up last
        self.changed = False
        budgets.bucket_state = self._bucket
        self.counts: Counter[str] = Counter()

    def start(self, now: float) -> None:
        self.fleet.start(now)
        self.budgets.start(now)

    def next_at(self) -> float | None:
        return self.fleet.next_at()

    def advance(self, now: float) -> None:
        self._turn(now)
        self.fleet.advance(now)
        self._take(now)

    def datagram(self, now: float, data: bytes) -> None:
        self._turn(now)
        self.fleet.datagram(now, data)
        self._take(now)

    def file_saved(self, now: float, serial: int) -> None:
        self._turn(now)
        self.fleet.file_saved(now, serial)

    def want(self, now: float, name: str, whole: BudgetTotal, amount: int) -> bool:
        """A request: served if its part has the amount."""
        self._turn(now)
        self.budgets.record_demand(now, name, whole, amount)
        self._take(now)
        bucket = self.buckets.get(name)
        self.counts["asked"] += amount
        if bucket is not None and bucket.take(now, amount):
            self.counts["served"] += amount
            self.spent(name, amount)
            return True
        return False

    def _bucket(self, name: str) -> tuple[int, int]:
        bucket = self.buckets.get(name)
        if bucket is None:
            return 0, 0
        bucket.fill(self.fleet.now)
        return int(bucket.spilled), int(bucket.part.burst - bucket.level)

    def leave(self, now: float) -> None:
        self._turn(now)
        self.budgets.stop(now)
        self._take(now)
        self.fleet.leave(now)

    def _turn(self, now: float) -> None:
        self.fleet.now = now
        self.budgets.expire_leases(now)
        self._take(now)

    def _take(self, now: float) -> None:
        changes, self.budgets.changes = self.budgets.changes, []
        self.changed |= bool(changes)
        for c in changes:
            assert isinstance(c, ShareChanged)
            if c.retained_key:
                continue  # nobody asks a keeper here: what it has counts in the sums, and is not spent
            self.buckets.setdefault(c.name, Bucket(now)).change(now, c.share, c.added_tokens)

    # the world looks at the member
    @property
    def lease_acceptor(self) -> Any:
        return self.fleet.lease_acceptor

    def __getattr__(self, name: str) -> Any:
        return getattr(self.fleet, name)


class Meter:
    """One ideal bucket that sees all that is spent, in true time: how far they were beyond it at worst."""

    def __init__(self, whole: BudgetTotal) -> None:
        self.whole, self.debt, self.at, self.worst = whole, 0.0, 0.0, 0.0
        self.rate, self.burst = whole.rate, whole.burst

    def spend(self, now: float, amount: int) -> None:
        self.debt = max(0.0, self.debt - self.rate * (now - self.at) / 1000) + amount
        self.at = now
        self.worst = max(self.worst, self.debt - self.burst)


class Sharers(Members):
    """A fleet whose members share budgets."""

    def __init__(self, world: World, seeds: int, most: int, drift: float = 0.0, **settings: Any) -> None:
        super().__init__(world, seeds, most, drift, **settings)
        self.wholes: dict[str, BudgetTotal] = {}
        self.meters: dict[str, Meter] = {}
        self.settings_of: dict[
            tuple[int, str], BudgetTotal
        ] = {}  # at a place, where they are others than the first ones
        self.acts: dict[tuple[Any, str], BudgetTotal] = {}  # what a place acts on, as it was asked last
        self.term = TERM_MS
        self.budgets: Callable[[Fleet], Budgets] = lambda fleet: Budgets(fleet, self.term)
        world.after.append(self._sum)

    def share(self, name: str, whole: BudgetTotal) -> None:
        self.wholes[name] = whole
        self.meters[name] = Meter(whole)

    def _fleet(self, settings: FleetSettings, seed: int, now: float, kept: bytes | None) -> Any:
        fleet = Fleet(settings, KEY, seed, now, kept)
        return Spender(fleet, self.budgets(fleet), self._spent)

    def _spent(self, name: str, amount: int) -> None:
        meter = self.meters[name]
        meter.spend(self.world.now, amount)
        # A thousandth for each part that was rounded, and no more.
        if meter.worst > self.most:
            raise Broken(f"{name}: {meter.worst / UNIT:.2f} units more than one bucket had given")

    def want(self, k: int, name: str, units: int = 1) -> bool | None:
        """A request at a place, if somebody is there to take it."""
        p = self.world.at.get(self.place(k))
        if p is None or not p.up or p.stopped or p.core.leaving:
            return None
        whole = self.acts[p.name, name] = self.settings_of.get((k, name), self.wholes[name])
        done = p.core.want(p.clock(self.world.now), name, whole, units * UNIT)
        self.world._turned(p)
        return done

    def _sum(self, p: Process) -> None:
        """What all that could act at this moment may spend, against the whole. It grows only where a part changes, or
        where a process goes on that was stopped."""
        now, core = self.world.now, p.core
        stopped, core.looked_at = now - core.looked_at > AWAY_MS, now
        if not (core.changed or stopped):
            return
        core.changed = False
        for name in self.wholes:
            if name not in p.core.buckets:
                continue
            rate = burst = 0
            whole = self.largest(name)
            for other in self.world.at.values():
                if other.up and not other.stopped:
                    part = self._part(other, name)
                    rate, burst = rate + part.rate, burst + part.burst
            if rate > whole.rate or burst > whole.burst:
                raise Broken(f"{name}: parts of {rate} and {burst} of a whole of {whole.rate} and {whole.burst}")

    def largest(self, name: str) -> BudgetTotal:
        """Of what processes act on: settings are read anew by one after the other."""
        up = [p.name for p in self.world.at.values() if p.up]
        return max((self.acts.get((n, name), self.wholes[name]) for n in up), key=lambda w: (w.rate, w.burst))

    def _part(self, p: Process, name: str) -> Share:
        core, now = p.core, p.clock(self.world.now)
        fleet, was = core.fleet, core.fleet.now
        fleet.now = now
        seated = fleet.assigned_slot if fleet.assigned_slot >= 0 and fleet.is_leader() else fleet.slot()
        part = core.budgets.share(now, name) if seated >= 0 or name in core.buckets else NO_SHARE
        part += core.budgets.retained_share(now, name)
        fleet.now = was
        return part
