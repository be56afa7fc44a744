"""One small test for each failure found; each fails without its fix."""

from __future__ import annotations

import pytest

from rushweir import interface as i


def checked(gateway, rid):
    """Fire the check timer of the last send of the request."""
    ref = next(k for k, (r, *_) in gateway.policy.checks.items() if r == rid)
    return gateway.do(i.Timer(ref))


def test_room_is_cut_when_the_list_arrives(gateway):
    """Before the first timer a gateway had no room and took one request only."""
    assert all(isinstance(gateway.ask()[1], i.Send) for _ in range(4))


def test_start_room_is_split_over_the_gateways(make):
    """Twelve gateways each took a few attempts a server, and drowned the fleet (ieb69a0)."""
    few, many = make(gateways=3, servers=60), make(gateways=12, servers=60)
    assert sum(many.policy.capacity.partitions.sizes) * 3 < sum(few.policy.capacity.partitions.sizes)


def test_attempt_on_a_silent_server_is_taken_back_and_repeated(gateway):
    gateway.serve(20)
    rid, send = gateway.ask()
    gateway.now += 400.0
    assert checked(gateway, rid) == [i.Cancel(rid, 0)]
    (again,) = gateway.end(rid, send, i.Result.CANCELLED)
    assert isinstance(again, i.Send)
    assert again.server != send.server


@pytest.mark.parametrize("pressed", [False, True])
def test_attempt_on_a_server_that_answers_others_gets_as_much_time_again(gateway, pressed):
    """Time-outs below the aim cost a second copy of every long request on quiet days; but connections that swallow
    one request beside others that answer kept it until its deadline. While all are late nothing counts as lost."""
    gateway.serve(20)
    rid, send = gateway.ask()
    gateway.now += 50.0
    others = []
    while send.server not in {sent.server for _, sent in others}:  # all others busy, one of them is the same
        for other, sent in others:
            gateway.end(other, sent, spent=50.0)
        others = [gateway.ask() for _ in range(7)]
    for other, sent in others:
        gateway.end(other, sent, spent=50.0)
    gateway.now += 270.0
    (again,) = checked(gateway, rid)
    assert isinstance(again, i.SetTimer) and again.after_ms == pytest.approx(320.0)
    gateway.now += 320.0
    if pressed:
        gateway.policy.capacity.outcomes.failures.add(100, gateway.now)
    assert checked(gateway, rid) == ([] if pressed else [i.Cancel(rid, 0)])


def test_crowded_counter_is_called_less(wire):
    """Eleven gateways kept calling a counter that could answer one call in four (i26bb2f)."""
    calls = {}
    for result in (i.Result.OK, i.Result.TIMEOUT):
        net = wire(gateways=2, sharing=i.Sharing(counter=True))
        net.counter_result = result
        for k in range(400):
            net.ask(k % 2, customer=f"c{k}")
            net.run(10.0)
        calls[result] = net.calls
    assert 0 < calls[i.Result.TIMEOUT] * 5 < calls[i.Result.OK]


def test_start_room_counts_units_not_attempts(make):
    """Where a request counts several units, a pressed gateway's least room held one or two (ieaa566)."""
    gateway = make(sharing=i.Sharing(largest_request=6.0))
    assert sum(gateway.policy.capacity.partitions.sizes) == pytest.approx(
        3.5 * sum(make().policy.capacity.partitions.sizes)
    )


def test_cheap_work_leaves_room_for_dear_work(make):
    """In overload requests of every worth were refused alike (dakar-fann overload, ieaa566)."""
    gateway = make(servers=12)
    admitted = {"look": 0, "book": 0}
    for k in range(64):
        cls = "book" if k % 2 else "look"
        admitted[cls] += isinstance(gateway.ask(cls=cls)[1], i.Send)
    assert admitted["look"] > 0
    assert admitted["book"] > 1.3 * admitted["look"]


def test_lost_zone_of_two_is_set_aside(make):
    """With half of the servers gone none was ejected; one attempt in four met no connection (i04d1b7)."""
    gateway = make(servers=8)
    lost = sum(gateway.odd(120, 10.0, 200.0, 200.0, i.Result.CONNECT_FAILED))
    assert lost <= 24


def test_servers_of_a_kind_that_is_slow_get_less_though_each_is_seen_rarely(make):
    """With ninety gateways the average of one server is never learned; that of its kind is."""
    gateway = make(servers=0, gateways=90)
    gateway.list(*(i.Server(f"s{k}", zone="a", kind="slow" if k % 2 else "quick") for k in range(60)))
    slow = gateway.odd(300, 400.0, spent=100.0, odd_spent=300.0)
    assert sum(slow[100:]) < 0.4 * 200


def test_cut_zone_is_set_aside_though_no_server_was_tried_twice(make):
    """With ninety gateways each server of a cut zone was tried in turn (budapest-dispatch, big-2)."""
    gateway = make(servers=60, gateways=90)
    lost = sum(gateway.odd(60, 20.0, 200.0, 200.0, i.Result.CONNECT_FAILED))
    assert lost <= 16


