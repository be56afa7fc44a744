"""Work beside the loop that is long only because it is much: a thread that gives way. A thin shell on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
from collections.abc import Callable, Iterator
from typing import TypeVar

SWITCH_S, GIVING_WAY_S = sys.getswitchinterval(), 0.0005
_at_once = 0  # works in threads; settings are of the whole process

T = TypeVar("T")


@contextlib.contextmanager
def giving_way() -> Iterator[None]:
    """While this holds a thread that computes gives way to the loop after half a millisecond; by default each turn
    may wait 5 ms for it. And the collector rests: thousands of young objects are what it would walk through, with
    the loop waiting for it."""
    global _at_once  # noqa: PLW0603 - as the settings that it counts for
    _at_once += 1
    sys.setswitchinterval(GIVING_WAY_S)
    gc.disable()
    try:
        yield
    finally:
        _at_once -= 1
        if not _at_once:
            sys.setswitchinterval(SWITCH_S)
            gc.freeze()  # they are the settings now, or gone by their counts: nothing to be walked through
            gc.enable()


async def beside(work: Callable[..., T], *given: object) -> T:
    with giving_way():
        return await asyncio.to_thread(work, *given)
