"""What watchers are sent: change sets, deltas, snapshots; rates and turns; limits of sessions."""

from __future__ import annotations

import random

import pytest

from rushweir.rollout import object_store, watch_channel, watch_session_limits
from rushweir.rollout.change_sets import MAX_OBJECT_BYTES, Change, ChangeSet
from rushweir.rollout.object_store import ObjectStoreError, encode_key, encode_object
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watch_session_records import Rates
from tests.rollout.conftest import KEY, Scene


def methods(scene: Scene) -> list[str]:
    return [m for _, _, data in scene.sent if (m := watch_channel.read(data, KEY)[0]) != "rollout.beat"]


def data(n: int) -> bytes:
    return random.Random(n).randbytes(150)  # does not compress


def commit_partners(scene: Scene, partners: int, change_sets: int = 1) -> None:
    each = partners // change_sets
    for s in range(change_sets):
        scene.commit(*((f"p{n}", data(n)) for n in range(s * each, s * each + each)))


def stored_of(scene: Scene) -> StoredSettings:
    return StoredSettings(scene.controls["c"].store.copy())


def test_change_is_one_small_message_whatever_the_size_of_the_settings(scene: Scene) -> None:
    sizes = []
    for partners in (10, 4_000):
        s = Scene()
        s.control("c")
        commit_partners(s, partners)
        ingress = s.ingress()
        s.run(3_000)
        assert ingress.core.version == 1
        s.sent.clear()
        s.commit(("p3", b"y" * 150))
        s.settle()
        assert methods(s) == ["rollout.step"]
        assert ingress.core.version == 2
        sizes.append(sum(len(d) for _, _, d in s.sent))
    assert sizes[0] == sizes[1] < 600


def test_returning_watcher_gets_the_change_sets_since_its_version(scene: Scene) -> None:
    scene.control("c")
    commit_partners(scene, 2_000)
    stored = stored_of(scene)
    for n in range(5):
        scene.commit((f"p{n}", b"new"))
    ingress = scene.ingress(kept=stored)
    scene.run(1_000)
    assert methods(scene) == ["rollout.step"] * 5
    assert ingress.core.version == 6


def test_delta_is_sent_if_the_recent_change_sets_do_not_suffice(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 10)
    control = scene.control("c")
    commit_partners(scene, 2_000)
    stored = stored_of(scene)
    for n in range(20):
        scene.commit((f"p{n % 4}", b"new %d" % n), (f"gone{n}", b"x"))
        scene.commit((f"gone{n}", None), (f"p{100 + n}", None))
    ingress = scene.ingress(kept=stored)
    scene.run(1_000)
    assert methods(scene) == ["rollout.ask", "rollout.mend"]
    assert (ingress.core.version, ingress.core.buffer.digest()) == (41, control.store.digest())
    assert control.counts["wholes"] == 0
    fields = (
        watch_channel.read(scene.sent[-1][2], KEY)[1]
        if watch_channel.read(scene.sent[-1][2], KEY)[0] == "rollout.mend"
        else None
    )
    fields = fields or next(
        f for _, _, d in scene.sent for m, f in [watch_channel.read(d, KEY)] if m == "rollout.mend"
    )
    assert sum(held is not None for _, held in fields["rows"]) == 4


def test_deletions_are_found_without_tombstones(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 2)
    monkeypatch.setattr(object_store, "MAX_TOMBSTONES", 3)
    control = scene.control("c")
    commit_partners(scene, 300)
    stored = stored_of(scene)
    for n in range(20):
        scene.commit((f"p{n}", None))
    ingress = scene.ingress(kept=stored)
    scene.run(1_000)
    assert control.store.deleted_since(1) is None
    assert (ingress.core.version, ingress.core.buffer.digest()) == (21, control.store.digest())
    assert (control.counts["wholes"], ingress.core.store.count) == (0, 280)


def test_delta_replaces_many_change_sets_if_it_is_smaller(scene: Scene) -> None:
    control = scene.control("c")
    commit_partners(scene, 10)
    stored = stored_of(scene)
    for n in range(1_000):
        scene.commit(("p1", b"%d" % n * 10))
    ingress = scene.ingress(kept=stored)
    scene.run(1_000)
    assert methods(scene) == ["rollout.ask", "rollout.mend"]
    assert ingress.core.version == control.store.version


