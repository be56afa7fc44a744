"""Tests of valid and invalid answers of discovery, and of peers' datagrams."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from rushweir.edge.discovery_watch import (
    ANSWER_TIMEOUT_MS,
    CALL_MS,
    CONNECT_TIMEOUT_MS,
    MAX_CHANGE_DELAY_MS,
    MAX_LATE_CALLS,
    OLDER_DRAINS_ONLY_MS,
    RETRY_DELAY_MS,
    WATCH_WAIT_MS,
)
from rushweir.edge.peers import Peers
from rushweir.ingress import commands
from tests.edge.conftest import LIST, Edge, answer


def connect_discovery(edge):
    edge.core.dialed(edge.now, edge.core.list.conn)
    edge.turn()
    return edge.core.list.conn


def calls(edge, conn):
    return [o.data.split(b" ")[1] for o in edge.commands if isinstance(o, commands.Write) and o.conn == conn]


def page(version, *entries, full=False):
    return answer(orjson.dumps({"version": version, "full": full, "servers": entries}))


def test_full_list_is_followed_by_a_continuous_watch(edge):
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    edge.receive(conn, page(8, {**LIST["servers"][0], "state": "Terminating"}))
    assert calls(edge, conn)[0] == b"/catalog/members"
    assert [b"since=7" in calls(edge, conn)[1], b"since=8" in calls(edge, conn)[2]] == [True, True]
    assert edge.core.nodes.effective["s-1"].state.value == "draining"


UNUSABLE_ANSWERS = {
    "no JSON": answer(b"{"), "no HTTP": b"\x00noise\r\n\r\n", "status": answer(b"{}", "500 No"),
    "no version": answer(b'{"full": true, "servers": []}'), "no list": answer(b'{"version": 9, "full": true}'),
    "older": page(3, full=True), "half": answer(orjson.dumps(LIST))[:60],
}  # fmt: skip


@pytest.mark.parametrize("name", UNUSABLE_ANSWERS)
def test_unusable_answer_keeps_the_list_and_is_asked_again(edge, name):
    conn = connect_discovery(edge)
    edge.receive(conn, UNUSABLE_ANSWERS[name])
    edge.advance_ms(1500.0)
    assert sorted(edge.core.nodes.effective) == ["s-1", "s-2", "s-3"] and conn in edge.closed
    assert edge.core.list.conn != conn
    edge.receive(connect_discovery(edge), page(10, LIST["servers"][0], full=True))
    assert list(edge.core.nodes.effective) == ["s-1"]


FIRST = LIST["servers"][0]
MALFORMED_ENTRIES = {
    "without id": {"addr": "a:1", "state": "Ready"}, "no object": "s-1", "id of no kind": {**FIRST, "id": 7},
    "address": {**FIRST, "addr": "nowhere"}, "state of no kind": {**FIRST, "state": ["Ready"]},
    "port in other digits": {**FIRST, "addr": "10.0.0.1:\u00b2"}, "state unknown": {**FIRST, "state": "Odd"},
    "start of text": {**FIRST, "started_ms": "now"}, "weight nan": {**FIRST, "weight": None},
}  # fmt: skip


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("name", MALFORMED_ENTRIES)
def test_malformed_entry_drains_only_its_own_backend(edge, name, full):
    """A malformed entry made the whole list refused, and no change applied for as long as it was listed."""
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    second, third = LIST["servers"][1:]
    edge.receive(
        conn, page(8, MALFORMED_ENTRIES[name], {**second, "state": "Terminating"}, *[third] * full, full=full)
    )
    held = {a: s.state.value for a, s in edge.core.nodes.effective.items()}
    assert held["s-2"] == "draining" and held["s-3"] == "ready" and edge.core.list.version == 8
    whose = MALFORMED_ENTRIES[name].get("id") if isinstance(MALFORMED_ENTRIES[name], dict) else None
    assert held.get("s-1") == ("draining" if whose == "s-1" else None if full else "ready")
    assert edge.core.list.counts["odd_entries"] == 1 and conn not in edge.closed


@pytest.mark.parametrize("order", [1, -1])
def test_of_two_entries_for_a_backend_the_draining_one_applies(edge, order):
    words = [FIRST, {**FIRST, "state": "Terminating"}][::order]
    edge.receive(connect_discovery(edge), page(8, *words, *LIST["servers"][1:], full=True))
    assert [edge.core.nodes.effective[k].state.value for k in ("s-1", "s-2")] == ["draining", "ready"]


def states(edge):
    return {a: s.state.value for a, s in edge.core.nodes.effective.items()}


def test_older_list_drains_at_once_and_its_omissions_apply_after_a_second(edge):
    """The older list was refused for 10 s, while a change must apply within 6 s."""
    second, third = LIST["servers"][1:]
    older = page(3, {**FIRST, "state": "Terminating"}, {**second, "started_ms": 9_000}, full=True)
    started_ms = edge.now
    edge.receive(connect_discovery(edge), older)
    assert states(edge) == {"s-1": "draining", "s-2": "ready", "s-3": "ready"}
    assert edge.core.nodes.effective["s-2"].online_since_ms == 9_000
    while states(edge)["s-3"] == "ready":
        edge.advance_ms(10.0)
        if edge.core.list.state == "dialing":
            edge.receive(connect_discovery(edge), older)
    assert edge.now - started_ms <= OLDER_DRAINS_ONLY_MS + 2 * RETRY_DELAY_MS[1]


def test_backend_ready_in_an_older_list_only_stays_draining(edge):
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    edge.receive(conn, page(8, {**FIRST, "state": "Terminating"}))
    for _ in range(40):
        if edge.core.list.state == "dialing":
            edge.receive(connect_discovery(edge), answer(orjson.dumps(LIST)))
        edge.advance_ms(100.0)
        assert states(edge)["s-1"] == "draining"


def test_delta_to_an_older_list_is_refused_and_the_full_list_requested(edge):
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    edge.receive(conn, page(3, {**FIRST, "state": "Gone"}))
    edge.advance_ms(100.0)
    conn = connect_discovery(edge)
    assert calls(edge, conn) == [b"/catalog/members"] and states(edge)["s-1"] == "ready"


class Agent:
    """A discovery whose calls follow the given steps, of which the last repeats. Delays are the longest that pass."""

    def __init__(self, edge, steps):
        self.edge, self.steps, self.due, self.seen = edge, list(steps), [], len(edge.commands)
        self.page = page(9, {**FIRST, "state": "Terminating"})

    def step(self):
        return self.steps[0] if len(self.steps) == 1 else self.steps.pop(0)

    def schedule_answers(self):
        """Schedules the answers to new dials and calls of the ingress."""
        for command in self.edge.commands[self.seen :]:
            if isinstance(command, commands.Dial) and command.port == 8500:
                how = self.step()
                if how == "dial refused":
                    self.due.append((self.edge.now + CONNECT_TIMEOUT_MS, self.edge.core.dial_failed, command.conn))
                else:
                    self.due.append((self.edge.now + CONNECT_TIMEOUT_MS - 1, self.edge.core.dialed, command.conn))
                    self.how = how
            elif isinstance(command, commands.Write) and b"GET /catalog" in command.data:
                part = {"half": self.page[:70], "good": self.page, "garbage": answer(b"{")}.get(self.how)
                if part is not None:
                    self.due.append(
                        (self.edge.now + ANSWER_TIMEOUT_MS - 1, self.edge.core.received, command.conn, part)
                    )
        self.seen = len(self.edge.commands)

    def run(self, until_ms, done):
        """Runs until ``done`` returns true or the time is over; returns the time taken in milliseconds."""
        started_ms = self.edge.now
        while not done() and self.edge.now - started_ms < until_ms:
            self.schedule_answers()
            self.due.sort(key=lambda d: d[0])
            at = self.edge.core.next_at()
            if self.due and self.due[0][0] <= at:
                when, what, *args = self.due.pop(0)
                self.edge.now = max(self.edge.now, when)
                if args[0] not in self.edge.closed:
                    what(self.edge.now, *args)
            else:
                self.edge.now = max(self.edge.now, at)
                self.edge.core.advance(self.edge.now)
            self.edge.turn()
        return self.edge.now - started_ms


FAULTS = ("dial refused", "half", "silent", "garbage")


@pytest.mark.parametrize("fault", FAULTS)
def test_change_applies_in_time_after_any_single_fault(edge, fault):
    """Two waits of 3 s, a dial and a delay took 6.5 s, longer than a drain may take to apply."""
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    # The watch falls silent right after a call, and the change happens now.
    took = Agent(edge, [fault, "good"]).run(10_000.0, lambda: states(edge)["s-1"] == "draining")
    assert took <= MAX_CHANGE_DELAY_MS <= 5_000.0


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("before", [0.0, 100.0, 1_000.0, 2_300.0, 2_600.0, 3_100.0])
def test_change_after_sighup_applies_in_time_after_any_fault(edge, fault, before):
    """Also if the address stays the same: only another address was called at once."""
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    agent = Agent(edge, ["silent"])
    agent.run(before, lambda: False)
    agent.steps = [fault, "good"]
    edge.core.reload(edge.now, edge.core.setup)
    edge.turn()
    assert agent.run(10_000.0, lambda: states(edge)["s-1"] == "draining") <= 3_000.0


def test_returning_discovery_is_called_within_the_shortest_grace(edge):
    """A change applies as soon as the agent has it, and a backend's grace may be a quarter of a second."""
    edge.core.dial_failed(edge.now, edge.core.list.conn)
    edge.turn()
    for _ in range(20):  # down for long: the delay is at its longest
        edge.advance_ms(RETRY_DELAY_MS[1])
        if edge.core.list.state == "dialing":
            edge.core.dial_failed(edge.now, edge.core.list.conn)
            edge.turn()
    started_ms = edge.now
    while edge.core.list.state != "dialing":
        edge.advance_ms(1.0)
    assert edge.now - started_ms <= RETRY_DELAY_MS[1] <= 250.0


