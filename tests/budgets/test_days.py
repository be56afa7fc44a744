"""Days of simulated fleets that share budgets: the sum holds at each step, and what is planted is found."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.budget_plants import KINDS, Planted
from rushweir.lab.sim.days import Size, check
from rushweir.lab.sim.shared_days import SharedDay

SIZE = Size(members=6)
ELSEWHERE = {"drowsy", "long", "faithful", "slack"}  # in scenes of their own: test_rules.py, and below
WITHIN = 25  # days in which each planted fault has to be found
# Processes that are stopped while all is lent, and go on after their parts were given to others.
STOPS = [(15_000.0 + 3_000.0 * k, "stop", (k % 6, 0, 2_500.0)) for k in range(8)]


def planted(kind):
    return lambda fleet: Planted(kind, fleet, 2_000.0)


@pytest.mark.parametrize("seed", range(6))
def test_a_day_of_faults_keeps_every_sum(seed):
    assert check(seed, SIZE, kind=SharedDay) == ""


@pytest.mark.parametrize("kind", sorted(set(KINDS) - ELSEWHERE))
def test_a_planted_fault_is_found(kind):
    assert any("parts of" in check(seed, SIZE, None, planted(kind), SharedDay) for seed in range(WITHIN))


def test_a_right_looked_at_too_late_is_found():
    assert any("parts of" in check(seed, SIZE, STOPS, planted("drowsy"), SharedDay) for seed in range(2, 6))
    assert check(2, SIZE, STOPS, kind=SharedDay) == ""
