"""Settings by partners: read alone in a fresh process, and in a real ``rushweir serve`` that is told of one change.

python -m rushweir.lab.scale.pure_settings FILE      what reading FILE costs, as a line of JSON
"""

from __future__ import annotations

import json
import os
import selectors
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from functools import cache
from hashlib import sha256
from pathlib import Path
from typing import Any

import orjson

from rushweir.cli.ask import Daemon
from rushweir.lab.scale.pure_measure import child, resident
from rushweir.lab.scale.samples import Role, Sample
from rushweir.lab.stage import LISTENS, free_port

FEW = 10  # partners of the settings that the others are compared with
START_S, RELOAD_S, END_S = 60.0, 120.0, 15.0
STEP_S = 0.02  # how often a process is looked at
HEAD = """\
ingress 0 1
zone a
listen 127.0.0.1:{port}
path /dispatch
state {state}
control {{
    socket {state}.sock
}}
list {{
    url ws://127.0.0.1:{list}/list
}}
limits {{
    attempts 3
    retry-after 500ms
}}
class quick {{
    aim 800ms
    deadline 3s
    repeat safe
}}
class usual {{
    aim 1200ms
    deadline 3s
    worth 5
}}
"""
PLAN = "plan plan{k} {{\n    rate {rate}/s\n    burst {rate}\n}}\n"
PARTNER = "partner partner{k:05d} {{\n    plan plan{plan}\n    credential sha256:{digest}\n}}\n"
PLANS = 20


def settings_text(partners: int, port: int = 0, listed: int = 1, state: str = "run", changed: bool = False) -> str:
    """Settings of one ingress with so many partners; ``changed``: the last one has another plan."""
    out = [HEAD.format(port=port, list=listed, state=state)]
    out += [PLAN.format(k=k, rate=10 + 5 * k) for k in range(PLANS)]
    for k in range(partners):
        plan = (k + (changed and k == partners - 1)) % PLANS
        out.append(PARTNER.format(k=k, plan=plan, digest=sha256(b"%d" % k).hexdigest()))
    return "".join(out)


def read_cost(file: Path) -> dict[str, float]:
    """Processor time and memory that reading a file and making all of it costs, beside a small one read before."""
    from rushweir.config import load, load_text

    # Grammar, models and their tables are in memory by then.
    load_text(settings_text(FEW), "few.conf", file.parent).setup(1, "x-")
    memory, began = resident(), time.process_time()
    config = load(file)
    read = time.process_time() - began
    kept = config.setup(1, "x-")
    made = time.process_time() - began
    return {"read_s": read, "made_s": made, "bytes": resident() - memory, "partners": len(kept.credentials.by_digest)}


def alone(size: int) -> Iterator[Sample]:
    """Settings read in a fresh process that serves nothing."""
    role, by = "settings_alone", "partners"
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as folder:
        file = Path(folder, "main.conf")
        file.write_text(settings_text(size))
        told = child("rushweir.lab.scale.pure_settings", str(file))
        length = file.stat().st_size
    yield Sample(role, "cpu_to_read", "s", by, size, told["made_s"], "core")
    yield Sample(role, "memory", "MB", by, size, told["bytes"] / 1e6, "core")
    yield Sample(role, "bytes_of_the_file", "KB", by, size, length / 1e3, "core")


class Served:
    """A real ingress as a process, alone, kept by a worker of the scale run: it ends when that one's input does, so
    also where this process was killed."""

    def __init__(self, folder: Path, partners: int) -> None:
        self.file, self.partners, self.port = folder / "main.conf", partners, free_port()
        self.listed, self.control = free_port(), folder / "run.sock"
        self.write(False)
        errors = folder / "errors.txt"
        self.keeper = subprocess.Popen(
            [sys.executable, "-m", "rushweir.lab.scale.worker", "reals"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, bufsize=0,  # so that no line lies read where nobody looks
        )  # fmt: skip
        self.keeper.stdin.write(orjson.dumps({"files": [str(self.file)], "errors": str(errors)}) + b"\n")
        self.pid = self._told().get("ready", [0])[0]
        if not LISTENS.search(self._told().get("listens", "")):
            self.end()
            why = errors.read_text()[-400:] if errors.exists() else "its keeper ended"
            raise RuntimeError(f"the ingress did not start: {why}")

    def write(self, changed: bool) -> None:
        self.file.write_text(settings_text(self.partners, self.port, self.listed, changed=changed))

    def _told(self) -> dict[str, Any]:
        """The next line of its keeper, or nothing."""
        with selectors.DefaultSelector() as waits:
            waits.register(self.keeper.stdout, selectors.EVENT_READ)
            line = self.keeper.stdout.readline() if waits.select(START_S) else b""
        return orjson.loads(line) if line else {}

    def cpu(self) -> float:
        """Seconds of processor time that the process has spent so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def changed(self) -> tuple[float, float]:
        """One partner's plan changed, and SIGHUP: processor time until it is applied, and time on the wall."""
        self.write(True)
        before, began = self.cpu(), time.monotonic()
        daemon = Daemon(self.control, RELOAD_S)
        try:
            was = daemon.ask("status")["reloaded_ms"]
            assert was is None, was
            os.kill(self.pid, signal.SIGHUP)
            while time.monotonic() - began < RELOAD_S:
                if daemon.ask("status")["reloaded_ms"] is not None:
                    return self.cpu() - before, time.monotonic() - began
                time.sleep(STEP_S)
        finally:
            daemon.close()
        raise RuntimeError("the ingress did not take the change")

    def end(self) -> None:
        """Its keeper ends it, by force if it must."""
        self.keeper.stdin.close()
        try:
            self.keeper.wait(END_S)
        except subprocess.TimeoutExpired:
            self.keeper.kill()
            self.keeper.wait()
        self.keeper.stdout.close()


def _served(size: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as folder:
        one = Served(Path(folder), size)
        try:
            memory = resident(one.pid)
            cpu, took = one.changed()
            return {"memory": memory, "after": resident(one.pid), "cpu": cpu, "took": took}
        finally:
            one.end()


@cache
def few_served() -> float:
    """Memory of one with few partners, once for all sizes: a busy machine does not change it."""
    return _served(FEW)["memory"]


def served(size: int) -> Iterator[Sample]:
    """A real ingress with so many partners beside one with ten; one partner changes."""
    role, by = "settings_served", "partners"
    few, many = few_served(), _served(size)
    for figure, unit, value in (
        ("memory_more", "MB", (many["memory"] - few) / 1e6),
        ("memory_more_after_the_change", "MB", (many["after"] - few) / 1e6),
        ("cpu_of_one_change", "s", many["cpu"]),
        ("time_of_one_change", "s", many["took"]),
    ):
        yield Sample(role, figure, unit, by, size, value, "real", many["took"])


ROLES = (
    Role("settings_alone", "Settings read alone", "partners", (1_000, 2_000, 4_000, 8_000, 16_000), alone),
    Role("settings_served", "A real ingress with its partners, and one change by SIGHUP", "partners",
         (1_000, 4_000, 8_000, 16_000), served),
)  # fmt: skip

if __name__ == "__main__":
    print(json.dumps(read_cost(Path(sys.argv[1]))))
