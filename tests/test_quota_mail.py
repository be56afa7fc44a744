"""Mail of quotas: what is asked, what is let in unasked and told later, and what happens where mail is short."""

from __future__ import annotations

from base64 import b85encode
from zlib import crc32

import pytest

from rushweir import interface as i
from rushweir import state as st
from rushweir.outbox import unpack_entries
from rushweir.policy.quota import ADMITTED, ASK, ENTRY_FORMAT, MESSAGE_BURST, SETTLE
from rushweir.token_buckets import TokenBucket

PEERS = i.Sharing(peers=True, messages_per_s=60.0)
BROAD = i.Plan("broad", rate=40.0, burst=160.0)


def entries(net, *kinds: int) -> list[tuple]:
    return [e for text in net.told for e in unpack_entries(ENTRY_FORMAT, text) if e[0] in kinds]


def keeper_of(net, customer: str = "c") -> int:
    return st.rendezvous(crc32(customer.encode()), set(range(len(net.nodes))), 1)[0]


def store_of(net, customer: str = "c") -> TokenBucket:
    return net.nodes[keeper_of(net, customer)].policy.quota.owned_buckets[crc32(customer.encode())]


def others(net) -> list[int]:
    return [k for k in range(len(net.nodes)) if k != keeper_of(net)]


def test_a_busy_door_asks_once_for_as_long_as_the_word_counts(wire):
    net = wire(4, sharing=PEERS, plans=(BROAD,))
    door = others(net)[0]
    for _ in range(100):  # ten a second, a quarter of the quota
        net.ask(door, plan="broad")
        net.run(100.0)
    net.run(200.0)
    assert net.sent() == 100
    assert len(entries(net, ASK)) <= 12  # one a second; a question for each try were a hundred


def test_what_was_let_in_unasked_is_told_with_the_next_question(wire):
    net = wire(4, sharing=PEERS, plans=(i.Plan("broad", rate=4.0, burst=160.0),))
    door = others(net)[0]
    for _ in range(10):
        net.ask(door, plan="broad")
        net.run(10.0)
    assert net.sent() == 10 and len(entries(net, ASK)) == 1
    assert store_of(net).tokens == pytest.approx(159.0)
    net.run(1100.0)
    before = store_of(net).demand.total(net.now)
    net.ask(door, plan="broad")
    net.ask(door, plan="broad")
    net.run(50.0)
    assert [e[3] for e in entries(net, SETTLE)] == [9.0]  # with the first of two that are under way
    assert len(net.told) == 6  # beside the question, in its datagram
    assert store_of(net).demand.total(net.now) == pytest.approx(before + 11.0, rel=0.1)
    assert store_of(net).tokens == pytest.approx(159.0 - 9.0 + 4.9 - 2.0, abs=0.3)


@pytest.mark.parametrize("doors", [4, 10, 40])
def test_doors_that_hear_nothing_more_let_in_their_even_parts_and_no_more(wire, doors):
    """All have a word of a store that is all but full; then each is flooded before any can tell."""
    net = wire(doors, sharing=PEERS, plans=(BROAD,))
    for door in others(net):
        net.ask(door, plan="broad")
        net.run(20.0)
    net.run(100.0)
    first = net.sent()
    for door in others(net):
        customer = net.nodes[door].policy.quota.customers[crc32(b"c")]
        mail = net.nodes[door].policy.quota.outbox
        mail.tokens = mail.burst = 1e9  # what its word does not leave it, it asks for
        whole = min(160.0, customer.reported_tokens + 40.0 * (net.now - customer.reported_at) / 1000)
        for _ in range(200):
            net.ask(door, plan="broad")
        assert customer.unreported_units == whole // doors
    unasked = sum(
        n.policy.quota.customers[crc32(b"c")].unreported_units for n in net.nodes if n.policy.quota.customers
    )
    assert first == doors - 1 and 0 < unasked <= 160.0 + 40.0


def test_units_told_in_a_lost_message_are_told_again(wire):
    net = wire(4, sharing=PEERS, plans=(BROAD,))
    door = others(net)[0]
    for _ in range(10):
        net.ask(door, plan="broad")
        net.run(10.0)
    net.run(1100.0)
    net.ask(door, plan="broad")
    (question,) = [e for e in net.events if isinstance(e[2], i.PeerMessage)]
    assert unpack_entries(ENTRY_FORMAT, question[2].text)[0][0] == SETTLE
    net.events.remove(question)
    net.run(300.0)
    assert [e[3] for e in entries(net, SETTLE)] == [9.0, 9.0]
    assert net.nodes[door].policy.quota.customers[crc32(b"c")].unreported_units == 0.0
    assert 9.0 <= store_of(net).demand.total(net.now) <= 11.0  # and counted once


