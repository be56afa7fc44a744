"""The folder of a control process: what a kill at any point leaves is the old file or the new one, with all that was
confirmed; folds beside the writes."""

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
WAYS = ("write", "fsync", "fdatasync", "replace")


class Killed(BaseException):
    """In place of the kill."""


class Kills:
    """Ends what runs at the n-th call of the system that changes files: before it, or half a write later."""

    def __init__(self, monkeypatch, at: int, after: bool) -> None:
        self.at, self.after, self.calls, self.dead = at, after, 0, False
        for name in WAYS:
            monkeypatch.setattr(os, name, self._call(name, getattr(os, name)))

    def _call(self, name, real):
        def call(*given):
            if self.dead:
                raise Killed
            self.calls += 1
            if self.calls != self.at:
                return real(*given)
            self.dead = True
            if name == "write":
                real(given[0], bytes(given[1])[: len(given[1]) // 2])
            elif self.after:
                real(*given)
            raise Killed

        return call


def step(n: int) -> ChangeSet:
    return ChangeSet(n, (Change(("partner", f"p{n}"), f"{n}".encode()),), "me")


def write(serial: int) -> Append:
    """Entry and step, write and serial have one number here."""
    return Append(serial, (["entry", serial, 9, pack(step(serial))], ["at", serial]))


def fold(after: int, base: int) -> Compact:
    """All up to ``after``, the first ``base`` of it folded."""
    objects = OBJECTS | {("partner", f"p{n}"): (n, f"{n}".encode()) for n in range(1, base + 1)}
    entries = [encode_entry(9, step(n)) for n in range(base + 1, after + 1)]
    return Compact(
        after, PersistentState(0, 1, 9, 0, after, base, snapshot=Snapshot(base, 9, base, objects), entries=entries)
    )


def play(folder, confirmed: list[int]) -> None:
    """Appends, a fold made between them, more appends; ``confirmed`` gets each serial that outlives a kill."""
    files = ControlFiles(folder, 0, 1, False)
    asked = fold(4, 3)
    try:
        for orders in ([write(1), write(2)], [write(3)], [write(4), asked, write(5)], [write(6)]):
            confirmed.append(files.carry(orders)[0])
        files.make(asked)
        confirmed.append(files.carry([write(7), Place(asked), write(8)])[0])
        confirmed.append(files.carry([write(9)])[0])
    finally:
        files.close()


def prepared(folder):
    ControlFiles(folder, 0, 1, True).close()
    return folder


def found(folder) -> PersistentState:
    files = ControlFiles(folder, 0, 1, False)
    files.close()
    assert {p.name for p in folder.iterdir()} == {NAME, "lock"}
    return files.kept


def test_a_fold_takes_its_place_with_what_was_written_meanwhile(tmp_path):
    confirmed: list[int] = []
    play(prepared(tmp_path), confirmed)
    kept = found(tmp_path)
    assert confirmed == [2, 3, 5, 6, 8, 9] and kept.snapshot.version == 3 and len(kept.snapshot.objects) == 2_000
    assert [e.change_set for e in kept.entries] == [step(n) for n in range(4, 10)] and kept.position == 9


@pytest.mark.parametrize("after", [False, True])
def test_killed_at_every_point(tmp_path, monkeypatch, after):
    """Before and after each call that changes a file, and in the midst of each write."""
    points, at, folded = 0, 0, 0
    while True:
        at += 1
        folder, confirmed = prepared(tmp_path / f"{at}"), []
        with monkeypatch.context() as patch:
            kills = Kills(patch, at, after)
            try:
                play(folder, confirmed)
            except Killed:
                points += 1
        if not kills.dead:
            break
        kept = found(folder)
        told = max(confirmed, default=0)
        assert kept.position >= told and kept.last_index >= told and kept.snapshot.version in (0, 3)
        assert [e.change_set for e in kept.entries] == [
            step(n) for n in range(kept.snapshot.version + 1, kept.last_index + 1)
        ]
        folded += kept.snapshot.version == 3
    assert points > 20 and 3 <= folded < points


def test_what_a_kill_left_half_made_is_taken_away(tmp_path):
    prepared(tmp_path)
    (tmp_path / HALF_MADE).write_bytes(encode_file(fold(4, 3).records)[:1_000])
    assert found(tmp_path).snapshot.version == 0


def test_a_whole_that_comes_between_ends_a_fold(tmp_path):
    files, asked = ControlFiles(prepared(tmp_path), 0, 1, False), fold(4, 3)
    later = fold(20, 20).records
    files.carry([write(1), write(2), write(3), write(4), asked])
    files.make(asked)
    assert files.carry([Rewrite(21, later), Place(asked)]) == (21, 0)
    assert files.carry([write(21)]) == (21, 0)
    files.carry([again := fold(21, 21)])  # the next one is as good as the first
    files.make(asked)  # and what goes on of an ended one harms nothing
    files.make(again)
    assert files.carry([Place(again)]) == (0, 21)
    files.close()
    kept = found(tmp_path)
    assert (kept.snapshot.version, kept.last_index, kept.position) == (21, 21, 21)


def test_a_fold_of_a_process_that_ends_leaves_the_old_file(tmp_path):
    files, asked = ControlFiles(prepared(tmp_path), 0, 1, False), fold(1, 1)
    files.carry([write(1), asked])
    files.make(asked)
    files.close()
    kept = decode_file((tmp_path / NAME).read_bytes(), 0, 1)
    assert kept.snapshot.version == 0 and kept.last_index == 1
    assert found(tmp_path).last_index == 1


def test_all_is_synced_before_it_takes_its_place(tmp_path, monkeypatch):
    """A loss of power takes what was not synced: the new file is, before it is the file, and the folder is before
    more is written into it."""
    unsynced: set[int] = set()
    replaced: list[str] = []
    write_, fsync, replace = os.write, os.fsync, os.replace

    def written(fd, data):
        assert not replaced
        unsynced.add(fd)
        return write_(fd, data)

    def synced(fd):
        fsync(fd)
        unsynced.discard(fd)
        if stat.S_ISDIR(os.fstat(fd).st_mode):
            replaced.clear()

    def placed(new, old):
        assert files.half_fd not in unsynced
        replaced.append(str(new))
        replace(new, old)

    files, asked = ControlFiles(prepared(tmp_path), 0, 1, False), fold(2, 2)
    for name, what in (("write", written), ("fsync", synced), ("fdatasync", synced), ("replace", placed)):
        monkeypatch.setattr(os, name, what)
    files.carry([write(1), write(2), asked])
    files.make(asked)
    files.carry([write(3), Place(asked), write(4)])
    assert files.fd not in unsynced and not replaced
    files.close()
