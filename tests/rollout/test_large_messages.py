"""Large steps: weighed beside the loop on a view, and worth as much as weighed in a turn; what a turn then costs."""

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
from rushweir.rollout import packed_object_store as p
from rushweir.rollout import reorder_buffer as ahead_module
from rushweir.rollout import watch_channel
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
DO = st.sampled_from(["freeze", "applied", "refused", "fold", ""])


@settings(deadline=None, max_examples=60)
@given(st.lists(st.tuples(CHANGES, DO, DO), max_size=10))
def test_what_is_weighed_on_a_view_is_what_it_changes(log: list) -> None:
    """Whatever happens between the view and what comes of it; and all that is counted stays true."""
    before, p.MAX_UNPACKED_ROWS = p.MAX_UNPACKED_ROWS, 0
    try:
        truth, book = ObjectStore(), PackedObjectStore()
        ahead = ReorderBuffer(book)

        def act(what: str) -> None:
            if what == "freeze" and ahead.applying is None and ahead.rows:
                frozen = ahead.freeze()
                at = {key: data for key, _, data in book.objects()}
                for c in frozen.changes:
                    at.pop(c.key, None) if c.data is None else at.update({c.key: c.data})
                assert frozen.version == ahead.version
                assert at == {key: data for key, _, data in truth.objects()}
            elif what == "applied" and ahead.applying is not None:
                ahead.applied()
                plain = ObjectStore()
                plain.put([row for part in book.buckets for row in part.items()], book.version)
                assert (book.digest(), book.count, book.size) == (plain.digest(), plain.count, plain.size)
            elif what == "refused" and ahead.applying is not None:
                ahead.refused()
            elif what == "fold" and ahead.applying is None:
                book.compact()

        for number, (changes, then, after) in enumerate(log, 1):
            step = ChangeSet(number, tuple(changes))
            view = ahead.view()
            act(then)
            delta = view.prepare_delta(step)
            truth.apply(step)
            assert ahead.take_change_set(step, truth.digest(), delta)
            assert (ahead.digest(), ahead.digests()) == (truth.digest(), truth.digests())
            assert (ahead.count, ahead.size) == (truth.count, truth.size)
            act(after)
    finally:
        p.MAX_UNPACKED_ROWS = before


def step_mail(step: ChangeSet, digest: bytes) -> bytes:
    return watch_channel.write("rollout.step", {"step": pack(step), "digest": digest}, KEY)


def large(number: int, count: int = 400) -> ChangeSet:
    data = (sha256(b"%d %d" % (number, n)).hexdigest().encode() for n in range(count))
    return ChangeSet(number, tuple(Change(("partner", str(n)), d) for n, d in enumerate(data)))


def watching() -> tuple[Watcher, int, ObjectStore]:
    """Connected, with version 1 that it acts on; and a book as the control process has it."""
    s = Scene()
    c = s.control("c")
    c.committed(s.now, large(1))
    i = s.ingress()
    s.run(1_000)
    assert i.core.version == 1
    assert i.core.connections.primary is not None
    return i.core, i.core.connections.primary.conn, c.store.copy()


def test_a_large_message_may_be_weighed_before_and_a_small_one_is_not() -> None:
    core, conn, book = watching()
    step = large(2)
    book.apply(step)
    text = step_mail(step, book.digest())
    assert core.prepare_large_message(b"x" * LARGE_MESSAGE_CHARS) is None
    work = core.prepare_large_message(text)
    assert work is not None
    work.prepare()
    core.received(core.now, conn, text, work)
    assert core.buffer.digest() == book.digest()
    (order,) = [o for o in core.commands if isinstance(o, Apply)]
    assert sorted(order.changes, key=lambda c: c.key) == sorted(step.changes, key=lambda c: c.key)


