"""Other settings while an ingress runs: checked whole beside what holds, and applied in one turn. No I/O, no clock.

What differs is found by object: in a file by the text of each block (reading.py), or told as a step. ``prepare``
looks at what changed, beside the counts and tables of the unchanged, and touches nothing that holds; it may run
beside the loop. ``apply`` then cannot fail:

    changed                        apply touches
    partners                       their slots, their rows of use, their connections
    cost routes                    their rules
    anything else                  also the policy and the parts, by Setup.renew

Many partners or routes at once are put into copies beside the loop, so that the turn only changes tables.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from rushweir.config import checks
from rushweir.config import models as m
from rushweir.config.compact import TOLD, Costs, Delta, Partners, Place, shared
from rushweir.config.load import Config, checked, effective_of, text_of
from rushweir.config.objects import SINGLE, Ats, Refused, decode, path_of, refused
from rushweir.config.reading import NAMED, Reading, Spots
from rushweir.config.show import as_rows, differ
from rushweir.config.text import Spot
from rushweir.costs.decisions import Rule
from rushweir.costs.routes import Routes
from rushweir.fronts.credentials import Credentials
from rushweir.ingress.core import Core
from rushweir.ingress.websocket import Setup
from rushweir.rollout.steps import Change

FEW = 128  # changed objects of a kind that are put in place one by one, within a turn
MANY = ("partners", "costs")


@dataclass(frozen=True, slots=True)
class Prepared:
    """A change that is sound; good for the settings that it was prepared beside, and no others."""

    beside: Config
    config: Config
    deltas: Mapping[str, Delta]
    setup: Setup | None  # None: partners and cost routes alone
    changes: list[dict[str, object]]  # as ``differ`` tells them
    held: Credentials | None = None  # the tables as they will be, where much changes
    routes: Routes[Rule] | None = None


def read(known: Config, path: Any) -> tuple[Config, dict[str, Delta]]:
    """A settings file beside the settings that hold. Raises ConfigError."""
    reading = Reading(text_of(path), str(path), path.parent, {g: getattr(known.file, g) for g in MANY})
    return replace(checked(reading), seat=known.seat), reading.deltas


def told(known: Config, changes: Iterable[Change], version: int) -> tuple[Config, dict[str, Delta]]:
    """The objects of a step beside the settings that hold. Raises Refused."""
    file, wrong = known.file, []
    deltas = {g: _unmoved(getattr(file, g)) for g in MANY}
    rest: dict[str, Any] = {}
    spots = Spots({g: getattr(file, g) for g in MANY})
    spots.update(known.spots)
    for change in changes:
        kind, name = change.key
        try:
            found = None if change.data is None else decode(change.key, change.data)
        except Refused as bad:
            wrong += bad.wrong
            continue
        path = path_of(change.key)
        if path[0] in MANY:
            _note(deltas[path[0]], name, found, version)
            continue
        for old in [p for p in spots if p[: len(path)] == path]:
            del spots[old]
        if found is not None:
            spots[path] = Spot(TOLD, version, 1)
            spots.update({(*path, f): Spot(TOLD, version, 1) for f in found.model_fields_set})
        if kind in NAMED:
            group = rest.setdefault(path[0], dict(getattr(file, path[0])))
            group.pop(name, None) if found is None else group.update({name: found})
        elif kind in SINGLE:
            rest[kind] = m.File.model_fields[kind].default if found is None else found
        else:
            wrong.append((change.key, "", "no kind of settings that this ingress knows"))
    if wrong:
        raise Refused(wrong)
    file = file.model_copy(update=rest)
    if problems := checks.across(file, Ats(), deltas):
        raise refused(problems)
    return replace(known, file=file, spots=spots), deltas


def _unmoved(group: Any) -> Delta:
    """A delta of which all that is not named stays, and stays where it stands."""
    return Delta(group, whole=False)


def _note(delta: Delta, name: str, found: Any, version: int) -> None:
    delta.put.pop(name, None)
    if found is None:
        if name in delta.group.slots:
            delta.gone.append(name)
        return
    layout = (((), 0, 1), *(((f,), 0, 1) for f in found.model_fields_set))
    record = delta.group.recorded(name, found)
    delta.note(name, record, Place(0, version, shared(layout)))


def prepare(
    known: Config, new: Config, deltas: Mapping[str, Delta], make: Callable[[Config], Setup], old: Setup
) -> Prepared:
    """``make`` gives the setup of settings; ``old``: the one that holds."""
    bound = [f for f in m.File.model_fields if f not in MANY and getattr(known.file, f) != getattr(new.file, f)]
    costs, mine = deltas["costs"], deltas["partners"]
    priced = known.file.pricing is not None or len(known.file.costs) > 0
    prices = new.file.pricing is not None or len(known.file.costs) + len(costs.put) > len(costs.gone)
    setup = None
    if bound or priced != prices:
        setup = make(new)
        if known.file.nodes == new.file.nodes:  # the same object: nodes need not be looked at again
            setup = replace(setup, node_networks=old.node_networks)
    changes = differ(
        [*_rest(known), *_rows(deltas, known.spots, before=True)],
        [*_rest(new), *_rows(deltas, Spots(deltas), before=False)],
    )
    held = routes = None
    if len(mine.put) + len(mine.gone) > FEW:
        held = mine.group.held.copy()
        _change(mine, held.drop, lambda name, record: held.put(name, *record))
    if len(costs.put) + len(costs.gone) > FEW:
        routes = _rebuilt(costs)
    return Prepared(known, new, deltas, setup, changes, held, routes)


def _rest(config: Config) -> list[dict[str, object]]:
    return as_rows(effective_of(config.file.model_copy(update={"partners": {}, "costs": {}}), (), config.spots))


def _rows(deltas: Mapping[str, Delta], spots: Spots, before: bool) -> list[dict[str, object]]:
    """The settings of what changed alone."""
    out: list[dict[str, object]] = []
    for g, delta in deltas.items():
        names = [*delta.gone, *(n for n in delta.put if n in delta.group.slots)] if before else delta.put
        for name in names:
            record = delta.group.record(delta.group.slots[name]) if before else delta.put[name][0]
            out += as_rows(effective_of(delta.group.block(record), (g, name), spots))
    return out


def _change(delta: Delta, drop: Callable[[str], Any], put: Callable[[str, Any], Any]) -> None:
    for name in delta.gone:
        drop(name)
    for name, (record, _) in delta.put.items():
        put(name, record)


def _rebuilt(costs: Delta) -> Routes[Rule]:
    made: Routes[Rule] = Routes()
    group, gone = costs.group, set(costs.gone)
    for name, slot in group.slots.items():
        if name not in gone and name not in costs.put:
            made.add(name, group.rules[slot])
    for name, (rule, _) in costs.put.items():
        made.add(name, rule)
    return made


def apply(core: Core, prepared: Prepared, now: float) -> None:
    """From now on. The settings must still be those that it was prepared beside."""
    mine, costs = prepared.deltas["partners"], prepared.deltas["costs"]
    partners: Partners = mine.group
    routed: Costs = costs.group
    partners.adopt(mine, prepared.held)
    routed.adopt(costs, prepared.routes)
    front = core.setup.front
    if front.costs is not None:
        front.costs.routes = routed.routes
    usage = core.watch.usage
    usage.change({name: record[0] for name, (record, _) in mine.put.items()}, mine.gone)
    usage.source = partners.held  # as it is by now
    if prepared.setup is not None:
        prepared.setup.renew(core, now)
        return
    if core.setup.credentials is not partners.held:
        core.setup = replace(core.setup, credentials=partners.held)
    if mine.put or mine.gone:
        core.setup.touch(core, now, {*mine.put, *mine.gone})
