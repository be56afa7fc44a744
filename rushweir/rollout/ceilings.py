"""What an ingress may spend while not all ingresses act on the same settings. Pure decisions; no I/O, no clock.

**Numbers of plans.** A message between ingresses names a plan by one byte. The number is a slot that the plan's
object has from its first version to its last. A free slot is given to another plan only when no ingress acts on a
version that had the former plan, and none remembers a customer of it. Slots that an ingress knows nothing of hold a
plan that grants nothing: the owner of a customer's token bucket whose plan it does not know yet refuses, and counts
nobody by another customer's plan.

**Ceilings.** The shares of all gateways and of the owner add up to the total as long as all divide it alike. They
still do, to no more than the larger of two settings, where a plan's figures change or a customer moves to another
plan: each share is a share of the one total or of the other. They do not where a customer's gateways change: the old
and the new gateways each have a total, and there are two owners. So between the two stands an interim state:

    state      while                              a gateway spends                               owner
    old        it has not received the change     its share among the old gateways               of the old
    interim    not all have received it           what it owns alone, the smaller of old and new nobody
    new        all act on it, as it knows         its share among the new gateways               of the new

Old and new never exist together, since ``new`` requires that nobody is ``old``; and what a gateway owns without
asking is part of either total: old and interim add up to the old total at most, interim and new to the new one. A
gateway of only one side has nothing in the interim. Of several changes in a row the smallest share of all that may be
in force counts.

**Skipped versions.** This holds because an ingress knows the customer's gateways at each version from the one that
all act on to its own. For then there is one assignment that all know: if some ingress acts on one alone, as old or
new, it is the latest of these, which all have received; if nobody does, it is that of the version that the one
furthest behind acts on. Each owns its share of this assignment's total at most. An ingress that goes from version 5
to 9 at once has to know the gateways of 6 to 8 for it: another may act on 7 alone as soon as it hears that all act on
7 or later. They are known from change sets that were received and superseded before they were applied
(reorder_buffer.py); after a delta over several versions they are not, and UNKNOWN_GATEWAYS stands for them. An
ingress that starts with nothing knows no version but its first: it knows the gateways of a customer that changed last
at or before the version that all act on, but not those of any other customer, or which customers came and went
meanwhile (UNKNOWN_CUSTOMERS).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from rushweir import interface

SLOT_COUNT = 256  # the values of one byte
LOCAL_SLOTS = 8  # the last slots: interim plans that one ingress makes for itself; blocked at all others
MAX_PLANS = SLOT_COUNT - LOCAL_SLOTS
# Customers with a ceiling whose gateways change, or who are deleted, in versions that not all ingresses act on.
MAX_INTERMEDIATE_CUSTOMERS = 16_384
# Lease durations of budgets: so long after all act on a version no share is left that an older one leased.
EXPIRY_LEASES = 4
CUSTOMER_MEMORY_MS = 90_000.0  # a customer is remembered while idle for 30 s, and a request for its deadline at most

BLOCKED = "\x00closed"  # no name that settings can have
GatewayRange = tuple[int, int]  # the first gateway, and how many from it on; (0, 0): all
# In place of gateways that are not known: a customer with it among its ranges has no share.
UNKNOWN_GATEWAYS: GatewayRange = (0, -1)
# In place of customers that are not known: one that is created meanwhile has UNKNOWN_GATEWAYS among its ranges too.
UNKNOWN_CUSTOMERS = ""


def blocked_plan(price: float = 1.0) -> interface.Plan:
    """A plan that grants nothing, not even a request of no units."""
    return interface.Plan(BLOCKED, rate=1e-9, burst=-1.0, ceiling_rate=1e-9, ceiling_burst=1e-9, price=price)


def plans_by_slot(
    plans: Iterable[tuple[int | None, interface.Plan]], local: Iterable[interface.Plan] = ()
) -> tuple[interface.Plan, ...]:
    """Return the plans at their slots, and blocked plans at all others. Without any slot they stay in the given
    order, which is valid only if all ingresses have the same. ``local``: the ingress's own, for the last slots."""
    given = list(plans)
    if given and all(slot is None for slot, _ in given):
        return (*(plan for _, plan in given), *local)
    # The mean price stays what it is: the capacity reserved for expensive requests depends on it.
    blocked = blocked_plan(sum(plan.price for _, plan in given) / max(1, len(given)))
    out = [blocked] * SLOT_COUNT
    for slot, plan in given:
        out[slot or 0] = plan
    for k, plan in enumerate(list(local)[:LOCAL_SLOTS]):
        out[MAX_PLANS + k] = plan
    return tuple(out)


