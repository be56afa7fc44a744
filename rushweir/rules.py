"""Every decision of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and demand-share quotas.
Types, settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons."""

import math
import random
from base64 import b85decode, b85encode
from collections import deque
from struct import Struct
from struct import error as StructError
from zlib import crc32

from rushweir import interface as i

# Quota
DEMAND_MS = 3000.0  # memory of a customer's demand: a few requests, yet follows a shift in seconds
TELL_MS = 100.0  # news of spending older than a request's time is worth little; batched to save messages
TELL_TWICE = 2  # one told entry in twelve is lost; a second telling makes that one in a hundred
SILENT_MS = 1500.0  # a peer or counter unheard for this long is presumed gone, not just a lost message or two
SYNC_MS = 250.0  # least time between two counter calls for one customer: bounds price and calls a second
SYNC_PART = 1 / 8  # of the burst: spending a counter should hear of at once
CALL_MS = 2.0, 100.0  # least and most time between two calls of a gateway, by how the counter copes
EPOCH_MS = 20000.0  # a counter name's life: bounds the drift of additions that may or may not have counted
ASKED = 10000  # a counter value is units spent x this + units asked for: seven digits hold both
IDLE_MS = 30000.0  # customers idle this long are forgotten
TOLD = Struct(">IHHBB")  # told of one customer: hash, units spent, demand, attempts out, level of the store
TOLD_MOST = 20  # customers in a message: what 256 bytes hold
# Room
START_ATTEMPTS = 8.0  # per ready server, of all gateways: what a small one takes without queueing long
AIM_PART = 0.4  # of the aim to be in flight on average: the slow half and the unevenness need the rest
FINISH_MS = 4000.0  # window of units finished: longer than a request, shorter than a trouble
POPULAR_MS = 15000.0  # window of popularity
PRIOR = 2.0  # units added to each class's popularity: noise from few requests is smoothed
PRESSED_MS = 2000.0  # how long a sign of pressure counts
PRESSED_PART = 0.1  # of outcomes: more is pressure, less is single servers or chance
PRESSED_LEAST = 2.0  # signs: fewer are chance whatever their part
SOFT_PART = 0.35  # of the room: beyond-quota work must not be what makes inside work wait
# Fleet
LENGTH_ALPHA = 0.05  # weight of one answer in its class's length
SLOW_ALPHA = 0.1  # weight of one answer in a server's relative time
FAIL_ALPHA = 0.2  # three failures in a row stand out, one does not
FAIL_OUT = 0.4  # failing part at which a server is ejected, if it also stands out from the others
EJECT_MS = 2000.0  # first ejection; doubles up to 8 times that
EJECT_MOST = 1 / 3  # of the fleet: if more look bad, it is pressure or a common cause
SUSPECT = 5.0  # oldest unanswered attempt older than this many usual times: perhaps silent
CROSS = 10.0  # times the price of crossing zones: how much busier a server in the own zone may be
# Attempts
RETRY_PART = 0.15  # retry budget per request taken: no retry storm when everything fails
RETRY_MOST = 10.0
LIMIT_AIM = 0.4  # a repeatable attempt is moved from a silent server at this part of the aim, ...
LIMIT_TIMES = 4.0  # ... but not before this many usual times: the next one can still meet the aim


class Rate:
    """An amount per second, forgotten exponentially."""

    def __init__(self, memory: float, now: float) -> None:
        self.sum, self.memory, self.at = 0.0, memory, now

    def add(self, amount: float, now: float) -> None:
        self.sum, self.at = self.total(now) + amount, now

    def total(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / self.memory)

    def per_s(self, now: float) -> float:
        return self.total(now) * 1000 / self.memory


class Heard:
    """What one peer last told of one customer."""

    run, spent, demand, open, level, at = b"", 0, 0.0, 0, 1.0, 0.0


