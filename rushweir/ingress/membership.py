"""The member of a fleet inside an ingress: its orders become the core's, its number is the ingress's. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from rushweir.fleet import orders as o
from rushweir.fleet.core import Fleet
from rushweir.fleet.frame import VERSION
from rushweir.fleet.status import status
from rushweir.ingress import commands as c

if TYPE_CHECKING:
    from rushweir.ingress.core import Core

FILE = "fleet"  # in the state folder: what a seed voted for
LOAD, LOAD_BYTES = 16, 48  # an entry of each ingress: what it answered and refused, what is open
LOOK_MS = 500.0  # how often the number is looked at
TELL_MS, TOLD_PER_S = 2_000.0, 30.0  # own figures are told so often, in a large fleet as often as all can take
BOUNDS = {LOAD: LOAD_BYTES}


class Membership:
    """One ingress in its fleet. The core passes time and datagrams on, and takes its orders."""

    def __init__(self, fleet: Fleet, number: int, given: bool) -> None:
        """``number`` is what the ingress works under; ``given``: by the fleet, not by the settings."""
        self.fleet, self.number, self.given = fleet, number, given
        self.ended = False
        self.told_at = 0.0

    def start(self, core: Core) -> None:
        """The fleet itself runs by now, or is started here."""
        if self.fleet.next_at() is None:
            self.fleet.start(core.now)
        core.engine.at(core.now, self._look, core)
        self._peers(core)

    def mine(self, data: bytes) -> bool:
        """Whether a datagram is for the fleet, not for the quotas."""
        return data[:1] == bytes([VERSION])

    def carry(self, core: Core) -> None:
        """What the fleet wants done."""
        orders = self.fleet.orders
        while orders:
            order = orders.popleft()
            match order:
                case o.SendTo():
                    core.orders.append(c.SendTo(order.address, order.data))
                case o.KeepFile():
                    core.orders.append(c.SaveFile(FILE, order.serial, order.data))
                case o.Note():
                    core.remark(c.Remark(order.level, order.cause, order.fields))
                case o.SeatChanged():
                    core.remark(c.Remark("info", "number", {"number": order.number}))
                case o.ViewChanged():
                    self._peers(core)
                    core.remark(c.Remark("info", "view", {"view": self.fleet.view.number}))

    def _peers(self, core: Core) -> None:
        seats = self.fleet.view.seats
        core.orders.append(c.Peers({n: s.address for n, s in seats.items() if n != self.number}))

    def _look(self, core: Core) -> None:
        """Whether the number is still this process's own; and what it did, for the others."""
        self.fleet.now = core.now
        if not self.fleet.leaving and self.given and self.fleet.seat() != self.number and not self.ended:
            # It may be another's by now: two that work under one number would each spend its parts.
            self.ended = True
            core.remark(c.Remark("error", "number_lost", {"number": self.number}))
            core.orders.append(c.EndProcess(f"number {self.number} is not surely its own any more"))
        pace = max(TELL_MS, self.fleet.members.count() / TOLD_PER_S * 1000)
        if core.now - self.told_at >= pace and not self.fleet.leaving:
            self.told_at = core.now
            n, owed = core.engine.counts, core.engine.ledger.owed
            figures = [n["served"], n["refused"], n["failed"], owed, core.overload.level]
            self.fleet.publish(LOAD, msgpack.packb(figures))
        core.engine.at(core.now + LOOK_MS, self._look, core)

    def leave(self, now: float) -> None:
        self.fleet.leave(now)

    def hand_over(self, now: float) -> None:
        """A successor at the same address goes on from here: not a word more."""
        self.fleet.hush(now)

    def left(self) -> bool:
        return self.fleet.left

    def seen(self) -> dict[str, Any]:
        """For operators."""
        found = status(self.fleet)
        loads = {f"{origin:016x}": data for origin, (_, data) in self.fleet.table.of(LOAD).items()}
        for m in found["members"]:
            figures = _figures(loads.get(m["id"]))
            m.update(figures)
        return found


def _figures(data: bytes | None) -> dict[str, int | None]:
    names = ("served", "refused", "failed", "open", "overload")
    try:
        values = msgpack.unpackb(data) if data is not None else [None] * len(names)
    except (ValueError, msgpack.UnpackException):
        values = [None] * len(names)
    return dict(zip(names, values, strict=False))
