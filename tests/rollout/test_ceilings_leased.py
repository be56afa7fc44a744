"""Doors that change where ceilings are lent: members of a fleet with their budgets, each by its own version."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface as i
from rushweir.budgets.records import BudgetTotal
from rushweir.ingress.websocket import release_lease
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.spenders import TERM_MS, Sharers
from rushweir.lab.sim.world import World
from rushweir.rollout.ceilings import (
    BLOCKED,
    EXPIRY_LEASES,
    GatewayRange,
    IntermediateVersions,
    gateway_group_size,
    interim_plans,
)

COUNT, FLOOR, ASK_MS, STEP_MS = 4, 0.25, 150.0, 700.0
PLAN = i.Plan("tin", 100.0, 100.0, 0, 40.0, 60.0)
WAYS = [(0, 0), (0, 1), (1, 1), (0, 2), (2, 2), (1, 3), (3, 2)]


def whole(plan: i.Plan, doors: GatewayRange) -> BudgetTotal:
    """As a member asks for it."""
    floor = 1.0 if plan.name.startswith(BLOCKED) else FLOOR
    return BudgetTotal.from_units(
        plan.ceiling_rate, plan.ceiling_burst, floor, *(doors if doors[1] % COUNT else (0, 0))
    )


class Fleet:
    """Members that spend as much of one budget as they may; the sum of what they may is looked at in each turn."""

    def __init__(self, seed: int, doors: GatewayRange, between: bool = True, plan: i.Plan = PLAN) -> None:
        self.world, self.between = World(seed), between
        self.fleet = Sharers(self.world, 3, COUNT, 0.01, keep_ms=6_000.0, view_ms=3_000.0)
        self.fleet.share("a", whole(plan, (0, 0)))
        self.doors = dict.fromkeys(range(COUNT), doors)  # where clients come, by what each member acts on
        self.acts = dict.fromkeys(range(COUNT), whole(plan, doors))
        self.known = [IntermediateVersions()] * COUNT
        for k in range(COUNT):
            self.fleet.start(k, k)
            self.world.later(ASK_MS, self._asks, k)
        self.world.run(20_000.0)

    def _asks(self, k: int) -> None:
        self.world.later(self.world.rng.uniform(0, 2 * ASK_MS), self._asks, k)
        p = self.world.at[Sharers.place(k)]
        if gateway_group_size(self.doors[k], k, COUNT):
            for _ in range(6):
                p.core.want(p.clock(self.world.now), "a", self.acts[k], 1_000)
                self.world._turned(p)

    def _act(self, k: int) -> None:
        ways, made = interim_plans(self.known[k], {"a": ("tin", self.doors[k])}, {"tin": PLAN}, k, COUNT, FLOOR, True)
        plan, doors = PLAN, self.doors[k]
        if self.between and "a" in ways:
            plan = next(p for p in made if p.name == ways["a"].plan)
            doors = ways["a"].first_gateway, ways["a"].gateway_count
        new = whole(plan, doors)
        if new != self.acts[k]:
            core = self.world.at[Sharers.place(k)].core
            release_lease(core.budgets, "a")
            core.buckets.pop("a", None)
            self.acts[k] = new

    def step(self, k: int, doors: GatewayRange, version: int) -> None:
        if doors != self.doors[k]:
            self.known[k] = self.known[k].with_changes(version, {"a": self.doors[k]})
            self.doors[k] = doors
        self._act(k)
        self.world.run(self.world.now + STEP_MS)

    def settled(self, k: int, version: int) -> None:
        self.known[k] = self.known[k].with_minimum_version(version)
        self._act(k)
        self.world.run(self.world.now + STEP_MS / 7)

    def play(self, ways: list[GatewayRange], order: list[int]) -> float:
        """Raises Broken. How much of the whole is served a second at the end, in parts of it."""
        for version, doors in enumerate(ways, 1):
            for k in order:
                self.step(k, doors, version)
            self.world.run(self.world.now + EXPIRY_LEASES * TERM_MS)
            for k in order[1:] + order[:1]:
                self.settled(k, version)
        self.world.run(self.world.now + 8_000.0)
        before = self._served()
        self.world.run(self.world.now + 4_000.0)
        return (self._served() - before) / 4 / 1_000 / PLAN.ceiling_rate

    def _served(self) -> int:
        return sum(p.core.counts["served"] for p in self.fleet.up())


@settings(max_examples=10, deadline=None, derandomize=True)
@given(st.integers(0, 99), st.lists(st.sampled_from(WAYS), min_size=2, max_size=3), st.permutations(range(COUNT)))
def test_parts_lent_among_old_and_new_doors_are_never_more_than_one_whole(seed, ways, order):
    assert Fleet(seed, ways[0]).play(ways[1:], list(order)) > 0.5


FIGURES = st.sampled_from([(40.0, 60.0), (20.0, 30.0), (60.0, 12.0), (10.0, 90.0)])


@settings(max_examples=6, deadline=None, derandomize=True)
@given(st.integers(0, 99), FIGURES, FIGURES, st.permutations(range(COUNT)))
def test_other_figures_of_a_plan_are_lent_within_the_larger(seed, old, new, order):
    made = Fleet(seed, (0, 0), plan=replace(PLAN, ceiling_rate=old[0], ceiling_burst=old[1]))
    made.fleet.share("a", BudgetTotal.from_units(max(old[0], new[0]), max(old[1], new[1])))
    for k in order:
        made.acts[k] = BudgetTotal.from_units(*new, FLOOR)
        made.world.run(made.world.now + STEP_MS)
    made.world.run(made.world.now + EXPIRY_LEASES * TERM_MS)
    made.fleet.share("a", BudgetTotal.from_units(*new))  # and within the new, once all act on it and the old is over
    made.world.run(made.world.now + 4_000.0)
    assert made._served() > 0


def test_it_is_found_that_old_and_new_homes_lend_at_once():
    """A planted fault: nothing in between."""
    with pytest.raises(Broken, match="parts of"):
        for seed in range(5):
            Fleet(seed, (0, 2), between=False).play([(2, 2)], [2, 3, 0, 1])


def test_an_ingress_without_a_part_has_a_closed_plan():
    between, now = IntermediateVersions().with_changes(1, {"a": (0, 2)}), {"a": ("tin", (2, 2))}
    ways, made = interim_plans(between, now, {"tin": PLAN}, 2, COUNT, FLOOR, True)
    assert ways["a"].plan == BLOCKED and whole(made[0], (2, 1)).rate == whole(made[0], (2, 1)).burst == 0
