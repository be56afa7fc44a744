"""Parts of the daemon without a process: what needs a restart, what a leaving ingress may give, metrics, traces."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from opentelemetry.trace import SpanKind, StatusCode
from prometheus_client.parser import text_string_to_metric_families

from rushweir import Policy
from rushweir import interface as i
from rushweir.config import load_text
from rushweir.daemon.control import Lines
from rushweir.daemon.decisions import leaving, needs_restart
from rushweir.daemon.metrics import exposition
from rushweir.daemon.operations import Operations
from rushweir.daemon.traces import Tracing
from rushweir.ingress.commands import AnswerKind
from rushweir.ingress.core import Core
from rushweir.ingress.websocket import Setup
from rushweir.watch.request_traces import RequestTrace

from .conftest import SETTINGS

TEXT = SETTINGS.format(port=8080, list=7000, hotel="sha256:" + "0" * 64)


def config(change=("", ""), more=""):
    return load_text(TEXT.replace(*change) + more, "x.conf", Path("."))


def test_what_a_process_is_bound_to_needs_a_restart_and_the_rest_does_not():
    old = config()
    for change, named in (
        (("zone a", "zone b"), "zone"), (("listen 127.0.0.1:8080", "listen 127.0.0.1:8081"), "listen"),
        (("state run", "state run2"), "state"), (("ws://127.0.0.1:7000", "ws://127.0.0.1:7001"), "list"),
    ):  # fmt: skip
        (problem,) = needs_restart(old, config(change))
        assert problem.text.startswith(f"{named}: a change needs a restart") and problem.spot.line > 0
    assert not needs_restart(old, config(("burst 100000", "burst 5"), "clients {\n    ping 1s\n}\n"))
    assert {p.text.split(":")[0] for p in needs_restart(old, config(("zone a", "zone b"), "meter 1s\n"))} == {
        "zone", "meter",
    }  # fmt: skip


def test_an_ingress_that_leaves_gives_out_what_it_had_and_no_more():
    plan = i.Plan("tight", rate=1000.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=10.0)
    cls = i.RequestClass("look", 800.0, 3000.0, effect=i.Effect.SAFE)
    settings = i.Settings(0, 1, "a", (cls,), (plan, replace(plan, name="free", ceiling_rate=0.0)))
    policy = Policy(settings, 1, 0.0)
    policy.handle(0.0, i.Members(i.Scope.FULL, (i.Server("n:1"), i.Server("n:2"))))
    policy.capacity.finished.add(1e6, 0.0)

    def let_in(plan: str, now: float) -> int:
        policy.capacity.finished.add(1e5, now)
        policy.handle(now, i.Timer(0))
        n = 0
        for k in range(100):
            rid = f"{plan}{now}{k}"
            for a in policy.handle(now, i.Request(rid, "look", plan, plan, now + 3000)):
                if isinstance(a, i.Send):
                    n += 1
                    policy.handle(now, i.Outcome(rid, 0, a.server, i.Result.OK, 5.0, True))
        return n

    assert let_in("tight", 1000.0) == 10
    policy.handle(1500.0, leaving(settings))  # half a second's worth had filled
    assert let_in("tight", 1600.0) == 5 and let_in("tight", 60_000.0) == 0
    assert let_in("free", 60_000.0) == 100


@given(st.lists(st.binary(max_size=30).map(lambda b: b.replace(b"\n", b" ")), max_size=8), st.integers(1, 9))
def test_lines_in_any_pieces(lines, size):
    data, reader, found = b"".join(x + b"\n" for x in lines), Lines(100), []
    for k in range(0, len(data), size):
        found += reader.feed(data[k : k + size])
    assert found == [x for x in lines if x.strip()]


def test_a_line_that_never_ends_is_an_error_before_it_fills_memory():
    reader = Lines(1000)
    with pytest.raises(ValueError, match="more than 1000 bytes"):
        for _ in range(20):
            reader.feed(b"x" * 100)
    assert len(reader.rest) <= 1100


def core() -> Core:
    settings = config().settings()
    return Core(Setup(settings, boot="b-"), Policy(settings, 1, 0.0), 0.0)


def test_metrics_are_of_prometheus_form():
    made = core()
    made.telemetry.classes["pay"].kinds[AnswerKind.SERVED] = 3
    made.telemetry.classes["pay"].buckets[2] = 3
    made.telemetry.classes["pay"].sum_ms = 60.0
    made.engine.refusals["quota"] = 7
    found = {f.name: f for f in text_string_to_metric_families(exposition(made).decode())}
    served = {tuple(s.labels.values()): s.value for s in found["rushweir_answers"].samples}
    assert served["pay", "served"] == 3 and found["rushweir_refusals"].samples[0].value == 7
    times = [s for s in found["rushweir_served_seconds"].samples if s.labels.get("class") == "pay"]
    assert [s.value for s in times if s.labels.get("le") in ("0.01", "0.025", "+Inf")] == [0, 3, 3]
    assert [s.value for s in times if s.name.endswith("_sum")] == [0.06]


def test_a_course_becomes_spans_with_their_own_times():
    out, provider = InMemorySpanExporter(), TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(out))
    tracing = Tracing(provider.get_tracer("t"))
    attempts = (
        {"number": 0, "node": "n:1", "after_ms": 5.0, "result": "timeout", "took_ms": 20.0},
        {"number": 1, "node": "n:2", "after_ms": 30.0, "result": "ok", "took_ms": 10.0},
    )
    tracing.course(RequestTrace("b-1", 9, 4, "pay", "hotel", 1000.0, 1040.0, AnswerKind.FAILED, "attempts", attempts))
    first, second, request = out.get_finished_spans()
    assert (request.start_time, request.end_time) == (1_000_000_000, 1_040_000_000)
    assert (first.start_time, first.end_time) == (1_005_000_000, 1_025_000_000)
    assert first.parent.span_id == second.parent.span_id == request.context.span_id
    assert request.status.status_code is first.status.status_code is StatusCode.ERROR
    assert second.status.status_code is StatusCode.UNSET and second.kind is SpanKind.CLIENT
    assert request.attributes["rushweir.request"] == "b-1"


def test_rows_of_many_nodes_are_paged_ordered_and_searched():
    made = core()
    made.start(0.0)
    servers = tuple(
        i.Server(f"10.0.0.{k}:80", "ab"[k % 2], kind="slow" if k % 10 == 0 else "std") for k in range(250)
    )
    made.engine.members(0.0, i.Scope.FULL, servers)
    made.nodes.effective = {s.address: s for s in servers}
    made.telemetry.set_nodes(made.nodes.effective)
    made.telemetry.nodes["10.0.0.7:80"].results.update(ok=5, timeout=9)
    ops = Operations(made, lambda: 1000.0)
    assert ops.nodes(search="SLOW")["total"] == 25
    assert ops.nodes(order="failures", count=1)["rows"][0]["address"] == "10.0.0.7:80"
    page = ops.nodes(first=240, count=50)
    assert (page["total"], len(page["rows"])) == (250, 10)
    assert [r["nodes"] for r in ops.rooms()] == [125, 125] and ops.rooms()[1]["bad"] == 9
