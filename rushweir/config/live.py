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

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache
from itertools import chain, islice
from typing import Any
from zlib import crc32

from rushweir.config import checks
from rushweir.config import models as m
from rushweir.config.compact import TOLD, Costs, Delta, Group, Layout, PartnerRecord, Partners, Place, shared
from rushweir.config.load import Config, checked, effective_of, text_of
from rushweir.config.objects import SINGLE, Ats, Refused, decode, path_of, refused
from rushweir.config.reading import MOST_NAME, NAMED, Reading, Spots
from rushweir.config.show import as_rows, differ
from rushweir.config.text import Problem, Spot
from rushweir.ingress.core import Core
from rushweir.ingress.queries import Partner
from rushweir.ingress.websocket import Setup
from rushweir.rollout.ceilings import (
    UNKNOWN_CUSTOMERS,
    UNKNOWN_GATEWAYS,
    GatewayRange,
    IntermediateVersions,
    SlotError,
    interim_plans,
)
from rushweir.rollout.change_sets import Change, Key

FEW = 128  # changed objects of a kind that are put in place one by one, within a turn
PIECE = 250  # objects that a start reads at once
MANY = ("partners", "costs")
Passed = Mapping[Key, tuple[bytes, ...] | None]  # what objects were in versions that are skipped; None: not known
NOTHING: Passed = {}
SHARED = frozenset((*NAMED, *SINGLE))


@dataclass(frozen=True, slots=True)
class Prepared:
    """A change that is sound; good for the settings that it was prepared beside, and no others."""

    beside: Config
    config: Config
    deltas: Mapping[str, Delta]
    setup: Setup | None  # None: partners and cost routes alone
    changes: list[dict[str, object]]  # as ``differ`` tells them
    copies: Mapping[str, Group]  # as they will be, where much changes
    plans: Mapping[str, str]  # of partners that are new or have another
    touched: frozenset[str]  # partners of which anything changed
    hashes: tuple[tuple[str, int], ...]  # of those whose requests are counted otherwise, as the policy has them


def read(known: Config, path: Any) -> tuple[Config, dict[str, Delta]]:
    """A settings file beside the settings that hold. Raises ConfigError."""
    reading = Reading(text_of(path), str(path), path.parent, {g: getattr(known.file, g) for g in MANY})
    return replace(checked(reading), seat=known.seat), reading.deltas


def read_own(known: Config, path: Any) -> tuple[Config, dict[str, Delta]]:
    """The file of a machine whose shared settings come from the control processes: these stay as they are. Raises
    ConfigError, also where one of them stands in the file."""
    groups = {g: getattr(known.file, g) for g in MANY}
    reading = Reading(text_of(path), str(path), path.parent, groups, SHARED)
    shared = {f: getattr(known.file, f) for f in (*SINGLE, "classes", "plans")}
    config = replace(
        checked(reading, shared), seat=known.seat, between=known.between, ways=known.ways, made=known.made
    )
    for spot in known.spots:
        if spot[0] in shared:
            config.spots[spot] = known.spots[spot]
    return config, reading.deltas


def assemble(
    path: Any,
    kept: Iterable[tuple[Key, bytes]],
    version: int,
    between: IntermediateVersions | None = None,
    seat: int = -1,
) -> Config:
    """The settings of a start: the machine's own file, and the objects of a version, with what was ``between`` when
    they were kept: not all may act on it yet. ``kept`` is walked through twice. Raises ConfigError, Refused."""
    reading = Reading(text_of(path), str(path), path.parent, None, SHARED)
    if reading.problems or reading.file is None:
        raise reading.error()
    groups = reading.groups
    groups["partners"].held.ingress_count = reading.file.ingress[1]
    config = Config(reading.file.model_copy(update=groups), path.parent, None, reading.spots, (path,), seat)
    few = [Change(key, data) for key, data in kept if path_of(key)[0] not in MANY]
    many = (Change(key, data) for key, data in kept if path_of(key)[0] in MANY)
    # In pieces: what is read of an object before it is in its slot is larger than the slot.
    for piece in chain([few], iter(lambda: list(islice(many, PIECE)), [])):
        config, deltas = told(config, piece, version)
        for g in MANY:
            groups[g].adopt(deltas[g])
    if between is not None and config.file.ingress[1] > 1:  # once for all, not with each piece
        config = _acting(replace(config, between=between), _unmoved(groups["partners"]))
    problems: list[Problem] = []
    peers = config.file.peers
    peer_key = checks.key(peers, config.base, reading.spots, problems) if peers else None
    if config.file.console is not None:
        checks.users(config.file.console, config.base, reading.spots, problems)
    if problems:
        raise reading.reader.error(problems)
    groups["partners"].held.overrides = _partners(config)
    return replace(config, peer_key=peer_key, files=(path, *reading.reader.files))


