"""How views come about: the seed in the chair proposes one; once a majority of the seeds keeps it, it is in force.

A seed keeps the newest view that it voted for, and tells its number with each promise. So whoever takes the chair
next hears of every view that was ever in force, fetches the newest, and opens with one of its own. What a chair does:

    from       event                                 to
    CLOSED     elected, and its own view is newest    PUTTING    its opening view
    CLOSED     elected, another seed's is newer       FETCHING
    FETCHING   all pages came                         PUTTING
    PUTTING    a majority keeps the view              OPEN       now it is in force, and told to all
    OPEN       somebody joins, leaves, falls silent   PUTTING
    any        the lease is over                      CLOSED

A view that is put is repeated until it is kept or the lease is over. No I/O, no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from rushweir.fleet import frame as f
from rushweir.fleet.drift import max_under_drift
from rushweir.fleet.members import DEAD, LEFT
from rushweir.fleet.settings import suspicion_ms
from rushweir.fleet.table import SLOT, VIEW_HEADER, paginate
from rushweir.fleet.views import LOST, SlotRequest, View, assign_slots, next_view_number, unpack_slot

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

CLOSED, FETCHING, PROPOSING, OPEN = "closed", "fetching", "putting", "open"
STEP_MS, RESEND_MS = 100.0, 300.0  # changes of so long make one view; what was not answered is sent again
MAX_CHANGES_PER_VIEW = 16  # of one view
PAGE_BYTES = 150  # bytes of seats in a datagram
MAX_PAGES = 2048
MAX_PUSHED_DATAGRAMS = (
    4  # datagrams with a view for who asked for a seat: all of a small one; of a large one the rest is compared
)
FORMAT = 1


class StoredViewError(ValueError):
    """A file of a seed that can't be believed. Without what it voted for it must not vote."""


def pack_view(view: View) -> bytes:
    return msgpack.packb([FORMAT, view.number, [[n, s.pack()] for n, s in sorted(view.slots.items())]])


def unpack_view(data: bytes) -> View:
    """Raises StoredViewError."""
    try:
        form, number, rows = msgpack.unpackb(data)
        seats = {n: unpack_slot(d) for n, d in rows}
    except (ValueError, TypeError, msgpack.UnpackException) as problem:
        raise StoredViewError(f"not a kept view: {problem}") from None
    if form != FORMAT or type(number) is not int or None in seats.values():
        raise StoredViewError("not a kept view of this form")
    return View(number, seats)


class Pages:
    """Collects the pages of one view, in any order."""

    def __init__(self) -> None:
        self.number, self.pages, self.page_count = 0, dict[int, list](), 0

    def add(self, number: int, page: int, of: int, rows: list) -> list | None:
        """All rows once the last page came."""
        if not 0 <= page < of <= MAX_PAGES:
            return None
        if number != self.number or of != self.page_count:
            self.number, self.pages, self.page_count = number, {}, of
        self.pages[page] = rows
        return [r for k in range(of) for r in self.pages[k]] if len(self.pages) == of else None


def changed_slots(old: View, new: View) -> list[list]:
    """Rows that make one view into another; an empty seat is free."""
    numbers = old.slots.keys() | new.slots.keys()
    return [
        [n, new.slots[n].pack() if n in new.slots else b""]
        for n in sorted(numbers) if old.slots.get(n) != new.slots.get(n)
    ]  # fmt: skip


def apply_changes(old: View, number: int, rows: list) -> View:
    seats = dict(old.slots)
    for n, data in rows:
        taken = unpack_slot(data)
        if taken is None:
            seats.pop(n, None)
        else:
            seats[n] = taken
    return View(number, seats)


