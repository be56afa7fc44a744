"""Ledgers on their way from one home to the next. No I/O, no clock.

A ledger goes in pages, each sent again until the next home says that it has it: a page that is lost, or that the
messages' budget has no room for, would cost the whole term that a home without a ledger waits. On its way it can't
grow wrong: what it counts is over no later than it says, whenever it comes, and a home that lends takes none.

    of a ledger   event                                                   then
    given         the next home says that it has a page                   that page is done
    given         another view, the next directly, and the same home      it goes on under that view
    given         another view or another home                            dropped: that home may have lent by it
    given         a term has passed                                       dropped: the next home waited for that long
    coming        a page of the same sender and view                      kept, until all are there
    coming        a page of another                                       begins anew
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rushweir.budgets.records import Whole
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
    """A ledger that is being handed over; ``left`` are the pages that nobody confirmed."""

    scope: Whole  # whose doors say where its home is
    to: int
    view: int
    pages: list[list[list[int]]]
    left: set[int]
    wait: int  # ms for which the next home still has to wait
    until: float
    again_at: float = 0.0


@dataclass(slots=True)
class Coming:
    """Pages of a ledger that came."""

    who: int
    view: int
    of: int
    pages: dict[int, list[list[int]]] = field(default_factory=dict)


class HandOver:
    """The ledgers that one process hands over, and those that come to it: ``most`` of each at once."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.given: dict[int, Given] = {}
        self.coming: dict[int, Coming] = {}

    def give(
        self, key: int, scope: Whole, to: int, view: int, rows: list[list[int]], wait: int, until: float
    ) -> bool:
        """Begin to hand a ledger over; whether there is room. ``until``: when nobody needs it any more."""
        pages = fitting(rows, ROWS_ROOM) or [[]]
        if len(pages) > MOST_PAGES or len(self.given) >= self.most:
            return False
        self.given[key] = Given(scope, to, view, pages, set(range(len(pages))), wait, until)
        return True

    def due(self, now: float) -> Iterator[tuple[int, list]]:
        """What is to be sent now, as receiver and entry without its kind. Who has no room left to send stops early,
        and is told the same ledgers again."""
        for key, g in list(self.given.items()):
            if now >= g.until or not g.left:
                del self.given[key]
            elif now >= g.again_at:
                for page in sorted(g.left):
                    yield g.to, [key, g.view, page, len(g.pages), g.wait, g.pages[page]]
                g.again_at = now + AGAIN_MS

    def taken(self, who: int, key: int, view: int, page: int) -> None:
        """The next home has a page."""
        g = self.given.get(key)
        if g is not None and (g.to, g.view) == (who, view):
            g.left.discard(page)

    def viewed(self, old: View, new: View, home_of: Callable[[int], int]) -> None:
        """Another view holds here."""
        for key, g in list(self.given.items()):
            if g.view == old.number and follows(new, old) and home_of(key) == g.to:
                # What came of it under the view before is forgotten there.
                g.view, g.left, g.again_at = new.number, set(range(len(g.pages))), 0.0
                continue
            del self.given[key]
        self.coming = {key: c for key, c in self.coming.items() if c.view == new.number}

    def came(self, who: int, key: int, view: int, page: int, of: int, rows: list) -> list[list[int]] | None:
        """A page came; all rows once it was the last one. Raises ValueError."""
        if not 0 <= page < of <= MOST_PAGES:
            raise ValueError("pages")
        c = self.coming.get(key)
        if c is None or (c.who, c.view, c.of) != (who, view, of):
            if c is None and len(self.coming) >= self.most:
                return None
            c = self.coming[key] = Coming(who, view, of)
        c.pages[page] = rows
        if len(c.pages) < of:
            return None
        del self.coming[key]
        return [r for k in range(of) for r in c.pages[k]]