def test_what_was_weighed_is_weighed_again_only_beside_something_newer(monkeypatch: pytest.MonkeyPatch) -> None:
    core, conn, book = watching()
    first, second = large(2), large(3)
    weighed: list[int] = []
    real = ahead_module.ReorderBuffer.prepare_delta
    monkeypatch.setattr(
        ahead_module.ReorderBuffer,
        "prepare_delta",
        lambda ahead, step: (weighed.append(step.version), real(ahead, step))[1],
    )
    texts = []
    for step in (first, second):
        book.apply(step)
        texts.append(step_mail(step, book.digest()))
    one, two = core.prepare_large_message(texts[0]), core.prepare_large_message(texts[1])  # both beside version 1
    assert one is not None
    assert two is not None
    one.prepare()
    two.prepare()
    assert weighed == [2]  # the other is no next step there
    core.received(core.now, conn, texts[0], one)
    assert weighed == [2]
    core.received(core.now, conn, texts[1], two)
    assert weighed == [2, 3]
    assert core.buffer.digest() == book.digest()
    stale = LargeMessage(texts[1], KEY, core.buffer.view())
    stale.prepare()
    core.received(core.now, conn, texts[1], stale)
    assert core.counts["known"] == 1


def test_what_was_weighed_beside_objects_that_were_mended_meanwhile_is_weighed_again() -> None:
    truth, book = ObjectStore(), PackedObjectStore()
    truth.put([(encode_key(("plan", "a")), encode_object(1, b"right"))], 1)
    book.put([(encode_key(("plan", "a")), encode_object(1, b"altered"))], 1)
    ahead = ReorderBuffer(book)
    step = ChangeSet(2, (Change(("plan", "a"), b"new"),))
    delta = ahead.view().prepare_delta(step)
    mend = ahead_module.Delta(ahead)
    mend.add(encode_key(("plan", "a")), encode_object(1, b"right"))
    assert ahead.take_delta(mend, 1, truth.digest())
    truth.apply(step)
    assert ahead.take_change_set(step, truth.digest(), delta)


def test_a_large_message_that_is_altered_or_no_step_is_refused_as_a_small_one_is() -> None:
    core, conn, book = watching()
    step = large(2)
    book.apply(step)
    good = step_mail(step, book.digest())
    noise = b"".join(sha256(b"%d" % n).digest() for n in range(900))
    bad = [
        good[:200] + bytes([good[200] ^ 1]) + good[201:],
        watch_channel.write("rollout.step", {"step": noise, "digest": b"x" * 16}, KEY),
        watch_channel.write("rollout.step", {"digest": b"x" * 16, "more": noise}, KEY),
    ]
    for n, text in enumerate(bad, 1):
        work = core.prepare_large_message(text)
        assert work is not None
        work.prepare()
        core.received(core.now, conn, text, work)
        assert (core.counts["bad_messages"], core.buffer.version) == (n, 1)
    work = core.prepare_large_message(good)
    assert work is not None
    work.prepare()
    core.received(core.now, conn, good, work)
    assert core.buffer.version == 2


def test_a_step_is_weighed_with_one_look_into_each_part(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = StoredSettings()
    kept.store.put([(encode_key(("partner", str(n))), encode_object(1, b"x" * 60)) for n in range(4_000)], 1)
    for part in kept.store.buckets:
        part.pack()  # type: ignore[attr-defined]
    looks: list[int] = []
    real = p.decompress
    monkeypatch.setattr(p, "decompress", lambda piece: (looks.append(1), real(piece))[1])
    ahead = ReorderBuffer(kept.store)
    step = large(2, 4_000)
    delta = ahead.prepare_delta(step)
    assert len(looks) <= 256
    ahead.take_delta(delta, 2, b"")  # another digest: nothing is taken
    assert ahead.version == 1
    right = ObjectStore()
    right.put([row for part in kept.store.buckets for row in part.items()], 1)
    right.apply(step)
    looks.clear()
    assert ahead.take_change_set(step, right.digest(), delta)
    frozen = ahead.freeze()
    assert frozen.changes
    assert len(looks) <= 256
    looks.clear()
    ahead.applied()
    assert looks == []  # what the loop has to do with it is no more than to lay it above
    assert kept.store.digest() == right.digest()


def test_work_beside_the_loop_gives_way_until_the_last_of_it_is_done() -> None:
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


def test_it_gives_way_no_more_after_work_that_failed() -> None:
    with pytest.raises(ValueError, match="x"), giving_way():
        raise ValueError("x")
    assert sys.getswitchinterval() == pytest.approx(SWITCH_S)
    assert gc.isenabled()
    gc.unfreeze()
