"""An object store with compressed objects, for an ingress, which has them as settings too. No I/O, no clock.

The rows of a bucket are one page, packed and deflated: objects of a kind are written alike, and 25,300 of them,
2.9 MB of keys and data that take 7.5 MB as strings in dicts, take 1 MB so. Changes are held unpacked, over the page:

    unpacked   page      the object is
    bytes      any       the unpacked one
    None       has it    deleted
    absent     has it    that of the page

A lookup in a page decompresses all of it (0.13 ms for 100 objects), and the last one stays decompressed, so code that
looks up many objects goes bucket by bucket. If more than MAX_UNPACKED_ROWS rows are unpacked, the user of the store
calls ``compact``, which packs BUCKETS_PER_COMPACTION buckets and so never takes long (0.4 ms for each). A store of at
most MAX_UNPACKED_ROWS objects is never packed. Memory is bounded by two rows of an object (one packed, one unpacked)
and one decompressed bucket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from heapq import nlargest
from zlib import compress, decompress

import msgpack

from rushweir.rollout.object_store import BUCKET_COUNT, ObjectStore

MAX_UNPACKED_ROWS = 1_024  # that need not be packed
BUCKETS_PER_COMPACTION = 4
COMPRESSION_LEVEL = 1  # of deflate; 6 takes half as long again for 6% less


class PageCache:
    """The rows of the page that was read last."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: tuple[bytes, dict[str, bytes]] = (b"", {})

    def rows(self, page: bytes) -> dict[str, bytes]:
        """Return the rows of a page; they must not be changed."""
        if not page:
            return {}
        last = self.last  # read once: another thread may read another page meanwhile
        if last[0] is not page:
            last = self.last = page, dict(msgpack.unpackb(decompress(page)))
        return last[1]


class PackedBucket:
    """A bucket with the methods of a dict of rows that an object store uses."""

    __slots__ = ("page", "page_cache", "unpacked")

    def __init__(self, page_cache: PageCache) -> None:
        self.page_cache = page_cache
        self.page = b""
        self.unpacked: dict[str, bytes | None] = {}

    def get(self, text: str) -> bytes | None:
        """Return the stored object of an encoded key; None: there is none."""
        if text in self.unpacked:
            return self.unpacked[text]
        return self.page_cache.rows(self.page).get(text)

    def __contains__(self, text: str) -> bool:
        return self.get(text) is not None

    def __setitem__(self, text: str, stored: bytes) -> None:
        self.unpacked[text] = stored

    def __delitem__(self, text: str) -> None:
        self.pop(text)

    def pop(self, text: str, default: None = None) -> None:  # noqa: ARG002 - as of a dict
        """Delete the object of an encoded key, if there is one."""
        if self.page:
            self.unpacked[text] = None
        else:
            self.unpacked.pop(text, None)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Yield the encoded key and the stored object of each row."""
        unpacked = self.unpacked
        yield from ((t, stored) for t, stored in self.page_cache.rows(self.page).items() if t not in unpacked)
        yield from ((t, stored) for t, stored in unpacked.items() if stored is not None)

    def __iter__(self) -> Iterator[str]:
        return (text for text, _ in self.items())

    def __bool__(self) -> bool:
        return next(self.items(), None) is not None

    def copy(self, page_cache: PageCache) -> PackedBucket:
        """Return a copy that shares the page and reads it by another cache."""
        other = PackedBucket(page_cache)
        other.page, other.unpacked = self.page, self.unpacked.copy()
        return other

    def pack(self, excluded: Collection[str] = ()) -> None:
        """Pack all unpacked rows into the page, except those of the ``excluded`` keys."""
        remaining = {text: stored for text, stored in self.unpacked.items() if text in excluded}
        rows = [row for row in self.items() if row[0] not in remaining]
        self.unpacked = remaining
        self.page = compress(msgpack.packb(rows), COMPRESSION_LEVEL) if rows else b""


class PackedObjectStore(ObjectStore):
    """An object store that takes a third of the memory."""

    __slots__ = ("expected_changes", "page_cache")

    def __init__(self) -> None:
        super().__init__()
        self.page_cache = PageCache()
        self.buckets = [PackedBucket(self.page_cache) for _ in range(BUCKET_COUNT)]  # type: ignore[assignment]
        self.expected_changes: Collection[str] = ()  # keys that will change next: not packed while loading

    @property
    def unpacked(self) -> int:
        """The number of unpacked rows."""
        return sum(len(bucket.unpacked) for bucket in self.buckets)

    @property
    def needs_compaction(self) -> bool:
        """Whether ``compact`` should be called."""
        return self.unpacked > MAX_UNPACKED_ROWS

    def compact(self) -> bool:
        """Pack the buckets with most unpacked rows, if there are too many. Return whether there still are."""
        unpacked = self.unpacked
        if unpacked <= MAX_UNPACKED_ROWS:
            return False
        largest = nlargest(BUCKETS_PER_COMPACTION, self.buckets, key=lambda bucket: len(bucket.unpacked))
        for bucket in largest:
            unpacked -= len(bucket.unpacked)
            bucket.pack()
        return unpacked > MAX_UNPACKED_ROWS

    def copy(self) -> PackedObjectStore:
        """Return a copy that shares the bytes of pages and objects."""
        other = PackedObjectStore()
        self._copy_to(other)
        other.buckets = [bucket.copy(other.page_cache) for bucket in self.buckets]  # type: ignore[attr-defined]
        return other

    def _put_bucket(self, bucket: int, rows: Mapping[str, bytes | None]) -> None:
        self.buckets[bucket].unpacked.update(rows)  # type: ignore[attr-defined]

    def _expect_changes(self, expected: Collection[str]) -> None:
        self.expected_changes = expected

    def _bucket_loaded(self, bucket: int) -> None:
        if self.unpacked > MAX_UNPACKED_ROWS:
            self.buckets[bucket].pack(self.expected_changes)  # type: ignore[attr-defined]