class Customer:
    """One customer's store as seen from here: own spending, and what was heard of the others'."""

    def __init__(self, r: i.Request, plan: i.Plan, me: int, gateways: int, began: float, now: float) -> None:
        self.plan, self.hash, self.level, self.at = plan, crc32(r.customer.encode()), plan.burst, now
        doors = {(r.first + k) % gateways for k in range(r.spread)}
        self.peers, self.doors = sorted(doors - {me}), max(1, len(doors))
        self.demand, self.others = Rate(DEMAND_MS, now), Rate(DEMAND_MS, now)
        self.spent = self.open = self.tells = self.ceiling = 0
        # Ceiling: only the own part is spent, and what a predecessor of this gateway left of it is unknown.
        self.ceiling_at, self.synced, self.seen = began, now, now
        self.epoch, self.added, self.theirs, self.new = -1, 0, 0, (0.0, 0.0)
        self.call: tuple[float, float] | None = None

    def refill(self, now: float) -> None:
        plan = self.plan
        self.level = min(plan.burst, self.level + plan.rate * (now - self.at) / 1000)
        most, more = plan.ceiling_burst / self.doors, plan.ceiling_rate / self.doors
        self.ceiling = min(most, self.ceiling + more * (now - self.ceiling_at) / 1000)
        self.at = self.ceiling_at = now


