"""From a settings file to what an ingress is made of. Every problem is told with file, line and column."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_origin

from pydantic import BaseModel, BeforeValidator, ValidationError

from rushweir import interface as i
from rushweir.config import checks
from rushweir.config import models as m
from rushweir.config.reader import Reader
from rushweir.config.text import ConfigError, Directive, Problem, Spot
from rushweir.config.values import words
from rushweir.costs import amounts
from rushweir.costs.decisions import CostRules, Counts, Rule, Term
from rushweir.costs.decisions import field as field_of
from rushweir.fleet.settings import FleetSettings
from rushweir.fronts.credentials import Credentials
from rushweir.fronts.websocket import FrontSettings
from rushweir.ingress.asks import Partner
from rushweir.ingress.websocket import Setup
from rushweir.link.networks import AddressSet
from rushweir.nodes.pool import PoolSettings

# Blocks that stand once for each name.
NAMED = {"class": "classes", "plan": "plans", "partner": "partners", "cost": "costs"}


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting that holds: its blocks and name, its words, and where it was read; None: a default."""

    path: tuple[str, ...]
    words: tuple[str, ...]
    spot: Spot | None


@dataclass(frozen=True, slots=True)
class Config:
    """Settings, checked."""

    file: m.File
    base: Path  # what paths in it are relative to
    peer_key: bytes | None = None
    spots: dict[tuple, Spot] = field(default_factory=dict, repr=False)  # where each setting was read
    files: tuple[Path, ...] = ()  # the file, and what it includes
    seat: int = -1  # the number that the fleet gave, where the settings leave that to it

    def effective(self) -> Iterator[Setting]:
        """Every setting that holds, defaults too, in the order of the models."""
        return _effective(self.file, (), self.spots)

    @property
    def listen(self) -> tuple[str, int]:
        return self.file.listen

    @property
    def state(self) -> Path | None:
        return self.base / self.file.state if self.file.state else None

    @property
    def me(self) -> int:
        """The number of this ingress; -1: not known yet."""
        return self.seat if self.file.ingress[0] < 0 else self.file.ingress[0]

    def fleet(self) -> FleetSettings | None:
        """How this process is a member of its fleet; None: it is in none."""
        f = self.file
        if f.fleet is None or f.peers is None:
            return None
        return FleetSettings(
            f.fleet.advertise or f.peers.bind, tuple(a for (a,) in f.fleet.seed), f.ingress[1], f.ingress[0], f.zone,
            view_ms=f.fleet.term, keep_ms=f.fleet.keep, per_s=f.fleet.rate, apps_per_s=f.budgets.rate,
        )  # fmt: skip

    def settings(self) -> i.Settings:
        """The settings of the policy."""
        f, count = self.file, self.file.ingress[1]
        return i.Settings(
            me=self.me,
            gateways=count,
            zone=f.zone,
            classes=tuple(
                i.RequestClass(
                    name, k.aim, k.deadline, k.worth, k.late_share, i.Effect(k.repeat), i.Group(k.group), k.window
                )
                for name, k in f.classes.items()
            ),
            plans=tuple(
                i.Plan(
                    name, p.rate, p.burst, p.open, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack, p.price,
                    p.over_worth, p.over_cost,
                )
                for name, p in f.plans.items()
            ),
            rules=i.Rules(
                f.rules.answer_slack, f.rules.drain_grace, f.rules.cold_share, f.rules.cold_time,
                f.rules.fall_multiple, f.rules.fall_time,
            ),
            limits=i.Limits(
                f.limits.attempts, f.limits.open, f.limits.retry_after, f.limits.second_copies, f.limits.cancel,
                f.limits.probes, f.limits.retry_after > 0, dial_ms=f.nodes.connect_timeout,
            ),
            sharing=i.Sharing(
                peers=f.peers is not None, messages_per_s=self._mail_per_s(),
                counter=f.counter is not None, counter_timeout_ms=f.counter.timeout if f.counter else 0.0,
                meter_ms=f.meter, largest_request=f.limits.largest_request, settles=f.settles,
                lent=f.fleet is not None,
            ),
            prices={"crossZone": f.prices.cross_zone},
            weights=f.nodes.weights,
            ask_discovery=f.list.mode == "ask",
        )  # fmt: skip

    def _mail_per_s(self) -> float:
        """Messages of the quotas: what peers take of one ingress, less what its fleet says."""
        f = self.file
        fleet = f.fleet.rate + f.budgets.rate if f.fleet else 0.0
        return 0.0 if f.peers is None else max(1.0, f.peers.rate - fleet)

    def costs(self) -> CostRules | None:
        """The prices of requests; None where none are set, and each request says itself what it counts."""
        f = self.file
        if f.pricing is None and not f.costs:
            return None
        return CostRules(
            Rule("default", f.pricing.default if f.pricing else m.ONE_UNIT, most=self._largest()),
            [self._cost(route, block) for route, block in f.costs.items()],
        )

    def _largest(self) -> int:
        return amounts.parse(f"{self.file.limits.largest_request:.3f}")

    def _cost(self, route: str, b: m.CostBlock) -> Rule:
        spot = self.spots.get(("costs", route))
        largest = self._largest()
        terms = [Term(Counts.SIZE, (), b.per_kilobyte)] if b.per_kilobyte else []
        for kind, given in ((Counts.ENTRIES, b.each), (Counts.VALUE, b.times), (Counts.THERE, b.present)):
            terms += [Term(kind, field_of(name), amount) for name, amount in given]
        most = largest if b.most is None else min(b.most, largest)
        return Rule(route, b.base, tuple(terms), min(b.least, most), most, f"{spot.file}:{spot.line}" if spot else "")

    def setup(self, seed: int = 0, boot: str = "") -> Setup:
        """All that makes the ingress, but for its policy."""
        f = self.file
        count = f.ingress[1]
        by_digest = {
            p.credential: Partner(name, p.plan, p.through[1] or count, p.through[0])
            for name, p in f.partners.items()
        }
        return Setup(
            settings=self.settings(),
            front=FrontSettings(
                f.path, f.clients.message, f.clients.batch, f.clients.open, f.clients.buffer,
                f.limits.largest_request, self.costs(),
            ),
            pool=PoolSettings(
                f.nodes.streams, f.nodes.connections, f.nodes.connect_timeout, f.nodes.idle, f.nodes.ping,
                f.nodes.probe_timeout, f.rules.drain_grace, path=f.nodes.path,
            ),
            credentials=Credentials(by_digest),
            margin_ms=f.clients.margin,
            handshake_ms=f.clients.handshake,
            ping_ms=f.clients.ping,
            unread_ms=f.clients.unread,
            unread=f.clients.buffer,
            peer_key=self.peer_key,
            list_url=f.list.url,
            counter_url=f.counter.url if f.counter else "",
            seed=seed,
            boot=boot,
            most_clients=f.clients.connections,
            sample=f.trace.sample,
            late_ms=f.overload.delay,
            most_late_ms=f.overload.most,
            courses=f.trace.keep,
            client_networks=AddressSet(f.clients.allow, f.clients.deny),
            node_networks=AddressSet(f.nodes.allow, f.nodes.deny),
        )  # fmt: skip


