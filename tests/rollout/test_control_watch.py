"""Sessions of those that watch, on the listening address of a control process."""

from __future__ import annotations

import asyncio
from collections import deque
from types import SimpleNamespace

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from rushweir.config.control import ControlConfig
from rushweir.daemon.control_files import ControlFiles
from rushweir.daemon.control_operators import Operators
from rushweir.daemon.control_process import ControlProcess
from rushweir.ingress.shell import Clock
from rushweir.lab.ports import free_port
from rushweir.rollout.change_sets import Change


class Stub:
    """Tells each that watches the numbers of the steps, and ends who says ``bad``."""

    def __init__(self):
        self.orders, self.calls, self.conns, self.current = deque(), [], set(), None
        self.happened = asyncio.Event()

    def _note(self, *what):
        self.calls.append(what)
        self.happened.set()

    def jumped(self, now, number, objects):
        self._note("jumped", number, objects)

    def committed(self, now, step):
        self._note("committed", step.version)
        self.orders.extend(SimpleNamespace(conn=c, data=b"%d" % step.version) for c in self.conns)
        self.orders.append(SimpleNamespace(told={"at": step.version}))

    def set_current(self, now, current):
        self.current = current

    def opened(self, now, conn):
        self.conns.add(conn)
        self.orders.append(SimpleNamespace(conn=conn, data=b"hello"))

    def received(self, now, conn, text):
        self._note("received", bytes(text))
        if text == b"bad":
            self.orders.append(SimpleNamespace(conn=conn, why="no manners"))

    def set_writable(self, now, conn, writable):
        self._note("writable", writable)

    def closed(self, now, conn):
        self.conns.discard(conn)
        self._note("closed", conn)

    def take_report(self, now, told):
        self._note("report", told)

    def next_at(self):
        return None

    def advance(self, now):
        return

    async def until(self, *what):
        async with asyncio.timeout(20.0):
            while not any(call[: len(what)] == what for call in self.calls):
                self.happened.clear()
                await self.happened.wait()


async def played(folder, scene):
    config = ControlConfig(0, (("127.0.0.1", free_port()),), folder / "state", b"k" * 32, folder / "sock")
    stub = Stub()
    files = ControlFiles(config.state, 0, 1, not (folder / "state").exists())
    process = ControlProcess(config, files, Clock(), lambda *_, **__: None, stub)
    up = asyncio.Event()
    run = asyncio.create_task(process.run(lambda _: up.set(), lambda p: Operators(p).serve()))
    try:
        await up.wait()
        await scene(process, stub, f"ws://127.0.0.1:{config.addresses[0][1]}")
    finally:
        process.ending.set()
        assert await run == 0
    return stub


async def step(process, n):
    while process.core.leader < 0:  # until its own vote is on disk
        await asyncio.sleep(0)
    return await process.propose((Change(("partner", "p"), b"%d" % n),), "me", None)


def test_those_that_watch_are_served_beside_the_others(tmp_path):
    async def scene(process, stub, url):
        where, more = f"{url}/watch", {"subprotocols": ["jsonrpc"]}
        async with connect(where, **more) as one, connect(where, **more) as two:
            assert [await one.recv(), await two.recv()] == ["hello", "hello"]
            assert (await step(process, 1)).version == 1
            assert [await one.recv(), await two.recv()] == ["1", "1"]
            assert stub.current
            await two.send("bad")
            with pytest.raises(ConnectionClosed):
                await two.recv()
            assert two.close_code == 1008 and two.close_reason == "no manners"
            await one.send("thanks")
            await stub.until("received", b"thanks")
            await stub.until("closed", 2)
        await stub.until("closed", 1)
        assert not stub.conns and not process.watchers
        with pytest.raises(InvalidStatus) as refused:
            await connect(f"{url}/else", subprotocols=["jsonrpc"])
        assert refused.value.response.status_code == 404

    asyncio.run(played(tmp_path, scene))

    async def again(process, stub, url):
        assert (await step(process, 2)).version == 2
        # What it knew to be in force when it went; where it was too quick for that, what it found to be.
        assert stub.calls[0] in (("jumped", 1, {("partner", "p"): (1, b"1")}), ("committed", 1))
        await stub.until("committed", 2)

    asyncio.run(played(tmp_path, again))


def test_a_connection_that_says_nothing_or_nonsense_harms_nobody(tmp_path):
    async def scene(process, stub, url):
        host, port = url.removeprefix("ws://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"\x00\xff" * 9_000 + b"\r\n\r\n")
        assert await asyncio.wait_for(reader.read(), 20.0) is not None  # ended by the other side
        async with connect(f"{url}/control", subprotocols=["jsonrpc"]) as stranger:
            assert "control.hello" in await stranger.recv()
            await stranger.send("{}")
            with pytest.raises(ConnectionClosed):
                await stranger.recv()
        assert (await step(process, 1)).version == 1 and not process.lines

    asyncio.run(played(tmp_path, scene))
