"""Backends of the platform as stand-ins: HTTP servers on loopback that record what arrives and how it ended."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from rushweir.lab.records import Recorder
from rushweir.lab.soak.bad_clients import BAD_TAG
from rushweir.lab.soak.http_messages import Message, answer, read_message

CORES, SPEED, COLD_FROM, COLD_MS, FALL_MULTIPLE, FALL_MS = 2, 1.0, 0.25, 8_000.0, 3.0, 1_500.0


class Backend:
    """One backend. A request takes as many milliseconds as its query says (``work``)."""

    def __init__(self, name: str, records: Recorder, rng: random.Random, attempts: Counter[str]) -> None:
        """``attempts`` counts the arrivals of each request at all backends."""
        self.name, self.records, self.rng, self.attempts = name, records, rng, attempts
        self.hangs = False
        self.reset_share = 0.0
        self.closes_idle = False
        self.unsized_share = self.unsized_resets = 0.0
        self.unsized_bodies: set[str] = set()  # of answers without a length that came whole
        self.bad_attempt_arrived: Callable[[str], None] = lambda tag: None
        self.started_ms = 0.0  # Unix time of a cold start; 0: long ago
        self.state = "Ready"
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, cold: bool = False) -> None:
        """Listens on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.started_ms = time.time() * 1000 if cold else 0.0
        self.records.note(
            "up", node=self.name, room="a", cold=cold, cores=CORES, speed=SPEED, cold_from=COLD_FROM, cold_ms=COLD_MS,
            fall_multiple=FALL_MULTIPLE, fall_ms=FALL_MS,
        )  # fmt: skip

    def close(self) -> None:
        """Ends, with all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self._handle(request, reader, writer):
                    break
                await writer.drain()
                if self.closes_idle and self.rng.random() < 0.2:
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the stream's own callback would report a cancelled handler as an error
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Records and answers a request; returns whether the connection goes on."""
        method, target, _ = request.start.split(" ", 2)
        query = parse_qs(urlsplit(target).query)
        tag, key = request.fields["req-id"], request.fields.get("idempotency-key", "")
        if tag.startswith(BAD_TAG):
            self.bad_attempt_arrived(tag)
            await asyncio.sleep(float(query["work"][0]) / 1000)
            writer.write(answer(200, b"for a bad client"))
            return True
        self.attempts[tag] += 1
        number, work = self.attempts[tag], float(query["work"][0])
        self.records.note(
            "arrive", node=self.name, room="a", ingress=-1, req=tag, n=number, cls=query["class"][0],
            partner=query["customer"][0], key=key, work=work, units=1, tag=tag,
            within=float(request.fields.get("req-deadline-ms", 0)),
        )  # fmt: skip
        if not self.hangs and self.rng.random() < self.reset_share:
            self._end(tag, number, "lost")
            writer.transport.abort()
            return False
        gone = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait([gone], timeout=None if self.hangs else work / 1000)
        if done:  # the ingress gave the attempt up
            self._end(tag, number, "cancel")
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        body = f"{method} {tag} by {self.name}".encode()
        if self.rng.random() < self.unsized_share:
            self._answer_without_length(tag, number, body, writer)
            return False
        self._end(tag, number, "ok")
        writer.write(answer(200, body))
        return True

    def _answer_without_length(self, tag: str, number: int, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Sends an answer that ends with its connection, whole or reset on the way."""
        writer.write(b"HTTP/1.1 200 -\r\nConnection: close\r\n\r\n")
        if self.rng.random() < self.unsized_resets:
            self._end(tag, number, "lost")
            writer.write(body[: len(body) // 2])
            linger_of_0_s = struct.pack("ii", 1, 0)  # a close resets the connection
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_of_0_s)
            writer.transport.abort()
        else:
            self._end(tag, number, "ok")
            self.unsized_bodies.add(body.decode())
            writer.write(body)

    def _end(self, tag: str, number: int, how: str) -> None:
        self.records.note("end", node=self.name, req=tag, n=number, how=how)
