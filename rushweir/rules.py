"""Every decision of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and demand-share quotas.
Types, settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons."""

import math
import random
from operator import attrgetter

from rushweir import interface as i
from rushweir.state import Backend, Customer, Heard, Rate, Ticket, read_news, write_news

# Quota
DEMAND_MS = 3000.0  # memory of a customer's demand: a few requests, yet follows a shift in seconds
TELL_MS = 100.0  # news of spending older than a request's time is worth little; batched to save messages
SILENT_MS = 1500.0  # a peer or counter unheard for this long is presumed gone, not just a lost message or two
SYNC_MS = 250.0  # least time between two counter calls for one customer: bounds price and calls a second
SYNC_PART, SYNC_BELOW = 1 / 8, 0.5  # of the burst: so much spent, or so low a store, calls at once
CALL_MS = 2.0, 100.0  # least and most time between two calls of a gateway, by how the counter copes:
PACE = 0.85, 1.5  # ... each good answer makes it shorter, each late or full one longer
EPOCH_MS = 20000.0  # a counter name's life: bounds the drift of additions that may or may not have counted
ASKED = 10000  # a counter value is units spent x this + units asked for: seven digits hold both
IDLE_MS = 30000.0  # customers idle this long are forgotten
TOLD_MOST = 20  # customers in a message: what 256 bytes hold
# Room
START_ATTEMPTS = 8.0  # per ready server, of all gateways: what a small one takes without queueing long
AIM_PART = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
FINISH_MS = 4000.0  # window of units finished: longer than a request, shorter than a trouble
POPULAR_MS = 15000.0  # window of popularity
PRIOR = 2.0  # units added to each class's popularity: noise from few requests is smoothed
PRESSED_MS = 2000.0  # how long a sign of pressure counts
PRESSED_PART = 0.1  # of outcomes and 5 good ones: less is single servers or chance
KEEP_PART = 0.5  # of the room, kept from worthless work for work of the mean worth per room and time
SOFT_PART = 0.35  # of the room: beyond-quota work must not be what makes inside work wait
# Fleet
LENGTH_ALPHA, SLOW_ALPHA, VALUE_ALPHA = 0.05, 0.1, 0.02  # weight of one sample in each running mean
FAIL_ALPHA = 0.2  # three failures in a row stand out, one does not
FAIL_OUT = 0.4  # failing part at which a server is ejected, if it also stands out from the others
EJECT_MS = 2000.0  # first ejection; doubles up to 8 times that
EJECT_MOST = 0.6  # of the fleet, one zone of two and some more: beyond, it is pressure or a common cause
SUSPECT = 5.0  # oldest unanswered attempt older than this many usual times: perhaps silent
CROSS = 10.0  # times the price of crossing zones: how much busier a server in the own zone may be
WATCH_MS = 1000.0  # a subscription to the list that failed is asked for again
# Attempts
RETRY_PART, RETRY_MOST = 0.15, 10.0  # retry budget per request taken, and at most: no retry storm
LIMIT_AIM, LIMIT_TIMES = 0.4, 4.0  # of the aim, and of usual times: then a silent server loses an attempt


