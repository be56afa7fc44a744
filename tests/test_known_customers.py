"""The customers that a gateway knows are bounded, and none is forgotten whose quota has not refilled.

Guards against memory that is filled by sound requests of ever new customers (issue 58, picture a).
"""

from __future__ import annotations

import random
from dataclasses import replace

import orjson
import pytest

from rushweir import interface
from rushweir.edge.config import load
from rushweir.edge.setup import setup
from rushweir.pending_requests import PendingRequest
from rushweir.policy import Policy
from rushweir.policy.known_customers import FULL_SWEEP_INTERVAL_MS
from rushweir.policy.quota import Quota
from tests.edge.test_process import OPTIONS

MAX_CUSTOMERS = 200
PLANS = (
    interface.Plan("fast", rate=1000.0, burst=1000.0), interface.Plan("slow", rate=0.1, burst=5.0),
    interface.Plan("ceiling", ceiling_rate=0.1, ceiling_burst=5.0), interface.Plan("at once", max_in_flight=2),
)  # fmt: skip
SETTINGS = interface.Settings(
    gateway=0, gateways=1, zone="a", plans=PLANS,
    classes=(interface.RequestClass("look", 800.0, 3000.0, effect=interface.Effect.SAFE),),
    limits=interface.Limits(retry_after=True, max_retry_after_ms=500.0, max_customers=MAX_CUSTOMERS),
)  # fmt: skip
STARTED = 0.0
NOW = 1_000_000.0  # long after the start: a ceiling has filled by then
LATER = NOW + FULL_SWEEP_INTERVAL_MS


def request(name, plan="fast", now=NOW):
    return interface.Request(f"r-{name}", "look", plan, name, now + 2000.0, 1.0, 1, 0)


@pytest.fixture
def quota():
    return Quota(SETTINGS, random.Random(1), STARTED)


def use(quota, name, plan="fast", now=NOW):
    """Lets a customer use a unit of its quota, in this gateway's buckets and its ceiling, and returns it."""
    customer = quota.customer(request(name, plan, now), now)
    customer.bucket.tokens -= 1.0
    customer.ceiling_tokens -= 1.0
    assert quota.decide_as_owner(customer.key, customer.plan, 1.0, now, (0, customer.key))
    quota.owned_buckets[customer.key].settle(0.0, (0, customer.key), customer.plan.burst)
    return customer


def fill(quota, plan="fast"):
    for number in range(MAX_CUSTOMERS):
        assert use(quota, f"c{number}", plan) is not None


def test_customers_beyond_the_bound_replace_those_whose_quota_has_refilled(quota):
    fill(quota)
    assert quota.customer(request("new"), NOW + 1.0) is not None
    assert len(quota.customers) <= MAX_CUSTOMERS and len(quota.owned_buckets) <= MAX_CUSTOMERS


@pytest.mark.parametrize("plan", ["slow", "ceiling"])
def test_customer_whose_quota_has_not_refilled_is_not_forgotten(quota, plan):
    fill(quota, plan)
    known = dict(quota.customers)
    assert quota.customer(request("new", plan, LATER), LATER) is None and quota.customers == known
    assert quota.customer(request("c0", plan, LATER), LATER) is known[next(iter(known))]


@pytest.mark.parametrize("gateway_count", range(1, 12))
@pytest.mark.parametrize("peers", [False, True])
def test_customer_whose_ceiling_has_refilled_is_forgotten_whatever_its_share(gateway_count, peers):
    """A full share was compared with one that is rounded otherwise, so that some were kept."""
    sharing = interface.Sharing(peers=peers)
    plan = interface.Plan("ceiling", ceiling_rate=10.0, ceiling_burst=43.0)
    settings = replace(SETTINGS, gateways=gateway_count, sharing=sharing, plans=(plan,))
    quota = Quota(settings, random.Random(1), STARTED)
    for number in range(MAX_CUSTOMERS):
        asked = interface.Request("r", "look", "ceiling", f"c{number}", NOW + 2000.0, 1.0, gateway_count, 0)
        quota.customer(asked, NOW).ceiling_tokens -= 1.0
    refilled_at = NOW + 60_000.0
    new = interface.Request("r", "look", "ceiling", "new", refilled_at + 2000.0, 1.0, gateway_count, 0)
    assert quota.customer(new, refilled_at) is not None


def test_customer_with_an_open_attempt_is_not_forgotten(quota):
    fill(quota)
    busy = quota.customers[next(iter(quota.customers))]
    busy.open_attempts = 1
    assert quota.customer(request("new", now=LATER), LATER) is not None and quota.customers[busy.key] is busy


def test_customer_whose_owner_is_being_asked_is_not_forgotten(quota):
    fill(quota)
    asked = quota.customers[next(iter(quota.customers))]
    held = PendingRequest(request("c0"), SETTINGS.classes[0], asked, 0.0, NOW, 1)
    quota.held_requests[1] = held
    assert quota.customer(request("new", now=LATER), LATER) is not None and quota.customers[asked.key] is asked


def test_bucket_with_an_attempt_in_flight_is_not_forgotten(quota):
    fill(quota)
    key = next(iter(quota.owned_buckets))
    quota.owned_buckets[key].in_flight[0, 1] = NOW
    assert quota.decide_as_owner(-1, PLANS[0], 1.0, LATER, (0, 2)) and key in quota.owned_buckets


def test_question_about_one_bucket_too_many_is_not_granted(quota):
    for number in range(MAX_CUSTOMERS):
        assert quota.decide_as_owner(number, PLANS[1], 1.0, NOW, (0, number))
    assert not quota.decide_as_owner(-1, PLANS[1], 1.0, LATER, (0, 0)) and -1 not in quota.owned_buckets
    assert quota.decide_as_owner(0, PLANS[1], 1.0, LATER, (0, -1))


def test_search_for_room_is_not_repeated_for_each_request(quota):
    fill(quota, "slow")
    assert quota.customer(request("new", "slow", LATER), LATER) is None
    for customer in quota.customers.values():
        customer.bucket.tokens, customer.ceiling_tokens = 5.0, 0.0
    assert quota.customer(request("new", "slow", LATER), LATER + 1.0) is None
    again = LATER + FULL_SWEEP_INTERVAL_MS
    assert quota.customer(request("new", "slow", again), again) is not None


def test_request_of_one_customer_too_many_is_refused_with_advice():
    policy = Policy(SETTINGS, 1, NOW)
    policy.start()
    policy.handle(NOW, interface.Members(interface.Scope.FULL, (interface.Server("s-1"),)))
    fill(policy.quota, "slow")
    (refusal,) = policy.handle(LATER, request("new", "slow", LATER))
    assert refusal == interface.Refuse("r-new", FULL_SWEEP_INTERVAL_MS, "too_many_customers")
    actions = policy.handle(LATER, interface.Request("r-2", "look", "slow", "c0", LATER + 2000.0, 1.0, 1, 0))
    assert [type(action) for action in actions if not isinstance(action, interface.SetTimer)] == [interface.Send]


def test_bound_follows_from_the_memory_limit_of_the_process(tmp_path):
    """A gateway whose customers come from its own settings has none."""
    page = {"listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "settings": OPTIONS}
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(page | {"limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}}))
    bound = setup(load({"EDGE_CONFIG": str(path)})).settings.limits.max_customers
    assert 4_000 < bound < 5_000 and interface.Limits().max_customers == 0
