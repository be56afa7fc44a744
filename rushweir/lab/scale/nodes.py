"""What stands around the ingresses of a run: nodes, the list and clients, each many to a process."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from rushweir import interface as i
from rushweir.lab.scale.drawn import Requests
from rushweir.lab.scale.parts import SPREAD, WORK_MS
from rushweir.lab.scale.scene import Scene, tenant
from rushweir.lab.standins.client import Client, Refused, kind
from rushweir.lab.standins.nodelist import NodeList
from rushweir.lab.standins.server import Peer, RpcServer
from rushweir.link import rpc


class Silent:
    """Takes records, and keeps none."""

    def note(self, event: str, **fields: Any) -> None: ...


class HollowNode(RpcServer):
    """A listening address that answers each attempt after a drawn time, however many there are."""

    def __init__(self, seed: int, work_ms: float | None = None) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        low, high = WORK_MS
        self.middle = low * (high / low) ** self.rng.random() if work_ms is None else work_ms
        self.served = 0

    def call(self, peer: Peer, call: rpc.Call) -> None:
        if call.method == "rpc.probe":
            peer.send(rpc.result(call.id, {"load": {"inflight": 0.0, "queue": 0.0}}))
        elif call.method != "rpc.cancel":
            p = call.params if isinstance(call.params, dict) else {}
            body = {"data": {}, "cost": float(p.get("units", 1))}
            after = self.middle * self.rng.lognormvariate(0.0, SPREAD) / 1000 if self.middle else 0.0
            self.served += 1
            if after:
                asyncio.get_running_loop().call_later(after, peer.send, rpc.result(call.id, body))
            else:
                peer.send(rpc.result(call.id, body))


class Listing(NodeList):
    """The list: entries that nobody looks into, changed at a pace. What it sends is counted."""

    def __init__(self, addresses: list[str], zones: list[str], told: Callable[[int], None]) -> None:
        """``told``: called with the number of those that watch, when it changed."""
        super().__init__(Silent(), 0.0)  # type: ignore[arg-type]
        self.told_watchers = told
        for k, address in enumerate(addresses):
            self.servers[address] = i.Server(address, zones[k % len(zones)])
        self.sent = Counter[str]()
        self.changes = self.due = 0  # and how often they have to be told

    def _tell(self, peer: Peer, params: dict[str, Any], states: dict[str, str]) -> None:
        self.sent[params["scope"]] += 1
        super()._tell(peer, params, states)

    def call(self, peer: Peer, call: rpc.Call) -> None:
        super().call(peer, call)
        self.told_watchers(len(self.watchers))

    def lost(self, peer: Peer) -> None:
        super().lost(peer)
        self.told_watchers(len(self.watchers))

    async def change(self, per_s: float) -> None:
        """One node after the other is drained, and ready again with the next change."""
        nodes, k = list(self.servers), 0
        while True:
            await asyncio.sleep(1 / per_s)
            address = nodes[k // 2 % len(nodes)]
            self.set(address, "draining" if k % 2 == 0 else "ready")
            self._count()
            k += 1

    def zone(self, zone: str, state: str) -> None:
        """All nodes of a zone, one by one, as a list tells them."""
        for address, server in list(self.servers.items()):
            if server.zone == zone:
                self.set(address, state)
                self._count()

    def _count(self) -> None:
        self.changes += 1
        self.due += len(self.watchers)

    def figures(self) -> dict[str, Any]:
        return {"watchers": len(self.watchers), "changes": self.changes, "due": self.due, "told": dict(self.sent)}


class Crowd:
    """Clients of real ingresses: a connection for each tenant that asked, opened when it first does."""

    def __init__(self, scene: Scene, urls: list[str], numbers: list[int], credentials: dict[str, str]) -> None:
        """Of each real ingress its address and its number in the fleet; credentials by tenant."""
        self.scene, self.urls, self.numbers, self.credentials = scene, urls, numbers, credentials
        self.counts = Counter[str]()
        self.open: dict[tuple[int, str], asyncio.Task] = {}
        self.driving: list[asyncio.Task] = []
        self.asks: set[asyncio.Task] = set()

    def drive(self, per_s: float) -> None:
        for task in self.driving:
            task.cancel()
        loop = asyncio.get_running_loop()
        self.driving = [loop.create_task(self._drive(k, per_s)) for k in range(len(self.urls))] if per_s else []

    async def _drive(self, k: int, per_s: float) -> None:
        s = self.scene
        tenants = s.tenants_at(self.numbers[k], s.tail())
        requests = Requests(random.Random(s.seed * 77 + k), tenants, s.route_table())
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += requests.pause_s(per_s)
            await asyncio.sleep(max(0.0, due - loop.time()))
            rank, cls, units = requests.draw()
            task = loop.create_task(self._ask(k, tenant(rank), cls, units))
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    async def _ask(self, k: int, name: str, cls: str, units: float) -> None:
        self.counts["asked"] += 1
        try:
            client = await self._client(k, name)
            reply = await client.ask(cls, {"units": units, "data": {"work": 1}})
            self.counts[kind(reply)] += 1
        except Refused:  # the ingress sheds connections for its own load
            self.counts["turned_away"] += 1
            self.open.pop((k, name), None)
        except (OSError, TimeoutError, asyncio.CancelledError) as problem:
            self.counts[f"lost {type(problem).__name__}"] += 1
            self.open.pop((k, name), None)

    async def _client(self, k: int, name: str) -> Client:
        task = self.open.get((k, name))
        if task is None:
            made = Client().connect(self.urls[k], self.credentials[name])
            task = self.open[k, name] = asyncio.get_running_loop().create_task(made)
        return await asyncio.shield(task)
