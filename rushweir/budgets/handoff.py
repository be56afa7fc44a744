"""Ledgers on their way from one home to the next. No I/O, no clock.

A ledger goes in pages, each sent again until the next home says that it has it: a page that is lost, or that the
messages' budget has no room for, would cost the whole term that a home without a ledger waits. On its way it can't
grow wrong: what it counts is over no later than it says, whenever it comes, and a home that lends takes none.

    of a ledger   event                                             then
    given         the next home says that it has a page             that page is done; with the last one, all
    given         another view, the next directly, the same home    begun anew under that view
    given         the same, another home, a page was never sent     begun anew with it: the one before has it not
    given         the same, another home, all pages were sent       goes on as it was: the one before may lend by it
    given         the one before says that it has it not            begun anew with the home there is now
    given         a view may have been left out; no home is left    dropped
    given         a term has passed                                 dropped: the next home waited for that long
    coming        a page of the view held                           kept, until all are there
    coming        a page of a view that is over                     refused, unless that ledger was taken
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rushweir.budgets.records import BudgetTotal
from rushweir.fleet.table import paginate
from rushweir.fleet.views import SEED_BITS, View

ROWS_BYTES = 140  # bytes of rows in a datagram: five at the longest
MAX_PAGES = 64
RESEND_MS = 120.0  # until a page that nobody confirmed is sent again


def follows(new: View, old: View) -> bool:
    """Whether no view can have been in force between two. Who takes the chair counts on from the newest that ever
    was in force, so one that a number was left out for may have been."""
    return new.number >> SEED_BITS == (old.number >> SEED_BITS) + 1


@dataclass(slots=True)
class OutgoingHandoff:
    """A ledger that is being handed over."""

    total: BudgetTotal  # whose doors say where its home is
    receiver: int
    view: int
    pages: list[list[list[int]]]
    unconfirmed: set[int]  # pages that nobody confirmed
    wait_ms: int  # ms for which the next home still has to wait
    expires_at: float
    sent_at: dict[int, float] = field(default_factory=dict)  # pages that were, and when

    def restart(self, to: int, view: int) -> None:
        self.receiver, self.view, self.unconfirmed, self.sent_at = to, view, set(range(len(self.pages))), {}


class Handoffs:
    """The ledgers that one process hands over, and those that come to it: ``most`` of each at once."""

    def __init__(self, most: int, term_ms: float) -> None:
        self.max_handoffs, self.lease_ms = most, term_ms
        self.outgoing: dict[int, OutgoingHandoff] = {}
        self.incoming: dict[tuple[int, int], dict[int, list[list[int]]]] = {}  # pages by budget and sender
        # The last view for which a ledger was taken, and when, by budget; who gave it asks for a term at most.
        self.received: dict[int, tuple[int, float]] = {}

    def start(
        self, key: int, scope: BudgetTotal, to: int, view: int, rows: list[list[int]], wait: int, until: float
    ) -> bool:
        """Begin to hand a ledger over; whether there is room. ``until``: when nobody needs it any more."""
        pages = paginate(rows, ROWS_BYTES) or [[]]
        if len(pages) > MAX_PAGES or len(self.outgoing) >= self.max_handoffs:
            return False
        self.outgoing[key] = OutgoingHandoff(scope, to, view, pages, set(range(len(pages))), wait, until)
        return True

    def due_pages(self, now: float) -> Iterator[tuple[int, list]]:
        """What is to be sent now, as receiver and entry without its kind. What is taken from here counts as sent."""
        for key, g in list(self.outgoing.items()):
            if now >= g.expires_at:
                del self.outgoing[key]
                continue
            for page in sorted(g.unconfirmed):
                if now >= g.sent_at.get(page, -RESEND_MS) + RESEND_MS:
                    g.sent_at[page] = now
                    yield g.receiver, [key, g.view, page, len(g.pages), g.wait_ms, g.pages[page]]

    def on_ack(self, who: int, key: int, view: int, page: int) -> None:
        """The next home has a page."""
        g = self.outgoing.get(key)
        if g is not None and (g.receiver, g.view) == (who, view):
            g.unconfirmed.discard(page)
            if not g.unconfirmed:
                del self.outgoing[key]

    def on_refused(self, who: int, key: int, view: int, to: int, now_view: int) -> None:
        """A process that a ledger was given to has it not, and will not take it for that view any more; ``to``: the
        home there is now."""
        g = self.outgoing.get(key)
        if g is not None and (g.receiver, g.view) == (who, view) and view != now_view:
            g.restart(to, now_view)
            if not to:
                del self.outgoing[key]

    def has_received(self, key: int, view: int) -> bool:
        """Whether a ledger was taken for a view, or for a later one."""
        return self.received.get(key, (0, 0.0))[0] >= view

    def on_view_change(self, old: View, new: View, home_of: Callable[[int, BudgetTotal], int]) -> None:
        """Another view holds here."""
        if not follows(new, old):
            self.outgoing.clear()
        for key, g in list(self.outgoing.items()):
            home = home_of(key, g.total)
            if g.view == old.number and (home == g.receiver or len(g.sent_at) < len(g.pages)):
                g.restart(home, new.number)
                if not home:
                    del self.outgoing[key]
        self.incoming.clear()

    def on_page(
        self, now: float, who: int, key: int, view: int, page: int, of: int, rows: list
    ) -> list[list[int]] | None:  # fmt: skip
        """A page for the view that is held came; all rows once it was the last one. Raises ValueError."""
        if not 0 <= page < of <= MAX_PAGES:
            raise ValueError("pages")
        if len(self.incoming) + len(self.received) >= 2 * self.max_handoffs:
            self.received = {k: t for k, t in self.received.items() if now - t[1] < 2 * self.lease_ms}
        if len(self.incoming) + len(self.received) >= 2 * self.max_handoffs:
            return None
        pages = self.incoming.setdefault((key, who), {})
        pages[page] = rows
        if len(pages) < of:
            return None
        del self.incoming[key, who]
        self.received[key] = view, now
        return [r for k in range(of) for r in pages[k]]