class SlotError(ValueError):
    """No slot is free, or too many customers have intermediate versions."""


@dataclass(slots=True)
class PlanSlots:
    """The slots of plans, at the process that makes the change sets. ``dropped_at``: the version that dropped a
    slot's plan."""

    names: dict[int, str] = field(default_factory=dict)
    dropped_at: dict[int, int] = field(default_factory=dict)

    def allot(self, name: str, everywhere: int, since_ms: float) -> int:
        """Return the slot of a plan, its own or a free one. ``everywhere``: a version that all ingresses act on or
        are beyond, known for ``since_ms``. Raises SlotError."""
        for slot, plan_name in self.names.items():
            if plan_name == name:
                self.dropped_at.pop(slot, None)  # the plan returns: ingresses behind still know it by this slot
                return slot
        free = (k for k in range(MAX_PLANS) if k not in self.names)
        slot = next(free, None)
        if slot is None:
            is_forgotten = since_ms >= CUSTOMER_MEMORY_MS
            reusable = [k for k, version in self.dropped_at.items() if is_forgotten and version <= everywhere]
            if not reusable:
                raise SlotError(f"{MAX_PLANS} plans at once, with those dropped that some ingress may still act on")
            slot = min(reusable, key=lambda k: (self.dropped_at[k], k))
            del self.dropped_at[slot]
        self.names[slot] = name
        return slot

    def drop(self, name: str, version: int) -> None:
        """Note that a version dropped a plan."""
        for slot, plan_name in self.names.items():
            if plan_name == name:
                self.dropped_at[slot] = version


def gateway_group_size(gateways: GatewayRange, me: int, count: int) -> int:
    """How many gateways divide a total, if this ingress is one of them; otherwise 0. ``count``: of all ingresses."""
    first, spread = gateways
    spread = min(spread or count, count)
    return spread if (me - first) % count < spread else 0


def owned_share(ranges: Iterable[GatewayRange], me: int, count: int, owned: float) -> float:
    """What a gateway owns alone of a total, as a fraction: the smallest of several ways to divide it. ``owned``: the
    fraction of the total that all gateways together own without asking."""
    sizes = [gateway_group_size(gateways, me, count) for gateways in ranges]
    return owned / max(sizes) if all(sizes) else 0.0


@dataclass(frozen=True, slots=True)
class InterimPlan:
    """By which plan and gateways the policy counts the requests of a customer in the interim state."""

    plan: str
    first_gateway: int
    gateway_count: int = 1


