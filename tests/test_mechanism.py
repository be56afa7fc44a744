"""Popularity-based Bandwidth Prepartitioning with f2 against worked examples, and quotas by demand share."""

from __future__ import annotations

import pytest

from rushweir import interface
from rushweir.state import RunningMean


def set_capacity(gateway, lengths, requested, sizes=None):
    """An in-flight capacity with known lengths and popularities; ``sizes`` overrides the partitions."""
    capacity = gateway.policy.capacity
    capacity.lengths = {
        name: RunningMean(length) for name, length in zip(("look", "book", "pay"), lengths, strict=True)
    }
    for name, amount in zip(("look", "book", "pay"), requested, strict=True):
        capacity.popularity[name].decayed_sum, capacity.popularity[name].updated_at = amount, gateway.now
    capacity.partition(6, gateway.now)
    if sizes:
        capacity.partitions.sizes, capacity.partitions.used = list(sizes), [0.0] * len(sizes)
        capacity.max_credit = 0.0  # no credit
    capacity.mean_value = 0.0  # no request is more valuable than another here
    return capacity


def reserve(capacity, class_name, units, now):
    order = capacity.find_partitions(class_name, units, 0.0, now)
    return None if order is None else capacity.partitions.reserve(order, units)


def put_under_pressure(gateway):
    gateway.policy.capacity.outcomes.failures.add(1000, gateway.now)
    gateway.policy.capacity.outcomes.outcomes.add(1000, gateway.now)


def test_ranges_double_from_the_shortest_and_the_top_is_closed(gateway):
    capacity = set_capacity(gateway, (100.0, 199.0, 400.0), (1, 1, 1))
    assert [capacity.length_range(name) for name in ("look", "book", "pay")] == [0, 0, 1]
    capacity = set_capacity(gateway, (100.0, 200.0, 401.0), (1, 1, 1))
    assert [capacity.length_range(name) for name in ("look", "book", "pay")] == [0, 1, 2]


def test_equal_lengths_leave_one_range(gateway):
    assert len(set_capacity(gateway, (100.0, 100.0, 100.0), (1, 5, 9)).partitions.sizes) == 1


def test_partitions_are_popularity_times_length(gateway):
    """With the prior of two units: 10 x 100, 5 x 200, 5 x 400, so a quarter, a quarter and a half."""
    capacity = set_capacity(gateway, (100.0, 200.0, 401.0), (8, 3, 3))
    shares = [size / sum(capacity.partitions.sizes) for size in capacity.partitions.sizes]
    assert shares == pytest.approx([1000 / 4005, 1000 / 4005, 2005 / 4005])


def test_under_pressure_longer_borrows_downward_in_order_and_shorter_never_upward(gateway):
    put_under_pressure(gateway)
    capacity = set_capacity(gateway, (100.0, 200.0, 401.0), (1, 1, 1), sizes=(4.0, 3.0, 2.0))
    reservation = reserve(capacity, "pay", 7.0, gateway.now)
    assert [taken for taken in reservation if taken[1]] == [(2, 2.0), (1, 3.0), (0, 2.0)]
    assert reserve(capacity, "book", 3.0, gateway.now) is None
    assert [taken for taken in reserve(capacity, "book", 2.0, gateway.now) if taken[1]] == [(0, 2.0)]
    capacity.partitions.release(reservation)
    assert capacity.partitions.used == [2.0, 0.0, 0.0]
    assert reserve(capacity, "look", 3.0, gateway.now) is None
    assert reserve(capacity, "look", 2.0, gateway.now) is not None


def test_without_pressure_any_partition_may_be_used(gateway):
    capacity = set_capacity(gateway, (100.0, 200.0, 401.0), (1, 1, 1), sizes=(4.0, 3.0, 2.0))
    assert reserve(capacity, "look", 8.0, gateway.now) is not None
    assert reserve(capacity, "look", 2.0, gateway.now) is None


def count_sent(gateway, count, plan="rated", **request):
    return sum(isinstance(gateway.request(plan, **request)[1], interface.Send) for _ in range(count))


def test_only_gateway_of_a_customer_admits_its_whole_quota(make_gateway):
    assert count_sent(make_gateway(servers=60), 10, gateway_count=1) == 6


def test_without_messages_one_request_and_the_equal_share_are_admitted(make_gateway):
    """An equal share of less than one request must not refuse a customer within its quota."""
    gateway = make_gateway(servers=60, sharing=interface.Sharing())
    assert count_sent(gateway, 10, gateway_count=3) == 2  # a burst of 6 over three gateways
    assert count_sent(make_gateway(servers=60, gateways=30, sharing=interface.Sharing()), 10, gateway_count=30) == 1


@pytest.mark.parametrize("text", ["", "hi 7", "0" * 11, "\u00e9" * 20])
def test_messages_of_another_format_are_ignored(gateway, text):
    assert gateway.handle(interface.PeerMessage(1, text)) == []


def test_soft_plan_exceeds_its_quota_only_into_spare_capacity(make_gateway):
    gateway = make_gateway(servers=24)
    assert count_sent(gateway, 8, "soft") == 8
    put_under_pressure(gateway)
    assert count_sent(gateway, 4, "soft") == 0


def test_refusal_says_when_the_bucket_will_cover_the_request(make_gateway):
    gateway = make_gateway(servers=60)
    count_sent(gateway, 6)
    assert 0 < gateway.request("rated")[1].retry_after_ms <= 500.0


@pytest.mark.parametrize("fields", [{"plan": "none"}, {"class_name": "none"}])
def test_unknown_plan_or_class_is_refused(gateway, fields):
    assert isinstance(gateway.request(**fields)[1], interface.Refuse)


def test_request_without_servers_is_refused(make_gateway):
    assert isinstance(make_gateway(servers=0).request()[1], interface.Refuse)


@pytest.mark.parametrize("change", [{"classes": ()}, {"plans": ()}, {"gateway": 3}])
def test_invalid_settings_raise(make_gateway, change):
    with pytest.raises(ValueError, match="settings need"):
        make_gateway(**change)


def test_idle_customers_are_forgotten(gateway):
    request_id, send = gateway.request()
    gateway.end_attempt(request_id, send)
    gateway.now += 40000.0
    gateway.handle(interface.Timer(0))
    assert not gateway.policy.quota.customers
    assert not gateway.policy.pending


def test_no_server_is_ejected_when_most_fail(gateway):
    for _ in range(60):
        request_id, send = gateway.request()
        gateway.end_attempt(request_id, send, interface.Result.ERROR, settled=True)
    assert isinstance(gateway.request()[1], interface.Send)


def test_server_with_quick_errors_gets_few_requests(gateway):
    sent = []
    for _ in range(80):
        request_id, send = gateway.request()
        bad = send.server == "s0"
        gateway.now += 5.0
        gateway.end_attempt(
            request_id,
            send,
            interface.Result.ERROR if bad else interface.Result.OK,
            5.0 if bad else 200.0,
            settled=True,
        )
        sent.append(send.server)
    assert sent.count("s0") <= 8
