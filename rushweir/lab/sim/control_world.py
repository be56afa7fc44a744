"""Control processes on virtual clocks: streams between them that lose what is on its way when they break, and disks
that take a moment, tear what a kill interrupts, and can be put back. All chance from the world's seed.
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

MAKE_MS = ((1.0, 400.0), (400.0, 4_000.0), (4_000.0, 20_000.0))  # until the file that a fold asked for is made
RELINK_MS = (20.0, 600.0)  # until a stream stands again
LOG_LIMITS = LogLimits(
    entries=12, bytes=100_000, chunk_bytes=60, message_bytes=1
)  # so small that a day has folds and many messages
Make = Callable[[int, int, PersistentState, int, float], Control]


def make(me: int, count: int, kept: PersistentState, seed: int, now: float) -> Control:
    return Control(me, count, kept, seed, now, limits=LOG_LIMITS)


class Node:
    """A control process as the world runs it."""

    def __init__(self, core: Control) -> None:
        self.core, self.commands = core, core.commands
        self.start, self.next_at, self.advance, self.file_saved = (
            core.start,
            core.next_at,
            core.advance,
            core.persisted,
        )
        self.compacted = core.compacted

    def datagram(self, now: float, data: Any) -> None:
        source, body = data
        self.core.receive(now, source, msgpack.unpackb(body))


class Streams:
    """One stream for each pair. A direction that is cut holds what was sent, as TCP does, until it is mended or the
    stream breaks; a stream that broke stands again after a while where both ends are there."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.cut: set[tuple[int, int]] = set()
        self.epoch = {(a, b): 0 for a in range(count) for b in range(a + 1, count)}
        self.up = dict.fromkeys(self.epoch, False)
        self.free_at: dict[tuple[int, int], float] = {}
        self.sent: dict[tuple[int, int], deque[bytes]] = {}  # and not arrived, in their order
        self.held: Counter[tuple[int, int]] = Counter()  # so many of them would have arrived but for a cut
        self.delay_ms = (0.5, 4.0)
        for pair in self.epoch:
            self._relink_later(pair)

    @staticmethod
    def pair(a: int, b: int) -> tuple[int, int]:
        return (min(a, b), max(a, b))

    def send(self, a: int, b: int, body: list[Any]) -> None:
        if not self.up[self.pair(a, b)]:
            return
        waiting = self.sent.setdefault((a, b), deque())
        waiting.append(msgpack.packb(body))
        if len(waiting) > QUEUE // 2:
            self.reset(a, b)
            return
        self._on_its_way(a, b)

    def _on_its_way(self, a: int, b: int) -> None:
        at = max(self.free_at.get((a, b), 0.0), self.world.now + self.world.rng.uniform(*self.delay_ms)) + 1e-6
        self.free_at[a, b] = at
        self.world.later(at - self.world.now, self._arrive, a, b, self.epoch[self.pair(a, b)])

    def _arrive(self, a: int, b: int, epoch: int) -> None:
        """The next one, whichever it is: so their order is kept whatever was cut and mended meanwhile."""
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
        pair = self.pair(a, b)
        self.epoch[pair] += 1
        for way in (pair, pair[::-1]):
            self.sent.pop(way, None)
            self.held.pop(way, None)
            self.free_at.pop(way, None)
        if self.up[pair]:
            self.up[pair] = False
            self._relink_later(pair)

    def _relink_later(self, pair: tuple[int, int]) -> None:
        self.world.later(self.world.rng.uniform(*RELINK_MS), self._relink, pair)

    def _relink(self, pair: tuple[int, int]) -> None:
        a, b = pair
        ends = [self.world.at.get(k) for k in pair]
        if any(p is None or not p.up or p.stopped for p in ends) or {pair, (b, a)} & self.cut:
            self._relink_later(pair)
            return
        self.up[pair] = True
        for p, other in zip(ends, (b, a), strict=True):
            p.core.core.peer_connected(p.clock(self.world.now), other)
            self.world._turned(p)

    def mend(self, ways: set[tuple[int, int]]) -> None:
        self.cut -= ways
        for a, b in sorted(ways):
            for _ in range(self.held.pop((a, b), 0)):
                self._on_its_way(a, b)


@dataclass(slots=True)
class Place:
    """The file that a fold asked for is made."""

    fold: Compact


