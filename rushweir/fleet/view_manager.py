"""How views are agreed on: the leader proposes one; once a majority of the seeds has stored it, it is in force.

A seed stores the newest view that it accepted and names its number in each promise. So the next leader learns of
every view that was ever in force, fetches the newest and opens with a view of its own. States of the leader:

    from       event                                  to
    CLOSED     elected, and its own view is newest    PROPOSING    its opening view
    CLOSED     elected, another seed's is newer       FETCHING
    FETCHING   all pages came                         PROPOSING
    PROPOSING  a majority has stored the view         OPEN         it is in force, and published
    OPEN       a member joins, leaves, falls silent   PROPOSING
    any        the lease expired                      CLOSED

A proposal is repeated until it is stored or the lease expires. No I/O, no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from rushweir.fleet import frame
from rushweir.fleet.drift import max_under_drift
from rushweir.fleet.members import DEAD, LEFT
from rushweir.fleet.settings import suspicion_ms
from rushweir.fleet.table import SLOT, VIEW_HEADER, paginate
from rushweir.fleet.views import LOST, SlotRequest, View, assign_slots, next_view_number, unpack_slot

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

CLOSED, FETCHING, PROPOSING, OPEN = "closed", "fetching", "putting", "open"
BATCH_MS = 100.0  # changes within this time make one view
RESEND_MS = 300.0
MAX_CHANGES_PER_VIEW = 16
PAGE_BYTES = 150  # of slots in a datagram
MAX_PAGES = 2048
# Sent to a member that asked for a slot: the whole of a small view; the rest of a large one comes by anti-entropy.
MAX_PUSHED_DATAGRAMS = 4
FORMAT = 1


class StoredViewError(ValueError):
    """A seed's stored view is unreadable. Without knowing what it accepted the seed must not vote."""


def pack_view(view: View) -> bytes:
    """Returns a view as it is stored."""
    return msgpack.packb([FORMAT, view.number, [[n, s.pack()] for n, s in sorted(view.slots.items())]])


def unpack_view(data: bytes) -> View:
    """Returns a stored view. Raises StoredViewError."""
    try:
        format_, number, rows = msgpack.unpackb(data)
        slots = {n: unpack_slot(d) for n, d in rows}
    except (ValueError, TypeError, msgpack.UnpackException) as problem:
        raise StoredViewError(f"the stored view of this seed is unreadable: {problem}") from None
    if format_ != FORMAT or type(number) is not int or None in slots.values():
        raise StoredViewError("the stored view of this seed is unreadable: not of this format")
    return View(number, slots)


class Pages:
    """Collects the pages of one view, in any order."""

    def __init__(self) -> None:
        self.number, self.pages, self.page_count = 0, dict[int, list](), 0

    def add(self, number: int, page: int, page_count: int, rows: list) -> list | None:
        """Returns all rows once the last page came, else None."""
        if not 0 <= page < page_count <= MAX_PAGES:
            return None
        if number != self.number or page_count != self.page_count:
            self.number, self.pages, self.page_count = number, {}, page_count
        self.pages[page] = rows
        return [r for k in range(page_count) for r in self.pages[k]] if len(self.pages) == page_count else None


def changed_slots(old: View, new: View) -> list[list]:
    """Returns the slots in which two views differ, as rows; an empty one is free in the new view."""
    numbers = old.slots.keys() | new.slots.keys()
    return [
        [n, new.slots[n].pack() if n in new.slots else b""]
        for n in sorted(numbers) if old.slots.get(n) != new.slots.get(n)
    ]  # fmt: skip


def apply_changes(old: View, number: int, rows: list) -> View:
    """Returns the view that results from a base and the rows of changed slots."""
    slots = dict(old.slots)
    for n, data in rows:
        slot = unpack_slot(data)
        if slot is None:
            slots.pop(n, None)
        else:
            slots[n] = slot
    return View(number, slots)


