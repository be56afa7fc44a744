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
from dataclasses import dataclass
from typing import Any

from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Append, Committed, LogEvent, Objects, Order, Rewrite, Send, SnapshotInstalled
from rushweir.rollout.control_messages import HANDLERS
from rushweir.rollout.control_peers import Peer
from rushweir.rollout.control_proposals import Proposals
from rushweir.rollout.election import FOLLOWER, LEADER, NOBODY, Election
from rushweir.rollout.follower import Follower
from rushweir.rollout.log import BOUNDS, Base, Bounds, Log, apply, entry, size
from rushweir.rollout.log_compaction import LogCompaction
from rushweir.rollout.storage import Kept

MOST_HELD = 256  # messages that wait for the disk; beyond it the oldest goes, as when a stream is lost
MOST_PROCESSES = 7


@dataclass(frozen=True, slots=True)
class Times:
    """In milliseconds of the process's own clock."""

    beat: float = 200.0  # a leader is heard at least so often
    election: float = 1_500.0  # silence after which others stand, after this and up to twice of it


TIMES = Times()


@dataclass(slots=True)
class Write:
    """One write that is not on disk yet."""

    serial: int
    position: int
    last: int  # the log's end with it
    term: int | None  # the term that it keeps, if it does


class Control:
    """One of ``count`` control processes, the one with number ``me`` (from 0). Take the orders after each call."""

    def __init__(
        self, me: int, count: int, kept: Kept, seed: int, now: float, times: Times = TIMES, bounds: Bounds = BOUNDS
    ) -> None:
        """``kept``: what its disk held (``storage.read``); a new one's is ``Kept(me, count)``."""
        if not (0 <= me < count <= MOST_PROCESSES and (kept.me, kept.count) == (me, count)):
            raise ValueError(f"control process {me} of {count}: 1 to {MOST_PROCESSES}, and its own disk")
        self.me, self.count, self.majority, self.now, self.times = me, count, count // 2 + 1, now, times
        self.others = tuple(k for k in range(count) if k != me)
        self.rng = random.Random(seed)
        self.orders: deque[Order] = deque()
        self.counts: Counter[str] = Counter()
        self.log = Log(kept.base, kept.entries, bounds)
        self.commit = kept.base.index  # entries up to this one are in force, as far as is known here
        self.objects: Objects = dict(kept.base.objects)
        self.bytes = sum(size(k, data) for k, (_, data) in self.objects.items())
        self.number = kept.base.number  # the newest step in force that is known here; 0: none
        self.known = kept.committed  # entries up to this one are in force by what is on disk
        self.serial = self.on_disk = self.hard = 0
        self.position = self.told_position = kept.position  # of all writes, and of those on disk
        self.durable = self.log.last  # entries up to this one are on its disk
        self.writes: deque[Write] = deque()
        self.held: deque[tuple[int, Send]] = deque()
        # The highest position of each, by its own word or by another's; and as it lies on disk.
        self.heard = list(kept.heard) if len(kept.heard) == count else [0] * count
        self.heard[me], self.heard_kept = kept.position, list(kept.heard)
        self.stale: set[int] = set()  # whose disk is an older copy, until it comes with another
        self.outdated = kept.old > 0  # its disk is an older copy
        self.election = Election(self, kept.term, kept.voted)
        self.folding = LogCompaction(self)
        self.follower = Follower(self)
        self.proposals = Proposals(self)
        self.peers: dict[int, Peer] = {}  # of a leader

    @property
    def floor(self) -> int:
        """Steps above it are kept one by one; a watcher below it needs the whole."""
        return self.log.base.number

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
        self.force(self.known, tell=False)
        if self.number:
            self.orders.append(SnapshotInstalled(self.number, dict(self.objects)))
        self.election.wait()
        if self.count == 1:
            self.election.due = now

    def next_at(self) -> float | None:
        """When ``advance`` is to be called; None: never."""
        if self.outdated:
            return None
        if self.folding.goes_on:
            return self.now
        if self.election.role is LEADER:
            return min((*(p.beat_at for p in self.peers.values()), self._quorum_at()), default=None)
        return self.election.due

    def advance(self, now: float) -> None:
        self.now = now
        if self.outdated:
            return
        self._look_at_quorum()
        self.election.tick()
        for p in self.peers.values():
            p.tick()
        self._keep_commit(self.commit)
        self.folding.turn()

    def _quorum_at(self) -> float:
        """Until when this leader may believe that it leads: an election time after it asked the last of a majority
        that answered. Others elect nobody without one of these."""
        if not self.peers:
            return self.now + self.times.election
        newest = sorted((p.heard_at for p in self.peers.values()), reverse=True)
        return newest[self.majority - 2] + self.times.election

    def _look_at_quorum(self) -> None:
        if self.election.role is LEADER and self.now >= self._quorum_at():
            self.note("warning", "no_majority", term=self.term)
            self.election.follow(NOBODY)

    # --- messages --------------------------------------------------------------------------------

    def linked(self, now: float, peer: int) -> None:
        """There is a new stream to a peer; what was on its way is lost."""
        self.now = now
        # The first word on it, before any write could hide that the disk is an older copy. It speaks in no term.
        self._send(Send(peer, ["here", self.term, 0]))
        if peer in self.peers:
            self.peers[peer].linked()

    def message(self, now: float, source: int, body: list[Any]) -> None:
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
        if self._is_outdated(source, position, kind):
            return
        if term > self.election.term and kind not in ("pre", "here"):
            self.election.newer(term)
        before = self.commit
        try:
            handler.act(self, source, term, rest)
            self._keep_commit(before)
        except ValueError as problem:
            self.counts["bad_messages"] += 1
            self.note("error", "bad_message", peer=source, kind=kind, why=str(problem)[:200])

    def _is_outdated(self, source: int, position: int, kind: str) -> bool:
        if position < self.heard[source]:
            self.stale.add(source)
        elif kind == "here":
            self.stale.discard(source)
        if source not in self.stale:
            self.heard[source] = position
            return False
        if kind != "outdated":
            self.counts["outdated_messages"] += 1
            self.tell(source, "outdated", self.heard[source])
        return kind != "outdated"

    def take_positions(self, told: list[int]) -> None:
        """What another heard; of this process, too."""
        for k, position in enumerate(told):
            if k != self.me:
                self.heard[k] = max(self.heard[k], position)
        self.told_outdated(told[self.me])

    def told_outdated(self, position: int) -> None:
        if position > self.told_position and not self.outdated:
            self.election.follow(NOBODY)
            self.outdated = True
            self.held.clear()
            self.keep([["old", position]])  # so that it stays so where the others have forgotten
            self.note("error", "disk_outdated", told=position, has=self.told_position)

    def positions(self) -> list[int]:
        self.heard[self.me] = self.told_position
        return list(self.heard)

    def tell(self, peer: int, kind: str, *rest: Any) -> None:
        """Send, once the term that it speaks in is on disk. Entries that an answer speaks of are by then, too."""
        send = Send(peer, [kind, self.term, 0, *rest])
        if self.on_disk >= self.hard:
            self._send(send)
            return
        self.held.append((self.hard, send))
        if len(self.held) > MOST_HELD:
            self.held.popleft()

    def _send(self, send: Send) -> None:
        send.body[2] = self.told_position
        self.orders.append(send)

    def note(self, level: str, cause: str, **fields: Any) -> None:
        self.orders.append(LogEvent(level, cause, fields))

    # --- the disk --------------------------------------------------------------------------------

    def keep(self, records: list[list[Any]], term: int | None = None) -> None:
        if self.commit > self.known:  # it goes along with what is written anyway
            records, self.known = [["in", self.commit], *records], self.commit
        if self.heard != self.heard_kept:
            records = [["heard", *self.heard], *records]
            self.heard_kept = list(self.heard)
        self.position += 1
        self._order(Append, (*records, ["at", self.position]), term)

    def _keep_commit(self, before: int) -> None:
        """What is in force goes along with the next write; in a quiet time it gets one of its own, so that a process
        that starts without the others knows it."""
        if self.commit == before > self.known and not self.writes and not self.outdated:
            self.keep([])

    def keep_term(self) -> None:
        """The term and the vote in it; nothing is said in it before."""
        self.keep([["term", self.term, self.election.voted]], self.term)
        self.hard = self.serial

    def _order(self, order: type, records: Any, term: int | None = None) -> None:
        self.serial += 1
        self.writes.append(Write(self.serial, self.position, self.log.last, term))
        self.orders.append(order(self.serial, records))

    def kept(self, now: float, serial: int) -> None:
        """What was asked with this serial, and all before it, outlives a crash now."""
        self.now = now
        before = self.durable
        while self.writes and self.writes[0].serial <= serial:
            w = self.writes.popleft()
            self.on_disk, self.told_position, self.durable = w.serial, w.position, max(self.durable, w.last)
            self.folding.kept(w.serial)
            if w.term is not None:
                self.election.voted_on_disk(w.term)
        while self.held and self.held[0][0] <= self.on_disk:
            self._send(self.held.popleft()[1])
        if self.durable > before and not self.outdated:
            if self.election.role is LEADER:
                self.count_up()
            elif self.leader != NOBODY:
                self.follower.answer(self.leader)

    def folded(self, now: float, serial: int) -> None:
        """The file that a ``Compact`` with this serial asked for is in place."""
        self.now = now
        self.folding.done(serial)

    def cut(self, index: int) -> None:
        """This entry and those behind it are another's now."""
        self.log.cut(index)
        self.durable = min(self.durable, index - 1)
        for w in self.writes:
            w.last = min(w.last, index - 1)

    def replace(self, base: Base) -> None:
        """The whole, from the leader: what is behind it stays where it fits."""
        fits = self.log.term(base.index) == base.term
        self.log = Log(base, self.log.entries[base.index - self.log.base.index :] if fits else [], self.log.bounds)
        self.durable = 0  # what answers speak of lies in the new file
        for w in self.writes:
            w.last = 0
        self.objects = dict(base.objects)
        self.bytes = sum(size(k, data) for k, (_, data) in self.objects.items())
        self.number, self.commit = base.number, base.index
        self.position += 1
        self._order(Rewrite, self.whole())
        self.folding.replaced(self.serial)
        self.known = self.commit

    def whole(self) -> Kept:
        """All that is to be on disk by now."""
        return Kept(
            self.me, self.count, self.term, self.election.voted, self.position, self.commit, tuple(self.heard),
            base=self.log.base, entries=list(self.log.entries),
        )  # fmt: skip

    # --- what is in force ------------------------------------------------------------------------

    def lead(self) -> None:
        """Elected: an empty entry, by which what is behind it comes into force."""
        self.note("info", "leads", term=self.term)
        self.follower.reset()
        self.peers = {k: Peer(self, k) for k in self.others}
        self.add(b"")

    def step_down(self) -> None:
        self.peers = {}
        self.proposals.left_open()

    def add(self, data: bytes) -> int:
        """An entry of this leader's; its index."""
        self.log.append(entry(self.term, self.log.number, data))
        self.keep([["entry", self.log.last, self.term, data]])
        for p in self.peers.values():
            p.send()
        return self.log.last

    def count_up(self) -> None:
        """Which entry a majority has on disk; the leader's own term's alone are counted (Raft, 5.4.2)."""
        index = sorted((self.durable, *(p.match for p in self.peers.values())), reverse=True)[self.majority - 1]
        if index > self.commit and self.log.term(index) == self.term:
            self.force(index)
            for p in self.peers.values():
                p.send(beat=True)  # so that the others know it, and those who watch them

    def force(self, index: int, tell: bool = True) -> None:
        """Entries up to this one are in force."""
        if index <= self.commit:
            return
        for k in range(self.commit + 1, index + 1):
            e = self.log.at(k)
            self.commit = k
            if e.step is not None:
                self.bytes += apply(self.objects, e.step)
                self.number = e.number
                if tell:
                    self.orders.append(Committed(e.step))
        self.proposals.in_force(index)
        self.folding.turn()

    # --- those who ask ---------------------------------------------------------------------------

    def propose(
        self, now: float, ticket: int, changes: tuple[Change, ...], author: str = "", base: int | None = None
    ) -> None:
        """Make one step of these changes; one ``ProposalAnswered`` with the ticket follows.

        ``base`` is the version on which whoever makes the change has seen the settings: where a later step changed
        one of the same objects it is refused with that object's name. None: whatever there is, is changed.
        """
        self.now = now
        self._look_at_quorum()
        self.proposals.propose(ticket, changes, author, base)

    def since(self, number: int) -> list[ChangeSet] | None:
        """The steps in force after this one, in order; None where they are kept no more: the whole is needed."""
        return None if number < self.floor else self.log.steps(number, self.commit)

    def status(self, now: float) -> dict[str, Any]:
        self.now = now
        self._look_at_quorum()
        role = self.election.role
        return {
            "me": self.me, "count": self.count, "role": "outdated" if self.outdated else role, "leader": self.leader,
            "term": self.term, "number": self.number, "floor": self.floor, "objects": len(self.objects),
            "bytes": self.bytes, "entries": len(self.log.entries), "waiting": len(self.proposals.open),
            # Whether a change can be made from here: a leader with a majority, or one that was heard lately.
            "majority": not self.outdated and (role is LEADER or (
                role is FOLLOWER and self.leader != NOBODY and now - self.election.heard_at < self.times.election)),
            "peers": [
                {"process": k, "match": p.match, "heard_ms": round(now - p.heard_at)} for k, p in self.peers.items()
            ],
        }  # fmt: skip
