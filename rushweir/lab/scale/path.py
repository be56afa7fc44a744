"""A request's path through one real ingress, beside the bare relay in the same run, as its list of nodes grows.

Nodes answer at once, so that what is added shows; requests come at the rate that one ingress of 700 has at the peak.
The nodes are real listening addresses: with a long list most requests open a connection, which is a part of the cost.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from rushweir.fronts.credentials import digest, new_credential
from rushweir.lab.scale import bounds
from rushweir.lab.scale.children import Child, ChildFailed, Children
from rushweir.lab.scale.samples import Role, Sample
from rushweir.lab.scale.scene import ZONES
from rushweir.lab.stage import LISTENS

SIZES, BY = (100, 1_000, 4_000, 7_600), "backends"
PER_S, CLIENTS, WARM_S, RUN_S = 143.0, 20, 4.0, 8.0
NODES_IN_PROCESS = 2_000
METHOD, ROLE = "look", "request"


def settings_text(list_url: str, known: str) -> str:
    """One ingress alone, and one tenant who may do all."""
    return f"""ingress 0 1
zone a
listen 127.0.0.1:0
path /dispatch
state state
list {{
    url {list_url}
}}
control {{
    socket control.sock
}}
class {METHOD} {{
    aim 300ms
    deadline 2000ms
    repeat safe
}}
plan wide {{
    rate 1000000/s
    burst 1000000
}}
partner one {{
    plan wide
    credential {known}
}}
"""


async def real_one(children: Children, folder: Path, text: str) -> tuple[Child, str]:
    """A real ingress with settings of its own, and where clients reach it. Raises ChildFailed."""
    file = folder / "ingress.conf"
    file.write_text(text)
    listens: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    first = {"files": [str(file)], "errors": str(folder / "errors.txt")}
    child = await children.start("reals", first, lambda told: listens.set_result(told["listens"]))
    found = LISTENS.search(await asyncio.wait_for(listens, 60.0))
    if found is None:
        raise ChildFailed(f"the real ingress did not start: {(folder / 'errors.txt').read_text()[-300:]}")
    return child, found[2]


async def nodes_and_list(children: Children, count: int) -> tuple[list[str], Child]:
    """So many nodes that answer at once, and the list that has them."""
    parts = [min(NODES_IN_PROCESS, count - k) for k in range(0, count, NODES_IN_PROCESS)]
    first = {"seed": 1, "work_ms": 0.0}
    started = await asyncio.gather(*(children.start("backends", {**first, "count": n}) for n in parts))
    addresses = [a for child in started for a in child.ready]
    return addresses, await children.start("listing", {"servers": addresses, "zones": ZONES})


async def _measure(count: int) -> list[Sample]:
    credential, out = new_credential(), []
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as name:
        async with Children() as children:
            addresses, listing = await nodes_and_list(children, count)
            text = settings_text(f"ws://127.0.0.1:{listing.ready}/list", digest(credential))
            ingress, place = await real_one(children, Path(name), text)
            relay = await children.start("relay", {"node": addresses[0]})
            clients = await children.start("driver", {})

            async def run(where: str, seconds: float) -> dict:
                return await clients.ask(
                    "drive", url=where, credential=credential, per_s=PER_S, seconds=seconds, clients=CLIENTS,
                    method=METHOD,
                )  # fmt: skip

            await run(place, WARM_S)
            told = {}
            relay_place = f"ws://127.0.0.1:{relay.ready}/"
            for side, child, where in (("relay", relay, relay_place), ("ingress", ingress, place)):
                before = await child.ask("read")
                told[side] = t = await run(where, RUN_S)
                after = await child.ask("read")
                t["cpu_s"] = _cpu(after) - _cpu(before)
            process = after["processes"][0]
    for side, t in told.items():
        for figure, unit, value in (
            ("cpu", "us", t["cpu_s"] * 1e6 / t["asked"]), ("p50", "ms", t["p50_ms"]), ("p99", "ms", t["p99_ms"]),
            ("served", "1", t.get("served", 0) / t["asked"]),
        ):  # fmt: skip
            out.append(_sample(f"{side}_{figure}", unit, count, value))
    for figure in ("p50", "p99"):
        added = told["ingress"][f"{figure}_ms"] - told["relay"][f"{figure}_ms"]
        out.append(_sample(f"added_{figure}", "ms", count, added))
    out.append(_sample("descriptors", "1", count, process["fds"]))
    out.append(_sample("memory", "KiB", count, process["rss_kb"]))
    return out


def _cpu(told: dict) -> float:
    return told["cpu_s"] if "cpu_s" in told else told["processes"][0]["cpu_s"]


def _sample(figure: str, unit: str, size: int, value: float) -> Sample:
    return Sample(ROLE, figure, unit, BY, size, value, "real", RUN_S)


def need(_: str, count: int) -> bounds.Need:
    parts = -(-count // NODES_IN_PROCESS)
    return bounds.Need(
        (parts + 5) * bounds.WORKER_MB + 2 * count * bounds.BACKEND_KB / 1024,
        2 * min(count, NODES_IN_PROCESS) + int(2 * PER_S * (WARM_S + RUN_S)) + bounds.SPARE_FDS, parts + 6,
    )  # fmt: skip


def measure(count: int) -> list[Sample]:
    """Raises DoesNotFit, ChildFailed."""
    bounds.fits(need(ROLE, count), bounds.this_machine())
    return asyncio.run(_measure(count))


ROLES = (Role(ROLE, "A request through a real ingress, beside the bare relay", BY, SIZES, measure),)
