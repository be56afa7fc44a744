"""What each partner used: exact counts since the start, and who is heaviest lately. No I/O, no clock.

The columns are arrays, so that 10,000 partners cost some 2 MB; names come from the settings and are bounded by
them. The recent list is a sketch (top_users.py), halved each minute: it is about the last few minutes.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from rushweir.ingress.commands import AnswerKind
from rushweir.watch.top_users import TopUsers

COLUMNS = ("served", "refused", "failed", "left")
COLUMN = {AnswerKind.SERVED: 0, AnswerKind.REFUSED: 1, AnswerKind.FAILED: 2, "left": 3}
SKETCH = 1024  # names
HALVE_MS = 60_000.0
MOST_PAGE = 500
FEW = 64  # changes of names that are put into their order one by one; after more it is sorted when it is looked at


class Usage:
    """Counts by partner."""

    def __init__(self, partners: Iterable[tuple[str, str]] = (), now: float = 0.0) -> None:
        self.index: dict[str, int] = {}
        self.plans: list[str] = []
        self.columns = [array("Q") for _ in COLUMNS]
        self.units = array("d")
        self.top_users, self.halved = TopUsers(SKETCH), now
        self.order: list[str] | None = []  # names by their letters, case aside; None: to be sorted when needed
        self.free: list[int] = []
        self.source: object = None  # whose changes are told one by one: it need not be walked through again
        self.know(partners)

    def know(self, partners: Iterable[tuple[str, str]]) -> None:
        """The partners by name and plan that the settings hold now. Counts stay; of those that are gone they go."""
        if partners is self.source:
            return
        self.source = partners
        told = dict(partners)
        self.change(told, [name for name in self.index if name not in told])

    def change(self, told: Mapping[str, str], gone: Iterable[str]) -> None:
        """Partners with their plans, new or not, and some that are no more."""
        gone = [name for name in gone if name in self.index]
        new = [name for name in told if name not in self.index]
        if self.order is not None and len(gone) + len(new) > FEW:
            self.order = None
        for name in gone:
            k = self.index.pop(name)
            self.free.append(k)
            self.plans[k], self.units[k] = "", 0.0
            for column in self.columns:
                column[k] = 0
            if self.order is not None:
                at = bisect_left(self.order, name.casefold(), key=str.casefold)
                del self.order[self.order.index(name, at)]
        for name, plan in told.items():
            k = self.index.get(name)
            if k is not None:
                self.plans[k] = plan
                continue
            if self.free:
                k = self.free.pop()
                self.plans[k] = plan
            else:
                k = len(self.plans)
                self.plans.append(plan)
                self.units.append(0.0)
                for column in self.columns:
                    column.append(0)
            self.index[name] = k
            if self.order is not None:
                insort(self.order, name, key=str.casefold)

    @property
    def sorted(self) -> list[str]:
        if self.order is None:
            self.order = sorted(self.index, key=str.casefold)
        return self.order

    def count(self, now: float, partner: str, kind: str, units: float) -> None:
        """One request came to its end."""
        k = self.index.get(partner)
        if k is not None:
            self.columns[COLUMN[kind]][k] += 1
            if kind == AnswerKind.SERVED:
                self.units[k] += units
        self.top_users.add(partner)
        if now - self.halved >= HALVE_MS:
            self.halved = now
            self.top_users.halve()

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
        for name, n, error in self.top_users.top(count):
            if name in self.index:
                yield {**self.row(name), "lately": n, "lately_error": error}
