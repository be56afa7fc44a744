"""Fleets of several processes of ``rushweir serve``, and faults between them."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from rushweir.lab.day import Day, Trouble, load_text
from rushweir.lab.stage import Stage
from rushweir.lab.troubles import Troubles

DAY = (Path(__file__).parent / "fleet.day").read_text()


class Group:
    """Ingresses of a day without clients."""

    def __init__(self, folder: Path, started: int = 3, text: str = "") -> None:
        self.day: Day = load_text(DAY + text, "fleet.day")
        self.day.started = started
        self.stage = Stage(self.day, folder)
        self.troubles = Troubles(self.stage)

    async def status(self, k: int) -> dict[str, Any]:
        return (await self.stage.ask(k, "status"))["fleet"]

    async def all(self, among: list[int]) -> dict[int, dict[str, Any]]:
        found = await asyncio.gather(*(self.status(k) for k in among))
        return dict(zip(among, found, strict=True))

    async def until(self, among: list[int], what: Any, within: float = 25.0) -> dict[int, dict[str, Any]]:
        """Waits until ``what`` holds for how members see the fleet; returns how they do."""
        seen: dict = {}
        try:
            async with asyncio.timeout(within):
                while not what(seen := await self.all(among)):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            brief = {k: {f: v[f] for f in ("number", "view", "current", "chair", "seats")} for k, v in seen.items()}
            raise AssertionError(brief) from None
        return seen

    async def together(self, among: list[int], within: float = 25.0) -> dict[int, dict[str, Any]]:
        """Waits until these members, and nobody else, have slots in one view that is in force."""

        def one(seen: dict) -> bool:
            return (
                len({s["view"] for s in seen.values()}) == 1 and all(s["current"] for s in seen.values())
                and all(s["number"] >= 0 for s in seen.values()) and sum(s["chair"] for s in seen.values()) == 1
                and all(sum(x["state"] == "seated" for x in s["seats"]) == len(among) for s in seen.values())
            )  # fmt: skip

        seen = await self.until(among, one, within)
        assert len({s["number"] for s in seen.values()}) == len(among)
        return seen

    def trouble(self, what: str, *on: int, ms: float = 0.0) -> asyncio.Task:
        return asyncio.create_task(self.troubles.trouble(Trouble(0.0, what, on, ms)))

    def leader(self, seen: dict) -> int:
        return next(k for k, s in seen.items() if s["chair"])


def states(seen: dict, of: Group, k: int) -> set[str]:
    """How other members see a place."""
    where = f"127.0.0.1:{of.stage.relay_ports[k]}"
    return {m["state"] for s in seen.values() for m in s["members"] if m["address"] == where}


async def grows_and_shrinks(g: Group) -> None:
    """From 3 to 6 to 3 members: each gets a slot and gives it back on leaving, and nobody's settings change."""
    first = await g.together([0, 1, 2])
    files = {k: (g.stage.folder / f"ingress-{k}.conf").read_text() for k in (0, 1, 2)}
    await asyncio.gather(*(g.stage.start_ingress(k) for k in (3, 4, 5)))
    grown = await g.together([0, 1, 2, 3, 4, 5])
    assert {s["number"] for s in grown.values()} == set(range(6))
    assert {k: grown[k]["number"] for k in first} == {k: s["number"] for k, s in first.items()}
    assert g.stage.numbers == {k: s["number"] for k, s in grown.items()}
    await asyncio.gather(*(g.trouble("retire", k) for k in (3, 4, 5)))
    shrunk = await g.together([0, 1, 2], 6.0)  # at once, without waiting for a suspicion timeout
    assert "left" in states(shrunk, g, 3) | states(shrunk, g, 4)
    await g.stage.start_ingress(4)
    again = await g.together([0, 1, 2, 4])
    assert again[4]["number"] in {3, 4, 5}
    assert all((g.stage.folder / f"ingress-{k}.conf").read_text() == text for k, text in files.items())


async def leader_and_its_successor_are_killed(g: Group) -> None:
    await asyncio.gather(*(g.stage.start_ingress(k) for k in (3, 4)))
    seen = await g.together([0, 1, 2, 3, 4])
    before = {k: s["number"] for k, s in seen.items()}
    for _ in range(2):
        k = g.leader(seen)
        await g.troubles.crash(k, 300.0)
        seen = await g.together([0, 1, 2, 3, 4], 30.0)
    assert {k: s["number"] for k, s in seen.items()} == before  # each regains its slot


async def leader_is_paused_for_longer_than_its_lease(g: Group) -> None:
    seen = await g.together([0, 1, 2])
    k = g.leader(seen)
    others = [x for x in (0, 1, 2) if x != k]
    paused = g.trouble("pause", k, ms=12_000.0)
    where = f"127.0.0.1:{g.stage.relay_ports[k]}"

    def silent(seen: dict) -> bool:
        slots = [x for s in seen.values() for x in s["seats"] if x["address"] == where]
        return any(s["chair"] for s in seen.values()) and {x["state"] for x in slots} == {"lost"}

    seen = await g.until(others, silent)  # its slot is assigned to nobody else meanwhile
    lost = next(x for x in seen[others[0]]["seats"] if x["address"] == where)
    await paused
    seen = await g.together([0, 1, 2])
    assert seen[k]["number"] == lost["number"] and not states(seen, g, k) & {"dead", "left"}


async def one_way_cuts(g: Group) -> None:
    """A member that cannot send and one that cannot receive are lost; both regain their slots afterwards."""
    await asyncio.gather(*(g.stage.start_ingress(k) for k in (3, 4)))
    before = {k: s["number"] for k, s in (await g.together([0, 1, 2, 3, 4])).items()}
    over = [g.trouble("unheard", 3, ms=9_000.0), g.trouble("deaf", 4, ms=9_000.0)]
    await g.until([0, 1, 2], lambda s: states(s, g, 3) == states(s, g, 4) == {"dead"})
    await g.until([4], lambda s: not s[4]["current"])  # it knows that its view is not confirmed
    await asyncio.gather(*over)
    seen = await g.together([0, 1, 2, 3, 4])
    assert {k: s["number"] for k, s in seen.items()} == before


