"""The clients of a day: every partner's connections, its tries as planned, and its own tries again.

A client behaves as the users' do: a refusal is tried again after the advice, or by some after their own
pause; a failure only where the class is safe to repeat; a door that is down is left for the next one. What it
sees goes to the records; what it counts goes out as figures twice a second.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from rushweir.lab.day import Day
from rushweir.lab.records import Recorder, clock
from rushweir.lab.standins.client import Client, Refused, kind, why
from rushweir.lab.traffic import Planned, concerns, doors, schedule

RECONNECT_MS = (100.0, 1500.0)


@dataclass(slots=True)
class Door:
    """A partner's way to one ingress."""

    ingress: int
    client: Client | None = None
    keeper: asyncio.Task | None = None


class Crowd:
    def __init__(
        self, day: Day, records: Recorder, urls: list[str], credentials: dict[str, str], start: float
    ) -> None:
        """``start``: the records' time at which the day begins."""
        self.day, self.records, self.urls, self.credentials, self.start = day, records, urls, credentials, start
        self.rng = random.Random(day.seed + 1)
        self.classes = {c.name: c for c in day.classes}
        self.tasks: set[asyncio.Task] = set()
        self.people: dict[str, dict[int, Door]] = {}
        self.sets: dict[str, tuple[int, int]] = {}
        self.counts: Counter[str] = Counter()
        self.serial = 0
        self.ending = False
        for k, (name, plan) in enumerate(day.partner_names()):
            self.sets[name] = doors(day, k, plan)
            first, count = self.sets[name]
            among = [(first + n) % day.ingresses for n in range(count)]
            self.people[name] = {d: Door(d) for d in among}

    async def connect(self) -> None:
        """Open all connections, a few dozen at a time."""
        gate = asyncio.Semaphore(64)

        async def one(name: str, door: Door) -> None:
            async with gate:
                await self._open(name, door)
            door.keeper = self._spawn(self._keep(name, door))

        await asyncio.gather(*(one(n, d) for n, doors_ in self.people.items() for d in doors_.values()))

    async def play(self) -> None:
        """Ask all that is planned, each at its time."""
        for planned in schedule(self.day):
            pause = self.start + planned.t - clock()
            if pause > 0:
                await asyncio.sleep(pause / 1000)
            self._spawn(self._first(planned))
        rest = self.start + self.day.length - clock()
        await asyncio.sleep(max(0.0, rest) / 1000)
        keepers = {d.keeper for ds in self.people.values() for d in ds.values()}
        waiting = self.tasks - keepers
        await asyncio.wait(waiting, timeout=15.0) if waiting else None

    async def close(self) -> None:
        self.ending = True
        clients = [d.client for ds in self.people.values() for d in ds.values() if d.client is not None]
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*(c.close() for c in clients), return_exceptions=True)

    def leave(self, on: tuple[str, ...], share: float) -> None:
        """Part of the clients drop their connections at once, and come back."""
        for name, ds in self.people.items():
            for door in ds.values():
                if door.client is not None and concerns(on, name) and self.rng.random() < share:
                    door.client.vanish()

    # --- inside ----------------------------------------------------------------------------------

    async def _open(self, name: str, door: Door) -> bool:
        try:
            client = Client(self.records, door.ingress, heeds_closing=True)
            door.client = await client.connect(self.urls[door.ingress], self.credentials[name], timeout=2.0)
            return True
        except (OSError, TimeoutError, Refused):
            self.counts["connect_failed"] += 1
            door.client = None
            return False

    async def _keep(self, name: str, door: Door) -> None:
        """Hold a connection up: when it ends, come again after a growing pause."""
        pause = RECONNECT_MS[0]
        while not self.ending:
            if door.client is not None:
                await door.client.closed.wait()
                pause = RECONNECT_MS[0]
            await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0) / 1000)
            pause = min(pause * 2, RECONNECT_MS[1])
            await self._open(name, door)

    async def _first(self, planned: Planned) -> None:
        """A first try and those that follow it. Served counts where it came within the aim of the first."""
        cls, began = self.classes[planned.cls], clock()
        end = began + cls.deadline
        self.serial += 1
        key, door = f"k{self.serial}", planned.door
        self.counts[f"asked/{planned.cls}/{planned.partner}"] += 1
        outcome, n = "refused", 0
        while True:
            within = min(planned.within, end - clock())
            if within < 20.0:
                break
            outcome, wait = await self._try(planned, door, within, key, f"{key}.{n}")
            n += 1
            again = outcome in ("refused", "unreachable") or (outcome == "failed" and cls.repeat == "safe")
            if not again or n > self.day.retries:
                break
            if outcome == "unreachable":
                door = self._next(planned.partner, door)
            pause = self.day.backoff * self.rng.uniform(0.7, 1.3)
            if outcome == "refused" and wait and self.rng.random() < self.day.honour:
                pause = wait
            if clock() + pause >= end:
                break
            await asyncio.sleep(pause / 1000)
        took = clock() - began
        good = outcome == "served" and took <= cls.aim
        late = outcome == "served" and not good
        self.records.note(
            "done", partner=planned.partner, cls=planned.cls, how=outcome, took=round(took, 1), tries=n,
            units=planned.units, at=round(began - self.start),
        )  # fmt: skip
        self.counts[f"{'good' if good else 'late' if late else outcome}/{planned.cls}/{planned.partner}"] += 1

    def _next(self, partner: str, door: int) -> int:
        first, count = self.sets[partner]
        return (first + (door - first + 1) % count) % self.day.ingresses

    async def _try(self, planned: Planned, door: int, within: float, key: str, tag: str) -> tuple[str, float]:
        client = self.people[planned.partner][door].client
        if client is None or client.closed.is_set() or client.leaving or not client.messages.open:
            return "unreachable", 0.0
        data = {"work": round(planned.work, 2), "tag": tag}
        params: dict[str, Any] = {"within_ms": round(within, 1), "data": data, "units": planned.units}
        if self.classes[planned.cls].repeat == "keyed":
            params["key"] = tag  # the client's next try is another one, as its partner's quota counts it
        try:
            reply = await client.ask(planned.cls, params, tag=tag, timeout=within / 1000 + 0.2)
        except asyncio.CancelledError:
            if client.closed.is_set():
                self.counts["lost"] += 1
                return "unreachable", 0.0
            raise
        except TimeoutError:
            self.counts["unanswered"] += 1
            return "unanswered", 0.0
        found = kind(reply)
        if found == "refused":
            self.counts[f"why/{why(reply)}"] += 1
            return "refused", float(reply.error["data"].get("retry_after_ms", 0))
        return found, 0.0

    def _spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
