"""How a figure grows with a size: the log-log exponent, and the best of three forms.

A line ``a + b n``, a power ``c n**e`` and a limit ``a + b / n`` are fitted by least squares of what they are off
relatively; the one that is off by least holds. Each has two parameters, so none is favoured. A form that falls below
zero at the size asked for is no answer there: then the next best holds. A size that was measured is answered by its
median, not by a fit.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, replace

import numpy as np

LEAST_SIZES = 4


class FitError(ValueError):
    """Points that no slope can rest on."""


@dataclass(frozen=True, slots=True)
class Form:
    """One of the three, with its two parameters and by how much it is off: root of the mean square, relatively."""

    name: str  # line, power, limit
    first: float
    second: float
    residual: float = 0.0

    def at(self, size: float) -> float:
        if self.name == "power":
            return self.first * size**self.second
        return self.first + self.second * (size if self.name == "line" else 1 / size)

    def __str__(self) -> str:
        if self.name == "power":
            return f"{self.first:.3g} n^{self.second:.2f}"
        sign = "-" if self.second < 0 else "+"
        return f"{self.first:.3g} {sign} {abs(self.second):.3g} {'n' if self.name == 'line' else '/ n'}"


@dataclass(frozen=True, slots=True)
class Fit:
    """What is known of one figure by size."""

    points: dict[int, float]  # medians by size, smallest size first
    forms: tuple[Form, ...]  # best first; no power where a value is zero or below

    @property
    def sizes(self) -> tuple[int, ...]:
        return tuple(self.points)

    @property
    def largest(self) -> int:
        return self.sizes[-1]

    @property
    def exponent(self) -> float | None:
        """Of the power; None where there is none."""
        return next((f.second for f in self.forms if f.name == "power"), None)

    def form(self, size: float) -> Form:
        """The form that holds at a size."""
        return next((f for f in self.forms if f.at(size) >= 0), self.forms[0])

    def at(self, size: float) -> float:
        if size in self.points:
            return self.points[int(size)]
        return max(0.0, self.form(size).at(size))

    def factor(self, size: float) -> float:
        """How far beyond what was measured a size is; 1 or less: not at all."""
        return size / self.largest


def fit(points: Iterable[tuple[int, float]]) -> Fit:
    """Raises FitError with fewer than four sizes."""
    found: dict[int, list[float]] = {}
    for size, value in points:
        found.setdefault(size, []).append(value)
    medians = {size: statistics.median(values) for size, values in sorted(found.items())}
    if len(medians) < LEAST_SIZES:
        raise FitError(f"a slope needs {LEAST_SIZES} sizes, and there are {len(medians)}")
    sizes, values = np.array(list(medians), float), np.array(list(medians.values()), float)
    # Relative errors count: else the largest size alone would make the line. Zeros have none.
    weights = 1 / np.where(values == 0, max(np.abs(values).mean(), 1e-12), np.abs(values))
    forms = []
    for name, over in (("line", sizes), ("limit", 1 / sizes)):
        second, first = np.polyfit(over, values, 1, w=weights)
        forms.append(Form(name, float(first), float(second)))
    if (values > 0).all():
        exponent, log = np.polyfit(np.log(sizes), np.log(values), 1)
        forms.append(Form("power", float(np.exp(log)), float(exponent)))
    return Fit(medians, tuple(sorted((_judged(f, sizes, values, weights) for f in forms), key=lambda f: f.residual)))


def _judged(form: Form, sizes: np.ndarray, values: np.ndarray, weights: np.ndarray) -> Form:
    off = (np.array([form.at(n) for n in sizes]) - values) * weights
    return replace(form, residual=float(np.sqrt((off**2).mean())))
