"""Every decision of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and demand-share quotas.
Types, settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons."""

import math
import random
from struct import Struct
from zlib import crc32

from rushweir import interface as i
from rushweir.state import Backend, Customer, Health, Outbox, Parts, Rate, Store, Ticket, rendezvous, unpack

MEMORY_MS = 4000.0  # of demand, units finished and failures: longer than a request, shorter than a trouble
# Quota
TICK_MS = 100.0  # parts, mail that waits and what is owed to the counter are looked after this often
ASK_MS, ASKS = 60.0, (0, 0, 1)  # wait for a keeper's answer: two ways and two ticks; who is asked in turn
SILENT_MS = 1000.0  # a word this old, or an attempt whose end was not told by then, counts for nothing
LOW_PART = 0.5  # of the burst: a store below this is asked of by its door's share only
MAIL_BURST, MAIL_MOST = 15.0, 12  # messages at once, a quarter second's worth; entries that 256 bytes hold
CALL_MS = 2.0, 2000.0  # least and most time between two calls, of all gateways and of one
PACED = 0.95, 1.5  # a good answer makes that time shorter, a late or full one longer, until it copes
SURPLUS = 1.5  # times the burst: a total this far behind a full store is put right
EPOCH_MS = 60000.0  # a counter name's life: bounds the drift of additions that may or may not have counted
IDLE_MS = 30000.0  # customers idle this long are forgotten
ENTRY = Struct(">BBIffH")  # kind, plan, customer, units or level, asked or demand a second, number
ASK, DONE, YES, NO, COUNTER = 0, 1, 2, 3, -1
# Room
START_ATTEMPTS = 8.0  # per ready server, of all gateways: what a small one takes without queueing long
AIM_PART = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
POPULAR_MS = 15000.0  # window of popularity
PRIOR = 2.0  # units added to each class's popularity: noise from few requests is smoothed
SPREAD = 1.0  # of the root of a room not pressed is added: chance fills a small one, a large one rarely
PRESSED_MS = 2000.0  # how long a sign of pressure counts
PRESSED_PART = 0.1  # of outcomes and 5 good ones: less is single servers or chance
KEEP_PART = 0.5  # of the room, kept from worthless work for work of the mean worth per room and time
SOFT_PART = 0.35  # of the room: beyond-quota work must not be what makes inside work wait
# Fleet
LENGTH_ALPHA, SLOW_ALPHA, VALUE_ALPHA = 0.05, 0.1, 0.02  # weight of one sample in each running mean
FAIL_OUT, STANDS_OUT = 0.4, 1.5  # failing part at which a server is set aside, if also so many times the mean
CROSS = 10.0  # times the price of crossing zones: how much busier a server in the own zone may be
SAMPLE = 12  # servers looked at for an attempt: a small fleet whole, a large one at the same cost
# Attempts
RETRY_PART, RETRY_MOST = 0.15, 10.0  # retry budget per request taken, and at most: no retry storm
LIMIT_AIM, LIMIT_TIMES = 0.4, 4.0  # of the aim, and of usual times: then a silent server loses an attempt


