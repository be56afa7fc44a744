"""How a figure grows with a size: the log-log exponent, and the best of three forms.

A line ``a + b n``, a power ``c n**e`` and a limit ``a + b / n`` are fitted by least squares of what they are off
relatively; the one that is off by least holds. Each has two parameters, so none is favoured. A form that falls below
zero at the size asked for is no answer there: then the next best holds. A size that was measured is answered by its
median, not by a fit.

Processors round differently in the last digits, so nothing here may hang on them: forms that are off by the same
within ``TOLERANCE`` go by ``FORM_ORDER``, and what is only rounding noise is taken as zero.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, replace

import numpy as np

from rushweir.lab.capacity.units import without_noise

LEAST_SIZES = 4
# Relative; residuals are relative themselves, so it is their absolute floor too. Rounding leaves some 1e-15 to 1e-12
# in a fit, and the page prints three digits: this lies well between the two.
TOLERANCE = 1e-9
FORM_ORDER = ("line", "power", "limit")  # of forms that are equally good: the simplest first


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
        return _sum(self.first, self.second * (size if self.name == "line" else 1 / size))

    def __str__(self) -> str:
        first, second = without_noise(self.first), without_noise(self.second)
        if self.name == "power":
            return f"{first:z.3g} n^{second:z.2f}"
        sign = "-" if second < 0 else "+"
        return f"{first:z.3g} {sign} {abs(second):.3g} {'n' if self.name == 'line' else '/ n'}"


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
    forms = [_judged(_without_small_parameters(f, sizes, weights), sizes, values, weights) for f in forms]
    return Fit(medians, ranked(forms))


def ranked(forms: Iterable[Form]) -> tuple[Form, ...]:
    """Best first; of those that are as good as the best that is left, the first by FORM_ORDER.

    Each is compared with the best alone: "equal within a tolerance" is not transitive, so it cannot be a sort key.
    """
    left = sorted(forms, key=lambda f: FORM_ORDER.index(f.name))
    found = []
    while left:
        least = min(f.residual for f in left)
        best = next(f for f in left if math.isclose(f.residual, least, rel_tol=TOLERANCE, abs_tol=TOLERANCE))
        left.remove(best)
        found.append(best)
    return tuple(found)


def _sum(a: float, b: float) -> float:
    """a + b, and zero where they cancel each other but for rounding noise."""
    return 0.0 if abs(a + b) <= TOLERANCE * max(abs(a), abs(b)) else a + b


def _without_small_parameters(form: Form, sizes: np.ndarray, weights: np.ndarray) -> Form:
    """The form with zero for each parameter that adds less than the tolerance to the value at every size measured."""
    if form.name == "power":
        change = abs(form.second) * math.log(sizes[-1] / sizes[0])
        return replace(form, second=0.0) if change <= TOLERANCE else form
    over = sizes if form.name == "line" else 1 / sizes
    first = 0.0 if (abs(form.first) * weights).max() <= TOLERANCE else form.first
    second = 0.0 if (abs(form.second) * over * weights).max() <= TOLERANCE else form.second
    return replace(form, first=first, second=second)


def _judged(form: Form, sizes: np.ndarray, values: np.ndarray, weights: np.ndarray) -> Form:
    off = (np.array([form.at(n) for n in sizes]) - values) * weights
    return replace(form, residual=float(np.sqrt((off**2).mean())))
