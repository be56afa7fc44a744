"""Commands that a member returns for its shell to carry out. Plain records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rushweir.fleet.settings import Address


@dataclass(slots=True)
class SendTo:
    """Send one datagram."""

    address: Address
    data: bytes


@dataclass(slots=True)
class SaveFile:
    """Persist ``data``, then call ``file_saved`` with ``serial``. Of several pending commands the last suffices."""

    serial: int
    data: bytes


@dataclass(slots=True)
class LogEvent:
    """An event for the log."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class SlotChanged:
    """This process has another slot now; -1: none."""

    slot: int


@dataclass(slots=True)
class ViewChanged:
    """The member holds another view; ``fleet.view`` has its slots."""


Command = SendTo | SaveFile | LogEvent | SlotChanged | ViewChanged
