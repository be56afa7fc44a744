"""All that a day needs, up and running: processes of ingresses, of nodes and of clients, list, counter and the
peers' network.

Every process started here is ended here, by its own handle. Ingresses are processes of ``rushweir serve`` with
settings written for the day; nodes and crowd are worker processes; list, counter and the peers' network run in
this one.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import secrets
import socket
import sys
from pathlib import Path
from typing import Any

import orjson

from rushweir.cli.ask import Daemon
from rushweir.console.sessions import hash_password
from rushweir.fronts.credentials import new_credential
from rushweir.lab.day import Day
from rushweir.lab.ports import free_port
from rushweir.lab.records import Recorder, clock
from rushweir.lab.standins.counter import CounterStandIn
from rushweir.lab.standins.nodelist import NodeList, wall_offset_ms
from rushweir.lab.standins.relay import PeerNet
from rushweir.lab.workers import pack_day
from rushweir.lab.written import facts, settings_text

LISTENS = re.compile(r"ingress (\d+) listens on (ws://\S+?)(?:, peers on \S+:(\d+))?\s*$")


class Worker:
    """A worker process and its lines."""

    def __init__(self, process: asyncio.subprocess.Process, name: str) -> None:
        self.process, self.name = process, name
        self.last: dict[str, Any] = {}
        self.reader: asyncio.Task | None = None
        self.ended = asyncio.Event()

    @classmethod
    async def start(cls, name: str, first: dict[str, Any], errors: Any) -> Worker:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir.lab.workers", name,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=errors, limit=1 << 24,
        )  # fmt: skip
        worker = cls(process, name)
        worker.tell(first)
        line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"the {name} did not start")
        worker.last = orjson.loads(line)
        worker.reader = asyncio.create_task(worker._read())
        return worker

    def tell(self, command: dict[str, Any]) -> None:
        if self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(orjson.dumps(command) + b"\n")

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            self.last |= orjson.loads(line)
        self.ended.set()

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), 5.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.reader is not None:
            await self.reader


class Stage:
    """All that a day needs, up and running."""

    def __init__(
        self, day: Day, folder: Path, serve: list[str] | None = None, users: dict[str, str] | None = None
    ) -> None:
        """``serve``: the command that runs an ingress with a settings file; ours if not given. ``users``: names and
        passwords for a console of each ingress; without, there is none."""
        self.day, self.folder, self.users = day, folder, users or {}
        self.serve = serve or [sys.executable, "-m", "rushweir", "serve", "--log", "json"]
        self.records = Recorder(folder / "stage.jsonl")
        self.list = NodeList(self.records, wall_offset_ms())
        self.counter = CounterStandIn(self.records)
        self.net = PeerNet(day.ingresses, day.peer_delay, day.peer_loss, day.seed + 5, day.ingress_rooms)
        self.ingresses: dict[int, asyncio.subprocess.Process] = {}  # by their places; the latest at each
        self.numbers: dict[int, int] = {}  # of the ingresses, by their places: with a fleet they are others
        self.retired: set[int] = set()  # places whose ingress ended as it was told
        self.urls = [""] * day.ingresses
        self.restarts = 0
        self.events: list[tuple[float, str]] = []
        self.credentials = {name: new_credential() for name, _ in day.partner_names()}
        self.fleet: Worker | None = None
        self.crowd: Worker | None = None
        self.start_at = 0.0
        self.addresses: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.errors = open(folder / "errors.txt", "ab")  # noqa: SIM115 - closed in ``end``
        self.stopping = False

    # --- up and down -----------------------------------------------------------------------------

    async def up(self) -> None:
        """Start everything but the crowd."""
        day = self.day
        await self.list.listen()
        await self.counter.listen()
        self.relay_ports = await self.net.open()
        # A member's address is its relay's; where it listens itself is known before it starts, for it can't say so
        # before it has a number, and has none before the others reach it.
        self.peer_ports = [free_port(socket.SOCK_DGRAM) for _ in range(day.ingresses)] if day.fleet else []
        places = [f"127.0.0.1:{p}" for p in self.relay_ports]
        self.records.note("facts", **facts(day), places=places)
        first = {"day": pack_day(day), "records": str(self.folder / "nodes.jsonl")}
        self.fleet = await Worker.start("fleet", first, self.errors)
        self.addresses = self.fleet.last["ready"]
        for address, node in zip(self.addresses, day.nodes, strict=True):
            self.list.set(
                address, "ready", zone=node.room, cell=node.cell, weight=node.weight, kind=node.kind.name,
                online_since=0.0,
            )  # fmt: skip
        key = self.folder / "peers.key"
        key.touch(mode=0o600)
        key.write_text(secrets.token_hex(32))
        if self.users:
            file = self.folder / "users"
            file.touch(mode=0o600)
            file.write_text("".join(f"{name}:{hash_password(p)}\n" for name, p in self.users.items()))
        if day.fleet:
            # Clients know all places beforehand, also those where nobody is yet.
            self.urls = [f"ws://127.0.0.1:{free_port()}/dispatch" for _ in range(day.ingresses)]
        await asyncio.gather(*(self.start_ingress(k) for k in range(day.started or day.ingresses)))

    async def start_ingress(self, k: int) -> None:
        """Start an ingress, the first time on any port and then on that port again."""
        file = self.folder / f"ingress-{k}.conf"
        port = int(self.urls[k].rsplit(":", 1)[1].split("/")[0]) if self.urls[k] else 0
        file.write_text(settings_text(self, k, port))
        process = await asyncio.create_subprocess_exec(
            *self.serve, str(file), stdout=asyncio.subprocess.PIPE, stderr=self.errors
        )
        self.ingresses[k] = process
        self.retired.discard(k)
        if self.day.fleet:
            self.net.at(k, self.peer_ports[k])
        line = (await asyncio.wait_for(process.stdout.readline(), 40.0 if self.day.fleet else 20.0)).decode()
        found = LISTENS.search(line)
        if found is None:
            raise RuntimeError(f"ingress {k} did not start; see {self.folder / 'errors.txt'}")
        self.urls[k] = found[2]
        if found[3]:
            self.net.at(k, int(found[3]))
        self.numbers[k] = int(found[1])

    def socket(self, k: int) -> Path:
        """The operators' socket of an ingress."""
        return self.folder / f"control-{k}.sock"

    async def ask(self, k: int, method: str, **params: Any) -> Any:
        """A question to an ingress as its operators ask it."""
        daemon = Daemon(self.socket(k), 60.0)
        try:
            return await asyncio.to_thread(daemon.ask, method, **params)
        finally:
            daemon.close()

    async def start_crowd(self, start_in_ms: float = 1500.0) -> None:
        self.start_at = clock() + start_in_ms
        first = {
            "day": pack_day(self.day), "records": str(self.folder / "clients.jsonl"), "urls": self.urls,
            "credentials": self.credentials, "start": self.start_at,
        }  # fmt: skip
        self.crowd = await Worker.start("crowd", first, self.errors)
        self.records.note("begin", at=self.start_at)

    async def end(self) -> None:
        """End every process started here."""
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.crowd is not None:
            await self.crowd.end()
        self.records.note("end_of_day")
        for process in self.ingresses.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.terminate()
        for process in self.ingresses.values():
            try:
                await asyncio.wait_for(process.wait(), 8.0)
            except TimeoutError:
                process.kill()
                await process.wait()
        if self.fleet is not None:
            await self.fleet.end()
        self.list.down()
        self.counter.down()
        self.net.close()
        self.records.close()
        self.errors.close()

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def say(self, text: str) -> None:
        self.events.append((clock() - self.start_at, text))
        self.records.note("event", text=text)
