"""A request whose length is too short is not answered as served: what is behind it begins no other request.

Guards against an unsound request that is answered as served (issue 58, evidence 2): the part of its body that its
length covers was sent to a backend, and only the rest got an error.
"""

from __future__ import annotations

import pytest

from tests.edge.conftest import Edge, answer, booking, request
from tests.edge.live import run_scenario

REST = {"json": b'"to": 1}', "words": b"and more", "zeros": b"\0" * 9, "a bare method": b"GETx", "digits": b"123"}
SHORT = {"a body": booking("short"), "no length at all": request("short")}


@pytest.mark.parametrize("rest", REST.values(), ids=REST)
@pytest.mark.parametrize("data", SHORT.values(), ids=SHORT)
def test_request_with_more_behind_it_than_its_length_is_not_sent(edge, data, rest):
    conn = edge.connect()
    edge.receive(conn, data + rest)
    edge.advance_ms(3_000.0)
    assert edge.statuses(conn) == [400] and conn in edge.closed and not edge.core.engine.counts["attempts"]


@pytest.mark.parametrize("rest", REST.values(), ids=REST)
@pytest.mark.parametrize("data", SHORT.values(), ids=SHORT)
def test_request_that_is_out_when_more_comes_gets_the_error(edge, data, rest):
    conn, backend_conn = edge.send_request(data)
    edge.receive(conn, rest)
    assert edge.statuses(conn) == [400] and conn in edge.closed
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [400] and not edge.core.engine.ledger.entries


def test_only_the_last_request_before_such_bytes_gets_the_error(edge):
    conn, backend_conn = edge.send_request(request("one") + booking("short") + REST["json"])
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200, 400] and edge.core.engine.counts["attempts"] == 1


@pytest.mark.parametrize("more", [b"\r\n", b"\r\n\r\n", b"\n", request("two"), request("two")[:30]])
def test_request_before_line_ends_or_another_one_is_served(edge, more):
    conn, backend_conn = edge.send_request(booking("one") + more)
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200]


def test_request_before_a_fault_of_the_next_one_is_served(edge):
    """Such bytes begin a request, which is unsound; that before it ends where it says."""
    conn, backend_conn = edge.send_request(booking("one") + request("two", Content_Length="x"))
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200, 400]


def test_bytes_after_the_request_that_closes_the_connection_are_ignored(edge):
    """RFC 9112, 9.6: nothing that follows it is processed."""
    conn, backend_conn = edge.send_request(request("one", Connection="close") + REST["words"])
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200]


def test_error_comes_at_once_and_the_connection_ends():
    async def scenario(live):
        sock = await live.client()
        await live.send(sock, SHORT["a body"] + REST["json"])
        assert (await live.read(sock))[0] == 400 and await live.shell.loop.sock_recv(sock, 1) == b""
        assert not live.heads()

    run_scenario(scenario)


def test_nothing_is_held_for_a_dropped_request():
    edge = Edge()
    conn, backend_conn = edge.send_request(request("one"))
    edge.receive(conn, booking("short", body=b"b" * 20_000) + REST["words"])
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200, 400] and not edge.core.memory.held_bytes
