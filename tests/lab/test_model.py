"""The model of a node: how long work takes, what is turned away, warming up and falling over."""

from __future__ import annotations

import pytest

from rushweir.lab.standins.model import KeyMemory, Meter, NodeKind, NodeModel


def run(model: NodeModel, until: float) -> dict[object, float]:
    """Let time pass in the model's own steps; when each job ended."""
    ended: dict[object, float] = {}
    while (at := model.next_at()) is not None and at <= until:
        for job in model.advance(at):
            ended[job] = at
    for job in model.advance(until):
        ended[job] = until
    return ended


def test_cores_are_shared():
    m = NodeModel(NodeKind(cores=2, speed=0.5, slots=4, thrash=0.0), 0.0, cold=False)
    assert m.submit(0.0, "a", 50.0)
    assert run(m, 1000.0) == {"a": pytest.approx(100.0)}  # one request uses one core
    for job in "bcde":
        assert m.submit(1000.0, job, 50.0)
    ended = run(m, 3000.0)
    assert list(ended.values()) == [pytest.approx(1200.0)] * 4  # four on two cores of half speed


def test_waiting_room_and_full():
    m = NodeModel(NodeKind(cores=1, slots=1, queue=1, thrash=0.0), 0.0, cold=False)
    assert m.submit(0.0, "a", 10.0) and m.submit(0.0, "b", 10.0) and not m.submit(0.0, "c", 10.0)
    assert run(m, 100.0) == {"a": pytest.approx(10.0), "b": pytest.approx(20.0)}


def test_jobs_that_ended_while_another_came_are_not_lost():
    m = NodeModel(NodeKind(cores=1), 0.0, cold=False)
    m.submit(0.0, "a", 10.0)
    m.submit(50.0, "b", 10.0)
    assert m.advance(50.0) == ["a"] and run(m, 100.0) == {"b": pytest.approx(60.0)}


def test_warming_up():
    kind = NodeKind(cores=2, cold_from=0.25, cold_ms=8000.0)
    m = NodeModel(kind, 1000.0, cold=True)
    assert [m.warmth(t) for t in (1000.0, 5000.0, 9000.0, 20_000.0)] == [0.25, 0.625, 1.0, 1.0]
    m.submit(1000.0, "a", 50.0)
    (took,) = run(m, 3000.0).values()
    assert 1150.0 < took < 1201.0  # about a quarter of a core's speed, and a little more by the end


def test_a_cold_node_falls_over_and_a_warm_one_turns_away():
    kind = NodeKind(cores=2, slots=1, queue=0, cold_from=0.25, cold_ms=8000.0, fall_multiple=3.0, fall_ms=1500.0)
    cold, warm = NodeModel(kind, 0.0, cold=True), NodeModel(kind, 0.0, cold=False)
    for k in range(46):  # 46 x 50 ms; 3 x 0.5 cores x 1,500 ms = 2,250 ms
        cold.submit(1.0, k, 50.0)
        warm.submit(1.0, k, 50.0)
        assert cold.fallen == (k >= 45), k
    assert not warm.fallen
    assert not cold.submit(20_000.0, "later", 1.0)  # it stays down


def test_key_memory_forgets_and_is_bounded():
    memory = KeyMemory(6000.0, most=100)
    assert memory.first(0.0, "k", "one") is None
    assert memory.first(5999.0, "k", "two") == "one"
    assert memory.first(6001.0, "k", "three") is None
    for n in range(1000):
        memory.first(7000.0, f"x{n}", n)
    assert len(memory.keys) <= 102


def test_the_meter_tells_the_last_added_up_period():
    meter = Meter(2000.0, 500.0, {"a": 5.0, "b": 0.0})
    for t in range(0, 2000, 200):
        meter.add(float(t), "a", 1.0)
    assert meter.used(2400.0, "a") == 1  # not added up yet
    assert meter.used(2600.0, "a") == 101 and meter.used(4600.0, "a") == 1
    assert meter.used(2600.0, "b") == 0 == meter.used(2600.0, "nobody")
