"""A play of ``rushweir serve``: the laboratory's stage with its crowd, and clients that do not know ``closing``."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

from rushweir.lab.day import Day, DayClass, DayNode, DayPlan, Trouble
from rushweir.lab.records import clock, read_all
from rushweir.lab.soak.processes import Fault, Process, Processes
from rushweir.lab.soak.scenario import KILL_MARGIN_MS, Scenario, Shutdown
from rushweir.lab.stage import Stage
from rushweir.lab.standins.client import Client, Refused
from rushweir.lab.standins.model import NodeKind
from rushweir.lab.troubles import Troubles

START_MS = 1_500.0  # from the crowd's start to its first request
MACHINE = NodeKind(cores=4, slots=64, queue=200)
ROOMS = ("room-a", "room-b")


def make_day(scenario: Scenario) -> Day:
    """Returns a scenario as a day of the laboratory."""
    end_ms = scenario.length_ms
    first = min(s.at_ms for s in scenario.shutdowns)
    nodes = tuple(range(scenario.backends))
    troubles = [Trouble(first - 100.0, "silence", nodes[: scenario.hanging], end_ms)] if scenario.hanging else []
    if scenario.drains:
        troubles.append(Trouble(first, "drain", nodes[-1:], end_ms))
    if scenario.reset_share:
        troubles.append(Trouble(first, "half", nodes, end_ms, scenario.reset_share))
    if scenario.joins_cold and scenario.backends > scenario.hanging + 1:
        troubles.append(Trouble(first - 400.0, "kill", nodes[-2:-1], 300.0))
    classes = [
        DayClass(c.name, c.aim_ms, c.deadline_ms, repeat=c.effect, window=c.window_ms, work=12.0)
        for c in scenario.classes
    ]
    plans = [
        DayPlan("plan", 6, 25.0, 25.0, ceiling_rate=80.0, ceiling_burst=40.0, ceiling_slack=2.0, over_cost=0.5),
        DayPlan("free", scenario.clients, size=12.0),
    ]
    return Day(
        name=f"soak-{scenario.seed}", length=end_ms, seed=scenario.seed, rooms=ROOMS,
        ingress_rooms=tuple(ROOMS[k % 2] for k in range(scenario.ingresses)),
        nodes=[DayNode(ROOMS[k % 2], MACHINE) for k in nodes], classes=classes, plans=plans, troubles=troubles,
        load=0.15, stop=scenario.kill_after_ms - KILL_MARGIN_MS, list_late=scenario.discovery_delay_ms,
    )  # fmt: skip


class ServePlay:
    """One play. Its records are in ``folder`` then."""

    def __init__(self, scenario: Scenario, folder: Path, command: list[str] | None = None) -> None:
        """``command`` runs an ingress with a settings file; by default this interpreter with ``rushweir serve``."""
        self.scenario, self.folder, self.rng = scenario, folder, random.Random(scenario.seed)
        self.stage = Stage(make_day(scenario), folder, command or [sys.executable, "-m", "rushweir", "serve"])
        self.processes = Processes(scenario, self.stage.records, self._start, self._ready, self._note_ending)
        self.processes.running = self.stage.ingresses
        self.untaken_tags: list[str] = []  # of requests without an answer where the ingress closed with 1001
        self.serial = 0
        self.ended = False  # a cancelled ``wait_for`` whose answer has just come returns it, and the task goes on

    async def play(self) -> list[Fault]:
        """Plays to the end; returns what was found beside the rules."""
        stage = self.stage
        try:
            await stage.up()
            await stage.start_crowd(START_MS)
            troubles = asyncio.create_task(Troubles(stage).play())
            ignorant = [
                asyncio.create_task(self._ignorant_client(k))
                for k in range(self.scenario.ingresses)
                for _ in range(3)
            ]
            await asyncio.gather(*(self._shut_down(s) for s in self.scenario.shutdowns))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stage.crowd.ended.wait(), self.scenario.length_ms / 1000 + 30.0)
            self.ended = True
            for task in (troubles, *ignorant):
                task.cancel()
            await asyncio.gather(troubles, *ignorant, return_exceptions=True)
        finally:
            await stage.end()
        self._check_untaken()
        return self.processes.faults

    async def _start(self, ingress: int) -> Process:
        """Starts an ingress without waiting until it listens."""
        self.starting = asyncio.create_task(self.stage.start_ingress(ingress))
        former = self.stage.ingresses[ingress]
        while self.stage.ingresses[ingress] is former:
            await asyncio.sleep(0.001)
        return self.stage.ingresses[ingress]

    async def _ready(self, ingress: int) -> None:
        await self.starting

    def _note_ending(self, ingress: int) -> None:
        self.stage.retired.add(ingress)
        self.stage.records.note("event", text=f"ingress {ingress} is told to end")

    async def _shut_down(self, shutdown: Shutdown) -> None:
        await asyncio.sleep(max(0.0, self.stage.start_at + shutdown.at_ms - clock()) / 1000)
        idle = []
        port = int(self.stage.urls[shutdown.ingress].rsplit(":", 1)[1].split("/")[0])
        for _ in range(self.scenario.crowd):
            with contextlib.suppress(OSError):
                idle.append(await asyncio.open_connection("127.0.0.1", port))
        await self.processes.shut_down(shutdown)
        for _, writer in idle:
            writer.transport.abort()

    async def _ignorant_client(self, ingress: int) -> None:
        """A client that uses its connection until the server closes it, whatever it is notified of."""
        name = self.rng.choice([n for n, plan in self.stage.day.partner_names() if plan.name == "free"])
        await asyncio.sleep(max(0.0, self.stage.start_at - clock()) / 1000)
        try:
            client = await Client().connect(self.stage.urls[ingress], self.stage.credentials[name])
        except (OSError, TimeoutError, Refused):
            return
        while not self.ended and not client.closed.is_set() and client.messages.open:
            self.serial += 1
            tag = f"ignorant-{self.serial}"
            request_class = self.rng.choice(self.scenario.classes)
            params = {"within_ms": request_class.deadline_ms, "data": {"work": 5.0, "tag": tag}}
            within_s = request_class.deadline_ms / 1000 + 0.5
            try:
                await client.ask(request_class.name, params, timeout=within_s)
            except TimeoutError:
                self.processes.faults.append(Fault(clock(), f"{tag} at ingress {ingress}: no answer"))
            except asyncio.CancelledError:
                if not client.closed.is_set():
                    raise
                if client.close_code == 1001:
                    self.untaken_tags.append(tag)
                else:
                    self.processes.faults.append(Fault(clock(), f"{tag}: closed with {client.close_code}, no answer"))
            await asyncio.sleep(self.rng.expovariate(1 / self.scenario.interval_ms) / 1000)

    def _check_untaken(self) -> None:
        """What had no answer when 1001 came must not have been taken."""
        arrived = {r.get("tag"): r["t"] for r in read_all(self.folder) if r["e"] == "arrive"}
        for tag in self.untaken_tags:
            if tag in arrived:
                self.processes.faults.append(Fault(arrived[tag], f"{tag}: forwarded, and closed without an answer"))
