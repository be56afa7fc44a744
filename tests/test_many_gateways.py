"""Quotas over a network of gateways in memory: totals against quota and ceiling."""

from __future__ import annotations

from base64 import b85encode
from zlib import crc32

import pytest

from rushweir import interface
from rushweir.outbox import unpack_entries
from rushweir.policy.quota import ADMITTED, ENTRY_FORMAT, SETTLE
from rushweir.state import rendezvous
from rushweir.token_buckets import TokenBucket

SOURCES = {"peers": interface.Sharing(peers=True, messages_per_s=60.0), "counter": interface.Sharing(counter=True)}


def request_through_all(network, seconds: int, per_s: int, **request) -> int:
    """Requests of one customer through all gateways in turn; returns how many were sent."""
    for k in range(seconds * per_s):
        network.request((7 * k) % len(network.gateways), **request)
        network.run(1000.0 / per_s)
    network.run(500.0)
    return network.sent_count()


@pytest.mark.parametrize("source", SOURCES)
def test_customer_within_its_quota_is_served_through_any_gateway(make_network, source):
    network = make_network(60, sharing=SOURCES[source])
    assert request_through_all(network, 20, 2) >= 0.95 * 40  # two per second, of two per second


@pytest.mark.parametrize("source", SOURCES)
def test_customer_at_five_times_its_quota_gets_its_quota(make_network, source):
    network = make_network(60, sharing=SOURCES[source])
    assert 0.75 * 46 <= request_through_all(network, 20, 10) <= 1.1 * 46  # a burst of 6 and two per second


def test_in_flight_limit_counts_attempts_not_gateways(make_network):
    """Own attempts times the gateways that had not reported refused nearly everything."""
    network = make_network(60)
    assert request_through_all(network, 10, 5, plan="open") >= 45


def test_stopped_owner_is_replaced_and_grants_one_burst_at_most_after_its_restart(make_network):
    network = make_network(20)
    request_through_all(network, 5, 10)
    owner = next(k for k, gateway in enumerate(network.gateways) if gateway.policy.quota.owned_buckets)
    network.stopped.add(owner)
    for k in range(100):
        network.request(next(other for other in range(k, k + 20) if other % 20 != owner) % 20)
        network.run(100.0)
    network.restart(owner)
    assert request_through_all(network, 5, 10) <= 6 + 2 * 20.5 + 2 * 6 + 20  # equal shares while nobody answers


def test_counter_that_restarts_empty_grants_one_burst_at_most(make_network):
    network = make_network(20, sharing=SOURCES["counter"])
    request_through_all(network, 5, 10)
    network.counter_totals.clear()
    assert request_through_all(network, 5, 10) <= 6 + 2 * 11 + 6 + 3


def test_ceiling_holds_over_all_gateways(make_network):
    network = make_network(10, sharing=SOURCES["peers"])
    assert request_through_all(network, 5, 100, plan="capped") <= 40 + 20 * 5.5 + 4


def test_customer_with_a_ceiling_within_its_quota_may_use_one_gateway_only(make_network):
    """An equal share of the ceiling admitted a third of a unit per second through that gateway."""
    network = make_network(60, sharing=SOURCES["peers"])
    network.run(1000.0)  # a ceiling begins empty
    for _ in range(50):
        network.request(7, plan="capped")
        network.run(200.0)
    network.run(500.0)
    assert network.sent_count() >= 0.95 * 50


def test_customer_far_over_its_quota_does_not_flood_its_owner(make_network):
    """The granted share was of the questions, and grew as gateways asked less: 60 messages a second overflowed."""
    network = make_network(13, sharing=SOURCES["peers"])
    network.run(1000.0)
    message_counts = []
    for _ in range(8):
        before = len(network.messages)
        request_through_all(network, 1, 100, plan="capped")
        message_counts.append(len(network.messages) - before)
    assert (
        sum(message_counts[3:]) <= 5 * 60
    )  # questions, answers and settlements of 100 requests per second, 10 within the quota
    assert network.sent_count() >= 0.8 * (20 + 10 * 8)


def test_ceiling_holds_while_owners_stop_and_restart(make_network):
    """Every fifth gateway at a time, first owners among them: equal shares, second owners and new ones together."""
    network = make_network(30, sharing=SOURCES["peers"])
    started_at = network.now
    for second in range(12):
        stopped = {k for k in range(30) if k % 5 == second % 5}
        for k in network.stopped - stopped:
            network.restart(k)
        network.stopped |= stopped
        for k in range(40):
            if (7 * k) % 30 not in network.stopped:
                network.request((7 * k) % 30, plan="capped")
            network.run(25.0)
        sent = sum(isinstance(actions[0], interface.Send) for actions in network.decisions.values())
        assert sent <= 40 + 20 * (network.now - started_at) / 1000 + 4
    assert sent >= 3 * 12  # and it is served meanwhile


