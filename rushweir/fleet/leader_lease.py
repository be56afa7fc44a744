"""The leader lease: one seed at a time leads, by a lease that a majority of the seeds grants (PaxosLease; Trencseni,
Gazso and Reinhardt 2012). Nothing is stored on disk: a seed that starts waits until every lease that its predecessor
may have granted has expired, and only then takes part.

States of the proposer:

    from        event                        to
    RESTING     nobody holds the lease       PREPARING    asks all seeds for a promise
    PREPARING   promises of a majority       PROPOSING    the lease counts from here, before anything is granted
    PROPOSING   a majority accepted          HOLDING
    HOLDING     a third of it has elapsed    PREPARING    the lease is held meanwhile
    any         the round timed out          RESTING      or HOLDING, while the lease lasts

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rushweir.fleet import frame
from rushweir.fleet.drift import max_under_drift, min_under_drift
from rushweir.fleet.views import SEED_BITS

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

RENEW_SHARE = 1 / 3  # of the lease: when its holder renews it, so that a lost round leaves time for another
ROUND_SHARE = 1 / 8  # of the lease: timeout of a round
NOBODY = 0
PREPARING, PROPOSING = "preparing", "proposing"


class LeaseAcceptor:
    """One seed's acceptor: the highest ballot that it promised, and the lease that it accepted."""

    def __init__(self, now: float, lease_ms: float) -> None:
        self.lease_ms = lease_ms
        self.silent_until = now + max_under_drift(lease_ms)
        self.promised_ballot, self.accepted_ballot, self.holder, self.expires_at = 0, 0, NOBODY, now

    def prepare(self, now: float, ballot: int) -> tuple[bool, int] | None:
        """Returns whether it promises to accept no lower ballot, and the current lease holder; None: it may not vote
        yet."""
        if now < self.silent_until:
            return None
        if ballot <= self.promised_ballot:
            return False, NOBODY
        self.promised_ballot = ballot
        return True, self.current_holder(now)

    def propose(self, now: float, ballot: int, holder: int) -> bool | None:
        """Returns whether it accepts ``holder`` as the lease holder for ``ballot``; None: it may not vote yet."""
        if now < self.silent_until:
            return None
        if ballot < self.promised_ballot:
            return False
        self.promised_ballot = self.accepted_ballot = ballot
        self.holder, self.expires_at = holder, now + self.lease_ms
        return True

    def release(self, holder: int) -> None:
        """The holder no longer uses the lease and has said so."""
        if self.holder == holder:
            self.holder = NOBODY

    def current_holder(self, now: float) -> int:
        """Returns who holds the accepted lease; NOBODY if it has expired."""
        return self.holder if now < self.expires_at else NOBODY


@dataclass(slots=True)
class Round:
    """One attempt to acquire or renew the lease."""

    ballot: int
    started_at: float  # from when the lease counts if it is granted
    phase: str = PREPARING
    votes: set[int] = field(default_factory=set)
    newest_view: tuple[int, int] = (0, 0)  # number of the newest view named in a promise, and the seed that stores it


class LeaderLease:
    """One seed's proposer for the leader lease."""

    def __init__(self, fleet: Fleet, acceptor: LeaseAcceptor) -> None:
        self.fleet, self.acceptor, self.seed_index = fleet, acceptor, fleet.settings.seed_index
        self.lease_ms = fleet.settings.leader_lease_ms
        self.majority = len(fleet.settings.seeds) // 2 + 1
        self.round: Round | None = None
        self.expires_at = fleet.now  # the lease is held until then
        self.renew_at = self.highest_ballot = 0.0
        self.next_try_at = acceptor.silent_until

    def is_held(self) -> bool:
        """Whether the lease is held now. Checked in the same turn as the action that relies on it, so that a process
        that was paused does not act on an expired lease."""
        return self.fleet.now < self.expires_at

    def tick(self, _: object = None) -> None:
        """Starts a round when the lease is free or due for renewal, and abandons a round that timed out."""
        now, fleet = self.fleet.now, self.fleet
        if self.round is not None and now > self.round.started_at + self.lease_ms * ROUND_SHARE:
            self.round = None
            self.next_try_at = now + fleet.rng.uniform(0.5, 1.5) * self.lease_ms * ROUND_SHARE
        if self.round is None and not fleet.leaving:
            is_free = self.acceptor.current_holder(now) in (NOBODY, fleet.me)
            if (
                self.is_held()
                and now >= self.renew_at
                or (not self.is_held() and is_free and now >= self.next_try_at)
            ):
                self._begin_round()
        fleet.call_after(self.lease_ms / 30, self.tick, None)

    def _begin_round(self) -> None:
        now, fleet = self.fleet.now, self.fleet
        counter = (max(int(self.highest_ballot), self.acceptor.promised_ballot) >> SEED_BITS) + 1
        self.round = Round(counter << SEED_BITS | self.seed_index, now)
        for peer in fleet.other_seeds():
            fleet.send(frame.PREPARE, peer.id, [self.round.ballot])
        answer = self.acceptor.prepare(now, self.round.ballot)
        if answer is not None:
            self.on_promise(fleet.me, self.round.ballot, answer[0], answer[1], fleet.view_manager.stored.number, 0)

    def on_promise(
        self, voter: int, ballot: int, is_promised: bool, holder: int, view_number: int, highest_ballot: int
    ) -> None:
        """An acceptor answered a PREPARE; with a majority of promises the round proceeds to PROPOSE."""
        self.highest_ballot = max(self.highest_ballot, highest_ballot)
        round_, now, fleet = self.round, self.fleet.now, self.fleet
        if (
            round_ is None
            or round_.ballot != ballot
            or round_.phase != PREPARING
            or not is_promised
            or holder not in (NOBODY, fleet.me)
        ):
            return
        round_.votes.add(voter)
        round_.newest_view = max(round_.newest_view, (view_number, voter))
        if len(round_.votes) < self.majority:
            return
        round_.phase, round_.started_at, round_.votes = PROPOSING, now, set()
        for peer in fleet.other_seeds():
            fleet.send(frame.PROPOSE, peer.id, [ballot])
        if self.acceptor.propose(now, ballot, fleet.me):
            self.on_accept(fleet.me, ballot, True)

    def on_accept(self, voter: int, ballot: int, is_accepted: bool) -> None:
        """An acceptor answered a PROPOSE; with a majority the lease is held."""
        round_, fleet = self.round, self.fleet
        if round_ is None or round_.ballot != ballot or round_.phase != PROPOSING or not is_accepted:
            return
        round_.votes.add(voter)
        if len(round_.votes) < self.majority:
            return
        is_new, self.round = not self.is_held(), None
        self.expires_at = round_.started_at + min_under_drift(self.lease_ms)
        self.renew_at = round_.started_at + RENEW_SHARE * self.lease_ms
        if is_new and self.is_held():
            fleet.counts["elected"] += 1
            fleet.log_event("info", "chair_taken", ballot=ballot)
            fleet.view_manager.on_elected(ballot, *round_.newest_view)

    def release(self) -> None:
        """Gives the lease up and tells the other seeds that they need not wait for it to expire."""
        if self.is_held():
            self.expires_at, self.round = self.fleet.now, None
            self.acceptor.release(self.fleet.me)
            for peer in self.fleet.other_seeds():
                self.fleet.send(frame.LEASE_RELEASE, peer.id, [])
