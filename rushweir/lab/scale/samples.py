"""One measured figure of one role at one size, and what makes such figures. Plain records."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

# Where a figure comes from: processes of the program itself; its real cores on sockets, without clients (hollow);
# its real cores in one process, by calls; the same on virtual clocks.
How = Literal["real", "hollow", "core", "simulated"]


@dataclass(frozen=True, slots=True)
class Sample:
    """``value`` of ``figure`` in ``unit``, at a ``size`` of what ``by`` names (ingresses, partners, ...)."""

    role: str
    figure: str
    unit: str
    by: str
    size: int
    value: float
    how: How
    seconds: float = 0.0  # for which it was measured, on the clock of that kind; 0: a count


Measure = Callable[[int], Iterable[Sample]]


@dataclass(frozen=True, slots=True)
class Role:
    """Something that costs, and how it is measured. Both callables take a size and give its samples; they may take
    seconds, and start and end by themselves whatever they need. One of the two at least is there."""

    name: str  # as given on the command line
    title: str
    by: str
    sizes: tuple[int, ...]  # four at least: a slope rests on them
    measure: Measure | None = None  # what is timed: nothing else runs meanwhile
    counted: Measure | None = None  # what no clock of the machine is in: in a process of its own, beside others
    rounds: int = 1  # of what is timed, over all sizes in turn; the median counts

    def __post_init__(self) -> None:
        if len(set(self.sizes)) < 4:
            raise ValueError(f"role {self.name}: four sizes at least")
        if self.measure is None and self.counted is None:
            raise ValueError(f"role {self.name}: nothing to measure")
