"""When a control process's log is folded: in slices, and never while its file is being made."""

from __future__ import annotations

from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Append, Compact
from rushweir.rollout.control import Control
from rushweir.rollout.log import Bounds, entry_of
from rushweir.rollout.log_compaction import FOLDING, MAKING, RESTING, SLICE
from rushweir.rollout.storage import Kept, read, whole

BOUNDS = Bounds(entries=600)


class One:
    """The only control process, whose writes are on disk at once."""

    def __init__(self, kept: Kept | None = None) -> None:
        self.core, self.folds, self.slices = Control(0, 1, kept or Kept(0, 1), 1, 0.0, bounds=BOUNDS), [], []
        self.core.start(0.0)
        self.turn(self.core.advance, 0.0)

    def turn(self, what, *given) -> None:
        before = self.core.floor
        what(*given)
        if self.core.floor > before:
            self.slices.append(self.core.floor - before)
        while self.core.orders:
            order = self.core.orders.popleft()
            if isinstance(order, Append):
                self.turn(self.core.kept, 0.0, order.serial)
            elif isinstance(order, Compact):
                self.folds.append(order)

    def change(self, times: int) -> None:
        for n in range(times):
            name = f"p{n % 50}"
            self.turn(self.core.propose, 0.0, n, (Change(("partner", name), f"{self.core.number}".encode()),))


def full() -> One:
    one = One()
    while one.core.folding.state is RESTING:
        one.change(1)
    return one


def test_a_full_log_is_folded_a_slice_a_turn():
    one = full()
    assert one.core.folding.state is FOLDING and one.core.next_at() == 0.0  # its next turn is now
    while one.core.folding.state is FOLDING:
        one.turn(one.core.advance, 0.0)
    assert len(one.slices) > 2 and max(one.slices) <= SLICE  # an entry counts, too
    assert len(one.core.log.entries) == BOUNDS.entries and len(one.folds) == 1
    assert one.core.next_at() != 0.0


def test_what_it_is_made_of_stays_until_the_file_is_in_place():
    one = full()
    while one.core.folding.state is FOLDING:
        one.turn(one.core.advance, 0.0)
    asked, kept = one.folds[0], whole(one.folds[0].records)
    number, floor = one.core.number, one.core.floor
    one.change(3 * BOUNDS.entries)
    assert one.core.folding.state is MAKING and one.core.floor == floor and len(one.folds) == 1
    assert whole(asked.records) == kept and read(kept, 0, 1).last - 1 == number  # an empty entry is before them
    one.turn(one.core.folded, 0.0, asked.serial + 1)  # another's
    assert one.core.folding.state is MAKING
    one.turn(one.core.folded, 0.0, asked.serial)
    one.change(1)
    while one.core.folding.state is FOLDING:
        one.turn(one.core.advance, 0.0)
    assert len(one.folds) == 2 and len(one.core.log.entries) == BOUNDS.entries


def test_one_with_an_older_disk_folds_nothing():
    """Its file says that it is old; one made anew would not."""
    steps = [ChangeSet(n, (Change(("plan", f"{n}"), b"x"),), "me") for n in range(1, 2 * BOUNDS.entries + 9)]
    entries = [entry_of(8, step) for step in steps]
    for old in (0, 99):
        one = One(Kept(0, 1, 8, 0, 9, len(entries), old=old, entries=list(entries)))
        one.turn(one.core.advance, 0.0)
        assert one.core.outdated == bool(old) and one.core.log.full() == bool(old)
        assert one.core.folding.state is (RESTING if old else FOLDING)