@dataclass(slots=True)
class Disk:
    """What would be there after a kill, and what is being written. Whole files are made when they are written, as the
    shell does it, so that it shows what was changed meanwhile; what they are to be is noted when they are asked for.
    """

    data: bytes
    forget: bool = False  # planted: a fold's file lacks what was written meanwhile
    over: bool = False  # planted: a fold's file takes its place though another whole came between
    writing: deque[tuple[Append | Rewrite | Compact | Place, bytes]] = field(default_factory=deque)
    free_at: float = 0.0
    fold: Compact | None = None
    wanted: bytes = b""  # the fold's file, as it was asked for
    from_: int = 0  # what the fold replaces ends there
    copies: list[bytes] = field(default_factory=list)  # older ones

    def asked(self, order: Append | Rewrite | Compact | Place) -> None:
        data = b""
        if not isinstance(order, Place):
            data = (storage.pack_records if isinstance(order, Append) else storage.encode_file)(order.records)
        self.writing.append((order, data))

    def done(self) -> Append | Rewrite | Compact | Place | None:
        """The next of it is on disk; None: a fold's file that is wanted no more."""
        order, data = self.writing.popleft()
        match order:
            case Append():
                self.data += data
            case Rewrite():
                self._same(order, data)
                self.data, self.fold = data, None
            case Compact():
                self.fold, self.wanted, self.from_ = order, data, len(self.data)
            case Place() if self.fold is order.fold or self.over:
                made = self.wanted if self.fold is order.fold else storage.encode_file(order.fold.records)
                self._same(order.fold, made)
                self.data, self.fold = made + (b"" if self.forget else self.data[self.from_ :]), None
            case Place():
                return None
        return order

    @staticmethod
    def _same(order: Rewrite | Compact, asked: bytes) -> None:
        if storage.encode_file(order.records) != asked:
            raise Broken("what a whole file is made of was changed before it was written")

    def crash(self, rng: Any) -> None:
        """Some of what was being written is there, the next of it perhaps in part: a whole file is all or nothing."""
        for _ in range(rng.randint(0, len(self.writing))):
            self.done()
        if self.writing:
            order, data = self.writing.popleft()
            if isinstance(order, Append):
                self.data += data[: rng.randrange(len(data))]
        self.writing.clear()
        self.fold = None


class Controls:
    """``count`` control processes in a world."""

    def __init__(
        self, world: World, count: int, make: Make = make, believe: bool = False, disk: dict[str, bool] | None = None
    ) -> None:
        """``believe``: a planted fault: a torn end is not cut off before more is written behind it. ``disk``: others,
        as Disk has them."""
        self.world, self.count, self.make, self.believe = world, count, make, believe
        self.streams = Streams(world, count)
        self.disks = {
            k: Disk(storage.encode_file(PersistentState(k, count).records()), **(disk or {})) for k in range(count)
        }
        world.watchers.append(self._order)
        self.lives = dict.fromkeys(range(count), 0)

    def control(self, k: int) -> Control:
        return self.world.at[k].core.core

    def is_up(self, k: int) -> bool:
        p = self.world.at.get(k)
        return p is not None and p.up

    def start(self, k: int) -> None:
        if self.is_up(k):
            return
        disk, rng, kept = self.disks[k], self.world.rng, self.on_disk(k)
        if not self.believe:
            disk.data = disk.data[: kept.valid_bytes]
        self.lives[k] += 1
        seed = rng.getrandbits(32)
        self.world.start(
            k, lambda now, _: Node(self.make(k, self.count, kept, seed, now)), 1.0 + rng.uniform(-0.01, 0.01)
        )

    def kill(self, k: int) -> None:
        if self.is_up(k):
            self.world.kill(k)
            self.disks[k].crash(self.world.rng)
            for other in range(self.count):
                if other != k:
                    self.streams.reset(k, other)

    def propose(self, k: int, ticket: int, changes: tuple[Change, ...], author: str, base: int | None) -> None:
        p = self.world.at[k]
        p.core.core.propose(p.clock(self.world.now), ticket, changes, author, base)
        self.world._turned(p)

    def on_disk(self, k: int) -> PersistentState:
        try:
            return storage.decode_file(self.disks[k].data, k, self.count)
        except storage.StorageError as problem:
            raise Broken(f"the disk of {k} can't be read: {problem}") from None

    def _order(self, p: Process, order: Any) -> None:
        if isinstance(order, Send):
            self.streams.send(p.name, order.peer, order.body)
        elif isinstance(order, Append | Rewrite | Compact):
            self._asked(p, order)

    def _asked(self, p: Process, order: Append | Rewrite | Compact | Place) -> None:
        if not p.up:
            return
        disk = self.disks[p.name]
        disk.asked(order)
        disk.free_at = max(disk.free_at, self.world.now) + self.world.rng.uniform(*DISK_MS)
        self.world.later(disk.free_at - self.world.now, self._written, p)

    def _written(self, p: Process) -> None:
        """A stop holds the process, not its disk; it is told when it goes on."""
        if not p.up:
            return
        match self.disks[p.name].done():
            case Compact() as fold:
                ms = self.world.rng.uniform(*self.world.rng.choice(MAKE_MS))
                self.world.later(ms, self._asked, p, Place(fold))
            case Place(fold):
                self._told(p, p.core.compacted, fold.serial)
            case Append() | Rewrite() as write:
                self._told(p, p.core.file_saved, write.serial)

    def _told(self, p: Process, what: Callable[[float, int], None], serial: int) -> None:
        if p.up and p.stopped:
            self.world.later(5.0, self._told, p, what, serial)
        elif p.up:
            what(p.clock(self.world.now), serial)
            self.world._turned(p)
