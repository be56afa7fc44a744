"""The ownership state of a budget, with holders whose messages are lost, duplicated and delayed."""

from __future__ import annotations

import random

import pytest

from rushweir.budgets.budget_owner import BudgetOwner
from rushweir.budgets.records import NO_SHARE, UNIT, BudgetTotal, Share
from rushweir.fleet.drift import max_under_drift, min_under_drift

TOTAL, LEASE_MS = BudgetTotal.from_units(30, 40, 0.0), 2_000.0
LEASABLE = Share(20_000, 26_667)  # of it; the owner retains a third


class Holder:
    """A lease holder: it accepts later grants only, and its lease counts from its request."""

    def __init__(self, id_: int) -> None:
        self.id, self.serial, self.applied_serial = id_, 0, 0
        self.part, self.until, self.asked = NO_SHARE, 0.0, dict[int, float]()

    def ask(self, now: float) -> tuple[int, int]:
        self.serial += 1
        self.asked[self.serial] = now
        return self.serial, self.applied_serial

    def answer(self, now: float, serial: int, share: Share) -> None:
        until = self.asked[serial] + min_under_drift(LEASE_MS)
        if serial > self.applied_serial and until > now:
            self.part, self.until, self.applied_serial = share, until, serial

    def may(self, now: float) -> Share:
        return self.part if now < self.until else NO_SHARE


@pytest.mark.parametrize("seed", range(30))
def test_leases_stay_within_total_under_loss_duplication_and_delay(seed):
    rng = random.Random(seed)
    owner, holders = BudgetOwner(0.0, LEASE_MS, 0.0), [Holder(k) for k in range(1, 8)]
    in_flight: list[tuple[float, int, tuple]] = []
    most = 0
    for step in range(3000):
        now = step * 10.0
        for at, k, what in sorted(in_flight):
            if at > now:
                break
            in_flight.remove((at, k, what))
            h = holders[k]
            if what[0] == "ask":
                _, serial, used_serial, demand = what
                answer = owner.request(now, h.id, serial, used_serial, demand, TOTAL)
                if answer is not None:
                    for _ in range(rng.choice((0, 1, 1, 1, 2))):
                        in_flight.append((now + rng.choice((5, 30, 900)), k, ("grant", serial, answer[0])))
            else:
                h.answer(now, what[1], what[2])
        k = rng.randrange(len(holders))
        if rng.random() < 0.2:
            serial, used_serial = holders[k].ask(now)
            demand = rng.choice((0, 500, 5_000, 50_000))
            for _ in range(rng.choice((0, 1, 1, 2))):
                in_flight.append((now + rng.choice((3, 20, 700)), k, ("ask", serial, used_serial, demand)))
        shares = [h.may(now) for h in holders]
        rate, burst = sum(share.rate for share in shares), sum(share.burst for share in shares)
        assert rate <= LEASABLE.rate and burst <= LEASABLE.burst, (step, rate, burst)
        most = max(most, rate)
    assert most > 0.8 * LEASABLE.rate  # it was leased


def test_new_owner_grants_nothing_before_its_time():
    owner = BudgetOwner(0.0, LEASE_MS, 5_000.0)
    assert owner.request(4_999.0, 1, 1, 0, 9_000, TOTAL) is None
    share, added_tokens = owner.request(5_000.0, 1, 2, 0, 9_000, TOTAL)
    assert share.rate == LEASABLE.rate and owner.retained == Share(10_000, 13_333) and added_tokens == 0


def test_leased_rate_is_free_once_expired_or_replaced():
    owner = BudgetOwner(0.0, LEASE_MS, 0.0)
    assert owner.request(0.0, 1, 1, 0, 50_000, TOTAL)[0].rate == LEASABLE.rate
    assert owner.request(10.0, 2, 1, 0, 50_000, TOTAL)[0] == NO_SHARE
    smaller, _ = owner.request(500.0, 1, 2, 1, 50_000, TOTAL)
    assert smaller.rate == LEASABLE.rate // 2
    assert owner.request(510.0, 2, 2, 0, 50_000, TOTAL)[0] == NO_SHARE  # it may not have the answer yet
    owner.request(520.0, 1, 3, 2, 50_000, TOTAL)  # it uses the smaller one
    assert owner.request(530.0, 2, 3, 0, 50_000, TOTAL)[0].rate == LEASABLE.rate // 2
    end = 530.0 + max_under_drift(LEASE_MS)
    owner.advance(end + 1)
    assert owner.request(end + 1, 3, 1, 0, 50_000, TOTAL)[0].rate == LEASABLE.rate


