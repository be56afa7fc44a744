"""How one process sees the budgets that it shares, for operators: plain rows. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rushweir.budgets.core import Budgets
from rushweir.budgets.records import NO_SHARE, UNIT


def rows(budgets: Budgets, now: float) -> Iterator[dict[str, Any]]:
    """Each budget that is known here; units and units a second."""
    for key, h in budgets.held_leases.items():
        floor, lease = budgets.minimum_share(key, h.total), h.share if now < h.expires_at else NO_SHARE
        yield {
            "name": h.name, "rate": h.total.rate / UNIT, "floor": floor.rate / UNIT, "lent": lease.rate / UNIT,
            "demand": round(h.demand.per_s(now) / UNIT, 2),
            "home": budgets.owner_of(key, h.total) == budgets.fleet.me,
        }  # fmt: skip
