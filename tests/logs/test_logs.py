"""Lines are limited by cause, contain no secrets, and never block their writer."""

from __future__ import annotations

import io
import json
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.ingress.commands import LogEvent
from rushweir.logs.limiter import MAX_CAUSES, OTHER_CAUSES, REPORT_DELAY_MS, Limiter
from rushweir.logs.log import Log
from rushweir.logs.sink import Sink


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.ms = 0.0

    def __call__(self) -> float:
        return self.ms


def open_log(form="json", level="info", per_s=2.0, burst=3):
    """Returns a log, its clock, and a function that closes it and returns its lines."""
    out, clock = io.StringIO(), Clock()
    sink = Sink(out)
    log = Log(sink, clock, Limiter(per_s, burst), form, level)

    def lines():
        sink.close()
        return out.getvalue().splitlines()

    return log, clock, lines


def test_cause_is_limited_to_burst_and_rate_and_suppressed_events_are_counted():
    log, clock, lines = open_log()
    for k in range(10):
        log.event("warning", "node_down", k=k)
    log.event("info", "reloaded")
    clock.ms = 500.0
    log.event("warning", "node_down", k=10)
    events = [json.loads(line) for line in lines()]
    assert [(event["event"], event.get("k"), event.get("left_out")) for event in events] == [
        ("node_down", 0, None), ("node_down", 1, None), ("node_down", 2, None), ("reloaded", None, None),
        ("node_down", 10, 7),
    ]  # fmt: skip


def test_suppressed_events_are_reported_once_after_the_delay():
    log, clock, lines = open_log(burst=1)
    for _ in range(5):
        log.event("warning", "x")
    clock.ms = REPORT_DELAY_MS - 1
    log.report_suppressed()
    clock.ms = REPORT_DELAY_MS
    log.report_suppressed()
    log.report_suppressed()
    events = [json.loads(line) for line in lines()]
    assert [(event["event"], event.get("count")) for event in events] == [("x", None), ("left_out", 4)]


@given(st.lists(st.tuples(st.integers(0, 500), st.sampled_from("ab")), max_size=200))
def test_each_event_is_written_or_counted(steps):
    limiter, now = Limiter(2.0, 3), 0.0
    requested = written = reported = 0
    for wait, cause in steps:
        now += wait
        requested += 1
        allowed, suppressed = limiter.allow(now, cause)
        written += allowed
        reported += suppressed
        reported += sum(count for _, count in limiter.overdue(now))
    assert requested == written + reported + sum(bucket.suppressed for bucket in limiter.buckets.values())
    assert written <= 2 * (3 + now * 2 / 1000)


def test_number_of_causes_is_bounded():
    limiter = Limiter(1.0, 1)
    for k in range(MAX_CAUSES * 3):
        limiter.allow(0.0, f"c{k}")
    assert len(limiter.buckets) == MAX_CAUSES + 1 and OTHER_CAUSES in limiter.buckets


@pytest.mark.parametrize("form", ["text", "json"])
def test_control_characters_are_escaped_and_secrets_hidden(form):
    log, _, lines = open_log(form)
    fields = {"partner": "a\x1b[2J\nlevel=info", "credential": "s3", "payload": {"who": "Anna"}}
    log.emit(LogEvent("error", "bad", fields))
    (line,) = lines()
    assert "\x1b" not in line and "s3" not in line and "Anna" not in line
    if form == "json":
        assert json.loads(line)["partner"] == "a\\x1b[2J\\nlevel=info"
    else:
        assert "x1b[2J" in line and line.startswith("timestamp=")


def test_low_levels_are_not_written_and_long_values_are_shortened():
    log, _, lines = open_log("text", "warning")
    log.event("info", "no")
    log.event("warning", "yes", text="x" * 5000, many=list(range(1000)))
    (line,) = lines()
    assert "event=yes" in line and len(line) < 1000


class Stalled(io.StringIO):
    """A reader that takes nothing until ``release`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.release, self.first_write = threading.Event(), threading.Event()

    def write(self, text: str) -> int:
        self.first_write.set()
        self.release.wait(10)
        return super().write(text)


def test_stalled_reader_blocks_no_writer_and_gets_the_number_of_dropped_lines():
    out = Stalled()
    sink = Sink(out, max_lines=10)
    sink.put("line 0")
    assert out.first_write.wait(5)
    for k in range(1, 101):
        sink.put(f"line {k}")  # does not block, or the test never ends
    assert sink.dropped == 90
    out.release.set()
    sink.close(5)
    lines = out.getvalue().splitlines()
    assert lines[:3] == ["line 0", "log: 90 lines dropped, reader too slow", "line 1"] and lines[-1] == "line 10"


def test_closed_reader_does_not_end_the_sink():
    class Closed(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    sink = Sink(Closed())
    sink.put("a")
    sink.put("b")
    sink.close(5)
    assert not sink.thread.is_alive()


def test_fields_with_reserved_names_are_written_under_other_names(tmp_path):
    """The field ``level`` of an overload event raised a TypeError when it was logged."""
    lines: list[str] = []

    class ListSink:
        put = staticmethod(lines.append)

    log = Log(ListSink(), lambda: 0.0, Limiter(2.0, 20), "json", "info")
    log.emit(LogEvent("warning", "overload", {"level": 2, "event": "x", "delay_ms": 70}))
    (line,) = map(json.loads, lines)
    assert (line["level"], line["level_"], line["event"], line["event_"]) == ("warning", 2, "overload", "x")
