"""Hollow ingresses on sockets: each its own datagram socket, address, clock and folder, many to a process.

A shell of its own around the real Core, which is the daemon's (ingress/shell.py) but for the listening socket and the
account: each turn of a member is timed by this thread's CPU, and what it sends and gets is counted by kind. Not in a
member's account, but in its process's: the event loop between turns, and files written beside it.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import fields, replace
from pathlib import Path
from time import thread_time
from typing import Any

from rushweir import interface as i
from rushweir.config import Config
from rushweir.daemon.joining import Joining, bound, member
from rushweir.fleet.views import ACTIVE
from rushweir.ingress import commands as c
from rushweir.ingress.core import Core
from rushweir.ingress.membership import Membership
from rushweir.ingress.queries import Partner
from rushweir.ingress.shell import Shell
from rushweir.ingress.transports import Connection
from rushweir.lab.scale.accounts import LIST, Account, kind_of
from rushweir.lab.scale.drawn import Requests, Tail, ask
from rushweir.lab.scale.parts import HollowSetup
from rushweir.lab.scale.scene import Scene
from rushweir.policy import Policy

OFFSET_MS, RATE = 400.0, 0.0003  # clocks differ by so much at most, and run apart by so much of the time
AT_ONCE = 64  # datagrams read in one turn


class OwnClock:
    """Milliseconds of one machine's clock, which is off by something and runs a little fast or slow."""

    def __init__(self, rng: random.Random) -> None:
        self.began = time.monotonic()
        self.zero = time.time() * 1000.0 + rng.uniform(-OFFSET_MS, OFFSET_MS)
        self.rate = 1000.0 * (1 + rng.uniform(-RATE, RATE))

    def __call__(self) -> float:
        return self.zero + (time.monotonic() - self.began) * self.rate


class Counted:
    """A datagram socket whose traffic is counted by kind; it has what joining and the shell use of one."""

    def __init__(self, sock: socket.socket, account: Account) -> None:
        self.sock, self.account = sock, account

    def fileno(self) -> int:
        return self.sock.fileno()

    def recv(self, size: int) -> bytes:
        return self.recvfrom(size)[0]

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        data, source = self.sock.recvfrom(size)
        self.account.get(kind_of(data), len(data), source)
        return data, source

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        self.account.send(kind_of(data), len(data), to)
        try:
            self.sock.sendto(data, to)
        except OSError:  # a datagram that does not go is a datagram lost
            self.account.send("unsent", len(data))

    def is_closing(self) -> bool:
        return self.sock.fileno() < 0

    def close(self) -> None:
        self.sock.close()


class Timed:
    """A policy whose calls are timed by the kind of event."""

    def __init__(self, policy: Policy, account: Account) -> None:
        self.policy, self.account = policy, account

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        began = thread_time()
        actions = self.policy.handle(now, event)
        self.account.turn(f"module.{type(event).__name__}", thread_time() - began)
        return actions

    def __getattr__(self, name: str) -> Any:
        return getattr(self.policy, name)


class Link(Connection):
    """The connection to the list, on the member's account."""

    def buffer_updated(self, count: int) -> None:
        began = thread_time()
        shell = self.shell
        super().buffer_updated(count)
        shell.account.turn(LIST, thread_time() - began)
        shell.account.get(LIST, count)
        if not shell.listed and shell.core.nodes.listed:
            shell.listed = True
            shell.moved()


class HollowShell(Shell):
    """Runs one core with a datagram socket and the link to its list; no client connects."""

    def __init__(
        self, core: Core, clock: Callable[[], float], account: Account, udp: Counted, moved: Callable[[], None],
        **more: Any,
    ) -> None:  # fmt: skip
        """``moved`` is called when it has the list."""
        super().__init__(core, clock, **more)
        self.account, self.udp, self.moved, self.listed = account, udp, moved, False
        fleet, advance = core.fleet.fleet, core.fleet.fleet.advance

        def timed(now: float) -> None:
            began = thread_time()
            advance(now)
            account.turn("tick.fleet", thread_time() - began)

        fleet.advance = timed

    def open(self) -> None:
        self.core.start(self.clock(), None)
        self.conn = self.core.accepted(self.clock())  # all its requests come by one connection
        self.carry_out()
        self.loop.add_reader(self.udp.fileno(), self._readable)

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            began = thread_time()
            try:
                data, source = self.udp.recvfrom(2048)
            except (BlockingIOError, ConnectionError):
                return
            self.core.datagram(self.clock(), data, source)
            self.carry_out()
            self.account.turn(kind_of(data), thread_time() - began)

    def _tick(self) -> None:
        began = thread_time()
        super()._tick()
        self.account.turn("tick", thread_time() - began)

    def dialed_protocol(self, conn: int) -> Connection:
        return Link(self, conn)

    def _write(self, order: c.Write) -> None:
        self.account.send(LIST, len(order.data))
        super()._write(order)

    def ask(self, partner: Partner, cls: str, units: float) -> None:
        began = thread_time()
        self.core.received(self.clock(), self.conn, [(None, ask(cls, units, partner))])
        self.carry_out()
        self.account.turn("request", thread_time() - began)


