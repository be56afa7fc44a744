"""How copies of the table find each other and are compared: calls to seeds, digests, versions, entries. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rushweir.fleet import frame as f
from rushweir.fleet.members import ALIVE, SUSPECT
from rushweir.fleet.message_budget import MessageBudget
from rushweir.fleet.settings import COMPARE_INTERVAL_MS, JOIN_INTERVAL_MS
from rushweir.fleet.table import BUCKETS, MEMBER, SHORT_HASH_BYTES, SLOT, VIEW_HEADER, paginate

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

ROWS_BYTES, VERSIONS_BYTES = (
    f.MAX_BODY_BYTES - 8,
    f.MAX_BODY_BYTES - 16,
)  # bytes of entries, of versions, in a datagram
SKETCH_BYTES = f.MAX_BODY_BYTES - 8  # bytes of marks and of the numbers of parts
MAX_BUCKETS_PER_COMPARISON = 2  # parts of the table that one comparison leads to
BUSY_COMPARE_INTERVAL_MS = 200.0  # until the next comparison after one that brought something new
SKETCH_THRESHOLD_SHARE = (
    1 / 4
)  # of the parts differ: then about as many entries are lacking as their versions would take
MAX_ROW_DATAGRAMS = 6  # datagrams of entries for one digest
JOIN_REPLY_MEMBERS = 6  # members that a newcomer is told of at once
JOIN_SHARE = 0.2  # of the members call a seed that is not known to be alive, in each JOIN_MS


class Exchange:
    """One member's side."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.rng = fleet, fleet.rng
        self.has_new_rows = False  # something since the last comparison
        self.newer_view = (0, 0)  # who told last of a newer view than is held here, and of which
        self.join_reply_budget = MessageBudget(fleet.settings.per_s, fleet.now)

    def start(self) -> None:
        self.fleet.call_after(self.rng.uniform(0, COMPARE_INTERVAL_MS), self._compare, None)
        self.fleet.call_after(0.0, self._join, None)

    def _join(self, _: object) -> None:
        """Call the seeds that are not known to be alive: at the start, and after a cut that lasted."""
        fleet, s = self.fleet, self.fleet.settings
        lost = [a for a in s.seeds if a != s.address and fleet.members.alive_at(a) is None]
        few = fleet.members.count() < 2 * len(s.seeds)
        if not fleet.leaving:
            for address in lost:
                # After a cut each member on a side lacks the same seeds: that some of them call is enough.
                if few or self.rng.random() < JOIN_SHARE:
                    fleet.send_to(address, f.JOIN, f.ANY_RECEIVER, [fleet.table.row((MEMBER, fleet.me))])
        fleet.call_after(JOIN_INTERVAL_MS * self.rng.uniform(0.8, 1.2), self._join, None)

    def reply_to_join(self, to: int, address: tuple[str, int] | None = None) -> None:
        """Answer who knows nobody: with this process, and some others by lot."""
        fleet, known = self.fleet, self.fleet.members.known
        address = known[to].address if address is None and to in known else address
        if address is None:
            return
        others = [(MEMBER, x.id) for x in known.values() if x.state == ALIVE and x.id != fleet.me]
        keys = [(MEMBER, fleet.me), *self.rng.sample(others, min(JOIN_REPLY_MEMBERS, len(others)))]
        fleet.send_to(address, f.JOIN_REPLY, to, [paginate([fleet.table.row(k) for k in keys], ROWS_BYTES)[0]])

    def _compare(self, _: object) -> None:
        alive = self.fleet.members.alive()
        if alive and self.fleet.may_send() and not self.fleet.leaving:
            self._send_digest(self.rng.choice(alive).id, False)
        rest, self.has_new_rows = BUSY_COMPARE_INTERVAL_MS if self.has_new_rows else COMPARE_INTERVAL_MS, False
        self.fleet.call_after(rest * self.rng.uniform(0.8, 1.2), self._compare, None)

    def on_view_report(self, sender: int, view: int) -> None:
        """A member told which view it holds."""
        if view > self.fleet.view.number:
            self.newer_view = sender, view

    def request_newer_view(self) -> bool:
        """If a newer view was heard of than the one held here, ask for what is lacking of it: who said to hold it, or
        who made it. Each word of it is good for one question: a false one keeps nobody from asking the chair."""
        fleet, mine = self.fleet, self.fleet.view.number
        (asked, view), self.newer_view = self.newer_view, (0, 0)
        heading = fleet.table.get(VIEW_HEADER, 0)
        if view <= mine:
            asked = fleet.leader_id() if heading is not None and heading[0] > mine else 0
        m = fleet.members.known.get(asked)
        if m is None or m.state > SUSPECT or asked == fleet.me or fleet.leaving:
            return False
        self._send_digest(asked, True)
        return True

    def _send_digest(self, to: int, answer: bool) -> None:
        self.fleet.send(f.DIGEST, to, [self.fleet.table.digest(), answer])

    def on_digest(self, sender: int, digest: bytes, answer: bool) -> None:
        """Another's digest came. Where much differs, two bytes of each entry are told, and each side sends what the
        other lacks; where little does, versions of a part or two are compared first. ``answer``: the other wants
        entries and gives none, so that parts go as they are: two datagrams on the way, not four."""
        fleet, table, sent = self.fleet, self.fleet.table, 0
        parts = table.differing(digest)
        self.rng.shuffle(parts)
        if len(parts) <= SKETCH_THRESHOLD_SHARE * BUCKETS:
            if answer:
                parts.sort(key=lambda p: not any(kind == SLOT for kind, _ in table.keys(p)))  # the view first
            for part in parts[:MAX_BUCKETS_PER_COMPARISON]:
                entries = [table.row(k) for k in table.keys(part)]
                if answer and len(paginate(entries, ROWS_BYTES)) == 1:
                    self._send_rows(sender, entries)
                elif fleet.may_send():
                    self.send_versions(sender, part, table.versions(part), True)
            return
        if not answer:
            if fleet.may_send():
                self._send_sketch(sender, parts, True)
            return
        for part in parts:
            if sent < MAX_ROW_DATAGRAMS:
                sent += self._send_rows(sender, [table.row(k) for k in table.keys(part)])

    def _send_sketch(self, to: int, parts: list[int], answer: bool) -> None:
        """Tell what is held here of as many parts as fit; the other sends what is lacking of them, and with
        ``answer`` tells the same of its own."""
        told, marks = [], b""
        for part in parts:
            more = self.fleet.table.bucket_hashes(part)
            if 2 * len(told) + len(marks) + len(more) + 2 <= SKETCH_BYTES:
                told.append(part)
                marks += more
        if told:
            self.fleet.send(f.SKETCH, to, [told, marks, answer])
        elif answer:
            self._send_digest(to, True)  # no part fits: entries come as they are

    def on_sketch(self, sender: int, parts: Any, marks: Any, answer: bool) -> None:
        """Another told of some parts what it holds. Seats go first: a number is known to be one's own with the whole
        view. Raises TypeError where it is no sketch."""
        if not isinstance(parts, list) or not isinstance(marks, bytes):
            raise TypeError("a sketch")
        held = {marks[k : k + SHORT_HASH_BYTES] for k in range(0, len(marks), SHORT_HASH_BYTES)}
        parts = sorted({p for p in parts if type(p) is int and 0 <= p < BUCKETS})
        lacks = [key for part in parts for key in self.fleet.table.rows_without_hash(part, held)]
        self.rng.shuffle(lacks)
        lacks.sort(key=lambda key: key[0] == MEMBER)
        self._send_rows(sender, [self.fleet.table.row(key) for key in lacks], MAX_ROW_DATAGRAMS)
        if answer and self.fleet.may_send():
            self._send_sketch(sender, parts, False)

    def _send_rows(self, to: int, rows: list, most: int | None = None) -> int:
        sent = 0
        for portion in paginate(rows, ROWS_BYTES)[:most]:
            if self.fleet.may_send():
                self.fleet.send(f.ROWS, to, [portion])
                sent += 1
        return sent

    def send_leader(self, to: int) -> None:
        """Somebody asked this seed for what the chair does."""
        fleet = self.fleet
        keys = [(VIEW_HEADER, 0), (MEMBER, fleet.leader_id())]
        rows = [fleet.table.row(k) for k in keys if fleet.table.get(*k) is not None]
        if rows and fleet.may_send():
            fleet.send(f.ROWS, to, [rows])

    def send_versions(self, to: int, part: int, versions: list, answer: bool) -> None:
        """``answer``: the receiver says what it lacks. Of a large part some by lot are told."""
        portions = paginate(versions, VERSIONS_BYTES) or [[]]
        whole = len(portions) == 1
        if not whole:
            self.rng.shuffle(versions)
            portions = paginate(versions, VERSIONS_BYTES)
        self.fleet.send(f.VERSIONS, to, [part, whole and answer, answer, portions[0]])

    def on_versions(self, sender: int, part: int, whole: bool, answer: bool, theirs: list) -> None:
        lacks, wants = self.fleet.table.missing(part, theirs, whole)
        self._send_rows(sender, [self.fleet.table.row(k) for k in lacks])
        if wants and answer and self.fleet.may_send():
            mine = [[k, origin, (self.fleet.table.entries_of(k).get(origin) or (0,))[0]] for k, origin, _ in wants]
            self.send_versions(sender, part, mine, False)