@pytest.mark.parametrize("units", [0.0, 1e9])
def test_extreme_units_are_decided(make_network, units):
    network = make_network(5)
    network.request(0, units=units)
    network.run(500.0)
    assert network.sent_count() <= 1


def test_gateway_outside_the_customers_range_asks_its_owner(make_network):
    network = make_network(10)
    network.request(9, gateway_count=3, first_gateway=0)
    network.run(500.0)
    assert network.sent_count() == 1


def test_damaged_repeated_and_late_messages_lead_to_no_decision(make_network):
    """An answer for nobody, an unknown plan, a number that was not asked about, a repeated answer."""
    network = make_network(10)
    network.request(3)
    network.run(200.0)
    texts = list(network.messages)
    assert len(texts) == 2  # a question and its answer
    for gateway in network.gateways:
        gateway.now = network.now
        for text in (*texts, *texts, texts[0][:-3], "~" * 40):
            assert all(
                isinstance(action, interface.Tell) for action in gateway.handle(interface.PeerMessage(99, text))
            )
    assert network.sent_count() == 1


def test_unexpected_answers_of_the_counter_are_ignored(make_network):
    network = make_network(2, sharing=SOURCES["counter"])
    assert network.gateways[0].handle(interface.Counted(77, interface.Result.OK, 3.0)) == []
    assert network.gateways[0].handle(interface.Counted(77, interface.Result.TIMEOUT)) == []


def test_counter_timeouts_leave_the_equal_share(make_network):
    network = make_network(10, sharing=SOURCES["counter"])
    network.counter_result = interface.Result.TIMEOUT
    assert 5 <= request_through_all(network, 10, 10) <= 10 + 2 * 10.5 + 6


def test_held_request_whose_client_is_gone_returns_its_units(make_network):
    network = make_network(10)
    gateway = next(k for k in range(10) if network.request(k) not in network.decisions)
    request_id = f"r{network.request_count}"
    network.gateways[gateway].handle(interface.Gone(request_id))
    network.run(300.0)
    assert request_id not in network.decisions
    bucket = only_bucket(network)
    assert bucket.tokens + network.request_count - 1 >= 6.0 - 1e-6


def test_lost_report_of_an_end_counts_as_in_flight_for_a_second_only(make_network):
    """An end released the oldest attempt, so a lost one counted for as long as others came (incident h499d24)."""
    network = make_network(6, 60)
    quota, plan = network.gateways[0].policy.quota, interface.Plan("open", max_in_flight=2)
    assert quota.decide_as_owner(7, plan, 1.0, 0.0, (1, 1))  # its end is never reported
    for k in range(2, 30):
        now = k * 100.0
        admitted = quota.decide_as_owner(7, plan, 1.0, now, (2, k))
        assert admitted
        assert quota.decide_as_owner(7, plan, 1.0, now, (2, k))  # the same question again
        assert quota.decide_as_owner(7, plan, 1.0, now, (3, k)) == (now > 1000.0)
        for gateway in (2, 3):
            quota.owned_buckets[7].settle(0.0, (gateway, k), plan.burst)


def test_end_is_reported_twice_and_counts_once(make_network):
    """One report in seven was lost on a fleet, and its attempt counted for a second more."""
    network = make_network(6, 60)
    network.request((first_owner(network) + 1) % 6, plan="open")
    lost = 0
    for _ in range(200):
        network.run(2.0)
        messages = [event for event in network.events if isinstance(event[2], interface.PeerMessage)]
        ends = [event for event in messages if unpack_entries(ENTRY_FORMAT, event[2].text)[0][0] == SETTLE]
        if ends and not lost:
            network.events.remove(ends[0])
            lost += 1
    assert lost == 1
    bucket = only_bucket(network)
    assert not bucket.in_flight
    bucket.in_flight[1, 1] = network.now
    tokens = bucket.tokens
    for _ in range(2):
        bucket.settle(-1.0, (1, 1), 100.0)
    assert bucket.tokens == tokens + 1.0 and not bucket.in_flight


@pytest.mark.parametrize("refused", [False, True])
def test_late_answer_returns_no_tokens_to_the_ceiling(make_network, refused):
    """Each returned the unit spent on a request already sent: a fleet exceeded three ceilings."""
    network = make_network(13)
    network.run(3000.0)
    owner = first_owner(network)
    gateway = (owner + 1) % 13
    network.stopped |= set(range(13)) - {gateway}
    policy = network.gateways[gateway].policy
    network.request(gateway, plan="capped", first_gateway=0)
    customer = next(iter(policy.quota.customers.values()))
    (pending,) = policy.quota.held_requests.values()
    assert pending.charges_own_ceiling and customer.ceiling_tokens < 2 * 20 / 13
    if refused:
        policy.server_pool.ready_servers = []
    network.run(400.0)  # nobody answers: the equal share decides
    assert bool(pending.attempts) is not refused
    before = customer.ceiling_tokens
    network.gateways[gateway].now = network.now
    pending.owner = owner
    for _ in range(2):
        admit(network.gateways[gateway], pending)
    assert customer.ceiling_tokens == before


