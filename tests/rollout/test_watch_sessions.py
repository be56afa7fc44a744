"""What each ingress gets: steps, what differs, the whole only to one with nothing; bytes, turns; who acts on what."""

from __future__ import annotations

import random

import pytest

from rushweir.rollout import object_store as b
from rushweir.rollout import watch_channel, watch_session_limits
from rushweir.rollout.change_sets import MAX_OBJECT_BYTES, Change, ChangeSet
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watch_session_records import Rates
from tests.rollout.conftest import KEY, Scene


def methods(scene: Scene) -> list[str]:
    return [m for _, _, data in scene.sent if (m := watch_channel.read(data, KEY)[0]) != "rollout.beat"]


def data(n: int) -> bytes:
    return random.Random(n).randbytes(150)  # does not deflate


def filled(scene: Scene, partners: int, steps: int = 1) -> None:
    each = partners // steps
    for s in range(steps):
        scene.commit(*((f"p{n}", data(n)) for n in range(s * each, s * each + each)))


def kept_of(scene: Scene) -> StoredSettings:
    return StoredSettings(scene.controls["c"].store.copy())


def test_a_change_is_one_small_message_whatever_the_size_of_the_settings(scene: Scene) -> None:
    sizes = []
    for partners in (10, 4_000):
        s = Scene()
        s.control("c")
        filled(s, partners)
        i = s.ingress()
        s.run(3_000)
        assert i.core.version == 1
        s.sent.clear()
        s.commit(("p3", b"y" * 150))
        s.settle()
        assert methods(s) == ["rollout.step"]
        assert i.core.version == 2
        sizes.append(sum(len(d) for _, _, d in s.sent))
    assert sizes[0] == sizes[1] < 600


def test_one_that_comes_back_gets_the_steps_since(scene: Scene) -> None:
    scene.control("c")
    filled(scene, 2_000)
    kept = kept_of(scene)
    for n in range(5):
        scene.commit((f"p{n}", b"new"))
    i = scene.ingress(kept=kept)
    scene.run(1_000)
    assert methods(scene) == ["rollout.step"] * 5
    assert i.core.version == 6


def test_beyond_the_recent_steps_only_what_differs_is_sent(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 10)
    c = scene.control("c")
    filled(scene, 2_000)
    kept = kept_of(scene)
    for n in range(20):
        scene.commit((f"p{n % 4}", b"new %d" % n), (f"gone{n}", b"x"))
        scene.commit((f"gone{n}", None), (f"p{100 + n}", None))
    i = scene.ingress(kept=kept)
    scene.run(1_000)
    assert methods(scene) == ["rollout.ask", "rollout.mend"]
    assert (i.core.version, i.core.buffer.digest()) == (41, c.store.digest())
    assert c.counts["wholes"] == 0
    told = (
        watch_channel.read(scene.sent[-1][2], KEY)[1]
        if watch_channel.read(scene.sent[-1][2], KEY)[0] == "rollout.mend"
        else None
    )
    told = told or next(f for _, _, d in scene.sent for m, f in [watch_channel.read(d, KEY)] if m == "rollout.mend")
    assert sum(held is not None for _, held in told["rows"]) == 4


def test_what_is_gone_is_found_without_tombstones_too(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 2)
    monkeypatch.setattr(b, "MAX_TOMBSTONES", 3)
    c = scene.control("c")
    filled(scene, 300)
    kept = kept_of(scene)
    for n in range(20):
        scene.commit((f"p{n}", None))
    i = scene.ingress(kept=kept)
    scene.run(1_000)
    assert c.store.deleted_since(1) is None
    assert (i.core.version, i.core.buffer.digest()) == (21, c.store.digest())
    assert (c.counts["wholes"], i.core.store.count) == (0, 280)


def test_many_steps_become_what_differs_when_that_is_less(scene: Scene) -> None:
    c = scene.control("c")
    filled(scene, 10)
    kept = kept_of(scene)
    for n in range(1_000):
        scene.commit(("p1", b"%d" % n * 10))
    i = scene.ingress(kept=kept)
    scene.run(1_000)
    assert methods(scene) == ["rollout.ask", "rollout.mend"]
    assert i.core.version == c.store.version