def test_altered_objects_of_the_right_version_are_repaired_without_a_snapshot(scene: Scene) -> None:
    control = scene.control("c")
    commit_partners(scene, 2_000)
    stored = stored_of(scene)
    stored.store.put([(encode_key(("partner", "p7")), encode_object(1, b"altered"))], 1)
    ingress = scene.ingress(kept=stored)
    scene.run(2_000)
    assert ingress.core.buffer.digest() == ingress.core.store.digest() == control.store.digest()
    assert ingress.core.store.get(("partner", "p7")) == data(7)
    assert control.counts["wholes"] == 0


def test_snapshot_is_sent_to_a_watcher_with_nothing_and_only_by_a_process_with_a_majority(scene: Scene) -> None:
    control = scene.control("c")
    commit_partners(scene, 1_000)
    control.set_current(scene.now, False)
    ingress = scene.ingress()
    scene.run(3_000)
    assert (ingress.core.version, control.counts["wholes"]) == (0, 0)
    control.set_current(scene.now, True)
    scene.run(100)
    assert (ingress.core.version, control.counts["wholes"]) == (1, 1)


def test_snapshot_comes_in_chunks_and_newer_change_sets_after_it(scene: Scene) -> None:
    control = scene.control("c", rates=Rates(20_000.0, 4_000.0))
    for quarter in range(4):
        scene.commit(*((f"p{n}", data(n)) for n in range(quarter * 2_000, quarter * 2_000 + 2_000)))
    scene.ingress()
    scene.run(1_000)
    ingress = scene.ingresses[0]
    assert ingress.core.version == 0 and ingress.core.repair_delta is not None
    scene.commit(("p1", b"new"))
    scene.run(150_000)
    assert (ingress.core.version, ingress.core.buffer.digest()) == (5, control.store.digest())
    assert control.counts["wholes"] == 1
    assert methods(scene).count("rollout.mend") > 5


def test_small_change_sets_are_sent_before_chunks(scene: Scene) -> None:
    scene.control("c", rates=Rates(400_000.0, 50_000.0))
    commit_partners(scene, 8_000, 4)
    stored = stored_of(scene)
    scene.ingress("new")
    old = scene.ingress("old", kept=stored)
    scene.run(500)
    for n in range(15):
        version = scene.commit((f"p{n}", b"new"))
        scene.run(200)
        assert old.core.version == version
    assert scene.ingresses[0].core.version == 0  # its snapshot is not complete yet


def test_large_messages_get_their_share_of_the_rate_while_small_ones_wait(scene: Scene) -> None:
    control = scene.control("c", rates=Rates(20_000.0, 10_000.0))
    commit_partners(scene, 400)
    stored = stored_of(scene)
    for k in range(20):
        scene.ingress(f"i{k}", kept=StoredSettings(stored.store.copy()))
    new = scene.ingress("new")
    for n in range(600):  # three times as many bytes as the rate allows
        scene.commit((f"p{n % 10}", b"%d" % n * 30))
        scene.run(50)
        if new.core.version:
            break
    assert new.core.version, "small messages took the whole rate"
    assert control.small or control.large


def test_bytes_per_second_are_bounded(scene: Scene) -> None:
    rates = Rates(30_000.0, 10_000.0)
    control = scene.control("c", rates=rates)
    commit_partners(scene, 2_000)
    for k in range(20):
        scene.ingress(f"i{k}")
    most = 0
    for second in range(30):
        before = control.counts["bytes"]
        if second % 3 == 0:
            scene.commit((f"p{second}", b"new"))
        scene.run(1_000)
        most = max(most, control.counts["bytes"] - before)
    chunk_bytes = 2 * watch_session_limits.CHUNK_BYTES
    assert 25_000 < most <= rates.rate + rates.burst + chunk_bytes
    scene.run(400_000)
    assert {ingress.core.version for ingress in scene.ingresses} == {control.store.version}


def test_waiting_watchers_take_turns(scene: Scene) -> None:
    scene.control("c", rates=Rates(4_000.0, 500.0))
    commit_partners(scene, 10)
    stored = stored_of(scene)
    for k in range(4):
        scene.ingress(f"i{k}", kept=StoredSettings(stored.store.copy()))
    scene.run(1_000)
    for n in range(12):
        scene.commit((f"p{n % 3}", b"%d" % n * 20))
    seen = []
    for _ in range(40):
        scene.run(100)
        versions = [ingress.core.version for ingress in scene.ingresses]
        assert max(versions) - min(versions) <= 1
        seen.append(min(versions))
    assert len(set(seen)) > 4  # it took several rounds


