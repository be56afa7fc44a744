"""Joining a fleet before anything else is open: the member alone on the datagram socket, until it has a number."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

from rushweir.config import Config
from rushweir.files import replace_file
from rushweir.fleet import commands
from rushweir.fleet.core import Fleet
from rushweir.ingress.membership import ENTRY_SIZE_LIMITS, FILE

WAIT_MS = 5_000.0  # how often it is said that there is no number yet


def member(config: Config, seed: int, now: float) -> Fleet | None:
    """The member that the settings ask for, with what its seed kept. Raises StoredViewError, or OSError."""
    settings = config.fleet()
    if settings is None or config.peer_key is None:
        return None
    kept = None
    if config.state is not None:
        with contextlib.suppress(FileNotFoundError):
            kept = (config.state / FILE).read_bytes()
    return Fleet(settings, config.peer_key, seed, now, kept, ENTRY_SIZE_LIMITS)


def bound(address: tuple[str, int]) -> socket.socket:
    """The datagram socket of an ingress. Raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class Joining:
    """Runs a member until it has a number, or is told to end."""

    def __init__(
        self, fleet: Fleet, sock: socket.socket, clock: Callable[[], float], folder: Path | None,
        note: Callable[..., None],
    ) -> None:  # fmt: skip
        """``note`` takes a level, a cause and fields, for the log."""
        self.fleet, self.sock, self.clock, self.folder, self.note = fleet, sock, clock, folder, note
        self.wake = asyncio.Event()
        self.writes: set[asyncio.Task] = set()

    async def run(self, ending: asyncio.Event) -> int:
        """The number; -1 where ``ending`` came first."""
        loop, fleet = asyncio.get_running_loop(), self.fleet
        loop.add_reader(self.sock.fileno(), self._readable)
        fleet.start(self.clock())
        said = self.clock()
        end = loop.create_task(ending.wait())
        try:
            while not ending.is_set():
                fleet.advance(self.clock())
                self._carry_out()
                if fleet.slot() >= 0:
                    return fleet.assigned_slot
                if self.clock() - said > WAIT_MS:
                    said = self.clock()
                    self.note("warning", "no_number", members=fleet.members.count(), refused=fleet.refusal_reason)
                at = fleet.next_at()
                timeout = None if at is None else max(0.0, at - self.clock()) / 1000
                woken = loop.create_task(self.wake.wait())
                await asyncio.wait([woken, end], timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
                woken.cancel()
                self.wake.clear()
            fleet.leave(self.clock())
            self._carry_out()
            return -1
        finally:
            end.cancel()
            loop.remove_reader(self.sock.fileno())
            await asyncio.gather(*self.writes, return_exceptions=True)

    def _readable(self) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            for _ in range(64):
                data = self.sock.recv(2048)
                self.fleet.datagram(self.clock(), data)
        self.wake.set()

    def _carry_out(self) -> None:
        while self.fleet.commands:
            match self.fleet.commands.popleft():
                case commands.SendTo() as order:
                    with contextlib.suppress(OSError):  # an address that can't be reached: as if it were lost
                        self.sock.sendto(order.data, order.address)
                case commands.SaveFile() as order:
                    task = asyncio.get_running_loop().create_task(self._keep(order))
                    self.writes.add(task)
                    task.add_done_callback(self.writes.discard)
                case commands.LogEvent() as order:
                    self.note(order.level, order.cause, **order.fields)

    async def _keep(self, order: commands.SaveFile) -> None:
        assert self.folder is not None  # the settings of a seed name one
        try:
            await asyncio.to_thread(replace_file, self.folder / FILE, order.data)
        except OSError as problem:
            self.note("error", "view_not_kept", why=str(problem))
        else:
            self.fleet.file_saved(self.clock(), order.serial)
            self.wake.set()
