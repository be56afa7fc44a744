"""Large messages: prepared in a thread on a view, with the result of handling in the loop; the cost for the loop."""

from __future__ import annotations

import asyncio
import gc
import sys
import threading
from hashlib import sha256

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.daemon.beside import GIVING_WAY_S, SWITCH_S, beside, giving_way
from rushweir.rollout import packed_object_store, reorder_buffer, watch_channel
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.large_messages import LARGE_MESSAGE_CHARS, LargeMessage
from rushweir.rollout.object_store import ObjectStore, encode_key, encode_object
from rushweir.rollout.packed_object_store import PackedObjectStore
from rushweir.rollout.reorder_buffer import ReorderBuffer
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watcher import Watcher
from rushweir.rollout.watcher_commands import Apply
from tests.rollout.conftest import KEY, Scene

KEYS = st.tuples(st.sampled_from(["partner", "plan"]), st.text(max_size=2))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
ACTIONS = st.sampled_from(["freeze", "applied", "refused", "compact", ""])


@settings(deadline=None, max_examples=60)
@given(st.lists(st.tuples(CHANGES, ACTIONS, ACTIONS), max_size=10))
def test_delta_computed_on_a_view_is_right_after_any_action_meanwhile(actions: list) -> None:
    """Whatever happens between the view and the use of its delta; counts and sizes stay right too."""
    before = packed_object_store.MAX_UNPACKED_ROWS
    packed_object_store.MAX_UNPACKED_ROWS = 0
    try:
        truth, store = ObjectStore(), PackedObjectStore()
        ahead = ReorderBuffer(store)

        def act(action: str) -> None:
            if action == "freeze" and ahead.applying is None and ahead.rows:
                frozen = ahead.freeze()
                at = {key: data for key, _, data in store.objects()}
                for c in frozen.changes:
                    at.pop(c.key, None) if c.data is None else at.update({c.key: c.data})
                assert frozen.version == ahead.version
                assert at == {key: data for key, _, data in truth.objects()}
            elif action == "applied" and ahead.applying is not None:
                ahead.applied()
                plain = ObjectStore()
                plain.put([row for bucket in store.buckets for row in bucket.items()], store.version)
                assert (store.digest(), store.count, store.size) == (plain.digest(), plain.count, plain.size)
            elif action == "refused" and ahead.applying is not None:
                ahead.refused()
            elif action == "compact" and ahead.applying is None:
                store.compact()

        for version, (changes, first_action, last_action) in enumerate(actions, 1):
            change_set = ChangeSet(version, tuple(changes))
            view = ahead.view()
            act(first_action)
            delta = view.prepare_delta(change_set)
            truth.apply(change_set)
            assert ahead.take_change_set(change_set, truth.digest(), delta)
            assert (ahead.digest(), ahead.digests()) == (truth.digest(), truth.digests())
            assert (ahead.count, ahead.size) == (truth.count, truth.size)
            act(last_action)
    finally:
        packed_object_store.MAX_UNPACKED_ROWS = before


def change_set_message(change_set: ChangeSet, digest: bytes) -> bytes:
    return watch_channel.write("rollout.step", {"step": pack(change_set), "digest": digest}, KEY)


def large_change_set(version: int, count: int = 400) -> ChangeSet:
    data = (sha256(b"%d %d" % (version, n)).hexdigest().encode() for n in range(count))
    return ChangeSet(version, tuple(Change(("partner", str(n)), d) for n, d in enumerate(data)))


def watching() -> tuple[Watcher, int, ObjectStore]:
    """Return a connected watcher that applies version 1, its connection and a copy of the control process's store."""
    s = Scene()
    c = s.control("c")
    c.committed(s.now, large_change_set(1))
    i = s.ingress()
    s.run(1_000)
    assert i.core.version == 1
    assert i.core.connections.primary is not None
    return i.core, i.core.connections.primary.conn, c.store.copy()


def test_large_message_is_prepared_and_a_small_one_is_not() -> None:
    core, conn, store = watching()
    change_set = large_change_set(2)
    store.apply(change_set)
    text = change_set_message(change_set, store.digest())
    assert core.prepare_large_message(b"x" * LARGE_MESSAGE_CHARS) is None
    message = core.prepare_large_message(text)
    assert message is not None
    message.prepare()
    core.received(core.now, conn, text, message)
    assert core.buffer.digest() == store.digest()
    (command,) = [o for o in core.commands if isinstance(o, Apply)]
    assert sorted(command.changes, key=lambda c: c.key) == sorted(change_set.changes, key=lambda c: c.key)