class Quota:
    """Token buckets by demand share. A customer's whole store lies with one keeper: a gateway among its
    doors, by rendezvous hashing, or the shared counter. A door holds a request for the keeper's bounded answer,
    unless a fresh word shows that asking is in vain; where no answer comes its even part decides."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.s, self.how, self.rng, self.began = settings, settings.sharing, rng, now
        self.customers, self.kept = dict[int, Customer](), dict[int, Store]()
        self.mail = Outbox(ENTRY, self.how.messages_per_s, MAIL_BURST, MAIL_MOST, now)
        self.held, self.owing = dict[int, Ticket](), dict[int, Customer]()
        self.calls: dict[int, list[tuple]] = {}
        self.pace, self.next_call, self.swept = CALL_MS[0] * settings.gateways, now, now

    def customer(self, r: i.Request, now: float) -> Customer | None:
        key = crc32(r.customer.encode())
        c = self.customers.get(key)
        if c is None:
            index = next((k for k, p in enumerate(self.s.plans) if p.name == r.plan), None)
            if index is None:
                return None
            plan, count = self.s.plans[index], self.s.gateways
            doors = {(r.first + k) % count for k in range(min(r.spread, count))}
            ranks = rendezvous(key, doors, 1 + max(ASKS))
            # Of a ceiling only the own part is spent; what a predecessor left of it is unknown.
            c = Customer(plan, index, key, len(doors), ranks, Store(plan.burst, MEMORY_MS, now), self.began)
            self.customers[key] = c
        c.seen = now
        c.store.refill(c.plan.rate, c.plan.burst, now)
        more = c.plan.ceiling_rate / c.doors * (now - c.ceiling_at) / 1000
        c.ceiling, c.ceiling_at = min(c.plan.ceiling_burst / c.doors, c.ceiling + more), now
        return c

    def keeper(self, c: Customer, asks: int, now: float) -> int | None:
        """Whom to ask: this gateway itself, a peer, COUNTER, or nobody."""
        if self.how.counter and c.ranks != [self.s.me]:
            return COUNTER if c.plan.rate and not asks and now >= self.next_call else None
        if asks >= len(ASKS) or not (self.how.peers or c.ranks == [self.s.me]):
            return None
        return c.ranks[min(ASKS[asks], len(c.ranks) - 1)]

    def vain(self, c: Customer, units: float, now: float) -> bool:
        """Whether asking is in vain: the last word is fresh, and the store has too little for this door."""
        c.asked += units
        low, total = c.store.level < LOW_PART * c.plan.burst, c.store.demand.per_s(now)
        none = c.store.level < units or (low and self.rng.random() * total > c.plan.rate)
        return none and c.plan.rate > 0 and now - c.told < SILENT_MS

    def even(self, t: Ticket, now: float) -> bool:
        """Nobody to ask: by a fresh word, else every door is presumed to spend as this one does."""
        c, units, fresh = t.c, t.r.units, now - t.c.told < SILENT_MS
        inside = c.store.level >= units * fresh and c.store.level > 0 if c.plan.rate else not c.open
        if inside and fresh and self.how.counter:
            t.keeper = COUNTER
            self.owe(c, units)
        c.store.level -= units * inside * (1 if fresh else c.doors)
        return inside

    def keep(self, key: int, plan: i.Plan, units: float, asked: float, now: float) -> bool:
        """This gateway keeps the customer: take a try's units and place if it is inside the quota."""
        store = self.kept.setdefault(key, Store(plan.burst, MEMORY_MS, now))
        store.refill(plan.rate, plan.burst, now)
        store.demand.add(max(0.0, asked), now)
        full = 0 < plan.open_limit <= store.open(now - SILENT_MS)
        inside = not full and (not plan.rate or store.level >= units)
        if inside:
            store.level -= units
            store.out.append(now)
        return inside

    def wait(self, c: Customer, units: float) -> float:
        """When the store may hold a try again (ms from now)."""
        store = self.kept.get(c.hash, c.store)
        return max(0.0, units - store.level) * 1000 / c.plan.rate if c.plan.rate else 0.0

    def settle(self, t: Ticket, more: float, over: bool) -> None:
        """Tell the keeper of units to be taken further (or given back, below 0), and of a try that is over."""
        c = t.c
        if t.keeper == self.s.me and c.hash in self.kept:
            self.kept[c.hash].settle(more, over, c.plan.burst)
        elif t.keeper == COUNTER:
            self.owe(c, more)
        elif t.keeper is not None and (more or (over and c.plan.open_limit)):
            self.mail.post(t.keeper, (DONE, c.index, c.hash, more, float(over), 0))

    def capped(self, c: Customer, units: float) -> bool:
        return c.plan.ceiling_rate > 0 and c.ceiling < units

    def owe(self, c: Customer, units: float) -> None:
        if units:
            c.pending += units
            self.owing[c.hash] = c

    def ask(self, t: Ticket, number: int, now: float) -> list[i.Action]:
        """Ask the keeper for a held request."""
        c = t.c
        if t.keeper == COUNTER:
            self.held[number] = t
            return [self.call(c, t.r.units, number, now)]
        self.held[number % 65536] = t
        self.mail.post(t.keeper, (ASK, c.index, c.hash, t.r.units, c.asked, number % 65536))
        c.asked = 0.0
        return []

    def call(self, c: Customer, units: float, number: int, now: float) -> i.Count:
        epoch = now // EPOCH_MS
        name = c.hash * 65536 + int(epoch) % 65536
        amount, c.pending = units + c.pending, 0.0
        self.next_call = now + self.pace
        self.calls.setdefault(name, []).append((c, units, amount, number, epoch * EPOCH_MS))
        return i.Count(name, amount, EPOCH_MS)

    def counted(self, e: i.Counted, now: float) -> tuple[Ticket | None, bool | None]:
        """The counter's total is what was spent, and what overflowed a full store, since the name began."""
        if not self.calls.get(e.name):
            return None, None
        c, units, amount, number, began = self.calls[e.name].pop(0)
        t, plan, good = self.held.pop(number, None), c.plan, e.result is i.Result.OK
        self.pace = min(max(self.pace * PACED[0 if good else 1], CALL_MS[0]), CALL_MS[1])
        if not good:
            if e.result.never_ran:
                self.owe(c, amount - units)
            return t, None
        level = plan.burst + plan.rate * (now - began) / 1000 - (e.value - units)
        if level > SURPLUS * plan.burst:  # overflowed by more than is worth a call
            self.owe(c, level - plan.burst)
        level = min(level, plan.burst)
        inside = level >= units
        c.told, c.store.level, c.store.at = now, level - units * inside, now
        self.owe(c, units * inside - units)
        return t, inside

    def hear(self, source: int, text: str, now: float) -> list[tuple[Ticket, bool]]:
        """Answer what is asked of this keeper; return the held requests that are answered."""
        answered = []
        for kind, index, key, units, more, number in unpack(ENTRY, text):
            c, plan = self.customers.get(key), self.s.plans[min(index, len(self.s.plans) - 1)]
            if kind == ASK:
                told = YES if self.keep(key, plan, units, more, now) else NO
                store = self.kept[key]
                self.mail.post(source, (told, index, key, store.level, store.demand.per_s(now), number))
            elif kind == DONE and key in self.kept:
                self.kept[key].settle(units, bool(more), plan.burst)
            elif kind in (YES, NO) and c is not None:
                c.told, c.store.level, c.store.at = now, min(units, c.plan.burst), now
                c.store.demand.set(max(0.0, more), now)
                if (t := self.held.pop(number, None)) is not None:
                    answered.append((t, kind == YES))
        return answered

    def tick(self, now: float) -> list[i.Action]:
        """Tell the counter what is owed to it; forget idle customers."""
        calls: list[i.Action] = []
        for c in list(self.owing.values()):
            if now >= self.next_call:
                del self.owing[c.hash]
                calls.append(self.call(c, 0.0, -1, now))
        if now - self.swept >= IDLE_MS / 10:
            self.swept = now
            self.customers = {n: c for n, c in self.customers.items() if now - c.seen < IDLE_MS or c.open}
            self.kept = {k: s for k, s in self.kept.items() if now - s.at < IDLE_MS}
            self.calls = {n: calls for n, calls in self.calls.items() if calls}
            self.held = {k: t for k, t in self.held.items() if now < t.r.not_after_ms}
        return calls


