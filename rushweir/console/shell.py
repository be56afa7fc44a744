"""The console's shell on asyncio: viewers' connections on one side, the daemon's socket on the other.

Viewers are bounded in number, in what they may send, and in time: for a head, for taking an answer. Answers of
the daemon are held for a moment and shared, so that twenty viewers of one page cost the ingress as much as one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson

from rushweir.console.app import SAFE, App, Login, Page, Question
from rushweir.console.http import HttpConnection, HttpError, Request, Response
from rushweir.console.sessions import Sessions, UsersError, check_password, read_users
from rushweir.daemon.control import MOST_ANSWER
from rushweir.link import rpc

HEAD_S, IDLE_S, WRITE_S = 10.0, 60.0, 15.0
FRESH_S = 1.0  # for how long an answer of the daemon is shared
MOST_SHARED = 256
CONNECTIONS_EACH = 6  # that a browser opens to one host

Asks = Callable[[str, dict[str, Any]], Awaitable[Any]]


class DaemonError(Exception):
    """The daemon said no, or nothing."""


class DaemonLink:
    """Questions to the daemon over its Unix socket, one connection, opened when it is needed."""

    def __init__(self, path: str) -> None:
        self.path, self.serial = path, 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.turn = asyncio.Lock()

    async def ask(self, method: str, params: dict[str, Any]) -> Any:
        """Raises DaemonError."""
        async with self.turn:
            try:
                async with asyncio.timeout(10):
                    if self.writer is None:
                        self.reader, self.writer = await asyncio.open_unix_connection(self.path, limit=MOST_ANSWER)
                    self.serial += 1
                    self.writer.write(rpc.call(method, params, self.serial) + b"\n")
                    line = await self.reader.readline()
                    if not line:
                        raise ConnectionResetError("it ended the connection")
                reply = rpc.parse(line)
            except (OSError, TimeoutError, ValueError, rpc.RpcError, asyncio.CancelledError) as problem:
                if self.writer is not None:
                    self.writer.close()
                self.writer = None
                if isinstance(problem, asyncio.CancelledError):
                    raise
                raise DaemonError(f"the ingress does not answer: {problem}") from None
        assert isinstance(reply, rpc.Reply)
        if reply.error is not None:
            raise DaemonError(reply.error.get("message", ""))
        return reply.result


class Shared:
    """Answers of the daemon, shared for a moment by all who ask the same."""

    def __init__(self, ask: Asks) -> None:
        self.ask = ask
        self.held: OrderedDict[bytes, tuple[float, asyncio.Future]] = OrderedDict()

    async def get(self, question: Question, fresh: bool) -> Any:
        """The answer, or the exception in its place."""
        method, params = question
        now, key = time.monotonic(), orjson.dumps(question, option=orjson.OPT_SORT_KEYS)
        kept = self.held.get(key)
        if kept is None or fresh or now - kept[0] > FRESH_S:
            work = asyncio.ensure_future(self.ask(method, params))
            if fresh:
                self.held.clear()  # what an action changed is to be seen
            else:
                self.held[key] = now, work
                self.held.move_to_end(key)
                while len(self.held) > MOST_SHARED:
                    self.held.popitem(last=False)
        else:
            work = kept[1]
        try:
            return await asyncio.shield(work)
        except DaemonError as problem:
            return problem


class ConsoleServer:
    """Serves an App to viewers."""

    def __init__(self, app: App, users: Callable[[], dict[str, str]], ask: Asks, viewers: int) -> None:
        """``users``: names and password hashes, as they are now; ``ask``: a question to the daemon."""
        self.app, self.users, self.shared = app, users, Shared(ask)
        self.most, self.open = viewers * CONNECTIONS_EACH, 0
        self.checking = asyncio.Semaphore(1)  # passwords cost CPU on purpose: one at a time
        self.waiting = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def serve(self, sock: socket.socket) -> None:
        self.server = await asyncio.start_server(self._viewer, sock=sock)

    async def end(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _viewer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.open += 1
        http = HttpConnection()
        address = (writer.get_extra_info("peername") or ("",))[0]
        try:
            if self.open > self.most:
                full = Response(503, b"too many viewers", "text/plain", [*SAFE, ("Retry-After", "5")])
                await self._send(writer, http, full, last=True)
                return
            while True:
                try:
                    request = await self._request(http, reader)
                    if request is None:
                        return
                    request.address = address
                    response = await self._respond(request)
                    if not await self._send(writer, http, response, request.method == "HEAD"):
                        return
                except HttpError as problem:
                    bad = Response(problem.status, str(problem).encode(), "text/plain", list(SAFE))
                    await self._send(writer, http, bad, last=True)
                    return
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort() if writer.transport.get_write_buffer_size() else writer.close()

    async def _request(self, http: HttpConnection, reader: asyncio.StreamReader) -> Request | None:
        """The next request; None at the end. A connection may be quiet between two, not inside of one."""
        try:
            async with asyncio.timeout(IDLE_S) as limit:
                request = http.next()
                while request is None:
                    data = await reader.read(16384)
                    if data and not http.begun:
                        limit.reschedule(asyncio.get_running_loop().time() + HEAD_S)
                    request = http.receive(data)
                    if not data:
                        return None
                return request
        except TimeoutError:
            if http.begun:
                raise HttpError(408, "no whole request in time") from None
            return None

    async def _send(
        self, writer: asyncio.StreamWriter, http: HttpConnection, response: Response, head_only: bool = False,
        last: bool = False,
    ) -> bool:  # fmt: skip
        """Write an answer; whether the connection goes on. Who takes it too slowly loses it."""
        out, goes_on = http.answer(response, head_only, last)
        writer.write(out)
        async with asyncio.timeout(WRITE_S):
            await writer.drain()
        return goes_on

    async def _respond(self, request: Request) -> Response:
        planned = self.app.plan(request, time.monotonic() * 1000)
        if isinstance(planned, Login):
            return await self._check(planned)
        if isinstance(planned, Page):
            answers = [await self.shared.get(q, planned.fresh) for q in planned.questions]
            return planned.render(answers)
        return planned

    async def _check(self, login: Login) -> Response:
        if self.waiting >= 16:
            return Response(503, b"too many logins at once", "text/plain", [*SAFE, ("Retry-After", "2")])
        self.waiting += 1
        try:
            async with self.checking:
                kept = self.users().get(login.user, "")
                return login.finish(await asyncio.to_thread(check_password, login.password, kept))
        finally:
            self.waiting -= 1


class UsersFile:
    """The users file, read again when it changes; a broken one leaves the last good one, and a word on the log."""

    def __init__(self, path: Path) -> None:
        self.path, self.stamp, self.users = path, (-1, -1), dict[str, str]()

    def __call__(self) -> dict[str, str]:
        try:
            at = self.path.stat()
            if (at.st_mtime_ns, at.st_size) != self.stamp:
                self.stamp = at.st_mtime_ns, at.st_size
                self.users = read_users(self.path.read_text(encoding="utf-8"))
        except (OSError, ValueError, UsersError) as problem:
            print(f"console: users file: {problem}", file=sys.stderr, flush=True)
        return self.users


async def run(settings: dict[str, Any]) -> None:
    """The console as a process: settings from the daemon, until its standard input ends."""
    with contextlib.suppress(OSError):
        os.nice(5)  # where CPU is short the ingress comes first
    link = DaemonLink(settings["control"])
    app = App(Sessions(settings["session_ms"]), settings["metrics"], settings["name"])
    server = ConsoleServer(app, UsersFile(Path(settings["users_file"])), link.ask, settings["viewers"])
    await server.serve(socket.socket(fileno=settings["fd"]))
    print("ready", flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()
    await server.end()


def main() -> None:
    asyncio.run(run(orjson.loads(sys.stdin.buffer.readline())))
