"""Events on virtual clocks: all is as before afterwards, what is away does not serve, and equal seeds are equal."""

from __future__ import annotations

import random
from collections import deque

import pytest

from rushweir.lab.scale import events
from rushweir.lab.sim.world import Process, World


def figures(event: str, size: int) -> dict[str, float]:
    return {name: value for name, _, value, _ in events.play(event, size, 1)}


@pytest.mark.parametrize(
    ("event", "size", "left"),
    # Of a split the half with two of the three seeds goes on; the others' numbers are over after a while.
    [("zone", 12, 10), ("rack", 9, 3), ("roll-fast", 6, 5), ("split", 6, 3)],
)
def test_all_is_as_before_after_an_event(event, size, left):
    found = figures(event, size)
    assert found["back_in_time"] == 1.0
    assert found["working_least"] <= left / size
    if event != "roll-fast":  # one after the other: the next may go before the one before it is back
        assert found["working_least"] == pytest.approx(left / size)
    assert found["working_mean"] < 1.0
    assert 0 < found["served_meanwhile"] < found["served_calm"] <= 1.0
    assert found["sent_calm"] > 0


def test_equal_seeds_give_equal_figures():
    assert events.play("zone", 6, 3) == events.play("zone", 6, 3)


def test_a_fleet_whose_members_never_come_back_is_not_as_before(monkeypatch):
    def lost(play: events.Play) -> float:
        play.world.kill(play.fleet.place(5))
        return 1_000.0

    monkeypatch.setattr(events, "LONGEST_MS", 8_000.0)
    monkeypatch.setitem(events.EVENTS, "lost", (lost, {}))
    found = figures("lost", 6)
    assert found["back_in_time"] == 0.0 and found["back"] == 8.0
    assert found["working_least"] == pytest.approx(5 / 6)


class Sleeper:
    """Has something to do again and again, and hears from nobody."""

    def __init__(self, now: float) -> None:
        self.commands, self.rng, self.at, self.turns = deque(), random.Random(now), now, 0

    def start(self, now: float) -> None: ...

    def next_at(self) -> float:
        return self.at

    def advance(self, now: float) -> None:
        assert now >= self.at
        self.turns += 1
        self.at = now + self.rng.uniform(1.0, 100.0)


class Rounded(World):
    """Planted: a wake counts from the time that was meant, of which its event's may fall short by the last bit."""

    def _turned(self, p: Process) -> None:
        super()._turned(p)
        p.wake_at = max(self.now, p.true(p.core.next_at())) + 1e-6


@pytest.mark.parametrize(("kind", "all_of_them"), [(World, True), (events.Counting, True), (Rounded, False)])
def test_a_process_that_nobody_sends_to_is_woken_for_as_long_as_it_runs(kind, all_of_them):
    """With the plant a wake is lost now and then, and with it the process. (Only early in a day: from half of a time
    on, what is left until then is exact.)"""
    world, count = kind(1), 2_000
    for k in range(count):
        world.later(world.rng.uniform(0.0, 200.0), world.start, k, lambda now, kept: Sleeper(now), 1.0003)
    world.run(2_000.0)
    woken = sum(p.core.turns > 20 for p in world.at.values())
    assert (woken == count) is all_of_them, woken
