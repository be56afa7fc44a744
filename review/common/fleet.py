"""The ingresses of a case: real processes, started by the ``run`` line of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from review.common.discovery import Agent, Catalog
from review.common.http import read_message
from review.common.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # an ingress has so long to be ready
PORTS = 12_000, 30_000


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(kind: socket.SocketKind, count: int) -> list[int]:
    """Returns ports of loopback that are free now, below those that the system gives to connections."""
    found: list[int] = []
    for port in random.sample(range(*PORTS), 1000):
        with socket.socket(socket.AF_INET, kind) as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


def request_class(name: str, repeat: str, aim_ms: float, deadline_ms: float, **more: Any) -> dict[str, Any]:
    """Returns a class of requests as the settings have it."""
    common = {"lateShare": 0.2, "worth": 1.0, "group": "all", "windowMs": 0.0, "stream": False}
    return {**common, "name": name, "repeat": repeat, "aimMs": aim_ms, "giveUpMs": deadline_ms, **more}


def plan(name: str, rate: float, burst: float, **more: Any) -> dict[str, Any]:
    """Returns a plan as the settings have it, without a ceiling."""
    ceiling = {"capRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
    common = {"atOnce": 0, "pays": 1.0, "extraWorth": 0.0, "excessCost": 0.5, **ceiling}
    return {**common, "name": name, "unitsPerS": rate, "storeSize": burst, **more}


class Fleet:
    """The ingress processes, by number, and the agents of discovery beside them."""

    def __init__(
        self, rooms: list[str], classes: list[dict[str, Any]], plans: list[dict[str, Any]], catalog: Catalog,
        record: Record, limits: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """One ingress for each entry of ``rooms``, which is its room. ``limits``: as the configuration tells them."""
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.rooms, self.classes, self.plans, self.catalog, self.record = rooms, classes, plans, catalog, record
        count = len(rooms)
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.ports = free_ports(socket.SOCK_STREAM, count)
        self.peer_ports = free_ports(socket.SOCK_DGRAM, count)
        self.agents = [Agent(catalog, number, record) for number in range(count)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.starts = 0
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    async def open(self) -> None:
        """Starts all agents and ingresses, and waits until each is ready."""
        for agent in self.agents:
            await agent.open()
        for number in range(len(self.rooms)):
            await self.start(number)
        for number in range(len(self.rooms)):
            await self.wait_until_ready(number)

    def settings(self, number: int) -> dict[str, Any]:
        """Returns the settings of an ingress: those of a deployment with three rooms and pushed lists."""
        return {
            "me": number, "instances": len(self.rooms), "locality": self.rooms[number],
            "zones": sorted({*self.rooms}),
            "serviceType": "gate", "layer": 0, "tiers": ["nodes"], "kinds": ["std"], "weights": "rough",
            "discovery": "push", "tickMs": 2.0, "classes": self.classes, "contracts": self.plans,
            "ceilings": {
                "connIdleMs": 15000.0, "dialTimeoutMs": 250.0, "maxAttempts": 4, "maxRetryAfterMs": 500.0,
                "maxStreams": 32, "mayCancel": True, "mostHeld": 20000, "parallelTries": False, "peerMessages": True,
                "probing": True, "retryAfter": True, "cpuUsPerS": 400000,
            },
            "domain": {"mailPerS": 60.0, "mayCount": False, "meterMs": 2000.0, "mostUnits": 1, "costAfter": False},
            "guarantees": {
                "answerSlackMs": 8.0, "askWithinMs": 10000.0, "coldMs": 17000.0, "coldShare": 0.19,
                "drainGraceMs": 1000.0, "fallMultiple": 3.0, "tipAfterMs": 1500.0,
            },
            "tariffs": {"crossZone": 0.005, "handshake": 0.0, "waste": 0.08, "lateFail": 0.05},
        }  # fmt: skip

    async def start(self, number: int) -> None:
        """Starts an ingress as the platform does, with the list that it last had."""
        self.starts += 1
        folder = Path(self.folder.name) / f"{number}-{self.starts}"
        (folder / "tmp").mkdir(parents=True)
        listen = f"127.0.0.1:{self.ports[number]}"
        config = {
            "name": f"n{number}", "listen": listen, "discovery": self.agents[number].address,
            "seed": f"{self.starts:016x}", "limits": self.limits,
            "peer_listen": f"127.0.0.1:{self.peer_ports[number]}",
            "peers": [f"127.0.0.1:{port}" for port in self.peer_ports],
            "known": self.catalog.page(), "settings": self.settings(number),
        }  # fmt: skip
        (folder / "config.json").write_text(json.dumps(config))
        env = {
            **os.environ, "EDGE_NAME": f"n{number}", "EDGE_LISTEN": listen, "TMPDIR": str(folder / "tmp"),
            "EDGE_DISCOVERY": self.agents[number].address, "EDGE_CONFIG": str(folder / "config.json"),
        }  # fmt: skip
        with (folder / "log").open("wb") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.note("ingress_started", ingress=number, pid=self.processes[number].pid)

    async def wait_until_ready(self, number: int) -> None:
        """Waits until an ingress answers its health call. Raises CannotRun if it does not."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                while not await self._is_healthy(number):
                    await asyncio.sleep(0.05)
                self.record.note("ingress_ready", ingress=number)
                return
        raise CannotRun(f"ingress {number} is not ready after {READY_S:.0f} s")

    async def _is_healthy(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
        except OSError:
            return False
        try:
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            return (await read_message(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def restart(self, number: int, kill_after_ms: float) -> None:
        """A planned restart: SIGTERM, SIGKILL after that time if it still runs, and a new start."""
        process = self.processes[number]
        self.record.note("sigterm", ingress=number)
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), kill_after_ms / 1000)
        except TimeoutError:
            self.record.note("sigkill", ingress=number)
            process.kill()
            await process.wait()
        self.record.note("ingress_ended", ingress=number, status=process.returncode)
        await self.start(number)
        await self.wait_until_ready(number)

    async def close(self) -> None:
        """Ends all processes and agents."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for agent in self.agents:
            agent.close()
        self.folder.cleanup()
