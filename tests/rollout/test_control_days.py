"""Simulated days of control processes: the invariants hold, and injected faults are found."""

from __future__ import annotations

import pytest

from rushweir.lab.sim.control_days import SIZE, Day, Size, check, draw, shortest
from rushweir.lab.sim.control_injections import KINDS, inject
from rushweir.lab.sim.fleets import Broken
from rushweir.rollout.commands import Committed, ProposalAnswered, SnapshotInstalled

MAX_DAYS = 25  # in which each injected fault has to be found
HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("seed", range(20))
def test_invariants_hold_through_a_day_of_faults(seed):
    assert check(seed) == ""


@pytest.mark.parametrize("count", [1, 2, 5])
def test_invariants_hold_with_other_numbers_of_processes(count):
    for seed in range(2):
        assert check(seed, Size(count=count)) == ""


def test_days_contain_all_that_they_are_to_check():
    """Confirmed and unsure changes, refusals, snapshots in chunks, compaction and an older disk."""
    seen = {"confirmed": 0, "unsure": 0, "refused": 0, "snapshot": 0, "compacted": 0, "old disk": 0}
    for seed in range(8):
        day = Day(seed)

        def watch(_, command):
            if isinstance(command, ProposalAnswered):
                seen["confirmed" if command.version else "unsure" if command.unsure else "refused"] += 1
            seen["snapshot"] += isinstance(command, SnapshotInstalled)

        day.world.watchers.append(watch)
        day.play()
        seen["compacted"] += sum(day.controls.control(k).snapshot_version > 0 for k in range(3))
        seen["old disk"] += day.restored_process is not None
    assert all(seen.values()), seen
    assert seen["confirmed"] > 500


def test_equal_seeds_give_equal_days():
    days = [Day(4).play() for _ in range(2)]
    assert days[0].truth == days[1].truth and days[0].answers == days[1].answers and len(days[0].truth) > 50


@pytest.mark.parametrize("kind", KINDS)
def test_injected_fault_is_found(kind):
    assert any(check(seed, **inject(kind)) for seed in range(MAX_DAYS))


def test_script_is_reduced_to_the_faults_that_break_an_invariant():
    seed = next(s for s in range(MAX_DAYS) if check(s, **inject("sure")))

    def is_broken(script):
        return bool(check(seed, SIZE, script, **inject("sure")))

    short = shortest(seed, SIZE, is_broken)
    assert is_broken(short) and 1 <= len(short) < len(draw(seed)) / 2


@pytest.mark.parametrize("seed", range(2))
def test_two_regions_cut_off_from_each_other_for_an_hour(seed):
    """One process in one region, two in the other. The two commit changes all the time; the one keeps its state,
    refuses changes and reports that it has no majority. After the cut it catches up within the stated time."""
    day = Day(seed, Size(every_ms=10_000.0), [])
    world, isolated = day.world, seed % 3
    committed = dict.fromkeys(range(3), 0)
    world.watchers.append(
        lambda process, command: committed.update(
            {process.name: committed[process.name] + isinstance(command, Committed)}
        )
    )
    for k in range(3):
        day.controls.start(k)
    world.later(1_000.0, day._operator)
    world.run(30_000.0)
    before = day.controls.control(isolated).version
    day.alone(isolated, 0, HOUR_MS)
    for minute in range(1, 60):
        world.run(30_000.0 + minute * 60_000.0)
        process = world.at[isolated]
        status = process.core.core.status(process.clock(world.now))
        assert not status["majority"] and status["number"] == day.controls.control(isolated).version <= before + 1
        request_id = day.propose(isolated, None, ask_leader=False)
        assert day.answers[request_id].version is None and "majority" in day.answers[request_id].reason
    taken = len(day.truth)
    assert taken > before + 100  # the others went on, beyond what the log keeps without a snapshot
    world.run(30_000.0 + HOUR_MS + 12_000.0)
    assert {day.controls.control(k).version for k in range(3)} == {len(day.truth)}
    assert day.controls.control(isolated).objects == day.controls.control((isolated + 1) % 3).objects


def test_day_whose_processes_never_agree_is_broken():
    """The end of a day is checked, too: here nobody starts the killed processes again."""
    day = Day(1, SIZE, [(1_000.0, "kill", (0, 1, 1.0)), (1_000.0, "kill", (1, 1, 1.0))])
    day._heal = lambda: None
    with pytest.raises(Broken, match="after the last fault"):
        day.play()