class Room:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, s: i.Settings, now: float) -> None:
        self.s, self.classes = s, {c.name: c for c in s.classes}
        self.length = {c.name: c.aim_ms / 4 for c in s.classes}
        self.asked = {c.name: Rate(POPULAR_MS, now) for c in s.classes}
        self.finished, self.mean_units = Rate(MEMORY_MS, now), (1 + s.sharing.largest_request) / 2
        self.outcomes, self.parts = Health(PRESSED_MS, now), Parts()
        values = [c.worth * p.price / self.length[c.name] for c in s.classes for p in s.plans]
        self.value = sum(values) / len(values)

    def pressed(self, now: float) -> bool:
        return self.outcomes.bad.total(now) > PRESSED_PART * (5 + self.outcomes.all.total(now))

    def ask(self, name: str, units: float, now: float) -> None:
        self.asked[name].add(units, now)
        self.mean_units += LENGTH_ALPHA * (units - self.mean_units)

    def observe(self, name: str, e: i.Outcome, units: float, now: float) -> None:
        """Learn lengths, units finished and pressure from an outcome."""
        ok, late = e.result is i.Result.OK, e.spent_ms > self.classes[name].aim_ms
        self.outcomes.note(e.result in (i.Result.FULL, i.Result.TIMEOUT) or (ok and late), now)
        self.finished.add(units * ok, now)
        if ok or (e.result is i.Result.TIMEOUT and late):
            self.length[name] += LENGTH_ALPHA * (e.spent_ms - self.length[name])

    def range_of(self, name: str) -> int:
        """Range of lengths [2^k lmin, 2^(k+1) lmin) of a class, from 0; the top one is closed above."""
        low = min(self.length.values())
        ranges = max(1, math.ceil(math.log2(max(self.length.values()) / low) - 1e-9))
        return min(int(math.log2(self.length[name] / low)), ranges - 1)

    def partition(self, ready: int, now: float) -> None:
        """B and its parts, by f2: popularity (units asked) times length."""
        f2 = {n: (r.total(now) + PRIOR) * self.length[n] for n, r in self.asked.items()}
        ranges, whole = 1 + max(self.range_of(n) for n in f2), sum(f2.values())
        aim = sum(f2[n] * self.classes[n].aim_ms for n in f2) / whole / 1000
        low = START_ATTEMPTS * self.mean_units * max(1, ready) / self.s.gateways
        pressed, done = self.pressed(now), self.finished.per_s(now) * aim * AIM_PART
        room = max(low / 4 if pressed else low, done)
        room += 0.0 if pressed else SPREAD * math.sqrt(room * self.mean_units)
        self.parts.resize(ranges, {n: (self.range_of(n), f / whole * room) for n, f in f2.items()})

    def draw(self, name: str, units: float, price: float, now: float) -> list[tuple[int, float]] | None:
        """Room from the request's own range, then the shorter ones; not pressed: from any."""
        parts, top = self.parts, min(self.range_of(name), len(self.parts.sizes) - 1)
        order = [*range(top, -1, -1), *([] if self.pressed(now) else range(top + 1, len(parts.sizes)))]
        # Length stands for profit in the paper; here worth does too, so cheap work leaves room for dear work.
        value = self.classes[name].worth * price / self.length[name]
        self.value += VALUE_ALPHA * (value - self.value)
        keep = KEEP_PART * max(0.0, 1 - value / self.value)
        used, free = sum(parts.used), sum(max(0.0, parts.sizes[k] - parts.used[k]) for k in order)
        if used > 1e-6 and (free < units - 1e-9 or sum(parts.sizes) * (1 - keep) - used < units):
            return None
        return parts.draw(order, units)  # an idle gateway takes a request larger than all its room


