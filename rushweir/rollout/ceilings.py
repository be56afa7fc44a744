"""What an ingress may spend while not all act on the same settings. Pure decisions; no I/O, no clock.

**Numbers of plans.** A word between ingresses names a plan by one byte. The number is a slot that the plan's object
has from its first version to its last. A slot that is free again is given to another plan only when no ingress acts
on a version that had the old one, and none remembers a customer of it. Slots that an ingress knows nothing of hold a
plan that grants nothing: who keeps the quota of a plan that it does not know yet refuses, and counts nobody by
another's.

**Ceilings.** Parts of all doors and of the keeper add up to a whole as long as all divide alike. They still do, to no
more than the larger of two settings, where a plan's figures change or a customer moves to another plan: each part is
its share of the one or the other. They do not where a customer's doors change: old and new doors each have a whole,
and two keepers too. So between the two stands a third way to act:

    acts on    while                        a door spends                                       keeper
    old        it has not got the step      its part among the old doors                        of the old
    between    not all have got it          what it owns alone, the smaller of old and new      nobody
    new        all act on it, as it knows   its part among the new doors                        of the new

Old and new are never there together, since ``new`` needs that nobody is ``old``; and what is owned without asking is
part of either's whole: old and between add up to the old at most, between and new to the new. A door of only one side
has nothing in between. Of several changes in a row the smallest of all that may be in force counts.

**Skipped versions.** What makes this hold is that an ingress knows the customer's doors at each version from the
one that all act on to its own. For then there is a way that all know: if some act on one alone, as old or new, the
latest of these, which all have reached; if nobody does, that of the version that the one furthest behind acts on. All
own their part of this way's whole at most. Who goes from 5 to 9 at once has to know the doors of 6 to 8 for it:
another may act on 7 alone as soon as it hears that all act on 7 or later. They are known of steps that came and were
overtaken before they were applied (reorder_buffer.py); of what came as a difference they are not, and
UNKNOWN_GATEWAYS stands for them. Who starts with nothing knows no version but its first: of a customer that changed
last at or before the one that all act on it knows the doors all the same; of any other, and of who may have come and
gone meanwhile (UNKNOWN_CUSTOMERS), it does not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from rushweir import interface as i

SLOTS = 256  # what one byte names
LOCAL = 8  # the last of them: plans that one ingress made up for what is in between; to all others they are closed
MAX_PLANS = SLOTS - LOCAL
MAX_INTERMEDIATE_CUSTOMERS = (
    16_384  # customers with a ceiling whose doors change, or who go, before all ingresses know it
)
EXPIRY_LEASES = 4  # of budgets: so long after all act on a version nothing lent by an older one is left
REMEMBERED_MS = 90_000.0  # a customer is remembered while idle for 30 s, and each request for its deadline at most

BLOCKED = "\x00closed"  # no name that settings can have
GatewayRange = tuple[int, int]  # the first, and how many from it on; (0, 0): all
UNKNOWN_GATEWAYS: GatewayRange = (
    0,
    -1,
)  # in place of doors that are not known: whoever has it among its ways owns nothing
# in place of customers that are not known: whoever comes while it is in between counts as UNKNOWN_GATEWAYS's too
UNKNOWN_CUSTOMERS = ""


def blocked_plan(price: float = 1.0) -> i.Plan:
    """Grants nothing, not a request of no units either."""
    return i.Plan(BLOCKED, rate=1e-9, burst=-1.0, ceiling_rate=1e-9, ceiling_burst=1e-9, price=price)


def plans_by_slot(plans: Iterable[tuple[int | None, i.Plan]], local: Iterable[i.Plan] = ()) -> tuple[i.Plan, ...]:
    """Plans at their slots, closed ones at all others; as they come where none has a slot, which is good only as long
    as all ingresses have them in the same order. ``local``: made up here, in the last slots."""
    given = list(plans)
    if given and all(slot is None for slot, _ in given):
        return (*(p for _, p in given), *local)
    # The mean price stays what it is: the room for dear work hangs on it.
    rest = blocked_plan(sum(p.price for _, p in given) / max(1, len(given)))
    out = [rest] * SLOTS
    for slot, plan in given:
        out[slot or 0] = plan
    for k, plan in enumerate(list(local)[:LOCAL]):
        out[MAX_PLANS + k] = plan
    return tuple(out)


class SlotError(ValueError):
    """No slot is free."""


@dataclass(slots=True)
class PlanSlots:
    """Which plan has which slot, at whoever makes the steps; ``gone``: the version that dropped a slot's plan."""

    names: dict[int, str] = field(default_factory=dict)
    gone: dict[int, int] = field(default_factory=dict)

    def allot(self, name: str, everywhere: int, since_ms: float) -> int:
        """The slot of a plan, the one that it has or a free one. ``everywhere``: a version that all ingresses act on
        or later, and for how long that is known. Raises SlotError."""
        for slot, held in self.names.items():
            if held == name:
                self.gone.pop(slot, None)  # it comes back: who is behind knows it by this slot
                return slot
        free = (k for k in range(MAX_PLANS) if k not in self.names)
        slot = next(free, None)
        if slot is None:
            settled = since_ms >= REMEMBERED_MS
            over = [k for k, version in self.gone.items() if settled and version <= everywhere]
            if not over:
                raise SlotError(f"{MAX_PLANS} plans at once, with those dropped that some ingress may still act on")
            slot = min(over, key=lambda k: (self.gone[k], k))
            del self.gone[slot]
        self.names[slot] = name
        return slot

    def drop(self, name: str, version: int) -> None:
        """A version has the plan no more."""
        for slot, held in self.names.items():
            if held == name:
                self.gone[slot] = version