def test_older_list_that_persists_is_accepted(edge):
    for _ in range(200):
        if edge.core.list.state == "dialing":
            edge.receive(connect_discovery(edge), page(3, LIST["servers"][0], full=True))
        edge.advance_ms(100.0)
    assert list(edge.core.nodes.effective) == ["s-1"] and edge.core.list.version == 3


def test_backend_in_an_unknown_state_gets_no_new_requests(edge):
    edge.receive(
        connect_discovery(edge), page(8, {**LIST["servers"][0], "state": "Odd"}, *LIST["servers"][1:], full=True)
    )
    assert edge.core.nodes.effective["s-1"].state.value == "draining" and edge.core.list.log_events == []
    assert edge.core.nodes.effective["s-2"].state.value == "ready"


def test_silent_agent_is_detected_soon_after_the_wait(edge):
    conn = connect_discovery(edge)
    edge.receive(conn, answer(orjson.dumps(LIST)))
    edge.advance_ms(2_300.0)
    assert edge.core.list.counts["silent"] == 1 and edge.core.list.conn != conn  # another call follows at once
    for number in range(MAX_LATE_CALLS):  # its own answer is still read, until so many others got none either
        assert conn not in edge.closed
        connect_discovery(edge)
        edge.advance_ms(1_010.0)
        assert edge.core.list.counts["silent"] == 2 + number
    assert conn in edge.closed and len(edge.core.list.late_calls) == MAX_LATE_CALLS


