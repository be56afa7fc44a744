"""Amounts: whole thousandths of a unit, from parsing to the ledger. No I/O.

Sums of floats depend on their order, and two ledgers that hold the same entries would differ; whole numbers do not.
Only the decision module counts in floats: ``to_units`` is where an amount crosses over, and its rounding is that of
one division, at most 2**-53 of the amount.
"""

from __future__ import annotations

import re

THOUSANDTHS_PER_UNIT = 1_000
MAX_AMOUNT = 10**12  # of one request or answer: a thousand million units; what is more is a fault of its sender


class Amount(int):
    """Thousandths of a unit that stand in settings; a type of its own so that they are written as they were read."""


def parse(text: str) -> int:
    """An amount of ``2``, ``0.25``, ``1.005``. Raises ValueError; more than three decimals are an error, since a
    rounded price is not the price that was written."""
    found = re.fullmatch(r"(\d{1,9})(?:\.(\d{1,3}))?", text)
    if found is None:
        raise ValueError("an amount such as 2 or 0.25, with three decimals at most")
    return int(found[1]) * THOUSANDTHS_PER_UNIT + int((found[2] or "").ljust(3, "0"))


def to_text(amount: int) -> str:
    """An amount as ``parse`` takes it."""
    whole, rest = divmod(abs(amount), THOUSANDTHS_PER_UNIT)
    sign = "-" if amount < 0 else ""
    return f"{sign}{whole}" + (f".{rest:03d}".rstrip("0") if rest else "")


def to_units(amount: int) -> float:
    """An amount for the module."""
    return amount / THOUSANDTHS_PER_UNIT


def actual_cost(value: object) -> int | None:
    """The amount that an answer names, or None where it names none that can be: no number, not finite, negative,
    or more than ``MAX_AMOUNT``. Rounded to the nearest thousandth, halves up; of a float that is off by half a
    thousandth and its own 2**-53 at most."""
    if type(value) is int:
        return value * THOUSANDTHS_PER_UNIT if 0 <= value <= MAX_AMOUNT // THOUSANDTHS_PER_UNIT else None
    if type(value) is float and 0 <= value <= MAX_AMOUNT / THOUSANDTHS_PER_UNIT:  # not for NaN either
        return int(value * THOUSANDTHS_PER_UNIT + 0.5)
    return None
