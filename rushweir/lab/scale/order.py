"""In which order a run takes its roles, and what several rounds of one come to. Pure: no I/O, no clock.

What is only counted (bytes, messages, virtual clocks) may be played beside others: a busy machine changes none of it.
What is timed runs alone, its sizes in turn, several times over, so that a busy moment hurts all sizes alike and the
median drops it. A size that failed is not tried again: its round would be one more wait for the same end.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

from rushweir.lab.scale.samples import Role, Sample


def beside(roles: Iterable[Role], sizes: Sequence[int] = ()) -> list[tuple[str, int]]:
    """What is played beside each other, in the order of its start: first the largest size of every role, then the
    next of every one. The longest run then begins at once, whatever it is that a role's sizes count."""
    ranked = [
        (rank, name, size)
        for name, own in ((r.name, sizes or r.sizes) for r in roles if r.counted is not None)
        for rank, size in enumerate(sorted(set(own), reverse=True))
    ]
    return [(name, size) for _, name, size in sorted(ranked, key=lambda x: x[0])]


class Rounds:
    """One timed role at its sizes: which is next, and what was found."""

    def __init__(self, role: Role, sizes: Sequence[int] = ()) -> None:
        self.role, self.sizes = role, tuple(sizes) or role.sizes
        self.failed: set[int] = set()
        self.found: list[Sample] = []

    def __iter__(self) -> Iterator[tuple[int, int]]:
        """Round, from 0, and size: 1..n, 1..n, ..., without those that failed before."""
        for n in range(self.role.rounds if self.role.measure is not None else 0):
            for size in self.sizes:
                if size not in self.failed:
                    yield n, size

    def samples(self) -> list[Sample]:
        return medians(self.found)


def medians(samples: Iterable[Sample]) -> list[Sample]:
    """Of each figure at each size the median of its values; ``seconds`` are those of all of them."""
    groups: dict[tuple[str, str, str, int], list[Sample]] = {}
    for s in samples:
        groups.setdefault((s.role, s.figure, s.how, s.size), []).append(s)
    return [
        replace(of[0], value=statistics.median(s.value for s in of), seconds=sum(s.seconds for s in of))
        for of in groups.values()
    ]
