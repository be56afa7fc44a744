"""A client's HTTP/1.1 connection: its requests in their order, and their answers. No I/O.

    HEAD --first complete request--> HTTP --end--> CLOSING

One request is open at a time, since answers go out in order (RFC 9112, 9.3.2). Up to ``MAX_QUEUED_REQUESTS``
pipelined requests wait behind it. A malformed request gets one answer that names the fault, and the connection ends.
A valid request that does not fit the settings gets an error, and the connection stays.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rushweir import interface
from rushweir.edge.http import (
    MAX_QUEUED_REQUESTS,
    MESSAGE_BYTES,
    TOO_MANY_QUEUED,
    Fault,
    Malformed,
    Message,
    RequestReader,
)
from rushweir.edge.request_checks import BadRequest, RequestChecks
from rushweir.edge.request_ids import RequestIds
from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress.commands import Answer, AnswerKind
from rushweir.ingress.queries import Query

HEALTH_PATH = b"/_health"
MIN_IDLE_MS = 50.0  # a client without a request may be closed for others when silent for so long
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}  # fmt: skip
# Refusals for a customer's rate get 429 (RFC 6585, 4); all others are due to the state of the service.
QUOTA_REASONS = frozenset({"quota", "ceiling"})


OUT_OF_MEMORY = b"out_of_memory"


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A complete request that waits for the answer to the one before it. Its deadline counts from its arrival."""

    message: Message | None  # None: there was no memory for it, and it will be refused
    arrived_ms: float
    keep: bool  # whether the client keeps the connection open after it

    @property
    def held_bytes(self) -> int:
        """The memory that it takes beside its place in the queue."""
        return 0 if self.message is None else self.message.held_bytes


class Shared:
    """State that all connections of one ingress share: the settings, and the ids of open requests."""

    def __init__(
        self, settings: interface.Settings, health: Callable[[], tuple[int, Any]], closing: Callable[[], bool],
        crowded_above: int, now: Callable[[], float],
    ) -> None:  # fmt: skip
        """``health`` returns status and content of the health page. Answered connections are closed while ``closing``
        returns true, and while more than ``crowded_above`` connections have sent a request. ``now`` returns the
        arrival time of the bytes that are being read, in milliseconds."""
        self.health, self.closing, self.crowded_above, self.now = health, closing, crowded_above, now
        self.active_connections = 0  # open connections that have sent a request
        self.checks = RequestChecks(settings)
        self.request_ids = RequestIds(_longest_deadline_ms(settings))

    def adopt(self, settings: interface.Settings) -> None:
        """Applies new settings."""
        self.checks = RequestChecks(settings)
        self.request_ids.keep_ms = _longest_deadline_ms(settings)


def _longest_deadline_ms(settings: interface.Settings) -> float:
    return max((request_class.deadline_ms for request_class in settings.classes), default=0.0)


