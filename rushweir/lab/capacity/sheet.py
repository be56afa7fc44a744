"""The sheet: what each role needs at the letter's size, from samples, fits and the text of ``roles.toml``.

A need names a figure of the samples (``role.figure``), how often a second it comes (``times``), what it is allowed
(``allowance``, of the letter) and which sum it counts in. Where no sample gives it, it is not measured: nothing is
put in its place. A figure beyond the largest size measured is extrapolated, and carries the factor.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rushweir.lab.capacity import units
from rushweir.lab.capacity.fits import Fit, FitError, fit
from rushweir.lab.capacity.letter import BY, Letter
from rushweir.lab.scale.samples import Sample

FILE = Path(__file__).with_name("roles.toml")
COLUMNS = ("state", "messages", "bytes", "processor", "memory", "time")
SUMS = ("", "ingress", "machine")
SHARES = ("served_", "working_", "missed_")  # how names of figures begin that are a part of a whole
MISSING = "missing"  # how the text of a role without a mechanism begins


class SheetError(ValueError):
    """Texts or samples that do not fit together; says which."""


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure at the letter's size."""

    value: float  # in base units
    measures: str  # what it measures (units.py)
    target: float  # the size that it is of: the letter's, or the largest measured where it names none
    by: str
    fit: Fit
    how: str

    @property
    def factor(self) -> float:
        """Of extrapolation; 1: none."""
        return max(1.0, self.fit.factor(self.target))

    def __str__(self) -> str:
        at = "" if self.by in BY else f" (at {units.plain(self.target)} {self.by})"
        return units.text(self.value, self.measures) + at + extrapolated(self.factor)


def extrapolated(factor: float) -> str:
    return f" (extrapolated x{units.plain(factor)})" if factor > 1 else ""


@dataclass(frozen=True, slots=True)
class Need:
    """One thing that a role needs. ``figure`` is None where it was not measured."""

    role: str
    what: str
    sample: str
    column: str
    times: str | float = ""
    allowance: str = ""
    sum: str = ""
    path: bool = False  # a part of each request
    figure: Figure | None = None
    each: Figure | None = None  # before ``times``
    allowed: tuple[float, str] | None = None

    @property
    def ratio(self) -> float | None:
        """Of the need to its allowance."""
        if self.figure is None or self.allowed is None:
            return None
        return self.figure.value / self.allowed[0]


@dataclass(frozen=True, slots=True)
class RoleText:
    name: str
    title: str
    mechanism: str
    named: str = ""  # what of it the letter names itself
    needs: tuple[Need, ...] = ()

    @property
    def missing(self) -> bool:
        return self.mechanism.startswith(MISSING)


@dataclass(frozen=True, slots=True)
class Sheet:
    letter: Letter
    roles: tuple[RoleText, ...]
    events: tuple[dict[str, Any], ...]
    figures: dict[tuple[str, str], Figure]  # by role and figure of the samples
    short: dict[tuple[str, str], int] = field(default_factory=dict)  # figures with too few sizes for a slope

    @property
    def needs(self) -> list[Need]:
        return [n for r in self.roles for n in r.needs]


def share(figure: str) -> bool:
    """Whether a figure is a part of a whole, by its name."""
    return figure.endswith(("_share", "_served")) or figure.startswith(SHARES)


def samples_of(document: dict[str, Any]) -> list[Sample]:
    """The samples of a file of the scale run. Raises SheetError."""
    if not isinstance(document, dict) or document.get("format") != 1:
        raise SheetError("samples: format 1 is wanted")
    try:
        found = [Sample(**s) for s in document["samples"]]
    except (KeyError, TypeError) as problem:
        raise SheetError(f"samples: {problem}") from None
    for k, s in enumerate(found):
        if not (type(s.size) is int and s.size > 0 and isinstance(s.value, int | float) and math.isfinite(s.value)):
            raise SheetError(f"samples[{k}]: {s.role}.{s.figure}: a size from 1 and a finite value")
    return found


