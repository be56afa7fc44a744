"""The operators' socket of a control process: JSON-RPC 2.0, one message a line, as an ingress's (daemon/control.py).

status {}                          how this control process and those that it reaches stand
objects {"after": [kind, name]}    objects as they are in force, in their order, up to OBJECTS_BYTES at a time
propose {"changes": [[kind, name, base64 or null]], "author", "base"}
                                   one step of all; answered once it is in force, or will not be
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

from rushweir.daemon.control import MOST_CONNECTIONS, Lines, OperatorError, answer, ask
from rushweir.link import rpc
from rushweir.rollout.change_sets import MAX_CHANGE_SET_BYTES

if TYPE_CHECKING:
    from rushweir.daemon.control_process import ControlProcess

MOST_LINE = 2 * MAX_CHANGE_SET_BYTES  # of a question: a step in base64
OBJECTS_BYTES = 1_048_576  # of objects in one answer, and one more


class Operators:
    """Those who are connected to one control process."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process
        self.tasks: set[asyncio.Task] = set()
        self.methods = {"status": self.status, "objects": self.objects}

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        path = self.process.config.socket
        with contextlib.suppress(FileNotFoundError):
            path.unlink()  # the state folder's lock says that its owner is gone
        umask = os.umask(0o177)
        try:
            server = await asyncio.start_unix_server(self._operator, path=str(path))
        finally:
            os.umask(umask)
        try:
            yield
        finally:
            server.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            with contextlib.suppress(OSError):
                path.unlink()

    async def _operator(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        lines = Lines(MOST_LINE)
        try:
            if len(self.tasks) > MOST_CONNECTIONS:
                writer.write(rpc.error(None, rpc.REFUSED, "too many operators' connections") + b"\n")
                return
            while data := await reader.read(65536):
                for line in lines.feed(data):
                    writer.write(await self._answer(line) + b"\n")
                    await writer.drain()
        except ValueError as problem:
            writer.write(rpc.error(None, rpc.INVALID_REQUEST, str(problem)) + b"\n")
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line: bytes) -> bytes:
        call = ask(line)
        if isinstance(call, bytes):
            return call
        if call.method != "propose":
            return answer(call, self.methods)
        try:
            return rpc.result(call.id, await self.propose(**(call.params or {})))
        except (TypeError, OperatorError) as problem:
            return rpc.error(call.id, rpc.INVALID_PARAMS, str(problem).replace("Operators.", "")[:300])

    # --- what they ask ---------------------------------------------------------------------------

    async def propose(self, changes: list[list[Any]], author: str = "", base: int | None = None) -> dict[str, Any]:
        from rushweir.daemon.control_process import changes_of

        if not isinstance(author, str) or not (base is None or type(base) is int):
            raise OperatorError("author: a text; base: a version")
        try:
            rows = [[k, n, d if d is None else b64decode(d, validate=True)] for k, n, d in changes]
            made = changes_of(rows)
        except (ValueError, TypeError) as problem:
            raise OperatorError(f"changes: rows of kind, name and base64 or null ({problem})") from None
        a = await self.process.propose(made, author, base)
        return {"number": a.version, "why": a.reason, "leader": a.leader, "unsure": a.unsure}

    def status(self) -> dict[str, Any]:
        p = self.process
        now = p.clock()
        told = p.core.status(now)
        if p.sessions is not None and hasattr(p.sessions, "rows"):
            told |= {"ingresses": p.sessions.rows(), "least": p.sessions.minimum_acting_version()}
        return told | {
            "address": ":".join(map(str, p.config.addresses[p.config.me])), "linked": sorted(p.lines),
            "watchers": len(p.watchers), "counts": dict(p.core.counts),
        }  # fmt: skip

    def objects(self, after: list[str] | None = None) -> dict[str, Any]:
        core = self.process.core
        keys = sorted(core.objects)
        if after is not None:
            if not (isinstance(after, list) and len(after) == 2 and all(isinstance(w, str) for w in after)):
                raise OperatorError("after: kind and name")
            keys = [k for k in keys if k > tuple(after)]
        rows, room = [], OBJECTS_BYTES
        for key in keys:
            if room <= 0:
                break
            version, data = core.objects[key]
            rows.append([*key, version, b64encode(data).decode()])
            room -= len(data) + 64
        return {"number": core.version, "objects": rows, "more": len(rows) < len(keys)}
