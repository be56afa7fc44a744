"""From directives to the models of settings: what stands in blocks, and every problem with its place.

The objects that there are thousands of are read one by one into their groups (compact.py); beside settings that hold
only those whose text changed are read. Of a reading with any problem nothing is kept.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from functools import lru_cache
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_origin

from pydantic import BaseModel, TypeAdapter, ValidationError

from rushweir.config import models as m
from rushweir.config.compact import TOLD, UNSEALED, Costs, Delta, Group, Partners, Place, seal, shared
from rushweir.config.reader import Reader, parsed
from rushweir.config.split import PARTNER, Raw
from rushweir.config.text import ConfigError, Directive, Problem, Spot
from rushweir.costs.routes import RouteError

# Blocks that stand once for each name.
NAMED = {"class": "classes", "plan": "plans", "partner": "partners", "cost": "costs"}
MANY = {"partner": "partners", "cost": "costs"}
MOST_NAME = 128
_MODELS = {g: TypeAdapter(dict[m.Name, b]) for g, b in (("partners", m.PartnerBlock), ("costs", m.CostBlock))}


class Spots(dict[tuple, Spot]):
    """Where each setting was read; of partners and cost routes worked out when it is asked for."""

    def __init__(self, groups: Mapping[str, Group | Delta] = {}) -> None:  # noqa: B006 - never written to
        super().__init__()
        self.groups = groups

    def get(self, path: tuple, default: Any = None) -> Any:
        found = dict.get(self, path)
        if found is None and len(path) > 1 and (group := self.groups.get(path[0])) is not None:
            if isinstance(group, Delta):
                place = group.place(path[1])
            else:
                slot = group.slots.get(path[1])
                place = None if slot is None else group.places.place(slot)
            found = None if place is None else group.places.spot(place, tuple(path[2:]))
        return default if found is None else found

    def __contains__(self, path: object) -> bool:
        return self.get(path) is not None

    def __missing__(self, path: tuple) -> Spot:
        if (found := self.get(path)) is None:
            raise KeyError(path)
        return found


class Reading:
    """One reading of a file and what it includes, beside groups that hold (``known``) or into new ones."""

    def __init__(
        self, text: str, name: str, base: Path, known: Mapping[str, Group] | None = None,
        shared: Collection[str] = (),
    ) -> None:  # fmt: skip
        """``shared``: directives that stand with the control processes, not here. Raises ConfigError for
        what has no good form; other problems are in ``problems``."""
        self.name, self.base, self.fresh, self.shared = name, base, known is None, shared
        self.groups: dict[str, Group] = dict(known or {"partners": Partners(), "costs": Costs()})
        self.deltas = {} if self.fresh else {g: Delta(group, not shared) for g, group in self.groups.items()}
        self.problems: list[Problem] = []
        self.late: list[Problem] = []  # told only where there are none of blocks alone
        self.spots = Spots(self.deltas or self.groups)
        self.bad: dict[str, dict[str, Any]] = {}  # blocks that are none, for the whole's errors
        self.file: m.File | None = None
        self.reader = Reader(base)
        names = [TOLD]
        if not shared:
            for group in (self.deltas or self.groups).values():
                group.places.names = names
        self.names, self.numbers = names, dict[str, int]()
        rest: list[Directive] = []
        for item in self.reader.items(text, name, base, ()):
            if shared and (item.name if isinstance(item, Directive) else item[1].kind) in shared:
                d = parsed(item)
                self.problems.append(Problem(d.spot, f"{d.name}: stands with the control processes, not in a file"))
            elif isinstance(item, Directive):
                if item.name in MANY and len(item.values) == 1 and item.inner is not None:
                    self._object(item, UNSEALED)
                else:
                    rest.append(item)
            elif not self._plain(*item):
                self._object(parsed(item), seal(item[1].text))
        if self.reader.problems:  # what a missing or broken part would have said would be told as missing, all of it
            raise self.reader.error(self.reader.problems)
        for delta in self.deltas.values():
            if not shared:
                delta.end()
        self._whole(rest)

    def _number(self, file: str) -> int:
        found = self.numbers.get(file)
        if found is None:
            found = self.numbers[file] = len(self.names)
            self.names.append(file)
        return found

    def _stands(self, group: str, name: str) -> int | None:
        """The line of an object that was read already; None: none was."""
        spot = dict.get(self.spots, (group, name))
        if spot is not None:
            return spot.line
        if self.fresh:
            g = self.groups[group]
            return g.places.lines[g.slots[name]] if name in g.slots else None
        d = self.deltas[group]
        slot = d.group.slots.get(name)
        if name in d.put or (slot is not None and d.seen[slot]):
            return d.place(name).line
        return None

    def _plain(self, file: str, raw: Raw) -> bool:
        """Take a block that did not change, or a partner of the plainest form; whether it was one."""
        group = MANY[raw.kind]
        if self._stands(group, raw.name) is not None:
            return False
        sealed, number = seal(raw.text), self._number(file)
        if not self.fresh and self.deltas[group].same(raw.name, number, raw.line, sealed):
            return True
        found = PARTNER.fullmatch(raw.text) if raw.kind == "partner" else None
        if found is None or len(found[1]) > MOST_NAME or len(found[2]) > MOST_NAME:
            return False
        doors = (int(found[4]), int(found[5])) if found[4] else (0, 0)
        record = found[2], bytes.fromhex(found[3]), doors
        self._take(group, found[1], record, Place(number, raw.line, shared(_layout(found)), sealed))
        return True

    def _object(self, d: Directive, sealed: int) -> None:
        group, name = MANY[d.name], d.values[0].text
        if (line := self._stands(group, name)) is not None:
            self.problems.append(Problem(d.at(0), f"{d.name} {name}: stands twice, first in line {line}"))
            return
        inner = self.groups[group].model
        spots = dict[tuple, Spot]()
        raw = block(inner, d.inner, (), spots, self.problems)
        try:
            made = _MODELS[group].validate_python({name: raw})[name]
        except ValidationError:
            self.bad.setdefault(group, {})[name] = raw
            dict.__setitem__(self.spots, (group, name), d.at(0))
            self.spots.update({(group, name, *path): spot for path, spot in spots.items()})
            return
        first = d.at(0)
        layout = [((), 0, first.column), *((p, s.line - first.line, s.column) for p, s in spots.items())]
        if any(s.file != first.file or s.line < first.line for s in spots.values()):
            layout = layout[:1]  # a part of it is included from another file: its spots stand for themselves
            self.spots.update({(group, name, *path): spot for path, spot in spots.items()})
        place = Place(self._number(first.file), first.line, shared(tuple(layout)), sealed)
        self._take(group, name, self.groups[group].recorded(name, made), place)

    def _take(self, group: str, name: str, record: Any, place: Place) -> None:
        if not self.fresh:
            self.deltas[group].note(name, record, place)
            return
        g = self.groups[group]
        if group == "partners" and (slot := g.held.digests.get(record[1])) is not None:
            other = g.held.names[slot]
            g.put(name, (record[0], b"of another " + name.encode(), record[2]), place)
            spot = self.spots[(group, name, "credential")]
            self.late.append(Problem(spot, f"partner {name}: the credential is that of {other}"))
            return
        try:
            g.put(name, record, place)
        except RouteError as problem:
            self.late.append(Problem(self.spots[(group, name)], f"cost: {problem}"))

    def _whole(self, rest: list[Directive]) -> None:
        raw = block(m.File, rest, (), self.spots, self.problems, top=True)
        if self.shared:
            raw = {"classes": {}, "plans": {}, **raw}
        for group, bad in self.bad.items():
            raw[group] = {**raw.get(group, {}), **bad}
        try:
            self.file = m.File.model_validate(raw)
        except ValidationError as wrong:
            for e in wrong.errors():
                self.problems.append(problem_of(e, self.spots, Spot(self.name, 1, 1), self.problems))

    def error(self) -> ConfigError:
        return self.reader.error(list(dict.fromkeys(p for p in self.problems if p.text)))


def _layout(found: re.Match) -> tuple:
    """The layout of a partner of the plainest form."""
    text, lines = found.string, [0]
    for _ in range(4):
        lines.append(text.find("\n", lines[-1]) + 1)
    columns = [found.start(k) - lines[line] + 1 for k, line in ((1, 0), (2, 1), (3, 2), (4, 3), (5, 3)) if found[k]]
    if found[4]:
        columns.append(text.index("through", lines[3]) - lines[3] + 1)
    return _plain_layout(*columns)


@lru_cache(maxsize=1024)
def _plain_layout(name: int, plan: int, key: int, first: int = 0, count: int = 0, through: int = 0) -> tuple:
    key -= len("sha256:")
    made: list[tuple[tuple, int, int]] = [((), 0, name), (("plan",), 1, plan), (("plan", 0), 1, plan)]
    made += [(("credential",), 2, key), (("credential", 0), 2, key)]
    if first:
        made += [(("through",), 3, through), (("through", 0), 3, first), (("through", 1), 3, count)]
    return tuple(made)


def named_path(path: tuple) -> tuple[str, ...]:
    """The path as it is written: ``partners``, ``NAME``, ``plan`` is ``partner NAME``, ``plan``."""
    single = {group: word for word, group in NAMED.items()}
    if path and path[0] in single and len(path) > 1:
        return (single[path[0]], str(path[1]), *(str(x).replace("_", "-") for x in path[2:]))
    return tuple(str(x).replace("_", "-") for x in path)


def stands(info: Any) -> str:
    return (info.json_schema_extra or {}).get("lines", "")


def block(
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
        often = stands(model.model_fields[name])
        if path in spots and not often:
            problems.append(Problem(d.spot, f"{d.name}: stands twice, first in line {spots[path].line}"))
            continue
        spots.setdefault(path, d.spot)
        first = len(raw.get(name, ())) if often == "words" else 0
        for k in range(0 if often == "values" else len(d.values)):  # of several lines each has one place, below
            spots[(*path, first + k)] = d.at(k)
        inner = _model(kind)
        if inner is not None:
            if d.inner is None or d.values:
                problems.append(Problem(d.spot, f"{d.name}: a block is expected, {d.name} {{ ... }}"))
                raw[name] = {}
            else:
                raw[name] = block(inner, d.inner, path, spots, problems)
        elif d.inner is not None:
            problems.append(Problem(d.spot, f"{d.name}: takes no block"))
        elif often == "words":
            if not d.values:
                problems.append(Problem(d.spot, f"{d.name}: one value at least is expected"))
            raw[name] = (*raw.get(name, ()), *(v.text for v in d.values))
        elif often:
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
    raw.setdefault(group, {})[name] = block(inner, d.inner, path, spots, problems)


def _model(kind: Any) -> type[BaseModel] | None:
    options = get_args(kind) if get_origin(kind) is UnionType else (kind,)
    return next((k for k in options if isinstance(k, type) and issubclass(k, BaseModel)), None)


def problem_of(e: Any, spots: dict[tuple, Spot], start: Spot, found: list[Problem]) -> Problem:
    """A model's complaint at the place that it is about: the longest part of its path that was seen."""
    path = tuple(x for x in e["loc"] if x != "[key]")
    seen = path
    while seen and seen not in spots:
        seen = seen[:-1]
    spot = spots.get(seen, start)
    name = " ".join(named_path(tuple(x for x in path if not isinstance(x, int)))) or "the file"
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
