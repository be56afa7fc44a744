"""Stand-ins of the platform for the cases of the second review: backends, discovery, clients, and the processes of
the ingress. Standard library only; every address is a loopback address with a free port.

A case makes a ``World``, adds backends, starts ingresses by the ``run`` line of the deploy file, sends requests, and
judges what the stand-ins saw. All that was sent, answered and run goes to the record, a JSON line each. Times are
seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
MAX_HEAD_BYTES = 65_536
ANSWER_GRACE_S = 0.5  # the pages: up to half a second after its time an answer only earns nothing

HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # exit codes of a case


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def trouble_wanted() -> bool:
    """Whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def say(*words: object) -> None:
    """Prints a line, also where nobody reads it any more."""
    with contextlib.suppress(OSError):
        print(*words, flush=True)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Record:
    """Writes events to record.txt and keeps them for the verdict."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Records an event at the present time."""
        line = {"at": round(self.now(), 4), "event": event, **fields}
        self.events.append(line)
        self.file.write(json.dumps(line) + "\n")
        return line

    def of(self, event: str) -> list[dict[str, Any]]:
        """All events of a kind."""
        return [line for line in self.events if line["event"] == event]


# --- HTTP -------------------------------------------------------------------------------------------


@dataclass
class Head:
    """The head of a message: its first line, and its fields by lower-case name."""

    first_line: str
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """The next head, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first_line, *lines = data[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Head(first_line, fields)


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes | None:
    """The body of a message with a length; None if the stream ends before it is whole."""
    try:
        return await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer_bytes(status: int, body: bytes, more: str = "") -> bytes:
    """An answer with a length."""
    return f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


# --- backends ---------------------------------------------------------------------------------------


@dataclass
class Arrival:
    """One attempt that came whole to a backend."""

    id: str
    backend: str
    at: float
    key: str | None
    told_ms: int | None
    writer: asyncio.StreamWriter
    number: int


Answering = Callable[["Backend", Arrival], Awaitable[None]]


class Backend:
    """A backend: it begins a request once its last byte has come, and answers after ``work_s``."""

    def __init__(self, world: World, name: str, zone: str, kind: str = "std", work_s: float = 0.02) -> None:
        self.world, self.name, self.zone, self.kind, self.work_s = world, name, zone, kind, work_s
        self.cell, self.state, self.started_ms, self.port = 0, "Ready", 0.0, 0
        self.answering: Answering | None = None  # replaces the usual answer
        self.server: asyncio.Server | None = None
        self.arrivals: list[Arrival] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port, limit=MAX_HEAD_BYTES, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """The backend's entry in discovery's list."""
        return {
            "id": self.name, "addr": f"{LOOPBACK}:{self.port}", "zone": self.zone, "kind": self.kind,
            "cell": self.cell, "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
        }  # fmt: skip

    def body_for(self, arrival: Arrival) -> bytes:
        """The body of the answer that is made for one attempt."""
        return json.dumps({"id": arrival.id, "backend": self.name, "attempt": arrival.number}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        record = self.world.record
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.fields)
                if body is None:
                    break
                request_id = head.fields.get("req-id")
                if request_id is None:
                    writer.write(answer_bytes(404, b"no id"))
                    continue
                told = head.fields.get("req-deadline-ms", "")
                arrival = Arrival(
                    request_id, self.name, record.now(), head.fields.get("idempotency-key"),
                    int(told) if told.isdigit() else None, writer, len(self.world.attempts_of(request_id)),
                )  # fmt: skip
                self.arrivals.append(arrival)
                self.world.attempts.setdefault(request_id, []).append(arrival)
                record.add(
                    "arrived", id=request_id, backend=self.name, attempt=arrival.number, told_ms=arrival.told_ms
                )
                await (self.answering or usual_answer)(self, arrival)
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def usual_answer(backend: Backend, arrival: Arrival) -> None:
    """Works, then answers 200 with a length."""
    await asyncio.sleep(backend.work_s)
    backend.world.record.add("ran", id=arrival.id, backend=backend.name, attempt=arrival.number)
    arrival.writer.write(answer_bytes(200, backend.body_for(arrival)))


# --- discovery --------------------------------------------------------------------------------------


class Discovery:
    """The agent of discovery: the whole list, and a watch that waits for changes."""

    def __init__(self, world: World) -> None:
        self.world, self.port, self.version = world, 0, 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.answer_delay_s = 0.0  # from a call's end of waiting to its answer
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def page(self, full: bool = True, servers: list[dict[str, Any]] | None = None) -> dict[str, Any]:
        """A list in discovery's form."""
        if servers is None:
            servers = [b.entry() for b in self.world.backends.values() if b.state != "Gone"]
        return {"version": self.version, "full": full, "servers": servers}

    def change(self, backend: Backend, **fields: Any) -> None:
        """Changes a backend's entry."""
        for name, value in fields.items():
            setattr(backend, name, value)
        self.version += 1
        self.changes.append((self.version, backend.entry()))
        self.world.record.add("listed", backend=backend.name, version=self.version, **fields)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head.first_line.split(" ")[1]
                query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
                called_at = self.world.record.now()
                if "since" in query:
                    since = int(query["since"])
                    if since >= self.version:
                        with contextlib.suppress(asyncio.TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1000)
                    if since > self.version:
                        page = self.page()
                    else:
                        newest = {entry["id"]: entry for version, entry in self.changes if version > since}
                        page = self.page(full=False, servers=list(newest.values()))
                else:
                    page = self.page()
                if self.answer_delay_s:
                    await asyncio.sleep(self.answer_delay_s)
                writer.write(answer_bytes(200, json.dumps(page).encode(), "Content-Type: application/json\r\n"))
                await writer.drain()
                self.world.record.add(
                    "list_answer", call=target, called_at=round(called_at, 4), version=page["version"],
                    full=page["full"], entries=len(page["servers"]), peer_open=not writer.is_closing(),
                )  # fmt: skip
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# --- ingresses --------------------------------------------------------------------------------------


