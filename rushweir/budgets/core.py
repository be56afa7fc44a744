"""The budgets of one process: what it may spend, whom it asks, and whose home it is. No I/O, no clock.

Each budget has a home: the process with one of the numbers that use it, by rendezvous, in the view that is in force.
A process owns a floor of each budget with its number; the rest it asks the home for, again and again while there is
demand, and spends what the last answer gave it until that is over by its own clock, counted from its question.

A home lends only while it is surely in the view in force (younger than ``term``). A new home lends nothing before all
that its predecessor may have lent is over (twice the term, with the drift), unless the predecessor hands it the
ledger. A number that is new to its process brings its floor only after that time, too: homes lend the floors of
numbers that nobody has.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import inf

from rushweir.budgets.division import floor_of
from rushweir.budgets.home import Home
from rushweir.budgets.records import NOTHING, UNIT, Held, Part, PartChanged, Whole, key_of
from rushweir.fleet.core import Fleet
from rushweir.fleet.drift import DRIFT, longest, shortest
from rushweir.fleet.table import fitting
from rushweir.fleet.views import SEATED, View
from rushweir.state import Rate, rendezvous

TOPIC, MASK = 1, 0xFFFFFFFF
ASK, GRANT, LEDGER = 0, 1, 2
ASK_PART = 0.25  # of the term: how often a holder asks again
TICK_MS, ROOM = 50.0, 190
DEMAND_MS = 1_000.0  # memory of demand
IDLE_TERMS = 4  # without demand a budget is forgotten here; what it lent is over by then
SOON_MS = 300.0  # until a holder whose bucket is empty asks again
MOST_ASKED = 8  # questions whose answers are waited for
LEDGER_ROWS = 4  # in a datagram


class Budgets:
    """All budgets of one process. Take what changed from ``changes`` after each call, in order."""

    def __init__(self, fleet: Fleet, term_ms: float, most: int = 4096) -> None:
        """``most``: budgets known at once; beyond it a new one gets its floor only."""
        self.fleet, self.term, self.most = fleet, term_ms, most
        self.held: dict[int, Held] = {}
        self.homes: dict[int, Home] = {}
        self.changes: list[PartChanged] = []
        self.counts: Counter[str] = Counter()
        self.out: dict[int, list[list]] = {}  # entries for others, by process
        self.owned_at = inf  # from when on the floors of this process's number are its own ...
        self.owning = False  # ... and whether its users were told
        self.sweep_at = 0.0
        self.numbered = -1
        self.due = inf  # when the next right of this process is over
        self.view = View()  # as it was looked at last: the fleet may hold another by now
        self.where: dict[tuple[int, int, int, int], int] = {}  # homes, in the view ...
        self.where_in = self.view  # ... that was held when they were looked for
        self.sure_at = -inf  # when the view before the present one was surely in force
        self.opens_at = inf  # from when on this process may lend as a new home
        self.ledgers: dict[int, dict[int, list]] = {}
        self.stopped = False
        self.keeping: dict[int, Part] = {}  # what this process has as a home, as its user was told
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
            h = self.held[key] = Held(name, whole, Rate(DEMAND_MS, now), now)
            self._tell(key, h, 0)
        if h.whole != whole:
            h.whole = whole
            self._tell(key, h, 0)
        h.demand.add(amount, now)
        h.used_at = now
        if h.ask_at > now + SOON_MS and self.bucket(name)[1] > h.told.burst - amount:
            h.ask_at = now + SOON_MS  # too little is left for this: what the reserve has is needed now

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

    def floor_of(self, key: int, whole: Whole, number: int) -> Part:
        most = self.fleet.settings.most
        place, count = (number - whole.first) % most, whole.count or most
        if place >= count:
            return NOTHING
        rate = floor_of(key, place, count, int(whole.rate * whole.floor))
        burst = floor_of(key, place, count, int(whole.burst * whole.floor), UNIT)
        return Part(rate, burst) if rate and burst else NOTHING

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

    def _keep(self, now: float) -> None:
        """What this process has as a home, as long as it is surely one: told to its user where it changed."""
        sure = self._sure() and not self.stopped
        for key in sorted(self.keeping.keys() | self.homes.keys()):
            home = self.homes.get(key)
            mine = sure and home is not None and now >= home.open_at
            mine = mine and self.home_of(key, home.scope) == self.fleet.me
            has = home.kept if mine else NOTHING
            if has != self.keeping.get(key, NOTHING):
                slowed = Part(int(has.rate * (1 - DRIFT)), has.burst)
                self.changes.append(PartChanged("", slowed, 0, inf, NOTHING, key & MASK))
                self.keeping[key] = has
            if has == NOTHING:
                self.keeping.pop(key, None)
        if self.keeping:
            self.due = min(self.due, self.fleet.sure_at + shortest(self.term))

    def kept(self, now: float, name: str) -> Part:
        """What may be spent now as a home."""
        key = key_of(name)
        return self.keeping[key] if key in self.keeping and self._sure() else NOTHING

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
        for key, h in list(self.held.items()):
            if now - h.used_at > IDLE_TERMS * self.term:
                del self.held[key]
                self.changes.append(PartChanged(h.name, NOTHING))
            elif now >= h.ask_at and not self.fleet.leaving:
                self._ask(now, key, h)
        if now >= self.sweep_at:
            self.sweep_at = now + self.term
            for key, home in list(self.homes.items()):
                home.settle(now)
                if not home.holders and now > home.open_at + IDLE_TERMS * self.term:
                    del self.homes[key]
        self._send()
        self.fleet.at(TICK_MS, self._tick, None)

    def _look(self, now: float) -> None:
        """How sure the view is, and whether it is another."""
        if self.fleet.view is not self.view:
            self._view(now)
        self.fleet.age()
        self.sure_at = max(self.sure_at, self.fleet.sure_at)

    def _number(self, now: float) -> None:
        """This process has another number, or none."""
        self.numbered = self.fleet.seat()
        self.owned_at, self.owning = now + longest(2 * self.term) if self.numbered >= 0 else inf, False
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
        for key, home in self.homes.items():
            self._hand_over(now, key, home, self.home_of(key, home.scope, self.fleet.me))
        self.homes.clear()
        self._send()

    # --- as a holder -----------------------------------------------------------------------------

    def home_of(self, key: int, whole: Whole, without: int = 0) -> int:
        """The process that is the home of a budget in the view held here, or would be without one; 0: none."""
        if self.fleet.view is not self.where_in:
            self.where_in, self.where = self.fleet.view, {}
        found = self.where.get((key, whole.first, whole.count, without))
        if found is None:
            seats = self.fleet.view.seats
            here = {n for n, s in seats.items() if s.state == SEATED and s.id != without}
            here &= set(whole.doors(self.fleet.settings.most))
            found = seats[rendezvous(key & MASK, here, 1)[0]].id if here else 0
            if len(self.where) < 4 * self.most:
                self.where[key, whole.first, whole.count, without] = found
        return found

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

    def _granted(self, serial: int, key: int, part: Part, add: int) -> None:
        h = self.held.get(key)
        asked = h.asked.get(serial) if h is not None else None
        if asked is None or serial <= h.taken:
            return
        now, before = self.fleet.now, h.lease if self.fleet.now < h.until else NOTHING
        until = asked + shortest(self.term)
        if until <= now:
            return
        h.lease, h.until, h.taken = part, until, serial
        h.asked = {s: at for s, at in h.asked.items() if s > serial}
        self.due = min(self.due, until)
        self._tell(key, h, add)
        if part.rate < before.rate or part.burst < before.burst:
            h.ask_at = now  # so that the home knows soon that the difference is free

    # --- as a home -------------------------------------------------------------------------------

    def _asked(self, who: int, row: list) -> None:
        _, key, serial, holding, demand, spilled, lacks, rate, burst, floor, first, count = row
        whole = Whole(rate, burst, floor / 100, first, count)
        now = self.fleet.now
        if self.stopped or self.home_of(key, whole) != self.fleet.me or not self._sure():
            self.counts["not_home"] += 1
            return
        home = self.homes.get(key)
        if home is None:
            # What a predecessor lent is unknown.
            home = self.homes[key] = Home(now, self.term, max(now, self.opens_at))
        home.scope = whole
        if who != self.fleet.me and not self.fleet.app_budget.has(now) and not home.urgent(now, who):
            self.counts["not_urgent"] += 1  # its part lasts; others' would end for want of an answer
            return
        told = home.ask(now, who, serial, holding, demand, self._lendable(key, whole), spilled, lacks)
        if told is None:
            return
        part, add = told
        self.counts["granted"] += 1
        if who == self.fleet.me:
            self._granted(serial, key, part, add)
        else:
            self.out.setdefault(who, []).append([GRANT, key, serial, part.rate, part.burst, add])

    def _sure(self) -> bool:
        """Whether this process's view is surely in force, or was so a moment ago."""
        return self.fleet.view.number > 0 and self.fleet.age() < shortest(self.term)

    def _lendable(self, key: int, whole: Whole) -> Whole:
        """The whole without the floors that numbers own; those of numbers that nobody has are lent."""
        owned = NOTHING
        for n in self.fleet.view.seats:
            owned += self.floor_of(key, whole, n)
        return replace(whole, rate=whole.rate - owned.rate, burst=whole.burst - owned.burst)

    def _view(self, now: float) -> None:
        """Another view holds here. What this process lent as a home goes to the next, if it was one to the end."""
        self.view = self.fleet.view
        if now - self.sure_at >= shortest(self.term) and self.homes:
            # Another may have been in its place meanwhile, and may lend by now: one that came after the last moment
            # at which this one was sure waits for two terms, and lends for one after its view is over.
            self.homes.clear()
            self.counts["homes_lost"] += 1
        # Whatever this process is the home of from now on, and no ledger comes for: all that was lent is over then.
        self.opens_at = now + longest(2 * self.term)
        self.sure_at = -inf
        self._keep(now)  # before a successor begins to lend
        for key, home in list(self.homes.items()):
            to = self.home_of(key, home.scope)
            if to != self.fleet.me:
                del self.homes[key]
                self._hand_over(now, key, home, to)

    def _hand_over(self, now: float, key: int, home: Home, to: int) -> None:
        """A ledger that may be lent by goes to the next home, if there is one."""
        if not to or now < home.open_at:
            return
        rows = home.dump(now)
        parts = [rows[k : k + LEDGER_ROWS] for k in range(0, len(rows), LEDGER_ROWS)] or [[]]
        for page, some in enumerate(parts):
            entry = [LEDGER, key, self.fleet.view.number, page, len(parts), some]
            self.fleet.send_app(TOPIC, to, [[entry]])
        self.counts["handed_over"] += 1

    def _ledger(self, who: int, entry: list) -> None:
        """A predecessor's ledger. It is counted from now on, and lending may begin at once."""
        _, key, view, page, of, rows = entry
        if view != self.fleet.view.number or not 0 <= page < of <= 64 or not isinstance(rows, list):
            return
        home = self.homes.get(key)
        if home is not None and self.fleet.now >= home.open_at:
            return  # lending by now
        got = self.ledgers.setdefault(key, {})
        got[page] = rows
        if len(got) < of:
            return
        del self.ledgers[key]
        all_rows = [r for k in range(of) for r in got[k]]
        if home is None:
            home = self.homes[key] = Home(self.fleet.now, self.term, inf)
        home.load(self.fleet.now, all_rows)
        self.counts["taken_over"] += 1

    # --- messages --------------------------------------------------------------------------------

    def _heard(self, who: int, body: list) -> None:
        now = self.fleet.now
        self.turn(now)
        self._look(now)
        for entry in body[0]:
            kind = entry[0]
            if not all(type(x) is int and x >= 0 for x in (entry[:5] if kind == LEDGER else entry)):
                raise TypeError("whole numbers")
            if kind == ASK:
                self._asked(who, entry)
            elif kind == GRANT:
                _, key, serial, rate, burst, add = entry
                # Whoever was asked may answer, also when it is the home no more: what it lent counts to its end.
                self._granted(serial, key, Part(rate, burst), add)
            elif kind == LEDGER:
                self._ledger(who, entry)

    def _send(self) -> None:
        for to, entries in self.out.items():
            for portion in fitting(entries, ROOM):
                self.fleet.send_app(TOPIC, to, [portion])
        self.out.clear()
