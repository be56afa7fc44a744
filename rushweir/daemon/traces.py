"""Courses as traces on OpenTelemetry's API: a span for the request, one for each attempt, with their own times.

Which courses are kept was decided before (watch/request_traces.py), at the end of the request, so that a failure is
never missing; spans are made of those only. Without an SDK in the process the API's spans are no-ops, and cost
nothing on the way of a request in any case.
"""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.trace import SpanKind, StatusCode

from rushweir.ingress.commands import AnswerKind
from rushweir.watch.request_traces import RequestTrace
from rushweir.watch.telemetry import GOOD


class Tracing:
    """Turns courses into spans. The ingress's clock is a wall clock in milliseconds; spans take nanoseconds."""

    def __init__(self, tracer: trace.Tracer | None = None) -> None:
        self.tracer = tracer or trace.get_tracer("rushweir")

    def course(self, course: RequestTrace) -> None:
        span = self.tracer.start_span(
            "request", kind=SpanKind.SERVER, start_time=_ns(course.accepted_ms),
            attributes={
                "rushweir.request": course.request_id, "rushweir.class": course.class_name,
                "rushweir.partner": course.partner,
                "rushweir.connection": course.conn, "rushweir.answer": course.kind, "rushweir.why": course.reason,
            },
        )  # fmt: skip
        if course.kind == AnswerKind.FAILED:
            span.set_status(StatusCode.ERROR, course.reason)
        inside = trace.set_span_in_context(span)
        for a in course.attempts:
            began = course.accepted_ms + a["after_ms"]
            attempt = self.tracer.start_span(
                "attempt", inside, kind=SpanKind.CLIENT, start_time=_ns(began),
                attributes={f"rushweir.{name}": a[name] for name in ("number", "node", "result")},
            )  # fmt: skip
            if a["result"] not in GOOD:
                attempt.set_status(StatusCode.ERROR, a["result"])
            attempt.end(_ns(began + a["took_ms"]))
        span.end(_ns(course.ended_ms))


def _ns(ms: float) -> int:
    return int(ms * 1_000_000)
