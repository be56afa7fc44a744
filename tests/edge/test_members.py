"""Discovery's answers, good and bad, and peers' datagrams."""

from __future__ import annotations

import orjson
import pytest

from rushweir.edge.peers import Peers
from rushweir.ingress import commands as c
from tests.edge.conftest import LIST, Edge, answer


def up(edge):
    edge.core.dialed(edge.now, edge.core.list.conn)
    edge.turn()
    return edge.core.list.conn


def calls(edge, conn):
    return [o.data.split(b" ")[1] for o in edge.seen if isinstance(o, c.Write) and o.conn == conn]


def page(version, *entries, full=False):
    return answer(orjson.dumps({"version": version, "full": full, "servers": entries}))


def test_the_whole_list_then_a_watch_that_goes_on_at_once(edge):
    conn = up(edge)
    edge.say(conn, answer(orjson.dumps(LIST)))
    edge.say(conn, page(8, {**LIST["servers"][0], "state": "Terminating"}))
    assert calls(edge, conn)[0] == b"/catalog/members"
    assert [b"since=7" in calls(edge, conn)[1], b"since=8" in calls(edge, conn)[2]] == [True, True]
    assert edge.core.nodes.held["s-1"].state.value == "draining"


BAD = {
    "no JSON": answer(b"{"), "no HTTP": b"\x00noise\r\n\r\n", "status": answer(b"{}", "500 No"),
    "no version": answer(b'{"full": true, "servers": []}'), "no list": answer(b'{"version": 9, "full": true}'),
    "entry without id": page(9, {"addr": "a:1", "state": "Ready"}, full=True),
    "address": page(9, {"id": "x", "addr": "nowhere", "state": "Ready"}, full=True),
    "twice": page(9, LIST["servers"][0], LIST["servers"][0], full=True),
    "port in other digits": page(9, {"id": "x", "addr": "10.0.0.1:\u00b2", "state": "Ready"}, full=True),
    "state of no kind": page(9, {**LIST["servers"][0], "state": ["Ready"]}, full=True),
    "older": page(3, full=True), "half": answer(orjson.dumps(LIST))[:60],
}  # fmt: skip


@pytest.mark.parametrize("name", BAD)
def test_after_an_answer_that_can_t_be_used_the_list_stands_and_is_asked_for_again(edge, name):
    conn = up(edge)
    edge.say(conn, BAD[name])
    edge.pass_ms(1500.0)
    assert sorted(edge.core.nodes.held) == ["s-1", "s-2", "s-3"] and conn in edge.closed
    assert edge.core.list.conn != conn
    edge.say(up(edge), page(10, LIST["servers"][0], full=True))
    assert list(edge.core.nodes.held) == ["s-1"]


def test_an_older_list_that_stays_is_the_list_s_new_life(edge):
    for _ in range(200):
        if edge.core.list.state == "dialing":
            edge.say(up(edge), page(3, LIST["servers"][0], full=True))
        edge.pass_ms(100.0)
    assert list(edge.core.nodes.held) == ["s-1"] and edge.core.list.version == 3


def test_an_unknown_state_gets_no_new_work(edge):
    edge.say(up(edge), page(8, {**LIST["servers"][0], "state": "Odd"}, *LIST["servers"][1:], full=True))
    assert edge.core.nodes.held["s-1"].state.value == "draining" and edge.core.list.remarks == []


def test_an_agent_that_fell_silent_is_found_soon_after_the_wait(edge):
    conn = up(edge)
    edge.say(conn, answer(orjson.dumps(LIST)))
    edge.pass_ms(3500.0)
    assert conn in edge.closed and edge.core.list.counts["silent"] == 1


def test_a_known_list_that_can_t_be_read_is_an_error():
    with pytest.raises(ValueError, match="version"):
        Edge(known={"servers": []})


def test_peers_are_known_by_their_addresses():
    a, b = ("10.0.0.1", 7946), ("10.0.0.2", 7946)
    peers = Peers(0, [a, b])
    assert peers.pack(0.0, 1, "x" * 256) == b"x" * 256 and peers.pack(0.0, 1, "x" * 257) is None
    assert peers.unpack(0.0, b"hello", b) == (1, "hello")
    assert [peers.unpack(0.0, b"hello", x) for x in (a, ("10.0.0.3", 7946), None)] == [None] * 3
    assert peers.unpack(0.0, b"\xff", b) is None
