"""Every decision of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and demand-share quotas.

Types, settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons.
"""

from __future__ import annotations

import math
import random
from collections import deque
from zlib import crc32

from rushweir import interface as i

# Quota
DEMAND_MS = 3000.0  # memory of a customer's demand: a few requests, yet follows a shift in seconds
TELL_MS = 100.0  # news of spending is worth little when older than a request takes; batched to save messages
TELL_TWICE = 2  # one told entry in twelve is lost; a second telling makes that one in a hundred
SILENT_MS = 1500.0  # a peer or counter unheard for this long is presumed gone, not just a lost message or two
SYNC_MS = 250.0  # least time between two counter calls for one customer: bounds price and calls a second
SYNC_PART = 1 / 8  # of the burst: spending a counter should hear of at once
EPOCH_MS = 20000.0  # a counter name's life: bounds the drift of additions that may or may not have counted
IDLE_MS = 30000.0  # customers idle this long are forgotten
# Room
START_ATTEMPTS = 4.0  # per ready server and gateway: what a small server takes without queueing for long
FINISH_MS = 4000.0  # window of units finished: longer than a request, shorter than a trouble
POPULAR_MS = 15000.0  # window of popularity; noise from few requests is smoothed by the prior of two requests
PRESSED_MS = 2000.0  # how long a sign of pressure counts
PRESSED_PART = 0.1  # of outcomes: more is pressure, less is single servers or chance
SOFT_PART = 0.35  # of the room: beyond-quota work must not be what makes inside work wait
# Fleet
SLOW_ALPHA = 0.1  # weight of one answer in a server's relative time
FAIL_ALPHA = 0.2  # three failures in a row stand out, one does not
FAIL_OUT = 0.4  # failing part at which a server is ejected, if it also stands out from the others
EJECT_MS = 2000.0  # first ejection; doubles up to 8 times that
EJECT_MOST = 1 / 3  # of the fleet: if more look bad, it is pressure or a common cause
SUSPECT = 5.0  # oldest unanswered attempt older than this many usual times: perhaps silent
# Attempts
RETRY_PART = 0.15  # retry budget per request taken: no retry storm when everything fails
RETRY_MOST = 10.0
LIMIT_AIM = 0.5  # a repeatable attempt is given up at this part of the aim, so the next can meet it
LIMIT_TIMES = 4.0  # ... but not before this many usual times
CODE = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz!#$%&()*+-;<=>?@^_`{|}~"
ENTRY = 11  # characters told about one customer


def pack(number: int, width: int) -> str:
    out = ""
    for _ in range(width):
        number, digit = divmod(number, 85)
        out = CODE[digit] + out
    return out


def unpack(text: str) -> int:
    number = 0
    for char in text:
        number = number * 85 + CODE.index(char)
    return number


