"""The names with the highest counts, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient
Computation of Frequent and Top-k Elements in Data Streams", 2005), with counts that are halved from time to time.

Names with equal counts are grouped, so that each operation takes a few dictionary operations, whatever the capacity.
Of ``total`` counted, each name with more than ``total / capacity`` is present; a count is too high by its error at
most.
"""

from __future__ import annotations

from heapq import nlargest


class TopUsers:
    """Counts of the most frequent names, ``capacity`` at most."""

    def __init__(self, capacity: int) -> None:
        """Raises ValueError if there is no capacity for a name."""
        if capacity < 1:
            raise ValueError("no room for a name: the capacity is below 1")
        self.capacity, self.total = capacity, 0
        self.counts: dict[str, int] = {}
        self.errors: dict[str, int] = {}  # of names that replaced another: the count of that one
        self.names_by_count: dict[int, dict[str, None]] = {}  # oldest first
        self.min_count = 0

    def add(self, name: str) -> None:
        """Count a name once."""
        self.total += 1
        count = self.counts.get(name)
        if count is not None:
            self._remove_from_group(name, count)
        elif len(self.counts) < self.capacity:
            count = 0
            self.min_count = 1
        else:
            # The oldest name with the lowest count is replaced. Its count becomes the error of the new name, which
            # may have been replaced before.
            count = self.min_count
            replaced = next(iter(self.names_by_count[count]))
            self._remove_from_group(replaced, count)
            del self.counts[replaced]
            self.errors.pop(replaced, None)
            if count:
                self.errors[name] = count
        self.counts[name] = count + 1
        self.names_by_count.setdefault(count + 1, {})[name] = None

    def _remove_from_group(self, name: str, count: int) -> None:
        group = self.names_by_count[count]
        del group[name]
        if not group:
            del self.names_by_count[count]
            if count == self.min_count:
                self.min_count = count + 1  # the group that ``add`` puts a name into next

    def halve(self) -> None:
        """Halve all counts and errors; names with a count of one are dropped."""
        counts = {n: c // 2 for n, c in self.counts.items() if c > 1}
        self.errors = {n: e // 2 for n, e in self.errors.items() if n in counts and e > 1}
        self.counts, self.names_by_count, self.total = counts, {}, self.total // 2
        for name, count in counts.items():
            self.names_by_count.setdefault(count, {})[name] = None
        self.min_count = min(self.names_by_count, default=0)

    def top(self, count: int) -> list[tuple[str, int, int]]:
        """The names with the highest counts: name, count, and by how much the count may be too high."""
        found = nlargest(count, self.counts.items(), key=lambda x: (x[1], x[0]))
        return [(name, n, self.errors.get(name, 0)) for name, n in found]
