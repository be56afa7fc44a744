"""HTTP/1.1 messages (RFC 9112) out of bytes, for both ends. No I/O.

llhttp, by httptools, parses; it refuses what RFC 9112 calls an attack or leaves open: obs-fold (5.2), a length beside
a transfer coding (6.1), lengths that repeat, are negative or no number (6.3), bare line ends. What is added here are
bounds, and that a message counts only when it is whole. docs/edge.md has the parsers weighed against each other.
"""

from __future__ import annotations

import httptools

MOST_HEAD = 16_384  # bytes of a head; some proxies add long cookies, nobody needs more
MOST_HEADERS = 100
MOST_BODY = 65_536
MOST_PIECES = 8192  # of a body: chunks of a few bytes each cost many times their size
# Of what is neither head nor body: sizes of so many chunks, trailers, and the one read that may count here in whole.
MOST_FRAMING = 8 * MOST_PIECES + 65_536
MOST_QUEUED = 64  # whole requests that wait for the answer of the one before them
TOO_MANY = "too many requests ahead of their answers"


class Malformed(Exception):
    """What came can't be read as HTTP, or passes a bound; ``status`` is the answer for a client."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Message:
    """One whole message. Names of headers are in lower case; of a repeated header the last value is kept, and its
    name stands in ``repeated``."""

    __slots__ = ("body", "headers", "keep", "method", "repeated", "status", "target")

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.repeated: set[bytes] = set()
        self.body, self.target, self.method, self.status, self.keep = b"", b"", b"", 0, True


class _Reader:
    """What requests and answers have in common: the parser's callbacks, and the bounds."""

    def __init__(self, parser: type, most_body: int) -> None:
        self.parser, self.most_body = parser(self), most_body
        self.done: list[Message] = []
        self.message: Message | None = None  # the one under way
        self.in_head, self.size, self.begun = False, 0, 0
        self.rest = 0  # bytes that came since the head, of the body and of its framing
        self.parts: list[bytes] = []
        self.refused: Malformed | None = None

    def on_message_begin(self) -> None:
        self.message, self.in_head, self.parts = Message(), True, []
        self.begun += 1
        self.size = self.rest = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser leaves the white space after a value, which is none of it (RFC 9110, 5.5).
        headers, name, value = self.message.headers, name.lower(), value.strip(b" \t")
        if name in headers:
            self.message.repeated.add(name)
        headers[name] = value
        if len(headers) > MOST_HEADERS:
            self._refuse(431, "too many header fields")

    def on_body(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.most_body:
            self._refuse(413, "body too large")

    def _length(self) -> None:
        """Refuse a body by its announced length, before any of it is read."""
        length = self.message.headers.get(b"content-length")
        if length is not None and int(length) > self.most_body:
            self._refuse(413, "body too large")
        self.in_head, self.size = False, 0

    def on_message_complete(self) -> None:
        m, self.message = self.message, None
        m.body = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        m.keep = self.parser.should_keep_alive()
        self.parts = []
        self.done.append(m)

    def _refuse(self, status: int, why: str) -> None:
        self.refused = Malformed(status, why)
        raise self.refused  # the parser stops here, and reports an error of its own

    def feed(self, data: bytes) -> list[Message]:
        """Take in bytes; returns the messages that are whole by now. Raises Malformed; ``done`` then still holds the
        messages that were whole before the fault."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.done.pop()  # what follows such a head would be of another protocol
            raise Malformed(400, "no other protocol is spoken here") from None
        except httptools.HttpParserError as problem:
            raise self.refused or Malformed(400, str(problem)[:100]) from None
        if self.message is not None:
            if self.in_head:
                self.size += len(data)
                if self.size > MOST_HEAD:
                    raise Malformed(431, "head too long")
            elif len(self.parts) > MOST_PIECES:
                raise Malformed(413, "body in too many pieces")
            else:
                self.rest += len(data)
                if self.rest > self.size + MOST_FRAMING:
                    raise Malformed(431, "trailers or sizes of chunks too long")
        done, self.done = self.done, []
        return done


class RequestReader(_Reader):
    def __init__(self, most_body: int = MOST_BODY) -> None:
        super().__init__(httptools.HttpRequestParser, most_body)

    def on_url(self, url: bytes) -> None:
        self.message.target += url
        if len(self.message.target) > MOST_HEAD:
            self._refuse(414, "target too long")

    def on_headers_complete(self) -> None:
        m = self.message
        m.method = self.parser.get_method()
        self._length()
        if b"host" in m.repeated:
            self._refuse(400, "more than one Host")  # RFC 9112, 3.2

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if len(self.done) > MOST_QUEUED:
            self._refuse(400, TOO_MANY)


class AnswerReader(_Reader):
    """Answers on one connection, one at a time: ``expect`` says that one is owed. ``stray`` is set when more came
    than that: the answer is good, the connection of no further use."""

    def __init__(self, most_body: int = MOST_BODY) -> None:
        super().__init__(httptools.HttpResponseParser, most_body)
        self.owed = self.stray = False
        self.heads = 0

    def expect(self) -> None:
        self.owed, self.heads = True, 0

    def on_message_begin(self) -> None:
        if not self.owed:
            self.stray = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        m = self.message
        m.status = self.parser.get_status_code()
        if 100 <= m.status < 200:
            # RFC 9110, 15.2: any number of them may come ahead; here not endlessly many.
            self.heads += 1
            if self.heads > 32 or m.status == 101:
                self._refuse(502, "endless or unasked interim answers")
        elif b"content-length" not in m.headers and b"transfer-encoding" not in m.headers:
            # Its end would be the connection's (RFC 9112, 6.3), which a break can't be told from.
            if m.status not in (204, 304):
                self._refuse(502, "an answer without a length")
        self._length()

    def on_message_complete(self) -> None:
        if not self.owed or 100 <= self.message.status < 200:
            self.message = None
        else:
            self.owed = False
            super().on_message_complete()

    def receive(self, data: bytes) -> Message | None:
        """The answer, when it is whole. Raises Malformed where it can't become one."""
        try:
            done = self.feed(data)
        except Malformed:
            done, self.done = self.done, []
            if not done:
                raise
            self.stray = True
        return done[0] if done else None
