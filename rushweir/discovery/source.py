"""What every source of nodes gives: whole, checked updates. xDS and DNS SRV plug in here too. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Protocol

from rushweir import interface as i

MAX_SERVERS = 20_000  # of one list: bounds what a broken source can make an ingress hold
MAX_TEXT_LENGTH = 255


@dataclass(frozen=True, slots=True)
class Update:
    """One update, as the policy gets it; ``version`` is the source's own."""

    scope: i.Scope
    version: int
    servers: tuple[i.Server, ...] = ()


class UpdateError(ValueError):
    """An update that is not taken, none of it; the text names the entry and the field."""


class Source(Protocol):
    """A source of nodes. ``updates`` is emptied by whoever drives it."""

    updates: list[Update]

    def watch(self, now: float, on: bool) -> None:
        """Ask for changes from now on; what was missed comes first."""

    def fetch(self, now: float) -> None:
        """Ask for the whole list once."""


def server(entry: Any, where: str) -> i.Server:
    """One entry of a list, checked. Raises UpdateError."""
    if not isinstance(entry, dict):
        raise UpdateError(f"{where}: an object")
    address = text_field(entry, "address", where)
    if split_host_port(address)[1] == 0:
        raise UpdateError(f"{where}.address: host:port, not {address[:80]!r}")
    try:
        state = i.State(entry.get("state", "ready"))
    except ValueError:
        raise UpdateError(f"{where}.state: ready, draining or gone, not {str(entry['state'])[:40]!r}") from None
    return server_from_fields(entry, where, address, "online_since_ms", state)


def server_from_fields(entry: dict[str, Any], where: str, address: str, since: str, state: i.State) -> i.Server:
    """A server with what all sources say of one in the same words; ``since`` names the field of its start."""
    cell = entry.get("cell", 0)
    if type(cell) is not int or cell < 0:
        raise UpdateError(f"{where}.cell: a whole number from 0")
    return i.Server(
        address=address,
        zone=text_field(entry, "zone", where, ""),
        cell=cell,
        online_since_ms=number(entry, since, where, 0.0),
        weight=number(entry, "weight", where, 1.0),
        kind=text_field(entry, "kind", where, ""),
        state=state,
    )


def split_host_port(address: str) -> tuple[str, int]:
    """Host, without the brackets of IPv6, and port of ``host:port``; no host and port 0 where the text is none."""
    host, _, port = address.rpartition(":")
    # Other digits than these pass for some in Unicode, and int() raises for a few of them.
    known = host and port.isascii() and port.isdigit() and int(port) < 65536
    return (host.strip("[]"), int(port)) if known else ("", 0)


def servers(entries: Any, where: str = "servers") -> tuple[i.Server, ...]:
    """All entries of a list. Raises UpdateError; no address may stand twice."""
    if not isinstance(entries, list):
        raise UpdateError(f"{where}: an array")
    if len(entries) > MAX_SERVERS:
        raise UpdateError(f"{where}: {MAX_SERVERS} entries at most")
    found = tuple(server(e, f"{where}[{k}]") for k, e in enumerate(entries))
    seen: set[str] = set()
    for k, s in enumerate(found):
        if s.address in seen:
            raise UpdateError(f"{where}[{k}].address: {s.address} stands twice")
        seen.add(s.address)
    return found


def server_to_entry(s: i.Server) -> dict[str, Any]:
    """A server as ``server`` reads it."""
    return {
        "address": s.address, "zone": s.zone, "cell": s.cell, "online_since_ms": s.online_since_ms,
        "weight": s.weight, "kind": s.kind, "state": s.state.value,
    }  # fmt: skip


def apply_update(held: dict[str, i.Server], update: Update) -> dict[str, i.Server]:
    """The list after an update. A failed one leaves it as it is."""
    if update.scope is i.Scope.FAILED:
        return held
    new = dict(held) if update.scope is i.Scope.DELTA else {}
    for s in update.servers:
        if s.state is i.State.GONE:
            new.pop(s.address, None)
        else:
            new[s.address] = s
    return new


def text_field(entry: dict[str, Any], name: str, where: str, default: str | None = None) -> str:
    value = entry.get(name, default)
    if type(value) is not str or len(value) > MAX_TEXT_LENGTH or (default is None and not value):
        raise UpdateError(f"{where}.{name}: text of at most {MAX_TEXT_LENGTH} characters")
    return value


def number(entry: dict[str, Any], name: str, where: str, default: float) -> float:
    value = entry.get(name, default)
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value < 1e15:
        raise UpdateError(f"{where}.{name}: a number from 0")
    return float(value)
