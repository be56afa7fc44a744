"""The watcher: what it takes and refuses, its commands to apply and to persist, and its reports."""

from __future__ import annotations

import random

import pytest

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.stored_settings import Rewrite, StoredSettings
from rushweir.rollout.watch_session_records import Send as Sent
from rushweir.rollout.watcher import Watcher
from rushweir.rollout.watcher_commands import Apply, Persist
from tests.rollout.conftest import KEY, Ingress, Scene, whom


def change_set_messages(scene: Scene, count: int) -> list[bytes]:
    """Messages with change sets, as a control process sends them."""
    c = scene.control("other")
    for n in range(count):
        c.committed(scene.now, ChangeSet(n + 1, (Change(("partner", f"p{n}"), b"%d" % n),)))
    return [r.message for r in c.recent.values()]


def watching_ingress(scene: Scene) -> Ingress:
    """An ingress that watches a control process without settings; the test passes it messages directly."""
    scene.control("c")
    i = scene.ingress()
    scene.run(100)
    return i


# --- messages received ---------------------------------------------------------------------------


def test_repeated_and_late_change_sets_change_nothing(scene: Scene) -> None:
    i, messages = watching_ingress(scene), change_set_messages(scene, 3)
    for message in (messages[0], messages[0], messages[1], messages[0], messages[1], messages[2], messages[2]):
        i.core.received(scene.now, 1, message)
        i.carry_out()
    assert [v for v, _ in i.applies] == [1, 2, 3]
    assert i.core.counts["known"] == 4


def test_change_set_beyond_the_next_is_not_taken_and_asked_for_again(scene: Scene) -> None:
    i, messages = watching_ingress(scene), change_set_messages(scene, 3)
    i.core.received(scene.now, 1, messages[2])
    i.core.received(scene.now, 1, messages[1])
    i.carry_out()
    assert (i.core.version, i.core.counts["ahead"]) == (0, 2)
    before = i.core.counts["watches"]
    scene.run(300)
    assert i.core.counts["watches"] == before + 1  # once for both


def test_altered_message_is_refused_and_asked_for_again(scene: Scene) -> None:
    scene.control("c")
    i = scene.ingress()
    scene.commit(("p", b"0"))
    scene.run(100)
    rng = random.Random(3)
    left = 3

    def alter(data: bytes) -> bytes:
        nonlocal left
        if left and b"rollout.step" in data:
            left -= 1
            at = data.index(b'"body":"') + 8 + rng.randrange(40)
            return data[:at] + (b"A" if data[at : at + 1] != b"A" else b"B") + data[at + 1 :]
        return data

    scene.changed = alter
    scene.commit(("p", b"1"))
    scene.run(5_000)
    assert (i.core.version, i.core.counts["bad_messages"], left) == (2, 3, 0)
    assert [n.event for n in i.notes] == ["rollout_message_refused"] * len(i.notes) and i.notes


def test_control_process_that_sends_only_altered_messages_is_left(scene: Scene) -> None:
    scene.control("c"), scene.control("d")
    i = scene.ingress("i1", ("c", "d"))
    scene.run(100)
    first = whom(i)
    real = scene.down
    scene.changed = lambda data: data.replace(b'"body":"', b'"body":"x')
    for _ in range(6):
        scene.run(2_000)
    assert i.core.connections.primary_losses >= 1
    scene.changed, scene.down = None, real
    scene.run(10_000)
    assert whom(i) != "" and first in ("c", "d")


def test_change_set_whose_digest_does_not_match_is_not_taken(scene: Scene) -> None:
    i = watching_ingress(scene)
    step = ChangeSet(1, (Change(("partner", "a"), b"1"),))
    i.core.received(scene.now, 1, watch_channel.write("rollout.step", {"step": pack(step), "digest": b"x" * 16}, KEY))
    i.carry_out()
    assert (i.core.version, i.core.buffer.version, i.core.counts["digest_wrong"]) == (0, 0, 1)
    assert (i.core.buffer.rows, i.core.repairing) == ({}, True)


CHUNK = {"base": 0, "version": 1, "piece": 0, "more": True, "digest": b""}


@pytest.mark.parametrize(
    ("method", "fields"),
    [
        ("rollout.step", {"step": b"x", "digest": b""}),
        ("rollout.step", {"digest": b""}),
        ("rollout.mend", {**CHUNK, "rows": [["", b"1"]], "marks": {}}),
        ("rollout.mend", {**CHUNK, "rows": [7], "marks": {}}),
        ("rollout.mend", {**CHUNK, "rows": [], "marks": {999: b""}}),
        ("rollout.mend", {**CHUNK, "rows": 7, "marks": {}}),
        ("rollout.beat", {"head": -1, "least": 0}),
    ],
)
def test_malformed_sealed_messages_change_nothing(scene: Scene, method: str, fields: dict) -> None:
    i = watching_ingress(scene)
    i.core.received(scene.now, 1, watch_channel.write(method, fields, KEY))
    assert (i.core.counts["bad_messages"], i.core.buffer.version, i.core.repair_delta) == (1, 0, None)


