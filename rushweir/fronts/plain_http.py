"""Plain HTTP/1.1 on the clients' port: the health page, and answers that name the WebSocket path. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import orjson

MAX_HEAD_BYTES = 16384  # of a request head: some proxies add long cookies, nothing needs more


def last_answer(status: int, text: str, headers: list[tuple[str, str]] | None = None) -> list[bytes]:
    """Returns the bytes of an answer after which the connection ends; ``text`` is the error in its JSON body."""
    body = orjson.dumps({"error": text})
    answer = h11.Response(
        status_code=status,
        headers=[
            ("Content-Type", "application/json"), ("Content-Length", str(len(body))),
            ("Connection", "close"), *(headers or []),
        ],
    )  # fmt: skip
    writer = h11.Connection(h11.SERVER)
    return [writer.send(answer) or b"", writer.send(h11.Data(data=body)) or b""]


class PlainHttp:
    """The requests of one plain HTTP connection, answered in order (RFC 9112, 9.3.2)."""

    def __init__(self, websocket_path: str, health: Callable[[], tuple[int, dict[str, Any]]]) -> None:
        """``health`` returns status and content of the health page."""
        self.websocket_path, self.health = websocket_path, health
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.finished = False  # the last answer is given

    @property
    def held_bytes(self) -> int:
        """The memory of the request that is not complete."""
        return len(self.protocol.trailing_data[0])

    def receive(self, data: bytes, answers: list[bytes]) -> None:
        """Takes bytes and appends the answers to the requests that they complete.

        Raises h11.RemoteProtocolError for a malformed request; those before it are answered."""
        http = self.protocol
        http.receive_data(data)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                break
            if isinstance(event, h11.Request):
                target, method = event.target.split(b"?", 1)[0].decode("latin-1"), event.method
            if isinstance(event, h11.EndOfMessage):
                answers.append(self._answer(method, target))
                if http.our_state is h11.MUST_CLOSE:
                    break
                http.start_next_cycle()
        self.finished = http.our_state in (h11.MUST_CLOSE, h11.CLOSED)

    def _answer(self, method: bytes, target: str) -> bytes:
        headers: list[tuple[str, str]] = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
        if target == "/health" and method in (b"GET", b"HEAD"):
            status, page = self.health()
        elif target == self.websocket_path:
            # RFC 9110, 15.5.22: the answer names the required protocol.
            status, page = 426, {"error": "this path speaks WebSocket, subprotocol jsonrpc"}
            headers += [("Upgrade", "websocket"), ("Connection", "Upgrade")]
        elif target == "/health":
            status, page = 405, {"error": "GET or HEAD"}
            headers.append(("Allow", "GET, HEAD"))
        else:
            status, page = 404, {"error": "no such page"}
        body = orjson.dumps(page)
        http = self.protocol
        out = http.send(h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))]))
        if method != b"HEAD":
            out = (out or b"") + (http.send(h11.Data(data=body)) or b"")
        return (out or b"") + (http.send(h11.EndOfMessage()) or b"")
