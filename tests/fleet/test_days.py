"""Days of simulated fleets: nothing breaks, and what is planted is found."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.days import Day, Size, check, cut_down, draw
from rushweir.lab.sim.fleets import KEY, Broken
from rushweir.lab.sim.plants import KINDS, Planted

SIZE = Size()
WITHIN = 40  # days in which each planted fault has to be found


def planted(kind):
    return lambda settings, seed, now, kept: Planted(kind, settings, KEY, seed, now, kept)


@pytest.mark.parametrize("seed", range(20))
def test_a_day_of_faults_breaks_nothing(seed):
    assert check(seed, SIZE) == ""


def test_equal_seeds_play_equal_days():
    lines = []
    for _ in range(2):
        day = Day(3, SIZE, draw(3, SIZE))
        day.play()
        lines.append((day.fleet.lines, dict(day.world.counts)))
    assert lines[0] == lines[1] and len(lines[0][0]) > 100


@pytest.mark.parametrize("kind", KINDS)
def test_a_planted_fault_is_found(kind):
    assert any(check(seed, SIZE, None, planted(kind)) for seed in range(WITHIN))


def test_a_script_is_cut_down_to_what_breaks():
    seed = next(s for s in range(WITHIN) if check(s, SIZE, None, planted("eager")))
    whole = draw(seed, SIZE)

    def broke(script):
        return "in the chair" in check(seed, SIZE, script, planted("eager"))

    short = cut_down(seed, SIZE, whole, broke)
    assert broke(short) and 1 <= len(short) < len(whole) / 2


def test_a_fleet_that_never_finds_together_is_told():
    """The end of a day is judged, too: members that know no seed."""
    day = Day(1, SIZE, [])
    day.fleet.seeds = (("10.9.9.9", 1),)
    with pytest.raises(Broken, match="after the last fault"):
        day.play()
