"""Days of settings on their way: nothing breaks, and what is planted is found."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.rollout_days import SHORTEST, Day, check, draw
from rushweir.lab.sim.rollout_plants import KINDS, plant

WITHIN = 30  # days in which each planted fault has to be found


@pytest.mark.parametrize("seed", range(20))
def test_a_day_of_faults_breaks_nothing(seed: int) -> None:
    assert check(seed, SHORTEST) == ""


@pytest.mark.parametrize("kind", KINDS)
def test_a_planted_fault_is_found(kind: str) -> None:
    assert any(check(seed, SHORTEST, None, plant(kind)) for seed in range(WITHIN))


def test_equal_seeds_play_equal_days() -> None:
    ends = []
    for _ in range(2):
        day = Day(3, SHORTEST, draw(3, SHORTEST))
        day.play()
        ends.append((day.world.counts, day.world.latest, [i.version for i in day.world.ingresses]))
    assert ends[0] == ends[1] and len(ends[0][1]) > 100
