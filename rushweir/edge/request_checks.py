"""Checks a client's complete message against the settings, and reads the request in it. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from rushweir import interface
from rushweir.edge.http import Message
from rushweir.ingress.queries import Partner, Query

CUSTOMER_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
MAX_CUSTOMER = 1 << 33
MAX_QUERY_FIELDS = 32
VISIBLE_TOKEN = re.compile(rb"[!-~]{1,128}\Z")  # an id or key: visible ASCII, forwarded in a header as it is
WHOLE_NUMBER = re.compile(rb"[0-9]{1,9}\Z")
TARGETS = (b"/", b"http://")  # origin-form and absolute-form (RFC 9112, 3.2)
FIELDS_GIVEN_ONCE = (b"req-id", b"req-kind", b"x-contract", b"req-deadline-ms", b"x-metering", b"idempotency-key")


class BadRequest(Exception):
    """A well-formed request with an invalid field; the text names the field."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Payload:
    """A request to forward: its body, and its head without Req-Deadline-Ms, which is added when it is sent."""

    head: bytes
    body: bytes


class RequestChecks:
    """What a request of the platform's protocol has to satisfy under some settings."""

    def __init__(self, settings: interface.Settings) -> None:
        self.gateways, self.max_units = settings.gateways, settings.sharing.largest_request
        self.classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}

    def query(self, message: Message) -> Query:
        """Returns the request in a message. Raises BadRequest, which names the first field at fault."""
        headers = message.headers
        _, _, query = message.target.partition(b"?")
        if message.version == "1.1" and b"host" not in headers:
            raise BadRequest(400, "Host: missing")  # RFC 9112, 3.2
        if not message.target.startswith(TARGETS):
            raise BadRequest(400, "target: a path, or a URI of the scheme http")
        for name in FIELDS_GIVEN_ONCE:
            if name in message.repeated:
                raise BadRequest(400, f"{name.decode()}: more than once")
        if not VISIBLE_TOKEN.match(headers.get(b"req-id", b"")):
            raise BadRequest(400, "Req-Id: 1 to 128 visible characters")
        cls = self.classes.get(headers.get(b"req-kind", b""))
        if cls is None:
            raise BadRequest(400, "Req-Kind: no such class")
        plan = self.plans.get(headers.get(b"x-contract", b""))
        if plan is None:
            raise BadRequest(400, "X-Contract: no such plan")
        if not WHOLE_NUMBER.match(within := headers.get(b"req-deadline-ms", b"")) or not int(within):
            raise BadRequest(400, "Req-Deadline-Ms: whole milliseconds from 1")
        customer = _parse_customer(query)
        units, gateway_count, first_gateway = self._parse_metering(headers.get(b"x-metering", b""))
        _check_effect(message, cls.effect)
        partner = Partner(customer, plan, gateway_count, first_gateway)
        return Query(cls.name, _payload(message), float(within), units, partner)

    def _parse_metering(self, text: bytes) -> tuple[float, int, int]:
        fields: dict[bytes, int] = {}
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name in fields or not WHOLE_NUMBER.match(value):
                raise BadRequest(400, "X-Metering: units, spread and first as whole numbers, once each")
            fields[name] = int(value)
        try:
            units, gateway_count, first_gateway = fields[b"units"], fields[b"spread"], fields[b"first"]
        except KeyError as missing:
            raise BadRequest(400, f"X-Metering: {missing.args[0].decode()} is missing") from None
        if not 0 < units <= self.max_units:
            raise BadRequest(400, "X-Metering: units out of range")
        if not 0 < gateway_count <= self.gateways or not first_gateway < self.gateways:
            raise BadRequest(400, "X-Metering: no such set of ingresses")
        return float(units), gateway_count, first_gateway


def _check_effect(message: Message, effect: interface.Effect) -> None:
    """Checks method, body and key against what the class of the request permits."""
    if effect is interface.Effect.SAFE:
        if message.method != b"GET":
            raise BadRequest(405, "a class that is safe to repeat: GET, no body")
        if message.body:
            raise BadRequest(400, "a class that is safe to repeat: GET, no body")
    elif message.method != b"POST":
        raise BadRequest(405, "a class that is not safe to repeat: POST")
    key = message.headers.get(b"idempotency-key")
    if effect is interface.Effect.KEYED and key is None:
        raise BadRequest(400, "Idempotency-Key: this class needs one")
    if key is not None and not VISIBLE_TOKEN.match(key):
        raise BadRequest(400, "Idempotency-Key: 1 to 128 visible characters")


def _payload(message: Message) -> Payload:
    headers = message.headers
    lines = [
        message.method + b" " + message.target + b" HTTP/1.1",
        b"Host: " + headers.get(b"host", b""),
        b"Req-Id: " + headers[b"req-id"],
    ]
    if (key := headers.get(b"idempotency-key")) is not None:
        lines.append(b"Idempotency-Key: " + key)
    if message.method == b"POST":
        lines.append(b"Content-Length: %d" % len(message.body))
    return Payload(b"\r\n".join(lines) + b"\r\n", message.body)


def _parse_customer(query: bytes) -> str:
    try:
        fields = parse_qsl(query.decode("latin-1"), keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        raise BadRequest(400, f"query: {MAX_QUERY_FIELDS} fields at most") from None
    found = [value for name, value in fields if name == "customer"]
    if len(found) != 1 or not CUSTOMER_ID.match(found[0]) or int(found[0], 16) >= MAX_CUSTOMER:
        raise BadRequest(400, "customer: 16 hex digits, below 2^33")
    return found[0].lower()  # one spelling for each customer
