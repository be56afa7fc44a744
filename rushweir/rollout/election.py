"""Who leads: terms and votes of Raft (Ongaro and Ousterhout 2014, 5.2 and 5.4.1), with the pre-vote of Ongaro's
thesis (2014, 9.6) and a leader that steps down without a majority's answers (6.2). No I/O, no clock.

    from        event                                      to
    FOLLOWER    a leader's silence over its time           PRE_CANDIDATE  asks who would vote; nothing is written
    PRE_CANDIDATE      a majority would                           CANDIDATE   a new term and its own vote, on disk
    CANDIDATE   its vote is on disk                        CANDIDATE   asks for votes
    CANDIDATE   a majority voted                           LEADER      appends an empty entry of its term
    PRE_CANDIDATE      an election time later                     PRE_CANDIDATE      again
    CANDIDATE   an election time later                     PRE_CANDIDATE      again
    PRE_CANDIDATE      a leader of its term or a newer one        FOLLOWER
    CANDIDATE   a leader of its term                       FOLLOWER
    LEADER      a majority silent for an election time     FOLLOWER    what was proposed and not confirmed: unsure
    any         a newer term                               FOLLOWER    the term on disk before its next word

A vote is told only after it is on disk: whoever forgot it could vote again in that term. Who has heard from a leader
within an election time votes for nobody, so that one that was cut off, or hears one side only, unseats nobody.

A term carries the number of the one that may lead in it, as ballots do (Lamport 2001, 2.2): so a term has one leader
at most also where a vote was forgotten, with a disk that was put back.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

TERM_BITS = 3  # of a term: who may lead in it
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"
NOBODY = -1


class Election:
    """One process's part in it."""

    def __init__(self, control: Control, term: int, voted: int) -> None:
        self.control, self.term, self.voted_for = control, term, voted
        self.role, self.leader = FOLLOWER, NOBODY
        self.yes: set[int] = set()
        self.due = inf  # when silence has lasted too long
        self.heard_at = -inf  # from the leader of this term

    def wait(self) -> None:
        """A new silence begins. Jittered, so that two seldom stand at once."""
        span = self.control.timing.election_timeout_ms
        self.due = self.control.now + span * self.control.rng.uniform(1.0, 2.0)

    def tick(self) -> None:
        if self.role != LEADER and self.control.now >= self.due:
            self.ask()

    def next_term(self) -> int:
        """The next one that this process may lead in."""
        return ((self.term >> TERM_BITS) + 1) << TERM_BITS | self.control.me

    # --- standing --------------------------------------------------------------------------------

    def ask(self) -> None:
        c = self.control
        self.role, self.leader, self.yes = PRE_CANDIDATE, NOBODY, {c.me}
        self.wait()
        for peer in c.others:
            c.send(peer, "pre", self.next_term(), c.log.last_index, c.log.last_term)
        self._counted()

    def stand(self) -> None:
        c = self.control
        self.role, self.term, self.voted_for, self.yes = CANDIDATE, self.next_term(), c.me, set()
        self.wait()
        c.persist_term()
        for peer in c.others:
            c.send(peer, "vote", c.log.last_index, c.log.last_term)

    def voted_on_disk(self, term: int) -> None:
        """A term's record is on disk: this process's own vote counts from here."""
        if self.role is CANDIDATE and term == self.term:
            self.yes.add(self.control.me)
            self._counted()

    def pre_answered(self, source: int, asked: int, granted: bool) -> None:
        if self.role is PRE_CANDIDATE and asked == self.next_term() and granted:
            self.yes.add(source)
            self._counted()

    def vote_answered(self, source: int, granted: bool) -> None:
        if self.role is CANDIDATE and granted:
            self.yes.add(source)
            self._counted()

    def _counted(self) -> None:
        # Its own vote is among those of a candidate: without, it leads in a term that it may forget.
        if len(self.yes) < self.control.majority or self.control.me not in self.yes:
            return
        if self.role is PRE_CANDIDATE:
            self.stand()
        else:
            self.role, self.leader, self.due = LEADER, self.control.me, inf
            self.control.become_leader()

    # --- voting ----------------------------------------------------------------------------------

    def asked(self, source: int, term: int, last: int, last_term: int) -> None:
        """Would it vote so? Promises nothing."""
        granted = term > self.term and self._may(last, last_term)
        self.control.send(source, "pre_answer", term, granted)

    def asked_vote(self, source: int, last: int, last_term: int) -> None:
        """``term`` is its own by now."""
        own = self.term & (1 << TERM_BITS) - 1 == source
        granted = own and self.voted_for in (NOBODY, source) and self._complete(last, last_term)
        if granted:
            self.wait()
            if self.voted_for == NOBODY:
                self.voted_for = source
                self.control.persist_term()
        self.control.send(source, "vote_answer", granted)

    def _may(self, last: int, last_term: int) -> bool:
        quiet = self.control.now - self.heard_at >= self.control.timing.election_timeout_ms
        return self.role is not LEADER and quiet and self._complete(last, last_term)

    def _complete(self, last: int, last_term: int) -> bool:
        """Whether who asks has all that can have been put in force (Raft, 5.4.1)."""
        log = self.control.log
        return (last_term, last) >= (log.last_term, log.last_index)

    # --- terms -----------------------------------------------------------------------------------

    def newer(self, term: int) -> None:
        self.term, self.voted_for = term, NOBODY
        self.follow(NOBODY)
        self.control.persist_term()

    def follow(self, leader: int) -> None:
        if self.role is LEADER:
            self.control.step_down()
        self.role, self.leader, self.yes = FOLLOWER, leader, set()
        if self.due == inf:
            self.wait()

    def heard(self, leader: int) -> None:
        """The leader of this term spoke."""
        if self.role is not FOLLOWER or self.leader != leader:
            self.follow(leader)
        self.heard_at = self.control.now
        self.wait()
