"""Every decision of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and demand-share quotas.
Types, settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons."""

import math
import random
from collections import deque
from heapq import nsmallest
from operator import attrgetter
from struct import Struct
from zlib import crc32

from rushweir import interface as i
from rushweir.state import Backend, Customer, Health, Rate, Store, Ticket, pack, unpack

# Quota
DEMAND_MS = 3000.0  # memory of a customer's demand: a few requests, yet follows a shift in seconds
TELL_MS = 100.0  # units taken without asking are told this often: batched to save messages
SILENT_MS = 1500.0  # a word this old, or a peer silent for this long, counts for nothing
ASK_MS, ASK_MOST = 60.0, 3  # wait for a keeper's answer: two ways and two ticks; one loss, then another keeper
KEEPERS = 2  # gateways that may keep a customer: with both gone the even part decides
LOCAL_PART = 0.5  # of the burst: a store surely fuller than this needs no asking
KEEN = 1.2  # times the quota over the demand: part of tries that still ask when the store is low
OUT_MS = 1000.0  # an attempt whose end was not told in this time is over
MAIL_BURST, MOST_TOLD = 15.0, 17  # messages at once, a quarter second's worth; entries that 256 bytes hold
SYNC_MS, SYNC_PART = 250.0, 1 / 8  # units taken without asking are counted at this age, or part of the burst
SURPLUS = 1.5  # times the burst: a total this far behind a full store is put right
CALL_MS = 2.0, 2000.0  # least and most time between two calls of a gateway, by how the counter copes:
PACE = 0.95, 1.5  # ... each good answer makes it shorter, each late or full one longer
EPOCH_MS = 60000.0  # a counter name's life: bounds the drift of additions that may or may not have counted
IDLE_MS = 30000.0  # customers idle this long are forgotten
ENTRY = Struct(">BBIeeH")  # kind, plan, customer, units or level, asked or demand, number: half floats do
ASK, TOOK, DONE, YES, NO = range(5)
HALF = 65504.0  # what a half float can hold
COUNTER = -1
# Room
START_ATTEMPTS = 8.0  # per ready server, of all gateways: what a small one takes without queueing long
AIM_PART = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
FINISH_MS = 4000.0  # window of units finished: longer than a request, shorter than a trouble
POPULAR_MS = 15000.0  # window of popularity
PRIOR = 2.0  # units added to each class's popularity: noise from few requests is smoothed
SPREAD = 2.0  # of the root of a room not pressed is added: chance fills a small one, a large one rarely
PRESSED_MS = 2000.0  # how long a sign of pressure counts
PRESSED_PART = 0.1  # of outcomes and 5 good ones: less is single servers or chance
KEEP_PART = 0.5  # of the room, kept from worthless work for work of the mean worth per room and time
SOFT_PART = 0.35  # of the room: beyond-quota work must not be what makes inside work wait
# Fleet
LENGTH_ALPHA, SLOW_ALPHA, VALUE_ALPHA = 0.05, 0.1, 0.02  # weight of one sample in each running mean
HEALTH_MS = 4000.0  # memory of failures: a server set aside is tried again after about this time
FAIL_OUT, STANDS_OUT = 0.4, 1.5  # failing part at which a server is set aside, if also so many times the mean
EJECT_MOST = 0.6  # of the fleet, one zone of two and some more: beyond, it is pressure or a common cause
SUSPECT = 5.0  # oldest unanswered attempt older than this many usual times: perhaps silent
CROSS = 10.0  # times the price of crossing zones: how much busier a server in the own zone may be
FLUSH_MS = 20.0  # mail that waits for the receivers' limit is tried again
SAMPLE = 12  # servers looked at for an attempt: a small fleet whole, a large one at the same cost
WATCH_MS = 1000.0  # a subscription to the list that failed is asked for again
# Attempts
RETRY_PART, RETRY_MOST = 0.15, 10.0  # retry budget per request taken, and at most: no retry storm
LIMIT_AIM, LIMIT_TIMES = 0.4, 4.0  # of the aim, and of usual times: then a silent server loses an attempt