async def partition_healed_in_another_order(g: Group) -> None:
    """Two seeds and a member on one side, a seed and two members on the other; then thirds; healed one by one."""
    await asyncio.gather(*(g.stage.start_ingress(k) for k in (3, 4, 5)))
    before = {k: s["number"] for k, s in (await g.together(list(range(6)))).items()}
    cut = [g.trouble("apart", 2, 4, 5, ms=12_000.0), g.trouble("apart", 3, ms=8_000.0)]
    seen = await g.until([0, 1], lambda s: states(s, g, 2) == states(s, g, 3) == {"dead"})
    assert sum(s["chair"] for s in seen.values()) <= 1
    await g.until([2, 4, 5], lambda s: not any(x["current"] or x["chair"] for x in s.values()))
    # Their slots are still their own
    assert all(s["number"] == before[k] for k, s in (await g.all([2, 4, 5])).items())
    await asyncio.gather(*cut)
    seen = await g.together(list(range(6)))
    assert {k: s["number"] for k, s in seen.items()} == before


async def all_restart_at_once(g: Group) -> None:
    before = {k: s["number"] for k, s in (await g.together([0, 1, 2])).items()}
    number = (await g.status(0))["view"]
    await asyncio.gather(*(g.troubles.crash(k, 100.0) for k in (0, 1, 2)))
    seen = await g.together([0, 1, 2])
    assert {k: s["number"] for k, s in seen.items()} == before  # the seeds stored the view that they accepted
    assert all(s["view"] > number for s in seen.values())


async def unauthenticated_and_replayed_datagrams(g: Group) -> None:
    """Datagrams without the key, and those recorded for a process that is gone, change nothing."""
    recorded: list[tuple[int, bytes]] = []
    passes = g.stage.net._pass

    def record(to: int, data: bytes, source: Any) -> None:
        recorded.append((to, data))
        passes(to, data, source)

    g.stage.net._pass = record
    await g.stage.start_ingress(3)
    await g.together([0, 1, 2, 3])
    # Enough for the assertions at the end: with a slot it may have been sent no more than a dozen.
    await g.until([0, 1, 2, 3], lambda _: sum(to == 3 for to, _ in recorded) > 40)
    await g.trouble("retire", 3)
    old = list(recorded)
    await g.stage.start_ingress(3)  # with its old slot, as another process
    before = await g.together([0, 1, 2, 3])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for to, data in old:
            sock.sendto(data, ("127.0.0.1", g.stage.peer_ports[to]))
            sock.sendto(b"\x02" + data[1:40] + b"x" * 20, ("127.0.0.1", g.stage.peer_ports[to]))
    await g.until([0], lambda s: s[0]["counts"].get("frames_dropped_stranger", 0) > 20)
    seen = await g.together([0, 1, 2, 3])
    assert {k: s["number"] for k, s in seen.items()} == {k: s["number"] for k, s in before.items()}
    counts, successor = (await g.status(0))["counts"], (await g.status(3))["counts"]
    assert counts["frames_dropped_replay"] > 20 and successor["frames_dropped_other_receiver"] > 20
    assert not counts.get("bad_bodies")


async def fleet_under_loss(g: Group) -> None:
    """Datagrams are lost, duplicated, reordered and corrupted: no member is lost."""
    await g.together([0, 1, 2])
    g.stage.net.extra_loss, g.stage.net.doubled = 0.15, 0.2
    g.stage.net.spoilt = g.stage.net.overtaken = 0.1
    await asyncio.gather(*(g.stage.start_ingress(k) for k in (3, 4)))
    await g.together([0, 1, 2, 3, 4], 40.0)
    seen = await g.all([0, 1, 2, 3, 4])
    assert sum(s["counts"].get("frames_dropped_stranger", 0) for s in seen.values()) > 0


async def load_figures_reach_all(g: Group) -> None:
    await g.together([0, 1, 2])
    seen = await g.until([0, 1, 2], lambda s: all(m["served"] is not None for x in s.values() for m in x["members"]))
    assert {m["state"] for x in seen.values() for m in x["members"]} == {"alive"}


SCENES = (
    grows_and_shrinks, leader_and_its_successor_are_killed, leader_is_paused_for_longer_than_its_lease, one_way_cuts,
    partition_healed_in_another_order, all_restart_at_once, unauthenticated_and_replayed_datagrams, fleet_under_loss,
    load_figures_reach_all,
)  # fmt: skip


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """Plays all scenes, some at a time, since they mostly wait for silences."""

    async def main() -> dict[str, BaseException | None]:
        gate = asyncio.Semaphore(5)

        async def one(scene: Any) -> None:
            async with gate:
                group = Group(tmp_path_factory.mktemp(scene.__name__))
                try:
                    await group.stage.up()
                    await scene(group)
                    for k, process in group.stage.ingresses.items():
                        ended = process.returncode not in (None, -signal.SIGKILL) and k not in group.stage.retired
                        assert not ended, f"ingress {k} ended by itself"
                finally:
                    await group.stage.end()

        found = await asyncio.gather(*(one(s) for s in SCENES), return_exceptions=True)
        return {s.__name__: e for s, e in zip(SCENES, found, strict=True)}

    return asyncio.run(main())


@pytest.mark.parametrize("scene", [s.__name__ for s in SCENES])
def test_scene(played, scene):
    if played[scene] is not None:
        raise played[scene]
