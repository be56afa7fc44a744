"""Watchers' connections, on the listening address of a control process."""

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


class StubSessions:
    """Sends each watcher the committed versions, and closes the connection of one that sends ``bad``."""

    def __init__(self):
        self.commands, self.calls, self.conns, self.current = deque(), [], set(), None
        self.called = asyncio.Event()

    def _record(self, *call):
        self.calls.append(call)
        self.called.set()

    def snapshot_installed(self, now, number, objects):
        self._record("snapshot_installed", number, objects)

    def committed(self, now, change_set):
        self._record("committed", change_set.version)
        self.commands.extend(SimpleNamespace(conn=conn, data=b"%d" % change_set.version) for conn in self.conns)
        self.commands.append(SimpleNamespace(report={"at": change_set.version}))

    def set_current(self, now, current):
        self.current = current

    def opened(self, now, conn):
        self.conns.add(conn)
        self.commands.append(SimpleNamespace(conn=conn, data=b"hello"))

    def received(self, now, conn, text):
        self._record("received", bytes(text))
        if text == b"bad":
            self.commands.append(SimpleNamespace(conn=conn, why="malformed"))

    def set_writable(self, now, conn, writable):
        self._record("writable", writable)

    def closed(self, now, conn):
        self.conns.discard(conn)
        self._record("closed", conn)

    def take_report(self, now, told):
        self._record("report", told)

    def next_at(self):
        return None

    def advance(self, now):
        return

    async def wait_for(self, *expected):
        """Wait for a call that begins with these."""
        async with asyncio.timeout(20.0):
            while not any(call[: len(expected)] == expected for call in self.calls):
                self.called.clear()
                await self.called.wait()


async def run_process(folder, scenario):
    """Run one control process during a scenario, and end it; returns its sessions."""
    config = ControlConfig(0, (("127.0.0.1", free_port()),), folder / "state", b"k" * 32, folder / "sock")
    stub = StubSessions()
    files = ControlFiles(config.state, 0, 1, not (folder / "state").exists())
    process = ControlProcess(config, files, Clock(), lambda *_, **__: None, stub)
    up = asyncio.Event()
    run = asyncio.create_task(process.run(lambda _: up.set(), lambda p: Operators(p).serve()))
    try:
        await up.wait()
        await scenario(process, stub, f"ws://127.0.0.1:{config.addresses[0][1]}")
    finally:
        process.ending.set()
        assert await run == 0
    return stub


async def propose(process, n):
    while process.core.leader < 0:  # until its own vote is on disk
        await asyncio.sleep(0)
    return await process.propose((Change(("partner", "p"), b"%d" % n),), "me", None)


def test_watchers_receive_change_sets_also_after_a_restart(tmp_path):
    async def before_restart(process, stub, url):
        address, options = f"{url}/watch", {"subprotocols": ["jsonrpc"]}
        async with connect(address, **options) as one, connect(address, **options) as two:
            assert [await one.recv(), await two.recv()] == ["hello", "hello"]
            assert (await propose(process, 1)).version == 1
            assert [await one.recv(), await two.recv()] == ["1", "1"]
            assert stub.current
            await two.send("bad")
            with pytest.raises(ConnectionClosed):
                await two.recv()
            assert two.close_code == 1008 and two.close_reason == "malformed"
            await one.send("thanks")
            await stub.wait_for("received", b"thanks")
            await stub.wait_for("closed", 2)
        await stub.wait_for("closed", 1)
        assert not stub.conns and not process.watchers
        with pytest.raises(InvalidStatus) as refused:
            await connect(f"{url}/else", subprotocols=["jsonrpc"])
        assert refused.value.response.status_code == 404

    asyncio.run(run_process(tmp_path, before_restart))

    async def after_restart(process, stub, url):
        assert (await propose(process, 2)).version == 2
        # What its disk says is committed; if it ended before that was written, what it commits after the start.
        assert stub.calls[0] in (("snapshot_installed", 1, {("partner", "p"): (1, b"1")}), ("committed", 1))
        await stub.wait_for("committed", 2)

    asyncio.run(run_process(tmp_path, after_restart))


def test_malformed_connection_is_closed_and_does_not_disturb_others(tmp_path):
    async def scenario(process, stub, url):
        host, port = url.removeprefix("ws://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"\x00\xff" * 9_000 + b"\r\n\r\n")
        assert await asyncio.wait_for(reader.read(), 20.0) is not None  # closed by the other side
        async with connect(f"{url}/control", subprotocols=["jsonrpc"]) as stranger:
            assert "control.hello" in await stranger.recv()
            await stranger.send("{}")
            with pytest.raises(ConnectionClosed):
                await stranger.recv()
        assert (await propose(process, 1)).version == 1 and not process.lines

    asyncio.run(run_process(tmp_path, scenario))
