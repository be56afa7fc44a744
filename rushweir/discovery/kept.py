"""The last list, as kept on disk between two lives of an ingress. Bytes in and out; no I/O here.

One JSON object: format, version, when it was written, the servers, and a digest over them. A file that is torn,
of another format or altered is refused with the reason, and the ingress starts without a list."""

from __future__ import annotations

from hashlib import blake2b

import orjson

from rushweir import interface as i
from rushweir.discovery.source import UpdateError, as_entry, servers

FORMAT = 1


def _digest(entries: bytes) -> str:
    return blake2b(entries, digest_size=16).hexdigest()


def dump(held: dict[str, i.Server], written_ms: float) -> bytes:
    entries = orjson.dumps([as_entry(s) for s in held.values()])
    head = {"format": FORMAT, "written_ms": written_ms, "digest": _digest(entries)}
    return orjson.dumps({**head, "servers": orjson.Fragment(entries)})


def load(data: bytes) -> tuple[i.Server, ...]:
    """The servers of a kept list. Raises UpdateError."""
    try:
        kept = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise UpdateError(f"kept list: not JSON ({str(problem)[:100]})") from None
    if not isinstance(kept, dict) or kept.get("format") != FORMAT:
        raise UpdateError(f"kept list: format {FORMAT} is wanted")
    if kept.get("digest") != _digest(orjson.dumps(kept.get("servers"))):
        raise UpdateError("kept list: the digest does not fit the servers")
    return servers(kept["servers"])
