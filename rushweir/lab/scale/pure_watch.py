"""What people and machines see of one ingress: metrics, console, operators' socket and log, by partners and by
backends."""

from __future__ import annotations

import io
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rushweir.config import load_text
from rushweir.console.app import COOKIE, App, Page
from rushweir.console.http import Request
from rushweir.console.sessions import Sessions
from rushweir.daemon import control
from rushweir.daemon.metrics import exposition
from rushweir.daemon.operations import Operations
from rushweir.ingress.core import Core
from rushweir.lab.scale.pure_list import update
from rushweir.lab.scale.pure_measure import cpu, traced
from rushweir.lab.scale.pure_policy import LISTS, servers
from rushweir.lab.scale.pure_settings import settings_text
from rushweir.lab.scale.samples import Role, Sample
from rushweir.link import rpc
from rushweir.logs.limiter import Limiter
from rushweir.logs.log import Log
from rushweir.policy import Policy
from rushweir.watch.telemetry import Telemetry

BACKENDS, PARTNERS = 100, 100  # of what is not looked at
SEEN = 20_000  # requests that the partners' counts know of
LINES = 500  # of the log, in a block that is timed


def ingress(partners: int, backends: int) -> tuple[Core, Operations]:
    """An ingress with its settings and its list, and what operators ask it."""
    config = load_text(settings_text(partners), "main.conf", Path("."))
    setup = config.setup(1, "s-")
    core = Core(setup, Policy(setup.settings, 1, 0.0), 0.0)
    core.list.message(update(servers(backends), "full", 1))
    core.advance(1.0)
    rng = random.Random(1)
    for _ in range(SEEN):
        core.telemetry.usage.count(1.0, f"partner{int(partners * rng.random() ** 3):05d}", "served", 1.0)
    ops = Operations(core, lambda: 2_000.0, config, {"pid": 1})
    return core, ops


def answered(ops: Operations, method: str, **params: Any) -> bytes:
    answer = control.answer(rpc.Call(method, params, 1), ops.methods)
    if b'"error"' in answer[:60]:
        raise RuntimeError(f"{method}: {answer[:200].decode()}")
    return answer


def pages(role: str, by: str, size: int, ops: Operations, paths: tuple[str, ...]) -> Iterator[Sample]:
    """Pages of the console, from the daemon's answers to the text."""
    app = App(Sessions(1e9))
    request = Request("GET", "/", {}, {"cookie": f"{COOKIE}={app.sessions.begin(0.0, 'ops')}"})
    for path in paths:
        request.path = path

        def page() -> int:
            planned = app.plan(request, 1.0)
            assert isinstance(planned, Page), planned
            ops.made = None  # rows of nodes are made anew: a look a second
            return len(planned.render([ops.methods[m](**p) for m, p in planned.questions]).body)

        name = path.strip("/") or "first"
        yield Sample(role, f"page_{name}_cpu", "ms", by, size, cpu(page, 3) * 1e3, "core")
        yield Sample(role, f"page_{name}_bytes", "KB", by, size, page() / 1e3, "core")


def looked(role: str, by: str, size: int, core: Core, ops: Operations, methods: tuple[str, ...]) -> Iterator[Sample]:
    yield Sample(role, "scrape_cpu", "ms", by, size, cpu(lambda: exposition(core)) * 1e3, "core")
    yield Sample(role, "scrape_bytes", "KB", by, size, len(exposition(core)) / 1e3, "core")
    for method in methods:

        def ask(method: str = method) -> bytes:
            ops.made = None
            return answered(ops, method)

        yield Sample(role, f"ask_{method}_cpu", "ms", by, size, cpu(ask, 3) * 1e3, "core")
        yield Sample(role, f"ask_{method}_bytes", "KB", by, size, len(ask()) / 1e3, "core")


def by_partners(size: int) -> Iterator[Sample]:
    role, by = "watch", "partners"
    core, ops = ingress(size, BACKENDS)
    yield from looked(role, by, size, core, ops, ("status", "partners", "overview", "settings"))
    yield from pages(role, by, size, ops, ("/", "/partners", "/settings"))
    yield Sample(role, "log_line_cpu", "us", by, size, cpu(lambda: _lines(size), 3) / LINES * 1e6, "core")


def memory_by_partners(size: int) -> Iterator[Sample]:
    known = ingress(size, BACKENDS)[0].setup.partners()
    _, memory = traced(lambda: Telemetry(0.0, known, {"quick": 800.0, "usual": 1_200.0}))
    yield Sample("watch", "memory", "MB", "partners", size, memory / 1e6, "core")


def _lines(partners: int) -> None:
    """Lines of requests that failed, each of some partner."""
    log = Log(_Nowhere(), lambda: 1.0, Limiter(1e9, 1e9), "json", "info")
    for k in range(LINES):
        log.event("warning", "request_failed", request=f"s-{k:x}", partner=f"partner{k % partners:05d}",
                  why="attempts", attempts=["0:127.1.0.1:9000:timeout"])  # fmt: skip


class _Nowhere:
    """Takes lines and counts them."""

    def __init__(self) -> None:
        self.taken = io.StringIO()

    def put(self, line: str) -> None:
        self.taken.write(line)


def by_backends(size: int) -> Iterator[Sample]:
    role, by = "watch_nodes", "backends"
    core, ops = ingress(PARTNERS, size)
    yield from looked(role, by, size, core, ops, ("status", "nodes", "overview"))
    yield from pages(role, by, size, ops, ("/", "/nodes"))


ROLES = (
    Role("watch", "Metrics, console, log and operators' socket, by partners", "partners",
         (1_000, 2_000, 4_000, 8_000, 16_000), by_partners, memory_by_partners),
    Role("watch_nodes", "Metrics, console and operators' socket, by backends", "backends", LISTS, by_backends),
)  # fmt: skip
