"""An ingress's settings as kept on disk between two lives. Bytes in and out; no I/O here.

Two files: a book, replaced atomically, and a log of what changed since, appended to and synced for each change.

    log     "RWLATER" version(1)  record*          records as the book has them
    record  ["rows", base, version, [[key, object or nil], ...], digest of the whole after it]

Written whole, 25,300 objects are some 5 MB, and 3,500 changes a day would write 17 GB; appended, a change writes what
it changes and some 50 bytes. The book is written anew when the log is longer than LOG_FROM and than half of it, so
all that is written in a day is at most three times what changed, and one book of LOG_FROM twice. Opening reads at
most one book and a log of half its length.

What is not whole is refused and named. Of the log all is taken up to its first record that is torn or altered: that
is a version that was in force, only an older one, and the rest comes from a control process. A record that is older
than the book is left out: a stop between the writing of the two files leaves such.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from rushweir.rollout.object_store import (
    FileData,
    ObjectStore,
    ObjectStoreError,
    Row,
    decode_records,
    encode_record,
    validate_row,
)
from rushweir.rollout.packed_object_store import PackedObjectStore

MAGIC = b"RWLATER\x01"
MIN_LOG_BYTES = 1_048_576  # bytes of the log before the book is written anew
ROWS_FIELD = 3  # where they stand in a record
MAX_APPEND_BYTES = 524_288  # bytes of one record; beyond that the book is written anew instead


@dataclass(frozen=True, slots=True)
class Append:
    """To the log, and synced."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Rewrite:
    """The book replaced by this one, then the log by ``MAGIC`` alone. It is a copy: written beside what goes on."""

    store: ObjectStore


class StoredSettings:
    """What is on disk, and what has to be written next."""

    def __init__(self, book: ObjectStore | None = None, log_bytes: int = 0, store_bytes: int = 0) -> None:
        self.store = book or PackedObjectStore()
        self.log_bytes, self.store_bytes = log_bytes, store_bytes

    def add(self, base: int, rows: list[Row]) -> list[Append | Rewrite]:
        """The book went from ``base`` to its version by these rows."""
        size = sum(len(text) + len(held or b"") + 16 for text, held in rows)
        long = size > MAX_APPEND_BYTES or self.log_bytes > max(MIN_LOG_BYTES, self.store_bytes // 2)
        if long or not self.store_bytes or base == self.store.version:  # the last: objects that were mended
            return [self.rewrite()]
        data = encode_record(["rows", base, self.store.version, rows, self.store.digest()])
        self.log_bytes += len(data)
        return [Append(data)]

    def write_failed(self) -> None:
        """The log may have a torn end now: nothing more goes behind it."""
        self.store_bytes = 0

    def rewrite(self) -> Rewrite:
        self.log_bytes, self.store_bytes = 0, max(1, self.store.size)
        return Rewrite(self.store.copy())


def load(book: FileData | None, log: FileData | None) -> tuple[StoredSettings, list[str], int]:
    """What was kept, what was wrong with it, and how many bytes of the log are good: it is cut there before anything
    is written behind. With a book that is refused nothing is taken."""
    if book is None:
        return (
            StoredSettings(),
            [] if not log or log[: len(MAGIC) + 1] == MAGIC else ["a log without its book is left out"],
            0,
        )
    try:
        found = PackedObjectStore.load(book, keys_in_log(log) if log else ())
    except ObjectStoreError as problem:
        return StoredSettings(), [f"kept settings: {problem}"], 0
    found.expected_changes = ()
    wrong: list[str] = []
    good = 0
    if log:
        good, why = _replay(found, log)
        if why:
            wrong.append(f"kept changes: {why}")
    return StoredSettings(found, good, len(book)), wrong, good


def keys_in_log(log: FileData) -> set[str]:
    """What a log names: each of its records would else look into a part of its own."""
    found: set[str] = set()
    for _, payload in decode_records(log, len(MAGIC)):
        if isinstance(payload, list) and len(payload) > ROWS_FIELD and isinstance(payload[ROWS_FIELD], list):
            found.update(r[0] for r in payload[ROWS_FIELD] if isinstance(r, list) and r and isinstance(r[0], str))
    return found


def _replay(book: ObjectStore, log: FileData) -> tuple[int, str]:
    if log[: len(MAGIC)] != MAGIC:
        torn = MAGIC.startswith(log[: len(MAGIC) + 1])
        return 0, "torn at byte 0" if torn else "no log, or one of another version"
    good = len(MAGIC)
    for end, payload in decode_records(log, good):
        try:
            _rows(book, *payload)
        except (ValueError, TypeError, ObjectStoreError) as problem:
            return good, f"wrong at byte {good} of {len(log)}: {problem}"
        good = end
    return good, "" if good == len(log) else f"torn or altered at byte {good} of {len(log)}"


def _rows(book: ObjectStore, kind: Any, base: Any, version: Any, rows: Any, digest: Any) -> None:
    """One record, whole or not at all."""
    if kind != "rows" or type(base) is not int or type(version) is not int or not 0 <= base < version:
        raise ObjectStoreError(f"no record of changes: {kind!r:.20}")
    if version <= book.version:
        return
    if base != book.version:
        raise ObjectStoreError(f"a change of version {base} does not follow on {book.version}")
    for text, held in rows:
        validate_row(text, held)
    before = [(text, book.get_stored(text)) for text, _ in rows]
    book.put(rows, version)
    if book.digest() != digest:
        book.put(reversed(before), base)
        raise ObjectStoreError(f"the digest of version {version} does not fit")
