"""Amounts, routes and prices: exact, bounded, and equal to those of a reference implementation."""

from __future__ import annotations

import math
from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.costs import amounts
from rushweir.costs.decisions import CostRules, Rule, Term, TermKind, parse_field, price
from rushweir.costs.routes import MAX_SEGMENTS, RouteError, Routes, http_route, parse_pattern, rpc_route

# --- amounts ----------------------------------------------------------------------------------------


@given(st.decimals(0, 999_999_999, places=3))
def test_amounts_convert_exactly(value: Decimal):
    assert amounts.parse(str(value)) == int(value * 1000)
    assert amounts.parse(amounts.to_text(int(value * 1000))) == int(value * 1000)
    assert abs(amounts.to_units(int(value * 1000)) - float(value)) <= float(value) * 2**-52


@pytest.mark.parametrize("text", ["", "-1", "1.0005", "1e3", "1,5", ".5", "1.", "9999999999", "NaN"])
def test_invalid_amount_is_rejected(text):
    with pytest.raises(ValueError, match="amount"):
        amounts.parse(text)


@pytest.mark.parametrize(
    ("value", "expected"),
    [(2, 2000), (0, 0), (0.0, 0), (1.2345, 1235), (0.0004, 0), (-1, None), (-0.5, None), (math.nan, None),
     (math.inf, None), (10**300, None), (1e300, None), (10**9 + 1, None), (10**9, 10**12), (True, None), ("3", None),
     (None, None), ([1], None)],
)  # fmt: skip
def test_cost_in_an_answer_is_rounded_or_rejected(value, expected):
    assert amounts.actual_cost(value) == expected


# --- routes -----------------------------------------------------------------------------------------


def routes_of(*patterns: str) -> Routes[str]:
    routes: Routes[str] = Routes()
    for text in patterns:
        routes.add(text, text)
    return routes


def test_most_specific_route_wins_in_any_order_of_rules():
    patterns = ["booking", "fleet.{what}", "fleet.**", "fleet.status", "GET /rides/{id}", "GET /rides/new",
                "* /rides/**", "POST /rides/{id}/stops", "GET /{any}/new", "* /"]  # fmt: skip
    for order in (patterns, patterns[::-1]):
        routes = routes_of(*order)
        for route, expected in (
            (rpc_route("booking"), "booking"), (rpc_route("fleet.status"), "fleet.status"),
            (rpc_route("fleet.x"), "fleet.{what}"), (rpc_route("fleet.x.y"), "fleet.**"),
            (rpc_route("fleet"), "fleet.**"),
            (rpc_route("bookings"), None), (http_route("GET", "/rides/new"), "GET /rides/new"),
            (http_route("GET", "/rides/7"), "GET /rides/{id}"), (http_route("PUT", "/rides/7"), "* /rides/**"),
            (http_route("GET", "/rides/7/x"), "* /rides/**"), (http_route("GET", "/cars/new"), "GET /{any}/new"),
            (http_route("GET", "/"), "* /"), (http_route("POST", "/rides/7/stops"), "POST /rides/{id}/stops"),
            (("http", "GET", *["a"] * 100), None), (rpc_route("." * 1000), None),
        ):  # fmt: skip
            assert routes.find(route) == expected, route


@pytest.mark.parametrize(
    "text",
    ["", "a.{b", "a.**.c", "get /x", "GET x", "a b", "GET /a/*/b", "a.*", "GET /{1}", "GET /a{b}",
     "x" + ".x" * MAX_SEGMENTS],
)  # fmt: skip
def test_invalid_pattern_is_rejected(text):
    with pytest.raises(RouteError):
        parse_pattern(text)


def test_pattern_added_twice_is_rejected():
    for equal_patterns in (("a.{x}", "a.{y}"), ("a", "a"), ("a.**", "a.**"), ("GET /{a}", "GET /{b}")):
        with pytest.raises(RouteError, match="twice"):
            routes_of(*equal_patterns)


segments = st.sampled_from(["a", "b", "{x}"])
patterns = st.lists(
    st.tuples(st.lists(segments, min_size=1, max_size=4), st.booleans()).map(
        lambda drawn: ".".join(drawn[0] + ["**"] * drawn[1])
    ),
    max_size=25,
    unique_by=lambda text: text,
)


