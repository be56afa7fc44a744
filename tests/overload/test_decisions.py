"""What is shed when the process itself is overloaded, in which order, and for how long."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.overload.decisions import MAX_VALUES, SAMPLE_INTERVAL_MS, LoadShedder


def overloaded(ms: float, samples: int = 60) -> LoadShedder:
    """A load shedder after so many samples of one delay."""
    shedder = LoadShedder(60.0, 400.0)
    for _ in range(samples):
        shedder.record_delay(ms)
    return shedder


def test_one_long_turn_sheds_nothing():
    shedder = LoadShedder(60.0, 400.0)
    shedder.record_delay(150.0)
    assert (
        shedder.level == 0
        and shedder.admits_connections()
        and shedder.admits(1.0)
        and shedder.retry_after_ms() == 0.0
    )


@pytest.mark.parametrize(("ms", "level"), [(0, 0), (60, 0), (100, 1), (200, 2), (400, 2), (5000, 2)])
def test_connections_are_shed_before_requests(ms, level):
    shedder = overloaded(ms)
    assert shedder.level == level
    assert shedder.admits_connections() is (level == 0)
    assert shedder.admits(1.0) or level == 2


def admitted(shedder: LoadShedder, rounds: int = 400) -> Counter[float]:
    """Of each value, how many of ``rounds`` requests were admitted, after as many to learn the mix."""
    for k in range(2 * rounds):
        if k == rounds:
            found: Counter[float] = Counter()
        for value in (1.0, 2.0, 5.0):
            is_admitted = shedder.admits(value)
            if k >= rounds:
                found[value] += is_admitted
    return found


def test_exactly_the_demanded_share_is_shed_lowest_values_first():
    for ms, share in ((128.0, 0.0), (264.0, 0.5), (332.0, 0.75), (400.0, 1.0)):
        counts = admitted(overloaded(ms, 400))
        assert sum(counts.values()) / 1200 == pytest.approx(1 - share, abs=0.01)
        assert counts[1.0] <= counts[2.0] <= counts[5.0]
    half = admitted(overloaded(264.0, 400))
    assert half[1.0] == 0 and half[2.0] == pytest.approx(200, abs=4) and half[5.0] == 400


def test_a_single_value_is_shed_in_part():
    shedder = overloaded(264.0, 400)
    assert sum(shedder.admits(3.0) for _ in range(1000)) == pytest.approx(500, abs=1)


def test_retry_advice_grows_with_the_delay_and_is_the_time_to_recovery():
    shedder = overloaded(240.0, 400)
    wait = shedder.retry_after_ms()
    assert overloaded(400.0, 400).retry_after_ms() > wait > SAMPLE_INTERVAL_MS
    for _ in range(int(wait / SAMPLE_INTERVAL_MS)):
        assert shedder.level > 0
        shedder.record_delay(0.0)
    shedder.record_delay(0.0)
    assert shedder.level == 0


@given(st.lists(st.floats(0, 5000), max_size=100), st.lists(st.floats(0, 10), max_size=50))
def test_shedder_always_recovers_and_equal_calls_give_equal_answers(delays, values):
    a, b = LoadShedder(60.0, 400.0), LoadShedder(60.0, 400.0)
    for d in delays:
        a.record_delay(d)
        b.record_delay(d)
        assert [a.admits(v) for v in values] == [b.admits(v) for v in values]
        assert 0 <= a.pressure <= 1
    for _ in range(200):
        a.record_delay(0.0)
    assert a.level == 0 and all(a.admits(v) for v in values)
    assert not a.recent_requests or len(values)


def test_values_are_bounded():
    shedder = LoadShedder(60.0, 400.0)
    for k in range(MAX_VALUES * 2):
        shedder.admits(float(k))
    assert len(shedder.recent_requests) == MAX_VALUES
    for _ in range(300):
        shedder.record_delay(0.0)
    assert not shedder.recent_requests
