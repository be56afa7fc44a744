"""What a member asks of those who carry it out, and tells them. Plain records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rushweir.fleet.settings import Address


@dataclass(slots=True)
class SendTo:
    """One datagram."""

    address: Address
    data: bytes


@dataclass(slots=True)
class SaveFile:
    """Write this so that it outlives a crash, then say ``kept`` with the serial; of several the last is enough."""

    serial: int
    data: bytes


@dataclass(slots=True)
class LogEvent:
    """For the log."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class SlotChanged:
    """This process has another number now, -1: none."""

    slot: int


@dataclass(slots=True)
class ViewChanged:
    """Another view holds here; who has which number is in ``fleet.view``."""


Command = SendTo | SaveFile | LogEvent | SlotChanged | ViewChanged