class Quota:
    """Demand-share token buckets: a customer's store is followed whole, the peers' share set aside."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.s, self.how, self.began, self.run = settings, settings.sharing, now, rng.randbytes(2)
        self.plans = {p.name: p for p in settings.plans}
        self.customers: dict[str, Customer] = {}
        self.by_hash: dict[int, Customer] = {}
        self.calls: dict[int, Customer] = {}
        self.dirty: dict[int, Customer] = {}
        self.told: dict[int, dict[int, Heard]] = {}
        self.last_heard: dict[int, float] = {}
        self.counter_at, self.pace, self.next_call = now, CALL_MS[0], now

    def customer(self, r: i.Request, now: float) -> Customer | None:
        c, plan = self.customers.get(r.customer), self.plans.get(r.plan)
        if c is None and plan is not None:
            c = Customer(r, plan, self.s.me, self.s.gateways, self.began, now)
            self.customers[r.customer] = self.by_hash[c.hash] = c
            c.level *= min((h.level for h in self.told.get(c.hash, {}).values()), default=1.0)
        if c is not None:
            c.seen = now
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
        c.new = (c.new[0], c.new[1] + units)
        self.mark(c)
        live, own, plan = self.live(c, now), c.demand.per_s(now), c.plan
        heard = [h for p in live if (h := self.told.get(c.hash, {}).get(p))]
        others = c.others.per_s(now) + sum(h.demand * math.exp((h.at - now) / DEMAND_MS) for h in heard)
        age = SYNC_MS * SYNC_PART + now - c.synced
        if self.how.peers:
            age = TELL_MS + max((now - self.last_heard[p] for p in live), default=0.0)
        inside, wait, unheard = True, 0.0, len(c.peers) - len(live)
        if plan.rate:
            # Unheard gateways keep their even part. Heard ones keep their share of demand, but no more than
            # they can ask for before more is heard: a store nobody else draws on is not held back.
            rest = c.level * (1 - unheard / c.doors)
            free = rest - max(0.0, min(rest * others / (own + others + 1e-9), others * age / 1000))
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
            c.tells, self.dirty[c.hash] = TELL_TWICE, c

    def tell(self, now: float) -> list[i.Action]:
        """Messages about customers with news, to those peers that have the customer too."""
        told: dict[int, list[bytes]] = {p: [self.run] for p in range(self.s.gateways) if p != self.s.me}
        for key, c in list(self.dirty.items()):
            if any(len(told[p]) > TOLD_MOST for p in c.peers):
                continue
            c.refill(now)
            demand = min(round(64 * math.log2(1 + 16 * c.demand.per_s(now))), 65535)
            level = round(255 * max(0.0, c.level) / c.plan.burst) if c.plan.burst else 255
            for p in c.peers:
                told[p].append(TOLD.pack(key, c.spent % 65536, demand, min(c.open, 255), level))
            del self.dirty[key]
            c.tells -= 1
            if c.tells > 0:
                self.dirty[key] = c
        return [i.Tell(b85encode(b"".join(parts)).decode(), p) for p, parts in told.items()]

    def hear(self, source: int, text: str, now: float) -> None:
        try:
            raw = b85decode(text)
            entries = list(TOLD.iter_unpack(raw[2:]))
        except (ValueError, StructError):  # not ours, or damaged
            return
        self.last_heard[source] = now
        for key, spent, demand, out, level in entries:
            h, c = self.told.setdefault(key, {}).setdefault(source, Heard()), self.by_hash.get(key)
            if c is not None:
                # A new run is a restarted peer, which counts from 0; a total below the last one came late.
                before = h.spent if h.run == raw[:2] else 0 if h.run else spent
                step = (spent - before) % 65536
                c.refill(now)
                c.level -= step if step < 32768 else step - 65536
            h.run, h.spent, h.open, h.level, h.at = raw[:2], spent, out, level / 255, now
            h.demand = (2 ** (demand / 64) - 1) / 16

    def count(self, c: Customer, now: float, due: bool) -> list[i.Action]:
        """Tell the counter of several requests at once; learn what the others spent and were asked for."""
        due = due or c.new[0] >= c.plan.burst * SYNC_PART or c.level < c.plan.burst / 2
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
        c = self.calls.pop(e.name, None)
        if c is None or c.call is None:
            return
        (spent, asked), c.call = c.call, None
        # A counter that is late or full has too many calls from all gateways: each slows down until it copes.
        self.pace *= 0.85 if e.result is i.Result.OK else 1.5
        self.pace = min(max(self.pace, CALL_MS[0]), CALL_MS[1])
        if e.result.never_ran:  # surely not added; after a time-out it may have been
            c.new = (c.new[0] + spent, c.new[1] + asked)
        if e.result is not i.Result.OK:
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
        for c in late:
            del self.dirty[c.hash]
        return [a for c in late for a in self.count(c, now, True)] if self.how.counter else []

    def age(self, now: float) -> None:
        for name, c in list(self.customers.items()):
            if now - c.seen > IDLE_MS and not c.open:
                del self.customers[name]
                self.by_hash.pop(c.hash, None)
        self.told = {k: t for k, t in self.told.items() if any(now - h.at < IDLE_MS for h in t.values())}


class Room:
    """B, the room for units in flight, and its ranges by length (paper, 4.3, Figure 3)."""

    def __init__(self, s: i.Settings, now: float) -> None:
        self.classes, self.largest = {c.name: c for c in s.classes}, s.sharing.largest_request
        self.gateways = s.gateways
        self.length = {c.name: c.aim_ms / 4 for c in s.classes}
        self.asked = {c.name: Rate(POPULAR_MS, now) for c in s.classes}
        self.finished, self.mean_units = Rate(FINISH_MS, now), (1 + s.sharing.largest_request) / 2
        self.bad, self.all = Rate(PRESSED_MS, now), Rate(PRESSED_MS, now)
        self.used, self.sizes = [0.0], [0.0]

    def pressed(self, now: float) -> bool:
        return self.bad.total(now) > max(PRESSED_LEAST, PRESSED_PART * self.all.total(now))

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
        low = START_ATTEMPTS * max(1, ready) * self.mean_units / self.gateways
        low /= 4 if self.pressed(now) else 1
        room = max(low, ranges * self.largest, self.finished.per_s(now) * aim * AIM_PART)
        self.sizes = [0.0] * ranges
        for n, f in f2.items():
            self.sizes[self.range_of(n)] += f / whole * room
        self.used += [0.0] * (ranges - len(self.used))

    def soft(self, now: float) -> bool:
        """Whether there is free room for work beyond a quota."""
        return not self.pressed(now) and sum(self.used) < SOFT_PART * sum(self.sizes)

    def draw(self, name: str, units: float, now: float) -> list[tuple[int, float]] | None:
        """Room from the request's own range, then the shorter ones; not pressed: from any."""
        top, ranges, busy = min(self.range_of(name), len(self.sizes) - 1), len(self.sizes), sum(self.used) > 0
        order = [*range(top, -1, -1), *([] if self.pressed(now) else range(top + 1, ranges))]
        grant, left = [], units
        for k in order:
            part = min(left, max(0.0, self.sizes[k] - self.used[k]))
            grant.append((k, part))
            left -= part
        if busy and (left > 1e-9 or sum(self.sizes) - sum(self.used) < units):
            return None
        grant.append((top, max(0.0, left)))  # an idle gateway takes a request larger than all its room
        for k, part in grant:
            self.used[k] += part
        return grant

    def give_back(self, grant: list[tuple[int, float]]) -> None:
        for k, part in grant:
            self.used[k] = max(0.0, self.used[k] - part) if sum(self.used) > 1e-6 else 0.0