class Quota:
    """Token buckets by demand share. A customer's whole store lies with one keeper: a gateway among its
    doors, by rendezvous hashing, or the shared counter. A door goes by the keeper's last word while that is
    fresh, else holds the request for one bounded answer; where none comes its even part decides."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.s, self.how, self.rng, self.began = settings, settings.sharing, rng, now
        self.customers, self.kept = dict[int, Customer](), dict[int, Store]()
        self.owing, self.quiet = dict[int, Customer](), dict[int, float]()
        self.mail, self.tokens, self.mailed = dict[int, list[tuple]](), MAIL_BURST, now
        self.held, self.calls = dict[int, Ticket](), dict[int, deque[tuple]]()
        self.pace, self.next_call, self.swept = CALL_MS[0], now, now

    def customer(self, r: i.Request, now: float) -> Customer | None:
        key = crc32(r.customer.encode())
        c = self.customers.get(key)
        if c is None:
            index = next((k for k, p in enumerate(self.s.plans) if p.name == r.plan), None)
            if index is None:
                return None
            plan = self.s.plans[index]
            doors = {(r.first + k) % self.s.gateways for k in range(min(r.spread, self.s.gateways))}
            ranks = nsmallest(KEEPERS, doors, key=lambda p: crc32(b"%d %d" % (key, p)))
            # Of a ceiling only the own part is spent; what a predecessor left of it is unknown.
            c = Customer(plan, index, key, max(1, len(doors)), ranks, Store(plan.burst, DEMAND_MS, now), self.began)
            self.customers[key] = c
        c.seen = now
        c.store.refill(c.plan.rate, c.plan.burst, now)
        more = c.plan.ceiling_rate / c.doors * (now - c.ceiling_at) / 1000
        c.ceiling, c.ceiling_at = min(c.plan.ceiling_burst / c.doors, c.ceiling + more), now
        return c

    def keeper(self, c: Customer, now: float) -> int | None:
        """Whom to ask: this gateway itself, a peer, COUNTER, or nobody."""
        if c.doors == 1 and c.ranks[0] == self.s.me:
            return self.s.me
        if self.how.counter:
            return COUNTER if c.plan.rate and now >= self.next_call else None
        if not self.how.peers:
            return None
        return next((p for p in c.ranks if self.quiet.get(p, now) <= now), None)

    def view(self, c: Customer, units: float, now: float) -> tuple[bool | None, float]:
        """Whether a try is inside the quota, None if the keeper must tell; else when it may be (ms from now)."""
        plan, store, keeper = c.plan, c.store, self.keeper(c, now)
        c.asked += units
        if keeper == self.s.me:
            store = self.store(c.hash, plan, now)
            store.demand.add(c.asked, now)
            c.asked = 0.0
            return self.fits(store, plan, units), self.wait(store, plan, units, now)
        age, total, wait = now - c.told, store.demand.per_s(now), self.wait(store, plan, units, now)
        fresh = age < SILENT_MS
        if fresh and plan.rate and store.level < units:  # even if nobody else took any since
            return False, wait
        # So much is asked for that most asking is in vain: only this door's share of the quota asks.
        if fresh and plan.rate and store.level < LOCAL_PART * plan.burst:
            if self.rng.random() * total > KEEN * plan.rate:
                return False, wait
        least = store.level - units - total * age / 1000
        if fresh and plan.rate and not plan.open_limit and least > LOCAL_PART * plan.burst:
            return True, 0.0
        if keeper is not None:
            return None, wait
        return (least >= 0 if fresh and plan.rate else self.even(c)), wait

    def capped(self, c: Customer, units: float) -> bool:
        return c.plan.ceiling_rate > 0 and c.ceiling < units

    def even(self, c: Customer) -> bool:
        """With nothing told every door is presumed to spend as this one does."""
        return c.store.level > 0 if c.plan.rate else not c.open

    def wait(self, store: Store, plan: i.Plan, units: float, now: float) -> float:
        short = max(0.0, units - store.level)
        return short * 1000 / plan.rate * max(1.0, store.demand.per_s(now) / plan.rate) if plan.rate else 0.0

    def store(self, key: int, plan: i.Plan, now: float) -> Store:
        """The whole store of a customer that this gateway keeps."""
        store = self.kept.get(key)
        if store is None:
            store = self.kept[key] = Store(plan.burst, DEMAND_MS, now)
        store.refill(plan.rate, plan.burst, now)
        while store.out and store.out[0] < now - OUT_MS:  # the word of its end was lost
            store.out.popleft()
        return store

    def fits(self, store: Store, plan: i.Plan, units: float) -> bool:
        full = plan.open_limit and len(store.out) >= plan.open_limit
        return not full and (not plan.rate or store.level >= units)

    def take(self, t: Ticket, now: float) -> None:
        """Take a try's units where its keeper did not do it already."""
        c, units, t.keeper = t.c, t.r.units, self.keeper(t.c, now)
        if t.keeper == self.s.me:
            self.store(c.hash, c.plan, now).take(units, now)
        elif now - c.told < SILENT_MS and c.plan.rate:
            c.store.level -= units
            c.pending += units
            self.owing[c.hash] = c
        else:
            c.store.level -= units * c.doors

    def settle(self, t: Ticket, more: float, over: bool, now: float) -> None:
        """Tell the keeper of units to be taken further (or given back, below 0), and of a try that is over."""
        c = t.c
        if t.keeper == self.s.me:
            self.store(c.hash, c.plan, now).settle(more, over, c.plan.burst)
        elif t.keeper == COUNTER or (t.keeper is None and self.how.counter):
            c.pending += more
            self.owing[c.hash] = c
        elif t.keeper is not None and (more or (over and c.plan.open_limit)):
            self.post(t.keeper, (DONE, c.index, c.hash, more, float(over), 0))

    def hold(self, t: Ticket, number: int, now: float) -> list[i.Action]:
        """Ask the keeper for a held request."""
        c, t.keeper = t.c, self.keeper(t.c, now)
        if t.keeper == COUNTER:
            self.held[number] = t
            return [self.call(c, t.r.units, number, now)]
        self.held[number % 65535 + 1] = t
        self.post(t.keeper, (ASK, c.index, c.hash, t.r.units, c.asked, number % 65535 + 1))
        c.asked = 0.0
        return []

    def call(self, c: Customer, units: float, number: int, now: float) -> i.Count:
        epoch = now // EPOCH_MS
        name = c.hash * 65536 + int(epoch) % 65536
        amount, c.pending = units + c.pending, 0.0
        self.next_call = now + self.pace
        self.calls.setdefault(name, deque()).append((c, units, amount, number, epoch * EPOCH_MS))
        return i.Count(name, amount, EPOCH_MS)

    def counted(self, e: i.Counted, now: float) -> tuple[Ticket | None, bool | None, list[i.Action]]:
        """The counter's total is what was spent, and what overflowed a full store, since the name began."""
        if not self.calls.get(e.name):
            return None, None, []
        c, units, amount, number, began = self.calls[e.name].popleft()
        if not self.calls[e.name]:
            del self.calls[e.name]
        t, plan, good = self.held.pop(number, None), c.plan, e.result is i.Result.OK
        # A counter that is late or full has too many calls from all gateways: each slows down until it copes.
        self.pace = min(max(self.pace * PACE[not good], CALL_MS[0]), CALL_MS[1])
        if not good:
            if e.result.never_ran:
                c.pending += amount - units
            return t, None, []
        level, more = plan.burst + plan.rate * (now - began) / 1000 - (e.value - units), 0.0
        if level > SURPLUS * plan.burst:  # overflowed by more than is worth a call
            level, more = plan.burst, level - plan.burst
        level = min(level, plan.burst)
        inside = level >= units
        c.store.demand.set((e.value - c.value) * 1000 / max(now - c.told, SYNC_MS), now)
        c.value, c.told = e.value, now
        c.store.level, c.store.at = level - units * inside, now
        if units and (t is None or t.done or not inside):
            more -= units
        if not more:
            return t, inside, []
        self.calls.setdefault(e.name, deque()).append((c, 0.0, more, -1, began))
        return t, inside, [i.Count(e.name, more, EPOCH_MS)]

    def post(self, to: int, entry: tuple) -> None:
        kind, index, key, units, more, number = entry
        entry = (kind, index, key, max(-HALF, min(units, HALF)), min(more, HALF), number)
        self.mail.setdefault(to, []).append(entry)

    def hear(self, source: int, text: str, now: float) -> list[tuple[Ticket, bool]]:
        """Answer what is asked of this keeper; return the held requests that are answered."""
        answered = []
        self.quiet.pop(source, None)
        for kind, index, key, units, more, number in unpack(ENTRY, text):
            if index >= len(self.s.plans) or not (math.isfinite(units) and math.isfinite(more)):
                continue
            plan = self.s.plans[index]
            if kind in (ASK, TOOK):
                store = self.store(key, plan, now)
                store.demand.add(max(0.0, more), now)
                inside = self.fits(store, plan, units)
                if inside or kind == TOOK:
                    store.take(units, now)
                word = (YES if inside else NO, index, key, store.level, store.demand.per_s(now), number)
                self.post(source, word)
            elif kind == DONE and key in self.kept:
                self.kept[key].settle(units, bool(more), plan.burst)
            elif kind in (YES, NO):
                if (c := self.customers.get(key)) is not None:
                    c.told, c.store.level, c.store.at = now, min(units, c.plan.burst), now
                    c.store.demand.set(max(0.0, more), now)
                if number and (t := self.held.pop(number, None)) is not None:
                    answered.append((t, kind == YES))
        return answered

    def flush(self, now: float, all_due: bool) -> list[i.Action]:
        """Send mail as the receivers' limit allows; held requests first, the rest with them or when due."""
        per_ms = self.how.messages_per_s / 1000
        self.tokens = min(MAIL_BURST, self.tokens + (now - self.mailed) * per_ms)
        self.mailed, out = now, []
        for to in list(self.mail):
            urgent = all_due or self.tokens >= MAIL_BURST / 2 or any(e[0] != DONE for e in self.mail[to])
            while to in self.mail and urgent and self.tokens >= 1:
                self.tokens -= 1
                out.append(i.Tell(pack(ENTRY, self.mail[to][:MOST_TOLD]), to))
                self.mail[to] = self.mail[to][MOST_TOLD:]
                if not self.mail[to]:
                    del self.mail[to]
        return out

    def tick(self, now: float) -> list[i.Action]:
        """Tell the keepers what was taken without asking."""
        calls: list[i.Action] = []
        for c in list(self.owing.values()):
            keeper = self.keeper(c, now)
            if keeper == COUNTER and (now - c.told >= SYNC_MS or c.pending > SYNC_PART * c.plan.burst):
                calls.append(self.call(c, 0.0, -1, now))
                del self.owing[c.hash]
            elif keeper is not None and keeper not in (COUNTER, self.s.me):
                self.post(keeper, (TOOK, c.index, c.hash, c.pending, c.asked, 0))
                c.pending = c.asked = 0.0
                del self.owing[c.hash]
        return calls

    def age(self, now: float) -> None:
        if now - self.swept < IDLE_MS / 10:
            return
        self.swept = now
        self.customers = {n: c for n, c in self.customers.items() if now - c.seen < IDLE_MS or c.open}
        self.kept = {k: s for k, s in self.kept.items() if now - s.at < IDLE_MS}
        self.held = {k: t for k, t in self.held.items() if now < t.r.not_after_ms}


