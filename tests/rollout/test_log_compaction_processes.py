"""Three processes of ``rushweir control`` whose logs are compacted, each killed while its file is rewritten."""

from __future__ import annotations

import asyncio
import os
from base64 import b64encode

from rushweir.daemon.control_files import HALF_MADE
from rushweir.rollout import storage
from rushweir.rollout.change_sets import MAX_OBJECT_BYTES
from rushweir.rollout.log import LOG_LIMITS, Snapshot, apply_change_set
from tests.rollout.control_harness import TIMEOUT_S, ControlHarness

ALL = (0, 1, 2)
OBJECTS = 14  # in a change set, all of the largest size
CHANGE_SETS_OF_FULL_LOG = 2 * LOG_LIMITS.bytes // (OBJECTS * MAX_OBJECT_BYTES) + 2


async def change(harness: ControlHarness, k: int) -> int | None:
    """Propose a change set to this process; return its version, None if it is not confirmed."""
    rows = [["partner", f"p{n}", b64encode(os.urandom(MAX_OBJECT_BYTES)).decode()] for n in range(OBJECTS)]
    try:
        return (await harness.ask(k, "propose", changes=rows, author="me"))["number"]
    except (AssertionError, OSError):  # it was killed
        return None


async def kill_during_compaction(harness: ControlHarness, k: int, confirmed: set[int]) -> None:
    """Propose to another process until this one rewrites its file; go on while it is killed, and until it is back."""
    snapshot_version = (await harness.ask(k, "status"))["floor"]
    proposals: set[asyncio.Task] = set()
    other = (k + 1) % 3
    while (
        not (harness.folder / f"state-{k}" / HALF_MADE).exists()
        and (await harness.ask(k, "status"))["floor"] == snapshot_version
    ):
        if len(proposals) < 4:
            proposals.add(asyncio.create_task(change(harness, other)))
        done, proposals = await asyncio.wait(proposals, timeout=0.001)
        confirmed |= {task.result() for task in done if task.result()}
    await harness.kill(k)
    confirmed |= {number for number in await asyncio.gather(*proposals) if number}
    half = harness.folder / f"state-{k}" / HALF_MADE
    half.write_bytes(b"left of the one that was killed" + (half.read_bytes() if half.exists() else b""))
    await harness.start(k)
    # It is removed; if the log is still full, the file of the next compaction may exist already.
    assert not half.exists() or not half.read_bytes().startswith(b"left")
    number = None
    while number is None:  # the killed process may have been the leader
        number = await change(harness, other)
    confirmed.add(number)
    await harness.wait_for_version(number)


def is_on_disk(harness: ControlHarness, k: int, version: int) -> bool:
    state = storage.decode_file(harness.log_file(k).read_bytes(), k, 3)
    versions = {entry.version for entry in state.entries if entry.change_set is not None}
    return state.snapshot.version >= version or version in versions


async def wait_for_disks(harness: ControlHarness, version: int) -> None:
    """Wait until each process has this version on its disk: it commits one that is on the disks of the two others."""
    async with asyncio.timeout(TIMEOUT_S):
        for k in ALL:
            while not is_on_disk(harness, k, version):
                await harness.wait_for_line()


def test_kill_during_compaction_loses_nothing_confirmed(tmp_path):
    async def run() -> None:
        harness, confirmed = ControlHarness(tmp_path), set()
        await harness.start_all()
        try:
            await harness.wait_for_event(ALL, "leads")
            for k in ALL:
                await kill_during_compaction(harness, k, confirmed)
            await wait_for_disks(harness, max(confirmed))
        finally:
            await harness.stop_all()
        states = [storage.decode_file(harness.log_file(k).read_bytes(), k, 3) for k in ALL]
        last = max(confirmed)
        assert last >= CHANGE_SETS_OF_FULL_LOG
        change_sets = {e.version: e.change_set for state in states for e in state.entries if e.change_set is not None}
        objects = [objects_at(state.snapshot, change_sets, last) for state in states]
        assert objects[0] == objects[1] == objects[2] and len(objects[0]) == OBJECTS
        for state in states:  # each confirmed change set is there, and equal everywhere
            versions = {e.version for e in state.entries if e.change_set is not None}
            assert all(n <= state.snapshot.version or n in versions for n in confirmed)
            assert all(e.change_set is None or e.change_set == change_sets[e.version] for e in state.entries)

    asyncio.run(run())


def objects_at(snapshot: Snapshot, change_sets: dict, last: int) -> dict:
    objects = dict(snapshot.objects)
    for n in range(snapshot.version + 1, last + 1):
        apply_change_set(objects, change_sets[n])
    return objects
