"""Connections to backends over HTTP/1.1, without I/O: attempts in, writes and outcomes out.

A backend is known by its id in the list, never by its address, which another may inherit. A connection carries one
request at a time; the one used last is used again first, so that the others grow old and are closed. Attempts that
find none wait for one that rests or is being opened, each for its own; what was not written never ran.

    dialing --dialed--> idle <--answer-- busy      any --> gone
                          +----write----->

A connection that was just answered on rests for ``REST_MS`` first: a second answer to the request before may come
some milliseconds late, and nothing in HTTP/1.1 says which request an answer is for. Connections and dials belong to
where a backend listened and to its start: once it moved or started anew they carry nothing more, and what waited is
decided anew.

What is seen and what it proves (the platform's table):

    200, whole                                         ok
    503 or 504 with Srv-Declined: 1                    full: never ran
    any other whole answer                             error: may have run
    dial refused or too late; an end before the last
        byte of the request was written                could not connect: never ran
    an end, or bytes that can't be read, after that    reset: may have run
    nothing                                            time-out, or cancelled, by this side; the connection is cut
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rushweir import interface as i
from rushweir.edge.http import AnswerReader, Malformed, Message
from rushweir.ingress import commands as c
from rushweir.ingress.pool import BasePool

DIALING, IDLE, BUSY, GONE = "dialing", "idle", "busy", "gone"
MOST_LOAD = 16  # figures in a load report
REST_MS = 20.0  # a copy comes "some milliseconds" late, by the platform's page: fewer than these


@dataclass(frozen=True, slots=True)
class PoolSettings:
    most: int  # connections to all backends together
    connect_timeout_ms: float = 250.0
    idle_ms: float = 15_000.0  # after which a backend closes an idle connection, at the latest
    probe_timeout_ms: float = 250.0
    probe_path: bytes = b"/ping"
    host: bytes = b"origin"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a backend listens, and when it last started."""

    host: str
    port: int
    since_ms: float = 0.0


@dataclass(slots=True)
class Probe:
    server: str
    sent_ms: float


class Link:
    """One connection to a backend."""

    __slots__ = ("backend", "conn", "endpoint", "idle_since", "job", "reader", "rests_until", "state", "unsent")

    def __init__(self, conn: int, backend: Backend, now: float) -> None:
        self.conn, self.backend, self.state, self.idle_since = conn, backend, DIALING, now
        self.endpoint, self.rests_until = backend.endpoint, now
        self.job: c.Attempt | Probe | None = None
        self.unsent = False  # bytes of the request are still on this side
        self.reader = AnswerReader()


@dataclass(slots=True)
class Backend:
    id: str
    endpoint: Endpoint
    ready: bool = True
    idle: list[Link] = field(default_factory=list)  # the one used last at the end
    links: set[Link] = field(default_factory=set)
    dialing: int = 0
    waiting: deque[c.Attempt | Probe] = field(default_factory=deque)