class Rate:
    """Amount per second, forgotten exponentially."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float, now: float) -> None:
        self.sum, self.memory, self.at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.sum = self.total(now) + amount
        self.at = now

    def total(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / self.memory)

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory


class Heard:
    """What one peer last told of one customer."""

    __slots__ = ("at", "demand", "level", "open", "run", "spent")

    def __init__(self) -> None:
        self.run, self.spent, self.demand, self.open, self.level, self.at = "", 0, 0.0, 0, 1.0, 0.0


class Customer:
    """One customer's store as seen from here: own spending and what was heard of the others'."""

    def __init__(self, request: i.Request, plan: i.Plan, me: int, gateways: int, now: float) -> None:
        self.plan, self.hash = plan, crc32(request.customer.encode())
        self.level, self.at, self.seen = plan.burst, now, now
        doors = {(request.first + k) % gateways for k in range(request.spread)}
        self.peers, self.doors = sorted(doors - {me}), max(1, len(doors))
        self.demand, self.others = Rate(DEMAND_MS, now), Rate(DEMAND_MS, now)
        self.spent = self.open = self.tells = 0
        self.ceiling, self.ceiling_at = 0.0, now
        self.epoch, self.added, self.theirs, self.new = -1, 0, 0, [0.0, 0.0]
        self.pending: deque[tuple[int, float, float]] = deque()
        self.synced = now


class Quota:
    """Demand-share token buckets: a customer's store is followed whole, the peers' share set aside."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.s, self.how, self.began = settings, settings.sharing, now
        self.run = pack(rng.randrange(7225), 2)
        self.plans = {p.name: p for p in settings.plans}
        self.customers: dict[str, Customer] = {}
        self.told: dict[int, dict[int, Heard]] = {}
        self.by_hash: dict[int, Customer] = {}
        self.by_name: dict[int, Customer] = {}
        self.last_heard: dict[int, float] = {}
        self.counter_ok = now
        self.dirty: dict[int, Customer] = {}

    def customer(self, request: i.Request, now: float) -> Customer | None:
        c = self.customers.get(request.customer)
        if c is None:
            plan = self.plans.get(request.plan)
            if plan is None:
                return None
            c = Customer(request, plan, self.s.me, self.s.gateways, now)
            self.customers[request.customer] = self.by_hash[c.hash] = c
            heard = self.told.get(c.hash, {})
            c.level *= min([h.level for h in heard.values()], default=1.0)
            # Ceiling: only the own part is ever spent, and a predecessor may have spent all that was stored.
            c.ceiling_at = self.began
        c.seen = now
        return c

    def live(self, c: Customer, now: float) -> list[int]:
        if self.how.peers:
            return [p for p in c.peers if now - self.last_heard.get(p, -SILENT_MS) < SILENT_MS]
        return c.peers if self.how.counter and now - self.counter_ok < SILENT_MS else []

    def refill(self, c: Customer, now: float) -> None:
        c.level = min(c.plan.burst, c.level + c.plan.rate * (now - c.at) / 1000)
        c.at = now
        part = c.plan.ceiling_rate / c.doors
        c.ceiling = min(c.plan.ceiling_burst / c.doors, c.ceiling + part * (now - c.ceiling_at) / 1000)
        c.ceiling_at = now

    def ask(self, c: Customer, units: float, now: float) -> tuple[bool, bool, float]:
        """Whether a try fits the ceiling, is inside the quota, and when the store would hold it (ms)."""
        self.refill(c, now)
        c.demand.add(units, now)
        c.new[1] += units
        self.mark(c)
        fits = not c.plan.ceiling_rate or c.ceiling >= units
        live = self.live(c, now)
        own = c.demand.per_s(now)
        heard = [h for p in live if (h := self.told.get(c.hash, {}).get(p))] if self.how.peers else []
        if self.how.peers:
            others = sum(h.demand * math.exp((h.at - now) / DEMAND_MS) for h in heard)
            age = max((now - self.last_heard[p] for p in live), default=0.0) + TELL_MS
        else:
            others, age = c.others.per_s(now), now - c.synced + SYNC_MS * SYNC_PART
        inside, wait = True, 0.0
        if c.plan.rate:
            # Unheard gateways keep their even part. Heard ones keep their share of demand, but no more than
            # they can ask for before more is heard: a store nobody else draws on is not held back.
            rest = c.level * (1 - (len(c.peers) - len(live)) / c.doors)
            free = rest - min(rest * others / (own + others), others * age / 1000) if own else rest
            inside = free >= units
            wait = 0.0 if inside else (units - free) * 1000 / (c.plan.rate * max(own / (own + others), 0.1))
        if c.plan.open_limit:
            out = c.open * (1 + len(c.peers) - len(live))
            out += sum(h.open for h in heard if now - h.at < SILENT_MS)
            inside = inside and out < c.plan.open_limit
        return fits, inside, wait

    def spend(self, c: Customer, units: float, inside: bool, now: float) -> None:
        c.ceiling -= units
        if inside:
            self.take(c, units, now)

    def take(self, c: Customer, units: float, now: float) -> None:
        """Take units (or give back, below 0); gateways that are not heard are presumed to spend alike."""
        c.level = min(c.plan.burst, c.level - units * c.doors / (1 + len(self.live(c, now))))
        c.spent += round(units)
        c.new[0] += units
        self.mark(c)

    def mark(self, c: Customer) -> None:
        if c.peers:
            c.tells = TELL_TWICE
            self.dirty[c.hash] = c

    def tell(self, now: float) -> list[i.Action]:
        """Messages to the peers about customers with news, as many as a receiver takes in from all of us."""
        per_peer: dict[int, str] = {}
        for key, c in list(self.dirty.items()):
            self.refill(c, now)
            demand = round(64 * math.log2(1 + 16 * c.demand.per_s(now)))
            level = round(84 * max(0.0, c.level) / c.plan.burst) if c.plan.burst else 84
            entry = (pack(key, 5) + pack(c.spent % 7225, 2) + pack(min(demand, 7224), 2)
                     + pack(min(c.open, 84), 1) + pack(level, 1))  # fmt: skip
            if any(len(per_peer.get(p, "")) + ENTRY > 254 for p in c.peers):
                continue
            for p in c.peers:
                per_peer[p] = per_peer.get(p, "") + entry
            c.tells -= 1
            del self.dirty[key]
            if c.tells > 0:
                self.dirty[key] = c
        return [i.Tell(self.run + per_peer.get(p, ""), p) for p in range(self.s.gateways) if p != self.s.me]

    def hear(self, source: int, text: str, now: float) -> None:
        self.last_heard[source] = now
        run = text[:2]
        for at in range(2, len(text) - ENTRY + 1, ENTRY):
            try:
                key, spent, demand, out, level = (
                    unpack(text[at + a : at + b]) for a, b in ((0, 5), (5, 7), (7, 9), (9, 10), (10, 11))
                )
            except ValueError:  # not ours, or damaged: the rest cannot be trusted either
                return
            h = self.told.setdefault(key, {}).setdefault(source, Heard())
            c = self.by_hash.get(key)
            if c is not None:
                before = h.spent if h.run == run else (spent if not h.run else 0)
                self.refill(c, now)
                step = (spent - before) % 7225
                c.level -= step if step < 3600 else step - 7225
            h.run, h.spent, h.open, h.level, h.at = run, spent, out, level / 84, now
            h.demand = (2 ** (demand / 64) - 1) / 16

    def call(self, c: Customer, now: float) -> list[i.Action]:
        """Tell the counter of several requests at once and learn what the others spent and were asked for."""
        due = c.new[0] >= c.plan.burst * SYNC_PART or c.level < c.plan.burst / 2
        if not (c.peers and c.plan.rate and not c.pending and due and now - c.synced >= SYNC_MS):
            return []
        epoch = int(now // EPOCH_MS)
        if epoch != c.epoch:
            c.epoch, c.added, c.theirs = epoch, 0, 0
        spent, asked = c.new
        amount = round(spent) * 10000 + min(round(asked), 9999)
        name = c.hash * 65536 + epoch % 65536
        c.pending.append((amount, spent, asked))
        c.new = [0.0, 0.0]
        self.by_name[name] = c
        return [i.Count(name, amount, 2 * EPOCH_MS)]

    def counted(self, event: i.Counted, now: float) -> None:
        c = self.by_name.pop(event.name, None)
        if c is None or not c.pending:
            return
        amount, spent, asked = c.pending.popleft()
        c.synced = now
        if event.result is not i.Result.OK:
            if event.result is not i.Result.TIMEOUT:  # surely not added
                c.new = [c.new[0] + spent, c.new[1] + asked]
            return
        self.counter_ok = now
        c.added += amount
        theirs = event.value - c.added
        if theirs < c.theirs:  # the counter came back empty: nothing learned, nothing handed out
            c.added, c.theirs = amount, event.value - amount
            return
        new_spent, new_asked = divmod(round(theirs - c.theirs), 10000)
        c.theirs = theirs
        self.refill(c, now)
        c.level -= new_spent
        c.others.add(new_asked, now)

    def tick(self, now: float) -> list[i.Action]:
        if self.how.peers:
            return self.tell(now)
        actions: list[i.Action] = []
        if self.how.counter:
            for key, c in list(self.dirty.items()):
                if now - c.synced >= 4 * SYNC_MS:
                    actions += self.call(c, now)
                    del self.dirty[key]
        return actions

    def age(self, now: float) -> None:
        for name, c in list(self.customers.items()):
            if now - c.seen > IDLE_MS and not c.open:
                del self.customers[name]
                self.by_hash.pop(c.hash, None)
        for key, heard in list(self.told.items()):
            if all(now - h.at > IDLE_MS for h in heard.values()):
                del self.told[key]


class Room:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, classes: tuple[i.RequestClass, ...], largest: float, now: float) -> None:
        self.classes, self.largest = {c.name: c for c in classes}, largest
        self.length = {c.name: c.aim_ms / 4 for c in classes}
        self.asked = {c.name: Rate(POPULAR_MS, now) for c in classes}
        self.finished, self.began = Rate(FINISH_MS, now), now
        self.bad, self.all = Rate(PRESSED_MS, now), Rate(PRESSED_MS, now)
        self.used: list[float] = [0.0]
        self.sizes: list[float] = [0.0]

    def pressed(self, now: float) -> bool:
        return self.bad.total(now) > max(2.0, PRESSED_PART * self.all.total(now))

    def observe(self, name: str, result: i.Result, spent: float, units: float, now: float) -> None:
        self.all.add(1, now)
        late = spent > self.classes[name].aim_ms
        if result in (i.Result.FULL, i.Result.TIMEOUT) or (result is i.Result.OK and late):
            self.bad.add(1, now)
        if result is i.Result.OK:
            self.finished.add(units, now)
        if result is i.Result.OK or (result is i.Result.TIMEOUT and late):
            self.length[name] += 0.05 * (spent - self.length[name])

    def range_of(self, name: str) -> int:
        low, high = min(self.length.values()), max(self.length.values())
        ranges = max(1, math.ceil(math.log2(max(high / low, 1.0)) - 1e-9))
        return min(int(math.log2(max(self.length[name] / low, 1.0))), ranges - 1)

    def partition(self, ready: int, now: float) -> None:
        """B and its parts: popularity (units asked, two requests of prior each) times length."""
        f2 = {n: (r.total(now) + 2.0) * self.length[n] for n, r in self.asked.items()}
        ranges = 1 + max(self.range_of(n) for n in f2)
        aim = sum(f2[n] * self.classes[n].aim_ms for n in f2) / sum(f2.values()) / 1000
        # Never below what keeps the largest request small against a part, nor below an attempt a server.
        low = max(ready, ranges * self.largest) if self.pressed(now) else START_ATTEMPTS * max(1, ready)
        room = max(low, self.finished.per_s(now) * aim)
        parts = [0.0] * ranges
        for n, f in f2.items():
            parts[self.range_of(n)] += f / sum(f2.values()) * room
        self.sizes = parts
        self.used += [0.0] * (ranges - len(self.used))

    def soft(self) -> bool:
        return sum(self.used) < SOFT_PART * sum(self.sizes)

    def draw(self, name: str, units: float, now: float) -> list[tuple[int, float]] | None:
        """Room from the request's own range, then the shorter ones; all ranges when not pressed."""
        if sum(self.sizes) - sum(self.used) < units and sum(self.used) > 0:
            return None
        top = min(self.range_of(name), len(self.sizes) - 1)
        order = list(range(top, -1, -1))
        if not self.pressed(now):
            order += range(top + 1, len(self.sizes))
        grant, left = [], units
        for k in order:
            free = min(left, max(0.0, self.sizes[k] - self.used[k]))
            if free > 0:
                grant.append((k, free))
                left -= free
        if left > 1e-9:
            if self.pressed(now) and sum(self.used) > 0:
                return None
            grant.append((order[0], left))
        for k, amount in grant:
            self.used[k] += amount
        return grant

    def give_back(self, grant: list[tuple[int, float]]) -> None:
        for k, amount in grant:
            self.used[k] = max(0.0, self.used[k] - amount)


