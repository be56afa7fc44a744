"""The copy of the node list that an ingress saves on disk and loads when it starts. Bytes in and out; no I/O here.

The file is one JSON object: the format, the time of writing, the servers as listed, a digest over them, and the
addresses that operators drained by hand, since a restart must not put a node to work that is under repair. A file
that is truncated, of another format or altered is refused with the reason, and the ingress starts without a list.
"""

from __future__ import annotations

from hashlib import blake2b

import orjson

from rushweir import interface
from rushweir.discovery.source import UpdateError, parse_servers, server_to_entry

FORMAT = 2


def _digest(entries: bytes, drained_by_hand: bytes) -> str:
    return blake2b(entries + drained_by_hand, digest_size=16).hexdigest()


def dump(listed: dict[str, interface.Server], drained_by_hand: set[str], written_ms: float) -> bytes:
    """Returns the contents of the file. ``listed``: the servers by address; ``written_ms``: the time of writing."""
    entries = orjson.dumps([server_to_entry(server) for server in listed.values()])
    addresses = orjson.dumps(sorted(drained_by_hand))
    head = {"format": FORMAT, "written_ms": written_ms, "digest": _digest(entries, addresses)}
    return orjson.dumps({**head, "by_hand": orjson.Fragment(addresses), "servers": orjson.Fragment(entries)})


def load(data: bytes) -> tuple[tuple[interface.Server, ...], set[str]]:
    """Returns the servers of a saved list and the addresses drained by hand. Raises UpdateError."""
    try:
        saved = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise UpdateError(f"saved list: not JSON ({str(problem)[:100]})") from None
    if not isinstance(saved, dict) or saved.get("format") != FORMAT:
        raise UpdateError(f"saved list: format must be {FORMAT}")
    drained_by_hand = saved.get("by_hand", [])
    if saved.get("digest") != _digest(orjson.dumps(saved.get("servers")), orjson.dumps(drained_by_hand)):
        raise UpdateError("saved list: digest does not match the servers")
    if not isinstance(drained_by_hand, list) or not all(isinstance(address, str) for address in drained_by_hand):
        raise UpdateError("saved list: by_hand: must be an array of addresses")
    servers = parse_servers(saved["servers"])
    return servers, {server.address for server in servers} & set(drained_by_hand)
