"""A client's HTTP/1.1 connection: bytes to checked requests, answers to bytes. No I/O.

    HEAD --first whole request--> HTTP --end--> CLOSING

One request is open at a time (RFC 9112, 9.3.2: answers go out in order); what a client sends ahead waits in the
reader, ``MOST_QUEUED`` requests at most. Whoever says what can't be read gets one answer that names it, and the end.
A request that reads well but does not fit the settings gets its error and the connection stays.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from rushweir import interface as i
from rushweir.edge.http import MAX_QUEUED_REQUESTS, TOO_MANY_QUEUED, Malformed, Message, RequestReader
from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress.commands import Answer, AnswerKind
from rushweir.ingress.queries import Partner, Query

READY = b"/_health"
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}\Z")
MOST_CUSTOMER = 1 << 33
MOST_FIELDS = 32  # of a query
TOKEN = re.compile(rb"[!-~]{1,128}\Z")  # an id or a key: visible ASCII, so that it goes on in a header as it came
WHOLE = re.compile(rb"[0-9]{1,9}\Z")
QUIET_MS = 50.0  # a client that is owed nothing may be given up for others when silent so long
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# RFC 6585, 4: a customer that asks too much; anything else is the service's own state.
QUOTA = frozenset({"quota", "ceiling"})


class BadRequest(Exception):
    """A request that reads well and does not fit; the text names the field."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Payload:
    """What goes to a backend: the head, but for the line that says how long this side waits, and the body."""

    head: bytes
    body: bytes


class Shared:
    """What all connections of one ingress share: the settings, and the ids of the requests under way."""

    def __init__(
        self, settings: i.Settings, health: Callable[[], tuple[int, Any]], closing: Callable[[], bool], kept: int,
        now: Callable[[], float],
    ) -> None:  # fmt: skip
        """``closing`` tells whether connections are to be left as they are answered; above ``kept`` connections
        that asked something they are left too. ``now``: the time of the bytes that are being read."""
        self.health, self.closing, self.kept, self.now = health, closing, kept, now
        self.spoken = 0  # connections that asked something and have not ended
        self.open: set[bytes] = set()  # bounded by the connections: each has one request under way
        self.adopt(settings)

    def adopt(self, settings: i.Settings) -> None:
        self.gateways, self.largest = settings.gateways, settings.sharing.largest_request
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}