def told(
    known: Config, changes: Iterable[Change], version: int, passed: Passed = NOTHING
) -> tuple[Config, dict[str, Delta]]:
    """The objects of a step, or of several at once, beside the settings that hold. Raises Refused."""
    file, wrong = known.file, []
    deltas = {g: _unmoved(getattr(file, g)) for g in MANY}
    rest: dict[str, Any] = {}
    spots = Spots({g: getattr(file, g) for g in MANY})
    spots.update(known.spots)
    for change in changes:
        kind, name = change.key
        path = path_of(change.key)
        if kind == "partner" and (plain := PLAIN.fullmatch(change.data or b"")) and NAME.fullmatch(name):
            _note(deltas["partners"], name, _plain(plain), _layout(b"through" in plain[0]), version)
            continue
        try:
            found = None if change.data is None else decode(change.key, change.data)
        except Refused as bad:
            wrong += bad.wrong
            continue
        if path[0] in MANY:
            delta = deltas[path[0]]
            record = None if found is None else delta.group.recorded(name, found)
            layout = () if found is None else shared((((), 0, 1), *(((f,), 0, 1) for f in found.model_fields_set)))
            _note(delta, name, record, layout, version)
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
    mine = deltas["partners"]
    count = file.ingress[1]
    slots, held = mine.group.slots, mine.group.held
    bound = {name for name, p in known.file.plans.items() if p.ceiling_rate}  # without a ceiling there is no whole
    touched = ((name, slots[name]) for name in (*mine.put, *mine.gone) if name in slots)
    had = {name: held.gateways[slot] for name, slot in touched if held.plans[slot] in bound}
    had = {name: doors for name, doors in had.items() if _other(doors, mine.get(name), count)}
    ways = _passed(passed, mine, count) if any(p.ceiling_rate for p in file.plans.values()) else {}
    if UNKNOWN_CUSTOMERS in known.between.customers:
        ways |= {name: (*ways.get(name, ()), UNKNOWN_GATEWAYS) for name in mine.put if name not in slots}
    try:
        between = known.between.with_changes(version, had, ways) if count > 1 else known.between
    except SlotError as bad:
        raise Refused([(("partner", next(iter(had or ways))), "through", str(bad))]) from None
    return _acting(replace(known, file=file, spots=spots, between=between), mine), deltas


def newcomer(versions: Mapping[Key, int], version: int, least: int, lent: bool) -> IntermediateVersions:
    """What is in between for an ingress that starts with nothing, at a version. ``versions``: those that changed its
    objects last; ``least``: one that all others act on, or on a later one; ``lent``: ceilings are."""
    partners = {name: v for (kind, name), v in versions.items() if kind == "partner"}
    return IntermediateVersions.for_new_ingress(version, 0 if lent else least, partners)


def _passed(passed: Passed, mine: Delta, count: int) -> dict[str, tuple[GatewayRange, ...]]:
    """The doors that partners had in skipped versions, of those that had others than they have. Those that are gone
    too: others may still act on these versions as they come back."""
    out: dict[str, tuple[GatewayRange, ...]] = {}
    for (kind, name), rows in passed.items():
        if kind != "partner":
            continue
        record = mine.get(name)
        ways = (UNKNOWN_GATEWAYS,) if rows is None else tuple(_doors(name, data) for data in rows)
        if ways := tuple(w for w in ways if w == UNKNOWN_GATEWAYS or _other(w, record, count)):
            out[name] = ways
    return out