class Pool(BasePool):
    """All backends of one ingress. ``out`` holds orders for the shell, ``ended`` what became of attempts."""

    def __init__(
        self,
        settings: PoolSettings,
        where: dict[str, Endpoint],
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:
        """``where``: the endpoints of the backends of the list, kept up by who reads it."""
        super().__init__(new_conn, at)
        self.settings, self.where_listed, self.sweeping = settings, where, False
        self.nodes: dict[str, Backend] = {}  # bounded by the list, and by the connections of those that left it
        self.links: dict[int, Link] = {}
        self.where: dict[int, Link | Backend] = {}  # jobs not ended, by identity: on a connection, or waiting

    # --- what the engine wants -------------------------------------------------------------------

    def send(self, now: float, attempt: c.Attempt) -> None:
        self.now = now
        self._place(attempt)

    def probe(self, now: float, server: str) -> None:
        self.now = now
        probe = Probe(server, now)
        self._place(probe)
        self.at(now + self.settings.probe_timeout_ms, self._probe_late, probe)

    def notified(self, now: float, servers: dict[str, i.State]) -> None:
        """The list as it now stands. What is not ready gets nothing that is not written yet."""
        self.now = now
        for name, state in servers.items():
            endpoint = self.where_listed.get(name)
            if endpoint is None:
                continue
            b = self.nodes.get(name)
            if b is None:
                b = self.nodes[name] = Backend(name, endpoint)
            if b.endpoint != endpoint:
                # Started anew or moved: what is open or being opened leads to what was there before, and what waits
                # was meant for that; a busy connection goes with its answer.
                b.endpoint = endpoint
                self._abandon(b)
            b.ready = state is i.State.READY
        for name, b in list(self.nodes.items()):
            if name not in servers:
                b.ready = False
            if not b.ready:
                self._abandon(b)
                self._forget(b)
        if not self.sweeping and self.nodes:
            self.sweeping = True
            self._sweep(None)

    # --- what happens to connections -------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self.now = now
        link = self.links.get(conn)
        if link is None:
            self.out.append(c.AbortConnection(conn))
            return
        link.backend.dialing -= 1
        self._free(link)

    def dial_failed(self, now: float, conn: int) -> None:
        self.now = now
        if (link := self.links.get(conn)) is None:
            return
        b = link.backend
        b.dialing -= 1
        self.counts["dials_failed"] += 1
        self._drop(link)
        # The dial was for one that waits; connections that came free meanwhile took the oldest.
        while len(b.waiting) > b.dialing + len(b.idle):
            self._end(b.waiting.popleft(), i.Result.CONNECT_FAILED)

    def received(self, now: float, conn: int, data: bytes) -> None:
        self.now = now
        link = self.links.get(conn)
        if link is None:
            return
        if link.job is None:
            self.counts["stray_bytes"] += 1
            self._cut(link)
            return
        try:
            answer = link.reader.receive(data)
        except Malformed as problem:
            self.counts["spoilt_answers"] += 1
            self.counts[f"spoilt: {problem.reason[:40]}"] += 1
            self._finish(link, i.Result.RESET)
            self._cut(link)
            return
        if answer is None:
            return
        last = not answer.keep or link.reader.unmatched or link.unsent
        self.counts["strays"] += link.reader.unmatched
        self._finish(link, _result(answer), answer)
        if last:
            self._cut(link)
        else:
            link.rests_until = now + REST_MS
            self._free(link)

    def lost(self, now: float, conn: int) -> None:
        """The connection ended, in whichever way."""
        self.now = now
        if (link := self.links.get(conn)) is not None:
            if link.job is not None:
                self._finish(link, i.Result.CONNECT_FAILED if link.unsent else i.Result.RESET)
            self._drop(link)

    def congested(self, conn: int) -> None:
        if (link := self.links.get(conn)) is not None:
            link.unsent = True

    def drained(self, now: float, conn: int) -> None:
        self.now = now
        if (link := self.links.get(conn)) is not None:
            link.unsent = False

    def close_all(self, now: float) -> None:
        self.now = now
        for link in list(self.links.values()):
            if link.job is not None:
                self._finish(link, i.Result.CANCELLED)
            self._cut(link)
        for b in self.nodes.values():
            self._abandon(b)

    # --- inside ----------------------------------------------------------------------------------

    def _place(self, job: c.Attempt | Probe) -> None:
        b = self.nodes.get(job.server)
        if b is None or not b.ready:
            self._end(job, i.Result.SUPERSEDED)
            return
        for link in [k for k in b.idle if not self._fresh(k)]:
            self._cut(link)
        for link in reversed(b.idle):
            if link.rests_until <= self.now:
                b.idle.remove(link)
                self._write(link, job)
                return
        b.waiting.append(job)
        self.where[id(job)] = b
        self._provide(b)

    def _provide(self, b: Backend) -> None:
        """For each that waits there is a connection that rests, which is sooner than any dial, or a dial."""
        for link in b.idle if b.waiting else ():
            self.at(link.rests_until, self._rested, link)
        while b.ready and len(b.waiting) > b.dialing + len(b.idle):
            if len(self.links) >= self.settings.most and not self._make_room():
                self.counts["no_connection"] += 1
                self._end(b.waiting.pop(), i.Result.SUPERSEDED)
                continue
            link = Link(0, b, self.now)
            link.conn = self.new_conn(self)
            self.links[link.conn] = link
            b.links.add(link)
            b.dialing += 1
            self.counts["dials"] += 1
            self.out.append(c.Dial(link.conn, b.endpoint.host, b.endpoint.port, self.settings.connect_timeout_ms))

    def _fresh(self, link: Link) -> bool:
        return self.now - link.idle_since < i.IDLE_TIMEOUT_SHARE * self.settings.idle_ms

    def _make_room(self) -> bool:
        """All connections that may be open are: the longest idle one goes."""
        idle = [b.idle[0] for b in self.nodes.values() if b.idle and not b.waiting]
        if not idle:
            return False
        self.counts["made_room"] += 1
        self._cut(min(idle, key=lambda k: k.idle_since))
        return True

    def _free(self, link: Link) -> None:
        """A connection can carry the next request: one that waits for this backend, or none yet."""
        b = link.backend
        if not b.ready or link.endpoint != b.endpoint:
            self._cut(link)
        else:
            link.state, link.idle_since = IDLE, self.now
            b.idle.append(link)
            self._rested(link)

    def _rested(self, link: Link) -> None:
        """A connection may carry the next request: the oldest that waits and that somebody still waits for."""
        b = link.backend
        if link.state is IDLE and link.rests_until > self.now and b.waiting:
            self.at(link.rests_until, self._rested, link)
        while link.state is IDLE and link.rests_until <= self.now and b.waiting:
            job = b.waiting.popleft()
            if isinstance(job, Probe) or self.wanted(job):
                b.idle.remove(link)
                self._write(link, job)
            else:
                self._end(job, i.Result.SUPERSEDED)

    def _write(self, link: Link, job: c.Attempt | Probe) -> None:
        self.where[id(job)] = link
        link.state, link.job, link.unsent = BUSY, job, False
        link.reader.expect()
        if isinstance(job, Probe):
            s = self.settings
            data = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (s.probe_path, s.host)
        else:
            p = job.payload
            data = b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (p.head, max(1, int(job.until_ms - self.now)), p.body)
        self.out.append(c.Write(link.conn, data))

    def _give_up(self, job: c.Attempt | Probe, result: i.Result) -> None:
        where = self.where.get(id(job))
        if isinstance(where, Backend):
            where.waiting.remove(job)
            self._end(job, i.Result.SUPERSEDED)
        elif where is not None:
            self._finish(where, i.Result.CONNECT_FAILED if where.unsent else result)
            self._cut(where)

    def _held_back(self, attempt: c.Attempt) -> bool:
        where = self.where.get(id(attempt))
        return isinstance(where, Backend) or (where is not None and where.unsent)

    def _finish(self, link: Link, result: i.Result, answer: Message | None = None) -> None:
        job, link.job = link.job, None
        self._end(job, result, answer)

    def _end(self, job: c.Attempt | Probe, result: i.Result, answer: Message | None = None) -> None:
        self.where.pop(id(job), None)
        load = _load(answer) if answer is not None else None
        if isinstance(job, Probe):
            self.ended.append(c.ProbeEnded(job.server, result, self.now - job.sent_ms, load))
        elif answer is None:
            self.ended.append(c.AttemptEnded(job, result))
        else:
            self.ended.append(c.AttemptEnded(job, result, answer.body, _used(answer), load=load))

    def _probe_late(self, probe: Probe) -> None:
        self._give_up(probe, i.Result.TIMEOUT)  # nothing, if it ended

    def _abandon(self, b: Backend) -> None:
        """Nothing more goes out on what is open or being opened; what waits never did."""
        while b.waiting:
            self._end(b.waiting.popleft(), i.Result.SUPERSEDED)
        for link in sorted((k for k in b.links if k.state in (DIALING, IDLE)), key=lambda k: k.conn):
            b.dialing -= link.state is DIALING
            self._cut(link)

    def _cut(self, link: Link) -> None:
        """End a connection from this side, at once."""
        if link.state is not GONE:
            self.out.append(c.AbortConnection(link.conn))
            self._drop(link)

    def _drop(self, link: Link) -> None:
        link.state = GONE
        self.links.pop(link.conn, None)
        b = link.backend
        b.links.discard(link)
        if link in b.idle:
            b.idle.remove(link)
            self._provide(b)
        self._forget(b)

    def _forget(self, b: Backend) -> None:
        """A backend that left the list is dropped with its last connection."""
        if not b.links and not b.ready and b.id not in self.where_listed:
            self.nodes.pop(b.id, None)

    def _sweep(self, _: Any) -> None:
        """Connections that were idle for too long are closed before the backend does it."""
        for b in self.nodes.values():
            for link in [k for k in b.idle if not self._fresh(k)]:
                self._cut(link)
        self.at(self.now + self.settings.idle_ms / 10, self._sweep, None)


def _result(answer: Message) -> i.Result:
    if answer.status == 200:
        return i.Result.OK
    declined = answer.status in (503, 504) and answer.headers.get(b"srv-declined", b"").strip() == b"1"
    return i.Result.FULL if declined else i.Result.ERROR


def _used(answer: Message) -> int:
    """The meter's figure as the module counts it: 1 more than the percent told; 0: nothing told, or nonsense."""
    text = answer.headers.get(b"x-meter", b"")
    return int(text) + 1 if text.isdigit() and len(text) < 7 else 0


def _load(answer: Message) -> dict[str, float] | None:
    """A load report; None where there is none that can be read. The answer is good all the same."""
    text = answer.headers.get(b"srv-load")
    if text is None or len(text) > 512:
        return None
    try:
        fields = [part.split("=") for part in text.decode("ascii").split(",")]
        load = {name.strip(): float(value) for name, value in fields}
    except ValueError:
        return None
    return load if len(load) <= MOST_LOAD and all(0 <= v < 1e12 for v in load.values()) else None