def figures(samples: Iterable[Sample], letter: Letter) -> tuple[dict, dict]:
    """Each figure at the letter's size, and how many sizes those have that are too few."""
    groups: dict[tuple[str, str], list[Sample]] = {}
    for s in samples:
        groups.setdefault((s.role, s.figure), []).append(s)
    found: dict[tuple[str, str], Figure] = {}
    short: dict[tuple[str, str], int] = {}
    for key, of in groups.items():
        if len({(s.unit, s.by) for s in of}) > 1:
            raise SheetError(f"{'.'.join(key)}: samples in several units, or by several sizes")
        measures = units.base(1.0, of[0].unit)[1]
        try:
            made = fit((s.size, units.base(s.value, s.unit)[0]) for s in of)
        except FitError:
            short[key] = len({s.size for s in of})
            continue
        # Of what the letter gives no size of, the largest that was measured stands, and says so.
        target = letter.target(of[0].by) if of[0].by in BY else made.largest
        how = "/".join(dict.fromkeys(s.how for s in of))
        value = made.at(target)
        if share(key[1]) and target not in made.points:  # no form knows that there is no more than all
            value = min(1.0, value)
        found[key] = Figure(value, measures, target, of[0].by, made, how)
    return found, short


def load(samples: Iterable[Sample], letter: Letter, file: Path = FILE) -> Sheet:
    """Raises SheetError."""
    try:
        texts = tomllib.loads(file.read_text())
    except (OSError, tomllib.TOMLDecodeError) as problem:
        raise SheetError(f"{file}: {problem}") from None
    found, short = figures(samples, letter)
    roles = tuple(_role(t, found, letter) for t in texts["role"])
    return Sheet(letter, roles, tuple(texts["event"]), found, short)


def _role(text: dict[str, Any], found: dict, letter: Letter) -> RoleText:
    needs = tuple(_need(text["name"], n, found, letter) for n in text.pop("need", ()))
    return RoleText(**text, needs=needs)


def _need(role: str, text: dict[str, Any], found: dict, letter: Letter) -> Need:
    need = Need(role, **text)
    if need.column not in COLUMNS or need.sum not in SUMS:
        raise SheetError(f"{role}: {need.what}: column {need.column!r}, sum {need.sum!r}")
    allowed = letter.allowed(need.allowance) if need.allowance else None
    name, _, figure = need.sample.partition(".")
    each = whole = found.get((name, figure))
    if each is not None and need.times:
        times = letter.each_s(need.times)
        measures = units.each_second(each.measures)
        whole = Figure(each.value * times, measures, each.target, each.by, each.fit, each.how)
    if whole is not None and allowed is not None and whole.measures != allowed[1]:
        raise SheetError(f"{role}: {need.what}: {whole.measures} against an allowance of {allowed[1]}")
    return Need(
        role, need.what, need.sample, need.column, need.times, need.allowance, need.sum, need.path, whole, each,
        allowed,
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Sum:
    """What the needs of one column come to."""

    column: str
    value: float
    measures: str
    factor: float  # the largest extrapolation in it
    parts: tuple[Need, ...]
    absent: tuple[Need, ...]  # not measured: the sum is at least so much

    def __str__(self) -> str:
        least = "at least " if self.absent else ""
        return least + units.text(self.value, self.measures) + extrapolated(self.factor)


def total(needs: Iterable[Need], which: str, column: str) -> Sum | None:
    """None where nothing of it was measured."""
    mine = [n for n in needs if n.sum == which and n.column == column]
    parts = tuple(n for n in mine if n.figure is not None)
    if not parts:
        return None
    measures = {n.figure.measures for n in parts}
    if len(measures) > 1:
        raise SheetError(f"the sum of {column} for the {which} adds {' to '.join(sorted(measures))}")
    value, factor = sum(n.figure.value for n in parts), max(n.figure.factor for n in parts)
    return Sum(column, value, measures.pop(), factor, parts, tuple(n for n in mine if n.figure is None))
