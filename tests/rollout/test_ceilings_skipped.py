"""Ingresses that skip versions: what all may spend together, by the settings that each has made of what it got."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rushweir.config import Config, live, load_text
from rushweir.rollout import reorder_buffer
from rushweir.rollout.ceilings import BLOCKED, UNKNOWN_GATEWAYS, IntermediateVersions, gateway_group_size, owned_share
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.object_store import ObjectStore, encode_key, encode_object
from rushweir.rollout.packed_object_store import PackedObjectStore
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer
from tests.rollout.test_ceilings import BASE, World, block, over, partner, plan

COUNT = 3
FIRST = [Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", 0, 1), partner("b", "tin")]
WAYS = [(0, 1), (1, 1), (2, 1), (0, 2), (1, 2), (0, 0), None]  # None: the partner is dropped


class Ingress:
    """What came, what is acted on, and what is in between; nothing of a request."""

    def __init__(self, me: int, truth: ObjectStore) -> None:
        text = BASE.format(me=me, count=COUNT) + "".join(map(block, FIRST))
        self.me, self.config = me, load_text(text, "x", Path("."))
        book = PackedObjectStore()
        book.put([row for part in truth.buckets for row in part.items()], truth.version)
        self.buffer = ReorderBuffer(book)

    def step(self, log: list[ChangeSet], digests: list[bytes]) -> None:
        if self.buffer.version < len(log):
            assert self.buffer.take_change_set(log[self.buffer.version], digests[self.buffer.version])

    def difference(self, truth: ObjectStore) -> None:
        if self.buffer.version < truth.version:
            delta = Delta(self.buffer)
            rows = truth.since(self.buffer.version)
            assert rows is not None
            delta.add_all(rows)
            assert self.buffer.take_delta(delta, truth.version, truth.digest())

    def freeze(self) -> None:
        if self.buffer.applying is None and self.buffer.rows:
            self.buffer.freeze()

    def apply(self, good: bool) -> None:
        self.freeze()
        frozen = self.buffer.frozen
        if frozen is None:
            return
        if not good:
            self.buffer.refused()
            return
        self.take(*live.told(self.config, frozen.changes, frozen.version, frozen.intermediate_values))
        self.buffer.applied()

    def take(self, config: Config, deltas: dict) -> None:
        for g in live.MANY:
            getattr(self.config.file, g).adopt(deltas[g])
        self.config = config

    def settled(self, version: int) -> None:
        self.take(*live.settled(self.config, version))

    def part(self) -> float:
        """Of a whole, what this one spends at most while it need not ask anybody, or by asking."""
        group = self.config.file.partners
        if (way := self.config.ways.get("a")) is not None:
            return 0.0 if way.plan == BLOCKED else float(way.plan.split()[1])
        if "a" not in group:
            return 0.0
        size = gateway_group_size(group["a"].through, self.me, COUNT)
        return 1 / size if size else 0.0


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("commit"), st.sampled_from(WAYS)),
        st.tuples(st.sampled_from(["step", "steps", "difference", "freeze", "apply", "refuse", "settle"]),
                  st.integers(0, COUNT - 1)),
    ),
    max_size=40,
)  # fmt: skip


def play(events: list) -> list[float]:
    """What all spend together after each event."""
    truth = ObjectStore()
    truth.apply(ChangeSet(1, tuple(FIRST)))
    log, digests = [ChangeSet(1, tuple(FIRST))], [truth.digest()]
    ingresses = [Ingress(k, truth) for k in range(COUNT)]
    sums = []
    for what, which in events:
        if what == "commit":
            change = Change(("partner", "a"), None) if which is None else partner("a", "tin", *which)
            if which is None and truth.get(("partner", "a")) is None:
                continue
            # A second object, so that each version differs.
            log.append(ChangeSet(len(log) + 1, (change, partner("b", "tin", len(log) % COUNT, 1))))
            truth.apply(log[-1])
            digests.append(truth.digest())
            continue
        i = ingresses[which]
        if what in ("step", "steps"):
            for _ in range(1 if what == "step" else 3):
                i.step(log, digests)
        elif what == "difference":
            i.difference(truth)
        elif what == "freeze":
            i.freeze()
        elif what in ("apply", "refuse"):
            i.apply(what == "apply")
        else:
            i.settled(min(x.buffer.store.version for x in ingresses))
        sums.append(sum(x.part() for x in ingresses))
    return sums


# 0 goes from 1 to 3 at once, where the doors are as before; 1 and 2 act on 2 alone, as all act on 2 or later by then.
BACK = [("commit", (1, 1)), ("commit", (0, 1)), ("difference", 0), ("apply", 0), ("step", 1), ("apply", 1),
        ("step", 2), ("apply", 2), ("settle", 1), ("settle", 2)]  # fmt: skip
OVERTAKEN = [("steps", k) if (what, k) == ("difference", 0) else (what, k) for what, k in BACK]
REFUSED = [("commit", (1, 1)), ("step", 0), ("freeze", 0), ("commit", (0, 1)), ("step", 0), ("refuse", 0), *BACK[3:]]
# The door that 1 acts on alone is in a version that 0 skipped, in which the partner had gone again as 0 got there.
GONE = [("commit", (1, 1)), ("commit", None), ("difference", 0), ("apply", 0), ("step", 1), ("apply", 1), ("step", 2),
        ("apply", 2), ("settle", 1), ("settle", 2), ("commit", (0, 1)), ("step", 0), ("apply", 0)]  # fmt: skip
GONE_STEPS = [("steps", k) if (what, k) == ("difference", 0) else (what, k) for what, k in GONE]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(EVENTS)
@example(GONE)
@example(GONE_STEPS)
@example(BACK)
@example(OVERTAKEN)
@example(REFUSED)
def test_all_together_spend_no_more_than_one_whole_whatever_versions_they_skip(events: list) -> None:
    assert max(play(events), default=0.0) <= 1 + 1e-9


@pytest.mark.parametrize("events", [BACK, OVERTAKEN, REFUSED, GONE, GONE_STEPS])
def test_it_is_found_that_skipped_doors_are_not_known(events: list, monkeypatch: pytest.MonkeyPatch) -> None:
    """A planted fault: what passed is forgotten."""
    monkeypatch.setattr(live, "_passed", lambda *_: {})
    assert max(play(events)) > 1.9


def test_once_all_act_on_the_newest_nobody_is_held_down() -> None:
    for events in (BACK, OVERTAKEN, REFUSED, GONE, GONE_STEPS):
        rest = [(what, k) for what in ("step", "step", "apply", "settle") for k in range(COUNT)]
        assert play([*events, *rest])[-1] == 1.0


def test_doors_of_steps_that_were_overtaken_are_known_and_give_a_part() -> None:
    """A difference could have hidden any doors, so nothing is left; of steps the part of both is."""
    wide = [("commit", (0, 2)), ("commit", (0, 1))]
    assert play([*wide, ("steps", 0), ("apply", 0)])[-1] == 0.5
    assert play([*wide, ("difference", 0), ("apply", 0)])[-1] == 0.0
    assert play([("commit", (0, 1)), ("commit", (0, 1)), ("steps", 0), ("apply", 0)])[-1] == 1.0  # the same doors


def test_two_doors_of_which_one_skipped_a_version_share_one_whole() -> None:
    """The same by real policies with their mail: 0 goes from 0 to 2 while 1 acts on version 1 alone."""
    w = World([Change(("plan", "tin"), plan(40, 20, 1)), partner("a", "tin", 0, 1)])
    away, back = partner("a", "tin", 1, 1), partner("a", "tin", 0, 1)
    w.run(600.0, {"a": [0]})
    g = w.gateways[0]
    g.take(*live.told(g.config, [back], 2, {back.key: (away.data,)}), w.now)
    for other in w.gateways[1:]:
        other.step([away], 1, w.now)
    for other in w.gateways[1:]:
        other.settled(1, w.now)
    w.run(1_500.0, {"a": [0, 1]})
    assert over(w.spent["a"], 40, 20) <= 1


# --- what passed, by itself ----------------------------------------------------------------------


def test_nobody_is_no_door_and_is_kept_as_any_other() -> None:
    assert [gateway_group_size(UNKNOWN_GATEWAYS, k, COUNT) for k in range(COUNT)] == [0] * COUNT
    assert owned_share([(0, 0), UNKNOWN_GATEWAYS], 1, COUNT, 1.0) == 0.0
    b = IntermediateVersions().with_changes(9, {}, {"a": ((1, 1), UNKNOWN_GATEWAYS)})
    assert b.customers == {"a": (9, ((1, 1), UNKNOWN_GATEWAYS))}
    assert IntermediateVersions.load(b.dump()) == b
    assert b.with_changes(10, {"a": (0, 1)}, {"a": ((1, 1),)}).customers == {
        "a": (10, ((1, 1), UNKNOWN_GATEWAYS, (0, 1)))
    }
    assert b.with_minimum_version(9).customers == {}
    assert b.with_minimum_version(9).with_changes(9, {}, {"a": (UNKNOWN_GATEWAYS,)}).customers == {}


def test_what_passed_is_bounded_and_beyond_the_bound_it_is_not_known(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reorder_buffer, "MAX_INTERMEDIATE_OBJECTS", 2)
    monkeypatch.setattr(reorder_buffer, "MAX_VALUES_PER_OBJECT", 3)
    truth, ahead = ObjectStore(), ReorderBuffer(ObjectStore())
    names = ("p", "q", "r")
    for n in range(1, 7):
        changes = tuple(Change(("partner", name), b"%d" % n) for name in (names if n < 3 else names[:1]))
        truth.apply(ChangeSet(n, changes))
        assert ahead.take_change_set(ChangeSet(n, changes), truth.digest())
        frozen = reorder_buffer.FrozenLayer(ahead, ahead.rows)
        assert len(frozen.intermediate_values) <= 3
    assert frozen.intermediate_values == {("partner", "p"): None, ("partner", "q"): (b"1",), ("partner", "r"): None}


def test_of_a_difference_only_what_may_have_been_something_else_is_not_known() -> None:
    book = ObjectStore()
    book.put([(encode_key(("partner", name)), encode_object(4, b"x")) for name in "pqr"], 5)
    ahead, truth = ReorderBuffer(book), book.copy()
    delta = Delta(ahead)
    rows = [(encode_key(("partner", "p")), encode_object(6, b"y")),
            (encode_key(("partner", "q")), encode_object(8, b"y")),
            (encode_key(("partner", "r")), None),
            (encode_key(("partner", "new")), encode_object(7, b"y"))]  # fmt: skip
    truth.put(rows, 9)
    delta.add_all(rows)
    assert ahead.take_delta(delta, 9, truth.digest())
    assert ahead.freeze().intermediate_values == {("partner", name): None for name in ("q", "r", "new")}
