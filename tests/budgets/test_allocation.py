"""How a total is divided."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.budgets.allocation import allocate, is_settled, minimum_amount, split_by_weight

DEMANDS = st.dictionaries(st.integers(0, 400), st.integers(0, 50_000), max_size=40)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 100_000), DEMANDS)
def test_allocation_adds_up_and_is_max_min_fair(total, demands):
    amounts = allocate(total, demands)
    demanding = [k for k, demand in demands.items() if demand > 0]
    assert amounts.keys() == demands.keys() and all(amount >= 0 for amount in amounts.values())
    assert sum(amounts.values()) == (total if demanding else 0)
    for k in demanding:
        # Max-min: a key below its demand gets no less than any other, except for the remainder.
        if amounts[k] < demands[k]:
            assert all(amounts[k] + 1 >= amounts[other] for other in demanding)
    assert all(amounts[k] == 0 for k, demand in demands.items() if not demand)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 100_000), DEMANDS, st.integers(2, 9))
def test_scaling_all_weights_changes_nothing(total, demands, factor):
    weights = {k: 1 + k % 3 for k in demands}
    assert allocate(total, demands, weights) == allocate(total, demands, {k: w * factor for k, w in weights.items()})


def test_higher_weight_gets_more_of_scarce_total():
    assert allocate(900, {1: 1000, 2: 1000, 3: 100}, {1: 3, 2: 1, 3: 1}) == {1: 600, 2: 200, 3: 100}


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 50_000), st.integers(1, 300), st.integers(0, 2**56), st.sampled_from([1, 1000]))
def test_minimum_amounts_add_up_in_whole_units(total, positions, budget, unit):
    amounts = [minimum_amount(budget, n, positions, total, unit) for n in range(positions)]
    assert sum(amounts) == total // unit * unit and all(amount % unit == 0 for amount in amounts)
    assert max(amounts) - min(amounts) <= unit


def test_remaining_units_of_minimum_shares_differ_by_budget():
    owners = {tuple(n for n in range(12) if minimum_amount(b, n, 12, 5000, 1000)) for b in range(20)}
    assert all(len(positions) == 5 for positions in owners) and len(owners) > 10


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 10_000), st.lists(st.integers(0, 9), max_size=12))
def test_split_by_weight_is_exact(total, weights):
    assert sum(split_by_weight(total, weights)) == (total if sum(weights) else 0)


def test_small_changes_keep_allocation():
    assert is_settled({1: 100, 2: 200}, {1: 95, 2: 205}) and not is_settled({1: 100}, {1: 100, 2: 5})
    assert not is_settled({1: 100, 2: 200}, {1: 80, 2: 220})
