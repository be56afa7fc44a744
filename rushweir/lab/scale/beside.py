"""What is only counted, at all sizes that are wanted: each in a process of its own, many of them at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from rushweir.lab.scale import bounds
from rushweir.lab.scale.children import ChildFailed, Children
from rushweir.lab.scale.samples import Sample

PLAY_S = 900.0  # at most, for one of them
Played = dict[tuple[str, int], list[Sample] | ChildFailed]


def at_once() -> int:
    """One core is left to whatever else the machine does."""
    return max(1, bounds.this_machine().cores - 1)


async def _all(wanted: Sequence[tuple[str, int]], say: Callable[[str], None]) -> Played:
    cores, found = asyncio.Semaphore(at_once()), Played()
    async with Children() as children:

        async def one(name: str, size: int) -> None:
            async with cores:
                try:
                    found[name, size] = await _play(children, name, size, say)
                except ChildFailed as problem:
                    found[name, size] = problem
                    return
                say(f"{name}: {size}, counted")

        await asyncio.gather(*(one(*x) for x in wanted))  # a semaphore's turns are in the order of asking
    return found


async def _play(children: Children, name: str, size: int, say: Callable[[str], None]) -> list[Sample]:
    """One role at one size. Raises ChildFailed."""
    told: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
    child = await children.start("count", {"role": name, "size": size}, told.set_result)
    say(f"{name}: {size}, counting")
    ending = asyncio.ensure_future(child.ended.wait())
    await asyncio.wait([told, ending], timeout=PLAY_S, return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    if not told.done():
        raise ChildFailed(f"its process ended, or took more than {PLAY_S:g} s")
    if "failed" in told.result():
        raise ChildFailed(told.result()["failed"])
    return [Sample(**s) for s in told.result()["samples"]]


def play(wanted: Sequence[tuple[str, int]], say: Callable[[str], None]) -> Played:
    """All of them, in the order given."""
    return asyncio.run(_all(wanted, say)) if wanted else {}
