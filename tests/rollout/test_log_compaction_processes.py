"""Three processes of ``rushweir control`` whose logs are folded, each killed while its file is being made anew."""

from __future__ import annotations

import asyncio
import os
from base64 import b64encode

from rushweir.daemon.control_files import HALF_MADE
from rushweir.rollout import storage
from rushweir.rollout.change_sets import MAX_OBJECT_BYTES
from rushweir.rollout.log import LOG_LIMITS, Snapshot, apply_change_set
from tests.rollout.control_harness import ControlHarness

ALL = (0, 1, 2)
NAMES = 14  # objects of a step, all of the largest size
FULL = 2 * LOG_LIMITS.bytes // (NAMES * MAX_OBJECT_BYTES) + 2  # steps that make a log full


async def change(s: ControlHarness, k: int) -> int | None:
    """One step, asked of this process; None where none confirms it."""
    rows = [["partner", f"p{n}", b64encode(os.urandom(MAX_OBJECT_BYTES)).decode()] for n in range(NAMES)]
    try:
        return (await s.ask(k, "propose", changes=rows, author="me"))["number"]
    except (AssertionError, OSError):  # it was killed
        return None


async def killed_as_it_folds(s: ControlHarness, k: int, confirmed: set[int]) -> None:
    """Changes at another until this one makes its file anew; they go on while it is killed, and until it is back."""
    begun = (await s.ask(k, "status"))["floor"]
    asked: set[asyncio.Task] = set()
    other = (k + 1) % 3
    while not (s.folder / f"state-{k}" / HALF_MADE).exists() and (await s.ask(k, "status"))["floor"] == begun:
        if len(asked) < 4:
            asked.add(asyncio.create_task(change(s, other)))
        done, asked = await asyncio.wait(asked, timeout=0.001)
        confirmed |= {task.result() for task in done if task.result()}
    await s.kill(k)
    confirmed |= {number for number in await asyncio.gather(*asked) if number}
    half = s.folder / f"state-{k}" / HALF_MADE
    half.write_bytes(b"left of the one that was killed" + (half.read_bytes() if half.exists() else b""))
    await s.start(k)
    # It is gone; where the log is still full there may be the next one's already.
    assert not half.exists() or not half.read_bytes().startswith(b"left")
    number = None
    while number is None:  # who leads may have been the one
        number = await change(s, other)
    confirmed.add(number)
    await s.wait_for_version(number)


def test_processes_that_are_killed_as_they_fold_lose_nothing(tmp_path):
    async def play() -> None:
        s, confirmed = ControlHarness(tmp_path), set()
        await s.start_all()
        try:
            await s.wait_for_event(ALL, "leads")
            for k in ALL:
                await killed_as_it_folds(s, k, confirmed)
        finally:
            await s.stop_all()
        whole = [storage.decode_file(s.log_file(k).read_bytes(), k, 3) for k in ALL]
        last = max(confirmed)
        assert last >= FULL
        steps = {e.version: e.change_set for kept in whole for e in kept.entries if e.change_set is not None}
        objects = [objects_at(kept.snapshot, steps, last) for kept in whole]
        assert objects[0] == objects[1] == objects[2] and len(objects[0]) == NAMES
        for kept in whole:  # none of the confirmed is left out, and none is another
            numbers = {e.version for e in kept.entries if e.change_set is not None}
            assert all(n <= kept.snapshot.version or n in numbers for n in confirmed)
            assert all(e.change_set is None or e.change_set == steps[e.version] for e in kept.entries)

    asyncio.run(play())


def objects_at(base: Snapshot, steps: dict, last: int) -> dict:
    objects = dict(base.objects)
    for n in range(base.version + 1, last + 1):
        apply_change_set(objects, steps[n])
    return objects
