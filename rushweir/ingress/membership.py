"""The fleet member inside an ingress: its commands become the core's, its slot is the ingress's number. No I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any
from zlib import crc32

import msgpack

from rushweir import interface
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import UNIT, BudgetTotal
from rushweir.budgets.status import rows
from rushweir.fleet import commands as fleet_commands
from rushweir.fleet.core import Fleet
from rushweir.fleet.frame import VERSION
from rushweir.fleet.status import status as fleet_status
from rushweir.fleet.views import ACTIVE
from rushweir.ingress import commands
from rushweir.rollout.ceilings import BLOCKED

if TYPE_CHECKING:
    from rushweir.ingress.core import Core
    from rushweir.ingress.queries import Partner

FILE = "fleet"  # in the state folder: the views that a seed accepted
LOAD, LOAD_BYTES = 16, 48  # kind and size of the table entry with the load of each ingress
CHECK_INTERVAL_MS = 500.0  # between checks of the own slot
# The own load is reported at this interval, and less often in a large fleet: each member receives all reports.
MIN_PUBLISH_INTERVAL_MS, MAX_REPORTS_PER_S = 2_000.0, 30.0
MAX_BUDGET_ROWS = 50  # in the status for operators
ENTRY_SIZE_LIMITS = {LOAD: LOAD_BYTES}


class Membership:
    """One ingress in its fleet. The core passes it time and datagrams, and carries out its commands."""

    def __init__(
        self,
        fleet: Fleet,
        slot: int,
        assigned: bool,
        lease_ms: float,
        minimum_share: float,
        log_shares: bool = False,
    ) -> None:
        """``slot``: that of the ingress; ``assigned``: whether the fleet gave it, rather than the settings;
        ``lease_ms`` and ``minimum_share``: those of shared ceilings; ``log_shares``: log each change of a share."""
        self.fleet = fleet
        self.slot = slot
        self.assigned = assigned
        self.minimum_share = minimum_share
        self.log_shares = log_shares
        self.budgets = Budgets(fleet, lease_ms)
        self.ceilings: dict[str, interface.Plan] = {}  # plans with a ceiling, by name
        self.ended = False
        self.published_at = 0.0

    def start(self, core: Core) -> None:
        """Start the fleet, unless it already runs, and the budgets."""
        if self.fleet.next_at() is None:
            self.fleet.start(core.now)
        core.engine.call_at(core.now, self._check_slot, core)
        self.budgets.start(core.now)
        self.budgets.bucket_state = lambda name: _bucket_state(core, name)
        self._set_ceilings(core.setup.settings)
        self._update_peer_addresses(core)
        if self.fleet.view.number:
            self._apply_settings(core)

    def owns_datagram(self, data: bytes) -> bool:
        """Whether a datagram is one of the fleet, not a message of the quotas."""
        return data[:1] == bytes([VERSION])

    def execute_commands(self, core: Core) -> None:
        """Turn the fleet's commands into the core's."""
        pending = self.fleet.commands
        while pending:
            command = pending.popleft()
            match command:
                case fleet_commands.SendTo():
                    core.commands.append(commands.SendDatagram(command.address, command.data))
                case fleet_commands.SaveFile():
                    core.commands.append(commands.SaveFile(FILE, command.serial, command.data))
                case fleet_commands.LogEvent():
                    core.log_event(commands.LogEvent(command.level, command.cause, command.fields))
                case fleet_commands.SlotChanged():
                    core.log_event(commands.LogEvent("info", "number", {"number": command.slot}))
                case fleet_commands.ViewChanged():
                    self._update_peer_addresses(core)
                    self._apply_settings(core)
                    core.log_event(commands.LogEvent("info", "view", {"view": self.fleet.view.number}))

    # --- budgets ---------------------------------------------------------------------------------

    def update(self, core: Core) -> None:
        """Expire leases and report changed shares; called before anything else at each time."""
        self.fleet.now = core.now
        if core.now >= self.budgets.next_expiry_at:
            self.budgets.expire_leases(core.now)
        self._report_shares(core)

    def record_demand(self, core: Core, partner: Partner, units: float) -> None:
        """Record the demand of a request, before it is decided on."""
        plan = self.ceilings.get(partner.plan)
        if plan is not None:
            # 0: all slots
            count = 0 if partner.gateway_count >= self.fleet.settings.slot_count else partner.gateway_count
            # While settings change, such a plan's ceiling is not leased: each gateway owns its share.
            minimum_share = 1.0 if plan.name.startswith(BLOCKED) else self.minimum_share
            total = BudgetTotal.from_units(
                plan.ceiling_rate, plan.ceiling_burst, minimum_share, partner.first_gateway if count else 0, count
            )
            self.budgets.record_demand(core.now, partner.name, total, int(units * UNIT))
            self._report_shares(core)

    def _report_shares(self, core: Core) -> None:
        """Report changed shares to the policy, and to the log if it wants them."""
        if self.budgets.changes:
            changes, self.budgets.changes = self.budgets.changes, []
            for change in changes:
                customer = change.retained_key or change.name
                share = interface.Part(
                    customer,
                    change.share.rate / UNIT,
                    change.share.burst / UNIT,
                    change.added_tokens / UNIT,
                    bool(change.retained_key),
                )
                core.engine.update_share(core.now, share)
                if self.log_shares:
                    fields = {
                        "process": f"{self.fleet.me:016x}", "place": "{}:{}".format(*self.fleet.settings.address),
                        "partner": change.name, "kept": change.retained_key, "rate": change.share.rate,
                        "burst": change.share.burst,
                        "lent_ms": 0.0 if change.retained_key else round(change.lease_ms, 1),
                        "owned_rate": change.minimum_share.rate, "owned_burst": change.minimum_share.burst,
                    }  # fmt: skip
                    core.commands.append(commands.LogEvent("info", "part", fields))

    def _set_ceilings(self, settings: interface.Settings) -> None:
        self.ceilings = {p.name: p for p in settings.plans if p.ceiling_rate}

    def with_present_gateways(self, settings: interface.Settings) -> interface.Settings:
        """Settings with the gateways that are present: a slot without a member owns no token buckets."""
        self._set_ceilings(settings)
        slots = self.fleet.view.slots
        return replace(settings, present_gateways=tuple(sorted(n for n, s in slots.items() if s.state == ACTIVE)))

    def _apply_settings(self, core: Core) -> None:
        core.engine.apply_settings(core.now, self.with_present_gateways(core.setup.settings), core.engine.margin_ms)

    def _update_peer_addresses(self, core: Core) -> None:
        slots = self.fleet.view.slots
        core.commands.append(commands.SetPeerAddresses({n: s.address for n, s in slots.items() if n != self.slot}))

    def _check_slot(self, core: Core) -> None:
        """End the process if it has lost its slot, and publish its load."""
        self.fleet.now = core.now
        if not self.fleet.leaving and self.assigned and self.fleet.slot() != self.slot and not self.ended:
            # Another process may have the slot by now, and both would spend its shares.
            self.ended = True
            core.log_event(commands.LogEvent("error", "number_lost", {"number": self.slot}))
            core.commands.append(
                commands.EndProcess(f"slot {self.slot} may belong to another process now; restart to join again")
            )
        interval_ms = max(MIN_PUBLISH_INTERVAL_MS, self.fleet.members.count() / MAX_REPORTS_PER_S * 1000)
        if core.now - self.published_at >= interval_ms and not self.fleet.leaving:
            self.published_at = core.now
            counts = core.engine.counts
            unanswered = core.engine.ledger.unanswered
            load = [counts["served"], counts["refused"], counts["failed"], unanswered, core.load_shedder.level]
            self.fleet.publish(LOAD, msgpack.packb(load))
        core.engine.call_at(core.now + CHECK_INTERVAL_MS, self._check_slot, core)

    def leave(self, core: Core, now: float) -> None:
        """Leave the fleet and give the slot back; ``has_left`` tells when that is done."""
        self.fleet.now = now
        self.budgets.stop(now)
        self.fleet.leave(now)
        self.execute_commands(core)

    def hand_off(self, core: Core) -> None:
        """Stop sending and spend no more shares: a successor at the same address goes on as this member."""
        self.budgets.stop(core.now)
        self._report_shares(core)
        self.execute_commands(core)
        self.fleet.stop_sending(core.now)

    def has_left(self) -> bool:
        """Whether leaving is completed, or was given up."""
        return self.fleet.left

    def status(self) -> dict[str, Any]:
        """The fleet and the budgets as operators see them."""
        found = fleet_status(self.fleet)
        loads = {f"{origin:016x}": data for origin, (_, data) in self.fleet.table.entries_of(LOAD).items()}
        for member in found["members"]:
            member.update(_load_row(loads.get(member["id"])))
        return found | {
            "budgets": sorted(rows(self.budgets, self.fleet.now), key=lambda r: -r["demand"])[:MAX_BUDGET_ROWS]
        }


def _load_row(data: bytes | None) -> dict[str, int | None]:
    """The load in a table entry; None in each field if it can't be read."""
    names = ("served", "refused", "failed", "open", "overload")
    try:
        values = msgpack.unpackb(data) if data is not None else [None] * len(names)
    except (ValueError, msgpack.UnpackException):
        values = [None] * len(names)
    return dict(zip(names, values, strict=False))


def _bucket_state(core: Core, name: str) -> tuple[int, int]:
    """Returns (tokens overflowed in all, free capacity) of the customer's ceiling bucket, in 1/UNIT."""
    quota, key = getattr(core.engine.policy, "quota", None), crc32(name.encode())
    if quota is None or (share := quota.leased_shares.get(key)) is None:
        return 0, 0
    customer = quota.customers.get(key)
    tokens = (
        0.0
        if customer is None
        else customer.ceiling_tokens + share.rate * (core.now - customer.ceiling_refilled_at) / 1000
    )
    return int(share.overflowed_tokens * UNIT), int(max(0.0, share.burst - tokens) * UNIT)
