"""The pool of HTTP/1.1 connections to backends, without I/O: attempts in, writes and outcomes out.

A backend is identified by its id in the list, not by its address, which another backend may take over. A connection
carries one request at a time. The one used last is reused first, so that the others reach their idle time and are
closed. Attempts without a free connection wait for one that cools down or is being opened, one connection for each.

    dialing --dialed--> idle <--answer-- busy      any --> gone
                          +----write----->

After an answer a connection is not reused for ``COOLDOWN_MS``: a duplicate of the answer may arrive some milliseconds
late, and nothing in HTTP/1.1 says which request an answer belongs to. Connections and dials belong to one address and
start time of a backend: once it moved or restarted they carry no new request, and the policy decides again about the
attempts that waited.

Observations and the results that they prove (the platform's table):

    complete answer with status 200                      ok
        (an answer without a length is complete when the
        backend closes the connection, not when it breaks)
    503 or 504 with Srv-Declined: 1                      full: never ran
    any other complete answer                            error: may have run
    dial refused or timed out; connection lost before
        the last byte of the request was written         connect failed: never ran
    connection lost or malformed answer after that       reset: may have run
    nothing                                              timed out, or cancelled by this side; the connection is cut
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rushweir import interface
from rushweir.edge.answers import load_report, quota_used, result_of
from rushweir.edge.backend_links import BUSY, DIALING, GONE, IDLE, Backend, Endpoint, Link, PoolSettings, Probe
from rushweir.edge.http import Malformed, Message
from rushweir.ingress import commands
from rushweir.ingress.pool import BasePool

COOLDOWN_MS = 20.0  # more than the "some milliseconds" by which duplicate answers are late on the platform


class Pool(BasePool):
    """The connections of one ingress to all its backends.

    ``out`` has commands for the shell, ``ended`` the ends of attempts and probes."""

    waits_for_input = True

    def __init__(
        self,
        settings: PoolSettings,
        endpoints: dict[str, Endpoint],
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:
        """``endpoints``: of the listed backends, by id; kept up to date by the reader of the list."""
        super().__init__(new_conn, at)
        self.settings, self.listed_endpoints, self.checking_idle = settings, endpoints, False
        # Whether all that an attempt's client sent was read. Behind unread bytes may be the end of its connection, so
        # that nobody knows whether it still waits. The attempt is written after ``client_read``.
        self.client_is_read: Callable[[commands.Attempt], bool] = lambda attempt: True
        self.backends: dict[str, Backend] = {}  # limited by the list, and by the connections of backends that left it
        self.job_places: dict[
            int, Link | Backend
        ] = {}  # of open jobs, by identity: the connection, or the backend where it waits

    # --- requests of the engine ------------------------------------------------------------------

    def send(self, now: float, attempt: commands.Attempt) -> None:
        """Writes an attempt as soon as a connection to its backend is free."""
        self.now = now
        self._assign(attempt)

    def client_read(self, now: float, attempt: commands.Attempt) -> None:
        """More input of an attempt's client was read: writes the attempt if it waited for that."""
        self.now = now
        place = self.job_places.get(id(attempt))
        if isinstance(place, Backend):
            for link in place.idle[::-1]:
                self._serve_waiting(link)
            self._ensure_connections(place)

    def probe(self, now: float, server: str) -> None:
        """Sends a health probe to a backend."""
        self.now = now
        probe = Probe(server, now)
        self._assign(probe)
        self.at(now + self.settings.probe_timeout_ms, self._probe_timed_out, probe)

    def apply_list(self, now: float, servers: dict[str, interface.State]) -> None:
        """Takes over the current list. Nothing more is written to a backend that is not ready."""
        self.now = now
        for name, state in servers.items():
            endpoint = self.listed_endpoints.get(name)
            if endpoint is None:
                continue
            backend = self.backends.get(name)
            if backend is None:
                backend = self.backends[name] = Backend(name, endpoint)
            if backend.endpoint != endpoint:
                # It restarted or moved: open connections and dials lead to its former address or start, for which the
                # waiting attempts were meant too. A busy connection is closed after its answer.
                backend.endpoint = endpoint
                self._drop_waiting_and_idle(backend)
            backend.ready = state is interface.State.READY
        for name, backend in list(self.backends.items()):
            if name not in servers:
                backend.ready = False
            if not backend.ready:
                self._drop_waiting_and_idle(backend)
                self._forget_if_unused(backend)
        if not self.checking_idle and self.backends:
            self.checking_idle = True
            self._close_expired(None)

    # --- events of connections -------------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        """A dial succeeded."""
        self.now = now
        link = self.links.get(conn)
        if link is None:
            self.out.append(commands.AbortConnection(conn))
            return
        link.backend.dialing -= 1
        self._make_idle(link)

    def dial_failed(self, now: float, conn: int) -> None:
        """A dial was refused or timed out."""
        self.now = now
        if (link := self.links.get(conn)) is None:
            return
        backend = link.backend
        backend.dialing -= 1
        self.counts["dials_failed"] += 1
        self._remove(link)
        # The dial was for one waiting job; connections that became free meanwhile took the oldest ones.
        while len(backend.waiting) > backend.dialing + len(backend.idle):
            self._end(backend.waiting.popleft(), interface.Result.CONNECT_FAILED)

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes arrived from a backend."""
        self.now = now
        link = self.links.get(conn)
        if link is None:
            return
        if link.job is None:
            self.counts["stray_bytes"] += 1
            self._abort(link)
            return
        try:
            answer = link.reader.receive(data)
        except Malformed as problem:
            self.counts["spoilt_answers"] += 1
            self.counts[f"spoilt: {problem.fault.reason[:40]}"] += 1
            self._end_on_link(link, interface.Result.RESET)
            self._abort(link)
            return
        self.hold(conn, link.held_bytes)
        if answer is None:
            return
        must_close = not answer.keep or link.reader.unmatched or link.has_unsent_bytes
        self.counts["strays"] += link.reader.unmatched
        self._end_on_link(link, result_of(answer), answer)
        if must_close:
            self._abort(link)
        else:
            link.cooldown_until = now + COOLDOWN_MS
            self._make_idle(link)

    def lost(self, now: float, conn: int, is_eof: bool = False) -> None:
        """The connection ended, by a close of the backend (``is_eof``) or by an error."""
        self.now = now
        if (link := self.links.get(conn)) is None:
            return
        if link.job is not None:
            answer = link.reader.receive_eof() if is_eof else None
            if link.has_unsent_bytes:
                self._end_on_link(link, interface.Result.CONNECT_FAILED)
            elif answer is None:
                self._end_on_link(link, interface.Result.RESET)
            else:
                self.counts["answers_ended_by_close"] += 1
                self._end_on_link(link, result_of(answer), answer)
        self._remove(link)

    def congested(self, conn: int) -> None:
        """Bytes written to the connection wait in this process."""
        if (link := self.links.get(conn)) is not None:
            link.has_unsent_bytes = True

    def drained(self, now: float, conn: int) -> None:
        """All bytes written to the connection have left this process."""
        self.now = now
        if (link := self.links.get(conn)) is not None:
            link.has_unsent_bytes = False

    def drop_incomplete_answer(self, now: float, conn: int) -> None:
        """Ends the attempt whose answer is incomplete, which may have run, since there is no memory for it."""
        self.now = now
        link = self.links[conn]
        self._end_on_link(link, interface.Result.RESET)
        self._abort(link)

    def close_all(self, now: float) -> None:
        """Cancels all attempts and cuts all connections."""
        self.now = now
        for link in list(self.links.values()):
            if link.job is not None:
                self._end_on_link(link, interface.Result.CANCELLED)
            self._abort(link)
        for backend in self.backends.values():
            self._drop_waiting_and_idle(backend)

    # --- internals -------------------------------------------------------------------------------

    def _assign(self, job: commands.Attempt | Probe) -> None:
        backend = self.backends.get(job.node)
        if backend is None or not backend.ready:
            self._end(job, interface.Result.SUPERSEDED)
            return
        for link in [other for other in backend.idle if not self._is_reusable(other)]:
            self._abort(link)
        for link in backend.idle[::-1] if self._is_writable(job) else ():
            if link.cooldown_until <= self.now and self._has_no_unread_bytes(link):
                backend.idle.remove(link)
                self._write(link, job)
                return
        backend.waiting.append(job)
        self.job_places[id(job)] = backend
        self._ensure_connections(backend)

    def _ensure_connections(self, backend: Backend) -> None:
        """Ensures that each waiting job has a connection that cools down, which is faster than a dial, or a dial."""
        for link in backend.idle if backend.waiting else ():
            self.at(link.cooldown_until, self._serve_waiting, link)
        while backend.ready and len(backend.waiting) > backend.dialing + len(backend.idle):
            if len(self.links) >= self.settings.max_connections and not self._close_longest_idle():
                self.counts["no_connection"] += 1
                self._end(backend.waiting.pop(), interface.Result.SUPERSEDED)
                continue
            link = Link(0, backend, self.now)
            link.conn = self.new_conn(self)
            self.links[link.conn] = link
            backend.links.add(link)
            backend.dialing += 1
            self.counts["dials"] += 1
            self.out.append(
                commands.Dial(
                    link.conn, backend.endpoint.host, backend.endpoint.port, self.settings.connect_timeout_ms
                )
            )

    def _is_reusable(self, link: Link) -> bool:
        return self.now - link.idle_since < interface.IDLE_TIMEOUT_SHARE * self.settings.idle_ms

    def _has_no_unread_bytes(self, link: Link) -> bool:
        """Looks at the connection's socket before a request is written. A duplicate answer that waits there unread,
        since this process was held up, would be taken for the answer to that request: the connection is cut."""
        if self.is_quiet(link.conn):
            return True
        self.counts["unread_strays"] += 1
        self._abort(link)
        return False

    def _close_longest_idle(self) -> bool:
        """Closes the connection idle for longest, since no more may be open. Returns False if none is idle."""
        idle = [backend.idle[0] for backend in self.backends.values() if backend.idle and not backend.waiting]
        if not idle:
            return False
        self.counts["made_room"] += 1
        self._abort(min(idle, key=lambda other: other.idle_since))
        return True

    def _make_idle(self, link: Link) -> None:
        """Makes a connection available for the next request, unless its backend is not ready or was replaced."""
        backend = link.backend
        if not backend.ready or link.endpoint != backend.endpoint:
            self._abort(link)
        else:
            link.state, link.idle_since = IDLE, self.now
            backend.idle.append(link)
            self._serve_waiting(link)

    def _is_writable(self, job: commands.Attempt | Probe) -> bool:
        return isinstance(job, Probe) or self.client_is_read(job)

    def _serve_waiting(self, link: Link) -> None:
        """Writes the oldest waiting job that is still wanted, once the connection has cooled down. Jobs whose clients
        have unread input are passed over until ``client_read``."""
        backend = link.backend
        if link.state is IDLE and link.cooldown_until > self.now and backend.waiting:
            self.at(link.cooldown_until, self._serve_waiting, link)
        while link.state is IDLE and link.cooldown_until <= self.now:
            job = next(filter(self._is_writable, backend.waiting), None)
            if job is None or not self._has_no_unread_bytes(link):
                return
            backend.waiting.remove(job)
            if isinstance(job, Probe) or self.wanted(job):
                backend.idle.remove(link)
                self._write(link, job)
            else:
                self._end(job, interface.Result.SUPERSEDED)

    def _write(self, link: Link, job: commands.Attempt | Probe) -> None:
        self.job_places[id(job)] = link
        link.state, link.job, link.has_unsent_bytes = BUSY, job, False
        link.reader.expect()
        if isinstance(job, Probe):
            settings = self.settings
            data = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (settings.probe_path, settings.host)
        else:
            payload = job.payload
            data = b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (
                payload.head,
                max(1, int(job.deadline_ms - self.now)),
                payload.body,
            )
            job.payload = None  # a retry is another attempt; this one may outlive its client by seconds
        self.out.append(commands.Write(link.conn, data))

    def _abandon(self, job: commands.Attempt | Probe, result: interface.Result) -> None:
        """Ends a job before its answer, with SUPERSEDED while it waits, with CONNECT_FAILED if it was not written to
        the end, else with ``result``. Its connection is cut."""
        place = self.job_places.get(id(job))
        if isinstance(place, Backend):
            place.waiting.remove(job)
            self._end(job, interface.Result.SUPERSEDED)
        elif place is not None:
            self._end_on_link(place, interface.Result.CONNECT_FAILED if place.has_unsent_bytes else result)
            self._abort(place)

    def _is_unsent(self, attempt: commands.Attempt) -> bool:
        place = self.job_places.get(id(attempt))
        return isinstance(place, Backend) or (place is not None and place.has_unsent_bytes)

    def _end_on_link(self, link: Link, result: interface.Result, answer: Message | None = None) -> None:
        job, link.job = link.job, None
        self._end(job, result, answer)

    def _end(self, job: commands.Attempt | Probe, result: interface.Result, answer: Message | None = None) -> None:
        self.job_places.pop(id(job), None)
        load = load_report(answer) if answer is not None else None
        if isinstance(job, Probe):
            self.ended.append(commands.ProbeEnded(job.node, result, self.now - job.sent_ms, load))
        elif answer is None:
            self.ended.append(commands.AttemptEnded(job, result))
        else:
            self.ended.append(commands.AttemptEnded(job, result, answer.body, quota_used(answer), load=load))

    def _probe_timed_out(self, probe: Probe) -> None:
        self._abandon(probe, interface.Result.TIMEOUT)  # no effect if it ended

    def _drop_waiting_and_idle(self, backend: Backend) -> None:
        """Ends waiting jobs, which were never sent, and cuts connections that carry no request."""
        while backend.waiting:
            self._end(backend.waiting.popleft(), interface.Result.SUPERSEDED)
        for link in sorted(
            (other for other in backend.links if other.state in (DIALING, IDLE)), key=lambda other: other.conn
        ):
            backend.dialing -= link.state is DIALING
            self._abort(link)

    def _abort(self, link: Link) -> None:
        """Aborts a connection from this side."""
        if link.state is not GONE:
            self.out.append(commands.AbortConnection(link.conn))
            self._remove(link)

    def _remove(self, link: Link) -> None:
        link.state = GONE
        link.reader.release()
        self.hold(link.conn, 0)
        self.links.pop(link.conn, None)
        backend = link.backend
        backend.links.discard(link)
        if link in backend.idle:
            backend.idle.remove(link)
            self._ensure_connections(backend)
        self._forget_if_unused(backend)

    def _forget_if_unused(self, backend: Backend) -> None:
        """A backend that left the list is dropped with its last connection."""
        if not backend.links and not backend.ready and backend.id not in self.listed_endpoints:
            self.backends.pop(backend.id, None)

    def _close_expired(self, _: Any) -> None:
        """Closes connections that are idle for too long, before their backend does, and schedules the next check."""
        for backend in list(self.backends.values()):  # one that left the list is dropped with its last connection
            for link in [other for other in backend.idle if not self._is_reusable(other)]:
                self._abort(link)
        self.at(self.now + self.settings.idle_ms / 10, self._close_expired, None)
