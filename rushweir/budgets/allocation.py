"""How a whole is divided: max-min fair by demand and weight, in whole thousandths, and who owns which floor.

Pure functions. What they give adds up to the whole exactly, or to less where nobody can use it.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from zlib import crc32

CHANGE_TOLERANCE = 0.1  # of a part: as long as none would change by more, all stay as they are


def allocate(whole: int, demands: Mapping[int, int], weights: Mapping[int, int] | None = None) -> dict[int, int]:
    """A part for each key, none above ``whole`` together. Who demands little gets that; the rest is shared by weight
    among those who demand more, and what is left when all have enough as well, so that a demand that grows finds
    room. Remainders go to the first keys by order."""
    keys = sorted(k for k, d in demands.items() if d > 0)
    parts = dict.fromkeys(demands, 0)
    left, hungry = whole, keys
    while hungry and left > 0:
        sum_ = sum(_weight(weights, k) for k in hungry)
        full = [k for k in hungry if demands[k] * sum_ <= left * _weight(weights, k)]
        if not full:
            break
        for k in full:
            parts[k] = demands[k]
            left -= demands[k]
        hungry = [k for k in hungry if k not in full]
    sharing = hungry or keys
    for k, share in zip(sharing, split_by_weight(left, [_weight(weights, k) for k in sharing]), strict=True):
        parts[k] += share
    return parts


def split_by_weight(whole: int, weights: list[int]) -> list[int]:
    """A whole by weights, exactly; remainders to the first ones."""
    sum_ = sum(weights)
    if not sum_ or whole <= 0:
        return [0] * len(weights)
    shares = [whole * w // sum_ for w in weights]
    for k in range(whole - sum(shares)):
        shares[k % len(shares)] += 1
    return shares


def is_settled(new: Mapping[int, int], held: Mapping[int, int]) -> bool:
    """Whether a new division is so near to what is held that nothing needs to move."""
    if new.keys() != held.keys():
        return False
    return all(abs(new[k] - held[k]) <= CHANGE_TOLERANCE * max(new[k], held[k]) for k in new)


@lru_cache(maxsize=16_384)  # of each budget and number the same, and asked for at each question
def minimum_amount(budget: int, number: int, numbers: int, whole: int, unit: int = 1) -> int:
    """What a number owns of a floor that all numbers share: whole ``unit``s, since less than a unit serves nobody.
    What is left over goes, a unit each, to some numbers that differ by budget."""
    units = whole // unit
    each, over = divmod(units, numbers)
    rank = sum(_order(budget, n) < _order(budget, number) for n in range(numbers)) if over else 0
    return (each + (rank < over)) * unit


def _order(budget: int, number: int) -> tuple[int, int]:
    return crc32(b"%d %d" % (budget, number)), number


def _weight(weights: Mapping[int, int] | None, key: int) -> int:
    return weights.get(key, 1) if weights is not None else 1
