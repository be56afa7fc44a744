"""All objects of the settings at one version, with the digests by which two who hold them find what differs. No I/O.

An object is kept as one piece of bytes: the version that last changed it, eight bytes, then its data. The objects lie
in parts by a checksum of their key. A part's digest is the sum of its objects' digests modulo 2^128, so that a change
costs what it changes; the whole's is made of the version and the sum of all parts. A sum finds what went wrong by
accident, not by intent: against that messages are sealed with a key (watch_channel.py).

What was dropped leaves a tombstone with the version that dropped it, so that ``since`` can name it. Tombstones are
bounded by MOST_GONE, the oldest go first; ``floor`` is the version of the last one that went. Below the floor
``since`` knows no answer, and what is gone is found by the names of all that is left in a part (``marks``).

    file    "RWBOOK" version(1)  record*
    record  length(4) crc32(4) payload       big-endian; the checksum is over payload and length
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from hashlib import blake2b
from mmap import mmap
from struct import Struct
from typing import Any, Self
from zlib import crc32

import msgpack

from rushweir.rollout.change_sets import MAX_OBJECT_BYTES, ChangeSet, Key

PARTS = 256
DIGEST = 16  # bytes of a digest
MARK = 8  # bytes by which a key is named among those of its part
MOST_OBJECTS = 65_536  # of the whole; 16,000 partners and 9,300 routes are 25,300
MOST_GONE = 16_384  # tombstones
MAGIC = b"RWBOOK\x01"
HEAD = Struct(">II")
MOST_RECORD = 64 * 1_048_576  # bytes; a part of MOST_OBJECTS / PARTS objects of the largest size is 16 MiB
WRAP = (1 << 8 * DIGEST) - 1

Data = bytes | mmap  # a file's
Row = tuple[str, bytes | None]  # a key as the book has it, and the object with its version; None: gone


class BookError(ValueError):
    """Bytes that are no book, or a step that does not follow on; the text says where."""


def packed(key: Key) -> str:
    """A key in one text: no kind can run over into a name, as its length stands before it."""
    return chr(len(key[0])) + key[0] + key[1]


def key_of(text: str) -> Key:
    end = 1 + ord(text[0])
    return text[1:end], text[end:]


def entry(version: int, data: bytes) -> bytes:
    return version.to_bytes(8, "big") + data


def part_of(text: str) -> int:
    return crc32(text.encode("utf-8", "surrogatepass")) % PARTS


def mark(text: str) -> bytes:
    return blake2b(text.encode("utf-8", "surrogatepass"), digest_size=MARK).digest()


def weight(text: str, held: bytes) -> int:
    """What an object adds to its part's sum. 0xff is in no text of UTF-8, so it parts key and object."""
    h = blake2b(text.encode("utf-8", "surrogatepass") + b"\xff" + held, digest_size=DIGEST)
    return int.from_bytes(h.digest(), "big")


def bytes_of(text: str, held: bytes | None) -> int:
    """What a row counts for in the book's size."""
    return 0 if held is None else len(text) + len(held)


def whole_digest(version: int, total: int) -> bytes:
    return blake2b(version.to_bytes(8, "big") + total.to_bytes(DIGEST, "big"), digest_size=DIGEST).digest()


def record(payload: Any) -> bytes:
    data = msgpack.packb(payload)
    return HEAD.pack(len(data), crc32(data, len(data))) + data