class Backend:
    """One server as this gateway knows it."""

    def __init__(self, entry: i.Server) -> None:
        self.entry, self.slow, self.fail = entry, 1.0, 0.0
        self.out: dict[tuple[str, int], float] = {}
        self.answered = self.out_until = 0.0
        self.eject_ms = EJECT_MS
        self.sent: deque[float] = deque()


class Fleet:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        self.zone, self.rules, self.rng = settings.zone, settings.rules, rng
        self.cross = 1 + 10 * settings.prices.get("crossZone", 0.0)
        self.sized = settings.weights in ("nominal", "rough")
        self.servers: dict[str, Backend] = {}
        self.usual = 0.0

    def update(self, event: i.Members) -> None:
        if event.scope is i.Scope.FAILED:
            return
        if event.scope is not i.Scope.DELTA:
            named = {e.address for e in event.servers}
            self.servers = {a: b for a, b in self.servers.items() if a in named}
        for e in event.servers:
            old = self.servers.get(e.address)
            if e.state is i.State.GONE:
                self.servers.pop(e.address, None)
            elif old is None or old.entry.online_since_ms != e.online_since_ms:
                self.servers[e.address] = Backend(e)
            else:
                old.entry = e

    def ready(self) -> list[Backend]:
        return [b for b in self.servers.values() if b.entry.state is i.State.READY]

    def warmth(self, b: Backend, now: float) -> float:
        since, r = b.entry.online_since_ms, self.rules
        if not since or not r.cold_ms or now - since >= r.cold_ms:
            return 1.0
        return r.cold_share + (1 - r.cold_share) * max(0.0, now - since) / r.cold_ms

    def weight(self, b: Backend) -> float:
        return max(b.entry.weight, 0.01) if self.sized else 1.0

    def choose(self, now: float, length: float, allowed, avoid: set[str]) -> Backend | None:
        ready = self.ready()
        for b in ready:
            while b.sent and b.sent[0] < now - self.rules.fall_ms:
                b.sent.popleft()
        warm = [b for b in ready if self.warmth(b, now) >= 1]
        rate = sum(len(b.sent) for b in warm) / max(1e-9, sum(self.weight(b) for b in warm))
        out = [b for b in ready if now < b.out_until or self.silent(b, length, now)]
        if len(out) > EJECT_MOST * len(ready):
            out = []  # most look bad: not a matter of single servers
        best, cost = None, math.inf
        for b in ready:
            f, w = self.warmth(b, now), self.weight(b)
            # Slow start: a cold server gets its warmth's part of what warm ones of its size are sent here.
            if f < 1 and len(b.sent) + 1 > max(1.0, f * w * rate):
                continue
            if not allowed(b.entry):
                continue
            here = b.slow * (len(b.out) + 1) / (w * f) * (1 if b.entry.zone == self.zone else self.cross)
            here *= 1 + 0.05 * self.rng.random()
            if b.entry.address in avoid:
                here += 1e3
            if b in out or (b.fail >= FAIL_OUT / 2 and b.eject_ms > EJECT_MS and b.out):
                here += 1e6
            if here < cost:
                best, cost = b, here
        return best

    def silent(self, b: Backend, length: float, now: float) -> bool:
        oldest = next(iter(b.out.values()), now)
        return now - oldest > SUSPECT * length * max(1.0, b.slow) and b.answered < oldest

    def done(self, e: i.Outcome, usual: float, now: float) -> bool:
        """Note an outcome; returns whether the server is one whose troubles are its own."""
        b, result = self.servers.get(e.server), e.result
        if b is None or b.out.pop((e.id, e.attempt), None) is None:
            return True
        if result in (i.Result.MOOT, i.Result.CANCELLED):
            return False
        if result is not i.Result.TIMEOUT and result is not i.Result.CONNECT_FAILED:
            b.answered = now
        if result is i.Result.OK:
            b.slow += SLOW_ALPHA * (min(e.spent_ms / usual, 10.0) - b.slow)
        failed = result in (i.Result.ERROR, i.Result.RESET, i.Result.TIMEOUT, i.Result.CONNECT_FAILED)
        b.fail += FAIL_ALPHA * (failed - b.fail)
        ready = self.ready()
        mean = sum(x.fail for x in ready) / max(1, len(ready))
        if failed and now >= b.out_until and b.fail > max(FAIL_OUT, 2 * mean):
            b.out_until = now + b.eject_ms
            b.eject_ms = min(2 * b.eject_ms, 8 * EJECT_MS)
            b.fail = FAIL_OUT
        elif not failed and b.fail < FAIL_OUT / 2:
            b.eject_ms = EJECT_MS
        return b.fail >= FAIL_OUT / 2 and b.fail > 2 * mean