def test_chunks_cut_off_in_the_middle_change_nothing_and_are_sent_again(scene: Scene) -> None:
    c = scene.control("c")
    scene.commit(*((f"p{n}", random.Random(n).randbytes(200)) for n in range(1_000)))
    seen = 0

    def cut(data: bytes) -> bytes | None:
        nonlocal seen
        seen += b"rollout.mend" in data
        if b"rollout.mend" in data and seen == 3:
            scene.cut(scene.ingresses[0], 1)
            return None
        return data

    scene.changed = cut
    i = scene.ingress()
    scene.run(1)
    assert (i.core.version, i.core.repair_delta, seen) == (0, None, 3)
    scene.run(3_000)
    assert (i.core.version, i.core.buffer.digest()) == (1, c.store.digest())


# --- applying and persisting ----------------------------------------------------------------------


def test_refusal_changes_nothing_and_a_later_change_set_corrects_it(scene: Scene) -> None:
    c = scene.control("c")
    i, other = scene.ingress("i"), scene.ingress("other")
    scene.commit(("a", b"1"), ("b", b"1"))
    scene.run(500)
    i.refuses[("partner", "b")] = b"bad"
    scene.commit(("a", b"2"), ("b", b"bad"))
    scene.commit(("c", b"1"))
    scene.run(500)
    assert (i.core.version, other.core.version) == (1, 3)
    assert i.core.store.get(("partner", "a")) == b"1"
    assert i.core.status()["refused"] == "partner b: rate: too large here"
    assert c.rows()[0]["why"] == "partner b: rate: too large here"
    scene.commit(("b", b"good"))
    scene.run(500)
    assert i.core.version == 4
    # All changes since its acting version are applied together.
    assert i.applies[-1] == (4, [("partner", n) for n in "abc"])
    assert (i.core.status()["refused"], i.core.store.digest()) == ("", c.store.digest())


def test_refused_version_is_not_applied_again_until_something_changes(scene: Scene) -> None:
    scene.control("c")
    i = scene.ingress("i")
    i.refuses[("partner", "b")] = b"bad"
    scene.commit(("b", b"bad"))
    scene.run(60_000)
    assert i.core.counts["refused"] == 1


def test_refusal_is_kept_when_the_version_before_it_reaches_the_disk(scene: Scene) -> None:
    c, i = scene.control("c"), scene.ingress("i")
    i.slow, i.refuses[("partner", "b")] = [], b"bad"
    scene.commit(("a", b"1"))
    scene.run(2_500)
    scene.commit(("b", b"bad"))
    scene.run(2_500)
    assert (c.rows()[0]["acts"], c.rows()[0]["refused"]) == (
        0,
        2,
    )  # the acting version is reported once it is on disk
    (keep,) = i.slow
    i.core.persisted(scene.now, keep.version)
    scene.run(10_000)
    row = c.rows()[0]
    assert (row["acts"], row["refused"], row["why"]) == (1, 2, "partner b: rate: too large here")
    i.slow = None
    scene.commit(("b", b"good"))
    scene.run(5_000)
    assert (c.rows()[0]["acts"], c.rows()[0]["refused"], c.rows()[0]["why"]) == (3, 0, "")


def test_refusal_is_reported_to_the_next_control_process_too(scene: Scene) -> None:
    scene.control("c"), scene.control("d")
    i = scene.ingress("i", ("c", "d"))
    i.refuses[("partner", "b")] = b"bad"
    scene.run(100)
    scene.commit(("b", b"bad"))
    scene.run(100)
    scene.kill(whom(i))
    scene.run(3_000)
    (left,) = scene.controls.values()
    assert left.rows()[0]["why"] == "partner b: rate: too large here"


def test_change_sets_received_while_one_is_applied_are_applied_after_it(scene: Scene) -> None:
    scene.control("c")
    i = scene.ingress("i")
    scene.run(100)
    i.hold = True
    scene.commit(("a", b"1"))
    scene.commit(("a", b"2"), ("b", b"1"))
    scene.commit(("b", None))
    scene.settle()
    assert (i.core.version, i.core.buffer.version) == (0, 3)
    i.hold = False
    i.core.applied(scene.now, 1)
    assert i.core.store.get(("partner", "a")) == b"1"
    i.carry_out()
    assert (i.core.version, i.applies) == (
        3,
        [(3, [("partner", "a")])],
    )  # an object created and deleted in between is no change


