"""Partners and cost routes in slots: their memory, and that removed ones leave nothing behind."""

from __future__ import annotations

import gc
import tracemalloc
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.config import load_text
from rushweir.config.compact import Costs, Partners, Place
from rushweir.costs.routes import RouteError, Routes, rpc_route
from rushweir.fronts.credentials import Credentials, digest
from rushweir.ingress.queries import Partner
from rushweir.watch.usage import Usage

HEAD = "ingress 0 4\nzone a\nlisten 127.0.0.1:0\nlist {\n    url ws://127.0.0.1:7000/l\n}\n"
HEAD += "class c {\n    aim 1s\n    deadline 2s\n}\nplan gold {\n}\n"
# Of one partner or route with its indexes; 16 MB for 16,000 and 9,300 leave 663 bytes each.
MAX_PARTNER_BYTES, MAX_ROUTE_BYTES = 420, 620


def settings_bytes(text: str) -> int:
    """Return the bytes that the settings of a text occupy."""
    load_text(text, "x.conf", Path("."))  # creates what is made once
    gc.collect()
    tracemalloc.start()
    try:
        config = load_text(text, "x.conf", Path("."))
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        assert config.file.partners is not None
        return size
    finally:
        tracemalloc.stop()


def partners(count: int, plan_line: str = "plan gold") -> str:
    return "".join(
        f"partner partner-{k:05d} {{\n    {plan_line}\n    credential {digest(str(k))}\n}}\n" for k in range(count)
    )


def test_memory_per_partner_and_route_is_bounded():
    base = settings_bytes(HEAD)
    assert (settings_bytes(HEAD + partners(1500)) - base) / 1500 < MAX_PARTNER_BYTES
    routes = "".join(
        f'cost "POST /s{k % 50}/t{k}/{{id}}" {{\n    base 2\n    each trip.stops 0.5\n    most 40\n}}\n'
        for k in range(800)
    )
    assert (settings_bytes(HEAD + routes) - base) / 800 < MAX_ROUTE_BYTES


def test_measurement_finds_layouts_that_are_not_shared(monkeypatch):
    """The injected fault shares no layouts."""
    monkeypatch.setattr("rushweir.config.reading.shared", lambda layout: tuple(map(tuple, map(list, layout))))
    assert (settings_bytes(HEAD + partners(300)) - settings_bytes(HEAD)) / 300 > MAX_PARTNER_BYTES


# --- routes ---------------------------------------------------------------------------------------------

NAMES = st.lists(st.sampled_from(["a", "b", "{x}", "{y}", "**"]), min_size=1, max_size=3).map(".".join)


def node_count(routes: Routes) -> int:
    found, todo = 0, [routes.root]
    while todo:
        node = todo.pop()
        found += 1
        todo += [*node.static.values(), *([node.one] if node.one else [])]
    return found


@settings(max_examples=300)
@given(
    st.lists(st.tuples(st.booleans(), NAMES), max_size=20), st.lists(st.sampled_from("abc"), min_size=1, max_size=3)
)
def test_routes_after_removals_equal_those_with_only_the_rest_added(actions, method):
    routes, remaining = Routes(), {}
    for add, name in actions:
        try:
            if add:
                routes.add(name, name)
                remaining[name] = name
            elif name in remaining:
                assert routes.remove(name) == remaining.pop(name)
            else:
                Routes().add(name, name)
                if not any(n.replace("{x}", "{y}") == name.replace("{x}", "{y}") for n in remaining):
                    assert routes.remove(name) is None
        except RouteError:
            continue
    fresh = Routes()
    for name in remaining:
        fresh.add(name, name)
    route = rpc_route(".".join(method))
    assert (routes.size, node_count(routes), routes.find(route)) == (
        len(remaining),
        node_count(fresh),
        fresh.find(route),
    )


# --- slots ----------------------------------------------------------------------------------------------


def test_slots_are_reused_and_hold_nothing_of_removed_partners():
    credentials = Credentials({digest("a"): Partner("a", "p", 2, 1)}, ingress_count=4)
    slot = credentials.slots["a"]
    credentials.remove("a")
    assert (
        not credentials.digests
        and not credentials.users
        and credentials.authenticate("Bearer a") is None
        and len(credentials) == 0
    )
    assert credentials.put("b", "q", bytes.fromhex(digest("b")[7:]), (0, 0)) == slot
    assert (
        credentials.authenticate("Bearer b") == Partner("b", "q", 4, 0) == credentials.partner_named("b")
        and credentials.partner_named("a") is None
    )
    copy = credentials.copy()
    copy.remove("b")
    assert credentials.partner_named("b") is not None and dict(credentials) == {"b": "q"}


def test_groups_return_the_place_of_each_object():
    group = Partners(4)
    group.places.names.append("a.conf")
    layout = (((), 0, 9), (("plan",), 1, 10))
    group.put("a", ("gold", bytes(32), (0, 0)), Place(1, 7, layout))
    assert group.origin("a") == "a.conf:7" and group["a"].credential == "sha256:" + "0" * 64
    place = group.places.place(group.slots["a"])
    assert (group.places.spot(place, ("plan",)).line, group.places.spot(place, ("through",))) == (8, None)
    assert Costs() == {} and list(group) == ["a"]


@settings(max_examples=100)
@given(st.lists(st.tuples(st.sampled_from("abcAB"), st.sampled_from(["p", "q", None])), max_size=30), st.booleans())
def test_usage_rows_follow_the_partners(changes, many):
    usage, plans = Usage(), dict[str, str]()
    if many:
        usage.order = None  # as after a change of many partners
    for name, plan in changes:
        usage.change({name: plan} if plan else {}, [] if plan else [name])
        if plan:
            plans[name] = plan
        else:
            plans.pop(name, None)
        assert {n: usage.row(n)["plan"] for n in usage.index} == plans
        assert [n.casefold() for n in usage.sorted] == sorted(n.casefold() for n in plans)
        assert set(usage.sorted) == set(plans) and all(usage.row(n)["served"] == 0 for n in plans)
    assert len(usage.plans) <= 5


def test_known_usage_row_keeps_its_counts():
    usage = Usage([("a", "p"), ("b", "p")])
    usage.count(0.0, "a", "served", 3.0)
    usage.set_partners([("a", "q"), ("c", "p")])
    assert usage.row("a") == {
        "name": "a",
        "plan": "q",
        "units": 3.0,
        "served": 1,
        "refused": 0,
        "failed": 0,
        "left": 0,
    }
    with pytest.raises(KeyError):
        usage.row("b")
    usage.set_partners([("b", "p")])
    assert (usage.row("b")["served"], len(usage.plans)) == (0, 2)
