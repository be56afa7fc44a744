"""The platform's discovery as a stand-in: one catalog, and an agent at each ingress that tells it on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from rushweir.lab.records import Recorder, clock
from rushweir.lab.soak.http_backends import Backend
from rushweir.lab.soak.http_messages import answer, read_message

RECORDED_STATE = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


class Catalog:
    """The list of backends and its version."""

    def __init__(self) -> None:
        self.version = 1
        self.backends: list[Backend] = []
        self.cold_since: dict[str, float] = {}  # in the records' time
        self.changed = asyncio.Event()

    def add(self, backend: Backend) -> None:
        """Lists a backend, which may have started cold."""
        self.backends.append(backend)
        self.cold_since[backend.name] = clock() if backend.started_ms else 0.0
        self._change()

    def drain(self, backend: Backend) -> None:
        """A backend finishes its work and wants nothing new."""
        backend.state = "Terminating"
        self._change()

    def _change(self) -> None:
        self.version += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def page(self) -> dict[str, Any]:
        """Returns the whole list as the platform writes it."""
        servers = [
            {"id": b.name, "addr": b.address, "zone": "a", "kind": "m", "cell": 0, "state": b.state, "weight": 1.0,
             "started_ms": round(b.started_ms)}
            for b in self.backends
        ]  # fmt: skip
        return {"version": self.version, "full": True, "servers": servers}


class Agent:
    """Discovery's agent at one ingress. ``is_down``: it is silent; ``delay_ms``: it answers so much later."""

    def __init__(self, catalog: Catalog, ingress: int, records: Recorder, delay_ms: float) -> None:
        self.catalog, self.ingress, self.records, self.delay_ms = catalog, ingress, records, delay_ms
        self.is_down = False
        self.back = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listens on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends, with all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def set_down(self, is_down: bool) -> None:
        """Falls silent, or answers again."""
        self.is_down = is_down
        if not is_down:
            self.back.set()
            self.back = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                query = parse_qs(urlsplit(request.start.split(" ")[1]).query)
                await self._wait_for_news(query)
                await asyncio.sleep(self.delay_ms / 1000)
                while self.is_down:
                    await self.back.wait()
                self._tell(writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the stream's own callback would report a cancelled handler as an error
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _wait_for_news(self, query: dict[str, list[str]]) -> None:
        if "since" not in query or int(query["since"][0]) < self.catalog.version:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.catalog.changed.wait(), int(query["timeout_ms"][0]) / 1000)

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        page = self.catalog.page()
        states = {entry["id"]: RECORDED_STATE[entry["state"]] for entry in page["servers"]}
        since = {name: self.catalog.cold_since[name] for name in states}
        self.records.note("told", ingress=self.ingress, full=True, states=states, since=since)
        writer.write(answer(200, orjson.dumps(page)))