def test_altered_objects_of_the_right_version_are_sent_again_and_nothing_else(scene: Scene) -> None:
    c = scene.control("c")
    filled(scene, 2_000)
    kept = kept_of(scene)
    kept.store.put([(b.encode_key(("partner", "p7")), b.encode_object(1, b"altered"))], 1)
    i = scene.ingress(kept=kept)
    scene.run(2_000)
    assert i.core.buffer.digest() == i.core.store.digest() == c.store.digest()
    assert i.core.store.get(("partner", "p7")) == data(7)
    assert c.counts["wholes"] == 0


def test_the_whole_goes_to_one_with_nothing_and_only_from_one_whom_a_majority_hears(scene: Scene) -> None:
    c = scene.control("c")
    filled(scene, 1_000)
    c.set_current(scene.now, False)
    i = scene.ingress()
    scene.run(3_000)
    assert (i.core.version, c.counts["wholes"]) == (0, 0)
    c.set_current(scene.now, True)
    scene.run(100)
    assert (i.core.version, c.counts["wholes"]) == (1, 1)


def test_the_whole_comes_in_pieces_and_steps_meanwhile_after_it(scene: Scene) -> None:
    c = scene.control("c", rates=Rates(20_000.0, 4_000.0))
    for part in range(4):
        scene.commit(*((f"p{n}", data(n)) for n in range(part * 2_000, part * 2_000 + 2_000)))
    scene.ingress()
    scene.run(1_000)
    i = scene.ingresses[0]
    assert i.core.version == 0 and i.core.repair_delta is not None
    scene.commit(("p1", b"new"))
    scene.run(150_000)
    assert (i.core.version, i.core.buffer.digest()) == (5, c.store.digest())
    assert c.counts["wholes"] == 1
    assert methods(scene).count("rollout.mend") > 5


def test_small_steps_go_ahead_of_large_pieces(scene: Scene) -> None:
    scene.control("c", rates=Rates(400_000.0, 50_000.0))
    filled(scene, 8_000, 4)
    kept = kept_of(scene)
    scene.ingress("new")
    old = scene.ingress("old", kept=kept)
    scene.run(500)
    for n in range(15):
        number = scene.commit((f"p{n}", b"new"))
        scene.run(200)
        assert old.core.version == number
    assert scene.ingresses[0].core.version == 0  # still on its way


def test_larger_ones_get_their_part_of_the_bytes_while_small_ones_wait(scene: Scene) -> None:
    c = scene.control("c", rates=Rates(20_000.0, 10_000.0))
    filled(scene, 400)
    kept = kept_of(scene)
    for k in range(20):
        scene.ingress(f"i{k}", kept=StoredSettings(kept.store.copy()))
    new = scene.ingress("new")
    for n in range(600):  # three times as many bytes as may go
        scene.commit((f"p{n % 10}", b"%d" % n * 30))
        scene.run(50)
        if new.core.version:
            break
    assert new.core.version, "the small ones took all"
    assert c.small or c.large


def test_bytes_a_second_are_bounded(scene: Scene) -> None:
    rates = Rates(30_000.0, 10_000.0)
    c = scene.control("c", rates=rates)
    filled(scene, 2_000)
    for k in range(20):
        scene.ingress(f"i{k}")
    most = 0
    for second in range(30):
        before = c.counts["bytes"]
        if second % 3 == 0:
            scene.commit((f"p{second}", b"new"))
        scene.run(1_000)
        most = max(most, c.counts["bytes"] - before)
    piece = 2 * watch_session_limits.CHUNK_BYTES
    assert 25_000 < most <= rates.rate + rates.burst + piece
    scene.run(400_000)
    assert {i.core.version for i in scene.ingresses} == {c.store.version}


def test_those_who_wait_take_turns(scene: Scene) -> None:
    scene.control("c", rates=Rates(4_000.0, 500.0))
    filled(scene, 10)
    kept = kept_of(scene)
    for k in range(4):
        scene.ingress(f"i{k}", kept=StoredSettings(kept.store.copy()))
    scene.run(1_000)
    for n in range(12):
        scene.commit((f"p{n % 3}", b"%d" % n * 20))
    seen = []
    for _ in range(40):
        scene.run(100)
        versions = [i.core.version for i in scene.ingresses]
        assert max(versions) - min(versions) <= 1
        seen.append(min(versions))
    assert len(set(seen)) > 4  # it did take a while