class Quota:
    """Demand-share token buckets: a customer's store is followed whole, the peers' share set aside."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.s, self.how, self.began, self.run = settings, settings.sharing, now, rng.randbytes(2)
        self.plans, self.customers = {p.name: p for p in settings.plans}, dict[str, Customer]()
        self.by_hash, self.calls, self.dirty = (dict[int, Customer]() for _ in range(3))
        self.told, self.last_heard = dict[int, dict[int, Heard]](), dict[int, float]()
        self.counter_at, self.pace, self.next_call, self.swept = now, CALL_MS[0], now, now

    def customer(self, r: i.Request, now: float) -> Customer | None:
        c = self.customers.get(r.customer)
        if c is None and (plan := self.plans.get(r.plan)) is not None:
            c = Customer(r, plan, self.s, DEMAND_MS, now)
            c.ceiling_at = self.began  # only the own part is spent; what a predecessor left of it is unknown
            c.level *= min((h.level for h in self.told.get(c.hash, {}).values()), default=1.0)
            self.customers[r.customer] = self.by_hash[c.hash] = c
        return c

    def live(self, c: Customer, now: float) -> list[int]:
        """The customer's other gateways that are being heard, by message or through the counter."""
        if self.how.peers:
            return [p for p in c.peers if now - self.last_heard.get(p, -SILENT_MS) < SILENT_MS]
        return c.peers if self.how.counter and now - self.counter_at < SILENT_MS else []

    def ask(self, c: Customer, units: float, now: float) -> tuple[bool, float]:
        """Whether a try is inside the quota, and if not, when the store should hold it (ms from now)."""
        c.refill(now)
        c.demand.add(units, now)
        c.new, c.seen = (c.new[0], c.new[1] + units), now
        self.mark(c)
        live, own, plan = self.live(c, now), c.demand.per_s(now), c.plan
        heard = [h for p in live if (h := self.told.get(c.hash, {}).get(p))]
        others = c.others.per_s(now) + sum(h.demand * math.exp((h.at - now) / DEMAND_MS) for h in heard)
        ages = [now - self.last_heard[p] for p in live] if self.how.peers else [now - c.synced]
        inside, wait, unheard = True, 0.0, len(c.peers) - len(live)
        if plan.rate:
            # Unheard gateways keep their even part. Heard ones keep their share of demand, but no more than
            # they can ask for before more is heard: a store nobody else draws on is not held back.
            rest = c.level * (1 - unheard / c.doors)
            soon = others * (TELL_MS + max(ages, default=0.0)) / 1000
            free = rest - max(0.0, min(rest * others / (own + others + 1e-9), soon))
            inside = free >= units
            wait = max(0.0, units - free) * 1000 / plan.rate * (1 + others / (own + 1e-9))
        if plan.open_limit:
            out = c.open * (1 + unheard) + sum(h.open for h in heard if now - h.at < SILENT_MS)
            inside = inside and out < plan.open_limit
        return inside, wait

    def take(self, c: Customer, units: float, now: float) -> None:
        """Take units (or give back, below 0); gateways that are not heard are presumed to spend alike."""
        c.level = min(c.plan.burst, c.level - units * c.doors / (1 + len(self.live(c, now))))
        c.spent += round(units)
        c.new = (c.new[0] + units, c.new[1])
        self.mark(c)

    def mark(self, c: Customer) -> None:
        if c.peers:
            self.dirty[c.hash] = c

    def tell(self, now: float) -> list[i.Action]:
        """Messages about customers with news, to those peers that have the customer too."""
        told: dict[int, list[Customer]] = {p: [] for p in range(self.s.gateways) if p != self.s.me}
        for c in list(self.dirty.values()):
            if all(len(told[p]) < TOLD_MOST for p in c.peers):
                del self.dirty[c.hash]
                c.refill(now)
                for p in c.peers:
                    told[p].append(c)
        return [i.Tell(write_news(self.run, news, now), p) for p, news in told.items()]

    def hear(self, source: int, text: str, now: float) -> None:
        if (news := read_news(text)) is None:  # not ours, or damaged
            return
        self.last_heard[source] = now
        for key, spent, demand, out, level in news[1]:
            h = self.told.setdefault(key, {}).setdefault(source, Heard())
            if (c := self.by_hash.get(key)) is not None:
                # A new run is a restarted peer, which counts from 0; a total below the last one came late.
                step = (spent - h.spent * (h.run == news[0])) % 65536
                c.refill(now)
                left = c.level - (step if step < 32768 else step - 65536)
                c.level = left if h.run else min(c.level, level * c.plan.burst)  # first told: as it sees it
            h.run, h.spent, h.demand, h.open, h.level, h.at = news[0], spent, demand, out, level, now

    def count(self, c: Customer, now: float, due: bool) -> list[i.Action]:
        """Tell the counter of several requests at once; learn what the others spent and were asked for."""
        due = due or c.new[0] >= c.plan.burst * SYNC_PART or c.level < c.plan.burst * SYNC_BELOW
        early = c.call or now - c.synced < SYNC_MS or now < self.next_call
        if early or not (c.peers and c.plan.rate and due):
            return []
        self.next_call = now + self.pace
        if c.epoch != now // EPOCH_MS:
            c.epoch, c.added, c.theirs = now // EPOCH_MS, 0, 0
        name = c.hash * 65536 + int(c.epoch) % 65536
        c.call, c.new, self.calls[name] = c.new, (0.0, 0.0), c
        return [i.Count(name, round(c.call[0]) * ASKED + round(c.call[1]), 2 * EPOCH_MS)]

    def counted(self, e: i.Counted, now: float) -> None:
        if (c := self.calls.pop(e.name, None)) is None:
            return
        (spent, asked), c.call = c.call or (0.0, 0.0), None
        # A counter that is late or full has too many calls from all gateways: each slows down until it copes.
        self.pace = min(max(self.pace * PACE[e.result is not i.Result.OK], CALL_MS[0]), CALL_MS[1])
        if e.result is not i.Result.OK:
            if e.result.never_ran:  # surely not added; after a time-out it may have been
                c.new = (c.new[0] + spent, c.new[1] + asked)
            return
        self.counter_at = c.synced = now
        c.added += round(spent) * ASKED + round(asked)
        if e.value - c.added < c.theirs:  # the counter came back empty: nothing learned, nothing handed out
            c.added, c.theirs = e.value, 0
            return
        new_spent, new_asked = divmod(round(e.value - c.added - c.theirs), ASKED)
        c.theirs = e.value - c.added
        c.refill(now)
        c.level -= new_spent
        c.others.add(new_asked, now)

    def tick(self, now: float) -> list[i.Action]:
        if self.how.peers:
            return self.tell(now)
        late = [c for c in self.dirty.values() if now - c.synced >= 4 * SYNC_MS]
        self.dirty = {c.hash: c for c in self.dirty.values() if now - c.synced < 4 * SYNC_MS}
        return [a for c in late for a in self.count(c, now, True)] if self.how.counter else []

    def age(self, now: float) -> None:
        if now - self.swept < IDLE_MS / 10:
            return
        self.swept = now
        self.customers = {n: c for n, c in self.customers.items() if now - c.seen < IDLE_MS or c.open}
        self.by_hash = {c.hash: c for c in self.customers.values()}
        self.told = {k: t for k, t in self.told.items() if any(now - h.at < IDLE_MS for h in t.values())}


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
        # Never below what keeps the largest request small against a part, nor below an attempt a server.
        low = START_ATTEMPTS * self.mean_units * max(1, ready) / self.s.gateways / (1 + 3 * self.pressed(now))
        room = max(low, ranges * self.s.sharing.largest_request, self.finished.per_s(now) * aim * AIM_PART)
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

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        self.zone, self.rules, self.rng = settings.zone, settings.rules, rng
        self.cross = 1 + CROSS * settings.prices.get("crossZone", 0.0)
        self.sized = settings.weights in ("nominal", "rough")  # a live weight tells load, and late
        self.servers: dict[str, Backend] = {}

    def update(self, event: i.Members) -> None:
        new = {} if event.scope in (i.Scope.FULL, i.Scope.CACHED) else dict(self.servers)
        for e in event.servers:
            b = self.servers.get(e.address)
            if b is None or b.entry.online_since_ms != e.online_since_ms:  # started anew
                b = Backend(e, self.sized, EJECT_MS)
            new[e.address], b.entry = b, e
        self.servers = {a: b for a, b in new.items() if b.entry.state is not i.State.GONE}

    def ready(self) -> list[Backend]:
        return [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warmth(self, b: Backend, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        done = min(1.0, max(0.0, now - since) / r.cold_ms) if since and r.cold_ms else 1.0
        return r.cold_share + (1 - r.cold_share) * done

    def silent(self, b: Backend, length: float, now: float) -> bool:
        return b.answered < b.oldest(now) < now - SUSPECT * length * max(1.0, b.slow)

    def choose(self, now: float, length: float, allowed, avoid: set[str]) -> Backend | None:
        ready, since = self.ready(), now - self.rules.fall_ms
        warm = [b for b in ready if self.warmth(b, now) >= 1]
        rate = sum(b.recent(since) for b in warm) / max(1e-9, sum(b.weight for b in warm))
        out = [b for b in ready if now < b.out_until or self.silent(b, length, now)]
        if len(out) > EJECT_MOST * len(ready):
            out = []  # most look bad: not a matter of single servers
        best, cost = None, math.inf
        for b in ready:
            f, w = self.warmth(b, now), b.weight
            # Slow start: a cold server gets its warmth's part of what warm ones of its size get here.
            if not allowed(b.entry) or (f < 1 and b.recent(since) + 1 > max(1.0, f * w * rate)):
                continue
            here = b.slow * (len(b.out) + 1) / (w * f) * (1 if b.entry.zone == self.zone else self.cross)
            here *= 1 + self.rng.random() / 20  # gateways that see the same must not herd
            trial = b.fail >= FAIL_OUT / 2 and b.eject_ms > EJECT_MS and b.out  # was out: one at a time
            here += 1e6 * bool(b in out or trial) + 1e3 * (b.entry.address in avoid)
            if here < cost:
                best, cost = b, here
        return best

    def done(self, e: i.Outcome, usual: float, now: float) -> bool:
        """Note an outcome; returns whether the server's trouble is its own rather than pressure."""
        b = self.servers.get(e.server)
        if b is None or b.out.pop((e.id, e.attempt), None) is None or e.result is i.Result.MOOT:
            return True
        if e.result in (i.Result.OK, i.Result.ERROR, i.Result.FULL):
            b.answered = now
        if e.result is i.Result.OK:
            b.slow += SLOW_ALPHA * (min(e.spent_ms / usual, 10.0) - b.slow)
        failed = e.result not in (i.Result.OK, i.Result.FULL)
        b.fail += FAIL_ALPHA * (failed - b.fail)
        mean = sum(x.fail for x in self.servers.values()) / len(self.servers)
        if failed and now >= b.out_until and b.fail > max(FAIL_OUT, 2 * mean):
            b.out_until, b.eject_ms, b.fail = now + b.eject_ms, min(2 * b.eject_ms, 8 * EJECT_MS), FAIL_OUT
        elif not failed and b.fail < FAIL_OUT / 2:
            b.eject_ms = EJECT_MS
        return b.fail >= FAIL_OUT / 2 and b.fail > 2 * mean


class Policy:
    """One gateway's decisions; see interface.py for the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not (settings.classes and settings.plans and 0 <= settings.me < settings.gateways):
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.s, self.now, self.retries = settings, now_ms, RETRY_MOST
        self.quota, self.room = Quota(settings, rng, now_ms), Room(settings, now_ms)
        self.fleet, self.tickets = Fleet(settings, rng), dict[str, Ticket]()
        self.checks, self.serial = dict[int, tuple[str, int]](), 1  # timers of attempts that may meet silence
        share = settings.sharing.messages_per_s / max(1, settings.gateways - 1)
        self.tick_ms = max(TELL_MS, 2000 / share if share else TELL_MS)

    def start(self) -> list[i.Action]:
        return [i.SetTimer(0, self.tick_ms), *([i.Watch()] if self.s.ask_discovery else [])]

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]:
        self.now = now_ms
        match event:
            case i.Request():
                return self.request(event)
            case i.Outcome():
                return self.outcome(event)
            case i.Timer():
                return self.timer(event.ref)
            case i.PeerMessage():
                self.quota.hear(event.source, event.text, now_ms)
            case i.Counted():
                self.quota.counted(event, now_ms)
            case i.Members():
                self.fleet.update(event)
                self.room.partition(len(self.fleet.ready()), now_ms)
                return [i.SetTimer(1, WATCH_MS)] * (event.scope is i.Scope.FAILED and self.s.ask_discovery)
            case i.Gone() | i.FirstByte() if event.id in self.tickets:
                self.end(self.tickets[event.id])
        return []

    def timer(self, ref: int) -> list[i.Action]:
        if ref:
            return self.check(*self.checks.pop(ref)) if ref > 1 else [i.Watch()]
        self.room.partition(len(self.fleet.ready()), self.now)
        self.quota.age(self.now)
        return [*self.quota.tick(self.now), i.SetTimer(0, self.tick_ms)]

    def check(self, rid: str, n: int) -> list[i.Action]:
        """Take back an attempt whose server answered nothing since; one that is only slow is left alone."""
        t = self.tickets.get(rid)
        if t is None or t.done or n not in t.out:
            return []
        b = self.fleet.servers.get(t.sends[n][0].address)
        return [i.Cancel(rid, n)] if b is None or b.answered < t.sends[n][1] else []

    def refuse(self, r: i.Request, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(r.id, min(wait, self.s.limits.max_retry_after_ms) * self.s.limits.retry_after)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.room.classes.get(r.cls), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refuse(r)]
        self.room.ask(r.cls, r.units, now)
        inside, wait = self.quota.ask(c, r.units, now)
        news = self.quota.count(c, now, False) if self.s.sharing.counter else []
        free = not self.room.pressed(now) and sum(self.room.used) < SOFT_PART * sum(self.room.sizes)
        soft = free and c.plan.over_worth > c.plan.over_cost
        if (c.plan.ceiling_rate and c.ceiling < r.units) or not (inside or soft):
            return [self.refuse(r, wait), *news]
        server = self.fleet.choose(now, self.room.length[r.cls], lambda e: True, set())
        if server is None or (grant := self.room.draw(r.cls, r.units, c.plan.price, now)) is None:
            return [self.refuse(r), *news]
        c.ceiling -= r.units
        if inside:
            self.quota.take(c, r.units, now)
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        self.tickets[r.id] = Ticket(r, cls, c, inside, grant)
        return [*self.send(self.tickets[r.id], server), *news]

    def send(self, t: Ticket, b: Backend) -> list[i.Action]:
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
        self.quota.mark(t.c)
        if not self.fleet.done(e, self.room.length[t.r.cls], now):
            self.room.observe(t.r.cls, e, t.r.units, now)
        if not e.result.never_ran and t.ran is None:
            t.ran = t.sends[e.attempt]
        if e.cost and t.inside:
            self.quota.take(t.c, e.cost - t.r.units, now)
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
        if not t.out:
            self.room.give_back(t.grant)
            self.tickets.pop(t.r.id, None)
