"""Parses HTTP/1.1 messages (RFC 9112) for both client and backend connections. No I/O.

The parser is llhttp, through httptools. It refuses what RFC 9112 describes as an attack or leaves open: obs-fold
(5.2), a length beside a transfer coding (6.1), repeated, negative or non-numeric lengths (6.3), bare line ends. This
module adds size limits and passes on complete messages only. docs/edge.md compares the parsers.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 16_384  # some proxies add long cookies, nothing needs more; of trailers too
MAX_HEADER_FIELDS = 100
MAX_BODY_BYTES = 65_536
MAX_BODY_PIECES = 8192  # chunks of a few bytes each cost many times their size in CPU
# Bytes that are neither head nor body: the sizes of that many chunks, trailers, and one read that counts in full.
MAX_FRAMING_BYTES = 8 * MAX_BODY_PIECES + 65_536
MAX_QUEUED_REQUESTS = 64  # complete requests that wait for the answer to the one before them
PARSE_BYTES = 4096  # parsed at a time: the limits hold to within so many bytes, however the input was split
MESSAGE_BYTES = 1536  # of memory that a message takes beside its bytes
HTTP_VERSIONS = ("1.1", "1.0")
STATUSES_WITHOUT_BODY = frozenset({204, 304})  # RFC 9112, 6.3
TOO_MANY_QUEUED = "too many requests ahead of their answers"


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a message, and the status of its answer. Unlike an exception it refers to nothing else."""

    status: int
    reason: str
    begins_no_message: bool = False  # the bytes are not even the beginning of a message


