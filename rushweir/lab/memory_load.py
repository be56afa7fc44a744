"""Clients and backends that make an ingress hold memory: messages of every shape, unfinished, queued or not read.

``LOADS`` has them by name. ``play`` brings the clients of one load to an ingress process and returns what they got,
and how much memory the process had at most.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from rushweir.lab.ports import free_port

MAX_BODY_BYTES = 65_536  # of a body, by the platform's protocol
STAY_S = 3.2  # a client that stops in the middle of a request is owed an error or a close within 3 s
LOOK_S = 0.01  # between two looks at the memory of the process
READY_S = 30.0
BACKENDS = 6
SOUND_INTERVAL_S = 0.05  # between two requests of a sound client
SOUND_DEADLINE_MS = 3000
BYTES_OF_MB = 1_048_576


def request_head(request_id: str, *lines: str, method: str = "POST") -> bytes:
    """Returns the head of a request of the class ``book`` (``look`` with GET), without its last line end."""
    kind = ["Req-Kind: book", f"Idempotency-Key: {request_id}"] if method == "POST" else ["Req-Kind: look"]
    fields = [
        "Host: origin.svc", f"Req-Id: {request_id}", "X-Contract: wide", f"Req-Deadline-Ms: {SOUND_DEADLINE_MS}",
        "X-Metering: units=1,spread=1,first=0", *kind, *lines,
    ]  # fmt: skip
    customer = int.from_bytes(request_id.encode()[-4:], "big")
    return "\r\n".join([f"{method} /api?customer={customer:016x} HTTP/1.1", *fields, ""]).encode()


def _chunks(count: int, size: int) -> bytes:
    return (b"%x\r\n" % size + b"c" * size + b"\r\n") * count


def _body_in_small_chunks(request_id: str) -> bytes:
    return request_head(request_id, "Transfer-Encoding: chunked") + b"\r\n" + _chunks(8000, 2)


def _body_without_its_last_byte(request_id: str) -> bytes:
    head = request_head(request_id, f"Content-Length: {MAX_BODY_BYTES}")
    return head + b"\r\n" + b"b" * (MAX_BODY_BYTES - 1)


def _long_trailers(request_id: str) -> bytes:
    head = request_head(request_id, "Transfer-Encoding: chunked")
    return head + b"\r\n" + _chunks(16, 4095) + b"0\r\n" + b"X-Trailer: " + b"t" * 120_000


def _many_trailers(request_id: str) -> bytes:
    head = request_head(request_id, "Transfer-Encoding: chunked")
    trailers = b"".join(b"t%d: %s\r\n" % (n, b"v" * 180) for n in range(85))
    return head + b"\r\n" + _chunks(16, 4095) + b"0\r\n" + trailers


def _many_fields(request_id: str) -> bytes:
    return request_head(request_id) + b"".join(b"x%d: %s\r\n" % (n, b"v" * 150) for n in range(90))


def _long_field(request_id: str) -> bytes:
    return request_head(request_id) + b"Cookie: " + b"c" * 15_900


def _long_target(request_id: str) -> bytes:
    return b"GET /api?customer=0000000000000001&" + b"q" * 16_000


def _queue_of(count: int, make: Callable[[str], bytes]) -> Callable[[str], bytes]:
    return lambda request_id: b"".join(make(f"{request_id}-{n}") for n in range(count))


def _whole_large(request_id: str) -> bytes:
    head = request_head(request_id, "Content-Length: 60000")
    return head + b"\r\n" + b"b" * 60_000


def _whole_with_many_fields(request_id: str) -> bytes:
    return _many_fields(request_id) + b"Content-Length: 0\r\n\r\n"


def _whole_look(request_id: str) -> bytes:
    return request_head(request_id, method="GET") + b"\r\n"


def _too_many_pieces(request_id: str) -> bytes:
    return request_head(request_id, "Transfer-Encoding: chunked") + b"\r\n" + _chunks(9000, 2)


@dataclass(frozen=True, slots=True)
class Load:
    """What each client of a load sends, and how the backends answer."""

    make: Callable[[str], bytes]  # what a client sends, by the id of its request
    reconnects: bool = False  # closes at once and comes again, else waits for an answer or the end
    reads: bool = True
    piece_bytes: int = 0  # writes so many bytes at a time, with a turn between; 0: all at once
    answer: str = "whole"  # how backends answer: see ``Backends``


LOADS = {
    "silent": Load(lambda _: b""),
    "body in small chunks": Load(_body_in_small_chunks),
    "body in small chunks, byte by byte": Load(_body_in_small_chunks, piece_bytes=7),
    "body without its last byte": Load(_body_without_its_last_byte),
    "long trailers": Load(_long_trailers),
    "many trailers": Load(_many_trailers),
    "head with many fields": Load(_many_fields),
    "head with a long field": Load(_long_field),
    "head with a long field, in pieces": Load(_long_field, piece_bytes=64),
    "long target": Load(_long_target),
    "queue of large requests": Load(_queue_of(16, _whole_large), answer="never"),
    "queue of requests with many fields": Load(_queue_of(60, _whole_with_many_fields), answer="never"),
    "left in the middle, again and again": Load(_body_without_its_last_byte, reconnects=True),
    "refused, again and again": Load(_too_many_pieces, reconnects=True),
    "answers that are not read": Load(_queue_of(60, _whole_look), reads=False, answer="large"),
    "answers in small chunks, unfinished": Load(_whole_look, answer="small chunks"),
    "answers without their last byte": Load(_whole_look, answer="unfinished"),
}  # fmt: skip


class Backends:
    """Backends on loopback. They answer requests of the class ``book`` of sound clients at once, others as told."""

    ANSWERS = {
        "whole": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "large": b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + b"a" * 65_000,
        "small chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunks(8000, 2),
        "unfinished": b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"a" * 65_535,
        "never": b"",
    }

    def __init__(self, answer: str) -> None:
        self.answer = self.ANSWERS[answer]
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.requests = 0

    async def open(self) -> list[int]:
        """Listens, and returns the ports."""
        for _ in range(BACKENDS):
            self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512))
        return [server.sockets[0].getsockname()[1] for server in self.servers]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                self.requests += 1
                is_sound = b"Req-Id: sound" in head
                writer.write(self.ANSWERS["whole"] if is_sound else self.answer)
        self.writers.discard(writer)
        writer.close()

    def close(self) -> None:
        """Ends all connections."""
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()


@dataclass(slots=True)
class Result:
    """What one load did to an ingress. Memory in MB, without files that the process shares with others."""

    clients: Counter[str] = field(default_factory=Counter)  # how often which status, "close", "reset" or "nothing"
    sound: Counter[str] = field(default_factory=Counter)  # statuses that sound clients got
    before_mb: float = 0.0
    peak_mb: float = 0.0
    later_mb: float = 0.0  # after all clients had gone
    exit_status: int | None = None  # of an ingress that ended by itself


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB, without files that it shares. Raises OSError if it ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


@asynccontextmanager
async def ingress(backend_ports: list[int], limits: dict[str, float]):
    """Starts an ingress with these limits, waits until it is ready, and yields its port and its process."""
    port = free_port()
    servers = [
        {"id": f"s-{n}", "addr": f"127.0.0.1:{backend}", "zone": "a", "state": "Ready", "started_ms": 0}
        for n, backend in enumerate(backend_ports)
    ]
    settings = {
        "me": 0, "instances": 1, "locality": "a",
        "classes": [
            {"name": "look", "aimMs": 800.0, "giveUpMs": 3000.0, "repeat": "read_like"},
            {"name": "book", "aimMs": 1200.0, "giveUpMs": 3000.0, "repeat": "idempotency_key", "windowMs": 6000.0},
        ],
        "contracts": [{"name": "wide", "unitsPerS": 1e6, "storeSize": 1e6}],
        "ceilings": {"maxAttempts": 4, "mayCancel": True, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0},
    }  # fmt: skip
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "ff", "limits": limits,
        "known": {"version": 1, "full": True, "servers": servers}, "settings": settings,
    }  # fmt: skip
    with tempfile.TemporaryDirectory(prefix="rushweir-") as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(orjson.dumps(config))
        with (Path(folder) / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "rushweir.edge", env={**os.environ, "EDGE_CONFIG": str(path)}, stderr=log
            )
        try:
            async with asyncio.timeout(READY_S):
                while await _status(port, b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") != "200":
                    await asyncio.sleep(0.02)
            yield port, process
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def _status(port: int, data: bytes) -> str:
    """Sends a request on a new connection and returns the status of its answer, or what came in its place."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return "refused"
    writer.write(data)
    try:
        return await _answer_status(reader)
    finally:
        writer.transport.abort()


