"""Processes of a run as their parent has them: started, asked, and ended, whatever happens here."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from types import TracebackType
from typing import Any

import orjson

START_S, ANSWER_S, END_S = 60.0, 60.0, 12.0


class ChildFailed(RuntimeError):
    """A process did not start, ended before its time, or gave no answer."""


class Child:
    """One process, its lines in and out."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, news: Callable[[dict], None]) -> None:
        self.name, self.process, self.news = name, process, news
        self.serial = 0
        self.answers: dict[int, asyncio.Future] = {}
        self.ready: Any = None
        self.ended = asyncio.Event()
        self.reader: asyncio.Task | None = None

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            told = orjson.loads(line)
            future = self.answers.pop(told.get("number", -1), None)
            if future is None:
                self.news(told)
            elif not future.done():
                future.set_result(told)
        self.ended.set()
        for future in self.answers.values():
            if not future.done():
                future.set_exception(ChildFailed(f"the process of the {self.name} ended"))

    def tell(self, command: dict[str, Any]) -> None:
        if not self.process.stdin.is_closing():
            self.process.stdin.write(orjson.dumps(command) + b"\n")

    async def ask(self, do: str, **more: Any) -> dict[str, Any]:
        """Raises ChildFailed."""
        self.serial += 1
        future = self.answers[self.serial] = asyncio.get_running_loop().create_future()
        if self.ended.is_set():
            raise ChildFailed(f"the process of the {self.name} ended")
        self.tell({"do": do, "number": self.serial, **more})
        try:
            # Not wait_for: it takes a cancel that comes with the answer for none, and Ctrl-C was lost (Python 3.11).
            async with asyncio.timeout(ANSWER_S):
                return await future
        except TimeoutError:
            raise ChildFailed(f"the {self.name} gave no answer to {do} within {ANSWER_S:g} s") from None

    async def end(self) -> None:
        """Close its input, which ends it and what it started; who takes too long is killed."""
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), END_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            await self.reader


class Children:
    """All processes of one run, ended together."""

    def __init__(self, say: Callable[[str], None] = lambda _: None) -> None:
        self.all: list[Child] = []
        self.say = say

    async def __aenter__(self) -> Children:
        return self

    async def __aexit__(self, kind: type | None, value: BaseException | None, trace: TracebackType | None) -> None:
        await asyncio.shield(asyncio.gather(*(c.end() for c in reversed(self.all)), return_exceptions=True))

    async def start(
        self, name: str, first: dict[str, Any], news: Callable[[dict], None] = lambda _: None
    ) -> Child:  # fmt: skip
        """Start a process of worker.py and wait until it is ready. Raises ChildFailed."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir.lab.scale.worker", name,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 28,
            start_new_session=True,  # the terminal's Ctrl-C is for the parent alone
        )  # fmt: skip
        child = Child(name, process, news)
        self.all.append(child)
        self.say(f"process {process.pid} {name}")
        child.tell(first)
        try:
            async with asyncio.timeout(START_S):
                line = await process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            raise ChildFailed(f"the process of the {name} did not start")
        child.ready = orjson.loads(line)["ready"]
        child.reader = asyncio.create_task(child._read())
        return child
