"""JSON-RPC 2.0 messages (https://www.jsonrpc.org/specification): parsing, checking, writing. No I/O.

Errors name the member at fault. The module is independent of methods and their parameters.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

Id = str | int
MAX_ID_LENGTH = 128  # characters: an id is stored for as long as its request is open
MAX_METHOD_LENGTH = 128  # characters

# 5.1, "Error object": the codes that the specification reserves ...
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
INTERNAL_ERROR = -32603
# ... and those of this program, in the range for implementations (-32000 to -32099).
REFUSED = -32010  # not executed, so that a retry is safe; data: reason, retry_after_ms
FAILED = -32011  # may have been executed, or may still be
NODE_FULL = -32020  # from a node: rejected before execution, so it never ran
NODE_ERROR = -32021  # from a node: an error during execution
SERVER_RANGE = range(-32099, -31999)


class RpcError(Exception):
    """A message that is not valid JSON-RPC 2.0, with the error to answer."""

    def __init__(self, code: int, text: str, id: Id | None = None, data: dict[str, Any] | None = None) -> None:
        super().__init__(text)
        self.code, self.id, self.data = code, id, data

    def answer(self) -> bytes:
        """Returns the error response."""
        return error(self.id, self.code, str(self), self.data)


@dataclass(slots=True)  # not frozen, as Reply: one is created for each message, and freezing triples the cost
class Call:
    """A request; ``id`` is None for a notification, which is not answered."""

    method: str
    params: Any = None
    id: Id | None = None


@dataclass(slots=True)
class Reply:
    """A response to a request of this side; ``error`` is None if it succeeded."""

    id: Id | None
    result: Any = None
    error: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch of messages; invalid ones are given as the error to answer."""

    calls: tuple[Call | Reply | RpcError, ...]


def parse(text: bytes | str, max_batch: int = 1000) -> Call | Reply | Batch:
    """Parses one message. ``max_batch`` limits the members of a batch. Raises RpcError."""
    try:
        message = orjson.loads(text)
    except orjson.JSONDecodeError as problem:
        raise RpcError(PARSE_ERROR, f"not JSON: {str(problem)[:200]}") from None
    if isinstance(message, list):
        if not message:  # 6, "rpc call with an empty Array"
            raise RpcError(INVALID_REQUEST, "a batch holds at least one request")
        if len(message) > max_batch:
            raise RpcError(INVALID_REQUEST, f"a batch holds {max_batch} requests at most")
        return Batch(tuple(_check_member(member) for member in message))
    return check(message)


def _check_member(message: Any) -> Call | Reply | RpcError:
    try:
        return check(message)
    except RpcError as problem:
        return problem


def check(message: Any) -> Call | Reply:
    """Returns one decoded message as a Call or a Reply. Raises RpcError, with the id if it could be read."""
    if type(message) is not dict:
        raise RpcError(INVALID_REQUEST, "a message is an object")
    id = message.get("id")
    if id is not None and not (type(id) is int or (type(id) is str and len(id) <= MAX_ID_LENGTH)):
        # 4: "String, Number, or NULL"; fractional numbers SHOULD NOT be used, and can't be compared safely.
        raise RpcError(INVALID_REQUEST, f"id: a whole number or text of at most {MAX_ID_LENGTH} characters")
    if message.get("jsonrpc") != "2.0":
        raise RpcError(INVALID_REQUEST, 'jsonrpc: must be "2.0"', id)
    method = message.get("method")
    if method is None:
        if "result" in message or "error" in message:
            problem = message.get("error")
            if problem is not None and not (type(problem) is dict and type(problem.get("code")) is int):
                raise RpcError(INVALID_REQUEST, "error: an object with a whole number as code", id)
            return Reply(id, message.get("result"), problem)
        raise RpcError(INVALID_REQUEST, "method: missing", id)
    if type(method) is not str or len(method) > MAX_METHOD_LENGTH:
        raise RpcError(INVALID_REQUEST, f"method: text of at most {MAX_METHOD_LENGTH} characters", id)
    params = message.get("params")
    if params is not None and type(params) is not dict and type(params) is not list:
        raise RpcError(INVALID_REQUEST, "params: an object or an array", id)
    if "id" in message and id is None:
        # A null id can't be distinguished from the response to an unreadable request (4, note on null).
        raise RpcError(INVALID_REQUEST, "id: null names no request")
    return Call(method, params, id)


def call(method: str, params: Any, id: Id | None = None) -> bytes:
    """Returns the text of a request, or of a notification if there is no id."""
    message: dict[str, Any] = {"jsonrpc": "2.0", "method": method, "params": params}
    if id is not None:
        message["id"] = id
    return orjson.dumps(message)


def result(id: Id | None, value: Any) -> bytes:
    """Returns the text of a successful response."""
    return orjson.dumps({"jsonrpc": "2.0", "id": id, "result": value})


def error(id: Id | None, code: int, text: str, data: Any = None) -> bytes:
    """Returns the text of an error response."""
    problem: dict[str, Any] = {"code": code, "message": text}
    if data is not None:
        problem["data"] = data
    return orjson.dumps({"jsonrpc": "2.0", "id": id, "error": problem})


def batch_reply(answers: list[bytes]) -> bytes:
    """Returns the response to a batch: one array, in any order (6)."""
    return b"[" + b",".join(answers) + b"]"
