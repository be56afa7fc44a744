"""Compaction of a control process's log: some entries at a time, and never while its file is being rewritten."""

from __future__ import annotations

from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Append, Compact
from rushweir.rollout.control import Control
from rushweir.rollout.log import LogLimits, encode_entry
from rushweir.rollout.log_compaction import COMPACTING, IDLE, MAX_CHANGES_PER_TURN, REWRITING
from rushweir.rollout.storage import PersistentState, decode_file, encode_file

LIMITS = LogLimits(entries=600)


class SingleProcess:
    """The only control process, whose writes take no time."""

    def __init__(self, state: PersistentState | None = None) -> None:
        self.core = Control(0, 1, state or PersistentState(0, 1), 1, 0.0, limits=LIMITS)
        self.compactions: list[Compact] = []
        self.compacted_versions: list[int] = []  # by each call that compacted some
        self.core.start(0.0)
        self.call(self.core.advance, 0.0)

    def call(self, method, *given) -> None:
        """Call a method of the core and carry out its commands."""
        before = self.core.snapshot_version
        method(*given)
        if self.core.snapshot_version > before:
            self.compacted_versions.append(self.core.snapshot_version - before)
        while self.core.commands:
            command = self.core.commands.popleft()
            if isinstance(command, Append):
                self.call(self.core.persisted, 0.0, command.serial)
            elif isinstance(command, Compact):
                self.compactions.append(command)

    def change(self, times: int) -> None:
        for n in range(times):
            change = Change(("partner", f"p{n % 50}"), f"{self.core.version}".encode())
            self.call(self.core.propose, 0.0, n, (change,))

    def finish_compaction(self) -> None:
        while self.core.compaction.state is COMPACTING:
            self.call(self.core.advance, 0.0)


def process_with_full_log() -> SingleProcess:
    process = SingleProcess()
    while process.core.compaction.state is IDLE:
        process.change(1)
    return process


def test_full_log_is_compacted_some_entries_a_turn():
    process = process_with_full_log()
    core = process.core
    assert core.compaction.state is COMPACTING and core.next_at() == 0.0  # the next turn is due now
    process.finish_compaction()
    assert len(process.compacted_versions) > 2
    assert max(process.compacted_versions) <= MAX_CHANGES_PER_TURN  # an entry counts, too
    assert len(core.log.entries) == LIMITS.entries and len(process.compactions) == 1
    assert core.next_at() != 0.0


def test_snapshot_does_not_change_until_its_file_is_in_place():
    process = process_with_full_log()
    core = process.core
    process.finish_compaction()
    command, file = process.compactions[0], encode_file(process.compactions[0].records)
    version, snapshot_version = core.version, core.snapshot_version
    process.change(3 * LIMITS.entries)
    assert core.compaction.state is REWRITING and core.snapshot_version == snapshot_version
    assert len(process.compactions) == 1
    assert encode_file(command.records) == file
    assert decode_file(file, 0, 1).last_index - 1 == version  # an empty entry is before them
    process.call(core.compacted, 0.0, command.serial + 1)  # of another command
    assert core.compaction.state is REWRITING
    process.call(core.compacted, 0.0, command.serial)
    process.change(1)
    process.finish_compaction()
    assert len(process.compactions) == 2 and len(core.log.entries) == LIMITS.entries


def test_process_with_an_outdated_disk_compacts_nothing():
    """Its file says that it is an older copy; a new file would not."""
    change_sets = [ChangeSet(n, (Change(("plan", f"{n}"), b"x"),), "me") for n in range(1, 2 * LIMITS.entries + 9)]
    entries = [encode_entry(8, change_set) for change_set in change_sets]
    for newer_position in (0, 99):
        state = PersistentState(0, 1, 8, 0, 9, len(entries), newer_position=newer_position, entries=list(entries))
        process = SingleProcess(state)
        process.call(process.core.advance, 0.0)
        outdated = bool(newer_position)
        assert process.core.outdated == outdated and process.core.log.is_full() == outdated
        assert process.core.compaction.state is (IDLE if outdated else COMPACTING)
