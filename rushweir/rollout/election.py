"""Elections: terms and votes of Raft (Ongaro and Ousterhout 2014, 5.2 and 5.4.1), with the pre-vote of Ongaro's
thesis (2014, 9.6) and a leader that steps down without a majority's answers (6.2). No I/O, no clock.

    from            event                                    to
    FOLLOWER        no leader within the election timeout    PRE_CANDIDATE  asks for pre-votes; nothing is written
    PRE_CANDIDATE   pre-votes of a majority                  CANDIDATE      persists a new term and its own vote
    CANDIDATE       its vote is on disk                      CANDIDATE      asks for votes
    CANDIDATE       votes of a majority                      LEADER         appends an empty entry of its term
    PRE_CANDIDATE   an election timeout later                PRE_CANDIDATE  asks again
    CANDIDATE       an election timeout later                PRE_CANDIDATE  asks again
    PRE_CANDIDATE   a leader of its term or a newer one      FOLLOWER
    CANDIDATE       a leader of its term                     FOLLOWER
    LEADER          no majority for an election timeout      FOLLOWER       pending proposals: outcome unknown
    any             a newer term                             FOLLOWER       persists the term before its next message

A vote is sent only after it is on disk: a process that forgot its vote could vote again in that term. A process that
heard from a leader within an election timeout grants no pre-vote, so one that was cut off, or receives from one side
only, can't depose a leader.

A term holds the number of the process that may lead in it, as ballots do (Lamport 2001, 2.2): so a term has at most
one leader even if a vote was forgotten with a restored disk.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

TERM_BITS = 3  # the lowest bits of a term: the process that may lead in it
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"
NOBODY = -1


class Election:
    """One process's role, term and vote. Times are milliseconds of the process's own clock."""

    def __init__(self, control: Control, term: int, voted_for: int) -> None:
        self.control, self.term, self.voted_for = control, term, voted_for
        self.role, self.leader = FOLLOWER, NOBODY
        self.votes: set[int] = set()  # or pre-votes, of a pre-candidate
        self.due_at = inf  # end of the election timeout
        self.last_heard_at = -inf  # when the leader of this term was last heard

    def reset_timer(self) -> None:
        """Begin a new election timeout, jittered so that two processes seldom become candidates at once."""
        timeout = self.control.timing.election_timeout_ms
        self.due_at = self.control.now + timeout * self.control.rng.uniform(1.0, 2.0)

    def tick(self) -> None:
        """Ask for pre-votes if the election timeout has passed."""
        if self.role != LEADER and self.control.now >= self.due_at:
            self.start_pre_vote()

    def next_term(self) -> int:
        """The next term in which this process may lead."""
        return ((self.term >> TERM_BITS) + 1) << TERM_BITS | self.control.me

    # --- candidates ------------------------------------------------------------------------------

    def start_pre_vote(self) -> None:
        """Ask the others whether they would vote for this process."""
        control = self.control
        self.role, self.leader, self.votes = PRE_CANDIDATE, NOBODY, {control.me}
        self.reset_timer()
        for peer in control.others:
            control.send(peer, "pre", self.next_term(), control.log.last_index, control.log.last_term)
        self._count_votes()

    def start_election(self) -> None:
        """Begin a new term and ask for votes in it."""
        control = self.control
        self.role, self.term, self.voted_for, self.votes = CANDIDATE, self.next_term(), control.me, set()
        self.reset_timer()
        control.persist_term()
        for peer in control.others:
            control.send(peer, "vote", control.log.last_index, control.log.last_term)

    def vote_persisted(self, term: int) -> None:
        """The record of a term is on disk: a candidate's own vote counts from now on."""
        if self.role is CANDIDATE and term == self.term:
            self.votes.add(self.control.me)
            self._count_votes()

    def pre_vote_answered(self, source: int, term: int, granted: bool) -> None:
        """Count the pre-vote of another process."""
        if self.role is PRE_CANDIDATE and term == self.next_term() and granted:
            self.votes.add(source)
            self._count_votes()

    def vote_answered(self, source: int, granted: bool) -> None:
        """Count the vote of another process."""
        if self.role is CANDIDATE and granted:
            self.votes.add(source)
            self._count_votes()

    def _count_votes(self) -> None:
        # A candidate needs its own vote on disk, or it would lead in a term that it may forget.
        if len(self.votes) < self.control.majority or self.control.me not in self.votes:
            return
        if self.role is PRE_CANDIDATE:
            self.start_election()
        else:
            self.role, self.leader, self.due_at = LEADER, self.control.me, inf
            self.control.become_leader()

    # --- voting ----------------------------------------------------------------------------------

    def answer_pre_vote(self, source: int, term: int, last_index: int, last_term: int) -> None:
        """Tell whether this process would vote for ``source`` in a term; this promises nothing."""
        granted = term > self.term and self._would_vote(last_index, last_term)
        self.control.send(source, "pre_answer", term, granted)

    def answer_vote(self, source: int, last_index: int, last_term: int) -> None:
        """Answer a request for a vote in the current term."""
        may_lead = self.term & (1 << TERM_BITS) - 1 == source
        granted = may_lead and self.voted_for in (NOBODY, source) and self._is_up_to_date(last_index, last_term)
        if granted:
            self.reset_timer()
            if self.voted_for == NOBODY:
                self.voted_for = source
                self.control.persist_term()
        self.control.send(source, "vote_answer", granted)

    def _would_vote(self, last_index: int, last_term: int) -> bool:
        leader_silent = self.control.now - self.last_heard_at >= self.control.timing.election_timeout_ms
        return self.role is not LEADER and leader_silent and self._is_up_to_date(last_index, last_term)

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a candidate's log holds all that can be committed (Raft, 5.4.1)."""
        log = self.control.log
        return (last_term, last_index) >= (log.last_term, log.last_index)

    # --- terms -----------------------------------------------------------------------------------

    def adopt_term(self, term: int) -> None:
        """Become a follower in a newer term."""
        self.term, self.voted_for = term, NOBODY
        self.become_follower(NOBODY)
        self.control.persist_term()

    def become_follower(self, leader: int) -> None:
        """Follow a leader, or NOBODY; a leader steps down."""
        if self.role is LEADER:
            self.control.step_down()
        self.role, self.leader, self.votes = FOLLOWER, leader, set()
        if self.due_at == inf:
            self.reset_timer()

    def leader_heard(self, leader: int) -> None:
        """Note a message of this term's leader."""
        if self.role is not FOLLOWER or self.leader != leader:
            self.become_follower(leader)
        self.last_heard_at = self.control.now
        self.reset_timer()
