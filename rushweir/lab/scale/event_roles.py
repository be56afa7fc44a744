"""Events as roles: each played on virtual clocks in a process of its own, as many at once as there are cores."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rushweir.lab.scale import bounds
from rushweir.lab.scale.children import ChildFailed, Children
from rushweir.lab.scale.samples import Role, Sample

SEED = 1
PLAY_S = 900.0  # at most, for one of them
MEMBER_MB = 1.5  # of a simulated one, generously
PREFIX, BY = "event-", "ingresses"
PLAYED: dict[tuple[str, int], list[Sample] | ChildFailed] = {}


async def _all(wanted: list[tuple[str, int]], say: Callable[[str], None]) -> None:
    cores = asyncio.Semaphore(max(1, bounds.this_machine().cores - 1))
    async with Children() as children:

        async def one(name: str, size: int) -> None:
            async with cores:
                told: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
                first = {"event": name.removeprefix(PREFIX), "size": size, "seed": SEED}
                try:
                    child = await children.start("simulate", first, told.set_result)
                    await asyncio.wait([told, ending := asyncio.ensure_future(child.ended.wait())],
                                       timeout=PLAY_S, return_when=asyncio.FIRST_COMPLETED)  # fmt: skip
                    ending.cancel()
                    if not told.done():
                        raise ChildFailed(f"its process ended, or took more than {PLAY_S:g} s")
                except ChildFailed as problem:
                    PLAYED[name, size] = problem
                    return
                PLAYED[name, size] = [
                    Sample(name, figure, unit, BY, size, value, "simulated", seconds)
                    for figure, unit, value, seconds in told.result()["samples"]
                ]
                say(f"{name} with {size} {BY}: played")

        # The largest first: they take longest.
        await asyncio.gather(*(one(n, s) for n, s in sorted(wanted, key=lambda x: -x[1])))


def need(_: str, size: int) -> bounds.Need:
    """Of one event, and as many as are played at once, each as if it were this one."""
    cores = bounds.this_machine().cores
    return bounds.Need(cores * (bounds.WORKER_MB + MEMBER_MB * size), bounds.SPARE_FDS, cores + 1)


def prepare(wanted: Iterable[tuple[str, int]], say: Callable[[str], None]) -> None:
    """Play these roles at these sizes, many at once. Raises DoesNotFit."""
    own = [(name, size) for name, size in wanted if name in NAMES and (name, size) not in PLAYED]
    if own:
        for name, size in own:
            bounds.fits(need(name, size), bounds.this_machine())
        asyncio.run(_all(own, say))


def _measure(name: str) -> Callable[[int], list[Sample]]:
    def measure(size: int) -> list[Sample]:
        prepare([(name, size)], lambda _: None)
        found = PLAYED[name, size]
        if isinstance(found, ChildFailed):
            raise found
        return found

    return measure


ROLES = tuple(
    Role(PREFIX + name, title, BY, sizes, _measure(PREFIX + name))
    for name, title, sizes in (
        ("rack", "40 members at once gone for 2 s", (60, 80, 120, 160)),
        ("zone", "A sixth of the members gone for 10 s, with a seed", (24, 48, 96, 144)),
        ("split", "Two halves lose each other for an hour, scaled to 120 s", (12, 24, 48, 72)),
        ("roll", "Two restarts in order, 180 s apart: 480 a day", (12, 24, 48, 72)),
        ("roll-fast", "Twenty restarts in order, 1.8 s apart", (24, 48, 72, 96)),
    )
)
NAMES = {r.name for r in ROLES}
