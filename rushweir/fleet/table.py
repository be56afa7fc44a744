"""The table that all members hold copies of: small entries, each with one writer, merged by version.

An entry is known by its kind and its origin: the process that wrote it, or for seats the number of the seat. Of two
entries the one with the higher version holds. So merging is commutative, associative and idempotent: whatever is
lost, doubled or overtakes something else, members that heard of the same entries hold the same table, and nothing is
counted twice. A process that starts anew is another origin; its predecessor's entries go when it does.

What is new goes out with the datagrams that are sent anyway, some times each (``take``). What is still lost is found
by comparing digests of parts of the table (``digest``, ``differing``, ``versions``, ``missing``). No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgpack

BUCKETS = 48  # of the table, each with a digest of four bytes: all digests fit one datagram
HASH_BYTES = 4
SHORT_HASH_BYTES = 2  # bytes that stand for an entry where much is compared at once
MEMBER, SLOT, VIEW_HEADER = 0, 1, 2  # kinds that the fleet itself writes; further ones are of its users
MAX_ORIGIN, MAX_VERSION = 2**64 - 1, 2**62

Key = tuple[int, int]
Row = list  # kind, origin, version, data


class Table:
    """One member's copy."""

    def __init__(self, bounds: dict[int, int], most: int, known: Callable[[int], bool]) -> None:
        """``bounds``: bytes of data by kind; kinds not named are refused. ``most``: entries of one kind. ``known``:
        whether an origin is a member, so that nobody's entries outlive it."""
        self.max_bytes, self.max_entries, self.is_member = bounds, most, known
        self.entries: dict[int, dict[int, tuple[int, bytes]]] = {kind: {} for kind in bounds}
        self.hashes = [0] * BUCKETS
        self.short_hashes: dict[Key, bytes] = {}  # what stands for each entry in a sketch
        self.buckets: list[set[Key]] = [set() for _ in range(BUCKETS)]
        # What is still told along, and how often it was. News of what is known go before what is new: an objection
        # must not wait behind a crowd that joins, of which comparing tables tells as well.
        self.updated_rows: OrderedDict[Key, int] = OrderedDict()
        self.new_rows: OrderedDict[Key, int] = OrderedDict()
        self.refused = 0

    def get(self, kind: int, origin: int) -> tuple[int, bytes] | None:
        return self.entries[kind].get(origin)

    def entries_of(self, kind: int) -> dict[int, tuple[int, bytes]]:
        """Version and data by origin."""
        return self.entries[kind]

    def merge(self, row: Any) -> bool:
        """Take an entry that somebody sent, if it is one and is newer; whether it was."""
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
        mine = self.entries.get(kind)
        if mine is None or len(data) > self.max_bytes[kind]:
            return self._refuse()
        had = mine.get(origin)
        if had is not None and had[0] >= version:
            return False
        strange = kind not in (MEMBER, SLOT, VIEW_HEADER) and not self.is_member(origin)
        if had is None and (strange or len(mine) >= self.max_entries):
            return self._refuse()
        self._toggle_hash(kind, origin, had)
        mine[origin] = version, data
        self._toggle_hash(kind, origin, mine[origin])
        queue = self.new_rows if had is None and kind != VIEW_HEADER else self.updated_rows
        (self.updated_rows if queue is self.new_rows else self.new_rows).pop((kind, origin), None)
        queue[kind, origin] = 0
        queue.move_to_end((kind, origin), last=False)
        return True

    def forget(self, kind: int, origin: int) -> None:
        """Not a change that is told: others forget by themselves."""
        self._toggle_hash(kind, origin, self.entries[kind].pop(origin, None))
        self.short_hashes.pop((kind, origin), None)
        self.buckets[_bucket_of(kind, origin)].discard((kind, origin))
        self.updated_rows.pop((kind, origin), None)
        self.new_rows.pop((kind, origin), None)

    def forget_origin(self, origin: int) -> None:
        for kind in self.entries:
            if kind not in (SLOT, VIEW_HEADER):
                self.forget(kind, origin)

    def _refuse(self) -> bool:
        self.refused += 1
        return False

    def _toggle_hash(self, kind: int, origin: int, entry: tuple[int, bytes] | None) -> None:
        if entry is not None:
            part, word = _hash(kind, origin, entry[0])
            self.hashes[part] ^= word
            self.short_hashes[kind, origin] = word.to_bytes(HASH_BYTES, "big")[:SHORT_HASH_BYTES]
            self.buckets[part].add((kind, origin))

    # --- what is told along ----------------------------------------------------------------------

    def piggyback_rows(self, room: int, times: int, first: Key | None = None) -> list[Row]:
        """New entries that fit so many bytes, in turn; each is told so many times in all. ``first`` goes before all,
        fresh or not: who is suspected must hear of it to object."""
        rows = []
        if first is not None and self.get(*first) is not None:
            rows.append(self.row(first))
            room -= packed_size(rows[0])
        for queue in (self.updated_rows, self.new_rows):
            for _ in range(len(queue)):
                key = next(iter(queue))
                row = self.row(key)
                room -= packed_size(row)
                if room < 0:
                    return rows
                rows.append(row)
                queue[key] += 1
                if queue[key] >= times:
                    del queue[key]
                else:
                    queue.move_to_end(key)
        return rows

    def row(self, key: Key) -> Row:
        version, data = self.entries[key[0]][key[1]]
        return [*key, version, data]

    # --- what is compared ------------------------------------------------------------------------

    def digest(self) -> bytes:
        return b"".join(h.to_bytes(HASH_BYTES, "big") for h in self.hashes)

    def differing(self, digest: bytes) -> list[int]:
        """The parts in which another's digest differs."""
        if len(digest) != BUCKETS * HASH_BYTES:
            return []
        return [
            k
            for k, h in enumerate(self.hashes)
            if h != int.from_bytes(digest[k * HASH_BYTES : (k + 1) * HASH_BYTES], "big")
        ]

    def versions(self, part: int) -> list[list[int]]:
        """Kind, origin and version of each entry of a part."""
        return [[*key, self.entries[key[0]][key[1]][0]] for key in self.keys(part)]

    def bucket_hashes(self, part: int) -> bytes:
        """Two bytes of the hash of each entry of a part: what another need not send. Of a hundred entries one in some
        hundreds is taken for another; comparing versions finds it once little differs."""
        return b"".join(self.short_hashes[key] for key in self.keys(part))

    def rows_without_hash(self, part: int, marks: set[bytes]) -> list[Key]:
        """Entries of a part that are not among the marked."""
        return [key for key in self.keys(part) if self.short_hashes[key] not in marks]

    def missing(self, part: int, theirs: Any, whole: bool) -> tuple[list[Key], list[list[int]]]:
        """What another lacks of a part, by the versions that it named, and what this side lacks, as it named it.
        ``whole``: it named all that it has."""
        named: dict[Key, int] = {}
        for v in theirs if isinstance(theirs, list) else ():
            if isinstance(v, list) and len(v) == 3 and all(type(x) is int for x in v):
                named[v[0], v[1]] = v[2]
        lacks = []
        for key in self.keys(part):
            if (whole or key in named) and named.get(key, 0) < self.entries[key[0]][key[1]][0]:
                lacks.append(key)
        wants = []
        for (kind, origin), version in named.items():
            if kind in self.entries and self.entries[kind].get(origin, (0, b""))[0] < version:
                wants.append([kind, origin, version])
        return lacks, wants

    def keys(self, part: int) -> list[Key]:
        # In order: equal calls lead to equal datagrams, and sets have none of their own.
        return sorted(self.buckets[part])


def packed_size(row: Any) -> int:
    return len(msgpack.packb(row))


def paginate(rows: list, room: int) -> list[list]:
    """Rows in portions of so many bytes each; a row larger than that is left out."""
    out: list[list] = []
    left = 0
    for row in rows:
        need = packed_size(row)
        if need > room:
            continue
        if need > left:
            out.append([])
            left = room
        out[-1].append(row)
        left -= need
    return out


def _bucket_of(kind: int, origin: int) -> int:
    return int.from_bytes(blake2b(b"%d %d" % (kind, origin), digest_size=4).digest(), "big") % BUCKETS


def _hash(kind: int, origin: int, version: int) -> tuple[int, int]:
    # Not a CRC: it is linear, so that two entries with their versions exchanged would give the same digest.
    word = blake2b(b"%d %d %d" % (kind, origin, version), digest_size=HASH_BYTES).digest()
    return _bucket_of(kind, origin), int.from_bytes(word, "big")