def test_unused_servers_are_chosen_by_size_not_the_largest_alone(make):
    """All gateways sent to the largest servers, since none had anything out here (ia3cc4f)."""
    gateway = make(servers=0, gateways=90, weights="nominal")
    gateway.list(*(i.Server(f"s{k}", zone="a", weight=2.0 if k % 2 else 1.0) for k in range(10)))
    sent = gateway.odd(300, 400.0, 50.0, 50.0)
    assert 0.55 < sum(sent) / 300 < 0.8


def test_keeper_is_not_asked_again_for_a_request_sent_on(wire):
    """The timer of an answered question asked a second time, and the keeper's mail doubled (dakar-fann)."""
    net = wire(20)
    for k in range(20):
        net.ask(k)
        net.run(1000.0)
    assert net.sent() == 20
    assert len(net.told) <= 2 * 19


def test_room_beyond_b_is_banked_first_so_many_gateways_do_not_overfill_the_fleet(make):
    """Each of 229 gateways added the root of its room, or a request to its room of 0.4 (L33b1c1)."""
    gateway = make(servers=10, gateways=100)  # a room of 0.4
    rid, send = gateway.ask()
    gateway.now += 500.0
    assert isinstance(gateway.ask()[1], i.Refuse)
    gateway.end(rid, send, spent=500.0)
    assert isinstance(gateway.ask()[1], i.Refuse)  # idle, but it has used more than its room
    gateway.now += 2000.0
    assert isinstance(gateway.ask()[1], i.Send)


def test_repeat_past_the_aim_is_not_sent(gateway):
    """Servers went on with the first copies; 366 repeats a second past the aim jammed the fleet (L33b1c1)."""
    gateway.serve(20)
    rid, _ = gateway.ask()
    gateway.now += 790.0
    assert checked(gateway, rid) == []


def test_lost_attempt_gives_its_room_back(make):
    """Attempts that servers swallowed held three quarters of the room for seconds (L33b1c1)."""
    gateway = make(servers=6, gateways=30)
    gateway.serve(20, cls="pay")
    rid, _ = gateway.ask(cls="pay")
    assert gateway.policy.capacity.partitions.utilization() > 0
    gateway.now += 700.0
    assert checked(gateway, rid) == []
    assert gateway.policy.capacity.partitions.utilization() == 0


def test_without_answers_in_time_there_are_no_repeats(gateway):
    """A retry budget of ten for each gateway was 2290 for the fleet (L33b1c1)."""
    again = 0
    for _ in range(40):
        rid, send = gateway.ask()
        if isinstance(send, i.Send):
            gateway.now += 10.0
            again += isinstance(gateway.end(rid, send, i.Result.CONNECT_FAILED)[0], i.Send)
    assert 0 < again <= 11


def test_server_that_answers_nothing_is_found_slow(make):
    """Eleven jammed servers answered nothing for half a minute, and were sent as much as others (L33b1c1)."""
    gateway = make(servers=12, gateways=90)
    jammed = gateway.odd(200, 200.0, spent=100.0, odd_spent=2000.0, odd_result=i.Result.TIMEOUT)
    assert sum(jammed[100:]) < 35


def test_request_given_up_is_answered_at_once(gateway):
    """No refusal is held back to keep the client from asking again."""
    gateway.list()
    assert isinstance(gateway.ask()[1], i.Refuse)
    gateway.list(*(i.Server(f"s{k}") for k in range(2)))
    answers = [gateway.ask()[1] for _ in range(60)]
    advice = [a.retry_after_ms for a in answers if isinstance(a, i.Refuse)]
    assert len(advice) > 30
    assert all(0 < ms <= 200.0 for ms in advice)  # the time in flight of its class at most


def test_a_try_over_the_ceiling_is_told_when_its_part_has_filled(gateway):
    """A refusal for the ceiling advised nothing, so tries came back at once, in vain."""
    _, first = gateway.ask("capped")  # 20 units a second, and nothing has filled yet
    assert isinstance(first, i.Refuse)
    assert (first.reason, round(first.retry_after_ms)) == ("ceiling", 75)
    gateway.now += 75.0
    assert isinstance(gateway.ask("capped")[1], i.Send)


def test_a_cold_server_gets_more_time_before_an_attempt_counts_as_lost(gateway):
    """Repeats of attempts that were only slow on cold servers cost 0.02 to 0.05 on days with new backends."""
    gateway.serve(40)
    gateway.list(i.Server("s0", zone="a", online_since_ms=gateway.now), i.Server("s1", zone="a"))
    waits = {}
    for _ in range(40):
        rid, send = gateway.ask()
        wait = next(w for r, _, w in gateway.policy.checks.values() if r == rid)
        waits.setdefault(send.server, wait)
        gateway.end(rid, send)
        gateway.policy.checks.clear()
        gateway.now += 100.0
    assert waits["s0"] > 2 * waits["s1"]
