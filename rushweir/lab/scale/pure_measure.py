"""How the pure roles measure: processor time of calls, memory of what is built, and what a fresh process says.

Processor time is ``time.process_time``: a busy machine hurts it less than a clock on the wall. Of several repeats the
median counts; the runner takes the sizes of these roles in turn, several times over (order.py). Memory is what Python
allocated, which no busy machine changes: it is counted, beside others.
"""

from __future__ import annotations

import gc
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import orjson

from rushweir.lab.scale.samples import Role

ROLES: tuple[Role, ...] = ()  # none of its own
ENOUGH_S = 0.3  # of processor time, of one work in one round
CHILD_S = 300.0  # a child that takes longer is ended


def cpu(work: Callable[[], Any], repeats: int = 3) -> float:
    """Median of the processor time of a call, in seconds. The collector waits meanwhile. What has taken long is not
    repeated at once: the next round comes to it."""
    spent: list[float] = []
    while len(spent) < repeats and sum(spent) < ENOUGH_S:
        gc.collect()
        gc.disable()
        try:
            began = time.process_time()
            work()
            spent.append(time.process_time() - began)
        finally:
            gc.enable()
    return statistics.median(spent)


def traced(build: Callable[[], Any]) -> tuple[Any, int]:
    """What a call builds, and the bytes that Python allocated for it and still holds."""
    gc.collect()
    tracemalloc.start()
    try:
        made = build()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def resident(pid: str | int = "self") -> int:
    """Bytes of memory that a process has in use. Raises OSError for one that is gone."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    raise OSError(f"process {pid} tells no memory")


def child(module: str, *arguments: str) -> dict[str, Any]:
    """The one line of JSON that a module says, run in a process of its own. Raises RuntimeError where it fails."""
    done = subprocess.run(
        [sys.executable, "-m", module, *arguments], capture_output=True, timeout=CHILD_S, check=False
    )
    if done.returncode:
        raise RuntimeError(f"{module}: {done.stderr.decode()[-400:]}")
    return orjson.loads(done.stdout)