def test_one_that_reads_slowly_gets_nothing_until_it_does_and_holds_nobody_up(scene: Scene) -> None:
    c = scene.control("c")
    slow, quick = scene.ingress("slow"), scene.ingress("quick")
    scene.run(1_000)
    conn = slow.wire[1][1]
    c.set_writable(scene.now, conn, False)
    filled(scene, 10)
    scene.run(1_000)
    assert (slow.core.version, quick.core.version) == (0, 1)
    c.set_writable(scene.now, conn, True)
    scene.settle()
    assert slow.core.version == 1


def test_all_that_is_kept_of_sessions_and_steps_is_bounded(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_session_limits, "MAX_SESSIONS", 2)
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT", 3)
    monkeypatch.setattr(watch_session_limits, "MAX_RECENT_BYTES", 2_000)
    c = scene.control("c")
    for k in range(3):
        scene.ingress(f"i{k}")
    scene.run(100)
    assert (len(c.sessions), scene.closed[0]) == (2, "too many sessions")
    for n in range(10):
        scene.commit((f"p{n}", b"x"))
    assert list(c.recent) == [8, 9, 10]
    scene.commit(("large", random.Random(1).randbytes(5_000)))
    assert list(c.recent) == [11]


def test_a_watch_of_another_session_or_with_another_key_is_refused(scene: Scene) -> None:
    c = scene.control("c")
    filled(scene, 3)
    fields = {"who": "x", "version": 0, "digest": b"", "acts": 0, "repair": False}
    c.opened(scene.now, 1)
    c.received(scene.now, 1, watch_channel.write("rollout.watch", {**fields, "nonce": c.sessions[1].nonce + 1}, KEY))
    c.opened(scene.now, 2)
    c.received(
        scene.now, 2, watch_channel.write("rollout.watch", {**fields, "nonce": c.sessions[2].nonce}, b"guessed")
    )
    c.opened(scene.now, 3)
    c.received(scene.now, 3, watch_channel.write("rollout.acts", {"version": 1, "why": ""}, KEY))
    assert (c.sessions, c.counts["bad_messages"], c.applied_versions.known) == ({}, 3, {})


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"jsonrpc":"2.0","method":"x","params":{"body":1}}'])
def test_bytes_that_are_no_message_close_their_own_session_alone(scene: Scene, text: bytes) -> None:
    c = scene.control("c")
    scene.ingress()
    scene.run(10)
    c.opened(scene.now, 99)
    c.received(scene.now, 99, text)
    assert len(c.sessions) == 1


def test_one_that_falls_silent_is_closed(scene: Scene) -> None:
    c = scene.control("c")
    c.opened(scene.now, 99)
    scene.run(20_000)
    assert (c.sessions, scene.closed) == ({}, ["silent"])


def test_one_that_comes_again_takes_its_old_session_s_place(scene: Scene) -> None:
    c = scene.control("c")
    scene.ingress("a")
    scene.run(100)
    scene.ingress("a")
    scene.run(100)
    assert scene.closed == ["it came again"]
    assert len(c.by_name) == 1


def test_steps_have_to_follow_on(scene: Scene) -> None:
    c = scene.control("c")
    with pytest.raises(b.ObjectStoreError):
        c.committed(scene.now, ChangeSet(2, (Change(("plan", "a"), b"1"),)))


def test_one_that_took_the_whole_log_at_once_sends_on_from_there(scene: Scene) -> None:
    c, d = scene.control("c"), scene.control("d")
    scene.commit(("a", b"1"), ("b", b"1"))
    i = scene.ingress("i", ("d",))
    scene.run(500)
    scene.commit(("a", b"2"), ("b", None), controls=("c",))
    scene.commit(("e", b"3"), controls=("c",))
    d.snapshot_installed(scene.now, 3, {key: (version, data) for key, version, data in c.store.objects()})
    scene.run(500)
    assert d.store.digest() == c.store.digest() == i.core.store.digest()
    scene.commit(("a", b"4"))
    scene.run(500)
    assert (i.core.version, d.counts["wholes"]) == (4, 1)


def test_a_step_of_the_largest_size_gets_through(scene: Scene) -> None:
    c = scene.control("c")
    i, other = scene.ingress("i"), scene.ingress("other")
    scene.run(500)
    rng = random.Random(4)
    number = scene.commit(
        *((f"p{n}", rng.randbytes(MAX_OBJECT_BYTES)) for n in range(15)), ("p15", rng.randbytes(65_000))
    )
    after = scene.commit(("p1", b"small"))
    scene.run(2_000)
    assert (number, i.core.version, other.core.version) == (1, after, after)
    assert i.core.store.digest() == c.store.digest()
