"""Settings that change while the policy runs: what it learned, and what was spent, stays."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rushweir import Policy, interface

LOOK = interface.RequestClass("look", 800.0, 3000.0, effect=interface.Effect.SAFE)
BOOK = interface.RequestClass("book", 1200.0, 3000.0, worth=5.0)
TIGHT = interface.Plan("tight", rate=1000.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=10.0)
WIDE = interface.Plan("wide", rate=1000.0, burst=1000.0)
BASE = interface.Settings(0, 1, "a", (LOOK, BOOK), (TIGHT, WIDE))


class OneGateway:
    """The only gateway of its customers, with a large in-flight capacity."""

    def __init__(self) -> None:
        self.now = 0.0
        self.serial = 0
        self.settings = BASE
        self.policy = Policy(BASE, 3, 0.0)
        self.policy.start()
        self.policy.handle(
            0.0, interface.Members(interface.Scope.FULL, (interface.Server("n:1"), interface.Server("n:2")))
        )
        self.policy.capacity.finished.add(1e6, 0.0)

    def change_settings(self, **change) -> None:
        self.settings = replace(self.settings, **change)
        assert self.policy.handle(self.now, self.settings) == []

    def request(self, class_name="look", plan="tight", customer="c") -> str:
        """One request; returns ``sent``, or the reason of its refusal. A sent one is answered at once."""
        self.serial += 1
        request_id = f"r{self.serial}"
        self.policy.handle(self.now, interface.Timer(0))
        for action in self.policy.handle(
            self.now, interface.Request(request_id, class_name, plan, customer, self.now + 3000)
        ):
            if isinstance(action, interface.Send):
                self.policy.handle(
                    self.now, interface.Outcome(request_id, 0, action.server, interface.Result.OK, 5.0, True)
                )
                return "sent"
            if isinstance(action, interface.Refuse):
                return action.reason
        raise AssertionError("neither sent nor refused")

    def count_sent(self, **request) -> int:
        """Requests sent until one is refused, 200 at most."""
        count = 0
        while self.request(**request) == "sent" and count < 200:
            count += 1
        return count


@pytest.fixture
def one():
    gateway = OneGateway()
    gateway.now = 10_000.0
    return gateway


def test_new_settings_do_not_refill_a_spent_ceiling(one):
    assert one.count_sent() == 10
    one.change_settings(plans=(replace(TIGHT, ceiling_burst=50.0), WIDE))
    assert one.request() == "ceiling"
    one.now += 1000.0
    assert one.count_sent() == 10


def test_lower_ceiling_applies_at_once(one):
    assert one.request() == "sent"
    one.now += 5000.0
    one.change_settings(plans=(replace(TIGHT, ceiling_burst=3.0), WIDE))
    assert one.count_sent() == 3


def test_new_ceiling_begins_empty_and_a_removed_one_does_not_limit(one):
    assert one.request(plan="wide") == "sent"
    one.change_settings(plans=(TIGHT, replace(WIDE, ceiling_rate=4.0, ceiling_burst=4.0)))
    assert one.request(plan="wide") == "ceiling"
    one.now += 500.0
    assert one.count_sent(plan="wide") == 2
    one.change_settings(plans=(TIGHT, WIDE))
    assert one.count_sent(plan="wide") == 200


def test_time_before_a_change_refills_at_the_old_rate(one):
    assert one.count_sent() == 10
    one.now += 200.0
    one.change_settings(plans=(replace(TIGHT, ceiling_rate=1000.0, ceiling_burst=1000.0), WIDE))
    assert one.count_sent() == 2


def test_removed_plan_in_use_returns_with_its_ceiling_spent(one):
    assert one.count_sent() == 10
    one.change_settings(plans=(WIDE,))
    one.change_settings(plans=(WIDE, TIGHT))
    assert one.request() == "ceiling"


def test_customer_changes_plan_with_its_next_request(one):
    assert one.count_sent() == 10
    assert one.request(plan="wide") == "sent"
    assert one.request(plan="tight") == "ceiling"


def test_removed_class_finishes_its_open_request(one):
    (send,) = [
        action
        for action in one.policy.handle(one.now, interface.Request("x", "book", "wide", "d", one.now + 3000))
        if isinstance(action, interface.Send)
    ]
    one.change_settings(classes=(LOOK, interface.RequestClass("fare", 500.0, 2000.0)))
    assert one.request("fare") == "sent" and one.request("look") == "sent"
    one.policy.handle(one.now + 50, interface.Outcome("x", 0, send.server, interface.Result.ERROR, 50.0))
    assert "x" not in one.policy.pending
    one.change_settings()
    assert set(one.policy.capacity.classes) == {"look", "fare"}
    assert one.request("book") == "unknown"


def test_learned_length_survives_a_change_of_its_class(one):
    one.policy.capacity.lengths["look"].value = 77.0
    one.change_settings(classes=(replace(LOOK, worth=9.0), BOOK))
    assert one.policy.capacity.lengths["look"].value == 77.0 and one.policy.capacity.classes["look"].worth == 9.0


def test_equal_settings_change_no_decision():
    def decisions(change_settings: bool) -> list:
        one = OneGateway()
        found = []
        for k in range(300):
            one.now += 13.0
            if change_settings and k % 10 == 0:
                one.change_settings()
            found.append(one.request("look" if k % 3 else "book", "tight" if k % 2 else "wide", f"c{k % 5}"))
        return found

    assert decisions(True) == decisions(False)
