"""Clients of the platform as stand-ins: they use each connection for as long as it stays open.

A request whose connection ends before any byte of its answer, where the connection had served one before, is sent
once more on a new connection, as the platform's page has it; its record has the same tag (``resent``)."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from rushweir.lab.records import Recorder, clock
from rushweir.lab.soak.http_messages import Message, read_message
from rushweir.lab.soak.scenario import KEYED, SAFE, RequestClass

GIVE_UP_MS = 600.0  # after a request's time: longer than the platform allows an answer to be late
LEAVE_SHARE = 0.05  # of the requests of clients that leave
KINDS = {200: "served", 429: "refused", 503: "refused"}
_connection_numbers = itertools.count(1)


@dataclass(slots=True)
class Door:
    """One ingress as the front that brings clients in knows it."""

    ingress: int
    port: int
    open_until: float = float("inf")  # no new connections after this time

    def is_open(self) -> bool:
        """Whether new connections may be made."""
        return clock() < self.open_until


@dataclass(slots=True)
class Request:
    """A request and its time, which ends ``within_ms`` after ``sent_at``."""

    tag: str
    request_class: RequestClass
    customer: str
    within_ms: float
    work_ms: float
    spread: int  # ingresses of its customer
    sent_at: float = 0.0
    times_sent: int = 0

    def to_bytes(self) -> bytes:
        """Returns the request as the platform's clients write it."""
        method = "GET" if self.request_class.effect == SAFE else "POST"
        target = f"/api?customer={self.customer}&class={self.request_class.name}&work={self.work_ms:.0f}"
        body = b"" if method == "GET" else b"{}"
        lines = [
            f"{method} {target} HTTP/1.1", "Host: origin.svc", f"Req-Id: {self.tag}",
            f"Req-Kind: {self.request_class.name}", "X-Contract: plan", f"Req-Deadline-Ms: {self.within_ms:.0f}",
            f"X-Metering: units=1,spread={self.spread},first=0",
        ]  # fmt: skip
        if self.request_class.effect == KEYED:
            lines.append(f"Idempotency-Key: key-{self.tag}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass(slots=True)
class Connection:
    """An open connection to an ingress."""

    number: int
    ingress: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: int = 0


@dataclass(slots=True)
class Clients:
    """What all clients of a play share. ``doors`` are the ingresses."""

    records: Recorder
    rng: random.Random
    doors: list[Door]
    classes: tuple[RequestClass, ...]
    interval_ms: float
    pipelines: bool
    leaves: bool
    spread: int
    ended: bool = False
    serial: int = 0
    counts: dict[str, int] = field(default_factory=dict)
    served_bodies: set[str] = field(default_factory=set)

    async def user(self, door: Door) -> None:
        """One client: request after request, at one ingress while its connection is open, then at another."""
        connection = None
        while not self.ended:
            if connection is None:
                connection = await self._connect(door)
                if connection is None:
                    door = self.rng.choice(self.doors)
                    await asyncio.sleep(0.02)
                    continue
            requests = [self._new_request()]
            if self.pipelines and self.rng.random() < 0.3:
                requests.append(self._new_request(requests[0]))
            connection = await self._ask(connection, requests)
            await asyncio.sleep(self.rng.expovariate(1 / self.interval_ms) / 1000)
        if connection is not None:
            self._leave(connection)

    def _new_request(self, before: Request | None = None) -> Request:
        """Draws a request; one behind another has as much time, since answers go in order (RFC 9112, 9.3.2)."""
        self.serial += 1
        request_class = self.rng.choice(self.classes)
        within = request_class.deadline_ms * self.rng.choice((0.3, 0.9, 1.0))
        if before is not None:
            request_class, within = before.request_class, before.within_ms
        return Request(
            f"r{self.serial}", request_class, f"{self.rng.randrange(6):016x}", within, self.rng.uniform(2.0, 40.0),
            self.spread,
        )  # fmt: skip

    async def _connect(self, door: Door) -> Connection | None:
        if not door.is_open():
            return None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        except OSError:
            return None
        connection = Connection(next(_connection_numbers), door.ingress, reader, writer)
        self.records.note("open", client=connection.number, ingress=door.ingress)
        return connection

    async def _ask(self, connection: Connection, requests: list[Request]) -> Connection | None:
        """Sends requests behind each other and reads their answers; returns the connection if it goes on."""
        for request in requests:
            self._send(connection, request)
        for number, request in enumerate(requests):
            if self.leaves and self.rng.random() < LEAVE_SHARE:
                self._leave(connection)
                return None
            try:
                message = await self._answer(connection, request)
            except TimeoutError:  # the checker says that there is none
                self._leave(connection)
                return None
            except (asyncio.IncompleteReadError, OSError) as problem:
                self._ended_by_ingress(connection)
                is_crossed = connection.answered and not getattr(problem, "partial", b"")
                if is_crossed:
                    await self._send_once_more(requests[number:])
                return None
            connection.answered += 1
            self._note_answer(connection, request, message)
            if message.fields.get("connection", "").lower() == "close":
                self._ended_by_ingress(connection)
                await self._send_once_more(requests[number + 1 :])
                return None
        return connection

    async def _send_once_more(self, requests: list[Request]) -> None:
        for request in requests:
            if request.times_sent > 1:
                continue
            for door in self.rng.sample(self.doors, len(self.doors)):
                if (connection := await self._connect(door)) is not None:
                    self.records.note("resent", tag=request.tag)
                    connection = await self._ask(connection, [request])
                    if connection is not None:
                        self._leave(connection)
                    break
            else:  # no ingress takes connections: this one was not taken
                self.records.note("untaken", tag=request.tag)

    def _send(self, connection: Connection, request: Request) -> None:
        request.sent_at = clock()
        request.times_sent += 1
        self.records.note(
            "ask", client=connection.number, ingress=connection.ingress, id=request.tag,
            cls=request.request_class.name, within=request.within_ms, units=1, tag=request.tag,
        )  # fmt: skip
        connection.writer.write(request.to_bytes())

    async def _answer(self, connection: Connection, request: Request) -> Message:
        left = request.sent_at + request.within_ms + GIVE_UP_MS - clock()
        return await asyncio.wait_for(read_message(connection.reader), max(0.001, left / 1000))

    def _note_answer(self, connection: Connection, request: Request, message: Message) -> None:
        status = int(message.start.split(" ")[1])
        kind = KINDS.get(status, "failed")
        # A backend's body names the request that it answers, which has to be this one.
        answered = message.body.decode().split(" ")[1] if kind == "served" else request.tag
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "served":
            self.served_bodies.add(message.body.decode())
        self.records.note("answer", client=connection.number, id=answered, kind=kind, why=message.body.decode()[:60])

    def _ended_by_ingress(self, connection: Connection) -> None:
        self.records.note("closed", client=connection.number, code=None)
        connection.writer.transport.abort()

    def _leave(self, connection: Connection) -> None:
        self.records.note("leave", client=connection.number)
        connection.writer.transport.abort()