def _doors(name: str, data: bytes) -> GatewayRange:
    if plain := PLAIN.fullmatch(data):
        return _plain(plain)[2]
    try:
        return decode(("partner", name), data).through  # type: ignore[attr-defined]
    except Refused:  # no version that could be acted on here; elsewhere, who knows
        return UNKNOWN_GATEWAYS


def settled(known: Config, version: int) -> tuple[Config, dict[str, Delta]]:
    """All ingresses act on a version, or on a later one; where ceilings are lent, they do so since ``EXPIRY_LEASES``
    of the terms of budgets (rollout/ceilings.py)."""
    deltas = {g: _unmoved(getattr(known.file, g)) for g in MANY}
    return _acting(replace(known, between=known.between.with_minimum_version(version)), deltas["partners"]), deltas


def _other(doors: GatewayRange, record: PartnerRecord | None, count: int) -> bool:
    """Whether a partner has other doors than it had."""
    return record is None or _plainly(doors, count) != _plainly(record[2], count)


def _plainly(doors: GatewayRange, count: int) -> GatewayRange:
    return (0, 0) if not 0 < doors[1] < count else doors


def _acting(config: Config, mine: Delta) -> Config:
    now = {n: (r[0], r[2]) for n in config.between.customers if (r := mine.get(n)) is not None}
    plans = {p.name: p for _, p in config.plans()} if now else {}
    lent = config.file.fleet is not None
    ways, made = interim_plans(
        config.between, now, plans, max(0, config.me), config.file.ingress[1], config.owned(), lent
    )
    return replace(config, ways=ways, made=tuple(made))


def _partners(config: Config) -> dict[str, Partner]:
    """Partners as their requests are counted in between."""
    return {n: Partner(n, a.plan, a.gateway_count, a.first_gateway) for n, a in config.ways.items()}


def _unmoved(group: Any) -> Delta:
    """A delta of which all that is not named stays, and stays where it stands."""
    return Delta(group, whole=False)


def _note(delta: Delta, name: str, record: Any, layout: Layout, version: int) -> None:
    if record is not None:
        delta.note(name, record, Place(0, version, layout))
    elif name in delta.group.slots:
        delta.gone[name] = None


NAME = re.compile(rf"[^\x00-\x1f\x7f]{{1,{MOST_NAME}}}")
# A partner in its canonical bytes, which most changes are about.
PLAIN = re.compile(
    rb"plan ([!$-z|~]{1,128}+)\ncredential sha256:([0-9a-f]{64})\n(?:through ([0-9]{1,9}) ([0-9]{1,9})\n)?"
)


def _plain(found: re.Match[bytes]) -> PartnerRecord:
    doors = (int(found[3]), int(found[4])) if found[3] else (0, 0)
    return found[1].decode(), bytes.fromhex(found[2].decode()), doors


@lru_cache(maxsize=2)
def _layout(through: bool) -> Layout:
    fields = ("plan", "credential", "through") if through else ("plan", "credential")
    return shared((((), 0, 1), *(((f,), 0, 1) for f in fields)))


