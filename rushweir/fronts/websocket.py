"""The WebSocket front: JSON-RPC 2.0 requests over one connection, and plain HTTP beside it. No I/O.

A connection begins with an HTTP request head. An upgrade to WebSocket with a partner's credential makes it a
client connection; anything else is answered as HTTP by h11 (health page, 401, 404, 426).

What a client asks for: method = class, ``params`` an object with the members below, all optional.

    data       what the node gets, unseen by the ingress
    key        text that marks repeats of one request, for classes that carry a key
    units      what the request counts in the quota, where no prices are set; else it is not looked at
    within_ms  how long the client waits; the class's deadline at most
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import h11
import orjson
from websockets.frames import CloseCode
from websockets.http11 import Request as HttpRequest

from rushweir.costs import amounts
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.messages import BatchSlot, FrontSettings, Ref, is_utf8, number
from rushweir.fronts.states import CLOSING, HEAD, HTTP, OPEN
from rushweir.ingress.commands import Answer, AnswerKind
from rushweir.ingress.queries import Partner, Query
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol

MOST_HEAD = 16384  # bytes of a request head: some proxies add long cookies, nobody needs more
MOST_KEY = 128
PARAMS = frozenset({"data", "key", "units", "within_ms"})


class ClientConnection:
    """One connection of the front. Bytes in by ``receive``; bytes out by ``take``; requests by ``asked``."""

    backlog = False  # requests come one by one as they are read
    partial = 0  # a message under way is watched by pings

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
        self.http: h11.Connection | None = None
        self.messages: Messages | None = None
        self.open_ids: set[rpc.Id] = set()
        self.asked: list[tuple[Ref, Query]] = []
        self.raw: list[bytes] = []  # HTTP answers
        self.end = False
        self.leaving = ""  # why requests are refused from now on
        self.notifications = 0
        self.problems = 0  # messages answered with an error of the protocol's own

    # --- bytes in --------------------------------------------------------------------------------

    def receive(self, data: bytes) -> list[tuple[Ref, Query]]:
        """Take in bytes; returns the requests that they hold, which are then open until ``answer``."""
        if self.state is HEAD:
            self._head(data)
        elif self.state is HTTP:
            self._http(data)
        elif self.messages is not None:
            for text in self.messages.receive(data):
                self._message(text)
            self._follow()
        asked, self.asked = self.asked, []
        return asked

    @property
    def engaged(self) -> bool:
        return bool(self.open_ids)

    def spare(self, quiet_ms: float) -> bool:
        """A partner's connection is never given up for another's."""
        return False

    def receive_eof(self) -> None:
        if self.messages is not None:
            self.messages.receive_eof()
        self.end = True

    def _follow(self) -> None:
        if self.messages is not None and not self.messages.open:
            self.state = CLOSING

    def _head(self, data: bytes) -> None:
        """Collect the request head; h11 judges it, so that WebSocket and plain HTTP meet one set of checks."""
        self.head += data
        if b"\r\n\r\n" not in self.head:
            if len(self.head) > MOST_HEAD:
                self._plain(431, "request head too long")
            return
        probe = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        try:
            probe.receive_data(bytes(self.head))
            request = probe.next_event()
        except h11.RemoteProtocolError as problem:
            self._plain(problem.error_status_hint or 400, str(problem)[:200])
            return
        if not isinstance(request, h11.Request):
            self._plain(400, "not an HTTP request")
            return
        headers = {name.lower(): value for name, value in request.headers}
        if headers.get(b"upgrade", b"").strip().lower() == b"websocket":
            if headers.get(b"sec-websocket-version", b"13").strip() != b"13":
                # RFC 6455, 4.4: the answer says which version would do.
                more = [("Sec-WebSocket-Version", "13"), ("Upgrade", "websocket")]
                self._plain(426, "version 13 of the protocol", more)
                return
            self._upgrade(request, headers.get(b"authorization"))
        else:
            self.state, self.http = HTTP, h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
            data, self.head = bytes(self.head), bytearray()
            self._http(data)

    def _upgrade(self, request: h11.Request, authorization: bytes | None) -> None:
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        if path != self.settings.path:
            self._plain(404, "no such path")
            return
        self.partner = self.credentials().partner((authorization or b"").decode("latin-1"))
        if self.partner is None:
            # RFC 6750, 3: the challenge names the scheme; before the upgrade, so nothing is spent on strangers.
            self._plain(401, "a partner's bearer credential is needed", [("WWW-Authenticate", "Bearer")])
            return
        proto = server_protocol(self.settings.max_message)
        end = self.head.index(b"\r\n\r\n") + 4
        proto.receive_data(bytes(self.head[:end]))
        rest, self.head = bytes(self.head[end:]), bytearray()
        event = next(iter(proto.events_received()), None)
        self.messages = Messages(proto)
        if isinstance(event, HttpRequest):
            proto.send_response(proto.accept(event))
        self.state = OPEN
        self._follow()
        # Frames that came with the head are read only now that the extensions are agreed (RFC 6455, 9.1).
        if rest and self.messages.open:
            for text in self.messages.receive(rest):
                self._message(text)
            self._follow()

    def _plain(self, status: int, text: str, headers: list[tuple[str, str]] | None = None) -> None:
        """One last HTTP answer, then the end."""
        body = orjson.dumps({"error": text})
        answer = h11.Response(
            status_code=status,
            headers=[
                ("Content-Type", "application/json"), ("Content-Length", str(len(body))),
                ("Connection", "close"), *(headers or []),
            ],
        )  # fmt: skip
        writer = h11.Connection(h11.SERVER)
        self.raw += [writer.send(answer) or b"", writer.send(h11.Data(data=body)) or b""]
        self.state, self.end = CLOSING, True
        self.head = bytearray()

    def _http(self, data: bytes) -> None:
        """Plain HTTP/1.1 beside the main protocol: one answer for each request, in order (RFC 9112, 9.3.2)."""
        http = self.http
        assert http is not None
        try:
            http.receive_data(data)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    break
                if isinstance(event, h11.Request):
                    target, method = event.target.split(b"?", 1)[0].decode("latin-1"), event.method
                if isinstance(event, h11.EndOfMessage):
                    self.raw.append(self._page(http, method, target))
                    if http.our_state is h11.MUST_CLOSE:
                        break
                    http.start_next_cycle()
            if http.our_state in (h11.MUST_CLOSE, h11.CLOSED):
                self.end = True
        except h11.RemoteProtocolError as problem:
            self._plain(problem.error_status_hint or 400, str(problem)[:200])

    def _page(self, http: h11.Connection, method: bytes, target: str) -> bytes:
        headers: list[tuple[str, str]] = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
        if target == "/health" and method in (b"GET", b"HEAD"):
            status, page = self.health()
        elif target == self.settings.path:
            # RFC 9110, 15.5.22: the answer names the protocol that is asked for.
            status, page = 426, {"error": "this path speaks WebSocket, subprotocol jsonrpc"}
            headers += [("Upgrade", "websocket"), ("Connection", "Upgrade")]
        elif target == "/health":
            status, page = 405, {"error": "GET or HEAD"}
            headers.append(("Allow", "GET, HEAD"))
        else:
            status, page = 404, {"error": "no such page"}
        body = orjson.dumps(page)
        out = http.send(h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))]))
        if method != b"HEAD":
            out = (out or b"") + (http.send(h11.Data(data=body)) or b"")
        return (out or b"") + (http.send(h11.EndOfMessage()) or b"")

    # --- messages --------------------------------------------------------------------------------

    def _message(self, text: bytes | str) -> None:
        try:
            message = rpc.read(text, self.settings.max_batch)
        except rpc.RpcError as problem:
            if problem.code == rpc.PARSE_ERROR and isinstance(text, bytes) and not is_utf8(text):
                assert self.messages is not None  # RFC 6455, 8.1: text that is not UTF-8 fails the connection
                self.messages.fail(CloseCode.INVALID_DATA, "text is not UTF-8")
                return
            self._problem(problem, None)
            return
        if isinstance(message, rpc.Batch):
            self._batch(message)
        else:
            self._one(message, None, None)

    def _batch(self, batch: rpc.Batch) -> None:
        """All of a batch is answered in one array, so all of it is wanted by the earliest of its times."""
        slot = BatchSlot()
        slot.left = 1  # held while the batch is read, so that early answers don't send it
        times = [number(m.params.get("within_ms")) for m in batch.calls
                 if isinstance(m, rpc.Call) and isinstance(m.params, dict)]  # fmt: skip
        earliest = min((t for t in times if t is not None), default=None)
        for member in batch.calls:
            if isinstance(member, rpc.RpcError):
                slot.left += 1
                self._problem(member, slot)
            else:
                self._one(member, slot, earliest)
        self._fill(slot, None)

    def _one(self, message: rpc.Call | rpc.Reply, slot: BatchSlot | None, within: float | None) -> None:
        if isinstance(message, rpc.Reply):
            self.problems += 1  # nothing was asked of the client; an answer to an answer would never end
            return
        if message.id is None:
            # 4.1: a notification gets no answer, so it can't be owed one, and is not taken.
            self.notifications += 1
            return
        if slot is not None:
            slot.left += 1
        try:
            ask = self._ask(message)
        except rpc.RpcError as problem:
            self._problem(problem, slot)
            return
        if within is not None and (ask.within_ms is None or within < ask.within_ms):
            ask = Query(ask.cls, ask.payload, within, ask.units)
        self.open_ids.add(message.id)
        self.asked.append((Ref(message.id, slot), ask))

    def _ask(self, call: rpc.Call) -> Query:
        assert call.id is not None and self.partner is not None
        if call.id in self.open_ids:
            # Named in the data, not as the id: an error under that id would pass for the first one's answer.
            raise rpc.RpcError(
                rpc.INVALID_REQUEST, "id: a request with this id is open", None, {"id": call.id, "reason": "open_id"}
            )
        if self.leaving or len(self.open_ids) >= self.settings.max_open:
            why = self.leaving or "connection_full"
            data = {"reason": why, "repeat": "harmless", "retry_after_ms": 0}
            raise rpc.RpcError(rpc.REFUSED, f"refused: {why}", call.id, data)
        params = {} if call.params is None else call.params
        if type(params) is not dict:
            raise rpc.RpcError(rpc.INVALID_PARAMS, "params: an object", call.id)
        if unknown := [name for name in params if name not in PARAMS]:
            raise rpc.RpcError(rpc.INVALID_PARAMS, f"params.{unknown[0][:60]}: not known", call.id)
        within, units, key = params.get("within_ms"), params.get("units", 1), params.get("key")
        if within is not None and not (number(within) or 0) > 0:
            raise rpc.RpcError(rpc.INVALID_PARAMS, "params.within_ms: a number above 0", call.id)
        most = self.settings.largest_units
        if not 0 < (number(units) or 0) <= most:
            raise rpc.RpcError(rpc.INVALID_PARAMS, f"params.units: a number above 0, {most:g} at most", call.id)
        if key is not None and not (type(key) is str and 0 < len(key) <= MOST_KEY):
            raise rpc.RpcError(rpc.INVALID_PARAMS, f"params.key: text of at most {MOST_KEY} characters", call.id)
        if self.settings.costs is not None:
            # Priced by what was read, whatever the request claims: a claim would be the cheapest way round a quota.
            units = amounts.units(self.settings.costs.rpc(call.method, params.get("data")).amount)
        payload = {"partner": self.partner.name, "data": params.get("data"), "units": units}
        if key is not None:
            payload["key"] = f"{self.partner.name}/{key}"  # one partner's keys never meet another's
        return Query(call.method, payload, within, float(units))

    # --- answers ---------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        """Word the one final answer of a request."""
        ref: Ref = answer.ref
        self.open_ids.discard(ref.id)
        if answer.kind == AnswerKind.SERVED:
            body = answer.body
            if body is not None and body[0] == "error":
                text = rpc.error(ref.id, body[1].get("code"), body[1].get("message", ""), body[1].get("data"))
            else:
                text = rpc.result(ref.id, body[1] if body is not None else None)
        elif answer.kind == AnswerKind.REFUSED:
            unknown = answer.why == "unknown_class"
            data = {
                "reason": answer.why, "repeat": "harmless", "retry_after_ms": math.ceil(answer.retry_after_ms),
                "request": answer.request_id,
            }  # fmt: skip
            code = rpc.METHOD_NOT_FOUND if unknown else rpc.REFUSED
            text = rpc.error(ref.id, code, f"refused: {answer.why}", data)
        else:
            text = rpc.error(ref.id, rpc.FAILED, "failed", {"reason": answer.why, "request": answer.request_id})
        if ref.batch is None:
            self._send(text)
        else:
            self._fill(ref.batch, text)

    def _problem(self, problem: rpc.RpcError, slot: BatchSlot | None) -> None:
        self.problems += 1
        if slot is None:
            self._send(problem.answer())
        else:
            self._fill(slot, problem.answer())

    def _fill(self, slot: BatchSlot, text: bytes | None) -> None:
        if text is not None:
            slot.answers.append(text)
        slot.left -= 1
        if not slot.left and slot.answers:  # 6: no array at all where there were only notifications
            self._send(rpc.array(slot.answers))

    def _send(self, text: bytes) -> None:
        if self.messages is not None:
            self.messages.send(text)

    def ping(self) -> None:
        if self.messages is not None:
            self.messages.ping()

    def turn_away(self) -> None:
        """Answer a connection that there is no room for, before it says anything."""
        self._plain(503, "no room for more connections", [("Retry-After", "1")])

    def forbid(self) -> None:
        """Answer a connection from a network that none is taken from."""
        self._plain(403, "no connections are taken from this network")

    def time_out(self) -> None:
        """The request head did not come in time (RFC 9110, 15.5.9)."""
        self._plain(408, "the request head took too long")

    def refuse_new(self, why: str) -> None:
        """From now on requests are refused, with this reason."""
        self.leaving = self.leaving or why

    def close(self, code: int, reason: str) -> None:
        """Start the closing handshake; a connection that is no WebSocket yet just ends."""
        if self.messages is not None:
            self.messages.close(code, reason)
            self._follow()
        else:
            self.end = True

    def fail(self, code: int, reason: str) -> None:
        if self.messages is not None and self.messages.open:
            self.messages.fail(code, reason)
            self._follow()
        else:
            self.end = True

    def take(self) -> tuple[list[bytes], bool]:
        """Bytes to write now, and whether the connection ends after them."""
        raw, self.raw = self.raw, []
        if self.messages is not None:
            writes, end = self.messages.take()
            self.end |= end
            raw += writes
        return raw, self.end
