"""The usage of each partner: exact counts since the start, and the top users of the last minutes. No I/O, no clock.

The counts are arrays by column, so that 10,000 partners take about 2 MB. They are bounded by the partners of the
settings. The top users are a sketch (top_users.py) that is halved each minute, so it covers the last few minutes.
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
TOP_USERS_CAPACITY = 1024  # names
HALVE_MS = 60_000.0
MAX_PAGE_ROWS = 500
MAX_SORTED_CHANGES = 64  # changes of names that are inserted in order; after more, all are sorted when needed


class Usage:
    """Counts by partner."""

    def __init__(self, partners: Iterable[tuple[str, str]] = (), now: float = 0.0) -> None:
        """``partners``: name and plan of each."""
        self.index: dict[str, int] = {}  # the row of each partner
        self.plans: list[str] = []
        self.columns = [array("Q") for _ in COLUMNS]
        self.units = array("d")
        self.top_users, self.halved_at = TopUsers(TOP_USERS_CAPACITY), now
        self.order: list[str] | None = []  # names sorted without regard to case; None: not sorted
        self.free_rows: list[int] = []
        self.source: object = None  # the partners last set, if later changes of them come through ``change``
        self.set_partners(partners)

    def set_partners(self, partners: Iterable[tuple[str, str]]) -> None:
        """Replace the partners by those of the settings, by name and plan. Partners in both keep their counts."""
        if partners is self.source:
            return
        self.source = partners
        plans = dict(partners)
        self.change(plans, [name for name in self.index if name not in plans])

    def change(self, plans: Mapping[str, str], removed: Iterable[str]) -> None:
        """Add or update partners, by name and plan, and remove others."""
        removed = [name for name in removed if name in self.index]
        added = [name for name in plans if name not in self.index]
        if self.order is not None and len(removed) + len(added) > MAX_SORTED_CHANGES:
            self.order = None
        for name in removed:
            row = self.index.pop(name)
            self.free_rows.append(row)
            self.plans[row], self.units[row] = "", 0.0
            for column in self.columns:
                column[row] = 0
            if self.order is not None:
                at = bisect_left(self.order, name.casefold(), key=str.casefold)
                del self.order[self.order.index(name, at)]
        for name, plan in plans.items():
            row = self.index.get(name)
            if row is not None:
                self.plans[row] = plan
                continue
            if self.free_rows:
                row = self.free_rows.pop()
                self.plans[row] = plan
            else:
                row = len(self.plans)
                self.plans.append(plan)
                self.units.append(0.0)
                for column in self.columns:
                    column.append(0)
            self.index[name] = row
            if self.order is not None:
                insort(self.order, name, key=str.casefold)

    @property
    def sorted(self) -> list[str]:
        """All names, sorted without regard to case."""
        if self.order is None:
            self.order = sorted(self.index, key=str.casefold)
        return self.order

    def count(self, now: float, partner: str, kind: str, units: float) -> None:
        """Count a request that has ended."""
        row = self.index.get(partner)
        if row is not None:
            self.columns[COLUMN[kind]][row] += 1
            if kind == AnswerKind.SERVED:
                self.units[row] += units
        self.top_users.add(partner)
        if now - self.halved_at >= HALVE_MS:
            self.halved_at = now
            self.top_users.halve()

    def row(self, name: str) -> dict[str, Any]:
        """The counts of one partner."""
        row = self.index[name]
        return {
            "name": name, "plan": self.plans[row], "units": self.units[row],
            **{c: column[row] for c, column in zip(COLUMNS, self.columns, strict=True)},
        }  # fmt: skip

    def page(self, search: str = "", first: int = 0, count: int = 50) -> tuple[int, list[dict[str, Any]]]:
        """The number of partners whose name has a text in it, and the rows of one page of them. Case is ignored."""
        wanted = search.casefold()
        found = [n for n in self.sorted if wanted in n.casefold()] if wanted else self.sorted
        first = max(0, first)
        return len(found), [self.row(n) for n in found[first : first + min(max(1, count), MAX_PAGE_ROWS)]]

    def lately(self, count: int = 10) -> Iterator[dict[str, Any]]:
        """Rows of the top users of the last minutes, with their recent count and its error."""
        for name, n, error in self.top_users.top(count):
            if name in self.index:
                yield {**self.row(name), "lately": n, "lately_error": error}
