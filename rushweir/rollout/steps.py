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

MOST_CHANGES = 4_096  # of one step; a larger one is a mistake, or is made as several
MOST_STEP = 1_048_576  # bytes of one step
MOST_OBJECT = 65_536  # bytes of one object
MOST_NAME = 128  # characters of a kind or name; as config/models.py has it


class StepError(ValueError):
    """Bytes that are no step, or a step beyond the bounds; the text names the object."""


@dataclass(frozen=True, slots=True)
class Change:
    """What one object is from now on; None: it is no more."""

    key: Key
    data: bytes | None


@dataclass(frozen=True, slots=True)
class Step:
    """``number`` is the version of the whole that it makes."""

    number: int
    changes: tuple[Change, ...]
    author: str = ""


def checked(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    """The changes, if a step may carry them. Raises StepError."""
    if not 1 <= len(changes) <= MOST_CHANGES:
        raise StepError(f"a step changes 1 to {MOST_CHANGES} objects, not {len(changes)}")
    seen, size = set[Key](), 0
    for c in changes:
        kind, name = c.key
        if not (0 < len(kind) <= MOST_NAME and len(name) <= MOST_NAME):
            raise StepError(f"{kind[:40]} {name[:40]}: kind and name of at most {MOST_NAME} characters")
        if c.key in seen:
            raise StepError(f"{kind} {name}: changed twice in one step")
        if c.data is not None and len(c.data) > MOST_OBJECT:
            raise StepError(f"{kind} {name}: more than {MOST_OBJECT} bytes")
        seen.add(c.key)
        size += len(kind) + len(name) + len(c.data or b"")
    if size > MOST_STEP:
        raise StepError(f"a step of {size} bytes, {MOST_STEP} at most")
    return changes


def row(step: Step) -> list[Any]:
    """As it stands in messages and files that msgpack packs."""
    return [step.number, step.author, [[*c.key, c.data] for c in step.changes]]


def pack(step: Step) -> bytes:
    return msgpack.packb(row(step))


def from_row(told: Any) -> Step:
    """Raises StepError."""
    try:
        number, author, rows = told
        changes = tuple(Change((kind, name), data) for kind, name, data in rows)
        sound = type(number) is int and number > 0 and isinstance(author, str) and all(
            isinstance(c.key[0], str) and isinstance(c.key[1], str) and (c.data is None or type(c.data) is bytes)
            for c in changes
        )  # fmt: skip
    except (ValueError, TypeError) as problem:
        raise StepError(f"not a step: {problem}") from None
    if not sound:
        raise StepError("not a step: a part of another type")
    return Step(number, checked(changes), author)


def unpack(data: bytes) -> Step:
    """Raises StepError."""
    try:
        told = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as problem:
        raise StepError(f"not a step: {problem}") from None
    return from_row(told)
