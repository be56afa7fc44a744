"""The choice of the control process that an ingress watches. No I/O, no clock.

    primary  event                                     then
    none     its dial is due                           dials the next in its own order
    dialing  not open after CONNECT_MS, or refused     none; the next one after a pause
    open     silent for SILENT_MS, or lost             none; the next one after a pause
    open     first heartbeat                           its user may watch
    open     not the first choice, some time later     a trial of the first choice
    open     no majority hears it                      a trial of the next one, again and again

The order is each ingress's own, by rendezvous hashing of its name and the addresses, so that the watchers of a
control process that is lost spread evenly over the others; pauses are random, so that they do not reconnect all at
once. A trial is a second connection. It replaces the primary at its first heartbeat if a majority hears it, or if it
has newer settings than a primary that no majority hears either, so that a connection that works is never given up for
one that may not. There are two connections at most, with one timer each.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Protocol

CONNECT_MS = 1_500.0
SILENT_MS = 4_000.0  # longer than two heartbeats
PAUSE_MS = (1_500.0, 3_000.0)  # the longest before the next dial: at first, and when all were dialed
FIRST_CHOICE_RETRY_MS = (30_000.0, 90_000.0)  # before the first choice is tried again
MAX_RETRY_FACTOR = 8  # of FIRST_CHOICE_RETRY_MS, when the first choice could not be reached
STALE_MS = (1_000.0, 2_500.0)  # before another is tried, while no majority hears the primary


@dataclass(frozen=True, slots=True)
class Connect:
    """Command: open a connection to an address; answered by ``opened`` or ``lost``."""

    conn: int
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Command: close a connection; not answered."""

    conn: int


@dataclass(slots=True)
class WatchConnection:
    """One connection to a control process."""

    conn: int
    choice: int  # index in the ingress's order
    dialed_at: float
    open: bool = False
    last_seen_at: float = 0.0
    nonce: int = -1  # -1: no heartbeat yet
    head: int = 0
    current: bool = False


class User(Protocol):
    """The core that watches over these connections."""

    commands: deque[Any]

    def primary_changed(self) -> None:
        """Another connection is the one to watch, from its start."""


def preference(name: str, addresses: tuple[str, ...]) -> tuple[str, ...]:
    """The addresses in the order of one name, by rendezvous hashing."""
    return tuple(sorted(addresses, key=lambda a: blake2b(f"{name}\0{a}".encode(), digest_size=8).digest()))


class WatchConnections:
    """The connection to the control process that is watched, and the trial of another one. Times are in ms."""

    def __init__(self, user: User, name: str, addresses: tuple[str, ...], now: float, rng: random.Random) -> None:
        self.user = user
        self.order = preference(name, addresses)
        self.now = now
        self.rng = rng
        self.primary: WatchConnection | None = None
        self.trial: WatchConnection | None = None
        self.serial = 0  # of the last connection
        self.next_choice = 0  # index in ``order`` of the next dial
        self.failures = 0  # dials in a row without a heartbeat
        self.failed_trials = 0  # in a row
        self.dial_at = now
        self.trial_at = float("inf")
        self.primary_losses = 0

    def next_at(self) -> float:
        """When ``advance`` is to be called next."""
        times = [self.dial_at] if self.primary is None else [self._deadline(self.primary)]
        if self.trial is not None:
            times.append(self._deadline(self.trial))
        elif self.primary is not None and self.primary.nonce >= 0:
            times.append(self.trial_at)
        return min(times)

    def _deadline(self, link: WatchConnection) -> float:
        return link.last_seen_at + SILENT_MS if link.open else link.dialed_at + CONNECT_MS

    def advance(self, now: float) -> None:
        """Give up silent connections, dial, and start trials when they are due."""
        self.now = now
        for link in (self.primary, self.trial):
            if link is not None and now >= self._deadline(link):
                self.user.commands.append(Disconnect(link.conn))
                self.lost(now, link.conn)
        if self.primary is None and now >= self.dial_at:
            self.primary = self._dial(self.next_choice)
        elif self.primary is not None and self.trial is None and self.primary.nonce >= 0 and now >= self.trial_at:
            self.trial = self._dial(
                0 if self.primary.current else (self.primary.choice + 1 + self.failed_trials) % len(self.order)
            )

    def _dial(self, choice: int) -> WatchConnection:
        self.serial += 1
        self.user.commands.append(Connect(self.serial, self.order[choice]))
        return WatchConnection(self.serial, choice, self.now)

    def find(self, conn: int) -> WatchConnection | None:
        """The connection of this number, if it is the primary or the trial."""
        return next((x for x in (self.primary, self.trial) if x is not None and x.conn == conn), None)

    def opened(self, now: float, conn: int) -> None:
        """A connection is established."""
        self.now = now
        link = self.find(conn)
        if link is not None:
            link.open, link.last_seen_at = True, now

    def lost(self, now: float, conn: int) -> None:
        """A connection was closed by the peer, is broken, or was given up here."""
        self.now = now
        if self.trial is not None and self.trial.conn == conn:
            self.trial = None
            self._trial_failed()
        elif self.primary is not None and self.primary.conn == conn:
            worked = self.primary.nonce >= 0
            self.failures = 0 if worked else self.failures + 1
            self.primary_losses += worked
            self.next_choice = (self.primary.choice + 1) % len(self.order)
            self.primary = None
            if self.trial is not None:  # the trial takes its place
                self.primary, self.trial = self.trial, None
                if self.primary.nonce >= 0:
                    self._adopt_primary()
                return
            longest = PAUSE_MS[0] if self.failures < len(self.order) else PAUSE_MS[1]
            self.dial_at = now + self.rng.uniform(0.0, longest)

    def heartbeat(self, now: float, conn: int, nonce: int | None, head: int, current: bool) -> None:
        """A heartbeat of a control process; the nonce comes with the first."""
        self.now = now
        link = self.find(conn)
        if link is None:
            return
        is_first = link.nonce < 0
        if is_first and nonce is None:
            return
        link.nonce, link.head = link.nonce if nonce is None else nonce, head
        was_current, link.current = link.current, current
        if link is self.trial:
            self._judge(link)
        elif is_first:
            self.failures = 0
            self._adopt_primary()
        elif was_current is not current:
            self._schedule_trial()

    def _judge(self, trial: WatchConnection) -> None:
        primary = self.primary
        self.trial = None
        if primary is None or trial.current or (not primary.current and trial.head > primary.head):
            if primary is not None:
                self.user.commands.append(Disconnect(primary.conn))
            self.primary = trial
            self._adopt_primary()
        else:
            self.user.commands.append(Disconnect(trial.conn))
            self._trial_failed()

    def _adopt_primary(self) -> None:
        self.failed_trials = 0
        self._schedule_trial()
        self.user.primary_changed()

    def _trial_failed(self) -> None:
        self.failed_trials += 1
        self._schedule_trial()

    def _schedule_trial(self) -> None:
        assert self.primary is not None
        if len(self.order) < 2:
            self.trial_at = float("inf")
        elif not self.primary.current:
            # Each trial is of the next one in order, and never of the primary.
            self.failed_trials %= len(self.order) - 1
            self.trial_at = self.now + self.rng.uniform(*STALE_MS)
        elif self.primary.choice == 0:
            self.trial_at = float("inf")
        else:
            self.trial_at = self.now + self.rng.uniform(*FIRST_CHOICE_RETRY_MS) * min(
                MAX_RETRY_FACTOR, 1 << min(self.failed_trials, 10)
            )
