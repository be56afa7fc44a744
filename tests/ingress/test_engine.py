"""The engine alone, with a scripted policy: the rules of the ledger hold whatever the policy returns."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface
from rushweir.ingress import commands
from rushweir.ingress.engine import Engine
from rushweir.ingress.ledger import Entry, Ledger, LedgerError
from rushweir.ingress.queries import Partner, Query
from rushweir.watch.telemetry import Telemetry

CLASSES = (
    interface.RequestClass("look", 800, 3000, effect=interface.Effect.SAFE),
    interface.RequestClass("pay", 800, 3000),
)
SETTINGS = interface.Settings(
    0,
    1,
    "a",
    CLASSES,
    (interface.Plan("p"),),
    limits=interface.Limits(max_attempts=2, max_open_requests=3, cancel=True),
)
PARTNER = Partner("hotel", "p")


class ScriptedPolicy:
    """A policy that returns the actions that the test set for each class of event."""

    def __init__(self) -> None:
        self.answers: dict[type, object] = {}
        self.seen: list[interface.Event] = []

    def start(self):
        return []

    def handle(self, now, event):
        self.seen.append(event)
        answer = self.answers.get(type(event))
        return answer(event) if callable(answer) else answer or []


@pytest.fixture
def engine_and_policy():
    policy = ScriptedPolicy()
    policy.answers[interface.Request] = lambda e: [interface.Send(e.id, "n:1")]
    engine = Engine(SETTINGS, policy, 0.0, margin_ms=25.0, boot="b-", telemetry=Telemetry(0.0))
    engine.start(0.0)
    return engine, policy


def take_commands(engine) -> list:
    """Takes the engine's commands, without the log events of failed requests."""
    found = [x for x in engine.commands if not (isinstance(x, commands.LogEvent) and x.cause == "request_failed")]
    engine.commands.clear()
    return found


def request(engine, now=0.0, class_name="look", within=1000.0, conn=1):
    """Passes a request to the engine and takes its commands."""
    engine.request(now, conn, "ref", PARTNER, Query(class_name, {"data": 1}, within))
    return take_commands(engine)


def test_request_is_sent_and_answered_with_the_node_result(engine_and_policy):
    engine, policy = engine_and_policy
    (send,) = request(engine)
    assert policy.seen[-1] == interface.Request("b-1", "look", "p", "hotel", 975.0, 1.0, 1, 0)
    assert (send.attempt.node, send.attempt.deadline_ms, send.attempt.payload) == ("n:1", 970.0, {"data": 1})
    engine.outcome(40.0, send.attempt, interface.Result.OK, ("result", 3), quota_used=5, cost=2.0)
    (answer,) = take_commands(engine)
    assert (answer.kind, answer.body, answer.request_id) == ("served", ("result", 3), "b-1")
    assert policy.seen[-1] == interface.Outcome("b-1", 0, "n:1", interface.Result.OK, 40.0, True, 5, 2.0)
    assert not engine.ledger.entries and not engine.ledger.unanswered


def test_each_action_becomes_its_command(engine_and_policy):
    engine, policy = engine_and_policy
    policy.answers[interface.Timer] = [
        interface.Tell("x", 1),
        interface.Tell("y"),
        interface.Count(5, 2.0, 60.0),
        interface.Probe("n:1"),
        interface.Watch(),
        interface.Watch(False),
        interface.Fetch(),
        interface.Log("hi"),
    ]
    policy.answers[interface.PeerMessage] = [interface.SetTimer(4, 7.0)]  # in steps of 4 ms
    engine.peer_message(0.0, 1, "go")
    assert engine.next_at() == 8.0
    engine.advance(7.9)
    assert not take_commands(engine)
    engine.advance(10.0)
    assert take_commands(engine) == [
        commands.SendPeerMessage(1, "x"),
        commands.SendPeerMessage(None, "y"),
        commands.CallCounter(5, 2.0, 60.0),
        commands.ProbeNode("n:1"),
        commands.WatchList(True),
        commands.WatchList(False),
        commands.FetchList(),
        commands.LogEvent("info", "policy", {"text": "hi"}),
    ]
    (send,) = request(engine, 10.0)
    policy.answers[interface.Counted] = [
        interface.Cancel("b-1", 0),
        interface.Cancel("b-1", 7),
        interface.Cancel("nix", 0),
    ]
    engine.counted(11.0, 5, interface.Result.OK, 2.0, 1.0)
    assert [type(x) for x in take_commands(engine)] == [commands.CancelAttempt, commands.LogEvent, commands.LogEvent]
    assert policy.seen[-1] == interface.Counted(5, interface.Result.OK, 2.0, 1.0)
    engine.probed(12.0, "n:1", interface.Result.OK, 3.0, {"util": 1.0})
    engine.members(12.0, interface.Scope.FULL, (interface.Server("n:1"),))
    assert policy.seen[-2:] == [
        interface.Probed("n:1", interface.Result.OK, 3.0, {"util": 1.0}),
        interface.Members(interface.Scope.FULL, (interface.Server("n:1"),)),
    ]
    assert send


