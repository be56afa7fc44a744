"""Tests of lists at difficult moments: watches that end or fall silent, omitted backends, reloads, shutdown."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from rushweir.edge.backends import COOLDOWN_MS
from rushweir.edge.discovery_watch import (
    ANSWER_TIMEOUT_MS,
    CONNECT_TIMEOUT_MS,
    MAX_CHANGE_DELAY_MS,
    OLDER_DRAINS_ONLY_MS,
    RETRY_DELAY_MS,
    WATCH_WAIT_MS,
)
from rushweir.ingress import commands
from tests.edge.conftest import LIST, Edge, answer, booking, request
from tests.edge.test_discovery_watch import FAULTS, Agent, connect_discovery, page, states

RELOAD_MS = 4_000.0  # a change must apply in this time after SIGHUP, by the platform's page
LAST_MS = 700.0  # after SIGTERM no new clients are accepted


def listed(*names):
    return [e for e in LIST["servers"] if e["id"] in names]


def left_out(name, version=9):
    """Returns the full list without one backend."""
    return page(version, *(e for e in LIST["servers"] if e["id"] != name), full=True)


# --- full lists that omit a backend -------------------------------------------------------------------


def at_the_backend(edge, state):
    """Creates a connection to a backend in some state. Returns the backend's id, that connection and the client's."""
    conn = edge.connect()
    dial = next(o for o in edge.receive(conn, booking("one")) if isinstance(o, commands.Dial) and o.port == 80)
    name = edge.core.pool.links[dial.conn].backend.id
    if state != "dialing":
        edge.core.dialed(edge.now, dial.conn)
        edge.turn()
    if state in ("resting", "idle"):
        edge.receive(dial.conn, answer(b"one"))
        edge.advance_ms(0.0 if state == "resting" else COOLDOWN_MS + 1)
    return name, dial.conn, conn


@pytest.mark.parametrize("version", [7, 9])
@pytest.mark.parametrize("how", ["first answer", "watch"])
@pytest.mark.parametrize("state", ["dialing", "resting", "idle", "busy"])
def test_backend_missing_from_a_full_list_gets_no_new_requests(edge, state, how, version):
    """Also if the version is the current one: the omission is as new as the entries of the list."""
    source = connect_discovery(edge)
    if how == "watch":
        edge.receive(source, answer(orjson.dumps(LIST)))
    name, link, conn = at_the_backend(edge, state)
    issued = edge.receive(source, left_out(name, version))
    assert name not in states(edge) and name not in edge.core.pool.listed_endpoints
    assert (link in edge.closed) is (state != "busy")
    if state == "dialing":  # it was never sent, and goes to another backend
        other, _ = edge.complete_dial([o for o in issued if isinstance(o, commands.Dial)])
        edge.receive(other, answer(b"one"))
    elif state == "busy":  # the open request is finished, and nothing else
        edge.receive(link, answer(b"one"))
        assert link in edge.closed
    assert edge.statuses(conn) == [200] and edge.written(conn).endswith(b"one")
    assert name not in edge.core.pool.backends
    before = len(edge.commands)
    for n in range(12):  # new requests go to the other backends
        edge.receive(edge.connect(), request(f"r{n}"))
    hosts = {o.host for o in edge.commands[before:] if isinstance(o, commands.Dial)}
    gone = listed(name)[0]["addr"].partition(":")[0]
    assert hosts and gone not in hosts and not [o for o in edge.commands[before:] if getattr(o, "conn", 0) == link]


def test_empty_full_list_refuses_requests_until_the_next_list(edge):
    source = connect_discovery(edge)
    edge.receive(source, page(8, full=True))
    conn = edge.connect()
    edge.receive(conn, request("one"))
    assert edge.statuses(conn) == [503] and b"no_node" in edge.written(conn) and not states(edge)
    edge.receive(source, answer(orjson.dumps(LIST | {"version": 9})))
    _, link = edge.send_request(request("two"), conn)
    edge.receive(link, answer())
    assert edge.statuses(conn) == [503, 200]


@pytest.mark.parametrize("fault", ["good", *FAULTS])
def test_watch_that_ends_without_an_answer_costs_one_call(edge, fault):
    """The watch is reset when there is a change, which is an omitted backend."""
    source = connect_discovery(edge)
    edge.receive(source, answer(orjson.dumps(LIST)))
    agent = Agent(edge, [fault, "good"])
    agent.page = left_out("s-1")
    edge.closed.add(source)
    edge.core.ended(edge.now, source)
    edge.turn()
    took = agent.run(10_000.0, lambda: "s-1" not in states(edge))
    assert took <= (2 if fault != "good" else 1) * (CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS) + 3 * RETRY_DELAY_MS[0]


# --- watches that fall silent late --------------------------------------------------------------------


class Watched(Agent):
    """A discovery whose watch works until ``silent_at``. After that it answers new connections only, once ``steps``
    are over, with the missed change."""

    def __init__(self, edge, steps, silent_at):
        super().__init__(edge, steps)
        self.silent_at, self.page, self.good = silent_at, left_out("s-1"), True

    def schedule_answers(self):
        if self.edge.now >= self.silent_at:
            if self.good:  # pending answers never arrive
                self.good, self.due = False, []
            super().schedule_answers()
            return
        for command in self.edge.commands[self.seen :]:
            if isinstance(command, commands.Write) and b"GET /catalog" in command.data:
                assert b"timeout_ms=1500" in command.data
                self.due.append((self.edge.now + WATCH_WAIT_MS, self.edge.core.received, command.conn, page(7)))
        self.seen = len(self.edge.commands)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("term_ms", [None, -2_200.0, -700.0, -1.0, 0.0, 1.0, 700.0, 2_200.0, 2_300.0])
def test_watch_silent_after_13_s_is_detected_also_around_sigterm(edge, fault, term_ms):
    """An ingress that shuts down still needs changes, since it still sends requests."""
    source = connect_discovery(edge)
    edge.receive(source, answer(orjson.dumps(LIST)))
    silent_at = edge.now + 13_000.0
    agent = Watched(edge, [fault, "good"], silent_at)
    agent.seen = max(k for k, o in enumerate(edge.commands) if isinstance(o, commands.Write))  # the last watch call
    agent.run(13_000.0 + min(0.0, term_ms or 0.0), lambda: False)
    ends = None if term_ms is None else [silent_at + term_ms, silent_at + term_ms + LAST_MS]
    if ends and term_ms >= 0:
        agent.run(silent_at - edge.now, lambda: False)
    assert edge.core.list.calls >= 8 and not edge.core.list.counts["silent"]  # the watch worked until then
    for when, what in zip(ends or [], (lambda: edge.core.drain_clients(edge.now, edge.core.setup.settings),
                                       lambda: edge.core.stop(edge.now)), strict=False):  # fmt: skip
        agent.run(max(0.0, when - edge.now), lambda: False)
        what()
        edge.turn()
    agent.run(10_000.0, lambda: "s-1" not in states(edge))
    assert "s-1" not in states(edge) and edge.now - silent_at <= MAX_CHANGE_DELAY_MS <= 5_000.0


# --- reloads with drains ------------------------------------------------------------------------------


@pytest.mark.parametrize("state", ["dialing", "resting", "idle", "busy"])
def test_draining_backend_keeps_draining_through_a_reload(edge, state):
    """A reload passes the current list to module and pool again, and must not revive a draining backend."""
    source = connect_discovery(edge)
    edge.receive(source, answer(orjson.dumps(LIST)))
    name, link, conn = at_the_backend(edge, state)
    edge.receive(source, page(8, {**listed(name)[0], "state": "Terminating"}))
    edge.core.reload(edge.now, replace(edge.core.setup, discovery=("10.9.0.2", 8500)))
    edge.turn()
    assert states(edge)[name] == "draining" and (link in edge.closed) is (state != "busy")
    for n in range(12):
        edge.receive(edge.connect(), request(f"r{n}"))
    assert all(k.backend.id != name for k in edge.core.pool.links.values() if k.conn != link)
    if state == "busy":
        edge.receive(link, answer(b"one"))
        assert edge.statuses(conn) == [200] and link in edge.closed


@pytest.mark.parametrize("fault", ["good", *FAULTS])
@pytest.mark.parametrize("told", ["Terminating", "left out"])
def test_drain_known_to_the_new_discovery_only_applies_in_time(edge, told, fault):
    source = connect_discovery(edge)
    edge.receive(source, answer(orjson.dumps(LIST)))
    agent = Agent(edge, [fault, "good"])
    if told == "left out":
        agent.page = left_out("s-1")
    edge.core.reload(edge.now, replace(edge.core.setup, discovery=("10.9.0.2", 8500)))
    edge.turn()
    took = agent.run(10_000.0, lambda: states(edge).get("s-1") != "ready")
    assert (
        source in edge.closed
        and took <= 2 * (CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS) + 2 * RETRY_DELAY_MS[0] <= 3_000.0
    )


def test_omission_by_a_new_discovery_with_lower_versions_applies_in_time(edge):
    """Its list looks older than the current one, and backends that it omits are drained a second later."""
    source = connect_discovery(edge)
    edge.receive(source, answer(orjson.dumps(LIST)))
    agent = Agent(edge, ["good"])
    agent.page = left_out("s-1", version=2)
    edge.core.reload(edge.now, replace(edge.core.setup, discovery=("10.9.0.2", 8500)))
    edge.turn()
    took = agent.run(10_000.0, lambda: states(edge)["s-1"] == "draining")
    # A call just before the second is over comes too early, and the next one applies.
    assert (
        OLDER_DRAINS_ONLY_MS
        <= took
        <= OLDER_DRAINS_ONLY_MS + 2 * (CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS) + RETRY_DELAY_MS[1]
        <= RELOAD_MS
    )


# --- calls ---------------------------------------------------------------------------------------------


def test_discovery_that_closes_after_each_answer_is_called_as_rarely_as_others():
    """Each new connection began with a call that does not wait, which made 500 calls a second."""
    edge = Edge()
    empty = {"version": 7, "full": False, "servers": []}
    calls = seen = 0
    for _ in range(200):
        for command in edge.commands[seen:]:
            if isinstance(command, commands.Dial) and command.port == 8500:
                edge.core.dialed(edge.now, command.conn)
        seen, issued = len(edge.commands), edge.turn()
        for command in issued:
            if isinstance(command, commands.Write) and b"GET /catalog" in command.data:
                calls += 1
                if b"timeout_ms=1500" not in command.data:
                    page = LIST if calls == 1 else empty
                    edge.receive(command.conn, answer(orjson.dumps(page), more="Connection: close\r\n"))
        edge.advance_ms(1.0)
    assert calls == 2 and edge.core.list.state == "asking" and edge.core.list.counts["silent"] == 0