class Backend:
    """One server as this gateway knows it."""

    def __init__(self, entry: i.Server) -> None:
        self.entry, self.slow, self.fail, self.eject_ms = entry, 1.0, 0.0, EJECT_MS
        self.answered = self.out_until = 0.0
        self.out: dict[tuple[str, int], float] = {}
        self.sent: deque[float] = deque()

    def silent(self, length: float, now: float) -> bool:
        oldest = next(iter(self.out.values()), now)
        return now - oldest > SUSPECT * length * max(1.0, self.slow) and self.answered < oldest


class Fleet:
    """The list of servers, slow start, health and the choice among them."""

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        self.zone, self.rules, self.rng = settings.zone, settings.rules, rng
        self.cross = 1 + CROSS * settings.prices.get("crossZone", 0.0)
        self.sized = settings.weights in ("nominal", "rough")
        self.servers: dict[str, Backend] = {}

    def update(self, event: i.Members) -> None:
        if event.scope in (i.Scope.FULL, i.Scope.CACHED):
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
        if not since or now - since >= r.cold_ms:
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
        out = [b for b in ready if now < b.out_until or b.silent(length, now)]
        if len(out) > EJECT_MOST * len(ready):
            out = []  # most look bad: not a matter of single servers
        best, cost = None, math.inf
        for b in ready:
            f, w = self.warmth(b, now), self.weight(b)
            # Slow start: a cold server gets its warmth's part of what warm ones of its size get here.
            if not allowed(b.entry) or (f < 1 and len(b.sent) + 1 > max(1.0, f * w * rate)):
                continue
            here = b.slow * (len(b.out) + 1) / (w * f) * (1 if b.entry.zone == self.zone else self.cross)
            here *= 1 + 0.05 * self.rng.random()  # gateways that see the same must not herd
            trial = b.fail >= FAIL_OUT / 2 and b.eject_ms > EJECT_MS and b.out  # was out: one at a time
            here += 1e6 * bool(b in out or trial) + 1e3 * (b.entry.address in avoid)
            if here < cost:
                best, cost = b, here
        return best

    def done(self, e: i.Outcome, usual: float, now: float) -> bool:
        """Note an outcome; returns whether the server's trouble is its own rather than pressure."""
        b = self.servers.get(e.server)
        if b is None or b.out.pop((e.id, e.attempt), None) is None:
            return True
        if e.result is i.Result.MOOT:
            return False
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


class Ticket:
    """A request that is owed an answer or has attempts out."""

    def __init__(self, r: i.Request, cls: i.RequestClass, c: Customer, inside: bool, grant: list) -> None:
        self.r, self.cls, self.c, self.inside, self.grant, self.done = r, cls, c, inside, grant, False
        self.sends: list[tuple[i.Server, float]] = []
        self.out: set[int] = set()
        self.ran: tuple[i.Server, float] | None = None  # the first attempt that may have run

    def may_go(self, e: i.Server) -> bool:
        """Keyed: only where repeats of the attempt that may have run are dropped."""
        if self.ran is None or self.cls.effect is not i.Effect.KEYED or self.cls.group is i.Group.ALL:
            return True
        ran = self.ran[0]
        return e.zone == ran.zone if self.cls.group is i.Group.ZONE else e.cell == ran.cell


