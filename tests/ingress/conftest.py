"""A harness with an ingress on loopback sockets and stand-ins around it, all in the test's own event loop."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rushweir import interface
from rushweir.fronts.credentials import Credentials, digest
from rushweir.fronts.websocket import FrontSettings
from rushweir.ingress.core import Core
from rushweir.ingress.queries import Partner
from rushweir.ingress.shell import Clock, Shell
from rushweir.ingress.websocket import Setup
from rushweir.lab.records import Recorder
from rushweir.lab.standins.client import Client
from rushweir.lab.standins.model import NodeKind
from rushweir.lab.standins.node import Fleet
from rushweir.lab.standins.nodelist import NodeList, wall_offset_ms
from rushweir.nodes.pool import PoolSettings
from rushweir.policy import Policy

CLASSES = (
    interface.RequestClass("position", 800.0, 3000.0, effect=interface.Effect.SAFE),
    interface.RequestClass(
        "booking", 1200.0, 3000.0, 5.0, 0.0, interface.Effect.KEYED, interface.Group.ZONE, window_ms=6000.0
    ),
    interface.RequestClass("pay", 1200.0, 3000.0, worth=5.0),
)
PLANS = (
    interface.Plan("wide", rate=100_000.0, burst=100_000.0, over_cost=0.5),
    interface.Plan("rated", rate=2.0, burst=3.0, over_cost=0.5),
)
RULES = interface.Rules(8.0, 1000.0, cold_share=0.25, cold_ms=8000.0, fall_multiple=3.0, fall_ms=1500.0)
LIMITS = interface.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0)
PARTNERS = {"secret-wide": Partner("hotel", "wide"), "secret-rated": Partner("app", "rated")}
FAST = NodeKind("fast", cores=64, slots=4000, queue=4000, knee=4000.0)


class IngressHarness:
    """Nodes, a node list and an ingress."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.records = Recorder(None)
        self.node_fleet = Fleet(self.records, 6000.0)
        self.list = NodeList(self.records, wall_offset_ms())
        self.shell: Shell | None = None
        self.clients: list[Client] = []
        self.settings = interface.Settings(
            gateway=0, gateways=1, zone="a", classes=CLASSES, plans=PLANS, rules=RULES, limits=LIMITS,
        )  # fmt: skip
        self.front = FrontSettings(path="/dispatch")
        self.pool = PoolSettings()
        self.setup_overrides: dict[str, Any] = {}
        self.policy: Any = None

    async def add_nodes(self, count: int = 2, kind: NodeKind = FAST, cold: bool = False) -> None:
        """Start nodes and list them as ready."""
        for k in range(count):
            node = await self.node_fleet.add("ab"[k % 2], kind, k, cold)
            self.list.set(node.address, "ready", zone=node.room, online_since=node.online_since)

    async def start(self, units_per_s: float | None = 5000.0, port: int = 0, ready: int | None = None) -> str:
        """Start the ingress, wait for its list, and return its URL. ``units_per_s``: the throughput that the policy
        presumes of each node; ``ready``: how many ready nodes to wait for, by default all of the list."""
        if not self.list.port:
            await self.list.listen()
        clock = Clock()
        setup = Setup(
            settings=self.settings, front=self.front, pool=self.pool,
            credentials=Credentials({digest(k): p for k, p in PARTNERS.items()}),
            list_url=f"ws://127.0.0.1:{self.list.port}/list",
            # The event loop's delay depends on the test machine and must not shed requests of other tests.
            **{"boot": "t", "late_ms": 1e6, "max_late_ms": 2e6, **self.setup_overrides},
        )  # fmt: skip
        policy = self.policy or Policy(self.settings, 7, clock())
        core = Core(setup, policy, clock())
        self.shell = Shell(core, clock, folder=self.folder)
        port = await self.shell.serve("127.0.0.1", port)
        self.url = f"ws://127.0.0.1:{port}/dispatch"
        if ready is None:
            ready = sum(s.state is interface.State.READY for s in self.list.servers.values())
        await self.wait_until(
            lambda: sum(s.state is interface.State.READY for s in core.nodes.effective.values()) >= ready
        )
        if units_per_s and isinstance(policy, Policy):
            policy.capacity.finished.add(units_per_s * 4, core.now)  # as if that much had been finished lately
            policy.capacity.partition(len(policy.server_pool.ready_servers), core.now)
        return self.url

    @property
    def core(self) -> Core:
        assert self.shell is not None
        return self.shell.core

    async def client(self, credential: str = "secret-wide", **options: Any) -> Client:
        """A connected client."""
        client = await Client(self.records).connect(self.url, credential, **options)
        self.clients.append(client)
        return client

    async def wait_until(self, condition: Any, seconds: float = 5.0) -> None:
        """Wait until a condition holds; the event loop runs between two checks."""
        end = asyncio.get_running_loop().time() + seconds
        while not condition():
            assert asyncio.get_running_loop().time() < end, "condition did not hold in time"
            await asyncio.sleep(0.002)

    def arrivals(self, **wanted: Any) -> list[dict[str, Any]]:
        """Records of the attempts that arrived at nodes, with these fields."""
        return [r for r in self.records.kept if r["e"] == "arrive" and all(r[k] == v for k, v in wanted.items())]

    async def close(self) -> None:
        """End clients, ingress, nodes and list."""
        for client in self.clients:
            await client.end()
        if self.shell is not None:
            await self.shell.kill()
        self.node_fleet.close()
        self.list.down()


@pytest.fixture
def run_scenario(tmp_path):
    """Runs a test's body in one event loop: ``run_scenario(body)`` with ``async def body(harness)``."""

    def run(body: Any, **changes: Any) -> None:
        async def main() -> None:
            harness = IngressHarness(tmp_path)
            for name, value in changes.items():
                setattr(harness, name, value)
            try:
                async with asyncio.timeout(60):
                    await body(harness)
            finally:
                with contextlib.suppress(Exception):
                    await harness.close()

        asyncio.run(main())

    return run


def with_limits(settings: interface.Settings, **changes: Any) -> interface.Settings:
    """Settings with other limits."""
    return replace(settings, limits=replace(settings.limits, **changes))
