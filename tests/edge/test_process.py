"""``run`` as a process, with stand-ins of backends and discovery on loopback."""

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


class Standin:
    """A server whose answers the test gives: ``handle(head, writer)`` is awaited for each request."""

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


async def end(process, *codes):
    """Kill it; one that has ended already, and with none of ``codes``, is told with what it said."""
    if process.returncode is None:
        process.kill()
    code = await process.wait()
    if code != -signal.SIGKILL and code not in codes:
        raise AssertionError(f"the process had ended with {code}: {(await process.stderr.read()).decode()}")


class Platform:
    """Discovery and one backend, and the process between them and the test."""

    def __init__(self, tmp):
        self.tmp, self.path = tmp, tmp / "config.json"
        self.version, self.gate = 1, asyncio.Event()
        self.gate.set()

    async def backend_answer(self, head, body, writer):
        await self.gate.wait()
        writer.write(answer(b"ran " + body))

    async def discovery_answer(self, head, body, writer):
        if "since=" in head and f"since={self.version}" in head:
            await asyncio.sleep(3600)  # nothing new: a watch that waits; the test ends it
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
        self.backend = await Standin(self.backend_answer).open()
        self.discovery = await Standin(self.discovery_answer).open()
        self.port = free_port()
        self.configure()
        self.process = await launch(self.path)
        await self.line("started")
        await self.ready()
        return self

    async def ready(self):
        """It has a list with a backend that is ready. `started` comes before: until then it answers 503, `no_node`,
        which is a promise that the request never ran."""
        while not (await self.ask(HEALTH)).startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(0.01)

    async def restart(self, **more):
        """Killed, and started with more in its configuration."""
        await end(self.process)
        self.configure(**more)
        self.process = await launch(self.path)

    async def line(self, cause):
        """The next line of a cause in the log."""
        while True:
            line = orjson.loads(await asyncio.wait_for(self.process.stderr.readline(), 10))
            if line["cause"] == cause:
                return line

    async def ask(self, data, conn=None):
        reader, writer = conn or await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        return head + await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))

    async def under_way(self, data):
        """A request that the backend has and does not answer before the gate opens."""
        self.gate.clear()
        before, asked = len(self.backend.heads), asyncio.create_task(self.ask(data))
        while len(self.backend.heads) == before:
            await asyncio.sleep(0.005)
        return asked

    async def close(self):
        self.backend.close()
        self.discovery.close()
        await end(self.process, 0)


def with_platform(tmp, scenario):
    async def play():
        platform = Platform(tmp)
        await platform.start()
        try:
            await asyncio.wait_for(scenario(platform), 30)
        finally:
            await platform.close()

    asyncio.run(play())


def test_it_serves_and_a_kept_connection_serves_again(tmp_path):
    async def scenario(p):
        conn = await asyncio.open_connection("127.0.0.1", p.port)
        for n in range(3):
            got = await p.ask(booking(f"b{n}", body=b"{%d}" % n), conn)
            assert got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"ran {%d}" % n)
        assert len(p.backend.writers) == 1

    with_platform(tmp_path, scenario)


def test_sighup_moves_to_another_discovery_and_a_bad_file_changes_nothing(tmp_path):
    async def scenario(p):
        p.path.write_bytes(b'{"name": ')
        p.process.send_signal(signal.SIGHUP)
        assert "config.json: line 1" in (await p.line("reload_refused"))["why"]
        assert (await p.ask(request("one"))).startswith(b"HTTP/1.1 200 ")
        asked = asyncio.Event()

        async def other(head, body, writer):
            asked.set()
            await asyncio.sleep(3600)

        new = await Standin(other).open()
        p.gate.clear()
        under_way = asyncio.create_task(p.ask(request("two")))
        while len(p.backend.heads) < 2:
            await asyncio.sleep(0.005)
        p.configure(discovery=f"127.0.0.1:{new.port}")
        p.process.send_signal(signal.SIGHUP)
        await asyncio.wait_for(asked.wait(), 4)
        assert "since=1" in new.heads[0] or "/catalog/members" in new.heads[0]
        p.gate.set()
        assert (await under_way).startswith(b"HTTP/1.1 200 ")
        new.close()

    with_platform(tmp_path, scenario)