class Policy:
    """One gateway's decisions; see interface.py for the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not settings.classes or not settings.plans or not 0 <= settings.me < settings.gateways:
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.s, self.now, self.swept, self.retries = settings, now_ms, now_ms, RETRY_MOST
        self.quota, self.room = Quota(settings, rng, now_ms), Room(settings, now_ms)
        self.fleet, self.tickets = Fleet(settings, rng), {}
        self.checks: dict[int, tuple[str, int]] = {}  # timers that look whether an attempt's server is silent
        self.serial = 1
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
                return self.tick(event.ref)
            case i.PeerMessage():
                self.quota.hear(event.source, event.text, now_ms)
            case i.Counted():
                self.quota.counted(event, now_ms)
            case i.Members():
                self.fleet.update(event)
                self.room.partition(len(self.fleet.ready()), now_ms)
                if event.scope is i.Scope.FAILED and self.s.ask_discovery:
                    return [i.SetTimer(1, 1000.0)]
            case i.Gone() | i.FirstByte() if event.id in self.tickets:
                self.end(self.tickets[event.id])
        return []

    def tick(self, ref: int) -> list[i.Action]:
        if ref == 1:
            return [i.Watch()]
        if ref:
            return self.check(*self.checks.pop(ref))
        self.room.partition(len(self.fleet.ready()), self.now)
        if self.now - self.swept > IDLE_MS / 10:
            self.quota.age(self.now)
            self.swept = self.now
        return [*self.quota.tick(self.now), i.SetTimer(0, self.tick_ms)]

    def check(self, rid: str, n: int) -> list[i.Action]:
        """Take back an attempt whose server answered nothing since; one that is only slow is left alone."""
        t = self.tickets.get(rid)
        if t is None or t.done or n not in t.out:
            return []
        server, sent = t.sends[n]
        b = self.fleet.servers.get(server.address)
        return [i.Cancel(rid, n)] if b is None or b.answered < sent else []

    def refuse(self, r: i.Request, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(r.id, min(wait, self.s.limits.max_retry_after_ms) * self.s.limits.retry_after)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.room.classes.get(r.cls), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refuse(r)]
        self.room.ask(r.cls, r.units, now)
        inside, wait = self.quota.ask(c, r.units, now)
        news = self.quota.count(c, now, False) if self.s.sharing.counter else []
        capped = c.plan.ceiling_rate and c.ceiling < r.units
        if capped or not (inside or (c.plan.over_worth > c.plan.over_cost and self.room.soft(now))):
            return [self.refuse(r, wait), *news]
        server = self.fleet.choose(now, self.room.length[r.cls], lambda e: True, set())
        grant = self.room.draw(r.cls, r.units, now) if server else None
        if grant is None:
            return [self.refuse(r), *news]
        c.ceiling -= r.units
        if inside:
            self.quota.take(c, r.units, now)
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        t = self.tickets[r.id] = Ticket(r, cls, c, inside, grant)
        return [*self.send(t, server), *news]

    def send(self, t: Ticket, b: Backend) -> list[i.Action]:
        n, now, usual = len(t.sends), self.now, self.room.length[t.r.cls] * max(1.0, b.slow)
        t.sends.append((b.entry, now))
        t.out.add(n)
        t.c.open += 1
        b.out[(t.r.id, n)] = now
        b.sent.append(now)
        go: list[i.Action] = [i.Send(t.r.id, b.entry.address, t.r.not_after_ms)]
        again = t.cls.effect is not i.Effect.UNSAFE and n + 1 < self.s.limits.max_attempts
        limit = max(LIMIT_AIM * t.cls.aim_ms, LIMIT_TIMES * usual)
        if again and self.s.limits.cancel and now + limit + usual < t.r.not_after_ms:
            self.serial += 1
            self.checks[self.serial] = (t.r.id, n)
            go.append(i.SetTimer(self.serial, limit))
        return go

    def outcome(self, e: i.Outcome) -> list[i.Action]:
        t, now = self.tickets.get(e.id), self.now
        if t is None or e.attempt not in t.out:
            return []
        t.out.discard(e.attempt)
        t.c.open -= 1
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
            tried = {s.address for s, _ in t.sends}
            b = self.fleet.choose(now, self.room.length[t.r.cls], t.may_go, tried)
            if b is not None:
                self.retries -= 1
                return self.send(t, b)
        t.done = True
        harmless = t.ran is None or cls.effect is i.Effect.SAFE or (keyed and cls.group is i.Group.ALL)
        return [self.refuse(t.r) if harmless and now < t.r.not_after_ms else i.Fail(t.r.id)]

    def end(self, t: Ticket) -> None:
        t.done = True
        if not t.out:
            self.room.give_back(t.grant)
            self.tickets.pop(t.r.id, None)
