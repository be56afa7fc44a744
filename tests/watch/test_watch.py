"""Usage, top users, the last hour, and request traces."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.ingress.commands import AnswerKind, Attempt
from rushweir.ingress.ledger import Entry
from rushweir.ingress.queries import Query
from rushweir.watch.history import SLOT_MS, SLOTS, History
from rushweir.watch.request_traces import RequestTrace, RequestTraces
from rushweir.watch.telemetry import MAX_EVENTS, Telemetry
from rushweir.watch.top_users import TopUsers
from rushweir.watch.usage import HALVE_MS, Usage

assert Query  # loads the ingress package first, as the program does


# --- top users --------------------------------------------------------------------------------------


def check(sketch: TopUsers) -> None:
    """Asserts that the groups have exactly the counted names, and that the lowest count is known."""
    grouped = {n: c for c, group in sketch.names_by_count.items() for n in group}
    assert grouped == sketch.counts and all(sketch.names_by_count.values())
    assert len(grouped) <= sketch.capacity
    assert sketch.min_count == min(sketch.names_by_count, default=sketch.min_count)


@given(st.lists(st.sampled_from("abcdefghij"), max_size=300), st.integers(1, 8))
def test_counts_are_never_too_low_and_too_high_by_the_error_at_most(names, capacity):
    sketch, true = TopUsers(capacity), Counter(names)
    for n in names:
        sketch.add(n)
        check(sketch)
    for name, count, error in sketch.top(capacity):
        assert count - error <= true[name] <= count
    for name, count in true.items():
        if count * capacity > len(names):
            assert name in sketch.counts


@given(st.lists(st.one_of(st.sampled_from("abcdef"), st.none()), max_size=200))
def test_halving_keeps_groups_and_counts_consistent(steps):
    sketch = TopUsers(3)
    for step in steps:
        sketch.halve() if step is None else sketch.add(step)
        check(sketch)


def test_frequent_names_stay_among_many_rare_ones():
    sketch = TopUsers(20)
    for k in range(20_000):
        sketch.add("heavy" if k % 4 == 0 else "second" if k % 9 == 0 else f"light{k}")
    (first, second), names = sketch.top(2), [n for n, _, _ in sketch.top(2)]
    assert names == ["heavy", "second"]
    assert first[1] - first[2] <= 5000 <= first[1] and second[1] >= 1666


def test_capacity_below_one_raises_value_error():
    with pytest.raises(ValueError, match="room"):
        TopUsers(0)


# --- usage ------------------------------------------------------------------------------------------


def test_pages_of_partners_can_be_searched():
    usage = Usage([(f"Partner {k:05d}", "wide") for k in range(10_000)] + [("Ödön", "tight")])
    usage.count(0.0, "Partner 00042", AnswerKind.SERVED, 2.0)
    usage.count(0.0, "nobody", AnswerKind.SERVED, 1.0)
    total, rows = usage.page("r 0004", 2, 3)
    assert total == 10 and [r["name"] for r in rows] == ["Partner 00042", "Partner 00043", "Partner 00044"]
    assert rows[0]["served"] == 1 and rows[0]["units"] == 2.0
    assert usage.page("ÖDÖN")[1][0]["plan"] == "tight"
    assert usage.page("none") == (0, []) and len(usage.page(count=10**9)[1]) == 500
    assert usage.page(first=-5)[1][0]["name"] == "Partner 00000"


def test_partner_counts_survive_a_change_of_the_partners():
    usage = Usage([("a", "x"), ("b", "x")])
    usage.count(0.0, "b", AnswerKind.REFUSED, 1.0)
    usage.set_partners([("c", "x"), ("b", "y")])
    counts = {"served": 0, "refused": 1, "failed": 0, "left": 0}
    assert usage.row("b") == {"name": "b", "plan": "y", "units": 0.0, **counts}
    assert [r["name"] for r in usage.page()[1]] == ["b", "c"]


def test_recent_counts_of_top_users_are_halved_each_minute():
    usage = Usage([("a", "x"), ("b", "x")])
    for _ in range(100):
        usage.count(0.0, "a", AnswerKind.SERVED, 1.0)
    for k in range(1, 6):
        usage.count(k * HALVE_MS, "b", AnswerKind.SERVED, 1.0)  # counted, then halved to nothing
    usage.count(5 * HALVE_MS, "b", AnswerKind.SERVED, 1.0)
    assert [(r["name"], r["lately"]) for r in usage.lately(2)] == [("a", 3), ("b", 1)]
    usage.count(6 * HALVE_MS, "b", AnswerKind.SERVED, 1.0)
    usage.count(7 * HALVE_MS, "b", AnswerKind.SERVED, 1.0)
    assert [(r["name"], r["lately"]) for r in usage.lately(2)] == [("b", 1)]


# --- the last hour ----------------------------------------------------------------------------------


def test_requests_are_counted_in_slots_of_ten_seconds():
    history = History(25_000.0)
    for k in range(100):
        history.answered(25_000.0 + k, AnswerKind.SERVED, "", float(k + 1))
    history.answered(29_999.0, AnswerKind.REFUSED, "quota", 0.0)
    history.answered(50_000.0, AnswerKind.FAILED, "attempts", 0.0)
    assert [s["at"] for s in history.slots] == [20_000.0, 30_000.0, 40_000.0]
    first, empty, _ = history.slots
    assert (first["served"], first["refused"], first["reasons"]) == (100, 1, {"quota": 1})
    assert 49 <= first["p50_ms"] <= 51 and 98 <= first["p99_ms"] <= 101
    assert empty["served"] == 0 and empty["p99_ms"] is None


def test_history_is_bounded_to_one_hour_and_its_reasons_to_a_maximum():
    history = History(0.0)
    for k in range(SLOTS * 2):
        history.answered(k * SLOT_MS, AnswerKind.SERVED, "", 1.0)
    assert len(history.slots) == SLOTS
    history.close_slots(1e12)
    assert len(history.slots) <= SLOTS and history.slot_start <= 1e12 < history.slot_start + SLOT_MS
    for k in range(100):
        history.answered(1e12, AnswerKind.REFUSED, f"why{k}", 0.0)
    assert len(history.reasons) <= 33 and sum(history.reasons.values()) == 100


# --- request traces ---------------------------------------------------------------------------------


def trace_of(request_id, kind=AnswerKind.SERVED):
    return RequestTrace(request_id, 1, 1, "c", "p", 0.0, 1.0, kind, "", ())


def test_traces_of_failures_are_always_stored_and_others_by_sample():
    traces = RequestTraces(0.25, 100)
    assert traces.ring_of("x", AnswerKind.FAILED, False) == 0 and traces.ring_of("x", AnswerKind.SERVED, True) == 0
    chosen = sum(traces.ring_of(f"b-{k:x}", AnswerKind.SERVED, False) == 1 for k in range(4000))
    assert 900 < chosen < 1100
    assert RequestTraces(0.0, 10).ring_of("x", AnswerKind.SERVED, False) is None
    assert all(RequestTraces(1.0, 10).ring_of(f"{k}", AnswerKind.REFUSED, False) == 1 for k in range(100))


def test_rings_are_bounded_and_found_by_id():
    traces = RequestTraces(1.0, 10)
    for k in range(50):
        traces.add(k % 2, trace_of(f"{k}"))
    assert [t.request_id for t in traces.last(2)] == ["48", "46"]
    assert [t.request_id for t in traces.last(9, False)][0] == "49"
    assert traces.find("49").request_id == "49" and traces.find("0") is None
    traces.apply_settings(1.0, 2)
    assert [len(r) for r in traces.rings] == [1, 1]


def ended(telemetry, request_id, kind, took, *results, reason=""):
    """Reports a request with one attempt for each result; returns the event for the log."""
    entry = Entry(request_id, 7, None, "booking", "hotel", 1.0, 0.0, 3000.0, {})
    for n, result in enumerate(results):
        attempt = Attempt(request_id, n, f"n:{n}", n * 10.0, 3000.0, {}, "booking", True, result, took)
        entry.attempts.append(attempt)
        telemetry.attempted(took, attempt, result)
    telemetry.answered(took, entry, kind, reason)
    return telemetry.request_finished(took, entry) if entry.pending_trace else None


def test_failed_request_is_logged_with_its_attempts_and_its_trace_is_found():
    traced = []
    telemetry = Telemetry(0.0, [("hotel", "wide")], {"booking": 100.0}, 0.0, 10, traced.append)
    telemetry.set_nodes(["n:0"])
    event = ended(telemetry, "r1", AnswerKind.FAILED, 50.0, "timeout", "conn_lost", reason="attempts")
    assert event.fields["attempts"] == ["0:n:0:timeout", "1:n:1:conn_lost"]
    row = telemetry.traces.find("r1").as_row()
    assert row["took_ms"] == 50.0 and row["attempts"][1] == {
        "number": 1, "node": "n:1", "after_ms": 10.0, "result": "conn_lost", "took_ms": 40.0,
    }  # fmt: skip
    assert [t.request_id for t in traced] == ["r1"] and telemetry.nodes["n:0"].last_bad == "timeout"
    assert ended(telemetry, "r2", AnswerKind.SERVED, 150.0, "ok") is None and telemetry.traces.find("r2")  # late
    assert ended(telemetry, "r3", AnswerKind.SERVED, 50.0, "ok") is None and telemetry.traces.find("r3") is None
    counts = telemetry.classes["booking"]
    assert counts.kinds[AnswerKind.SERVED] == 2 and sum(counts.buckets) == 2 and counts.sum_ms == 200.0


def test_events_are_numbered_and_bounded():
    telemetry = Telemetry(0.0)
    for k in range(MAX_EVENTS + 10):
        telemetry.event(float(k), "info", "x", {})
    assert len(telemetry.events) == MAX_EVENTS and telemetry.events[-1]["number"] == MAX_EVENTS + 10
