"""HTTP/1.1 for the console, on h11: bytes in, whole requests out, answers as bytes. No I/O.

Bounds: a head of 16 KiB, a body of 8 KiB (forms are small), one request at a time; what a client sends before
its answer was read waits in the socket.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11

MOST_HEAD, MOST_BODY, MOST_FIELDS = 16_384, 8_192, 64


@dataclass(slots=True)
class Request:
    """One request, whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    form: dict[str, str] = field(default_factory=dict)
    address: str = ""

    @property
    def cookies(self) -> dict[str, str]:
        """RFC 6265, 4.2.1: cookie-pair *( ";" SP cookie-pair )."""
        pairs = (p.partition("=") for p in self.headers.get("cookie", "").split(";"))
        return {name.strip(): value.strip() for name, _, value in pairs}


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    kind: str = "text/html; charset=utf-8"
    headers: list[tuple[str, str]] = field(default_factory=list)


class HttpError(Exception):
    """A request that gets an error and the end of its connection."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class HttpConnection:
    """One connection. ``receive`` gives a request when one is whole; ``answer`` its answer as bytes."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.head: h11.Request | None = None
        self.body = b""
        self.begun = False  # some of a request is there

    def receive(self, data: bytes) -> Request | None:
        """Take in bytes; b"" is the end. Raises HttpError."""
        self.begun = self.begun or bool(data)
        try:
            self.http.receive_data(data)
            return self.next()
        except h11.RemoteProtocolError as problem:
            raise HttpError(problem.error_status_hint or 400, str(problem)[:200]) from None

    def next(self) -> Request | None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Request):
                self.head, self.body = event, b""
            elif isinstance(event, h11.Data):
                self.body += bytes(event.data)
                if len(self.body) > MOST_BODY:
                    raise HttpError(413, f"a body of more than {MOST_BODY} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return self._request()

    def _request(self) -> Request:
        head = self.head
        assert head is not None
        parts = urlsplit(head.target.decode("latin-1"))
        headers = {n.decode("latin-1").lower(): v.decode("latin-1") for n, v in head.headers}
        form: dict[str, str] = {}
        if self.body:
            if not headers.get("content-type", "").startswith("application/x-www-form-urlencoded"):
                raise HttpError(415, "a form is expected")
            form = _fields(self.body.decode("utf-8", "replace"))
        return Request(head.method.decode("latin-1"), parts.path, _fields(parts.query), headers, form)

    def answer(self, response: Response, head_only: bool = False, last: bool = False) -> tuple[bytes, bool]:
        """The answer's bytes, and whether the connection goes on."""
        headers = [
            ("Content-Type", response.kind), ("Content-Length", str(len(response.body))), *response.headers,
            *([("Connection", "close")] if last else []),
        ]  # fmt: skip
        out = self.http.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body and not head_only:
            out += self.http.send(h11.Data(data=response.body)) or b""
        out += self.http.send(h11.EndOfMessage()) or b""
        self.begun = False
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return out, True
        return out, False


def _fields(text: str) -> dict[str, str]:
    try:
        return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=MOST_FIELDS))
    except ValueError:
        raise HttpError(400, f"{MOST_FIELDS} fields at most") from None
