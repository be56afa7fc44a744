"""Reads a backend's complete answer: the result of its attempt, and what the answer reports. No I/O."""

from __future__ import annotations

from rushweir import interface
from rushweir.edge.http import Message

MAX_LOAD_REPORT_BYTES = 512
MAX_LOAD_FIGURES = 16  # in one load report
MAX_METER_DIGITS = 6
MAX_LOAD_FIGURE = 1e12


def result_of(answer: Message) -> interface.Result:
    """Returns the result that an answer proves."""
    if answer.status == 200:
        return interface.Result.OK
    declined = answer.status in (503, 504) and answer.headers.get(b"srv-declined", b"").strip() == b"1"
    return interface.Result.FULL if declined else interface.Result.ERROR


def quota_used(answer: Message) -> int:
    """Returns the reported meter percentage plus 1, as the policy expects it; 0 means missing or invalid."""
    text = answer.headers.get(b"x-meter", b"")
    return int(text) + 1 if text.isdigit() and len(text) <= MAX_METER_DIGITS else 0


def load_report(answer: Message) -> dict[str, float] | None:
    """Returns the load report, or None if it is missing or invalid, which does not invalidate the answer."""
    text = answer.headers.get(b"srv-load")
    if text is None or len(text) > MAX_LOAD_REPORT_BYTES:
        return None
    try:
        fields = [part.split("=") for part in text.decode("ascii").split(",")]
        load = {name.strip(): float(value) for name, value in fields}
    except ValueError:
        return None
    is_valid = len(load) <= MAX_LOAD_FIGURES and all(0 <= value < MAX_LOAD_FIGURE for value in load.values())
    return load if is_valid else None