class ClientConnection:
    """One client connection: ``receive`` takes bytes and returns requests, ``take`` returns the bytes to write."""

    partner = None
    unsent_bytes = 0  # an answer is written at once
    awaits_close_ack = False  # the answer with Connection: close tells the client that no request may follow
    discarded_count = 0

    def __init__(self, shared: Shared) -> None:
        self.shared, self.reader = shared, RequestReader()
        self.state, self.ended, self.refusal_reason = HEAD, False, ""
        self.queue: list[QueuedRequest] = []
        self.fault: Fault | None = None  # answered after the requests before it
        self.open_request_id: bytes | None = None
        self.open_bytes = self.queued_bytes = 0  # memory of the open request, and of the queued ones
        self.keep = True  # whether the client keeps the connection open
        self.writes: list[bytes] = []
        self.counted = False  # in ``active_connections``

    # --- input -----------------------------------------------------------------------------------

    @property
    def open_ids(self) -> bool:
        """Whether a request is open."""
        return self.open_request_id is not None

    @property
    def backlog(self) -> bool:
        """Whether a queued request or fault can be handled now."""
        return self.open_request_id is None and not self.ended and bool(self.queue or self.fault)

    @property
    def partial_message(self) -> int:
        """The serial number of the incomplete message, or 0 if there is none."""
        return self.reader.begun_count if self.reader.message is not None and not self.ended else 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is open, queued or incomplete, since its last byte may arrive at any moment."""
        return self.open_request_id is not None or self.backlog or self.partial_message > 0

    def is_idle(self, quiet_ms: float) -> bool:
        """Whether the connection, silent for ``quiet_ms``, may be closed to make room for another."""
        return not self.is_busy and quiet_ms > MIN_IDLE_MS

    def receive(self, data: bytes) -> list[tuple[bytes, Query]]:
        """Reads bytes and returns the request that is open from now on, if there is a new one."""
        if self.ended:
            return []
        if data and self.fault is None:
            try:
                complete = self.reader.feed(data)
            except Malformed as problem:
                complete, self.fault = self.reader.complete, problem.fault
                self.reader.release()
            for message in complete:
                kept = None if message.is_dropped else message
                self.queue.append(QueuedRequest(kept, self.shared.now(), message.keep))
                self.queued_bytes += self.queue[-1].held_bytes
            if self.fault is not None and self.fault.begins_no_message:
                self._drop_request_of_wrong_length()
            if len(self.queue) > MAX_QUEUED_REQUESTS:
                self.fault = Fault(400, TOO_MANY_QUEUED)
        while self.open_request_id is None and self.queue and not self.ended:
            queued = self.queue.pop(0)
            self.queued_bytes -= queued.held_bytes
            self.state, self.keep = HTTP, queued.keep
            self.shared.active_connections += not self.counted
            self.counted = True
            if queued.message is None:
                self._write_answer(503, OUT_OF_MEMORY)
                continue
            try:
                request = self._open(queued.message)
            except BadRequest as problem:
                self._write_answer(problem.status, str(problem).encode())
                continue
            if request is not None:
                request.arrived_ms = queued.arrived_ms
                return [(self.open_request_id, request)]
        if self.open_request_id is None and self.fault is not None and not self.ended:
            self.keep = False
            self._write_answer(self.fault.status, self.fault.reason.encode())
        return []

    def _drop_request_of_wrong_length(self) -> None:
        """Drops the last request, since the bytes right behind it begin no other one: they belong to it, and its
        length is wrong. The error that they get is its answer."""
        if self.queue:
            self.queued_bytes -= self.queue.pop().held_bytes
        else:
            self._release_request_id()

    def _open(self, message: Message) -> Query | None:
        """Opens the request in a message and returns it, or None if it is already answered. Raises BadRequest."""
        if message.target.partition(b"?")[0] == HEALTH_PATH:
            if message.method != b"GET":
                raise BadRequest(405, "GET")
            status, page = self.shared.health()
            self._write_answer(status, repr(page).encode())
            return None
        request = self.shared.checks.query(message)
        request_id = message.headers[b"req-id"]
        if not self.shared.request_ids.use(request_id, self.shared.now()):
            raise BadRequest(409, "Req-Id: another request has or had it")
        self.open_request_id = request_id
        self.open_bytes = MESSAGE_BYTES + len(request.payload.head) + len(request.payload.body)
        return request

    def receive_eof(self) -> None:
        """Handles the end of the client's stream."""
        self._release_request_id()
        self._mark_ended()

    def _mark_ended(self) -> None:
        if not self.ended:
            self.ended = True
            self.shared.active_connections -= self.counted
            self._release_unfinished()

    def _release_request_id(self) -> None:
        if self.open_request_id is not None:
            self.shared.request_ids.release(self.open_request_id, self.shared.now())
            self.open_request_id = None
            self.open_bytes = 0

    # --- memory ----------------------------------------------------------------------------------

    @property
    def refusable_bytes(self) -> int:
        """The memory of the incomplete request and of those that wait for the answer to the one before them."""
        return self.reader.held_bytes + self.queued_bytes

    @property
    def held_bytes(self) -> int:
        """The memory of all requests of this connection."""
        return self.refusable_bytes + self.open_bytes

    def refuse_unfinished(self) -> int:
        """Refuses the incomplete request and those that wait, each with 503 in its turn, and keeps none of them.
        Where a long line is incomplete the connection ends with that. Returns their number."""
        refused_count = sum(entry.message is not None for entry in self.queue)
        self.queue = [QueuedRequest(None, entry.arrived_ms, entry.keep) for entry in self.queue]
        self.queued_bytes = 0
        if self.partial_message:
            refused_count += 1
            if not self.reader.drop_message():
                self.fault = self.fault or Fault(503, OUT_OF_MEMORY.decode())
                self.reader.release()
        return refused_count

    def _release_unfinished(self) -> None:
        self.queue.clear()
        self.queued_bytes = 0
        self.reader.release()

    # --- output ----------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        """Queues the final answer of the open request; answers to other requests are ignored."""
        if answer.ref != self.open_request_id:
            return
        self._release_request_id()
        if answer.kind == AnswerKind.SERVED:
            self._write_answer(200, answer.body)
        elif answer.kind == AnswerKind.REFUSED:
            wait = b"Retry-After: %.3f\r\n" % (answer.retry_after_ms / 1000) if answer.retry_after_ms > 0 else b""
            self._write_answer(429 if answer.reason in QUOTA_REASONS else 503, answer.reason.encode(), wait)
        else:
            self._write_answer(502, answer.reason.encode())

    def _write_answer(self, status: int, body: bytes, more: bytes = b"") -> None:
        # The number of client connections is limited, and some clients keep theirs open after one request. While many
        # are open, a connection is closed after its answer, so that new clients can connect.
        crowded = self.shared.active_connections > self.shared.crowded_above
        should_close = crowded or bool(self.refusal_reason) or self.shared.closing()
        # Not while another request is queued or incomplete, since it would be lost with the connection.
        last = not self.keep or (should_close and not (self.queue or self.fault or self.partial_message))
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n" % (
            status, REASONS.get(status, "Error").encode(), len(body), more, b"Connection: close\r\n" if last else b"",
        )  # fmt: skip
        self.writes.append(head + body)
        if last:
            self._mark_ended()
            self.state = CLOSING

    def take(self) -> tuple[list[bytes], bool]:
        """Returns the bytes to write, and whether the connection ends after them."""
        writes, self.writes = self.writes, []
        return writes, self.ended

    # --- requests of the core --------------------------------------------------------------------

    def reject_full(self) -> None:
        """Answers a new connection beyond the limit with 503."""
        self._write_last_answer(503, b"no more connections")

    def reject_network(self) -> None:
        """Answers a connection from a network that is not allowed with 503."""
        self._write_last_answer(503, b"not from there")

    def reject_slow_head(self) -> None:
        """Answers 408 for an incomplete request (RFC 9110, 15.5.9), after the answer to the open one."""
        if self.open_request_id is None:
            self._write_last_answer(408, b"no whole request in time")
        else:
            self.fault = Fault(408, "no whole request in time")

    def _write_last_answer(self, status: int, reason: bytes) -> None:
        self.keep = False
        self._write_answer(status, reason)

    def fail(self, code: int, reason: str) -> None:
        """Ends the connection without an answer: it is idle, or its client does not read."""
        self._release_request_id()
        self._mark_ended()
        self.state = CLOSING

    def close(self, code: int, reason: str) -> None:
        """Closes the connection at shutdown; an incomplete or open request gets 503."""
        if self.is_busy:
            self._write_last_answer(503, reason.encode())
        else:
            self.fail(code, reason)

    def ping(self) -> None:
        """HTTP has no ping."""

    def announce_close(self) -> None:
        """HTTP has no notification: the next answer says Connection: close."""

    def refuse_new(self, reason: str) -> None:
        """Closes the connection after its next answer; requests that still arrive are answered."""
        self.refusal_reason = reason
