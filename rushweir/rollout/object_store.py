"""All settings objects at one version, with digests by which two replicas find where they differ. No I/O.

An object is stored as one byte string: the version that last changed it (eight bytes), then its data. Objects are
spread over hash buckets by a checksum of their key. The digest of a bucket is the sum of the digests of its objects
modulo 2^128, so that updating it costs as much as the change. The digest of the store is made of the version and the
sum of all buckets. Such sums detect accidental damage, not manipulation; against that, messages are sealed with a key
(watch_channel.py).

A deleted object leaves a tombstone with the version that deleted it, so that ``since`` can name it. There are at most
MAX_TOMBSTONES; the oldest are dropped first, and ``tombstone_floor`` is the version of the last one dropped. Below it
``since`` has no answer, and deletions are found by the digests of all remaining keys of a bucket
(``object_digests``).

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
DIGEST_BYTES = 16
OBJECT_DIGEST_BYTES = 8  # identify a key among those of its bucket
MAX_OBJECTS = 65_536  # of a store; 16,000 partners and 9,300 routes are 25,300
MAX_TOMBSTONES = 16_384
MAGIC = b"RWBOOK\x01"
RECORD_HEADER = Struct(">II")  # length, checksum
MAX_RECORD_BYTES = 64 * 1_048_576  # a bucket of MAX_OBJECTS / BUCKET_COUNT objects of the largest size is 16 MiB
DIGEST_MASK = (1 << 8 * DIGEST_BYTES) - 1

FileData = bytes | mmap
Row = tuple[str, bytes | None]  # an encoded key and the stored object, None if it is deleted


class ObjectStoreError(ValueError):
    """Bytes that encode no object store, or a change set that is not the next; the text says where."""


def encode_key(key: Key) -> str:
    """Return a key as one string. The length of the kind comes first, so no two keys have the same string."""
    return chr(len(key[0])) + key[0] + key[1]


def decode_key(text: str) -> Key:
    """Return the key of what ``encode_key`` made."""
    end = 1 + ord(text[0])
    return text[1:end], text[end:]


def encode_object(version: int, data: bytes) -> bytes:
    """Return an object as it is stored: its version, then its data."""
    return version.to_bytes(8, "big") + data


def bucket_of(text: str) -> int:
    """Return the number of the bucket that an encoded key belongs to."""
    return crc32(text.encode("utf-8", "surrogatepass")) % BUCKET_COUNT


def object_digest(text: str) -> bytes:
    """Return the digest that identifies an object by its encoded key, whatever its data."""
    return blake2b(text.encode("utf-8", "surrogatepass"), digest_size=OBJECT_DIGEST_BYTES).digest()


def content_digest(text: str, stored: bytes) -> int:
    """Return the digest of an object with its key, version and data, which is added to the sum of its bucket.

    The byte 0xff between key and object occurs in no UTF-8 text, so it separates them."""
    digest = blake2b(text.encode("utf-8", "surrogatepass") + b"\xff" + stored, digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def row_bytes(text: str, stored: bytes | None) -> int:
    """Return what a row adds to the size of a store, in bytes (and characters of its key)."""
    return 0 if stored is None else len(text) + len(stored)


def store_digest(version: int, total: int) -> bytes:
    """Return the digest of a store by its version and the sum of its buckets."""
    return blake2b(
        version.to_bytes(8, "big") + total.to_bytes(DIGEST_BYTES, "big"), digest_size=DIGEST_BYTES
    ).digest()


def encode_record(payload: Any) -> bytes:
    """Return a payload with its length and checksum."""
    data = msgpack.packb(payload)
    return RECORD_HEADER.pack(len(data), crc32(data, len(data))) + data


def decode_records(data: FileData, at: int) -> Iterator[tuple[int, Any]]:
    """Yield the end position and the payload of each intact record from ``at`` on, up to the first damaged one."""
    while at + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if length > MAX_RECORD_BYTES or len(body) < length or crc32(body, length) != checksum:
            return
        at += RECORD_HEADER.size + length
        try:
            yield at, msgpack.unpackb(body, strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            return


class ObjectStore:
    """The settings objects at ``version``; an empty store has version 0."""

    __slots__ = ("buckets", "count", "size", "sums", "tombstone_floor", "tombstones", "total", "version")

    def __init__(self) -> None:
        self.version = 0
        self.count = 0  # objects
        self.total = 0  # sum of ``sums``, modulo 2^128
        self.tombstone_floor = 0
        self.size = 0  # bytes of all rows
        self.buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self.sums = [0] * BUCKET_COUNT  # of the content digests of each bucket
        self.tombstones: dict[str, int] = {}  # the version that deleted each object, oldest first

    # --- contents --------------------------------------------------------------------------------

    def get(self, key: Key) -> bytes | None:
        """Return the data of an object; None: there is none."""
        stored = self.get_stored(encode_key(key))
        return None if stored is None else stored[8:]

    def get_stored(self, text: str) -> bytes | None:
        """Return the version and data of an object by its encoded key; None: there is none."""
        return self.buckets[bucket_of(text)].get(text)

    def objects(self) -> Iterator[tuple[Key, int, bytes]]:
        """Yield the key, version and data of each object."""
        for bucket in self.buckets:
            for text, stored in bucket.items():
                yield decode_key(text), int.from_bytes(stored[:8], "big"), stored[8:]

    def digest(self) -> bytes:
        """Return the digest of the whole store."""
        return store_digest(self.version, self.total)

    def digests(self) -> bytes:
        """Return the digests of all buckets, concatenated."""
        return b"".join(s.to_bytes(DIGEST_BYTES, "big") for s in self.sums)

    def differing_buckets(self, theirs: bytes) -> list[int]:
        """Return the numbers of the buckets whose digests differ from ``theirs``. Raises ObjectStoreError."""
        if len(theirs) != BUCKET_COUNT * DIGEST_BYTES:
            raise ObjectStoreError(
                f"digests of {BUCKET_COUNT} buckets are {BUCKET_COUNT * DIGEST_BYTES} bytes, not {len(theirs)}"
            )
        digests = (theirs[at : at + DIGEST_BYTES] for at in range(0, len(theirs), DIGEST_BYTES))
        return [b for b, digest in enumerate(digests) if int.from_bytes(digest, "big") != self.sums[b]]

    def changed_since(self, bucket: int, version: int) -> list[Row]:
        """Return the objects of a bucket that were changed after a version."""
        after = (version + 1).to_bytes(8, "big")  # versions of eight bytes sort as their bytes do
        return [(text, stored) for text, stored in self.buckets[bucket].items() if stored[:8] >= after]

    def deleted_since(self, version: int) -> list[str] | None:
        """Return the encoded keys of objects that were deleted after a version; None: unknown, below the floor."""
        if version < self.tombstone_floor:
            return None
        found: list[str] = []
        for text in reversed(self.tombstones):
            if self.tombstones[text] <= version:
                break
            found.append(text)
        return found

    def since(self, version: int) -> list[Row] | None:
        """Return the rows that turn an earlier version into this one; None if tombstones that it needs are gone."""
        deleted = self.deleted_since(version)
        if deleted is None:
            return None
        rows = [row for bucket in range(BUCKET_COUNT) for row in self.changed_since(bucket, version)]
        return rows + [(text, None) for text in deleted]

    def object_digests(self, bucket: int) -> bytes:
        """Return the digests of all keys of a bucket, concatenated: an object not among them is deleted."""
        return b"".join(map(object_digest, self.buckets[bucket]))

    # --- changes ---------------------------------------------------------------------------------

    def apply(self, change_set: ChangeSet) -> None:
        """Apply the next change set. Raises ObjectStoreError if it is not the next."""
        if change_set.version != self.version + 1:
            raise ObjectStoreError(f"change set {change_set.version} does not follow version {self.version}")
        for c in change_set.changes:
            self.set(
                encode_key(c.key),
                change_set.version,
                None if c.data is None else encode_object(change_set.version, c.data),
            )
        self.version = change_set.version

    def put(self, rows: Iterable[Row], version: int) -> None:
        """Apply a delta, as ``since`` of another store returns it, and move to the version of that store."""
        for text, stored in rows:
            self.set(text, version, stored)
        self.skip_to(version)

    def skip_to(self, version: int) -> None:
        """Move to a version without all change sets before it: objects deleted in between have no tombstones."""
        self.version = self.tombstone_floor = version
        self.tombstones.clear()

    def merge(
        self, buckets: Mapping[int, Mapping[str, bytes | None]], version: int, sums: list[int], count: int, size: int
    ) -> None:
        """Apply a delta by buckets as ``put`` does, with sums, count and size known: no digest is computed."""
        for bucket, rows in buckets.items():
            self._put_bucket(bucket, rows)
        self.sums = list(sums)
        self.total = sum(sums) & DIGEST_MASK
        self.count = count
        self.size = size
        self.skip_to(version)

    def _put_bucket(self, bucket: int, rows: Mapping[str, bytes | None]) -> None:
        objects = self.buckets[bucket]
        objects.update((text, stored) for text, stored in rows.items() if stored is not None)
        for text in (text for text, stored in rows.items() if stored is None):
            objects.pop(text, None)

    def set(self, text: str, version: int, stored: bytes | None) -> None:
        """Set one object by its encoded key, or delete it with a tombstone of ``version``."""
        bucket = bucket_of(text)
        old = self.buckets[bucket].get(text)
        self.size += row_bytes(text, stored) - row_bytes(text, old)
        if old is not None:
            self._add(bucket, -content_digest(text, old))
        if stored is not None:
            self.buckets[bucket][text] = stored
            self._add(bucket, content_digest(text, stored))
            self.tombstones.pop(text, None)
            self.count += old is None
        elif old is not None:
            del self.buckets[bucket][text]
            self.count -= 1
            self.tombstones[text] = version
            if len(self.tombstones) > MAX_TOMBSTONES:
                oldest = next(iter(self.tombstones))
                self.tombstone_floor = self.tombstones.pop(oldest)

    def _add(self, bucket: int, digest: int) -> None:
        self.sums[bucket] = (self.sums[bucket] + digest) & DIGEST_MASK
        self.total = (self.total + digest) & DIGEST_MASK

    def copy(self) -> ObjectStore:
        """Return a copy that shares the bytes of the objects."""
        other = ObjectStore()
        self._copy_to(other)
        other.buckets = [dict(bucket) for bucket in self.buckets]
        return other

    @property
    def needs_compaction(self) -> bool:
        """Whether ``compact`` should be called."""
        return False

    def compact(self) -> bool:
        """Free some memory if possible. Return whether there is more to free."""
        return False

    def _copy_to(self, other: ObjectStore) -> None:
        """Copy everything but the objects."""
        other.version, other.count, other.size = self.version, self.count, self.size
        other.total, other.tombstone_floor = self.total, self.tombstone_floor
        other.sums, other.tombstones = list(self.sums), dict(self.tombstones)

    def _expect_changes(self, expected: Collection[str]) -> None:
        """Called before loading, with the objects that will change next."""

    def _bucket_loaded(self, bucket: int) -> None:
        """Called after a bucket was loaded."""

    # --- encoding --------------------------------------------------------------------------------

    def pages(self) -> Iterator[bytes]:
        """Yield the encoded store, a bucket at a time, so that a writer is never blocked long by one of them."""
        yield MAGIC + encode_record(["book", self.version, self.tombstone_floor])
        for n, bucket in enumerate(self.buckets):
            if bucket:
                yield encode_record(["part", n, list(bucket.items())])
        yield encode_record(["gone", list(self.tombstones.items())])
        yield encode_record(["end", self.digest()])

    def dump(self) -> bytes:
        """Return the encoded store."""
        return b"".join(self.pages())

    @classmethod
    def load(cls, data: FileData, expected: Collection[str] = ()) -> Self:
        """Decode what ``dump`` made. ``expected``: encoded keys of objects that will change next.

        Raises ObjectStoreError if the data are torn, altered or of another format."""
        if data[: len(MAGIC)] != MAGIC:
            raise ObjectStoreError("not an object store, or one of another version")
        store, at, ended = cls(), len(MAGIC), False
        store._expect_changes(expected)
        for end, payload in decode_records(data, at):
            at = end
            try:
                ended = store._load_record(*payload)
            except (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError) as problem:
                raise ObjectStoreError(f"invalid record of an object store before byte {at}: {problem}") from None
        if not ended or at != len(data):
            raise ObjectStoreError(f"object store torn or altered at byte {at} of {len(data)}")
        return store

    def _load_record(self, kind: str, *rest: Any) -> bool:
        """Load one record. Return whether it is the last."""
        if kind == "book":
            self.version, self.tombstone_floor = map(int, rest)
        elif kind == "part":
            bucket, rows = rest
            for text, stored in rows:
                validate_row(text, stored)
                if bucket_of(text) != bucket:
                    raise ValueError(f"an object of another bucket in bucket {bucket}")
                self.set(text, 0, stored)
            self._bucket_loaded(bucket)
        elif kind == "gone":
            self.tombstones = {str(text): int(version) for text, version in rest[0]}
        elif kind == "end":
            if rest[0] != self.digest():
                raise ValueError("the digest does not match the objects")
            return True
        else:
            raise ValueError(f"unknown record {kind!r:.20}")
        return False


def validate_row(text: Any, stored: Any) -> None:
    """Raises ObjectStoreError unless these can be an encoded key and a stored object."""
    if type(text) is not str or not text or not 0 < ord(text[0]) < len(text):
        raise ObjectStoreError("a row without a key")
    if stored is not None and (type(stored) is not bytes or not 8 <= len(stored) <= MAX_OBJECT_BYTES + 8):
        raise ObjectStoreError(f"{' '.join(decode_key(text))}: not an object with its version")