class ViewManager:
    """One seed's stored view and, while it leads, its proposals."""

    def __init__(self, fleet: Fleet, stored: View) -> None:
        self.fleet, self.stored = fleet, stored
        self.pending_saves: dict[int, tuple[View, int]] = {}  # by serial: a view, and who waits for the vote
        self.serial = 0
        self.proposal_pages, self.fetched_pages = Pages(), Pages()
        # As the leader:
        self.state, self.ballot = CLOSED, 0
        self.latest = self.base = self.proposed = stored  # the last view, its base, and the proposal
        self.accepted_by: set[int] = set()
        self.needs_snapshot: set[int] = set()  # seeds that need all slots, not the changes
        self.sent_at = self.elected_at = 0.0
        self.fetch_from = (0, 0)  # (view number, seed)
        self.slot_requests: dict[int, SlotRequest] = {}
        self.released_at: dict[int, float] = {}  # processes that gave their slots back, and when
        self.lost_at: dict[int, float] = {}  # slots, and since when they are LOST in a view in force
        self.unknown_since: dict[int, float] = {}  # processes with a slot that are no known members

    # --- as an acceptor --------------------------------------------------------------------------

    def on_proposal(self, sender: int, body: list) -> None:
        """The leader proposes a view."""
        ballot, number, base, digest, page, page_count, rows = body
        acceptor = self.fleet.lease_acceptor
        # While the accepted lease lasts nobody else can lead; renewals raise the promised ballot meanwhile.
        is_outdated = ballot < acceptor.promised_ballot and acceptor.current_holder(self.fleet.now) != sender
        if is_outdated or number <= self.stored.number:
            # Also answered for a view that is already stored: the first answer may have been lost.
            self.fleet.send(frame.VIEW_ACCEPT, sender, [number, number == self.stored.number, self.stored.number])
            return
        if base not in (0, self.stored.number):
            self.fleet.send(frame.VIEW_ACCEPT, sender, [number, False, self.stored.number])
            return
        if any(v.number == number for v, _ in self.pending_saves.values()):
            return
        if (all_rows := self.proposal_pages.add(number, page, page_count, rows)) is None:
            return
        view = apply_changes(self.stored if base else View(), number, all_rows)
        if view.digest() == digest:
            self._store(view, sender)
        else:
            self.fleet.send(frame.VIEW_ACCEPT, sender, [number, False, 0])

    def _store(self, view: View, asker: int) -> None:
        self.serial += 1
        self.pending_saves[self.serial] = view, asker
        self.fleet.save_file(self.serial, pack_view(view))

    def on_saved(self, serial: int) -> None:
        """The view is on disk: the vote counts from now on."""
        for n in [n for n in self.pending_saves if n <= serial]:
            view, asker = self.pending_saves.pop(n)
            if view.number > self.stored.number:
                self.stored = view
            if asker == self.fleet.me:
                self.on_accept(asker, view.number, True, view.number)
            else:
                self.fleet.send(frame.VIEW_ACCEPT, asker, [view.number, True, view.number])

    def on_fetch(self, sender: int, number: int) -> None:
        """A new leader asks for the stored view."""
        if number == self.stored.number:
            for page in self._paginate_changes(View(), self.stored):
                self.fleet.send(frame.VIEW_PAGE, sender, [number, self.stored.digest(), *page])

    @staticmethod
    def _paginate_changes(old: View, new: View) -> list[list]:
        pages = paginate(changed_slots(old, new), PAGE_BYTES) or [[]]
        return [[k, len(pages), rows] for k, rows in enumerate(pages)]

    # --- as the leader ---------------------------------------------------------------------------

    def on_elected(self, ballot: int, newest: int, seed: int) -> None:
        """This seed became the leader. ``newest`` is the number of the newest stored view that a promise named,
        ``seed`` the process that has it."""
        self.ballot, self.elected_at, self.latest = ballot, self.fleet.now, self.stored
        self.lost_at, self.unknown_since, self.slot_requests = {}, {}, {}
        if newest > self.stored.number:
            self.state, self.fetch_from, self.sent_at = FETCHING, (newest, seed), 0.0
        else:
            self.state = CLOSED
            self._propose(self.stored.slots)

    def on_page(self, sender: int, body: list) -> None:
        """A page of a fetched view came."""
        number, digest, page, page_count, rows = body
        if self.state != FETCHING or (number, sender) != self.fetch_from:
            return
        if (all_rows := self.fetched_pages.add(number, page, page_count, rows)) is not None:
            view = apply_changes(View(), number, all_rows)
            if view.digest() == digest:
                self.latest = view
                self._propose(view.slots)

    def _propose(self, slots: dict, newer_than: int = 0) -> None:
        newest = max(newer_than, self.latest.number, self.fleet.view.number, self.stored.number)
        if (header := self.fleet.table.get(VIEW_HEADER, 0)) is not None:
            newest = max(newest, header[0])  # numbers go on even if all seeds lost their files
        self.base = self.latest
        self.latest = self.proposed = View(next_view_number(newest, self.fleet.settings.seed_index), dict(slots))
        self.state, self.accepted_by, self.needs_snapshot = PROPOSING, set(), set()
        self._store(self.proposed, self.fleet.me)
        self._send_proposal()

    def _send_proposal(self) -> None:
        self.sent_at, view = self.fleet.now, self.proposed
        for voter in self.fleet.other_seeds():
            if voter.id in self.accepted_by:
                continue
            send_all_slots = voter.id in self.needs_snapshot
            base = View() if send_all_slots else self.base
            for page in self._paginate_changes(base, view):
                body = [self.ballot, view.number, base.number, view.digest(), *page]
                self.fleet.send(frame.VIEW_PROPOSE, voter.id, body)

    def on_accept(self, voter: int, number: int, is_stored: bool, stored_number: int) -> None:
        """A seed stored the proposal, or refused it and names the view that it stores. With a majority the view is in
        force."""
        fleet = self.fleet
        if self.state != PROPOSING or number != self.proposed.number or not fleet.leader_lease.is_held():
            return
        if not is_stored:
            if stored_number > number:  # of an earlier leader and never in force, else a majority would have named it
                self._propose(self.proposed.slots, stored_number)
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
        for process in [i for i in self.slot_requests if view.has_active_slot(i)]:
            del self.slot_requests[process]
            self._push_view(process)
        for process in [i for i in self.released_at if view.slot_of(i) < 0]:
            fleet.send(frame.SLOT_RELEASED, process, [])

    def _accepting_seeds(self) -> list:
        fleet = self.fleet
        known = [member.address for member in fleet.members.known.values() if member.id in self.accepted_by]
        return [a for a in known if a in fleet.settings.seeds]

    def _push_view(self, receiver: int) -> None:
        """Sends the view to a member that asked for a slot, so that it need not wait for gossip."""
        table, slot = self.fleet.table, self.fleet.view.slot_of(receiver)
        others = sorted(k for k in table.entries_of(SLOT) if k != slot)
        keys = [(VIEW_HEADER, 0), (SLOT, slot), *((SLOT, k) for k in others)]
        rows = [table.row(k) for k in keys if table.get(*k) is not None]
        for page in paginate(rows, PAGE_BYTES)[:MAX_PUSHED_DATAGRAMS]:
            self.fleet.send(frame.ROWS, receiver, [page])

    def tick(self, _: object = None) -> None:
        """Repeats what was not answered, proposes the next view, and closes when the lease expired."""
        fleet, now = self.fleet, self.fleet.now
        if self.state != CLOSED and not fleet.leader_lease.is_held():
            self.state = CLOSED
        if self.state == FETCHING and now >= self.sent_at + RESEND_MS:
            self.sent_at = now
            fleet.send(frame.VIEW_FETCH, self.fetch_from[1], [self.fetch_from[0]])
            if now > self.elected_at + fleet.settings.leader_lease_ms:
                fleet.leader_lease.release()  # the seed that had the view is gone; another round finds another
        elif self.state == PROPOSING and now >= self.sent_at + RESEND_MS:
            self._send_proposal()
        elif self.state == OPEN:
            self._propose_next()
        fleet.call_after(BATCH_MS, self.tick, None)

    def _propose_next(self) -> None:
        fleet, now, slots = self.fleet, self.fleet.now, self.latest.slots
        hold_ms = max_under_drift(fleet.settings.keep_ms)
        freed = [n for n, t in self.lost_at.items() if now - t >= hold_ms]
        silent, left_ids = [], set(self.released_at)
        for slot in slots.values():
            member = fleet.members.known.get(slot.id)
            if member is not None:
                self.unknown_since.pop(slot.id, None)
                if member.state == LEFT:
                    left_ids.add(slot.id)
                elif member.state == DEAD:
                    silent.append(slot.id)
            elif now - self.unknown_since.setdefault(slot.id, now) > suspicion_ms(fleet.settings.slot_count):
                silent.append(slot.id)
        requests = sorted(self.slot_requests.values(), key=lambda w: (w.slot < 0, w.slot, w.id))
        new, refused = assign_slots(
            slots, fleet.settings.slot_count, requests, left_ids, silent, freed, MAX_CHANGES_PER_VIEW
        )
        for process, why in refused.items():
            self.slot_requests.pop(process, None)
            fleet.send(frame.SLOT_REFUSED, process, [why])
        self.released_at = {i: t for i, t in self.released_at.items() if now - t < hold_ms}
        if new != slots:
            self._propose(new)

    def request_slot(self, process: int, address: tuple[str, int], slot: int) -> None:
        """A member asks for a slot; ``slot`` -1: for any."""
        member = self.fleet.members.known.get(process)
        if self.state == CLOSED or not self.fleet.leader_lease.is_held() or process in self.released_at:
            return
        if member is None or member.state >= DEAD:
            return  # it must refute its death first, else its slot would alternate between lost and assigned
        if self.state == OPEN and self.latest.has_active_slot(process) and slot in (-1, self.latest.slot_of(process)):
            self._push_view(process)
        elif len(self.slot_requests) < 2 * self.fleet.settings.slot_count:
            self.slot_requests[process] = SlotRequest(process, address, slot)

    def release_slot(self, process: int) -> None:
        """A member gives its slot back and no longer acts on it."""
        if self.state == CLOSED or not self.fleet.leader_lease.is_held():
            return
        self.slot_requests.pop(process, None)
        if self.state == OPEN and self.latest.slot_of(process) < 0:
            self.fleet.send(frame.SLOT_RELEASED, process, [])
        if len(self.released_at) < 2 * self.fleet.settings.slot_count:
            self.released_at.setdefault(process, self.fleet.now)

    def is_well_formed(self, body: Any) -> bool:
        """Whether the rows of a proposal or a page have the form that reading them needs."""
        rows = body[-1] if body else None
        return isinstance(rows, list) and all(
            isinstance(row, list) and len(row) == 2
            and type(row[0]) is int and 0 <= row[0] < self.fleet.settings.slot_count
            and isinstance(row[1], bytes) and (not row[1] or unpack_slot(row[1]) is not None) for row in rows
        )  # fmt: skip
