"""Backends: HTTP/1.1 servers on loopback with two cores, a queue and, by room, a memory of the keys that have run."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.common.http import Message, answer_bytes, read_message
from review.common.record import Record

CORES = 2
QUEUE = 50  # requests that wait for a core; more are turned away
KEY_WINDOW_MS = 6_000.0  # for so long the backends of a room drop repeats of a key


@dataclass(slots=True)
class Room:
    """What the backends of one room share: the answers of the keys that have run, with the time of the run."""

    name: str
    answers: dict[str, tuple[float, bytes]] = field(default_factory=dict)


class Backend:
    """One backend. A request runs to its end also where the ingress gives it up."""

    def __init__(self, name: str, room: Room, work_ms: tuple[float, float], record: Record, seed: int) -> None:
        """``work_ms``: the least and the most work of a request."""
        self.name, self.room, self.work_ms, self.record = name, room, work_ms, record
        self.rng = random.Random(seed)
        self.cores = asyncio.Semaphore(CORES)
        self.waiting = 0
        self.state = "Ready"
        self.write_answer: Callable[[asyncio.StreamWriter, bytes], Awaitable[bool]] = write_with_length
        self.writers: set[asyncio.StreamWriter] = set()
        self.busy: set[asyncio.StreamWriter] = set()  # connections on which a request waits for its answer
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listens on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends, with all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.busy.add(writer)
                # The work has a task of its own: it goes on where the connection ends.
                work = asyncio.create_task(self._run(request))
                self.tasks.add(work)
                work.add_done_callback(self.tasks.discard)
                body = await asyncio.shield(work)
                if body is None:
                    writer.write(answer_bytes(503, b"", "Srv-Declined: 1\r\n"))
                elif not await self.write_answer(writer, body):
                    break
                self.busy.discard(writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.busy.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _run(self, request: Message) -> bytes | None:
        """Runs a request and returns its answer, or None if it was turned away."""
        request_id, key = request.headers["req-id"], request.headers.get("idempotency-key", "")
        if self.waiting >= QUEUE:
            self.record.note("declined", backend=self.name, id=request_id, key=key)
            return None
        self.record.note("arrived", backend=self.name, room=self.room.name, id=request_id, key=key)
        self.waiting += 1
        async with self.cores:
            self.waiting -= 1
            await asyncio.sleep(self.rng.uniform(*self.work_ms) / 1000)
        now = self.record.now()
        if key and (known := self.room.answers.get(key)) is not None and now - known[0] < KEY_WINDOW_MS:
            self.record.note("repeat_dropped", backend=self.name, id=request_id, key=key)
            return known[1]
        body = f"{request_id} by {self.name}".encode()
        if key:
            self.room.answers[key] = (now, body)
        self.record.note("ran", backend=self.name, room=self.room.name, id=request_id, key=key)
        return body


async def write_with_length(writer: asyncio.StreamWriter, body: bytes) -> bool:
    """Writes an answer with a length; the connection goes on."""
    writer.write(answer_bytes(200, body))
    return True


async def write_without_length(writer: asyncio.StreamWriter, body: bytes) -> bool:
    """Writes an answer without a length, whose end is the orderly end of the connection (RFC 9112, 6.3)."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + body)
    await writer.drain()
    return False
