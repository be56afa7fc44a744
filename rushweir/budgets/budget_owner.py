"""The home of one budget: who holds how much of it, and what is free. No I/O, no clock.

What a holder may spend counts here until it surely can't any more: until the holder says that it took a later grant,
or until the time of the grant is over, counted from the answer, which is later than the question that the holder
counts from, and with the drift of both clocks. Of two grants that a holder may have taken, the larger counts. So what
all holders may spend is never more than the whole, however messages are lost, doubled or late.

Tokens move with the parts. What nobody holds fills a reserve here, and so does what spilled over at a holder whose
bucket was full, as it tells with its next question; whose bucket lacks some gets of the reserve along with each
answer. What was in a bucket that is taken back, or whose holder fell silent, counts as spent.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from math import inf, isqrt

from rushweir.budgets.allocation import allocate, is_settled, split_by_weight
from rushweir.budgets.records import NO_SHARE, UNIT, BudgetTotal, Share
from rushweir.fleet.drift import max_under_drift, min_under_drift

UNKNOWN_TOTAL = BudgetTotal(
    2**62, 2**62
)  # of a holder that a predecessor knew: what it was told of the whole is not handed on
RETAINED_SHARE = 1 / 3  # of what may be lent stays with the home, as the module keeps it at a customer's first keeper
RESERVE_SHARE = 0.25  # of what may be lent is kept for the reserve to have room
ADDED_SHARE = 0.5  # of the reserve goes with one grant: others will ask
MAX_GRANTS = 8  # of one holder that may be on their way; older ones count together


@dataclass(slots=True)
class Grant:
    serial: int
    share: Share
    expires_at: float


@dataclass(slots=True)
class LeaseHolder:
    total: BudgetTotal  # what may be lent, as it was told last
    demand: int = 0
    requested_at: float = 0.0
    spilled: int = -1  # in all, as it told last; -1: not known, and what came before is nobody's any more
    serial: int = 0  # of its last question
    grants: list[Grant] = field(default_factory=list)  # that it may be acting on, by serial
    answered_serial: int = 0  # of its last question that was answered, or would have been

    def covered_share(self) -> Share:
        """What it may be spending."""
        whole = NO_SHARE
        for g in self.grants:
            whole = whole.covering(g.share)
        return whole


class BudgetOwner:
    """The ledger of one budget."""

    def __init__(self, now: float, term_ms: float, open_at: float) -> None:
        """Nothing is lent before ``open_at``."""
        self.leasable, self.lease_ms, self.grants_from = BudgetTotal(0, 0), term_ms, open_at
        self.total = self.leasable  # as it was told last, with what numbers own: its doors say whose home moves where
        self.holders: dict[int, LeaseHolder] = {}
        self.reserve, self.updated_at = 0.0, now
        self.retained = NO_SHARE  # is not lent: the home's own process has it, for all
        self.allocation: dict[int, int] = {}

    def request(
        self, now: float, who: int, serial: int, holding: int, demand: int, whole: BudgetTotal, spilled: int = 0,
        lacks: int = 0, lasts: float = inf,
    ) -> tuple[Share, int] | None:  # fmt: skip
        """A holder's question: it acts on the grant with the serial ``holding`` or on a later one, and demands so
        much a second of a ``whole``, which is what may be lent, without floors that are owned. ``spilled`` is all
        that its bucket had no room for since it began, ``lacks`` what it has room for now; ``lasts``: ms
        for which it may act on the answer, a term at most. Its part from now on, and tokens along with it; None: not
        open, or an old question."""
        if not self.record_request(now, who, serial, holding, demand, whole, spilled):
            return None
        h = self.holders[who]
        h.answered_serial = serial
        if now < self.grants_from:
            return None
        lent = self._leased(who)
        part = Share(
            min(self._rate_share(who), max(0, self.leasable.rate - lent.rate)),
            min(self._burst_share(who), max(0, self.leasable.burst - lent.burst)),
        )
        if not part.burst or not part.rate:
            part = NO_SHARE
        if len(h.grants) >= MAX_GRANTS:
            first, second = h.grants[:2]
            h.grants[:2] = [
                Grant(second.serial, first.share.covering(second.share), max(first.expires_at, second.expires_at))
            ]
        h.grants.append(Grant(serial, part, now + max_under_drift(min(lasts, self.lease_ms))))
        # The reserve has room for less now; what it gives along is in the holder's bucket, and no longer here.
        self.reserve = min(self.reserve, self._unleased().burst)
        add = int(min(self.reserve * ADDED_SHARE, lacks, part.burst))
        self.reserve -= add
        return part, add

    def record_request(
        self, now: float, who: int, serial: int, holding: int, demand: int, whole: BudgetTotal, spilled: int = 0
    ) -> bool:
        """What a question tells, which may be answered later; whether it may still be answered."""
        self.advance(now)
        h = self.holders.setdefault(who, LeaseHolder(whole))
        if serial <= h.serial:
            return serial == h.serial and serial > h.answered_serial
        h.serial, h.demand, h.requested_at, h.total = serial, demand, now, whole
        # Settings are read anew by one process after the other: as long as any has the smaller whole, it holds.
        told = [x.total for x in self.holders.values()]
        rate, burst = min(w.rate for w in told), min(w.burst for w in told)
        self.retained = Share(int(rate * RETAINED_SHARE), int(burst * RETAINED_SHARE))
        self.leasable = replace(whole, rate=rate - self.retained.rate, burst=burst - self.retained.burst)
        h.grants = [g for g in h.grants if g.serial >= holding]
        # A sum is told, not what came since: a question that is lost, or comes twice, changes nothing.
        if h.spilled >= 0:
            self.reserve = min(self.reserve + max(0, spilled - h.spilled), float(self._unleased().burst))
        h.spilled = spilled
        return True

    def lease_expiry(self, now: float, who: int) -> float:
        """When a holder's right is over; who has none is over by now."""
        h = self.holders.get(who)
        return max((g.expires_at for g in h.grants), default=now) if h is not None else now

    def advance(self, now: float) -> None:
        """Let time pass: grants end, the reserve fills by what nobody holds."""
        room = self._unleased()
        # By a clock that may run fast, and by what was free before: a grant that ended meanwhile filled elsewhere.
        self.reserve = min(
            float(room.burst), self.reserve + room.rate * min_under_drift(now - self.updated_at) / 1000
        )
        self.updated_at = now
        for who, h in list(self.holders.items()):
            h.grants = [g for g in h.grants if g.expires_at > now]
            if not h.grants and now - h.requested_at > self.lease_ms:
                del self.holders[who]

    def _unleased(self) -> Share:
        lent = self._leased(None)
        return Share(max(0, self.leasable.rate - lent.rate), max(0, self.leasable.burst - lent.burst))

    def _leased(self, without: int | None) -> Share:
        whole = NO_SHARE
        for who, h in self.holders.items():
            if who != without:
                whole += h.covered_share()
        return whole

    def _rate_share(self, who: int) -> int:
        demands = {k: h.demand for k, h in self.holders.items()}
        new = allocate(self.leasable.rate, demands)
        if not is_settled(new, self.allocation) or sum(self.allocation.values()) > self.leasable.rate:
            self.allocation = new
        return self.allocation[who]

    def _burst_share(self, who: int) -> int:
        """A unit for each who demands anything, as far as there are units, since less serves nobody; the rest by the
        roots of the demands, as the unevenness of arrivals grows. What the reserve needs stays here."""
        whole = self.leasable.burst - int(self.leasable.burst * RESERVE_SHARE)
        busy = {k: h.demand for k, h in self.holders.items() if h.demand > 0}
        if who not in busy:
            return 0
        units = whole // UNIT
        if units >= len(busy):
            order = sorted(busy)
            extra = split_by_weight(whole - len(busy) * UNIT, [isqrt(busy[k]) + 1 for k in order])
            return UNIT + extra[order.index(who)]
        most = sorted(busy, key=lambda k: (-busy[k], k))[:units]
        return UNIT if who in most else 0

    # --- handing over ----------------------------------------------------------------------------

    def ownership_state(self, now: float) -> list[list[int]]:
        """What a successor has to count, as rows: holder, serial, rate, burst, time left."""
        self.advance(now)
        rows = []
        for who, h in self.holders.items():
            left = max((g.expires_at for g in h.grants), default=now) - now
            # Also what a predecessor granted, from which the holder asked nothing here yet.
            serial = max([h.serial, *(g.serial for g in h.grants)])
            rows.append([who, serial, *astuple(h.covered_share()), int(left) + 1])
        return rows

    def restore(self, now: float, rows: list[list[int]], wait_ms: float = 0.0) -> None:
        """Go on from a predecessor's ledger, at once or after what is left of its wait."""
        for who, serial, rate, burst, left in rows:
            # Under the latest serial: whichever of the predecessor's grants it acts on, this covers it.
            grant = Grant(serial, Share(rate, burst), now + max_under_drift(left))
            self.holders[who] = LeaseHolder(UNKNOWN_TOTAL, 0, now, -1, 0, [grant] if rate or burst else [])
        self.grants_from = min(self.grants_from, now + max_under_drift(wait_ms))
