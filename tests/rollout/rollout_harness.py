"""Three control processes and ingresses that watch them, as processes, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from base64 import b64encode
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.records import Recorder
from rushweir.lab.standins.nodelist import NodeList, wall_offset_ms
from tests.rollout.control_harness import ALL, TIMEOUT_S, ControlHarness

SETTINGS = """\
ingress {number} {count}
zone a
listen 127.0.0.1:0
path /dispatch
state run-{name}
control {{
    socket {name}.sock
}}
list {{
    url ws://127.0.0.1:{list}/list
}}
rollout {{
{controls}    key-file watch.key
    name {name}
}}
"""
CLASS = b"aim 800ms\ndeadline 3s\nrepeat safe\n"
# Plans without a ceiling have no interim state.
PLAN = b"rate 100000/s\nburst 100000\nceiling-rate 500/s\nceiling-burst 500\n"


def partner(digest: int, more: str = "") -> bytes:
    return b"plan wide\ncredential sha256:%064x\n%s" % (digest, more.encode())


class Site:
    """A folder with control processes and ingresses."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.control = folder, ControlHarness(folder)
        self.list = NodeList(Recorder(None), wall_offset_ms())
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.lines: dict[str, list[dict[str, Any]]] = {}
        self.texts: dict[str, list[str]] = {}
        self.line_read = asyncio.Condition()
        self.readers: set[asyncio.Task] = set()

    async def up(self, *names: str, numbers: dict[str, tuple[int, int]] | None = None) -> None:
        await self.list.listen()
        (self.folder / "watch.key").write_bytes(b"w" * 32)
        (self.folder / "watch.key").chmod(0o600)
        await self.control.start_all(more="watch-key-file watch.key\n")
        controls = "".join(f"    control 127.0.0.1:{port}\n" for port in self.control.ports)
        for name in names:
            number, count = (numbers or {}).get(name, (0, 1))
            text = SETTINGS.format(number=number, count=count, name=name, list=self.list.port, controls=controls)
            (self.folder / f"{name}.conf").write_text(text)

    async def first(self, partners: int = 3) -> int:
        """Commit the first settings: a class, a plan and some partners."""
        return await self.change(
            ("class", "position", CLASS), ("plan", "wide", PLAN), ("log", "", b"form json\n"),
            *(("partner", f"p{n}", partner(n)) for n in range(partners)),
        )  # fmt: skip

    async def change(self, *rows: tuple[str, str, bytes | None], by: int | None = None) -> int:
        """Commit a change set at a control process that a majority hears; return its version."""
        changes = [[kind, name, None if data is None else b64encode(data).decode()] for kind, name, data in rows]
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for k in ALL if by is None else (by,):
                    if self.control.processes[k].returncode is None:
                        answer = await self.control.ask(k, "propose", changes=changes, author="test")
                        if answer["number"] is not None:
                            return answer["number"]
                async with self.control.line_read:  # log lines tell of an election
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.control.line_read.wait(), 0.2)

    # --- ingresses -------------------------------------------------------------------------------

    async def start(self, *names: str) -> None:
        for name in names:
            process = self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "rushweir", "serve", str(self.folder / f"{name}.conf"), "--log", "json",
                stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            self.lines[name], self.texts[name] = [], []
            task = asyncio.create_task(self._read(name, process))
            self.readers.add(task)
            task.add_done_callback(self.readers.discard)

    async def _read(self, name: str, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            async with self.line_read:
                try:
                    self.lines[name].append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    self.texts[name].append(line.decode())
                self.line_read.notify_all()

    async def line(self, name: str, event: str, **fields: Any) -> dict[str, Any]:
        """Wait until an ingress logs an event with these fields."""

        def find() -> dict[str, Any] | None:
            same = (x for x in self.lines[name] if x["event"] == event)
            return next((x for x in same if all(x.get(f) == v for f, v in fields.items())), None)

        async with self.line_read:
            try:
                await asyncio.wait_for(self.line_read.wait_for(lambda: find() is not None), TIMEOUT_S)
            except TimeoutError:
                raise AssertionError(f"{name}: no {event} {fields}: {self.lines[name]} {self.texts[name]}") from None
        found = find()
        assert found is not None
        return found

    async def serving(self, *names: str) -> None:
        for name in names:
            await self.line(name, "listening")

    async def in_force(self, version: int, *names: str) -> None:
        """Wait until these act on a version; of several applied at once only the last is logged."""
        for name in names:
            async with asyncio.timeout(TIMEOUT_S):
                while (await self.status(name))["rollout"]["version"] < version:
                    async with self.line_read:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.line_read.wait(), 0.2)

    async def ask(self, name: str, method: str, **params: Any) -> Any:
        reader, writer = await asyncio.open_unix_connection(str(self.folder / f"{name}.sock"), limit=1 << 24)
        try:
            writer.write(orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}) + b"\n")
            answer = orjson.loads(await asyncio.wait_for(reader.readline(), TIMEOUT_S))
            assert "error" not in answer, answer
            return answer["result"]
        finally:
            writer.close()

    async def status(self, name: str) -> dict[str, Any]:
        return await self.ask(name, "status")

    async def seen(self, k: int, true: Any) -> dict[str, Any]:
        """Wait until the status rows of ingresses at a control process satisfy a condition; return its status."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                answer = await self.control.ask(k, "status")
                if true({row["ingress"]: row for row in answer["ingresses"]}):
                    return answer
                await asyncio.sleep(0.05)

    async def kill(self, name: str) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()

    async def down(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await asyncio.gather(*self.readers)
        await self.control.stop_all()
        self.list.down()


def play(folder: Path, body: Any) -> None:
    """Run ``body`` against a site, and end all processes that it started."""

    async def whole() -> None:
        site = Site(folder)
        try:
            await asyncio.wait_for(body(site), 100)
        finally:
            await site.down()

    asyncio.run(whole())