def test_delta_is_computed_again_only_if_the_state_changed_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    core, conn, store = watching()
    first, second = large_change_set(2), large_change_set(3)
    computed: list[int] = []
    real = reorder_buffer.ReorderBuffer.prepare_delta
    monkeypatch.setattr(
        reorder_buffer.ReorderBuffer,
        "prepare_delta",
        lambda ahead, change_set: (computed.append(change_set.version), real(ahead, change_set))[1],
    )
    texts = []
    for change_set in (first, second):
        store.apply(change_set)
        texts.append(change_set_message(change_set, store.digest()))
    one, two = core.prepare_large_message(texts[0]), core.prepare_large_message(texts[1])  # both on version 1
    assert one is not None
    assert two is not None
    one.prepare()
    two.prepare()
    assert computed == [2]  # the other is not the next change set there
    core.received(core.now, conn, texts[0], one)
    assert computed == [2]
    core.received(core.now, conn, texts[1], two)
    assert computed == [2, 3]
    assert core.buffer.digest() == store.digest()
    stale = LargeMessage(texts[1], KEY, core.buffer.view())
    stale.prepare()
    core.received(core.now, conn, texts[1], stale)
    assert core.counts["known"] == 1


def test_delta_is_computed_again_after_a_repair_of_the_objects_meanwhile() -> None:
    truth, store = ObjectStore(), PackedObjectStore()
    truth.put([(encode_key(("plan", "a")), encode_object(1, b"right"))], 1)
    store.put([(encode_key(("plan", "a")), encode_object(1, b"altered"))], 1)
    ahead = ReorderBuffer(store)
    change_set = ChangeSet(2, (Change(("plan", "a"), b"new"),))
    delta = ahead.view().prepare_delta(change_set)
    repair = reorder_buffer.Delta(ahead)
    repair.add(encode_key(("plan", "a")), encode_object(1, b"right"))
    assert ahead.take_delta(repair, 1, truth.digest())
    truth.apply(change_set)
    assert ahead.take_change_set(change_set, truth.digest(), delta)


def test_altered_or_malformed_large_message_is_refused_as_a_small_one() -> None:
    core, conn, store = watching()
    change_set = large_change_set(2)
    store.apply(change_set)
    intact = change_set_message(change_set, store.digest())
    noise = b"".join(sha256(b"%d" % n).digest() for n in range(900))
    damaged = [
        intact[:200] + bytes([intact[200] ^ 1]) + intact[201:],
        watch_channel.write("rollout.step", {"step": noise, "digest": b"x" * 16}, KEY),
        watch_channel.write("rollout.step", {"digest": b"x" * 16, "more": noise}, KEY),
    ]
    for n, text in enumerate(damaged, 1):
        message = core.prepare_large_message(text)
        assert message is not None
        message.prepare()
        core.received(core.now, conn, text, message)
        assert (core.counts["bad_messages"], core.buffer.version) == (n, 1)
    message = core.prepare_large_message(intact)
    assert message is not None
    message.prepare()
    core.received(core.now, conn, intact, message)
    assert core.buffer.version == 2


def test_delta_of_a_change_set_decompresses_each_bucket_at_most_once(monkeypatch: pytest.MonkeyPatch) -> None:
    stored = StoredSettings()
    stored.store.put([(encode_key(("partner", str(n))), encode_object(1, b"x" * 60)) for n in range(4_000)], 1)
    for bucket in stored.store.buckets:
        bucket.pack()  # type: ignore[attr-defined]
    decompressed: list[int] = []
    real = packed_object_store.decompress
    monkeypatch.setattr(packed_object_store, "decompress", lambda page: (decompressed.append(1), real(page))[1])
    ahead = ReorderBuffer(stored.store)
    change_set = large_change_set(2, 4_000)
    delta = ahead.prepare_delta(change_set)
    assert len(decompressed) <= 256
    ahead.take_delta(delta, 2, b"")  # wrong digest: nothing is taken
    assert ahead.version == 1
    right = ObjectStore()
    right.put([row for bucket in stored.store.buckets for row in bucket.items()], 1)
    right.apply(change_set)
    decompressed.clear()
    assert ahead.take_change_set(change_set, right.digest(), delta)
    frozen = ahead.freeze()
    assert frozen.changes
    assert len(decompressed) <= 256
    decompressed.clear()
    ahead.applied()
    assert decompressed == []  # in the loop the rows are only put over the pages
    assert stored.store.digest() == right.digest()


def test_threads_give_way_to_the_loop_until_the_last_one_is_done() -> None:
    async def body() -> None:
        first, second = threading.Event(), threading.Event()
        one = asyncio.create_task(beside(first.wait, 10))
        two = asyncio.create_task(beside(second.wait, 10))
        await asyncio.sleep(0)
        assert sys.getswitchinterval() == pytest.approx(GIVING_WAY_S)
        assert not gc.isenabled()
        first.set()
        assert await one
        assert sys.getswitchinterval() == pytest.approx(GIVING_WAY_S)
        second.set()
        assert await two

    asyncio.run(body())
    assert sys.getswitchinterval() == pytest.approx(SWITCH_S)
    assert gc.isenabled()
    gc.unfreeze()


def test_threads_give_way_no_more_after_work_that_failed() -> None:
    with pytest.raises(ValueError, match="x"), giving_way():
        raise ValueError("x")
    assert sys.getswitchinterval() == pytest.approx(SWITCH_S)
    assert gc.isenabled()
    gc.unfreeze()
