"""Tests of how the shell ends connections, on real sockets."""

from __future__ import annotations

import asyncio
import os
import socket

from rushweir.ingress import commands
from tests.edge.live import run_scenario


def descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_aborted_dial_closes_its_descriptor_at_once():
    """The dial went on until it succeeded or timed out, and no limit counted its descriptor."""

    async def scenario(live):
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fill = []
        for _ in range(3):  # fills the queue: the next connection neither succeeds nor fails
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
            fill.append(sock)
        await asyncio.sleep(0)
        before = descriptors()
        conn = live.core.new_conn(None)
        live.shell.handlers[commands.Dial](commands.Dial(conn, *full.getsockname(), 60_000.0))
        await live.until(lambda: descriptors() == before + 1)
        live.shell.handlers[commands.AbortConnection](commands.AbortConnection(conn))
        await live.until(lambda: descriptors() == before)
        await live.until(lambda: conn not in live.shell.dials)
        for sock in (*fill, full):
            sock.close()

    run_scenario(scenario)
