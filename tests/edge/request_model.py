"""A model of the requests of an ingress, which sees bytes only: complete requests, attempts written, answers.

It raises AssertionError for an answer or attempt that breaks a promise, and at the end for a missing answer."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from rushweir import interface
from rushweir.ingress import commands


@dataclass
class ClientRequest:
    """A request of a client, as seen from outside."""

    request_id: str
    conn: int  # its client connection
    effect: interface.Effect
    window_ms: float
    disconnected_ms: float | None = None
    answers: int = 0
    open_on: set[int] = field(default_factory=set)  # connections of attempts that may still run
    ran_ms: float | None = None  # when the first attempt that may have run was written
    written_ms: float = 0.0  # when the open attempt was written


def answers(data):
    """Yields status and body of each answer in some bytes."""
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        yield int(head[9:12]), rest[:length].decode()
        data = rest[length:]


class RequestModel:
    """The model of one ingress. ``observe`` takes the commands of a step in their order."""

    def __init__(self, edge):
        self.edge, self.requests, self.by_conn = edge, {}, {}  # requests by id; ids by client connection, in order
        self.attempts = {}  # open attempts by connection to a backend
        self.draining_since = {}  # when the list drained or removed an address
        self.starts = {}  # how often the backend at an address restarted, by the list
        self.dials = {}  # by connection: the backend's address, and which start of it
        self.dial_deadlines = {}  # when a pending dial times out
        self.notified_conns = set()  # clients told that their request stayed incomplete

    def request_received(self, request_id, conn, cls, effect, window_ms):
        self.requests[request_id] = ClientRequest(request_id, conn, effect, window_ms)
        self.by_conn.setdefault(conn, []).append(request_id)

    def client_disconnected(self, conn):
        for request_id in self.by_conn.get(conn, ()):
            if not self.requests[request_id].answers:
                self.requests[request_id].disconnected_ms = self.edge.now

    def observe(self, issued):
        for command in issued:
            match command:
                case commands.Dial() if command.port == 80:
                    self.dials[command.conn] = command.host, self.starts.get(command.host, 0)
                    self.dial_deadlines[command.conn] = self.edge.now + command.timeout_ms
                case commands.Write() if b"Req-Deadline-Ms" in command.data:
                    self._attempt(command)
                case commands.Write() if command.conn in self.by_conn:
                    self._answers(command)
                case commands.AbortConnection() | commands.CloseConnection():
                    self.connection_ended(command.conn)

    def _attempt(self, command):
        request_id = re.search(rb"Req-Id: (\S+)", command.data)[1].decode()
        request, (host, start) = self.requests[request_id], self.dials[command.conn]
        assert not request.answers, f"{request_id}: sent after its answer"
        assert request.disconnected_ms is None, f"{request_id}: sent after its client left"
        assert not request.open_on, f"{request_id}: two open attempts"
        assert command.conn not in self.attempts, f"{request_id}: on a connection that carries another"
        assert host not in self.draining_since, f"{request_id}: sent to {host}, which drains"
        assert start == self.starts.get(host, 0), f"{request_id}: on a connection older than its backend"
        if request.ran_ms is not None:
            assert (
                request.effect is not interface.Effect.UNSAFE
            ), f"{request_id}: an unsafe request repeated after it may have run"
            assert (
                request.effect is interface.Effect.SAFE or self.edge.now < request.ran_ms + request.window_ms
            ), f"{request_id}: repeated past its window"
        request.written_ms = self.edge.now
        request.open_on.add(command.conn)
        self.attempts[command.conn] = request_id

    def _answers(self, command):
        ids = self.by_conn[command.conn]
        for status, body in answers(command.data):
            request_id = next((r for r in ids if not self.requests[r].answers), None)
            if request_id is None or status == 408:
                assert status in (408, 503), "an answer to nothing"
                self.notified_conns.add(command.conn)
                continue
            request = self.requests[request_id]
            request.answers += 1
            if status == 200:
                assert body == f"for {request_id}", f"{request_id}: served with {body!r}"
            elif status in (429, 503) and request.ran_ms is not None:
                assert (
                    request.effect is not interface.Effect.UNSAFE
                ), f"{request_id}: refused as harmless after it may have run"

    def attempt_ended(self, conn, ran):
        """An attempt ended by a complete answer."""
        request_id = self.attempts.pop(conn, None)
        if request_id is not None:
            request = self.requests[request_id]
            request.open_on.discard(conn)
            if ran and request.ran_ms is None:
                request.ran_ms = request.written_ms

    def connection_ended(self, conn):
        """A connection ended: its attempt is not open any more, and may have run."""
        self.attempt_ended(conn, True)
        self.dials.pop(conn, None)

    def check_all_answered(self):
        """Checks that each request whose client is still connected has its answer, once all deadlines are over."""
        for request in self.requests.values():
            assert (
                request.answers == 1 or request.disconnected_ms is not None
            ), f"{request.request_id}: {request.answers} answers"

    def check_nothing_is_held(self):
        """Checks at the end that every request was answered and no state is left."""
        edge = self.edge
        for request in self.requests.values():
            assert request.answers == 1 or (
                request.disconnected_ms is not None and not request.answers
            ), f"{request.request_id}: {request.answers} answers"
        core, policy = edge.core, edge.policy
        assert not core.engine.ledger.entries and not core.engine.ledger.unanswered, "requests held"
        assert (
            not core.components.shared.request_ids.open and core.components.shared.active_connections == 0
        ), "ids or connections held"
        assert not policy.pending, "requests held by the module"
        assert not core.memory.held_bytes and not core.memory.totals.by_holder, "memory held"
        assert sum(policy.capacity.partitions.used) < 1e-6, "capacity held"
        assert all(x.open_attempts == 0 for x in policy.quota.customers.values()), "open attempts held"
        assert not any(s.in_flight for s in policy.quota.owned_buckets.values()), "open attempts held by their owner"
        assert not core.clients.open and not core.pool.job_places, "connections or attempts held"
        assert not core.pool.links, "connections to backends held"  # idle ones are closed by then
        assert len(core.upstream_handlers) - len(core.list.late_calls) <= 1, "handlers held"