@dataclass(frozen=True, slots=True)
class IntermediateVersions:
    """Customers whose gateways changed in a version that not all act on, each with the version that all have to act
    on and the gateway ranges that may still be in force. Immutable: it belongs to the settings of one version."""

    customers: Mapping[str, tuple[int, tuple[GatewayRange, ...]]] = field(default_factory=dict)
    minimum_version: int = 0  # all ingresses act on this version or a later one

    def with_changes(
        self,
        version: int,
        former: Mapping[str, GatewayRange],
        skipped: Mapping[str, tuple[GatewayRange, ...]] | None = None,
    ) -> IntermediateVersions:
        """Add a version that gives customers other gateways. ``former``: the ones that they had; ``skipped``: those
        that customers had in skipped versions. Raises SlotError."""
        if version <= self.minimum_version or not (former or skipped):
            return self
        known = dict(self.customers)
        for name, more in (*((n, (had,)) for n, had in former.items()), *(skipped or {}).items()):
            ranges = known[name][1] if name in known else ()
            known[name] = version, tuple(dict.fromkeys((*ranges, *more)))
        if len(known) > max(MAX_INTERMEDIATE_CUSTOMERS, len(self.customers)):  # a start may have brought more
            raise SlotError(
                f"more than {MAX_INTERMEDIATE_CUSTOMERS} partners whose gateways change, or that are deleted, before"
                " all ingresses know it"
            )
        return replace(self, customers=known)

    def with_minimum_version(self, version: int) -> IntermediateVersions:
        """The same after all ingresses act on this version or a later one."""
        if version <= self.minimum_version:
            return self
        return IntermediateVersions({n: x for n, x in self.customers.items() if x[0] > version}, version)

    @classmethod
    def for_new_ingress(cls, version: int, everywhere: int, versions: Mapping[str, int]) -> IntermediateVersions:
        """Those of an ingress that starts with nothing at a version. ``versions``: that changed its customers last.
        Customers that did not change after ``everywhere`` are known; the number of the others is not limited, since a
        start can't be refused for what it finds. ``everywhere`` is 0 where ceilings are leased: it may be true for
        less than EXPIRY_LEASES."""
        changed_at = {UNKNOWN_CUSTOMERS: version, **versions}
        entries = {v: (v, (UNKNOWN_GATEWAYS,)) for v in set(changed_at.values()) if v > everywhere}
        return cls({name: entries[v] for name, v in changed_at.items() if v in entries}, everywhere)

    def dump(self) -> list:
        """Rows to store with the settings: after a restart a process knows no older ones."""
        return [
            self.minimum_version,
            [[n, v, [list(gateways) for gateways in ranges]] for n, (v, ranges) in self.customers.items()],
        ]

    @classmethod
    def load(cls, rows: list) -> IntermediateVersions:
        """The inverse of ``dump``. Raises ValueError, TypeError."""
        minimum_version, customer_rows = rows
        customers = {
            str(n): (int(v), tuple((int(first), int(spread)) for first, spread in ranges))
            for n, v, ranges in customer_rows
        }
        return cls(customers, int(minimum_version))


def interim_plans(
    between: IntermediateVersions, now: Mapping[str, tuple[str, GatewayRange]], plans: Mapping[str, interface.Plan],
    me: int, count: int, owned: float, leased: bool = False,
) -> tuple[dict[str, InterimPlan], list[interface.Plan]]:  # fmt: skip
    """How the policy counts requests of customers in the interim state, and the plans made for it. ``now``: plan and
    gateways of customers in the acting version. Customers whose plan has no ceiling are counted as usual. ``leased``:
    ceilings are budgets, of which only whole units are owned."""
    by_customer: dict[str, InterimPlan] = {}
    made: dict[str, interface.Plan] = {}
    for name, (_, before) in between.customers.items():
        if name not in now or (plan := plans.get(now[name][0])) is None or not plan.ceiling_rate:
            continue
        share = owned_share((*before, now[name][1]), me, count, owned)
        burst = plan.ceiling_burst * share
        if leased:
            burst = float(int(burst + 1e-9))
            share = share if burst else 0.0
        interim_name = f"{BLOCKED} {share:.12g} {plan.name}" if share else BLOCKED
        if interim_name not in made and interim_name != BLOCKED:
            # One local slot is left for customers without a share. Plans beyond the slots are blocked too.
            if len(made) == LOCAL_SLOTS - 1:
                interim_name = BLOCKED
            else:
                made[interim_name] = replace(
                    plan, name=interim_name, rate=plan.rate * share, burst=plan.burst * share,
                    ceiling_rate=plan.ceiling_rate * share, ceiling_burst=burst,
                    ceiling_slack=plan.ceiling_slack * share,
                    max_in_flight=max(1, int(plan.max_in_flight * share)) if plan.max_in_flight else 0,
                )  # fmt: skip
        by_customer[name] = InterimPlan(interim_name, me)
    if any(interim.plan == BLOCKED for interim in by_customer.values()):
        made[BLOCKED] = blocked_plan()  # by its name, also where plans have no slots
    return by_customer, list(made.values())
