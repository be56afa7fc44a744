"""Folds of a control process's log: when it is shortened in memory, and when its file is made anew. No I/O, no clock.

    from     event                                         to
    RESTING  the log is full, and some of it is in force   FOLDING  a slice, then one in each turn: many objects in
                                                                    one turn would hold it for long
    FOLDING  nothing is left beyond the bounds             MAKING   ``Compact``: the file is made beside the loop
    MAKING   the file is in place                          RESTING
    any      the whole came from the leader                MAKING   ``Rewrite``, which ends a fold on its way
    MAKING   the Rewrite is on disk                        RESTING

While a file is made the base stays as it is, since its objects are read meanwhile. What comes into force until then
lies in memory beyond the bounds; it is bounded by what the same disk takes in that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.rollout.commands import Compact

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

RESTING, FOLDING, MAKING = "resting", "folding", "making"
SLICE = 256  # changes that are folded in one turn, and one entry more


class LogCompaction:
    def __init__(self, control: Control) -> None:
        self.control, self.state = control, RESTING
        self.serial = 0  # of the order that is being carried out
        self.whole = False  # it is a Rewrite

    @property
    def goes_on(self) -> bool:
        """There is a next slice."""
        return self.state is FOLDING

    def turn(self) -> None:
        c = self.control
        if c.outdated:  # a file made anew would not say so any more
            return
        if self.state is RESTING and c.log.full() and c.log.beyond(c.commit) > 0:
            self.state = FOLDING
        if self.state is not FOLDING:
            return
        c.log.fold(c.commit, SLICE)
        if c.log.beyond(c.commit) <= 0:
            self.state, self.serial, self.whole = MAKING, c.serial, False
            c.orders.append(Compact(c.serial, c.whole()))

    def done(self, serial: int) -> None:
        """A fold's file is in place."""
        if self.state is MAKING and not self.whole and serial == self.serial:
            self.state = RESTING

    def replaced(self, serial: int) -> None:
        """There is another log, and its file is asked for with this serial."""
        self.state, self.serial, self.whole = MAKING, serial, True

    def kept(self, serial: int) -> None:
        """This write is on disk."""
        if self.state is MAKING and self.whole and serial == self.serial:
            self.state = RESTING