def test_sigterm_answers_what_is_open_and_what_still_comes(tmp_path):
    async def scenario(p):
        under_way = await p.under_way(request("one"))
        p.process.send_signal(signal.SIGTERM)
        await p.line("stopping")
        late = asyncio.create_task(p.ask(request("two")))
        while len(p.backend.heads) < 2:
            await asyncio.sleep(0.005)
        p.gate.set()
        for got in (await under_way, await late):
            assert got.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in got
        assert (await p.line("stopped"))["answered"] is True
        assert await p.process.wait() == 0

    with_platform(tmp_path, scenario)


@pytest.mark.parametrize(("page", "said"), [
    (b"{", "config.json: line 1"), (b"{}", "config.json: settings: an object"),
    (orjson.dumps({"settings": OPTIONS}), "config.json: listen: host:port"),
    (orjson.dumps({"settings": {**OPTIONS, "classes": [{"name": "x"}]}}), "'aimMs' is missing"),
    (orjson.dumps({"settings": OPTIONS | {"ceilings": {"connIdleMs": "soon"}}}),
     "config.json: settings: ceilings.connIdleMs: a number from 0, not 'soon'"),
    (orjson.dumps({"settings": OPTIONS, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
                   "limits": {"sockets": 20}}), "limits.sockets"),
])  # fmt: skip
def test_a_bad_configuration_ends_with_one_line(tmp_path, page, said):
    async def play():
        (tmp_path / "config.json").write_bytes(page)
        process = await launch(tmp_path / "config.json")
        _, err = await process.communicate()
        assert process.returncode == 2 and said in err.decode() and err.count(b"\n") == 1

    asyncio.run(play())


@pytest.mark.parametrize("limits", [{"cores": 0.1, "memory_mb": 32, "sockets": 56}, {"sockets": 1024}])
def test_it_starts_among_230_peers_and_1024_servers(tmp_path, limits):
    """No list of either is capped below that, also at the least descriptors that an ingress can do with."""

    async def scenario(p):
        page = p.list()
        first = page["servers"][0]
        page["servers"] += [first | {"id": f"t-{k}", "addr": f"127.0.1.{k % 250}:9"} for k in range(1023)]
        p.list = lambda: page
        peers = [f"127.0.{2 + k // 250}.{1 + k % 250}:7946" for k in range(230)]
        await p.restart(known=page, peers=peers, limits=limits, settings=OPTIONS | {"instances": 230, "me": 7})
        assert (await p.line("started"))["backends"] == 1024
        health = await p.ask(HEALTH)
        assert health.startswith(b"HTTP/1.1 200") and b"'nodes_ready': 1024" in health

    with_platform(tmp_path, scenario)


def test_peers_that_are_fewer_than_the_instances_are_no_reason_not_to_start(tmp_path):
    """The settings and the addresses come from two places: who has no address is not told, and all else serves."""

    async def scenario(p):
        await p.restart(peers=["127.0.0.1:9", "127.0.0.2:9"], settings=OPTIONS | {"instances": 3})
        await p.line("started")
        await p.ready()
        assert (await p.ask(booking("b1"))).startswith(b"HTTP/1.1 200 ")

    with_platform(tmp_path, scenario)


@pytest.mark.parametrize(
    ("told", "held"), [({"connIdleMs": "9000"}, 9000.0), ({"connIdleMs": 0}, 15_000.0), ({}, 15_000.0)]
)
def test_the_idle_time_of_connections_is_a_number_above_nothing(tmp_path, told, held):
    """It is read once, for module and pool; with 0 the pool's next look at its connections was due at once."""
    page = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": OPTIONS | {"ceilings": told}}
    (tmp_path / "config.json").write_bytes(orjson.dumps(page))
    config = load({"EDGE_CONFIG": str(tmp_path / "config.json")})
    assert config.idle_ms == held and setup(config).pool.idle_ms == held
    assert config.settings.limits.connection_idle_ms in (held, 0.0)
