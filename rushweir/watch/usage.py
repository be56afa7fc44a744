"""What each partner used: exact counts since the start, and who is heaviest lately. No I/O, no clock.

The columns are arrays, so that 10,000 partners cost some 2 MB; names come from the settings and are bounded by
them. The recent list is a sketch (heaviest.py), halved each minute: it is about the last few minutes.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator
from typing import Any

from rushweir.ingress.commands import Kind
from rushweir.watch.heaviest import Heaviest

COLUMNS = ("served", "refused", "failed", "left")
COLUMN = {Kind.SERVED: 0, Kind.REFUSED: 1, Kind.FAILED: 2, "left": 3}
SKETCH = 1024  # names
HALVE_MS = 60_000.0
MOST_PAGE = 500


class Usage:
    """Counts by partner."""

    def __init__(self, partners: Iterable[tuple[str, str]] = (), now: float = 0.0) -> None:
        self.index: dict[str, int] = {}
        self.plans: list[str] = []
        self.columns = [array("Q") for _ in COLUMNS]
        self.units = array("d")
        self.heaviest, self.halved = Heaviest(SKETCH), now
        self.sorted: list[str] = []
        self.know(partners)

    def know(self, partners: Iterable[tuple[str, str]]) -> None:
        """The partners by name and plan that the settings hold now. Counts stay; of those that are gone they go."""
        old = self.index, self.columns, self.units
        partners = list(partners)
        self.index = {name: k for k, (name, _) in enumerate(partners)}
        self.plans = [plan for _, plan in partners]
        self.columns = [array("Q", bytes(8 * len(partners))) for _ in COLUMNS]
        self.units = array("d", bytes(8 * len(partners)))
        for name, k in self.index.items():
            if (was := old[0].get(name)) is not None:
                for new, column in zip(self.columns, old[1], strict=True):
                    new[k] = column[was]
                self.units[k] = old[2][was]
        self.sorted = sorted(self.index, key=str.casefold)

    def count(self, now: float, partner: str, kind: str, units: float) -> None:
        """One request came to its end."""
        k = self.index.get(partner)
        if k is not None:
            self.columns[COLUMN[kind]][k] += 1
            if kind == Kind.SERVED:
                self.units[k] += units
        self.heaviest.add(partner)
        if now - self.halved >= HALVE_MS:
            self.halved = now
            self.heaviest.halve()

    def row(self, name: str) -> dict[str, Any]:
        k = self.index[name]
        return {
            "name": name, "plan": self.plans[k], "units": self.units[k],
            **{c: column[k] for c, column in zip(COLUMNS, self.columns, strict=True)},
        }  # fmt: skip

    def page(self, search: str = "", first: int = 0, count: int = 50) -> tuple[int, list[dict[str, Any]]]:
        """How many partners match, and the rows of one page of them, by name; letters' case plays no part."""
        wanted = search.casefold()
        found = [n for n in self.sorted if wanted in n.casefold()] if wanted else self.sorted
        first = max(0, first)
        return len(found), [self.row(n) for n in found[first : first + min(max(1, count), MOST_PAGE)]]

    def lately(self, count: int = 10) -> Iterator[dict[str, Any]]:
        """The heaviest lately, as the sketch has them."""
        for name, n, error in self.heaviest.top(count):
            if name in self.index:
                yield {**self.row(name), "lately": n, "lately_error": error}
