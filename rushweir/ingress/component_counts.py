"""What the components of an ingress counted since its start, for the log, the metrics and the operators."""

from __future__ import annotations

from typing import Any

from rushweir.ingress.core import Core


def counts_by_component(core: Core) -> dict[str, Any]:
    """Counts since the start, by component; the last seven are present numbers."""
    return {
        "engine": dict(core.engine.counts), "refusals": dict(core.engine.refusals),
        "core": dict(core.counts), "pool": dict(core.pool.counts),
        "peers": dict(core.peers.counts) if core.peers else {},
        "list": dict(core.list.counts) if core.list else {},
        "counter": dict(core.counter.counts) if core.counter else {},
        "faults": core.engine.faults, "owed": core.engine.ledger.unanswered, "clients": len(core.clients.open),
        "entries": len(core.engine.ledger.entries), "timers": len(core.engine.timers),
        "links": len(core.pool.links), "held_bytes": core.memory.held_bytes,
    }  # fmt: skip
