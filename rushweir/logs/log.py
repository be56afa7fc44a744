"""The log of a process, on structlog: an event a line, as logfmt or JSON, with what led to it as fields."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog

from rushweir.ingress.commands import LogEvent
from rushweir.logs.limiter import Limiter
from rushweir.logs.sink import Sink

LEVELS = logging.getLevelNamesMapping()
MOST_VALUE = 500  # characters of a field's value
# Never written, whoever hands them in: a credential, or what a client sent for the nodes (it may name passengers).
HIDDEN = frozenset({"authorization", "credential", "password", "secret", "key", "payload", "data", "body", "params"})


def clean(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """Fields that may be written, each on one line of its own bytes: control characters could move a terminal's
    cursor, or make one line look like two."""
    return {name: "(hidden)" if name in HIDDEN else _plain(value) for name, value in event.items()}


def _plain(value: Any) -> Any:
    if isinstance(value, bool | int | float | None):
        return value
    if isinstance(value, list | tuple):
        return [_plain(v) for v in value[:32]]
    text = str(value)
    text = text if len(text) <= MOST_VALUE else text[: MOST_VALUE - 1] + "…"
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


def _text_last(logger: Any, name: str, event: dict[str, Any]) -> str:
    event = {k: " ".join(map(str, v)) if isinstance(v, list) else v for k, v in event.items()}
    order = ["timestamp", "level", "event"]
    return structlog.processors.LogfmtRenderer(key_order=order, drop_missing=True)(logger, name, event)


TAKEN = {"event", "level", "timestamp"}  # by the line itself


class Log:
    """Writes events to a sink, as often as the limiter lets each cause."""

    def __init__(self, sink: Sink, clock: Callable[[], float], limiter: Limiter, form: str, level: str) -> None:
        self.sink, self.clock = sink, clock
        self.apply_settings(limiter, form, level)

    def apply_settings(self, limiter: Limiter, form: str, level: str) -> None:
        """Other settings from now on."""
        self.limiter, self.least = limiter, LEVELS[level.upper()]
        last = structlog.processors.JSONRenderer() if form == "json" else _text_last
        self.logger = structlog.wrap_logger(
            _Lines(self.sink),
            processors=[
                structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                clean, last,
            ],
            wrapper_class=structlog.BoundLogger,
        )  # fmt: skip

    def event(self, level: str, cause: str, /, **fields: Any) -> None:
        if LEVELS[level.upper()] < self.least:
            return
        write, left_out = self.limiter.allow(self.clock(), cause)
        if write:
            more = {"left_out": left_out} if left_out else {}
            getattr(self.logger, level)(cause, **fields, **more)

    def emit(self, event: LogEvent) -> None:
        # Overload tells its level, and a fault its event: under the line's own names they broke the line off.
        fields = {f"{k}_" if k in TAKEN else k: v for k, v in event.fields.items()}
        self.event(event.level, event.cause, **fields)

    def report_suppressed(self) -> None:
        """To be called now and then: lines left out of causes that have gone quiet."""
        for cause, count in self.limiter.overdue(self.clock()):
            self.logger.warning("left_out", cause=cause, count=count)


class _Lines:
    """What structlog writes to: each method takes a line."""

    def __init__(self, sink: Sink) -> None:
        self.debug = self.info = self.warning = self.error = self.critical = sink.put
