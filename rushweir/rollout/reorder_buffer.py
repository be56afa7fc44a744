"""What an ingress knows of the settings beyond the version that it acts on. No I/O, no clock.

    book           what it acts on
    applying       a frozen layer, while the one who applies has it
    rows           what is known beyond both

A refusal leaves the book as it is and lays both layers together, so that a later step that mends what was refused is
taken with all from the book's version on. Each change of ``rows`` has to make the whole's digest, or none of it is
taken: so nobody holds objects that are no version of the log. All is bounded by the objects of two versions.

Of an object that is overtaken before it is applied, what it was is ``passed``: others may act on that version, and
ceilings need to know (ceilings.py). What came as a difference, over several versions, may have been anything in
between; and so may what is beyond the bounds.

    the object's row                         then it passed
    overtaken by a later row                 what it was
    of a difference, two versions or more    anything
    a layer that is refused                  what it was, and it had passed, if overtaken meanwhile
    of no row; a difference that tells by names
    of what is left who is gone              any partner that is not known
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

MAX_INTERMEDIATE_OBJECTS, MAX_VALUES_PER_OBJECT = (
    4_096,
    8,
)  # objects of which it is kept what they were in between, and how often of each
Passed = dict[str, tuple[bytes, ...] | None]  # what objects were in between; None: anything


class Delta:
    """Changes on their way in, with what they add to the sums; they may come in pieces."""

    def __init__(self, ahead: ReorderBuffer) -> None:
        self.buffer, self.rows, self.beside = ahead, dict[str, bytes | None](), ahead.taken
        self.sums: dict[int, int] = {}
        self.count = self.size = 0  # objects and bytes more
        self.by_names = False  # what is gone is told by the names of all that is left

    def add_all(self, rows: Iterable[Row]) -> None:
        """By parts: a look into the book unpacks one."""
        for text, held in sorted(rows, key=lambda row: bucket_of(row[0])):
            self.add(text, held)

    def add(self, text: str, held: bytes | None) -> None:
        old = self.rows[text] if text in self.rows else self.buffer.held(text)
        if held != old:
            part = bucket_of(text)
            gain = (content_digest(text, held) if held is not None else 0) - (
                content_digest(text, old) if old is not None else 0
            )
            self.sums[part] = self.sums.get(part, 0) + gain
            self.count += (held is not None) - (old is not None)
            self.size += row_bytes(text, held) - row_bytes(text, old)
        if len(self.rows) > 2 * MAX_OBJECTS:
            raise ObjectStoreError(f"more than {2 * MAX_OBJECTS} objects at once")
        self.rows[text] = held

    def leave(self, part: int, marks: bytes) -> None:
        """What is not named in a part is gone from it."""
        self.by_names = True
        left = {marks[at : at + OBJECT_DIGEST_BYTES] for at in range(0, len(marks), OBJECT_DIGEST_BYTES)}
        for text in self.buffer.names(part):
            if object_digest(text) not in left:
                self.add(text, None)


class FrozenLayer:
    """A layer while it is applied. The book under it stays as it is meanwhile, so that all of this may be asked
    beside the loop."""

    def __init__(self, ahead: ReorderBuffer, rows: Mapping[str, bytes | None]) -> None:
        self.book, self.rows, self.version = ahead.book, rows, ahead.version
        self.sums, self.tally = list(ahead.sums), (ahead.count, ahead.size)
        self._passed = ahead.intermediate_values
        self._changes: tuple[Change, ...] | None = None
        self._parts: dict[int, dict[str, bytes | None]] | None = None

    @property
    def changes(self) -> tuple[Change, ...]:
        """What is to be applied, as it differs from the book."""
        if self._changes is None:
            rows = ((t, held) for part in self.parts.values() for t, held in part.items())
            differ = ((t, held) for t, held in rows if held != self.book.get_stored(t))
            self._changes = tuple(Change(decode_key(t), None if held is None else held[8:]) for t, held in differ)
        return self._changes

    @property
    def intermediate_values(self) -> dict[Key, tuple[bytes, ...] | None]:
        """Objects that were something else in versions between; None: not known what."""
        known = self._passed.items()
        return {decode_key(t): None if rows is None else tuple(r[8:] for r in rows) for t, rows in known}

    @property
    def versions(self) -> dict[Key, int]:
        """The version that changed each object last."""
        return {decode_key(t): int.from_bytes(held[:8], "big") for t, held in self.rows.items() if held is not None}

    def known(self) -> Passed:
        """The same, as a layer has it."""
        return self._passed

    @property
    def parts(self) -> dict[int, dict[str, bytes | None]]:
        """The rows by their parts."""
        if self._parts is None:
            found: dict[int, dict[str, bytes | None]] = {}
            for text, held in self.rows.items():
                found.setdefault(bucket_of(text), {})[text] = held
            self._parts = found
        return self._parts


class ReorderBuffer:
    """The newest version known, over a book of the one that is acted on."""

    def __init__(self, book: ObjectStore) -> None:
        self.book, self.version = book, book.version
        self.rows: dict[str, bytes | None] = {}
        self.sums, self.total = list(book.sums), book.total
        self.count, self.size = book.count, book.size
        self.taken = 0  # how often something was taken: what is known is the same as long as this is
        self.intermediate_values: Passed = {}
        self.applying: Mapping[str, bytes | None] | None = None
        self.frozen: FrozenLayer | None = None

    def held(self, text: str) -> bytes | None:
        if text in self.rows:
            return self.rows[text]
        if self.applying is not None and text in self.applying:
            return self.applying[text]
        return self.book.get_stored(text)

    def names(self, part: int) -> set[str]:
        """Of all objects that a part has."""
        found = set(self.book.buckets[part])
        for layer in (self.applying or {}, self.rows):
            for text, held in layer.items():
                if bucket_of(text) == part:
                    (found.discard if held is None else found.add)(text)
        return found

    def digest(self) -> bytes:
        return store_digest(self.version, self.total)

    def digests(self) -> bytes:
        return b"".join(s.to_bytes(DIGEST_BYTES, "big") for s in self.sums)

    # --- what comes ------------------------------------------------------------------------------

    def view(self) -> ReorderBuffer:
        """As it is now, for whoever looks beside the loop."""
        other = copy(self)
        other.book, other.rows = self.book.copy(), dict(self.rows)
        return other

    def prepare_delta(self, step: ChangeSet) -> Delta:
        """The next step as it changes what is known."""
        delta = Delta(self)
        delta.add_all(
            (encode_key(c.key), None if c.data is None else encode_object(step.version, c.data)) for c in step.changes
        )
        return delta

    def take_change_set(self, step: ChangeSet, digest: bytes, delta: Delta | None = None) -> bool:
        """Whether the next step makes the digest told; else nothing is changed. ``delta``: as it was weighed before,
        if that was beside what is known now."""
        if delta is None or delta.beside != self.taken:
            delta = self.prepare_delta(step)
        return self.take_delta(delta, step.version, digest)

    def take_delta(self, delta: Delta, version: int, digest: bytes) -> bool:
        total = (self.total + sum(delta.sums.values())) & DIGEST_MASK
        if store_digest(version, total) != digest:
            return False
        for part, gain in delta.sums.items():
            self.sums[part] = (self.sums[part] + gain) & DIGEST_MASK
        next_one, skips = (self.version + 1).to_bytes(8, "big"), 0 < self.version < version - 1
        for text, held in delta.rows.items():
            if skips and (held is None or held[:8] > next_one):  # versions of eight bytes sort as their bytes do
                self._pass(text, None)
            elif (was := self.rows.get(text)) is not None:
                self._pass(text, (was,))
        if skips and delta.by_names:  # who came and went between is named nowhere
            self._pass(encode_key(("partner", UNKNOWN_CUSTOMERS)), None)
        self.rows.update(delta.rows)
        self.version, self.total = version, total
        self.count, self.size, self.taken = self.count + delta.count, self.size + delta.size, self.taken + 1
        return True

    def _pass(self, text: str, was: tuple[bytes, ...] | None) -> None:
        known = self.intermediate_values.get(text, ())
        many = len(self.intermediate_values) >= MAX_INTERMEDIATE_OBJECTS or len(known or ()) >= MAX_VALUES_PER_OBJECT
        self.intermediate_values[text] = None if was is None or known is None or many else (*known, *was)

    # --- the one who applies ---------------------------------------------------------------------

    def freeze(self) -> FrozenLayer:
        """What is to be applied now."""
        self.applying, self.rows = self.rows, {}
        self.frozen, self.intermediate_values = FrozenLayer(self, self.applying), {}
        return self.frozen

    def applied(self) -> list[Row]:
        """The book is of the frozen version from now on; what changed it."""
        assert self.frozen is not None
        assert self.applying is not None
        rows = list(self.applying.items())
        self.book.merge(self.frozen.parts, self.frozen.version, self.frozen.sums, *self.frozen.tally)
        self.applying = self.frozen = None
        return rows

    def refused(self) -> None:
        assert self.applying is not None
        assert self.frozen is not None
        later, self.intermediate_values = self.intermediate_values, self.frozen.known()
        for text in self.rows:
            if (was := self.applying.get(text)) is not None:
                self._pass(text, (was,))
        for text, rows in later.items():
            self._pass(text, rows)
        self.rows, self.applying, self.frozen = {**self.applying, **self.rows}, None, None


def of_marks(told: object) -> Iterable[tuple[int, bytes]]:
    """Raises ObjectStoreError."""
    if not isinstance(told, dict):
        raise ObjectStoreError("marks: a map of parts")
    for part, marks in told.items():
        if (
            type(part) is not int
            or not 0 <= part < BUCKET_COUNT
            or type(marks) is not bytes
            or len(marks) % OBJECT_DIGEST_BYTES
        ):
            raise ObjectStoreError("marks: parts and the names in them")
        yield part, marks