def test_invalid_known_list_is_an_error():
    with pytest.raises(ValueError, match="version"):
        Edge(known={"servers": []})


def test_peers_are_identified_by_their_addresses():
    a, b = ("10.0.0.1", 7946), ("10.0.0.2", 7946)
    peers = Peers(0, [a, b])
    assert peers.pack(0.0, 1, "x" * 256) == b"x" * 256 and peers.pack(0.0, 1, "x" * 257) is None
    assert peers.unpack(0.0, b"hello", b) == (1, "hello")
    assert [peers.unpack(0.0, b"hello", x) for x in (a, ("10.0.0.3", 7946), None)] == [None] * 3
    assert peers.unpack(0.0, b"\xff", b) is None


def test_figures_in_the_page_match_the_constants():
    rows = dict(
        reversed([cell.strip() for cell in line.strip("| \n").rsplit("|", 1)])
        for line in (Path(__file__).parents[2] / "docs" / "edge.md").read_text().splitlines()
        if line.startswith("| ") and line.count("|") == 3
    )
    first, most = RETRY_DELAY_MS
    for figures, said in (
        (f"{WATCH_WAIT_MS:,.0f} + {ANSWER_TIMEOUT_MS:,.0f}", "the watch that was just asked falls silent"),
        (f"{2 * first:.0f} + {CONNECT_TIMEOUT_MS:.0f} + {ANSWER_TIMEOUT_MS:.0f}", "a call that comes to nothing"),
        (f"{first:.0f} + {CONNECT_TIMEOUT_MS:.0f} + {ANSWER_TIMEOUT_MS:.0f}", "the call that brings it"),
        (f"{MAX_CHANGE_DELAY_MS:,.0f}, of 6,000", "together"),
        (f"the same {MAX_CHANGE_DELAY_MS:,.0f}", "falls silent late"),
        (f"{CALL_MS + first:,.0f}", "ends instead of telling"),
        (f"{2 * CALL_MS + 3 * first:,.0f}", "one call in vain before it"),
        (f"{2 * CALL_MS + 2 * first:,.0f}, of 4,000", "after SIGHUP, at any of these moments"),
        (f"{most:.0f}, then at once", "discovery back"),
        (f"{OLDER_DRAINS_ONLY_MS:,.0f} and one more call", "an older list: what it lacks"),
        (f"{OLDER_DRAINS_ONLY_MS + 2 * CALL_MS + most:,.0f}, of 4,000", "a discovery whose versions begin lower"),
    ):  # fmt: skip
        assert said in rows.get(figures, ""), figures
