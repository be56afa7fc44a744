"""What the engine needs of a policy and of an observer."""

from __future__ import annotations

from typing import Protocol

from rushweir import interface
from rushweir.ingress import commands
from rushweir.ingress.ledger import Entry


class DecisionPolicy(Protocol):
    """What the engine needs of a policy; ``rushweir.interface`` has the contract."""

    def start(self) -> list[interface.Action]: ...

    def handle(self, now_ms: float, event: interface.Event) -> list[interface.Action]: ...


class RequestObserver(Protocol):
    """Observes requests without a part in them; ``watch/telemetry.py`` implements it."""

    def answered(self, now: float, entry: Entry, kind: str, reason: str) -> None: ...

    def request_rejected(self, now: float, partner: str, units: float, reason: str) -> None: ...

    def attempted(self, now: float, attempt: commands.Attempt, result: str) -> None: ...

    def request_finished(self, now: float, entry: Entry) -> commands.LogEvent | None: ...