async def _answer_status(reader: asyncio.StreamReader) -> str:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        await reader.readexactly(int(length[1]) if length else 0)
        return head[9:12].decode()
    except asyncio.IncompleteReadError:
        return "close"
    except OSError:
        return "reset"


class Clients:
    """The clients of one load, and sound clients beside them."""

    def __init__(self, port: int, load: Load, result: Result, stay_s: float) -> None:
        self.port, self.load, self.result, self.stay_s = port, load, result, stay_s
        self.serial = 0

    async def staying(self) -> None:
        """Connects, sends, and stays until its answer, the end of the connection, or ``stay_s``."""
        self.serial += 1
        data = self.load.make(f"bad-{self.serial}")
        sock = socket.socket()
        if not self.load.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
            reader, writer = await asyncio.open_connection(sock=sock)
        except OSError:
            sock.close()
            self.result.clients["refused"] += 1
            return
        got = "nothing"
        with suppress(TimeoutError):
            async with asyncio.timeout(self.stay_s):
                sending = asyncio.create_task(self._send(writer, data))
                if self.load.reads:
                    got = await _answer_status(reader)
                else:
                    await sending
                    await asyncio.sleep(self.stay_s)
        sending.cancel()
        self.result.clients[got] += 1
        writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        piece = self.load.piece_bytes or len(data) or 1
        with suppress(OSError):
            for begin in range(0, len(data), piece):
                if writer.is_closing():
                    return
                writer.write(data[begin : begin + piece])
                await (writer.drain() if not self.load.piece_bytes else asyncio.sleep(0))

    async def returning(self, until: float) -> None:
        """Connects, sends what the ingress takes at once, closes and comes again."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.serial += 1
            data = self.load.make(f"bad-{self.serial}")
            with suppress(OSError), socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
                await loop.sock_sendall(sock, data)
                self.result.clients["left"] += 1
                await asyncio.sleep(0.02)

    async def sound(self, until: float) -> None:
        """Sends one request after another, and counts their answers."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.serial += 1
            data = request_head(f"sound-{self.serial}", "Content-Length: 2") + b"\r\n{}"
            status = "late"
            with suppress(TimeoutError):
                async with asyncio.timeout(SOUND_DEADLINE_MS / 1000 + 0.6):
                    status = await _status(self.port, data)
            self.result.sound[status] += 1
            await asyncio.sleep(SOUND_INTERVAL_S)


