"""Which of the control processes an ingress watches. No I/O, no clock.

    main     event                                     then
    none     its time came                             dials the next in its own order
    dialing  not open after CONNECT_MS, or refused     none; the next one's turn after a pause
    open     silent for SILENT_MS, or lost             none; the next one's turn after a pause
    open     first beat                                its user may watch
    open     not the first choice, some time later     a trial of the first choice
    open     a majority does not hear it               a trial of the next one, again and again

The order is each ingress's own: rendezvous over its name and the addresses, so that those of one that went come over
to the others in even parts; pauses are drawn, so that they do not come at once. A trial is a second connection. It
takes the place of the first at its first beat, if a majority hears it, or if it has newer settings than one that none
hears either; so nobody lets go of what serves it for what may not. Two connections at most, and one timer for each.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Protocol

CONNECT_MS = 1_500.0
SILENT_MS = 4_000.0  # two beats and some
PAUSE_MS = (1_500.0, 3_000.0)  # at most, before the next is dialed: at first, and when all were
HOME_MS = (30_000.0, 90_000.0)  # before the first choice is tried again
MOST_HOME = 8  # times as long, when it was not there
STALE_MS = (1_000.0, 2_500.0)  # before another is tried, when no majority hears this one


@dataclass(frozen=True, slots=True)
class Connect:
    conn: int
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    conn: int


@dataclass(slots=True)
class WatchConnection:
    conn: int
    place: int  # in the ingress's order
    dialed_at: float
    open: bool = False
    heard_at: float = 0.0
    nonce: int = -1  # -1: no beat yet
    head: int = 0
    current: bool = False


class Owner(Protocol):
    commands: deque[Any]

    def primary_changed(self) -> None:
        """Another connection is the one to watch, from its start."""


def preference(name: str, addresses: tuple[str, ...]) -> tuple[str, ...]:
    """Rendezvous hashing: each name's own order."""
    return tuple(sorted(addresses, key=lambda a: blake2b(f"{name}\0{a}".encode(), digest_size=8).digest()))


class WatchConnections:
    def __init__(self, owner: Owner, name: str, addresses: tuple[str, ...], now: float, rng: random.Random) -> None:
        self.owner, self.order, self.now, self.rng = owner, preference(name, addresses), now, rng
        self.primary: WatchConnection | None = None
        self.trial: WatchConnection | None = None
        self.serial, self.place, self.failures, self.away = 0, 0, 0, 0
        self.dial_at = now
        self.trial_at = float("inf")
        self.primary_losses = 0

    def next_at(self) -> float:
        found = [self.dial_at] if self.primary is None else [self._late(self.primary)]
        if self.trial is not None:
            found.append(self._late(self.trial))
        elif self.primary is not None and self.primary.nonce >= 0:
            found.append(self.trial_at)
        return min(found)

    def _late(self, link: WatchConnection) -> float:
        return link.heard_at + SILENT_MS if link.open else link.dialed_at + CONNECT_MS

    def advance(self, now: float) -> None:
        self.now = now
        for link in (self.primary, self.trial):
            if link is not None and now >= self._late(link):
                self.owner.commands.append(Disconnect(link.conn))
                self.lost(now, link.conn)
        if self.primary is None and now >= self.dial_at:
            self.primary = self._dial(self.place)
        elif self.primary is not None and self.trial is None and self.primary.nonce >= 0 and now >= self.trial_at:
            self.trial = self._dial(
                0 if self.primary.current else (self.primary.place + 1 + self.away) % len(self.order)
            )

    def _dial(self, place: int) -> WatchConnection:
        self.serial += 1
        self.owner.commands.append(Connect(self.serial, self.order[place]))
        return WatchConnection(self.serial, place, self.now)

    def link(self, conn: int) -> WatchConnection | None:
        return next((x for x in (self.primary, self.trial) if x is not None and x.conn == conn), None)

    def opened(self, now: float, conn: int) -> None:
        self.now = now
        link = self.link(conn)
        if link is not None:
            link.open, link.heard_at = True, now

    def lost(self, now: float, conn: int) -> None:
        """Closed by the other side, broken, or given up here."""
        self.now = now
        if self.trial is not None and self.trial.conn == conn:
            self.trial = None
            self._no_trial()
        elif self.primary is not None and self.primary.conn == conn:
            worked = self.primary.nonce >= 0
            self.failures = 0 if worked else self.failures + 1
            self.primary_losses += worked
            self.place = (self.primary.place + 1) % len(self.order)
            self.primary = None
            if self.trial is not None:  # what was tried beside it is the next
                self.primary, self.trial = self.trial, None
                if self.primary.nonce >= 0:
                    self._settle()
                return
            most = PAUSE_MS[0] if self.failures < len(self.order) else PAUSE_MS[1]
            self.dial_at = now + self.rng.uniform(0.0, most)

    def beat(self, now: float, conn: int, nonce: int | None, head: int, current: bool) -> None:
        """What a control process says of itself; the nonce comes with the first."""
        self.now = now
        link = self.link(conn)
        if link is None:
            return
        first = link.nonce < 0
        if first and nonce is None:
            return
        link.nonce, link.head = link.nonce if nonce is None else nonce, head
        was, link.current = link.current, current
        if link is self.trial:
            self._judge(link)
        elif first:
            self.failures = 0
            self._settle()
        elif was is not current:
            self._plan()

    def _judge(self, trial: WatchConnection) -> None:
        main = self.primary
        self.trial = None
        if main is None or trial.current or (not main.current and trial.head > main.head):
            if main is not None:
                self.owner.commands.append(Disconnect(main.conn))
            self.primary = trial
            self._settle()
        else:
            self.owner.commands.append(Disconnect(trial.conn))
            self._no_trial()

    def _settle(self) -> None:
        self.away = 0
        self._plan()
        self.owner.primary_changed()

    def _no_trial(self) -> None:
        self.away += 1
        self._plan()

    def _plan(self) -> None:
        """When another is tried."""
        assert self.primary is not None
        if len(self.order) < 2:
            self.trial_at = float("inf")
        elif not self.primary.current:
            # The next one each time, and never the one that is watched.
            self.away %= len(self.order) - 1
            self.trial_at = self.now + self.rng.uniform(*STALE_MS)
        elif self.primary.place == 0:
            self.trial_at = float("inf")
        else:
            self.trial_at = self.now + self.rng.uniform(*HOME_MS) * min(MOST_HOME, 1 << min(self.away, 10))
