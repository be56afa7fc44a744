"""Views: which process has which number, as the fleet agreed on it. Plain records and pure functions.

A view has a number of its own, and two views never share one: in its last bits stands the seed that made it. Seats
are given by ``allot`` and by nothing else:

- who left gives its seat back at once;
- who fell silent keeps it, as LOST, until it was silent for the whole of ``keep``: it may be cut off, and serve on
  what is its own;
- a process at the same address takes its predecessor's seat over, since one process at a time has an address.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b

import msgpack

from rushweir.fleet.settings import Address

ACTIVE, LOST = 0, 1
STATE_NAMES = ("seated", "lost")
SEED_BITS = 3
MAX_HOST_CHARS = 45  # characters of an address as text, IPv6 with the longest form
SLOT_BYTES = 70


@dataclass(frozen=True, slots=True)
class Slot:
    """A number, and the process that has it."""

    id: int
    address: Address
    state: int = ACTIVE

    def pack(self) -> bytes:
        return msgpack.packb([self.id, *self.address, self.state])


def unpack_slot(data: bytes) -> Slot | None:
    """A seat as it travels; None for a free one, or for what is no seat."""
    if not data:
        return None
    try:
        id_, host, port, state = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    good = type(id_) is int and isinstance(host, str) and type(port) is int and state in (ACTIVE, LOST)
    return Slot(id_, (host, port), state) if good else None


@dataclass(frozen=True, slots=True)
class View:
    """Numbered seats. ``number`` 0: none was ever agreed on."""

    number: int = 0
    slots: dict[int, Slot] = field(default_factory=dict)

    def digest(self) -> bytes:
        text = b"".join(b"%d %b " % (n, self.slots[n].pack()) for n in sorted(self.slots))
        return blake2b(text, digest_size=8).digest()

    def slot_of(self, id_: int) -> int:
        """The seat of a process; -1: it has none."""
        return next((n for n, s in self.slots.items() if s.id == id_), -1)

    def has_active_slot(self, id_: int) -> bool:
        """Whether a process has a seat and is not lost."""
        n = self.slot_of(id_)
        return n >= 0 and self.slots[n].state == ACTIVE


def next_view_number(after: int, seed: int) -> int:
    """The number of a view that a seed makes after another."""
    return ((after >> SEED_BITS) + 1 << SEED_BITS) | seed


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A process asks for a seat; ``number`` -1: for any."""

    id: int
    address: Address
    slot: int = -1


def assign_slots(
    seats: dict[int, Slot], most: int, wishes: Iterable[SlotRequest], left: Iterable[int], silent: Iterable[int],
    freed: Iterable[int], changes: int,
) -> tuple[dict[int, Slot], dict[int, str]]:  # fmt: skip
    """The seats that follow, with at most so many ``changes``, and why a wish is refused, by process.

    ``left`` and ``silent`` are processes; ``freed`` are numbers whose LOST holders were silent for long enough."""
    new, refused, left = dict(seats), dict[int, str](), set(left)
    vacated = set[int]()  # by a successor that took another number: free from the next view on, not in this one

    def room() -> bool:
        # A change of a seat is one, however often it is written here.
        return sum(new.get(n) != seats.get(n) for n in new.keys() | seats.keys()) < changes

    for n, s in seats.items():
        if s.id in left and room():
            del new[n]
    for n in freed:
        if n in new and new[n].state == LOST and room():
            del new[n]
    silent = set(silent)
    for n, s in list(new.items()):
        if s.id in silent and s.state == ACTIVE and room():
            new[n] = replace(s, state=LOST)
    for w in wishes:
        if not room():
            break
        if w.id in left:
            continue
        same = [n for n, s in new.items() if s.id == w.id]
        before = next(iter([*same, *(n for n, s in new.items() if s.address == w.address)]), None)
        if before is not None and w.slot in (-1, before):
            n = before
        elif before is not None and new[before].id == w.id:
            refused[w.id] = f"it has number {before}"
            continue
        elif w.slot >= 0:
            n = w.slot
            if n >= most:
                refused[w.id] = f"numbers go up to {most - 1}"
                continue
            if n in vacated:
                continue
            if n in new:
                host, port = new[n].address
                refused[w.id] = f"number {n} is that of {host}:{port}, {STATE_NAMES[new[n].state]}"
                continue
        else:
            n = next((n for n in range(most) if n not in new and n not in vacated), -1)
            if n < 0 and vacated:
                continue
            if n < 0:
                refused[w.id] = f"all {most} numbers are taken"
                continue
        for other in [k for k, s in new.items() if k != n and (s.id == w.id or s.address == w.address)]:
            del new[other]
            vacated.add(other)
        new[n] = Slot(w.id, w.address)
    return new, refused
