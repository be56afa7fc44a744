"""How a total is divided: max-min fair by demand and weight, in whole thousandths, and the minimum share of each
slot.

Pure functions. What they return adds up to the total exactly, or to less where nobody can use it.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from zlib import crc32

CHANGE_TOLERANCE = 0.1  # of an amount: as long as none would change by more, all stay as they are


def allocate(total: int, demands: Mapping[int, int], weights: Mapping[int, int] | None = None) -> dict[int, int]:
    """Returns an amount for each key, ``total`` at most together.

    A key with little demand gets its demand; the rest is shared by weight among the keys that demand more. What is
    left when all demands are met is shared as well, so that a growing demand finds capacity. Remainders go to the
    first keys in order."""
    keys = sorted(key for key, demand in demands.items() if demand > 0)
    amounts = dict.fromkeys(demands, 0)
    left, unmet = total, keys
    while unmet and left > 0:
        weight_sum = sum(_weight(weights, key) for key in unmet)
        met = [key for key in unmet if demands[key] * weight_sum <= left * _weight(weights, key)]
        if not met:
            break
        for key in met:
            amounts[key] = demands[key]
            left -= demands[key]
        unmet = [key for key in unmet if key not in met]
    receivers = unmet or keys
    for key, share in zip(
        receivers, split_by_weight(left, [_weight(weights, key) for key in receivers]), strict=True
    ):
        amounts[key] += share
    return amounts


def split_by_weight(total: int, weights: list[int]) -> list[int]:
    """Returns a total split by weights, exactly; remainders go to the first ones."""
    weight_sum = sum(weights)
    if not weight_sum or total <= 0:
        return [0] * len(weights)
    shares = [total * w // weight_sum for w in weights]
    for k in range(total - sum(shares)):
        shares[k % len(shares)] += 1
    return shares


def is_settled(new: Mapping[int, int], current: Mapping[int, int]) -> bool:
    """Whether a new allocation is so close to the one in use that nothing needs to change."""
    if new.keys() != current.keys():
        return False
    return all(abs(new[k] - current[k]) <= CHANGE_TOLERANCE * max(new[k], current[k]) for k in new)


@lru_cache(maxsize=16_384)  # constant for each budget and position, and needed by each lease request
def minimum_amount(budget: int, position: int, positions: int, amount: int, unit: int = 1) -> int:
    """Returns what a position owns of an amount that all positions share, in whole ``unit``s, since less than a unit
    is of no use. Remaining units go one each to some positions, which differ by budget."""
    units = amount // unit
    each, rest = divmod(units, positions)
    rank = sum(_order(budget, other) < _order(budget, position) for other in range(positions)) if rest else 0
    return (each + (rank < rest)) * unit


def _order(budget: int, position: int) -> tuple[int, int]:
    return crc32(b"%d %d" % (budget, position)), position


def _weight(weights: Mapping[int, int] | None, key: int) -> int:
    return weights.get(key, 1) if weights is not None else 1
