"""The id of a request belongs to it alone, also a moment after its end.

Guards against a request that ran twice, since its id came again right after its client had left, and against an
unsound request with the id of another that was answered as served.
"""

from __future__ import annotations

import pytest

from rushweir.edge.request_ids import MAX_ENDED_IDS, RequestIds
from rushweir.ingress import commands
from tests.edge.conftest import SETTINGS, answer, booking, request
from tests.edge.live import run_scenario

KEEP_MS = max(request_class.deadline_ms for request_class in SETTINGS.classes)


def attempts(edge, request_id):
    """Returns the number of attempts of a request that were written."""
    line = f"Req-Id: {request_id}\r\n".encode()
    return sum(line in command.data for command in edge.commands if isinstance(command, commands.Write))


def ask_again(edge, data):
    """Returns the statuses that another client gets for the same request, after all dials succeeded."""
    other = edge.connect()
    for command in edge.receive(other, data):
        if isinstance(command, commands.Dial):
            edge.core.dialed(edge.now, command.conn)
            edge.turn()
    return edge.statuses(other)


@pytest.mark.parametrize("data", [request("one"), booking("one")], ids=["safe", "keyed"])
def test_id_that_comes_again_after_its_client_left_is_refused(edge, data):
    conn, _ = edge.send_request(data)
    edge.core.ended(edge.now, conn)
    edge.turn()
    assert ask_again(edge, data) == [409] and attempts(edge, "one") == 1


def test_id_that_comes_again_after_its_answer_is_refused(edge):
    conn, backend_conn = edge.send_request(request("one"))
    edge.receive(backend_conn, answer())
    edge.receive(conn, request("one"))
    assert edge.statuses(conn) == [200, 409] and attempts(edge, "one") == 1


def test_id_that_comes_twice_ahead_of_the_answer_is_refused(edge):
    conn, backend_conn = edge.send_request(request("one") + request("one"))
    edge.receive(backend_conn, answer())
    assert edge.statuses(conn) == [200, 409] and attempts(edge, "one") == 1


def test_id_of_a_refused_request_is_not_free_for_another(edge):
    conn = edge.connect()
    edge.receive(conn, request("one", Req_Deadline_Ms="1"))
    assert edge.statuses(conn) == [503] and ask_again(edge, request("one")) == [409]


def test_id_is_free_once_the_time_of_its_request_is_over(edge):
    conn, backend_conn = edge.send_request(request("one"))
    edge.receive(backend_conn, answer())
    edge.advance_ms(KEEP_MS + 1.0)
    _, backend_conn = edge.send_request(request("one"))
    assert attempts(edge, "one") == 2


def test_id_of_a_request_that_was_never_taken_is_free(edge):
    """The client sends it once more on a new connection, where the close of its connection crossed it."""
    conn, _ = edge.send_request(request("one"))
    edge.receive(conn, request("queued"))
    edge.core.ended(edge.now, conn)
    edge.turn()
    assert ask_again(edge, request("queued")) == [] and attempts(edge, "queued") == 1


def test_id_of_an_unsound_request_is_not_taken(edge):
    conn = edge.connect()
    edge.receive(conn, request("one", plan="none"))
    assert edge.statuses(conn) == [400] and ask_again(edge, request("one")) == [] and attempts(edge, "one") == 1


def test_newest_ids_are_kept_where_there_are_many():
    ids = RequestIds(keep_ms=1000.0)
    for number in range(MAX_ENDED_IDS + 10):
        assert ids.use(b"%d" % number, 0.0)
        ids.release(b"%d" % number, 0.0)
    assert len(ids.ended) == MAX_ENDED_IDS and not ids.open
    assert ids.use(b"0", 0.0) and not ids.use(b"%d" % (MAX_ENDED_IDS + 9), 0.0)


def test_client_that_leaves_and_sends_the_same_request_again_runs_it_once():
    async def scenario(live):
        live.release.clear()
        first = await live.client()
        await live.send(first, booking("one"))
        await live.until(lambda: len(live.heads()) == 1)
        live.clients.remove(first)
        first.close()
        await live.until(lambda: live.core.engine.counts["left"] == 1)
        second = await live.client()
        await live.send(second, booking("one"))
        status, _ = await live.read(second)
        assert status == 409 and len(live.heads()) == 1

    run_scenario(scenario)
