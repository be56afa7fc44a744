"""Limits of a WebSocket connection, the form of its requests and answers, and where the answers go."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from rushweir.costs.decisions import CostRules
from rushweir.ingress.commands import Answer, AnswerKind
from rushweir.link import rpc

MAX_KEY_LENGTH = 128  # characters
KNOWN_PARAMS = frozenset({"data", "key", "units", "within_ms"})


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Limits of one client connection. Its memory is at most one message, its open requests and ``buffer``; that of
    all connections together has a limit of its own (``ingress/held_memory.py``)."""

    path: str = "/"
    max_message: int = 262_144  # bytes after decompression
    max_batch: int = 1000  # messages in one JSON-RPC batch
    max_open: int = 1024  # requests accepted and not yet answered
    buffer: int = 1_048_576  # bytes of answers queued for a client that does not read them
    largest_units: float = 1.0  # most quota units of one request
    costs: CostRules | None = None  # prices of requests; None: each request states its own ``units``


class BatchAnswers:
    """Collects the answers of one batch, which are sent as one array once none is missing."""

    __slots__ = ("answers", "left")

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.left = 0  # answers still missing


@dataclass(slots=True)
class RequestRef:
    """Identifies the request that an answer belongs to: its JSON-RPC id, and its batch if it came in one."""

    id: rpc.Id
    batch: BatchAnswers | None


def checked_params(call: rpc.Call, largest_units: float) -> dict[str, Any]:
    """Returns the parameters of a request. Raises RpcError, which names the one at fault."""
    params = {} if call.params is None else call.params
    if type(params) is not dict:
        raise rpc.RpcError(rpc.INVALID_PARAMS, "params: an object", call.id)
    if unknown := [name for name in params if name not in KNOWN_PARAMS]:
        raise rpc.RpcError(rpc.INVALID_PARAMS, f"params.{unknown[0][:60]}: not known", call.id)
    within, units, key = params.get("within_ms"), params.get("units", 1), params.get("key")
    if within is not None and not (finite_number(within) or 0) > 0:
        raise rpc.RpcError(rpc.INVALID_PARAMS, "params.within_ms: a number above 0", call.id)
    if not 0 < (finite_number(units) or 0) <= largest_units:
        text = f"params.units: a number above 0, {largest_units:g} at most"
        raise rpc.RpcError(rpc.INVALID_PARAMS, text, call.id)
    if key is not None and not (type(key) is str and 0 < len(key) <= MAX_KEY_LENGTH):
        raise rpc.RpcError(rpc.INVALID_PARAMS, f"params.key: text of at most {MAX_KEY_LENGTH} characters", call.id)
    return params


def answer_text(request_id: rpc.Id, answer: Answer) -> bytes:
    """Returns the final answer to a request as a message."""
    if answer.kind == AnswerKind.SERVED:
        body = answer.body
        if body is not None and body[0] == "error":
            return rpc.error(request_id, body[1].get("code"), body[1].get("message", ""), body[1].get("data"))
        return rpc.result(request_id, body[1] if body is not None else None)
    if answer.kind == AnswerKind.REFUSED:
        data = {
            "reason": answer.reason, "repeat": "harmless", "retry_after_ms": math.ceil(answer.retry_after_ms),
            "request": answer.request_id,
        }  # fmt: skip
        code = rpc.METHOD_NOT_FOUND if answer.reason == "unknown_class" else rpc.REFUSED
        return rpc.error(request_id, code, f"refused: {answer.reason}", data)
    return rpc.error(request_id, rpc.FAILED, "failed", {"reason": answer.reason, "request": answer.request_id})


def finite_number(value: Any) -> float | None:
    """Returns a JSON number as a finite float, and None for anything else, ``true`` and ``false`` included."""
    if type(value) is int or type(value) is float:
        try:
            converted = float(value)
        except OverflowError:
            return None
        return converted if math.isfinite(converted) else None
    return None


def is_utf8(data: bytes) -> bool:
    """Returns whether the bytes decode as UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
