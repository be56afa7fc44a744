"""Folds of a control process's log: when it is shortened in memory, and when its file is made anew. No I/O, no clock.

    from     event                                         to
    IDLE        the log is full, and some of it is in force   COMPACTING  a slice, then one in each turn: many objects
                                                                          in one turn would hold it for long
    COMPACTING  nothing is left beyond the bounds             REWRITING   ``Compact``, outside the event loop
    REWRITING   the file is in place                          IDLE
    any         the whole came from the leader                REWRITING   ``Rewrite``, which ends a fold on its way
    REWRITING   the Rewrite is on disk                        IDLE

While a file is made the base stays as it is, since its objects are read meanwhile. What comes into force until then
lies in memory beyond the bounds; it is bounded by what the same disk takes in that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.rollout.commands import Compact

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

IDLE, COMPACTING, REWRITING = "resting", "folding", "making"
MAX_CHANGES_PER_TURN = 256  # changes that are folded in one turn, and one entry more


class LogCompaction:
    def __init__(self, control: Control) -> None:
        self.control, self.state = control, IDLE
        self.serial = 0  # of the order that is being carried out
        self.is_rewrite = False  # it is a Rewrite

    @property
    def has_more(self) -> bool:
        """There is a next slice."""
        return self.state is COMPACTING

    def advance(self) -> None:
        c = self.control
        if c.outdated:  # a file made anew would not say so any more
            return
        if self.state is IDLE and c.log.is_full() and c.log.compactable(c.commit_index) > 0:
            self.state = COMPACTING
        if self.state is not COMPACTING:
            return
        c.log.compact(c.commit_index, MAX_CHANGES_PER_TURN)
        if c.log.compactable(c.commit_index) <= 0:
            self.state, self.serial, self.is_rewrite = REWRITING, c.last_serial, False
            c.commands.append(Compact(c.last_serial, c.persistent_state()))

    def file_in_place(self, serial: int) -> None:
        """A fold's file is in place."""
        if self.state is REWRITING and not self.is_rewrite and serial == self.serial:
            self.state = IDLE

    def snapshot_installed(self, serial: int) -> None:
        """There is another log, and its file is asked for with this serial."""
        self.state, self.serial, self.is_rewrite = REWRITING, serial, True

    def persisted(self, serial: int) -> None:
        """This write is on disk."""
        if self.state is REWRITING and self.is_rewrite and serial == self.serial:
            self.state = IDLE
