"""Settings of a fleet member and the intervals derived from them. Times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import log10

Address = tuple[str, int]

PROBE_PERIOD_MS = 400.0  # one member is probed in each period
PROBE_TIMEOUT_MS = 150.0  # then indirect probes are sent, which have the rest of the period
INDIRECT_PROBE_COUNT = 3  # members that are asked to probe the target
COMPARE_INTERVAL_MS = 1_000.0  # between two comparisons of the table with another member's
JOIN_INTERVAL_MS = 1_000.0  # between two JOIN messages to seeds that are not known to be alive
FORGET_AFTER_MS = 60_000.0  # how long an ended member is remembered, so that late rows about it are recognized
MAX_SEEDS = 7  # three tolerate the loss of one, five of two, seven of three
# Remembered entries of ended members for each slot: enough for a fleet restarted three times in FORGET_AFTER_MS.
ENDED_MEMBERS_PER_SLOT = 3


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """How one member is configured."""

    address: Address  # where others reach it; used by one process at a time
    seeds: tuple[Address, ...]  # members contacted first, whose majority decides on the leader and the views
    slot_count: int  # how many slots there are
    wanted_slot: int = -1  # the slot that it must have; -1: any
    zone: str = ""
    leader_lease_ms: float = (
        2_000.0  # of the leader lease; shorter than anything that has to wait for the next leader
    )
    view_ms: float = 10_000.0  # how long a view may be acted on after it was surely in force
    keep_ms: float = 600_000.0  # how long a silent member keeps its slot
    per_s: float = 15.0  # datagrams a second of the fleet itself
    apps_per_s: float = 12.0  # datagrams a second of the fleet's users

    def __post_init__(self) -> None:
        if not 1 <= len(self.seeds) <= MAX_SEEDS or len(set(self.seeds)) < len(self.seeds):
            raise ValueError(f"seeds: 1 to {MAX_SEEDS}, each once")
        if self.wanted_slot >= self.slot_count:
            raise ValueError("wanted slot: below the slot count")
        if self.keep_ms <= self.view_ms:
            raise ValueError("keep: longer than a view is valid")

    @property
    def seed_index(self) -> int:
        """Position of this member among the seeds; -1: it is not a seed."""
        return self.seeds.index(self.address) if self.address in self.seeds else -1

    @property
    def max_entries(self) -> int:
        """How many entries of one kind the table may hold."""
        return self.slot_count * (1 + ENDED_MEMBERS_PER_SLOT) + len(self.seeds)


def suspicion_ms(slot_count: int) -> float:
    """How long a suspected member may object before it counts as dead.

    The suspicion has to reach the member through others and its objection has to return, which takes more hops in a
    larger fleet (SWIM, 4.2). Based on the number of slots, not on the members known: a member that has just joined
    knows few others and would declare many dead."""
    return PROBE_PERIOD_MS * (4 + 3 * log10(slot_count))


def retransmit_limit(slot_count: int) -> int:
    """How many times each member piggybacks a new row (SWIM, 4.1: a small multiple of the logarithm)."""
    return 2 + round(3 * log10(slot_count))
