"""A small fleet in noise: three seeds that found together, then datagrams lost, doubled, spoilt and overtaken, and
two more join. How long does each member go without knowing that its number is its own?

The network does what the relay of the scenes does at ``extra_loss 0.15, doubled 0.2, spoilt 0.1, overtaken 0.1``, the
settings are those of their day: a view's term 4 s, ``keep`` 30 s. A number is safe for ``keep`` by the slowest clock
(``safe_ms``); a process that does not learn anew by then that the number is its own ends itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rushweir.fleet import frame as f
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import min_under_drift
from rushweir.fleet.members import LEADER_PROBES_PER_PERIOD, STALE_VIEW_MS, STALE_VIEW_SHARE, SUSPECT
from rushweir.fleet.members import Members as Probes
from rushweir.lab.sim.fleets import KEY, Members
from rushweir.lab.sim.world import Process, World

CALM_MS = 15_000.0  # until the seeds have surely found together
TERM_MS, KEEP_MS = 4_000.0, 30_000.0
MAIL_MS = 200.0  # between two looks at what the quotas sent


@dataclass(frozen=True, slots=True)
class Scene:
    """``mail``: datagrams of the quotas a second, of each; ``missed_ms``: for so long the first seed hears nothing at
    the begin of the noise, so that it misses the views of those who join."""

    length_ms: float = 60_000.0
    mail: int = 0
    missed_ms: float = 0.0
    noise: bool = True
    seeds: int = 3
    joining: int = 2
    most: int = 6


@dataclass(slots=True)
class Found:
    """Times without a renewal, in milliseconds: the longest of each member. ``ended``: those over the safe time."""

    longest: dict[int, float] = field(default_factory=dict)
    ended: list[int] = field(default_factory=list)
    sent_s: float = 0.0  # datagrams of each member a second


def safe_ms() -> float:
    return min_under_drift(KEEP_MS)


class Starved(Fleet):
    """The baseline, a member as it was: comparing waits for the budget, which probes use up where much is lost, and
    who is behind asks the chair for what no answer can tell it."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.members = StarvedProbes(self)

    def may_send(self) -> bool:
        return self.message_budget.allows(self.now)


class StarvedProbes(Probes):
    def _probe_leader(self) -> None:
        fleet, chair = self.fleet, self.fleet.leader_id()
        if chair == fleet.me or fleet.view_age() <= min(STALE_VIEW_MS, fleet.settings.view_ms * STALE_VIEW_SHARE):
            return
        known = self.known.get(chair)
        if (
            known is not None
            and known.state <= SUSPECT
            and self.rng.random() * self.count() < LEADER_PROBES_PER_PERIOD
        ):
            self.serial += 1
            fleet.send_probe(f.PROBE, chair, self.serial)


def play(seed: int, scene: Scene, kind: Callable[..., Fleet] = Fleet) -> Found:
    """Raises Broken where two have one number."""
    world, found = World(seed), Found()
    fleet = Members(world, scene.seeds, scene.most, 0.001, view_ms=TERM_MS, keep_ms=KEEP_MS)
    fleet.make = lambda settings, seed, now, kept: kind(settings, KEY, seed, now, kept)
    numbers: dict[int, int] = {}
    places = {Members.place(k): k for k in range(scene.most)}

    def look(p: Process) -> None:
        """After each turn: what an ingress does that has its number from the fleet."""
        k, core = places[p.name], p.core
        core.now = p.clock(world.now)
        seat = core.slot()
        if k not in numbers:
            if seat >= 0:
                numbers[k] = seat
            return
        if world.now > CALM_MS:
            found.longest[k] = max(found.longest.get(k, 0.0), core.now - core.slot_confirmed_at)
        if seat != numbers[k]:
            found.ended.append(k)
            world.kill(p.name)

    def mail() -> None:
        for p in fleet.up():
            p.core.now = p.clock(world.now)
            p.core.charge_peer_messages(scene.mail * MAIL_MS / 1000)
        world.later(MAIL_MS, mail)

    world.after.append(look)
    world.net.loss = 0.01
    for k in range(scene.seeds):
        fleet.start(k)
    world.run(CALM_MS)
    net, sent = world.net, world.counts["sent"]
    if scene.noise:
        net.loss = 1 - (1 - 0.01) * (1 - 0.15)
        net.doubled, net.corrupt, net.slow, net.slow_ms = 0.2, 0.1, 0.1, (20.0, 400.0)
    if scene.missed_ms:
        first = Members.place(0)
        net.cut |= {(place, first) for place in places if place != first}
        world.later(scene.missed_ms, net.cut.clear)
    for k in range(scene.seeds, scene.seeds + scene.joining):
        world.later(world.rng.uniform(0.0, 300.0), fleet.start, k)
    if scene.mail:
        mail()
    world.run(CALM_MS + scene.length_ms)
    found.sent_s = (world.counts["sent"] - sent) / (scene.seeds + scene.joining) / scene.length_ms * 1000
    return found
