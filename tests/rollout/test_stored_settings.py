"""What an ingress keeps of the settings on disk: bytes, damage, and how much is written."""

from __future__ import annotations

import pytest

from rushweir.rollout import stored_settings as k
from rushweir.rollout.object_store import ObjectStore, encode_key, encode_object
from rushweir.rollout.stored_settings import Append, Rewrite, StoredSettings


class Disk:
    """Two files, as the shell keeps them."""

    def __init__(self) -> None:
        self.book: bytes | None = None
        self.log = b""
        self.written = 0

    def do(self, orders: list[Append | Rewrite]) -> None:
        for order in orders:
            if isinstance(order, Rewrite):
                self.book, self.log = order.store.dump(), k.MAGIC
                self.written += len(self.book)
            else:
                self.log += order.data
                self.written += len(order.data)

    def load(self) -> tuple[StoredSettings, list[str], int]:
        return k.load(self.book, self.log)


def change(kept: StoredSettings, disk: Disk, name: str, data: bytes | None) -> None:
    base = kept.store.version
    rows = [(encode_key(("plan", name)), None if data is None else encode_object(base + 1, data))]
    kept.store.put(rows, base + 1)
    disk.do(kept.add(base, rows))


def lived(changes: int = 5) -> tuple[StoredSettings, Disk]:
    kept, disk = StoredSettings(), Disk()
    for n in range(changes):
        change(kept, disk, f"p{n % 3}", b"data %d" % n)
    return kept, disk


def test_what_was_kept_comes_back() -> None:
    kept, disk = lived()
    change(kept, disk, "p0", None)
    back, wrong, good = disk.load()
    assert (back.store.version, back.store.digest(), wrong, good) == (6, kept.store.digest(), [], len(disk.log))
    assert disk.log != k.MAGIC  # the changes after the first were appended


def test_nothing_kept_is_nothing() -> None:
    back, wrong, _ = k.load(None, None)
    assert (back.store.version, wrong) == (0, [])
    assert k.load(None, k.MAGIC + b"x")[1] == ["a log without its book is left out"]


def test_a_log_torn_or_altered_at_any_byte_gives_a_version_that_was_and_says_so() -> None:
    digests = []
    kept, disk = StoredSettings(), Disk()
    for n in range(4):
        change(kept, disk, f"p{n}", b"data")
        digests.append(kept.store.digest())
    whole = disk.log
    for at in range(len(whole)):
        for log in (whole[:at], whole[:at] + bytes([whole[at] ^ 4]) + whole[at + 1 :]):
            back, wrong, good = k.load(disk.book, log)
            assert back.store.digest() == digests[back.store.version - 1]
            assert good <= at
            # A cut between two records can't be told from a change that never came.
            assert wrong or log == whole[:good] or not log
    assert k.load(disk.book, whole)[0].store.version == 4


def test_what_is_appended_behind_the_cut_comes_back() -> None:
    kept, disk = lived()
    disk.log = disk.log[:-3]
    back, wrong, good = disk.load()
    assert wrong
    disk.log = disk.log[:good]
    change(back, disk, "later", b"x")
    again, wrong, _ = disk.load()
    assert (again.store.digest(), wrong) == (back.store.digest(), [])


def test_an_altered_book_is_refused_and_named() -> None:
    _, disk = lived()
    assert disk.book is not None
    disk.book = disk.book[:-1] + bytes([disk.book[-1] ^ 1])
    back, wrong, good = disk.load()
    assert (back.store.version, good) == (0, 0)
    assert "kept settings" in wrong[0] and "torn or altered" in wrong[0]


def test_a_stop_between_the_new_book_and_the_empty_log_is_no_damage() -> None:
    kept, disk = lived()
    disk.book = kept.store.dump()  # and the log is the one before it
    back, wrong, _ = disk.load()
    assert (back.store.digest(), wrong) == (kept.store.digest(), [])


def test_a_change_that_does_not_follow_on_is_named() -> None:
    kept, disk = lived()
    disk.log += k.encode_record(["rows", 9, 10, [], b""])
    back, wrong, _ = disk.load()
    assert back.store.version == kept.store.version
    assert "does not follow on 5" in wrong[0]


def test_a_record_whose_digest_does_not_fit_changes_nothing() -> None:
    kept, disk = lived()
    rows = [
        (encode_key(("plan", "p0")), encode_object(6, b"x")),
        (encode_key(("plan", "new")), encode_object(6, b"y")),
    ]
    disk.log += k.encode_record(["rows", 5, 6, rows, b"x" * 16])
    back, wrong, _ = disk.load()
    assert (back.store.version, back.store.digest()) == (5, kept.store.digest())
    assert "digest" in wrong[0]


@pytest.mark.parametrize("payload", [["rows", 5, 6, 7, b""], ["rows", 5, 6, [["", b""]], b""], ["x"], 7])
def test_records_that_are_none_are_named(payload: object) -> None:
    kept, disk = lived()
    disk.log += k.encode_record(payload)
    back, wrong, _ = disk.load()
    assert (back.store.version, len(wrong)) == (5, 1)


def test_a_day_of_changes_writes_a_small_multiple_of_what_changed() -> None:
    """3,500 changes of one of 25,300 objects."""
    kept, disk = StoredSettings(), Disk()
    rows = [(encode_key(("partner", str(n))), encode_object(1, b"x" * 160)) for n in range(25_300)]
    kept.store.put(rows, 1)
    disk.do(kept.add(0, rows))
    book = disk.written
    changed = 0
    for n in range(3_500):
        change(kept, disk, str(n), b"y" * 160)
        changed += 160
    assert disk.written - book < max(3 * 2 * changed, 2 * book)  # whole books: 3,500 of them
    assert len(disk.log) < max(k.MIN_LOG_BYTES, book // 2) + 1_000
    assert disk.load()[0].store.digest() == kept.store.digest()


def test_the_log_is_bounded_and_the_book_written_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(k, "MIN_LOG_BYTES", 500)
    kept, disk = StoredSettings(), Disk()
    for n in range(200):
        change(kept, disk, f"p{n % 3}", b"data %d" % n)
        assert len(disk.log) < 1_000
    assert disk.load()[0].store.digest() == kept.store.digest()


def test_after_a_failure_the_book_is_written_anew() -> None:
    kept, disk = lived()
    kept.write_failed()
    disk.log += b"torn"
    change(kept, disk, "later", b"x")
    assert disk.log == k.MAGIC
    assert disk.load()[0].store.digest() == kept.store.digest()


def test_a_copy_is_written_while_the_book_goes_on() -> None:
    kept, _ = lived()
    order = kept.rewrite()
    digest = kept.store.digest()
    change(kept, Disk(), "later", b"x")
    assert order.store.digest() == digest != kept.store.digest()
    assert isinstance(order.store, ObjectStore)
