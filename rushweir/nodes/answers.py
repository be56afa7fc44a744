"""Converts a node's reply into the result of its attempt. No I/O."""

from __future__ import annotations

from typing import Any

from rushweir import interface
from rushweir.ingress import commands
from rushweir.link import rpc


def attempt_ended(attempt: commands.Attempt, reply: rpc.Reply) -> commands.AttemptEnded:
    """Returns the end of an attempt, by its reply."""
    if reply.error is None:
        value = reply.result if isinstance(reply.result, dict) else {"data": reply.result}
        return commands.AttemptEnded(
            attempt, interface.Result.OK, ("result", value.get("data")), _parse_count(value.get("used")),
            _parse_cost(value.get("cost")), parse_load(value.get("load")),
        )  # fmt: skip
    code = reply.error["code"]
    if code == rpc.NODE_FULL:
        return commands.AttemptEnded(attempt, interface.Result.FULL, quota_used=_error_count(reply.error, "used"))
    if code in rpc.SERVER_RANGE or code in (rpc.INTERNAL_ERROR, rpc.PARSE_ERROR, rpc.INVALID_REQUEST):
        return commands.AttemptEnded(attempt, interface.Result.ERROR, quota_used=_error_count(reply.error, "used"))
    # Any other code is the application's own answer ("no such ride"): the node did its work, and the answer is
    # passed on to the client.
    return commands.AttemptEnded(attempt, interface.Result.OK, ("error", reply.error))


def _error_count(error: dict[str, Any], name: str) -> int:
    data = error.get("data")
    return _parse_count(data.get(name)) if isinstance(data, dict) else 0


def _parse_count(value: Any) -> int:
    return value if type(value) is int and 0 <= value < 1 << 31 else 0


def _parse_cost(value: Any) -> float:
    """Returns a cost, or 0 if the value is implausible, so that one bad answer can't empty a token bucket."""
    return float(value) if type(value) in (int, float) and 0 < value < 1e9 else 0.0


def parse_load(value: Any) -> dict[str, float] | None:
    """Returns the numbers of a load report, or None if there is none of at most 16 fields."""
    if not isinstance(value, dict) or len(value) > 16:
        return None
    return {name: float(number) for name, number in value.items() if type(number) in (int, float)}
