"""The request path: a real ingress beside a bare relay in one run, at 143 requests a second, by the list's length."""

from __future__ import annotations

import asyncio
import signal
import statistics
from collections.abc import Iterator
from typing import Any

from rushweir.lab.bench import Bench
from rushweir.lab.scale.samples import Role, Sample

PER_S, WARM_S, SECONDS, ROUNDS = 143.0, 2.0, 6.0, 2


async def driven(backends: int) -> dict[str, list[dict[str, Any]]]:
    """The relay and the ingress in turns, at the same pace, before the same backends."""
    runs: dict[str, list[dict[str, Any]]] = {"ingress": [], "relay": []}
    async with Bench(backends) as bench:
        relay, url = await bench.relay()
        try:
            await bench.load(bench.pid, bench.url, PER_S, WARM_S)  # the room is learnt from what was finished
            for _ in range(ROUNDS):
                runs["relay"].append(await bench.load(relay.pid, url, PER_S, SECONDS))
                runs["ingress"].append(await bench.load(bench.pid, bench.url, PER_S, SECONDS))
        finally:
            relay.send_signal(signal.SIGTERM)
            await relay.wait()
    return runs


def path(size: int) -> Iterator[Sample]:
    """What 99 in 100 requests take at most through each, and the processor time of one; in turns, the medians."""
    runs = asyncio.run(driven(size))
    role, by, seconds = "request_path", "backends", SECONDS * ROUNDS
    p99 = {side: statistics.median(r["p99_ms"] for r in runs[side]) for side in runs}
    used = {side: statistics.median(r["cpu_us"] for r in runs[side]) for side in runs}
    lost = sum(r["asked"] - r.get("served", 0) for r in runs["ingress"])
    for figure, unit, value in (
        ("added_p99", "ms", max(0.0, p99["ingress"] - p99["relay"])),
        ("p99", "ms", p99["ingress"]),
        ("relay_p99", "ms", p99["relay"]),
        ("cpu", "us", used["ingress"]),
        ("relay_cpu", "us", used["relay"]),
        ("not_served_share", "1", lost / sum(r["asked"] for r in runs["ingress"])),
    ):
        yield Sample(role, figure, unit, by, size, value, "real", seconds)


ROLES = (
    Role("request_path", "A real ingress beside a bare relay", "backends", (100, 1_000, 3_000, 7_600), path),
)