def prepare(
    known: Config, new: Config, deltas: Mapping[str, Delta], make: Callable[[Config], Setup], old: Setup,
    rows: bool = True,
) -> Prepared:  # fmt: skip
    """``make`` gives the setup of settings; ``old``: the one that holds. ``rows``: whether what changes is wanted as
    settings; of thousands that takes longer than all else."""
    bound = [f for f in m.File.model_fields if f not in MANY and getattr(known.file, f) != getattr(new.file, f)]
    costs = deltas["costs"]
    priced = known.file.pricing is not None or len(known.file.costs) > 0
    prices = new.file.pricing is not None or len(known.file.costs) + len(costs.put) > len(costs.gone)
    setup = None
    if bound or priced != prices or known.made != new.made:
        setup = make(new)
        setup = replace(setup, front=replace(setup.front, costs=new.costs(prices)))
        if known.file.nodes == new.file.nodes:  # the same object: nodes need not be looked at again
            setup = replace(setup, node_networks=old.node_networks)
    changes: list[dict[str, object]] = []
    if rows:
        before, after = (_rest(known, new), _rest(new, known)) if bound else ([], [])
        before += _rows(deltas, known.spots, before=True)
        changes = differ(before, [*after, *_rows(deltas, Spots(deltas), before=False)])
    copies = {g: d.group.with_all(d) for g, d in deltas.items() if len(d.put) + len(d.gone) > FEW}
    mine: Delta = deltas["partners"]
    had, slots = mine.group.held.plans, mine.group.slots
    plans = {n: r[0] for n, (r, _) in mine.put.items() if n not in slots or had[slots[n]] != r[0]}
    ways = [n for n in (*known.ways, *new.ways) if known.ways.get(n) != new.ways.get(n)]
    moved = dict.fromkeys((*mine.put, *ways))
    if setup is None:  # else a plan may be another under its name
        doors = mine.group.held.gateways
        through = [n for n, (r, _) in mine.put.items() if n in slots and doors[slots[n]] != r[2]]
        moved = dict.fromkeys((*plans, *through, *ways))
    hashes = tuple((n, crc32(n.encode())) for n in moved)
    touched = frozenset((*mine.put, *mine.gone, *ways))
    return Prepared(known, new, deltas, setup, changes, copies, plans, touched, hashes)


def _rest(config: Config, other: Config) -> list[dict[str, object]]:
    """The settings of all that are few, but for classes and plans that are as others have them."""
    few: dict[str, Any] = dict.fromkeys(MANY, {})
    for group in ("classes", "plans"):
        mine, theirs = getattr(config.file, group), getattr(other.file, group)
        few[group] = {name: b for name, b in mine.items() if theirs.get(name) != b}
    return as_rows(effective_of(config.file.model_copy(update=few), (), config.spots))


def _rows(deltas: Mapping[str, Delta], spots: Spots, before: bool) -> list[dict[str, object]]:
    """The settings of what changed alone."""
    out: list[dict[str, object]] = []
    for g, delta in deltas.items():
        names = [*delta.gone, *(n for n in delta.put if n in delta.group.slots)] if before else delta.put
        for name in names:
            record = delta.group.record(delta.group.slots[name]) if before else delta.put[name][0]
            out += as_rows(effective_of(delta.group.block(record), (g, name), spots))
    return out


def apply(core: Core, prepared: Prepared, now: float) -> None:
    """From now on. The settings must still be those that it was prepared beside."""
    mine, costs = prepared.deltas["partners"], prepared.deltas["costs"]
    partners: Partners = mine.group
    routed: Costs = costs.group
    for g, delta in prepared.deltas.items():
        if (copy := prepared.copies.get(g)) is not None:
            delta.group.become(copy)
        else:
            delta.group.adopt(delta)
    # The new setup was made beside the tables that were: those that hold from now on are put into it.
    setup = replace(prepared.setup or core.setup, credentials=partners.held)
    if setup.front.costs is not None:
        setup.front.costs.routes = routed.routes
    known, new = prepared.beside, prepared.config
    if new.ways != known.ways:
        partners.held.overrides = _partners(new)
    usage = core.telemetry.usage
    usage.change(prepared.plans, mine.gone)
    usage.source = partners.held  # as it is by now
    if prepared.setup is not None:
        setup.reload(core, now)
    elif core.setup.credentials is not partners.held:
        core.setup = setup
    if prepared.touched:
        if prepared.setup is None:
            core.setup.update_partners(core, now, prepared.touched)
        # Of thousands only those that the policy knows by now: the others have their doors from their first request.
        quota = getattr(core.engine.policy, "quota", None)
        busy = () if quota is None else quota.customers
        core.setup.update_plans_and_gateways(core, now, [name for name, hashed in prepared.hashes if hashed in busy])