def test_timers_of_one_instant_keep_their_order_and_new_ones_wait(engine_and_policy):
    engine, policy = engine_and_policy
    policy.answers[interface.PeerMessage] = [interface.SetTimer(1, 4.0), interface.SetTimer(2, 3.0)]
    policy.answers[interface.Timer] = lambda e: [interface.SetTimer(e.ref + 10, 0.0)] if e.ref < 10 else []
    engine.peer_message(0.0, 1, "")
    engine.advance(4.0)
    assert [e.ref for e in policy.seen if isinstance(e, interface.Timer)] == [1, 2]
    engine.advance(4.0)
    assert [e.ref for e in policy.seen if isinstance(e, interface.Timer)] == [1, 2, 11, 12]


def test_request_that_cannot_be_accepted_is_refused_at_once(engine_and_policy):
    engine, policy = engine_and_policy
    for query, reason in ((Query("nix", {}), "unknown_class"), (Query("look", {}, 20.0), "too_late")):
        assert engine.request(0.0, 1, "r", PARTNER, query) is None
        (answer,) = take_commands(engine)
        assert (answer.kind, answer.reason) == ("refused", reason)
    for _ in range(3):
        request(engine)
    (answer,) = request(engine)
    assert (answer.kind, answer.reason) == ("refused", "ingress_full")
    assert len([e for e in policy.seen if isinstance(e, interface.Request)]) == 3


def test_second_answer_of_the_policy_is_dropped(engine_and_policy):
    engine, policy = engine_and_policy
    policy.answers[interface.Request] = lambda e: [
        interface.Refuse(e.id, 5.0, "room"),
        interface.Fail(e.id),
        interface.Refuse(e.id),
        interface.Send(e.id, "n:1"),
        interface.Fail("nix"),
    ]
    out = request(engine)
    assert [x for x in out if isinstance(x, commands.Answer)] == [
        commands.Answer(1, "ref", "refused", None, "room", 5.0, "b-1")
    ]
    assert not [x for x in out if isinstance(x, commands.SendAttempt)]
    assert engine.counts["odd_refuse"] == 1 and engine.counts["odd_fail"] == 2 and engine.counts["odd_send"] == 1


def test_forbidden_attempts_are_not_sent_and_end_superseded(engine_and_policy):
    engine, policy = engine_and_policy
    policy.answers[interface.Request] = lambda e: [interface.Send(e.id, "n:1"), interface.Send(e.id, "n:2")]
    first, odd = request(engine)
    assert isinstance(odd, commands.LogEvent)
    engine.advance(0.0)
    assert policy.seen[-1] == interface.Outcome("b-1", 1, "n:2", interface.Result.SUPERSEDED, 0.0, False)
    policy.answers[interface.Outcome] = lambda e: [interface.Send(e.id, "n:3")] if not e.settled else []
    engine.outcome(5.0, first.attempt, interface.Result.ERROR)
    assert [type(x) for x in take_commands(engine)] == [commands.LogEvent]  # a third attempt, where two are allowed
    policy.answers[interface.Outcome] = lambda e: [interface.Fail(e.id)]
    engine.advance(6.0)
    assert [x.kind for x in take_commands(engine)] == ["failed"] and not engine.ledger.unanswered


def test_attempts_expire_at_the_deadline_and_the_engine_answers_for_the_policy(engine_and_policy):
    engine, _ = engine_and_policy
    (send,) = request(engine)
    engine.advance(970.0)
    assert take_commands(engine) == [commands.ExpireAttempt(send.attempt)]
    engine.outcome(970.0, send.attempt, interface.Result.TIMEOUT)
    assert not take_commands(engine)  # this policy does not answer
    engine.advance(970.0)
    (answer,) = take_commands(engine)
    assert (answer.kind, answer.reason) == ("failed", "overdue")


def test_request_that_was_never_sent_is_refused_at_its_deadline(engine_and_policy):
    engine, policy = engine_and_policy
    policy.answers[interface.Request] = []
    assert request(engine, class_name="pay") == []
    engine.advance(970.0)
    (answer,) = take_commands(engine)
    assert (answer.kind, answer.reason) == ("refused", "overdue")
    assert policy.seen[-1] == interface.Gone("b-1")


