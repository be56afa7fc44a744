"""When a control process's log is folded: in slices, and never while its file is being made."""

from __future__ import annotations

from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Append, Compact
from rushweir.rollout.control import Control
from rushweir.rollout.log import LogLimits, encode_entry
from rushweir.rollout.log_compaction import COMPACTING, IDLE, MAX_CHANGES_PER_TURN, REWRITING
from rushweir.rollout.storage import PersistentState, decode_file, encode_file

LOG_LIMITS = LogLimits(entries=600)


class One:
    """The only control process, whose writes are on disk at once."""

    def __init__(self, kept: PersistentState | None = None) -> None:
        self.core, self.folds, self.slices = (
            Control(0, 1, kept or PersistentState(0, 1), 1, 0.0, limits=LOG_LIMITS),
            [],
            [],
        )
        self.core.start(0.0)
        self.turn(self.core.advance, 0.0)

    def turn(self, what, *given) -> None:
        before = self.core.snapshot_version
        what(*given)
        if self.core.snapshot_version > before:
            self.slices.append(self.core.snapshot_version - before)
        while self.core.commands:
            order = self.core.commands.popleft()
            if isinstance(order, Append):
                self.turn(self.core.persisted, 0.0, order.serial)
            elif isinstance(order, Compact):
                self.folds.append(order)

    def change(self, times: int) -> None:
        for n in range(times):
            name = f"p{n % 50}"
            self.turn(self.core.propose, 0.0, n, (Change(("partner", name), f"{self.core.version}".encode()),))


def full() -> One:
    one = One()
    while one.core.compaction.state is IDLE:
        one.change(1)
    return one


def test_a_full_log_is_folded_a_slice_a_turn():
    one = full()
    assert one.core.compaction.state is COMPACTING and one.core.next_at() == 0.0  # its next turn is now
    while one.core.compaction.state is COMPACTING:
        one.turn(one.core.advance, 0.0)
    assert len(one.slices) > 2 and max(one.slices) <= MAX_CHANGES_PER_TURN  # an entry counts, too
    assert len(one.core.log.entries) == LOG_LIMITS.entries and len(one.folds) == 1
    assert one.core.next_at() != 0.0


def test_what_it_is_made_of_stays_until_the_file_is_in_place():
    one = full()
    while one.core.compaction.state is COMPACTING:
        one.turn(one.core.advance, 0.0)
    asked, kept = one.folds[0], encode_file(one.folds[0].records)
    number, floor = one.core.version, one.core.snapshot_version
    one.change(3 * LOG_LIMITS.entries)
    assert one.core.compaction.state is REWRITING and one.core.snapshot_version == floor and len(one.folds) == 1
    assert (
        encode_file(asked.records) == kept and decode_file(kept, 0, 1).last_index - 1 == number
    )  # an empty entry is before them
    one.turn(one.core.compacted, 0.0, asked.serial + 1)  # another's
    assert one.core.compaction.state is REWRITING
    one.turn(one.core.compacted, 0.0, asked.serial)
    one.change(1)
    while one.core.compaction.state is COMPACTING:
        one.turn(one.core.advance, 0.0)
    assert len(one.folds) == 2 and len(one.core.log.entries) == LOG_LIMITS.entries


def test_one_with_an_older_disk_folds_nothing():
    """Its file says that it is old; one made anew would not."""
    steps = [ChangeSet(n, (Change(("plan", f"{n}"), b"x"),), "me") for n in range(1, 2 * LOG_LIMITS.entries + 9)]
    entries = [encode_entry(8, step) for step in steps]
    for old in (0, 99):
        one = One(PersistentState(0, 1, 8, 0, 9, len(entries), newer_position=old, entries=list(entries)))
        one.turn(one.core.advance, 0.0)
        assert one.core.outdated == bool(old) and one.core.log.is_full() == bool(old)
        assert one.core.compaction.state is (IDLE if old else COMPACTING)
