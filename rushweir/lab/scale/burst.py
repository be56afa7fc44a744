"""A burst of changed settings at one real ingress, by the way that there is: the file, and reading all of it again.

Each change gives one of the tenants another plan; the next is made as soon as the one before is in force. Requests go
on meanwhile, beside as many seconds without a change.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from rushweir.cli.ask import Daemon
from rushweir.fronts.credentials import digest, new_credential
from rushweir.lab.scale import bounds
from rushweir.lab.scale.children import Children
from rushweir.lab.scale.path import METHOD, nodes_and_list, real_one, settings_text
from rushweir.lab.scale.samples import Role, Sample

SIZES, BY, ROLE = (1, 2, 4, 8), "changes at once", "settings_burst"
TENANTS, NODES, PER_S, CLIENTS, RUN_S = 1_000, 50, 50.0, 10, 5.0


def tenants_text(moved: int) -> str:
    """Tenants of whom the first so many have another plan."""
    out = ["plan other {", "    rate 5/s", "    burst 9", "}"]
    for k in range(TENANTS):
        plan = "other" if k < moved else "wide"
        out += [f"partner tenant-{k} {{", f"    plan {plan}", f"    credential {digest(f'tenant-{k}')}", "}"]
    return "\n".join(out) + "\n"


def reload(path: Path) -> int:
    """Tell an ingress to read its settings again; how many of them changed. Raises NoDaemon, Refused."""
    daemon = Daemon(path)
    try:
        return len(daemon.ask("reload")["changes"])
    finally:
        daemon.close()


async def _measure(count: int) -> list[Sample]:
    credential = new_credential()
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as name:
        folder = Path(name)
        async with Children() as children:
            _, listing = await nodes_and_list(children, NODES)
            head = settings_text(f"ws://127.0.0.1:{listing.ready}/list", digest(credential))
            ingress, place = await real_one(children, folder, head + tenants_text(0))
            clients = await children.start("driver", {})

            async def run() -> dict:
                return await clients.ask(
                    "drive", url=place, credential=credential, per_s=PER_S, seconds=RUN_S, clients=CLIENTS,
                    method=METHOD,
                )  # fmt: skip

            async def read() -> dict:
                return (await ingress.ask("read"))["processes"][0]

            before = await read()
            calm = await run()
            between = await read()
            busy = asyncio.create_task(run())
            began, changed = time.monotonic(), 0
            for n in range(count):
                (folder / "ingress.conf").write_text(head + tenants_text(n + 1))
                changed += await asyncio.to_thread(reload, folder / "control.sock")
            took = time.monotonic() - began
            meanwhile = await busy
            after = await read()
    used = (after["cpu_s"] - between["cpu_s"]) - (between["cpu_s"] - before["cpu_s"])
    return [
        Sample(ROLE, figure, unit, BY, count, value, "real", RUN_S)
        for figure, unit, value in (
            ("cpu_of_one_change", "ms", used * 1000 / count),
            ("last_in_force", "s", took),
            ("changes_taken", "1", changed),
            ("memory_more", "KiB", after["rss_kb"] - between["rss_kb"]),
            ("served_calm", "1", calm.get("served", 0) / calm["asked"]),
            ("served_meanwhile", "1", meanwhile.get("served", 0) / meanwhile["asked"]),
            ("p99_calm", "ms", calm["p99_ms"]),
            ("p99_meanwhile", "ms", meanwhile["p99_ms"]),
        )
    ]


def need(_: str, count: int) -> bounds.Need:
    memory = 5 * bounds.WORKER_MB + TENANTS * bounds.REAL_TENANT_KB / 1024
    return bounds.Need(memory, 2 * NODES + bounds.SPARE_FDS, 6)


def measure(count: int) -> list[Sample]:
    """Raises DoesNotFit, ChildFailed."""
    bounds.fits(need(ROLE, count), bounds.this_machine())
    return asyncio.run(_measure(count))


ROLES = (Role(ROLE, "A burst of changed settings, each read with all others, 1,000 tenants", BY, SIZES, measure),)