class ClientConnection:
    """One connection. Bytes in by ``receive``, bytes out by ``take``."""

    partner = None

    def __init__(self, shared: Shared) -> None:
        self.shared, self.reader = shared, RequestReader()
        self.state, self.end, self.refusal_reason = HEAD, False, ""
        self.queue: list[tuple[Message, float]] = []  # whole, and when they were: a client's time counts from there
        self.fault: Malformed | None = None  # told when what came before it is answered
        self.current: bytes | None = None  # the id of the request under way
        self.keep = True  # whether the client wants the connection to last
        self.writes: list[bytes] = []
        self.spoke = False

    # --- bytes in --------------------------------------------------------------------------------

    @property
    def open_ids(self) -> bool:
        return self.current is not None

    @property
    def backlog(self) -> bool:
        return self.current is None and not self.end and bool(self.queue or self.fault)

    @property
    def partial_message(self) -> int:
        """The number of the message that has begun and is not whole; 0: none."""
        return self.reader.begun_count if self.reader.message is not None and not self.end else 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way, waits, or has begun: its last byte may come in this very moment."""
        return self.current is not None or self.backlog or self.partial_message > 0

    def is_idle(self, quiet_ms: float) -> bool:
        return not self.is_busy and quiet_ms > QUIET_MS

    def receive(self, data: bytes) -> list[tuple[bytes, Query]]:
        """Take in bytes; returns the request that is under way from now on, if there is a new one."""
        if self.end:
            return []
        if data and self.fault is None:
            try:
                whole = self.reader.feed(data)
            except Malformed as fault:
                whole, self.fault = self.reader.complete, fault
            self.queue += [(message, self.shared.now()) for message in whole]
            if len(self.queue) > MAX_QUEUED_REQUESTS:
                self.fault = Malformed(400, TOO_MANY_QUEUED)
        while self.current is None and self.queue and not self.end:
            message, came = self.queue.pop(0)
            self.state, self.keep = HTTP, message.keep
            self.shared.spoken += not self.spoke
            self.spoke = True
            try:
                ask = self._ask(message)
            except BadRequest as problem:
                self._write(problem.status, str(problem).encode())
                continue
            if ask is not None:
                ask.arrived_ms = came
                self.current = message.headers[b"req-id"]
                self.shared.open.add(self.current)
                return [(self.current, ask)]
        if self.current is None and self.fault is not None and not self.end:
            self.keep = False
            self._write(self.fault.status, self.fault.reason.encode())
        return []

    def receive_eof(self) -> None:
        self._over()
        self._end()

    def _end(self) -> None:
        if not self.end:
            self.end = True
            self.shared.spoken -= self.spoke

    def _over(self) -> None:
        if self.current is not None:
            self.shared.open.discard(self.current)
            self.current = None

    # --- requests --------------------------------------------------------------------------------

    def _ask(self, m: Message) -> Query | None:
        """The request in a message, checked field by field. Raises BadRequest; None: it is answered already."""
        h, shared = m.headers, self.shared
        path, _, query = m.target.partition(b"?")
        if path == READY:
            if m.method != b"GET":
                raise BadRequest(405, "GET")
            status, page = shared.health()
            self._write(status, repr(page).encode())
            return None
        for name in (b"req-id", b"req-kind", b"x-contract", b"req-deadline-ms", b"x-metering", b"idempotency-key"):
            if name in m.repeated:
                raise BadRequest(400, f"{name.decode()}: more than once")
        if not TOKEN.match(rid := h.get(b"req-id", b"")):
            raise BadRequest(400, "Req-Id: 1 to 128 visible characters")
        cls = shared.classes.get(h.get(b"req-kind", b""))
        if cls is None:
            raise BadRequest(400, "Req-Kind: no such class")
        plan = shared.plans.get(h.get(b"x-contract", b""))
        if plan is None:
            raise BadRequest(400, "X-Contract: no such plan")
        if not WHOLE.match(within := h.get(b"req-deadline-ms", b"")) or not int(within):
            raise BadRequest(400, "Req-Deadline-Ms: whole milliseconds from 1")
        customer = _customer(query)
        units, spread, first = self._metering(h.get(b"x-metering", b""))
        key = h.get(b"idempotency-key")
        if cls.effect is i.Effect.SAFE:
            if m.method != b"GET" or m.body:
                raise BadRequest(405 if m.method != b"GET" else 400, "a class that is safe to repeat: GET, no body")
        elif m.method != b"POST":
            raise BadRequest(405, "a class that is not safe to repeat: POST")
        if cls.effect is i.Effect.KEYED and key is None:
            raise BadRequest(400, "Idempotency-Key: this class needs one")
        if key is not None and not TOKEN.match(key):
            raise BadRequest(400, "Idempotency-Key: 1 to 128 visible characters")
        if rid in shared.open:
            raise BadRequest(409, "Req-Id: a request under way has it")
        lines = [m.method + b" " + m.target + b" HTTP/1.1", b"Host: " + h.get(b"host", b""), b"Req-Id: " + rid]
        if key is not None:
            lines.append(b"Idempotency-Key: " + key)
        if m.method == b"POST":
            lines.append(b"Content-Length: %d" % len(m.body))
        payload = Payload(b"\r\n".join(lines) + b"\r\n", m.body)
        return Query(cls.name, payload, float(within), units, Partner(customer, plan, spread, first))

    def _metering(self, text: bytes) -> tuple[float, int, int]:
        fields: dict[bytes, int] = {}
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name in fields or not WHOLE.match(value):
                raise BadRequest(400, "X-Metering: units, spread and first as whole numbers, once each")
            fields[name] = int(value)
        try:
            units, spread, first = fields[b"units"], fields[b"spread"], fields[b"first"]
        except KeyError as missing:
            raise BadRequest(400, f"X-Metering: {missing.args[0].decode()} is missing") from None
        if not 0 < units <= self.shared.largest:
            raise BadRequest(400, "X-Metering: units out of range")
        if not 0 < spread <= self.shared.gateways or not first < self.shared.gateways:
            raise BadRequest(400, "X-Metering: no such set of ingresses")
        return float(units), spread, first

    # --- bytes out -------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        if answer.ref != self.current:
            return
        self._over()
        if answer.kind == AnswerKind.SERVED:
            self._write(200, answer.body)
        elif answer.kind == AnswerKind.REFUSED:
            wait = b"Retry-After: %.3f\r\n" % (answer.retry_after_ms / 1000) if answer.retry_after_ms > 0 else b""
            self._write(429 if answer.why in QUOTA else 503, answer.why.encode(), wait)
        else:
            self._write(502, answer.why.encode())

    def _write(self, status: int, body: bytes, more: bytes = b"") -> None:
        # Clients may hold only so many connections, and some ask once and keep theirs for good: those answered while
        # many are open go, so that others find one left.
        crowded = self.shared.spoken > self.shared.kept
        leave = crowded or bool(self.refusal_reason) or self.shared.closing()
        # Not while more was sent ahead, or has begun: the close would take it along.
        last = not self.keep or (leave and not (self.queue or self.fault or self.partial_message))
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n" % (
            status, REASONS.get(status, "Error").encode(), len(body), more, b"Connection: close\r\n" if last else b"",
        )  # fmt: skip
        self.writes.append(head + body)
        if last:
            self._end()
            self.state = CLOSING

    def take(self) -> tuple[list[bytes], bool]:
        """What is to be written, and whether the connection ends after it."""
        writes, self.writes = self.writes, []
        return writes, self.end

    # --- what the core wants ---------------------------------------------------------------------

    def reject(self) -> None:
        self._last(503, b"no more connections")

    def forbid(self) -> None:
        self._last(503, b"not from there")

    def time_out(self) -> None:
        """What began did not become whole in time (RFC 9110, 15.5.9). A request under way is answered first."""
        if self.current is None:
            self._last(408, b"no whole request in time")
        else:
            self.fault = Malformed(408, "no whole request in time")

    def _last(self, status: int, why: bytes) -> None:
        self.keep = False
        self._write(status, why)

    def fail(self, code: int, reason: str) -> None:
        """The connection is given up without a word: it is idle, or nothing of its answers is read."""
        self._over()
        self._end()
        self.state = CLOSING

    def close(self, code: int, reason: str) -> None:
        """The ingress goes away: who has begun a request is told that nothing was done; others see the end."""
        if self.is_busy:
            self._last(503, reason.encode())
        else:
            self.fail(code, reason)

    def ping(self) -> None:
        """HTTP has no such word."""

    def refuse_new(self, why: str) -> None:
        """From now on each answer is the connection's last. What still comes is taken and answered."""
        self.refusal_reason = why


def _customer(query: bytes) -> str:
    try:
        fields = parse_qsl(query.decode("latin-1"), keep_blank_values=True, max_num_fields=MOST_FIELDS)
    except ValueError:
        raise BadRequest(400, f"query: {MOST_FIELDS} fields at most") from None
    found = [v for k, v in fields if k == "customer"]
    if len(found) != 1 or not CUSTOMER.match(found[0]) or int(found[0], 16) >= MOST_CUSTOMER:
        raise BadRequest(400, "customer: 16 hex digits, below 2^33")
    return found[0].lower()  # one customer, however it is written
