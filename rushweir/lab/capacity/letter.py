"""The size that is to be carried and what may be spent for it, from ``letter.toml``. Raises LetterError."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rushweir.lab.capacity.units import UnitError, base

FILE = Path(__file__).with_name("letter.toml")
DAY_S = 86_400.0
LIST_CHANGES = 3  # of a backend that restarts: draining, gone, ready
# What samples count as sizes, and which size of the letter that is.
BY = {
    "ingresses": "ingresses", "backends": "backends", "partners": "tenants", "tenants": "tenants",
    "routes": "routes", "doors of a tenant": "ingresses", "requests a second of each": "requests_each",
}  # fmt: skip


class LetterError(ValueError):
    """Something that the letter does not name, or not so."""


@dataclass(frozen=True, slots=True)
class Letter:
    size: dict[str, float]
    events: dict[str, float]
    allowance: dict[str, tuple[float, str]]  # in base units, and what is measured

    def target(self, by: str) -> float:
        """The size at which a figure is wanted, by what its samples count."""
        if by not in BY:
            raise LetterError(f"samples by {by!r}: the letter names no such size")
        if BY[by] == "requests_each":
            return self.each_s("requests")
        return self.size[BY[by]]

    def each_s(self, what: str | float) -> float:
        """How often a second something comes: a number stands for itself."""
        if isinstance(what, int | float):
            return float(what)
        if what == "requests":  # of one ingress
            return self.size["requests_per_s"] / self.size["ingresses"]
        if what == "list_changes":  # as if each machine that fails or restarts were a backend
            return LIST_CHANGES * (self.events["failures_per_day"] + self.events["restarts_per_day"]) / DAY_S
        if (found := self.events.get(f"{what}_per_day")) is None:
            raise LetterError(f"{what!r}: the letter does not say how often that is")
        return found / DAY_S

    def allowed(self, name: str) -> tuple[float, str]:
        if name not in self.allowance:
            raise LetterError(f"allowance {name!r}: the letter has {', '.join(self.allowance)}")
        return self.allowance[name]


def load(file: Path = FILE) -> Letter:
    try:
        found: dict[str, Any] = tomllib.loads(file.read_text())
        allowance = {k: base(float(v), unit) for k, (v, unit) in found["allowance"].items()}
        size = {k: float(v) for k, v in found["size"].items()}
        events = {k: float(v) for k, v in found["events"].items()}
    except (OSError, KeyError, TypeError, ValueError, UnitError) as problem:
        raise LetterError(f"{file}: {problem!r}") from None
    if missing := {*BY.values(), "requests_per_s"} - {"requests_each"} - size.keys():
        raise LetterError(f"{file}: size: {', '.join(sorted(missing))} is missing")
    return Letter(size, events, allowance)
