"""Settings that change while the module runs: what was learnt, and what was spent, stays."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rushweir import Policy
from rushweir import interface as i

LOOK = i.RequestClass("look", 800.0, 3000.0, effect=i.Effect.SAFE)
BOOK = i.RequestClass("book", 1200.0, 3000.0, worth=5.0)
TIGHT = i.Plan("tight", rate=1000.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=10.0)
WIDE = i.Plan("wide", rate=1000.0, burst=1000.0)
BASE = i.Settings(0, 1, "a", (LOOK, BOOK), (TIGHT, WIDE))


class One:
    def __init__(self) -> None:
        self.now, self.serial, self.settings = 0.0, 0, BASE
        self.policy = Policy(BASE, 3, 0.0)
        self.policy.start()
        self.policy.handle(0.0, i.Members(i.Scope.FULL, (i.Server("n:1"), i.Server("n:2"))))
        self.policy.capacity.finished.add(1e6, 0.0)

    def adopt(self, **change) -> None:
        self.settings = replace(self.settings, **change)
        assert self.policy.handle(self.now, self.settings) == []

    def ask(self, cls="look", plan="tight", who="c") -> str:
        """What becomes of one request: ``sent``, or the reason of its refusal; a sent one is answered at once."""
        self.serial += 1
        rid = f"r{self.serial}"
        self.policy.handle(self.now, i.Timer(0))
        for a in self.policy.handle(self.now, i.Request(rid, cls, plan, who, self.now + 3000)):
            if isinstance(a, i.Send):
                self.policy.handle(self.now, i.Outcome(rid, 0, a.server, i.Result.OK, 5.0, True))
                return "sent"
            if isinstance(a, i.Refuse):
                return a.reason
        raise AssertionError("neither sent nor refused")

    def let_in(self, **what) -> int:
        n = 0
        while self.ask(**what) == "sent" and n < 200:
            n += 1
        return n


@pytest.fixture
def one():
    made = One()
    made.now = 10_000.0
    return made


def test_a_spent_ceiling_is_not_filled_by_new_settings(one):
    assert one.let_in() == 10
    one.adopt(plans=(replace(TIGHT, ceiling_burst=50.0), WIDE))
    assert one.ask() == "ceiling"
    one.now += 1000.0
    assert one.let_in() == 10


def test_a_lower_ceiling_holds_at_once(one):
    assert one.ask() == "sent"
    one.now += 5000.0
    one.adopt(plans=(replace(TIGHT, ceiling_burst=3.0), WIDE))
    assert one.let_in() == 3


def test_a_new_ceiling_begins_empty_and_one_that_is_gone_binds_no_more(one):
    assert one.ask(plan="wide") == "sent"
    one.adopt(plans=(TIGHT, replace(WIDE, ceiling_rate=4.0, ceiling_burst=4.0)))
    assert one.ask(plan="wide") == "ceiling"
    one.now += 500.0
    assert one.let_in(plan="wide") == 2
    one.adopt(plans=(TIGHT, WIDE))
    assert one.let_in(plan="wide") == 200


def test_time_under_the_old_rate_counts_at_the_old_rate(one):
    assert one.let_in() == 10
    one.now += 200.0
    one.adopt(plans=(replace(TIGHT, ceiling_rate=1000.0, ceiling_burst=1000.0), WIDE))
    assert one.let_in() == 2


def test_a_plan_in_use_goes_and_comes_back_with_its_ceiling_spent(one):
    assert one.let_in() == 10
    one.adopt(plans=(WIDE,))
    one.adopt(plans=(WIDE, TIGHT))
    assert one.ask() == "ceiling"


def test_a_customer_of_another_plan_moves_with_its_next_request(one):
    assert one.let_in() == 10
    assert one.ask(plan="wide") == "sent"
    assert one.ask(plan="tight") == "ceiling"


def test_a_class_goes_while_its_request_is_out(one):
    (send,) = [a for a in one.policy.handle(one.now, i.Request("x", "book", "wide", "d", one.now + 3000))
               if isinstance(a, i.Send)]  # fmt: skip
    one.adopt(classes=(LOOK, i.RequestClass("fare", 500.0, 2000.0)))
    assert one.ask("fare") == "sent" and one.ask("look") == "sent"
    one.policy.handle(one.now + 50, i.Outcome("x", 0, send.server, i.Result.ERROR, 50.0))
    assert "x" not in one.policy.pending
    one.adopt()
    assert set(one.policy.capacity.classes) == {"look", "fare"}
    assert one.ask("book") == "unknown"


def test_what_was_learnt_stays(one):
    one.policy.capacity.lengths["look"].value = 77.0
    one.adopt(classes=(replace(LOOK, worth=9.0), BOOK))
    assert one.policy.capacity.lengths["look"].value == 77.0 and one.policy.capacity.classes["look"].worth == 9.0


def test_the_same_settings_change_nothing():
    def course(adopt: bool) -> list:
        one = One()
        out = []
        for k in range(300):
            one.now += 13.0
            if adopt and k % 10 == 0:
                one.adopt()
            out.append(one.ask("look" if k % 3 else "book", "tight" if k % 2 else "wide", f"c{k % 5}"))
        return out

    assert course(True) == course(False)
