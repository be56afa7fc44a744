"""A fleet of members in a world, and what must hold of it at each step."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rushweir.fleet import commands
from rushweir.fleet.core import Fleet
from rushweir.fleet.settings import FleetSettings
from rushweir.lab.sim.world import Process, World

KEY = b"a key of the simulated fleet"


class Broken(AssertionError):
    """What must always hold did not."""


class Members:
    """Members at places ``("10.0.0.N", 7946)``; the first ``seeds`` of them are the seeds."""

    def __init__(self, world: World, seeds: int, most: int, drift: float = 0.0, **settings: Any) -> None:
        self.world, self.most, self.drift, self.settings = world, most, drift, settings
        self.seeds = tuple(self.place(k) for k in range(seeds))
        self.made: dict[int, tuple[bytes, Any]] = {}  # each view that was held, and by whom first
        self.owner: dict[int, Process] = {}  # who had a number last
        self.make: Callable[[FleetSettings, int, float, bytes | None], Fleet] = self._fleet
        world.watchers.append(self._told)
        world.after.append(self._look)
        self.lines: list[str] = []

    @staticmethod
    def place(k: int) -> tuple[str, int]:
        return f"10.0.{k // 250}.{k % 250 + 1}", 7946

    def _fleet(self, settings: FleetSettings, seed: int, now: float, kept: bytes | None) -> Fleet:
        return Fleet(settings, KEY, seed, now, kept)

    def start(self, k: int, wanted: int = -1) -> Process:
        place = self.place(k)
        s = FleetSettings(place, self.seeds, self.most, wanted, zone="abc"[k % 3], **self.settings)
        seed = self.world.rng.getrandbits(48)
        rate = 1.0 + self.world.rng.uniform(-self.drift, self.drift)
        return self.world.start(place, lambda now, kept: self.make(s, seed, now, kept), rate)

    def fleet(self, k: int) -> Fleet:
        return self.world.at[self.place(k)].core

    def up(self) -> list[Process]:
        return [p for p in self.world.at.values() if p.up]

    # --- what must hold --------------------------------------------------------------------------

    def _told(self, p: Process, order: Any) -> None:
        if type(order) is commands.ViewChanged:
            view = p.core.view
            digest, by = self.made.setdefault(view.number, (view.digest(), p.name))
            if digest != view.digest():
                raise Broken(f"view {view.number} is one thing at {by} and another at {p.name}")
            self._line(p, f"view {view.number} {sorted(view.slots)}")
        elif type(order) is commands.SlotChanged:
            self._line(p, f"seat {order.slot}")
            self._only(p)
        elif type(order) is commands.LogEvent:
            self._line(p, f"{order.cause} {order.fields}")

    def _line(self, p: Process, text: str) -> None:
        if len(self.lines) < 20_000:
            self.lines.append(f"{self.world.now:10.1f} {p.name[0]} {text}")

    def _look(self, p: Process) -> None:
        """After each turn of a process: it is alone in the chair, and alone on its number."""
        if p.core.lease_acceptor is not None and self._acts(p) and p.core.leader_lease.is_held():
            for place in self.seeds:
                other = self.world.at.get(place)
                if other is not None and other is not p and self._acts(other) and self._holds(other):
                    raise Broken(f"{p.name} and {other.name} are both in the chair")
        if p.core.assigned_slot >= 0:
            self._only(p)

    def _only(self, p: Process) -> None:
        n = self._seat(p)
        if n < 0:
            return
        other = self.owner.get(n)
        if other is not None and other is not p and other.up and not other.stopped and self._seat(other) == n:
            raise Broken(f"number {n} is that of {other.name} and of {p.name}")
        self.owner[n] = p

    def _acts(self, p: Process) -> bool:
        return p.up and not p.stopped

    def _holds(self, p: Process) -> bool:
        return p.clock(self.world.now) < p.core.leader_lease.expires_at

    def _seat(self, p: Process) -> int:
        """The number on which a process would act at this moment, without a change to it."""
        core, now = p.core, p.clock(self.world.now)
        was, core.now = core.now, now
        n = core.assigned_slot if core.assigned_slot >= 0 and core.is_leader() else core.slot()
        core.now = was
        return n
