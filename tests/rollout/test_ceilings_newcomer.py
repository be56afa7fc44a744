"""Ingresses that start with nothing, beside others that act on older versions: what all may spend together."""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rushweir import Policy
from rushweir import interface as i
from rushweir.config import live
from rushweir.daemon.reloading import Reloading
from rushweir.ingress.core import Core
from rushweir.rollout.ceilings import (
    BLOCKED,
    MAX_INTERMEDIATE_CUSTOMERS,
    UNKNOWN_CUSTOMERS,
    UNKNOWN_GATEWAYS,
    IntermediateVersions,
)
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.object_store import BUCKET_COUNT, ObjectStore
from rushweir.rollout.packed_object_store import PackedObjectStore
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer
from tests.rollout.test_ceilings import BASE, World, over, partner, plan
from tests.rollout.test_ceilings import COUNT as DOORS
from tests.rollout.test_ceilings_skipped import COUNT, FIRST, WAYS, Ingress

ME = {count: BASE[: BASE.index("class c")].replace("{count}", str(count)) for count in (COUNT, DOORS)}
SHARED = [(("class", "c"), b"aim 1s\ndeadline 2s\n"), (("limits", ""), b"retry-after 1ms\n")]


class Coming(Ingress):
    """An ingress that may lose all that it has. ``path``: of its own settings."""

    def __init__(self, me: int, truth: ObjectStore, path: Path) -> None:
        super().__init__(me, truth)
        self.path, self.least, self.serves = path, 0, True

    def anew(self, truth: ObjectStore, least: int) -> None:
        self.serves, self.least, self.buffer = False, least, ReorderBuffer(PackedObjectStore())
        self.difference(truth)

    def apply(self, good: bool) -> None:
        if self.serves or not good:
            super().apply(good)
            return
        self.freeze()
        frozen = self.buffer.frozen
        assert frozen is not None
        self.path.write_text(ME[COUNT].format(me=self.me))
        between = live.newcomer(frozen.versions, frozen.version, self.least, False)
        kept = [*SHARED, *((c.key, c.data) for c in frozen.changes)]
        self.config = live.assemble(self.path, kept, frozen.version, between)
        self.serves = True
        self.buffer.applied()

    def settled(self, version: int) -> None:
        self.least = version
        if self.serves:
            super().settled(version)

    def part(self) -> float:
        return super().part() if self.serves else 0.0


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("commit"), st.sampled_from(WAYS)),
        st.tuples(st.sampled_from(["step", "steps", "difference", "apply", "apply", "refuse", "settle", "anew"]),
                  st.integers(0, COUNT - 1)),
    ),
    max_size=40,
)  # fmt: skip


def play(events: list, folder: Path) -> tuple[list[float], list[Coming]]:
    """What all spend together after each event."""
    truth, first = ObjectStore(), ChangeSet(1, tuple(FIRST))
    truth.apply(first)
    log, digests, least, sums = [first], [truth.digest()], 1, []
    ingresses = [Coming(k, truth, folder / f"{k}.conf") for k in range(COUNT)]
    for what, which in events:
        if what == "commit":
            change = Change(("partner", "a"), None) if which is None else partner("a", "tin", *which)
            if which is None and truth.get(("partner", "a")) is None:
                continue
            log.append(ChangeSet(len(log) + 1, (change, partner("b", "tin", len(log) % COUNT, 1))))
            truth.apply(log[-1])
            digests.append(truth.digest())
            continue
        x = ingresses[which]
        if what in ("step", "steps"):
            for _ in range(1 if what == "step" else 3):
                x.step(log, digests)
        elif what == "difference":
            x.difference(truth)
        elif what in ("apply", "refuse"):
            x.apply(what == "apply")
        elif what == "anew":
            x.anew(truth, least)
        else:
            least = max(least, min(y.buffer.store.version for y in ingresses))  # never taken back
            x.settled(least)
        sums.append(sum(y.part() for y in ingresses))
    return sums, ingresses


MOVED = [("commit", (1, 1)), ("anew", 1), ("apply", 1)]  # 0 still is the door
BACK = [("commit", None), ("anew", 1), ("apply", 1), ("commit", (1, 1)), ("step", 1), ("apply", 1)]  # it had gone
ON = [*MOVED, ("commit", (1, 2)), ("step", 1), ("apply", 1)]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(EVENTS)
@example(MOVED)
@example(BACK)
@example(ON)
def test_all_together_spend_no_more_than_one_whole_whoever_starts_with_nothing(tmp_path_factory, events) -> None:
    assert max(play(events, tmp_path_factory.mktemp("own"))[0], default=0.0) <= 1 + 1e-9