class Fleet:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.zone, self.rules, self.rng = settings.zone, settings.rules, rng
        self.cross = 1 + CROSS * settings.prices.get("crossZone", 0.0)
        self.sized = settings.weights in ("nominal", "rough")  # a live weight tells load, and late
        self.sent = Rate(max(1.0, self.rules.fall_ms), now)
        self.others = 1 - 1 / settings.gateways
        self.servers, self.groups = dict[str, Backend](), dict[tuple[str, str], Health]()
        self.whole, self.ready = Health(MEMORY_MS, now), list[Backend]()

    def update(self, event: i.Members, now: float) -> None:
        new = {} if event.scope in (i.Scope.FULL, i.Scope.CACHED) else dict(self.servers)
        for e in event.servers:
            b = self.servers.get(e.address)
            if b is None or b.entry.online_since_ms != e.online_since_ms:  # started anew
                groups = ("zone", e.zone), ("kind", e.kind)
                alike = [self.groups.setdefault(g, Health(MEMORY_MS, now)) for g in groups]
                b = Backend(e, max(e.weight, 0.01) if self.sized else 1.0, [Health(MEMORY_MS, now), *alike])
            new[e.address], b.entry = b, e
        self.servers = {a: b for a, b in new.items() if b.entry.state is not i.State.GONE}
        self.ready = [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warmth(self, b: Backend, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        done = min(1.0, max(0.0, now - since) / r.cold_ms) if since and r.cold_ms else 1.0
        return r.cold_share + (1 - r.cold_share) * done

    def fails(self, b: Backend, least: float, now: float) -> bool:
        """Whether a server, its zone or its kind fails, and more than all together: then it is not pressure."""
        return any(h.fail(now) >= max(least, STANDS_OUT * self.whole.fail(now)) for h in b.health)

    def choose(self, now: float, length: float, allowed, avoid: set[str]) -> Backend | None:
        """The least loaded for its size and speed among servers sampled.

        Attempts of other gateways are noise that grows with their number: gateways must not herd."""
        ready, since, best, cost = self.ready, now - self.rules.fall_ms, None, math.inf
        sample = self.rng.sample(ready, min(SAMPLE, len(ready)))
        able = sum(b.weight * self.warmth(b, now) for b in sample) * len(ready) / max(1, len(sample))
        fair = (self.sent.total(now) + 1) / max(1e-9, able)  # attempts in the fall window per able weight
        for b in sample:
            able = self.warmth(b, now) * b.weight
            # Slow start: a cold server gets its warmth's part of what warm ones of its size get from all.
            cold = able < b.weight and b.recent(since) + self.rng.random() > able * fair
            if cold or not allowed(b.entry):
                continue
            others = self.others * self.rng.expovariate(1.0) + 1 - self.others
            here = b.slow * b.health[-1].slow * (len(b.out) + others) / able
            here *= 1 if b.entry.zone == self.zone else self.cross
            here += 1e6 * self.fails(b, FAIL_OUT, now) + 1e3 * (b.entry.address in avoid)
            if here < cost:
                best, cost = b, here
        return best

    def done(self, e: i.Outcome, usual: float, now: float) -> bool:
        """Note an outcome; returns whether the trouble is the server's own rather than pressure."""
        b = self.servers.get(e.server)
        if b is None or b.out.pop((e.id, e.attempt), None) is None or e.result is i.Result.MOOT:
            return True
        if e.result in (i.Result.OK, i.Result.ERROR, i.Result.FULL):
            b.answered = now
        if e.result is i.Result.OK:
            kind, ratio = b.health[-1], min(e.spent_ms / usual, 10.0)
            b.slow += SLOW_ALPHA * (ratio / kind.slow - b.slow)
            kind.slow += SLOW_ALPHA * (ratio - kind.slow)
        failed = e.result not in (i.Result.OK, i.Result.FULL)
        slow = e.result in (i.Result.TIMEOUT, i.Result.CANCELLED)  # of a zone or kind this is pressure
        for h in (b.health[0], self.whole, *([] if slow else b.health[1:])):
            h.note(failed, now)
        return self.fails(b, FAIL_OUT / 2, now)


class Policy:
    """One gateway's decisions; see interface.py for the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not (settings.classes and settings.plans and 0 <= settings.me < settings.gateways):
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.s, self.now, self.retries = settings, now_ms, RETRY_MOST
        self.quota, self.room = Quota(settings, rng, now_ms), Room(settings, now_ms)
        self.fleet, self.tickets = Fleet(settings, rng, now_ms), dict[str, Ticket]()
        self.checks, self.serial = dict[int, tuple[str, int]](), rng.randrange(2, 65536)

    def start(self) -> list[i.Action]:
        return [i.SetTimer(0, TICK_MS), *([i.Watch()] if self.s.ask_discovery else [])]

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]:
        self.now = now_ms
        actions = self.react(event)
        mail = self.quota.mail.flush(now_ms) if self.quota.mail.waiting else ()
        return [*actions, *(i.Tell(text, to) for to, text in mail)] if mail else actions

    def react(self, event: i.Event) -> list[i.Action]:
        match event:
            case i.Request():
                return self.request(event)
            case i.Outcome():
                return self.outcome(event)
            case i.Timer():
                return self.timer(event.ref)
            case i.PeerMessage():
                answers = self.quota.hear(event.source, event.text, self.now)
                return [a for t, inside in answers for a in self.decide(t, inside)]
            case i.Counted():
                t, inside = self.quota.counted(event, self.now)
                if t is not None:
                    return self.ask(t) if inside is None else self.decide(t, inside)
            case i.Members():
                self.fleet.update(event, self.now)
                self.room.partition(len(self.fleet.ready), self.now)
                return [i.SetTimer(1, SILENT_MS)] * (event.scope is i.Scope.FAILED and self.s.ask_discovery)
            case i.Gone() | i.FirstByte() if event.id in self.tickets:
                self.end(self.tickets[event.id])
        return []

    def timer(self, ref: int) -> list[i.Action]:
        if ref:
            return self.check(*self.checks.pop(ref)) if ref > 1 else [i.Watch()]
        self.room.partition(len(self.fleet.ready), self.now)
        return [*self.quota.tick(self.now), i.SetTimer(0, TICK_MS)]

    def check(self, rid: str, n: int) -> list[i.Action]:
        """Take back an attempt whose server answered nothing since; ask again for a request still held."""
        t = self.tickets.get(rid)
        if t is None or t.done or (n >= 0 and n not in t.out):
            return []
        if n >= 0:
            b = self.fleet.servers.get(t.sends[n][0].address)
            silent = b is None or (b.answered < t.sends[n][1] and not self.room.pressed(self.now))
            return [i.Cancel(rid, n)] if silent else []
        return self.ask(t) if t.asks == -n else []

    def ask(self, t: Ticket) -> list[i.Action]:
        """Hold a request for its keeper's word, or decide where there is nobody to ask."""
        c, units, now = t.c, t.r.units, self.now
        t.keeper = self.quota.keeper(c, t.asks, now)
        t.asks += 1
        if t.keeper == self.s.me:
            return self.decide(t, self.quota.keep(c.hash, c.plan, units, units, now))
        if t.keeper is None or now + ASK_MS * len(ASKS) > t.r.not_after_ms:
            t.keeper = None
            return self.decide(t, self.quota.even(t, now))
        self.serial += 1
        actions = self.quota.ask(t, self.serial, now)
        if t.keeper != COUNTER:  # a call to the counter always ends by itself
            self.checks[self.serial] = (t.r.id, -t.asks)
            actions.append(i.SetTimer(self.serial, ASK_MS))
        return actions

    def decide(self, t: Ticket, inside: bool) -> list[i.Action]:
        """Send a request on or refuse it, its quota known."""
        r, c, server = t.r, t.c, None
        ended = t.done or bool(t.sends)  # gone, or answered twice
        if not ended and (inside or self.soft(c)):
            server = self.fleet.choose(self.now, self.room.length[r.cls], lambda e: True, set())
        if server is not None and not self.quota.capped(c, r.units):
            t.asks, t.inside = 0, inside
            c.ceiling -= r.units
            self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
            return self.send(t, server)
        if inside:
            self.quota.settle(t, -r.units, True)
        if ended:
            return []
        self.end(t)
        return [self.refuse(r, self.quota.wait(c, r.units))]

    def soft(self, c: Customer) -> bool:
        """Whether work beyond the quota passes: it earns more than it costs, and takes no inside place."""
        free = not self.room.pressed(self.now) and sum(self.room.parts.used) < SOFT_PART * sum(self.room.parts.sizes)
        return free and c.plan.over_worth > c.plan.over_cost and not c.plan.open_limit

    def refuse(self, r: i.Request, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(r.id, min(wait, self.s.limits.max_retry_after_ms) * self.s.limits.retry_after)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.room.classes.get(r.cls), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refuse(r)]
        self.room.ask(r.cls, r.units, now)
        if self.quota.capped(c, r.units) or (self.quota.vain(c, r.units, now) and not self.soft(c)):
            return [self.refuse(r, self.quota.wait(c, r.units))]
        if (grant := self.room.draw(r.cls, r.units, c.plan.price, now)) is None:
            return [self.refuse(r)]
        self.tickets[r.id] = Ticket(r, cls, c, grant)
        return self.ask(self.tickets[r.id])

    def send(self, t: Ticket, b: Backend) -> list[i.Action]:
        self.fleet.sent.add(1, self.now)
        n, now, usual = t.sent(b, self.now), self.now, self.room.length[t.r.cls] * max(1.0, b.slow)
        go: list[i.Action] = [i.Send(t.r.id, b.entry.address, t.r.not_after_ms)]
        limit, most = max(LIMIT_AIM * t.cls.aim_ms, LIMIT_TIMES * usual), self.s.limits
        again = most.cancel and t.cls.effect is not i.Effect.UNSAFE and n + 1 < most.max_attempts
        if again and now + limit + usual < t.r.not_after_ms:
            self.serial += 1
            self.checks[self.serial] = (t.r.id, n)
            go.append(i.SetTimer(self.serial, limit))
        return go

    def outcome(self, e: i.Outcome) -> list[i.Action]:
        t, now = self.tickets.get(e.id), self.now
        if t is None or e.attempt not in t.out:
            return []
        t.back(e.attempt)
        if not self.fleet.done(e, self.room.length[t.r.cls], now):
            self.room.observe(t.r.cls, e, t.r.units, now)
        if not e.result.never_ran and t.ran is None:
            t.ran = t.sends[e.attempt]
        if e.cost and t.inside:
            self.quota.settle(t, e.cost - t.r.units, False)
        t.done = t.done or e.settled
        actions = [] if t.done or t.out else self.again(t)
        if t.done:
            self.end(t)
        return actions

    def again(self, t: Ticket) -> list[i.Action]:
        """A further attempt where the class allows it and it can still help, else the final answer."""
        now, cls, keyed = self.now, t.cls, t.cls.effect is i.Effect.KEYED
        may = t.ran is None or cls.effect is i.Effect.SAFE or (keyed and now < t.ran[1] + cls.window_ms)
        useful = now + self.room.length[t.r.cls] < t.r.not_after_ms and self.retries >= 1
        if may and useful and len(t.sends) < self.s.limits.max_attempts:
            tried, usual = {s.address for s, _ in t.sends}, self.room.length[t.r.cls]
            if (b := self.fleet.choose(now, usual, lambda e: self.may_go(t, e), tried)) is not None:
                self.retries -= 1
                return self.send(t, b)
        t.done = True
        harmless = t.ran is None or cls.effect is i.Effect.SAFE or (keyed and cls.group is i.Group.ALL)
        return [self.refuse(t.r) if harmless and now < t.r.not_after_ms else i.Fail(t.r.id)]

    def may_go(self, t: Ticket, e: i.Server) -> bool:
        """Keyed: only where repeats of the attempt that may have run are dropped."""
        if t.ran is None or t.cls.effect is not i.Effect.KEYED or t.cls.group is i.Group.ALL:
            return True
        return e.zone == t.ran[0].zone if t.cls.group is i.Group.ZONE else e.cell == t.ran[0].cell

    def end(self, t: Ticket) -> None:
        t.done = True
        if not t.out and self.tickets.pop(t.r.id, None) is not None:
            self.room.parts.give_back(t.grant)
            if t.inside:
                self.quota.settle(t, 0.0, True)
