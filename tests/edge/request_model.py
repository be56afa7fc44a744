"""What an ingress owes, kept by a model that only sees bytes: the requests that were whole, the attempts that went
out, the answers that came back. What is owed and not paid is an AssertionError."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from rushweir import interface as i
from rushweir.ingress import commands as c


@dataclass
class Asked:
    """A request of a client: what is known of it from outside."""

    rid: str
    conn: int
    effect: i.Effect
    window: float
    left: float | None = None  # when its client went
    answers: int = 0
    out: set[int] = field(default_factory=set)  # connections of attempts that may still run
    ran: float | None = None  # when the first attempt that may have run was written
    written: float = 0.0  # the attempt that is out


def answers(data):
    """The answers in some bytes: status and body of each."""
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        yield int(head[9:12]), rest[:length].decode()
        data = rest[length:]


class RequestModel:
    """The model. ``see`` takes the orders of one step, in their order."""

    def __init__(self, edge):
        self.edge, self.asked, self.by_conn = edge, {}, {}  # requests by id; ids of a connection, in order
        self.ups = {}  # attempts under way, by the connection to a backend
        self.shut = {}  # addresses that the list told to drain or gone, and since when
        self.starts = {}  # how often the backend at an address started anew, as the list told
        self.dials = {}  # a connection's backend address, and which of its starts it leads to
        self.due = {}  # when a dial is over, if it has not come up
        self.told = set()  # clients' connections that were told of a request that never became whole

    def took(self, rid, conn, cls, effect, window):
        self.asked[rid] = Asked(rid, conn, effect, window)
        self.by_conn.setdefault(conn, []).append(rid)

    def went(self, conn):
        for rid in self.by_conn.get(conn, ()):
            if not self.asked[rid].answers:
                self.asked[rid].left = self.edge.now

    def see(self, orders):
        for order in orders:
            match order:
                case c.Dial() if order.port == 80:
                    self.dials[order.conn] = order.host, self.starts.get(order.host, 0)
                    self.due[order.conn] = self.edge.now + order.timeout_ms
                case c.Write() if b"Req-Deadline-Ms" in order.data:
                    self._attempt(order)
                case c.Write() if order.conn in self.by_conn:
                    self._answers(order)
                case c.AbortConnection() | c.CloseConnection():
                    self.cut(order.conn)

    def _attempt(self, order):
        rid = re.search(rb"Req-Id: (\S+)", order.data)[1].decode()
        a, (host, start) = self.asked[rid], self.dials[order.conn]
        assert not a.answers, f"{rid}: sent on after its answer"
        assert a.left is None, f"{rid}: sent on after its client left"
        assert not a.out, f"{rid}: two attempts out"
        assert order.conn not in self.ups, f"{rid}: on a connection that carries another"
        assert host not in self.shut, f"{rid}: sent to {host}, told to drain"
        assert start == self.starts.get(host, 0), f"{rid}: on a connection older than its backend"
        if a.ran is not None:
            assert a.effect is not i.Effect.UNSAFE, f"{rid}: an unsafe request repeated after it may have run"
            assert a.effect is i.Effect.SAFE or self.edge.now < a.ran + a.window, f"{rid}: repeated past its window"
        a.written = self.edge.now
        a.out.add(order.conn)
        self.ups[order.conn] = rid

    def _answers(self, order):
        ids = self.by_conn[order.conn]
        for status, body in answers(order.data):
            rid = next((r for r in ids if not self.asked[r].answers), None)
            if rid is None or status == 408:
                assert status in (408, 503), "an answer to nothing"
                self.told.add(order.conn)
                continue
            a = self.asked[rid]
            a.answers += 1
            if status == 200:
                assert body == f"for {rid}", f"{rid}: served with {body!r}"
            elif status in (429, 503) and a.ran is not None:
                assert a.effect is not i.Effect.UNSAFE, f"{rid}: refused as harmless after it may have run"

    def over(self, conn, ran):
        """An attempt ended by a whole answer."""
        rid = self.ups.pop(conn, None)
        if rid is not None:
            a = self.asked[rid]
            a.out.discard(conn)
            if ran and a.ran is None:
                a.ran = a.written

    def cut(self, conn):
        """Its connection ended: the attempt is out no more, and may have run."""
        self.over(conn, True)
        self.dials.pop(conn, None)

    def settle(self):
        """Nothing is owed any more, and nothing is held."""
        edge = self.edge
        for a in self.asked.values():
            assert a.answers == 1 or (a.left is not None and not a.answers), f"{a.rid}: {a.answers} answers"
        core, policy = edge.core, edge.policy
        assert not core.engine.ledger.entries and not core.engine.ledger.unanswered, "requests held"
        assert (
            not core.components.shared.open_request_ids and core.components.shared.active_connections == 0
        ), "ids or connections held"
        assert not policy.pending, "requests held by the module"
        assert sum(policy.capacity.partitions.used) < 1e-6, "room held"
        assert all(x.open_attempts == 0 for x in policy.quota.customers.values()), "places held"
        assert not any(s.in_flight for s in policy.quota.owned_buckets.values()), "places held by their keeper"
        assert not core.clients.open and not core.pool.job_places, "connections or attempts held"
        assert not core.pool.links, "connections to backends held"  # idle ones are closed by then
        assert len(core.upstream_handlers) <= 1, "handlers held"
