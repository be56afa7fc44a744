"""The table that all members replicate: small entries, each with one writer, merged by version.

An entry is identified by its kind and its origin: the process that wrote it or, for slots, the number of the slot. Of
two entries the one with the higher version wins. So merging is commutative, associative and idempotent: whatever is
lost, duplicated or reordered, members that received the same entries hold the same table, and nothing counts twice. A
process that starts anew is another origin; the entries of its predecessor are removed with it.

New rows are piggybacked on datagrams that are sent anyway, a few times each (``piggyback_rows``). What is lost all
the same is found by comparing digests of buckets of the table (``digest``, ``differing``, ``versions``, ``missing``).
No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgpack

BUCKETS = 48  # of the table, each with a hash of four bytes: all of them fit one datagram
HASH_BYTES = 4
SHORT_HASH_BYTES = 2  # of an entry, where many are compared at once
MEMBER, SLOT, VIEW_HEADER = 0, 1, 2  # kinds that the fleet itself writes; others belong to its users
MAX_ORIGIN, MAX_VERSION = 2**64 - 1, 2**62

Key = tuple[int, int]
Row = list  # kind, origin, version, data


class Table:
    """One member's copy of the table."""

    def __init__(self, max_bytes: dict[int, int], max_entries: int, is_member: Callable[[int], bool]) -> None:
        """``max_bytes``: bytes of data by kind; other kinds are refused. ``max_entries``: entries of one kind.
        ``is_member``: whether an origin is a member, so that entries do not outlive their writers."""
        self.max_bytes, self.max_entries, self.is_member = max_bytes, max_entries, is_member
        self.entries: dict[int, dict[int, tuple[int, bytes]]] = {kind: {} for kind in max_bytes}
        self.hashes = [0] * BUCKETS
        self.short_hashes: dict[Key, bytes] = {}  # of each entry
        self.buckets: list[set[Key]] = [set() for _ in range(BUCKETS)]
        # Rows that are still piggybacked, and how often each was. Updates of known entries go before new entries: an
        # objection must not wait behind many members that join, which comparisons of tables spread as well.
        self.updated_rows: OrderedDict[Key, int] = OrderedDict()
        self.new_rows: OrderedDict[Key, int] = OrderedDict()
        self.refused = 0

    def get(self, kind: int, origin: int) -> tuple[int, bytes] | None:
        """Returns version and data of an entry, or None."""
        return self.entries[kind].get(origin)

    def entries_of(self, kind: int) -> dict[int, tuple[int, bytes]]:
        """Returns version and data by origin."""
        return self.entries[kind]

    def merge(self, row: Any) -> bool:
        """Merges a received row if it is well formed and newer; returns whether it was."""
        if not (isinstance(row, list) and len(row) == 4):
            return self._refuse()
        kind, origin, version, data = row
        if not (
            type(kind) is int and type(origin) is int and type(version) is int and isinstance(data, bytes)
            and 0 <= origin <= MAX_ORIGIN and 0 < version <= MAX_VERSION
        ):  # fmt: skip
            return self._refuse()
        return self.put(kind, origin, version, data)

    def put(self, kind: int, origin: int, version: int, data: bytes) -> bool:
        """Stores an entry if its version is newer and it is within the limits; returns whether it was."""
        entries = self.entries.get(kind)
        if entries is None or len(data) > self.max_bytes[kind]:
            return self._refuse()
        previous = entries.get(origin)
        if previous is not None and previous[0] >= version:
            return False
        is_foreign = kind not in (MEMBER, SLOT, VIEW_HEADER) and not self.is_member(origin)
        if previous is None and (is_foreign or len(entries) >= self.max_entries):
            return self._refuse()
        self._toggle_hash(kind, origin, previous)
        entries[origin] = version, data
        self._toggle_hash(kind, origin, entries[origin])
        queue = self.new_rows if previous is None and kind != VIEW_HEADER else self.updated_rows
        (self.updated_rows if queue is self.new_rows else self.new_rows).pop((kind, origin), None)
        queue[kind, origin] = 0
        queue.move_to_end((kind, origin), last=False)
        return True

    def forget(self, kind: int, origin: int) -> None:
        """Removes an entry locally. Removals are not sent: other members remove it by themselves."""
        self._toggle_hash(kind, origin, self.entries[kind].pop(origin, None))
        self.short_hashes.pop((kind, origin), None)
        self.buckets[_bucket_of(kind, origin)].discard((kind, origin))
        self.updated_rows.pop((kind, origin), None)
        self.new_rows.pop((kind, origin), None)

    def forget_origin(self, origin: int) -> None:
        """Removes all entries that a process wrote."""
        for kind in self.entries:
            if kind not in (SLOT, VIEW_HEADER):
                self.forget(kind, origin)

    def _refuse(self) -> bool:
        self.refused += 1
        return False

    def _toggle_hash(self, kind: int, origin: int, entry: tuple[int, bytes] | None) -> None:
        if entry is not None:
            bucket, hash_ = _hash(kind, origin, entry[0])
            self.hashes[bucket] ^= hash_
            self.short_hashes[kind, origin] = hash_.to_bytes(HASH_BYTES, "big")[:SHORT_HASH_BYTES]
            self.buckets[bucket].add((kind, origin))

    # --- piggybacked rows ------------------------------------------------------------------------

    def piggyback_rows(self, max_bytes: int, limit: int, first: Key | None = None) -> list[Row]:
        """Returns new rows that fit ``max_bytes``, in turn; each is returned ``limit`` times in all. The row
        ``first`` comes before all others, new or not: a suspected member must receive it in order to object."""
        rows = []
        if first is not None and self.get(*first) is not None:
            rows.append(self.row(first))
            max_bytes -= packed_size(rows[0])
        for queue in (self.updated_rows, self.new_rows):
            for _ in range(len(queue)):
                key = next(iter(queue))
                row = self.row(key)
                max_bytes -= packed_size(row)
                if max_bytes < 0:
                    return rows
                rows.append(row)
                queue[key] += 1
                if queue[key] >= limit:
                    del queue[key]
                else:
                    queue.move_to_end(key)
        return rows

    def row(self, key: Key) -> Row:
        """Returns an entry as it is sent."""
        version, data = self.entries[key[0]][key[1]]
        return [*key, version, data]

    # --- comparison ------------------------------------------------------------------------------

    def digest(self) -> bytes:
        """Returns the hashes of all buckets."""
        return b"".join(h.to_bytes(HASH_BYTES, "big") for h in self.hashes)

    def differing(self, digest: bytes) -> list[int]:
        """Returns the buckets in which another member's digest differs."""
        if len(digest) != BUCKETS * HASH_BYTES:
            return []
        return [
            k
            for k, h in enumerate(self.hashes)
            if h != int.from_bytes(digest[k * HASH_BYTES : (k + 1) * HASH_BYTES], "big")
        ]

    def versions(self, bucket: int) -> list[list[int]]:
        """Returns kind, origin and version of each entry of a bucket."""
        return [[*key, self.entries[key[0]][key[1]][0]] for key in self.keys(bucket)]

    def bucket_hashes(self, bucket: int) -> bytes:
        """Returns a short hash of each entry of a bucket, so that another member sends only what is missing here. Of
        a hundred entries one in a few hundred collides; comparing versions finds it once few entries differ."""
        return b"".join(self.short_hashes[key] for key in self.keys(bucket))

    def rows_without_hash(self, bucket: int, hashes: set[bytes]) -> list[Key]:
        """Returns the entries of a bucket whose short hashes are not in ``hashes``."""
        return [key for key in self.keys(bucket) if self.short_hashes[key] not in hashes]

    def missing(self, bucket: int, theirs: Any, is_complete: bool) -> tuple[list[Key], list[list[int]]]:
        """Returns what the other member lacks of a bucket, by the versions that it named, and what is lacking here,
        as it named it. ``is_complete``: it named all its entries."""
        named: dict[Key, int] = {}
        for row in theirs if isinstance(theirs, list) else ():
            if isinstance(row, list) and len(row) == 3 and all(type(x) is int for x in row):
                named[row[0], row[1]] = row[2]
        lacks = []
        for key in self.keys(bucket):
            if (is_complete or key in named) and named.get(key, 0) < self.entries[key[0]][key[1]][0]:
                lacks.append(key)
        wants = []
        for (kind, origin), version in named.items():
            if kind in self.entries and self.entries[kind].get(origin, (0, b""))[0] < version:
                wants.append([kind, origin, version])
        return lacks, wants

    def keys(self, bucket: int) -> list[Key]:
        # Sorted, since sets have no order of their own and equal calls must lead to equal datagrams.
        """Returns the entries of a bucket, sorted."""
        return sorted(self.buckets[bucket])


def packed_size(row: Any) -> int:
    """Returns the bytes that a row takes in a message."""
    return len(msgpack.packb(row))


def paginate(rows: list, max_bytes: int) -> list[list]:
    """Returns the rows in pages of at most ``max_bytes``; a row larger than that is left out."""
    pages: list[list] = []
    left = 0
    for row in rows:
        size = packed_size(row)
        if size > max_bytes:
            continue
        if size > left:
            pages.append([])
            left = max_bytes
        pages[-1].append(row)
        left -= size
    return pages


def _bucket_of(kind: int, origin: int) -> int:
    return int.from_bytes(blake2b(b"%d %d" % (kind, origin), digest_size=4).digest(), "big") % BUCKETS


def _hash(kind: int, origin: int, version: int) -> tuple[int, int]:
    # Not a CRC, which is linear: two entries with their versions exchanged would give the same digest.
    digest = blake2b(b"%d %d %d" % (kind, origin, version), digest_size=HASH_BYTES).digest()
    return _bucket_of(kind, origin), int.from_bytes(digest, "big")
