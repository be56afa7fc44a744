"""Quota messages: what is asked, what is admitted unasked and reported later, and what a lack of messages changes."""

from __future__ import annotations

from base64 import b85encode
from zlib import crc32

import pytest

from rushweir import interface
from rushweir.outbox import unpack_entries
from rushweir.policy.quota import ADMITTED, ASK, ENTRY_FORMAT, MESSAGE_BURST, REFUSED, SETTLE
from rushweir.state import rendezvous
from rushweir.token_buckets import TokenBucket

PEERS = interface.Sharing(peers=True, messages_per_s=60.0)
BROAD = interface.Plan("broad", rate=40.0, burst=160.0)


def entries(network, *kinds: int) -> list[tuple]:
    """The entries of these kinds in all messages so far."""
    return [entry for text in network.messages for entry in unpack_entries(ENTRY_FORMAT, text) if entry[0] in kinds]


def owner_of(network, customer: str = "c") -> int:
    """The customer's first owner."""
    return rendezvous(crc32(customer.encode()), set(range(len(network.gateways))), 1)[0]


def bucket_of(network, customer: str = "c") -> TokenBucket:
    """The customer's bucket at its first owner."""
    return network.gateways[owner_of(network, customer)].policy.quota.owned_buckets[crc32(customer.encode())]


def other_gateways(network) -> list[int]:
    """All gateways but the first owner of customer c."""
    return [k for k in range(len(network.gateways)) if k != owner_of(network)]


def test_busy_gateway_asks_once_for_as_long_as_a_report_counts(make_network):
    network = make_network(4, sharing=PEERS, plans=(BROAD,))
    gateway = other_gateways(network)[0]
    for _ in range(100):  # ten per second, a quarter of the quota
        network.request(gateway, plan="broad")
        network.run(100.0)
    network.run(200.0)
    assert network.sent_count() == 100
    assert len(entries(network, ASK)) <= 12  # one per second; a question for each request would be a hundred


def test_usage_admitted_unasked_is_reported_with_the_next_question(make_network):
    network = make_network(4, sharing=PEERS, plans=(interface.Plan("broad", rate=4.0, burst=160.0),))
    gateway = other_gateways(network)[0]
    for _ in range(10):
        network.request(gateway, plan="broad")
        network.run(10.0)
    assert network.sent_count() == 10 and len(entries(network, ASK)) == 1
    assert bucket_of(network).tokens == pytest.approx(159.0)
    network.run(1100.0)
    before = bucket_of(network).demand.total(network.now)
    network.request(gateway, plan="broad")
    network.request(gateway, plan="broad")
    network.run(50.0)
    assert [entry[3] for entry in entries(network, SETTLE)] == [
        9.0
    ]  # with the first of two questions that are on their way
    assert len(network.messages) == 6  # the report is in the question's message
    assert bucket_of(network).demand.total(network.now) == pytest.approx(before + 11.0, rel=0.1)
    assert bucket_of(network).tokens == pytest.approx(159.0 - 9.0 + 4.9 - 2.0, abs=0.3)


@pytest.mark.parametrize("gateways", [4, 10, 40])
def test_gateways_without_new_reports_admit_their_equal_shares_and_no_more(make_network, gateways):
    """All have a report of an almost full bucket; then each is flooded before any can report its usage."""
    network = make_network(gateways, sharing=PEERS, plans=(BROAD,))
    for gateway in other_gateways(network):
        network.request(gateway, plan="broad")
        network.run(20.0)
    network.run(100.0)
    first = network.sent_count()
    for gateway in other_gateways(network):
        customer = network.gateways[gateway].policy.quota.customers[crc32(b"c")]
        outbox = network.gateways[gateway].policy.quota.outbox
        outbox.tokens = outbox.burst = 1e9  # it asks for what its last report does not cover
        tokens = min(160.0, customer.reported_tokens + 40.0 * (network.now - customer.reported_at) / 1000)
        for _ in range(200):
            network.request(gateway, plan="broad")
        assert customer.unreported_units == tokens // gateways
    unasked = sum(
        each.policy.quota.customers[crc32(b"c")].unreported_units
        for each in network.gateways
        if each.policy.quota.customers
    )
    assert first == gateways - 1 and 0 < unasked <= 160.0 + 40.0


def test_usage_reported_in_a_lost_message_is_reported_again(make_network):
    network = make_network(4, sharing=PEERS, plans=(BROAD,))
    gateway = other_gateways(network)[0]
    for _ in range(10):
        network.request(gateway, plan="broad")
        network.run(10.0)
    network.run(1100.0)
    network.request(gateway, plan="broad")
    (question,) = [event for event in network.events if isinstance(event[2], interface.PeerMessage)]
    assert unpack_entries(ENTRY_FORMAT, question[2].text)[0][0] == SETTLE
    network.events.remove(question)
    network.run(300.0)
    assert [entry[3] for entry in entries(network, SETTLE)] == [9.0, 9.0]
    assert network.gateways[gateway].policy.quota.customers[crc32(b"c")].unreported_units == 0.0
    assert 9.0 <= bucket_of(network).demand.total(network.now) <= 11.0  # and counted once


def test_without_spare_messages_nobody_is_asked_and_nobody_waits(make_network):
    """Each question whose answer was late was repeated twice; 143 requests per second led to 265 repeats."""
    network = make_network(8, sharing=interface.Sharing(peers=True, messages_per_s=0.001))
    for number in range(200):
        customer = f"c{number}"
        gateway = next(k for k in range(8) if k != owner_of(network, customer))
        network.request(gateway, customer=customer, plan="rated")
        network.run(2.0)
        if number > 150:
            assert f"r{network.request_count}" in network.decisions
    per_gateway = MESSAGE_BURST * 2 / 3 + 1
    assert len(entries(network, ASK)) <= 8 * per_gateway
    network.run(500.0)
    reasons = {action.reason for (action,) in network.decisions.values() if isinstance(action, interface.Refuse)}
    assert reasons <= {"room"}  # since it is each customer's first request
    assert not any(gateway.policy.quota.outbox.waiting for gateway in network.gateways)


