"""How many bytes each of many holders has, and all of them together. No I/O."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)


class ByteTotals(Generic[Holder]):
    """The bytes of each holder that has any, and their sum."""

    __slots__ = ("by_holder", "total")

    def __init__(self) -> None:
        self.by_holder: dict[Holder, int] = {}
        self.total = 0

    def set(self, holder: Holder, size: int) -> None:
        """Records how many bytes a holder has now."""
        before = self.by_holder.pop(holder, 0)
        if size:
            self.by_holder[holder] = size
        self.total += size - before

    def largest(self) -> Holder | None:
        """Returns the holder with the most bytes, or None if there is none."""
        return max(self.by_holder, key=self.by_holder.__getitem__, default=None)