@dataclass
class Ingress:
    """One ingress process, started by the ``run`` line of the deploy file."""

    world: World
    number: int
    port: int
    peer_port: int
    folder: Path
    discovery: Discovery
    settings: dict[str, Any]
    limits: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    holds_descriptors: bool = False  # whether the platform holds the process to its limit of descriptors

    def write_config(self, known: dict[str, Any] | None) -> None:
        """Writes the configuration file, replacing it at once."""
        page = {
            "name": f"n{self.number}", "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.port}", "seed": uuid.uuid4().hex[:16], "limits": self.limits,
            "peer_listen": f"{LOOPBACK}:{self.peer_port}",
            "peers": [f"{LOOPBACK}:{port}" for port in self.world.peer_ports],
            "known": known, "settings": self.settings | {"me": self.number},
        }  # fmt: skip
        new = self.folder / "config.new"
        new.write_text(json.dumps(page))
        new.replace(self.folder / "config.json")

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Starts the process and waits until its health page answers 200."""
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / "tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        self.write_config(known)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary), "EDGE_NAME": f"n{self.number}",
            "EDGE_LISTEN": f"{LOOPBACK}:{self.port}", "EDGE_DISCOVERY": f"{LOOPBACK}:{self.discovery.port}",
            "EDGE_CONFIG": str(self.folder / "config.json"),
        }  # fmt: skip
        log = (self.folder / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=self._limit_descriptors if self.holds_descriptors else None,
        )  # fmt: skip
        log.close()
        self.world.record.add("ingress_started", ingress=self.number, pid=self.process.pid)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"ingress {self.number} ended with {self.process.returncode}: {self.log()[-400:]}")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                status, _, _ = await asyncio.wait_for(self.call(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"), 1)
                if status == 200:
                    self.world.record.add("ingress_ready", ingress=self.number)
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"ingress {self.number} is not ready: {self.log()[-400:]}")

    def _limit_descriptors(self) -> None:
        """Runs in the new process: "a process may hold `sockets` file descriptors"."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.limits["sockets"], self.limits["sockets"]))

    def memory_mb(self) -> float:
        """The private memory of the process without files, which is less than what the platform counts."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log(self) -> str:
        """The log of the process."""
        return (self.folder / "log.txt").read_text(errors="replace")

    async def call(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        """Sends a request on a connection of its own; raises OSError if the connection ends without an answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port, limit=MAX_HEAD_BYTES)
        try:
            writer.write(request)
            return await read_answer(reader)
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.world.record.add("signal", ingress=self.number, signal=number.name)
            self.process.send_signal(number)

    async def end(self, within_s: float = 6.0) -> int | None:
        """Ends the process with SIGTERM, and with SIGKILL if it takes longer; returns its exit status."""
        if self.process is None:
            return None
        with contextlib.suppress(ProcessLookupError):
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.terminate()
        try:
            return await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            return await self.process.wait()

    async def kill(self) -> None:
        """Kills the process outright."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """A whole answer: status, fields, body. Raises ConnectionError if the stream ends before."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if not size:
                break
    elif "content-length" in head.fields:
        whole = await read_body(reader, head.fields)
        if whole is None:
            raise ConnectionError("closed inside an answer")
        body = whole
    else:
        body = await reader.read()
    return int(head.first_line.split(" ")[1]), head.fields, body


# --- clients ----------------------------------------------------------------------------------------


