"""Simulated fleets that share budgets under random faults: shares stay within the total, and injected faults are
detected."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.budget_plants import KINDS, Planted
from rushweir.lab.sim.days import Size, check
from rushweir.lab.sim.shared_days import SharedDay

SIZE = Size(members=6)
ELSEWHERE = {"drowsy", "long", "faithful", "slack"}  # detected by their own scenarios: test_rules.py, and below
MAX_DAYS = 25  # within which each injected fault has to be detected
# Processes are stopped while everything is leased, and continue after their shares were leased to others.
STOPS = [(15_000.0 + 3_000.0 * k, "stop", (k % 6, 0, 2_500.0)) for k in range(8)]


def planted(kind):
    return lambda fleet: Planted(kind, fleet, 2_000.0)


@pytest.mark.parametrize("seed", range(6))
def test_day_of_faults_keeps_shares_within_total(seed):
    assert check(seed, SIZE, kind=SharedDay) == ""


@pytest.mark.parametrize("kind", sorted(set(KINDS) - ELSEWHERE))
def test_injected_fault_is_detected(kind):
    assert any("parts of" in check(seed, SIZE, None, planted(kind), SharedDay) for seed in range(MAX_DAYS))


def test_lease_checked_too_late_is_detected():
    assert any("parts of" in check(seed, SIZE, STOPS, planted("drowsy"), SharedDay) for seed in range(2, 6))
    assert check(2, SIZE, STOPS, kind=SharedDay) == ""
