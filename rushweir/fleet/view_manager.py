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
from rushweir.fleet.table import HEADING, SEAT, fitting
from rushweir.fleet.views import LOST, View, Wish, allot, next_number, seat

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

CLOSED, FETCHING, PUTTING, OPEN = "closed", "fetching", "putting", "open"
STEP_MS, AGAIN_MS = 100.0, 300.0  # changes of so long make one view; what was not answered is sent again
CHANGES = 16  # of one view
PAGE = 150  # bytes of seats in a datagram
MOST_PAGES = 2048
PUSHED = 4  # datagrams with a view for who asked for a seat: all of a small one; of a large one the rest is compared
FORMAT = 1


class StoredViewError(ValueError):
    """A file of a seed that can't be believed. Without what it voted for it must not vote."""


def dump(view: View) -> bytes:
    return msgpack.packb([FORMAT, view.number, [[n, s.pack()] for n, s in sorted(view.slots.items())]])


def load(data: bytes) -> View:
    """Raises StoredViewError."""
    try:
        form, number, rows = msgpack.unpackb(data)
        seats = {n: seat(d) for n, d in rows}
    except (ValueError, TypeError, msgpack.UnpackException) as problem:
        raise StoredViewError(f"not a kept view: {problem}") from None
    if form != FORMAT or type(number) is not int or None in seats.values():
        raise StoredViewError("not a kept view of this form")
    return View(number, seats)


class Pages:
    """Collects the pages of one view, in any order."""

    def __init__(self) -> None:
        self.number, self.got, self.of = 0, dict[int, list](), 0

    def take(self, number: int, page: int, of: int, rows: list) -> list | None:
        """All rows once the last page came."""
        if not 0 <= page < of <= MOST_PAGES:
            return None
        if number != self.number or of != self.of:
            self.number, self.got, self.of = number, {}, of
        self.got[page] = rows
        return [r for k in range(of) for r in self.got[k]] if len(self.got) == of else None


def changed(old: View, new: View) -> list[list]:
    """Rows that make one view into another; an empty seat is free."""
    numbers = old.slots.keys() | new.slots.keys()
    return [
        [n, new.slots[n].pack() if n in new.slots else b""]
        for n in sorted(numbers) if old.slots.get(n) != new.slots.get(n)
    ]  # fmt: skip


def applied(old: View, number: int, rows: list) -> View:
    seats = dict(old.slots)
    for n, data in rows:
        taken = seat(data)
        if taken is None:
            seats.pop(n, None)
        else:
            seats[n] = taken
    return View(number, seats)


