"""What all ingresses spend together while they act on different versions, by real policies with their mail."""

from __future__ import annotations

import heapq
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import Policy
from rushweir import interface as i
from rushweir.config import live, load_text
from rushweir.config.objects import objects
from rushweir.fronts.credentials import digest
from rushweir.ingress.core import Core
from rushweir.rollout import ceilings
from rushweir.rollout.ceilings import (
    BLOCKED,
    MAX_PLANS,
    InterimPlan,
    IntermediateVersions,
    PlanSlots,
    SlotError,
    gateway_group_size,
    owned_share,
    plans_by_slot,
)
from rushweir.rollout.change_sets import Change

COUNT, STEP_MS, MAIL_MS = 4, 20.0, 7.0
BASE = "ingress {me} {count}\nzone a\nlisten 127.0.0.1:0\nlist {{\n    url ws://127.0.0.1:7000/l\n}}\n"
BASE += "class c {{\n    aim 1s\n    deadline 2s\n}}\nlimits {{\n    retry-after 1ms\n}}\n"


def plan(rate: float, burst: float, slot: int | None = None, quota: int = 5000) -> bytes:
    text = f"rate {quota}/s\nburst {quota}\n" if quota else ""
    text += f"ceiling-rate {rate:g}/s\nceiling-burst {burst:g}\n" if rate else ""
    return (text + (f"slot {slot}\n" if slot is not None else "")).encode()


def partner(name: str, plan: str, first: int = 0, count: int = 0) -> Change:
    through = f"through {first} {count}\n" if count else ""
    return Change(("partner", name), f"plan {plan}\ncredential {digest(name)}\n{through}".encode())


class Gateway:
    """One ingress: its settings, and the policy that acts on them."""

    def __init__(self, world: World, me: int, first: list[Change]) -> None:
        self.world, self.me, self.version = world, me, 0
        self.config = load_text(BASE.format(me=me, count=COUNT) + "".join(map(block, first)), "x", Path("."))
        setup = self.make(self.config)
        self.core = Core(setup, Policy(setup.settings, me, 0.0), 0.0)
        self.policy = self.core.engine.policy
        self.act(self.policy.handle(0.0, i.Members(i.Scope.FULL, (i.Server("n:1"), i.Server("n:2")))))

    def make(self, config):
        """Peers, as their key would make them; without a file of it."""
        made = config.setup()
        peers = i.Sharing(peers=True, messages_per_s=1e6, largest_request=10.0)
        return replace(made, settings=replace(made.settings, sharing=peers))

    def take(self, new, deltas, now: float) -> None:
        prepared = live.prepare(self.config, new, deltas, self.make, self.core.setup)
        live.apply(self.core, prepared, now)
        self.config = prepared.config

    def step(self, changes: list[Change], version: int, now: float) -> None:
        self.take(*live.told(self.config, changes, version), now)
        self.version = version

    def settled(self, version: int, now: float) -> None:
        self.take(*live.settled(self.config, version), now)

    def ask(self, name: str, now: float) -> None:
        p = self.core.setup.credentials.partner_named(name)
        if p is not None:
            self.world.serial += 1
            rid = f"{self.me}-{self.world.serial}"
            self.world.whose[rid] = name
            self.policy.capacity.finished.add(1e4, now)
            self.act(
                self.policy.handle(
                    now, i.Request(rid, "c", p.plan, name, now + 2000, 1.0, p.gateway_count, p.first_gateway)
                )
            )

    def act(self, actions: list[i.Action]) -> None:
        w = self.world
        for a in actions:
            if isinstance(a, i.Send):
                w.spent.setdefault(w.whose[a.id], []).append(w.now)
                w.later(0.0, lambda a=a: self.act(self.policy.handle(w.now, done(a))))
            elif isinstance(a, i.Tell):
                for to in range(COUNT) if a.to is None else (a.to,):
                    w.later(MAIL_MS, lambda to=to, a=a: w.gateways[to].hear(self.me, a.text))
            elif isinstance(a, i.SetTimer):
                w.later(a.after_ms, lambda a=a: self.act(self.policy.handle(w.now, i.Timer(a.ref))))

    def hear(self, source: int, text: str) -> None:
        self.act(self.policy.handle(self.world.now, i.PeerMessage(source, text)))


