"""Control processes on virtual clocks. Streams between them lose the messages in flight when they break. Disks take
time to write, are left with a torn end by a kill, and can be restored from older copies. All chance comes from the
world's seed.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgpack

from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.world import DISK_MS, QUEUE, Process, World
from rushweir.rollout import storage
from rushweir.rollout.change_sets import Change
from rushweir.rollout.commands import Append, Compact, Rewrite, Send
from rushweir.rollout.control import Control
from rushweir.rollout.log import LogLimits
from rushweir.rollout.storage import PersistentState

COMPACTION_MS = ((1.0, 400.0), (400.0, 4_000.0), (4_000.0, 20_000.0))  # until the file of a ``Compact`` is made
RECONNECT_MS = (20.0, 600.0)
# So small that a day has compactions and many messages.
LOG_LIMITS = LogLimits(entries=12, bytes=100_000, chunk_bytes=60, message_bytes=1)
Make = Callable[[int, int, PersistentState, int, float], Control]


def make(me: int, count: int, state: PersistentState, seed: int, now: float) -> Control:
    """The core of a control process, without injected faults."""
    return Control(me, count, state, seed, now, limits=LOG_LIMITS)


class ControlNode:
    """Adapts the core of a control process to the world's protocol ``Runs``."""

    def __init__(self, core: Control) -> None:
        self.core, self.commands = core, core.commands
        self.start, self.next_at, self.advance = core.start, core.next_at, core.advance
        self.file_saved, self.compacted = core.persisted, core.compacted

    def datagram(self, now: float, data: Any) -> None:
        source, body = data
        self.core.receive(now, source, msgpack.unpackb(body))


