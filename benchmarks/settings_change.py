"""What settings cost an ingress, and what one change of them costs, by how many partners there are.

Old and new reading in one run: the old one parses and models the whole, as every reload did until objects were read
by themselves; it is made here of the same grammar and models. Each figure is of a process of its own. ``hold``: how
long the main thread, which stands for the loop, was held at worst while another thread read, as far as that one ran
meanwhile: what other processes of a busy machine take is not counted.

    .venv/bin/python -m benchmarks.settings_change [--partners 1000,4000,16000] [--routes 9300] [--json FILE]
"""

from __future__ import annotations

import argparse
import gc
import hashlib
import json
import subprocess
import sys
import tempfile
import threading
import time
from functools import partial
from pathlib import Path
from statistics import median

HEAD = "ingress 0 4\nzone a\nlisten 127.0.0.1:0\nlist {\n    url ws://127.0.0.1:7000/l\n}\n"
HEAD += "class pay {\n    aim 1200ms\n    deadline 3s\n}\nclass look {\n    aim 800ms\n    deadline 3s\n}\n"
PLANS, SERVICES, OFTEN = 40, 230, 5


def partner(k: int, key: object) -> str:
    token = hashlib.sha256(str(key).encode()).hexdigest()
    return f"partner partner-{k:05d} {{\n    plan plan-{k % PLANS}\n    credential sha256:{token}\n}}\n"


def text(partners: int, routes: int, changed: int = -1) -> str:
    """A file; one of its partners may have another credential."""
    out = [HEAD]
    out += [
        f"plan plan-{k} {{\n    rate {k + 1}/s\n    burst {k + 10}\n    ceiling-rate 50/s\n    ceiling-burst 90\n}}\n"
        for k in range(PLANS)
    ]
    out += [partner(k, "other" if k == changed else k) for k in range(partners)]
    out += [
        f'cost "POST /service-{k % SERVICES}/things-{k // SERVICES}/{{id}}" {{\n    base {1 + k % 7}\n'
        f"    each trip.stops 0.{k % 9 + 1}\n    most 40\n}}\n"
        for k in range(routes)
    ]
    return "".join(out)


def rss() -> float:
    """Megabytes of this process."""
    status = Path("/proc/self/status").read_text()
    return int(next(x for x in status.splitlines() if x.startswith("VmRSS")).split()[1]) / 1024


class Hold:
    """How long the main thread was held at worst."""

    def __init__(self) -> None:
        self.worst_ms = 0.0

    def beside(self, work) -> object:
        found: list = []
        thread = threading.Thread(target=lambda: found.append(work()))
        sys.setswitchinterval(0.0005)
        gc.disable()
        thread.start()
        clock = time.pthread_getcpuclockid(thread.ident)
        while thread.is_alive():
            at, worked = time.perf_counter(), time.clock_gettime(clock)
            time.sleep(0.0005)
            late = time.perf_counter() - at - 0.0005
            try:
                worked = time.clock_gettime(clock) - worked
            except OSError:  # it ended
                break
            self.worst_ms = max(self.worst_ms, min(late, worked) * 1000)
        thread.join()
        gc.enable()
        return found[0]


def cpu_ms(work) -> tuple[float, object]:
    at = time.process_time()
    found = work()
    return (time.process_time() - at) * 1000, found


def old(first: Path, second: Path) -> dict[str, float]:
    """As it was: the whole in models with a spot for each value, again for each change."""
    from rushweir.config import models as m
    from rushweir.config.load import effective_of
    from rushweir.config.reading import block
    from rushweir.config.show import as_rows, differ
    from rushweir.config.text import parse
    from rushweir.costs.decisions import CostRules, Rule
    from rushweir.fronts.credentials import Credentials, Partner

    def read(path: Path):
        spots: dict = {}
        problems: list = []
        raw = block(m.File, parse(path.read_text(), str(path)), (), spots, problems, top=True)
        file = m.File.model_validate(raw)
        by_digest = {p.credential: Partner(n, p.plan, p.through[1] or 4) for n, p in file.partners.items()}
        rules = CostRules(Rule("default", 1000), [Rule(r, int(b.base)) for r, b in file.costs.items()])
        return file, spots, Credentials(by_digest), rules

    before = rss()
    start, held = cpu_ms(lambda: read(first))
    gc.collect()
    memory, hold = rss() - before, Hold()

    def again():
        made = read(second)
        rows = [as_rows(effective_of(x[0], (), x[1])) for x in (held, made)]
        return made, differ(*rows)

    change, _ = cpu_ms(lambda: hold.beside(again))
    return {"start_cpu_ms": start, "memory_mb": memory, "file_change_cpu_ms": change,
            "memory_after_mb": rss() - before, "hold_ms": hold.worst_ms}  # fmt: skip