class ViewManager:
    """A seed's part in views: as a voter that keeps them, and as the chair that makes them."""

    def __init__(self, fleet: Fleet, kept: View) -> None:
        self.fleet, self.stored = fleet, kept
        self.pending_saves: dict[
            int, tuple[View, int]
        ] = {}  # by serial of the order: a view, and who waits for its vote
        self.serial = 0
        self.proposal_pages, self.fetched_pages = Pages(), Pages()
        # as chair
        self.state, self.ballot = CLOSED, 0
        self.latest = self.base = self.proposed = kept  # what it put last, on what, and what it puts now
        self.accepted_by: set[int] = set()
        self.needs_snapshot: set[int] = set()  # voters that need all seats, not the changes
        self.sent_at = self.opened_at = 0.0
        self.source = (0, 0)
        self.slot_requests: dict[int, SlotRequest] = {}
        self.left: dict[int, float] = {}  # processes that gave their seats back, and when
        self.lost_at: dict[int, float] = {}  # seats, and since when they are LOST in a view in force
        self.unknown_since: dict[int, float] = {}  # processes with a seat that nobody knows of, and since when

    # --- as a voter ------------------------------------------------------------------------------

    def on_proposal(self, sender: int, body: list) -> None:
        """The chair proposes a view."""
        ballot, number, base, digest, page, of, rows = body
        vote = self.fleet.lease_acceptor
        # While its grant to the chair lasts, nobody else can be in it: renewals raise what it promised meanwhile.
        late = ballot < vote.promised_ballot and vote.current_holder(self.fleet.now) != sender
        if late or number <= self.stored.number:
            # Also told of one that is kept already: the vote may have been lost.
            self.fleet.send(f.VIEW_ACCEPT, sender, [number, number == self.stored.number, self.stored.number])
            return
        if base not in (0, self.stored.number):
            self.fleet.send(f.VIEW_ACCEPT, sender, [number, False, self.stored.number])
            return
        if any(v.number == number for v, _ in self.pending_saves.values()):
            return
        if (all_rows := self.proposal_pages.add(number, page, of, rows)) is None:
            return
        view = apply_changes(self.stored if base else View(), number, all_rows)
        if view.digest() == digest:
            self._store(view, sender)
        else:
            self.fleet.send(f.VIEW_ACCEPT, sender, [number, False, 0])

    def _store(self, view: View, asker: int) -> None:
        self.serial += 1
        self.pending_saves[self.serial] = view, asker
        self.fleet.save_file(self.serial, pack_view(view))

    def on_saved(self, serial: int) -> None:
        """On disk: the vote counts from now on."""
        for n in [n for n in self.pending_saves if n <= serial]:
            view, asker = self.pending_saves.pop(n)
            if view.number > self.stored.number:
                self.stored = view
            if asker == self.fleet.me:
                self.on_accept(asker, view.number, True, view.number)
            else:
                self.fleet.send(f.VIEW_ACCEPT, asker, [view.number, True, view.number])

    def on_fetch(self, sender: int, number: int) -> None:
        if number == self.stored.number:
            for kind_rows in self._paginate_changes(View(), self.stored):
                self.fleet.send(f.VIEW_PAGE, sender, [number, self.stored.digest(), *kind_rows])

    @staticmethod
    def _paginate_changes(old: View, new: View) -> list[list]:
        parts = paginate(changed_slots(old, new), PAGE_BYTES) or [[]]
        return [[k, len(parts), rows] for k, rows in enumerate(parts)]

    # --- as the chair ----------------------------------------------------------------------------

    def on_elected(self, ballot: int, newest: int, who: int) -> None:
        """The lease is new."""
        self.ballot, self.opened_at, self.latest = ballot, self.fleet.now, self.stored
        self.lost_at, self.unknown_since, self.slot_requests = {}, {}, {}
        if newest > self.stored.number:
            self.state, self.source, self.sent_at = FETCHING, (newest, who), 0.0
        else:
            self.state = CLOSED
            self._propose(self.stored.slots)

    def on_page(self, sender: int, body: list) -> None:
        number, digest, page, of, rows = body
        if self.state != FETCHING or (number, sender) != self.source:
            return
        if (all_rows := self.fetched_pages.add(number, page, of, rows)) is not None:
            view = apply_changes(View(), number, all_rows)
            if view.digest() == digest:
                self.latest = view
                self._propose(view.slots)

    def _propose(self, seats: dict, after: int = 0) -> None:
        newest = max(after, self.latest.number, self.fleet.view.number, self.stored.number)
        if (heading := self.fleet.table.get(VIEW_HEADER, 0)) is not None:
            newest = max(newest, heading[0])  # all seeds lost their files: the numbers still go on
        self.base = self.latest
        self.latest = self.proposed = View(next_view_number(newest, self.fleet.settings.seed_index), dict(seats))
        self.state, self.accepted_by, self.needs_snapshot = PROPOSING, set(), set()
        self._store(self.proposed, self.fleet.me)
        self._send_proposal()

    def _send_proposal(self) -> None:
        self.sent_at, view = self.fleet.now, self.proposed
        for voter in self.fleet.other_seeds():
            if voter.id in self.accepted_by:
                continue
            whole = voter.id in self.needs_snapshot
            base = View() if whole else self.base
            for part in self._paginate_changes(base, view):
                body = [self.ballot, view.number, base.number, view.digest(), *part]
                self.fleet.send(f.VIEW_PROPOSE, voter.id, body)

    def on_accept(self, voter: int, number: int, ok: bool, has: int) -> None:
        fleet = self.fleet
        if self.state != PROPOSING or number != self.proposed.number or not fleet.leader_lease.is_held():
            return
        if not ok:
            if has > number:  # of an earlier chair, and never in force: a majority would have told of it
                self._propose(self.proposed.slots, has)
            else:
                self.needs_snapshot.add(voter)
            return
        self.accepted_by.add(voter)
        if len(self.accepted_by) < fleet.leader_lease.majority:
            return
        view, self.state = self.proposed, OPEN
        fleet.publish_view(view, [fleet.settings.seeds.index(a) for a in self._accepting_seeds()])
        for n, s in view.slots.items():
            if s.state == LOST:
                self.lost_at.setdefault(n, fleet.now)
        self.lost_at = {n: t for n, t in self.lost_at.items() if n in view.slots and view.slots[n].state == LOST}
        for id_ in [i for i in self.slot_requests if view.has_active_slot(i)]:
            del self.slot_requests[id_]
            self._push_view(id_)
        for id_ in [i for i in self.left if view.slot_of(i) < 0]:
            fleet.send(f.SLOT_RELEASED, id_, [])

    def _accepting_seeds(self) -> list:
        fleet = self.fleet
        known = [m.address for m in fleet.members.known.values() if m.id in self.accepted_by]
        return [a for a in known if a in fleet.settings.seeds]

    def _push_view(self, id_: int) -> None:
        """Who asked for a seat need not wait until it hears of the view from others."""
        table, n = self.fleet.table, self.fleet.view.slot_of(id_)
        others = sorted(k for k in table.entries_of(SLOT) if k != n)
        keys = [(VIEW_HEADER, 0), (SLOT, n), *((SLOT, k) for k in others)]
        rows = [table.row(k) for k in keys if table.get(*k) is not None]
        for portion in paginate(rows, PAGE_BYTES)[:MAX_PUSHED_DATAGRAMS]:
            self.fleet.send(f.ROWS, id_, [portion])

    def tick(self, _: object = None) -> None:
        fleet, now = self.fleet, self.fleet.now
        if self.state != CLOSED and not fleet.leader_lease.is_held():
            self.state = CLOSED
        if self.state == FETCHING and now >= self.sent_at + RESEND_MS:
            self.sent_at = now
            fleet.send(f.VIEW_FETCH, self.source[1], [self.source[0]])
            if now > self.opened_at + fleet.settings.leader_lease_ms:
                fleet.leader_lease.release()  # who had the view is gone; another round finds another
        elif self.state == PROPOSING and now >= self.sent_at + RESEND_MS:
            self._send_proposal()
        elif self.state == OPEN:
            self._propose_next()
        fleet.call_after(STEP_MS, self.tick, None)

    def _propose_next(self) -> None:
        fleet, now, seats = self.fleet, self.fleet.now, self.latest.slots
        keep = max_under_drift(fleet.settings.keep_ms)
        freed = [n for n, t in self.lost_at.items() if now - t >= keep]
        silent, left = [], set(self.left)
        for s in seats.values():
            m = fleet.members.known.get(s.id)
            if m is not None:
                self.unknown_since.pop(s.id, None)
                if m.state == LEFT:
                    left.add(s.id)
                elif m.state == DEAD:
                    silent.append(s.id)
            elif now - self.unknown_since.setdefault(s.id, now) > suspicion_ms(fleet.settings.slot_count):
                silent.append(s.id)
        wishes = sorted(self.slot_requests.values(), key=lambda w: (w.slot < 0, w.slot, w.id))
        new, refused = assign_slots(
            seats, fleet.settings.slot_count, wishes, left, silent, freed, MAX_CHANGES_PER_VIEW
        )
        for id_, why in refused.items():
            self.slot_requests.pop(id_, None)
            fleet.send(f.SLOT_REFUSED, id_, [why])
        self.left = {i: t for i, t in self.left.items() if now - t < keep}
        if new != seats:
            self._propose(new)

    def request_slot(self, id_: int, address: tuple[str, int], number: int) -> None:
        m = self.fleet.members.known.get(id_)
        if self.state == CLOSED or not self.fleet.leader_lease.is_held() or id_ in self.left:
            return
        if m is None or m.state >= DEAD:
            return  # it is told so, and objects first: else its seat would be lost and taken in turns
        if self.state == OPEN and self.latest.has_active_slot(id_) and number in (-1, self.latest.slot_of(id_)):
            self._push_view(id_)
        elif len(self.slot_requests) < 2 * self.fleet.settings.slot_count:
            self.slot_requests[id_] = SlotRequest(id_, address, number)

    def release_slot(self, id_: int) -> None:
        """A process gives its seat back; it will do nothing on it any more."""
        if self.state == CLOSED or not self.fleet.leader_lease.is_held():
            return
        self.slot_requests.pop(id_, None)
        if self.state == OPEN and self.latest.slot_of(id_) < 0:
            self.fleet.send(f.SLOT_RELEASED, id_, [])
        if len(self.left) < 2 * self.fleet.settings.slot_count:
            self.left.setdefault(id_, self.fleet.now)

    def is_well_formed(self, body: Any) -> bool:
        """Whether a body of a put or a page has the form that its reading needs."""
        rows = body[-1] if body else None
        return isinstance(rows, list) and all(
            isinstance(r, list) and len(r) == 2 and type(r[0]) is int and 0 <= r[0] < self.fleet.settings.slot_count
            and isinstance(r[1], bytes) and (not r[1] or unpack_slot(r[1]) is not None) for r in rows
        )  # fmt: skip
