"""Three processes of ``rushweir control`` with a relay on each connection between them, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from base64 import b64decode, b64encode
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.ports import free_port

COUNT = 3
ALL = (0, 1, 2)
WITHIN_S = 30.0


class Relay:
    """A stand-in for the way of one connection: it can hold what comes, and alter bytes."""

    def __init__(self, to: int) -> None:
        self.to, self.port = to, 0
        self.open = asyncio.Event()
        self.open.set()
        self.spoil = 0  # so many chunks to come get a bit altered
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        there = None
        try:
            await self.open.wait()
            back, there = await asyncio.open_connection("127.0.0.1", self.to)
            ways = [asyncio.ensure_future(self._pass(reader, there)), asyncio.ensure_future(self._pass(back, writer))]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for w in (writer, there):
                if w is not None:
                    w.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.open.wait()
                if self.spoil:
                    self.spoil -= 1
                    data = data[:-1] + bytes([data[-1] ^ 1])
                writer.write(data)
                await writer.drain()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Stage:
    """Control processes in a folder; ``lines`` are what each told, over all its starts."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.lines: dict[int, list[dict[str, Any]]] = {k: [] for k in range(COUNT)}
        self.texts: dict[int, list[str]] = {k: [] for k in range(COUNT)}
        self.told = asyncio.Condition()
        self.readers: set[asyncio.Task] = set()
        self.relays: dict[tuple[int, int], Relay] = {}  # from who dials, to whom

    async def up(self, *, keys: tuple[bytes, ...] = (b"k" * 32,) * COUNT, more: str = "") -> None:
        """``more``: lines of all their settings."""
        ports = self.ports = [free_port() for _ in range(COUNT)]
        for a in range(COUNT):
            for b in range(a):
                self.relays[a, b] = Relay(ports[b])
                await self.relays[a, b].listen()
        for k in range(COUNT):
            (self.folder / f"{k}.key").write_bytes(keys[k])
            (self.folder / f"{k}.key").chmod(0o600)
            where = {n: self.relays[k, n].port if n < k else ports[n] for n in range(COUNT)}
            text = "".join(f"process {n} 127.0.0.1:{port}\n" for n, port in where.items())
            text += f"control {k}\nstate state-{k}\nkey-file {k}.key\nsocket {k}.sock\n{more}"
            (self.folder / f"{k}.conf").write_text(text)
        await asyncio.gather(*(self.start(k, "--new") for k in range(COUNT)))

    async def start(self, k: int, *more: str, listens: bool = True) -> None:
        process = self.processes[k] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir", "control", str(self.folder / f"{k}.conf"), "--log", "json", *more,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        task = asyncio.create_task(self._read(k, process))
        self.readers.add(task)
        task.add_done_callback(self.readers.discard)
        if listens:
            line = await asyncio.wait_for(process.stdout.readline(), WITHIN_S)
            assert line.startswith(b"control "), (line, self.texts[k])

    async def _read(self, k: int, process: asyncio.subprocess.Process) -> None:
        while line := await process.stderr.readline():
            async with self.told:
                try:
                    self.lines[k].append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    self.texts[k].append(line.decode())
                self.told.notify_all()

    async def line(self, among: Any, cause: str, after: dict[int, int] | None = None, **fields: Any) -> int:
        """Wait until one of these tells it; which one. ``after``: lines that are not meant (``marks``)."""

        def find() -> int | None:
            for k in among:
                for line in self.lines[k][(after or {}).get(k, 0) :]:
                    if line["event"] == cause and all(line.get(f) == v for f, v in fields.items()):
                        return k
            return None

        async with self.told:
            try:
                await asyncio.wait_for(self.told.wait_for(lambda: find() is not None), WITHIN_S)
            except TimeoutError:
                raise AssertionError(f"{cause} {fields} is not told by {among}: {self.lines} {self.texts}") from None
        found = find()
        assert found is not None
        return found

    def marks(self) -> dict[int, int]:
        return {k: len(lines) for k, lines in self.lines.items()}

    async def all_have(self, number: int, among: Any = ALL) -> None:
        """Until each of these is at a step, at least; a whole that was taken counts, too."""
        async with asyncio.timeout(WITHIN_S):
            for k in among:
                while (await self.ask(k, "status"))["number"] < number:
                    await self.more()

    async def more(self) -> None:
        """Until one tells a line (each step in force is one), or for a moment: what is asked for may be told by then,
        and only not be heard of yet by whom we ask."""
        async with self.told:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.told.wait(), 0.2)

    # --- faults ----------------------------------------------------------------------------------

    async def kill(self, k: int) -> None:
        self.processes[k].kill()
        await self.processes[k].wait()

    def cut(self, k: int, on: bool = True) -> None:
        for pair, relay in self.relays.items():
            if k in pair:
                (relay.open.clear if on else relay.open.set)()

    def log(self, k: int) -> Path:
        return self.folder / f"state-{k}" / "steps.log"

    # --- operators -------------------------------------------------------------------------------

    async def ask(self, k: int, method: str, **params: Any) -> Any:
        return await (await self.asking(k, method, **params))

    async def asking(self, k: int, method: str, **params: Any) -> asyncio.Task:
        """The question is with the process' socket by now; its answer comes with the task."""
        reader, writer = await asyncio.open_unix_connection(str(self.folder / f"{k}.sock"), limit=1 << 24)
        writer.write(orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}) + b"\n")
        await writer.drain()
        return asyncio.create_task(self._answer(reader, writer))

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        try:
            line = await asyncio.wait_for(reader.readline(), WITHIN_S)
            assert line, "the process ended before it answered"
            told = orjson.loads(line)
            assert "error" not in told, told
            return told["result"]
        finally:
            writer.close()

    async def proposing(self, k: int, name: str, data: bytes, base: int | None = None) -> asyncio.Task:
        rows = [["partner", name, b64encode(data).decode()]]
        return await self.asking(k, "propose", changes=rows, author=f"operator-{k}", base=base)

    async def propose(self, k: int, name: str, data: bytes, base: int | None = None) -> dict[str, Any]:
        return await (await self.proposing(k, name, data, base))

    async def objects(self, k: int) -> dict[str, tuple[int, bytes]]:
        told = await self.ask(k, "objects")
        return {name: (version, b64decode(data)) for _, name, version, data in told["objects"]}

    async def down(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.readers)
        for relay in self.relays.values():
            await relay.close()
