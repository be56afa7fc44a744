"""The engine alone, with a policy that does as it is told: the ledger's facts hold whatever that says."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.ingress.engine import Engine
from rushweir.ingress.ledger import Entry, Ledger, LedgerError
from rushweir.ingress.queries import Partner, Query
from rushweir.watch.telemetry import Telemetry

CLASSES = (i.RequestClass("look", 800, 3000, effect=i.Effect.SAFE), i.RequestClass("pay", 800, 3000))
SETTINGS = i.Settings(
    0, 1, "a", CLASSES, (i.Plan("p"),), limits=i.Limits(max_attempts=2, max_open_requests=3, cancel=True)
)
WHO = Partner("hotel", "p")


class Scripted:
    """Answers each kind of event with what the test put there."""

    def __init__(self) -> None:
        self.answers: dict[type, object] = {}
        self.seen: list[i.Event] = []

    def start(self):
        return []

    def handle(self, now, event):
        self.seen.append(event)
        answer = self.answers.get(type(event))
        return answer(event) if callable(answer) else answer or []


@pytest.fixture
def made():
    policy = Scripted()
    policy.answers[i.Request] = lambda e: [i.Send(e.id, "n:1")]
    engine = Engine(SETTINGS, policy, 0.0, margin_ms=25.0, boot="b-", telemetry=Telemetry(0.0))
    engine.start(0.0)
    return engine, policy


def drain(engine) -> list:
    """What it wants done, but for the lines of the log on requests that failed."""
    out = [x for x in engine.commands if not (isinstance(x, c.LogEvent) and x.cause == "request_failed")]
    engine.commands.clear()
    return out


def take(engine, now=0.0, class_name="look", within=1000.0, conn=1):
    engine.request(now, conn, "ref", WHO, Query(class_name, {"data": 1}, within))
    return drain(engine)


def test_a_request_from_begin_to_end(made):
    engine, policy = made
    (send,) = take(engine)
    assert policy.seen[-1] == i.Request("b-1", "look", "p", "hotel", 975.0, 1.0, 1, 0)
    assert (send.attempt.node, send.attempt.deadline_ms, send.attempt.payload) == ("n:1", 970.0, {"data": 1})
    engine.outcome(40.0, send.attempt, i.Result.OK, ("result", 3), quota_used=5, cost=2.0)
    (answer,) = drain(engine)
    assert (answer.kind, answer.body, answer.request_id) == ("served", ("result", 3), "b-1")
    assert policy.seen[-1] == i.Outcome("b-1", 0, "n:1", i.Result.OK, 40.0, True, 5, 2.0)
    assert not engine.ledger.entries and not engine.ledger.unanswered


def test_every_action_is_carried_out(made):
    engine, policy = made
    policy.answers[i.Timer] = [
        i.Tell("x", 1), i.Tell("y"), i.Count(5, 2.0, 60.0), i.Probe("n:1"), i.Watch(), i.Watch(False), i.Fetch(),
        i.Log("hi"),
    ]  # fmt: skip
    policy.answers[i.PeerMessage] = [i.SetTimer(4, 7.0)]  # in steps of 4 ms
    engine.peer_message(0.0, 1, "go")
    assert engine.next_at() == 8.0
    engine.advance(7.9)
    assert not drain(engine)
    engine.advance(10.0)
    assert drain(engine) == [
        c.SendPeerMessage(1, "x"), c.SendPeerMessage(None, "y"), c.CallCounter(5, 2.0, 60.0), c.ProbeNode("n:1"),
        c.WatchList(True), c.WatchList(False), c.FetchList(), c.LogEvent("info", "policy", {"text": "hi"}),
    ]  # fmt: skip
    (send,) = take(engine, 10.0)
    policy.answers[i.Counted] = [i.Cancel("b-1", 0), i.Cancel("b-1", 7), i.Cancel("nix", 0)]
    engine.counted(11.0, 5, i.Result.OK, 2.0, 1.0)
    assert [type(x) for x in drain(engine)] == [c.CancelAttempt, c.LogEvent, c.LogEvent]
    assert policy.seen[-1] == i.Counted(5, i.Result.OK, 2.0, 1.0)
    engine.probed(12.0, "n:1", i.Result.OK, 3.0, {"util": 1.0})
    engine.members(12.0, i.Scope.FULL, (i.Server("n:1"),))
    assert policy.seen[-2:] == [
        i.Probed("n:1", i.Result.OK, 3.0, {"util": 1.0}), i.Members(i.Scope.FULL, (i.Server("n:1"),)),
    ]  # fmt: skip
    assert send


def test_timers_of_one_moment_keep_their_order_and_new_ones_wait(made):
    engine, policy = made
    policy.answers[i.PeerMessage] = [i.SetTimer(1, 4.0), i.SetTimer(2, 3.0)]
    policy.answers[i.Timer] = lambda e: [i.SetTimer(e.ref + 10, 0.0)] if e.ref < 10 else []
    engine.peer_message(0.0, 1, "")
    engine.advance(4.0)
    assert [e.ref for e in policy.seen if isinstance(e, i.Timer)] == [1, 2]
    engine.advance(4.0)
    assert [e.ref for e in policy.seen if isinstance(e, i.Timer)] == [1, 2, 11, 12]


def test_what_cannot_be_taken_is_answered_at_once(made):
    engine, policy = made
    for ask, why in ((Query("nix", {}), "unknown_class"), (Query("look", {}, 20.0), "too_late")):
        assert engine.request(0.0, 1, "r", WHO, ask) is None
        (answer,) = drain(engine)
        assert (answer.kind, answer.reason) == ("refused", why)
    for _ in range(3):
        take(engine)
    (answer,) = take(engine)
    assert (answer.kind, answer.reason) == ("refused", "ingress_full")
    assert len([e for e in policy.seen if isinstance(e, i.Request)]) == 3


def test_one_final_answer_whatever_the_policy_says(made):
    engine, policy = made
    policy.answers[i.Request] = lambda e: [
        i.Refuse(e.id, 5.0, "room"), i.Fail(e.id), i.Refuse(e.id), i.Send(e.id, "n:1"), i.Fail("nix"),
    ]  # fmt: skip
    out = take(engine)
    assert [x for x in out if isinstance(x, c.Answer)] == [c.Answer(1, "ref", "refused", None, "room", 5.0, "b-1")]
    assert not [x for x in out if isinstance(x, c.SendAttempt)]
    assert engine.counts["odd_refuse"] == 1 and engine.counts["odd_fail"] == 2 and engine.counts["odd_send"] == 1


def test_more_attempts_than_allowed_or_two_at_once_are_never_sent(made):
    engine, policy = made
    policy.answers[i.Request] = lambda e: [i.Send(e.id, "n:1"), i.Send(e.id, "n:2")]
    first, odd = take(engine)
    assert isinstance(odd, c.LogEvent)
    engine.advance(0.0)
    assert policy.seen[-1] == i.Outcome("b-1", 1, "n:2", i.Result.SUPERSEDED, 0.0, False)
    policy.answers[i.Outcome] = lambda e: [i.Send(e.id, "n:3")] if not e.settled else []
    engine.outcome(5.0, first.attempt, i.Result.ERROR)
    assert [type(x) for x in drain(engine)] == [c.LogEvent]  # a third one: two are allowed
    policy.answers[i.Outcome] = lambda e: [i.Fail(e.id)]
    engine.advance(6.0)
    assert [x.kind for x in drain(engine)] == ["failed"] and not engine.ledger.unanswered


def test_at_the_deadline_what_is_out_times_out_and_the_facts_answer_if_nobody_does(made):
    engine, _ = made
    (send,) = take(engine)
    engine.advance(970.0)
    assert drain(engine) == [c.ExpireAttempt(send.attempt)]
    engine.outcome(970.0, send.attempt, i.Result.TIMEOUT)
    assert not drain(engine)  # this policy says nothing
    engine.advance(970.0)
    (answer,) = drain(engine)
    assert (answer.kind, answer.reason) == ("failed", "overdue")


def test_held_to_the_end_is_a_refusal(made):
    engine, policy = made
    policy.answers[i.Request] = []
    assert take(engine, class_name="pay") == []
    engine.advance(970.0)
    (answer,) = drain(engine)
    assert (answer.kind, answer.reason) == ("refused", "overdue")
    assert policy.seen[-1] == i.Gone("b-1")


def test_a_client_that_left_gets_nothing_and_its_attempts_are_still_told(made):
    engine, policy = made
    (send,) = take(engine)
    assert engine.client_left(5.0, 1) == 1 and engine.client_left(5.0, 1) == 0
    assert policy.seen[-1] == i.Gone("b-1") and len(engine.ledger.entries) == 1
    assert drain(engine) == [c.WithdrawAttempt(send.attempt)]  # what is not on its way never goes
    engine.outcome(9.0, send.attempt, i.Result.OK, ("result", 1))
    assert not drain(engine) and policy.seen[-1].settled and not engine.ledger.entries
    engine.outcome(10.0, send.attempt, i.Result.OK)  # a second outcome is none
    assert engine.counts["stray_outcomes"] == 1


def test_an_attempt_outlives_its_client_to_the_deadline_and_no_longer(made):
    """A silent server held room, place and connection of a client that had left, for good."""
    engine, _ = made
    (send,) = take(engine)
    engine.client_left(5.0, 1)
    drain(engine)
    assert engine.next_at() == 970.0
    engine.advance(970.0)
    assert drain(engine) == [c.ExpireAttempt(send.attempt)]


def test_the_ledger_refuses_steps_that_it_does_not_know():
    ledger = Ledger(5)
    entry = Entry("r", 1, None, "look", "c", 1.0, 0.0, 10.0, {})
    ledger.add(entry)
    attempt = c.Attempt("r", 0, "n", 0.0, 10.0, {}, "look")
    ledger.send(entry, attempt)
    ledger.ended(entry, attempt, False)
    with pytest.raises(LedgerError, match="twice"):
        ledger.ended(entry, attempt, False)
    ledger.finish(entry, "answer")
    for step in ("answer", "left", "send"):
        with pytest.raises(LedgerError):
            entry.step(step)
    assert not ledger.entries and not ledger.by_connection


RESULTS = list(i.Result)
ACTS = st.sampled_from(["send", "send2", "refuse", "fail", "cancel", "nothing", "raise"])
STEPS = st.lists(st.tuples(st.sampled_from(["ask", "outcome", "left", "time"]), st.integers(0, 7), ACTS), max_size=40)


@settings(max_examples=200, deadline=None)
@given(steps=STEPS)
def test_whatever_happens_in_whatever_order_each_request_has_one_answer(steps):
    """Any events, and a policy that does anything at all: one answer or a client that left, nothing leaks."""
    script = {"act": "nothing"}

    def act(e):
        request_id = getattr(e, "id", "b-1")
        if script["act"] == "raise":
            raise RuntimeError("planted")
        return {
            "send": [i.Send(request_id, "n:1")],
            "send2": [i.Send(request_id, "n:1"), i.Send(request_id, "n:2", 50.0)],
            "refuse": [i.Refuse(request_id)],
            "fail": [i.Fail(request_id)],
            "cancel": [i.Cancel(request_id, 0)],
            "nothing": [],
        }[script["act"]]  # fmt: skip

    policy = Scripted()
    policy.answers = {i.Request: act, i.Outcome: act, i.Gone: act}
    engine = Engine(SETTINGS, policy, 0.0, boot="b-", telemetry=Telemetry(0.0))
    now, out, conn_of, answers, left = 0.0, [], {}, {}, set()

    def collect():
        while engine.commands:
            x = engine.commands.popleft()
            if isinstance(x, c.SendAttempt):
                out.append(x.attempt)
            elif isinstance(x, c.ExpireAttempt | c.CancelAttempt) and x.attempt in out:
                out.remove(x.attempt)
                engine.outcome(now, x.attempt, i.Result.TIMEOUT)
            elif isinstance(x, c.Answer):
                answers.setdefault(x.ref, []).append(x)

    serial = 0
    for what, k, script["act"] in steps:
        now += 1.0
        if what == "ask":
            serial += 1
            conn_of[serial] = k % 3
            engine.request(now, k % 3, serial, WHO, Query(("look", "pay")[k % 2], {}, 500.0))
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
        engine.outcome(now, out.pop(), i.Result.RESET)
    engine.advance(now)
    collect()
    assert all(len(found) == 1 for found in answers.values())
    assert {*answers} | left == set(conn_of) and not {*answers} & left
    assert not engine.ledger.entries and not engine.ledger.by_connection and engine.ledger.unanswered == 0
