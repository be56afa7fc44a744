"""What the ingress believes, once a second, for whoever compares it with what passed on the sockets. Off by default.

Set EDGE_TRACE=1 in the environment of ``run``. The lines name what the module holds: room and its use, lengths,
health and load of each backend, ends and refusals since the last line, CPU.
"""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from rushweir.ingress.core import Core
from rushweir.policy import Policy

PARTS = {"engine": "", "refusals": "no_", "pool": "pool_", "core": "core_", "peers": "peers_"}  # and their prefixes


class Trace:
    def __init__(self, core: Core) -> None:
        """Of a core that the module's own Policy decides for."""
        self.core, self.last, self.cpu = core, Counter[str](), time.process_time()

    def line(self, now: float) -> dict[str, Any]:
        core, policy, figures = self.core, self.core.engine.policy, self.core.counts_by_component()
        assert isinstance(policy, Policy)
        room, fleet = policy.capacity, policy.server_pool
        counts = Counter({prefix + k: n for part, prefix in PARTS.items() for k, n in figures[part].items()})
        cpu = time.process_time()
        since, self.last, spent, self.cpu = counts - self.last, counts, cpu - self.cpu, cpu
        return {
            "cpu_ms": round(spent * 1000), "late_ms": round(core.load_shedder.delay_ms, 1), "since": dict(since),
            "room": [round(sum(room.partitions.sizes), 2), round(sum(room.partitions.used), 2)],
            "pressed": room.under_pressure(now),
            "credit": round(room.credit), "done_per_s": round(room.finished.per_s(now), 1),
            "lengths": {n: round(m.value) for n, m in room.lengths.items()}, "median": round(room.median_ratio, 2),
            "owed": figures["owed"], "clients": figures["clients"], "links": figures["links"],
            "customers": len(policy.quota.customers), "held": len(policy.quota.held_requests),
            "mail": sum(map(len, policy.quota.outbox.waiting.values())),
            "backends": {
                b.entry.address: [
                    len(b.in_flight), round(b.relative_latency, 2), round(b.health[0].failure_rate(now), 2),
                    b.entry.state.value,
                ]
                for b in fleet.servers.values()
            },
        }  # fmt: skip
