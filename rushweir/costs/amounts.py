"""Amounts: integer thousandths of a unit, from parsing to the ledger. No I/O.

Sums of floats depend on their order, so two ledgers with the same entries could differ; sums of integers do not.
Only the policy calculates in floats: ``to_units`` converts an amount, and its rounding error is that of one division,
at most 2**-53 of the amount.
"""

from __future__ import annotations

import re

THOUSANDTHS_PER_UNIT = 1_000
MAX_AMOUNT = 10**12  # thousandths, of one request or answer: 10**9 units; more is a fault of the sender


class Amount(int):
    """Thousandths of a unit in the settings; a separate type, so that they are written as they were read."""


def parse(text: str) -> int:
    """The amount in thousandths of text such as ``2``, ``0.25`` or ``1.005``.

    Raises ValueError, also for more than three decimals, since a rounded price would not be the price that was set.
    """
    found = re.fullmatch(r"(\d{1,9})(?:\.(\d{1,3}))?", text)
    if found is None:
        raise ValueError("an amount such as 2 or 0.25, with three decimals at most")
    return int(found[1]) * THOUSANDTHS_PER_UNIT + int((found[2] or "").ljust(3, "0"))


def to_text(amount: int) -> str:
    """An amount as text that ``parse`` accepts, with a sign if it is negative."""
    units, thousandths = divmod(abs(amount), THOUSANDTHS_PER_UNIT)
    sign = "-" if amount < 0 else ""
    return f"{sign}{units}" + (f".{thousandths:03d}".rstrip("0") if thousandths else "")


def to_units(amount: int) -> float:
    """An amount in units, as the policy takes it."""
    return amount / THOUSANDTHS_PER_UNIT


def actual_cost(value: object) -> int | None:
    """The amount in thousandths that a node reports in its answer.

    None if the value is not a number, not finite, negative, or more than ``MAX_AMOUNT``. Floats are rounded to the
    nearest thousandth, halves up; the error is at most half a thousandth and the float's own 2**-53.
    """
    if type(value) is int:
        return value * THOUSANDTHS_PER_UNIT if 0 <= value <= MAX_AMOUNT // THOUSANDTHS_PER_UNIT else None
    if type(value) is float and 0 <= value <= MAX_AMOUNT / THOUSANDTHS_PER_UNIT:  # false for NaN too
        return int(value * THOUSANDTHS_PER_UNIT + 0.5)
    return None
