"""The processes of a play: started, signalled in series, killed at the platform's earliest, ended by handle."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from rushweir.lab.records import Recorder, clock
from rushweir.lab.soak.scenario import PAUSE_MS, SERIES, Scenario, Shutdown

Process = asyncio.subprocess.Process
EXIT_OK = (0, 1)  # 1: not all was answered in time, which the records judge


@dataclass(slots=True)
class Fault:
    """What a play finds beside the rules."""

    at: float
    text: str


@dataclass(slots=True)
class Processes:
    """The ingress processes of a play, by number. ``start`` starts one and returns it without waiting for it."""

    scenario: Scenario
    records: Recorder
    start: Callable[[int], Awaitable[Process]]
    ready: Callable[[int], Awaitable[None]]
    ending: Callable[[int], None]
    running: dict[int, Process] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    killed: int = 0  # by SIGKILL, since they had not ended by then

    async def shut_down(self, shutdown: Shutdown) -> None:
        """Ends one ingress by its series of signals, and starts it again if the scenario says so."""
        process = self.running[shutdown.ingress]
        first = clock()
        self.ending(shutdown.ingress)
        signals = asyncio.create_task(self._send_series(process, shutdown, first))
        pause = asyncio.create_task(self._pause(process, shutdown, first))
        try:
            await asyncio.wait_for(process.wait(), self.scenario.kill_after_ms / 1000)
        except TimeoutError:
            self.killed += 1
            self.records.note("event", text=f"SIGKILL to ingress {shutdown.ingress}")
            process.kill()
            await process.wait()
        else:
            self._check_exit(shutdown.ingress, process)
        for task in (signals, pause):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        if shutdown.starts_again:
            await self._start_again(shutdown)

    async def _send_series(self, process: Process, shutdown: Shutdown, first: float) -> None:
        for offset, number in sorted(SERIES[shutdown.series]):
            delay = first + max(0.0, offset) - clock()
            if delay > 0:
                await asyncio.sleep(delay / 1000)
            self._signal(process, number)

    async def _pause(self, process: Process, shutdown: Shutdown, first: float) -> None:
        if shutdown.pause_after_ms is None:
            return
        await asyncio.sleep(max(0.0, first + shutdown.pause_after_ms - clock()) / 1000)
        self.records.note("paused", ingress=shutdown.ingress)
        self._signal(process, signal.SIGSTOP)
        try:
            await asyncio.sleep(PAUSE_MS / 1000)
        finally:
            self._signal(process, signal.SIGCONT)
            self.records.note("continued", ingress=shutdown.ingress)

    async def _start_again(self, shutdown: Shutdown) -> None:
        process = await self.start(shutdown.ingress)
        if shutdown.early_signals:
            await self._wait_until_caught(process, signal.SIGHUP)
        began = clock()
        for offset, number in sorted(shutdown.early_signals):
            await asyncio.sleep(max(0.0, began + offset - clock()) / 1000)
            self._signal(process, number)
        if process.returncode is not None:
            self.faults.append(
                Fault(clock(), f"ingress {shutdown.ingress} ended with {process.returncode} at its start")
            )
            return
        await self.ready(shutdown.ingress)

    @staticmethod
    async def _wait_until_caught(process: Process, number: signal.Signals) -> None:
        """Waits until a process handles a signal: before its first line runs nothing in it can (proc(5), SigCgt)."""
        status = Path(f"/proc/{process.pid}/status")
        while process.returncode is None:
            caught = re.search(r"^SigCgt:\s*([0-9a-f]+)", status.read_text(), re.MULTILINE)
            if caught is not None and int(caught[1], 16) >> (number - 1) & 1:
                return
            await asyncio.sleep(0.001)

    @staticmethod
    def _signal(process: Process, number: signal.Signals) -> None:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    def _check_exit(self, ingress: int, process: Process) -> None:
        if process.returncode not in EXIT_OK:
            self.faults.append(Fault(clock(), f"ingress {ingress} ended with {process.returncode}"))

    async def end(self) -> None:
        """Ends all that run."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
