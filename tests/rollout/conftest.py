"""One control process and ingresses beside it, with a clock that only moves when it is told to."""

from __future__ import annotations

import pytest

from rushweir.rollout.change_sets import Change, ChangeSet, Key
from rushweir.rollout.object_store import ObjectStore
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watch_connections import Connect, Disconnect
from rushweir.rollout.watch_session_records import Close, Report
from rushweir.rollout.watch_session_records import Send as Sent
from rushweir.rollout.watch_sessions import WatchSessions
from rushweir.rollout.watcher import Watcher
from rushweir.rollout.watcher_commands import Apply, LogEvent, Persist, Send

KEY = b"a key of the test"


class Ingress:
    """An ingress with a disk that is always there and one who applies, who refuses what he is told to."""

    def __init__(
        self, scene: Scene, name: str, controls: tuple[str, ...], kept: StoredSettings | None = None
    ) -> None:
        self.scene, self.name = scene, name
        self.core = Watcher(scene.now, name, controls, kept or StoredSettings(), KEY, seed=len(scene.ingresses))
        self.refuses: dict[Key, bytes] = {}  # objects that it does not take
        self.applies: list[tuple[int, list[Key]]] = []
        self.notes: list[LogEvent] = []
        self.wire: dict[int, tuple[str, int]] = {}
        self.got = 0  # bytes
        self.hold = False  # orders Apply are not answered
        self.slow: list[Persist] | None = None  # orders Persist that are not answered yet; None: all are at once

    def carry_out(self) -> None:
        while self.core.commands:
            order = self.core.commands.popleft()
            now = self.scene.now
            if isinstance(order, Connect):
                self.scene.connect(self, order)
            elif isinstance(order, Disconnect):
                self.scene.cut(self, order.conn, tell=False)
            elif isinstance(order, Send):
                self.scene.up(self, order)
            elif isinstance(order, Persist) and self.slow is not None:
                self.slow.append(order)
            elif isinstance(order, Persist):
                self.core.persisted(now, order.version)
            elif isinstance(order, LogEvent):
                self.notes.append(order)
            elif isinstance(order, Apply) and not self.hold:
                self.apply(order)

    def apply(self, order: Apply) -> None:
        bad = [c.key for c in order.changes if c.data is not None and self.refuses.get(c.key) == c.data]
        if bad:
            self.core.refused(self.scene.now, order.version, bad[0], "rate", "too large here")
        else:
            self.applies.append((order.version, sorted(c.key for c in order.changes)))
            self.core.applied(self.scene.now, order.version)


def whom(i: Ingress) -> str:
    return i.core.status()["watches"]


class Scene:
    def __init__(self) -> None:
        self.now = 1_000.0
        self.controls: dict[str, WatchSessions] = {}
        self.ingresses: list[Ingress] = []
        self.serial = 0
        self.sent: list[tuple[str, int, bytes]] = []  # all that control processes sent
        self.closed: list[str] = []
        self.changed = None  # done to each message on its way down

    def control(self, name: str, book: ObjectStore | None = None, **given: object) -> WatchSessions:
        made = self.controls[name] = WatchSessions(self.now, book or ObjectStore(), KEY, **given)  # type: ignore[arg-type]
        made.set_current(self.now, True)
        return made

    def ingress(
        self, name: str = "a", controls: tuple[str, ...] = ("c",), kept: StoredSettings | None = None
    ) -> Ingress:
        made = Ingress(self, name, controls, kept)
        self.ingresses.append(made)
        return made

    def commit(self, *changes: tuple[str, bytes | None], controls: tuple[str, ...] | None = None) -> int:
        """A step of partners, at all control processes or some."""
        number = max(s.store.version for s in self.controls.values()) + 1
        step = ChangeSet(number, tuple(Change(("partner", name), data) for name, data in changes))
        for name, sending in self.controls.items():
            if controls is None or name in controls:
                sending.committed(self.now, step)
        return number

    # --- connections -----------------------------------------------------------------------------

    def connect(self, ingress: Ingress, order: Connect) -> None:
        if order.address not in self.controls:
            ingress.core.lost(self.now, order.conn)
            return
        self.serial += 1
        ingress.wire[order.conn] = (order.address, self.serial)
        ingress.core.opened(self.now, order.conn)
        self.controls[order.address].opened(self.now, self.serial)

    def cut(self, ingress: Ingress, conn: int, tell: bool = True) -> None:
        where = ingress.wire.pop(conn, None)
        if where is not None:
            if where[0] in self.controls:
                self.controls[where[0]].closed(self.now, where[1])
            if tell:
                ingress.core.lost(self.now, conn)

    def up(self, ingress: Ingress, order: Send) -> None:
        where = ingress.wire.get(order.conn)
        if where is not None and where[0] in self.controls:
            self.controls[where[0]].received(self.now, where[1], order.data)

    def kill(self, name: str) -> None:
        del self.controls[name]
        for i in self.ingresses:
            for conn in [c for c, (where, _) in i.wire.items() if where == name]:
                self.cut(i, conn)

    def down(self, name: str, order: Sent | Close) -> None:
        if isinstance(order, Close):
            self.closed.append(order.why)
        for i in self.ingresses:
            for conn, where in list(i.wire.items()):
                if where == (name, order.conn) and isinstance(order, Close):
                    self.cut(i, conn)
                elif where == (name, order.conn):
                    i.got += len(order.data)
                    data = order.data if self.changed is None else self.changed(order.data)
                    if data is not None:
                        i.core.received(self.now, conn, data)

    def settle(self) -> None:
        """Until nobody has anything to say at this time."""
        busy = True
        while busy:
            busy = False
            for i in self.ingresses:
                busy |= bool(i.core.commands)
                i.carry_out()
            for name, sending in list(self.controls.items()):
                while sending.commands:
                    busy = True
                    order = sending.commands.popleft()
                    if isinstance(order, Report):
                        for other in self.controls.values():
                            if other is not sending:
                                other.take_report(self.now, order.report)
                        continue
                    if isinstance(order, Sent):
                        self.sent.append((name, order.conn, order.data))
                    self.down(name, order)

    def run(self, ms: float) -> None:
        end = self.now + ms
        self.settle()
        while True:
            parts = [*self.controls.values(), *(i.core for i in self.ingresses)]
            due = min(p.next_at() for p in parts)
            if due > end:
                break
            self.now = max(self.now, due)
            for p in parts:
                if p.next_at() <= self.now:
                    p.advance(self.now)
            self.settle()
        self.now = end
        for p in [*self.controls.values(), *(i.core for i in self.ingresses)]:
            p.advance(end)
        self.settle()


@pytest.fixture
def scene() -> Scene:
    return Scene()
