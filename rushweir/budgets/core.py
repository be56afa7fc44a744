"""The budgets of one process: what it may spend, whom it asks, and whose home it is. No I/O, no clock.

Each budget has a home: the process with one of the numbers that use it, by rendezvous, in the view that is in force.
A process owns a floor of each budget with its number; the rest it asks the home for, again and again while there is
demand, and spends what the last answer gave it until that is over by its own clock, counted from its question.

A home lends only while it is surely in the view in force (younger than ``term``), and whatever it lends is over a
term after the last moment at which it was sure. So a new home lends nothing for a term (with the drift) after it
holds its view, unless the predecessor hands it the ledger (handover.py). A number that is new to its process brings
its floor only after that time, too: homes lend the floors of numbers that nobody has.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from rushweir.budgets.lending import ASK, ASK_PART, GRANT, IDLE_TERMS, LEDGER, REFUSED, TAKEN, TOPIC, Lender
from rushweir.budgets.records import NOTHING, Held, Part, PartChanged, Whole, key_of
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import DRIFT, longest, shortest
from rushweir.fleet.table import fitting
from rushweir.state import DecayingRate

TICK_MS, ROOM = 50.0, 190
ASK_LENGTH = 12  # numbers of a question
DEMAND_MS = 1_000.0  # memory of demand
SOON_MS = 300.0  # until a holder whose bucket is empty asks again
MOST_ASKED = 8  # questions whose answers are waited for


class Budgets(Lender):
    """All budgets of one process. Take what changed from ``changes`` after each call, in order."""

    def __init__(self, fleet: Fleet, term_ms: float, most: int = 4096) -> None:
        """``most``: budgets known at once; beyond it a new one gets its floor only."""
        super().__init__(fleet, term_ms, most)
        self.held: dict[int, Held] = {}
        self.owned_at = inf  # from when on the floors of this process's number are its own ...
        self.owning = False  # ... and whether its users were told
        self.numbered = -1
        # Of the bucket of a budget, in thousandths, what it had no room for since it began, and what it has room for
        # now: its user knows.
        self.bucket: Callable[[str], tuple[int, int]] = lambda name: (0, 0)
        fleet.apps[TOPIC] = self._heard

    # --- users -----------------------------------------------------------------------------------

    def demand(self, now: float, name: str, whole: Whole, amount: int) -> None:
        """Somebody wants so much of a budget. Tells its part, if it was not known here."""
        key = key_of(name)
        h = self.held.get(key)
        if self.stopped:
            return
        if h is None:
            if len(self.held) >= self.most:
                self.counts["too_many"] += 1
                self.changes.append(PartChanged(name, self.floor(key, whole)))
                return
            h = self.held[key] = Held(name, whole, DecayingRate(DEMAND_MS, now), now)
            self._tell(key, h, 0)
        if h.whole != whole:
            old, h.whole = h.whole, whole
            if not old.within(whole):
                self._give_up(now, key, h)
            self._tell(key, h, 0)
        h.demand.add(amount, now)
        h.used_at = now
        if h.ask_at > now + SOON_MS and self.bucket(name)[1] > h.told.burst - amount:
            h.ask_at = now + SOON_MS  # too little is left for this: what the reserve has is needed now

    def _give_up(self, now: float, key: int, h: Held) -> None:
        """The whole shrank: what was lent of the larger one is given back before anything is asked of the smaller,
        and answers to what was asked of the larger one come too late."""
        h.serial += 1
        h.lease, h.taken, h.asked, h.ask_at = NOTHING, h.serial, {}, now
        if self.home_of(key, h.whole) == self.fleet.me and key in self.homes:
            # What stays with the home shrinks in the same moment.
            self._home(key, h.whole).hear(
                now, self.fleet.me, h.serial, h.serial, 0, self._lendable(key, h.whole), self.bucket(h.name)[0]
            )  # fmt: skip
            self._keep(now)

    def part(self, now: float, name: str) -> Part:
        """What may be spent now: the lease if it is not over, and the floor."""
        h = self.held.get(key_of(name))
        if h is None:
            return NOTHING
        return self.floor(key_of(name), h.whole) + (h.lease if now < h.until else NOTHING)

    def floor(self, key: int, whole: Whole) -> Part:
        """What this process owns with its number."""
        n = self.fleet.seat() if self.fleet.now >= self.owned_at else -1
        return self.floor_of(key, whole, n) if n >= 0 else NOTHING

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self.fleet.at(TICK_MS, self._tick, None)

    def turn(self, now: float) -> None:
        """Before anything is decided in a turn: rights that are over are over now, however late this turn comes."""
        if now < self.due:
            return
        self.due = inf
        self.fleet.age()
        for key, h in self.held.items():
            if h.lease != NOTHING and now >= h.until:
                h.lease = NOTHING
                self.counts["ended"] += 1
                self._tell(key, h, 0)
            elif h.lease != NOTHING:
                self.due = min(self.due, h.until)
        if self.numbered >= 0 and self.fleet.seat() < 0:
            self._number(now)
        self._keep(now)

    def _tick(self, _: object) -> None:
        now = self.fleet.now
        self.turn(now)
        self._look(now)
        self._keep(now)
        if self.fleet.seat() != self.numbered:
            self._number(now)
        if self.numbered >= 0:
            self.due = min(self.due, self.fleet.seated_at + shortest(self.fleet.settings.keep_ms))
            if now >= self.owned_at and not self.owning:
                self.owning = True
                self._tell_all()
        self._send_ledgers(now)
        for key, h in list(self.held.items()):
            if now - h.used_at > IDLE_TERMS * self.term:
                del self.held[key]
                self.changes.append(PartChanged(h.name, NOTHING))
            elif now >= h.ask_at and not self.fleet.leaving:
                self._ask(now, key, h)
        self._sweep(now)
        self._answer(now)
        self._send()
        self.fleet.at(TICK_MS, self._tick, None)

    def _number(self, now: float) -> None:
        """This process has another number, or none."""
        self.numbered = self.fleet.seat()
        self.owned_at, self.owning = now + longest(self.term) if self.numbered >= 0 else inf, False
        self._tell_all()

    def _tell_all(self) -> None:
        for key, h in self.held.items():
            self._tell(key, h, 0)

    def _tell(self, key: int, h: Held, add: int) -> None:
        """Tell the user its part, if it is another or tokens come along."""
        now = self.fleet.now
        owned = self.floor(key, h.whole)
        part = owned + (h.lease if now < h.until else NOTHING)
        if part != h.told or add:
            h.told = part
            # The fill is counted by this process's clock, which may run fast.
            slowed = Part(int(part.rate * (1 - DRIFT)), part.burst)
            self.changes.append(PartChanged(h.name, slowed, add, max(0.0, h.until - now), owned))

    def stop(self, now: float) -> None:
        """Nothing is spent any more, and nothing lent: the number goes back, or to a successor."""
        self.stopped = True  # a question on its way would find a ledger that knows nothing, and lend all anew
        for key, h in self.held.items():
            home = self.home_of(key, h.whole)
            if h.lease != NOTHING and home not in (0, self.fleet.me):
                h.serial += 1  # acting on nothing: what it holds is free at once
                self.out.setdefault(home, []).append(self._question(key, h, h.serial, 0))
            h.lease = NOTHING
            self.changes.append(PartChanged(h.name, NOTHING))
        self.held.clear()
        self._keep(now)
        self.waiting.clear()
        for key, home in self.homes.items():
            self._hand_over(now, key, home, self.home_of(key, home.scope, self.fleet.me))
        self.homes.clear()
        self._send_ledgers(now)
        self._send()

    # --- as a holder -----------------------------------------------------------------------------

    def _ask(self, now: float, key: int, h: Held) -> None:
        home = self.home_of(key, h.whole)
        demand = int(h.demand.per_s(now))
        if not home or (not demand and h.lease == NOTHING):
            return
        h.ask_at = now + self.term * ASK_PART
        h.serial += 1
        h.asked[h.serial] = now
        if len(h.asked) > MOST_ASKED:
            del h.asked[next(iter(h.asked))]
        row = self._question(key, h, h.taken, demand)
        if home == self.fleet.me:
            self._asked(self.fleet.me, row)
        else:
            self.out.setdefault(home, []).append(row)

    def _question(self, key: int, h: Held, holding: int, demand: int) -> list[int]:
        w, floor = h.whole, int(h.whole.floor * 100)
        bucket = self.bucket(h.name)
        return [ASK, key, h.serial, holding, demand, *bucket, w.rate, w.burst, floor, w.first, w.count]

    def _granted(self, serial: int, key: int, part: Part, add: int, lasts: int) -> None:
        h = self.held.get(key)
        asked = h.asked.get(serial) if h is not None else None
        if asked is None or serial <= h.taken:
            return
        now, before = self.fleet.now, h.lease if self.fleet.now < h.until else NOTHING
        until = asked + min(float(lasts), shortest(self.term))
        if until <= now:
            return
        h.lease, h.until, h.taken = part, until, serial
        h.asked = {s: at for s, at in h.asked.items() if s > serial}
        self.due = min(self.due, until)
        self._tell(key, h, add)
        if part.rate < before.rate or part.burst < before.burst:
            h.ask_at = now  # so that the home knows soon that the difference is free

    # --- messages --------------------------------------------------------------------------------

    def _heard(self, who: int, body: list) -> None:
        now = self.fleet.now
        self.turn(now)
        self._look(now)
        for entry in body[0]:
            kind = entry[0]
            if not all(type(x) is int and x >= 0 for x in (entry[:6] if kind == LEDGER else entry)):
                raise TypeError("whole numbers")
            if kind == ASK:
                if len(entry) != ASK_LENGTH:
                    raise ValueError("a question")
                self._wait(who, entry)
            elif kind == GRANT:
                _, key, serial, rate, burst, add, lasts = entry
                # Whoever was asked may answer, also when it is the home no more: what it lent counts to its end.
                self._granted(serial, key, Part(rate, burst), add, lasts)
            elif kind == LEDGER:
                self._ledger(who, entry)
            elif kind == TAKEN:
                self.handover.confirmed(who, *entry[1:])
            elif kind == REFUSED:
                self._refused(who, *entry[1:])

    def _send(self) -> None:
        for to, entries in self.out.items():
            for portion in fitting(entries, ROOM):
                self.fleet.send_app(TOPIC, to, [portion])
        self.out.clear()
