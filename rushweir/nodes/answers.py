"""What a node's answer says of its attempt, by what is in it. No I/O."""

from __future__ import annotations

from typing import Any

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.link import rpc


def ended(attempt: c.Attempt, reply: rpc.Reply) -> c.AttemptEnded:
    """What a node's answer says of its attempt."""
    if reply.error is None:
        value = reply.result if isinstance(reply.result, dict) else {"data": reply.result}
        return c.AttemptEnded(
            attempt, i.Result.OK, ("result", value.get("data")), _count(value.get("used")),
            _amount(value.get("cost")), load(value.get("load")),
        )  # fmt: skip
    code = reply.error["code"]
    if code == rpc.NODE_FULL:
        return c.AttemptEnded(attempt, i.Result.FULL, quota_used=_told(reply.error, "used"))
    if code in rpc.SERVER_RANGE or code in (rpc.INTERNAL_ERROR, rpc.PARSE_ERROR, rpc.INVALID_REQUEST):
        return c.AttemptEnded(attempt, i.Result.ERROR, quota_used=_told(reply.error, "used"))
    # Any other code is the application's own answer ("no such ride"): the node did its work, and the client
    # is told what it said.
    return c.AttemptEnded(attempt, i.Result.OK, ("error", reply.error))


def _told(error: dict[str, Any], name: str) -> int:
    data = error.get("data")
    return _count(data.get(name)) if isinstance(data, dict) else 0


def _count(value: Any) -> int:
    return value if type(value) is int and 0 <= value < 1 << 31 else 0


def _amount(value: Any) -> float:
    """A cost; nothing told where it is no sensible figure, so that one bad answer can't empty a store."""
    return float(value) if type(value) in (int, float) and 0 < value < 1e9 else 0.0


def load(value: Any) -> dict[str, float] | None:
    if not isinstance(value, dict) or len(value) > 16:
        return None
    return {k: float(v) for k, v in value.items() if type(v) in (int, float)}
