"""Steps applied to a running ingress: whole or not at all, and nothing of it touched that did not change."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import Policy
from rushweir import interface as i
from rushweir.config import ConfigError, live, load_text
from rushweir.config.objects import Refused, objects
from rushweir.config.text import Spot
from rushweir.daemon.reloading import Reloading
from rushweir.fronts.credentials import digest
from rushweir.ingress.commands import AnswerKind
from rushweir.ingress.core import Core
from rushweir.ingress.queries import Partner
from rushweir.rollout.ceilings import IntermediateVersions
from rushweir.rollout.change_sets import Change
from rushweir.watch.usage import Usage

HEAD = "ingress 0 4\nzone a\nlisten 127.0.0.1:0\npath /dispatch\nlist {\n    url ws://127.0.0.1:7000/l\n}\n"
PLANS = "class c {\n    aim 1s\n    deadline 2s\n}\nplan gold {\n    rate 5/s\n    burst 9\n}\nplan tin {\n}\n"
NAMES = ("a", "b", "c", "d")


def key(token: str) -> str:
    return digest(token)


def partner(token: str, plan: str = "gold", more: str = "") -> bytes:
    return f"plan {plan}\ncredential {key(token)}\n{more}".encode()


def text_of(*names: str) -> str:
    return HEAD + PLANS + "".join(f"partner {n} {{\n{partner(n).decode()}}}\n" for n in names)


class Ingress:
    """A core with the settings that hold."""

    def __init__(self, text: str) -> None:
        self.config = load_text(text, "x.conf", Path("."))
        setup = self.config.setup()
        self.core = Core(setup, Policy(setup.settings, 1, 0.0), 0.0)
        self.core.start(0.0)
        self.version, self.now = 0, 0.0
        self.events: list[i.Event] = []
        handle = self.core.engine.policy.handle
        self.core.engine.policy.handle = lambda now, e: self.events.append(e) or handle(now, e)

    def step(self, *changes: Change) -> list[dict]:
        self.version += 1
        self.now += 1000.0
        new, deltas = live.told(self.config, changes, self.version)
        prepared = live.prepare(self.config, new, deltas, lambda c: c.setup(), self.core.setup)
        live.apply(self.core, prepared, self.now)
        self.config = prepared.config
        return prepared.changes

    def client(self, token: str):
        """A connection that has its partner."""
        conn = self.core.accepted(self.now)
        head = "GET /dispatch HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        head += "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
        self.core.received(self.now, conn, f"{head}Authorization: Bearer {token}\r\n\r\n".encode())
        return self.core.clients.open[conn].front

    def state(self) -> tuple:
        usage = self.core.telemetry.usage
        held = self.core.setup.credentials
        rules = self.core.setup.front.costs
        return (
            dict(objects(self.config)), {n: held.partner_named(n) for n in (*NAMES, "x")}, held.by_digest,
            dict(usage.index.keys() and {n: usage.row(n)["plan"] for n in usage.index}), usage.sorted,
            {r.name: r for r in rules.routes} if rules else None, self.core.setup.settings, dict(held.users),
        )  # fmt: skip


def put(name: str, token: str = "", plan: str = "gold", more: str = "") -> Change:
    return Change(("partner", name), partner(token or name, plan, more))


def drop(kind: str, name: str) -> Change:
    return Change((kind, name), None)


# --- what is touched -----------------------------------------------------------------------------------


def test_a_partner_that_changes_touches_itself_alone():
    g = Ingress(text_of("a", "b"))
    one, other = g.client("a"), g.client("b")
    before, front, setup = other.partner, other.settings, g.core.setup
    g.core.telemetry.usage.count(0.0, "a", AnswerKind.SERVED, 2.0)
    g.events.clear()
    changes = g.step(put("a", "new", "tin"))
    assert (one.partner.plan, other.partner) == ("tin", before) and other.partner is before
    assert other.settings is front and g.core.setup is setup
    assert not [e for e in g.events if isinstance(e, i.Settings)]
    assert [(c["path"][2], c["after"]) for c in changes] == [("plan", ["tin"]), ("credential", [key("new")])]
    row = g.core.telemetry.usage.row("a")
    assert (row["plan"], row["served"], row["units"]) == ("tin", 1, 2.0)
    assert g.client("a").partner is None and g.client("new").partner.name == "a"


def test_a_plan_that_changes_reaches_the_policy_and_the_list_is_not_gone_through(monkeypatch):
    g = Ingress(text_of("a"))
    monkeypatch.setattr(g.core.nodes, "publish", None)  # would raise
    g.step(Change(("plan", "gold"), b"rate 7/s\nburst 9\n"))
    (told,) = [e for e in g.events if isinstance(e, i.Settings)]
    assert told.plans[0].rate == 7.0 and g.core.setup.settings is told


def test_other_networks_of_nodes_are_applied_to_the_list():
    g = Ingress(text_of("a"))
    g.core.preload_nodes(0.0, live_list("127.0.0.1:1"))
    assert g.core.nodes.effective
    g.step(Change(("nodes", ""), b"allow 10.0.0.0/8\n"))
    assert not g.core.nodes.effective


def live_list(address: str):
    from rushweir.discovery.source import Update

    return Update(i.Scope.FULL, 1, (i.Server(address),))


def test_a_partner_that_is_dropped_is_closed_and_nobody_else():
    g = Ingress(text_of("a", "b"))
    one, other = g.client("a"), g.client("b")
    g.step(drop("partner", "a"))
    assert (one.refusal_reason, other.refusal_reason) == ("partner_gone", "")
    assert g.client("a").partner is None and "a" not in g.core.telemetry.usage.index
    g.core.advance(g.now + 200.0)
    assert g.core.counts["partners_gone"] == 1
    g.step(put("n"))  # takes the slot that is free
    assert g.core.telemetry.usage.row("n")["served"] == 0 and len(g.core.setup.credentials.names) == 2


def test_routes_change_by_themselves():
    g = Ingress(text_of("a") + 'limits {\n    largest-request 9\n}\ncost "x.{y}" {\n    base 2\n}\n')
    rules = g.core.setup.front.costs
    g.step(Change(("cost", "x.{z}"), b"base 3\n"), drop("cost", "x.{y}"), Change(("cost", "q"), b"least 4\n"))
    assert g.core.setup.front.costs is rules and not [e for e in g.events if isinstance(e, i.Settings)]
    assert [rules.price_rpc(m, None).amount for m in ("x.1", "q", "other")] == [3000, 4000, 1000]
    assert rules.price_rpc("q", None).rule.location == "control:1"
    g.step(drop("cost", "q"), drop("cost", "x.{z}"))
    assert g.core.setup.front.costs is None  # as of a file without any


def test_where_a_setting_stands_is_its_step():
    g = Ingress(text_of("a"))
    g.step(put("a", "n"), Change(("plan", "tin"), b"burst 3\n"))
    spots = {s.path: s.spot for s in g.config.effective()}
    assert spots["partner", "a", "plan"] == spots["plan", "tin", "burst"] == Spot("control", 1, 1)
    assert spots["plan", "gold", "rate"].file == "x.conf" and spots["plan", "tin", "rate"] is None


# --- whole or not at all -------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("changes", "key_", "field", "text"),
    [
        ([put("b", plan="lead")], ("partner", "b"), "plan", "no plan 'lead'"),
        ([drop("plan", "gold")], ("partner", "a"), "plan", "no plan 'gold'"),
        ([put("b", "a")], ("partner", "b"), "credential", "is that of a"),
        ([put("b", "x"), put("x", "x")], ("partner", "x"), "credential", "is that of b"),
        ([put("b", more="through 4 1\n")], ("partner", "b"), "through", "4 ingresses"),
        ([drop("class", "c")], ("classes", ""), "", "a class and a plan are needed"),
        ([Change(("cost", "x."), b"")], ("cost", "x."), "", "is no segment"),
        ([Change(("cost", "x.{y}"), b""), Change(("cost", "x.{z}"), b"")], ("cost", "x.{z}"), "", "stands twice"),
        ([Change(("clients", ""), b"allow ::/0\ndeny ::/0\n")], ("clients", ""), "deny", "both allowed and denied"),
        ([Change(("zone", ""), b"b")], ("zone", ""), "", "no kind of settings"),
        ([Change(("partner", "b"), b"plan gold\n")], ("partner", "b"), "credential", "is missing"),
    ],
)
def test_a_step_with_one_bad_object_changes_nothing_and_names_it(changes, key_, field, text):
    g = Ingress(text_of("a"))
    before, client = g.state(), g.client("a")
    with pytest.raises(Refused) as bad:
        g.step(put("d", "good"), Change(("plan", "new"), b""), *changes)
    assert (key_, field) in [w[:2] for w in bad.value.wrong] and text in str(bad.value)
    assert g.state() == before and client.partner.name == "a" and not g.core.counts["partners_gone"]


def test_two_partners_that_exchange_their_credentials():
    g = Ingress(text_of("a", "b"))
    g.step(put("a", "b"), put("b", "a"))
    assert (g.client("a").partner.name, g.client("b").partner.name) == ("b", "a")
    g.step(drop("partner", "a"), put("c", "b"))
    assert (g.client("a").partner.name, g.client("b").partner.name) == ("b", "c")


def test_a_plan_goes_with_its_last_partner_and_comes_with_its_first():
    g = Ingress(text_of("a"))
    g.step(Change(("plan", "new"), b"burst 1\n"), put("b", plan="new"))
    g.step(drop("plan", "new"), drop("partner", "b"))
    assert set(g.config.file.plans) == {"gold", "tin"} and len(g.core.setup.settings.plans) == 2


def test_the_same_step_again_changes_nothing():
    g = Ingress(text_of("a"))
    step = (put("b"), Change(("plan", "tin"), b"burst 2\n"), Change(("cost", "x"), b"base 2\n"))
    assert g.step(*step) and g.step(*step) == []


# --- however it came to it ------------------------------------------------------------------------------

PLAN = st.sampled_from(("gold", "tin", "new"))
change = st.one_of(
    st.builds(put, st.sampled_from(NAMES), st.sampled_from(("", "a", "k", "l")), PLAN),
    st.builds(drop, st.just("partner"), st.sampled_from(NAMES)),
    st.builds(drop, st.just("plan"), PLAN),
    st.sampled_from(
        [Change(("plan", "new"), b"burst 3\n"), Change(("plan", "gold"), b"price 2\n"), drop("cost", "x.y")]
        + [Change(("cost", n), b) for n in ("x.{y}", "x.{z}", "x.y", "x.**") for b in (b"base 2\n", b"least 5\n")]
        + [drop("cost", n) for n in ("x.{y}", "x.{z}", "x.**")]
        + [Change(("limits", ""), b"largest-request 3\n"), Change(("limits", ""), None)]
        + [Change(("pricing", ""), b"default 2\n")]
    ),
)  # fmt: skip
steps = st.lists(st.lists(change, min_size=1, max_size=5, unique_by=lambda c: c.key), max_size=8)


def check(told: list[list[Change]], few: int) -> None:
    """After any steps an ingress is as one that starts with the objects of the last; a refused one left no trace."""
    live.FEW, was = few, live.FEW
    try:
        g = Ingress(text_of("a", "b"))
        for step in told:
            before = g.state()
            try:
                g.step(*step)
            except Refused:
                assert g.state() == before
            lines = HEAD
            for (kind, name), data in objects(g.config):
                lines += f'{kind} "{name}" {{\n' if name else f"{kind} {{\n"
                lines += data.decode() + "}\n"
            fresh = Ingress(lines)
            a, b = g.state(), fresh.state()
            assert (a[0], a[2:6], a[7]) == (b[0], b[2:6], b[7])
            assert set(a[6].plans) == set(b[6].plans) and a[6].limits == b[6].limits
            for name in NAMES:
                assert g.client(name).partner == fresh.client(name).partner
    finally:
        live.FEW = was


@settings(max_examples=120, deadline=None, derandomize=True)
@given(steps, st.sampled_from((0, 1, 128)))
def test_any_steps_lead_where_a_fresh_start_leads(told, few):
    check(told, few)


def test_the_comparison_finds_a_row_of_use_that_outlives_its_partner(monkeypatch):
    """A planted fault."""
    whole = Usage.change
    monkeypatch.setattr(Usage, "change", lambda self, told, gone: whole(self, told, ()))
    with pytest.raises(AssertionError):
        check([[drop("partner", "a")]], 128)


# --- in a daemon ---------------------------------------------------------------------------------------


def test_steps_in_a_daemon_come_one_after_the_other_and_a_bad_one_leaves_no_trace(monkeypatch):
    # Steps come to an ingress that watches control processes, and to no other.
    g, told = Ingress(text_of("a") + "rollout {\n    control 127.0.0.1:7400\n    key-file w\n}\n"), []
    monkeypatch.setattr(live, "FEW", 2)

    def taken(config, changes):
        service.config = config
        told.append(None if changes is None else len(changes))

    service = SimpleNamespace(
        config=g.config, core=g.core, clock=lambda: 1.0, shell=SimpleNamespace(carry_out=lambda: None), taken=taken,
        _setup=lambda c: c.setup(),
    )  # fmt: skip
    reloading = Reloading(service)

    async def body():
        many = [put(n) for n in ("b", "c", "d")]  # beside the loop
        done = await asyncio.gather(
            reloading.step(many, 1), reloading.step([put("b", "x", "lead")], 2), reloading.step([put("b", "y")], 3),
            reloading.step([Change(("budgets", ""), b"floor 0.5\n")], 4), return_exceptions=True,
        )  # fmt: skip
        assert done[0] is done[2] is None and isinstance(done[1], Refused)
        says = "budgets: a change needs a restart without its kept settings"  # these would have it refuse again
        assert done[3].wrong == [(("budgets", ""), "", says)]

        await reloading.step([Change(("plan", "gold"), b"ceiling-rate 9/s\nceiling-burst 9\n")], 4)
        await reloading.step([put("a", "n", more="through 0 2\n")], 5)
        assert g.client("n").partner.gateway_count == 1 and service.config.ways["a"].plan != "gold"
        await reloading.settled(5)
        assert g.client("n").partner.gateway_count == 2 and not service.config.ways

    asyncio.run(body())
    assert told == [3, 1, 1, 1, None] and g.client("y").partner.name == "b" and len(service.config.file.partners) == 4


# --- beside a machine's own file ------------------------------------------------------------------------


def test_a_start_from_kept_objects_and_the_own_file_is_a_start_from_one_file(tmp_path):
    whole = load_text(text_of("a", "b") + "limits {\n    open 5\n}\ncost x {\n    base 2\n}\n", "x.conf", tmp_path)
    own = tmp_path / "own.conf"
    own.write_text(HEAD)
    made = live.assemble(own, list(objects(whole)), 7)
    assert made.file == whole.file and dict(objects(made)) == dict(objects(whole))
    assert made.file.partners.held.by_digest == whole.file.partners.held.by_digest
    assert {s.path: s.spot.file for s in made.effective() if s.spot}["zone",].endswith("own.conf")
    with pytest.raises(Refused, match="no plan 'gold'"):
        live.assemble(own, [o for o in objects(whole) if o[0] != ("plan", "gold")], 7)


def test_a_start_in_between_acts_as_before_it(tmp_path):
    g = Ingress(text_of("a", "b").replace("burst 9\n", "burst 9\n    ceiling-rate 9/s\n    ceiling-burst 9\n"))
    g.step(put("a", more="through 0 2\n"))
    own = tmp_path / "own.conf"
    own.write_text(HEAD)
    made = live.assemble(own, list(objects(g.config)), 1, IntermediateVersions.load(g.config.between.dump()))
    assert made.ways == g.config.ways and set(made.ways) == {"a"} and made.made == g.config.made
    assert (
        made.setup().credentials.partner_named("a")
        == g.core.setup.credentials.partner_named("a")
        != Partner("a", "gold", 2, 0)
    )


def test_a_reload_of_the_own_file_leaves_the_objects_and_takes_none(tmp_path):
    own = tmp_path / "own.conf"
    own.write_text(HEAD)
    known = live.assemble(own, list(objects(load_text(text_of("a"), "x.conf", tmp_path))), 7)
    own.write_text(HEAD + "stop 9s\n")
    new, deltas = live.read_own(known, own)
    assert new.file.stop == 9000.0 and not any(d.put or d.gone for d in deltas.values())
    assert new.file.plans == known.file.plans and set(new.file.partners) == {"a"}
    assert new.spots[("plans", "gold", "rate")] == Spot("control", 7, 1)
    for text, place in (
        (PLANS, "8:1: class"),
        (text_of("b")[len(HEAD + PLANS) :], "8:1: partner"),
        ("log {\n}\n", "8:1: log"),
    ):
        own.write_text(HEAD + text)
        with pytest.raises(ConfigError, match=f"own.conf:{place}: stands with the control processes"):
            live.read_own(known, own)
