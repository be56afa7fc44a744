"""What a day file does to its ingresses, done to simulated fleet members: how long does each go without learning that
its slot is its own?

An ingress with a slot from the fleet ends when it did not learn that for ``safe_ms``. Joins, crashes, pauses, cuts
and lossy peers are played; faults of nodes, lists and clients are left out. Members also send quota messages, which
go before the fleet's own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import min_under_drift
from rushweir.lab.day import Day, Trouble
from rushweir.lab.sim.fleets import KEY, Members
from rushweir.lab.sim.world import Process, World

FOUNDING_MS = 2_000.0  # the first members start so long before the day
QUOTA_MESSAGES_PER_S = 20.0  # of each member
QUOTA_INTERVAL_MS = 200.0
CLOCK_DRIFT = 0.001


@dataclass(slots=True)
class Unconfirmed:
    """Times without a confirmation, in milliseconds: the longest of each member. ``ended``: members that lost their
    slot, with the time of the day."""

    longest: dict[int, float] = field(default_factory=dict)
    ended: list[tuple[int, float]] = field(default_factory=list)


def safe_ms(day: Day) -> float:
    """How long a slot is safe without a confirmation, by the slowest clock."""
    return min_under_drift(day.fleet_keep)


class FleetDay:
    """One play of a day's faults among members."""

    def __init__(self, day: Day, seed: int, kind: Callable[..., Fleet] = Fleet) -> None:
        self.day, self.world, self.found = day, World(seed), Unconfirmed()
        self.members = Members(
            self.world, day.fleet, day.ingresses, CLOCK_DRIFT, view_ms=day.fleet_term, keep_ms=day.fleet_keep
        )
        self.members.make = lambda settings, seed, now, stored: kind(settings, KEY, seed, now, stored)
        self.number_of = {Members.place(k): k for k in range(day.ingresses)}
        self.slots: dict[Process, int] = {}
        self.world.net.loss = day.peer_loss
        self.world.net.delay_ms = (day.peer_delay / 2, day.peer_delay * 2)
        self.world.after.append(self._check_slot)

    def play(self) -> Unconfirmed:
        """Plays the day to its end. Raises Broken where two members have one slot."""
        for k in range(self.day.started or self.day.ingresses):
            self.members.start(k)
        for trouble in self.day.troubles:
            self.world.later(FOUNDING_MS + trouble.at, self._begin, trouble)
        self._send_quota_messages()
        self.world.run(FOUNDING_MS + self.day.length)
        return self.found

    def _check_slot(self, process: Process) -> None:
        """What an ingress does in each of its turns: it ends when its slot is no longer surely its own."""
        core, k = process.core, self.number_of[process.name]
        if core.leaving:
            return
        core.now = process.clock(self.world.now)
        slot = core.slot()
        if process not in self.slots:
            if slot >= 0:
                self.slots[process] = slot
            return
        age = core.now - core.slot_confirmed_at
        self.found.longest[k] = max(self.found.longest.get(k, 0.0), age)
        if slot != self.slots[process]:
            self.found.ended.append((k, self.world.now - FOUNDING_MS))
            self.world.kill(process.name)

    def _send_quota_messages(self) -> None:
        for process in self.members.up():
            process.core.now = process.clock(self.world.now)
            process.core.charge_peer_messages(QUOTA_MESSAGES_PER_S * QUOTA_INTERVAL_MS / 1000)
        self.world.later(QUOTA_INTERVAL_MS, self._send_quota_messages)

    def _begin(self, trouble: Trouble) -> None:
        match trouble.what:
            case "join":
                self._each(trouble, self._start)
            case "crash":
                self._each(trouble, self._kill)
                self.world.later(trouble.length, self._each, trouble, self._start)
            case "pause":
                self._each(trouble, self._pause)
                self.world.later(trouble.length, self._each, trouble, self._continue)
            case "retire":
                self._each(trouble, self._retire)
            case "apart" | "unheard" | "deaf":
                pairs = self._cut_pairs(trouble)
                self.world.net.cut |= pairs
                self.world.later(trouble.length, self.world.net.cut.difference_update, pairs)
            case "lossy":
                self.world.net.loss = 1 - (1 - self.day.peer_loss) * (1 - trouble.size)
                self.world.later(trouble.length, setattr, self.world.net, "loss", self.day.peer_loss)

    def _each(self, trouble: Trouble, change: Callable[[int], Any]) -> None:
        for k in trouble.on:
            change(k)

    def _process(self, k: int) -> Process | None:
        process = self.world.at.get(Members.place(k))
        return process if process is not None and process.up else None

    def _start(self, k: int) -> None:
        if self._process(k) is None:
            self.members.start(k)

    def _kill(self, k: int) -> None:
        if self._process(k) is not None:
            self.world.kill(Members.place(k))

    def _pause(self, k: int) -> None:
        if self._process(k) is not None:
            self.world.stop(Members.place(k))

    def _continue(self, k: int) -> None:
        if self._process(k) is not None:
            self.world.go_on(Members.place(k))

    def _retire(self, k: int) -> None:
        if (process := self._process(k)) is not None:
            process.core.leave(process.clock(self.world.now))
            self.world._turned(process)

    def _cut_pairs(self, trouble: Trouble) -> set[tuple[Any, Any]]:
        named = [Members.place(k) for k in trouble.on]
        others = [Members.place(k) for k in range(self.day.ingresses) if k not in trouble.on]
        sent = {(a, b) for a in named for b in others}
        received = {(b, a) for a, b in sent}
        return {"apart": sent | received, "unheard": sent, "deaf": received}[trouble.what]
