"""One run of a fleet in real time: hollow ingresses, real ones beside them, and what all of them did in two windows.

All start at once. When every one has its number and one view, the first window is measured, in which nobody asks;
then requests begin, and after a while the second one is. Nothing outlives ``run``.
"""

from __future__ import annotations

import asyncio
import secrets
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from socket import SOCK_DGRAM
from typing import Any

from rushweir.fronts.credentials import digest, new_credential
from rushweir.lab.scale import bounds
from rushweir.lab.scale.accounts import minus
from rushweir.lab.scale.children import Child, ChildFailed, Children
from rushweir.lab.scale.scene import (
    KEY_FILE,
    PARTNERS_FILE,
    ZONES,
    Scene,
    partners_text,
    settings_text,
    tenant,
)
from rushweir.lab.stage import LISTENS, free_port

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds of a run's parts."""

    together: float = 240.0  # at most, until all are in one view
    settle: float = 3.0
    idle: float = 10.0
    warm: float = 8.0  # requests before the second window: budgets are lent and rooms are learned by then
    driven: float = 12.0


class Run:
    """A scene on sockets."""

    def __init__(
        self, scene: Scene, times: Times, children: Children, folder: Path, plants: Sequence[str] = ()
    ) -> None:
        """``plants``: faults in hollow ingresses and the list (plants.py), to see that they are found."""
        self.scene, self.times, self.children, self.folder = scene, times, children, folder
        self.plants = list(plants)
        self.hollow: list[Child] = []
        self.states: dict[int, dict[str, Any]] = {}
        self.listens: dict[int, str] = {}
        self.moved = asyncio.Event()
        self.trouble, self.watching = "", 0

    async def up(self) -> None:
        """Start all processes; the ingresses are not yet told to begin."""
        s, folder, start = self.scene, self.folder, self.children.start
        self.credentials = {tenant(k): new_credential() for k in range(s.customers())}
        (folder / PARTNERS_FILE).write_text(partners_text(s, [digest(c) for c in self.credentials.values()]))
        (folder / KEY_FILE).touch(mode=0o600)
        (folder / KEY_FILE).write_text(secrets.token_hex(32))
        (folder / "common").mkdir()
        if s.real:
            nodes = await start("backends", {"count": s.backends, "seed": s.seed})
            servers = nodes.ready
        else:
            servers = [f"{HOST}:{20_000 + k}" for k in range(s.backends)]  # nobody goes there
        first = {"servers": servers, "zones": ZONES, "plants": self.plants}
        self.list = await start("listing", first, self._news(-1))
        self.list_url = f"ws://{HOST}:{self.list.ready}/list"
        self.seeds = [(HOST, free_port(SOCK_DGRAM)) for _ in range(s.seeds)]
        self.real_at = [(HOST, free_port(SOCK_DGRAM)) for _ in range(s.real)]
        count = bounds.workers(s, bounds.this_machine().cores)
        places = [[k, self.seeds[k] if k < s.seeds else (HOST, 0)] for k in range(s.hollow)]
        common = {
            "scene": asdict(s), "folder": str(folder), "watched": self.real_at,
            "plants": self.plants,
            "settings": settings_text(s, 0, self.list_url, self.seeds, self.seeds[0]),  # each takes its own place
        }  # fmt: skip
        self.hollow = await asyncio.gather(
            *(start("hollow", {**common, "places": places[k::count]}, self._news(k)) for k in range(count))
        )

    def _news(self, k: int) -> Callable[[dict], None]:
        def news(told: dict[str, Any]) -> None:
            if "failed" in told:
                self.trouble = told["failed"]
            elif "watchers" in told:
                self.watching = told["watchers"]
            elif "listens" in told:
                self.listens[told["place"]] = told["listens"]
            else:
                self.states[k] = told
            self.moved.set()

        return news

    async def together(self) -> float:
        """All begin; the time until they are in one view, in seconds. Raises ChildFailed."""
        s = self.scene
        began = time.monotonic()
        await asyncio.gather(*(c.ask("go") for c in self.hollow))
        self.reals = None
        if s.real:
            files = []
            for k, at in enumerate(self.real_at):
                own = self.folder / f"real-{k}"
                own.mkdir()
                text = settings_text(s, s.hollow + k, self.list_url, self.seeds, at)
                (own / "ingress.conf").write_text(text)
                files.append(str(own / "ingress.conf"))
            first = {"files": files, "errors": str(self.folder / "errors.txt")}
            self.reals = await self.children.start("reals", first, self._news(-1))
        try:
            async with asyncio.timeout(self.times.together):
                while not self._one_view():
                    await self.moved.wait()
                    self.moved.clear()
                    self._look()
        except TimeoutError:
            told = [(x["open"], x["views"], x["seats"]) for x in self.states.values()]
            raise ChildFailed(f"no one view within {self.times.together:g} s: {told}, real {self.listens}") from None
        return max(x["at"] for x in self.states.values()) - began

    def _look(self) -> None:
        ended = [why for x in self.states.values() for why in x["ended"]]
        if self.trouble or ended:
            raise ChildFailed(f"a hollow ingress ended: {self.trouble or ended[0]}")
        if "" in self.listens.values():
            raise ChildFailed(f"a real ingress ended: {self._errors()}")

    def _errors(self) -> str:
        return (self.folder / "errors.txt").read_text()[-500:]

    def _one_view(self) -> bool:
        states = list(self.states.values())
        return (
            len(states) == len(self.hollow) and sum(x["open"] for x in states) == self.scene.hollow
            and all(x["seats"] == self.scene.members for x in states)
            and len({v for x in states for v in x["views"]}) == 1 and len(self.listens) == self.scene.real
            and self.watching == self.scene.members
        )  # fmt: skip

    async def drive(self, per_s: float) -> None:
        if self.scene.real and per_s:
            found = [LISTENS.search(self.listens[k]) for k in range(self.scene.real)]
            first = {
                "scene": asdict(self.scene), "urls": [x[2] for x in found], "numbers": [int(x[1]) for x in found],
                "credentials": self.credentials,
            }  # fmt: skip
            self.crowd = await self.children.start("crowd", first)
            await self.crowd.ask("drive", per_s=per_s)
        await asyncio.gather(*(c.ask("drive", per_s=per_s) for c in self.hollow))

    async def read(self) -> dict[str, Any]:
        """All sums so far."""
        asked = [*self.hollow, self.list, *([self.reals] if self.reals else [])]
        found = await asyncio.gather(*(c.ask("read") for c in asked))
        workers = found[: len(self.hollow)]
        members = {m["place"]: {**m, "at": w["at"]} for w in workers for m in w["members"]}
        for w in workers:
            w["count"] = str(len(w.pop("members")))  # not a sum: kept as it is by ``minus``
            w["memory_kb"] = str((w["rss_kb"] - w["empty_kb"]) / int(w["count"]))
        real = found[-1] if self.reals else {"processes": []}
        for p in real["processes"]:
            p["memory_kb"] = str(p["rss_kb"])
        return {
            "at": time.monotonic(), "members": members, "workers": workers, "list": found[len(self.hollow)],
            "real": real,
        }  # fmt: skip

    async def window(self, seconds: float) -> dict[str, Any]:
        before = await self.read()
        await asyncio.sleep(seconds)
        return minus(await self.read(), before)

    async def whole(self, say: Callable[[str], None]) -> dict[str, Any]:
        s, t = self.scene, self.times
        await self.up()
        took = await self.together()
        say(f"{s.members} ingresses, {s.real} of them real: one view after {took:.1f} s")
        start = await self.read()
        if s.changes_per_s:
            await self.list.ask("change", per_s=s.changes_per_s)
        await asyncio.sleep(t.settle)
        idle = await self.window(t.idle) if t.idle else None
        driven = None
        if t.driven:
            await self.drive(s.per_s)
            await asyncio.sleep(t.warm)
            asked = (await self.crowd.ask("read"))["counts"] if s.real else {}
            driven = await self.window(t.driven)
            if s.real:
                driven["crowd"] = minus((await self.crowd.ask("read"))["counts"], asked)
            say(f"{s.members} ingresses at {s.per_s:g} requests a second each: measured for {driven['at']:.1f} s")
        self._look()
        return {
            "scene": asdict(s), "together_s": took, "start": start, "idle": idle, "driven": driven,
            "real_at": [f"{h}:{p}" for h, p in self.real_at],
        }  # fmt: skip


async def run(scene: Scene, times: Times, say: Callable[[str], None], plants: Sequence[str] = ()) -> dict[str, Any]:
    """Play a scene. Raises DoesNotFit, ChildFailed."""
    machine = bounds.this_machine()
    bounds.fits(bounds.need_of(scene, machine.cores), machine)
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as folder:
        async with Children(say) as children:
            return await Run(scene, times, children, Path(folder), plants).whole(say)
