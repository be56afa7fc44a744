"""Tests of valid and invalid clients of the platform, with an ingress without sockets."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.edge.backends import COOLDOWN_MS
from rushweir.edge.front import Shared
from rushweir.ingress import commands
from tests.edge.conftest import SETTINGS, Edge, answer, booking, request


def test_request_is_answered_with_the_backends_body(edge):
    conn, backend_conn = edge.send_request(booking(body=b'{"to": 1}', key="key-9"))
    out = edge.written(backend_conn)
    assert out.startswith(b"POST /api?customer=0000000000000001 HTTP/1.1\r\n") and out.endswith(b'\r\n\r\n{"to": 1}')
    assert b"Req-Id: id-1\r\n" in out and b"Idempotency-Key: key-9\r\n" in out
    assert 1900 < int(out.split(b"Req-Deadline-Ms: ")[1].split(b"\r\n")[0]) < 2000
    edge.receive(backend_conn, answer(b"done"))
    assert edge.statuses(conn) == [200] and edge.written(conn).endswith(b"\r\n\r\ndone")
    assert not edge.core.engine.ledger.entries and not edge.core.components.shared.request_ids.open


INVALID_REQUESTS = {
    "no id": request(Req_Id=None), "id with a space": request("a b"), "no class": request(cls="none"),
    "no plan": request(plan="none"), "deadline of text": request(Req_Deadline_Ms="soon"),
    "deadline nan": request(Req_Deadline_Ms="nan"), "deadline 0": request(Req_Deadline_Ms="0"),
    "negative deadline": request(Req_Deadline_Ms="-5"), "units 0": request(X_Metering="units=0,spread=1,first=0"),
    "units nan": request(X_Metering="units=nan,spread=1,first=0"),
    "units huge": request(X_Metering="units=999999,spread=1,first=0"),
    "no set": request(X_Metering="units=1"), "set too wide": request(X_Metering="units=1,spread=9,first=0"),
    "set from nowhere": request(X_Metering="units=1,spread=1,first=7"),
    "units twice": request(X_Metering="units=1,units=1,spread=1,first=0"),
    "customer": request(customer="xyz"), "customer too large": request(customer="f" * 16),
    "method": request(method="POST"), "safe with a body": request(body=b"x"),
    "keyed without key": request(cls="booking", method="POST", body=b"x"),
    "a query of many fields": request(customer="0000000000000001" + "&x=1" * 40),
}  # fmt: skip


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_gets_an_error_and_the_connection_stays(edge, name):
    conn = edge.connect()
    edge.receive(conn, INVALID_REQUESTS[name])
    assert 400 <= edge.statuses(conn)[0] < 429 and conn not in edge.closed
    assert not edge.core.engine.ledger.entries
    _, backend_conn = edge.send_request(conn=conn)
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn)[1:] == [200]


MALFORMED_REQUESTS = {
    "noise": b"\x00\x01\xff\xfe" * 8 + b"\r\n\r\n",
    "both lengths": request(Transfer_Encoding="chunked", Content_Length="5") + b"0\r\n\r\n",
    "both, other order": booking().replace(b"Content-Length", b"Transfer-Encoding: chunked\r\nContent-Length"),
    "negative length": request(Content_Length="-1"), "huge length": request(Content_Length="9" * 30),
    "length of text": request(Content_Length="ten"), "repeated length": booking(X="1\r\nContent-Length: 2"),
    "obs-fold": request(X="1\r\n  2"), "60 MB": request(method="POST", Content_Length="60000000"),
    "endless head": request()[:-2] + b"X: " + b"y" * 20_000, "endless target": b"GET /" + b"a" * 20_000,
    "many fields": request()[:-2] + b"".join(b"x%d: 1\r\n" % k for k in range(200)) + b"\r\n",
    "bare line ends": request().replace(b"\r\n", b"\n"), "upgrade": request(Upgrade="h2c", Connection="upgrade"),
}  # fmt: skip


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_request_gets_one_error_and_the_connection_ends(edge, name):
    conn = edge.connect()
    issued = edge.receive(conn, MALFORMED_REQUESTS[name])
    assert edge.statuses(conn)[0] in (400, 413, 414, 431) and len(edge.statuses(conn)) == 1
    assert b"Connection: close" in edge.written(conn) and conn in edge.closed
    # The error reaches a client that still sends: only writing ends here, and the connection is cut after more bytes.
    assert not any(isinstance(o, commands.AbortConnection) for o in issued)
    assert not edge.core.engine.ledger.entries
    assert any(isinstance(o, commands.AbortConnection) for _ in range(6) for o in edge.receive(conn, b"z" * 60_000))


@given(st.binary(max_size=300), st.integers(0, 250))
@settings(max_examples=150, deadline=None)
def test_any_bytes_are_answered_or_the_connection_is_closed(noise, cut):
    edge = Edge()
    conn = edge.connect()
    edge.receive(conn, request()[:cut] + noise)
    edge.advance_ms(4000.0)
    assert conn in edge.closed or edge.statuses(conn)


@given(st.lists(st.integers(1, 600), max_size=8))
@settings(max_examples=100, deadline=None)
def test_request_is_parsed_equally_at_any_split(cuts):
    edge, data = Edge(), booking(body=b"x" * 300)
    conn = edge.connect()
    at = 0
    for end in [*sorted(cuts), len(data)]:
        issued = edge.receive(conn, data[at : max(at, end)]) if end > at else []
        at = max(at, end)
        if any(isinstance(o, commands.Dial) for o in issued):
            break
    backend_conn, _ = edge.complete_dial(issued)
    assert edge.written(backend_conn).endswith(b"\r\n\r\n" + b"x" * 300)


def test_id_of_an_open_request_is_refused_with_409(edge):
    edge.send_request()
    other = edge.connect()
    edge.receive(other, request())
    assert edge.statuses(other) == [409]


def test_pipelined_requests_are_answered_in_order(edge):
    conn, backend_conn = edge.send_request(request("one") + request("two"))
    edge.receive(backend_conn, answer(b"1"))
    edge.advance_ms(COOLDOWN_MS)  # of the connection to the backend
    second = [o for o in edge.commands if isinstance(o, commands.Write) and b"Req-Id: two" in o.data]
    edge.receive(second[0].conn, answer(b"2"))
    assert edge.statuses(conn) == [200, 200] and edge.written(conn).endswith(b"2")


def test_too_many_pipelined_requests_get_an_error(edge):
    conn = edge.connect()
    edge.receive(conn, b"".join(request(f"r{k}", cls="none") for k in range(300)))
    assert 400 in edge.statuses(conn) and conn in edge.closed


def test_silent_client_and_incomplete_request_get_408(edge):
    silent, half = edge.connect(), edge.connect()
    edge.receive(half, request()[:40])
    edge.advance_ms(2500.0)
    assert edge.statuses(silent) == edge.statuses(half) == [408] and {silent, half} <= edge.closed


def test_incomplete_request_on_a_used_connection_gets_408(edge):
    conn, backend_conn = edge.send_request()
    edge.receive(backend_conn, answer())
    edge.advance_ms(1500.0)
    edge.receive(conn, request("id-2")[:40])
    edge.advance_ms(2500.0)
    assert edge.statuses(conn) == [200, 408]


def test_full_ingress_closes_silent_clients_for_new_ones():
    edge = Edge(max_clients=4)
    busy, _ = edge.send_request()
    silent = [edge.connect() for _ in range(3)]
    edge.advance_ms(100.0)
    new, backend_conn = edge.send_request(request("new"))
    assert silent[0] in edge.closed and busy not in edge.closed
    edge.receive(backend_conn, answer())
    assert edge.statuses(new) == [200] and len(edge.core.clients.open) == 4


def test_refusal_has_a_retry_after_header(edge):
    first, backend_conn = edge.send_request(request(plan="tight"))
    edge.receive(backend_conn, answer())
    edge.receive(first, request("id-2", plan="tight"))
    assert edge.statuses(first) == [200, 429] and b"Retry-After: 0.5" in edge.written(first)


def test_disconnected_client_leaves_no_state(edge):
    conn, backend_conn = edge.send_request()
    edge.core.ended(edge.now, conn)
    edge.receive(backend_conn, answer())
    assert (
        not edge.core.engine.ledger.entries
        and not edge.core.clients.open
        and not edge.core.components.shared.request_ids.open
    )


def test_health_page_depends_on_having_a_list():
    for edge, status in ((Edge(), 200), (Edge(known=None), 503)):
        conn = edge.connect()
        edge.receive(conn, b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
        assert edge.statuses(conn) == [status]


def test_stopping_ingress_serves_new_requests_and_closes_idle_clients(edge):
    conn, backend_conn = edge.send_request()
    idle = edge.connect()
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200] and b"Connection: close" in edge.written(conn) and conn in edge.closed
    late, backend_conn = edge.send_request(request("late"))
    edge.receive(backend_conn, answer())
    assert edge.statuses(late) == [200]
    edge.advance_ms(100.0)
    assert idle in edge.closed


def test_request_ids_of_a_lost_connection_are_released(edge):
    conn, _ = edge.send_request()
    edge.core.ended(edge.now, conn)
    assert isinstance(edge.core.components.shared, Shared) and not edge.core.components.shared.request_ids.open


def test_rejected_connections_make_room_for_new_requests():
    """Rejected connections lingered above the limit, so that closing one for each new client rejected them all."""
    edge = Edge(max_clients=4)
    for _ in range(20):  # at once: none is old enough to be closed
        edge.connect()
    assert edge.core.counts["turned_away"] > 0
    edge.advance_ms(100.0)
    new, backend_conn = edge.send_request(request("new"))
    edge.receive(backend_conn, answer())
    assert edge.statuses(new) == [200] and len(edge.core.clients.open) <= 4


def test_clients_idle_after_one_request_do_not_block_new_ones():
    """They counted as in use for 2 s, and new clients, each with a request, were rejected (incident r03c8f5)."""
    edge = Edge(max_clients=4)
    for n in range(20):
        conn, backend_conn = edge.send_request(request(f"r{n}"))
        edge.receive(backend_conn, answer())
        edge.advance_ms(60.0)
        assert edge.statuses(conn) == [200]
    assert not edge.core.counts["turned_away"] and len(edge.core.clients.open) <= 4


def test_connection_closes_after_two_idle_seconds_but_not_with_an_open_request(edge):
    conn, backend_conn = edge.send_request()
    edge.advance_ms(1900.0)
    edge.receive(backend_conn, answer())
    edge.advance_ms(1900.0)
    assert conn not in edge.closed
    edge.advance_ms(200.0)
    assert conn in edge.closed


def test_answered_connections_close_while_too_many_are_open():
    """Connections idle after one request used the whole limit, and half of the connects failed (incident r03c8f5)."""
    edge, open_now = Edge(crowded_above=3), []
    for n in range(6):
        conn, backend_conn = edge.send_request(request(f"r{n}"))
        edge.receive(backend_conn, answer())
        open_now.append(conn)
    assert [conn in edge.closed for conn in open_now] == [False] * 3 + [True] * 3
    assert b"Connection: close" in edge.written(open_now[-1]) and edge.core.components.shared.active_connections == 3
    for conn in open_now:
        edge.core.ended(edge.now, conn)
    assert edge.core.components.shared.active_connections == 0


def test_pipelined_requests_are_answered_before_a_stopping_ingress_closes(edge):
    """The answer to the first request closed the connection, and the second was lost."""
    conn, backend_conn = edge.send_request(request("one") + request("two"))
    edge.core.drain_clients(edge.now, edge.core.setup.settings)
    edge.turn()
    edge.receive(backend_conn, answer(b"1"))
    edge.advance_ms(COOLDOWN_MS)
    second = next(o for o in edge.commands if isinstance(o, commands.Write) and b"Req-Id: two" in o.data)
    edge.receive(second.conn, answer(b"2"))
    assert edge.statuses(conn) == [200, 200] and conn in edge.closed
    assert edge.written(conn).count(b"Connection: close") == 1


def test_reload_with_other_peers_replaces_the_old_ones():
    """Datagrams of former peers were attributed to others that had their numbers by then."""
    a, b, new = ("10.0.0.1", 7946), ("10.0.0.2", 7946), ("10.0.0.9", 7946)
    sharing = replace(SETTINGS, gateways=2, sharing=replace(SETTINGS.sharing, peers=True))
    edge = Edge(sharing, peers=(a, b))
    edge.core.reload(edge.now, replace(edge.core.setup, peers=(a, new)))
    assert commands.SetPeerAddresses({0: a, 1: new}) in edge.turn()
    assert edge.core.peers.unpack(0.0, b"x", b) is None and edge.core.peers.unpack(0.0, b"x", new) == (1, "x")