class Ticket:
    """A request that is owed an answer or has attempts out."""

    def __init__(self, request: i.Request, cls: i.RequestClass, customer: Customer, inside: bool) -> None:
        self.r, self.cls, self.c, self.inside = request, cls, customer, inside
        self.sends: list[tuple[i.Server, float]] = []
        self.out: set[int] = set()
        self.ran: tuple[i.Server, float] | None = None
        self.grant: list[tuple[int, float]] = []
        self.done = False


class Policy:
    """One gateway's decisions; see interface.py for the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not settings.classes or not settings.plans or not 0 <= settings.me < settings.gateways:
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.s, self.now = settings, now_ms
        self.quota = Quota(settings, rng, now_ms)
        self.room = Room(settings.classes, settings.sharing.largest_request, now_ms)
        self.fleet = Fleet(settings, rng)
        self.tickets: dict[str, Ticket] = {}
        self.retries, self.swept = RETRY_MOST, now_ms
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
                return self.tick()
            case i.PeerMessage():
                self.quota.hear(event.source, event.text, now_ms)
            case i.Counted():
                self.quota.counted(event, now_ms)
            case i.Members():
                self.fleet.update(event)
                self.room.partition(len(self.fleet.ready()), now_ms)
                if event.scope is i.Scope.FAILED and self.s.ask_discovery:
                    return [i.SetTimer(1, 1000.0)]
            case i.Gone():
                self.end(self.tickets.get(event.id))
            case i.FirstByte():
                if t := self.tickets.get(event.id):
                    t.done = True
        return []

    def tick(self) -> list[i.Action]:
        self.room.partition(len(self.fleet.ready()), self.now)
        if self.now - self.swept > IDLE_MS / 10:
            self.quota.age(self.now)
            self.swept = self.now
        return [*self.quota.tick(self.now), i.SetTimer(0, self.tick_ms)]

    def refuse(self, request: i.Request, wait: float = 0.0) -> i.Refuse:
        most = self.s.limits.max_retry_after_ms
        return i.Refuse(request.id, min(wait, most) if self.s.limits.retry_after else 0.0)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls = self.now, self.room.classes.get(r.cls)
        c = self.quota.customer(r, now)
        if cls is None or c is None:
            return [self.refuse(r)]
        self.room.asked[r.cls].add(r.units, now)
        fits, inside, wait = self.quota.ask(c, r.units, now)
        soft = c.plan.over_worth > c.plan.over_cost and not self.room.pressed(now) and self.room.soft()
        news = self.quota.call(c, now) if self.s.sharing.counter else []
        if not fits or not (inside or soft):
            return [self.refuse(r, wait), *news]
        t = Ticket(r, cls, c, inside)
        server = self.fleet.choose(now, self.room.length[r.cls], lambda e: True, set())
        grant = self.room.draw(r.cls, r.units, now) if server else None
        if server is None or grant is None:
            return [self.refuse(r), *news]
        t.grant = grant
        self.tickets[r.id] = t
        self.quota.spend(c, r.units, inside, now)
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        return [self.send(t, server), *news]

    def send(self, t: Ticket, b: Backend) -> i.Send:
        n, now, usual = len(t.sends), self.now, self.room.length[t.r.cls] * max(1.0, b.slow)
        t.sends.append((b.entry, now))
        t.out.add(n)
        t.c.open += 1
        b.out[(t.r.id, n)] = now
        b.sent.append(now)
        until = t.r.not_after_ms
        again = t.cls.effect is not i.Effect.UNSAFE and n + 1 < self.s.limits.max_attempts
        limit = max(LIMIT_AIM * t.cls.aim_ms, LIMIT_TIMES * usual)
        if again and not self.room.pressed(now) and now + limit + usual < until:
            until = now + limit
        return i.Send(t.r.id, b.entry.address, until)

    def outcome(self, e: i.Outcome) -> list[i.Action]:
        t, now = self.tickets.get(e.id), self.now
        if t is None or e.attempt not in t.out:
            return []
        t.out.discard(e.attempt)
        t.c.open -= 1
        self.quota.mark(t.c)
        own = self.fleet.done(e, self.room.length[t.r.cls], now)
        if not own:
            self.room.observe(t.r.cls, e.result, e.spent_ms, t.r.units, now)
        if not e.result.never_ran and t.ran is None:
            t.ran = t.sends[e.attempt]
        if e.cost and t.inside:
            self.quota.take(t.c, e.cost - t.r.units, now)
        if e.settled:
            t.done = True
        actions = [] if t.done or t.out else self.again(t)
        if t.done and not t.out:
            self.end(t)
        return actions

    def again(self, t: Ticket) -> list[i.Action]:
        """A further attempt where the class allows it and it can still help, else the final answer."""
        now, cls = self.now, t.cls
        useful = now + self.room.length[t.r.cls] < t.r.not_after_ms
        may = cls.effect is not i.Effect.UNSAFE or t.ran is None
        if cls.effect is i.Effect.KEYED and t.ran is not None:
            may = now < t.ran[1] + cls.window_ms
        if useful and may and len(t.sends) < self.s.limits.max_attempts and self.retries >= 1:
            tried = {s.address for s, _ in t.sends}
            b = self.fleet.choose(now, self.room.length[t.r.cls], lambda e: self.same_group(t, e), tried)
            if b is not None:
                self.retries -= 1
                return [self.send(t, b)]
        t.done = True
        free = t.ran is None or cls.effect is i.Effect.SAFE or (
            cls.effect is i.Effect.KEYED and cls.group is i.Group.ALL)  # fmt: skip
        return [self.refuse(t.r) if free and now < t.r.not_after_ms else i.Fail(t.r.id)]

    def same_group(self, t: Ticket, e: i.Server) -> bool:
        if t.ran is None or t.cls.effect is not i.Effect.KEYED or t.cls.group is i.Group.ALL:
            return True
        ran = t.ran[0]
        return e.zone == ran.zone if t.cls.group is i.Group.ZONE else e.cell == ran.cell

    def end(self, t: Ticket | None) -> None:
        if t is None:
            return
        t.done = True
        if not t.out:
            self.room.give_back(t.grant)
            self.tickets.pop(t.r.id, None)
