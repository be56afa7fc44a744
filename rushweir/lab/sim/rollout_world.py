"""Control processes and ingresses that watch them, on one virtual clock, with streams between them.

A stream keeps its order and loses nothing until it breaks. What a cut holds back comes when the cut ends, unless one
side gave the stream up meanwhile, as with TCP. Beyond what a stream does, bytes may be altered, and messages doubled
or swapped, by something that stands in between. Each process has its own zero of time. A disk has what was written
after a moment; a kill loses what was not, and may leave a torn end. The log of the control processes is a model: a
change is in it when a majority of them is together, and each gets all of it in order when it is with a majority.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from rushweir.rollout import stored_settings as disk
from rushweir.rollout.change_sets import Change, ChangeSet, Key
from rushweir.rollout.object_store import ObjectStore
from rushweir.rollout.stored_settings import Append
from rushweir.rollout.watch_connections import Connect, Disconnect
from rushweir.rollout.watch_session_records import Close, Rates, Report
from rushweir.rollout.watch_session_records import Send as Sent
from rushweir.rollout.watch_sessions import WatchSessions
from rushweir.rollout.watcher import Watcher
from rushweir.rollout.watcher_commands import Apply, Persist, Send

KEY = b"the days' own key"
DELAY_MS = (0.3, 8.0)
DISK_MS = (1.0, 60.0)
LOG_MS = 50.0  # how often control processes are looked at for what their log has new
LONE_MS = 1_000.0  # after which one without a majority says so


@dataclass(slots=True, eq=False)
class Wire:
    ingress: Ingress
    conn: int  # as the ingress has it
    control: Control
    session: int = 0
    dead: bool = False
    told: set[str] = field(default_factory=set)
    at: dict[str, float] = field(default_factory=lambda: {"up": 0.0, "down": 0.0})  # when the last one arrives
    held: list[tuple[str, bytes]] = field(default_factory=list)  # behind a cut


@dataclass(slots=True, eq=False)
class Control:
    name: str
    zone: int
    offset: float
    core: WatchSessions | None = None
    book: ObjectStore = field(default_factory=ObjectStore)  # its disk
    wires: dict[int, Wire] = field(default_factory=dict)
    wake: float = float("inf")
    serial: int = 0
    lone_since: float = 0.0
    ok_since: float = 0.0  # up, and with a majority
    second: int = 0  # that the bytes are counted in
    sent: float = 0.0


@dataclass(slots=True, eq=False)
class Ingress:
    name: str
    zone: int
    offset: float
    core: Watcher | None = None
    wires: dict[int, Wire] = field(default_factory=dict)
    wake: float = float("inf")
    life: int = 0
    up_since: float = 0.0
    acting: dict[Key, bytes] = field(default_factory=dict)  # what its user acts on
    version: int = 0  # of that
    word: int = 0  # what it told a control process that it acts on
    known_since: float = float("inf")  # with a control process that a majority hears
    files: tuple[bytes | None, bytes] = (None, b"")
    lost_at: float = -1e9
    writing: list[tuple[float, Any, int]] = field(default_factory=list)


class World:
    """``make`` gives the cores, so that a fault can be planted in them."""

    watching: Callable[..., Watcher] = Watcher
    sending: Callable[..., WatchSessions] = WatchSessions

    def __init__(self, seed: int, controls: list[int], zones: list[int], rates: Rates | None = None) -> None:
        """The zones of the control processes and of the ingresses."""
        self.rng, self.now, self.rates = random.Random(seed), 0.0, rates or Rates()
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serial = 0
        self.cut: set[frozenset[int]] = set()  # pairs of zones
        self.apart: set[str] = set()  # control processes that no other control process reaches
        self.alter = self.double = self.swap = 0.0
        self.log: list[ChangeSet] = []
        self.refusers: dict[str, set[bytes]] = {}  # what an ingress does not take
        self.counts: Counter[str] = Counter()
        rng = self.rng
        self.controls = [Control(f"c{n}:1", z, rng.uniform(0, 1e6)) for n, z in enumerate(controls)]
        self.ingresses = [Ingress(f"ingress {n}", z, rng.uniform(0, 1e6)) for n, z in enumerate(zones)]
        self.later(0.0, self._logs)

    # --- time ------------------------------------------------------------------------------------

    def later(self, ms: float, what: Callable[..., None], *given: Any) -> None:
        self.serial += 1
        heappush(self.events, (self.now + ms, self.serial, what, given))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what, given = heappop(self.events)
            what(*given)
        self.now = until

    def _wake(self, p: Control | Ingress, life: Any) -> None:
        if p.core is not life or self.now < p.wake - 1e-6:
            return
        p.wake = float("inf")
        assert p.core is not None
        p.core.advance(p.offset + self.now)
        self.tend(p)

    def tend(self, p: Control | Ingress) -> None:
        """Carry out what it ordered, and wake it when it wants."""
        if isinstance(p, Control):
            self._control_orders(p)
        else:
            self._ingress_orders(p)
        if p.core is None:
            return
        due = max(self.now, p.core.next_at() - p.offset) + 0.001  # so that no rounding wakes it too early, for ever
        if due < p.wake:
            p.wake = due
            self.later(due - self.now, self._wake, p, p.core)

    # --- processes -------------------------------------------------------------------------------

    def start_control(self, c: Control, expire_ms: float = 1e12) -> None:
        seed = self.rng.getrandbits(30)
        c.core = self.sending(c.offset + self.now, c.book.copy(), KEY, self.rates, seed, expire_ms)
        c.lone_since, c.wake = self.now, float("inf")
        self.tend(c)

    def kill_control(self, c: Control) -> None:
        if c.core is not None:
            c.book, c.core, c.ok_since = c.core.store, None, float("inf")
            for wire in list(c.wires.values()):
                self.break_wire(wire, "up")
            self.counts["control_kills"] += 1

    def start_ingress(self, i: Ingress) -> None:
        kept, wrong, good = disk.load(i.files[0], i.files[1])
        self.counts["torn"] += bool(wrong)
        i.files = (i.files[0], i.files[1][:good])
        i.core = self.watching(
            i.offset + self.now, i.name, tuple(c.name for c in self.controls), kept, KEY, self.rng.getrandbits(30)
        )
        i.life += 1
        i.up_since, i.wake, i.known_since = self.now, float("inf"), float("inf")
        i.acting = {key: data for key, _, data in kept.store.objects()}
        i.version = kept.store.version
        self.tend(i)

    def kill_ingress(self, i: Ingress) -> None:
        if i.core is None:
            return
        i.core = None
        self.counts["ingress_kills"] += 1
        if i.writing:  # the one that was being written may be torn
            what = i.writing[0][1]
            if isinstance(what, Append) and i.files[0] is not None:
                i.files = (i.files[0], i.files[1] + what.data[: self.rng.randrange(len(what.data))])
        i.writing.clear()
        for wire in list(i.wires.values()):
            self.break_wire(wire, "down")

    # --- streams ---------------------------------------------------------------------------------

    def reaches(self, i: Ingress, c: Control) -> bool:
        return c.core is not None and frozenset((i.zone, c.zone)) not in self.cut

    def break_wire(self, wire: Wire, *sides: str) -> None:
        """``up``: the ingress gets to know of it; ``down``: the control process."""
        if wire.dead:
            return
        wire.dead = True
        wire.held.clear()
        for side in sides:
            self.later(self.rng.uniform(*DELAY_MS), self._told_lost, wire, side)

    def _told_lost(self, wire: Wire, side: str) -> None:
        i, c = wire.ingress, wire.control
        if frozenset((i.zone, c.zone)) in self.cut or side in wire.told:
            return  # it finds out by silence
        wire.told.add(side)
        if side == "up" and i.wires.get(wire.conn) is wire:
            del i.wires[wire.conn]
            if i.core is not None:
                self.lost(i, wire)
                i.core.lost(i.offset + self.now, wire.conn)
                self.tend(i)
        elif side == "down" and c.wires.get(wire.session) is wire:
            del c.wires[wire.session]
            if c.core is not None:
                c.core.closed(c.offset + self.now, wire.session)
                self.tend(c)

    def lost(self, i: Ingress, wire: Wire) -> None:
        """For who looks at it."""

    def say(self, wire: Wire, way: str, data: bytes) -> None:
        if wire.dead:
            return
        if frozenset((wire.ingress.zone, wire.control.zone)) in self.cut:
            wire.held.append((way, data))
            return
        due = max(self.now + self.rng.uniform(*DELAY_MS), wire.at[way])
        rng = self.rng
        if self.alter and rng.random() < self.alter:
            at = rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ 1 << rng.randrange(7)]) + data[at + 1 :]
            self.counts["altered"] += 1
        if self.swap and rng.random() < self.swap:
            due += rng.uniform(0, 300)  # those behind it overtake it
            self.counts["swapped"] += 1
        else:
            wire.at[way] = due
        for _ in range(2 if self.double and rng.random() < self.double else 1):
            self.later(due - self.now, self._arrives, wire, way, data)

    def _arrives(self, wire: Wire, way: str, data: bytes) -> None:
        if wire.dead:
            return
        p = wire.ingress if way == "down" else wire.control
        if p.core is not None:
            p.core.received(p.offset + self.now, wire.conn if way == "down" else wire.session, data)
            self.tend(p)

    def heal(self, pairs: set[frozenset[int]]) -> None:
        self.cut -= pairs
        for c in self.controls:
            for wire in list(c.wires.values()):
                held, wire.held = wire.held, []
                if wire.dead:
                    self._told_lost(wire, "down")
                for way, data in held:
                    self.say(wire, way, data)

    # --- orders ----------------------------------------------------------------------------------

    def _control_orders(self, c: Control) -> None:
        while c.core is not None and c.core.commands:
            order = c.core.commands.popleft()
            if isinstance(order, Report):
                for other in self.controls:
                    if other is not c and self.together(c, other):
                        self.later(self.rng.uniform(*DELAY_MS), self._report, other, order.report)
                continue
            wire = c.wires.get(order.conn)
            if wire is None:
                continue
            if isinstance(order, Sent):
                self.sees(c, wire, order.data)
                self.say(wire, "down", order.data)
            elif isinstance(order, Close):
                del c.wires[wire.session]
                self.break_wire(wire, "up")

    def sees(self, c: Control, wire: Wire, data: bytes) -> None:
        """For who looks at it."""

    def _report(self, c: Control, told: Any) -> None:
        if c.core is not None:
            c.core.take_report(c.offset + self.now, told)
            self.tend(c)

    def _ingress_orders(self, i: Ingress) -> None:
        while i.core is not None and i.core.commands:
            order = i.core.commands.popleft()
            if isinstance(order, Connect):
                self._dials(i, order)
            elif isinstance(order, Disconnect):
                wire = i.wires.pop(order.conn, None)
                if wire is not None:
                    self.break_wire(wire, "down")
            elif isinstance(order, Send):
                wire = i.wires.get(order.conn)
                if wire is not None:
                    self.says(i, order.data)
                    self.say(wire, "up", order.data)
            elif isinstance(order, Apply):
                self.later(self.rng.uniform(0.1, 5.0), self._applies, i, i.core, order)
            elif isinstance(order, Persist):
                after = i.writing[-1][0] if i.writing else self.now
                due = max(self.now, after) + self.rng.uniform(*DISK_MS)
                i.writing.append((due, order.operation, order.version))
                self.later(due - self.now, self._written, i, i.core)

    def says(self, i: Ingress, data: bytes) -> None:
        """For who looks at it."""

    def _dials(self, i: Ingress, order: Connect) -> None:
        c = next(c for c in self.controls if c.name == order.address)
        wire = Wire(i, order.conn, c)
        i.wires[order.conn] = wire
        if frozenset((i.zone, c.zone)) in self.cut:
            return  # its dial comes to nothing
        if c.core is None:
            self.break_wire(wire, "up")
        else:
            self.later(self.rng.uniform(*DELAY_MS), self._accepted, wire, i.core, c.core)

    def _accepted(self, wire: Wire, own: Any, other: Any) -> None:
        i, c = wire.ingress, wire.control
        if wire.dead or i.core is not own or c.core is not other or own is None or other is None:
            self.break_wire(wire, "up")
            return
        c.serial += 1
        wire.session = c.serial
        c.wires[wire.session] = wire
        own.opened(i.offset + self.now, wire.conn)
        other.opened(c.offset + self.now, wire.session)
        self.tend(c)
        self.tend(i)

    def _applies(self, i: Ingress, life: Any, order: Apply) -> None:
        if i.core is not life or life is None:
            return
        now, bad = i.offset + self.now, self.refusers.get(i.name, set())
        wrong = next((c for c in order.changes if c.data is not None and c.data[:1] in bad), None)
        if wrong is not None:
            self.counts["refusals"] += 1
            life.refused(now, order.version, wrong.key, "rate", "not here")
        else:
            for c in order.changes:
                if c.data is None:
                    i.acting.pop(c.key, None)
                else:
                    i.acting[c.key] = c.data
            before, i.version = i.version, order.version
            life.applied(now, order.version)
            self.acts(i, before)
        self.tend(i)

    def acts(self, i: Ingress, before: int) -> None:
        """For who looks at it."""

    def _written(self, i: Ingress, life: Any) -> None:
        if i.core is not life or life is None:
            return
        _, what, version = i.writing.pop(0)
        if isinstance(what, Append):
            i.files = (i.files[0], i.files[1] + what.data)
        else:
            i.files = (what.store.dump(), disk.MAGIC)
        life.persisted(i.offset + self.now, version)
        self.tend(i)

    # --- the log ---------------------------------------------------------------------------------

    def together(self, one: Control, other: Control) -> bool:
        if one is other:
            return one.core is not None
        up = one.core is not None and other.core is not None
        alone = one.name in self.apart or other.name in self.apart
        return up and not alone and frozenset((one.zone, other.zone)) not in self.cut

    def majority(self, c: Control) -> bool:
        return sum(self.together(c, other) for other in self.controls) * 2 > len(self.controls)

    def commit(self, changes: tuple[Change, ...]) -> bool:
        """Whether a majority took it."""
        if not any(self.majority(c) for c in self.controls):
            return False
        self.log.append(ChangeSet(len(self.log) + 1, changes))
        return True

    def _logs(self) -> None:
        for c in self.controls:
            if c.core is None:
                continue
            now = c.offset + self.now
            if self.majority(c):
                c.lone_since = float("inf")
                if not c.core.current:
                    c.core.set_current(now, True)
                    c.ok_since = self.now
                for step in self.log[c.core.store.version :]:
                    c.core.committed(now, step)
            else:
                c.lone_since = min(c.lone_since, self.now)
                c.ok_since = float("inf")
                if c.core.current and self.now - c.lone_since > LONE_MS:
                    c.core.set_current(now, False)
            self.tend(c)
        self.later(LOG_MS, self._logs)
