"""How one process sees the budgets that it shares, for operators: plain rows. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NOTHING, UNIT


def rows(budgets: Budgets, now: float) -> Iterator[dict[str, Any]]:
    """Each budget that is known here; units and units a second."""
    for key, h in budgets.held.items():
        floor, lease = budgets.floor(key, h.whole), h.lease if now < h.until else NOTHING
        yield {
            "name": h.name, "rate": h.whole.rate / UNIT, "floor": floor.rate / UNIT, "lent": lease.rate / UNIT,
            "demand": round(h.demand.per_s(now) / UNIT, 2),
            "home": budgets.home_of(key, h.whole) == budgets.fleet.me,
        }  # fmt: skip