async def play(
    load: Load, count: int, limits: dict[str, float], *, sound: int = 5, stay_s: float = STAY_S
) -> Result:  # fmt: skip
    """Brings ``count`` clients of a load and ``sound`` sound ones to a new ingress with these limits. A client that
    gets no answer stays ``stay_s``."""
    result, backends, loop = Result(), Backends(load.answer), asyncio.get_running_loop()
    ports = await backends.open()
    try:
        async with ingress(ports, limits) as (port, process):
            clients = Clients(port, load, result, stay_s)
            result.before_mb = memory_mb(process.pid)
            watching = asyncio.create_task(_watch(process, result))
            until = loop.time() + STAY_S
            bad = [clients.returning(until) if load.reconnects else clients.staying() for _ in range(count)]
            await asyncio.gather(*bad, *(clients.sound(until) for _ in range(sound)))
            watching.cancel()
            if process.returncode is None:
                result.later_mb = memory_mb(process.pid)
            result.exit_status = process.returncode
    finally:
        backends.close()
    return result


async def _watch(process: asyncio.subprocess.Process, result: Result) -> None:
    while process.returncode is None:
        with suppress(OSError):
            result.peak_mb = max(result.peak_mb, memory_mb(process.pid))
        await asyncio.sleep(LOOK_S)
