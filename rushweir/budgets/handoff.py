"""Ownership state on its way from one owner of a budget to the next. No I/O, no clock.

The state is sent in pages, each repeated until the next owner acknowledges it: a page that is lost, or for which the
message budget has no capacity, would otherwise cost the whole lease duration that an owner without the state waits.
In transit the state cannot become wrong: what it counts expires no later than it says, whenever it arrives, and an
owner that already grants leases accepts none.

    handoff     event                                                 then
    outgoing    the next owner acknowledges a page                    the page is done; with the last one, all
    outgoing    another view, the next one, with the same owner       restarted under that view
    outgoing    the same, another owner, a page was never sent        restarted with it: the former lacks that page
    outgoing    the same, another owner, all pages were sent          continues: the former may grant leases by it
    outgoing    the former owner says that it did not receive it      restarted with the present owner
    outgoing    a view may have been skipped, or no owner is left     dropped
    outgoing    a lease duration has passed                           dropped: the next owner waited that long
    incoming    a page of the view held                               kept until all have arrived
    incoming    a page of an earlier view                             refused, unless that state was received
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rushweir.budgets.records import BudgetTotal
from rushweir.fleet.table import paginate
from rushweir.fleet.views import SEED_BITS, View

ROWS_BYTES = 140  # of rows in a datagram: five of the longest
MAX_PAGES = 64
RESEND_MS = 120.0  # until an unacknowledged page is sent again


def follows(new: View, old: View) -> bool:
    """Whether no view can have been in force between two. A new leader counts on from the newest view that ever was
    in force, so a skipped number may have been in force."""
    return new.number >> SEED_BITS == (old.number >> SEED_BITS) + 1


@dataclass(slots=True)
class OutgoingHandoff:
    """Ownership state that is being handed off."""

    total: BudgetTotal  # whose slots determine the owner
    receiver: int
    view: int
    pages: list[list[list[int]]]
    unconfirmed: set[int]  # pages without acknowledgement
    wait_ms: int  # how long the next owner still has to wait
    expires_at: float
    sent_at: dict[int, float] = field(default_factory=dict)  # times by page

    def restart(self, receiver: int, view: int) -> None:
        """Sends all pages again, to another owner or under another view."""
        self.receiver, self.view, self.unconfirmed, self.sent_at = receiver, view, set(range(len(self.pages))), {}


class Handoffs:
    """The outgoing and incoming handoffs of one process: ``max_handoffs`` of each at once."""

    def __init__(self, max_handoffs: int, lease_ms: float) -> None:
        self.max_handoffs, self.lease_ms = max_handoffs, lease_ms
        self.outgoing: dict[int, OutgoingHandoff] = {}
        self.incoming: dict[tuple[int, int], dict[int, list[list[int]]]] = {}  # pages by budget and sender
        # The last view for which state was received, and when, by budget; its sender repeats for one lease at most.
        self.received: dict[int, tuple[int, float]] = {}

    def start(
        self,
        key: int,
        total: BudgetTotal,
        receiver: int,
        view: int,
        rows: list[list[int]],
        wait_ms: int,
        expires_at: float,
    ) -> bool:
        """Starts a handoff; returns whether there is capacity for it. ``expires_at``: when nobody needs it any
        more."""
        pages = paginate(rows, ROWS_BYTES) or [[]]
        if len(pages) > MAX_PAGES or len(self.outgoing) >= self.max_handoffs:
            return False
        self.outgoing[key] = OutgoingHandoff(
            total, receiver, view, pages, set(range(len(pages))), wait_ms, expires_at
        )
        return True

    def due_pages(self, now: float) -> Iterator[tuple[int, list]]:
        """Yields what is to be sent now, as receiver and entry without its kind. What is taken from it counts as
        sent."""
        for key, handoff in list(self.outgoing.items()):
            if now >= handoff.expires_at:
                del self.outgoing[key]
                continue
            for page in sorted(handoff.unconfirmed):
                if now >= handoff.sent_at.get(page, -RESEND_MS) + RESEND_MS:
                    handoff.sent_at[page] = now
                    yield (
                        handoff.receiver,
                        [key, handoff.view, page, len(handoff.pages), handoff.wait_ms, handoff.pages[page]],
                    )

    def on_ack(self, sender: int, key: int, view: int, page: int) -> None:
        """The next owner has a page."""
        handoff = self.outgoing.get(key)
        if handoff is not None and (handoff.receiver, handoff.view) == (sender, view):
            handoff.unconfirmed.discard(page)
            if not handoff.unconfirmed:
                del self.outgoing[key]

    def on_refused(self, sender: int, key: int, view: int, receiver: int, current_view: int) -> None:
        """A receiver has not received the state and will not accept it for that view; ``receiver`` is the present
        owner."""
        handoff = self.outgoing.get(key)
        if handoff is not None and (handoff.receiver, handoff.view) == (sender, view) and view != current_view:
            handoff.restart(receiver, current_view)
            if not receiver:
                del self.outgoing[key]

    def has_received(self, key: int, view: int) -> bool:
        """Whether state was received for a view or for a later one."""
        return self.received.get(key, (0, 0.0))[0] >= view

    def on_view_change(self, old: View, new: View, owner_of: Callable[[int, BudgetTotal], int]) -> None:
        """This process holds another view."""
        if not follows(new, old):
            self.outgoing.clear()
        for key, handoff in list(self.outgoing.items()):
            owner = owner_of(key, handoff.total)
            if handoff.view == old.number and (
                owner == handoff.receiver or len(handoff.sent_at) < len(handoff.pages)
            ):
                handoff.restart(owner, new.number)
                if not owner:
                    del self.outgoing[key]
        self.incoming.clear()

    def on_page(
        self, now: float, sender: int, key: int, view: int, page: int, page_count: int, rows: list
    ) -> list[list[int]] | None:  # fmt: skip
        """A page for the view held came; returns all rows once it was the last one. Raises ValueError."""
        if not 0 <= page < page_count <= MAX_PAGES:
            raise ValueError("page number out of range")
        if len(self.incoming) + len(self.received) >= 2 * self.max_handoffs:
            self.received = {k: t for k, t in self.received.items() if now - t[1] < 2 * self.lease_ms}
        if len(self.incoming) + len(self.received) >= 2 * self.max_handoffs:
            return None
        pages = self.incoming.setdefault((key, sender), {})
        pages[page] = rows
        if len(pages) < page_count:
            return None
        del self.incoming[key, sender]
        self.received[key] = view, now
        return [r for k in range(page_count) for r in pages[k]]
