"""What a control process writes, in threads: all that waits at once, with one fsync, and beside it the file that a
fold asked for. The order of the writes is kept; a fold's file comes into place in its turn among them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from rushweir.daemon.control_files import ControlFiles, Place, Write
from rushweir.rollout.commands import Compact


class Written(Protocol):
    """Who is told what outlives a crash."""

    def kept(self, serial: int) -> None: ...

    def folded(self, serial: int) -> None: ...

    def disk_failed(self, problem: OSError) -> None: ...


class Disk:
    """``files`` as a loop uses them. ``add`` orders, then ``go``."""

    def __init__(self, files: ControlFiles, told: Written) -> None:
        self.files, self.told = files, told
        self.waiting: list[Write] = []
        self.writing: asyncio.Task | None = None
        self.making: asyncio.Task | None = None
        self.failed = self.closing = False

    def add(self, order: Write) -> None:
        self.waiting.append(order)

    def go(self) -> None:
        if self.waiting and self.writing is None and not self.failed:
            self.writing = asyncio.get_running_loop().create_task(self._guarded(self._write))

    async def _guarded(self, what: Callable, *given: object) -> None:
        try:
            await what(*given)
        except OSError as problem:
            if not self.failed:
                self.failed = True  # nothing is written behind it any more
                self.told.disk_failed(problem)

    async def _write(self) -> None:
        while self.waiting and not self.failed:
            orders, self.waiting = self.waiting, []
            last, placed = await asyncio.to_thread(self.files.carry, orders)
            for order in orders:
                if isinstance(order, Compact) and not self.closing:
                    self.making = asyncio.get_running_loop().create_task(
                        self._guarded(self._make, order, self.making)
                    )
            if placed:
                self.told.folded(placed)
            if last:
                self.told.kept(last)
        self.writing = None

    async def _make(self, fold: Compact, before: asyncio.Task | None) -> None:
        if before is not None:  # one at a time; one that a Rewrite ended is soon over
            await asyncio.wait([before])
        await asyncio.to_thread(self.files.make, fold)
        self.add(Place(fold))
        self.go()

    async def close(self) -> None:
        """What waits is written; a fold on its way is given up, as by a kill."""
        self.closing, self.files.fold = True, None
        if self.making is not None:
            await asyncio.wait([self.making])
        if self.writing is not None:
            await asyncio.wait([self.writing])
        self.files.close()
