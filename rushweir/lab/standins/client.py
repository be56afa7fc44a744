"""A client as a stand-in: one WebSocket connection, requests by JSON-RPC, every answer noted."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Any
from urllib.parse import urlsplit

from rushweir.fronts.websocket import CLOSING_METHOD
from rushweir.lab.records import Recorder
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol

_numbers = itertools.count(1)


class Refused(Exception):
    """The handshake was answered with something else than 101; ``retry_after_s``: its advice, 0: none."""

    def __init__(self, status: int, retry_after_s: float = 0.0) -> None:
        super().__init__(f"HTTP status {status}")
        self.status, self.retry_after_s = status, retry_after_s


class Client:
    """One connection. ``ask`` returns the answer; ``send`` only sends, for tests that time things themselves."""

    def __init__(self, records: Recorder | None = None, ingress: int = -1, heeds_closing: bool = False) -> None:
        """``heeds_closing``: whether it acts on ``closing`` and leaves by itself; else the server closes."""
        self.records, self.ingress, self.heeds_closing = records, ingress, heeds_closing
        self.leaving = False  # nothing more may be asked here
        self.number = next(_numbers)
        self.open: dict[Any, asyncio.Future] = {}
        self.answers: list[rpc.Reply] = []  # every answer, in the order in which they came
        self.closed = asyncio.Event()
        self.close_code: int | None = None
        self.serial = 0
        self.reading: asyncio.Task | None = None

    async def connect(self, url: str, credential: str | None, deflate: bool = False, timeout: float = 5.0) -> Client:
        """Open the connection. Raises Refused, OSError or TimeoutError."""
        where = urlsplit(url)
        async with asyncio.timeout(timeout):
            self.reader, self.writer = await asyncio.open_connection(where.hostname, where.port)
            self.messages = Messages(client_protocol(url, 1 << 24, deflate))
            headers = {"Authorization": f"Bearer {credential}"} if credential is not None else {}
            self.messages.connect(headers)
            self.flush()
            while True:
                data = await self.reader.read(65536)
                opened = self.messages.receive_handshake(data) if data else False
                if opened:
                    break
                if opened is False:
                    self.writer.transport.abort()
                    response = getattr(self.messages.protocol.handshake_exc, "response", None)
                    if response is None:
                        raise Refused(0)
                    raise Refused(response.status_code, float(response.headers.get("Retry-After", 0)))
        if self.records is not None:
            self.records.note("open", client=self.number, ingress=self.ingress)
        self.reading = asyncio.create_task(self._read())
        return self

    def flush(self) -> None:
        writes, end = self.messages.take()
        if writes:
            self.writer.write(b"".join(writes))
        if end:
            self.writer.close()

    def send(self, method: str, params: Any = None, id: Any = None, tag: str = "") -> Any:
        """Send one request; returns its id. Its answer is in ``open[id]``."""
        if id is None:
            self.serial += 1
            id = self.serial
        self.open[id] = asyncio.get_running_loop().create_future()
        if self.records is not None:
            within = (params or {}).get("within_ms")
            units = (params or {}).get("units", 1)
            fields = {"cls": method, "within": within, "units": units, "tag": tag}
            self.records.note("ask", client=self.number, ingress=self.ingress, id=id, **fields)
        self.messages.send(rpc.call(method, params, id))
        self.flush()
        return id

    async def ask(
        self, method: str, params: Any = None, id: Any = None, tag: str = "", timeout: float = 10.0
    ) -> rpc.Reply:
        future = self.open[self.send(method, params, id, tag)]
        return await asyncio.wait_for(future, timeout)

    def raw(self, text: bytes) -> None:
        """Send one text message as it is."""
        self.messages.send(text)
        self.flush()

    async def _read(self) -> None:
        lost = True
        try:
            while data := await self.reader.read(65536):
                for text in self.messages.receive(data):
                    self._message(text)
                self.flush()
                if not self.messages.open:
                    lost = False
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            received = self.messages.protocol.close_rcvd
            self.close_code = int(received.code) if received is not None else None
            if self.records is not None:
                self.records.note("lost" if lost else "closed", client=self.number, code=self.close_code)
            self.closed.set()
            for future in self.open.values():
                if not future.done():
                    future.cancel()
            self.writer.close()

    def _message(self, text: bytes | str) -> None:
        message = rpc.parse(text, 100_000)
        if self.heeds_closing and isinstance(message, rpc.Call) and message.method == CLOSING_METHOD:
            self.leaving = True
        for reply in message.calls if isinstance(message, rpc.Batch) else (message,):
            if not isinstance(reply, rpc.Reply):
                continue
            self.answers.append(reply)
            if self.records is not None:
                self.records.note("answer", client=self.number, id=reply.id, kind=kind(reply), why=why(reply))
            future = self.open.pop(reply.id, None)
            if future is not None and not future.done():
                future.set_result(reply)
        if self.leaving and all(future.done() for future in self.open.values()):
            self.messages.close(1000)

    async def close(self) -> None:
        """Leave in order: the closing handshake, then the end."""
        if self.records is not None:
            self.records.note("leave", client=self.number)
        self.messages.close(1000)
        self.flush()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.closed.wait(), 2.0)
        await self.end()

    def vanish(self) -> None:
        """Leave without a word."""
        if self.records is not None:
            self.records.note("leave", client=self.number)
        self.writer.transport.abort()

    async def end(self) -> None:
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)
        self.writer.transport.abort()


def kind(reply: rpc.Reply) -> str:
    """served, refused, failed; or error for one of the protocol's own, or the application's."""
    if reply.error is None:
        return "served"
    code = reply.error.get("code")
    data = reply.error.get("data")
    if code == rpc.REFUSED or (isinstance(data, dict) and data.get("repeat") == "harmless"):
        return "refused"
    return "failed" if code == rpc.FAILED else "error"


def why(reply: rpc.Reply) -> str:
    data = reply.error.get("data") if reply.error is not None else None
    return str(data.get("reason", "")) if isinstance(data, dict) else ""
