"""Settings as keyed objects, and numbered sets of changes to them. Records and their encoding; no I/O, no clock.

An object is one independent block of the settings: a partner, a plan, a class, a cost route, a budget. A block that
occurs once is an object of its kind with an empty name. An object's data are opaque here: the canonical bytes that
the settings parser made of it. A change set changes some objects, all or none. Change sets are numbered from 1
without a gap, and the number of the last committed one is the version of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

Key = tuple[str, str]  # kind, name

MAX_CHANGES = 4_096  # in one change set; a larger one is a mistake, or is split by the operator
MAX_CHANGE_SET_BYTES = 1_048_576
MAX_OBJECT_BYTES = 65_536
MAX_NAME_CHARS = 128  # of a kind or a name; the limit of config/models.py


class ChangeSetError(ValueError):
    """Bytes that encode no change set, or a change set beyond the limits; the text names the object."""


@dataclass(frozen=True, slots=True)
class Change:
    """The new data of one object; None deletes it."""

    key: Key
    data: bytes | None


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes that are committed together. ``version`` is its number and that of the settings after it."""

    version: int
    changes: tuple[Change, ...]
    author: str = ""


def validate_changes(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    """Return the changes if one change set may carry them. Raises ChangeSetError."""
    if not 1 <= len(changes) <= MAX_CHANGES:
        raise ChangeSetError(f"a change set changes 1 to {MAX_CHANGES} objects, not {len(changes)}")
    seen = set[Key]()
    size = 0
    for change in changes:
        kind, name = change.key
        if not (0 < len(kind) <= MAX_NAME_CHARS and len(name) <= MAX_NAME_CHARS):
            raise ChangeSetError(f"{kind[:40]} {name[:40]}: kind and name of at most {MAX_NAME_CHARS} characters")
        if change.key in seen:
            raise ChangeSetError(f"{kind} {name}: changed twice in one change set")
        if change.data is not None and len(change.data) > MAX_OBJECT_BYTES:
            raise ChangeSetError(f"{kind} {name}: more than {MAX_OBJECT_BYTES} bytes")
        seen.add(change.key)
        size += len(kind) + len(name) + len(change.data or b"")
    if size > MAX_CHANGE_SET_BYTES:
        raise ChangeSetError(f"a change set of {size} bytes, {MAX_CHANGE_SET_BYTES} at most")
    return changes


def to_row(change_set: ChangeSet) -> list[Any]:
    """The form that msgpack packs in messages and files."""
    return [change_set.version, change_set.author, [[*c.key, c.data] for c in change_set.changes]]


def pack(change_set: ChangeSet) -> bytes:
    """Encode a change set."""
    return msgpack.packb(to_row(change_set))


def from_row(row: Any) -> ChangeSet:
    """Check and return what ``to_row`` made. Raises ChangeSetError."""
    try:
        version, author, rows = row
        changes = tuple(Change((kind, name), data) for kind, name, data in rows)
        is_valid = type(version) is int and version > 0 and isinstance(author, str) and all(
            isinstance(c.key[0], str) and isinstance(c.key[1], str) and (c.data is None or type(c.data) is bytes)
            for c in changes
        )  # fmt: skip
    except (ValueError, TypeError) as problem:
        raise ChangeSetError(f"not a change set: {problem}") from None
    if not is_valid:
        raise ChangeSetError("not a change set: a field of another type")
    return ChangeSet(version, validate_changes(changes), author)


def unpack(data: bytes) -> ChangeSet:
    """Decode a change set. Raises ChangeSetError."""
    try:
        row = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as problem:
        raise ChangeSetError(f"not a change set: {problem}") from None
    return from_row(row)
