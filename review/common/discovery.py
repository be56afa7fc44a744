"""Discovery: one catalog of the backends, and an agent for each ingress that answers for it on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.common.backends import Backend
from review.common.http import answer_bytes, read_message
from review.common.record import Record


class Catalog:
    """The list of backends and its version."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends = backends
        self.version = 40
        self.changed_in = {backend.name: 40 for backend in backends}  # the version of each entry's last change
        self.changed = asyncio.Event()

    def drain(self, backend: Backend) -> None:
        """A backend finishes the work that it has and wants nothing new."""
        backend.state = "Terminating"
        self.version += 1
        self.changed_in[backend.name] = self.version
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def page(self, since: int | None = None) -> dict[str, Any]:
        """Returns the whole list, or the entries that changed after a version."""
        servers = [
            {
                "id": b.name, "addr": b.address, "zone": b.room.name, "kind": "std", "cell": 0, "state": b.state,
                "weight": 1.0, "started_ms": 0,
            }
            for b in self.backends
            if since is None or self.changed_in[b.name] > since
        ]  # fmt: skip
        return {"version": self.version, "full": since is None, "servers": servers}


class Agent:
    """The agent of one ingress. It writes each answer ``delay_ms`` after it could."""

    def __init__(self, catalog: Catalog, ingress: int, record: Record) -> None:
        self.catalog, self.ingress, self.record = catalog, ingress, record
        self.delay_ms = 0.0
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listens on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends, with all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                target = urlsplit(request.start.split(" ")[1])
                query = parse_qs(target.query)
                since = int(query["since"][0]) if "since" in query else None
                called = self.record.note("discovery_called", ingress=self.ingress, since=since)
                if since is not None and since >= self.catalog.version:
                    with contextlib.suppress(TimeoutError):
                        wait_s = int(query.get("timeout_ms", ["0"])[0]) / 1000
                        await asyncio.wait_for(self.catalog.changed.wait(), wait_s)
                page = self.catalog.page(since)
                await asyncio.sleep(self.delay_ms / 1000)
                if writer.is_closing() or reader.at_eof():
                    self.record.note("discovery_call_given_up", ingress=self.ingress, called_at=called["at_ms"])
                    break
                writer.write(answer_bytes(200, json.dumps(page).encode()))
                await writer.drain()
                self.record.note(
                    "discovery_answered", ingress=self.ingress, version=page["version"], full=page["full"],
                    states={entry["id"]: entry["state"] for entry in page["servers"]},
                )  # fmt: skip
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
