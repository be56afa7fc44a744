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
overtaken before they were applied (watching_ahead.py); of what came as a difference they are not, and NOBODY stands
for them. Who starts with nothing knows no version but its first: of a customer that changed last at or before the one
that all act on it knows the doors all the same; of any other, and of who may have come and gone meanwhile (ANYBODY),
it does not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from rushweir import interface as i

SLOTS = 256  # what one byte names
LOCAL = 8  # the last of them: plans that one ingress made up for what is in between; to all others they are closed
MOST_PLANS = SLOTS - LOCAL
MOST_BETWEEN = 16_384  # customers with a ceiling whose doors change, or who go, before all ingresses know it
OVER_TERMS = 4  # of budgets: so long after all act on a version nothing lent by an older one is left
REMEMBERED_MS = 90_000.0  # a customer is remembered while idle for 30 s, and each request for its deadline at most

CLOSED = "\x00closed"  # no name that settings can have
Doors = tuple[int, int]  # the first, and how many from it on; (0, 0): all
NOBODY: Doors = (0, -1)  # in place of doors that are not known: whoever has it among its ways owns nothing
ANYBODY = ""  # in place of customers that are not known: whoever comes while it is in between counts as NOBODY's too


def closed(price: float = 1.0) -> i.Plan:
    """Grants nothing, not a request of no units either."""
    return i.Plan(CLOSED, rate=1e-9, burst=-1.0, ceiling_rate=1e-9, ceiling_burst=1e-9, price=price)


def arranged(plans: Iterable[tuple[int | None, i.Plan]], local: Iterable[i.Plan] = ()) -> tuple[i.Plan, ...]:
    """Plans at their slots, closed ones at all others; as they come where none has a slot, which is good only as long
    as all ingresses have them in the same order. ``local``: made up here, in the last slots."""
    given = list(plans)
    if given and all(slot is None for slot, _ in given):
        return (*(p for _, p in given), *local)
    # The mean price stays what it is: the room for dear work hangs on it.
    rest = closed(sum(p.price for _, p in given) / max(1, len(given)))
    out = [rest] * SLOTS
    for slot, plan in given:
        out[slot or 0] = plan
    for k, plan in enumerate(list(local)[:LOCAL]):
        out[MOST_PLANS + k] = plan
    return tuple(out)


class SlotError(ValueError):
    """No slot is free."""


@dataclass(slots=True)
class Slots:
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
        free = (k for k in range(MOST_PLANS) if k not in self.names)
        slot = next(free, None)
        if slot is None:
            settled = since_ms >= REMEMBERED_MS
            over = [k for k, version in self.gone.items() if settled and version <= everywhere]
            if not over:
                raise SlotError(f"{MOST_PLANS} plans at once, with those dropped that some ingress may still act on")
            slot = min(over, key=lambda k: (self.gone[k], k))
            del self.gone[slot]
        self.names[slot] = name
        return slot

    def drop(self, name: str, version: int) -> None:
        """A version has the plan no more."""
        for slot, held in self.names.items():
            if held == name:
                self.gone[slot] = version


def among(doors: Doors, me: int, count: int) -> int:
    """How many doors there are of which this ingress is one; 0: it is none of them."""
    first, spread = doors
    spread = min(spread or count, count)
    return spread if (me - first) % count < spread else 0


def share(ways: Iterable[Doors], me: int, count: int, owned: float) -> float:
    """What a door owns alone of a whole, the smallest of several ways to divide it. ``owned``: the part of the whole
    that all doors together own without asking anybody."""
    sizes = [among(way, me, count) for way in ways]
    return owned / max(sizes) if all(sizes) else 0.0


@dataclass(frozen=True, slots=True)
class Acting:
    """How requests of a customer are told to the policy in between."""

    plan: str
    first: int
    spread: int = 1


