"""The interface of the sessions of watchers, as a control process's shell uses it."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from rushweir.rollout.change_sets import ChangeSet
from rushweir.rollout.commands import Objects


class Sessions(Protocol):
    """Those that watch: what the control process tells it, and asks of it by ``commands``: each has ``conn`` and
    ``data`` (send), ``conn`` and ``why`` (close), or ``report`` (for the other control processes)."""

    commands: deque[Any]

    def snapshot_installed(self, now: float, number: int, objects: Objects) -> None: ...

    def committed(self, now: float, step: ChangeSet) -> None: ...

    def set_current(self, now: float, current: bool) -> None: ...

    def opened(self, now: float, conn: int) -> None: ...

    def received(self, now: float, conn: int, text: bytes | str) -> None: ...

    def set_writable(self, now: float, conn: int, writable: bool) -> None: ...

    def closed(self, now: float, conn: int) -> None: ...

    def take_report(self, now: float, told: Any) -> None: ...

    def next_at(self) -> float | None: ...

    def advance(self, now: float) -> None: ...