def new(first: Path, second: Path) -> dict[str, float]:
    from rushweir import Policy
    from rushweir.config import live, load
    from rushweir.config.objects import objects
    from rushweir.ingress.core import Core
    from rushweir.rollout.change_sets import Change

    before = rss()
    start, config = cpu_ms(lambda: load(first))
    setup = config.setup()
    core = Core(setup, Policy(setup.settings, 1, 0.0), 0.0)
    core.start(0.0)
    gc.collect()
    memory, hold = rss() - before, Hold()
    gc.freeze()

    def make(c):
        return c.setup()

    def file_change():
        return live.prepare(config, *live.read(config, second), make, core.setup)

    change, prepared = cpu_ms(lambda: hold.beside(file_change))
    turn, _ = cpu_ms(lambda: live.apply(core, prepared, 1.0))
    config, spent = prepared.config, {"partner": [], "plan": []}

    def step(config, change, version):
        new, deltas = live.told(config, [change], version)
        prepared = live.prepare(config, new, deltas, make, core.setup, rows=False)
        live.apply(core, prepared, 2.0)
        return prepared.config

    for k in range(OFTEN):
        token = hashlib.sha256(f"new {k}".encode()).hexdigest()
        one = Change(("partner", "partner-00500"), f"plan plan-{k}\ncredential sha256:{token}\n".encode())
        for what in (one, Change(("plan", "plan-3"), f"rate {k + 2}/s\nburst 9\n".encode())):
            ms, config = cpu_ms(partial(step, config, what, 2 * k + 1))
            spent[what.key[0]].append(ms)
    after, holds = rss() - before, [hold.worst_ms]
    for path in (first, second) * 3:  # each a change of one partner; what is read is dropped
        hold = Hold()
        hold.beside(partial(lambda p: live.prepare(config, *live.read(config, p), make, core.setup), path))
        holds.append(hold.worst_ms)
    size = sum(len(data) for _, data in objects(config))
    return {"start_cpu_ms": start, "memory_mb": memory, "file_change_cpu_ms": change, "file_turn_cpu_ms": turn,
            "memory_after_mb": after, "step_cpu_ms": median(spent["partner"]),
            "plan_step_cpu_ms": median(spent["plan"]), "hold_ms": holds[0],
            "hold_median_ms": median(holds), "objects_bytes": size}  # fmt: skip


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--partners", default="1000,4000,16000")
    words.add_argument("--routes", type=int, default=9300)
    words.add_argument("--json", type=Path)
    words.add_argument("--one", nargs=3, help=argparse.SUPPRESS)
    given = words.parse_args()
    if given.one:
        print(json.dumps({"old": old, "new": new}[given.one[0]](Path(given.one[1]), Path(given.one[2]))))
        return
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for partners in (int(x) for x in given.partners.split(",")):
            paths = [Path(folder) / f"{partners}-{k}.conf" for k in range(2)]
            for path, changed in zip(paths, (-1, 77), strict=True):
                path.write_text(text(partners, given.routes, changed))
            for way in ("old", "new"):
                run = [sys.executable, "-m", "benchmarks.settings_change", "--one", way, *map(str, paths)]
                found = json.loads(subprocess.run(run, check=True, capture_output=True, text=True).stdout)
                rows.append({"partners": partners, "routes": given.routes, "way": way, **found})
                print(f"{partners:6} partners, {given.routes} routes, {way}: "
                      + ", ".join(f"{k} {v:.2f}" for k, v in found.items()), flush=True)  # fmt: skip
    if given.json:
        given.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
