"""A process's view of the budgets that it shares for operators, as plain rows. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, UNIT


def rows(budgets: Budgets, now: float) -> Iterator[dict[str, Any]]:
    """Yields each budget known here, in units and units a second; the keys are part of the operators' interface."""
    for key, held in budgets.held_leases.items():
        minimum, lease = budgets.minimum_share(key, held.total), held.share if now < held.expires_at else NO_SHARE
        yield {
            "name": held.name, "rate": held.total.rate / UNIT,
            "floor": minimum.rate / UNIT, "lent": lease.rate / UNIT,
            "demand": round(held.demand.per_s(now) / UNIT, 2),
            "home": budgets.owner_of(key, held.total) == budgets.fleet.me,
        }  # fmt: skip
