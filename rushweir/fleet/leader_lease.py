"""Who decides: one seed at a time, by a lease that a majority of the seeds gives (PaxosLease; Trencseni, Gazso and
Reinhardt 2012). Nothing of it is kept on disk: a seed that starts waits until all that its predecessor may have
granted is over, and only then gives its vote.

What the seed that asks does:

    from        event                   to
    RESTING     nobody has the lease    PREPARING    asks all seeds for a promise
    PREPARING   promises of a majority  PROPOSING    its right counts from here, before anything is granted
    PROPOSING   a majority granted      HOLDING
    HOLDING     a third of it is over   PREPARING    it goes on holding meanwhile
    any         round over its time     RESTING      or HOLDING, while its right lasts

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rushweir.fleet import frame as f
from rushweir.fleet.drift import max_under_drift, min_under_drift
from rushweir.fleet.views import SEED_BITS

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

RENEW_SHARE = 1 / 3  # of the term: then a holder asks again, so that a lost round leaves time for another
ROUND_SHARE = 1 / 8  # of the term: a round that is not over by then has failed
NOBODY = 0
PREPARING, PROPOSING = "preparing", "proposing"


class LeaseAcceptor:
    """One seed's vote: what it promised and granted."""

    def __init__(self, now: float, term_ms: float) -> None:
        self.lease_ms = term_ms
        self.silent_until = now + max_under_drift(term_ms)
        self.promised_ballot, self.accepted_ballot, self.holder, self.expires_at = 0, 0, NOBODY, now

    def prepare(self, now: float, ballot: int) -> tuple[bool, int] | None:
        """Whether it promises to grant nothing to lower ballots, and who has its grant; None: it has no vote yet."""
        if now < self.silent_until:
            return None
        if ballot <= self.promised_ballot:
            return False, NOBODY
        self.promised_ballot = ballot
        return True, self.current_holder(now)

    def propose(self, now: float, ballot: int, holder: int) -> bool | None:
        if now < self.silent_until:
            return None
        if ballot < self.promised_ballot:
            return False
        self.promised_ballot = self.accepted_ballot = ballot
        self.holder, self.expires_at = holder, now + self.lease_ms
        return True

    def release(self, holder: int) -> None:
        """The holder acts on it no more, and says so."""
        if self.holder == holder:
            self.holder = NOBODY

    def current_holder(self, now: float) -> int:
        return self.holder if now < self.expires_at else NOBODY


@dataclass(slots=True)
class Round:
    """One try to get or to renew the lease."""

    ballot: int
    started_at: float  # when what it may give began to count
    phase: str = PREPARING
    votes: set[int] = field(default_factory=set)
    newest_view: tuple[int, int] = (0, 0)  # number of the newest view that a promise named, and who has it


class LeaderLease:
    """One seed's way to the lease."""

    def __init__(self, fleet: Fleet, vote: LeaseAcceptor) -> None:
        self.fleet, self.acceptor, self.seed_index = fleet, vote, fleet.settings.seed_index
        self.lease_ms = fleet.settings.leader_lease_ms
        self.majority = len(fleet.settings.seeds) // 2 + 1
        self.round: Round | None = None
        self.expires_at = fleet.now  # the lease is held before
        self.renew_at = self.highest_ballot = 0.0
        self.next_try_at = vote.silent_until

    def is_held(self) -> bool:
        """Looked at in the turn in which something is done by it, so that a process that was paused does nothing."""
        return self.fleet.now < self.expires_at

    def tick(self, _: object = None) -> None:
        now, fleet = self.fleet.now, self.fleet
        if self.round is not None and now > self.round.started_at + self.lease_ms * ROUND_SHARE:
            self.round = None
            self.next_try_at = now + fleet.rng.uniform(0.5, 1.5) * self.lease_ms * ROUND_SHARE
        if self.round is None and not fleet.leaving:
            open_ = self.acceptor.current_holder(now) in (NOBODY, fleet.me)
            if self.is_held() and now >= self.renew_at or (not self.is_held() and open_ and now >= self.next_try_at):
                self._begin_round()
        fleet.call_after(self.lease_ms / 30, self.tick, None)

    def _begin_round(self) -> None:
        now, fleet = self.fleet.now, self.fleet
        counter = (max(int(self.highest_ballot), self.acceptor.promised_ballot) >> SEED_BITS) + 1
        self.round = Round(counter << SEED_BITS | self.seed_index, now)
        for peer in fleet.other_seeds():
            fleet.send(f.PREPARE, peer.id, [self.round.ballot])
        told = self.acceptor.prepare(now, self.round.ballot)
        if told is not None:
            self.on_promise(fleet.me, self.round.ballot, told[0], told[1], fleet.view_manager.stored.number, 0)

    def on_promise(self, voter: int, ballot: int, ok: bool, holder: int, view: int, highest: int) -> None:
        self.highest_ballot = max(self.highest_ballot, highest)
        r, now, fleet = self.round, self.fleet.now, self.fleet
        if r is None or r.ballot != ballot or r.phase != PREPARING or not ok or holder not in (NOBODY, fleet.me):
            return
        r.votes.add(voter)
        r.newest_view = max(r.newest_view, (view, voter))
        if len(r.votes) < self.majority:
            return
        r.phase, r.started_at, r.votes = PROPOSING, now, set()
        for peer in fleet.other_seeds():
            fleet.send(f.PROPOSE, peer.id, [ballot])
        if self.acceptor.propose(now, ballot, fleet.me):
            self.on_accept(fleet.me, ballot, True)

    def on_accept(self, voter: int, ballot: int, ok: bool) -> None:
        r, fleet = self.round, self.fleet
        if r is None or r.ballot != ballot or r.phase != PROPOSING or not ok:
            return
        r.votes.add(voter)
        if len(r.votes) < self.majority:
            return
        new, self.round = not self.is_held(), None
        self.expires_at = r.started_at + min_under_drift(self.lease_ms)
        self.renew_at = r.started_at + RENEW_SHARE * self.lease_ms
        if new and self.is_held():
            fleet.counts["elected"] += 1
            fleet.log_event("info", "chair_taken", ballot=ballot)
            fleet.view_manager.on_elected(ballot, *r.newest_view)

    def release(self) -> None:
        """Hold it no more, and tell the other seeds that they need not wait."""
        if self.is_held():
            self.expires_at, self.round = self.fleet.now, None
            self.acceptor.release(self.fleet.me)
            for peer in self.fleet.other_seeds():
                self.fleet.send(f.LEASE_RELEASE, peer.id, [])
