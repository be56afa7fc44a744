"""What one part of the settings must not say of another, and the files of secrets that they name."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path

from rushweir.config import models as m
from rushweir.config.compact import Delta, PartnerRecord
from rushweir.config.private import read_key, read_private
from rushweir.config.text import ConfigError, Problem, Spot
from rushweir.console.sessions import read_users
from rushweir.costs.routes import RouteError, pattern_shape
from rushweir.rollout.ceilings import MAX_PLANS


def across(f: m.File, spots: Mapping[tuple, Spot], deltas: Mapping[str, Delta] | None = None) -> list[Problem]:
    """What one block must not say of another. ``deltas``: of partners and routes, those that changed alone are
    looked at, beside what the file has of them."""
    out, (me, count) = [], f.ingress
    if me >= count:
        out.append(Problem(spots[("ingress",)], f"ingress: number {me} of {count}: numbers begin at 0"))
    if not f.classes or not f.plans:
        out.append(Problem(spots.get(("classes",), Spot("", 1, 1)), "a class and a plan are needed"))
    slots: dict[int, str] = {}
    for name, plan in f.plans.items():
        if (plan.slot is None) != (next(iter(f.plans.values())).slot is None):
            out.append(Problem(spots[("plans", name)], f"plan {name}: slot: either all plans have one, or none"))
        elif plan.slot is not None and (other := slots.setdefault(plan.slot, name)) != name:
            out.append(Problem(spots[("plans", name, "slot")], f"plan {name}: slot: is that of {other}"))
    if len(f.plans) > MAX_PLANS:
        out.append(Problem(spots[("plans", next(iter(f.plans)))], f"plans: {MAX_PLANS} at most"))
    if not deltas:
        out += partners(f, ((name, f.partners.record(k)) for name, k in f.partners.slots.items()), spots)
    else:
        out += changed(f, deltas["partners"], deltas["costs"], spots)
    for block, networks in (("clients", f.clients), ("nodes", f.nodes)):
        if both := set(networks.allow) & set(networks.deny):
            worst = min(both, key=str)
            spot = spots[(block, "deny", networks.deny.index(worst))]
            out.append(Problem(spot, f"{block}: {worst} is both allowed and denied"))
    if f.fleet is not None:
        out += fleet(f, spots)
    elif me < 0:
        out.append(Problem(spots[("ingress",)], "ingress: auto needs a fleet block, which gives the number"))
    if f.console is not None and f.control is None:
        out.append(Problem(spots[("console",)], "console: needs a control socket, control { socket ... }"))
    for k, (number, _) in enumerate(f.peers.peer if f.peers else ()):
        if number >= count or number == me:
            out.append(Problem(spots[("peers", "peer", k)], f"peer {number}: no such peer of ingress {me}"))
    return out


def partners(f: m.File, records: Iterable[tuple[str, PartnerRecord]], spots: Mapping[tuple, Spot]) -> list[Problem]:
    """What some partners must not say of plans and ingresses."""
    out, count = [], f.ingress[1]
    for name, (plan, _, doors) in records:
        path = ("partners", name)
        if plan not in f.plans:
            known = ", ".join(f.plans)
            out.append(Problem(spots[(*path, "plan")], f"partner {name}: no plan {plan!r}; known are {known}"))
        if doors[0] >= count or doors[1] > count:
            out.append(Problem(spots[(*path, "through")], f"partner {name}: through: {count} ingresses there are"))
    return out


def changed(f: m.File, mine: Delta, costs: Delta, spots: Mapping[tuple, Spot]) -> list[Problem]:
    """What changed partners and routes must not say of the others; and whose plan is gone. Of what did not change
    only the counts of its plans are looked at."""
    out = partners(f, ((name, record) for name, (record, _) in mine.put.items()), spots)
    held, others = mine.group.held, set(mine.gone)
    digests: dict[bytes, str] = {}
    for name, (record, _) in mine.put.items():
        slot = held.digests.get(record[1])
        owner = held.names[slot] if slot is not None else name
        other = owner if owner != name and owner not in mine.put and owner not in others else name
        if (other := digests.setdefault(record[1], other)) != name:
            text = f"partner {name}: the credential is that of {other}"
            out.append(Problem(spots[("partners", name, "credential")], text))
    if not held.users.keys() <= f.plans.keys():
        others |= mine.put.keys()
        kept = ((name, slot) for name, slot in held.slots.items() if held.plans[slot] not in f.plans)
        lost = ((name, mine.group.record(slot)) for name, slot in kept if name not in others)
        out += partners(f, lost, spots)
    return out + routes(costs, spots)


def routes(costs: Delta, spots: Mapping[tuple, Spot]) -> list[Problem]:
    """Patterns that are none, or that stand twice under two names."""
    out, forms = [], dict[tuple[str, ...], str]()
    for name in costs.put:
        try:
            form = pattern_shape(name)
        except RouteError as problem:
            out.append(Problem(spots[("costs", name)], f"cost: {problem}"))
            continue
        there = costs.group.routes.rule_of_shape(form)
        other = there.name if there is not None and there.name not in costs.gone else name
        if forms.setdefault(form, other) != name:
            text = f"cost: {name}: stands twice, or differs in the names of its parts only"
            out.append(Problem(spots[("costs", name)], text))
    return out


def fleet(f: m.File, spots: dict[tuple, Spot]) -> list[Problem]:
    spot = spots[("fleet",)]
    if f.peers is None:
        return [Problem(spot, "fleet: needs peers, for its socket and its key")]
    if f.fleet.rate + f.budgets.rate > f.peers.rate - 1:
        return [Problem(spot, "fleet: its rate and that of budgets leave peers' rate nothing for the quotas")]
    out, seeds = [], [a for (a,) in f.fleet.seed]
    if len(set(seeds)) < len(seeds):
        out.append(Problem(spot, "fleet: a seed stands twice"))
    advertise = f.fleet.advertise or f.peers.bind
    if not advertise[1]:
        out.append(Problem(spot, "fleet: advertise: needed where peers bind to any port"))
    if advertise in seeds and not f.state:
        out.append(Problem(spot, "fleet: a seed needs a state folder: without what it voted for it must not vote"))
    return out


def users(console: m.ConsoleBlock, base: Path, spots: dict, problems: list[Problem]) -> None:
    """The console's users: a file that nobody else may read, each line in its form."""
    spot, path = spots[("console", "users_file")], base / console.users_file
    try:
        if not read_users(read_private(path, "users-file", spot).decode()):
            problems.append(Problem(spot, f"users-file: {path} names nobody; rushweir console-user adds one"))
    except ConfigError as bad:
        problems += bad.problems
    except ValueError as problem:
        problems.append(Problem(spot, f"users-file: {path}: {problem}"))


def key(peers: m.PeersBlock, base: Path, spots: dict, problems: list[Problem]) -> bytes | None:
    """The key that peers share."""
    try:
        return read_key(base / peers.key_file, "key-file", spots[("peers", "key_file")])
    except ConfigError as bad:
        problems += bad.problems
        return None