class Malformed(Exception):
    """Input that is not valid HTTP or exceeds a limit."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


class Message:
    """One message. Header names are in lower case; of a repeated header the last value is stored and its name is in
    ``repeated``. Only the fields that its reader names are stored, and no trailers."""

    __slots__ = ("body", "headers", "is_dropped", "keep", "method", "repeated", "status", "target", "version")

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.repeated: set[bytes] = set()
        self.body, self.target, self.method, self.status, self.keep = b"", b"", b"", 0, True
        self.version = ""  # of HTTP, of a request
        self.is_dropped = False  # its body is not kept, and it will be refused

    @property
    def held_bytes(self) -> int:
        """The memory that the message takes."""
        return MESSAGE_BYTES + len(self.target) + len(self.body) + sum(map(len, self.headers.values()))


class _Reader:
    """The parser callbacks and size limits that requests and answers share."""

    stored_fields: frozenset[bytes] = frozenset()  # names of the header fields that are read by anybody

    def __init__(self, parser: type, max_body: int) -> None:
        self.parser, self.max_body = parser(self), max_body
        self.complete: list[Message] = []  # not yet returned by ``feed``
        self.message: Message | None = None  # the incomplete one
        # Of the incomplete message, in one block: a piece kept as an object takes many times its few bytes.
        self.body = bytearray()
        self.dropped_bytes = 0  # of its body
        self.in_head = False
        self.begun_count = 0
        self.field_count = self.piece_count = 0
        self.head_bytes = 0  # of an incomplete head, at least
        self.field_bytes = 0  # of the target and the complete fields; after the head, of the trailers
        # Read together with the last complete part, and after it: of a field or the size of a chunk.
        self.last_read_bytes = self.line_bytes = 0
        self.last_parts = 0, 0, 0  # messages begun, bytes of fields and pieces of the body by the last check
        self.bytes_after_head = 0  # of the body and its framing
        self.fault: Fault | None = None

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete message takes."""
        if self.message is None:
            return 0
        if self.message.is_dropped:
            return self.line_bytes
        return self.message.held_bytes + len(self.body) + self.last_read_bytes + self.line_bytes

    def on_message_begin(self) -> None:
        self.message, self.in_head, self.body, self.dropped_bytes = Message(), True, bytearray(), 0
        self.begun_count += 1
        self.field_count = self.piece_count = 0
        self.field_bytes = self.line_bytes = self.bytes_after_head = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.field_count += 1
        self.field_bytes += len(name) + len(value)
        if self.field_count > MAX_HEADER_FIELDS:
            self._fail(431, "too many header fields")
        if self.field_bytes > MAX_HEAD_BYTES:
            self._fail(431, "head or trailers too long")
        name = name.lower()
        message = self.message
        # Trailers are not merged into the head (RFC 9110, 6.5.1).
        if name in self.stored_fields and self.in_head and not message.is_dropped:
            if name in message.headers:
                message.repeated.add(name)
            # The parser leaves trailing white space, which is not part of the value (RFC 9110, 5.5).
            message.headers[name] = value.strip(b" \t")

    def on_body(self, data: bytes) -> None:
        # Called for each chunk, and so short: the sizes are checked after each ``PARSE_BYTES``, and at the end.
        self.piece_count += 1
        self.body += data

    def _check_length(self) -> None:
        """Refuses a body by its announced length, before any of it is read."""
        length = self.message.headers.get(b"content-length")
        if length is not None and int(length) > self.max_body:
            self._fail(413, "body too large")
        self.in_head, self.field_bytes = False, 0

    def on_message_complete(self) -> None:
        if self.dropped_bytes + len(self.body) > self.max_body:
            self._fail(413, "body too large")
        message, self.message = self.message, None
        message.body, self.body = bytes(self.body), bytearray()
        message.keep = self.parser.should_keep_alive()
        self.complete.append(message)

    def _fail(self, status: int, reason: str) -> None:
        self.fault = Fault(status, reason)
        raise ValueError(reason)  # the parser stops here and raises an error of its own

    def feed(self, data: bytes) -> list[Message]:
        """Parses bytes and returns the messages completed by them.

        Raises Malformed; ``complete`` then still holds the messages completed before the fault."""
        if len(data) <= PARSE_BYTES:
            self._parse(data)
        else:
            view = memoryview(data)
            for begin in range(0, len(data), PARSE_BYTES):
                self._parse(view[begin : begin + PARSE_BYTES])
        complete, self.complete = self.complete, []
        return complete

    def _parse(self, data: bytes | memoryview) -> None:
        continued = self.message
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete.pop()  # what follows such a head belongs to another protocol
            fault = Fault(400, "no other protocol is spoken here")
        except httptools.HttpParserError as problem:
            message = self.message
            begins_no_message = message is not None and not message.target and not self.field_count
            fault = self.fault or Fault(400, str(problem)[:100], begins_no_message)
        else:
            if self.message is None:
                return
            if self.message is not continued:
                # Where it begins in the bytes is not known if others were read before it.
                self.head_bytes = 0 if continued is not None or self.complete else len(data)
            else:
                self.head_bytes += len(data)
            fault = self._exceeded_limit(len(data))
        if fault is not None:
            raise Malformed(fault)

    def _exceeded_limit(self, size: int) -> Fault | None:
        """Checks the incomplete message after ``size`` more bytes."""
        parts = self.begun_count, self.field_bytes, self.piece_count
        if parts != self.last_parts:
            self.last_parts, self.last_read_bytes, self.line_bytes = parts, size, 0
        else:
            self.line_bytes += size
        if self.in_head:
            return Fault(431, "head too long") if self.head_bytes > MAX_HEAD_BYTES else None
        if self.message.is_dropped:
            self.dropped_bytes += len(self.body)
            self.body.clear()
        body_bytes = self.dropped_bytes + len(self.body)
        if body_bytes > self.max_body:
            return Fault(413, "body too large")
        if self.piece_count > MAX_BODY_PIECES:
            return Fault(413, "body in too many pieces")
        self.bytes_after_head += size
        is_framing_too_long = self.bytes_after_head > body_bytes + MAX_FRAMING_BYTES
        if is_framing_too_long or self.field_bytes + self.line_bytes > MAX_HEAD_BYTES:
            return Fault(431, "trailers or sizes of chunks too long")
        return None

    def drop_message(self) -> bool:
        """Keeps nothing of the incomplete message from now on, which is parsed to its end, since the next one begins
        there. Returns False where the parser itself holds a part of it: a long line that is not complete."""
        if self.message is None or self.line_bytes:
            return False
        dropped = Message()
        dropped.is_dropped = True
        self.dropped_bytes += len(self.body)
        self.message, self.body = dropped, bytearray()
        return True

    def release(self) -> None:
        """Frees all that an incomplete message holds; nothing can be fed any more.

        Parser and reader refer to each other, and the collector of such cycles runs rarely (``calm_collector``):
        without this call the messages of connections that ended in the middle of one would pile up."""
        self.parser = self.message = None
        self.complete, self.body = [], bytearray()


