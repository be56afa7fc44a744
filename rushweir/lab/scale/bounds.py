"""Whether a run fits this machine: under half of its memory, a few hundred processes, the descriptors allowed."""

from __future__ import annotations

import os
import platform
import resource
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rushweir.lab.scale.scene import Scene

MEMORY_PART = 0.5  # of the machine's, at most
MOST_PROCESSES = 300
# What is reckoned with, above what was measured: docs/laboratory.md.
HOLLOW_MB, HOLLOW_TENANT_KB, REAL_MB, REAL_TENANT_KB, WORKER_MB, BACKEND_KB = 3.0, 1.5, 90.0, 16.0, 110.0, 40.0
HOLLOW_FDS, SPARE_FDS = 8, 100
CLIENTS_S = 40.0  # for which requests may come, each by another tenant's connection
LEAST_IN_PROCESS = 8  # hollow ingresses, before a further process is started for them


class DoesNotFit(ValueError):
    """A size asked for is too large for this machine."""


@dataclass(frozen=True, slots=True)
class Machine:
    cores: int
    memory_mb: float
    free_mb: float
    descriptors: int  # that one process may have
    processes: int  # that this user may have


@dataclass(frozen=True, slots=True)
class Need:
    memory_mb: float
    descriptors: int  # of the process that has most
    processes: int


def this_machine() -> Machine:
    lines = dict(x.split(":", 1) for x in Path("/proc/meminfo").read_text().splitlines())
    memory = {k: int(v.split()[0]) / 1024 for k, v in lines.items() if v.split()}
    descriptors, processes = (resource.getrlimit(x)[0] for x in (resource.RLIMIT_NOFILE, resource.RLIMIT_NPROC))
    return Machine(
        len(os.sched_getaffinity(0)), memory["MemTotal"], memory["MemAvailable"],
        1 << 30 if descriptors == resource.RLIM_INFINITY else descriptors,
        1 << 30 if processes == resource.RLIM_INFINITY else processes,
    )  # fmt: skip


def facts() -> dict[str, Any]:
    """The machine, for the file of samples."""
    m = this_machine()
    return {
        "cores": m.cores, "memory": f"{m.memory_mb / 1024:.1f} GiB", "python": platform.python_version(),
        "system": f"{platform.system()} {platform.release()} {platform.machine()}",
    }  # fmt: skip


def workers(scene: Scene, cores: int) -> int:
    """Processes that hollow ingresses are spread over; one core is left to the list, clients and real ones."""
    return max(1, min(max(1, cores - 1), scene.hollow // LEAST_IN_PROCESS))


def need_of(scene: Scene, cores: int) -> Need:
    """What a run of a scene takes, generously."""
    count, tenants = workers(scene, cores), scene.customers()
    memory = scene.hollow * (HOLLOW_MB + HOLLOW_TENANT_KB * tenants / 1024) + scene.backends * BACKEND_KB / 1024
    memory += scene.real * (REAL_MB + REAL_TENANT_KB * tenants / 1024)
    memory += count * (WORKER_MB + REAL_TENANT_KB * tenants / 1024) + 3 * WORKER_MB
    clients = scene.real * min(tenants, int(scene.per_s * CLIENTS_S))
    nodes = scene.backends * (1 + scene.real)
    fds = max(-(-scene.hollow // count) * HOLLOW_FDS, scene.members, clients, nodes) + SPARE_FDS
    return Need(memory, fds, count + scene.real + 5)


def fits(need: Need, machine: Machine) -> None:
    """Raises DoesNotFit, with a line that says what is short."""
    allowed = min(machine.memory_mb * MEMORY_PART, machine.free_mb)
    if need.memory_mb > allowed:
        raise DoesNotFit(
            f"{need.memory_mb / 1024:.1f} GiB of memory needed, {allowed / 1024:.1f} allowed: "
            f"what is free, and at most half of the machine's"
        )
    if need.descriptors > machine.descriptors:
        short = f"ulimit -n allows {machine.descriptors}"
        raise DoesNotFit(f"{need.descriptors} descriptors needed in a process, {short}")
    most = min(MOST_PROCESSES, machine.processes)
    if need.processes > most:
        raise DoesNotFit(f"{need.processes} processes needed, {most} allowed")