def matches(text: str, route: tuple[str, ...]) -> tuple | None:
    """Compare segment by segment; returns how specific the match is as a sort key, None if there is none."""
    expected, key = parse_pattern(text), []
    for k, segment in enumerate(expected):
        if segment == "**":
            return (*key, 2)
        if k >= len(route) or (segment != "{x}" and segment != route[k]):
            return None
        key.append(1 if segment == "{x}" else 0)
    return (*key, -1) if len(expected) == len(route) else None


@given(patterns, st.lists(st.sampled_from("abc"), min_size=1, max_size=5))
def test_trie_finds_the_same_rule_as_a_linear_search(texts, method):
    route = rpc_route(".".join(method))
    found = [(key, t) for t in texts if (key := matches(t, route)) is not None]
    assert routes_of(*texts).find(route) == (min(found)[1] if found else None)


# --- prices -----------------------------------------------------------------------------------------

RULE = Rule("booking", 1000, (
    Term(TermKind.SIZE, (), 100), Term(TermKind.ENTRIES, parse_field("trip.stops"), 500),
    Term(TermKind.VALUE, ("people",), 250), Term(TermKind.PRESENT, ("return",), 2000),
), 1200, 20_000)  # fmt: skip


def cost(body) -> int:
    return price(RULE, body).amount


def test_each_term_counts_its_field():
    empty = cost({})
    assert empty == 1200  # the minimum
    plain = Rule("x", 0, RULE.terms[1:])
    assert price(plain, {"trip": {"stops": [1, 2, 3]}}).amount == 1500
    assert price(plain, {"people": 3}).amount == 750 and price(plain, {"people": 2.5}).amount == 625
    assert price(plain, {"return": {}}).amount == 2000
    assert price(plain, {"return": False}).amount == price(plain, {"return": None}).amount == 0
    found = price(plain, {"people": 2, "return": True})
    assert found.additions == (("times people", 2000, 500), ("present return", 1000, 2000))
    assert price(Rule("x", 0, RULE.terms[:1]), {"a": "x" * 2040}).amount == 200
    assert cost({"trip": {"stops": list(range(1000))}}) == 20_000  # the maximum


@pytest.mark.parametrize(
    "body",
    [None, 1, "x", [], {"trip": 1}, {"trip": {"stops": "many"}}, {"trip": {"stops": 10**9}}, {"people": "9"},
     {"people": -5}, {"people": True}, {"people": []}, {"trip": [{"stops": []}]}],
)  # fmt: skip
def test_field_of_another_type_adds_nothing(body):
    assert cost(body) == 1200


def test_number_in_a_body_counts_up_to_the_maximum():
    plain = Rule("x", 0, (Term(TermKind.VALUE, ("n",), 1000),))
    assert price(plain, {"n": 10**18}).amount == price(plain, {"n": 1e300}).amount == 10**6 * 1000


names = st.sampled_from(["trip", "stops", "people", "return", "z"])
plain_values = (
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats(allow_nan=False) | st.text(max_size=5)
)
bodies = st.recursive(
    plain_values, lambda x: st.lists(x, max_size=4) | st.dictionaries(names, x, max_size=4), max_leaves=15
)


@given(bodies)
def test_price_of_any_body_is_the_bounded_sum_of_its_additions(body):
    if "inf" in repr(body):
        return
    found = price(RULE, body)
    assert RULE.minimum <= found.amount <= RULE.maximum
    total = RULE.base + sum(added for _, _, added in found.additions)
    assert found.amount == min(RULE.maximum, max(RULE.minimum, total))


def test_route_without_a_rule_has_the_default_price():
    rules = CostRules(Rule("default", 700), [RULE, Rule("POST /rides/{id}", 900)])
    assert rules.price_rpc("look", {}).amount == 700 and rules.price_rpc("booking", {}).rule is RULE
    assert (
        rules.price_http("POST", "/rides/1", None).amount == 900
        and rules.price_http("GET", "/rides/1", None).amount == 700
    )
