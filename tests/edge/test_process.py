"""Tests of the ingress as a process, with stand-ins for a backend and discovery on loopback."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys

import orjson
import pytest

from rushweir.edge.config import load
from rushweir.edge.setup import setup
from rushweir.lab.ports import free_port
from tests.edge.conftest import answer, booking, request

OPTIONS = {
    "me": 0, "instances": 1, "locality": "a",
    "classes": [
        {"name": "position", "aimMs": 800.0, "giveUpMs": 3000.0, "repeat": "read_like"},
        {"name": "booking", "aimMs": 1200.0, "giveUpMs": 3000.0, "repeat": "idempotency_key", "windowMs": 6000.0},
    ],
    "contracts": [{"name": "wide", "unitsPerS": 1000.0, "storeSize": 1000.0}],
    "ceilings": {"maxAttempts": 4, "mayCancel": True, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0},
}  # fmt: skip


HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


class StandInServer:
    """A server whose answers the test writes: ``handle(head, body, writer)`` is awaited for each request."""

    def __init__(self, handle):
        self.handle, self.heads, self.writers = handle, [], []

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                self.heads.append(head)
                await self.handle(head, body, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()


async def launch(config):
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rushweir.edge", env={**os.environ, "EDGE_CONFIG": str(config)},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


async def stop_process(process, *codes):
    """Kills the process. Raises AssertionError with its output if it had already ended with none of ``codes``."""
    if process.returncode is None:
        process.kill()
    code = await process.wait()
    if code != -signal.SIGKILL and code not in codes:
        raise AssertionError(f"the process had ended with {code}: {(await process.stderr.read()).decode()}")


class Platform:
    """Discovery, one backend, and the ingress process between them and the test."""

    def __init__(self, tmp):
        self.tmp, self.path = tmp, tmp / "config.json"
        self.version, self.gate = 1, asyncio.Event()
        self.gate.set()

    async def backend_answer(self, head, body, writer):
        await self.gate.wait()
        writer.write(answer(b"ran " + body))

    async def discovery_answer(self, head, body, writer):
        if "since=" in head and f"since={self.version}" in head:
            await asyncio.sleep(3600)  # a watch without news waits until the test ends
        writer.write(answer(orjson.dumps(self.list())))

    def list(self):
        addr = f"127.0.0.1:{self.backend.port}"
        entry = {"id": "s-1", "addr": addr, "zone": "a", "state": "Ready", "started_ms": 0}
        return {"version": self.version, "full": True, "servers": [entry]}

    def configure(self, **more):
        page = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "ff", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": OPTIONS,
        }  # fmt: skip
        self.path.write_bytes(orjson.dumps(page | more))

    async def start(self):
        self.backend = await StandInServer(self.backend_answer).open()
        self.discovery = await StandInServer(self.discovery_answer).open()
        self.port = free_port()
        self.configure()
        self.process = await launch(self.path)
        await self.log_line("started")
        await self.wait_until_ready()
        return self

    async def wait_until_ready(self):
        """Waits for a list with a ready backend. The event `started` comes before that, and requests are refused with
        503 `no_node` in between."""
        while not (await self.send(HEALTH)).startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(0.01)

    async def restart(self, **more):
        """Kills the process and starts it with additional configuration."""
        await stop_process(self.process)
        self.configure(**more)
        self.process = await launch(self.path)

    async def log_line(self, cause):
        """Returns the next log line with that cause."""
        while True:
            line = orjson.loads(await asyncio.wait_for(self.process.stderr.readline(), 10))
            if line["cause"] == cause:
                return line

    async def send(self, data, conn=None):
        reader, writer = conn or await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        return head + await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))

    async def open_request(self, data):
        """Sends a request that the backend receives but does not answer before the gate opens."""
        self.gate.clear()
        before, answer_task = len(self.backend.heads), asyncio.create_task(self.send(data))
        while len(self.backend.heads) == before:
            await asyncio.sleep(0.005)
        return answer_task

    async def close(self):
        self.backend.close()
        self.discovery.close()
        await stop_process(self.process, 0)


def run_with_platform(tmp, scenario):
    async def main():
        platform = Platform(tmp)
        await platform.start()
        try:
            await asyncio.wait_for(scenario(platform), 30)
        finally:
            await platform.close()

    asyncio.run(main())


def test_requests_on_one_connection_are_served_over_one_backend_connection(tmp_path):
    async def scenario(platform):
        conn = await asyncio.open_connection("127.0.0.1", platform.port)
        for n in range(3):
            received = await platform.send(booking(f"b{n}", body=b"{%d}" % n), conn)
            assert received.startswith(b"HTTP/1.1 200 ") and received.endswith(b"ran {%d}" % n)
        assert len(platform.backend.writers) == 1

    run_with_platform(tmp_path, scenario)


def test_sighup_switches_discovery_and_refuses_an_invalid_file(tmp_path):
    async def scenario(platform):
        platform.path.write_bytes(b'{"name": ')
        platform.process.send_signal(signal.SIGHUP)
        assert "config.json: line 1" in (await platform.log_line("reload_refused"))["why"]
        assert (await platform.send(request("one"))).startswith(b"HTTP/1.1 200 ")
        called = asyncio.Event()

        async def other(head, body, writer):
            called.set()
            await asyncio.sleep(3600)

        new = await StandInServer(other).open()
        platform.gate.clear()
        open_answer = asyncio.create_task(platform.send(request("two")))
        while len(platform.backend.heads) < 2:
            await asyncio.sleep(0.005)
        platform.configure(discovery=f"127.0.0.1:{new.port}")
        platform.process.send_signal(signal.SIGHUP)
        await asyncio.wait_for(called.wait(), 4)
        assert "since=1" in new.heads[0] or "/catalog/members" in new.heads[0]
        platform.gate.set()
        assert (await open_answer).startswith(b"HTTP/1.1 200 ")
        new.close()

    run_with_platform(tmp_path, scenario)


def test_after_sigterm_open_and_new_requests_are_answered(tmp_path):
    async def scenario(platform):
        open_answer = await platform.open_request(request("one"))
        platform.process.send_signal(signal.SIGTERM)
        await platform.log_line("stopping")
        late = asyncio.create_task(platform.send(request("two")))
        while len(platform.backend.heads) < 2:
            await asyncio.sleep(0.005)
        platform.gate.set()
        for received in (await open_answer, await late):
            assert received.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in received
        assert (await platform.log_line("stopped"))["answered"] is True
        assert await platform.process.wait() == 0

    run_with_platform(tmp_path, scenario)


@pytest.mark.parametrize(("page", "expected"), [
    (b"{", "config.json: line 1"), (b"{}", "config.json: settings: must be an object"),
    (orjson.dumps({"settings": OPTIONS}), "config.json: listen: must be host:port"),
    (orjson.dumps({"settings": {**OPTIONS, "classes": [{"name": "x"}]}}), "'aimMs' is missing"),
    (orjson.dumps({"settings": OPTIONS | {"ceilings": {"connIdleMs": "soon"}}}),
     "config.json: settings: ceilings.connIdleMs: a number from 0, not 'soon'"),
    (orjson.dumps({"settings": OPTIONS, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
                   "limits": {"sockets": 20}}), "limits.sockets"),
])  # fmt: skip
def test_invalid_configuration_exits_with_one_line(tmp_path, page, expected):
    async def main():
        (tmp_path / "config.json").write_bytes(page)
        process = await launch(tmp_path / "config.json")
        _, err = await process.communicate()
        assert process.returncode == 2 and expected in err.decode() and err.count(b"\n") == 1

    asyncio.run(main())


@pytest.mark.parametrize("limits", [{"cores": 0.1, "memory_mb": 32, "sockets": 56}, {"sockets": 1024}])
def test_ingress_starts_with_230_peers_and_1024_servers(tmp_path, limits):
    """Neither list has a lower limit, even with the fewest descriptors that an ingress can use."""

    async def scenario(platform):
        page = platform.list()
        first = page["servers"][0]
        page["servers"] += [first | {"id": f"t-{k}", "addr": f"127.0.1.{k % 250}:9"} for k in range(1023)]
        platform.list = lambda: page
        peers = [f"127.0.{2 + k // 250}.{1 + k % 250}:7946" for k in range(230)]
        await platform.restart(known=page, peers=peers, limits=limits, settings=OPTIONS | {"instances": 230, "me": 7})
        assert (await platform.log_line("started"))["backends"] == 1024
        health = await platform.send(HEALTH)
        assert health.startswith(b"HTTP/1.1 200") and b"'nodes_ready': 1024" in health

    run_with_platform(tmp_path, scenario)


def test_ingress_starts_with_fewer_peers_than_instances(tmp_path):
    """Settings and addresses have different sources; a peer without an address gets no messages."""

    async def scenario(platform):
        await platform.restart(peers=["127.0.0.1:9", "127.0.0.2:9"], settings=OPTIONS | {"instances": 3})
        await platform.log_line("started")
        await platform.wait_until_ready()
        assert (await platform.send(booking("b1"))).startswith(b"HTTP/1.1 200 ")

    run_with_platform(tmp_path, scenario)


@pytest.mark.parametrize(
    "configured, expected_ms", [({"connIdleMs": "9000"}, 9000.0), ({"connIdleMs": 0}, 15_000.0), ({}, 15_000.0)]
)
def test_idle_time_of_zero_is_replaced_by_the_default(tmp_path, configured, expected_ms):
    """Guards against an idle time of 0, with which the pool's next check of its connections was always due."""
    page = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": OPTIONS | {"ceilings": configured}}
    (tmp_path / "config.json").write_bytes(orjson.dumps(page))
    config = load({"EDGE_CONFIG": str(tmp_path / "config.json")})
    assert config.idle_ms == expected_ms and setup(config).pool.idle_ms == expected_ms
    assert config.settings.limits.connection_idle_ms in (expected_ms, 0.0)
