"""A book that holds its objects in few bytes, for an ingress, which has them as settings too. No I/O, no clock.

A part's rows are one page, packed and deflated: objects of a kind are written alike, and 25,300 of them, 2.9 MB of
keys and data that take 7.5 MB as strings in dicts, take 1 MB so. What changes lies unpacked over the page, as it is:

    unpacked    page     the object is
    bytes    any       what lies unpacked
    None     has it    gone
    nothing  has it    what the page has

A page_cache into a page unpacks all of it (0.13 ms for 100 objects), and the one looked into last stays unpacked, so
whoever looks for many goes by parts. At most LOOSE rows lie unpacked for long: beyond that whoever holds the book
calls ``compact``, which packs FOLD parts anew and so is never long (0.4 ms for each). A book of fewer
objects than LOOSE is never packed. Bound: two rows of an object (one packed, one unpacked), and one part unpacked.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from heapq import nlargest
from zlib import compress, decompress

import msgpack

from rushweir.rollout.object_store import BUCKET_COUNT, ObjectStore

MAX_UNPACKED_ROWS = 1_024  # rows that need not be packed
BUCKETS_PER_COMPACTION = 4  # parts that are packed at a time
COMPRESSION_LEVEL = 1  # of deflate; 6 takes half as long again for 6% less


class PageCache:
    """The rows of the page that was looked into last."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: tuple[bytes, dict[str, bytes]] = (b"", {})

    def rows(self, page: bytes) -> dict[str, bytes]:
        """Not to be written to."""
        if not page:
            return {}
        last = self.last  # read once: another thread may page_cache into another page meanwhile
        if last[0] is not page:
            last = self.last = page, dict(msgpack.unpackb(decompress(page)))
        return last[1]


class PackedBucket:
    """What a dict of rows is to a book."""

    __slots__ = ("page_cache", "unpacked", "page")

    def __init__(self, page_cache: PageCache) -> None:
        self.page_cache, self.page = page_cache, b""
        self.unpacked: dict[str, bytes | None] = {}

    def get(self, text: str) -> bytes | None:
        if text in self.unpacked:
            return self.unpacked[text]
        return self.page_cache.rows(self.page).get(text)

    def __contains__(self, text: str) -> bool:
        return self.get(text) is not None

    def __setitem__(self, text: str, held: bytes) -> None:
        self.unpacked[text] = held

    def __delitem__(self, text: str) -> None:
        self.pop(text)

    def pop(self, text: str, default: None = None) -> None:  # noqa: ARG002 - as of a dict
        if self.page:
            self.unpacked[text] = None
        else:
            self.unpacked.pop(text, None)

    def items(self) -> Iterator[tuple[str, bytes]]:
        unpacked = self.unpacked
        yield from ((t, held) for t, held in self.page_cache.rows(self.page).items() if t not in unpacked)
        yield from ((t, held) for t, held in unpacked.items() if held is not None)

    def __iter__(self) -> Iterator[str]:
        return (text for text, _ in self.items())

    def __bool__(self) -> bool:
        return next(self.items(), None) is not None

    def copy(self, page_cache: PageCache) -> PackedBucket:
        other = PackedBucket(page_cache)
        other.page, other.unpacked = self.page, self.unpacked.copy()
        return other

    def pack(self, but: Collection[str] = ()) -> None:
        """All that lies unpacked into the page, ``but`` for these."""
        stay = {text: held for text, held in self.unpacked.items() if text in but}
        rows = [row for row in self.items() if row[0] not in stay]
        self.unpacked = stay
        self.page = compress(msgpack.packb(rows), COMPRESSION_LEVEL) if rows else b""


class PackedObjectStore(ObjectStore):
    """As a book is, in a third of its memory."""

    __slots__ = ("expected_changes", "page_cache")

    def __init__(self) -> None:
        super().__init__()
        self.page_cache = PageCache()
        self.buckets = [PackedBucket(self.page_cache) for _ in range(BUCKET_COUNT)]  # type: ignore[assignment]
        self.expected_changes: Collection[
            str
        ] = ()  # objects that will change next: they are not packed as it is loaded

    @property
    def unpacked(self) -> int:
        """How many rows lie unpacked."""
        return sum(len(part.unpacked) for part in self.buckets)

    @property
    def needs_compaction(self) -> bool:
        return self.unpacked > MAX_UNPACKED_ROWS

    def compact(self) -> bool:
        """Pack the FOLD parts that most lies unpacked of, if LOOSE rows do; whether more is to be packed."""
        unpacked = self.unpacked
        if unpacked <= MAX_UNPACKED_ROWS:
            return False
        most = nlargest(BUCKETS_PER_COMPACTION, self.buckets, key=lambda part: len(part.unpacked))
        for part in most:
            unpacked -= len(part.unpacked)
            part.pack()
        return unpacked > MAX_UNPACKED_ROWS

    def copy(self) -> PackedObjectStore:
        other = PackedObjectStore()
        self._copy_to(other)
        other.buckets = [part.copy(other.page_cache) for part in self.buckets]  # type: ignore[attr-defined]
        return other

    def _put_bucket(self, number: int, rows: Mapping[str, bytes | None]) -> None:
        self.buckets[number].unpacked.update(rows)  # type: ignore[attr-defined]

    def _expect_changes(self, awaited: Collection[str]) -> None:
        self.expected_changes = awaited

    def _bucket_loaded(self, number: int) -> None:
        if self.unpacked > MAX_UNPACKED_ROWS:
            self.buckets[number].pack(self.expected_changes)  # type: ignore[attr-defined]