class RequestReader(_Reader):
    """Reads a client's requests."""

    stored_fields = frozenset({
        b"content-length", b"host", b"idempotency-key", b"req-deadline-ms", b"req-id", b"req-kind",
        b"transfer-encoding", b"x-contract", b"x-metering",
    })  # fmt: skip

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        super().__init__(httptools.HttpRequestParser, max_body)

    def on_url(self, url: bytes) -> None:
        self.message.target += url
        self.field_bytes += len(url)
        if self.field_bytes > MAX_HEAD_BYTES:
            self._fail(414, "target too long")

    def on_headers_complete(self) -> None:
        message = self.message
        message.method, message.version = self.parser.get_method(), self.parser.get_http_version()
        if message.version not in HTTP_VERSIONS:
            self._fail(505, "HTTP/1.1 or HTTP/1.0")
        if (coding := message.headers.get(b"transfer-encoding")) is not None:
            self._check_coding(coding)
        self._check_length()
        if b"host" in message.repeated:
            self._fail(400, "more than one Host")  # RFC 9112, 3.2

    def _check_coding(self, coding: bytes) -> None:
        """Refuses a body whose end may be seen elsewhere by others (RFC 9112, 6.1): it may hide another request."""
        if b"content-length" in self.message.headers:
            self._fail(400, "a length beside a transfer coding")
        if self.message.version == "1.0":
            self._fail(400, "a transfer coding in HTTP/1.0")
        if coding.lower() != b"chunked" or b"transfer-encoding" in self.message.repeated:
            self._fail(400, "Transfer-Encoding: chunked, once")

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if len(self.complete) > MAX_QUEUED_REQUESTS:
            self._fail(400, TOO_MANY_QUEUED)


class AnswerReader(_Reader):
    """Reads the answers on one connection, one at a time: ``expect`` announces the next one.

    ``unmatched`` is set when more arrived than was expected: the answer is valid, but the connection can't be
    reused. An answer with neither a length nor a transfer coding ends with the connection (RFC 9112, 6.3): by
    ``receive_eof``, when the other side closed it. A connection that broke has cut its answer."""

    stored_fields = frozenset({b"content-length", b"srv-declined", b"srv-load", b"transfer-encoding", b"x-meter"})

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        super().__init__(httptools.HttpResponseParser, max_body)
        self.expecting = self.unmatched = False
        self.ends_with_connection = False  # the incomplete answer
        self.interim_count = 0

    def expect(self) -> None:
        """Expects the answer to a request that is about to be written."""
        self.expecting, self.interim_count = True, 0

    def on_message_begin(self) -> None:
        if not self.expecting:
            self.unmatched = True
        self.ends_with_connection = False
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        message = self.message
        message.status = self.parser.get_status_code()
        if 100 <= message.status < 200:
            # RFC 9110, 15.2 allows any number of interim answers; here their number is limited.
            self.interim_count += 1
            if self.interim_count > 32 or message.status == 101:
                self._fail(502, "endless or unasked interim answers")
        elif message.status not in STATUSES_WITHOUT_BODY and b"content-length" not in message.headers:
            coding = message.headers.get(b"transfer-encoding")
            if coding is not None and not coding.lower().endswith(b"chunked"):
                self._fail(502, "an answer in an unknown transfer coding")
            self.ends_with_connection = coding is None
        self._check_length()

    def on_message_complete(self) -> None:
        if not self.expecting or 100 <= self.message.status < 200:
            self.message, self.body = None, bytearray()
        else:
            self.expecting = False
            super().on_message_complete()

    def receive_eof(self) -> Message | None:
        """Returns the answer that the close of the connection completes, if there is one.

        A 200 without any body is taken for cut: a served answer has a body (the platform's table)."""
        if self.message is None or not self.expecting or not self.ends_with_connection:
            return None
        if self.message.status == 200 and not self.body:
            return None
        message, self.message = self.message, None
        message.body, self.body = bytes(self.body), bytearray()
        message.keep = self.expecting = False
        return message

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
