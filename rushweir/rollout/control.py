"""A control process: one of a fixed set that replicates the numbered change sets of the settings. No I/O, no clock.

It is Raft (Ongaro and Ousterhout 2014): election.py holds terms and votes, control_peers.py what a leader sends,
follower.py what a follower takes, log.py the entries, storage.py their form on disk. This module joins them: time,
messages, writes in progress, proposals, and committed objects. Equal calls give equal commands.

An entry is committed once a majority has it on disk, and it or one after it is of the leader's own term (5.4.2). Only
the leader makes change sets, and a change set's version is its ordinal in that log. Two change sets with one
version can be on disks, but only one of them can be committed.

A message has its kind, the term, the sender's position, then the fields of its kind. A process's position is the
number of writes of its disk so far, without compacted files. A position below one that its process reported before
comes from an older copy of its disk: that process has confirmed votes and entries that the copy lacks. So the others
ignore its messages, and it takes part no more once it learns of this.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import Any

from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Append, Command, Committed, LogEvent, Objects, Rewrite, Send, SnapshotInstalled
from rushweir.rollout.control_messages import HANDLERS
from rushweir.rollout.control_peers import Peer
from rushweir.rollout.control_proposals import Proposals
from rushweir.rollout.control_records import TIMING, PendingWrite, Timing
from rushweir.rollout.control_status import status_row
from rushweir.rollout.election import LEADER, NOBODY, Election
from rushweir.rollout.follower import Follower
from rushweir.rollout.log import LOG_LIMITS, Log, LogLimits, Snapshot, apply_change_set, decode_entry, object_size
from rushweir.rollout.log_compaction import LogCompaction
from rushweir.rollout.storage import PersistentState

MAX_DELAYED_MESSAGES = 256  # that wait for the disk; beyond it the oldest is dropped, as when a stream is lost
MAX_PROCESSES = 7


class Control:
    """Control process ``me`` (from 0) of ``count``. Its caller carries out ``commands`` after each call."""

    def __init__(
        self,
        me: int,
        count: int,
        state: PersistentState,
        seed: int,
        now: float,
        timing: Timing = TIMING,
        limits: LogLimits = LOG_LIMITS,
    ) -> None:
        """``state``: from its disk (``storage.decode_file``), at the first start ``PersistentState(me, count)``.

        ``now`` here and below: milliseconds of the process's own clock. Raises ValueError."""
        if not (0 <= me < count <= MAX_PROCESSES and (state.me, state.count) == (me, count)):
            raise ValueError(
                f"control process {me} of {count}: the count must be 1 to {MAX_PROCESSES},"
                f" and its disk is of process {state.me} of {state.count}"
            )
        self.me, self.count, self.majority, self.now, self.timing = me, count, count // 2 + 1, now, timing
        self.others = tuple(k for k in range(count) if k != me)
        self.rng = random.Random(seed)
        self.commands: deque[Command] = deque()
        self.counts: Counter[str] = Counter()
        self.log = Log(state.snapshot, state.entries, limits)
        self.commit_index = state.snapshot.index  # as far as is known here
        self.objects: Objects = dict(state.snapshot.objects)
        self.object_bytes = sum(object_size(k, data) for k, (_, data) in self.objects.items())
        self.version = state.snapshot.version  # of the newest change set known to be committed; 0: none
        self.persisted_commit_index = state.commit_index  # the commit index on disk
        self.last_serial = self.persisted_serial = self.term_serial = 0
        self.position = self.persisted_position = state.position  # after all writes, and after those on disk
        self.persisted_index = self.log.last_index  # of the last log entry on disk
        self.pending_writes: deque[PendingWrite] = deque()
        self.delayed: deque[tuple[int, Send]] = deque()  # serial to wait for, message
        # The highest known position of each process, reported by it or by another; and the same as on disk.
        self.known_positions = list(state.known_positions) if len(state.known_positions) == count else [0] * count
        self.known_positions[me], self.persisted_positions = state.position, list(state.known_positions)
        self.stale_peers: set[int] = set()  # whose disk is an older copy, until one connects with a newer disk
        self.outdated = state.newer_position > 0  # this process's own disk is an older copy
        self.election = Election(self, state.term, state.voted_for)
        self.compaction = LogCompaction(self)
        self.follower = Follower(self)
        self.proposals = Proposals(self)
        self.peers: dict[int, Peer] = {}  # only at a leader

    @property
    def snapshot_version(self) -> int:
        """Change sets above it are kept one by one; a watcher below it needs a snapshot."""
        return self.log.snapshot.version

    @property
    def leader(self) -> int:
        """The leader, as far as is known here; -1: none."""
        return self.election.leader

    @property
    def term(self) -> int:
        return self.election.term

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Begin; what is known to be committed is reported as one ``SnapshotInstalled``."""
        self.now = now
        self.commit_through(self.persisted_commit_index, notify=False)
        if self.version:
            self.commands.append(SnapshotInstalled(self.version, dict(self.objects)))
        self.election.reset_timer()
        if self.count == 1:
            self.election.due_at = now

    def next_at(self) -> float | None:
        """When ``advance`` is due; None: never."""
        if self.outdated:
            return None
        if self.compaction.has_more:
            return self.now
        if self.election.role is LEADER:
            return min(
                (*(p.heartbeat_due_at for p in self.peers.values()), self._leadership_expires_at()), default=None
            )
        return self.election.due_at

    def advance(self, now: float) -> None:
        """Do what is due by now."""
        self.now = now
        if self.outdated:
            return
        self._check_quorum()
        self.election.tick()
        for peer in self.peers.values():
            peer.tick()
        self._persist_commit_index(self.commit_index)
        self.compaction.advance()

    def _leadership_expires_at(self) -> float:
        """When this leader must step down: an election timeout after it sent what the last of a majority answered.

        The others can't elect another leader without one of that majority."""
        if not self.peers:
            return self.now + self.timing.election_timeout_ms
        answered = sorted((p.last_heard_at for p in self.peers.values()), reverse=True)
        return answered[self.majority - 2] + self.timing.election_timeout_ms

    def _check_quorum(self) -> None:
        if self.election.role is LEADER and self.now >= self._leadership_expires_at():
            self.log_event("warning", "no_majority", term=self.term)
            self.election.become_follower(NOBODY)

    # --- messages --------------------------------------------------------------------------------

    def peer_connected(self, now: float, peer: int) -> None:
        """Note a new stream to a peer; messages in flight on an earlier one are lost."""
        self.now = now
        # Sent before any write could hide that the disk is an older copy. The receiver ignores its term.
        self._send_now(Send(peer, ["here", self.term, 0]))
        if peer in self.peers:
            self.peers[peer].connected()

    def receive(self, now: float, source: int, body: list[Any]) -> None:
        """Handle a message of another control process; malformed ones are counted and dropped."""
        self.now = now
        if self.outdated or source not in self.others:
            return
        try:
            kind, term, position, *rest = body
            handler = HANDLERS[kind]
            rest = handler.validate(term, position, rest)
        except (ValueError, TypeError, KeyError):
            self.counts["bad_messages"] += 1
            return
        if self._should_ignore(source, position, kind):
            return
        if term > self.election.term and kind not in ("pre", "here"):
            self.election.adopt_term(term)
        previous_commit_index = self.commit_index
        try:
            handler.act(self, source, term, rest)
            self._persist_commit_index(previous_commit_index)
        except ValueError as problem:
            self.counts["bad_messages"] += 1
            self.log_event("error", "bad_message", peer=source, kind=kind, why=str(problem)[:200])

    def _should_ignore(self, source: int, position: int, kind: str) -> bool:
        if position < self.known_positions[source]:
            self.stale_peers.add(source)
        elif kind == "here":
            self.stale_peers.discard(source)
        if source not in self.stale_peers:
            self.known_positions[source] = position
            return False
        if kind != "outdated":
            self.counts["outdated_messages"] += 1
            self.send(source, "outdated", self.known_positions[source])
        return kind != "outdated"

    def merge_positions(self, positions: list[int]) -> None:
        """Take over the positions that another process knows, that of this process included."""
        for k, position in enumerate(positions):
            if k != self.me:
                self.known_positions[k] = max(self.known_positions[k], position)
        self.stop_if_outdated(positions[self.me])

    def stop_if_outdated(self, position: int) -> None:
        """Stop taking part if this process has reported a position that its disk does not have."""
        if position > self.persisted_position and not self.outdated:
            self.election.become_follower(NOBODY)
            self.outdated = True
            self.delayed.clear()
            self.persist([["old", position]])  # it stays outdated when the others forget
            self.log_event("error", "disk_outdated", told=position, has=self.persisted_position)

    def positions(self) -> list[int]:
        """The highest known position of each process."""
        self.known_positions[self.me] = self.persisted_position
        return list(self.known_positions)

    def send(self, peer: int, kind: str, *rest: Any) -> None:
        """Send a message once its term is on disk; the entries that an answer confirms are on disk already."""
        message = Send(peer, [kind, self.term, 0, *rest])
        if self.persisted_serial >= self.term_serial:
            self._send_now(message)
            return
        self.delayed.append((self.term_serial, message))
        if len(self.delayed) > MAX_DELAYED_MESSAGES:
            self.delayed.popleft()

    def _send_now(self, message: Send) -> None:
        message.body[2] = self.persisted_position
        self.commands.append(message)

    def log_event(self, level: str, cause: str, **fields: Any) -> None:
        """Emit a log event."""
        self.commands.append(LogEvent(level, cause, fields))

    # --- the disk --------------------------------------------------------------------------------

    def persist(self, records: list[list[Any]], term: int | None = None) -> None:
        """Append records to the file; ``term``: the term that they hold, if any."""
        if self.commit_index > self.persisted_commit_index:  # part of a write that happens anyway
            records, self.persisted_commit_index = [["in", self.commit_index], *records], self.commit_index
        if self.known_positions != self.persisted_positions:
            records = [["heard", *self.known_positions], *records]
            self.persisted_positions = list(self.known_positions)
        self.position += 1
        self._write(Append, (*records, ["at", self.position]), term)

    def _persist_commit_index(self, before: int) -> None:
        """Write the commit index alone if it is unchanged since ``before`` and no write is pending, so that a burst
        is one write.

        It is part of the next write otherwise. A process that starts without the others knows it from its disk."""
        if (
            self.commit_index == before > self.persisted_commit_index
            and not self.pending_writes
            and not self.outdated
        ):
            self.persist([])

    def persist_term(self) -> None:
        """Persist the term and the vote in it; messages of the term are delayed until then."""
        self.persist([["term", self.term, self.election.voted_for]], self.term)
        self.term_serial = self.last_serial

    def _write(self, command: type, records: Any, term: int | None = None) -> None:
        self.last_serial += 1
        self.pending_writes.append(PendingWrite(self.last_serial, self.position, self.log.last_index, term))
        self.commands.append(command(self.last_serial, records))

    def persisted(self, now: float, serial: int) -> None:
        """The write with this serial, and all before it, are on disk."""
        self.now = now
        previous_index = self.persisted_index
        while self.pending_writes and self.pending_writes[0].serial <= serial:
            write = self.pending_writes.popleft()
            self.persisted_serial, self.persisted_position = write.serial, write.position
            self.persisted_index = max(self.persisted_index, write.last_index)
            self.compaction.persisted(write.serial)
            if write.term is not None:
                self.election.vote_persisted(write.term)
        while self.delayed and self.delayed[0][0] <= self.persisted_serial:
            self._send_now(self.delayed.popleft()[1])
        if self.persisted_index > previous_index and not self.outdated:
            if self.election.role is LEADER:
                self.advance_commit_index()
            elif self.leader != NOBODY:
                self.follower.send_append_answer(self.leader)

    def compacted(self, now: float, serial: int) -> None:
        """The new file of the ``Compact`` command (commands.py) with this serial is in place."""
        self.now = now
        self.compaction.file_in_place(serial)

    def truncate_log(self, index: int) -> None:
        """Drop the entry at this index and all after it: another leader replaces them."""
        self.log.truncate(index)
        self.persisted_index = min(self.persisted_index, index - 1)
        for write in self.pending_writes:
            write.last_index = min(write.last_index, index - 1)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log by the leader's snapshot; entries after it stay if they match it."""
        matches = self.log.term(snapshot.index) == snapshot.term
        entries = self.log.entries[snapshot.index - self.log.snapshot.index :] if matches else []
        self.log = Log(snapshot, entries, self.log.limits)
        self.persisted_index = 0  # answers confirm entries of the new file only
        for write in self.pending_writes:
            write.last_index = 0
        self.objects = dict(snapshot.objects)
        self.object_bytes = sum(object_size(k, data) for k, (_, data) in self.objects.items())
        self.version, self.commit_index = snapshot.version, snapshot.index
        self.position += 1
        self._write(Rewrite, self.persistent_state())
        self.compaction.snapshot_installed(self.last_serial)
        self.persisted_commit_index = self.commit_index

    def persistent_state(self) -> PersistentState:
        """All that belongs on disk now."""
        return PersistentState(
            self.me, self.count, self.term, self.election.voted_for, self.position, self.commit_index,
            tuple(self.known_positions), snapshot=self.log.snapshot, entries=list(self.log.entries),
        )  # fmt: skip

    # --- commits ---------------------------------------------------------------------------------

    def become_leader(self) -> None:
        """Begin to lead: an empty entry of the new term commits the entries before it."""
        self.log_event("info", "leads", term=self.term)
        self.follower.reset()
        self.peers = {k: Peer(self, k) for k in self.others}
        self.append_entry(b"")

    def step_down(self) -> None:
        """Lead no more; the results of pending proposals are unknown."""
        self.peers = {}
        self.proposals.fail_pending()

    def append_entry(self, data: bytes) -> int:
        """Append an entry as leader; return its index."""
        self.log.append(decode_entry(self.term, self.log.version, data))
        self.persist([["entry", self.log.last_index, self.term, data]])
        for peer in self.peers.values():
            peer.replicate()
        return self.log.last_index

    def advance_commit_index(self) -> None:
        """Commit what a majority has on disk; only an entry of the leader's own term is counted (Raft, 5.4.2)."""
        match_indexes = (self.persisted_index, *(p.match_index for p in self.peers.values()))
        index = sorted(match_indexes, reverse=True)[self.majority - 1]
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_through(index)
            for peer in self.peers.values():
                peer.replicate(heartbeat=True)  # the others and their watchers learn of it at once

    def commit_through(self, index: int, notify: bool = True) -> None:
        """Commit the entries up to this index; ``notify``: with a ``Committed`` for each change set."""
        if index <= self.commit_index:
            return
        for k in range(self.commit_index + 1, index + 1):
            entry = self.log.entry_at(k)
            self.commit_index = k
            if entry.change_set is not None:
                self.object_bytes += apply_change_set(self.objects, entry.change_set)
                self.version = entry.version
                if notify:
                    self.commands.append(Committed(entry.change_set))
        self.proposals.answer_committed(index)
        self.compaction.advance()

    # --- proposals and queries -------------------------------------------------------------------

    def propose(
        self, now: float, request_id: int, changes: tuple[Change, ...], author: str = "", base: int | None = None
    ) -> None:
        """Propose one change set of these changes; one ``ProposalAnswered`` with the request id follows.

        ``base`` is the version of the settings that the changes were made on: if a later change set changed one of
        the same objects, the proposal is refused with that object's name. None: no such check.
        """
        self.now = now
        self._check_quorum()
        self.proposals.propose(request_id, changes, author, base)

    def change_sets_since(self, version: int) -> list[ChangeSet] | None:
        """The committed change sets after a version, in order; None if some are compacted."""
        return None if version < self.snapshot_version else self.log.change_sets(version, self.commit_index)

    def status(self, now: float) -> dict[str, Any]:
        """The status row for operators."""
        self.now = now
        self._check_quorum()
        return status_row(self, now)