def test_without_messages_to_spare_nobody_is_asked_and_nobody_waits(wire):
    """Each question that came too late was asked twice more; of 143 tries a second 265 were repeats."""
    net = wire(8, sharing=i.Sharing(peers=True, messages_per_s=0.001))
    for n in range(200):
        door = next(k for k in range(8) if k != keeper_of(net, f"c{n}"))
        net.ask(door, customer=f"c{n}", plan="rated")
        net.run(2.0)
        if n > 150:
            assert f"r{net.n}" in net.finals
    per_door = MESSAGE_BURST * 2 / 3 + 1
    assert len(entries(net, ASK)) <= 8 * per_door
    net.run(500.0)
    assert {a.reason for (a,) in net.finals.values() if isinstance(a, i.Refuse)} <= {
        "room"
    }  # it's each one's first try
    assert not any(n.policy.quota.outbox.waiting for n in net.nodes)


def test_where_nobody_can_be_asked_the_share_told_decides_and_all_is_told_later(make):
    gateway = make(gateways=9, sharing=i.Sharing(peers=True, messages_per_s=0.001), plans=(BROAD,))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if st.rendezvous(crc32(b"c%d" % k), set(range(9)), 1)[0])
    quota.outbox.tokens = 0.0
    ask = {"plan": "broad", "customer": name, "gateway_count": 9}
    gateway.ask(**ask)  # unheard: the first passes
    customer = quota.customers[crc32(name.encode())]
    customer.apply_report(159.0, 0.25, gateway.now - 31_000.0, customer.owners[0])
    sent = 0
    for _ in range(400):
        gateway.now += 25.0
        rid, action = gateway.ask(**ask)
        if isinstance(action, i.Send):
            sent += 1
            gateway.end(rid, action)
    assert 60 <= sent <= 140  # a quarter of 400
    assert customer.unreported_units == sent + 1 and customer.unasked_demand == 400 - sent


def test_a_second_keepers_word_does_not_stand_for_the_firsts(make):
    """It knows next to nothing of the customer, and says that its store is full."""
    gateway = make(gateways=9, sharing=PEERS, plans=(BROAD,))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if 0 not in st.rendezvous(crc32(b"c%d" % k), set(range(9)), 2))
    gateway.do(i.Request("r", "look", "broad", name, gateway.now + 3000.0, 1.0, 9, 0))
    customer = quota.customers[crc32(name.encode())]

    def word(source: int, level: float) -> None:
        text = b85encode(ENTRY_FORMAT.pack(ADMITTED, customer.plan_index, customer.key, level, 255, 9)).decode()
        gateway.do(i.PeerMessage(source, text))

    first, second = customer.owners
    word(first, 2.0)
    word(second, 159.0)
    assert customer.reported_tokens == 2.0 and customer.reported_by == first
    gateway.now += 4100.0
    word(second, 159.0)
    assert customer.reported_tokens == 159.0  # better than nothing
    told = gateway.do(i.Request("s", "look", "broad", name, gateway.now + 3000.0, 1.0, 9, 0))
    assert not any(isinstance(a, i.Send) for a in told)  # but nothing is let in on it unasked


def test_what_was_let_in_unasked_takes_nothing_from_the_keepers_part_of_a_ceiling(wire):
    net = wire(4, sharing=PEERS)
    net.run(3000.0)
    door = others(net)[0]
    for _ in range(6):
        net.ask(door, plan="capped")
        net.run(10.0)
    store = store_of(net)
    before = store.ceiling_tokens
    net.nodes[keeper_of(net)].do(
        i.PeerMessage(door, b85encode(ENTRY_FORMAT.pack(SETTLE, 4, crc32(b"c"), 4.0, 0, 0)).decode())
    )
    assert store.ceiling_tokens == before


def test_without_a_quota_the_own_part_of_a_ceiling_is_enough(wire):
    ceiling = i.Plan("ceiling", ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0)
    net = wire(4, sharing=PEERS, plans=(ceiling,))
    net.run(3000.0)
    for k in range(8):
        net.ask(k % 4, plan="ceiling")
    assert net.sent() == 8 and not net.told
    for k in range(200):
        net.ask(k % 4, plan="ceiling")
    net.run(500.0)
    assert net.sent() <= 40 + 4


def test_without_mail_a_plan_without_a_rate_is_not_held_to_a_share(make):
    """A keeper tells a share of nothing where there is no rate: each try after a word was refused."""
    gateway = make(gateways=9, sharing=i.Sharing(peers=True, messages_per_s=0.001))
    quota = gateway.policy.quota
    name = next(f"c{k}" for k in range(99) if st.rendezvous(crc32(b"c%d" % k), set(range(9)), 1)[0])
    quota.outbox.tokens = 0.0
    for _ in range(5):
        rid, action = gateway.ask(plan="open", customer=name, gateway_count=9)
        assert isinstance(action, i.Send)
        gateway.end(rid, action)
        customer = quota.customers[crc32(name.encode())]
        customer.apply_report(0.0, 0.0, gateway.now, customer.owners[0])
        gateway.now += 100.0
    assert customer.unreported_units == 0.0  # nor is anything to be told