class Room:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, s: i.Settings, now: float) -> None:
        self.s, self.classes = s, {c.name: c for c in s.classes}
        self.length = {c.name: c.aim_ms / 4 for c in s.classes}
        self.asked = {c.name: Rate(POPULAR_MS, now) for c in s.classes}
        self.finished, self.mean_units = Rate(FINISH_MS, now), (1 + s.sharing.largest_request) / 2
        self.bad, self.all, self.used, self.sizes = Rate(PRESSED_MS, now), Rate(PRESSED_MS, now), [0.0], [0.0]
        values = [c.worth * p.price / self.length[c.name] for c in s.classes for p in s.plans]
        self.value = sum(values) / len(values)

    def pressed(self, now: float) -> bool:
        return self.bad.total(now) > PRESSED_PART * (5 + self.all.total(now))

    def ask(self, name: str, units: float, now: float) -> None:
        self.asked[name].add(units, now)
        self.mean_units += LENGTH_ALPHA * (units - self.mean_units)

    def observe(self, name: str, e: i.Outcome, units: float, now: float) -> None:
        """Learn lengths, units finished and pressure from an outcome."""
        ok, late = e.result is i.Result.OK, e.spent_ms > self.classes[name].aim_ms
        self.all.add(1, now)
        self.bad.add(e.result in (i.Result.FULL, i.Result.TIMEOUT) or (ok and late), now)
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
        if self.pressed(now):
            room = max(low / 4, self.finished.per_s(now) * aim * AIM_PART)
        else:
            room = max(low, self.finished.per_s(now) * aim * AIM_PART)
            room += SPREAD * math.sqrt(room * self.mean_units)
        self.sizes = [0.0] * ranges
        for n, f in f2.items():
            self.sizes[self.range_of(n)] += f / whole * room
        self.used += [0.0] * (ranges - len(self.used))

    def draw(self, name: str, units: float, price: float, now: float) -> list[tuple[int, float]] | None:
        """Room from the request's own range, then the shorter ones; not pressed: from any."""
        top, grant, left = min(self.range_of(name), len(self.sizes) - 1), [], units
        for k in [*range(top, -1, -1), *([] if self.pressed(now) else range(top + 1, len(self.sizes)))]:
            grant.append((k, min(left, max(0.0, self.sizes[k] - self.used[k]))))
            left -= grant[-1][1]
        # Length stands for profit in the paper; here worth does too, so cheap work leaves room for dear work.
        value = self.classes[name].worth * price / self.length[name]
        self.value += VALUE_ALPHA * (value - self.value)
        keep = KEEP_PART * max(0.0, 1 - value / self.value)
        if sum(self.used) > 1e-6 and (left > 1e-9 or sum(self.sizes) * (1 - keep) - sum(self.used) < units):
            return None
        grant.append((top, left))  # an idle gateway takes a request larger than all its room
        for k, part in grant:
            self.used[k] += part
        return grant

    def give_back(self, grant: list[tuple[int, float]]) -> None:
        for k, part in grant:
            self.used[k] = max(0.0, self.used[k] - part)


