"""The backend list, from the platform's discovery over HTTP/1.1: the whole list once, then a watch. No I/O.

    away --dial--> dialing --> asking --answer--> asking ...
      ^               |           |
      +--- a jittered pause ------+  (refused, lost, late, unreadable)

A watch goes on as long as each next call comes at once, on the same connection. The first call after anything went
wrong does not wait for a change, so that what was missed is there at once. An answer that can't be read is not taken,
and the last good list stands; an entry that can't be read bars its backend from new work and nothing else. Whatever
was taken counts from the moment when its last byte was read.

What discovery has holds here ``WORST_MS`` later at most, whatever went wrong once: the watch fell silent right after
it was asked, one more call took as long as it may and came to nothing, the next brought it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from rushweir import interface
from rushweir.discovery.source import MOST_SERVERS, MOST_TEXT, Update, UpdateError, described, host_port, text
from rushweir.edge.backend_links import Endpoint
from rushweir.edge.http import AnswerReader, Malformed
from rushweir.ingress import commands

AWAY, DIALING, ASKING = "away", "dialing", "asking"
PATH = "/catalog/members"
WAIT_MS = 1_500.0  # of one watch call: an agent that fell silent is found soon after
LATE_MS = 750.0  # beyond the wait; the agent is on this machine and answers what it has at once
CONNECT_MS = 400.0
PAUSE_MS = (20.0, 250.0)  # before the agent is tried again: the first time, and at most
TRY_MS = CONNECT_MS + LATE_MS
WORST_MS = WAIT_MS + LATE_MS + 2 * TRY_MS + 3 * PAUSE_MS[0]  # of the 6 s after which a change counts as told
# Versions before the one held: a discovery that restarted may know an old list for a while, or begin a new life.
STALE_MS = 1_000.0  # only what such a list holds back is taken; then what it does not have is held back too ...
BEHIND_MS = 10_000.0  # ... and at last it is the list
MOST_LIST = 8_388_608  # bytes of an answer: 20,000 entries at some 200 bytes, with room
NOWHERE = Endpoint("", 0)
STATES = {"Ready": interface.State.READY, "Terminating": interface.State.DRAINING, "Gone": interface.State.GONE}


class DiscoveryWatch:
    """One ingress's view of discovery. ``where`` has the endpoints of the backends listed."""

    def __init__(
        self, address: tuple[str, int], seed: int, where: dict[str, Endpoint], new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:  # fmt: skip
        self.address, self.rng, self.where, self.new_conn, self.at = address, random.Random(seed), where, new_conn, at
        self.link = self  # the core drives a list's link; here it is one and the same
        self.state, self.conn, self.calls = AWAY, 0, 0
        self.version, self.whole = -1, False  # of the list held; whether discovery itself gave it
        self.servers: dict[str, interface.Server] = {}  # the list held
        self.prompt = True  # whether the next call is not to wait
        self.pause, self.stopped, self.now = PAUSE_MS[0], False, 0.0
        self.behind: float | None = None  # since when answers are older than what is held
        self.reader = AnswerReader(MOST_LIST)
        self.out: list[commands.ShellCommand] = []
        self.updates: list[Update] = []
        self.log_events: list[commands.LogEvent] = []
        self.counts: Counter[str] = Counter()

    def known(self, page: Any) -> Update:
        """The list as this ingress last held it, to begin with. Raises UpdateError."""
        version, _, servers = self._read(page)
        self.version = version
        return Update(interface.Scope.CACHED, version, self._held(servers, True))

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
        self._anew()

    def move(self, now: float, address: tuple[str, int]) -> None:
        """Discovery is to be asked there from now on; the list and its version stay. Also where the address is the
        same it is asked anew, at once: the watch may have fallen silent, and what there is to tell counts soon."""
        self.now = now
        self.counts["moved"] += address != self.address
        self.address, self.pause = address, PAUSE_MS[0]
        self._anew()

    # --- what happens to the connection ----------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self.now = now
        if conn != self.conn or self.state is not DIALING:
            self.out.append(commands.AbortConnection(conn))
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
            self.log_events.append(commands.LogEvent("warning", "list_answer_refused", {"why": str(problem)[:300]}))
            self.counts["refused"] += 1
            self._lost("unreadable")
            return
        self.pause, self.prompt = PAUSE_MS[0], False
        if answer.keep and not self.reader.unmatched:
            self._ask()
        else:
            # Nothing was missed, so the next call waits: a discovery that closes each time was asked without end.
            self._leave()
            self._dial(None)

    def congested(self, conn: int) -> None:
        """A call is a few bytes."""

    def drained(self, now: float, conn: int) -> None:
        """As above."""

    # --- inside ----------------------------------------------------------------------------------

    def _dial(self, _: Any) -> None:
        if self.state is AWAY and not self.stopped:
            self.state, self.conn = DIALING, self.new_conn(self)
            self.out.append(commands.Dial(self.conn, *self.address, CONNECT_MS))

    def _ask(self) -> None:
        self.state = ASKING
        self.calls += 1
        self.reader.expect()
        wait = 0.0 if self.prompt or not self.whole else WAIT_MS
        path = f"{PATH}?since={self.version}&timeout_ms={wait:.0f}" if self.whole else PATH
        host = f"{self.address[0]}:{self.address[1]}"
        self.out.append(commands.Write(self.conn, f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()))
        self.at(self.now + wait + LATE_MS, self._late, (self.conn, self.calls))

    def _late(self, call: tuple[int, int]) -> None:
        if call == (self.conn, self.calls) and self.state is ASKING:
            self._lost("silent")

    def _anew(self) -> None:
        self.prompt = True
        self._leave()
        self._dial(None)

    def _leave(self) -> None:
        if self.state is not AWAY:
            self.out.append(commands.AbortConnection(self.conn))
            self.state = AWAY

    def _lost(self, why: str) -> None:
        self._leave()
        self.prompt = True
        self.counts[why] += 1
        self.updates.append(Update(interface.Scope.FAILED, self.version))
        # Jittered by half, so that a fleet that lost its discovery together does not return together.
        self.at(self.now + self.pause * self.rng.uniform(0.5, 1.0), self._dial, None)
        self.pause = min(self.pause * 2, PAUSE_MS[1])

    def _take(self, page: Any) -> None:
        version, full, servers = self._read(page)
        if not full and not self.whole:
            raise UpdateError("full: the whole list was asked for")
        if version < self.version:
            self._older(version, {s.address: s for s, _ in servers} if full else None)
        self.behind = None
        self.version = version
        if full or servers:
            self.counts["updates"] += 1
            scope = interface.Scope.FULL if full else interface.Scope.DELTA
            self.updates.append(Update(scope, version, self._held(servers, full)))
        self.whole = True

    def _older(self, version: int, listed: dict[str, interface.Server] | None) -> None:
        """A list before the one held: told before, and told otherwise since. What it holds back is held back here
        at once, and soon what it does not have; what it alone offers is not taken, until it has stayed for long
        enough to be the list's new life. Raises UpdateError as long as it is not."""
        self.counts["behind"] += 1
        if listed is None:
            self.whole = False  # changes to a list that is not this one: the whole is asked for
        else:
            self.behind = self.now if self.behind is None else self.behind
            if self.now - self.behind >= BEHIND_MS:
                return
            patient = self.now - self.behind < STALE_MS
            barred = []
            for held in self.servers.values():
                other = listed.get(held.address, held if patient else None)
                ready = other is not None and other.state is interface.State.READY
                started = max(held.online_since_ms, other.online_since_ms if other is not None else 0.0)
                if held.state is interface.State.READY and (not ready or started > held.online_since_ms):
                    state = held.state if ready else interface.State.DRAINING
                    barred.append(replace(held, state=state, online_since_ms=started))
            if barred:
                self.servers |= {s.address: s for s in barred}
                self.updates.append(Update(interface.Scope.DELTA, self.version, tuple(barred)))
        raise UpdateError(f"version {version} is older than {self.version}")

    def _read(self, page: Any) -> tuple[int, bool, list[tuple[interface.Server, Endpoint]]]:
        if not isinstance(page, dict):
            raise UpdateError("an object")
        version, full, entries = page.get("version"), page.get("full"), page.get("servers")
        if type(version) is not int:
            raise UpdateError("version: a whole number")
        if type(full) is not bool:
            raise UpdateError("full: true or false")
        if not isinstance(entries, list) or len(entries) > MOST_SERVERS:
            raise UpdateError(f"servers: an array of at most {MOST_SERVERS}")
        found: dict[str, tuple[interface.Server, Endpoint]] = {}
        for k, entry in enumerate(entries):
            server, endpoint = self._entry(entry, f"servers[{k}]")
            if server is None:
                continue
            if (other := found.get(server.address)) is not None:
                self._odd(f"servers[{k}].id: stands twice", server.address)
                if other[0].state is not interface.State.READY:
                    continue  # of two words the one that asks for less
            found[server.address] = server, endpoint
        return version, full, list(found.values())

    def _odd(self, why: str, name: str = "") -> None:
        self.counts["odd_entries"] += 1
        self.log_events.append(commands.LogEvent("warning", "list_entry_odd", {"why": why[:300], "entry": name[:80]}))

    def _entry(self, entry: Any, where: str) -> tuple[interface.Server | None, Endpoint]:
        """One entry. What can't be read is none that asks for new work: its backend is barred, by its id, and the
        others of the list hold. Where not even the id can be read there is nobody to bar: a whole list does not have
        it then."""
        try:
            return self._server(entry, where)
        except UpdateError as problem:
            name = entry.get("id") if isinstance(entry, dict) else None
            known = type(name) is str and 0 < len(name) <= MOST_TEXT
            self._odd(str(problem), name if known else "")
            if not known:
                return None, NOWHERE
            held = self.servers.get(name, interface.Server(name))
            return replace(held, state=interface.State.DRAINING), self.where.get(name, NOWHERE)

    def _server(self, entry: Any, where: str) -> tuple[interface.Server, Endpoint]:
        if not isinstance(entry, dict):
            raise UpdateError(f"{where}: an object")
        name, state = text(entry, "id", where), text(entry, "state", where, "")
        host, port = host_port(text(entry, "addr", where, ""))
        if state != "Gone" and port == 0:
            raise UpdateError(f"{where}.addr: host:port")
        if state not in STATES:
            raise UpdateError(f"{where}.state: none that is known: {state[:40]!r}")
        server = described(entry, where, name, "started_ms", STATES[state])
        return server, Endpoint(host, port, server.online_since_ms)

    def _held(self, servers: list[tuple[interface.Server, Endpoint]], full: bool) -> tuple[interface.Server, ...]:
        """Take a list, or changes, as what is held from now on."""
        if full:
            self.where.clear()
            self.servers.clear()
        for server, endpoint in servers:
            if server.state is interface.State.GONE:
                self.where.pop(server.address, None)
                self.servers.pop(server.address, None)
            else:
                self.where[server.address], self.servers[server.address] = endpoint, server
        return tuple(s for s, _ in servers if not full or s.state is not interface.State.GONE)
