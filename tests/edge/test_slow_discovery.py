"""A discovery that is slow is heard: its answers come whole and in order, but each some time late.

Guards against drains that were never learned, since each call was cut before its answer came (review/7).
"""

from __future__ import annotations

import re

import orjson
import pytest

from rushweir.edge.discovery_call import ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS
from rushweir.edge.discovery_watch import RETRY_DELAY_MS
from rushweir.ingress import commands
from tests.edge.conftest import LIST, Edge, answer

TOLD_AFTER_MS = 6_000.0  # the platform: a change counts as told at the latest then
QUIET_MS = 20_000.0
DRAINED = {**LIST["servers"][0], "state": "Terminating"}


class SlowAgent:
    """Answers each call ``delay_ms`` after its wait, or after the change if that comes first."""

    def __init__(self, edge, delay_ms):
        self.edge, self.delay_ms, self.seen = edge, delay_ms, 0
        self.due = []  # when, what to call, and its arguments
        self.waiting = []  # connection and end of the wait of each call that waits for a change
        self.version, self.changed = LIST["version"], False
        self.is_down = False  # takes connections and drops calls

    def change(self):
        self.version, self.changed = self.version + 1, True
        for conn, _ in self.waiting:
            self.answer_at(self.edge.now + self.delay_ms, conn)
        self.waiting.clear()

    def answer_at(self, when, conn):
        self.due.append((when, self.edge.core.received, conn, None))

    def page(self):
        servers = [DRAINED, *LIST["servers"][1:]] if self.changed else LIST["servers"]
        return answer(orjson.dumps({"version": self.version, "full": True, "servers": servers}))

    def read_commands(self):
        for command in self.edge.commands[self.seen :]:
            if isinstance(command, commands.Dial) and command.port == 8500:
                self.due.append((self.edge.now, self.edge.core.dialed, command.conn, None))
            elif isinstance(command, commands.Write) and b"GET /catalog" in command.data:
                if self.is_down:
                    continue
                since = re.search(rb"since=(\d+)&timeout_ms=(\d+)", command.data)
                if since is None or int(since[1]) < self.version:
                    self.answer_at(self.edge.now + self.delay_ms, command.conn)
                else:
                    self.waiting.append((command.conn, self.edge.now + float(since[2])))
        self.seen = len(self.edge.commands)

    def run_until(self, end, done=lambda: False):
        edge = self.edge
        while not done() and edge.now < end:
            self.read_commands()
            for conn, until in [entry for entry in self.waiting if entry[1] <= edge.now]:
                self.waiting.remove((conn, until))
                self.answer_at(until + self.delay_ms, conn)
            self.due.sort(key=lambda entry: entry[0])
            if self.due and self.due[0][0] <= edge.now:
                _, call, conn, _ = self.due.pop(0)
                if conn not in edge.closed:
                    call(edge.now, conn) if call == edge.core.dialed else call(edge.now, conn, self.page())
                    edge.turn()
                continue
            times = [edge.core.next_at(), *(d[0] for d in self.due[:1]), *(until for _, until in self.waiting)]
            edge.now = max(edge.now, min(times))
            edge.core.advance(edge.now)
            edge.turn()


@pytest.mark.parametrize("delay_ms", [0.0, 400.0, 749.0, 751.0, 1_000.0, 1_400.0, 1_900.0])
@pytest.mark.parametrize("phase_ms", range(0, 2_400, 300))
def test_drain_is_told_in_time_by_a_slow_discovery(delay_ms, phase_ms):
    edge = Edge()
    agent = SlowAgent(edge, delay_ms)
    agent.run_until(edge.now + QUIET_MS + phase_ms)
    agent.change()
    changed_at = edge.now
    agent.run_until(changed_at + QUIET_MS, lambda: edge.core.nodes.effective["s-1"].state.value == "draining")
    assert edge.now - changed_at <= TOLD_AFTER_MS


@pytest.mark.parametrize("delay_ms", [0.0, 1_000.0, 1_900.0])
def test_slow_discovery_is_not_called_more_often(delay_ms):
    edge = Edge()
    agent = SlowAgent(edge, delay_ms)
    agent.run_until(edge.now + QUIET_MS)
    calls, dials = edge.core.list.calls, edge.core.next_conn
    agent.run_until(edge.now + QUIET_MS)
    assert edge.core.list.calls - calls <= QUIET_MS / 1_000.0 and edge.core.next_conn == dials


def test_timeout_returns_when_discovery_is_fast_again():
    edge = Edge()
    agent = SlowAgent(edge, 1_900.0)
    agent.run_until(edge.now + QUIET_MS)
    assert ANSWER_TIMEOUT_MS < edge.core.list.answer_timeout_ms <= MAX_ANSWER_TIMEOUT_MS
    agent.delay_ms = 0.0
    agent.run_until(edge.now + QUIET_MS)
    assert edge.core.list.answer_timeout_ms == ANSWER_TIMEOUT_MS


def test_drain_is_told_in_time_when_discovery_becomes_slow_as_it_happens():
    for phase_ms in range(0, 2_400, 300):
        edge = Edge()
        agent = SlowAgent(edge, 0.0)
        agent.run_until(edge.now + QUIET_MS + phase_ms)
        agent.delay_ms = 1_000.0
        agent.change()
        changed_at = edge.now
        agent.run_until(changed_at + QUIET_MS, lambda e=edge: e.core.nodes.effective["s-1"].state.value == "draining")
        assert edge.now - changed_at <= TOLD_AFTER_MS, phase_ms


@pytest.mark.parametrize("phase_ms", range(0, 1_000, 100))
def test_outage_does_not_lengthen_the_time_to_hear_of_its_end(phase_ms):
    """Calls that are lost in an outage say nothing about how slow discovery is."""
    edge = Edge()
    agent = SlowAgent(edge, 0.0)
    agent.run_until(edge.now + QUIET_MS)
    agent.is_down = True
    agent.waiting.clear()
    agent.run_until(edge.now + 8_000.0 + phase_ms)
    agent.change()
    agent.is_down, ended_at = False, edge.now
    agent.run_until(ended_at + QUIET_MS, lambda: edge.core.nodes.effective["s-1"].state.value == "draining")
    assert edge.now - ended_at <= ANSWER_TIMEOUT_MS + RETRY_DELAY_MS[1]


def test_late_answer_that_is_older_than_the_list_changes_nothing():
    edge = Edge()
    agent = SlowAgent(edge, 0.0)
    agent.run_until(edge.now + 1_000.0)
    agent.is_down = True
    agent.waiting.clear()
    agent.run_until(edge.now + 3_000.0)
    late_conn = next(iter(edge.core.list.late_calls))
    older = agent.page()
    agent.is_down = False
    agent.change()
    agent.run_until(edge.now + 3_000.0)
    assert edge.core.nodes.effective["s-1"].state.value == "draining"
    edge.receive(late_conn, older)
    assert edge.core.nodes.effective["s-1"].state.value == "draining" and late_conn in edge.closed
