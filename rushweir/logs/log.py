"""The log of a process, on structlog: one event per line, as logfmt or JSON, with its details as fields."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog

from rushweir.ingress.commands import LogEvent
from rushweir.logs.limiter import Limiter
from rushweir.logs.sink import Sink

LEVELS = logging.getLevelNamesMapping()
MAX_VALUE_LENGTH = 500  # characters of a field's value
# Never written, whoever passes them: credentials, and what a client sent for the nodes, which may name passengers.
HIDDEN_FIELDS = frozenset(
    {"authorization", "credential", "password", "secret", "key", "payload", "data", "body", "params"}
)


def sanitize(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """Hides secret fields, shortens long values and escapes control characters, which could move a terminal's cursor
    or make one line look like two. A processor of structlog."""
    return {name: "(hidden)" if name in HIDDEN_FIELDS else _sanitize_value(value) for name, value in event.items()}


def _sanitize_value(value: Any) -> Any:
    if isinstance(value, bool | int | float | None):
        return value
    if isinstance(value, list | tuple):
        return [_sanitize_value(item) for item in value[:32]]
    text = str(value)
    text = text if len(text) <= MAX_VALUE_LENGTH else text[: MAX_VALUE_LENGTH - 1] + "…"
    return "".join(char if char.isprintable() else char.encode("unicode_escape").decode() for char in text)


def _render_logfmt(logger: Any, name: str, event: dict[str, Any]) -> str:
    event = {field: " ".join(map(str, value)) if isinstance(value, list) else value for field, value in event.items()}
    order = ["timestamp", "level", "event"]
    return structlog.processors.LogfmtRenderer(key_order=order, drop_missing=True)(logger, name, event)


RESERVED_FIELDS = {"event", "level", "timestamp"}  # set by the log itself


class Log:
    """Writes events to a sink, as often as the limiter allows for each cause."""

    def __init__(self, sink: Sink, clock: Callable[[], float], limiter: Limiter, form: str, level: str) -> None:
        """``clock`` returns milliseconds; ``form``: ``json`` or another word for logfmt; ``level``: the lowest level
        that is written, by its name."""
        self.sink, self.clock = sink, clock
        self.apply_settings(limiter, form, level)

    def apply_settings(self, limiter: Limiter, form: str, level: str) -> None:
        """Replaces the limiter, the format and the level for later events."""
        self.limiter, self.min_level = limiter, LEVELS[level.upper()]
        renderer = structlog.processors.JSONRenderer() if form == "json" else _render_logfmt
        self.logger = structlog.wrap_logger(
            _LineWriter(self.sink),
            processors=[
                structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                sanitize, renderer,
            ],
            wrapper_class=structlog.BoundLogger,
        )  # fmt: skip

    def event(self, level: str, cause: str, /, **fields: Any) -> None:
        """Writes an event, unless its level is too low or its cause over the limit."""
        if LEVELS[level.upper()] < self.min_level:
            return
        allowed, suppressed = self.limiter.allow(self.clock(), cause)
        if allowed:
            more = {"left_out": suppressed} if suppressed else {}
            getattr(self.logger, level)(cause, **fields, **more)

    def emit(self, log_event: LogEvent) -> None:
        """Writes a log event of a core. Fields with a reserved name get a trailing underscore."""
        # Overload has a field "level", and a fault a field "event": under these names the call raised a TypeError.
        fields = {f"{name}_" if name in RESERVED_FIELDS else name: value for name, value in log_event.fields.items()}
        self.event(log_event.level, log_event.cause, **fields)

    def report_suppressed(self) -> None:
        """Writes the numbers of suppressed events that are due. To be called regularly."""
        for cause, count in self.limiter.overdue(self.clock()):
            self.logger.warning("left_out", cause=cause, count=count)


class _LineWriter:
    """The logger that structlog wraps: each method writes a line."""

    def __init__(self, sink: Sink) -> None:
        self.debug = self.info = self.warning = self.error = self.critical = sink.put
