"""Membership views: which process has which slot, as agreed by the fleet. Plain records and pure functions.

A view has a number, which two views never share: its last bits are the index of the seed that made it. Slots are
assigned by ``assign_slots`` only:

- a member that leaves gives its slot back at once;
- a member that fell silent keeps its slot, marked LOST, until it was silent for all of ``keep_ms``: it may be cut off
  and still serve from what its slot owns;
- a process at the same address takes over its predecessor's slot, since an address has one process at a time.
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
MAX_HOST_CHARS = 45  # the longest IPv6 form as text
SLOT_BYTES = 70


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot and the process that has it."""

    id: int
    address: Address
    state: int = ACTIVE

    def pack(self) -> bytes:
        """Returns the slot as it is sent and stored; ``unpack_slot`` reads it."""
        return msgpack.packb([self.id, *self.address, self.state])


def unpack_slot(data: bytes) -> Slot | None:
    """Returns the slot in ``data``; None if it is free or malformed."""
    if not data:
        return None
    try:
        id_, host, port, state = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    is_valid = type(id_) is int and isinstance(host, str) and type(port) is int and state in (ACTIVE, LOST)
    return Slot(id_, (host, port), state) if is_valid else None


@dataclass(frozen=True, slots=True)
class View:
    """Slots by their number. ``number`` 0: no view was ever agreed on."""

    number: int = 0
    slots: dict[int, Slot] = field(default_factory=dict)

    def digest(self) -> bytes:
        """Returns a hash of all slots, by which members recognize that they have the whole view."""
        text = b"".join(b"%d %b " % (n, self.slots[n].pack()) for n in sorted(self.slots))
        return blake2b(text, digest_size=8).digest()

    def slot_of(self, id_: int) -> int:
        """Returns the slot of a process; -1: it has none."""
        return next((n for n, s in self.slots.items() if s.id == id_), -1)

    def has_active_slot(self, id_: int) -> bool:
        """Whether a process has a slot and is not LOST."""
        n = self.slot_of(id_)
        return n >= 0 and self.slots[n].state == ACTIVE


def next_view_number(after: int, seed_index: int) -> int:
    """Returns the number of a view that the seed with this index makes after view ``after``."""
    return ((after >> SEED_BITS) + 1 << SEED_BITS) | seed_index


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A process asks for a slot; ``slot`` -1: for any."""

    id: int
    address: Address
    slot: int = -1


def assign_slots(
    slots: dict[int, Slot], slot_count: int, requests: Iterable[SlotRequest], left: Iterable[int],
    silent: Iterable[int], freed: Iterable[int], max_changes: int,
) -> tuple[dict[int, Slot], dict[int, str]]:  # fmt: skip
    """Returns the next slots, with at most ``max_changes`` changes, and the refusals of requests, by process.

    ``left`` and ``silent`` are processes; ``freed`` are slots whose LOST members were silent for long enough."""
    new, refused, left = dict(slots), dict[int, str](), set(left)
    vacated = set[int]()  # by a successor that took another slot: free from the next view on, not in this one

    def has_room() -> bool:
        # A slot that is written several times counts as one change.
        return sum(new.get(n) != slots.get(n) for n in new.keys() | slots.keys()) < max_changes

    for n, s in slots.items():
        if s.id in left and has_room():
            del new[n]
    for n in freed:
        if n in new and new[n].state == LOST and has_room():
            del new[n]
    silent = set(silent)
    for n, s in list(new.items()):
        if s.id in silent and s.state == ACTIVE and has_room():
            new[n] = replace(s, state=LOST)
    for request in requests:
        if not has_room():
            break
        if request.id in left:
            continue
        own_slots = [n for n, s in new.items() if s.id == request.id]
        before = next(iter([*own_slots, *(n for n, s in new.items() if s.address == request.address)]), None)
        if before is not None and request.slot in (-1, before):
            n = before
        elif before is not None and new[before].id == request.id:
            refused[request.id] = f"it has slot {before}"
            continue
        elif request.slot >= 0:
            n = request.slot
            if n >= slot_count:
                refused[request.id] = f"slots go up to {slot_count - 1}"
                continue
            if n in vacated:
                continue
            if n in new:
                host, port = new[n].address
                refused[request.id] = f"slot {n} is that of {host}:{port}, {STATE_NAMES[new[n].state]}"
                continue
        else:
            n = next((n for n in range(slot_count) if n not in new and n not in vacated), -1)
            if n < 0 and vacated:
                continue
            if n < 0:
                refused[request.id] = f"all {slot_count} slots are taken"
                continue
        for other in [k for k, s in new.items() if k != n and (s.id == request.id or s.address == request.address)]:
            del new[other]
            vacated.add(other)
        new[n] = Slot(request.id, request.address)
    return new, refused
