"""When most of a fleet is gone the remaining members detect it in time, and nobody is suspected hastily."""

from __future__ import annotations

from functools import cache

import pytest

from rushweir.fleet.core import Fleet
from rushweir.fleet.members import DEAD, MAX_HEALTH_PENALTY
from rushweir.fleet.members import Members as Probes
from rushweir.lab.sim.fleets import KEY, Members
from rushweir.lab.sim.world import World

SEEDS, WITHIN_MS = range(60), 8_000.0
LOSS = 0.4  # of the datagrams: so much that a member that always considers itself healthy declares many dead


class Blaming(Fleet):
    """The baseline: each failed probe lowers the local health, whatever its helpers report."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.members = BlamingProbes(self)


class BlamingProbes(Probes):
    def _update_health(self) -> None:
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)


def together(seed: int, count: int, kind: type[Fleet]) -> tuple[World, Members]:
    """Members of the process scenes, all with slots in one view."""
    world = World(seed)
    fleet = Members(world, 3, count, 0.001, view_ms=4_000.0, keep_ms=30_000.0)
    fleet.make = lambda settings, seed, now, kept: kind(settings, KEY, seed, now, kept)
    world.net.loss, world.net.delay_ms = 0.01, (2.0, 3.0)
    for k in range(count):
        fleet.start(k)
    while len({p.core.view.number for p in fleet.up()}) > 1 or any(p.core.assigned_slot < 0 for p in fleet.up()):
        world.run(world.now + 100.0)
        assert world.now < 60_000.0
    world.run(world.now + world.rng.uniform(0.0, 400.0))
    return world, fleet


def until_dead(seed: int, kind: type[Fleet]) -> float:
    """The scene ``partition_healed_in_another_order`` of the process scenes: milliseconds from the partition of
    members 2, 4, 5 and of 3 until 0 and 1 both consider 2 and 3 dead."""
    world, fleet = together(seed, 6, kind)
    world.split(*([Members.place(k) for k in side] for side in ((0, 1), (3,), (2, 4, 5))))
    gone, at = [fleet.fleet(k).me for k in (2, 3)], world.now
    while any(fleet.fleet(k).members.known[x].state < DEAD for k in (0, 1) for x in gone):
        world.run(world.now + 50.0)
        assert world.now < at + 30_000.0
    return world.now - at


def test_two_of_six_detect_in_time_that_the_others_are_gone():
    assert max(until_dead(seed, Fleet) for seed in SEEDS) < WITHIN_MS
    assert max(until_dead(seed, Blaming) for seed in SEEDS) > WITHIN_MS  # the bound detects the fault


@pytest.mark.parametrize("kind", [Fleet, Blaming])
def test_member_that_receives_nothing_lowers_its_local_health(kind):
    world, fleet = together(1, 6, kind)
    world.split([Members.place(0)], [Members.place(k) for k in range(1, 6)])
    world.run(world.now + 6_000.0)
    assert fleet.fleet(0).members.health_penalty > MAX_HEALTH_PENALTY / 2
    assert max(fleet.fleet(k).members.health_penalty for k in range(1, 6)) <= 2


@cache
def under_loss(kind: type[Fleet], seeds: int = 4, ms: float = 60_000.0) -> int:
    """How often a member of twelve that is up was declared dead under loss."""
    times = 0
    for seed in range(seeds):
        world, fleet = together(seed, 12, kind)
        world.net.loss = LOSS
        world.run(world.now + ms)
        times += sum(p.core.counts["overdue"] for p in fleet.up())
    return times


def test_under_loss_no_more_members_are_declared_dead():
    assert under_loss(Fleet) <= 1.1 * under_loss(Blaming)  # equal over many seeds; four differ by chance
    assert under_loss(Hasty) > 2 * under_loss(Blaming)  # the bound detects the fault


class Hasty(Fleet):
    """Always considers itself healthy."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.members = HastyProbes(self)


class HastyProbes(Probes):
    def _update_health(self) -> None:
        self.health_penalty = 0
