"""Signals at moments when nobody waits for them, and many processes that start at once. ``run`` as processes."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
import time
from pathlib import Path

import orjson

from rushweir.edge.setup import Budget
from rushweir.lab.ports import free_port
from tests.edge.conftest import booking, request
from tests.edge.test_process import HEALTH, OPTIONS, Standin, end, launch, with_platform


async def loading(process):
    """The process is in the middle of its imports: the HTTP parser is mapped, the loop does not run yet."""
    maps = Path(f"/proc/{process.pid}/maps")
    while "httptools" not in maps.read_text():
        await asyncio.sleep(0)


def test_sighup_during_imports_reloads_once_the_ingress_serves(tmp_path):
    """The system's own answer to it is to end the process; handlers stood only once the loop ran."""

    async def scenario(p):
        await end(p.process)
        p.process = await launch(p.path)
        await loading(p.process)
        p.process.send_signal(signal.SIGHUP)
        await p.line("started")
        await p.line("reloaded")
        await p.ready()
        assert (await p.ask(request())).startswith(b"HTTP/1.1 200 ")

    with_platform(tmp_path, scenario)


def test_sigterm_during_imports_shuts_down_cleanly(tmp_path):
    async def scenario(p):
        await end(p.process)
        p.process = await launch(p.path)
        await loading(p.process)
        p.process.send_signal(signal.SIGTERM)
        assert (await p.line("stopped"))["answered"] is True
        assert await p.process.wait() == 0

    with_platform(tmp_path, scenario)


def test_second_sigterm_and_late_sighup_interrupt_no_request(tmp_path):
    """While it ends, discovery may move: what the new one tells counts as before."""

    async def scenario(p):
        under_way = await p.under_way(booking("one"))
        p.process.send_signal(signal.SIGTERM)
        await p.line("stopping")
        asked = asyncio.Event()

        async def other(head, body, writer):
            asked.set()
            await asyncio.sleep(3600)

        new = await Standin(other).open()
        p.configure(discovery=f"127.0.0.1:{new.port}")
        p.process.send_signal(signal.SIGHUP)
        await asyncio.wait_for(asked.wait(), 4)
        p.process.send_signal(signal.SIGTERM)
        p.process.send_signal(signal.SIGHUP)
        p.gate.set()
        assert (await under_way).startswith(b"HTTP/1.1 200 ")
        assert (await p.line("stopped"))["answered"] is True
        assert await p.process.wait() == 0
        new.close()

    with_platform(tmp_path, scenario)


def test_reload_without_a_class_answers_its_open_request_and_refuses_new_ones(tmp_path):
    async def scenario(p):
        under_way = await p.under_way(booking("one"))
        plans = [{"name": "other", "unitsPerS": 5.0, "storeSize": 5.0}]
        p.configure(settings=OPTIONS | {"classes": OPTIONS["classes"][:1], "contracts": plans})
        p.process.send_signal(signal.SIGHUP)
        await p.line("reloaded")
        p.gate.set()
        assert (await under_way).startswith(b"HTTP/1.1 200 ")
        assert b"Req-Kind: no such class" in await p.ask(booking("two"))
        assert b"X-Contract: no such plan" in await p.ask(request("three"))
        assert (await p.ask(request("four", plan="other"))).startswith(b"HTTP/1.1 200 ")

    with_platform(tmp_path, scenario)


def test_refused_reload_changes_nothing(tmp_path):
    async def scenario(p):
        for settings, said in (
            (OPTIONS | {"classes": [{"name": "x", "aimMs": "soon"}]}, "classes[0].aimMs: a number"),
            (OPTIONS | {"contracts": [*OPTIONS["contracts"]] * 2}, "contracts: 'wide' stands twice"),
            (OPTIONS | {"ceilings": {"maxAttempts": 0}}, "ceilings.maxAttempts: a number from 1"),
        ):  # fmt: skip
            p.configure(settings=settings, discovery="127.0.0.1:1")
            p.process.send_signal(signal.SIGHUP)
            assert said in (await p.line("reload_refused"))["why"]
            assert (await p.ask(booking(said[:8].strip("[].: ")))).startswith(b"HTTP/1.1 200 ")

    with_platform(tmp_path, scenario)


def test_returning_discovery_and_a_new_client_get_descriptors_among_idle_clients(tmp_path):
    """The watch, a dial and a new client each find a descriptor; the limit is the system's own."""

    async def scenario(p):
        await end(p.process)
        down = p.discovery.port
        p.discovery.close()
        page = p.list()
        p.configure(limits={"sockets": 96}, known=page)
        limit = "import resource, sys, runpy; resource.setrlimit(resource.RLIMIT_NOFILE, (96, 96)); "
        run = "sys.argv = ['rushweir.edge']; runpy.run_module('rushweir.edge', run_name='__main__', alter_sys=True)"
        p.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", limit + run, env={**os.environ, "EDGE_CONFIG": str(p.path)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await p.line("started")
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
        idle = [await asyncio.open_connection("127.0.0.1", p.port) for _ in range(200)]
        asked = asyncio.Event()

        async def back(head, body, writer):
            asked.set()
            await p.discovery_answer(head, body, writer)

        p.discovery = Standin(back)
        p.discovery.server = await asyncio.start_server(p.discovery._serve, "127.0.0.1", down)
        await asyncio.wait_for(asked.wait(), 5)
        # All were taken in once so many were told to go; those that stayed are left alone for their first 50 ms.
        over = [asyncio.create_task(reader.read(1)) for reader, _ in idle]
        while sum(task.done() for task in over) < len(idle) - Budget.of(96).clients:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.06)
        assert (await p.ask(booking())).startswith(b"HTTP/1.1 200 ")
        for task, (_, writer) in zip(over, idle, strict=True):
            task.cancel()
            writer.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    with_platform(tmp_path, scenario)


def test_sixteen_processes_started_at_once_are_ready_within_10_s(tmp_path):
    """Two on each core, as a fleet that restarts together; each has to answer its health call within 10 s."""

    async def scenario(p):
        entry = p.list()["servers"][0]
        servers = [entry | {"id": f"s-{k}", "addr": f"127.0.1.{k % 250}:9"} for k in range(200)]
        known = {"version": 1, "full": True, "servers": servers}
        ports, processes, began = [], [], time.monotonic()
        for k in range(16):
            ports.append(free_port())
            path = tmp_path / f"c{k}.json"
            page = {"listen": f"127.0.0.1:{ports[-1]}", "discovery": "127.0.0.1:9", "settings": OPTIONS}
            path.write_bytes(orjson.dumps(page | {"known": known}))
            processes.append(await launch(path))
        try:
            for port, process in zip(ports, processes, strict=True):
                said = await process.stderr.readline()
                assert b'"started"' in said, said  # itself, and not another on its port
                p.port = port
                while not (await p.ask(HEALTH)).startswith(b"HTTP/1.1 200"):
                    await asyncio.sleep(0.01)
            took = time.monotonic() - began
        finally:
            # Each is ended whatever became of the others; one that had ended by itself fails the test with its words.
            ends = await asyncio.gather(*(end(process) for process in processes), return_exceptions=True)
        assert ends == [None] * len(processes), ends
        assert took < 10.0

    with_platform(tmp_path, scenario)
