"""Partners and cost routes in slots: what they take, and that nothing of what is gone stays."""

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
MOST_PARTNER, MOST_ROUTE = 420, 620  # bytes of one, with all that finds it; 16 MB for 16,000 and 9,300 leave 663 each


def took(text: str) -> int:
    """Bytes that the settings of a text keep."""
    load_text(text, "x.conf", Path("."))  # what is made once is made
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


def partners(count: int, word: str = "plan gold") -> str:
    return "".join(
        f"partner partner-{k:05d} {{\n    {word}\n    credential {digest(str(k))}\n}}\n" for k in range(count)
    )


def test_a_partner_and_a_route_take_little():
    base = took(HEAD)
    assert (took(HEAD + partners(1500)) - base) / 1500 < MOST_PARTNER
    routes = "".join(
        f'cost "POST /s{k % 50}/t{k}/{{id}}" {{\n    base 2\n    each trip.stops 0.5\n    most 40\n}}\n'
        for k in range(800)
    )
    assert (took(HEAD + routes) - base) / 800 < MOST_ROUTE


def test_the_measure_sees_a_place_kept_for_each_value(monkeypatch):
    """A planted fault: no two layouts are the same."""
    monkeypatch.setattr("rushweir.config.reading.shared", lambda layout: tuple(map(tuple, map(list, layout))))
    assert (took(HEAD + partners(300)) - took(HEAD)) / 300 > MOST_PARTNER


# --- routes ---------------------------------------------------------------------------------------------

names = st.lists(st.sampled_from(["a", "b", "{x}", "{y}", "**"]), min_size=1, max_size=3).map(".".join)


def nodes(routes: Routes) -> int:
    found, todo = 0, [routes.root]
    while todo:
        node = todo.pop()
        found += 1
        todo += [*node.static.values(), *([node.one] if node.one else [])]
    return found


@settings(max_examples=300)
@given(
    st.lists(st.tuples(st.booleans(), names), max_size=20), st.lists(st.sampled_from("abc"), min_size=1, max_size=3)
)
def test_routes_added_and_removed_are_as_if_the_rest_alone_had_been_added(told, method):
    routes, held = Routes(), {}
    for add, name in told:
        try:
            if add:
                routes.add(name, name)
                held[name] = name
            elif name in held:
                assert routes.remove(name) == held.pop(name)
            else:
                Routes().add(name, name)
                if not any(n.replace("{x}", "{y}") == name.replace("{x}", "{y}") for n in held):
                    assert routes.remove(name) is None
        except RouteError:
            continue
    fresh = Routes()
    for name in held:
        fresh.add(name, name)
    route = rpc_route(".".join(method))
    assert (routes.size, nodes(routes), routes.find(route)) == (len(held), nodes(fresh), fresh.find(route))


# --- slots ----------------------------------------------------------------------------------------------


def test_slots_are_used_again_and_hold_nothing_of_who_had_them():
    held = Credentials({digest("a"): Partner("a", "p", 2, 1)}, ingress_count=4)
    slot = held.slots["a"]
    held.remove("a")
    assert not held.digests and not held.users and held.authenticate("Bearer a") is None and len(held) == 0
    assert held.put("b", "q", bytes.fromhex(digest("b")[7:]), (0, 0)) == slot
    assert (
        held.authenticate("Bearer b") == Partner("b", "q", 4, 0) == held.partner_named("b")
        and held.partner_named("a") is None
    )
    copy = held.copy()
    copy.remove("b")
    assert held.partner_named("b") is not None and dict(held) == {"b": "q"}


def test_groups_know_where_their_objects_stand():
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
def test_rows_of_use_follow_their_partners(told, many):
    usage, plans = Usage(), dict[str, str]()
    if many:
        usage.order = None  # as after a change of many
    for name, plan in told:
        usage.change({name: plan} if plan else {}, [] if plan else [name])
        if plan:
            plans[name] = plan
        else:
            plans.pop(name, None)
        assert {n: usage.row(n)["plan"] for n in usage.index} == plans
        assert [n.casefold() for n in usage.sorted] == sorted(n.casefold() for n in plans)
        assert set(usage.sorted) == set(plans) and all(usage.row(n)["served"] == 0 for n in plans)
    assert len(usage.plans) <= 5


def test_a_row_of_use_that_is_known_keeps_its_counts():
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