def only_bucket(network) -> TokenBucket:
    """The one bucket that any gateway owns."""
    (bucket,) = [bucket for gateway in network.gateways for bucket in gateway.policy.quota.owned_buckets.values()]
    return bucket


def first_owner(network) -> int:
    """The first owner of customer c."""
    return rendezvous(crc32(b"c"), set(range(len(network.gateways))), 1)[0]


def test_attempts_of_a_plan_without_an_in_flight_limit_are_forgotten_too(make_gateway):
    """They were removed only where a limit was checked, and accumulated with the traffic."""
    quota, plan = make_gateway().policy.quota, interface.Plan("rated", rate=1000.0, burst=1000.0)
    for k in range(500):
        assert quota.decide_as_owner(7, plan, 1.0, k * 100.0, (1, k))
    assert len(quota.owned_buckets[7].in_flight) <= 12


def hold_requests(gateway, plan, customer="c", count=1):
    """Requests of a customer with another owner, which are asked about and not decided; returns their ids."""
    ids = []
    for _ in range(count):
        gateway.request_count += 1
        ids.append(f"r{gateway.request_count}")
        request = interface.Request(ids[-1], "look", plan, customer, gateway.now + 3000.0, 1.0, 3, 0)
        assert not [
            action for action in gateway.handle(request) if isinstance(action, interface.Send | interface.Refuse)
        ]
    return ids


def admit(gateway, pending):
    """The owner that was asked admits a request; returns the actions."""
    entry = (ADMITTED, pending.customer.plan_index, pending.customer.key, 500.0, 255, pending.number)
    return gateway.handle(interface.PeerMessage(pending.owner, b85encode(ENTRY_FORMAT.pack(*entry)).decode()))


def customer_owned_elsewhere(gateway, plan="wide"):
    """The name of a customer whose first owner is another gateway."""
    for k in range(99):
        request = interface.Request("x", "look", plan, f"c{k}", 1e9, 1.0, 3, 0)
        if gateway.policy.quota.customer(request, gateway.now).owners[0]:
            return f"c{k}"
    raise AssertionError("this gateway owns all customers")


def test_request_that_waits_for_its_owner_takes_no_capacity(make_gateway):
    gateway = make_gateway(servers=6)
    capacity = gateway.policy.capacity
    customer = customer_owned_elsewhere(gateway)
    capacity.partitions.sizes = [2.0]
    capacity.partitions.used = [0.0]
    capacity.max_credit = 0.0
    capacity.mean_value = 0.0
    ids = hold_requests(gateway, "wide", customer, 6)
    assert sum(capacity.partitions.used) == 0
    actions = [action for request_id in ids for action in admit(gateway, gateway.policy.pending[request_id])]
    answers = [action for action in actions if isinstance(action, interface.Send | interface.Refuse)]
    assert [type(answer) for answer in answers] == [interface.Send] * 2 + [interface.Refuse] * 4
    assert {answer.reason for answer in answers[2:]} == {"room"} and sum(capacity.partitions.used) == 2.0
    # The units of those refused return to the owner, in the next messages that the rate allows.
    gateway.now += 1000.0
    texts = [
        action.text
        for action in [*actions, *gateway.handle(interface.Timer(0))]
        if isinstance(action, interface.Tell)
    ]
    entries = [entry for text in texts for entry in unpack_entries(ENTRY_FORMAT, text)]
    assert [entry[3] for entry in entries if entry[0] == SETTLE] == [-1.0] * 4


@pytest.mark.parametrize(("gateways", "limit", "sent"), [(2, 2, 1), (3, 2, 1), (2, 4, 2)])
def test_gateway_with_an_attempt_of_its_own_to_grant_asks_nobody(make_gateway, gateways, limit, sent):
    plan = interface.Plan("open", max_in_flight=limit)
    gateway = make_gateway(servers=60, plans=(plan,))
    actions = []
    for n in range(4):
        actions += gateway.handle(
            interface.Request(f"q{n}", "look", "open", "c", gateway.now + 3000.0, 1.0, gateways, 0)
        )
    assert not [action for action in actions if isinstance(action, interface.Tell)]
    sends = [action for action in actions if isinstance(action, interface.Send)]
    assert len(sends) == sent
    gateway.end_attempt(sends[0].id, sends[0])
    actions = gateway.handle(interface.Request("again", "look", "open", "c", gateway.now + 3000.0, 1.0, gateways, 0))
    assert any(isinstance(action, interface.Send) for action in actions)


def test_owner_is_asked_where_gateways_outnumber_the_in_flight_limit(make_gateway):
    gateway = make_gateway(servers=60, gateways=9, plans=(interface.Plan("open", max_in_flight=2),))
    requests = [
        interface.Request(f"q{n}", "look", "open", f"c{n}", gateway.now + 3000.0, 1.0, 9, 0) for n in range(9)
    ]
    assert any(isinstance(action, interface.Tell) for request in requests for action in gateway.handle(request))
