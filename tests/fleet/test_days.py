"""Simulated fleets under random faults: invariants hold, and injected faults are detected."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.days import Day, Size, check, cut_down, draw
from rushweir.lab.sim.fleets import KEY, Broken
from rushweir.lab.sim.plants import KINDS, Planted

SIZE = Size()
MAX_DAYS = 40  # within which each injected fault has to be detected


def planted(kind):
    return lambda settings, seed, now, kept: Planted(kind, settings, KEY, seed, now, kept)


@pytest.mark.parametrize("seed", range(20))
def test_day_of_faults_breaks_no_invariant(seed):
    assert check(seed, SIZE) == ""


def test_equal_seeds_give_equal_runs():
    lines = []
    for _ in range(2):
        day = Day(3, SIZE, draw(3, SIZE))
        day.play()
        lines.append((day.fleet.lines, dict(day.world.counts)))
    assert lines[0] == lines[1] and len(lines[0][0]) > 100


@pytest.mark.parametrize("kind", KINDS)
def test_injected_fault_is_detected(kind):
    assert any(check(seed, SIZE, None, planted(kind)) for seed in range(MAX_DAYS))


def test_script_is_reduced_to_the_steps_that_break():
    seed = next(s for s in range(MAX_DAYS) if check(s, SIZE, None, planted("eager")))
    full = draw(seed, SIZE)

    def broke(script):
        return "in the chair" in check(seed, SIZE, script, planted("eager"))

    reduced = cut_down(seed, SIZE, full, broke)
    assert broke(reduced) and 1 <= len(reduced) < len(full) / 2


def test_fleet_that_never_converges_is_reported():
    """The end of a run is checked, too: these members know no seed."""
    day = Day(1, SIZE, [])
    day.fleet.seeds = (("10.9.9.9", 1),)
    with pytest.raises(Broken, match="after the last fault"):
        day.play()