class ViewManager:
    """A seed's part in views: as a voter that keeps them, and as the chair that makes them."""

    def __init__(self, fleet: Fleet, kept: View) -> None:
        self.fleet, self.stored = fleet, kept
        self.saving: dict[int, tuple[View, int]] = {}  # by serial of the order: a view, and who waits for its vote
        self.serial = 0
        self.pages, self.fetched = Pages(), Pages()
        # as chair
        self.state, self.ballot = CLOSED, 0
        self.latest = self.base = self.putting = kept  # what it put last, on what, and what it puts now
        self.votes: set[int] = set()
        self.behind: set[int] = set()  # voters that need all seats, not the changes
        self.sent_at = self.opened_at = 0.0
        self.source = (0, 0)
        self.wishes: dict[int, Wish] = {}
        self.left: dict[int, float] = {}  # processes that gave their seats back, and when
        self.lost_at: dict[int, float] = {}  # seats, and since when they are LOST in a view in force
        self.unseen: dict[int, float] = {}  # processes with a seat that nobody knows of, and since when

    # --- as a voter ------------------------------------------------------------------------------

    def put(self, sender: int, body: list) -> None:
        """The chair proposes a view."""
        ballot, number, base, digest, page, of, rows = body
        vote = self.fleet.lease_acceptor
        # While its grant to the chair lasts, nobody else can be in it: renewals raise what it promised meanwhile.
        late = ballot < vote.promised and vote.given(self.fleet.now) != sender
        if late or number <= self.stored.number:
            # Also told of one that is kept already: the vote may have been lost.
            self.fleet.send(f.VIEW_ACK, sender, [number, number == self.stored.number, self.stored.number])
            return
        if base not in (0, self.stored.number):
            self.fleet.send(f.VIEW_ACK, sender, [number, False, self.stored.number])
            return
        if any(v.number == number for v, _ in self.saving.values()):
            return
        if (all_rows := self.pages.take(number, page, of, rows)) is None:
            return
        view = applied(self.stored if base else View(), number, all_rows)
        if view.digest() == digest:
            self._keep(view, sender)
        else:
            self.fleet.send(f.VIEW_ACK, sender, [number, False, 0])

    def _keep(self, view: View, asker: int) -> None:
        self.serial += 1
        self.saving[self.serial] = view, asker
        self.fleet.keep(self.serial, dump(view))

    def was_kept(self, serial: int) -> None:
        """On disk: the vote counts from now on."""
        for n in [n for n in self.saving if n <= serial]:
            view, asker = self.saving.pop(n)
            if view.number > self.stored.number:
                self.stored = view
            if asker == self.fleet.me:
                self.voted(asker, view.number, True, view.number)
            else:
                self.fleet.send(f.VIEW_ACK, asker, [view.number, True, view.number])

    def wanted(self, sender: int, number: int) -> None:
        if number == self.stored.number:
            for kind_rows in self._paged(View(), self.stored):
                self.fleet.send(f.VIEW_PAGE, sender, [number, self.stored.digest(), *kind_rows])

    @staticmethod
    def _paged(old: View, new: View) -> list[list]:
        parts = fitting(changed(old, new), PAGE) or [[]]
        return [[k, len(parts), rows] for k, rows in enumerate(parts)]

    # --- as the chair ----------------------------------------------------------------------------

    def open(self, ballot: int, newest: int, who: int) -> None:
        """The lease is new."""
        self.ballot, self.opened_at, self.latest = ballot, self.fleet.now, self.stored
        self.lost_at, self.unseen, self.wishes = {}, {}, {}
        if newest > self.stored.number:
            self.state, self.source, self.sent_at = FETCHING, (newest, who), 0.0
        else:
            self.state = CLOSED
            self._put(self.stored.slots)

    def page(self, sender: int, body: list) -> None:
        number, digest, page, of, rows = body
        if self.state != FETCHING or (number, sender) != self.source:
            return
        if (all_rows := self.fetched.take(number, page, of, rows)) is not None:
            view = applied(View(), number, all_rows)
            if view.digest() == digest:
                self.latest = view
                self._put(view.slots)

    def _put(self, seats: dict, after: int = 0) -> None:
        newest = max(after, self.latest.number, self.fleet.view.number, self.stored.number)
        if (heading := self.fleet.table.get(HEADING, 0)) is not None:
            newest = max(newest, heading[0])  # all seeds lost their files: the numbers still go on
        self.base = self.latest
        self.latest = self.putting = View(next_number(newest, self.fleet.settings.voter), dict(seats))
        self.state, self.votes, self.behind = PUTTING, set(), set()
        self._keep(self.putting, self.fleet.me)
        self._send_put()

    def _send_put(self) -> None:
        self.sent_at, view = self.fleet.now, self.putting
        for voter in self.fleet.other_seeds():
            if voter.id in self.votes:
                continue
            whole = voter.id in self.behind
            base = View() if whole else self.base
            for part in self._paged(base, view):
                body = [self.ballot, view.number, base.number, view.digest(), *part]
                self.fleet.send(f.VIEW_PUT, voter.id, body)

    def voted(self, voter: int, number: int, ok: bool, has: int) -> None:
        fleet = self.fleet
        if self.state != PUTTING or number != self.putting.number or not fleet.leader_lease.is_held():
            return
        if not ok:
            if has > number:  # of an earlier chair, and never in force: a majority would have told of it
                self._put(self.putting.slots, has)
            else:
                self.behind.add(voter)
            return
        self.votes.add(voter)
        if len(self.votes) < fleet.leader_lease.majority:
            return
        view, self.state = self.putting, OPEN
        fleet.in_force(view, [fleet.settings.seeds.index(a) for a in self._addresses()])
        for n, s in view.slots.items():
            if s.state == LOST:
                self.lost_at.setdefault(n, fleet.now)
        self.lost_at = {n: t for n, t in self.lost_at.items() if n in view.slots and view.slots[n].state == LOST}
        for id_ in [i for i in self.wishes if view.holds(i)]:
            del self.wishes[id_]
            self._push(id_)
        for id_ in [i for i in self.left if view.number_of(i) < 0]:
            fleet.send(f.SEAT_FREED, id_, [])

    def _addresses(self) -> list:
        fleet = self.fleet
        known = [m.address for m in fleet.members.known.values() if m.id in self.votes]
        return [a for a in known if a in fleet.settings.seeds]

    def _push(self, id_: int) -> None:
        """Who asked for a seat need not wait until it hears of the view from others."""
        table, n = self.fleet.table, self.fleet.view.number_of(id_)
        others = sorted(k for k in table.entries_of(SEAT) if k != n)
        keys = [(HEADING, 0), (SEAT, n), *((SEAT, k) for k in others)]
        rows = [table.row(k) for k in keys if table.get(*k) is not None]
        for portion in fitting(rows, PAGE)[:PUSHED]:
            self.fleet.send(f.ROWS, id_, [portion])

    def step(self, _: object = None) -> None:
        fleet, now = self.fleet, self.fleet.now
        if self.state != CLOSED and not fleet.leader_lease.is_held():
            self.state = CLOSED
        if self.state == FETCHING and now >= self.sent_at + AGAIN_MS:
            self.sent_at = now
            fleet.send(f.VIEW_WANT, self.source[1], [self.source[0]])
            if now > self.opened_at + fleet.settings.leader_lease_ms:
                fleet.leader_lease.give_up()  # who had the view is gone; another round finds another
        elif self.state == PUTTING and now >= self.sent_at + AGAIN_MS:
            self._send_put()
        elif self.state == OPEN:
            self._propose_next()
        fleet.at(STEP_MS, self.step, None)

    def _propose_next(self) -> None:
        fleet, now, seats = self.fleet, self.fleet.now, self.latest.slots
        keep = max_under_drift(fleet.settings.keep_ms)
        freed = [n for n, t in self.lost_at.items() if now - t >= keep]
        silent, left = [], set(self.left)
        for s in seats.values():
            m = fleet.members.known.get(s.id)
            if m is not None:
                self.unseen.pop(s.id, None)
                if m.state == LEFT:
                    left.add(s.id)
                elif m.state == DEAD:
                    silent.append(s.id)
            elif now - self.unseen.setdefault(s.id, now) > suspicion_ms(fleet.settings.slot_count):
                silent.append(s.id)
        wishes = sorted(self.wishes.values(), key=lambda w: (w.number < 0, w.number, w.id))
        new, refused = allot(seats, fleet.settings.slot_count, wishes, left, silent, freed, CHANGES)
        for id_, why in refused.items():
            self.wishes.pop(id_, None)
            fleet.send(f.SEAT_NO, id_, [why])
        self.left = {i: t for i, t in self.left.items() if now - t < keep}
        if new != seats:
            self._put(new)

    def wish(self, id_: int, address: tuple[str, int], number: int) -> None:
        m = self.fleet.members.known.get(id_)
        if self.state == CLOSED or not self.fleet.leader_lease.is_held() or id_ in self.left:
            return
        if m is None or m.state >= DEAD:
            return  # it is told so, and objects first: else its seat would be lost and taken in turns
        if self.state == OPEN and self.latest.holds(id_) and number in (-1, self.latest.number_of(id_)):
            self._push(id_)
        elif len(self.wishes) < 2 * self.fleet.settings.slot_count:
            self.wishes[id_] = Wish(id_, address, number)

    def freed(self, id_: int) -> None:
        """A process gives its seat back; it will do nothing on it any more."""
        if self.state == CLOSED or not self.fleet.leader_lease.is_held():
            return
        self.wishes.pop(id_, None)
        if self.state == OPEN and self.latest.number_of(id_) < 0:
            self.fleet.send(f.SEAT_FREED, id_, [])
        if len(self.left) < 2 * self.fleet.settings.slot_count:
            self.left.setdefault(id_, self.fleet.now)

    def checked(self, body: Any) -> bool:
        """Whether a body of a put or a page has the form that its reading needs."""
        rows = body[-1] if body else None
        return isinstance(rows, list) and all(
            isinstance(r, list) and len(r) == 2 and type(r[0]) is int and 0 <= r[0] < self.fleet.settings.slot_count
            and isinstance(r[1], bytes) and (not r[1] or seat(r[1]) is not None) for r in rows
        )  # fmt: skip
