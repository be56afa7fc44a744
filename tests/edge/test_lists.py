"""What discovery tells at awkward moments: watches that end or fall silent, lists that leave out, reloads, the end."""

from __future__ import annotations

import orjson

from rushweir.ingress import commands as c
from tests.edge.conftest import LIST, Edge, answer


def test_a_discovery_that_closes_after_each_answer_is_asked_as_seldom_as_one_that_stays():
    """Each new connection began with a call that does not wait: 500 calls a second, as fast as they were answered."""
    edge = Edge()
    empty = {"version": 7, "full": False, "servers": []}
    calls = seen = 0
    for _ in range(200):
        for order in edge.seen[seen:]:
            if isinstance(order, c.Dial) and order.port == 8500:
                edge.core.dialed(edge.now, order.conn)
        seen, orders = len(edge.seen), edge.turn()
        for order in orders:
            if isinstance(order, c.Write) and b"GET /catalog" in order.data:
                calls += 1
                if b"timeout_ms=1500" not in order.data:
                    page = LIST if calls == 1 else empty
                    edge.say(order.conn, answer(orjson.dumps(page), more="Connection: close\r\n"))
        edge.pass_ms(1.0)
    assert calls == 2 and edge.core.list.state == "asking" and edge.core.list.counts["silent"] == 0
