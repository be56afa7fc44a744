"""Dispatch nodes as stand-ins: each a server of its own on loopback, with the model's time made real.

Faults are set on a running node: see ``FAULTS`` and ``Node.fault``. What a node sees and does on its sockets
goes to the records: ``arrive``, ``end``, ``up``, ``down``, ``fell``.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import asdict, dataclass, field
from typing import Any

from rushweir.lab.records import Recorder, clock
from rushweir.lab.standins.model import KeyMemory, Meter, NodeKind, NodeModel
from rushweir.lab.standins.server import Peer, RpcServer
from rushweir.link import rpc

FAULTS = ("silent", "errors", "slow", "half", "double", "wrong_id", "mute", "cut", "broken_json")


@dataclass(slots=True, eq=False)
class Job:
    """One attempt as the node holds it."""

    peer: Peer
    id: Any
    request: str
    attempt: int
    partner: str
    key: str
    work: float
    units: float
    ended: bool = False
    followers: list[Job] = field(default_factory=list)  # repeats by key, answered with it
    answer: dict[str, Any] | None = None


class Node(RpcServer):
    """One dispatch node."""

    def __init__(
        self, room: str, kind: NodeKind, memory: KeyMemory, records: Recorder, seed: int, meter: Meter | None = None
    ) -> None:  # fmt: skip
        super().__init__()
        self.room, self.kind, self.memory, self.records, self.meter = room, kind, memory, records, meter
        self.rng = random.Random(seed)
        self.model: NodeModel | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.faults: dict[str, Any] = {}
        self.gate = asyncio.Event()
        self.online_since = 0.0
        self.jobs: dict[tuple[int, Any], Job] = {}
        self.served = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def up(self, cold: bool) -> None:
        """Start, or start again, on the same address."""
        await self.listen()
        self.model = NodeModel(self.kind, clock(), cold)
        self.online_since = clock() if cold else 0.0
        self.faults.clear()
        self._gate()
        self.records.note("up", node=self.address, room=self.room, cold=cold, **asdict(self.kind))

    def kill(self) -> None:
        """Die without a word: connections reset, all work lost."""
        self.records.note("down", node=self.address)
        self.model = None
        self.jobs.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.faults.clear()
        self._gate()
        self.down()

    def fault(self, name: str, value: Any) -> None:
        """Set a fault; None takes it back. silent: True (as if the machine had vanished). errors, half, double,
        wrong_id, broken_json, mute: share of answers. slow: times longer. cut: zones that can't reach it."""
        if name not in FAULTS:
            raise ValueError(f"fault {name!r}: known are {', '.join(FAULTS)}")
        if value is None:
            self.faults.pop(name, None)
        else:
            self.faults[name] = value
        if self.model is not None:
            self._advance()
            self.model.slow = float(self.faults.get("slow", 1.0))
            self._schedule()
        self._gate()

    def _gate(self) -> None:
        """Let everybody who waits look again."""
        gate, self.gate = self.gate, asyncio.Event()
        gate.set()

    def _cut(self, peer: Peer) -> bool:
        return bool(self.faults.get("silent")) or peer.zone in self.faults.get("cut", ())

    async def reading(self, peer: Peer) -> None:
        while self._cut(peer):
            await self.gate.wait()

    # --- requests --------------------------------------------------------------------------------

    def call(self, peer: Peer, call: rpc.Call) -> None:
        if self.model is None or self._cut(peer):
            return
        if call.method == "rpc.cancel":
            job = self.jobs.get((peer.number, (call.params or {}).get("id")))
            if job is not None and not job.ended:
                self._note_end(job, "cancel")  # the work goes on
            return
        if call.method == "rpc.probe":
            load = {"inflight": float(len(self.model.running)), "queue": float(len(self.model.waiting))}
            peer.send(rpc.result(call.id, {"load": load}))
            return
        p = call.params if isinstance(call.params, dict) else {}
        data = p.get("data") if isinstance(p.get("data"), dict) else {}
        job = Job(
            peer, call.id, str(p.get("request", "")), int(p.get("attempt", 0)), str(p.get("partner", "")),
            str(p.get("key", "")), float(data.get("work", 50.0)), float(p.get("units", 1)),
        )  # fmt: skip
        self.records.note(
            "arrive", t=round(peer.came, 3), node=self.address, room=self.room, ingress=peer.ingress,
            req=job.request, n=job.attempt, cls=call.method, partner=job.partner, key=job.key, work=job.work,
            units=job.units, within=p.get("within_ms", 0), tag=data.get("tag"),
        )  # fmt: skip
        self.jobs[peer.number, call.id] = job
        if self.meter is not None and not job.attempt:
            self.meter.add(clock(), job.partner, job.units)
        earlier = self.memory.first(clock(), job.key, job) if job.key else None
        if isinstance(earlier, Job) and earlier is not job:
            self._repeat(earlier, job)
            return
        if self.rng.random() < self.faults.get("errors", 0.0):
            self.memory.forget(job.key)
            self._error(job, "broken")
            return
        if not self.model.submit(clock(), job, job.work):
            self.memory.forget(job.key)
            if self.model.fallen:
                self.records.note("fell", node=self.address)
                self.kill()
                return
            self._note_end(job, "full")
            self._reply(job, rpc.error(job.id, rpc.NODE_FULL, "full"))
            return
        self._schedule()

    def _repeat(self, first: Job, job: Job) -> None:
        """A key that the room knows: the work is not done again, the answer is the first one's."""
        self.records.note("dropped", node=self.address, req=job.request, n=job.attempt, key=job.key)
        if first.answer is not None:
            self._finish(job, first.answer)
        else:
            first.followers.append(job)

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.model.next_at() if self.model is not None else None
        if at is not None:
            self.timer = asyncio.get_running_loop().call_later(max(0.0, at - clock()) / 1000, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self._advance()
        self._schedule()

    def _advance(self) -> None:
        if self.model is not None:
            for job in self.model.advance(clock()):
                answer = {"data": {"done": job.request, "node": self.address}, "cost": job.units}
                job.answer = answer
                self.served += 1
                for each in (job, *job.followers):
                    self._finish(each, answer)
                job.followers.clear()

    def _finish(self, job: Job, answer: dict[str, Any]) -> None:
        used = self.meter.used(clock(), job.partner) if self.meter is not None else 0
        body = {**answer, "used": used} if used else answer
        if self.faults.get("silent") or self._cut(job.peer):
            return
        text = rpc.result(job.id, body)
        share, f = self.rng.random(), self.faults
        if share < f.get("half", 0.0):
            self._note_end(job, "half")
            self.jobs.pop((job.peer.number, job.id), None)
            job.peer.half(text)
            return
        if share < f.get("mute", 0.0):
            return
        if share < f.get("wrong_id", 0.0):
            job.peer.send(rpc.result(7_000_000_000, body))
            return
        self._note_end(job, "ok")
        if share < f.get("broken_json", 0.0):
            job.peer.send(b'{"jsonrpc":"2.0","id":')
        self._reply(job, text)
        if share < f.get("double", 0.0):
            job.peer.send(text)

    def _error(self, job: Job, why: str) -> None:
        self._note_end(job, "error")
        self._reply(job, rpc.error(job.id, rpc.NODE_ERROR, why))

    def _reply(self, job: Job, text: bytes) -> None:
        self.jobs.pop((job.peer.number, job.id), None)
        job.peer.send(text)

    def _note_end(self, job: Job, how: str) -> None:
        if not job.ended:
            job.ended = True
            self.records.note("end", node=self.address, req=job.request, n=job.attempt, how=how)

    def lost(self, peer: Peer) -> None:
        for key in [k for k in self.jobs if k[0] == peer.number]:
            job = self.jobs.pop(key)
            self._note_end(job, "lost")


class Fleet:
    """Several nodes in rooms, and what the rooms and the whole share."""

    def __init__(self, records: Recorder, window_ms: float, meter: Meter | None = None) -> None:
        self.records, self.window, self.meter = records, window_ms, meter
        self.rooms: dict[str, KeyMemory] = {}
        self.nodes: list[Node] = []

    async def add(self, room: str, kind: NodeKind, seed: int, cold: bool = False) -> Node:
        memory = self.rooms.setdefault(room, KeyMemory(self.window))
        node = Node(room, kind, memory, self.records, seed, self.meter)
        self.nodes.append(node)
        await node.up(cold)
        return node

    def close(self) -> None:
        for node in self.nodes:
            if node.model is not None:
                node.kill()
