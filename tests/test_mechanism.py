"""PBP with f2 against worked examples, and the demand-share quotas."""

from __future__ import annotations

import pytest

from rushweir import interface as i
from rushweir import state as st


def set_room(gateway, lengths, asked, sizes=None):
    """A room with known lengths and popularities; sizes overrides the parts."""
    room = gateway.policy.capacity
    room.lengths = {n: st.RunningMean(v) for n, v in zip(("look", "book", "pay"), lengths, strict=True)}
    for name, amount in zip(("look", "book", "pay"), asked, strict=True):
        room.popularity[name].decayed_sum, room.popularity[name].updated_at = amount, gateway.now
    room.partition(6, gateway.now)
    if sizes:
        room.partitions.sizes, room.partitions.used = list(sizes), [0.0] * len(sizes)
        room.max_credit = 0.0  # nothing banked
    room.mean_value = 0.0  # no work is dearer than another here
    return room


def draw(room, name, units, now):
    order = room.find_partitions(name, units, 0.0, now)
    return None if order is None else room.partitions.reserve(order, units)


def press(gateway):
    gateway.policy.capacity.outcomes.failures.add(1000, gateway.now)
    gateway.policy.capacity.outcomes.outcomes.add(1000, gateway.now)


def test_ranges_double_from_the_shortest_and_the_top_is_closed(gateway):
    room = set_room(gateway, (100.0, 199.0, 400.0), (1, 1, 1))
    assert [room.length_range(n) for n in ("look", "book", "pay")] == [0, 0, 1]
    room = set_room(gateway, (100.0, 200.0, 401.0), (1, 1, 1))
    assert [room.length_range(n) for n in ("look", "book", "pay")] == [0, 1, 2]


def test_equal_lengths_leave_one_range(gateway):
    assert len(set_room(gateway, (100.0, 100.0, 100.0), (1, 5, 9)).partitions.sizes) == 1


def test_parts_are_popularity_times_length(gateway):
    """With the prior of two: 10 x 100, 5 x 200, 5 x 400, so a quarter, a quarter and a half."""
    room = set_room(gateway, (100.0, 200.0, 401.0), (8, 3, 3))
    parts = [s / sum(room.partitions.sizes) for s in room.partitions.sizes]
    assert parts == pytest.approx([1000 / 4005, 1000 / 4005, 2005 / 4005])


def test_longer_borrows_downward_in_order_and_shorter_never_upward(gateway):
    press(gateway)
    room = set_room(gateway, (100.0, 200.0, 401.0), (1, 1, 1), sizes=(4.0, 3.0, 2.0))
    grant = draw(room, "pay", 7.0, gateway.now)
    assert [g for g in grant if g[1]] == [(2, 2.0), (1, 3.0), (0, 2.0)]
    assert draw(room, "book", 3.0, gateway.now) is None
    assert [g for g in draw(room, "book", 2.0, gateway.now) if g[1]] == [(0, 2.0)]
    room.partitions.release(grant)
    assert room.partitions.used == [2.0, 0.0, 0.0]
    assert draw(room, "look", 3.0, gateway.now) is None
    assert draw(room, "look", 2.0, gateway.now) is not None


def test_not_pressed_is_greedy(gateway):
    room = set_room(gateway, (100.0, 200.0, 401.0), (1, 1, 1), sizes=(4.0, 3.0, 2.0))
    assert draw(room, "look", 8.0, gateway.now) is not None
    assert draw(room, "look", 2.0, gateway.now) is None


def admitted(gateway, count, plan="rated", **ask):
    return sum(isinstance(gateway.ask(plan, **ask)[1], i.Send) for _ in range(count))


def test_only_gateway_of_a_customer_has_the_whole_quota(make):
    assert admitted(make(servers=60), 10, gateway_count=1) == 6


def test_nothing_to_hear_from_lets_one_in_and_then_the_even_part(make):
    """An even part that is less than one request must not refuse a customer inside its quota."""
    gateway = make(servers=60, sharing=i.Sharing())
    assert admitted(gateway, 10, gateway_count=3) == 2  # a burst of 6 over three gateways
    assert admitted(make(servers=60, gateways=30, sharing=i.Sharing()), 10, gateway_count=30) == 1


@pytest.mark.parametrize("text", ["", "hi 7", "0" * 11, "\u00e9" * 20])
def test_foreign_messages_are_ignored(gateway, text):
    assert gateway.do(i.PeerMessage(1, text)) == []


def test_soft_plan_passes_only_into_free_room(make):
    gateway = make(servers=24)
    assert admitted(gateway, 8, "soft") == 8
    press(gateway)
    assert admitted(gateway, 4, "soft") == 0


def test_refusal_says_when_the_store_holds_the_request(make):
    gateway = make(servers=60)
    admitted(gateway, 6)
    assert 0 < gateway.ask("rated")[1].retry_after_ms <= 500.0


@pytest.mark.parametrize("ask", [{"plan": "none"}, {"cls": "none"}])
def test_unknown_plan_or_class_is_refused(gateway, ask):
    assert isinstance(gateway.ask(**ask)[1], i.Refuse)


def test_no_servers_is_refused(make):
    assert isinstance(make(servers=0).ask()[1], i.Refuse)


@pytest.mark.parametrize("change", [{"classes": ()}, {"plans": ()}, {"gateway": 3}])
def test_settings_that_cannot_work_are_an_error(make, change):
    with pytest.raises(ValueError, match="settings need"):
        make(**change)


def test_idle_customers_are_forgotten(gateway):
    rid, send = gateway.ask()
    gateway.end(rid, send)
    gateway.now += 40000.0
    gateway.do(i.Timer(0))
    assert not gateway.policy.quota.customers
    assert not gateway.policy.pending


def test_most_servers_failing_ejects_none(gateway):
    for _ in range(60):
        rid, send = gateway.ask()
        gateway.end(rid, send, i.Result.ERROR, settled=True)
    assert isinstance(gateway.ask()[1], i.Send)


def test_quick_errors_do_not_look_like_a_fast_server(gateway):
    sent = []
    for _ in range(80):
        rid, send = gateway.ask()
        bad = send.server == "s0"
        gateway.now += 5.0
        gateway.end(rid, send, i.Result.ERROR if bad else i.Result.OK, 5.0 if bad else 200.0, settled=True)
        sent.append(send.server)
    assert sent.count("s0") <= 8