class Streams:
    """One stream for each pair of processes.

    A direction that is cut holds what was sent, as TCP does, until the cut ends or the stream breaks. A broken stream
    is reconnected after some time if both processes are up."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.cut: set[tuple[int, int]] = set()
        self.epoch = {(a, b): 0 for a in range(count) for b in range(a + 1, count)}
        self.up = dict.fromkeys(self.epoch, False)
        self.free_at: dict[tuple[int, int], float] = {}
        self.sent: dict[tuple[int, int], deque[bytes]] = {}  # and not delivered, in their order
        self.held: Counter[tuple[int, int]] = Counter()  # messages that a cut keeps from being delivered
        self.delay_ms = (0.5, 4.0)
        for pair in self.epoch:
            self._reconnect_later(pair)

    @staticmethod
    def pair(a: int, b: int) -> tuple[int, int]:
        return (min(a, b), max(a, b))

    def send(self, a: int, b: int, body: list[Any]) -> None:
        """Send a message from ``a`` to ``b``; it is lost if they are not connected."""
        if not self.up[self.pair(a, b)]:
            return
        waiting = self.sent.setdefault((a, b), deque())
        waiting.append(msgpack.packb(body))
        if len(waiting) > QUEUE // 2:
            self.reset(a, b)
            return
        self._schedule_delivery(a, b)

    def _schedule_delivery(self, a: int, b: int) -> None:
        at = max(self.free_at.get((a, b), 0.0), self.world.now + self.world.rng.uniform(*self.delay_ms)) + 1e-6
        self.free_at[a, b] = at
        self.world.later(at - self.world.now, self._deliver, a, b, self.epoch[self.pair(a, b)])

    def _deliver(self, a: int, b: int, epoch: int) -> None:
        """Deliver the next message: so the order is kept whatever was cut meanwhile."""
        if self.epoch[self.pair(a, b)] != epoch:
            return
        if (a, b) in self.cut:
            self.held[a, b] += 1
            return
        p = self.world.at.get(b)
        if p is not None and p.up and p.stopped and len(p.queue) >= QUEUE - 1:
            self.reset(a, b)
            return
        self.world._arrive(b, (a, self.sent[a, b].popleft()))

    def reset(self, a: int, b: int) -> None:
        """Break a stream; messages in flight are lost."""
        pair = self.pair(a, b)
        self.epoch[pair] += 1
        for direction in (pair, pair[::-1]):
            self.sent.pop(direction, None)
            self.held.pop(direction, None)
            self.free_at.pop(direction, None)
        if self.up[pair]:
            self.up[pair] = False
            self._reconnect_later(pair)

    def _reconnect_later(self, pair: tuple[int, int]) -> None:
        self.world.later(self.world.rng.uniform(*RECONNECT_MS), self._reconnect, pair)

    def _reconnect(self, pair: tuple[int, int]) -> None:
        a, b = pair
        ends = [self.world.at.get(k) for k in pair]
        if any(p is None or not p.up or p.stopped for p in ends) or {pair, (b, a)} & self.cut:
            self._reconnect_later(pair)
            return
        self.up[pair] = True
        for p, other in zip(ends, (b, a), strict=True):
            p.core.core.peer_connected(p.clock(self.world.now), other)
            self.world._turned(p)

    def end_cut(self, directions: set[tuple[int, int]]) -> None:
        """End the cut of these directions."""
        self.cut -= directions
        for a, b in sorted(directions):
            for _ in range(self.held.pop((a, b), 0)):
                self._schedule_delivery(a, b)


@dataclass(slots=True)
class Place:
    """The file of a ``Compact`` command is made."""

    command: Compact


@dataclass(slots=True)
class Disk:
    """A disk: its content after a kill, and the writes in progress.

    A complete file is encoded when it is written, as the shell does it, and compared with its encoding at the time of
    the command: a difference shows that its source was changed meanwhile.
    """

    data: bytes
    forget: bool = False  # injected fault: a compacted file lacks what was written meanwhile
    over: bool = False  # injected fault: a compacted file replaces one that a Rewrite made meanwhile
    writing: deque[tuple[Append | Rewrite | Compact | Place, bytes]] = field(default_factory=deque)
    free_at: float = 0.0
    compaction: Compact | None = None  # in progress
    expected: bytes = b""  # the compacted file, as encoded at the time of the command
    compacted_bytes: int = 0  # of the old file, which the compacted file replaces
    copies: list[bytes] = field(default_factory=list)  # older contents

    def begin(self, command: Append | Rewrite | Compact | Place) -> None:
        """Begin a write."""
        data = b""
        if not isinstance(command, Place):
            data = (storage.pack_records if isinstance(command, Append) else storage.encode_file)(command.records)
        self.writing.append((command, data))

    def finish(self) -> Append | Rewrite | Compact | Place | None:
        """Finish the first write and return its command; None: a compaction that was cancelled."""
        command, data = self.writing.popleft()
        match command:
            case Append():
                self.data += data
            case Rewrite():
                self._check_unchanged(command, data)
                self.data, self.compaction = data, None
            case Compact():
                self.compaction, self.expected, self.compacted_bytes = command, data, len(self.data)
            case Place() if self.compaction is command.command or self.over:
                is_current = self.compaction is command.command
                made = self.expected if is_current else storage.encode_file(command.command.records)
                self._check_unchanged(command.command, made)
                self.data, self.compaction = made + (b"" if self.forget else self.data[self.compacted_bytes :]), None
            case Place():
                return None
        return command

    @staticmethod
    def _check_unchanged(command: Rewrite | Compact, expected: bytes) -> None:
        if storage.encode_file(command.records) != expected:
            raise Broken("the source of a file was changed before the file was written")

    def crash(self, rng: Any) -> None:
        """Finish some of the writes, and perhaps a part of the next append; a complete file is all or nothing."""
        for _ in range(rng.randint(0, len(self.writing))):
            self.finish()
        if self.writing:
            command, data = self.writing.popleft()
            if isinstance(command, Append):
                self.data += data[: rng.randrange(len(data))]
        self.writing.clear()
        self.compaction = None


class ControlCluster:
    """``count`` control processes in a world."""

    def __init__(
        self, world: World, count: int, make: Make = make, believe: bool = False, disk: dict[str, bool] | None = None
    ) -> None:
        """``believe``: injected fault: a torn end is not dropped before more is written after it. ``disk``: the
        injected faults of each Disk."""
        self.world, self.count, self.make, self.believe = world, count, make, believe
        self.streams = Streams(world, count)
        self.disks = {
            k: Disk(storage.encode_file(PersistentState(k, count).records()), **(disk or {})) for k in range(count)
        }
        world.watchers.append(self._carry_out)
        self.lives = dict.fromkeys(range(count), 0)

    def control(self, k: int) -> Control:
        """The core of process ``k``."""
        return self.world.at[k].core.core

    def is_up(self, k: int) -> bool:
        p = self.world.at.get(k)
        return p is not None and p.up

    def start(self, k: int) -> None:
        """Start a process from its disk, unless it is up."""
        if self.is_up(k):
            return
        disk, rng, state = self.disks[k], self.world.rng, self.on_disk(k)
        if not self.believe:
            disk.data = disk.data[: state.valid_bytes]
        self.lives[k] += 1
        seed = rng.getrandbits(32)
        self.world.start(
            k, lambda now, _: ControlNode(self.make(k, self.count, state, seed, now)), 1.0 + rng.uniform(-0.01, 0.01)
        )

    def kill(self, k: int) -> None:
        """Kill a process if it is up; its streams break."""
        if self.is_up(k):
            self.world.kill(k)
            self.disks[k].crash(self.world.rng)
            for other in range(self.count):
                if other != k:
                    self.streams.reset(k, other)

    def propose(self, k: int, request_id: int, changes: tuple[Change, ...], author: str, base: int | None) -> None:
        p = self.world.at[k]
        p.core.core.propose(p.clock(self.world.now), request_id, changes, author, base)
        self.world._turned(p)

    def on_disk(self, k: int) -> PersistentState:
        """The state on a process's disk. Raises Broken."""
        try:
            return storage.decode_file(self.disks[k].data, k, self.count)
        except storage.StorageError as problem:
            raise Broken(f"the disk of {k} can't be read: {problem}") from None

    def _carry_out(self, p: Process, command: Any) -> None:
        if isinstance(command, Send):
            self.streams.send(p.name, command.peer, command.body)
        elif isinstance(command, Append | Rewrite | Compact):
            self._begin_write(p, command)

    def _begin_write(self, p: Process, command: Append | Rewrite | Compact | Place) -> None:
        if not p.up:
            return
        disk = self.disks[p.name]
        disk.begin(command)
        disk.free_at = max(disk.free_at, self.world.now) + self.world.rng.uniform(*DISK_MS)
        self.world.later(disk.free_at - self.world.now, self._finish_write, p)

    def _finish_write(self, p: Process) -> None:
        """A stop holds the process, not its disk; the process is notified when it continues."""
        if not p.up:
            return
        match self.disks[p.name].finish():
            case Compact() as compaction:
                ms = self.world.rng.uniform(*self.world.rng.choice(COMPACTION_MS))
                self.world.later(ms, self._begin_write, p, Place(compaction))
            case Place(compaction):
                self._notify(p, p.core.compacted, compaction.serial)
            case Append() | Rewrite() as write:
                self._notify(p, p.core.file_saved, write.serial)

    def _notify(self, p: Process, method: Callable[[float, int], None], serial: int) -> None:
        if p.up and p.stopped:
            self.world.later(5.0, self._notify, p, method, serial)
        elif p.up:
            method(p.clock(self.world.now), serial)
            self.world._turned(p)
