"""The settings of an ingress as they are stored on disk over restarts. Bytes in and out; no I/O here.

Two files: an object store, replaced atomically, and a log of the changes since, appended to and synced for each one.

    log     "RWLATER" version(1)  record*          records as in object_store.py
    record  ["rows", base, version, [[key, object or nil], ...], digest of the store after it]

A full store of 25,300 objects takes some 5 MB, so 3,500 changes a day would write 17 GB; a change appended to the log
writes what it changes and some 50 bytes. The store is rewritten when the log is longer than MIN_LOG_BYTES and than
half of the store, so a day writes at most three times what changed, and one store of MIN_LOG_BYTES twice. Loading
reads at most one store and a log of half its length.

Damaged data are refused and named. The log is read up to its first torn or altered record: that gives an older
version that was in force, and the rest comes from a control process. Records that are older than the store are
skipped: a stop between the writing of the two files leaves such.
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
MIN_LOG_BYTES = 1_048_576  # of the log before the store is rewritten
ROWS_FIELD = 3  # index of the rows in a record
MAX_APPEND_BYTES = 524_288  # of one record; for more than that the store is rewritten instead


@dataclass(frozen=True, slots=True)
class Append:
    """Append these bytes to the log and sync it."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Replace the stored objects by this store, then the log by ``MAGIC`` alone.

    The store is a copy, which may be written while the original changes."""

    store: ObjectStore


class StoredSettings:
    """The settings in force, and what has to be written next to store them."""

    def __init__(self, store: ObjectStore | None = None, log_bytes: int = 0, store_bytes: int = 0) -> None:
        """``store_bytes``: the size of the stored objects on disk; 0: they have to be rewritten."""
        self.store = store or PackedObjectStore()
        self.log_bytes = log_bytes
        self.store_bytes = store_bytes

    def add(self, base: int, rows: list[Row]) -> list[Append | Rewrite]:
        """Return what to write after these rows changed the store from version ``base`` to its present one."""
        size = sum(len(text) + len(stored or b"") + 16 for text, stored in rows)
        is_long = size > MAX_APPEND_BYTES or self.log_bytes > max(MIN_LOG_BYTES, self.store_bytes // 2)
        if is_long or not self.store_bytes or base == self.store.version:  # the last: a repair of altered objects
            return [self.rewrite()]
        data = encode_record(["rows", base, self.store.version, rows, self.store.digest()])
        self.log_bytes += len(data)
        return [Append(data)]

    def write_failed(self) -> None:
        """The log may have a torn end now, so nothing may be appended to it: the next write is a rewrite."""
        self.store_bytes = 0

    def rewrite(self) -> Rewrite:
        """Return the rewrite of all objects."""
        self.log_bytes = 0
        self.store_bytes = max(1, self.store.size)
        return Rewrite(self.store.copy())


def load(store: FileData | None, log: FileData | None) -> tuple[StoredSettings, list[str], int]:
    """Return what the two files hold, the problems found, and the valid length of the log in bytes.

    The log is to be cut to that length before anything is appended. If the store is refused, nothing is loaded."""
    if store is None:
        is_empty = not log or log[: len(MAGIC) + 1] == MAGIC
        return StoredSettings(), [] if is_empty else ["a log without its object store is skipped"], 0
    try:
        found = PackedObjectStore.load(store, keys_in_log(log) if log else ())
    except ObjectStoreError as problem:
        return StoredSettings(), [f"stored settings: {problem}"], 0
    found.expected_changes = ()
    problems: list[str] = []
    valid_bytes = 0
    if log:
        valid_bytes, reason = _replay(found, log)
        if reason:
            problems.append(f"stored changes: {reason}")
    return StoredSettings(found, valid_bytes, len(store)), problems, valid_bytes


def keys_in_log(log: FileData) -> set[str]:
    """Return the encoded keys in a log. Unless these objects stay unpacked, each record decompresses a page."""
    found: set[str] = set()
    for _, payload in decode_records(log, len(MAGIC)):
        if isinstance(payload, list) and len(payload) > ROWS_FIELD and isinstance(payload[ROWS_FIELD], list):
            found.update(r[0] for r in payload[ROWS_FIELD] if isinstance(r, list) and r and isinstance(r[0], str))
    return found


def _replay(store: ObjectStore, log: FileData) -> tuple[int, str]:
    """Apply a log to a store. Return its valid length in bytes, and what is wrong behind it."""
    if log[: len(MAGIC)] != MAGIC:
        is_torn = MAGIC.startswith(log[: len(MAGIC) + 1])
        return 0, "torn at byte 0" if is_torn else "not a log, or one of another version"
    valid_bytes = len(MAGIC)
    for end, payload in decode_records(log, valid_bytes):
        try:
            _apply_record(store, *payload)
        except (ValueError, TypeError, ObjectStoreError) as problem:
            return valid_bytes, f"invalid record at byte {valid_bytes} of {len(log)}: {problem}"
        valid_bytes = end
    return valid_bytes, "" if valid_bytes == len(log) else f"torn or altered at byte {valid_bytes} of {len(log)}"


def _apply_record(store: ObjectStore, kind: Any, base: Any, version: Any, rows: Any, digest: Any) -> None:
    """Apply one record, all of it or nothing. Raises ValueError, TypeError or ObjectStoreError."""
    if kind != "rows" or type(base) is not int or type(version) is not int or not 0 <= base < version:
        raise ObjectStoreError(f"not a record of changes: {kind!r:.20}")
    if version <= store.version:
        return
    if base != store.version:
        raise ObjectStoreError(f"a change of version {base} does not follow version {store.version}")
    for text, stored in rows:
        validate_row(text, stored)
    before = [(text, store.get_stored(text)) for text, _ in rows]
    store.put(rows, version)
    if store.digest() != digest:
        store.put(reversed(before), base)
        raise ObjectStoreError(f"the digest of version {version} does not match the objects")
