"""Tests of signals at unexpected moments and of many processes that start at once, with real processes."""

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
from tests.edge.test_process import HEALTH, OPTIONS, StandInServer, launch, run_with_platform, stop_process


async def loading(process):
    """Waits until the process is importing: the HTTP parser is mapped, the event loop does not run yet."""
    maps = Path(f"/proc/{process.pid}/maps")
    while "httptools" not in maps.read_text():
        await asyncio.sleep(0)


def test_sighup_during_imports_reloads_once_the_ingress_serves(tmp_path):
    """The default action of SIGHUP ended the process, since handlers were installed only once the loop ran."""

    async def scenario(platform):
        await stop_process(platform.process)
        platform.process = await launch(platform.path)
        await loading(platform.process)
        platform.process.send_signal(signal.SIGHUP)
        await platform.log_line("started")
        await platform.log_line("reloaded")
        await platform.wait_until_ready()
        assert (await platform.send(request())).startswith(b"HTTP/1.1 200 ")

    run_with_platform(tmp_path, scenario)


def test_sigterm_during_imports_shuts_down_cleanly(tmp_path):
    async def scenario(platform):
        await stop_process(platform.process)
        platform.process = await launch(platform.path)
        await loading(platform.process)
        platform.process.send_signal(signal.SIGTERM)
        assert (await platform.log_line("stopped"))["answered"] is True
        assert await platform.process.wait() == 0

    run_with_platform(tmp_path, scenario)


def test_second_sigterm_and_late_sighup_interrupt_no_request(tmp_path):
    """Discovery may move during shutdown, and the list of the new one applies as before."""

    async def scenario(platform):
        open_answer = await platform.open_request(booking("one"))
        platform.process.send_signal(signal.SIGTERM)
        await platform.log_line("stopping")
        called = asyncio.Event()

        async def other(head, body, writer):
            called.set()
            await asyncio.sleep(3600)

        new = await StandInServer(other).open()
        platform.configure(discovery=f"127.0.0.1:{new.port}")
        platform.process.send_signal(signal.SIGHUP)
        await asyncio.wait_for(called.wait(), 4)
        platform.process.send_signal(signal.SIGTERM)
        platform.process.send_signal(signal.SIGHUP)
        platform.gate.set()
        assert (await open_answer).startswith(b"HTTP/1.1 200 ")
        assert (await platform.log_line("stopped"))["answered"] is True
        assert await platform.process.wait() == 0
        new.close()

    run_with_platform(tmp_path, scenario)


def test_reload_without_a_class_answers_its_open_request_and_refuses_new_ones(tmp_path):
    async def scenario(platform):
        open_answer = await platform.open_request(booking("one"))
        plans = [{"name": "other", "unitsPerS": 5.0, "storeSize": 5.0}]
        platform.configure(settings=OPTIONS | {"classes": OPTIONS["classes"][:1], "contracts": plans})
        platform.process.send_signal(signal.SIGHUP)
        await platform.log_line("reloaded")
        platform.gate.set()
        assert (await open_answer).startswith(b"HTTP/1.1 200 ")
        assert b"Req-Kind: no such class" in await platform.send(booking("two"))
        assert b"X-Contract: no such plan" in await platform.send(request("three"))
        assert (await platform.send(request("four", plan="other"))).startswith(b"HTTP/1.1 200 ")

    run_with_platform(tmp_path, scenario)


def test_refused_reload_changes_nothing(tmp_path):
    async def scenario(platform):
        for settings, said in (
            (OPTIONS | {"classes": [{"name": "x", "aimMs": "soon"}]}, "classes[0].aimMs: a number"),
            (OPTIONS | {"contracts": [*OPTIONS["contracts"]] * 2}, "contracts: 'wide' stands twice"),
            (OPTIONS | {"ceilings": {"maxAttempts": 0}}, "ceilings.maxAttempts: a number from 1"),
        ):  # fmt: skip
            platform.configure(settings=settings, discovery="127.0.0.1:1")
            platform.process.send_signal(signal.SIGHUP)
            assert said in (await platform.log_line("reload_refused"))["why"]
            assert (await platform.send(booking(said[:8].strip("[].: ")))).startswith(b"HTTP/1.1 200 ")

    run_with_platform(tmp_path, scenario)


def test_returning_discovery_and_a_new_client_get_descriptors_among_idle_clients(tmp_path):
    """The watch, a dial and a new client each get a descriptor under the system's own limit."""

    async def scenario(platform):
        await stop_process(platform.process)
        down = platform.discovery.port
        platform.discovery.close()
        page = platform.list()
        platform.configure(limits={"sockets": 96}, known=page)
        limit = "import resource, sys, runpy; resource.setrlimit(resource.RLIMIT_NOFILE, (96, 96)); "
        run = "sys.argv = ['rushweir.edge']; runpy.run_module('rushweir.edge', run_name='__main__', alter_sys=True)"
        platform.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", limit + run, env={**os.environ, "EDGE_CONFIG": str(platform.path)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await platform.log_line("started")
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
        idle = [await asyncio.open_connection("127.0.0.1", platform.port) for _ in range(200)]
        called = asyncio.Event()

        async def back(head, body, writer):
            called.set()
            await platform.discovery_answer(head, body, writer)

        platform.discovery = StandInServer(back)
        platform.discovery.server = await asyncio.start_server(platform.discovery._serve, "127.0.0.1", down)
        await asyncio.wait_for(called.wait(), 5)
        # Once that many were closed all are accepted. The others are not closed for new clients in their first 50 ms.
        over = [asyncio.create_task(reader.read(1)) for reader, _ in idle]
        while sum(task.done() for task in over) < len(idle) - Budget.of(96).clients:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.06)
        assert (await platform.send(booking())).startswith(b"HTTP/1.1 200 ")
        for task, (_, writer) in zip(over, idle, strict=True):
            task.cancel()
            writer.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    run_with_platform(tmp_path, scenario)


def test_sixteen_processes_started_at_once_are_ready_within_10_s(tmp_path):
    """As when a fleet restarts together, with two processes per core: each health check passes within 10 s."""

    async def scenario(platform):
        entry = platform.list()["servers"][0]
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
                assert b'"started"' in said, said  # and not another process on its port
                platform.port = port
                while not (await platform.send(HEALTH)).startswith(b"HTTP/1.1 200"):
                    await asyncio.sleep(0.01)
            took = time.monotonic() - began
        finally:
            # Every process is stopped, and one that had already ended fails the test with its output.
            ends = await asyncio.gather(*(stop_process(process) for process in processes), return_exceptions=True)
        assert ends == [None] * len(processes), ends
        assert took < 10.0

    run_with_platform(tmp_path, scenario)