class Fleet:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.zone, self.rules, self.rng = settings.zone, settings.rules, rng
        self.cross = 1 + CROSS * settings.prices.get("crossZone", 0.0)
        self.sized = settings.weights in ("nominal", "rough")  # a live weight tells load, and late
        self.sent = Rate(max(1.0, self.rules.fall_ms), now)
        self.others = 1 - 1 / settings.gateways
        self.servers, self.groups = dict[str, Backend](), dict[tuple[str, str], Health]()
        self.whole = Health(HEALTH_MS, now)

    def update(self, event: i.Members, now: float) -> None:
        new = {} if event.scope in (i.Scope.FULL, i.Scope.CACHED) else dict(self.servers)
        for e in event.servers:
            b = self.servers.get(e.address)
            if b is None or b.entry.online_since_ms != e.online_since_ms:  # started anew
                alike = [self.groups.setdefault(g, Health(HEALTH_MS, now)) for g in (("", e.zone), ("kind", e.kind))]
                weight = max(e.weight, 0.01) if self.sized else 1.0
                b = Backend(e, weight, [Health(HEALTH_MS, now), *alike])
            new[e.address], b.entry = b, e
        self.servers = {a: b for a, b in new.items() if b.entry.state is not i.State.GONE}

    def ready(self) -> list[Backend]:
        return [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warmth(self, b: Backend, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        done = min(1.0, max(0.0, now - since) / r.cold_ms) if since and r.cold_ms else 1.0
        return r.cold_share + (1 - r.cold_share) * done

    def fails(self, b: Backend, least: float, now: float) -> bool:
        """Whether a server, its zone or its kind fails, and more than all together: then it is not pressure."""
        return any(h.fail(now) >= max(least, STANDS_OUT * self.whole.fail(now)) for h in b.health)

    def silent(self, b: Backend, length: float, now: float) -> bool:
        return b.answered < b.oldest(now) < now - SUSPECT * length * max(1.0, b.slow)

    def choose(self, now: float, length: float, allowed, avoid: set[str]) -> Backend | None:
        """The least loaded for its size and speed among servers sampled.

        Attempts of other gateways are noise that grows with their number: gateways must not herd."""
        ready, since, best, cost = self.ready(), now - self.rules.fall_ms, None, math.inf
        sample = self.rng.sample(ready, min(SAMPLE, len(ready)))
        able = sum(b.weight * self.warmth(b, now) for b in sample) * len(ready) / max(1, len(sample))
        fair = (self.sent.total(now) + 1) / max(1e-9, able)  # attempts in the fall window per able weight
        out = [b for b in sample if self.fails(b, FAIL_OUT, now) or self.silent(b, length, now)]
        if len(out) > EJECT_MOST * len(sample):
            out = []  # most look bad: not a matter of single servers
        for b in sample:
            able = self.warmth(b, now) * b.weight
            # Slow start: a cold server gets its warmth's part of what warm ones of its size get from all.
            cold = able < b.weight and b.recent(since) + self.rng.random() > able * fair
            if cold or not allowed(b.entry):
                continue
            others = self.others * self.rng.expovariate(1.0) + 1 - self.others
            here = b.slow * b.health[-1].slow * (len(b.out) + others) / able
            here *= 1 if b.entry.zone == self.zone else self.cross
            here += 1e6 * (b in out) + 1e3 * (b.entry.address in avoid)
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
        for h in (*b.health, self.whole):
            h.note(e.result not in (i.Result.OK, i.Result.FULL), now)
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
        self.flushing = False

    def start(self) -> list[i.Action]:
        return [i.SetTimer(0, TELL_MS), *([i.Watch()] if self.s.ask_discovery else [])]

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]:
        self.now = now_ms
        actions = self.react(event)
        if self.quota.mail:
            actions = [*actions, *self.quota.flush(now_ms, isinstance(event, i.Timer))]
            if self.quota.mail and not self.flushing:
                self.flushing = True
                actions.append(i.SetTimer(1, FLUSH_MS))
        return actions

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
                t, inside, more = self.quota.counted(event, self.now)
                if t is None:
                    return more
                return [*(self.unheard(t) if inside is None else self.decide(t, inside)), *more]
            case i.Members():
                self.fleet.update(event, self.now)
                self.room.partition(len(self.fleet.ready()), self.now)
                return [i.SetTimer(2, WATCH_MS)] * (event.scope is i.Scope.FAILED and self.s.ask_discovery)
            case i.Gone() | i.FirstByte() if event.id in self.tickets:
                self.end(self.tickets[event.id])
        return []

    def timer(self, ref: int) -> list[i.Action]:
        if ref == 1:
            self.flushing = False
            return []
        if ref:
            return self.check(*self.checks.pop(ref)) if ref > 2 else [i.Watch()]
        self.room.partition(len(self.fleet.ready()), self.now)
        self.quota.age(self.now)
        return [*self.quota.tick(self.now), i.SetTimer(0, TELL_MS)]

    def check(self, rid: str, n: int) -> list[i.Action]:
        """Take back an attempt whose server answered nothing since; ask again for a request still held."""
        t = self.tickets.get(rid)
        if t is None or t.done:
            return []
        if n < 0:
            return self.unanswered(t) if t.asks == -n else []
        if n not in t.out:
            return []
        b = self.fleet.servers.get(t.sends[n][0].address)
        silent = b is None or (b.answered < t.sends[n][1] and not self.room.pressed(self.now))
        return [i.Cancel(rid, n)] if silent else []

    def unanswered(self, t: Ticket) -> list[i.Action]:
        if t.asks > 1 and t.keeper is not None:
            self.quota.quiet[t.keeper] = self.now + SILENT_MS
        if t.asks < ASK_MOST and self.quota.keeper(t.c, self.now) is not None:
            return self.hold(t)
        return self.unheard(t)

    def unheard(self, t: Ticket) -> list[i.Action]:
        """No keeper answers: by the even part."""
        inside = self.quota.even(t.c)
        if inside:
            self.quota.take(t, self.now)
        return self.decide(t, inside)

    def hold(self, t: Ticket) -> list[i.Action]:
        """Hold a request for the keeper's word."""
        if self.quota.keeper(t.c, self.now) == self.s.me:  # the first keeper went silent, this is the second
            inside = self.quota.fits(self.quota.store(t.c.hash, t.c.plan, self.now), t.c.plan, t.r.units)
            if inside:
                self.quota.take(t, self.now)
            return self.decide(t, inside)
        t.asks += 1
        self.serial += 1
        actions = self.quota.hold(t, self.serial, self.now)
        if t.keeper == COUNTER:
            return actions
        self.checks[self.serial] = (t.r.id, -t.asks)
        return [*actions, i.SetTimer(self.serial, ASK_MS)]

    def decide(self, t: Ticket, inside: bool) -> list[i.Action]:
        """Send a request on or refuse it, its quota known."""
        if t.done or t.sends:  # gone, or answered twice
            if inside:
                self.quota.settle(t, -t.r.units, True, self.now)
            return []
        t.asks, t.inside = 0, inside
        server = self.fleet.choose(self.now, self.room.length[t.r.cls], lambda e: True, set())
        if server is None or not (inside or self.soft(t.c)) or self.quota.capped(t.c, t.r.units):
            if inside:
                self.quota.settle(t, -t.r.units, True, self.now)
            self.end(t)
            return [self.refuse(t.r, self.quota.wait(t.c.store, t.c.plan, t.r.units, self.now))]
        t.c.ceiling -= t.r.units
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        return self.send(t, server)

    def soft(self, c: Customer) -> bool:
        """Whether work beyond the quota passes: it earns more than it costs, and takes no inside place."""
        free = not self.room.pressed(self.now) and sum(self.room.used) < SOFT_PART * sum(self.room.sizes)
        return free and c.plan.over_worth > c.plan.over_cost and not c.plan.open_limit

    def refuse(self, r: i.Request, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(r.id, min(wait, self.s.limits.max_retry_after_ms) * self.s.limits.retry_after)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.room.classes.get(r.cls), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refuse(r)]
        self.room.ask(r.cls, r.units, now)
        inside, wait = self.quota.view(c, r.units, now)
        if self.quota.capped(c, r.units) or (inside is False and not self.soft(c)):
            return [self.refuse(r, wait)]
        if (grant := self.room.draw(r.cls, r.units, c.plan.price, now)) is None:
            return [self.refuse(r)]
        t = self.tickets[r.id] = Ticket(r, cls, c, grant)
        if inside is None and now + (ASK_MOST + 1) * ASK_MS < r.not_after_ms:
            return self.hold(t)
        if inside is None:
            return self.unheard(t)
        if inside:
            self.quota.take(t, now)
        return self.decide(t, inside)

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
            self.quota.settle(t, e.cost - t.r.units, False, now)
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
        bound = t.ran is not None and t.cls.effect is i.Effect.KEYED and t.cls.group is not i.Group.ALL
        where = attrgetter("zone" if t.cls.group is i.Group.ZONE else "cell")
        return not bound or where(e) == where(t.ran[0])

    def end(self, t: Ticket) -> None:
        t.done = True
        if not t.out and self.tickets.pop(t.r.id, None) is not None:
            self.room.give_back(t.grant)
            if t.inside:
                self.quota.settle(t, 0.0, True, self.now)