def done(a: i.Send) -> i.Outcome:
    return i.Outcome(a.id, 0, a.server, i.Result.OK, 5.0, True)


def block(c: Change) -> str:
    return f"{c.key[0]} {c.key[1]} {{\n{c.data.decode()}}}\n"


class World:
    """Gateways with mail between them; ``spent``: when each customer's units went out, wherever."""

    def __init__(self, first: list[Change]) -> None:
        self.now, self.serial, self.queue, self.order = 0.0, 0, [], 0
        self.spent: dict[str, list[float]] = {}
        self.whose: dict[str, str] = {}
        self.gateways: list[Gateway] = []
        for me in range(COUNT):
            self.gateways.append(Gateway(self, me, first))
        for g in self.gateways:
            self.later(0.0, lambda g=g: g.act(g.policy.start()))

    def later(self, after: float, what) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + after, self.order, what))

    def run(self, ms: float, asks: dict[str, list[int]], each: int = 6) -> None:
        """So long, with as many requests at each of some ingresses as can be spent there."""
        end = self.now + ms
        while self.now < end:
            due = self.now + STEP_MS
            while self.queue and self.queue[0][0] <= due:
                self.now, _, what = heapq.heappop(self.queue)
                what()
            self.now = due
            for name, where in asks.items():
                for k in where:
                    for _ in range(each):
                        self.gateways[k].ask(name, due)


def over(times: list[float], rate: float, burst: float, since: float = 0.0) -> float:
    """By how many units the worst stretch of time after ``since`` has more than a bucket of these figures gives."""
    worst, low = 0.0, 0.0
    for n, t in enumerate(x for x in times if x > since):
        low = min(low, n - rate * t / 1000)
        worst = max(worst, n + 1 - rate * t / 1000 - low - burst)
    return worst


OLD = [Change(("plan", "big"), plan(400, 90, 0)), Change(("plan", "tin"), plan(20, 10, 1)), partner("a", "tin")]


def play(first, steps, order, names, doors) -> World:
    """Each step reaches the gateways in an order, some time apart; then all know that all act on it. ``doors``: where
    the clients of each come, by the version that the ingress acts on."""
    w = World(first)

    def run(ms: float) -> None:
        w.run(ms, {n: [g.me for g in w.gateways if gateway_group_size(doors(n, g), g.me, COUNT)] for n in names})

    run(600.0)
    for version, step in enumerate(steps, 1):
        for k in order:
            w.gateways[k].step(step, version, w.now)
            run(240.0)
        for k in order[1:] + order[:1]:
            w.gateways[k].settled(version, w.now)
            run(120.0)
    w.settled = w.now
    run(1200.0)
    return w


def by_record(name: str, g: Gateway) -> tuple[int, int]:
    """Clients come where the settings of an ingress let them."""
    held = g.config.file.partners.held
    return held.gateways[held.slots[name]] if name in held.slots else (0, 0)


orders = st.permutations(range(COUNT)).map(list)
figures = st.sampled_from([(20, 10), (60, 10), (10, 40), (40, 40)])


@settings(max_examples=8, deadline=None, derandomize=True)
@given(figures, figures, orders)
def test_a_plan_with_other_figures(old, new, order):
    """Up and down: within the larger meanwhile, and within the new once all act on it."""
    first = [Change(("plan", "tin"), plan(*old, 1)), partner("a", "tin")]
    w = play(first, [[Change(("plan", "tin"), plan(*new, 1))]], order, "a", by_record)
    assert over(w.spent["a"], max(old[0], new[0]), max(old[1], new[1])) <= 1
    assert over(w.spent["a"], *new, since=w.settled) <= 1
    assert len([t for t in w.spent["a"] if t > w.settled]) >= 0.5 * new[0]  # and it is not shut


@settings(max_examples=8, deadline=None, derandomize=True)
@given(figures, figures, orders)
def test_a_partner_that_moves_to_another_plan(old, new, order):
    first = [Change(("plan", "one"), plan(*old, 5)), Change(("plan", "two"), plan(*new, 2)), partner("a", "one")]
    w = play(first, [[partner("a", "two")]], order, "a", by_record)
    assert over(w.spent["a"], max(old[0], new[0]), max(old[1], new[1])) <= 1
    assert over(w.spent["a"], *new, since=w.settled) <= 1
    assert len([t for t in w.spent["a"] if t > w.settled]) >= 0.5 * new[0]


