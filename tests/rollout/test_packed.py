"""A book in few bytes: it is what a book is, packed or loose, and how many bytes an object takes."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Iterator
from hashlib import sha256
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.config import live
from rushweir.daemon.rollout_files import Files, Objects
from rushweir.rollout import kept as k
from rushweir.rollout import packed as p
from rushweir.rollout.book import Book, entry, packed, part_of
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.kept import Kept
from rushweir.rollout.packed import PackedBook
from rushweir.rollout.watcher import FOLD_MS, Watcher
from tests.rollout.test_book import parted

KEYS = st.tuples(st.sampled_from(["partner", "plan"]), st.text(max_size=2))
CHANGES = st.lists(
    st.builds(Change, KEYS, st.none() | st.binary(max_size=12)), min_size=1, max_size=6, unique_by=lambda c: c.key
)
MADE = """\
ingress 0 1
zone a
listen 127.0.0.1:0
path /dispatch
state run
list {
    url ws://127.0.0.1:9/list
}
rollout {
    control 127.0.0.1:9
    key-file watch.key
}
"""
OBJECTS = 8_000


@pytest.fixture
def tight(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing may lie loose, so that small books are packed."""
    monkeypatch.setattr(p, "LOOSE", 0)


def all_of(book: Book) -> tuple:
    rows = sorted(book.objects())
    names = [sorted(part) for part in book.parts]
    marks = [sorted(book.marks(n)) for n in range(len(names))]
    told = (book.version, book.count, book.size, book.floor, book.gone, book.digest(), book.digests())
    return rows, names, marks, told, [book.get(key) for key, _, _ in rows]


@settings(deadline=None, max_examples=60)
@given(st.lists(st.tuples(CHANGES, st.sampled_from(["", "fold", "pack", "load", "copy", "merge"])), max_size=10))
def test_a_packed_book_is_what_a_book_is(log: list) -> None:
    before, p.LOOSE = p.LOOSE, 0
    try:
        plain, small = Book(), PackedBook()
        for number, (changes, then) in enumerate(log, 1):
            step = ChangeSet(number, tuple(changes))
            plain.take(step)
            if then == "merge":
                rows = plain.since(small.version)
                if rows is not None:
                    small.merge(parted(rows), plain.version, plain.sums, plain.count, plain.size)
                    plain.leap(number)  # so does the other; tombstones are not what is compared
            else:
                small.take(step)
            if then == "fold":
                while small.fold():
                    pass
                assert small.loose == 0
            elif then == "pack":
                for part in small.parts:
                    part.pack()  # type: ignore[attr-defined]
            elif then == "load":
                small = PackedBook.load(small.dump(), {packed(c.key) for c in changes})
            elif then == "copy":
                small = small.copy()
            assert all_of(small) == all_of(plain)
            assert all(bool(a) == bool(b) for a, b in zip(small.parts, plain.parts, strict=True))
            assert all_of(Book.load(small.dump())) == all_of(plain)
    finally:
        p.LOOSE = before


@pytest.mark.usefixtures("tight")
def test_a_copy_does_not_change_with_the_book() -> None:
    book = PackedBook()
    book.put([(packed(("plan", str(n))), entry(1, b"1")) for n in range(40)], 1)
    while book.fold():
        pass
    other = book.copy()
    before = all_of(other)
    book.take(ChangeSet(2, (Change(("plan", "7"), b"2"), Change(("plan", "8"), None))))
    assert all_of(other) == before != all_of(book)


def test_few_changes_stay_loose_and_many_are_packed_a_few_parts_at_a_time() -> None:
    book = PackedBook()
    book.put([(packed(("partner", str(n))), entry(1, b"x" * 50)) for n in range(p.LOOSE)], 1)
    assert not book.fold()
    assert all(not part.piece for part in book.parts)  # type: ignore[attr-defined]
    book.put([(packed(("partner", str(n))), entry(2, b"y" * 50)) for n in range(4 * p.LOOSE)], 2)
    turns = 0
    while True:
        before = sum(bool(part.piece) for part in book.parts)  # type: ignore[attr-defined]
        more = book.fold()
        turns += 1
        assert sum(bool(part.piece) for part in book.parts) - before <= p.FOLD  # type: ignore[attr-defined]
        if not more:
            break
    assert book.loose <= p.LOOSE
    assert 10 < turns <= 64
    assert not book.fold()


