"""Settings that an ingress received beyond the version that it acts on. No I/O, no clock.

    store          the objects of the acting version
    applying       a frozen layer over them, while it is applied
    rows           a layer of the newer changes over both

A refusal leaves the store as it is and merges both layers, so that a later change set that corrects what was refused
is applied together with all changes since the store's version. Each change of ``rows`` has to yield the digest of the
whole store, or nothing of it is taken: nobody holds objects that are no version of the log. The memory is bounded by
the objects of two versions.

If an object changes again before it was applied, its superseded data are recorded in ``intermediate_values``: other
ingresses may act on that version, and ceilings need to know (ceilings.py). Of an object in a delta over several
versions, and of those beyond the bounds, the data in the versions between are unknown.

    the object's row                              recorded data of the versions between
    superseded by a later row                     the superseded data
    of a delta over two versions or more          unknown
    of a layer that is refused                    its data, and those recorded with it, if superseded meanwhile
    none, where a delta lists the objects that
    are left by their digests                     unknown for each partner that is not known
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy

from rushweir.rollout.ceilings import UNKNOWN_CUSTOMERS
from rushweir.rollout.change_sets import Change, ChangeSet, Key
from rushweir.rollout.object_store import (
    BUCKET_COUNT,
    DIGEST_BYTES,
    DIGEST_MASK,
    MAX_OBJECTS,
    OBJECT_DIGEST_BYTES,
    ObjectStore,
    ObjectStoreError,
    Row,
    bucket_of,
    content_digest,
    decode_key,
    encode_key,
    encode_object,
    object_digest,
    row_bytes,
    store_digest,
)  # fmt: skip

MAX_INTERMEDIATE_OBJECTS = 4_096  # objects whose data in intermediate versions are recorded
MAX_VALUES_PER_OBJECT = 8  # recorded data of one object
IntermediateRows = dict[str, tuple[bytes, ...] | None]  # by encoded key; None: the data are unknown


class Delta:
    """Changes that are being received, with what they add to the digests; they may come in chunks."""

    def __init__(self, buffer: ReorderBuffer) -> None:
        self.buffer = buffer
        self.rows = dict[str, bytes | None]()
        self.generation = buffer.generation  # of the buffer that the sums are relative to
        self.sums: dict[int, int] = {}  # by bucket
        self.count = self.size = 0  # objects and bytes more
        self.deletes_unlisted = False  # deleted objects are those that are missing in a list of digests

    def add_all(self, rows: Iterable[Row]) -> None:
        """Add rows in the order of their buckets, so that a packed store unpacks each bucket once."""
        for text, stored in sorted(rows, key=lambda row: bucket_of(row[0])):
            self.add(text, stored)

    def add(self, text: str, stored: bytes | None) -> None:
        """Add one object's new row; None deletes it. Raises ObjectStoreError."""
        old = self.rows[text] if text in self.rows else self.buffer.get_stored(text)
        if stored != old:
            bucket = bucket_of(text)
            gain = (content_digest(text, stored) if stored is not None else 0) - (
                content_digest(text, old) if old is not None else 0
            )
            self.sums[bucket] = self.sums.get(bucket, 0) + gain
            self.count += (stored is not None) - (old is not None)
            self.size += row_bytes(text, stored) - row_bytes(text, old)
        if len(self.rows) > 2 * MAX_OBJECTS:
            raise ObjectStoreError(f"more than {2 * MAX_OBJECTS} objects at once")
        self.rows[text] = stored

    def delete_unlisted(self, bucket: int, digests: bytes) -> None:
        """Delete the objects of a bucket whose digests are not among these."""
        self.deletes_unlisted = True
        listed = {digests[at : at + OBJECT_DIGEST_BYTES] for at in range(0, len(digests), OBJECT_DIGEST_BYTES)}
        for text in self.buffer.keys_in_bucket(bucket):
            if object_digest(text) not in listed:
                self.add(text, None)