@dataclass(frozen=True, slots=True)
class Between:
    """Customers whose doors changed in a version that not all act on: the ways that may still be in force, and the
    version that all have to act on. Immutable: it goes with the settings that it is of."""

    customers: Mapping[str, tuple[int, tuple[Doors, ...]]] = field(default_factory=dict)
    everywhere: int = 0  # all ingresses act on this version, or later

    def changed(
        self, version: int, doors: Mapping[str, Doors], passed: Mapping[str, tuple[Doors, ...]] | None = None
    ) -> Between:
        """A version gives these customers other doors; ``doors``: the ones that they had. ``passed``: those that
        customers had in versions between."""
        if version <= self.everywhere or not (doors or passed):
            return self
        known = dict(self.customers)
        for name, more in (*((n, (had,)) for n, had in doors.items()), *(passed or {}).items()):
            ways = known[name][1] if name in known else ()
            known[name] = version, tuple(dict.fromkeys((*ways, *more)))
        if len(known) > max(MOST_BETWEEN, len(self.customers)):  # a start may have brought more
            raise SlotError(f"more than {MOST_BETWEEN} partners whose doors change, or who go, before all know it")
        return replace(self, customers=known)

    def all_at_least(self, version: int) -> Between:
        """All ingresses act on this version, or later."""
        if version <= self.everywhere:
            return self
        return Between({n: x for n, x in self.customers.items() if x[0] > version}, version)

    @classmethod
    def of_newcomer(cls, version: int, everywhere: int, versions: Mapping[str, int]) -> Between:
        """Of who starts with nothing at a version. ``versions``: those that changed its customers last. Whoever did
        not change after ``everywhere`` is known; of the others as many as there are, since a start can't be refused
        for what it finds. ``everywhere`` is 0 where ceilings are lent: it may be true for less than OVER_TERMS."""
        told = {ANYBODY: version, **versions}
        entries = {v: (v, (NOBODY,)) for v in set(told.values()) if v > everywhere}
        return cls({name: entries[v] for name, v in told.items() if v in entries}, everywhere)

    def dump(self) -> list:
        """To be kept with the settings: a process that starts anew knows no older ones."""
        return [self.everywhere, [[n, v, [list(w) for w in ways]] for n, (v, ways) in self.customers.items()]]

    @classmethod
    def load(cls, rows: list) -> Between:
        """Raises ValueError, TypeError."""
        everywhere, told = rows
        customers = {str(n): (int(v), tuple((int(a), int(b)) for a, b in ways)) for n, v, ways in told}
        return cls(customers, int(everywhere))


def acting(
    between: Between, now: Mapping[str, tuple[str, Doors]], plans: Mapping[str, i.Plan], me: int, count: int,
    owned: float, lent: bool = False,
) -> tuple[dict[str, Acting], list[i.Plan]]:  # fmt: skip
    """How requests of customers in between are told to the policy, and the plans made up for it. ``now``: plan and
    doors that they have by the version that holds here. A plan without a ceiling needs nothing of this. ``lent``:
    ceilings are budgets, of which whole units alone are owned."""
    ways: dict[str, Acting] = {}
    made: dict[str, i.Plan] = {}
    for name, (_, before) in between.customers.items():
        if name not in now or (plan := plans.get(now[name][0])) is None or not plan.ceiling_rate:
            continue
        part = share((*before, now[name][1]), me, count, owned)
        burst = plan.ceiling_burst * part
        if lent:
            burst = float(int(burst + 1e-9))
            part = part if burst else 0.0
        called = f"{CLOSED} {part:.12g} {plan.name}" if part else CLOSED
        if called not in made and called != CLOSED:
            # One slot is left for those that have no part. What there is no slot for is closed too.
            if len(made) == LOCAL - 1:
                called = CLOSED
            else:
                made[called] = replace(
                    plan, name=called, rate=plan.rate * part, burst=plan.burst * part,
                    ceiling_rate=plan.ceiling_rate * part, ceiling_burst=burst,
                    ceiling_slack=plan.ceiling_slack * part,
                    max_in_flight=max(1, int(plan.max_in_flight * part)) if plan.max_in_flight else 0,
                )  # fmt: skip
        ways[name] = Acting(called, me)
    if any(w.plan == CLOSED for w in ways.values()):
        made[CLOSED] = closed()  # by its name, also where plans have no slots
    return ways, list(made.values())