def gateway_group_size(doors: GatewayRange, me: int, count: int) -> int:
    """How many doors there are of which this ingress is one; 0: it is none of them."""
    first, spread = doors
    spread = min(spread or count, count)
    return spread if (me - first) % count < spread else 0


def owned_share(ways: Iterable[GatewayRange], me: int, count: int, owned: float) -> float:
    """What a door owns alone of a whole, the smallest of several ways to divide it. ``owned``: the part of the whole
    that all doors together own without asking anybody."""
    sizes = [gateway_group_size(way, me, count) for way in ways]
    return owned / max(sizes) if all(sizes) else 0.0


@dataclass(frozen=True, slots=True)
class InterimPlan:
    """How requests of a customer are told to the policy in between."""

    plan: str
    first_gateway: int
    gateway_count: int = 1


@dataclass(frozen=True, slots=True)
class IntermediateVersions:
    """Customers whose doors changed in a version that not all act on: the ways that may still be in force, and the
    version that all have to act on. Immutable: it goes with the settings that it is of."""

    customers: Mapping[str, tuple[int, tuple[GatewayRange, ...]]] = field(default_factory=dict)
    minimum_version: int = 0  # all ingresses act on this version, or later

    def with_changes(
        self,
        version: int,
        doors: Mapping[str, GatewayRange],
        passed: Mapping[str, tuple[GatewayRange, ...]] | None = None,
    ) -> IntermediateVersions:
        """A version gives these customers other doors; ``doors``: the ones that they had. ``passed``: those that
        customers had in versions between."""
        if version <= self.minimum_version or not (doors or passed):
            return self
        known = dict(self.customers)
        for name, more in (*((n, (had,)) for n, had in doors.items()), *(passed or {}).items()):
            ways = known[name][1] if name in known else ()
            known[name] = version, tuple(dict.fromkeys((*ways, *more)))
        if len(known) > max(MAX_INTERMEDIATE_CUSTOMERS, len(self.customers)):  # a start may have brought more
            raise SlotError(
                f"more than {MAX_INTERMEDIATE_CUSTOMERS} partners whose doors change, or who go, before all know it"
            )
        return replace(self, customers=known)

    def with_minimum_version(self, version: int) -> IntermediateVersions:
        """All ingresses act on this version, or later."""
        if version <= self.minimum_version:
            return self
        return IntermediateVersions({n: x for n, x in self.customers.items() if x[0] > version}, version)

    @classmethod
    def for_new_ingress(cls, version: int, everywhere: int, versions: Mapping[str, int]) -> IntermediateVersions:
        """Of who starts with nothing at a version. ``versions``: those that changed its customers last. Whoever did
        not change after ``everywhere`` is known; of the others as many as there are, since a start can't be refused
        for what it finds. ``everywhere`` is 0 where ceilings are lent: it may be true for less than EXPIRY_LEASES."""
        told = {UNKNOWN_CUSTOMERS: version, **versions}
        entries = {v: (v, (UNKNOWN_GATEWAYS,)) for v in set(told.values()) if v > everywhere}
        return cls({name: entries[v] for name, v in told.items() if v in entries}, everywhere)

    def dump(self) -> list:
        """To be kept with the settings: a process that starts anew knows no older ones."""
        return [self.minimum_version, [[n, v, [list(w) for w in ways]] for n, (v, ways) in self.customers.items()]]

    @classmethod
    def load(cls, rows: list) -> IntermediateVersions:
        """Raises ValueError, TypeError."""
        everywhere, told = rows
        customers = {str(n): (int(v), tuple((int(a), int(b)) for a, b in ways)) for n, v, ways in told}
        return cls(customers, int(everywhere))


def interim_plans(
    between: IntermediateVersions, now: Mapping[str, tuple[str, GatewayRange]], plans: Mapping[str, i.Plan], me: int,
    count: int, owned: float, lent: bool = False,
) -> tuple[dict[str, InterimPlan], list[i.Plan]]:  # fmt: skip
    """How requests of customers in between are told to the policy, and the plans made up for it. ``now``: plan and
    doors that they have by the version that holds here. A plan without a ceiling needs nothing of this. ``lent``:
    ceilings are budgets, of which whole units alone are owned."""
    ways: dict[str, InterimPlan] = {}
    made: dict[str, i.Plan] = {}
    for name, (_, before) in between.customers.items():
        if name not in now or (plan := plans.get(now[name][0])) is None or not plan.ceiling_rate:
            continue
        part = owned_share((*before, now[name][1]), me, count, owned)
        burst = plan.ceiling_burst * part
        if lent:
            burst = float(int(burst + 1e-9))
            part = part if burst else 0.0
        called = f"{BLOCKED} {part:.12g} {plan.name}" if part else BLOCKED
        if called not in made and called != BLOCKED:
            # One slot is left for those that have no part. What there is no slot for is closed too.
            if len(made) == LOCAL - 1:
                called = BLOCKED
            else:
                made[called] = replace(
                    plan, name=called, rate=plan.rate * part, burst=plan.burst * part,
                    ceiling_rate=plan.ceiling_rate * part, ceiling_burst=burst,
                    ceiling_slack=plan.ceiling_slack * part,
                    max_in_flight=max(1, int(plan.max_in_flight * part)) if plan.max_in_flight else 0,
                )  # fmt: skip
        ways[name] = InterimPlan(called, me)
    if any(w.plan == BLOCKED for w in ways.values()):
        made[BLOCKED] = blocked_plan()  # by its name, also where plans have no slots
    return ways, list(made.values())
