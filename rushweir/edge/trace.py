"""Trace lines with the state of the ingress, to compare with what passed on its sockets. Off by default.

EDGE_TRACE=1 in the environment writes one line a second: in-flight capacity and its use, request lengths, health and
load of each backend, results and refusals since the previous line, CPU time.
"""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from rushweir.ingress.component_counts import counts_by_component
from rushweir.ingress.core import Core
from rushweir.policy import Policy

COUNT_PREFIXES = {
    "engine": "",
    "refusals": "no_",
    "pool": "pool_",
    "core": "core_",
    "peers": "peers_",
}  # prefixes in ``since`` by component


class Trace:
    """Formats trace lines, and stores the counts of the last one."""

    def __init__(self, core: Core) -> None:
        """``core`` must use rushweir's own ``Policy``."""
        self.core, self.last, self.cpu = core, Counter[str](), time.process_time()

    def line(self, now: float) -> dict[str, Any]:
        """Returns the fields of the next line; ``now`` in milliseconds."""
        core, policy, component_counts = self.core, self.core.engine.policy, counts_by_component(self.core)
        assert isinstance(policy, Policy)
        capacity, server_pool = policy.capacity, policy.server_pool
        counts = Counter(
            {
                prefix + name: count
                for component, prefix in COUNT_PREFIXES.items()
                for name, count in component_counts[component].items()
            }
        )
        cpu = time.process_time()
        since, self.last, spent, self.cpu = counts - self.last, counts, cpu - self.cpu, cpu
        return {
            "cpu_ms": round(spent * 1000), "late_ms": round(core.load_shedder.delay_ms, 1), "since": dict(since),
            "room": [round(sum(capacity.partitions.sizes), 2), round(sum(capacity.partitions.used), 2)],
            "pressed": capacity.under_pressure(now),
            "credit": round(capacity.credit), "done_per_s": round(capacity.finished.per_s(now), 1),
            "lengths": {name: round(length.value) for name, length in capacity.lengths.items()},
            "median": round(capacity.median_ratio, 2), "owed": component_counts["owed"],
            "clients": component_counts["clients"], "links": component_counts["links"],
            "held_bytes": component_counts["held_bytes"],
            "customers": len(policy.quota.customers), "held": len(policy.quota.held_requests),
            "mail": sum(map(len, policy.quota.outbox.waiting.values())),
            "backends": {
                server.entry.address: [
                    len(server.in_flight), round(server.relative_latency, 2),
                    round(server.health[0].failure_rate(now), 2), server.entry.state.value,
                ]
                for server in server_pool.servers.values()
            },
        }  # fmt: skip
