"""Clients: they keep their connections, and send a request once more where a close crossed it."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from typing import Any

from review.common.fleet import Fleet
from review.common.http import Message, read_message
from review.common.record import Record

LATE_MS = 600.0  # a client waits so long beyond a request's time, to see an answer that comes late


@dataclass(slots=True)
class Request:
    """One try of a client."""

    id: str
    key: str
    class_name: str
    deadline_ms: float
    retries: int = 0  # of the same key before it
    sent_ms: float = 0.0
    is_resent: bool = False


class Clients:
    """All clients of a case. ``classes`` are entries of the settings."""

    def __init__(self, fleet: Fleet, classes: list[dict[str, Any]], plan: str, record: Record, seed: int) -> None:
        self.fleet, self.classes, self.plan, self.record = fleet, classes, plan, record
        self.rng = random.Random(seed)
        self.closed_doors: set[int] = set()  # ingresses to which the front brings no new connection
        self.stopping = False
        self.serial = 0
        self.customers = 7  # who ask in turn
        self.tasks: set[asyncio.Task[None]] = set()

    def new_request(self, class_name: str | None = None) -> Request:
        """Draws a request of one class, or of any."""
        chosen = self.rng.choice([c for c in self.classes if class_name in (None, c["name"])])
        self.serial += 1
        return Request(f"r{self.serial:06d}", f"k{self.serial:06d}", chosen["name"], chosen["giveUpMs"])

    def customer(self, request_id: str) -> int:
        """Returns the customer of a request; 0 where the text is no id of a request."""
        return int(request_id[1:]) % self.customers + 1 if request_id[1:].isdigit() else 0

    def to_bytes(self, request: Request) -> bytes:
        """Returns a request as the protocol has it."""
        repeat = next(c["repeat"] for c in self.classes if c["name"] == request.class_name)
        method, body = ("GET", b"") if repeat == "read_like" else ("POST", b'{"n":1}')
        customer = self.customer(request.id)
        lines = [
            f"{method} /api?customer={customer:016x} HTTP/1.1", "Host: origin.svc", f"Req-Id: {request.id}",
            f"Req-Kind: {request.class_name}", f"X-Contract: {self.plan}",
            f"Req-Deadline-Ms: {request.deadline_ms:.0f}",
            f"X-Metering: units=1,spread={len(self.fleet.rooms)},first=0",
        ]  # fmt: skip
        if repeat == "idempotency_key":
            lines.append(f"Idempotency-Key: {request.key}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def spawn(self, coroutine: Any) -> None:
        """Runs a client."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """Lets each client end after its open requests."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def connect(self, ingress: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connects to an ingress, or returns None if the front does not or it refuses."""
        if ingress in self.closed_doors:
            return None
        try:
            return await asyncio.open_connection("127.0.0.1", self.fleet.ports[ingress])
        except OSError:
            return None

    async def ask_once(self, request: Request) -> None:
        """Sends one request on a new connection to any ingress, and closes the connection after the answer."""
        for ingress in self.rng.sample(range(len(self.fleet.rooms)), len(self.fleet.rooms)):
            if (connection := await self.connect(ingress)) is not None:
                reader, writer = connection
                self.send(request, ingress, writer)
                await self.read_answer(request, ingress, reader)
                writer.close()
                return
        self.record.note("not_taken", id=request.id)

    def send(self, request: Request, ingress: int, writer: asyncio.StreamWriter) -> None:
        """Writes a request."""
        request.sent_ms = self.record.now()
        self.record.note(
            "sent", ingress=ingress, id=request.id, key=request.key, cls=request.class_name, retries=request.retries,
            within_ms=request.deadline_ms, resent=request.is_resent,
        )  # fmt: skip
        writer.write(self.to_bytes(request))

    async def read_answer(
        self, request: Request, ingress: int, reader: asyncio.StreamReader, answered_before: int = 0
    ) -> Message | None:
        """Reads and records the answer to a request; None where there is none in time or the connection ends."""
        left_ms = request.sent_ms + request.deadline_ms + LATE_MS - self.record.now()
        try:
            message = await asyncio.wait_for(read_message(reader), max(1.0, left_ms) / 1000)
        except TimeoutError:
            self.record.note("no_answer", ingress=ingress, id=request.id)
            return None
        except (asyncio.IncompleteReadError, OSError) as problem:
            part = bool(getattr(problem, "partial", b""))
            self.record.note(
                "connection_ended", ingress=ingress, id=request.id, part=part, answered_before=answered_before
            )
            return None
        self.record.note(
            "answered", ingress=ingress, id=request.id, key=request.key, cls=request.class_name,
            status=message.status, body=message.body.decode("latin-1")[:60],
            took_ms=round(self.record.now() - request.sent_ms, 1),
        )  # fmt: skip
        return message

    async def user(self, ingress: int, pause_ms: float) -> None:
        """A client with one request at a time, on connections that it keeps for as long as they stay open."""
        connection, answered = None, 0
        while not self.stopping:
            if connection is None:
                connection, answered = await self.connect(ingress), 0
                if connection is None:
                    ingress = self.rng.randrange(len(self.fleet.rooms))
                    await asyncio.sleep(0.05)
                    continue
            reader, writer = connection
            request = self.new_request()
            self.send(request, ingress, writer)
            message = await self.read_answer(request, ingress, reader, answered)
            answered += 1
            if message is None or message.headers.get("connection", "").lower() == "close":
                writer.close()
                connection = None
                if message is None and self.record.events[-1]["event"] == "connection_ended" and answered > 1:
                    request.is_resent = True
                    await self.ask_once(request)
            await asyncio.sleep(self.rng.expovariate(1 / pause_ms) / 1000)
        if connection is not None:
            connection[1].close()

    async def pipelining_user(self, ingress: int, ahead: int, class_name: str) -> None:
        """A client that keeps ``ahead`` requests of one class open on a connection, for as long as it stays open.

        What a close leaves without an answer is sent once more; a refused request is tried again, once."""
        while not self.stopping:
            connection = await self.connect(ingress)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            reader, writer = connection
            queue: deque[Request] = deque()
            is_open = True
            while is_open and (queue or not self.stopping):
                while len(queue) < ahead and not self.stopping:
                    queue.append(self.new_request(class_name))
                    self.send(queue[-1], ingress, writer)
                request = queue[0]
                message = await self.read_answer(request, ingress, reader)
                is_open = message is not None and message.headers.get("connection", "").lower() != "close"
                if message is not None:
                    queue.popleft()
                    if message.status in (429, 503):
                        self.spawn(self.try_again(request))
            writer.close()
            for request in queue:
                request.is_resent = True
                await self.ask_once(request)

    async def try_again(self, request: Request) -> None:
        """The same request again with a new id, as a refusal says that this is harmless."""
        if request.retries:
            return
        await asyncio.sleep(0.2)
        again = self.new_request(request.class_name)
        again.key, again.retries = request.key, 1
        await self.ask_once(again)
