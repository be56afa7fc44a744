"""Other settings for a running daemon: read beside the loop, applied in one turn of it; a thin shell on asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Protocol

from rushweir.config import Config, ConfigError, live
from rushweir.config.live import NOTHING, Passed
from rushweir.config.objects import Refused
from rushweir.daemon.beside import beside, giving_way
from rushweir.daemon.decisions import needs_restart
from rushweir.daemon.notify import notify, reloading
from rushweir.rollout.ceilings import EXPIRY_LEASES
from rushweir.rollout.change_sets import Change


class Reloads(Protocol):
    """What of the daemon a reload is about."""

    path: Any
    config: Config
    core: Any
    shell: Any
    clock: Any

    def _setup(self, config: Config) -> Any: ...

    def taken(self, config: Config, changes: Sequence[Any] | None) -> None: ...


class Reloading:
    """Settings are read and applied one after the other."""

    def __init__(self, service: Reloads) -> None:
        self.service, self.lock = service, asyncio.Lock()

    async def reload(self) -> list[dict[str, object]]:
        """Read the settings again and apply them, whole or not at all; what changed. Raises ConfigError."""
        s = self.service
        async with self.lock:
            notify(reloading())
            try:
                # A first reading of thousands of partners takes a second; it is done beside the loop, and applied in
                # one turn of it.
                with giving_way():
                    prepared = await asyncio.to_thread(self._read)
                    live.apply(s.core, prepared, s.clock())
                    s.taken(prepared.config, prepared.changes)
                return prepared.changes
            except ConfigError as problem:
                first = str(problem).splitlines()[0]
                s.core.log(s.clock(), "error", "reload_refused", problems=len(problem.problems), first=first)
                raise
            finally:
                s.shell.carry_out()
                notify("READY=1")

    def _read(self) -> live.Prepared:
        s = self.service
        new, deltas = (live.read_own if s.config.file.rollout else live.read)(s.config, s.path)
        if problems := needs_restart(s.config, new):
            raise ConfigError(problems)
        return live.prepare(s.config, new, deltas, s._setup, s.core.setup)

    async def step(self, changes: Sequence[Change], version: int, passed: Passed = NOTHING) -> None:
        """Apply a step of the control processes, whole or not at all. ``passed``: what objects were in versions that
        are skipped by it. Raises Refused."""
        s = self.service
        async with self.lock:
            # A large one is prepared beside the loop; one partner takes less than a thread's start.
            many = max(len(changes), len(s.config.between.customers)) > live.FEW
            given = changes, version, passed
            prepared = await beside(self._told, *given) if many else self._told(*given)
            live.apply(s.core, prepared, s.clock())
            s.taken(prepared.config, changes)
            s.shell.carry_out()

    async def settled(self, version: int) -> None:
        """All ingresses act on a version or on a later one: what was held down for those behind is not any more.
        Where ceilings are lent, what was lent by an older one is over first."""
        s = self.service
        if s.config.file.fleet is not None:
            await asyncio.sleep(EXPIRY_LEASES * s.config.file.budgets.term / 1000)
        async with self.lock:
            # All partners may be held down, and free at once, where the whole fleet starts with nothing.
            many = len(s.config.between.customers) > live.FEW
            new, prepared = await beside(self._settled, version) if many else self._settled(version)
            if prepared is not None:
                live.apply(s.core, prepared, s.clock())
            s.taken(new, None)
            s.shell.carry_out()

    def _settled(self, version: int) -> tuple[Config, live.Prepared | None]:
        s = self.service
        new, deltas = live.settled(s.config, version)
        if new.between == s.config.between:
            return new, None
        return new, live.prepare(s.config, new, deltas, s._setup, s.core.setup, rows=False)

    def _told(self, changes: Sequence[Change], version: int, passed: Passed) -> live.Prepared:
        s = self.service
        new, deltas = live.told(s.config, changes, version, passed)
        if problems := needs_restart(s.config, new):
            raise Refused(((p.text.split(":")[0], ""), "", p.text) for p in problems)
        return live.prepare(s.config, new, deltas, s._setup, s.core.setup, rows=False)