def test_acting_version_is_reported_only_when_it_is_on_disk(scene: Scene) -> None:
    c = scene.control("c")
    w = Watcher(scene.now, "a", ("c",), StoredSettings(), KEY)
    w.advance(scene.now)
    w.opened(scene.now, 1)
    c.opened(scene.now, 1)

    def exchange() -> list[Apply | Persist]:
        found = []
        while w.commands or c.commands:
            while c.commands:
                down = c.commands.popleft()
                if isinstance(down, Sent):
                    w.received(scene.now, 1, down.data)
            while w.commands:
                order = w.commands.popleft()
                if isinstance(order, Apply | Persist):
                    found.append(order)
                elif hasattr(order, "data"):
                    c.received(scene.now, 1, order.data)
        return found

    def wait(ms: int) -> list[Apply | Persist]:
        found = []
        for _ in range(0, ms, 500):
            scene.now += 500
            c.advance(scene.now)
            w.advance(scene.now)
            found += exchange()
        return found

    exchange()
    wait(5_000)
    scene.commit(("a", b"1"))
    (apply,) = exchange()
    assert isinstance(apply, Apply)
    w.applied(scene.now, 1)
    (keep,) = exchange()
    assert isinstance(keep, Persist) and isinstance(keep.operation, Rewrite)
    assert (w.version, c.applied_versions.known["a"].acting_version) == (1, 0)
    w.persist_failed(scene.now, "no space")
    assert wait(3_000) == []
    assert c.rows()[0]["why"] == "can't keep its settings: no space"
    (keep,) = wait(10_000)
    assert isinstance(keep, Persist) and isinstance(keep.operation, Rewrite) and keep.version == 1
    w.persisted(scene.now, 1)
    wait(500)
    assert (c.applied_versions.known["a"].acting_version, c.rows()[0]["why"]) == (1, "")


def test_starts_from_stored_settings_without_a_control_process(scene: Scene) -> None:
    c = scene.control("c")
    scene.commit(("a", b"1"))
    kept = StoredSettings(c.store.copy())
    scene.kill("c")
    i = scene.ingress(kept=kept)
    scene.run(60_000)
    assert (i.core.version, i.core.store.get(("partner", "a")), whom(i)) == (1, b"1", "")


def test_versions_never_go_back(scene: Scene) -> None:
    """A control process with an old disk has an older version than the ingress."""
    scene.control("c")
    for n in range(5):
        scene.commit(("a", b"%d" % n))
    i = scene.ingress(kept=StoredSettings(scene.controls["c"].store.copy()))
    old = scene.control("c")
    old.committed(scene.now, ChangeSet(1, (Change(("partner", "a"), b"0"),)))
    scene.run(20_000)
    assert (i.core.version, i.applies) == (5, [])
    for n in range(1, 5):
        old.committed(scene.now, ChangeSet(n + 1, (Change(("partner", "a"), b"%d" % n),)))
    scene.commit(("a", b"later"))
    scene.run(2_000)
    assert i.core.version == 6
    assert old.counts["wholes"] == 0


def test_store_with_other_objects_than_the_log_is_repaired(scene: Scene) -> None:
    """Guards against a disk that was moved from another fleet."""
    c = scene.control("c")
    for n in range(3):
        scene.commit(("a", b"%d" % n))
    strange = StoredSettings(c.store.copy())
    strange.store.put([(chr(7) + "partnerb", (2).to_bytes(8, "big") + b"of elsewhere")], 3)
    i = scene.ingress(kept=strange)
    scene.run(1_000)
    scene.commit(("a", b"later"))
    scene.run(1_000)
    assert (i.core.version, i.core.store.digest()) == (4, c.store.digest())
    assert i.core.store.get(("partner", "b")) is None


def test_reports_cost_few_bytes(scene: Scene) -> None:
    c = scene.control("c")
    i = scene.ingress()
    scene.run(5_000)
    before, at, watched = c.counts["bytes"], scene.now, i.core.counts["watches"]
    scene.run(60_000)
    assert (c.counts["bytes"] - before) / 60 < 200  # of 4 KB a second
    assert (i.core.counts["watches"], at) == (watched, scene.now - 60_000)


def test_repeated_chunk_is_taken_once_and_a_chunk_too_early_starts_again(scene: Scene) -> None:
    c = scene.control("c")
    scene.commit(*((f"p{n}", random.Random(n).randbytes(200)) for n in range(1_000)))
    chunks: list[bytes] = []

    def collect(data: bytes) -> bytes | None:
        chunks.append(data) if b"rollout.mend" in data else None
        return None if b"rollout.mend" in data else data

    scene.changed = collect
    i = scene.ingress()
    scene.run(1)
    assert len(chunks) > 4
    for data in (chunks[0], chunks[1], chunks[1], chunks[0]):
        i.core.received(scene.now, 1, data)
    assert i.core.chunks_received == 1  # the first chunk starts again
    for data in [chunks[1], chunks[1], *chunks[2:]]:
        i.core.received(scene.now, 1, data)
    assert i.core.buffer.digest() == c.store.digest()
    late = scene.ingress("late")
    scene.run(1)
    late.core.received(scene.now, 1, chunks[0])
    late.core.received(scene.now, 1, chunks[2])
    assert (late.core.repair_delta, late.core.buffer.version) == (None, 0)