@pytest.mark.parametrize("events", [MOVED, BACK])
def test_it_is_found_that_a_newcomer_knows_no_older_doors(tmp_path, events, monkeypatch) -> None:
    """A planted fault: it acts on its first version alone."""
    monkeypatch.setattr(live, "newcomer", lambda *_: IntermediateVersions())
    assert max(play(events, tmp_path)[0]) > 1.9


def test_it_is_found_that_who_went_before_the_start_is_not_known(tmp_path, monkeypatch) -> None:
    """A planted fault: only who is in the first version is held down."""

    def forgets(versions, _, least, __) -> IntermediateVersions:
        return IntermediateVersions.for_new_ingress(0, least, {name: v for (_, name), v in versions.items()})

    monkeypatch.setattr(live, "newcomer", forgets)
    assert max(play(BACK, tmp_path)[0]) > 1.9


def test_a_join_in_calm_holds_nobody_down_and_a_held_one_is_free_once_all_act_on_its_version(tmp_path) -> None:
    sums, ingresses = play([("anew", 0), ("apply", 0)], tmp_path)
    assert sums[-1] == 1.0 and not ingresses[0].config.between.customers
    calm = [(what, k) for what in ("step", "apply", "settle") for k in range(COUNT)]
    sums, ingresses = play([("commit", (1, 1)), *calm, ("anew", 1), ("apply", 1)], tmp_path)
    assert sums[-1] == 1.0 and not ingresses[1].config.between.customers
    sums, ingresses = play([*MOVED, *calm, *calm], tmp_path)
    assert sums[-1] == 1.0 and not any(x.config.between.customers for x in ingresses)


def test_only_who_changed_after_what_all_act_on_is_held_down(tmp_path) -> None:
    # All act on 1: "b" is moved with each commit, "a" is not.
    _, ingresses = play([("commit", (1, 1)), ("anew", 2), ("apply", 2)], tmp_path)
    between = ingresses[2].config.between
    assert (
        between.customers == dict.fromkeys((UNKNOWN_CUSTOMERS, "a", "b"), (2, (UNKNOWN_GATEWAYS,)))
        and between.minimum_version == 1
    )
    assert IntermediateVersions.load(between.dump()) == between
    book = ObjectStore()
    book.apply(ChangeSet(1, (partner("old", "tin"),)))
    book.apply(ChangeSet(2, (partner("new", "tin"),)))
    ahead = ReorderBuffer(PackedObjectStore())
    delta = Delta(ahead)
    delta.add_all(book.since(0) or ())
    assert ahead.take_delta(delta, 2, book.digest())
    versions = ahead.freeze().versions
    assert versions == {("partner", "old"): 1, ("partner", "new"): 2}
    assert live.newcomer(versions, 2, 1, False).customers == dict.fromkeys(
        (UNKNOWN_CUSTOMERS, "new"), (2, (UNKNOWN_GATEWAYS,))
    )
    # What is lent by an older one may not be over, however long all act on it: each waits for its own change.
    lent = live.newcomer(versions, 2, 1, True)
    assert lent.customers == {"old": (1, (UNKNOWN_GATEWAYS,))} | dict.fromkeys(
        (UNKNOWN_CUSTOMERS, "new"), (2, (UNKNOWN_GATEWAYS,))
    )
    assert lent.with_minimum_version(1).customers.keys() == {UNKNOWN_CUSTOMERS, "new"}
    assert not live.newcomer(versions, 2, 2, False).customers


def test_as_many_as_a_start_finds_are_held_down_and_more_are_refused_as_ever() -> None:
    many = IntermediateVersions.for_new_ingress(9, 0, {str(k): 9 for k in range(MAX_INTERMEDIATE_CUSTOMERS + 5)})
    assert len(many.customers) == MAX_INTERMEDIATE_CUSTOMERS + 6
    assert many.with_changes(10, {"1": (0, 1)}).customers["1"] == (10, (UNKNOWN_GATEWAYS, (0, 1)))
    with pytest.raises(live.SlotError):
        many.with_changes(10, {"one more": (0, 1)})
    assert IntermediateVersions.for_new_ingress(9, 9, {"a": 9, "b": 3}) == IntermediateVersions({}, 9)