@dataclass
class Sent:
    """One try of a client and what became of it."""

    id: str
    kind: str
    customer: str
    ingress: int
    deadline_ms: int
    sent_at: float = 0.0  # when its last byte was written
    answered_at: float | None = None
    status: int | None = None
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    left_at: float | None = None
    error: str = ""


class World:
    """All stand-ins of one case."""

    def __init__(self, folder: Path, settings: dict[str, Any], ingresses: int = 1) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.settings = settings | {"instances": ingresses}
        self.backends: dict[str, Backend] = {}
        self.attempts: dict[str, list[Arrival]] = {}
        self.discovery = Discovery(self)
        self.peer_ports = [free_port(socket.SOCK_DGRAM) for _ in range(ingresses)]
        self.ingresses = [self._ingress(number) for number in range(ingresses)]
        self.sent: list[Sent] = []
        self.pools: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.background: set[asyncio.Task[Any]] = set()

    def _ingress(self, number: int) -> Ingress:
        return Ingress(
            self, number, free_port(), self.peer_ports[number], self.temporary / f"n{number}", self.discovery,
            self.settings, {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        )  # fmt: skip

    def attempts_of(self, request_id: str) -> list[Arrival]:
        """The attempts of a request that came whole to a backend."""
        return self.attempts.get(request_id, [])

    async def open(self, backends: list[Backend]) -> None:
        """Opens the backends and discovery."""
        for backend in backends:
            self.backends[backend.name] = backend
            await backend.open()
        await self.discovery.open()

    def spawn(self, awaitable: Awaitable[Any]) -> asyncio.Task[Any]:
        """Runs something beside the case."""
        task = asyncio.ensure_future(awaitable)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def request_bytes(self, sent: Sent, plan: str, safe: bool, key: str | None, body: bytes, gateways: int) -> bytes:
        """A request in the protocol's form."""
        method = "GET" if safe else "POST"
        lines = [
            f"{method} /api?customer={sent.customer} HTTP/1.1", "Host: origin.svc", f"Req-Id: {sent.id}",
            f"Req-Kind: {sent.kind}", f"X-Contract: {plan}", f"Req-Deadline-Ms: {sent.deadline_ms}",
            f"X-Metering: units=1,spread={gateways},first=0",
        ]  # fmt: skip
        if key is not None:
            lines.append(f"Idempotency-Key: {key}")
        if not safe:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"" if safe else body)

    async def ask(
        self, ingress: int, kind: str, plan: str, customer: str, deadline_ms: int, *, safe: bool = True,
        key: str | None = None, body: bytes = b"{}", wait_s: float | None = None, resend: bool = True,
    ) -> Sent:  # fmt: skip
        """Sends a request as a client does: on a connection that rests, or on a new one. A request that crosses the
        close of a resting connection is sent once more on a new one."""
        sent = Sent(uuid.uuid4().hex[:16], kind, customer, ingress, deadline_ms)
        self.sent.append(sent)
        data = self.request_bytes(sent, plan, safe, key, body, len(self.ingresses))
        pool = self.pools.setdefault(ingress, [])
        limit_s = wait_s if wait_s is not None else deadline_ms / 1000 + ANSWER_GRACE_S + 1.0
        for fresh in (False, True):
            try:
                if pool and not fresh:
                    reader, writer = pool.pop()
                else:
                    fresh = True
                    reader, writer = await asyncio.open_connection(
                        LOOPBACK, self.ingresses[ingress].port, limit=MAX_HEAD_BYTES
                    )
            except OSError as problem:
                sent.error = f"connect: {problem}"
                break
            try:
                sent.sent_at = self.record.now()
                writer.write(data)
                self.record.add(
                    "sent", id=sent.id, ingress=ingress, kind=kind, customer=customer, deadline_ms=deadline_ms,
                    key=key, new_connection=fresh,
                )  # fmt: skip
                sent.status, sent.fields, sent.body = await asyncio.wait_for(read_answer(reader), limit_s)
                sent.answered_at = self.record.now()
                if sent.fields.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    pool.append((reader, writer))
                break
            except TimeoutError:
                writer.close()
                sent.error = "no answer"
                break
            except (OSError, asyncio.IncompleteReadError) as problem:
                writer.close()
                sent.error = f"{type(problem).__name__}: {problem}"
                if fresh or not resend:
                    break
        self.record.add(
            "answered" if sent.answered_at is not None else "unanswered", id=sent.id, status=sent.status,
            body=sent.body[:80].decode("latin-1"), after_s=round(self.record.now() - sent.sent_at, 4),
            error=sent.error if sent.answered_at is None else "",
        )  # fmt: skip
        return sent

    async def close(self) -> None:
        """Ends all processes and closes all sockets that the case opened."""
        for task in list(self.background):
            task.cancel()
        for ingress in self.ingresses:
            await ingress.end()
            if ingress.process is not None:
                with contextlib.suppress(OSError):
                    for line in ingress.log().splitlines():
                        self.record.file.write(f"log n{ingress.number} {line[:600]}\n")
        for pool in self.pools.values():
            for _, writer in pool:
                writer.close()
        self.record.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(
    folder: Path, settings: dict[str, Any], ingresses: int, case: Callable[[World], Awaitable[list[str]]]
) -> int:
    """Plays a case; returns its exit code and prints the verdict. ``case`` returns the breaks that it found."""

    async def whole() -> int:
        world = World(folder, settings, ingresses)
        try:
            breaks = await asyncio.wait_for(case(world), 100)
            for line in breaks:
                world.record.add("break", text=line)
                say("BROKEN:", line)
            say(
                "verdict:",
                "broken" if breaks else "held",
                "with" if trouble_wanted() else "without",
                "the disruption",
            )
            world.record.add("verdict", broken=bool(breaks))
            return BROKEN if breaks else HELD
        except (TimeoutError, CannotRun, OSError) as problem:
            say("cannot run:", repr(problem))
            world.record.add("cannot_run", why=repr(problem))
            return CANNOT_RUN
        finally:
            await world.close()

    return asyncio.run(whole())


