"""Who acts on which version, as the control processes know it together."""

from __future__ import annotations

import pytest

from rushweir.rollout import applied_versions
from rushweir.rollout.applied_versions import AppliedVersions
from rushweir.rollout.object_store import ObjectStore
from tests.rollout.conftest import Scene


def filled(scene: Scene, partners: int) -> None:
    scene.commit(*((f"p{n}", b"x") for n in range(partners)))


def test_least_is_what_all_act_on_at_all_control_processes(scene: Scene) -> None:
    for name in "cde":
        scene.control(name, expire_ms=20_000)
    ingresses = [scene.ingress(f"i{k}", ("c", "d", "e")) for k in range(9)]
    scene.run(25_000)  # they know all now
    ingresses[0].refuses[("partner", "p1")] = b"bad"
    filled(scene, 10)
    scene.run(6_000)
    assert {s.minimum_acting_version() for s in scene.controls.values()} == {1}
    scene.commit(("p1", b"bad"))
    scene.run(6_000)
    assert {i.core.version for i in ingresses[1:]} == {2} and ingresses[0].core.version == 1
    assert {s.minimum_acting_version() for s in scene.controls.values()} == {1}
    for s in scene.controls.values():
        row = s.rows()[0]
        assert (row["ingress"], row["acts"], row["behind"], row["refused"]) == ("i0", 1, 1, 2)
        assert row["why"] == "partner p1: rate: too large here"
    scene.commit(("p1", b"good"))
    scene.run(6_000)
    assert {s.minimum_acting_version() for s in scene.controls.values()} == {i.core.least for i in ingresses} == {3}
    assert all(row["why"] == "" for row in scene.controls["c"].rows())


def test_one_that_can_not_be_reached_blocks_least_until_it_expires(scene: Scene) -> None:
    c = scene.control("c", expire_ms=30_000)
    a, gone = scene.ingress("a"), scene.ingress("gone")
    filled(scene, 3)
    scene.run(31_000)
    assert c.minimum_acting_version() == 1
    scene.ingresses.remove(gone)
    scene.cut(gone, 1, tell=False)
    scene.commit(("p1", b"new"))
    scene.run(20_000)
    assert (a.core.version, c.minimum_acting_version(), a.core.least) == (2, 1, 1)
    assert "not heard for 2" in c.rows()[0]["why"]
    scene.run(15_000)
    assert (c.minimum_acting_version(), a.core.least) == (2, 2)
    assert "expired" in c.rows()[0]["why"]
    assert c.applied_versions.forget("gone") and len(c.rows()) == 1
    assert not c.applied_versions.forget("a")


def test_a_control_process_that_starts_says_nothing_until_it_knows(scene: Scene) -> None:
    first = scene.control("c", expire_ms=30_000)
    scene.ingress("a")
    filled(scene, 3)
    scene.run(10_000)
    assert first.minimum_acting_version() == 0
    scene.run(30_000)
    assert first.minimum_acting_version() == 1
    second = scene.control("d", ObjectStore.load(first.store.dump()), expire_ms=30_000)
    assert second.minimum_acting_version() == 0
    scene.run(4_000)
    assert second.minimum_acting_version() == 1  # the other told it


def test_what_was_told_is_never_taken_back() -> None:
    s = AppliedVersions(0.0, 10.0)
    s.record(0.0, "a", 5)
    assert s.minimum(20.0) == 0  # expired too
    s.record(21.0, "a", 5)
    assert s.minimum(22.0) == 5
    s.record(23.0, "b", 2)
    assert s.minimum(24.0) == 5


def test_of_two_accounts_the_one_heard_later_counts_and_an_open_session_before_all() -> None:
    one, two = AppliedVersions(0.0, 1e6), AppliedVersions(500.0, 1e6)
    one.record(100.0, "a", 1)
    two.record(700.0, "a", 2)  # its clock began elsewhere
    one.merge_report(400.0, two.report(800.0))
    assert one.known["a"].acting_version == 2
    stale = AppliedVersions(0.0, 1e6)
    stale.record(0.0, "a", 1)
    one.merge_report(500.0, stale.report(400.0))
    assert one.known["a"].acting_version == 2
    one.connected.add("a")
    one.record(600.0, "a", 0)  # a new machine of that name
    one.merge_report(600.0, two.report(800.0))
    assert one.known["a"].acting_version == 0


@pytest.mark.parametrize(
    "told", [None, 7, {}, {"complete": 1, "told": "x", "rows": []}, {"complete": True, "told": 1, "rows": [["a"]]}]
)
def test_a_report_that_is_none_changes_nothing(told: object) -> None:
    s = AppliedVersions(0.0)
    with pytest.raises(ValueError):
        s.merge_report(1.0, told)
    assert (s.known, s.complete) == ({}, False)


def test_who_is_known_is_bounded_and_the_longest_expired_go_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(applied_versions, "MAX_KNOWN", 2)
    s = AppliedVersions(0.0, 100.0)
    assert s.record(0.0, "a", 1) and s.record(50.0, "b", 1)
    assert not s.record(60.0, "c", 1)
    assert s.record(140.0, "c", 1)
    assert sorted(s.known) == ["b", "c"]
