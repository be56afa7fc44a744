"""The first source: a list service that pushes changes over WebSocket, as JSON-RPC 2.0. No I/O.

The ingress calls ``list.watch {"from": version}`` and ``list.fetch {}``; the service sends notifications

    list.update {"scope": "full" | "delta", "base": version, "version": version, "servers": [...]}

where ``base`` is the version that a delta builds on. An update is taken whole or not at all: a half-formed
one, or a delta whose base is not the version held, changes nothing and the whole list is asked for instead.
An update counts from the moment when its last byte was read off the socket.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rushweir import interface as i
from rushweir.discovery.source import Update, UpdateError, servers
from rushweir.ingress import commands as c
from rushweir.link import rpc
from rushweir.link.upstream import OPEN, Upstream

PAUSE_MS = (100.0, 5_000.0)
CONNECT_MS = 2_000.0
PING_MS = 5_000.0
FETCH_MS = 2_000.0  # a question without an answer in this time may be asked again
MOST_UPDATE = 16_777_216  # bytes of one update: 20,000 entries at some 200 bytes, with room


class PushedList:
    """A list service's updates, over a link that is kept up."""

    def __init__(
        self,
        url: str,
        headers: dict[str, str],
        seed: int,
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
        push: bool = True,
    ) -> None:
        """``push`` watches without being asked, as deployments with a pushed list want."""
        self.link = Upstream(
            self, url, headers, seed=seed, new_conn=new_conn, at=at, retry_delay_ms=PAUSE_MS,
            connect_timeout_ms=CONNECT_MS, ping_interval_ms=PING_MS, max_message=MOST_UPDATE, deflate=True,
        )  # fmt: skip
        self.watching = push
        self.version = -1  # of the list held; -1: nothing held from this service
        self.fetched_at = -FETCH_MS
        self.updates: list[Update] = []
        self.log_events: list[c.LogEvent] = []
        self.counts: Counter[str] = Counter()

    def watch(self, now: float, on: bool) -> None:
        self.link.now, self.watching = now, on
        if self.link.state is OPEN:
            self.link.call("list.watch", {"from": self.version, "on": on})
        elif on:
            self._failed()

    def fetch(self, now: float) -> None:
        self.link.now = now
        if self.link.state is OPEN:
            self.link.call("list.fetch", {})
        else:
            self._failed()

    # --- what the link tells ---------------------------------------------------------------------

    def opened(self) -> None:
        if self.watching:
            self.link.call("list.watch", {"from": self.version, "on": True})

    def link_lost(self, was_open: bool) -> None:
        if was_open:
            self._failed()

    def bad_message(self, why: str) -> None:
        """Nothing of a bad update is taken; the whole list is asked for, however many come, once a while."""
        self.counts["bad_updates"] += 1
        self.log_events.append(c.LogEvent("warning", "list_update_refused", {"why": why[:300]}))
        if self.link.state is OPEN and self.link.now - self.fetched_at >= FETCH_MS:
            self.fetched_at = self.link.now
            self.link.call("list.fetch", {})

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        if isinstance(message, rpc.Reply):
            if message.error is not None:
                self._failed()
        elif message.method == "list.update":
            try:
                self._update(message.params)
            except UpdateError as problem:
                self.bad_message(str(problem))

    def _update(self, params: Any) -> None:
        if not isinstance(params, dict):
            raise UpdateError("params: an object")
        version, scope = params.get("version"), params.get("scope")
        if type(version) is not int:
            raise UpdateError("version: a whole number")
        if scope not in ("full", "delta"):
            raise UpdateError("scope: full or delta")
        found = servers(params.get("servers"))
        if scope == "delta" and params.get("base") != self.version:
            # Changes to a list that is not the one held would leave nodes that are long gone.
            raise UpdateError(f"base: {params.get('base')!r} is not {self.version}, the version held")
        if scope == "full":
            found = tuple(s for s in found if s.state is not i.State.GONE)
            self.fetched_at = -FETCH_MS
        self.version = version
        self.counts["updates"] += 1
        self.updates.append(Update(i.Scope(scope), version, found))

    def _failed(self) -> None:
        self.counts["failed"] += 1
        self.updates.append(Update(i.Scope.FAILED, self.version))