def test_outcomes_are_reported_after_the_client_left(engine_and_policy):
    engine, policy = engine_and_policy
    (send,) = request(engine)
    assert engine.client_left(5.0, 1) == 1 and engine.client_left(5.0, 1) == 0
    assert policy.seen[-1] == interface.Gone("b-1") and len(engine.ledger.entries) == 1
    assert take_commands(engine) == [
        commands.WithdrawAttempt(send.attempt)
    ]  # an attempt that is not sent yet is dropped
    engine.outcome(9.0, send.attempt, interface.Result.OK, ("result", 1))
    assert not take_commands(engine) and policy.seen[-1].settled and not engine.ledger.entries
    engine.outcome(10.0, send.attempt, interface.Result.OK)  # a second outcome is ignored
    assert engine.counts["stray_outcomes"] == 1


def test_attempt_of_a_client_that_left_expires_at_the_deadline(engine_and_policy):
    """Otherwise a silent node would hold capacity and connection of a client that left for ever."""
    engine, _ = engine_and_policy
    (send,) = request(engine)
    engine.client_left(5.0, 1)
    take_commands(engine)
    assert engine.next_at() == 970.0
    engine.advance(970.0)
    assert take_commands(engine) == [commands.ExpireAttempt(send.attempt)]


def test_ledger_rejects_invalid_transitions():
    ledger = Ledger(5)
    entry = Entry("r", 1, None, "look", "c", 1.0, 0.0, 10.0, {})
    ledger.add(entry)
    attempt = commands.Attempt("r", 0, "n", 0.0, 10.0, {}, "look")
    ledger.send(entry, attempt)
    ledger.ended(entry, attempt, False)
    with pytest.raises(LedgerError, match="twice"):
        ledger.ended(entry, attempt, False)
    ledger.finish(entry, "answer")
    for step in ("answer", "left", "send"):
        with pytest.raises(LedgerError):
            entry.step(step)
    assert not ledger.entries and not ledger.by_connection


RESULTS = list(interface.Result)
ACTS = st.sampled_from(["send", "send2", "refuse", "fail", "cancel", "nothing", "raise"])
STEPS = st.lists(st.tuples(st.sampled_from(["ask", "outcome", "left", "time"]), st.integers(0, 7), ACTS), max_size=40)


@settings(max_examples=200, deadline=None)
@given(steps=STEPS)
def test_each_request_has_one_answer_under_any_order_of_events(steps):
    """With any events and any policy a request has one answer or its client left, and the ledger ends empty."""
    script = {"act": "nothing"}

    def act(e):
        request_id = getattr(e, "id", "b-1")
        if script["act"] == "raise":
            raise RuntimeError("injected")
        return {
            "send": [interface.Send(request_id, "n:1")],
            "send2": [interface.Send(request_id, "n:1"), interface.Send(request_id, "n:2", 50.0)],
            "refuse": [interface.Refuse(request_id)],
            "fail": [interface.Fail(request_id)],
            "cancel": [interface.Cancel(request_id, 0)],
            "nothing": [],
        }[script["act"]]  # fmt: skip

    policy = ScriptedPolicy()
    policy.answers = {interface.Request: act, interface.Outcome: act, interface.Gone: act}
    engine = Engine(SETTINGS, policy, 0.0, boot="b-", telemetry=Telemetry(0.0))
    now, out, conn_of, answers, left = 0.0, [], {}, {}, set()

    def collect():
        while engine.commands:
            x = engine.commands.popleft()
            if isinstance(x, commands.SendAttempt):
                out.append(x.attempt)
            elif isinstance(x, commands.ExpireAttempt | commands.CancelAttempt) and x.attempt in out:
                out.remove(x.attempt)
                engine.outcome(now, x.attempt, interface.Result.TIMEOUT)
            elif isinstance(x, commands.Answer):
                answers.setdefault(x.ref, []).append(x)

    serial = 0
    for what, k, script["act"] in steps:
        now += 1.0
        if what == "ask":
            serial += 1
            conn_of[serial] = k % 3
            engine.request(now, k % 3, serial, PARTNER, Query(("look", "pay")[k % 2], {}, 500.0))
        elif what == "outcome" and out:
            engine.outcome(now, out.pop(k % len(out)), RESULTS[k])
        elif what == "left":
            left |= {s for s, conn in conn_of.items() if conn == k % 3 and s not in answers}
            engine.client_left(now, k % 3)
        else:
            now += 100.0 * k
            engine.advance(now)
        collect()
    script["act"] = "nothing"
    for _ in range(3):
        now += 600.0
        engine.advance(now)
        collect()
    while out:
        engine.outcome(now, out.pop(), interface.Result.RESET)
    engine.advance(now)
    collect()
    assert all(len(found) == 1 for found in answers.values())
    assert {*answers} | left == set(conn_of) and not {*answers} & left
    assert not engine.ledger.entries and not engine.ledger.by_connection and engine.ledger.unanswered == 0
