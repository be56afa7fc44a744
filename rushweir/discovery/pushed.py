"""A list service that pushes changes over WebSocket, as JSON-RPC 2.0. No I/O.

The ingress calls ``list.watch {"from": version}`` and ``list.fetch {}``; the service sends notifications

    list.update {"scope": "full" | "delta", "base": version, "version": version, "servers": [...]}

where ``base`` is the version that a delta builds on. An update is applied as a whole or not at all: a malformed one,
or a delta whose base is not the current version, changes nothing, and the full list is fetched instead. An update
takes effect at the time when its last byte was read from the socket.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rushweir import interface
from rushweir.discovery.source import Update, UpdateError, parse_servers
from rushweir.ingress import commands
from rushweir.link import rpc
from rushweir.link.upstream import OPEN, Upstream

RETRY_DELAY_MS = (100.0, 5_000.0)
CONNECT_TIMEOUT_MS = 2_000.0
PING_INTERVAL_MS = 5_000.0
FETCH_INTERVAL_MS = 2_000.0  # a fetch without an answer may be repeated after this time
MAX_UPDATE_BYTES = 16_777_216  # 20,000 entries of some 200 bytes, with a reserve


class PushedList:
    """The updates of a list service, over a link that reconnects."""

    def __init__(
        self,
        url: str,
        headers: dict[str, str],
        seed: int,
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
        push: bool = True,
    ) -> None:
        """``push``: watch the list from the start, without a call of ``watch``."""
        self.link = Upstream(
            self, url, headers, seed=seed, new_conn=new_conn, at=at, retry_delay_ms=RETRY_DELAY_MS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS, ping_interval_ms=PING_INTERVAL_MS, max_message=MAX_UPDATE_BYTES,
            deflate=True,
        )  # fmt: skip
        self.watching = push
        self.version = -1  # of the current list; -1: none from this service yet
        self.refetched_at = -FETCH_INTERVAL_MS
        self.updates: list[Update] = []
        self.log_events: list[commands.LogEvent] = []
        self.counts: Counter[str] = Counter()

    def watch(self, now: float, on: bool) -> None:
        """Subscribes to changes or unsubscribes. Appends an Update with scope FAILED if there is no link."""
        self.link.now = now
        self.watching = on
        if self.link.state is OPEN:
            self.link.call("list.watch", {"from": self.version, "on": on})
        elif on:
            self._add_failure()

    def fetch(self, now: float) -> None:
        """Requests the full list. Appends an Update with scope FAILED if the service can't be reached."""
        self.link.now = now
        if self.link.state is OPEN:
            self.link.call("list.fetch", {})
        else:
            self._add_failure()

    # --- called by the link ----------------------------------------------------------------------

    def opened(self) -> None:
        """The link is open."""
        if self.watching:
            self.link.call("list.watch", {"from": self.version, "on": True})

    def link_lost(self, was_open: bool) -> None:
        """The link was lost, or could not be opened."""
        if was_open:
            self._add_failure()

    def bad_message(self, why: str) -> None:
        """Counts and logs an invalid update and fetches the whole list, at most once in ``FETCH_INTERVAL_MS``."""
        self.counts["bad_updates"] += 1
        self.log_events.append(commands.LogEvent("warning", "list_update_refused", {"why": why[:300]}))
        if self.link.state is OPEN and self.link.now - self.refetched_at >= FETCH_INTERVAL_MS:
            self.refetched_at = self.link.now
            self.link.call("list.fetch", {})

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        """Handles a message of the service."""
        if isinstance(message, rpc.Reply):
            if message.error is not None:
                self._add_failure()
        elif message.method == "list.update":
            try:
                self._update(message.params)
            except UpdateError as problem:
                self.bad_message(str(problem))

    def _update(self, params: Any) -> None:
        if not isinstance(params, dict):
            raise UpdateError("params: must be an object")
        version, scope = params.get("version"), params.get("scope")
        if type(version) is not int:
            raise UpdateError("version: must be an integer")
        if scope not in ("full", "delta"):
            raise UpdateError("scope: must be full or delta")
        servers = parse_servers(params.get("servers"))
        if scope == "delta" and params.get("base") != self.version:
            # A delta of another version could leave nodes in the list that are gone.
            raise UpdateError(f"base: {params.get('base')!r} is not {self.version}, the current version")
        if scope == "full":
            servers = tuple(server for server in servers if server.state is not interface.State.GONE)
            self.refetched_at = -FETCH_INTERVAL_MS
        self.version = version
        self.counts["updates"] += 1
        self.updates.append(Update(interface.Scope(scope), version, servers))

    def _add_failure(self) -> None:
        self.counts["failed"] += 1
        self.updates.append(Update(interface.Scope.FAILED, self.version))
