"""The operators' socket: JSON-RPC 2.0, one message a line. No I/O here.

    {"jsonrpc":"2.0","id":1,"method":"nodes","params":{"search":"room-a"}}

Whoever may open the socket may do all of it: its file's rights are the rights. A line that is no request is
answered with an error; one that is too long ends the connection, since where the next begins can't be known.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rushweir.link import rpc

MOST_LINE = 65_536  # of a question
MOST_ANSWER = 16_777_216
MOST_CONNECTIONS = 32


class OperatorError(Exception):
    """What was asked can't be done; the text says why."""


class Lines:
    """Bytes in, whole lines out."""

    def __init__(self, most: int) -> None:
        self.most, self.rest = most, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. Raises ValueError where one is too long."""
        self.rest += data
        if b"\n" not in data:
            if len(self.rest) > self.most:
                raise ValueError(f"a line of more than {self.most} bytes")
            return []
        *lines, rest = bytes(self.rest).split(b"\n")
        self.rest = bytearray(rest)
        if any(len(x) > self.most for x in (*lines, rest)):
            raise ValueError(f"a line of more than {self.most} bytes")
        return [x for x in lines if x.strip()]


def ask(line: bytes) -> rpc.Call | bytes:
    """The question in a line, or the answer to what is none."""
    try:
        message = rpc.parse(line, 1)
    except rpc.RpcError as problem:
        return problem.answer()
    if not isinstance(message, rpc.Call) or message.id is None:
        return rpc.error(None, rpc.INVALID_REQUEST, "one request with an id is expected")
    if message.params is not None and not isinstance(message.params, dict):
        return rpc.error(message.id, rpc.INVALID_PARAMS, "params: an object")
    return message


def answer(call: rpc.Call, methods: dict[str, Callable[..., Any]]) -> bytes:
    """Call a method by its name, with its parameters by theirs."""
    method = methods.get(call.method)
    if method is None:
        known = ", ".join(sorted(methods))
        return rpc.error(call.id, rpc.METHOD_NOT_FOUND, f"{call.method[:60]}: not known; known are {known}")
    try:
        return rpc.result(call.id, method(**(call.params or {})))
    except TypeError as problem:
        return rpc.error(call.id, rpc.INVALID_PARAMS, str(problem).replace("Operations.", "")[:300])
    except OperatorError as problem:
        return rpc.error(call.id, rpc.FAILED, str(problem))