def test_where_nobody_can_be_asked_the_granted_share_decides_and_usage_is_reported_later(make_gateway):
    gateway = make_gateway(gateways=9, sharing=interface.Sharing(peers=True, messages_per_s=0.001), plans=(BROAD,))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if rendezvous(crc32(b"c%d" % k), set(range(9)), 1)[0])
    quota.outbox.tokens = 0.0
    request = {"plan": "broad", "customer": name, "gateway_count": 9}
    gateway.request(**request)  # without a report the first is admitted
    customer = quota.customers[crc32(name.encode())]
    customer.apply_report(159.0, 0.25, gateway.now - 31_000.0, customer.owners[0])
    sent = 0
    for _ in range(400):
        gateway.now += 25.0
        request_id, action = gateway.request(**request)
        if isinstance(action, interface.Send):
            sent += 1
            gateway.end_attempt(request_id, action)
    assert 60 <= sent <= 140  # a quarter of 400
    assert customer.unreported_units == sent + 1 and customer.unasked_demand == 400 - sent


def test_second_owners_report_does_not_replace_the_firsts(make_gateway):
    """It knows next to nothing of the customer, and reports a full bucket."""
    gateway = make_gateway(gateways=9, sharing=PEERS, plans=(BROAD,))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if 0 not in rendezvous(crc32(b"c%d" % k), set(range(9)), 2))
    gateway.handle(interface.Request("r", "look", "broad", name, gateway.now + 3000.0, 1.0, 9, 0))
    customer = quota.customers[crc32(name.encode())]

    def report(source: int, tokens: float) -> None:
        text = b85encode(ENTRY_FORMAT.pack(ADMITTED, customer.plan_index, customer.key, tokens, 255, 9)).decode()
        gateway.handle(interface.PeerMessage(source, text))

    first, second = customer.owners
    report(first, 2.0)
    report(second, 159.0)
    assert customer.reported_tokens == 2.0 and customer.reported_by == first
    gateway.now += 4100.0
    report(second, 159.0)
    assert customer.reported_tokens == 159.0  # better than an old report
    actions = gateway.handle(interface.Request("s", "look", "broad", name, gateway.now + 3000.0, 1.0, 9, 0))
    assert not any(isinstance(action, interface.Send) for action in actions)  # but it admits nothing unasked


def test_usage_admitted_unasked_charges_nothing_to_the_owners_share_of_a_ceiling(make_network):
    network = make_network(4, sharing=PEERS)
    network.run(3000.0)
    gateway = other_gateways(network)[0]
    for _ in range(6):
        network.request(gateway, plan="capped")
        network.run(10.0)
    bucket = bucket_of(network)
    before = bucket.ceiling_tokens
    network.gateways[owner_of(network)].handle(
        interface.PeerMessage(gateway, b85encode(ENTRY_FORMAT.pack(SETTLE, 4, crc32(b"c"), 4.0, 0, 0)).decode())
    )
    assert bucket.ceiling_tokens == before


def test_without_a_quota_the_gateways_own_share_of_a_ceiling_decides(make_network):
    ceiling = interface.Plan("ceiling", ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0)
    network = make_network(4, sharing=PEERS, plans=(ceiling,))
    network.run(3000.0)
    for k in range(8):
        network.request(k % 4, plan="ceiling")
    assert network.sent_count() == 8 and not network.messages
    for k in range(200):
        network.request(k % 4, plan="ceiling")
    network.run(500.0)
    assert network.sent_count() <= 40 + 4


def test_without_messages_no_granted_share_applies_to_a_plan_without_a_rate(make_gateway):
    """Where there is no rate an owner grants a share of 0: each request after a report was refused."""
    gateway = make_gateway(gateways=9, sharing=interface.Sharing(peers=True, messages_per_s=0.001))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if rendezvous(crc32(b"c%d" % k), set(range(9)), 1)[0])
    quota.outbox.tokens = 0.0
    for _ in range(5):
        request_id, action = gateway.request(plan="open", customer=name, gateway_count=9)
        assert isinstance(action, interface.Send)
        gateway.end_attempt(request_id, action)
        customer = quota.customers[crc32(name.encode())]
        customer.apply_report(0.0, 0.0, gateway.now, customer.owners[0])
        gateway.now += 100.0
    assert customer.unreported_units == 0.0  # and there is no usage to report


# Guards against an answer to a former process at this address, which asked about another customer by the same number.
@pytest.mark.parametrize("kind", [ADMITTED, REFUSED])
def test_answer_about_another_customer_decides_nothing(make_gateway, kind):
    gateway = make_gateway(gateways=9, sharing=PEERS, plans=(BROAD,))
    quota = gateway.policy.quota
    names = [f"c{k}" for k in range(99) if 0 not in rendezvous(crc32(b"c%d" % k), set(range(9)), 2)][:2]
    for name in names:
        gateway.handle(interface.Request(f"r-{name}", "look", "broad", name, gateway.now + 3000.0, 1.0, 9, 0))
    (number, held), (_, other) = quota.held_requests.items()

    def answer(customer) -> None:
        text = b85encode(ENTRY_FORMAT.pack(kind, customer.plan_index, customer.key, 9.0, 255, number)).decode()
        gateway.handle(interface.PeerMessage(customer.owners[0], text))

    answer(other.customer)
    assert quota.held_requests.get(number) is held
    answer(held.customer)
    assert number not in quota.held_requests