# --- settings ---------------------------------------------------------------------------------------


def settings_of_site(zone: str = "room-a") -> dict[str, Any]:
    """Settings like those of the small deployment on the pages (three rooms, three plans, three classes)."""
    return {
        "ceilings": {
            "connIdleMs": 15000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutMs": 250.0,
            "maxAttempts": 4, "maxRetryAfterMs": 500.0, "maxStreams": 1, "mayCancel": True, "mostHeld": 20000,
            "parallelTries": False, "peerMessages": True, "probing": True, "retryAfter": True,
        },
        "classes": [
            {"aimMs": 800.0, "giveUpMs": 3000.0, "group": "all", "lateShare": 0.2, "name": "position",
             "repeat": "read_like", "stream": False, "windowMs": 5000.0, "worth": 1.0},
            {"aimMs": 800.0, "giveUpMs": 3000.0, "group": "all", "lateShare": 0.2, "name": "fare-quote",
             "repeat": "read_like", "stream": False, "windowMs": 5000.0, "worth": 2.0},
            {"aimMs": 1200.0, "giveUpMs": 3000.0, "group": "zone", "lateShare": 0.0, "name": "booking",
             "repeat": "idempotency_key", "stream": False, "windowMs": 6000.0, "worth": 5.0},
        ],
        "clients": {"marksRetry": False},
        "contracts": [
            {"atOnce": 0, "capDepth": 0.0, "capRate": 0.0, "capSlack": 0.0, "excessCost": 0.5, "extraWorth": 0.0,
             "name": "alap", "pays": 0.8, "storeSize": 3.0, "unitsPerS": 0.62},
            {"atOnce": 2, "capDepth": 0.0, "capRate": 0.0, "capSlack": 0.0, "excessCost": 0.0, "extraWorth": 0.1,
             "name": "kozep", "pays": 1.2, "storeSize": 0.0, "unitsPerS": 0.0},
            {"atOnce": 0, "capDepth": 43.0, "capRate": 25.0, "capSlack": 4.0, "excessCost": 0.6, "extraWorth": 0.0,
             "name": "teljes", "pays": 1.8, "storeSize": 20.0, "unitsPerS": 11.0},
        ],
        "discovery": "push",
        "domain": {"costAfter": False, "countLimitMs": 0.0, "counterPrice": 0.0, "mailPerS": 60.0,
                   "mayCount": False, "meterMs": 2000.0, "mostUnits": 1},
        "guarantees": {"answerSlackMs": 8.0, "askWithinMs": 10000.0, "coldMs": 17000.0, "coldShare": 0.19,
                       "drainGraceMs": 1000.0, "fallMultiple": 3.0, "tipAfterMs": 1500.0},
        "kinds": ["std", "slow"], "layer": 0, "locality": zone, "report": {"fields": [], "source": "off"},
        "serviceType": "gate",
        "tariffs": {"connection": 0.0, "crossZone": 0.005, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.05,
                    "moves": 0.0, "origin": 0.0, "peer": 0.02, "probe": 0.01, "waste": 0.08},
        "tickMs": 2.0, "tiers": ["dispatch-fleet"], "weights": "rough", "zones": ["room-a", "room-b", "room-c"],
    }  # fmt: skip


def customer_id(number: int) -> str:
    """A customer's name: 16 hex digits, below 2^33."""
    return f"{number:016x}"


if __name__ == "__main__":
    sys.exit("this file is a library of the cases")
