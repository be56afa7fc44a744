"""Days of control processes on virtual clocks: nothing breaks, and what is planted is found."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.control_days import SIZE, Day, Size, check, draw, shortest
from rushweir.lab.sim.control_plants import KINDS, planted
from rushweir.lab.sim.fleets import Broken
from rushweir.rollout.commands import Committed, ProposalAnswered, SnapshotInstalled

WITHIN = 25  # days in which each planted fault has to be found
HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("seed", range(20))
def test_a_day_of_faults_breaks_nothing(seed):
    assert check(seed) == ""


@pytest.mark.parametrize("count", [1, 2, 5])
def test_other_numbers_of_processes(count):
    for seed in range(2):
        assert check(seed, Size(count=count)) == ""


def test_days_see_what_they_are_to_judge():
    """Confirmed and unsure changes, refusals, wholes told in parts, folds and an old disk: else it proves little."""
    seen = {"confirmed": 0, "unsure": 0, "refused": 0, "jumped": 0, "folded": 0, "old disk": 0}
    for seed in range(8):
        day = Day(seed)

        def watch(_, order):
            if isinstance(order, ProposalAnswered):
                seen["confirmed" if order.version else "unsure" if order.unsure else "refused"] += 1
            seen["jumped"] += isinstance(order, SnapshotInstalled)

        day.world.watchers.append(watch)
        day.play()
        seen["folded"] += sum(day.controls.control(k).snapshot_version > 0 for k in range(3))
        seen["old disk"] += day.put_back is not None
    assert all(seen.values()), seen
    assert seen["confirmed"] > 500


def test_equal_seeds_play_equal_days():
    days = [Day(4).play() for _ in range(2)]
    assert days[0].truth == days[1].truth and days[0].answers == days[1].answers and len(days[0].truth) > 50


@pytest.mark.parametrize("kind", KINDS)
def test_a_planted_fault_is_found(kind):
    assert any(check(seed, **planted(kind)) for seed in range(WITHIN))


def test_a_script_is_cut_down_to_what_breaks():
    seed = next(s for s in range(WITHIN) if check(s, **planted("sure")))

    def broke(script):
        return bool(check(seed, SIZE, script, **planted("sure")))

    short = shortest(seed, SIZE, broke)
    assert broke(short) and 1 <= len(short) < len(draw(seed)) / 2


@pytest.mark.parametrize("seed", range(2))
def test_two_regions_apart_for_an_hour(seed):
    """One process in the one, two in the other: the side of two takes changes all the time, that of one goes on with
    what it has, takes none and says so; after the cut it is as the others are, within the stated time."""
    day = Day(seed, Size(every_ms=10_000.0), [])
    world, alone = day.world, seed % 3
    told = dict.fromkeys(range(3), 0)
    world.watchers.append(lambda p, o: told.update({p.name: told[p.name] + isinstance(o, Committed)}))
    for k in range(3):
        day.controls.start(k)
    world.later(1_000.0, day._operator)
    world.run(30_000.0)
    before = day.controls.control(alone).version
    day.alone(alone, 0, HOUR_MS)
    for minute in range(1, 60):
        world.run(30_000.0 + minute * 60_000.0)
        p = world.at[alone]
        seen = p.core.core.status(p.clock(world.now))
        assert not seen["majority"] and seen["number"] == day.controls.control(alone).version <= before + 1
        ticket = day.propose(alone, None, ask_leader=False)
        assert day.answers[ticket].version is None and "majority" in day.answers[ticket].reason
    taken = len(day.truth)
    assert taken > before + 100  # the others went on, and beyond what the log keeps one by one
    world.run(30_000.0 + HOUR_MS + 12_000.0)
    assert {day.controls.control(k).version for k in range(3)} == {len(day.truth)}
    assert day.controls.control(alone).objects == day.controls.control((alone + 1) % 3).objects


def test_days_that_never_come_together_are_told():
    """The end of a day is judged, too: a cut that nobody mends."""
    day = Day(1, SIZE, [(1_000.0, "kill", (0, 1, 1.0)), (1_000.0, "kill", (1, 1, 1.0))])
    day._heal = lambda: None
    with pytest.raises(Broken, match="after the last fault"):
        day.play()
