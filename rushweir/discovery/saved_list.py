"""The last list, as kept on disk between two lives of an ingress. Bytes in and out; no I/O here.

One JSON object: format, when it was written, the servers as listed, a digest over them, and the addresses that
operators drained by hand: a restart must not put a node to work that somebody is repairing. A file that is torn,
of another format or altered is refused with the reason, and the ingress starts without a list."""

from __future__ import annotations

from hashlib import blake2b

import orjson

from rushweir import interface as i
from rushweir.discovery.source import UpdateError, server_to_entry, servers

FORMAT = 2


def _digest(entries: bytes, by_hand: bytes) -> str:
    return blake2b(entries + by_hand, digest_size=16).hexdigest()


def dump(listed: dict[str, i.Server], by_hand: set[str], written_ms: float) -> bytes:
    entries = orjson.dumps([server_to_entry(s) for s in listed.values()])
    hand = orjson.dumps(sorted(by_hand))
    head = {"format": FORMAT, "written_ms": written_ms, "digest": _digest(entries, hand)}
    return orjson.dumps({**head, "by_hand": orjson.Fragment(hand), "servers": orjson.Fragment(entries)})


def load(data: bytes) -> tuple[tuple[i.Server, ...], set[str]]:
    """The servers of a kept list, and the addresses drained by hand. Raises UpdateError."""
    try:
        kept = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise UpdateError(f"kept list: not JSON ({str(problem)[:100]})") from None
    if not isinstance(kept, dict) or kept.get("format") != FORMAT:
        raise UpdateError(f"kept list: format {FORMAT} is wanted")
    by_hand = kept.get("by_hand", [])
    if kept.get("digest") != _digest(orjson.dumps(kept.get("servers")), orjson.dumps(by_hand)):
        raise UpdateError("kept list: the digest does not fit the servers")
    if not isinstance(by_hand, list) or not all(isinstance(a, str) for a in by_hand):
        raise UpdateError("kept list: by_hand: an array of addresses")
    found = servers(kept["servers"])
    return found, {s.address for s in found} & set(by_hand)
