"""Parses HTTP/1.1 messages (RFC 9112) for both client and backend connections. No I/O.

The parser is llhttp, through httptools. It refuses what RFC 9112 describes as an attack or leaves open: obs-fold
(5.2), a length beside a transfer coding (6.1), repeated, negative or non-numeric lengths (6.3), bare line ends. This
module adds size limits and passes on complete messages only. docs/edge.md compares the parsers.
"""

from __future__ import annotations

import httptools

MAX_HEAD_BYTES = 16_384  # some proxies add long cookies, nothing needs more
MAX_HEADER_FIELDS = 100
MAX_BODY_BYTES = 65_536
MAX_BODY_PIECES = 8192  # chunks of a few bytes each cost many times their size in memory
# Bytes that are neither head nor body: the sizes of that many chunks, trailers, and one read that counts in full.
MAX_FRAMING_BYTES = 8 * MAX_BODY_PIECES + 65_536
MAX_QUEUED_REQUESTS = 64  # complete requests that wait for the answer to the one before them
TOO_MANY_QUEUED = "too many requests ahead of their answers"


class Malformed(Exception):
    """Input that is not valid HTTP or exceeds a limit; ``status`` is the answer for a client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Message:
    """One message. Header names are in lower case; of a repeated header the last value is stored and its name is in
    ``repeated``."""

    __slots__ = ("body", "headers", "keep", "method", "repeated", "status", "target")

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.repeated: set[bytes] = set()
        self.body, self.target, self.method, self.status, self.keep = b"", b"", b"", 0, True


class _Reader:
    """The parser callbacks and size limits that requests and answers share."""

    def __init__(self, parser: type, max_body: int) -> None:
        self.parser, self.max_body = parser(self), max_body
        self.complete: list[Message] = []  # not yet returned by ``feed``
        self.message: Message | None = None  # the incomplete one
        self.in_head, self.size, self.begun_count = False, 0, 0  # ``size``: bytes of the head, then of the body
        self.bytes_after_head = 0  # of the body and its framing
        self.body_pieces: list[bytes] = []
        self.error: Malformed | None = None

    def on_message_begin(self) -> None:
        self.message, self.in_head, self.body_pieces = Message(), True, []
        self.begun_count += 1
        self.size = self.bytes_after_head = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser leaves trailing white space, which is not part of the value (RFC 9110, 5.5).
        headers, name, value = self.message.headers, name.lower(), value.strip(b" \t")
        if name in headers:
            self.message.repeated.add(name)
        headers[name] = value
        if len(headers) > MAX_HEADER_FIELDS:
            self._fail(431, "too many header fields")

    def on_body(self, data: bytes) -> None:
        self.body_pieces.append(data)
        self.size += len(data)
        if self.size > self.max_body:
            self._fail(413, "body too large")

    def _check_length(self) -> None:
        """Refuses a body by its announced length, before any of it is read."""
        length = self.message.headers.get(b"content-length")
        if length is not None and int(length) > self.max_body:
            self._fail(413, "body too large")
        self.in_head, self.size = False, 0

    def on_message_complete(self) -> None:
        message, self.message = self.message, None
        message.body = self.body_pieces[0] if len(self.body_pieces) == 1 else b"".join(self.body_pieces)
        message.keep = self.parser.should_keep_alive()
        self.body_pieces = []
        self.complete.append(message)

    def _fail(self, status: int, reason: str) -> None:
        self.error = Malformed(status, reason)
        raise self.error  # the parser stops here and raises an error of its own

    def feed(self, data: bytes) -> list[Message]:
        """Parses bytes and returns the messages completed by them.

        Raises Malformed; ``complete`` then still holds the messages completed before the fault."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete.pop()  # what follows such a head belongs to another protocol
            raise Malformed(400, "no other protocol is spoken here") from None
        except httptools.HttpParserError as problem:
            raise self.error or Malformed(400, str(problem)[:100]) from None
        if self.message is not None:
            if self.in_head:
                self.size += len(data)
                if self.size > MAX_HEAD_BYTES:
                    raise Malformed(431, "head too long")
            elif len(self.body_pieces) > MAX_BODY_PIECES:
                raise Malformed(413, "body in too many pieces")
            else:
                self.bytes_after_head += len(data)
                if self.bytes_after_head > self.size + MAX_FRAMING_BYTES:
                    raise Malformed(431, "trailers or sizes of chunks too long")
        complete, self.complete = self.complete, []
        return complete


class RequestReader(_Reader):
    """Reads a client's requests."""

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        super().__init__(httptools.HttpRequestParser, max_body)

    def on_url(self, url: bytes) -> None:
        self.message.target += url
        if len(self.message.target) > MAX_HEAD_BYTES:
            self._fail(414, "target too long")

    def on_headers_complete(self) -> None:
        message = self.message
        message.method = self.parser.get_method()
        self._check_length()
        if b"host" in message.repeated:
            self._fail(400, "more than one Host")  # RFC 9112, 3.2

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if len(self.complete) > MAX_QUEUED_REQUESTS:
            self._fail(400, TOO_MANY_QUEUED)


class AnswerReader(_Reader):
    """Reads the answers on one connection, one at a time: ``expect`` announces the next one.

    ``unmatched`` is set when more arrived than was expected: the answer is valid, but the connection can't be
    reused."""

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        super().__init__(httptools.HttpResponseParser, max_body)
        self.expecting = self.unmatched = False
        self.interim_count = 0

    def expect(self) -> None:
        """Expects the answer to a request that is about to be written."""
        self.expecting, self.interim_count = True, 0

    def on_message_begin(self) -> None:
        if not self.expecting:
            self.unmatched = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        message = self.message
        message.status = self.parser.get_status_code()
        if 100 <= message.status < 200:
            # RFC 9110, 15.2 allows any number of interim answers; here their number is limited.
            self.interim_count += 1
            if self.interim_count > 32 or message.status == 101:
                self._fail(502, "endless or unasked interim answers")
        elif b"content-length" not in message.headers and b"transfer-encoding" not in message.headers:
            # It would end with the connection (RFC 9112, 6.3), which looks the same as a broken connection.
            if message.status not in (204, 304):
                self._fail(502, "an answer without a length")
        self._check_length()

    def on_message_complete(self) -> None:
        if not self.expecting or 100 <= self.message.status < 200:
            self.message = None
        else:
            self.expecting = False
            super().on_message_complete()

    def receive(self, data: bytes) -> Message | None:
        """Returns the answer once it is complete. Raises Malformed if the bytes can't become one."""
        try:
            complete = self.feed(data)
        except Malformed:
            complete, self.complete = self.complete, []
            if not complete:
                raise
            self.unmatched = True
        return complete[0] if complete else None
