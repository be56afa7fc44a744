"""How a figure grows with a size: the log-log exponent, and the better of two forms.

A line ``a + b n`` and a power ``c n**e`` are fitted by least squares of what they are off relatively; the one that is
off by less holds. Both have two parameters, so neither is favoured. A line that falls below zero at the size asked
for is no answer there: then the power holds. A size that was measured is answered by its median, not by a fit.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

LEAST_SIZES = 4


class FitError(ValueError):
    """Points that no slope can rest on."""


@dataclass(frozen=True, slots=True)
class Form:
    """A line or a power, with its two parameters and by how much it is off: root of the mean square, relatively."""

    name: str  # line, power
    first: float
    second: float
    residual: float

    def at(self, size: float) -> float:
        return self.first + self.second * size if self.name == "line" else self.first * size**self.second

    def __str__(self) -> str:
        if self.name == "line":
            return f"{self.first:.3g} + {self.second:.3g} n"
        return f"{self.first:.3g} n^{self.second:.2f}"


@dataclass(frozen=True, slots=True)
class Fit:
    """What is known of one figure by size. ``power`` is None where a value is zero or below."""

    points: dict[int, float]  # medians by size, smallest size first
    line: Form
    power: Form | None

    @property
    def sizes(self) -> tuple[int, ...]:
        return tuple(self.points)

    @property
    def largest(self) -> int:
        return self.sizes[-1]

    @property
    def exponent(self) -> float | None:
        return self.power.second if self.power is not None else None

    def form(self, size: float) -> Form:
        """The form that holds at a size."""
        if self.power is not None and (self.line.at(size) < 0 or self.power.residual < self.line.residual):
            return self.power
        return self.line

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
    slope, start = np.polyfit(sizes, values, 1, w=weights)
    line = _judged("line", float(start), float(slope), sizes, values, weights)
    power = None
    if (values > 0).all():
        exponent, log = np.polyfit(np.log(sizes), np.log(values), 1)
        power = _judged("power", float(np.exp(log)), float(exponent), sizes, values, weights)
    return Fit(medians, line, power)


def _judged(
    name: str, first: float, second: float, sizes: np.ndarray, values: np.ndarray, weights: np.ndarray
) -> Form:
    form = Form(name, first, second, 0.0)
    off = (np.array([form.at(n) for n in sizes]) - values) * weights
    return Form(name, first, second, float(np.sqrt((off**2).mean())))
