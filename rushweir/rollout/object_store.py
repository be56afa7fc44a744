"""All objects of the settings at one version, with the digests by which two who hold them find what differs. No I/O.

An object is kept as one piece of bytes: the version that last changed it, eight bytes, then its data. The objects lie
in parts by a checksum of their key. A part's digest is the sum of its objects' digests modulo 2^128, so that a change
costs what it changes; the whole's is made of the version and the sum of all parts. A sum finds what went wrong by
accident, not by intent: against that messages are sealed with a key (watch_mail.py).

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

BUCKET_COUNT = 256
DIGEST_BYTES = 16  # bytes of a digest
OBJECT_DIGEST_BYTES = 8  # bytes by which a key is named among those of its part
MAX_OBJECTS = 65_536  # of the whole; 16,000 partners and 9,300 routes are 25,300
MAX_TOMBSTONES = 16_384  # tombstones
MAGIC = b"RWBOOK\x01"
RECORD_HEADER = Struct(">II")
MAX_RECORD_BYTES = 64 * 1_048_576  # bytes; a part of MOST_OBJECTS / PARTS objects of the largest size is 16 MiB
DIGEST_MASK = (1 << 8 * DIGEST_BYTES) - 1

FileData = bytes | mmap  # a file's
Row = tuple[str, bytes | None]  # a key as the book has it, and the object with its version; None: gone


class ObjectStoreError(ValueError):
    """Bytes that are no book, or a step that does not follow on; the text says where."""


def encode_key(key: Key) -> str:
    """A key in one text: no kind can run over into a name, as its length stands before it."""
    return chr(len(key[0])) + key[0] + key[1]


def decode_key(text: str) -> Key:
    end = 1 + ord(text[0])
    return text[1:end], text[end:]


def encode_object(version: int, data: bytes) -> bytes:
    return version.to_bytes(8, "big") + data


def bucket_of(text: str) -> int:
    return crc32(text.encode("utf-8", "surrogatepass")) % BUCKET_COUNT


def object_digest(text: str) -> bytes:
    return blake2b(text.encode("utf-8", "surrogatepass"), digest_size=OBJECT_DIGEST_BYTES).digest()


def content_digest(text: str, held: bytes) -> int:
    """What an object adds to its part's sum. 0xff is in no text of UTF-8, so it parts key and object."""
    h = blake2b(text.encode("utf-8", "surrogatepass") + b"\xff" + held, digest_size=DIGEST_BYTES)
    return int.from_bytes(h.digest(), "big")


def row_bytes(text: str, held: bytes | None) -> int:
    """What a row counts for in the book's size."""
    return 0 if held is None else len(text) + len(held)


def store_digest(version: int, total: int) -> bytes:
    return blake2b(
        version.to_bytes(8, "big") + total.to_bytes(DIGEST_BYTES, "big"), digest_size=DIGEST_BYTES
    ).digest()


def encode_record(payload: Any) -> bytes:
    data = msgpack.packb(payload)
    return RECORD_HEADER.pack(len(data), crc32(data, len(data))) + data


