"""A play of the platform's ``run``: ingresses, backends, discovery and clients on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.memory_load import memory_mb
from rushweir.lab.ports import free_port
from rushweir.lab.records import Recorder, clock
from rushweir.lab.soak.bad_clients import BadClients
from rushweir.lab.soak.http_backends import COLD_FROM, COLD_MS, FALL_MS, FALL_MULTIPLE, Backend
from rushweir.lab.soak.http_clients import Clients, Door
from rushweir.lab.soak.http_discovery import Agent, Catalog
from rushweir.lab.soak.http_messages import read_message
from rushweir.lab.soak.processes import Fault, Process, Processes
from rushweir.lab.soak.scenario import KEYED, PAUSE_MS, SAFE, Scenario, Shutdown

READY_S = 20.0
LATE_ANSWER_MS = 500.0  # an answer may come so long after its request's time; later it is lost
HALF_REQUEST_MS = 3_000.0  # a client that stays in half a request is owed its error or close by then
TIME_SLACK_MS = 50.0  # of every time limit on sockets
DRAIN_GRACE_MS = 1_000.0
MEMORY_MB = 32  # of each ingress
MEMORY_LOOK_S = 0.05
# Of the answers without a length that come whole half at least are to be forwarded; a few say nothing about a share.
FORWARDED_SHARE, FEWEST_JUDGED = 0.5, 20
CEILING_RATE, CEILING_BURST = 25.0, 15.0  # of the plan, units a second and units
REPEAT_OF = {SAFE: "read_like", KEYED: "idempotency_key"}
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


class RunPlay:
    """One play. Its records are in ``folder`` then."""

    def __init__(self, scenario: Scenario, folder: Path, command: list[str] | None = None) -> None:
        """``command`` runs an ingress; by default this interpreter with ``rushweir.edge``."""
        self.scenario, self.folder = scenario, folder
        self.command = command or [sys.executable, "-m", "rushweir.edge"]
        self.rng = random.Random(scenario.seed)
        self.records = Recorder(folder / "play.jsonl")
        self.catalog, attempts = Catalog(), Counter[str]()
        self.backends = [Backend(f"b{k}", self.records, self.rng, attempts) for k in range(scenario.backends)]
        self.agents = [
            Agent(self.catalog, k, self.records, scenario.discovery_delay_ms) for k in range(scenario.ingresses)
        ]
        self.doors = [Door(k, free_port()) for k in range(scenario.ingresses)]
        self.peer_ports = [free_port(socket.SOCK_DGRAM) for _ in range(scenario.ingresses)]
        self.clients = Clients(
            self.records, self.rng, self.doors, scenario.classes, scenario.interval_ms, scenario.pipelines,
            scenario.leaves, scenario.ingresses,
        )  # fmt: skip
        has_pauses = any(s.pause_after_ms is not None for s in scenario.shutdowns)
        self.bad_clients = BadClients(self.clients, self.rng, PAUSE_MS if has_pauses else 0.0)
        for backend in self.backends:
            backend.bad_attempt_arrived = self.bad_clients.attempt_arrived
        self.processes = Processes(scenario, self.records, self._start, self._wait_until_ready, self._note_ending)
        self.errors = open(folder / "errors.txt", "ab")  # noqa: SIM115 - closed in ``play``
        self.idle_writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def play(self) -> list[Fault]:
        """Plays to the end; returns what was found beside the rules."""
        try:
            await self._open()
            users = [self._spawn(self.clients.user(d)) for d in self.doors for _ in range(self.scenario.clients)]
            began = clock()
            bad = [self._spawn(work) for work in self._bad_clients()]
            shutdowns = [self._spawn(self._shut_down(s, began)) for s in self.scenario.shutdowns]
            await asyncio.gather(*shutdowns, self._spawn(self._disturb(began)))
            await asyncio.sleep(max(0.0, began + self.scenario.length_ms - clock()) / 1000)
            self.clients.ended = True
            await asyncio.wait([*users, *bad], timeout=5.0)
            self._judge_bad_parties()
            self.records.note("event", text="end of the play")
            return self.processes.faults
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await self.processes.end()
            for part in (*self.backends, *self.agents):
                part.close()
            self.records.close()
            self.errors.close()

    def _bad_clients(self) -> list[Coroutine[Any, Any, None]]:
        bad, scenario = self.bad_clients, self.scenario
        found = [bad.watch_own_delay(), self._watch_memory()]
        if scenario.refused_clients:
            door = self.doors[scenario.longest_running]
            found.append(bad.come_again(door, scenario.refused_clients, scenario.length_ms))
        if scenario.leaving_clients:
            found.append(bad.send_and_leave(self.doors[-1], scenario.leaving_clients))
        return found

    async def _watch_memory(self) -> None:
        """The platform kills an ingress that passes its limit of memory."""
        while not self.clients.ended:
            for ingress, process in list(self.processes.running.items()):
                with contextlib.suppress(OSError):
                    if process.returncode is None and memory_mb(process.pid) > MEMORY_MB:
                        self._fault(f"ingress {ingress} passed its {MEMORY_MB} MB")
                        return
            await asyncio.sleep(MEMORY_LOOK_S)

    def _judge_bad_parties(self) -> None:
        if late := self.bad_clients.late_attempts:
            self._fault(f"{len(late)} attempts began for clients that had left, the last {max(late):.0f} ms after")
        whole = set().union(*(backend.unsized_bodies for backend in self.backends))
        forwarded = len(whole & self.clients.served_bodies)
        if len(whole) >= FEWEST_JUDGED and forwarded < FORWARDED_SHARE * len(whole):
            self._fault(f"of {len(whole)} whole answers without a length {forwarded} were forwarded")

    def _fault(self, text: str) -> None:
        self.processes.faults.append(Fault(clock(), text))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def _open(self) -> None:
        self.records.note("facts", **self._facts())
        for backend in self.backends:
            await backend.open()
            self.catalog.add(backend)
        for agent in self.agents:
            await agent.open()
        for k in range(self.scenario.ingresses):
            await self._start(k)
        for k in range(self.scenario.ingresses):
            await self._wait_until_ready(k)

    async def _start(self, ingress: int) -> Process:
        path = self.folder / f"ingress-{ingress}.json"
        path.write_bytes(orjson.dumps(self._config(ingress)))
        process = await asyncio.create_subprocess_exec(
            *self.command, env={**os.environ, "EDGE_CONFIG": str(path)}, stdout=self.errors, stderr=self.errors
        )
        self.processes.running[ingress] = process
        return process

    async def _wait_until_ready(self, ingress: int) -> None:
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.doors[ingress].port)
                    try:
                        writer.write(HEALTH)
                        if " 200 " in (await read_message(reader)).start:
                            break
                    finally:
                        writer.close()
                if self.processes.running[ingress].returncode is not None:
                    raise RuntimeError(f"ingress {ingress} did not start; see {self.folder / 'errors.txt'}")
                await asyncio.sleep(0.02)
        self.doors[ingress].open_until = float("inf")

    def _note_ending(self, ingress: int) -> None:
        self.doors[ingress].open_until = clock() + self.scenario.new_connections_ms
        self.records.note("event", text=f"ingress {ingress} is told to end")

    async def _shut_down(self, shutdown: Shutdown, began: float) -> None:
        await asyncio.sleep(max(0.0, began + shutdown.at_ms - clock()) / 1000)
        await self._open_idle(shutdown.ingress)
        half_requests = [
            asyncio.create_task(self._send_half_request(shutdown.ingress)) for _ in range(self.scenario.half_requests)
        ]
        await self.processes.shut_down(shutdown)
        await asyncio.gather(*half_requests)

    async def _open_idle(self, ingress: int) -> None:
        for _ in range(self.scenario.crowd):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.doors[ingress].port)
                self.idle_writers.append(writer)

    async def _send_half_request(self, ingress: int) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.doors[ingress].port)
        except OSError:
            return
        began = clock()
        writer.write(b"POST /api?customer=1 HTTP/1.1\r\nHost: x\r\nContent-Le")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout((HALF_REQUEST_MS + TIME_SLACK_MS + 1_000.0) / 1000):
                await reader.read(1)
        took = clock() - began
        if took > HALF_REQUEST_MS + TIME_SLACK_MS:
            fault = f"half a request at ingress {ingress} had neither error nor close after {took:.0f} ms"
            self.processes.faults.append(Fault(clock(), fault))
        writer.transport.abort()

    async def _disturb(self, began: float) -> None:
        """What goes wrong around the first shutdown, and lasts through all."""
        scenario = self.scenario
        first = min(s.at_ms for s in scenario.shutdowns)
        await asyncio.sleep(max(0.0, began + first - 200.0 - clock()) / 1000)
        for backend in self.backends[: scenario.hanging]:
            backend.hangs = True
        for backend in self.backends:
            backend.reset_share, backend.closes_idle = scenario.reset_share, scenario.closes_idle
            backend.unsized_share, backend.unsized_resets = scenario.unsized_share, scenario.unsized_resets
        for backend in self.backends[len(self.backends) - scenario.drains :]:
            self.catalog.drain(backend)
        if scenario.joins_cold:
            backend = Backend(f"b{len(self.backends)}", self.records, self.rng, self.backends[0].attempts)
            self.backends.append(backend)
            await backend.open(cold=True)
            self.catalog.add(backend)
        if scenario.discovery_is_down:
            for agent in self.agents:
                agent.set_down(True)
            await asyncio.sleep(2.0)
            for agent in self.agents:
                agent.set_down(False)

    def _config(self, ingress: int) -> dict:
        return {
            "name": f"n{ingress}", "listen": f"127.0.0.1:{self.doors[ingress].port}",
            "discovery": self.agents[ingress].address, "seed": f"{self.scenario.seed * 31 + ingress:x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}, "settings": self._settings(ingress),
            "peer_listen": f"127.0.0.1:{self.peer_ports[ingress]}",
            "peers": [f"127.0.0.1:{port}" for port in self.peer_ports],
        }  # fmt: skip

    def _settings(self, ingress: int) -> dict:
        classes = [
            {"name": c.name, "aimMs": c.aim_ms, "giveUpMs": c.deadline_ms, "worth": 1.0, "windowMs": c.window_ms,
             "repeat": REPEAT_OF.get(c.effect, "non_idempotent")}
            for c in self.scenario.classes
        ]  # fmt: skip
        plan = {
            "name": "plan", "unitsPerS": 5_000.0, "storeSize": 5_000.0, "capRate": CEILING_RATE,
            "capDepth": CEILING_BURST, "capSlack": 2.0,
        }  # fmt: skip
        return {
            "me": ingress, "instances": self.scenario.ingresses, "locality": "a", "classes": classes,
            "contracts": [plan],
            "ceilings": {"maxAttempts": 4, "mayCancel": True, "connIdleMs": 15_000.0, "dialTimeoutMs": 250.0,
                         "retryAfter": True, "maxRetryAfterMs": 500.0, "peerMessages": True},
            "domain": {"mailPerS": 60.0, "mostUnits": 1},
            "guarantees": {"answerSlackMs": 8.0, "drainGraceMs": DRAIN_GRACE_MS, "coldShare": COLD_FROM,
                           "coldMs": COLD_MS, "fallMultiple": FALL_MULTIPLE, "tipAfterMs": FALL_MS},
        }  # fmt: skip

    def _facts(self) -> dict:
        classes = {
            c.name: {"deadline": c.deadline_ms, "repeat": c.effect, "group": "all", "window": c.window_ms}
            for c in self.scenario.classes
        }
        plan = {"ceiling_rate": CEILING_RATE, "ceiling_burst": CEILING_BURST, "ceiling_slack": 2.0}
        # On sockets the slack widens by what the rate yields in 150 ms; the checker adds 60 ms of it.
        plan["ceiling_slack"] += CEILING_RATE * 0.09
        return {
            "classes": classes, "plans": {"plan": plan},
            "partners": {f"{n:016x}": "plan" for n in range(6)},
            "rules": {"answer_slack": LATE_ANSWER_MS, "drain_grace": DRAIN_GRACE_MS + TIME_SLACK_MS},
            "second_copies": False,
        }  # fmt: skip