class Hollow:
    """One hollow ingress, from its socket to its end."""

    def __init__(
        self, place: int, config: Config, folder: Path, seed: int, watched: Sequence[tuple[str, int]],
        moved: Callable[[], None], scene: Scene, tail: Tail,
    ) -> None:  # fmt: skip
        """``config``: of any member, with this one's own address; ``watched``: addresses of real ones; ``moved`` is
        called when it holds another view."""
        self.place, self.folder, self.seed, self.moved = place, folder, seed, moved
        self.rng = random.Random(seed)
        self.clock, self.account = OwnClock(self.rng), Account(watched)
        sock = bound(config.file.peers.bind)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.udp = Counted(sock, self.account)
        peers = config.file.peers.model_copy(update={"bind": sock.getsockname()})
        self.config = replace(config, file=config.file.model_copy(update={"peers": peers}), base=folder)
        (folder / "state").mkdir(parents=True, exist_ok=True)
        self.fleet = member(self.config, self.rng.getrandbits(63), self.clock())
        self.scene, self.tail = scene, tail
        self.shell: HollowShell | None = None
        self.driving: asyncio.TimerHandle | None = None
        self.per_s, self.due, self.ended = 0.0, 0.0, ""
        self.view_at = 0.0  # on the machine's monotonic clock, when it came to the view that it holds

    async def run(self, ending: asyncio.Event) -> None:
        """Until it has a number and works under it."""
        joining = Joining(self.fleet, self.udp, self.clock, self.config.state, lambda *_, **__: None)
        number = await joining.run(ending)
        if number < 0:
            return
        self.config = replace(self.config, seat=number)
        made, b = self.config.setup(self.seed, f"{self.place:x}-"), self.config.file.budgets
        ship = Membership(self.fleet, number, True, b.term, b.floor, False)
        setup = HollowSetup(**{x.name: getattr(made, x.name) for x in fields(made)} | {"fleet": ship})
        now = self.clock()
        core = Core(setup, Timed(Policy(setup.settings, self.seed, now), self.account), now)
        self.shell = HollowShell(
            core, self.clock, self.account, self.udp, self.moved, folder=self.config.state, end=self._end,
            log=self._log_event,
        )  # fmt: skip
        self.shell.open()
        self.partners = list(setup.credentials.by_digest.values())
        self.requests = Requests(self.rng, self.scene.tenants_at(number, self.tail), self.scene.route_table())
        self._moved()

    def _log_event(self, event: c.LogEvent) -> None:
        if event.cause == "view":
            self._moved()

    def _moved(self) -> None:
        self.view_at = time.monotonic()
        self.moved()

    def _end(self, why: str) -> None:
        self.ended = why
        self.moved()

    def drive(self, per_s: float) -> None:
        """So many requests a second from now on; 0: none."""
        self.per_s = per_s
        if self.driving is not None:
            self.driving.cancel()
            self.driving = None
        if per_s:
            self.due = asyncio.get_running_loop().time()
            self._next()

    def _next(self) -> None:
        # By their planned times, so that a turn that comes late leaves no request out.
        self.due += self.requests.pause_s(self.per_s)
        self.driving = asyncio.get_running_loop().call_at(self.due, self._ask)

    def _ask(self) -> None:
        k, cls, units = self.requests.draw()
        self.shell.ask(self.partners[k], cls, units)
        self._next()

    def state(self) -> dict[str, Any]:
        view = self.fleet.view
        seated = sum(s.state == ACTIVE for s in view.slots.values())
        ready = self.shell is not None and self.shell.listed
        return {"open": ready, "view": view.number, "seats": seated, "at": self.view_at}

    def dump(self) -> dict[str, Any]:
        """All its sums so far, and what it is now."""
        core, budgets = self.shell.core, self.shell.core.fleet.budgets
        seed = self.fleet.lease_acceptor is not None
        return {
            "place": str(self.place), **self.account.dump(),
            "group": "chair" if self.fleet.is_leader() else "seed" if seed else "member",
            "engine": dict(core.engine.counts), "peers": dict(core.peers.counts), "fleet": dict(self.fleet.counts),
            "budgets": dict(budgets.counts),
            # As text, for these are no sums: what came between two dumps of them is the later one.
            "has": {"held": str(len(budgets.held_leases)), "homes": str(len(budgets.owned)),
                    "faults": str(core.engine.faults), "age": str(self.fleet.view_age()), "ended": self.ended,
                    "level": str(core.load_shedder.level)},
        }  # fmt: skip
