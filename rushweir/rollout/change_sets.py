"""Settings as keyed objects, and a change as one numbered step. Plain records and their bytes; no I/O, no clock.

An object is one block of the settings that stands by itself: a partner, a plan, a class, a cost route, a budget; what
stands once is an object of its kind with an empty name. Its data are opaque here: the canonical bytes that whoever
reads settings made of it. A step changes some objects, all or none; steps are numbered without a gap from 1, and the
number of the last one in force is the version of the whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

Key = tuple[str, str]  # kind, name

MAX_CHANGES = 4_096  # of one step; a larger one is a mistake, or is made as several
MAX_CHANGE_SET_BYTES = 1_048_576  # bytes of one step
MAX_OBJECT_BYTES = 65_536  # bytes of one object
MAX_NAME_CHARS = 128  # characters of a kind or name; as config/models.py has it


class ChangeSetError(ValueError):
    """Bytes that are no step, or a step beyond the bounds; the text names the object."""


@dataclass(frozen=True, slots=True)
class Change:
    """What one object is from now on; None: it is no more."""

    key: Key
    data: bytes | None


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """``version`` numbers it, and the settings that it makes."""

    version: int
    changes: tuple[Change, ...]
    author: str = ""


def validate_changes(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    """The changes, if a step may carry them. Raises ChangeSetError."""
    if not 1 <= len(changes) <= MAX_CHANGES:
        raise ChangeSetError(f"a step changes 1 to {MAX_CHANGES} objects, not {len(changes)}")
    seen, size = set[Key](), 0
    for c in changes:
        kind, name = c.key
        if not (0 < len(kind) <= MAX_NAME_CHARS and len(name) <= MAX_NAME_CHARS):
            raise ChangeSetError(f"{kind[:40]} {name[:40]}: kind and name of at most {MAX_NAME_CHARS} characters")
        if c.key in seen:
            raise ChangeSetError(f"{kind} {name}: changed twice in one step")
        if c.data is not None and len(c.data) > MAX_OBJECT_BYTES:
            raise ChangeSetError(f"{kind} {name}: more than {MAX_OBJECT_BYTES} bytes")
        seen.add(c.key)
        size += len(kind) + len(name) + len(c.data or b"")
    if size > MAX_CHANGE_SET_BYTES:
        raise ChangeSetError(f"a step of {size} bytes, {MAX_CHANGE_SET_BYTES} at most")
    return changes


def to_row(step: ChangeSet) -> list[Any]:
    """As it stands in messages and files that msgpack packs."""
    return [step.version, step.author, [[*c.key, c.data] for c in step.changes]]


def pack(step: ChangeSet) -> bytes:
    return msgpack.packb(to_row(step))


def from_row(told: Any) -> ChangeSet:
    """Raises ChangeSetError."""
    try:
        number, author, rows = told
        changes = tuple(Change((kind, name), data) for kind, name, data in rows)
        sound = type(number) is int and number > 0 and isinstance(author, str) and all(
            isinstance(c.key[0], str) and isinstance(c.key[1], str) and (c.data is None or type(c.data) is bytes)
            for c in changes
        )  # fmt: skip
    except (ValueError, TypeError) as problem:
        raise ChangeSetError(f"not a step: {problem}") from None
    if not sound:
        raise ChangeSetError("not a step: a part of another type")
    return ChangeSet(number, validate_changes(changes), author)


def unpack(data: bytes) -> ChangeSet:
    """Raises ChangeSetError."""
    try:
        told = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as problem:
        raise ChangeSetError(f"not a step: {problem}") from None
    return from_row(told)
