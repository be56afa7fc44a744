"""The state folder of a control process: a kill at any point leaves the old file or the new one, with all that was
confirmed; compaction runs beside the writes."""

from __future__ import annotations

import os
import stat

import pytest

from rushweir.daemon.control_files import HALF_MADE, NAME, ControlFiles, Place
from rushweir.rollout.change_sets import Change, ChangeSet, pack
from rushweir.rollout.commands import Append, Compact, Rewrite
from rushweir.rollout.log import Snapshot, encode_entry
from rushweir.rollout.storage import PersistentState, decode_file, encode_file

OBJECTS = {("partner", f"p{n}"): (1, bytes(60)) for n in range(2_000)}
SYSTEM_CALLS = ("write", "fsync", "fdatasync", "replace")


class Killed(BaseException):
    """Raised in place of a kill."""


class KillAtCall:
    """Raises Killed at the ``at``-th system call that changes files: before it or after it; a write is half done."""

    def __init__(self, monkeypatch, at: int, after: bool) -> None:
        self.at, self.after, self.calls, self.killed = at, after, 0, False
        for name in SYSTEM_CALLS:
            monkeypatch.setattr(os, name, self._call(name, getattr(os, name)))

    def _call(self, name, real):
        def call(*given):
            if self.killed:
                raise Killed
            self.calls += 1
            if self.calls != self.at:
                return real(*given)
            self.killed = True
            if name == "write":
                real(given[0], bytes(given[1])[: len(given[1]) // 2])
            elif self.after:
                real(*given)
            raise Killed

        return call


def change_set(version: int) -> ChangeSet:
    return ChangeSet(version, (Change(("partner", f"p{version}"), f"{version}".encode()),), "me")


def write(serial: int) -> Append:
    """Log index, version, position and serial are one number here."""
    return Append(serial, (["entry", serial, 9, pack(change_set(serial))], ["at", serial]))


def compaction(after: int, compacted: int) -> Compact:
    """A state with all entries up to ``after``, of which the first ``compacted`` are in the snapshot."""
    objects = OBJECTS | {("partner", f"p{n}"): (n, f"{n}".encode()) for n in range(1, compacted + 1)}
    entries = [encode_entry(9, change_set(n)) for n in range(compacted + 1, after + 1)]
    return Compact(
        after,
        PersistentState(
            0, 1, 9, 0, after, compacted, snapshot=Snapshot(compacted, 9, compacted, objects), entries=entries
        ),
    )


def run_writes(folder, confirmed: list[int]) -> None:
    """Appends, a compaction between them, more appends; ``confirmed`` gets each serial that is on disk."""
    files = ControlFiles(folder, 0, 1, False)
    command = compaction(4, 3)
    try:
        for commands in ([write(1), write(2)], [write(3)], [write(4), command, write(5)], [write(6)]):
            confirmed.append(files.carry(commands)[0])
        files.make(command)
        confirmed.append(files.carry([write(7), Place(command), write(8)])[0])
        confirmed.append(files.carry([write(9)])[0])
    finally:
        files.close()


def create(folder):
    ControlFiles(folder, 0, 1, True).close()
    return folder


def reopen(folder) -> PersistentState:
    """The state after a restart, which leaves no other file."""
    files = ControlFiles(folder, 0, 1, False)
    files.close()
    assert {p.name for p in folder.iterdir()} == {NAME, "lock"}
    return files.kept


def test_compacted_file_holds_what_was_written_meanwhile(tmp_path):
    confirmed: list[int] = []
    run_writes(create(tmp_path), confirmed)
    state = reopen(tmp_path)
    assert confirmed == [2, 3, 5, 6, 8, 9] and state.snapshot.version == 3 and len(state.snapshot.objects) == 2_000
    assert [e.change_set for e in state.entries] == [change_set(n) for n in range(4, 10)] and state.position == 9


@pytest.mark.parametrize("after", [False, True])
def test_kill_at_any_system_call_loses_nothing_confirmed(tmp_path, monkeypatch, after):
    """Before and after each call that changes a file, and in the middle of each write."""
    points, at, compacted = 0, 0, 0
    while True:
        at += 1
        folder, confirmed = create(tmp_path / f"{at}"), []
        with monkeypatch.context() as patch:
            kill = KillAtCall(patch, at, after)
            try:
                run_writes(folder, confirmed)
            except Killed:
                points += 1
        if not kill.killed:
            break
        state = reopen(folder)
        last_confirmed = max(confirmed, default=0)
        assert (
            state.position >= last_confirmed
            and state.last_index >= last_confirmed
            and state.snapshot.version in (0, 3)
        )
        assert [e.change_set for e in state.entries] == [
            change_set(n) for n in range(state.snapshot.version + 1, state.last_index + 1)
        ]
        compacted += state.snapshot.version == 3
    assert points > 20 and 3 <= compacted < points


def test_half_made_file_of_a_kill_is_removed(tmp_path):
    create(tmp_path)
    (tmp_path / HALF_MADE).write_bytes(encode_file(compaction(4, 3).records)[:1_000])
    assert reopen(tmp_path).snapshot.version == 0


def test_rewrite_cancels_a_compaction(tmp_path):
    files, command = ControlFiles(create(tmp_path), 0, 1, False), compaction(4, 3)
    later = compaction(20, 20).records
    files.carry([write(1), write(2), write(3), write(4), command])
    files.make(command)
    assert files.carry([Rewrite(21, later), Place(command)]) == (21, 0)
    assert files.carry([write(21)]) == (21, 0)
    files.carry([second := compaction(21, 21)])  # a later compaction works as the first
    files.make(command)  # and the rest of a cancelled one has no effect
    files.make(second)
    assert files.carry([Place(second)]) == (0, 21)
    files.close()
    state = reopen(tmp_path)
    assert (state.snapshot.version, state.last_index, state.position) == (21, 21, 21)


def test_compaction_of_a_process_that_ends_leaves_the_old_file(tmp_path):
    files, command = ControlFiles(create(tmp_path), 0, 1, False), compaction(1, 1)
    files.carry([write(1), command])
    files.make(command)
    files.close()
    state = decode_file((tmp_path / NAME).read_bytes(), 0, 1)
    assert state.snapshot.version == 0 and state.last_index == 1
    assert reopen(tmp_path).last_index == 1


def test_new_file_and_folder_are_synced_before_they_are_used(tmp_path, monkeypatch):
    """A power failure loses what was not synced: the new file is synced before it replaces the old one, the folder
    before more is written into the new file."""
    unsynced: set[int] = set()
    replaced: list[str] = []
    real_write, real_fsync, real_replace = os.write, os.fsync, os.replace

    def checked_write(fd, data):
        assert not replaced
        unsynced.add(fd)
        return real_write(fd, data)

    def checked_sync(fd):
        real_fsync(fd)
        unsynced.discard(fd)
        if stat.S_ISDIR(os.fstat(fd).st_mode):
            replaced.clear()

    def checked_replace(new, old):
        assert files.half_fd not in unsynced
        replaced.append(str(new))
        real_replace(new, old)

    files, command = ControlFiles(create(tmp_path), 0, 1, False), compaction(2, 2)
    for name, function in (
        ("write", checked_write), ("fsync", checked_sync), ("fdatasync", checked_sync), ("replace", checked_replace),
    ):  # fmt: skip
        monkeypatch.setattr(os, name, function)
    files.carry([write(1), write(2), command])
    files.make(command)
    files.carry([write(3), Place(command), write(4)])
    assert files.fd not in unsynced and not replaced
    files.close()
