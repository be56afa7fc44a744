"""The console's process, as the daemon keeps it: started, started again when it ends, ended with the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from typing import Any, Protocol

import orjson

PAUSES_S = (0.5, 30.0)  # before it is started again, the first time and at most
BACKLOG = 128


class Service(Protocol):
    """What the console's process needs of the daemon."""

    config: Any
    core: Any
    shell: Any
    log: Any

    def clock(self) -> float: ...


class ConsoleProcess:
    """Holds the listening socket, so that viewers wait out a restart of the process, and a handover."""

    def __init__(self, service: Service, inherited: socket.socket | None) -> None:
        """Raises OSError where the address can't be had."""
        self.service = service
        block = service.config.file.console
        assert block is not None
        if inherited is not None:
            self.sock = inherited
        else:
            host, port = block.listen
            self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind((host, port))
            self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.process: asyncio.subprocess.Process | None = None
        self.keeper: asyncio.Task | None = None

    @property
    def address(self) -> str:
        host, port = self.sock.getsockname()[:2]
        return f"http://{f'[{host}]' if ':' in host else host}:{port}/"

    async def start(self) -> None:
        self.keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """Start it again when it ends, later each time it ends soon."""
        service, loop = self.service, asyncio.get_running_loop()
        pause = PAUSES_S[0]
        while True:
            began = loop.time()
            try:
                await self._run()
            except OSError as problem:
                service.log.event("error", "console_not_started", why=str(problem))
            if loop.time() - began > 60:
                pause = PAUSES_S[0]
            service.core.log(service.clock(), "warning", "console_ended", again_in_s=pause)
            service.shell.carry_out()
            await asyncio.sleep(pause)
            pause = min(PAUSES_S[1], pause * 2)

    async def _run(self) -> None:
        service, file = self.service, self.service.config.file
        base, block = service.config.base, file.console
        settings = {
            "fd": self.sock.fileno(), "control": str((base / file.control.socket).resolve()),
            "users_file": str((base / block.users_file).resolve()), "session_ms": block.session,
            "viewers": block.viewers, "metrics": block.metrics, "name": f"rushweir {service.config.me}, {file.zone}",
        }  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir.console", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            pass_fds=[self.sock.fileno()],
        )  # fmt: skip
        self.process.stdin.write(orjson.dumps(settings) + b"\n")
        if await self.process.stdout.readline():
            service.log.event("info", "console_listening", where=self.address, pid=self.process.pid)
        await self.process.wait()

    async def end(self) -> None:
        if self.keeper is not None:
            self.keeper.cancel()
            await asyncio.gather(self.keeper, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), 2.0)
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
                await self.process.wait()
        self.sock.close()
