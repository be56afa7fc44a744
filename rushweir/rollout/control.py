"""A control process: one of a small fixed set that agrees on the numbered steps of the settings. No I/O, no clock.

It is Raft (Ongaro and Ousterhout 2014): election.py has terms and votes, control_peers.py what a leader sends,
follower.py what the others take, log.py the entries, storage.py their form on disk. What is joined here: time,
messages, what waits for the disk, proposals, and what is in force. Equal calls give equal orders.

An entry is in force once a majority has it on disk and one of the leader's own term is behind it or is it (5.4.2). A
step is made by the leader alone, so its number is its place among the steps of that log; two steps under one number
can lie on disks, but only one of them can come into force.

Messages: kind, term, the sender's position on its disk, then what the kind has. A position below one that this
process told before is an older copy of its disk: the others have its word for votes and entries that it lost, so
they take no more of its words, and it takes part no more once it hears so.
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

MAX_DELAYED_MESSAGES = 256  # messages that wait for the disk; beyond it the oldest goes, as when a stream is lost
MOST_PROCESSES = 7


class Control:
    """One of ``count`` control processes, the one with number ``me`` (from 0). Take the orders after each call."""

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
        """``kept``: what its disk held (``storage.decode_file``); a new one's is ``PersistentState(me, count)``."""
        if not (0 <= me < count <= MOST_PROCESSES and (state.me, state.count) == (me, count)):
            raise ValueError(f"control process {me} of {count}: 1 to {MOST_PROCESSES}, and its own disk")
        self.me, self.count, self.majority, self.now, self.timing = me, count, count // 2 + 1, now, timing
        self.others = tuple(k for k in range(count) if k != me)
        self.rng = random.Random(seed)
        self.commands: deque[Command] = deque()
        self.counts: Counter[str] = Counter()
        self.log = Log(state.snapshot, state.entries, limits)
        self.commit_index = state.snapshot.index  # entries up to this one are in force, as far as is known here
        self.objects: Objects = dict(state.snapshot.objects)
        self.object_bytes = sum(object_size(k, data) for k, (_, data) in self.objects.items())
        self.version = state.snapshot.version  # the newest step in force that is known here; 0: none
        self.persisted_commit_index = state.commit_index  # entries up to this one are in force by what is on disk
        self.last_serial = self.persisted_serial = self.term_serial = 0
        self.position = self.persisted_position = state.position  # of all writes, and of those on disk
        self.persisted_index = self.log.last_index  # entries up to this one are on its disk
        self.pending_writes: deque[PendingWrite] = deque()
        self.delayed: deque[tuple[int, Send]] = deque()
        # The highest position of each, by its own word or by another's; and as it lies on disk.
        self.known_positions = list(state.known_positions) if len(state.known_positions) == count else [0] * count
        self.known_positions[me], self.persisted_positions = state.position, list(state.known_positions)
        self.stale_peers: set[int] = set()  # whose disk is an older copy, until it comes with another
        self.outdated = state.newer_position > 0  # its disk is an older copy
        self.election = Election(self, state.term, state.voted_for)
        self.compaction = LogCompaction(self)
        self.follower = Follower(self)
        self.proposals = Proposals(self)
        self.peers: dict[int, Peer] = {}  # of a leader

    @property
    def snapshot_version(self) -> int:
        """Steps above it are kept one by one; a watcher below it needs the whole."""
        return self.log.snapshot.version

    @property
    def leader(self) -> int:
        """Who leads as far as is known here, -1: nobody."""
        return self.election.leader

    @property
    def term(self) -> int:
        return self.election.term

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """What is known to be in force is told as one whole."""
        self.now = now
        self.commit_through(self.persisted_commit_index, notify=False)
        if self.version:
            self.commands.append(SnapshotInstalled(self.version, dict(self.objects)))
        self.election.wait()
        if self.count == 1:
            self.election.due = now

    def next_at(self) -> float | None:
        """When ``advance`` is to be called; None: never."""
        if self.outdated:
            return None
        if self.compaction.has_more:
            return self.now
        if self.election.role is LEADER:
            return min((*(p.heartbeat_at for p in self.peers.values()), self._quorum_at()), default=None)
        return self.election.due

    def advance(self, now: float) -> None:
        self.now = now
        if self.outdated:
            return
        self._look_at_quorum()
        self.election.tick()
        for p in self.peers.values():
            p.tick()
        self._persist_commit_index(self.commit_index)
        self.compaction.advance()

    def _quorum_at(self) -> float:
        """Until when this leader may believe that it leads: an election time after it asked the last of a majority
        that answered. Others elect nobody without one of these."""
        if not self.peers:
            return self.now + self.timing.election_timeout_ms
        newest = sorted((p.heard_at for p in self.peers.values()), reverse=True)
        return newest[self.majority - 2] + self.timing.election_timeout_ms

    def _look_at_quorum(self) -> None:
        if self.election.role is LEADER and self.now >= self._quorum_at():
            self.log_event("warning", "no_majority", term=self.term)
            self.election.follow(NOBODY)

    # --- messages --------------------------------------------------------------------------------

    def peer_connected(self, now: float, peer: int) -> None:
        """There is a new stream to a peer; what was on its way is lost."""
        self.now = now
        # The first word on it, before any write could hide that the disk is an older copy. It speaks in no term.
        self._send_now(Send(peer, ["here", self.term, 0]))
        if peer in self.peers:
            self.peers[peer].connected()

    def receive(self, now: float, source: int, body: list[Any]) -> None:
        """Bad ones are counted and dropped."""
        self.now = now
        if self.outdated or source not in self.others:
            return
        try:
            kind, term, position, *rest = body
            handler = HANDLERS[kind]
            rest = handler.checked(term, position, rest)
        except (ValueError, TypeError, KeyError):
            self.counts["bad_messages"] += 1
            return
        if self._is_from_outdated_disk(source, position, kind):
            return
        if term > self.election.term and kind not in ("pre", "here"):
            self.election.newer(term)
        before = self.commit_index
        try:
            handler.act(self, source, term, rest)
            self._persist_commit_index(before)
        except ValueError as problem:
            self.counts["bad_messages"] += 1
            self.log_event("error", "bad_message", peer=source, kind=kind, why=str(problem)[:200])

    def _is_from_outdated_disk(self, source: int, position: int, kind: str) -> bool:
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

    def merge_positions(self, told: list[int]) -> None:
        """What another heard; of this process, too."""
        for k, position in enumerate(told):
            if k != self.me:
                self.known_positions[k] = max(self.known_positions[k], position)
        self.check_own_position(told[self.me])

    def check_own_position(self, position: int) -> None:
        if position > self.persisted_position and not self.outdated:
            self.election.follow(NOBODY)
            self.outdated = True
            self.delayed.clear()
            self.persist([["old", position]])  # so that it stays so where the others have forgotten
            self.log_event("error", "disk_outdated", told=position, has=self.persisted_position)

    def positions(self) -> list[int]:
        self.known_positions[self.me] = self.persisted_position
        return list(self.known_positions)

    def send(self, peer: int, kind: str, *rest: Any) -> None:
        """Send, once the term that it speaks in is on disk. Entries that an answer speaks of are by then, too."""
        send = Send(peer, [kind, self.term, 0, *rest])
        if self.persisted_serial >= self.term_serial:
            self._send_now(send)
            return
        self.delayed.append((self.term_serial, send))
        if len(self.delayed) > MAX_DELAYED_MESSAGES:
            self.delayed.popleft()

    def _send_now(self, send: Send) -> None:
        send.body[2] = self.persisted_position
        self.commands.append(send)

    def log_event(self, level: str, cause: str, **fields: Any) -> None:
        self.commands.append(LogEvent(level, cause, fields))

    # --- the disk --------------------------------------------------------------------------------

    def persist(self, records: list[list[Any]], term: int | None = None) -> None:
        if self.commit_index > self.persisted_commit_index:  # it goes along with what is written anyway
            records, self.persisted_commit_index = [["in", self.commit_index], *records], self.commit_index
        if self.known_positions != self.persisted_positions:
            records = [["heard", *self.known_positions], *records]
            self.persisted_positions = list(self.known_positions)
        self.position += 1
        self._write(Append, (*records, ["at", self.position]), term)

    def _persist_commit_index(self, before: int) -> None:
        """What is in force goes along with the next write; in a quiet time it gets one of its own, so that a process
        that starts without the others knows it."""
        if (
            self.commit_index == before > self.persisted_commit_index
            and not self.pending_writes
            and not self.outdated
        ):
            self.persist([])

    def persist_term(self) -> None:
        """The term and the vote in it; nothing is said in it before."""
        self.persist([["term", self.term, self.election.voted_for]], self.term)
        self.term_serial = self.last_serial

    def _write(self, order: type, records: Any, term: int | None = None) -> None:
        self.last_serial += 1
        self.pending_writes.append(PendingWrite(self.last_serial, self.position, self.log.last_index, term))
        self.commands.append(order(self.last_serial, records))

    def persisted(self, now: float, serial: int) -> None:
        """What was asked with this serial, and all before it, outlives a crash now."""
        self.now = now
        before = self.persisted_index
        while self.pending_writes and self.pending_writes[0].serial <= serial:
            w = self.pending_writes.popleft()
            self.persisted_serial, self.persisted_position = w.serial, w.position
            self.persisted_index = max(self.persisted_index, w.last_index)
            self.compaction.persisted(w.serial)
            if w.term is not None:
                self.election.voted_on_disk(w.term)
        while self.delayed and self.delayed[0][0] <= self.persisted_serial:
            self._send_now(self.delayed.popleft()[1])
        if self.persisted_index > before and not self.outdated:
            if self.election.role is LEADER:
                self.advance_commit_index()
            elif self.leader != NOBODY:
                self.follower.send_append_answer(self.leader)

    def compacted(self, now: float, serial: int) -> None:
        """The file that a ``Compact`` with this serial asked for is in place."""
        self.now = now
        self.compaction.file_in_place(serial)

    def truncate_log(self, index: int) -> None:
        """This entry and those behind it are another's now."""
        self.log.truncate(index)
        self.persisted_index = min(self.persisted_index, index - 1)
        for w in self.pending_writes:
            w.last_index = min(w.last_index, index - 1)

    def install_snapshot(self, base: Snapshot) -> None:
        """The whole, from the leader: what is behind it stays where it fits."""
        fits = self.log.term(base.index) == base.term
        self.log = Log(
            base, self.log.entries[base.index - self.log.snapshot.index :] if fits else [], self.log.limits
        )
        self.persisted_index = 0  # what answers speak of lies in the new file
        for w in self.pending_writes:
            w.last_index = 0
        self.objects = dict(base.objects)
        self.object_bytes = sum(object_size(k, data) for k, (_, data) in self.objects.items())
        self.version, self.commit_index = base.version, base.index
        self.position += 1
        self._write(Rewrite, self.persistent_state())
        self.compaction.snapshot_installed(self.last_serial)
        self.persisted_commit_index = self.commit_index

    def persistent_state(self) -> PersistentState:
        """All that is to be on disk by now."""
        return PersistentState(
            self.me, self.count, self.term, self.election.voted_for, self.position, self.commit_index,
            tuple(self.known_positions), snapshot=self.log.snapshot, entries=list(self.log.entries),
        )  # fmt: skip

    # --- what is in force ------------------------------------------------------------------------

    def become_leader(self) -> None:
        """Elected: an empty entry, by which what is behind it comes into force."""
        self.log_event("info", "leads", term=self.term)
        self.follower.reset()
        self.peers = {k: Peer(self, k) for k in self.others}
        self.append_entry(b"")

    def step_down(self) -> None:
        self.peers = {}
        self.proposals.left_open()

    def append_entry(self, data: bytes) -> int:
        """An entry of this leader's; its index."""
        self.log.append(decode_entry(self.term, self.log.version, data))
        self.persist([["entry", self.log.last_index, self.term, data]])
        for p in self.peers.values():
            p.replicate()
        return self.log.last_index

    def advance_commit_index(self) -> None:
        """Which entry a majority has on disk; the leader's own term's alone are counted (Raft, 5.4.2)."""
        index = sorted((self.persisted_index, *(p.match_index for p in self.peers.values())), reverse=True)[
            self.majority - 1
        ]
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_through(index)
            for p in self.peers.values():
                p.replicate(heartbeat=True)  # so that the others know it, and those who watch them

    def commit_through(self, index: int, notify: bool = True) -> None:
        """Entries up to this one are in force."""
        if index <= self.commit_index:
            return
        for k in range(self.commit_index + 1, index + 1):
            e = self.log.entry_at(k)
            self.commit_index = k
            if e.change_set is not None:
                self.object_bytes += apply_change_set(self.objects, e.change_set)
                self.version = e.version
                if notify:
                    self.commands.append(Committed(e.change_set))
        self.proposals.in_force(index)
        self.compaction.advance()

    # --- those who ask ---------------------------------------------------------------------------

    def propose(
        self, now: float, request_id: int, changes: tuple[Change, ...], author: str = "", base: int | None = None
    ) -> None:
        """Make one step of these changes; one ``ProposalAnswered`` with the request_id follows.

        ``base`` is the version on which whoever makes the change has seen the settings: where a later step changed
        one of the same objects it is refused with that object's name. None: whatever there is, is changed.
        """
        self.now = now
        self._look_at_quorum()
        self.proposals.propose(request_id, changes, author, base)

    def change_sets_since(self, number: int) -> list[ChangeSet] | None:
        """The steps in force after this one, in order; None where they are kept no more: the whole is needed."""
        return None if number < self.snapshot_version else self.log.change_sets(number, self.commit_index)

    def status(self, now: float) -> dict[str, Any]:
        self.now = now
        self._look_at_quorum()
        return status_row(self, now)
