"""Three ``rushweir control`` processes with a relay on each connection between them, for tests."""

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
TIMEOUT_S = 30.0


class Relay:
    """A TCP relay for one connection: it can hold data back, and alter bytes."""

    def __init__(self, target_port: int) -> None:
        self.target_port, self.port = target_port, 0
        self.open = asyncio.Event()
        self.open.set()
        self.chunks_to_corrupt = 0  # so many of the next chunks get one bit altered
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        target_writer = None
        try:
            await self.open.wait()
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            directions = [
                asyncio.ensure_future(self._forward(reader, target_writer)),
                asyncio.ensure_future(self._forward(target_reader, writer)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for w in (writer, target_writer):
                if w is not None:
                    w.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.open.wait()
                if self.chunks_to_corrupt:
                    self.chunks_to_corrupt -= 1
                    data = data[:-1] + bytes([data[-1] ^ 1])
                writer.write(data)
                await writer.drain()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class ControlHarness:
    """Control processes in a folder; ``lines`` are the log events of each, over all its starts."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.lines: dict[int, list[dict[str, Any]]] = {k: [] for k in range(COUNT)}
        self.other_output: dict[int, list[str]] = {k: [] for k in range(COUNT)}
        self.line_read = asyncio.Condition()
        self.readers: set[asyncio.Task] = set()
        self.relays: dict[tuple[int, int], Relay] = {}  # by the process that dials and the one that it dials

    async def start_all(self, *, keys: tuple[bytes, ...] = (b"k" * 32,) * COUNT, more: str = "") -> None:
        """Start all processes for the first time. ``more``: lines for the settings of each."""
        ports = self.ports = [free_port() for _ in range(COUNT)]
        for a in range(COUNT):
            for b in range(a):
                self.relays[a, b] = Relay(ports[b])
                await self.relays[a, b].listen()
        for k in range(COUNT):
            (self.folder / f"{k}.key").write_bytes(keys[k])
            (self.folder / f"{k}.key").chmod(0o600)
            dialed_ports = {n: self.relays[k, n].port if n < k else ports[n] for n in range(COUNT)}
            text = "".join(f"process {n} 127.0.0.1:{port}\n" for n, port in dialed_ports.items())
            text += f"control {k}\nstate state-{k}\nkey-file {k}.key\nsocket {k}.sock\n{more}"
            (self.folder / f"{k}.conf").write_text(text)
        await asyncio.gather(*(self.start(k, "--new") for k in range(COUNT)))

    async def start(self, k: int, *more: str, listens: bool = True) -> None:
        """Start process ``k``; ``listens``: wait until it does."""
        process = self.processes[k] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir", "control", str(self.folder / f"{k}.conf"), "--log", "json", *more,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        task = asyncio.create_task(self._read(k, process))
        self.readers.add(task)
        task.add_done_callback(self.readers.discard)
        if listens:
            line = await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S)
            assert line.startswith(b"control "), (line, self.other_output[k])

    async def _read(self, k: int, process: asyncio.subprocess.Process) -> None:
        while line := await process.stderr.readline():
            async with self.line_read:
                try:
                    self.lines[k].append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    self.other_output[k].append(line.decode())
                self.line_read.notify_all()

    async def wait_for_event(self, among: Any, cause: str, after: dict[int, int] | None = None, **fields: Any) -> int:
        """Wait until one of these processes logs an event; return which. ``after``: from ``line_counts``, lines to
        skip."""

        def find() -> int | None:
            for k in among:
                for line in self.lines[k][(after or {}).get(k, 0) :]:
                    if line["event"] == cause and all(line.get(f) == v for f, v in fields.items()):
                        return k
            return None

        async with self.line_read:
            try:
                await asyncio.wait_for(self.line_read.wait_for(lambda: find() is not None), TIMEOUT_S)
            except TimeoutError:
                raise AssertionError(
                    f"{cause} {fields} is not logged by {among}: {self.lines} {self.other_output}"
                ) from None
        found = find()
        assert found is not None
        return found

    def line_counts(self) -> dict[int, int]:
        """How many events each process has logged."""
        return {k: len(lines) for k, lines in self.lines.items()}

    async def wait_for_version(self, version: int, among: Any = ALL) -> None:
        """Wait until each of these processes has committed a version at least, or taken a snapshot of it."""
        async with asyncio.timeout(TIMEOUT_S):
            for k in among:
                while (await self.ask(k, "status"))["number"] < version:
                    await self.wait_for_line()

    async def wait_for_line(self) -> None:
        """Wait until a process logs an event (each commit is one), or for a moment: the event that is awaited may
        have been logged already, while the process that is asked has not caught up."""
        async with self.line_read:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.line_read.wait(), 0.2)

    # --- faults ----------------------------------------------------------------------------------

    async def kill(self, k: int) -> None:
        self.processes[k].kill()
        await self.processes[k].wait()

    def isolate(self, k: int) -> None:
        """Hold back all data between a process and the others."""
        for pair, relay in self.relays.items():
            if k in pair:
                relay.open.clear()

    def reconnect(self, k: int) -> None:
        """End the isolation of a process."""
        for pair, relay in self.relays.items():
            if k in pair:
                relay.open.set()

    def log_file(self, k: int) -> Path:
        return self.folder / f"state-{k}" / "steps.log"

    # --- operators -------------------------------------------------------------------------------

    async def ask(self, k: int, method: str, **params: Any) -> Any:
        """Call a method at a process's operators' socket; return the result."""
        return await (await self.start_request(k, method, **params))

    async def start_request(self, k: int, method: str, **params: Any) -> asyncio.Task:
        """Send a request to a process's socket; return a task with its result."""
        reader, writer = await asyncio.open_unix_connection(str(self.folder / f"{k}.sock"), limit=1 << 24)
        writer.write(orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}) + b"\n")
        await writer.drain()
        return asyncio.create_task(self._result(reader, writer))

    async def _result(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        try:
            line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
            assert line, "the process ended before it answered"
            answer = orjson.loads(line)
            assert "error" not in answer, answer
            return answer["result"]
        finally:
            writer.close()

    async def start_proposal(self, k: int, name: str, data: bytes, base: int | None = None) -> asyncio.Task:
        rows = [["partner", name, b64encode(data).decode()]]
        return await self.start_request(k, "propose", changes=rows, author=f"operator-{k}", base=base)

    async def propose(self, k: int, name: str, data: bytes, base: int | None = None) -> dict[str, Any]:
        """Propose a change of one partner; return the answer."""
        return await (await self.start_proposal(k, name, data, base))

    async def objects(self, k: int) -> dict[str, tuple[int, bytes]]:
        """Version and data of each committed object of a process, by name."""
        answer = await self.ask(k, "objects")
        return {name: (version, b64decode(data)) for _, name, version, data in answer["objects"]}

    async def stop_all(self) -> None:
        """Kill all processes, and close the relays."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.readers)
        for relay in self.relays.values():
            await relay.close()
