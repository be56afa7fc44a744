"""Compaction of a control process's log, in memory and in its file. No I/O, no clock.

    from        event                                        to
    IDLE        the log is full, with committed entries      COMPACTING  some entries, then some at each call of
                                                                         ``advance``: all at once would block the loop
    COMPACTING  nothing is left beyond the limits            REWRITING   ``Compact``: a file made outside the loop
    REWRITING   the new file is in place                     IDLE
    any         a snapshot came from the leader              REWRITING   ``Rewrite``, which cancels a ``Compact``
    REWRITING   the ``Rewrite`` is on disk                   IDLE

While a file is being made the snapshot does not change, since its objects are read meanwhile. Entries that are
committed until then stay in memory beyond the limits; the same disk bounds how many come in that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.rollout.commands import Compact

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

IDLE, COMPACTING, REWRITING = "resting", "folding", "making"
MAX_CHANGES_PER_TURN = 256  # compacted in one call, plus those of one entry


class LogCompaction:
    """Decides when the log is compacted and its file is rewritten."""

    def __init__(self, control: Control) -> None:
        self.control, self.state = control, IDLE
        self.serial = 0  # of the command in progress
        self.is_rewrite = False  # that command is a Rewrite

    @property
    def has_more(self) -> bool:
        """Whether ``advance`` has more entries to compact."""
        return self.state is COMPACTING

    def advance(self) -> None:
        """Compact some entries, if the log is full."""
        control = self.control
        if control.outdated:  # a new file would not say that it is an older copy
            return
        if self.state is IDLE and control.log.is_full() and control.log.compactable(control.commit_index) > 0:
            self.state = COMPACTING
        if self.state is not COMPACTING:
            return
        control.log.compact(control.commit_index, MAX_CHANGES_PER_TURN)
        if control.log.compactable(control.commit_index) <= 0:
            self.state, self.serial, self.is_rewrite = REWRITING, control.last_serial, False
            control.commands.append(Compact(control.last_serial, control.persistent_state()))

    def file_in_place(self, serial: int) -> None:
        """The file of a ``Compact`` command is in place."""
        if self.state is REWRITING and not self.is_rewrite and serial == self.serial:
            self.state = IDLE

    def snapshot_installed(self, serial: int) -> None:
        """The log was replaced by a snapshot, whose file was requested with this serial."""
        self.state, self.serial, self.is_rewrite = REWRITING, serial, True

    def persisted(self, serial: int) -> None:
        """The write with this serial is on disk."""
        if self.state is REWRITING and self.is_rewrite and serial == self.serial:
            self.state = IDLE
