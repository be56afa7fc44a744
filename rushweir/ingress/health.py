"""The health page of an ingress, for the front that brings clients in."""

from __future__ import annotations

from typing import Any

from rushweir import interface
from rushweir.ingress.core import Core


def health(core: Core) -> tuple[int, dict[str, Any]]:
    """Returns status code and body of the health page: whether this ingress can serve, and why not."""
    ready = sum(s.state is interface.State.READY for s in core.nodes.effective.values())
    reason = "stopping" if core.stopping or core.draining else "no nodes" if not ready else ""
    page = {
        "status": "ok" if not reason else "unready", "why": reason, "ingress": core.setup.settings.gateway,
        "nodes_ready": ready, "open_requests": core.engine.ledger.unanswered, "clients": len(core.clients.open),
    }  # fmt: skip
    return (503 if reason else 200), page
