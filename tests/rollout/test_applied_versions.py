"""Which watcher applies which version, as the control processes know it together."""

from __future__ import annotations

import pytest

from rushweir.rollout import applied_versions
from rushweir.rollout.applied_versions import AppliedVersions
from rushweir.rollout.object_store import ObjectStore
from tests.rollout.conftest import Scene


def commit_partners(scene: Scene, partners: int) -> None:
    scene.commit(*((f"p{n}", b"x") for n in range(partners)))


def test_minimum_is_the_version_that_all_watchers_apply_at_all_control_processes(scene: Scene) -> None:
    for name in "cde":
        scene.control(name, expire_ms=20_000)
    ingresses = [scene.ingress(f"i{k}", ("c", "d", "e")) for k in range(9)]
    scene.run(25_000)  # their knowledge is complete now
    ingresses[0].refuses[("partner", "p1")] = b"bad"
    commit_partners(scene, 10)
    scene.run(6_000)
    assert {s.minimum_acting_version() for s in scene.controls.values()} == {1}
    scene.commit(("p1", b"bad"))
    scene.run(6_000)
    assert {ingress.core.version for ingress in ingresses[1:]} == {2} and ingresses[0].core.version == 1
    assert {s.minimum_acting_version() for s in scene.controls.values()} == {1}
    for s in scene.controls.values():
        row = s.rows()[0]
        assert (row["ingress"], row["acts"], row["behind"], row["refused"]) == ("i0", 1, 1, 2)
        assert row["why"] == "partner p1: rate: too large here"
    scene.commit(("p1", b"good"))
    scene.run(6_000)
    assert (
        {s.minimum_acting_version() for s in scene.controls.values()}
        == {ingress.core.least for ingress in ingresses}
        == {3}
    )
    assert all(row["why"] == "" for row in scene.controls["c"].rows())


def test_unreachable_watcher_blocks_the_minimum_until_it_expires(scene: Scene) -> None:
    control = scene.control("c", expire_ms=30_000)
    a, unreachable = scene.ingress("a"), scene.ingress("gone")
    commit_partners(scene, 3)
    scene.run(31_000)
    assert control.minimum_acting_version() == 1
    scene.ingresses.remove(unreachable)
    scene.cut(unreachable, 1, tell=False)
    scene.commit(("p1", b"new"))
    scene.run(20_000)
    assert (a.core.version, control.minimum_acting_version(), a.core.least) == (2, 1, 1)
    assert "not heard for 2" in control.rows()[0]["why"]
    scene.run(15_000)
    assert (control.minimum_acting_version(), a.core.least) == (2, 2)
    assert "expired" in control.rows()[0]["why"]
    assert control.applied_versions.forget("gone") and len(control.rows()) == 1
    assert not control.applied_versions.forget("a")


def test_starting_control_process_reports_no_minimum_until_its_knowledge_is_complete(scene: Scene) -> None:
    first = scene.control("c", expire_ms=30_000)
    scene.ingress("a")
    commit_partners(scene, 3)
    scene.run(10_000)
    assert first.minimum_acting_version() == 0
    scene.run(30_000)
    assert first.minimum_acting_version() == 1
    second = scene.control("d", ObjectStore.load(first.store.dump()), expire_ms=30_000)
    assert second.minimum_acting_version() == 0
    scene.run(4_000)
    assert second.minimum_acting_version() == 1  # by the report of the other


def test_minimum_never_decreases() -> None:
    versions = AppliedVersions(0.0, 10.0)
    versions.record(0.0, "a", 5)
    assert versions.minimum(20.0) == 0  # expired too
    versions.record(21.0, "a", 5)
    assert versions.minimum(22.0) == 5
    versions.record(23.0, "b", 2)
    assert versions.minimum(24.0) == 5


def test_newer_of_two_reports_counts_and_an_open_session_before_both() -> None:
    one, two = AppliedVersions(0.0, 1e6), AppliedVersions(500.0, 1e6)
    one.record(100.0, "a", 1)
    two.record(700.0, "a", 2)  # its clock has another zero
    one.merge_report(400.0, two.report(800.0))
    assert one.known["a"].acting_version == 2
    stale = AppliedVersions(0.0, 1e6)
    stale.record(0.0, "a", 1)
    one.merge_report(500.0, stale.report(400.0))
    assert one.known["a"].acting_version == 2
    one.connected.add("a")
    one.record(600.0, "a", 0)  # a new machine of the same name
    one.merge_report(600.0, two.report(800.0))
    assert one.known["a"].acting_version == 0


@pytest.mark.parametrize(
    "report", [None, 7, {}, {"complete": 1, "told": "x", "rows": []}, {"complete": True, "told": 1, "rows": [["a"]]}]
)
def test_malformed_report_changes_nothing(report: object) -> None:
    versions = AppliedVersions(0.0)
    with pytest.raises(ValueError):
        versions.merge_report(1.0, report)
    assert (versions.known, versions.complete) == ({}, False)


def test_known_watchers_are_bounded_and_the_longest_expired_is_forgotten_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(applied_versions, "MAX_KNOWN", 2)
    versions = AppliedVersions(0.0, 100.0)
    assert versions.record(0.0, "a", 1) and versions.record(50.0, "b", 1)
    assert not versions.record(60.0, "c", 1)
    assert versions.record(140.0, "c", 1)
    assert sorted(versions.known) == ["b", "c"]