def load(path: Path) -> Config:
    """Read a settings file. Raises ConfigError, also where it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError([Problem(Spot(str(path), 1, 1), f"can't be read: {problem}")]) from None
    return load_text(text, str(path), path.parent)


def load_text(text: str, name: str, base: Path) -> Config:
    """Settings from a text; ``name`` stands in errors, ``base`` is what paths are relative to."""
    reader = Reader(base)
    directives = reader.read(text, name, base, ())
    problems = reader.problems
    if problems:  # what a missing or broken part would have said would be told as missing, all of it
        raise ConfigError(problems, reader.lines)
    spots: dict[tuple, Spot] = {}
    raw = _block(m.File, directives, (), spots, problems, top=True)
    file: m.File | None = None
    try:
        file = m.File.model_validate(raw)
    except ValidationError as bad:
        for e in bad.errors():
            problems.append(_problem(e, spots, Spot(name, 1, 1), problems))
    if file is not None:
        problems += checks.across(file, spots)
    key = checks.key(file.peers, base, spots, problems) if file is not None and file.peers else None
    if file is not None and file.console is not None:
        checks.users(file.console, base, spots, problems)
    if problems or file is None:
        raise ConfigError(list(dict.fromkeys(p for p in problems if p.text)), reader.lines)
    return Config(file, base, key, spots, (Path(name), *reader.files))


def _effective(block: BaseModel, where: tuple, spots: dict[tuple, Spot]) -> Iterator[Setting]:
    for name, info in type(block).model_fields.items():
        value, path = getattr(block, name), (*where, name)
        if isinstance(value, BaseModel):
            yield from _effective(value, path, spots)
        elif isinstance(value, dict):
            for key, inner in value.items():
                yield from _effective(inner, (*path, key), spots)
        elif value is not None:
            read = next((x.func for x in info.metadata if isinstance(x, BeforeValidator)), None)
            lines = enumerate(value) if _stands(info) == "values" else [(None, value)]
            for k, v in lines:
                given = tuple(words(v, read))
                if given and given != ("",):
                    yield Setting(_named_path(path), given, spots.get(path if k is None else (*path, k)))


def _named_path(path: tuple) -> tuple[str, ...]:
    """The path as it is written: ``partners``, ``NAME``, ``plan`` is ``partner NAME``, ``plan``."""
    single = {group: word for word, group in NAMED.items()}
    if path and path[0] in single and len(path) > 1:
        return (single[path[0]], str(path[1]), *(str(x).replace("_", "-") for x in path[2:]))
    return tuple(str(x).replace("_", "-") for x in path)


def _stands(info: Any) -> str:
    return (info.json_schema_extra or {}).get("lines", "")


def _block(
    model: type[BaseModel],
    directives: list[Directive],
    where: tuple,
    spots: dict[tuple, Spot],
    problems: list[Problem],
    top: bool = False,
) -> dict[str, Any]:
    """The raw values of a block by field, with the place of each noted under its path."""
    raw: dict[str, Any] = {}
    for d in directives:
        if top and d.name in NAMED:
            _named(model, d, where, raw, spots, problems)
            continue
        name = d.name.replace("-", "_")
        if name not in model.model_fields or "_" in d.name or name in NAMED.values():
            near = ", ".join(sorted(f.replace("_", "-") for f in model.model_fields if f not in NAMED.values()))
            problems.append(Problem(d.spot, f"{d.name}: not known here; known are {near}"))
            continue
        path = (*where, name)
        kind = model.model_fields[name].annotation
        stands = _stands(model.model_fields[name])
        if path in spots and not stands:
            problems.append(Problem(d.spot, f"{d.name}: stands twice, first in line {spots[path].line}"))
            continue
        spots.setdefault(path, d.spot)
        first = len(raw.get(name, ())) if stands == "words" else 0
        for k in range(len(d.values)):
            spots[(*path, first + k)] = d.at(k)
        inner = _model(kind)
        if inner is not None:
            if d.inner is None or d.values:
                problems.append(Problem(d.spot, f"{d.name}: a block is expected, {d.name} {{ ... }}"))
                raw[name] = {}
            else:
                raw[name] = _block(inner, d.inner, path, spots, problems)
        elif d.inner is not None:
            problems.append(Problem(d.spot, f"{d.name}: takes no block"))
        elif stands == "words":
            if not d.values:
                problems.append(Problem(d.spot, f"{d.name}: one value at least is expected"))
            raw[name] = (*raw.get(name, ()), *(v.text for v in d.values))
        elif stands:
            spots[(*path, len(raw.get(name, ())))] = d.spot
            raw[name] = (*raw.get(name, ()), tuple(v.text for v in d.values))
        elif get_origin(kind) is tuple and not model.model_fields[name].metadata:
            raw[name] = tuple(v.text for v in d.values)
        elif len(d.values) != 1:
            problems.append(Problem(d.spot, f"{d.name}: one value is expected, not {len(d.values)}"))
        else:
            raw[name] = d.values[0].text
            spots[path] = d.at(0)
    return raw


def _named(
    model: type[BaseModel], d: Directive, where: tuple, raw: dict[str, Any], spots: dict[tuple, Spot],
    problems: list[Problem],
) -> None:  # fmt: skip
    group = NAMED[d.name]
    if len(d.values) != 1 or d.inner is None:
        problems.append(Problem(d.spot, f"{d.name}: a name and a block are expected, {d.name} NAME {{ ... }}"))
        return
    name = d.values[0].text
    path = (*where, group, name)
    if path in spots:
        problems.append(Problem(d.at(0), f"{d.name} {name}: stands twice, first in line {spots[path].line}"))
        return
    spots[path] = d.at(0)
    inner = get_args(model.model_fields[group].annotation)[1]
    raw.setdefault(group, {})[name] = _block(inner, d.inner, path, spots, problems)


def _model(kind: Any) -> type[BaseModel] | None:
    options = get_args(kind) if get_origin(kind) is UnionType else (kind,)
    return next((k for k in options if isinstance(k, type) and issubclass(k, BaseModel)), None)


def _problem(e: Any, spots: dict[tuple, Spot], start: Spot, found: list[Problem]) -> Problem:
    """A model's complaint at the place that it is about: the longest part of its path that was seen."""
    path = tuple(x for x in e["loc"] if x != "[key]")
    seen = path
    while seen and seen not in spots:
        seen = seen[:-1]
    spot = spots.get(seen, start)
    name = " ".join(_named_path(tuple(x for x in path if not isinstance(x, int)))) or "the file"
    text = e["msg"].removeprefix("Value error, ")
    if e["type"] == "missing":
        # Where a directive of that name was refused already, that it is missing is no news.
        last = str(path[-1]).replace("_", "-")
        if any(p.spot.file == start.file and p.text.startswith(f"{last}: ") for p in found):
            return Problem(spot, "")
        text = "is missing"
    elif e["type"] == "value_error":
        # A block's own complaint names its directive; a value's only says what was expected.
        text = text if re.match(r"[a-z-]+: ", text) else f"expected {text}"
    elif e["type"] == "string_pattern_mismatch":
        form = ": sha256: and 64 hex digits" if path[-1] == "credential" else ""
        text = "not of the form that is expected" + form
    return Problem(spot, f"{name}: {text}")
