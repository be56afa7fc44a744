"""The backend list, from the platform's discovery over HTTP/1.1: the whole list once, then a watch. No I/O.

    away --dial--> dialing --> asking --answer--> asking ...
      ^               |           |
      +--- a jittered pause ------+  (refused, lost, late, unreadable)

A watch goes on as long as each next call comes at once, on the same connection. An answer is taken whole or not at
all: the last good list stands meanwhile. Whatever was taken counts from the moment when its last byte was read.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson

from rushweir import interface as i
from rushweir.discovery.source import MOST_SERVERS, Update, UpdateError, described, host_port, text
from rushweir.edge.backends import Place
from rushweir.edge.http import AnswerReader, Malformed
from rushweir.ingress import commands as c

AWAY, DIALING, ASKING = "away", "dialing", "asking"
PATH = "/catalog/members"
WAIT_MS = 2_000.0  # of one watch call: an agent that fell silent is found soon after
LATE_MS = 1_000.0  # beyond the wait
CONNECT_MS = 500.0
PAUSE_MS = (20.0, 1_000.0)  # before the agent is tried again: the first time, and at most
BEHIND_MS = 10_000.0  # versions before the one held are taken for stale so long, then for the list's new life
MOST_LIST = 8_388_608  # bytes of an answer: 20,000 entries at some 200 bytes, with room
STATES = {"Ready": i.State.READY, "Terminating": i.State.DRAINING, "Gone": i.State.GONE}


class Members:
    """One ingress's view of discovery. ``where`` has the places of the backends listed."""

    def __init__(
        self, address: tuple[str, int], seed: int, where: dict[str, Place], new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:  # fmt: skip
        self.address, self.rng, self.where, self.new_conn, self.at = address, random.Random(seed), where, new_conn, at
        self.link = self  # the core drives a list's link; here it is one and the same
        self.state, self.conn, self.calls = AWAY, 0, 0
        self.version, self.whole = -1, False  # of the list held; whether discovery itself gave it
        self.pause, self.stopped, self.now = PAUSE_MS[0], False, 0.0
        self.behind: float | None = None  # since when answers are older than what is held
        self.reader = AnswerReader(MOST_LIST)
        self.out: list[c.Order] = []
        self.updates: list[Update] = []
        self.remarks: list[c.Remark] = []
        self.counts: Counter[str] = Counter()

    def known(self, page: Any) -> Update:
        """The list as this ingress last held it, to begin with. Raises UpdateError."""
        version, _, servers = self._read(page)
        self.version = version
        return Update(i.Scope.CACHED, version, self._place(servers, True))

    # --- what the core wants ---------------------------------------------------------------------

    def start(self, now: float) -> None:
        self.now = now
        self._dial(None)

    def stop(self, now: float) -> None:
        self.now, self.stopped = now, True
        self._leave()

    def watch(self, now: float, on: bool) -> None:
        """The list is always watched: the agent's answers cost nothing."""

    def fetch(self, now: float) -> None:
        """Ask for the whole list, on a new connection: the one at hand waits for changes."""
        self.now, self.whole = now, False
        self._again()

    def move(self, now: float, address: tuple[str, int]) -> None:
        """Discovery is to be asked elsewhere from now on; the list and its version stay."""
        self.now = now
        if address != self.address:
            self.address, self.pause = address, PAUSE_MS[0]
            self.counts["moved"] += 1
            self._again()

    # --- what happens to the connection ----------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self.now = now
        if conn != self.conn or self.state is not DIALING:
            self.out.append(c.AbortConn(conn))
            return
        self.reader = AnswerReader(MOST_LIST)
        self._ask()

    def dial_failed(self, now: float, conn: int) -> None:
        self.now = now
        if conn == self.conn and self.state is not AWAY:
            self._lost("refused" if self.state is DIALING else "lost")

    lost = dial_failed

    def received(self, now: float, conn: int, data: bytes) -> None:
        self.now = now
        if conn != self.conn or self.state is not ASKING:
            return
        try:
            answer = self.reader.receive(data)
            if answer is None:
                return
            if answer.status != 200:
                raise UpdateError(f"status {answer.status}")
            self._take(orjson.loads(answer.body))
        except (Malformed, UpdateError, orjson.JSONDecodeError) as problem:
            self.remarks.append(c.Remark("warning", "list_answer_refused", {"why": str(problem)[:300]}))
            self.counts["refused"] += 1
            self._lost("unreadable")
            return
        self.pause = PAUSE_MS[0]
        if answer.keep and not self.reader.stray:
            self._ask()
        else:
            self._again()

    def congested(self, conn: int) -> None:
        """A call is a few bytes."""

    def drained(self, now: float, conn: int) -> None:
        """As above."""

    # --- inside ----------------------------------------------------------------------------------

    def _dial(self, _: Any) -> None:
        if self.state is AWAY and not self.stopped:
            self.state, self.conn = DIALING, self.new_conn(self)
            self.out.append(c.Dial(self.conn, *self.address, CONNECT_MS))

    def _ask(self) -> None:
        self.state = ASKING
        self.calls += 1
        self.reader.expect()
        wait = WAIT_MS if self.whole else 0.0
        path = f"{PATH}?since={self.version}&timeout_ms={WAIT_MS:.0f}" if self.whole else PATH
        host = f"{self.address[0]}:{self.address[1]}"
        self.out.append(c.Write(self.conn, f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()))
        self.at(self.now + wait + LATE_MS, self._late, (self.conn, self.calls))

    def _late(self, call: tuple[int, int]) -> None:
        if call == (self.conn, self.calls) and self.state is ASKING:
            self._lost("silent")

    def _again(self) -> None:
        self._leave()
        self._dial(None)

    def _leave(self) -> None:
        if self.state is not AWAY:
            self.out.append(c.AbortConn(self.conn))
            self.state = AWAY

    def _lost(self, why: str) -> None:
        self._leave()
        self.counts[why] += 1
        self.updates.append(Update(i.Scope.FAILED, self.version))
        # Jittered by half, so that a fleet that lost its discovery together does not return together.
        self.at(self.now + self.pause * self.rng.uniform(0.5, 1.0), self._dial, None)
        self.pause = min(self.pause * 2, PAUSE_MS[1])

    def _take(self, page: Any) -> None:
        version, full, servers = self._read(page)
        if not full and not self.whole:
            raise UpdateError("full: the whole list was asked for")
        if version < self.version:
            # Told before, and told otherwise since: a discovery that restarted knows an old list for a while.
            self.behind = self.now if self.behind is None else self.behind
            self.counts["behind"] += 1
            if not full or self.now - self.behind < BEHIND_MS:
                raise UpdateError(f"version {version} is older than {self.version}")
        self.behind = None
        self.version = version
        if full or servers:
            self.counts["updates"] += 1
            scope = i.Scope.FULL if full else i.Scope.DELTA
            self.updates.append(Update(scope, version, self._place(servers, full)))
        self.whole = True

    def _read(self, page: Any) -> tuple[int, bool, list[tuple[i.Server, Place]]]:
        if not isinstance(page, dict):
            raise UpdateError("an object")
        version, full, entries = page.get("version"), page.get("full"), page.get("servers")
        if type(version) is not int:
            raise UpdateError("version: a whole number")
        if type(full) is not bool:
            raise UpdateError("full: true or false")
        if not isinstance(entries, list) or len(entries) > MOST_SERVERS:
            raise UpdateError(f"servers: an array of at most {MOST_SERVERS}")
        found = [self._server(e, f"servers[{k}]") for k, e in enumerate(entries)]
        if len({s.address for s, _ in found}) < len(found):
            raise UpdateError("servers: an id stands twice")
        return version, full, found

    def _server(self, entry: Any, where: str) -> tuple[i.Server, Place]:
        if not isinstance(entry, dict):
            raise UpdateError(f"{where}: an object")
        name, state = text(entry, "id", where), text(entry, "state", where, "")
        host, port = host_port(text(entry, "addr", where, ""))
        if state != "Gone" and port == 0:
            raise UpdateError(f"{where}.addr: host:port")
        if state not in STATES:
            self.remarks.append(c.Remark("warning", "list_state_unknown", {"entry": name, "state": state[:40]}))
        # A state that is not known here is none that asks for new work.
        server = described(entry, where, name, "started_ms", STATES.get(state, i.State.DRAINING))
        return server, Place(host, port, server.online_since_ms)

    def _place(self, servers: list[tuple[i.Server, Place]], full: bool) -> tuple[i.Server, ...]:
        if full:
            self.where.clear()
        for server, place in servers:
            if server.state is i.State.GONE:
                self.where.pop(server.address, None)
            else:
                self.where[server.address] = place
        return tuple(s for s, _ in servers if not full or s.state is not i.State.GONE)
