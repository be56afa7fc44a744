"""Harness with one ingress on real sockets in the test's own event loop, and stand-ins for its backends.

Whatever a test does without awaiting happens within one turn of the loop."""

from __future__ import annotations

import asyncio
import re
import socket

from rushweir.edge.backend_links import PoolSettings
from rushweir.edge.setup import IDLE_MS, Setup
from rushweir.ingress.core import Core
from rushweir.ingress.shell import Clock, Shell
from rushweir.policy import Policy
from tests.edge.conftest import SETTINGS, answer
from tests.edge.test_process import StandInServer


class GatedShell(Shell):
    """A shell whose dials wait for ``gate``, and whose timers for closing connections the test fires."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.gate = asyncio.Event()
        self.gate.set()
        self.lingering = []

    async def _connect(self, command):
        await self.gate.wait()
        return await super()._connect(command)

    def linger(self, *args):
        self.lingering.append(args)

    def end_linger(self):
        """Fires the timer that ends the wait for a connection's last bytes."""
        args, self.lingering = self.lingering[0], self.lingering[1:]
        super().linger(*args)


class Live:
    """``async with Live() as live``: ``core`` and ``shell`` are the ingress, ``backends`` its stand-ins."""

    def __init__(self, count=2, settings=SETTINGS, **setup):
        self.count, self.settings, self.more = count, settings, setup
        self.release, self.body, self.clients = asyncio.Event(), b"served", []
        self.release.set()

    async def _answer(self, head, body, writer):
        await self.release.wait()
        writer.write(answer(self.body))

    async def __aenter__(self):
        self.backends = [await StandInServer(self._answer).open() for _ in range(self.count)]
        clock = Clock()
        made = {"discovery": ("127.0.0.1", 9), "pool": PoolSettings(16), "boot": "t", "keep_list": False}
        made |= {"handshake_ms": 2_000.0, "http_idle_ms": IDLE_MS} | self.more
        self.core = Core(Setup(self.settings, **made), Policy(self.settings, 3, clock()), clock())
        servers = [{"id": f"s-{k}", "addr": f"127.0.0.1:{b.port}", "zone": "a", "state": "Ready", "started_ms": 0}
                   for k, b in enumerate(self.backends)]  # fmt: skip
        page = {"version": 1, "full": True, "servers": servers}
        self.core.preload_nodes(clock(), self.core.list.known(page))
        self.shell = GatedShell(self.core, clock, high_water=0, accept_at_once=16)
        self.port = await self.shell.serve("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        for sock in self.clients:
            sock.close()
        self.shell.gate.set()
        await self.shell.kill()
        for backend in self.backends:
            backend.close()

    # --- what a test does and observes

    async def client(self, receive=None):
        """Returns a connected client socket."""
        sock = socket.socket()
        if receive is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        sock.setblocking(False)
        before = self.core.counts["accepted"]
        await self.shell.loop.sock_connect(sock, ("127.0.0.1", self.port))
        await self.until(lambda: self.core.counts["accepted"] > before)
        self.clients.append(sock)
        return sock

    async def slow_client(self):
        """Returns a client with small buffers: its socket, the core's client and the shell's transport."""
        sock = await self.client(receive=4096)
        client = self.core.clients.open[max(self.core.clients.open)]
        transport = self.shell.transports[client.conn]
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock, client, transport

    async def until(self, done, seconds=10.0):
        async with asyncio.timeout(seconds):
            while not done():
                await asyncio.sleep(0.001)

    async def send(self, sock, data):
        await self.shell.loop.sock_sendall(sock, data)

    async def read(self, sock):
        """Reads one answer and returns its status and body."""
        loop, got = self.shell.loop, b""
        async with asyncio.timeout(10):
            while b"\r\n\r\n" not in got:
                if not (more := await loop.sock_recv(sock, 65_536)):
                    raise EOFError(got)
                got += more
            head, _, body = got.partition(b"\r\n\r\n")
            while len(body) < int(re.search(rb"Content-Length: (\d+)", head)[1]):
                if not (more := await loop.sock_recv(sock, 65_536)):
                    raise EOFError(head)
                body += more
        return int(head[9:12]), body

    def heads(self):
        """Returns the request heads that reached the backends."""
        return [head for b in self.backends for head in b.heads]

    def served(self):
        return self.core.engine.counts["served"]


def run_scenario(scenario, **options):
    async def run():
        async with asyncio.timeout(30):
            async with Live(**options) as live:
                await scenario(live)

    asyncio.run(run())
