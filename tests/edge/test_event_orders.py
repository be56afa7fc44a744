"""Under all orders of what may happen nothing owed is lost; and each property can fail: a planted fault breaks it."""

from __future__ import annotations

import re
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from rushweir import interface as i
from rushweir.edge.backend_links import Endpoint, Link
from rushweir.edge.backends import Pool
from rushweir.edge.front import ClientConnection
from rushweir.ingress.clients import Clients
from rushweir.ingress.engine import Engine
from rushweir.policy.gateway_policy import Policy
from rushweir.policy.quota import Quota
from rushweir.state import Partitions
from tests.edge.event_orders import EventOrders

QUIET = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]
SURE = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, database=None,
                suppress_health_check=QUIET)  # fmt: skip
HUNT = settings(SURE, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False)


def test_every_request_is_answered_under_any_order_of_events():
    run_state_machine_as_test(EventOrders, settings=SURE)


def two_attempts(monkeypatch):
    """An attempt given up leaves its connection, and its request, at the backend for a while."""
    real = Pool._give_up

    def give_up(self, job, result):
        place = self.job_places.get(id(job))
        if isinstance(place, Link):
            self._end_on_link(place, result)
            self.at(self.now + 1000.0, self._abort, place)
        else:
            real(self, job, result)

    monkeypatch.setattr(Pool, "_give_up", give_up)


def repeats_all(monkeypatch):
    real = Policy.retry_or_finish

    def again(self, t):
        t.first_executed = None
        return real(self, t)

    monkeypatch.setattr(Policy, "retry_or_finish", again)


def repeats_late(monkeypatch):
    real = Policy.retry_or_finish

    def again(self, t):
        t.request_class = replace(t.request_class, window_ms=1e9)
        return real(self, t)

    monkeypatch.setattr(Policy, "retry_or_finish", again)


def deaf_to_drains(monkeypatch):
    real = Pool.notified
    ready = i.State.READY
    monkeypatch.setattr(Pool, "notified", lambda self, now, servers: real(
        self, now, dict.fromkeys([*servers, *(n for n in self.backends if n in self.listed_endpoints)], ready)
    ))  # fmt: skip


def keeps_old_connections(monkeypatch):
    """What is open to a backend before its new start goes on carrying its requests."""
    monkeypatch.setattr(Pool, "_drop_unsent", lambda self, b: None)
    monkeypatch.setattr(Endpoint, "__eq__", lambda a, b: a.host == b.host)


def no_rest(monkeypatch):
    monkeypatch.setattr("rushweir.edge.backends.COOLDOWN_MS", 0.0)


def forgets_halves(monkeypatch):
    monkeypatch.setattr(ClientConnection, "is_busy", property(lambda self: self.open_request_id is not None))


def sends_for_nobody(monkeypatch):
    monkeypatch.setattr(Pool, "_held_back", lambda self, attempt: False)
    monkeypatch.setattr(Engine, "wanted", lambda self, attempt: True)


def trusts_the_loop(monkeypatch):
    real = Engine._send

    def send(self, action):
        self.is_connected = lambda conn: True
        real(self, action)

    monkeypatch.setattr(Engine, "_send", send)


def keeps_room(monkeypatch):
    monkeypatch.setattr(Partitions, "release", lambda self, grant: None)


def keeps_places(monkeypatch):
    monkeypatch.setattr(Quota, "settle", lambda self, t, more, over: None)


def answers_nobody(monkeypatch):
    real = Clients.answer
    monkeypatch.setattr(Clients, "answer", lambda self, a: real(self, a) if a.kind != "refused" else None)


def answers_twice(monkeypatch):
    real = ClientConnection.answer

    def answer(self, a):
        real(self, a)
        self.open_request_id = a.ref
        real(self, a)

    monkeypatch.setattr(ClientConnection, "answer", answer)


def keeps_descriptors(monkeypatch):
    monkeypatch.setattr(Pool, "_close_expired", lambda self, _: None)


PLANTED = {
    two_attempts: "two attempts out|carries another", repeats_all: "repeated|refused as harmless",
    repeats_late: "repeated past its window", deaf_to_drains: "told to drain", keeps_old_connections: "older than",
    no_rest: "served with", forgets_halves: "0 answers", sends_for_nobody: "after its client left",
    trusts_the_loop: "after its client left", keeps_room: "room held", keeps_places: "places held",
    answers_nobody: "0 answers|an answer to nothing", 
    answers_twice: "an answer to nothing|2 answers|after its answer",
    keeps_descriptors: "connections to backends held",
}  # fmt: skip


@pytest.mark.parametrize("plant", PLANTED, ids=lambda p: p.__name__)
def test_injected_fault_is_detected(monkeypatch, plant):
    plant(monkeypatch)
    with pytest.raises(AssertionError) as found:
        run_state_machine_as_test(EventOrders, settings=HUNT)
    # A course that ends in the midst of a step leaves things held, and says that last: what ended it stands behind.
    chain, e = [], found.value
    while e is not None:
        chain.append(str(e))
        e = e.__context__
    assert any(re.search(PLANTED[plant], text) for text in chain), chain
