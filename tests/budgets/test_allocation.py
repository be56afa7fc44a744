"""How a whole is divided."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.budgets.allocation import allocate, is_settled, minimum_amount, split_by_weight

DEMANDS = st.dictionaries(st.integers(0, 400), st.integers(0, 50_000), max_size=40)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 100_000), DEMANDS)
def test_parts_add_up_to_the_whole_and_nobody_is_poorer_for_another(whole, demands):
    parts = allocate(whole, demands)
    hungry = [k for k, d in demands.items() if d > 0]
    assert parts.keys() == demands.keys() and all(p >= 0 for p in parts.values())
    assert sum(parts.values()) == (whole if hungry else 0)
    for k in hungry:
        # Max-min: who does not get what it demands gets no less than any other, but for the remainder.
        if parts[k] < demands[k]:
            assert all(parts[k] + 1 >= parts[other] for other in hungry)
    assert all(parts[k] == 0 for k, d in demands.items() if not d)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 100_000), DEMANDS, st.integers(2, 9))
def test_a_weight_is_worth_as_much_in_any_scale(whole, demands, times):
    weights = {k: 1 + k % 3 for k in demands}
    assert allocate(whole, demands, weights) == allocate(whole, demands, {k: w * times for k, w in weights.items()})


def test_a_heavier_weight_gets_more_of_what_is_short():
    assert allocate(900, {1: 1000, 2: 1000, 3: 100}, {1: 3, 2: 1, 3: 1}) == {1: 600, 2: 200, 3: 100}


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 50_000), st.integers(1, 300), st.integers(0, 2**56), st.sampled_from([1, 1000]))
def test_floors_of_all_numbers_are_the_floor_and_no_part_of_a_unit(whole, numbers, budget, unit):
    floors = [minimum_amount(budget, n, numbers, whole, unit) for n in range(numbers)]
    assert sum(floors) == whole // unit * unit and all(f % unit == 0 for f in floors)
    assert max(floors) - min(floors) <= unit


def test_what_is_left_over_of_floors_goes_elsewhere_for_another_budget():
    owners = {tuple(n for n in range(12) if minimum_amount(b, n, 12, 5000, 1000)) for b in range(20)}
    assert all(len(o) == 5 for o in owners) and len(owners) > 10


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 10_000), st.lists(st.integers(0, 9), max_size=12))
def test_a_split_is_exact(whole, weights):
    assert sum(split_by_weight(whole, weights)) == (whole if sum(weights) else 0)


def test_small_changes_move_nothing():
    assert is_settled({1: 100, 2: 200}, {1: 95, 2: 205}) and not is_settled({1: 100}, {1: 100, 2: 5})
    assert not is_settled({1: 100, 2: 200}, {1: 80, 2: 220})