def test_a_log_of_changes_all_over_is_taken_without_a_look_for_each(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = Kept()
    kept.book.put([(packed(("partner", str(n))), entry(1, b"x" * 50)) for n in range(4_000)], 1)
    book, log = kept.whole().book.dump(), k.MAGIC
    for n in range(2_000):
        rows = [(packed(("partner", str(n * 7 % 4_000))), entry(2 + n, b"y" * 50))]
        kept.book.put(rows, 2 + n)
        log += k.record(["rows", 1 + n, 2 + n, rows, kept.book.digest()])
    looks = []
    real = p.decompress
    monkeypatch.setattr(p, "decompress", lambda piece: (looks.append(1), real(piece))[1])
    back, wrong, _ = k.load(book, log)
    assert (back.book.digest(), wrong) == (kept.book.digest(), [])
    assert len(looks) <= 256


# --- bytes ---------------------------------------------------------------------------------------


def rows(count: int = OBJECTS) -> Iterator[tuple[tuple[str, str], bytes]]:
    yield ("class", "position"), b"aim 800ms\ndeadline 3s\nrepeat safe\n"
    for n in range(20):
        yield ("plan", f"plan-{n}"), b"rate 5/s\nburst 5\nslot %d\n" % n
    for n in range(count):
        digest = sha256(b"%d" % n).hexdigest().encode()
        yield ("partner", f"partner-{n:05d}"), b"plan plan-%d\ncredential sha256:%s\n" % (n % 20, digest)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A machine that kept OBJECTS partners."""
    book = Book()
    book.put([(packed(key), entry(1 + len(data) % 3, data)) for key, data in rows()], 3)
    (tmp_path / "run").mkdir()
    (tmp_path / "run" / "rollout.book").write_bytes(book.dump())
    (tmp_path / "run" / "rollout.log").write_bytes(k.MAGIC)
    (tmp_path / "watch.key").write_bytes(b"w" * 32)
    (tmp_path / "one.conf").write_text(MADE)
    return tmp_path


def test_an_object_takes_few_bytes_in_a_book_and_a_start_makes_no_heap_of_them(folder: Path) -> None:
    """Counted by tracemalloc."""
    live.assemble(folder / "one.conf", list(rows(1)), 1)  # tables of the grammar and models are made
    gc.collect()
    tracemalloc.start(1)
    try:
        kept, wrong = Files(folder / "run").load()
        gc.collect()
        book = tracemalloc.get_traced_memory()[0]
        config = live.assemble(folder / "one.conf", Objects(kept.book), 3)
        gc.collect()
        both, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (wrong, kept.book.count, len(config.file.partners)) == ([], OBJECTS + 21, OBJECTS)
    assert book < 100 * OBJECTS  # 77 of them measured, with 1,002 rows that lay loose; a plain book 237
    assert both - book < 340 * OBJECTS  # 280
    assert peak - both < 80 * OBJECTS  # 31; with a list of all 319


def test_parts_are_as_even_as_their_bound_needs() -> None:
    """What a look unpacks is one part."""
    counts = [0] * 256
    for key, _ in rows(25_300):
        counts[part_of(packed(key))] += 1
    assert max(counts) < 2 * 25_300 / 256


def test_a_watcher_packs_what_lies_loose_between_its_other_work_and_not_while_it_applies() -> None:
    kept = Kept()
    kept.book.put([(packed(("partner", str(n))), entry(1, b"x" * 50)) for n in range(3 * p.LOOSE)], 1)
    digest = kept.book.digest()
    core = Watcher(0.0, "i", ("c",), kept)
    core.buffer.freeze()
    core.advance(FOLD_MS)
    assert not any(part.piece for part in kept.book.parts)  # type: ignore[attr-defined]
    core.refused(2 * FOLD_MS, 1, ("", ""), "", "")
    now, turns = 2 * FOLD_MS, 0
    while kept.book.crowded:
        now += FOLD_MS
        assert core.next_at() <= now
        before = sum(bool(part.piece) for part in kept.book.parts)  # type: ignore[attr-defined]
        core.advance(now)
        assert sum(bool(part.piece) for part in kept.book.parts) - before <= p.FOLD  # type: ignore[attr-defined]
        turns += 1
    assert turns > 10
    assert kept.book.digest() == digest
