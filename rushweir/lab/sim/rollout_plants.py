"""Faults planted in how settings get to ingresses, each of which the days must find. Nothing of this is reachable
from the program.

``bulky``: a step carries the whole. ``hasty``: a step is applied ahead of its predecessor. ``unjittered``: those of a
control process that went move on at once. ``forgotten``: what was dropped leaves no tombstone. ``unchecked``: a
digest that does not fit is taken for good. ``early``: an ingress says that it acts on what is not on its disk yet.
``alone``: a control process takes its own ingresses for all there are.
"""

from __future__ import annotations

import random
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import ChangeSet, pack, unpack
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer
from rushweir.rollout.watch_sessions import WatchSessions
from rushweir.rollout.watcher import Watcher

KINDS = ("bulky", "hasty", "unjittered", "forgotten", "unchecked", "early", "alone")


class Bulky(WatchSessions):
    def _change_set_message(self, step: ChangeSet, digest: bytes) -> bytes:
        objects = [row for part in self.store.buckets for row in part.items()]
        return watch_channel.write(
            "rollout.step", {"step": pack(step), "digest": digest, "objects": objects}, self.key
        )


class Forgotten(WatchSessions):
    def committed(self, now: float, step: ChangeSet) -> None:
        super().committed(now, step)
        self.store.tombstones.clear()


class Alone(WatchSessions):
    def take_report(self, now: float, told: Any) -> None:
        pass


class Taken(ReorderBuffer):
    def take_delta(self, delta: Delta, version: int, digest: bytes) -> bool:
        if super().take_delta(delta, version, digest):
            return True
        self.rows.update(delta.rows)
        self.version = version
        return True


class Hasty(Watcher):
    def _receive_change_set(self, fields: dict[str, Any]) -> None:
        step = unpack(fields["step"])
        if step.version <= self.buffer.version + 1:
            super()._receive_change_set(fields)
            return
        self.buffer.__class__ = Taken
        self.buffer.take_change_set(step, fields["digest"])
        self.buffer.__class__ = ReorderBuffer
        self._version_advanced()


class Unchecked(Watcher):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.buffer = Taken(self.store)


class Early(Watcher):
    def _acting_version(self) -> int:
        return self.version


class Still(random.Random):
    def uniform(self, a: float, b: float) -> float:
        return a


class Unjittered(Watcher):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.connections.rng = Still(0)


SENDING = {"bulky": Bulky, "forgotten": Forgotten, "alone": Alone}
WATCHING = {"hasty": Hasty, "unjittered": Unjittered, "unchecked": Unchecked, "early": Early}


def plant(kind: str) -> Any:
    """For a day."""

    def into(world: Any) -> None:
        world.sending = SENDING.get(kind, WatchSessions)
        world.watching = WATCHING.get(kind, Watcher)

    return into
