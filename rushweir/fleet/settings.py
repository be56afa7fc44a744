"""What a member is told of its fleet, and the paces that follow from it. Times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import log10

Address = tuple[str, int]

PROBE_PERIOD_MS = 400.0  # one member is probed in each
PROBE_TIMEOUT_MS = 150.0  # a probe that is not answered by then is asked of others; they have the rest of the period
INDIRECT_PROBE_COUNT = 3  # that are asked so
COMPARE_INTERVAL_MS = 1_000.0  # between two looks whether the table differs from another's
JOIN_INTERVAL_MS = 1_000.0  # between two calls to seeds that are not known to be alive
FORGET_AFTER_MS = 60_000.0  # a member that ended is known for so long, so that late news of it are known to be late
MAX_SEEDS = 7  # three bear the loss of one, five of two, seven of three
ENDED_MEMBERS_PER_SLOT = (
    3  # entries of members that ended, for each number that there is: a fleet restarted thrice in FORGET_MS
)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """One member's view of how its fleet is set up."""

    address: Address  # where the others reach it; one process at a time
    seeds: tuple[Address, ...]  # where to begin, and who decides by majority
    slot_count: int  # numbers that there are
    wanted_slot: int = -1  # the number that it must have; -1: any
    zone: str = ""
    leader_lease_ms: float = 2_000.0  # right to decide, unless renewed: shorter than anything that needs it to go on
    view_ms: float = 10_000.0  # a view may be acted on for so long after it was surely in force
    keep_ms: float = 600_000.0  # a number that fell silent is given to nobody else for so long
    per_s: float = 15.0  # datagrams of the fleet a second
    apps_per_s: float = 12.0  # and of those that use it

    def __post_init__(self) -> None:
        if not 1 <= len(self.seeds) <= MAX_SEEDS or len(set(self.seeds)) < len(self.seeds):
            raise ValueError(f"seeds: 1 to {MAX_SEEDS}, each once")
        if self.wanted_slot >= self.slot_count:
            raise ValueError("wanted: a number below most")
        if self.keep_ms <= self.view_ms:
            raise ValueError("keep: longer than the term of a view")

    @property
    def seed_index(self) -> int:
        """Its place among the seeds; -1: it is none."""
        return self.seeds.index(self.address) if self.address in self.seeds else -1

    @property
    def max_entries(self) -> int:
        return self.slot_count * (1 + ENDED_MEMBERS_PER_SLOT) + len(self.seeds)


def suspicion_ms(most: int) -> float:
    """How long a silent member of a fleet of so many may object before it counts as dead: word of it has to reach it
    by others, and its objection to come back, which takes the more steps the more there are (SWIM, 4.2). By the
    numbers that there are, not by the members known: who joins knows few, and took many for dead."""
    return PROBE_PERIOD_MS * (4 + 3 * log10(most))


def retransmit_limit(most: int) -> int:
    """How often news are told along by each that has them (SWIM, 4.1: a small multiple of the logarithm)."""
    return 2 + round(3 * log10(most))
