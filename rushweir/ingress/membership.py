"""The member of a fleet inside an ingress: its orders become the core's, its number is the ingress's. No I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any
from zlib import crc32

import msgpack

from rushweir import interface as i
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import UNIT, BudgetTotal
from rushweir.budgets.status import rows
from rushweir.fleet import commands as fleet_commands
from rushweir.fleet.core import Fleet
from rushweir.fleet.frame import VERSION
from rushweir.fleet.status import status
from rushweir.fleet.views import ACTIVE
from rushweir.ingress import commands as c
from rushweir.rollout.ceilings import BLOCKED

if TYPE_CHECKING:
    from rushweir.ingress.core import Core
    from rushweir.ingress.queries import Partner

FILE = "fleet"  # in the state folder: what a seed voted for
LOAD, LOAD_BYTES = 16, 48  # an entry of each ingress: what it answered and refused, what is open
LOOK_MS = 500.0  # how often the number is looked at
TELL_MS, TOLD_PER_S = 2_000.0, 30.0  # own figures are told so often, in a large fleet as often as all can take
MOST_ROWS = 50  # of budgets, in what operators see
BOUNDS = {LOAD: LOAD_BYTES}


class Membership:
    """One ingress in its fleet. The core passes time and datagrams on, and takes its orders."""

    def __init__(
        self, fleet: Fleet, number: int, given: bool, term_ms: float, floor: float, told: bool = False
    ) -> None:
        """``number`` is what the ingress works under; ``given``: by the fleet, not by the settings. ``term_ms`` and
        ``floor`` are those of the ceilings that it shares; ``told``: each change of a part goes to the log."""
        self.fleet, self.number, self.given, self.floor, self.told = fleet, number, given, floor, told
        self.budgets = Budgets(fleet, term_ms)
        self.ceilings: dict[str, i.Plan] = {}  # by plan
        self.ended = False
        self.told_at = 0.0

    def start(self, core: Core) -> None:
        """The fleet itself runs by now, or is started here."""
        if self.fleet.next_at() is None:
            self.fleet.start(core.now)
        core.engine.call_at(core.now, self._look, core)
        self.budgets.start(core.now)
        self.budgets.bucket_state = lambda name: _bucket(core, name)
        self._settings(core.setup.settings)
        self._peers(core)
        if self.fleet.view.number:
            self._present(core)

    def mine(self, data: bytes) -> bool:
        """Whether a datagram is for the fleet, not for the quotas."""
        return data[:1] == bytes([VERSION])

    def carry(self, core: Core) -> None:
        """What the fleet wants done."""
        orders = self.fleet.commands
        while orders:
            order = orders.popleft()
            match order:
                case fleet_commands.SendTo():
                    core.commands.append(c.SendDatagram(order.address, order.data))
                case fleet_commands.SaveFile():
                    core.commands.append(c.SaveFile(FILE, order.serial, order.data))
                case fleet_commands.LogEvent():
                    core.log_event(c.LogEvent(order.level, order.cause, order.fields))
                case fleet_commands.SlotChanged():
                    core.log_event(c.LogEvent("info", "number", {"number": order.slot}))
                case fleet_commands.ViewChanged():
                    self._peers(core)
                    self._present(core)
                    core.log_event(c.LogEvent("info", "view", {"view": self.fleet.view.number}))

    # --- budgets ---------------------------------------------------------------------------------

    def turn(self, core: Core) -> None:
        """First in each turn: what is over is over before anything is decided by it."""
        self.fleet.now = core.now
        if core.now >= self.budgets.next_expiry_at:
            self.budgets.expire_leases(core.now)
        self._parts(core)

    def asked(self, core: Core, partner: Partner, units: float) -> None:
        """A request came, before it is decided on."""
        plan = self.ceilings.get(partner.plan)
        if plan is not None:
            count = 0 if partner.gateway_count >= self.fleet.settings.slot_count else partner.gateway_count
            # What is between two settings is owned whole: nothing of it is lent, or kept by a home.
            floor = 1.0 if plan.name.startswith(BLOCKED) else self.floor
            whole = BudgetTotal.from_units(
                plan.ceiling_rate, plan.ceiling_burst, floor, partner.first_gateway if count else 0, count
            )
            self.budgets.record_demand(core.now, partner.name, whole, int(units * UNIT))
            self._parts(core)

    def _parts(self, core: Core) -> None:
        """Tell the policy what changed."""
        if self.budgets.changes:
            changes, self.budgets.changes = self.budgets.changes, []
            for x in changes:
                whose = x.retained_key or x.name
                part = i.Part(
                    whose, x.share.rate / UNIT, x.share.burst / UNIT, x.added_tokens / UNIT, bool(x.retained_key)
                )
                core.engine.update_share(core.now, part)
                if self.told:
                    fields = {
                        "process": f"{self.fleet.me:016x}", "place": "{}:{}".format(*self.fleet.settings.address),
                        "partner": x.name, "kept": x.retained_key, "rate": x.share.rate, "burst": x.share.burst,
                        "lent_ms": 0.0 if x.retained_key else round(x.lease_ms, 1),
                        "owned_rate": x.minimum_share.rate, "owned_burst": x.minimum_share.burst,
                    }  # fmt: skip
                    core.commands.append(c.LogEvent("info", "part", fields))

    def _settings(self, settings: i.Settings) -> None:
        self.ceilings = {p.name: p for p in settings.plans if p.ceiling_rate}

    def among(self, settings: i.Settings) -> i.Settings:
        """Settings as they hold among the members that there are: of numbers that nobody has none is a keeper."""
        self._settings(settings)
        seats = self.fleet.view.slots
        return replace(settings, present_gateways=tuple(sorted(n for n, s in seats.items() if s.state == ACTIVE)))

    def _present(self, core: Core) -> None:
        core.engine.apply_settings(core.now, self.among(core.setup.settings), core.engine.margin_ms)

    def _peers(self, core: Core) -> None:
        seats = self.fleet.view.slots
        core.commands.append(c.SetPeerAddresses({n: s.address for n, s in seats.items() if n != self.number}))

    def _look(self, core: Core) -> None:
        """Whether the number is still this process's own; and what it did, for the others."""
        self.fleet.now = core.now
        if not self.fleet.leaving and self.given and self.fleet.slot() != self.number and not self.ended:
            # It may be another's by now: two that work under one number would each spend its parts.
            self.ended = True
            core.log_event(c.LogEvent("error", "number_lost", {"number": self.number}))
            core.commands.append(c.EndProcess(f"number {self.number} is not surely its own any more"))
        pace = max(TELL_MS, self.fleet.members.count() / TOLD_PER_S * 1000)
        if core.now - self.told_at >= pace and not self.fleet.leaving:
            self.told_at = core.now
            n, owed = core.engine.counts, core.engine.ledger.unanswered
            figures = [n["served"], n["refused"], n["failed"], owed, core.load_shedder.level]
            self.fleet.publish(LOAD, msgpack.packb(figures))
        core.engine.call_at(core.now + LOOK_MS, self._look, core)

    def leave(self, core: Core, now: float) -> None:
        self.fleet.now = now
        self.budgets.stop(now)
        self.fleet.leave(now)
        self.carry(core)

    def hand_over(self, core: Core) -> None:
        """A successor at the same address goes on from here: not a word more, and nothing more of any ceiling."""
        self.budgets.stop(core.now)
        self._parts(core)
        self.carry(core)
        self.fleet.stop_sending(core.now)

    def left(self) -> bool:
        return self.fleet.left

    def seen(self) -> dict[str, Any]:
        """For operators."""
        found = status(self.fleet)
        loads = {f"{origin:016x}": data for origin, (_, data) in self.fleet.table.entries_of(LOAD).items()}
        for m in found["members"]:
            figures = _figures(loads.get(m["id"]))
            m.update(figures)
        return found | {"budgets": sorted(rows(self.budgets, self.fleet.now), key=lambda r: -r["demand"])[:MOST_ROWS]}


def _figures(data: bytes | None) -> dict[str, int | None]:
    names = ("served", "refused", "failed", "open", "overload")
    try:
        values = msgpack.unpackb(data) if data is not None else [None] * len(names)
    except (ValueError, msgpack.UnpackException):
        values = [None] * len(names)
    return dict(zip(names, values, strict=False))


def _bucket(core: Core, name: str) -> tuple[int, int]:
    """Of the module's bucket of a partner's ceiling: what it had no room for in all, and what it has room for."""
    quota, key = getattr(core.engine.policy, "quota", None), crc32(name.encode())
    if quota is None or (lent := quota.leased_shares.get(key)) is None:
        return 0, 0
    c = quota.customers.get(key)
    level = 0.0 if c is None else c.ceiling_tokens + lent.rate * (core.now - c.ceiling_refilled_at) / 1000
    return int(lent.overflowed_tokens * UNIT), int(max(0.0, lent.burst - level) * UNIT)