def test_duplicate_and_outdated_requests_change_nothing():
    owner = BudgetOwner(0.0, LEASE_MS, 0.0)
    owner.request(0.0, 1, 5, 0, 1_000, TOTAL)
    assert owner.request(1.0, 1, 5, 0, 1_000, TOTAL) is None and owner.request(2.0, 1, 4, 0, 1_000, TOTAL) is None


def test_reserve_tokens_go_once_and_only_to_buckets_with_capacity():
    owner = BudgetOwner(0.0, LEASE_MS, 0.0)
    for n in range(1, 5):  # until each uses its last share, and all of the rate is leased
        owner.request(n * 1.0, 1, n, n - 1, 5_000, TOTAL, 100)
        owner.request(n * 1.0, 2, n, n - 1, 90_000, TOTAL)
    before = owner.reserve
    # It reports what overflowed, and has no capacity.
    assert owner.request(10.0, 1, 5, 4, 5_000, TOTAL, 3 * UNIT + 100, 0)[1] == 0
    assert before + 3 * UNIT <= owner.reserve <= before + 3 * UNIT + 1
    _, first = owner.request(11.0, 2, 5, 4, 90_000, TOTAL, 0, 9 * UNIT)
    _, second = owner.request(12.0, 2, 6, 5, 90_000, TOTAL, 0, 8 * UNIT)
    assert UNIT < first <= 2 * UNIT and second < first
    assert owner.request(13.0, 1, 6, 5, 5_000, TOTAL, 3 * UNIT + 100)[1] == 0
    assert owner.reserve <= 3 * UNIT - first - second + before + 1  # the same sum reported again adds nothing


def test_smallest_reported_total_applies():
    owner, half = BudgetOwner(0.0, LEASE_MS, 0.0), BudgetTotal.from_units(15, 20, 0.0)
    owner.request(0.0, 1, 1, 0, 50_000, half)
    assert owner.request(1.0, 2, 1, 0, 50_000, TOTAL)[0].rate == 0
    owner.request(400.0, 1, 2, 1, 50_000, half)
    owner.request(410.0, 1, 3, 2, 50_000, half)
    assert owner.request(420.0, 2, 2, 0, 50_000, TOTAL)[0].rate <= LEASABLE.rate // 4
    assert owner.leasable.rate + owner.retained.rate == half.rate


def test_state_handed_off_twice_keeps_leases_without_requests_between():
    """Guards against grants that were handed off under serial 0 and dropped at the next request (simulated day
    503)."""
    first, second, third = (
        BudgetOwner(0.0, LEASE_MS, 0.0),
        BudgetOwner(0.0, LEASE_MS, 9e9),
        BudgetOwner(0.0, LEASE_MS, 9e9),
    )
    first.request(0.0, 1, 7, 0, 50_000, TOTAL)
    second.restore(10.0, first.ownership_state(10.0))
    third.restore(20.0, second.ownership_state(20.0))
    third.request(30.0, 1, 8, 7, 1_000, TOTAL)
    assert third.request(40.0, 2, 1, 0, 50_000, TOTAL)[0] == NO_SHARE


def test_handed_off_leases_count_until_they_expire():
    old = BudgetOwner(0.0, LEASE_MS, 0.0)
    old.request(0.0, 1, 7, 0, 50_000, TOTAL)
    new = BudgetOwner(100.0, LEASE_MS, 9e9)
    new.restore(120.0, old.ownership_state(100.0))
    assert new.request(130.0, 2, 1, 0, 50_000, TOTAL)[0] == NO_SHARE
    share, _ = new.request(140.0, 1, 8, 7, 50_000, TOTAL)
    assert 0 < share.rate <= LEASABLE.rate // 2 + 1
    assert (
        new.request(120.0 + max_under_drift(max_under_drift(LEASE_MS)) + 20, 2, 2, 0, 50_000, TOTAL)[0].rate
        >= LEASABLE.rate // 2
    )