def records(data: Data, at: int) -> Iterator[tuple[int, Any]]:
    """Each whole record from ``at`` on, and where it ends; ends before the first that is not whole."""
    while at + HEAD.size <= len(data):
        length, check = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + length]
        if length > MOST_RECORD or len(body) < length or crc32(body, length) != check:
            return
        at += HEAD.size + length
        try:
            yield at, msgpack.unpackb(body, strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            return


class Book:
    """The objects at ``version``; 0 is the version of nothing."""

    __slots__ = ("count", "floor", "gone", "parts", "size", "sums", "total", "version")

    def __init__(self) -> None:
        self.version = self.count = self.total = self.floor = 0
        self.size = 0  # bytes of all rows
        self.parts: list[dict[str, bytes]] = [{} for _ in range(PARTS)]
        self.sums = [0] * PARTS
        self.gone: dict[str, int] = {}  # by the version that dropped it, oldest first

    # --- what it holds ---------------------------------------------------------------------------

    def get(self, key: Key) -> bytes | None:
        held = self.held(packed(key))
        return None if held is None else held[8:]

    def held(self, text: str) -> bytes | None:
        return self.parts[part_of(text)].get(text)

    def objects(self) -> Iterator[tuple[Key, int, bytes]]:
        for part in self.parts:
            for text, held in part.items():
                yield key_of(text), int.from_bytes(held[:8], "big"), held[8:]

    def digest(self) -> bytes:
        return whole_digest(self.version, self.total)

    def digests(self) -> bytes:
        """Of all parts, one after the other."""
        return b"".join(s.to_bytes(DIGEST, "big") for s in self.sums)

    def differing(self, theirs: bytes) -> list[int]:
        """The parts whose digests are others. Raises BookError."""
        if len(theirs) != PARTS * DIGEST:
            raise BookError(f"digests of {PARTS} parts are {PARTS * DIGEST} bytes, not {len(theirs)}")
        told = (theirs[at : at + DIGEST] for at in range(0, len(theirs), DIGEST))
        return [p for p, digest in enumerate(told) if int.from_bytes(digest, "big") != self.sums[p]]

    def changed(self, part: int, version: int) -> list[Row]:
        """The objects of a part that were changed after a version."""
        after = (version + 1).to_bytes(8, "big")  # versions of eight bytes sort as their bytes do
        return [(t, held) for t, held in self.parts[part].items() if held[:8] >= after]

    def dropped(self, version: int) -> list[str] | None:
        """What was dropped after a version; None below the floor."""
        if version < self.floor:
            return None
        found: list[str] = []
        for text in reversed(self.gone):
            if self.gone[text] <= version:
                break
            found.append(text)
        return found

    def since(self, version: int) -> list[Row] | None:
        """All that makes this version out of an earlier one; None where tombstones that it takes went already."""
        dropped = self.dropped(version)
        if dropped is None:
            return None
        rows = [row for part in range(PARTS) for row in self.changed(part, version)]
        return rows + [(text, None) for text in dropped]

    def marks(self, part: int) -> bytes:
        """The keys of a part: what is not among them is gone."""
        return b"".join(map(mark, self.parts[part]))

    # --- what changes it -------------------------------------------------------------------------

    def take(self, step: ChangeSet) -> None:
        """The next step. Raises BookError where it is not the next."""
        if step.version != self.version + 1:
            raise BookError(f"step {step.version} does not follow on version {self.version}")
        for c in step.changes:
            self.set(packed(c.key), step.version, None if c.data is None else entry(step.version, c.data))
        self.version = step.version

    def put(self, rows: Iterable[Row], version: int) -> None:
        """What differs, as ``since`` of another book names it, up to its version."""
        for text, held in rows:
            self.set(text, version, held)
        self.leap(version)

    def leap(self, version: int) -> None:
        """To a version whose steps were not all seen: what came and went in between has no tombstone here."""
        self.version = self.floor = version
        self.gone.clear()

    def merge(
        self, parts: Mapping[int, Mapping[str, bytes | None]], version: int, sums: list[int], count: int, size: int
    ) -> None:
        """As ``put``, by parts, where all that is counted is known of that version: no object is looked at."""
        for number, rows in parts.items():
            self._lay(number, rows)
        self.sums, self.total = list(sums), sum(sums) & WRAP
        self.count, self.size = count, size
        self.leap(version)

    def _lay(self, number: int, rows: Mapping[str, bytes | None]) -> None:
        part = self.parts[number]
        part.update((text, held) for text, held in rows.items() if held is not None)
        for text in (text for text, held in rows.items() if held is None):
            part.pop(text, None)

    def set(self, text: str, version: int, held: bytes | None) -> None:
        """One object; ``version`` is that of its tombstone, where it is gone."""
        part = part_of(text)
        old = self.parts[part].get(text)
        self.size += bytes_of(text, held) - bytes_of(text, old)
        if old is not None:
            self._add(part, -weight(text, old))
        if held is not None:
            self.parts[part][text] = held
            self._add(part, weight(text, held))
            self.gone.pop(text, None)
            self.count += old is None
        elif old is not None:
            del self.parts[part][text]
            self.count -= 1
            self.gone[text] = version
            if len(self.gone) > MOST_GONE:
                oldest = next(iter(self.gone))
                self.floor = self.gone.pop(oldest)

    def _add(self, part: int, weight: int) -> None:
        self.sums[part] = (self.sums[part] + weight) & WRAP
        self.total = (self.total + weight) & WRAP

    def copy(self) -> Book:
        """As it is now; the objects' bytes are shared."""
        other = Book()
        self._copy_to(other)
        other.parts = [dict(p) for p in self.parts]
        return other

    @property
    def crowded(self) -> bool:
        """Whether ``fold`` should be called."""
        return False

    def fold(self) -> bool:
        """Give back some memory, if there is any to give; whether there is more."""
        return False

    def _copy_to(self, other: Book) -> None:
        """All but the objects."""
        other.version, other.count, other.size = self.version, self.count, self.size
        other.total, other.floor = self.total, self.floor
        other.sums, other.gone = list(self.sums), dict(self.gone)

    def _await(self, awaited: Collection[str]) -> None:
        """These will change next."""

    def _paged(self, number: int) -> None:
        """A part was loaded."""

    # --- as bytes --------------------------------------------------------------------------------

    def pages(self) -> Iterator[bytes]:
        """A snapshot, a part at a time, so that whoever writes it is not held for long by one."""
        yield MAGIC + record(["book", self.version, self.floor])
        for n, part in enumerate(self.parts):
            if part:
                yield record(["part", n, list(part.items())])
        yield record(["gone", list(self.gone.items())])
        yield record(["end", self.digest()])

    def dump(self) -> bytes:
        return b"".join(self.pages())

    @classmethod
    def load(cls, data: Data, awaited: Collection[str] = ()) -> Self:
        """``awaited``: objects that will change next. Raises BookError: torn, altered, of another format."""
        if data[: len(MAGIC)] != MAGIC:
            raise BookError("no book, or one of another version")
        book, at, ended = cls(), len(MAGIC), False
        book._await(awaited)
        for end, payload in records(data, at):
            at = end
            try:
                ended = book._page(*payload)
            except (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError) as problem:
                raise BookError(f"a book, but wrong before byte {at}: {problem}") from None
        if not ended or at != len(data):
            raise BookError(f"a book that is torn or altered at byte {at} of {len(data)}")
        return book

    def _page(self, kind: str, *rest: Any) -> bool:
        if kind == "book":
            self.version, self.floor = map(int, rest)
        elif kind == "part":
            number, rows = rest
            for text, held in rows:
                sound(text, held)
                if part_of(text) != number:
                    raise ValueError(f"an object of another part in {number}")
                self.set(text, 0, held)
            self._paged(number)
        elif kind == "gone":
            self.gone = {str(text): int(version) for text, version in rest[0]}
        elif kind == "end":
            if rest[0] != self.digest():
                raise ValueError("the digest does not fit the objects")
            return True
        else:
            raise ValueError(f"a record {kind!r:.20}")
        return False


def sound(text: Any, held: Any) -> None:
    """Raises BookError unless this can be a row of a book."""
    if type(text) is not str or not text or not 0 < ord(text[0]) < len(text):
        raise BookError("a row without a key")
    if held is not None and (type(held) is not bytes or not 8 <= len(held) <= MAX_OBJECT_BYTES + 8):
        raise BookError(f"{' '.join(key_of(text))}: no object with its version")
