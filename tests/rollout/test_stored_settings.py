"""Settings stored on disk: encoding, damage, and how much is written."""

from __future__ import annotations

import pytest

from rushweir.rollout import stored_settings
from rushweir.rollout.object_store import ObjectStore, encode_key, encode_object, encode_record
from rushweir.rollout.stored_settings import Append, Rewrite, StoredSettings


class Disk:
    """The two files, as the shell writes and reads them."""

    def __init__(self) -> None:
        self.store: bytes | None = None
        self.log = b""
        self.written = 0

    def carry_out(self, commands: list[Append | Rewrite]) -> None:
        for command in commands:
            if isinstance(command, Rewrite):
                self.store, self.log = command.store.dump(), stored_settings.MAGIC
                self.written += len(self.store)
            else:
                self.log += command.data
                self.written += len(command.data)

    def load(self) -> tuple[StoredSettings, list[str], int]:
        return stored_settings.load(self.store, self.log)


def change(stored: StoredSettings, disk: Disk, name: str, data: bytes | None) -> None:
    base = stored.store.version
    rows = [(encode_key(("plan", name)), None if data is None else encode_object(base + 1, data))]
    stored.store.put(rows, base + 1)
    disk.carry_out(stored.add(base, rows))


def changed_settings(changes: int = 5) -> tuple[StoredSettings, Disk]:
    stored, disk = StoredSettings(), Disk()
    for n in range(changes):
        change(stored, disk, f"p{n % 3}", b"data %d" % n)
    return stored, disk


def test_stored_settings_are_loaded_again() -> None:
    stored, disk = changed_settings()
    change(stored, disk, "p0", None)
    loaded, problems, valid_bytes = disk.load()
    assert (loaded.store.version, loaded.store.digest(), problems, valid_bytes) == (
        6,
        stored.store.digest(),
        [],
        len(disk.log),
    )
    assert disk.log != stored_settings.MAGIC  # the changes after the first were appended


def test_load_without_files_is_empty_and_a_log_without_store_is_reported() -> None:
    loaded, problems, _ = stored_settings.load(None, None)
    assert (loaded.store.version, problems) == (0, [])
    assert stored_settings.load(None, stored_settings.MAGIC + b"x")[1] == [
        "a log without its object store is skipped"
    ]


def test_log_torn_or_altered_at_any_byte_loads_an_earlier_version_and_is_reported() -> None:
    digests = []
    stored, disk = StoredSettings(), Disk()
    for n in range(4):
        change(stored, disk, f"p{n}", b"data")
        digests.append(stored.store.digest())
    full_log = disk.log
    for at in range(len(full_log)):
        for log in (full_log[:at], full_log[:at] + bytes([full_log[at] ^ 4]) + full_log[at + 1 :]):
            loaded, problems, valid_bytes = stored_settings.load(disk.store, log)
            assert loaded.store.digest() == digests[loaded.store.version - 1]
            assert valid_bytes <= at
            # A cut between two records can't be distinguished from a change that was never made.
            assert problems or log == full_log[:valid_bytes] or not log
    assert stored_settings.load(disk.store, full_log)[0].store.version == 4


def test_change_appended_after_the_log_was_cut_is_loaded_again() -> None:
    stored, disk = changed_settings()
    disk.log = disk.log[:-3]
    loaded, problems, valid_bytes = disk.load()
    assert problems
    disk.log = disk.log[:valid_bytes]
    change(loaded, disk, "later", b"x")
    reloaded, problems, _ = disk.load()
    assert (reloaded.store.digest(), problems) == (loaded.store.digest(), [])


def test_altered_store_is_refused_and_reported() -> None:
    _, disk = changed_settings()
    assert disk.store is not None
    disk.store = disk.store[:-1] + bytes([disk.store[-1] ^ 1])
    loaded, problems, valid_bytes = disk.load()
    assert (loaded.store.version, valid_bytes) == (0, 0)
    assert "stored settings" in problems[0] and "torn or altered" in problems[0]


def test_stop_between_new_store_and_empty_log_loses_nothing() -> None:
    stored, disk = changed_settings()
    disk.store = stored.store.dump()  # and the log is the one before it
    loaded, problems, _ = disk.load()
    assert (loaded.store.digest(), problems) == (stored.store.digest(), [])


def test_change_of_another_base_version_is_reported() -> None:
    stored, disk = changed_settings()
    disk.log += encode_record(["rows", 9, 10, [], b""])
    loaded, problems, _ = disk.load()
    assert loaded.store.version == stored.store.version
    assert "does not follow version 5" in problems[0]


def test_record_with_wrong_digest_changes_nothing() -> None:
    stored, disk = changed_settings()
    rows = [
        (encode_key(("plan", "p0")), encode_object(6, b"x")),
        (encode_key(("plan", "new")), encode_object(6, b"y")),
    ]
    disk.log += encode_record(["rows", 5, 6, rows, b"x" * 16])
    loaded, problems, _ = disk.load()
    assert (loaded.store.version, loaded.store.digest()) == (5, stored.store.digest())
    assert "digest" in problems[0]


@pytest.mark.parametrize("payload", [["rows", 5, 6, 7, b""], ["rows", 5, 6, [["", b""]], b""], ["x"], 7])
def test_malformed_records_are_reported(payload: object) -> None:
    stored, disk = changed_settings()
    disk.log += encode_record(payload)
    loaded, problems, _ = disk.load()
    assert (loaded.store.version, len(problems)) == (5, 1)


def test_bytes_written_in_a_day_are_a_small_multiple_of_the_changes() -> None:
    """3,500 changes of one of 25,300 objects."""
    stored, disk = StoredSettings(), Disk()
    rows = [(encode_key(("partner", str(n))), encode_object(1, b"x" * 160)) for n in range(25_300)]
    stored.store.put(rows, 1)
    disk.carry_out(stored.add(0, rows))
    store_bytes = disk.written
    changed = 0
    for n in range(3_500):
        change(stored, disk, str(n), b"y" * 160)
        changed += 160
    assert disk.written - store_bytes < max(
        3 * 2 * changed, 2 * store_bytes
    )  # rewrites of all objects would be 3,500 stores
    assert len(disk.log) < max(stored_settings.MIN_LOG_BYTES, store_bytes // 2) + 1_000
    assert disk.load()[0].store.digest() == stored.store.digest()


def test_store_is_rewritten_so_that_the_log_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stored_settings, "MIN_LOG_BYTES", 500)
    stored, disk = StoredSettings(), Disk()
    for n in range(200):
        change(stored, disk, f"p{n % 3}", b"data %d" % n)
        assert len(disk.log) < 1_000
    assert disk.load()[0].store.digest() == stored.store.digest()


def test_store_is_rewritten_after_a_failed_write() -> None:
    stored, disk = changed_settings()
    stored.write_failed()
    disk.log += b"torn"
    change(stored, disk, "later", b"x")
    assert disk.log == stored_settings.MAGIC
    assert disk.load()[0].store.digest() == stored.store.digest()


def test_rewrite_holds_a_copy_that_later_changes_do_not_alter() -> None:
    stored, _ = changed_settings()
    command = stored.rewrite()
    digest = stored.store.digest()
    change(stored, Disk(), "later", b"x")
    assert command.store.digest() == digest != stored.store.digest()
    assert isinstance(command.store, ObjectStore)
