"""The backend list from the platform's discovery over HTTP/1.1: the full list once, then a watch. No I/O.

An agent on this machine answers for discovery.

    disconnected --dial--> dialing --> calling --answer--> calling ...
      ^                       |           |
      +--- a jittered delay ---+----------+  (refused, lost, timed out, invalid answer)

Watch calls follow each other at once on the same connection. The first call after a failure does not wait for a
change, so that missed changes arrive at once. An invalid answer is refused and the last list stays. An invalid entry
drains its own backend only. A list applies from the moment when its last byte was read.

A call whose answer is late is followed by another on a new connection, and its own answer is still read: a slow
discovery is heard. The limit for an answer follows how late the last ones were, and the wait is shorter by as much.

A change at discovery applies here after ``MAX_CHANGE_DELAY_MS`` at most after any single fault. Worst case: one
silent watch, one failed call, one successful call.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from rushweir import interface
from rushweir.discovery.source import (
    MAX_SERVERS,
    MAX_TEXT_LENGTH,
    Update,
    UpdateError,
)
from rushweir.edge.backend_links import Endpoint
from rushweir.edge.discovery_call import ANSWER_TIMEOUT_MS, NO_ENDPOINT, Call, parse_server
from rushweir.edge.http import AnswerReader, Malformed, Message
from rushweir.ingress import commands

DISCONNECTED, DIALING, CALLING = "away", "dialing", "asking"
PATH = "/catalog/members"
MIN_WATCH_WAIT_MS = 250.0  # where discovery is slow
MAX_LATE_CALLS = 3  # whose answers are still read
WATCH_WAIT_MS = 1_500.0  # how long a watch call waits; limits the time to detect a silent agent
CONNECT_TIMEOUT_MS = 400.0
RETRY_DELAY_MS = (20.0, 250.0)  # before the agent is called again: the first and the longest delay
CALL_MS = CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS
MAX_CHANGE_DELAY_MS = (
    WATCH_WAIT_MS + ANSWER_TIMEOUT_MS + 2 * CALL_MS + 3 * RETRY_DELAY_MS[0]
)  # the platform allows 6 s
# Lists with a lower version than the current one: a restarted discovery may have an old list for a while, or start
# its versions anew. Drains of such a list apply at once, its omissions after the first time, and all of it after the
# second.
OLDER_DRAINS_ONLY_MS = 1_000.0
OLDER_ACCEPTED_MS = 10_000.0
MAX_LIST_BYTES = 8_388_608  # of an answer: 20,000 entries of about 200 bytes, and a reserve


class DiscoveryWatch:
    """Watches discovery for one ingress.

    ``endpoints`` has the endpoints of the listed backends by id, ``updates`` the changes for the core."""

    def __init__(
        self, address: tuple[str, int], seed: int, endpoints: dict[str, Endpoint], new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:  # fmt: skip
        self.address, self.rng, self.endpoints, self.new_conn, self.at = (
            address,
            random.Random(seed),
            endpoints,
            new_conn,
            at,
        )
        self.link = self  # the core drives the link of a list source, which is this object here
        self.state, self.conn, self.calls = DISCONNECTED, 0, 0
        self.version, self.has_full_list = -1, False  # of the current list; whether it came from discovery
        self.servers: dict[str, interface.Server] = {}  # the current list, by id
        self.skip_wait = True  # whether the next call does not wait for a change
        self.retry_delay_ms, self.stopped, self.now = RETRY_DELAY_MS[0], False, 0.0
        self.older_since: float | None = None  # since when answers are older than the current list
        self.reader = AnswerReader(MAX_LIST_BYTES)
        self.call: Call | None = None  # the last one
        self.late_calls: dict[int, Call] = {}  # those whose answers did not come in time, by connection, oldest first
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS
        self.out: list[commands.ShellCommand] = []
        self.updates: list[Update] = []
        self.log_events: list[commands.LogEvent] = []
        self.counts: Counter[str] = Counter()

    def known(self, page: Any) -> Update:
        """Takes over the list that this ingress last had, before the first answer, and returns it as an Update.
        Raises UpdateError."""
        version, _, servers = self._parse(page)
        self.version = version
        return Update(interface.Scope.CACHED, version, self._store(servers, True))

    # --- requests of the core --------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Starts the watch."""
        self.now = now
        self._dial(None)

    def stop(self, now: float) -> None:
        """Ends the watch."""
        self.now, self.stopped = now, True
        self._end_late_calls()
        self._disconnect()

    def watch(self, now: float, on: bool) -> None:
        """Does nothing: the list is always watched, since the agent's answers are cheap."""

    def fetch(self, now: float) -> None:
        """Requests the full list on a new connection, since the current one waits for changes."""
        self.now, self.has_full_list = now, False
        self._reconnect()

    def move(self, now: float, address: tuple[str, int]) -> None:
        """Calls discovery at this address from now on; the list and its version stay. It is called at once, even if
        the address is the same: the watch may have fallen silent, and a change must apply soon."""
        self.now = now
        self.counts["moved"] += address != self.address
        self.address, self.retry_delay_ms = address, RETRY_DELAY_MS[0]
        self._end_late_calls()
        self._reconnect()

    # --- events of the connection ----------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        """The dial succeeded."""
        self.now = now
        if conn != self.conn or self.state is not DIALING:
            self.out.append(commands.AbortConnection(conn))
            return
        self.reader = AnswerReader(MAX_LIST_BYTES)
        self._send_call()

    def dial_failed(self, now: float, conn: int) -> None:
        """The dial failed."""
        self.now = now
        if conn == self.conn and self.state is not DISCONNECTED:
            self._call_failed("refused")

    def lost(self, now: float, conn: int, is_eof: bool = False) -> None:
        """The connection ended, by a close of the agent (``is_eof``), which completes an answer without a length, or
        by an error."""
        self.now = now
        if (late := self.late_calls.get(conn)) is not None:
            self._handle_late(late, late.reader.receive_eof() if is_eof else None)
            return
        if conn != self.conn or self.state is DISCONNECTED:
            return
        answer = self.reader.receive_eof() if is_eof and self.state is CALLING else None
        if answer is None:
            self._call_failed("lost")
        else:
            self._handle(answer)

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes arrived from discovery."""
        self.now = now
        if (late := self.late_calls.get(conn)) is not None:
            self._receive_late(late, data)
            return
        if conn != self.conn or self.state is not CALLING:
            return
        try:
            answer = self.reader.receive(data)
        except Malformed as problem:
            self._refuse(problem)
            return
        if answer is not None:
            self._handle(answer)

    def _receive_late(self, late: Call, data: bytes) -> None:
        try:
            answer = late.reader.receive(data)
        except Malformed:
            self._end_late_call(late)
            return
        if answer is not None:
            self._handle_late(late, answer)

    def _handle_late(self, late: Call, answer: Message | None) -> None:
        """Applies the answer to a former call, if it is a list that is not older than the present one."""
        self._end_late_call(late)
        if answer is None or answer.status != 200:
            return
        self.counts["late_answers"] += 1
        self.answer_timeout_ms = late.next_timeout_ms(self.now)
        try:
            page = orjson.loads(answer.body)
            if isinstance(page, dict) and type(page.get("version")) is int and page["version"] >= self.version:
                self._apply(page)
        except (UpdateError, orjson.JSONDecodeError) as problem:
            self._log_refusal(problem)

    def _end_late_call(self, late: Call) -> None:
        self.out.append(commands.AbortConnection(late.conn))
        late.reader.release()
        del self.late_calls[late.conn]

    def _end_late_calls(self) -> None:
        for late in list(self.late_calls.values()):
            self._end_late_call(late)

    def _handle(self, answer: Message) -> None:
        """Applies a complete answer, and sends the next call."""
        assert self.call is not None
        self.answer_timeout_ms = self.call.next_timeout_ms(self.now)
        try:
            if answer.status != 200:
                raise UpdateError(f"status {answer.status}")
            self._apply(orjson.loads(answer.body))
        except (UpdateError, orjson.JSONDecodeError) as problem:
            self._refuse(problem)
            return
        self.retry_delay_ms, self.skip_wait = RETRY_DELAY_MS[0], False
        if answer.keep and not self.reader.unmatched:
            self._send_call()
        else:
            # Nothing was missed, so the next call waits. Otherwise a discovery that closes each time is called in a
            # loop.
            self._disconnect()
            self._dial(None)

    def _refuse(self, problem: Exception) -> None:
        self._log_refusal(problem)
        self._call_failed("unreadable")

    def _log_refusal(self, problem: Exception) -> None:
        self.log_events.append(commands.LogEvent("warning", "list_answer_refused", {"why": str(problem)[:300]}))
        self.counts["refused"] += 1

    def congested(self, conn: int) -> None:
        """Does nothing: a call has a few bytes only."""

    def drained(self, now: float, conn: int) -> None:
        """Does nothing: see ``congested``."""

    # --- internals -------------------------------------------------------------------------------

    def _dial(self, _: Any) -> None:
        if self.state is DISCONNECTED and not self.stopped:
            self.state, self.conn = DIALING, self.new_conn(self)
            self.out.append(commands.Dial(self.conn, *self.address, CONNECT_TIMEOUT_MS))

    def _send_call(self) -> None:
        self.state = CALLING
        self.calls += 1
        self.reader.expect()
        # A silent watch is noticed as soon as with the usual timeout.
        watch_wait = max(MIN_WATCH_WAIT_MS, WATCH_WAIT_MS + ANSWER_TIMEOUT_MS - self.answer_timeout_ms)
        wait = 0.0 if self.skip_wait or not self.has_full_list else watch_wait
        self.call = Call(self.conn, self.reader, self.now, wait)
        path = f"{PATH}?since={self.version}&timeout_ms={wait:.0f}" if self.has_full_list else PATH
        host = f"{self.address[0]}:{self.address[1]}"
        self.out.append(commands.Write(self.conn, f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()))
        self.at(self.now + wait + self.answer_timeout_ms, self._call_timed_out, (self.conn, self.calls))

    def _call_timed_out(self, call: tuple[int, int]) -> None:
        if call == (self.conn, self.calls) and self.state is CALLING:
            if self.reader.message is None:  # an answer that stops in the middle is broken
                self._keep_listening()
            self._call_failed("silent")

    def _keep_listening(self) -> None:
        """Reads on for the answer to the last call, while others are sent."""
        assert self.call is not None
        if len(self.late_calls) >= MAX_LATE_CALLS:
            self._end_late_call(next(iter(self.late_calls.values())))
        self.late_calls[self.conn] = self.call
        self.state = DISCONNECTED

    def _reconnect(self) -> None:
        self.skip_wait = True
        self._disconnect()
        self._dial(None)

    def _disconnect(self) -> None:
        if self.state is not DISCONNECTED:
            self.out.append(commands.AbortConnection(self.conn))
            self.state = DISCONNECTED
            self.reader.release()

    def _call_failed(self, why: str) -> None:
        self._disconnect()
        self.skip_wait = True
        self.counts[why] += 1
        self.updates.append(Update(interface.Scope.FAILED, self.version))
        # Jittered by half, so that a fleet that lost discovery at once does not reconnect at once.
        self.at(self.now + self.retry_delay_ms * self.rng.uniform(0.5, 1.0), self._dial, None)
        self.retry_delay_ms = min(self.retry_delay_ms * 2, RETRY_DELAY_MS[1])

    def _apply(self, page: Any) -> None:
        version, full, servers = self._parse(page)
        if not full and not self.has_full_list:
            raise UpdateError("full: must be true, since the full list was requested")
        if version < self.version:
            self._apply_older(version, {server.address: server for server, _ in servers} if full else None)
        self.older_since = None
        self.version = version
        if full or servers:
            self.counts["updates"] += 1
            scope = interface.Scope.FULL if full else interface.Scope.DELTA
            self.updates.append(Update(scope, version, self._store(servers, full)))
        self.has_full_list = True

    def _apply_older(self, version: int, listed: dict[str, interface.Server] | None) -> None:
        """Applies a list with a lower version than the current one.

        Backends that it drains are drained at once, and backends that it omits after ``OLDER_DRAINS_ONLY_MS``.
        Backends that are ready only in this list stay out until lists have been older for ``OLDER_ACCEPTED_MS``.
        Raises UpdateError until then. Returns if the list is to be accepted as a whole."""
        self.counts["behind"] += 1
        if listed is None:
            self.has_full_list = False  # a delta to another list: the full list is requested
        else:
            self.older_since = self.now if self.older_since is None else self.older_since
            if self.now - self.older_since >= OLDER_ACCEPTED_MS:
                return
            ignore_omissions = self.now - self.older_since < OLDER_DRAINS_ONLY_MS
            drained = []
            for held in self.servers.values():
                other = listed.get(held.address, held if ignore_omissions else None)
                ready = other is not None and other.state is interface.State.READY
                started = max(held.online_since_ms, other.online_since_ms if other is not None else 0.0)
                if held.state is interface.State.READY and (not ready or started > held.online_since_ms):
                    state = held.state if ready else interface.State.DRAINING
                    drained.append(replace(held, state=state, online_since_ms=started))
            if drained:
                self.servers |= {server.address: server for server in drained}
                self.updates.append(Update(interface.Scope.DELTA, self.version, tuple(drained)))
        raise UpdateError(f"version {version} is older than {self.version}")

    def _parse(self, page: Any) -> tuple[int, bool, list[tuple[interface.Server, Endpoint]]]:
        if not isinstance(page, dict):
            raise UpdateError("must be an object")
        version, full, entries = page.get("version"), page.get("full"), page.get("servers")
        if type(version) is not int:
            raise UpdateError("version: must be a whole number")
        if type(full) is not bool:
            raise UpdateError("full: must be true or false")
        if not isinstance(entries, list) or len(entries) > MAX_SERVERS:
            raise UpdateError(f"servers: must be an array of at most {MAX_SERVERS}")
        found: dict[str, tuple[interface.Server, Endpoint]] = {}
        for index, entry in enumerate(entries):
            server, endpoint = self._parse_entry(entry, f"servers[{index}]")
            if server is None:
                continue
            if (other := found.get(server.address)) is not None:
                self._report_malformed(f"servers[{index}].id: duplicate", server.address)
                if other[0].state is not interface.State.READY:
                    continue  # of two entries the one that is not ready applies
            found[server.address] = server, endpoint
        return version, full, list(found.values())

    def _report_malformed(self, why: str, name: str = "") -> None:
        self.counts["odd_entries"] += 1
        self.log_events.append(commands.LogEvent("warning", "list_entry_odd", {"why": why[:300], "entry": name[:80]}))

    def _parse_entry(self, entry: Any, where: str) -> tuple[interface.Server | None, Endpoint]:
        """Returns the server and endpoint of one entry.

        An invalid entry drains the backend with its id, and the other entries apply. Without a valid id it returns no
        server, so that a full list omits the backend."""
        try:
            return parse_server(entry, where)
        except UpdateError as problem:
            name = entry.get("id") if isinstance(entry, dict) else None
            known = type(name) is str and 0 < len(name) <= MAX_TEXT_LENGTH
            self._report_malformed(str(problem), name if known else "")
            if not known:
                return None, NO_ENDPOINT
            held = self.servers.get(name, interface.Server(name))
            return replace(held, state=interface.State.DRAINING), self.endpoints.get(name, NO_ENDPOINT)

    def _store(self, servers: list[tuple[interface.Server, Endpoint]], full: bool) -> tuple[interface.Server, ...]:
        """Stores a full list or a delta, and returns its servers for the update."""
        if full:
            self.endpoints.clear()
            self.servers.clear()
        for server, endpoint in servers:
            if server.state is interface.State.GONE:
                self.endpoints.pop(server.address, None)
                self.servers.pop(server.address, None)
            else:
                self.endpoints[server.address], self.servers[server.address] = endpoint, server
        return tuple(server for server, _ in servers if not full or server.state is not interface.State.GONE)