class FrozenLayer:
    """A layer while it is applied. The store under it does not change meanwhile, so all of this may be read from
    other threads."""

    def __init__(self, buffer: ReorderBuffer, rows: Mapping[str, bytes | None]) -> None:
        self.store, self.rows, self.version = buffer.store, rows, buffer.version
        self.sums = list(buffer.sums)
        self.totals = (buffer.count, buffer.size)
        self._intermediate_rows = buffer.intermediate_rows
        self._changes: tuple[Change, ...] | None = None
        self._rows_by_bucket: dict[int, dict[str, bytes | None]] | None = None

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes to apply: rows that differ from the store."""
        if self._changes is None:
            rows = ((t, stored) for bucket in self.rows_by_bucket.values() for t, stored in bucket.items())
            differ = ((t, stored) for t, stored in rows if stored != self.store.get_stored(t))
            self._changes = tuple(
                Change(decode_key(t), None if stored is None else stored[8:]) for t, stored in differ
            )
        return self._changes

    @property
    def intermediate_values(self) -> dict[Key, tuple[bytes, ...] | None]:
        """Data that objects had in intermediate versions; None: unknown."""
        known = self._intermediate_rows.items()
        return {decode_key(t): None if rows is None else tuple(r[8:] for r in rows) for t, rows in known}

    @property
    def versions(self) -> dict[Key, int]:
        """The version that changed each object last."""
        return {
            decode_key(t): int.from_bytes(stored[:8], "big") for t, stored in self.rows.items() if stored is not None
        }

    def intermediate_rows(self) -> IntermediateRows:
        """The same as ``intermediate_values``, by encoded keys and with versions."""
        return self._intermediate_rows

    @property
    def rows_by_bucket(self) -> dict[int, dict[str, bytes | None]]:
        """The rows by their buckets."""
        if self._rows_by_bucket is None:
            found: dict[int, dict[str, bytes | None]] = {}
            for text, stored in self.rows.items():
                found.setdefault(bucket_of(text), {})[text] = stored
            self._rows_by_bucket = found
        return self._rows_by_bucket


class ReorderBuffer:
    """The newest version received, as layers over a store of the acting version."""

    def __init__(self, store: ObjectStore) -> None:
        self.store, self.version = store, store.version
        self.rows: dict[str, bytes | None] = {}
        self.sums, self.total = list(store.sums), store.total
        self.count, self.size = store.count, store.size
        self.generation = 0  # deltas taken: the objects are the same as long as this is
        self.intermediate_rows: IntermediateRows = {}
        self.applying: Mapping[str, bytes | None] | None = None
        self.frozen: FrozenLayer | None = None

    def get_stored(self, text: str) -> bytes | None:
        """The newest row of an object; None: there is none."""
        if text in self.rows:
            return self.rows[text]
        if self.applying is not None and text in self.applying:
            return self.applying[text]
        return self.store.get_stored(text)

    def keys_in_bucket(self, bucket: int) -> set[str]:
        """The encoded keys of all objects of a bucket."""
        found = set(self.store.buckets[bucket])
        for layer in (self.applying or {}, self.rows):
            for text, stored in layer.items():
                if bucket_of(text) == bucket:
                    (found.discard if stored is None else found.add)(text)
        return found

    def digest(self) -> bytes:
        """The digest of version and objects."""
        return store_digest(self.version, self.total)

    def digests(self) -> bytes:
        """The digests of all buckets."""
        return b"".join(s.to_bytes(DIGEST_BYTES, "big") for s in self.sums)

    # --- changes received ------------------------------------------------------------------------

    def view(self) -> ReorderBuffer:
        """A copy that other threads may read while this one changes."""
        other = copy(self)
        other.store, other.rows = self.store.copy(), dict(self.rows)
        return other

    def prepare_delta(self, change_set: ChangeSet) -> Delta:
        """The next change set as a delta to the newest version."""
        delta = Delta(self)
        delta.add_all(
            (encode_key(c.key), None if c.data is None else encode_object(change_set.version, c.data))
            for c in change_set.changes
        )
        return delta

    def take_change_set(self, change_set: ChangeSet, digest: bytes, delta: Delta | None = None) -> bool:
        """Whether the next change set yields this digest; otherwise nothing is changed. ``delta``: prepared before,
        used only if the objects have not changed since."""
        if delta is None or delta.generation != self.generation:
            delta = self.prepare_delta(change_set)
        return self.take_delta(delta, change_set.version, digest)

    def take_delta(self, delta: Delta, version: int, digest: bytes) -> bool:
        """Whether a delta yields this digest; otherwise nothing is changed."""
        total = (self.total + sum(delta.sums.values())) & DIGEST_MASK
        if store_digest(version, total) != digest:
            return False
        for bucket, gain in delta.sums.items():
            self.sums[bucket] = (self.sums[bucket] + gain) & DIGEST_MASK
        next_version = (self.version + 1).to_bytes(8, "big")
        skips = 0 < self.version < version - 1
        for text, stored in delta.rows.items():
            # Versions are eight bytes, big-endian, and sort as their bytes do.
            if skips and (stored is None or stored[:8] > next_version):
                self._record_intermediate(text, None)
            elif (superseded := self.rows.get(text)) is not None:
                self._record_intermediate(text, (superseded,))
        if skips and delta.deletes_unlisted:  # such a delta does not name partners that came and went in between
            self._record_intermediate(encode_key(("partner", UNKNOWN_CUSTOMERS)), None)
        self.rows.update(delta.rows)
        self.version, self.total = version, total
        self.count += delta.count
        self.size += delta.size
        self.generation += 1
        return True

    def _record_intermediate(self, text: str, rows: tuple[bytes, ...] | None) -> None:
        known = self.intermediate_rows.get(text, ())
        full = len(self.intermediate_rows) >= MAX_INTERMEDIATE_OBJECTS or len(known or ()) >= MAX_VALUES_PER_OBJECT
        self.intermediate_rows[text] = None if rows is None or known is None or full else (*known, *rows)

    # --- applying --------------------------------------------------------------------------------

    def freeze(self) -> FrozenLayer:
        """Return the changes to apply now; ``applied`` or ``refused`` ends it."""
        self.applying, self.rows = self.rows, {}
        self.frozen, self.intermediate_rows = FrozenLayer(self, self.applying), {}
        return self.frozen

    def applied(self) -> list[Row]:
        """Merge the frozen layer into the store, and return its rows."""
        assert self.frozen is not None
        assert self.applying is not None
        rows = list(self.applying.items())
        self.store.merge(self.frozen.rows_by_bucket, self.frozen.version, self.frozen.sums, *self.frozen.totals)
        self.applying = self.frozen = None
        return rows

    def refused(self) -> None:
        """Merge the frozen layer with the newer rows, to be applied together."""
        assert self.applying is not None
        assert self.frozen is not None
        later, self.intermediate_rows = self.intermediate_rows, self.frozen.intermediate_rows()
        for text in self.rows:
            if (superseded := self.applying.get(text)) is not None:
                self._record_intermediate(text, (superseded,))
        for text, rows in later.items():
            self._record_intermediate(text, rows)
        self.rows, self.applying, self.frozen = {**self.applying, **self.rows}, None, None


def parse_object_digests(marks: object) -> Iterable[tuple[int, bytes]]:
    """The object digests of buckets in a message. Raises ObjectStoreError."""
    if not isinstance(marks, dict):
        raise ObjectStoreError("marks: not a map of buckets")
    for bucket, digests in marks.items():
        if (
            type(bucket) is not int
            or not 0 <= bucket < BUCKET_COUNT
            or type(digests) is not bytes
            or len(digests) % OBJECT_DIGEST_BYTES
        ):
            raise ObjectStoreError("marks: not buckets with the digests of their objects")
        yield bucket, digests
