"""The WebSocket front: JSON-RPC 2.0 requests over one connection, and plain HTTP beside it. No I/O.

A connection begins with an HTTP request head. An upgrade to WebSocket with a partner's credential makes it a
client connection; anything else is answered as HTTP by h11 (health page, 401, 404, 426).

The method of a request is its class, and ``params`` an object with these members, all optional:

    data       passed to the node unread
    key        idempotency key that marks repeats of one request, for classes that carry a key
    units      quota units of the request where no prices are configured; otherwise ignored
    within_ms  how long the client waits; at most the class's deadline

Before the server closes a connection it sends the notification ``closing`` and a ping, and goes on reading: what the
client sent before it read them is answered. Whatever has no answer when the close frame arrives was never taken.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
from websockets.frames import CloseCode
from websockets.http11 import Request as HttpRequest

from rushweir.costs import amounts
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.messages import (
    BatchAnswers,
    FrontSettings,
    RequestRef,
    answer_text,
    checked_params,
    finite_number,
    is_utf8,
)
from rushweir.fronts.plain_http import MAX_HEAD_BYTES, PlainHttp, last_answer
from rushweir.fronts.request_memory import RequestMemory, parsed_bytes
from rushweir.fronts.states import CLOSING, HEAD, HTTP, OPEN
from rushweir.ingress.commands import Answer
from rushweir.ingress.queries import Partner, Query
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol

CLOSING_METHOD = "closing"  # of the notification that this connection will be closed
CLOSING_PING = b"closing"  # data of the ping behind it


class ClientConnection:
    """One client connection: ``receive`` takes bytes and returns requests, ``take`` returns the bytes to write."""

    backlog = False  # requests are returned as they are read, so that none wait here
    partial_message = 0  # an incomplete message needs no deadline, since pings detect a silent client

    def __init__(
        self,
        settings: FrontSettings,
        credentials: Callable[[], Credentials],
        health: Callable[[], tuple[int, dict[str, Any]]],
    ) -> None:
        self.settings, self.credentials, self.health = settings, credentials, health
        self.state = HEAD
        self.partner: Partner | None = None
        self.head = bytearray()
        self.http: PlainHttp | None = None
        self.messages: Messages | None = None
        self.open_ids: set[rpc.Id] = set()
        self.new_requests: list[tuple[RequestRef, Query]] = []
        self.http_output: list[bytes] = []  # HTTP answers to write
        self.finished = False
        self.refusal_reason = ""  # why new requests are refused; "" while they are accepted
        self.notification_count = 0
        self.error_count = 0  # messages that were errors, answered or not
        self.close_announced = False
        self.discarded_count = 0  # messages read after this side closed
        self.memory = RequestMemory()
        self.out_of_memory = False  # nothing more is read; the connection ends once its open requests are answered

    # --- input -----------------------------------------------------------------------------------

    def receive(self, data: bytes) -> list[tuple[RequestRef, Query]]:
        """Reads bytes and returns the requests completed by them, which are open until ``answer``."""
        if self.state is HEAD:
            self._receive_head(data)
        elif self.state is HTTP:
            self._receive_http(data)
        elif self.messages is not None and not self.messages.open:
            # Its answer could not be sent (RFC 6455, 5.5.1), so the request must not be executed.
            self.discarded_count += self.messages.discard(data)
        elif self.messages is not None:
            texts = self.messages.receive(data)
            if self.messages.closed_by_peer:
                self.discarded_count += len(texts)  # the client left with its requests unread: nobody waits for them
                texts = []
            for text in texts:
                self._handle_message(text)
            self._update_state()
        new_requests, self.new_requests = self.new_requests, []
        return new_requests

    @property
    def is_busy(self) -> bool:
        """Whether a request is open."""
        return bool(self.open_ids)

    def is_idle(self, quiet_ms: float) -> bool:
        """Returns False: a partner's connection is never closed to make room for another."""
        return False

    def receive_eof(self) -> None:
        """Handles the end of the client's stream."""
        self.head = bytearray()
        self.memory.clear()
        if self.messages is not None:
            self.messages.receive_eof()
        self.finished = True

    # --- memory ----------------------------------------------------------------------------------

    @property
    def refusable_bytes(self) -> int:
        """The memory of the message, or the request head, that is not complete."""
        incomplete = self.messages or self.http
        return len(self.head) if incomplete is None else incomplete.held_bytes

    @property
    def unsent_bytes(self) -> int:
        """The memory of answers that are not written yet."""
        return self.memory.batch_bytes

    @property
    def held_bytes(self) -> int:
        """The memory of all messages of this connection."""
        return self.refusable_bytes + self.memory.open_bytes + self.memory.batch_bytes

    def refuse_unfinished(self) -> int:
        """Refuses the message or the request head that is not complete: the connection ends, with 503 or with 1013,
        once its open requests are answered. Returns 1, the number of what is refused."""
        if self.messages is None:
            self.http = None
            self._send_last_answer(503, "out of memory")
        else:
            self.out_of_memory = True
            self.messages.stop_reading()
            self._end_if_answered()
        return 1

    def _end_if_answered(self) -> None:
        if self.out_of_memory and not self.open_ids and self.messages is not None:
            self.messages.close(CloseCode.TRY_AGAIN_LATER, "out of memory")
            self.finished = True  # the peer's close will not be read
            self._update_state()

    def _update_state(self) -> None:
        if self.messages is not None and not self.messages.open:
            self.state = CLOSING

    def _receive_head(self, data: bytes) -> None:
        """Collects the request head. h11 checks it, so that WebSocket and plain HTTP pass the same checks."""
        self.head += data
        if b"\r\n\r\n" not in self.head:
            if len(self.head) > MAX_HEAD_BYTES:
                self._send_last_answer(431, "request head too long")
            return
        probe = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            probe.receive_data(bytes(self.head))
            request = probe.next_event()
        except h11.RemoteProtocolError as problem:
            self._send_last_answer(problem.error_status_hint or 400, str(problem)[:200])
            return
        if not isinstance(request, h11.Request):
            self._send_last_answer(400, "not an HTTP request")
            return
        headers = {name.lower(): value for name, value in request.headers}
        if headers.get(b"upgrade", b"").strip().lower() == b"websocket":
            if headers.get(b"sec-websocket-version", b"13").strip() != b"13":
                # RFC 6455, 4.4: the answer names the supported version.
                version_headers = [("Sec-WebSocket-Version", "13"), ("Upgrade", "websocket")]
                self._send_last_answer(426, "version 13 of the protocol", version_headers)
                return
            self._upgrade(request, headers.get(b"authorization"))
        else:
            self.state = HTTP
            self.http = PlainHttp(self.settings.path, self.health)
            data = bytes(self.head)
            self.head = bytearray()
            self._receive_http(data)

    def _upgrade(self, request: h11.Request, authorization: bytes | None) -> None:
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        if path != self.settings.path:
            self._send_last_answer(404, "no such path")
            return
        self.partner = self.credentials().authenticate((authorization or b"").decode("latin-1"))
        if self.partner is None:
            # RFC 6750, 3: the challenge names the scheme. Unauthenticated clients cost no upgrade.
            self._send_last_answer(401, "a partner's bearer credential is needed", [("WWW-Authenticate", "Bearer")])
            return
        protocol = server_protocol(self.settings.max_message)
        end = self.head.index(b"\r\n\r\n") + 4
        protocol.receive_data(bytes(self.head[:end]))
        rest, self.head = bytes(self.head[end:]), bytearray()
        event = next(iter(protocol.events_received()), None)
        self.messages = Messages(protocol)
        if isinstance(event, HttpRequest):
            protocol.send_response(protocol.accept(event))
        self.state = OPEN
        self._update_state()
        # Frames that arrived with the head are read only after the extensions are negotiated (RFC 6455, 9.1).
        if rest and self.messages.open:
            for text in self.messages.receive(rest):
                self._handle_message(text)
            self._update_state()

    def _send_last_answer(self, status: int, text: str, headers: list[tuple[str, str]] | None = None) -> None:
        """Queues one HTTP answer, after which the connection ends."""
        self.http_output += last_answer(status, text, headers)
        self.state = CLOSING
        self.finished = True
        self.head = bytearray()

    def _receive_http(self, data: bytes) -> None:
        """Answers plain HTTP requests; a malformed one gets the last answer of the connection."""
        assert self.http is not None
        try:
            self.http.receive(data, self.http_output)
            self.finished |= self.http.finished
        except h11.RemoteProtocolError as problem:
            self._send_last_answer(problem.error_status_hint or 400, str(problem)[:200])

    # --- messages --------------------------------------------------------------------------------

    def _handle_message(self, text: bytes) -> None:
        try:
            message = rpc.parse(text, self.settings.max_batch)
        except rpc.RpcError as problem:
            if problem.code == rpc.PARSE_ERROR and not is_utf8(text):
                assert self.messages is not None  # RFC 6455, 8.1: text that is not UTF-8 fails the connection
                self.messages.fail(CloseCode.INVALID_DATA, "text is not UTF-8")
                return
            self._send_error(problem, None)
            return
        if isinstance(message, rpc.Batch):
            self._handle_batch(message, parsed_bytes(text) // len(message.calls))
        else:
            self._handle_call(message, None, None, parsed_bytes(text))

    def _handle_batch(self, batch: rpc.Batch, held_bytes: int) -> None:
        """A batch is answered in one array, so the earliest time limit in it applies to all of its requests."""
        batch_answers = BatchAnswers()
        batch_answers.left = 1  # until the batch is read, so that early answers don't send the array
        times = [finite_number(m.params.get("within_ms")) for m in batch.calls
                 if isinstance(m, rpc.Call) and isinstance(m.params, dict)]  # fmt: skip
        earliest = min((t for t in times if t is not None), default=None)
        for member in batch.calls:
            if isinstance(member, rpc.RpcError):
                batch_answers.left += 1
                self._send_error(member, batch_answers)
            else:
                self._handle_call(member, batch_answers, earliest, held_bytes)
        self._add_answer(batch_answers, None)

    def _handle_call(
        self, message: rpc.Call | rpc.Reply, batch_answers: BatchAnswers | None, within: float | None, held_bytes: int
    ) -> None:
        if isinstance(message, rpc.Reply):
            self.error_count += 1  # the client was sent no request, and answering an answer could loop
            return
        if message.id is None:
            # JSON-RPC 2.0, 4.1: a notification gets no answer; it is counted and not processed.
            self.notification_count += 1
            return
        if batch_answers is not None:
            batch_answers.left += 1
        try:
            query = self._checked_request(message)
        except rpc.RpcError as problem:
            self._send_error(problem, batch_answers)
            return
        if within is not None and (query.within_ms is None or within < query.within_ms):
            query = Query(query.class_name, query.payload, within, query.units)
        self.open_ids.add(message.id)
        self.memory.opened(message.id, held_bytes)
        self.new_requests.append((RequestRef(message.id, batch_answers), query))

    def _checked_request(self, call: rpc.Call) -> Query:
        assert call.id is not None and self.partner is not None
        if call.id in self.open_ids:
            # The id is in the data only: an error with that id would look like the answer to the open request.
            raise rpc.RpcError(
                rpc.INVALID_REQUEST, "id: a request with this id is open", None, {"id": call.id, "reason": "open_id"}
            )
        if self.refusal_reason or len(self.open_ids) >= self.settings.max_open:
            why = self.refusal_reason or "connection_full"
            data = {"reason": why, "repeat": "harmless", "retry_after_ms": 0}
            raise rpc.RpcError(rpc.REFUSED, f"refused: {why}", call.id, data)
        params = checked_params(call, self.settings.largest_units)
        units, key = params.get("units", 1), params.get("key")
        if self.settings.costs is not None:
            # Priced by its content, not by the units that it claims, which would let clients evade the quota.
            units = amounts.to_units(self.settings.costs.price_rpc(call.method, params.get("data")).amount)
        payload = {"partner": self.partner.name, "data": params.get("data"), "units": units}
        if key is not None:
            payload["key"] = f"{self.partner.name}/{key}"  # partners' keys don't collide
        return Query(call.method, payload, params.get("within_ms"), float(units))

    # --- answers ---------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        """Queues the final answer of a request."""
        ref: RequestRef = answer.ref
        self.open_ids.discard(ref.id)
        self.memory.answered(ref.id)
        text = answer_text(ref.id, answer)
        if ref.batch is None:
            self._send_text(text)
        else:
            self._add_answer(ref.batch, text)
        self._end_if_answered()

    def _send_error(self, problem: rpc.RpcError, batch_answers: BatchAnswers | None) -> None:
        self.error_count += 1
        if batch_answers is None:
            self._send_text(problem.answer())
        else:
            self._add_answer(batch_answers, problem.answer())

    def _add_answer(self, batch_answers: BatchAnswers, text: bytes | None) -> None:
        if text is not None:
            batch_answers.answers.append(text)
            self.memory.batch_bytes += len(text)
        batch_answers.left -= 1
        if not batch_answers.left and batch_answers.answers:  # JSON-RPC 2.0, 6: no array where all are notifications
            self.memory.batch_bytes -= sum(map(len, batch_answers.answers))
            self._send_text(rpc.batch_reply(batch_answers.answers))

    def _send_text(self, text: bytes) -> None:
        if self.messages is not None:
            self.messages.send(text)

    def ping(self) -> None:
        """Queues a WebSocket ping."""
        if self.messages is not None:
            self.messages.ping()

    def reject_full(self) -> None:
        """Answers a new connection beyond the limit with 503, before anything of it is read."""
        self._send_last_answer(503, "no room for more connections", [("Retry-After", "1")])

    def reject_network(self) -> None:
        """Answers a connection from a network that is not allowed with 403."""
        self._send_last_answer(403, "no connections are taken from this network")

    def reject_slow_head(self) -> None:
        """Answers 408: the request head did not arrive in time (RFC 9110, 15.5.9)."""
        self._send_last_answer(408, "the request head took too long")

    def refuse_new(self, why: str) -> None:
        """Refuses new requests from now on. The first reason given stays."""
        self.refusal_reason = self.refusal_reason or why

    def announce_close(self) -> None:
        """Notifies the client that its connection will be closed, so that it sends its next requests elsewhere."""
        if self.messages is not None and self.messages.open and not self.close_announced:
            self.close_announced = True
            params = {"reason": self.refusal_reason or "handover"}
            self.messages.send(rpc.call(CLOSING_METHOD, params))
            self.messages.ping(CLOSING_PING)

    @property
    def awaits_close_ack(self) -> bool:
        """Whether requests that the client sent before it read ``closing`` may still arrive. Its pong comes behind
        them, since a client reads and writes in order (RFC 6455, 5.5.3)."""
        return self.messages is not None and self.messages.open and self.messages.last_pong != CLOSING_PING

    def close(self, code: int, reason: str) -> None:
        """Starts the closing handshake; a connection that is not a WebSocket yet ends at once."""
        if self.messages is not None:
            self.messages.close(code, reason)
            self._update_state()
        else:
            self.finished = True

    def fail(self, code: int, reason: str) -> None:
        """Fails the connection (RFC 6455, 7.1.7); one that is not an open WebSocket ends at once."""
        if self.messages is not None and self.messages.open:
            self.messages.fail(code, reason)
            self._update_state()
        else:
            self.finished = True

    def take(self) -> tuple[list[bytes], bool]:
        """Returns the bytes to write, and whether the connection ends after them."""
        output, self.http_output = self.http_output, []
        if self.messages is not None:
            writes, end = self.messages.take()
            self.finished |= end
            output += writes
        return output, self.finished
