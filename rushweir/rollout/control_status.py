"""The status row of a control process, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rushweir.rollout.election import FOLLOWER, LEADER, NOBODY

if TYPE_CHECKING:
    from rushweir.rollout.control import Control


def status_row(control: Control, now: float) -> dict[str, Any]:
    """The status row; its keys are the outer names."""
    role = control.election.role
    return {
        "me": control.me, "count": control.count, "role": "outdated" if control.outdated else role,
        "leader": control.leader, "term": control.term, "number": control.version,
        "floor": control.snapshot_version, "objects": len(control.objects), "bytes": control.object_bytes,
        "entries": len(control.log.entries), "waiting": len(control.proposals.pending),
        # Whether a change can be made from here: it leads with a majority, or heard from a leader lately.
        "majority": not control.outdated and (role is LEADER or (role is FOLLOWER and control.leader != NOBODY and (
            now - control.election.last_heard_at < control.timing.election_timeout_ms))),
        "peers": [{"process": k, "match": p.match_index, "heard_ms": round(now - p.last_heard_at)}
                  for k, p in control.peers.items()],
    }  # fmt: skip