def test_watcher_that_is_not_writable_gets_nothing_and_delays_no_other(scene: Scene) -> None:
    control = scene.control("c")
    slow, quick = scene.ingress("slow"), scene.ingress("quick")
    scene.run(1_000)
    conn = slow.wire[1][1]
    control.set_writable(scene.now, conn, False)
    commit_partners(scene, 10)
    scene.run(1_000)
    assert (slow.core.version, quick.core.version) == (0, 1)
    control.set_writable(scene.now, conn, True)
    scene.settle()
    assert slow.core.version == 1


def test_sessions_and_recent_change_sets_are_bounded(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_SESSIONS", 2)
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 3)
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT_BYTES", 2_000)
    control = scene.control("c")
    for k in range(3):
        scene.ingress(f"i{k}")
    scene.run(100)
    assert (len(control.sessions), scene.closed[0]) == (2, "too many sessions")
    for n in range(10):
        scene.commit((f"p{n}", b"x"))
    assert list(control.recent) == [8, 9, 10]
    scene.commit(("large", random.Random(1).randbytes(5_000)))
    assert list(control.recent) == [11]


def test_watch_with_another_nonce_or_key_or_a_missing_watch_is_refused(scene: Scene) -> None:
    control = scene.control("c")
    commit_partners(scene, 3)
    fields = {"who": "x", "version": 0, "digest": b"", "acts": 0, "repair": False}
    control.opened(scene.now, 1)
    control.received(
        scene.now, 1, watch_channel.write("rollout.watch", {**fields, "nonce": control.sessions[1].nonce + 1}, KEY)
    )
    control.opened(scene.now, 2)
    control.received(
        scene.now, 2, watch_channel.write("rollout.watch", {**fields, "nonce": control.sessions[2].nonce}, b"guessed")
    )
    control.opened(scene.now, 3)
    control.received(scene.now, 3, watch_channel.write("rollout.acts", {"version": 1, "why": ""}, KEY))
    assert (control.sessions, control.counts["bad_messages"], control.applied_versions.known) == ({}, 3, {})


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"jsonrpc":"2.0","method":"x","params":{"body":1}}'])
def test_malformed_message_closes_its_own_session_only(scene: Scene, text: bytes) -> None:
    control = scene.control("c")
    scene.ingress()
    scene.run(10)
    control.opened(scene.now, 99)
    control.received(scene.now, 99, text)
    assert len(control.sessions) == 1


def test_silent_session_is_closed(scene: Scene) -> None:
    control = scene.control("c")
    control.opened(scene.now, 99)
    scene.run(20_000)
    assert (control.sessions, scene.closed) == ({}, ["silent"])


def test_newer_session_of_a_watcher_replaces_the_older_one(scene: Scene) -> None:
    control = scene.control("c")
    scene.ingress("a")
    scene.run(100)
    scene.ingress("a")
    scene.run(100)
    assert scene.closed == ["replaced by a newer session of the same watcher"]
    assert len(control.by_name) == 1


def test_change_set_that_is_not_the_next_is_refused(scene: Scene) -> None:
    control = scene.control("c")
    with pytest.raises(ObjectStoreError):
        control.committed(scene.now, ChangeSet(2, (Change(("plan", "a"), b"1"),)))


def test_process_that_installed_a_snapshot_of_the_log_continues_from_its_version(scene: Scene) -> None:
    control, lagging = scene.control("c"), scene.control("d")
    scene.commit(("a", b"1"), ("b", b"1"))
    ingress = scene.ingress("i", ("d",))
    scene.run(500)
    scene.commit(("a", b"2"), ("b", None), controls=("c",))
    scene.commit(("e", b"3"), controls=("c",))
    lagging.snapshot_installed(scene.now, 3, {key: (version, data) for key, version, data in control.store.objects()})
    scene.run(500)
    assert lagging.store.digest() == control.store.digest() == ingress.core.store.digest()
    scene.commit(("a", b"4"))
    scene.run(500)
    assert (ingress.core.version, lagging.counts["wholes"]) == (4, 1)


def test_change_set_of_the_largest_size_arrives(scene: Scene) -> None:
    control = scene.control("c")
    ingress, other = scene.ingress("i"), scene.ingress("other")
    scene.run(500)
    rng = random.Random(4)
    version = scene.commit(
        *((f"p{n}", rng.randbytes(MAX_OBJECT_BYTES)) for n in range(15)), ("p15", rng.randbytes(65_000))
    )
    last_version = scene.commit(("p1", b"small"))
    scene.run(2_000)
    assert (version, ingress.core.version, other.core.version) == (1, last_version, last_version)
    assert ingress.core.store.digest() == control.store.digest()
