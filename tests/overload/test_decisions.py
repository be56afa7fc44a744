"""What is shed when the process itself is short of CPU, in which order, and for how long."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.overload.decisions import MOST_VALUES, SAMPLE_INTERVAL_MS, LoadShedder


def late(ms: float, beats: int = 60) -> LoadShedder:
    made = LoadShedder(60.0, 400.0)
    for _ in range(beats):
        made.record_delay(ms)
    return made


def test_one_long_turn_sheds_nothing():
    made = LoadShedder(60.0, 400.0)
    made.record_delay(150.0)
    assert made.level == 0 and made.admits_connections() and made.admits(1.0) and made.retry_after_ms() == 0.0


@pytest.mark.parametrize(("ms", "level"), [(0, 0), (60, 0), (100, 1), (200, 2), (400, 2), (5000, 2)])
def test_connections_go_before_requests(ms, level):
    made = late(ms)
    assert made.level == level
    assert made.admits_connections() is (level == 0)
    assert made.admits(1.0) or level == 2


def shares(made: LoadShedder, rounds: int = 400) -> Counter[float]:
    """Of each value, how many of ``rounds`` were taken, after as many to learn what comes in."""
    for k in range(2 * rounds):
        if k == rounds:
            taken: Counter[float] = Counter()
        for value in (1.0, 2.0, 5.0):
            got = made.admits(value)
            if k >= rounds:
                taken[value] += got
    return taken


def test_cheap_goes_before_dear_and_exactly_the_share_that_is_to_go():
    for ms, share in ((128.0, 0.0), (264.0, 0.5), (332.0, 0.75), (400.0, 1.0)):
        taken = shares(late(ms, 400))
        assert sum(taken.values()) / 1200 == pytest.approx(1 - share, abs=0.01)
        assert taken[1.0] <= taken[2.0] <= taken[5.0]
    half = shares(late(264.0, 400))
    assert half[1.0] == 0 and half[2.0] == pytest.approx(200, abs=4) and half[5.0] == 400


def test_one_value_alone_is_shed_in_part():
    made = late(264.0, 400)
    assert sum(made.admits(3.0) for _ in range(1000)) == pytest.approx(500, abs=1)


def test_advice_grows_with_the_trouble_and_is_when_turns_come_in_time_again():
    made = late(240.0, 400)
    wait = made.retry_after_ms()
    assert late(400.0, 400).retry_after_ms() > wait > SAMPLE_INTERVAL_MS
    for _ in range(int(wait / SAMPLE_INTERVAL_MS)):
        assert made.level > 0
        made.record_delay(0.0)
    made.record_delay(0.0)
    assert made.level == 0


@given(st.lists(st.floats(0, 5000), max_size=100), st.lists(st.floats(0, 10), max_size=50))
def test_it_always_recovers_and_equal_calls_give_equal_answers(delays, values):
    a, b = LoadShedder(60.0, 400.0), LoadShedder(60.0, 400.0)
    for d in delays:
        a.record_delay(d)
        b.record_delay(d)
        assert [a.admits(v) for v in values] == [b.admits(v) for v in values]
        assert 0 <= a.pressure <= 1
    for _ in range(200):
        a.record_delay(0.0)
    assert a.level == 0 and all(a.admits(v) for v in values)
    assert not a.asked or len(values)


def test_values_are_bounded():
    made = LoadShedder(60.0, 400.0)
    for k in range(MOST_VALUES * 2):
        made.admits(float(k))
    assert len(made.asked) == MOST_VALUES
    for _ in range(300):
        made.record_delay(0.0)
    assert not made.asked
