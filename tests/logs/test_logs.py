"""Lines are limited by cause, hold no secrets, and never hold up who writes them."""

from __future__ import annotations

import io
import json
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.ingress.commands import LogEvent
from rushweir.logs.limiter import MOST_CAUSES, REST, TELL_MS, Limiter
from rushweir.logs.log import Log
from rushweir.logs.sink import Sink


class Now:
    def __init__(self) -> None:
        self.ms = 0.0

    def __call__(self) -> float:
        return self.ms


def written(form="json", level="info", per_s=2.0, at_once=3):
    """A log, its clock, and a call that ends it and gives its lines."""
    out, now = io.StringIO(), Now()
    sink = Sink(out)
    log = Log(sink, now, Limiter(per_s, at_once), form, level)

    def lines():
        sink.close()
        return out.getvalue().splitlines()

    return log, now, lines


def test_a_cause_has_its_first_lines_then_its_rate_and_the_rest_is_counted():
    log, now, lines = written()
    for k in range(10):
        log.event("warning", "node_down", k=k)
    log.event("info", "reloaded")
    now.ms = 500.0
    log.event("warning", "node_down", k=10)
    found = [json.loads(x) for x in lines()]
    assert [(x["event"], x.get("k"), x.get("left_out")) for x in found] == [
        ("node_down", 0, None), ("node_down", 1, None), ("node_down", 2, None), ("reloaded", None, None),
        ("node_down", 10, 7),
    ]  # fmt: skip


def test_what_was_left_out_is_told_when_the_cause_goes_quiet():
    log, now, lines = written(at_once=1)
    for _ in range(5):
        log.event("warning", "x")
    now.ms = TELL_MS - 1
    log.report_suppressed()
    now.ms = TELL_MS
    log.report_suppressed()
    log.report_suppressed()
    found = [json.loads(x) for x in lines()]
    assert [(x["event"], x.get("count")) for x in found] == [("x", None), ("left_out", 4)]


@given(st.lists(st.tuples(st.integers(0, 500), st.sampled_from("ab")), max_size=200))
def test_nothing_is_lost_of_the_count(steps):
    limiter, now = Limiter(2.0, 3), 0.0
    asked = wrote = told = 0
    for wait, cause in steps:
        now += wait
        asked += 1
        write, left = limiter.allow(now, cause)
        wrote += write
        told += left
        told += sum(n for _, n in limiter.overdue(now))
    assert asked == wrote + told + sum(b.left_out for b in limiter.buckets.values())
    assert wrote <= 2 * (3 + now * 2 / 1000)


def test_causes_are_bounded():
    limiter = Limiter(1.0, 1)
    for k in range(MOST_CAUSES * 3):
        limiter.allow(0.0, f"c{k}")
    assert len(limiter.buckets) == MOST_CAUSES + 1 and REST in limiter.buckets


@pytest.mark.parametrize("form", ["text", "json"])
def test_control_characters_and_secrets(form):
    log, _, lines = written(form)
    fields = {"partner": "a\x1b[2J\nlevel=info", "credential": "s3", "payload": {"who": "Anna"}}
    log.emit(LogEvent("error", "bad", fields))
    (line,) = lines()
    assert "\x1b" not in line and "s3" not in line and "Anna" not in line
    if form == "json":
        assert json.loads(line)["partner"] == "a\\x1b[2J\\nlevel=info"
    else:
        assert "x1b[2J" in line and line.startswith("timestamp=")


def test_level_and_length():
    log, _, lines = written("text", "warning")
    log.event("info", "no")
    log.event("warning", "yes", text="x" * 5000, many=list(range(1000)))
    (line,) = lines()
    assert "event=yes" in line and len(line) < 1000


class Stalled(io.StringIO):
    """A reader that takes nothing until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go, self.first = threading.Event(), threading.Event()

    def write(self, text: str) -> int:
        self.first.set()
        self.go.wait(10)
        return super().write(text)


def test_a_reader_that_stalls_holds_up_nobody_and_learns_what_it_missed():
    out = Stalled()
    sink = Sink(out, most=10)
    sink.put("line 0")
    assert out.first.wait(5)
    for k in range(1, 101):
        sink.put(f"line {k}")  # returns at once, or the test never ends
    assert sink.dropped == 90
    out.go.set()
    sink.close(5)
    lines = out.getvalue().splitlines()
    assert lines[:3] == ["line 0", "log: 90 lines lost, nobody read", "line 1"] and lines[-1] == "line 10"


def test_a_reader_that_is_gone_ends_nothing():
    class Gone(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    sink = Sink(Gone())
    sink.put("a")
    sink.put("b")
    sink.close(5)
    assert not sink.thread.is_alive()


def test_fields_with_the_names_of_the_line_are_kept_under_others(tmp_path):
    """Overload's own ``level`` raised a TypeError in the turn that told it."""
    lines: list[str] = []

    class Kept:
        put = staticmethod(lines.append)

    log = Log(Kept(), lambda: 0.0, Limiter(2.0, 20), "json", "info")
    log.emit(LogEvent("warning", "overload", {"level": 2, "event": "x", "delay_ms": 70}))
    (line,) = map(json.loads, lines)
    assert (line["level"], line["level_"], line["event"], line["event_"]) == ("warning", 2, "overload", "x")
