"""What goes wrong on a day: each trouble from its begin to its end."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from rushweir.lab.day import TROUBLES, Trouble
from rushweir.lab.records import clock
from rushweir.lab.stage import Stage

FAULT_OF = {
    "silence": "silent", "errors": "errors", "slow": "slow", "half": "half", "double": "double", "mute": "mute",
    "wrong-id": "wrong_id",
}  # fmt: skip


class Troubles:
    """The troubles of a stage's day."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.day = stage, stage.day

    async def play(self) -> None:
        for trouble in sorted(self.day.troubles, key=lambda t: t.at):
            await asyncio.sleep(max(0.0, self.stage.start_at + trouble.at - clock()) / 1000)
            self.stage.spawn(self.trouble(trouble))

    async def trouble(self, t: Trouble) -> None:
        """One trouble from its begin to its end."""
        words = " ".join((t.what, TROUBLES[t.what][0], *(str(x) for x in t.on)))
        self.stage.say(words + (f" for {t.length / 1000:g} s" if t.length else ""))
        match t.what:
            case "drain":
                for k in t.on:
                    self.stage.list.set(self.stage.addresses[k], "draining")
                await self.wait(t.length)
                for k in t.on:
                    self.stage.list.set(self.stage.addresses[k], "ready")
            case "remove":
                for k in t.on:
                    self.stage.list.set(self.stage.addresses[k], "gone")
                await self.wait(t.length)
                for k in t.on:
                    self.relist(k)
            case "kill":
                await self.tell_fleet({"do": "kill", "nodes": list(t.on)})
                self.later_listed(t.on, "gone")
                await self.wait(t.length)
                await self.nodes_up(t.on)
            case "silence":
                await self.fault(t.on, "silent", True)
                self.later_listed(t.on, "gone", self.day.silent_late)
                await self.wait(t.length)
                await self.tell_fleet({"do": "kill", "nodes": list(t.on)})
                await self.nodes_up(t.on)
            case "errors" | "slow" | "half" | "double" | "mute" | "wrong-id":
                await self.fault(t.on, FAULT_OF[t.what], t.size)
                await self.wait(t.length)
                await self.fault(t.on, FAULT_OF[t.what], None)
            case "cut":
                await self.cut(t)
            case "crash":
                await asyncio.gather(*(self.crash(k, t.length) for k in t.on))
            case "pause":
                await asyncio.gather(*(self.pause(k, t.length) for k in t.on))
            case "join":
                await asyncio.gather(*(self.join(k) for k in t.on))
            case "retire":
                await asyncio.gather(*(self.retire(k) for k in t.on))
            case "apart" | "unheard" | "deaf":
                await self.between(t)
            case "roll":
                for k in t.on:
                    await self.crash(k, t.length)
            case "shift":
                self.stage.crowd.tell({"do": "leave", "on": list(t.on), "share": t.size})
            case "lossy":
                self.stage.net.extra_loss, self.stage.net.doubled = t.size, t.size / 2
                await self.wait(t.length)
                self.stage.net.extra_loss = self.stage.net.doubled = 0.0
            case "noisy":
                net = self.stage.net
                net.spoilt = net.overtaken = t.size
                await self.wait(t.length)
                net.spoilt = net.overtaken = 0.0
            case "storm":
                await self.wait(t.length)  # the crowd's plan has it
            case "break":
                self.stage.list.broken = int(t.size)
        if t.length:
            self.stage.say(f"{words}: over")

    async def wait(self, ms: float) -> None:
        await asyncio.sleep(ms / 1000)

    async def tell_fleet(self, command: dict[str, Any]) -> None:
        self.stage.fleet.tell(command)

    async def fault(self, nodes: tuple[int, ...], name: str, value: Any) -> None:
        await self.tell_fleet({"do": "fault", "nodes": list(nodes), "name": name, "value": value})

    def later_listed(self, nodes: tuple[int, ...], state: str, more: float = 0.0) -> None:
        async def late() -> None:
            await self.wait(self.day.list_late + more)
            states = self.stage.fleet.last.get("states", {})
            for k in nodes:
                # A machine that fell silent looks alive here; its list notices late, and not at all if it is back.
                up = states.get(self.stage.addresses[k], {}).get("up", True)
                if self.stage.addresses[k] in self.stage.list.servers and (more or not up):
                    self.stage.list.set(self.stage.addresses[k], state)

        self.stage.spawn(late())

    async def nodes_up(self, nodes: tuple[int, ...]) -> None:
        """Start nodes cold; the list tells of them later."""
        await self.tell_fleet({"do": "up", "nodes": list(nodes)})
        await self.wait(self.day.list_late)
        await self.tell_fleet({"do": "look", "nodes": []})
        await self.wait(50.0)
        for k in nodes:
            self.relist(k)

    def relist(self, k: int) -> None:
        state = self.stage.fleet.last.get("states", {}).get(self.stage.addresses[k])
        if state is None or state["up"]:
            node = self.day.nodes[k]
            self.stage.list.set(
                self.stage.addresses[k], "ready", zone=node.room, cell=node.cell, weight=node.weight,
                kind=node.kind.name, online_since=state["since"] if state else 0.0,
            )  # fmt: skip

    async def cut(self, t: Trouble) -> None:
        """Rooms lose their links to the others: nodes can't be reached from outside, nor others from inside,
        and messages between ingresses don't cross."""
        inside = set(t.on)
        others = [r for r in self.day.rooms if r not in inside]
        for room in self.day.rooms:
            mine = [k for k, n in enumerate(self.day.nodes) if n.room == room]
            apart = others if room in inside else list(inside)
            await self.fault(tuple(mine), "cut", apart)
        self.stage.net.cut |= inside
        await self.wait(t.length)
        await self.fault(tuple(range(len(self.day.nodes))), "cut", None)
        self.stage.net.cut -= inside

    async def between(self, t: Trouble) -> None:
        """Messages between the ingresses named and all others don't arrive: neither way, or one way."""
        named, others = set(t.on), set(range(self.day.ingresses)) - set(t.on)
        out = {(a, b) for a in named for b in others}
        into = {(b, a) for a, b in out}
        cut = {"apart": out | into, "unheard": out, "deaf": into}[t.what] - self.stage.net.pairs
        self.stage.net.pairs |= cut
        await self.wait(t.length)
        self.stage.net.pairs -= cut

    async def pause(self, k: int, ms: float) -> None:
        """Stop an ingress as it stands, and let it go on: it knows of no time between."""
        process = self.stage.ingresses.get(k)
        if process is None or process.returncode is not None:
            return
        self.stage.records.note("paused", ingress=k)
        process.send_signal(signal.SIGSTOP)
        await self.wait(ms)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self.stage.records.note("continued", ingress=k)

    async def join(self, k: int) -> None:
        process = self.stage.ingresses.get(k)
        if process is None or process.returncode is not None:
            await self.stage.start_ingress(k)
            self.stage.records.note("joined", ingress=k)

    async def retire(self, k: int) -> None:
        """SIGTERM, and its place stays empty."""
        process = self.stage.ingresses.get(k)
        if process is not None and process.returncode is None:
            self.stage.retired.add(k)
            process.send_signal(signal.SIGTERM)
            await process.wait()
            self.stage.records.note("retired", ingress=k)

    async def crash(self, k: int, down_ms: float) -> None:
        """Kill an ingress outright, and start it again later: it has nothing but its last list."""
        process = self.stage.ingresses[k]
        if process.returncode is None:
            self.stage.records.note("killed", ingress=k)
            process.send_signal(signal.SIGKILL)
            await process.wait()
        await self.wait(down_ms)
        if not self.stage.stopping:
            await self.stage.start_ingress(k)
            self.stage.restarts += 1