def decode_records(data: FileData, at: int) -> Iterator[tuple[int, Any]]:
    """Each whole record from ``at`` on, and where it ends; ends before the first that is not whole."""
    while at + RECORD_HEADER.size <= len(data):
        length, check = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if length > MAX_RECORD_BYTES or len(body) < length or crc32(body, length) != check:
            return
        at += RECORD_HEADER.size + length
        try:
            yield at, msgpack.unpackb(body, strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            return


class ObjectStore:
    """The objects at ``version``; 0 is the version of nothing."""

    __slots__ = ("buckets", "count", "size", "sums", "tombstone_floor", "tombstones", "total", "version")

    def __init__(self) -> None:
        self.version = self.count = self.total = self.tombstone_floor = 0
        self.size = 0  # bytes of all rows
        self.buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self.sums = [0] * BUCKET_COUNT
        self.tombstones: dict[str, int] = {}  # by the version that dropped it, oldest first

    # --- what it holds ---------------------------------------------------------------------------

    def get(self, key: Key) -> bytes | None:
        held = self.get_stored(encode_key(key))
        return None if held is None else held[8:]

    def get_stored(self, text: str) -> bytes | None:
        return self.buckets[bucket_of(text)].get(text)

    def objects(self) -> Iterator[tuple[Key, int, bytes]]:
        for part in self.buckets:
            for text, held in part.items():
                yield decode_key(text), int.from_bytes(held[:8], "big"), held[8:]

    def digest(self) -> bytes:
        return store_digest(self.version, self.total)

    def digests(self) -> bytes:
        """Of all parts, one after the other."""
        return b"".join(s.to_bytes(DIGEST_BYTES, "big") for s in self.sums)

    def differing_buckets(self, theirs: bytes) -> list[int]:
        """The parts whose digests are others. Raises BookError."""
        if len(theirs) != BUCKET_COUNT * DIGEST_BYTES:
            raise ObjectStoreError(
                f"digests of {BUCKET_COUNT} parts are {BUCKET_COUNT * DIGEST_BYTES} bytes, not {len(theirs)}"
            )
        told = (theirs[at : at + DIGEST_BYTES] for at in range(0, len(theirs), DIGEST_BYTES))
        return [p for p, digest in enumerate(told) if int.from_bytes(digest, "big") != self.sums[p]]

    def changed_since(self, part: int, version: int) -> list[Row]:
        """The objects of a part that were changed after a version."""
        after = (version + 1).to_bytes(8, "big")  # versions of eight bytes sort as their bytes do
        return [(t, held) for t, held in self.buckets[part].items() if held[:8] >= after]

    def deleted_since(self, version: int) -> list[str] | None:
        """What was dropped after a version; None below the floor."""
        if version < self.tombstone_floor:
            return None
        found: list[str] = []
        for text in reversed(self.tombstones):
            if self.tombstones[text] <= version:
                break
            found.append(text)
        return found

    def since(self, version: int) -> list[Row] | None:
        """All that makes this version out of an earlier one; None where tombstones that it takes went already."""
        dropped = self.deleted_since(version)
        if dropped is None:
            return None
        rows = [row for part in range(BUCKET_COUNT) for row in self.changed_since(part, version)]
        return rows + [(text, None) for text in dropped]

    def object_digests(self, part: int) -> bytes:
        """The keys of a part: what is not among them is gone."""
        return b"".join(map(object_digest, self.buckets[part]))

    # --- what changes it -------------------------------------------------------------------------

    def apply(self, step: ChangeSet) -> None:
        """The next step. Raises BookError where it is not the next."""
        if step.version != self.version + 1:
            raise ObjectStoreError(f"step {step.version} does not follow on version {self.version}")
        for c in step.changes:
            self.set(encode_key(c.key), step.version, None if c.data is None else encode_object(step.version, c.data))
        self.version = step.version

    def put(self, rows: Iterable[Row], version: int) -> None:
        """What differs, as ``since`` of another book names it, up to its version."""
        for text, held in rows:
            self.set(text, version, held)
        self.skip_to(version)

    def skip_to(self, version: int) -> None:
        """To a version whose steps were not all seen: what came and went in between has no tombstone here."""
        self.version = self.tombstone_floor = version
        self.tombstones.clear()

    def merge(
        self, parts: Mapping[int, Mapping[str, bytes | None]], version: int, sums: list[int], count: int, size: int
    ) -> None:
        """As ``put``, by parts, where all that is counted is known of that version: no object is looked at."""
        for number, rows in parts.items():
            self._put_bucket(number, rows)
        self.sums, self.total = list(sums), sum(sums) & DIGEST_MASK
        self.count, self.size = count, size
        self.skip_to(version)

    def _put_bucket(self, number: int, rows: Mapping[str, bytes | None]) -> None:
        part = self.buckets[number]
        part.update((text, held) for text, held in rows.items() if held is not None)
        for text in (text for text, held in rows.items() if held is None):
            part.pop(text, None)

    def set(self, text: str, version: int, held: bytes | None) -> None:
        """One object; ``version`` is that of its tombstone, where it is gone."""
        part = bucket_of(text)
        old = self.buckets[part].get(text)
        self.size += row_bytes(text, held) - row_bytes(text, old)
        if old is not None:
            self._add(part, -content_digest(text, old))
        if held is not None:
            self.buckets[part][text] = held
            self._add(part, content_digest(text, held))
            self.tombstones.pop(text, None)
            self.count += old is None
        elif old is not None:
            del self.buckets[part][text]
            self.count -= 1
            self.tombstones[text] = version
            if len(self.tombstones) > MAX_TOMBSTONES:
                oldest = next(iter(self.tombstones))
                self.tombstone_floor = self.tombstones.pop(oldest)

    def _add(self, part: int, content_digest: int) -> None:
        self.sums[part] = (self.sums[part] + content_digest) & DIGEST_MASK
        self.total = (self.total + content_digest) & DIGEST_MASK

    def copy(self) -> ObjectStore:
        """As it is now; the objects' bytes are shared."""
        other = ObjectStore()
        self._copy_to(other)
        other.buckets = [dict(p) for p in self.buckets]
        return other

    @property
    def needs_compaction(self) -> bool:
        """Whether ``fold`` should be called."""
        return False

    def compact(self) -> bool:
        """Give back some memory, if there is any to give; whether there is more."""
        return False

    def _copy_to(self, other: ObjectStore) -> None:
        """All but the objects."""
        other.version, other.count, other.size = self.version, self.count, self.size
        other.total, other.tombstone_floor = self.total, self.tombstone_floor
        other.sums, other.tombstones = list(self.sums), dict(self.tombstones)

    def _expect_changes(self, awaited: Collection[str]) -> None:
        """These will change next."""

    def _bucket_loaded(self, number: int) -> None:
        """A part was loaded."""

    # --- as bytes --------------------------------------------------------------------------------

    def pages(self) -> Iterator[bytes]:
        """A snapshot, a part at a time, so that whoever writes it is not held for long by one."""
        yield MAGIC + encode_record(["book", self.version, self.tombstone_floor])
        for n, part in enumerate(self.buckets):
            if part:
                yield encode_record(["part", n, list(part.items())])
        yield encode_record(["gone", list(self.tombstones.items())])
        yield encode_record(["end", self.digest()])

    def dump(self) -> bytes:
        return b"".join(self.pages())

    @classmethod
    def load(cls, data: FileData, awaited: Collection[str] = ()) -> Self:
        """``awaited``: objects that will change next. Raises BookError: torn, altered, of another format."""
        if data[: len(MAGIC)] != MAGIC:
            raise ObjectStoreError("no book, or one of another version")
        book, at, ended = cls(), len(MAGIC), False
        book._expect_changes(awaited)
        for end, payload in decode_records(data, at):
            at = end
            try:
                ended = book._load_record(*payload)
            except (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError) as problem:
                raise ObjectStoreError(f"a book, but wrong before byte {at}: {problem}") from None
        if not ended or at != len(data):
            raise ObjectStoreError(f"a book that is torn or altered at byte {at} of {len(data)}")
        return book

    def _load_record(self, kind: str, *rest: Any) -> bool:
        if kind == "book":
            self.version, self.tombstone_floor = map(int, rest)
        elif kind == "part":
            number, rows = rest
            for text, held in rows:
                validate_row(text, held)
                if bucket_of(text) != number:
                    raise ValueError(f"an object of another part in {number}")
                self.set(text, 0, held)
            self._bucket_loaded(number)
        elif kind == "gone":
            self.tombstones = {str(text): int(version) for text, version in rest[0]}
        elif kind == "end":
            if rest[0] != self.digest():
                raise ValueError("the digest does not fit the objects")
            return True
        else:
            raise ValueError(f"a record {kind!r:.20}")
        return False


def validate_row(text: Any, held: Any) -> None:
    """Raises BookError unless this can be a row of a book."""
    if type(text) is not str or not text or not 0 < ord(text[0]) < len(text):
        raise ObjectStoreError("a row without a key")
    if held is not None and (type(held) is not bytes or not 8 <= len(held) <= MAX_OBJECT_BYTES + 8):
        raise ObjectStoreError(f"{' '.join(decode_key(text))}: no object with its version")
