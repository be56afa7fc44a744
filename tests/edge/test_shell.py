"""The shell's own endings, on real sockets."""

from __future__ import annotations

import asyncio
import os
import socket

from rushweir.ingress import commands as c
from tests.edge.live import play


def descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_aborted_dial_closes_its_descriptor_at_once():
    """It went on until it came up or its time was over, and no bound counted it."""

    async def scenario(p):
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fill = []
        for _ in range(3):  # the queue is full: the next connection neither comes up nor fails
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
            fill.append(sock)
        await asyncio.sleep(0)
        before = descriptors()
        conn = p.core.new_conn(None)
        p.shell.carry[c.Dial](c.Dial(conn, *full.getsockname(), 60_000.0))
        await p.until(lambda: descriptors() == before + 1)
        p.shell.carry[c.AbortConnection](c.AbortConnection(conn))
        await p.until(lambda: descriptors() == before)
        assert not p.shell.dials
        for sock in (*fill, full):
            sock.close()

    play(scenario)
