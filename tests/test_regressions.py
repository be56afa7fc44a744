"""One small test for each failure that was found; each fails without its fix."""

from __future__ import annotations

import pytest

from rushweir import interface


def check(gateway, request_id):
    """Expire the first check timer of a request; returns the actions."""
    ref = next(ref for ref, (checked_id, *_) in gateway.policy.checks.items() if checked_id == request_id)
    return gateway.handle(interface.Timer(ref))


def test_capacity_is_partitioned_when_the_server_list_arrives(gateway):
    """Before its first timer a gateway had no capacity and took one request only."""
    assert all(isinstance(gateway.request()[1], interface.Send) for _ in range(4))


def test_initial_capacity_is_divided_among_the_gateways(make_gateway):
    """Twelve gateways each sent a few attempts to each server, and overloaded the fleet (incident ieb69a0)."""
    few, many = make_gateway(gateways=3, servers=60), make_gateway(gateways=12, servers=60)
    assert sum(many.policy.capacity.partitions.sizes) * 3 < sum(few.policy.capacity.partitions.sizes)


def test_attempt_at_a_silent_server_is_cancelled_and_retried_elsewhere(gateway):
    gateway.serve(20)
    request_id, send = gateway.request()
    gateway.now += 400.0
    assert check(gateway, request_id) == [interface.Cancel(request_id, 0)]
    (retry,) = gateway.end_attempt(request_id, send, interface.Result.CANCELLED)
    assert isinstance(retry, interface.Send)
    assert retry.server != send.server


@pytest.mark.parametrize("under_pressure", [False, True])
def test_attempt_at_a_server_that_answers_others_gets_as_much_time_again(gateway, under_pressure):
    """Timeouts below the aim sent a second attempt of every long request on quiet days. Without them, a connection
    that swallowed one request beside others that answer kept it until its deadline. While all are late, none is
    lost."""
    gateway.serve(20)
    request_id, send = gateway.request()
    gateway.now += 50.0
    others = []
    while send.server not in {sent.server for _, sent in others}:  # until one of the others is at the same server
        for other, sent in others:
            gateway.end_attempt(other, sent, spent_ms=50.0)
        others = [gateway.request() for _ in range(7)]
    for other, sent in others:
        gateway.end_attempt(other, sent, spent_ms=50.0)
    gateway.now += 270.0
    (retry,) = check(gateway, request_id)
    assert isinstance(retry, interface.SetTimer) and retry.after_ms == pytest.approx(320.0)
    gateway.now += 320.0
    if under_pressure:
        gateway.policy.capacity.outcomes.failures.add(100, gateway.now)
    assert check(gateway, request_id) == ([] if under_pressure else [interface.Cancel(request_id, 0)])


def test_counter_that_times_out_is_called_less(make_network):
    """Eleven gateways kept calling a counter that could answer one call in four (incident i26bb2f)."""
    calls = {}
    for result in (interface.Result.OK, interface.Result.TIMEOUT):
        network = make_network(gateways=2, sharing=interface.Sharing(counter=True))
        network.counter_result = result
        for k in range(400):
            network.request(k % 2, customer=f"c{k}")
            network.run(10.0)
        calls[result] = network.counter_calls
    assert 0 < calls[interface.Result.TIMEOUT] * 5 < calls[interface.Result.OK]


def test_initial_capacity_is_in_units_not_attempts(make_gateway):
    """Where a request has several units, the least capacity under pressure held one or two (incident ieaa566)."""
    gateway = make_gateway(sharing=interface.Sharing(largest_request=6.0))
    assert sum(gateway.policy.capacity.partitions.sizes) == pytest.approx(
        3.5 * sum(make_gateway().policy.capacity.partitions.sizes)
    )


def test_cheap_requests_leave_capacity_for_valuable_ones(make_gateway):
    """In overload, requests of every worth were refused alike (dakar-fann overload, incident ieaa566)."""
    gateway = make_gateway(servers=12)
    admitted = {"look": 0, "book": 0}
    for k in range(64):
        class_name = "book" if k % 2 else "look"
        admitted[class_name] += isinstance(gateway.request(class_name=class_name)[1], interface.Send)
    assert admitted["look"] > 0
    assert admitted["book"] > 1.3 * admitted["look"]


def test_lost_zone_of_two_is_ejected(make_gateway):
    """With half of the servers gone none was ejected; one attempt in four failed to connect (incident i04d1b7)."""
    gateway = make_gateway(servers=8)
    lost = sum(gateway.requests_to_odd_servers(120, 10.0, 200.0, 200.0, interface.Result.CONNECT_FAILED))
    assert lost <= 24


def test_servers_of_a_slow_kind_get_less_though_each_is_used_rarely(make_gateway):
    """With ninety gateways the average of one server is never learned; that of its kind is."""
    gateway = make_gateway(servers=0, gateways=90)
    gateway.update_servers(
        *(interface.Server(f"s{k}", zone="a", kind="slow" if k % 2 else "quick") for k in range(60))
    )
    slow = gateway.requests_to_odd_servers(300, 400.0, spent_ms=100.0, odd_spent_ms=300.0)
    assert sum(slow[100:]) < 0.4 * 200


def test_unreachable_zone_is_ejected_though_no_server_was_tried_twice(make_gateway):
    """With ninety gateways each server of an unreachable zone was tried in turn (budapest-dispatch, big-2)."""
    gateway = make_gateway(servers=60, gateways=90)
    lost = sum(gateway.requests_to_odd_servers(60, 20.0, 200.0, 200.0, interface.Result.CONNECT_FAILED))
    assert lost <= 16