def test_a_newcomer_and_an_old_door_share_one_whole(tmp_path) -> None:
    """The same by real policies with their mail: 1 starts with nothing at version 1, 0 still acts on version 0."""
    away = partner("a", "tin", 1, 1)
    w = World([Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", 0, 1)])
    w.run(600.0, {"a": [0]})
    g = w.gateways[1]
    (tmp_path / "own.conf").write_text(ME[DOORS].format(me=1))
    kept = [*SHARED, (("plan", "tin"), plan(40, 20, 1)), (away.key, away.data)]
    between = live.newcomer({away.key: 1}, 1, 0, False)
    g.config = live.assemble(tmp_path / "own.conf", kept, 1, between)
    setup = g.make(g.config)
    g.core = Core(setup, Policy(setup.settings, 1, w.now), w.now)
    g.policy, g.version = g.core.engine.policy, 1
    g.act(g.policy.handle(w.now, i.Members(i.Scope.FULL, (i.Server("n:1"), i.Server("n:2")))))
    g.act(g.policy.start())
    w.run(1_500.0, {"a": [0, 1]})
    assert over(w.spent["a"], 40, 20) <= 1
    for other in (w.gateways[0], *w.gateways[2:]):
        other.step([away], 1, w.now)
    for each in w.gateways:
        each.settled(1, w.now)
    freed, asked = w.now, len(w.spent["a"])
    w.run(1_500.0, {"a": [1]})
    assert over(w.spent["a"], 40, 20, since=freed) <= 1 and len(w.spent["a"]) - asked > 20


def test_many_that_are_held_down_are_worked_out_beside_the_loop(tmp_path, monkeypatch) -> None:
    """A step of one partner looks at all who are held down, and so does the word that frees them."""
    path, threads = tmp_path / "own.conf", []
    path.write_text(ME[DOORS].format(me=0))
    kept = [*SHARED, (("plan", "tin"), plan(40, 20, 1)), *(((c := partner(n, "tin")).key, c.data) for n in "abc")]
    config = live.assemble(path, kept, 1, live.newcomer({("partner", n): 1 for n in "abc"}, 1, 0, False))
    core = Core(config.setup(), Policy(config.setup().settings, 1, 0.0), 0.0)
    core.start(0.0)

    def taken(config, _) -> None:
        service.config = config

    def made(config):
        threads.append(threading.current_thread() is threading.main_thread())
        return config.setup()

    service = SimpleNamespace(
        config=config, core=core, clock=lambda: 1.0, shell=SimpleNamespace(carry_out=lambda: None), taken=taken,
        _setup=made,
    )  # fmt: skip
    monkeypatch.setattr(live, "FEW", 2)
    reloading = Reloading(service)

    async def body() -> None:
        await reloading.step([Change(("plan", "new"), plan(1, 1, 2))], 2)
        assert set(service.config.ways) == set("abc")
        await reloading.settled(1)
        assert not service.config.ways
        await reloading.step([Change(("plan", "more"), plan(1, 1, 3))], 3)

    asyncio.run(body())
    assert threads == [False, False, True]


def test_who_came_and_went_unnamed_counts_as_anybody(tmp_path) -> None:
    """Beyond the tombstones a difference names what is left, not what went: that may have come meanwhile too."""
    truth, first = ObjectStore(), ChangeSet(1, tuple(FIRST))
    truth.apply(first)
    both = [Coming(0, truth, tmp_path / "own.conf") for _ in range(2)]
    truth.apply(ChangeSet(2, (partner("new", "tin", 1, 1),)))
    truth.apply(ChangeSet(3, (Change(("partner", "new"), None),)))
    truth.apply(ChangeSet(4, (Change(("partner", "b"), None),)))
    for named, x in zip((False, True), both, strict=True):
        delta = Delta(x.buffer)
        if named:
            for part in range(BUCKET_COUNT):
                delta.delete_unlisted(part, truth.object_digests(part))
        else:  # as tombstones tell it
            delta.add_all(truth.since(1) or ())
        assert x.buffer.take_delta(delta, 4, truth.digest())
        passed = x.buffer.freeze().intermediate_values
        assert passed[("partner", "b")] is None
        assert (("partner", UNKNOWN_CUSTOMERS) in passed, ("partner", "new") in passed) == (named, not named)
    x.apply(True)
    assert x.config.between.customers[UNKNOWN_CUSTOMERS] == (4, (UNKNOWN_GATEWAYS,))
    x.take(*live.told(x.config, [partner("new", "tin", 0, 1)], 5))
    assert x.config.ways["new"].plan == BLOCKED
    x.settled(5)
    assert not x.config.ways and not x.config.between.customers
