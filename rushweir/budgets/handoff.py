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
from rushweir.fleet.table import fitting
from rushweir.fleet.views import SEED_BITS, View

ROWS_ROOM = 140  # bytes of rows in a datagram: five at the longest
MOST_PAGES = 64
AGAIN_MS = 120.0  # until a page that nobody confirmed is sent again


def follows(new: View, old: View) -> bool:
    """Whether no view can have been in force between two. Who takes the chair counts on from the newest that ever
    was in force, so one that a number was left out for may have been."""
    return new.number >> SEED_BITS == (old.number >> SEED_BITS) + 1


@dataclass(slots=True)
class Given:
    """A ledger that is being handed over."""

    scope: BudgetTotal  # whose doors say where its home is
    to: int
    view: int
    pages: list[list[list[int]]]
    left: set[int]  # pages that nobody confirmed
    wait: int  # ms for which the next home still has to wait
    until: float
    sent: dict[int, float] = field(default_factory=dict)  # pages that were, and when

    def begin(self, to: int, view: int) -> None:
        self.to, self.view, self.left, self.sent = to, view, set(range(len(self.pages))), {}


class HandOver:
    """The ledgers that one process hands over, and those that come to it: ``most`` of each at once."""

    def __init__(self, most: int, term_ms: float) -> None:
        self.most, self.term = most, term_ms
        self.given: dict[int, Given] = {}
        self.coming: dict[tuple[int, int], dict[int, list[list[int]]]] = {}  # pages by budget and sender
        # The last view for which a ledger was taken, and when, by budget; who gave it asks for a term at most.
        self.took: dict[int, tuple[int, float]] = {}

    def give(
        self, key: int, scope: BudgetTotal, to: int, view: int, rows: list[list[int]], wait: int, until: float
    ) -> bool:
        """Begin to hand a ledger over; whether there is room. ``until``: when nobody needs it any more."""
        pages = fitting(rows, ROWS_ROOM) or [[]]
        if len(pages) > MOST_PAGES or len(self.given) >= self.most:
            return False
        self.given[key] = Given(scope, to, view, pages, set(range(len(pages))), wait, until)
        return True

    def due(self, now: float) -> Iterator[tuple[int, list]]:
        """What is to be sent now, as receiver and entry without its kind. What is taken from here counts as sent."""
        for key, g in list(self.given.items()):
            if now >= g.until:
                del self.given[key]
                continue
            for page in sorted(g.left):
                if now >= g.sent.get(page, -AGAIN_MS) + AGAIN_MS:
                    g.sent[page] = now
                    yield g.to, [key, g.view, page, len(g.pages), g.wait, g.pages[page]]

    def confirmed(self, who: int, key: int, view: int, page: int) -> None:
        """The next home has a page."""
        g = self.given.get(key)
        if g is not None and (g.to, g.view) == (who, view):
            g.left.discard(page)
            if not g.left:
                del self.given[key]

    def refused(self, who: int, key: int, view: int, to: int, now_view: int) -> None:
        """A process that a ledger was given to has it not, and will not take it for that view any more; ``to``: the
        home there is now."""
        g = self.given.get(key)
        if g is not None and (g.to, g.view) == (who, view) and view != now_view:
            g.begin(to, now_view)
            if not to:
                del self.given[key]

    def has_taken(self, key: int, view: int) -> bool:
        """Whether a ledger was taken for a view, or for a later one."""
        return self.took.get(key, (0, 0.0))[0] >= view

    def viewed(self, old: View, new: View, home_of: Callable[[int, BudgetTotal], int]) -> None:
        """Another view holds here."""
        if not follows(new, old):
            self.given.clear()
        for key, g in list(self.given.items()):
            home = home_of(key, g.scope)
            if g.view == old.number and (home == g.to or len(g.sent) < len(g.pages)):
                g.begin(home, new.number)
                if not home:
                    del self.given[key]
        self.coming.clear()

    def came(
        self, now: float, who: int, key: int, view: int, page: int, of: int, rows: list
    ) -> list[list[int]] | None:  # fmt: skip
        """A page for the view that is held came; all rows once it was the last one. Raises ValueError."""
        if not 0 <= page < of <= MOST_PAGES:
            raise ValueError("pages")
        if len(self.coming) + len(self.took) >= 2 * self.most:
            self.took = {k: t for k, t in self.took.items() if now - t[1] < 2 * self.term}
        if len(self.coming) + len(self.took) >= 2 * self.most:
            return None
        pages = self.coming.setdefault((key, who), {})
        pages[page] = rows
        if len(pages) < of:
            return None
        del self.coming[key, who]
        self.took[key] = view, now
        return [r for k in range(of) for r in pages[k]]