def test_idle_servers_are_chosen_by_weight_not_the_largest_alone(make_gateway):
    """All gateways sent to the largest servers, as none had attempts in flight there (incident ia3cc4f)."""
    gateway = make_gateway(servers=0, gateways=90, weights="nominal")
    gateway.update_servers(*(interface.Server(f"s{k}", zone="a", weight=2.0 if k % 2 else 1.0) for k in range(10)))
    sent = gateway.requests_to_odd_servers(300, 400.0, 50.0, 50.0)
    assert 0.55 < sum(sent) / 300 < 0.8


def test_owner_is_not_asked_again_for_a_request_that_was_sent(make_network):
    """The timer of an answered question asked a second time, and doubled the owner's messages (dakar-fann)."""
    network = make_network(20)
    for k in range(20):
        network.request(k)
        network.run(1000.0)
    assert network.sent_count() == 20
    assert len(network.messages) <= 2 * 19


def test_use_beyond_b_needs_credit(make_gateway):
    """Each of 229 gateways added the root of B, or a request to a B of 0.4 (incident L33b1c1)."""
    gateway = make_gateway(servers=10, gateways=100)  # a B of 0.4
    request_id, send = gateway.request()
    gateway.now += 500.0
    assert isinstance(gateway.request()[1], interface.Refuse)
    gateway.end_attempt(request_id, send, spent_ms=500.0)
    assert isinstance(gateway.request()[1], interface.Refuse)  # idle, but with a deficit
    gateway.now += 2000.0
    assert isinstance(gateway.request()[1], interface.Send)


def test_retry_past_the_aim_is_not_sent(gateway):
    """Servers went on with first attempts; 366 retries per second past the aim jammed a fleet (incident L33b1c1)."""
    gateway.serve(20)
    request_id, _ = gateway.request()
    gateway.now += 790.0
    assert check(gateway, request_id) == []


def test_lost_attempt_releases_its_capacity(make_gateway):
    """Attempts that servers swallowed held three quarters of the capacity for seconds (incident L33b1c1)."""
    gateway = make_gateway(servers=6, gateways=30)
    gateway.serve(20, class_name="pay")
    request_id, _ = gateway.request(class_name="pay")
    assert gateway.policy.capacity.partitions.utilization() > 0
    gateway.now += 700.0
    assert check(gateway, request_id) == []
    assert gateway.policy.capacity.partitions.utilization() == 0


def test_without_answers_in_time_retries_stop(gateway):
    """A retry budget of ten for each gateway was 2290 for the fleet (incident L33b1c1)."""
    retries = 0
    for _ in range(40):
        request_id, send = gateway.request()
        if isinstance(send, interface.Send):
            gateway.now += 10.0
            retries += isinstance(
                gateway.end_attempt(request_id, send, interface.Result.CONNECT_FAILED)[0], interface.Send
            )
    assert 0 < retries <= 11


def test_server_that_answers_nothing_is_recognized_as_slow(make_gateway):
    """Eleven jammed servers answered nothing for half a minute, and got as much as others (incident L33b1c1)."""
    gateway = make_gateway(servers=12, gateways=90)
    jammed = gateway.requests_to_odd_servers(
        200, 200.0, spent_ms=100.0, odd_spent_ms=2000.0, odd_result=interface.Result.TIMEOUT
    )
    assert sum(jammed[100:]) < 35


def test_refusal_comes_at_once_with_bounded_advice(gateway):
    """No refusal is delayed to keep the client from trying retry."""
    gateway.update_servers()
    assert isinstance(gateway.request()[1], interface.Refuse)
    gateway.update_servers(*(interface.Server(f"s{k}") for k in range(2)))
    answers = [gateway.request()[1] for _ in range(60)]
    advice_ms = [answer.retry_after_ms for answer in answers if isinstance(answer, interface.Refuse)]
    assert len(advice_ms) > 30
    assert all(0 < ms <= 200.0 for ms in advice_ms)  # at most the mean time in flight of its class


def test_refusal_over_the_ceiling_says_when_its_share_has_refilled(gateway):
    """A refusal for the ceiling gave no advice, so clients retried at once, in vain."""
    _, first = gateway.request("capped")  # 20 units per second, and nothing has refilled yet
    assert isinstance(first, interface.Refuse)
    assert (first.reason, round(first.retry_after_ms)) == ("ceiling", 75)
    gateway.now += 75.0
    assert isinstance(gateway.request("capped")[1], interface.Send)


def test_cold_server_gets_more_time_before_an_attempt_counts_as_lost(gateway):
    """Retries of attempts that were only slow on cold servers cost 0.02 to 0.05 on days with new backends."""
    gateway.serve(40)
    gateway.update_servers(
        interface.Server("s0", zone="a", online_since_ms=gateway.now), interface.Server("s1", zone="a")
    )
    waits = {}
    for _ in range(40):
        request_id, send = gateway.request()
        wait = next(extra for checked, _, extra in gateway.policy.checks.values() if checked == request_id)
        waits.setdefault(send.server, wait)
        gateway.end_attempt(request_id, send)
        gateway.policy.checks.clear()
        gateway.now += 100.0
    assert waits["s0"] > 2 * waits["s1"]
