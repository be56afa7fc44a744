"""The interface of all sources of nodes: complete, checked updates. xDS and DNS SRV can be added here. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Protocol

from rushweir import interface

MAX_SERVERS = 20_000  # of one list: bounds the memory that a faulty source can take
MAX_TEXT_LENGTH = 255  # characters of one field


@dataclass(frozen=True, slots=True)
class Update:
    """One update of the list, as the policy gets it; ``version`` is the source's own."""

    scope: interface.Scope
    version: int
    servers: tuple[interface.Server, ...] = ()


class UpdateError(ValueError):
    """An update that is rejected as a whole; the text names the entry and the field."""


class Source(Protocol):
    """A source of nodes. Its caller takes the updates out of ``updates``."""

    updates: list[Update]

    def watch(self, now: float, on: bool) -> None:
        """Subscribe to changes or unsubscribe; after subscribing, changes missed before come first."""

    def fetch(self, now: float) -> None:
        """Request the full list once."""


def parse_server(entry: Any, path: str) -> interface.Server:
    """Checks one entry of a list. ``path`` names it in errors. Raises UpdateError."""
    if not isinstance(entry, dict):
        raise UpdateError(f"{path}: must be an object")
    address = text_field(entry, "address", path)
    if split_host_port(address)[1] == 0:
        raise UpdateError(f"{path}.address: must be host:port, not {address[:80]!r}")
    try:
        state = interface.State(entry.get("state", "ready"))
    except ValueError:
        raise UpdateError(
            f"{path}.state: must be ready, draining or gone, not {str(entry['state'])[:40]!r}"
        ) from None
    return server_from_fields(entry, path, address, "online_since_ms", state)


def server_from_fields(
    entry: dict[str, Any], path: str, address: str, start_field: str, state: interface.State
) -> interface.Server:
    """Returns a server from the fields that all sources share. ``start_field`` names the field with the time of its
    start. Raises UpdateError."""
    cell = entry.get("cell", 0)
    if type(cell) is not int or cell < 0:
        raise UpdateError(f"{path}.cell: must be an integer of at least 0")
    return interface.Server(
        address=address,
        zone=text_field(entry, "zone", path, ""),
        cell=cell,
        online_since_ms=number_field(entry, start_field, path, 0.0),
        weight=number_field(entry, "weight", path, 1.0),
        kind=text_field(entry, "kind", path, ""),
        state=state,
    )


def split_host_port(address: str) -> tuple[str, int]:
    """Returns the host, without the brackets of IPv6, and the port of ``host:port``; ("", 0) if it is malformed."""
    host, _, port = address.rpartition(":")
    # isdigit() accepts other Unicode digits too, and int() raises ValueError for a few of them.
    valid = host and port.isascii() and port.isdigit() and int(port) < 65536
    return (host.strip("[]"), int(port)) if valid else ("", 0)


def parse_servers(entries: Any, path: str = "servers") -> tuple[interface.Server, ...]:
    """Checks all entries of a list; each address may occur once. Raises UpdateError."""
    if not isinstance(entries, list):
        raise UpdateError(f"{path}: must be an array")
    if len(entries) > MAX_SERVERS:
        raise UpdateError(f"{path}: must have at most {MAX_SERVERS} entries")
    servers = tuple(parse_server(entry, f"{path}[{index}]") for index, entry in enumerate(entries))
    addresses: set[str] = set()
    for index, server in enumerate(servers):
        if server.address in addresses:
            raise UpdateError(f"{path}[{index}].address: duplicate address {server.address}")
        addresses.add(server.address)
    return servers


def server_to_entry(server: interface.Server) -> dict[str, Any]:
    """Returns a server as the entry that ``parse_server`` reads."""
    return {
        "address": server.address, "zone": server.zone, "cell": server.cell,
        "online_since_ms": server.online_since_ms, "weight": server.weight, "kind": server.kind,
        "state": server.state.value,
    }  # fmt: skip


def apply_update(current: dict[str, interface.Server], update: Update) -> dict[str, interface.Server]:
    """Returns the servers by address after an update; a failed one changes nothing."""
    if update.scope is interface.Scope.FAILED:
        return current
    updated = dict(current) if update.scope is interface.Scope.DELTA else {}
    for server in update.servers:
        if server.state is interface.State.GONE:
            updated.pop(server.address, None)
        else:
            updated[server.address] = server
    return updated


def text_field(entry: dict[str, Any], name: str, path: str, default: str | None = None) -> str:
    """Returns a field with text, which may be empty only if there is a default. Raises UpdateError."""
    value = entry.get(name, default)
    if type(value) is not str or len(value) > MAX_TEXT_LENGTH or (default is None and not value):
        raise UpdateError(f"{path}.{name}: must be text of at most {MAX_TEXT_LENGTH} characters")
    return value


def number_field(entry: dict[str, Any], name: str, path: str, default: float) -> float:
    """Returns a field with a number from 0 to below 1e15. Raises UpdateError."""
    value = entry.get(name, default)
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value < 1e15:
        raise UpdateError(f"{path}.{name}: must be a number of at least 0")
    return float(value)