WAYS = [(0, 0), (0, 1), (1, 1), (0, 2), (2, 2), (1, 3), (3, 2)]


@settings(max_examples=16, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(WAYS), min_size=2, max_size=3), orders)
def test_a_partner_with_other_doors(ways, order):
    """Old doors that are not told yet spend beside new ones: never more than one whole."""
    first = [Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", *ways[0])]
    w = play(first, [[partner("a", "tin", *x)] for x in ways[1:]], order, "a", by_record)
    assert over(w.spent["a"], 40, 20) <= 1
    assert len([t for t in w.spent["a"] if t > w.settled]) >= 20
    assert not any(g.config.ways or g.config.made for g in w.gateways)


NEW_PLANS = [
    [Change(("plan", "big"), None)],  # the next has its place in the order
    [Change(("plan", "new"), plan(20, 10, 2)), partner("a", "new")],
    [Change(("plan", "new"), plan(20, 10, 2)), partner("b", "new")],
    [Change(("plan", "big"), None), Change(("plan", "new"), plan(400, 90, 2)), partner("b", "new")],
]


def customers(step, order) -> dict[str, float]:
    """By how much each spends more than the larger of what it had and has."""
    w = play(OLD, [step], order, "ab", by_record)
    most = {"a": (20, 10), "b": (400, 90) if step is NEW_PLANS[3] else (20, 10)}
    return {n: over(w.spent.get(n, []), *most[n]) for n in "ab"}


@settings(max_examples=8, deadline=None, derandomize=True)
@given(st.sampled_from(NEW_PLANS), orders)
def test_plans_that_come_and_go_beside_others(step, order):
    """A number means the same plan at all, or nothing: new partners, new plans, one dropped ahead of another."""
    assert max(customers(step, order).values()) <= 1


def test_it_is_found_that_plans_are_numbered_by_their_order(monkeypatch):
    """A planted fault: as a reload numbers them where plans have no slots."""
    monkeypatch.setattr(live.Config, "plans", lambda self, was=live.Config.plans: [(None, p) for _, p in was(self)])
    found = [
        customers(NEW_PLANS[0], order)["a"] for order in ([0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1])
    ]
    assert max(found) > 5


def test_it_is_found_that_new_doors_open_at_once(monkeypatch):
    """A planted fault: nothing in between."""
    monkeypatch.setattr(live, "interim_plans", lambda *a: ({}, []))
    first = [Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", 0, 2)]
    w = play(first, [[partner("a", "tin", 2, 2)]], [2, 3, 0, 1], "a", by_record)
    assert over(w.spent["a"], 40, 20) > 10


def test_an_ingress_that_is_cut_off_holds_the_whole_back_and_a_late_word_frees_it():
    first = [Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", 0, 2)]
    w = World(first)
    for k in (1, 2, 3):
        w.gateways[k].step([partner("a", "tin", 1, 2)], 1, w.now)
    w.run(1000.0, {"a": [0, 1, 2]})
    # The old door 0 goes on with its part and the keeper's; 1 has what it owns of both, 2 nothing yet.
    assert over(w.spent["a"], 40, 20) <= 1
    assert w.gateways[2].config.ways["a"].plan == BLOCKED and w.gateways[1].config.ways["a"].plan.startswith(BLOCKED)
    assert w.gateways[1].core.setup.credentials.partner_named("a").gateway_count == 1
    w.gateways[0].step([partner("a", "tin", 1, 2)], 1, w.now)
    for g in w.gateways:
        g.settled(1, w.now)
        assert g.core.setup.credentials.partner_named("a").plan == "tin"


# --- the decisions alone --------------------------------------------------------------------------------


def test_slots_stay_with_their_plans_and_are_given_again_late():
    slots = PlanSlots()
    assert [slots.allot(f"p{k}", 0, 0.0) for k in range(MAX_PLANS)] == list(range(MAX_PLANS))
    assert slots.allot("p3", 0, 0.0) == 3
    slots.drop("p3", 8)
    slots.drop("p9", 7)
    for everywhere, since in ((6, 1e9), (7, 89_999.0)):
        with pytest.raises(SlotError, match="248 plans at once"):
            slots.allot("new", everywhere, since)
    assert slots.allot("p3", 0, 0.0) == 3  # the same plan comes back to its own
    assert slots.allot("new", 9, 90_000.0) == 9 and slots.names[9] == "new"
    with pytest.raises(SlotError):
        slots.allot("more", 9, 90_000.0)


@given(st.lists(st.sampled_from(WAYS), min_size=1, max_size=3), st.sampled_from((0.25, 2 / 3, 1.0)))
def test_what_doors_own_in_between_is_no_more_than_of_any_way(ways, owned):
    parts = [owned_share(ways, me, COUNT, owned) for me in range(COUNT)]
    for way in ways:
        own = [
            owned / gateway_group_size(way, me, COUNT) if gateway_group_size(way, me, COUNT) else 0.0
            for me in range(COUNT)
        ]
        assert all(p <= o + 1e-12 for p, o in zip(parts, own, strict=True)) and sum(own) <= owned + 1e-9


def test_plans_stand_at_their_slots_and_the_rest_is_closed():
    a, b = i.Plan("a", price=1.0), i.Plan("b", price=4.0)
    found = plans_by_slot([(7, a), (2, b)], [i.Plan("l")])
    assert len(found) == 256 and (found[7], found[2], found[MAX_PLANS].name) == (a, b, "l")
    assert {p.name for k, p in enumerate(found) if k not in (2, 7, MAX_PLANS)} == {BLOCKED}
    assert found[0].price == 2.5 and plans_by_slot([(None, a), (None, b)]) == (a, b)


def test_a_closed_plan_grants_nothing():
    cls = i.RequestClass("c", 1000.0, 2000.0)
    shut = i.Settings(
        0, 1, "a", (cls,), plans_by_slot([(3, i.Plan("a", rate=9.0, burst=9.0))]), sharing=i.Sharing(peers=True)
    )
    policy = Policy(shut, 1, 0.0)
    policy.handle(0.0, i.Members(i.Scope.FULL, (i.Server("n:1"),)))
    for units in (0.0, 1e-9, 1.0):
        assert isinstance(policy.handle(5000.0, i.Request(str(units), "c", BLOCKED, "x", 9000.0, units))[0], i.Refuse)
        assert not policy.quota.decide_as_owner(77, shut.plans[200], units, 5000.0, (1, 1), 1)
    assert isinstance(policy.handle(5000.0, i.Request("y", "c", "a", "y", 9000.0))[0], i.Send)


def test_between_is_kept_and_read_again_and_is_bounded():
    b = IntermediateVersions().with_changes(3, {"a": (0, 1)}).with_changes(5, {"a": (1, 1), "b": (0, 0)})
    assert b.customers == {"a": (5, ((0, 1), (1, 1))), "b": (5, ((0, 0),))}
    assert IntermediateVersions.load(b.dump()) == b and b.with_minimum_version(4).customers == b.customers
    assert (
        b.with_minimum_version(5).customers == {}
        and b.with_minimum_version(5).with_changes(5, {"c": (0, 0)}).customers == {}
    )
    with pytest.raises(SlotError, match="more than 16384"):
        IntermediateVersions().with_changes(1, {str(k): (0, 1) for k in range(16_385)})


def test_more_ways_than_slots_are_closed():
    plans = {f"p{k}": i.Plan(f"p{k}", 9.0, 9.0, 3, 9.0, 9.0) for k in range(12)}
    b = IntermediateVersions().with_changes(1, {f"c{k}": (0, 2) for k in range(12)})
    ways, made = ceilings.interim_plans(b, {f"c{k}": (f"p{k}", (0, 3)) for k in range(12)}, plans, 0, 4, 1.0)
    assert len(made) == 8 and sum(w == InterimPlan(BLOCKED, 0) for w in ways.values()) == 5
    assert (made[0].ceiling_rate, made[0].max_in_flight) == (3.0, 1) and made[-1].name == BLOCKED


def test_slots_are_checked():
    known = load_text(BASE.format(me=0, count=4) + "".join(map(block, OLD)), "x", Path("."))
    assert dict(objects(known))["plan", "tin"].endswith(b"slot 1\n")
    for data, text in ((plan(1, 1, 0), "slot: is that of big"), (plan(1, 1), "either all plans have one, or none")):
        with pytest.raises(live.Refused, match=text):
            live.told(known, [Change(("plan", "new"), data)], 1)
    with pytest.raises(live.Refused, match="less than 248"):
        live.told(known, [Change(("plan", "new"), plan(1, 1, 248))], 1)
