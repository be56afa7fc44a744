"""The heaviest of many, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", 2005), with counts that are halved from time to time.

Names with equal counts stand together, so that every step is a few dictionary steps, whatever ``room`` is. Of
``total`` counted, any name with more than ``total / room`` is held, and a count is too high by its error at most.
"""

from __future__ import annotations

from heapq import nlargest


class TopUsers:
    """Counts of the heaviest names; ``room`` names at most."""

    def __init__(self, room: int) -> None:
        if room < 1:
            raise ValueError("room: one name at least")
        self.room, self.total = room, 0
        self.counts: dict[str, int] = {}
        self.errors: dict[str, int] = {}  # of names that took another's place: what that one had
        self.alike: dict[int, dict[str, None]] = {}  # names by count, oldest first
        self.least = 0

    def add(self, name: str) -> None:
        """Count a name once."""
        self.total += 1
        count = self.counts.get(name)
        if count is not None:
            self._leave(name, count)
        elif len(self.counts) < self.room:
            count = 0
            self.least = 1
        else:
            # The longest among the lightest goes: whoever comes next may be it again, and then it has lost
            # nothing but its place; its count passes on as the newcomer's error.
            count = self.least
            gone = next(iter(self.alike[count]))
            self._leave(gone, count)
            del self.counts[gone]
            self.errors.pop(gone, None)
            if count:
                self.errors[name] = count
        self.counts[name] = count + 1
        self.alike.setdefault(count + 1, {})[name] = None

    def _leave(self, name: str, count: int) -> None:
        group = self.alike[count]
        del group[name]
        if not group:
            del self.alike[count]
            if count == self.least:
                self.least = count + 1  # where the name, or the newcomer, goes

    def halve(self) -> None:
        """Forget half of everything; what is left of one is nothing."""
        counts = {n: c // 2 for n, c in self.counts.items() if c > 1}
        self.errors = {n: e // 2 for n, e in self.errors.items() if n in counts and e > 1}
        self.counts, self.alike, self.total = counts, {}, self.total // 2
        for name, count in counts.items():
            self.alike.setdefault(count, {})[name] = None
        self.least = min(self.alike, default=0)

    def top(self, count: int) -> list[tuple[str, int, int]]:
        """The heaviest: name, count, and by how much the count may be too high."""
        found = nlargest(count, self.counts.items(), key=lambda x: (x[1], x[0]))
        return [(name, n, self.errors.get(name, 0)) for name, n in found]
