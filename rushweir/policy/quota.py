"""Each customer's units: who holds its store, who is asked, and what decides where nobody answers."""

import math
import random
from struct import Struct
from zlib import crc32

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.times import MEMORY_MS, SILENT_MS

ASKS = (0, 0, 1)  # who is asked in turn
MAIL_BURST, MAIL_MOST, MAIL_LEFT = 15.0, 15, 5.0  # messages at once: 1/4 s; entries in 256 bytes; left for answers
CALL_MS, PACED = (2.0, 2000.0), (0.95, 1.5)  # between calls of all gateways, and of one; after good and bad
SURPLUS = 1.5  # times the burst: a total this far behind a full store is put right
KEEN, LOW_PART = 1.2, 0.5  # times the share of tries granted: so many still ask, while the store is so low
KEPT_PART = 1 / 3  # of a ceiling is its keeper's; the doors' even parts must do when nobody hears anybody
EPOCH_MS, IDLE_MS = 60000.0, 30000.0  # life of a counter name (bounds drift), of customers idle
ENTRY = Struct(">BBIfBH")  # kind, plan, customer, units or level, over (keep, settle) or share granted, number
ASK, DONE, YES, NO, COUNTER = 0, 1, 2, 3, -1


class Quota:
    """Token buckets by demand share. A customer's whole store lies with one keeper: a gateway among its
    doors, by rendezvous hashing, or the shared counter. A door holds a request for its bounded answer, unless
    a fresh word shows that asking is in vain; where no answer comes its even part decides."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.rng, self.began = rng, now
        self.customers, self.kept = dict[int, st.Customer](), dict[int, st.Store]()
        self.mail = st.Outbox(ENTRY, settings.sharing.messages_per_s, MAIL_BURST, MAIL_MOST, now)
        self.held, self.owing = dict[int, st.Ticket](), dict[int, st.Customer]()
        self.calls: dict[int, list[tuple]] = {}
        self.lent = dict[int, st.Lent]()
        self.pace, self.next_call, self.swept = CALL_MS[0] * settings.gateways, now, now
        self.adopt(settings, now)

    def adopt(self, settings: i.Settings, now: float) -> None:
        """Other plans. A customer whose plan is gone keeps it until idle: its ceiling must not be forgotten."""
        self.s, self.how = settings, settings.sharing
        self.mail.per_ms = self.how.messages_per_s / 1000
        self.plans = {p.name: (k, p) for k, p in enumerate(settings.plans)}
        for c in self.customers.values():
            self.move(c, c.plan.name, now)
            c.doors, c.ranks = self.around(c.hash, *c.through)

    def move(self, c: st.Customer, plan: str, now: float) -> None:
        """To another plan, or to other quotas of the same. Of a ceiling that is new nothing is there yet."""
        if plan in self.plans and self.plans[plan] != (c.index, c.plan):
            self.refill(c, now)
            had, (c.index, c.plan) = c.plan.ceiling_rate, self.plans[plan]
            c.ceiling = (c.ceiling if had else 0.0) if c.plan.ceiling_rate else math.inf
            c.ceiling_at = now
            self.refill(c, now)

    def refill(self, c: st.Customer, now: float) -> None:
        c.refill(1 - self.part(c.plan), now)

    def lend(self, e: i.Part, now: float) -> None:
        """Another part of a ceiling. What its bucket has beyond the new burst is gone."""
        key = crc32(e.customer.encode()) if isinstance(e.customer, str) else e.customer
        lent, c, store = self.lent.setdefault(key, st.Lent(now)), self.customers.get(key), self.kept.get(key)
        if e.kept:
            if store is not None:
                store.fill_ceiling(*lent.kept, now)
                store.ceiling = min(store.ceiling, e.burst)
            lent.kept, lent.at = (e.rate, e.burst), now
            return
        if c is not None:
            self.refill(c, now)
            c.ceiling = min(c.ceiling + e.add, e.burst)
        lent.rate, lent.burst, lent.at = e.rate, e.burst, now

    def around(self, key: int, first: int, spread: int) -> tuple[int, list[int]]:
        return st.around(key, first, spread, self.s, 1 + max(ASKS))

    def part(self, plan: i.Plan) -> float:
        """Of a ceiling the first keeper has a part, for doors whose even part is spent; unheard it is idle."""
        return KEPT_PART if plan.ceiling_rate and self.how.peers and not self.how.counter else 0.0

    def pay(self, t: st.Ticket) -> bool:
        """Take the units from the own part of the ceiling, if it has them."""
        if not t.own and t.c.ceiling >= t.r.units:
            t.own, t.c.ceiling = True, t.c.ceiling - t.r.units
        return t.own

    def paid(self, t: st.Ticket) -> bool:
        """Whether the keeper that let it in paid for it: only the first has a part."""
        return not t.own and t.keeper is not None and t.keeper == t.c.ranks[0] and self.part(t.c.plan) > 0

    def customer(self, r: i.Request, now: float) -> st.Customer | None:
        key = crc32(r.customer.encode())
        c = self.customers.get(key)
        if c is None:
            if r.plan not in self.plans:
                return None
            index, plan = self.plans[r.plan]
            doors, ranks = self.around(key, r.first, r.spread)
            # Of a ceiling only the own part is spent; what a predecessor left of it is unknown.
            store = st.Store(plan.burst, MEMORY_MS, now)
            c = self.customers[key] = st.Customer(plan, index, key, doors, ranks, store, self.began)
            c.through = r.first, r.spread
            if self.how.lent:
                c.lent = self.lent.setdefault(key, st.Lent(now))
                c.ceiling_at = c.lent.at
        elif c.plan.name != r.plan:
            self.move(c, r.plan, now)
        c.seen = now
        self.refill(c, now)
        return c

    def keeper(self, c: st.Customer, asks: int, now: float) -> int | None:
        if self.how.counter and c.ranks != [self.s.me]:
            return COUNTER if c.plan.rate and not asks and now >= self.next_call else None
        if asks >= len(ASKS) or not (self.how.peers or c.ranks == [self.s.me]):
            return None
        to = c.ranks[min(ASKS[asks], len(c.ranks) - 1)]
        # A word that comes late is of no use, and was asked for twice more. Answers go first, newcomers last.
        least = MAIL_LEFT * (1 if c.pending or c.by is not None else 2)
        return to if to == self.s.me or self.mail.free(now) >= least else None

    def vain(self, c: st.Customer, units: float, now: float) -> bool:
        """Whether by a fresh word the store has too little; or so little, by one not too old, that only a share asks:
        all doors draw on it, and where words were lost for too much mail all asked again and lost more."""
        sieved = c.low(LOW_PART, now - MEMORY_MS) and self.rng.random() > KEEN * c.share
        return c.plan.rate > 0 and (sieved or (now - c.told < SILENT_MS and c.store.level < units))

    def even(self, t: st.Ticket, now: float) -> bool:
        """Unasked for lack of mail the share last told decides (once); where none answered, the even part. What is
        let in is told later, twice if the question came and its answer did not."""
        c, units, asked = t.c, t.r.units, self.how.counter or t.asks > 1 or not self.how.peers
        fresh = not asked or now - c.told < SILENT_MS
        inside = c.store.level >= units * fresh and c.store.level > 0 if c.plan.rate else not c.open
        once = asked or not c.plan.rate or c.low(LOW_PART, now - MEMORY_MS)
        inside = inside and (once or self.rng.random() <= c.share)
        c.missed += units * (not asked and not inside)
        t.keeper = COUNTER if inside and (fresh or not self.how.counter) else None
        self.owe(c, units * (t.keeper == COUNTER))
        c.store.level -= units * inside * (1 if fresh else c.doors)
        return inside

    def keep(self, key: int, plan: i.Plan, units: float, now: float, who: tuple[int, int], over=0) -> bool:
        """A place is known by gateway and number, not by order: ends get lost (h499d24). A question asked again takes
        nothing. ``over``: 1 if the door has nothing left of the ceiling, and 2 for each unit that it refused on a
        word since it last asked, or the share would grow as doors ask less."""
        if (store := self.kept.get(key)) is None:
            store = self.kept[key] = st.Store(plan.burst, MEMORY_MS, now)
            store.ceiling_at = self.began  # of the ceiling a predecessor may have spent all
        store.refill(plan.rate, plan.burst, now)
        part, lent = self.part(plan), self.lent.get(key)
        kept = (plan.ceiling_rate * part, plan.ceiling_burst * part) if not self.how.lent else (0.0, 0.0)
        store.fill_ceiling(*(lent.kept if lent is not None else kept), now)
        taken = store.open(now - SILENT_MS)
        if who in store.out:
            return True
        store.demand.add(units + over // 2, now)
        full = 0 < plan.open_limit <= taken
        inside = not full and (not plan.rate or store.level >= units) and (not over % 2 or store.ceiling >= units)
        if inside:
            store.level -= units
            store.ceiling -= units * (over % 2)
            store.out[who] = now
        return inside

    def wait(self, c: st.Customer, units: float, own: bool = False) -> float:
        """Advice, where the keeper's store or the own part of the ceiling lacks so much."""
        store, p, part = self.kept.get(c.hash, c.store), c.plan, self.part(c.plan)
        quota = max(0.0, units - store.level) * 1000 / (p.rate * c.share + 1e-9) * (p.rate > 0)
        # The own part of a ceiling fills by itself; without advice the try would be back at once, in vain.
        lacks = max(0.0, units - c.ceiling) * c.doors * (own or not part)
        rate = c.lent.rate * c.doors if c.lent and c.lent.rate else p.ceiling_rate * (1 - part)
        return max(quota, lacks * 1000 / rate if lacks else 0.0)

    def settle(self, t: st.Ticket, more: float, over: bool) -> None:
        c = t.c
        if t.keeper == self.s.me and c.hash in self.kept:
            self.kept[c.hash].settle(more, (self.s.me, t.number) if over else None, c.plan.burst, not t.own)
        elif t.keeper == COUNTER:
            self.owe(c, more)
        elif t.keeper is not None and (more or (over and c.plan.open_limit)):
            end = (DONE, c.index, c.hash, more, over * (1 if t.own else 2), t.number)
            self.mail.post(t.keeper, end, again=over and c.plan.open_limit > 0)

    def owe(self, c: st.Customer, units: float) -> None:
        c.pending += units * (c.plan.rate > 0)
        if units and self.how.counter:
            self.owing[c.hash] = c

    def known(self, t: st.Ticket, now: float) -> bool:
        """Whether it is let in unasked, and told later: there is no quota but a ceiling, or the door's even part of
        the store that its first keeper told holds the try. A word counts while a keeper can answer all doors with
        half of its messages. Harm: other demand shows that much later."""
        c, p, left = t.c, t.c.plan, t.c.store.level - t.r.units * t.c.doors
        life = min(SILENT_MS * max(1.0, 2 * c.doors / (self.how.messages_per_s + 1e-9)), IDLE_MS)
        heard = left >= 0 and now - c.told <= life and c.by == c.ranks[0]
        if not t.own or p.open_limit or self.how.counter or (p.rate and not heard):
            return False
        t.keeper, c.store.level = COUNTER, left
        self.owe(c, t.r.units)
        return True

    def ask(self, t: st.Ticket) -> None:
        self.held[t.number] = t
        if units := t.c.tell(t.keeper, t.asks > 1):
            self.mail.post(t.keeper, (DONE, t.c.index, t.c.hash, units, 0, 0))
        self.mail.post(t.keeper, (ASK, t.c.index, t.c.hash, t.r.units, t.c.over(t.own), t.number))

    def call(self, c: st.Customer, units: float, t: st.Ticket | None, now: float) -> i.Count:
        epoch = now // EPOCH_MS
        name = c.hash * 65536 + int(epoch) % 65536
        amount, c.pending = units + c.pending, 0.0
        self.next_call = now + self.pace
        self.calls.setdefault(name, []).append((c, units, t, epoch * EPOCH_MS))
        return i.Count(name, amount, EPOCH_MS)

    def counted(self, e: i.Counted, now: float) -> list[tuple[st.Ticket, bool | None]]:
        if not self.calls.get(e.name):
            return []
        c, units, ticket, began = self.calls[e.name].pop(0)
        held, plan, good = [] if ticket is None else [ticket], c.plan, e.result is i.Result.OK
        self.pace = min(max(self.pace * PACED[0 if good else 1], CALL_MS[0]), CALL_MS[1])
        if not good:
            return [(t, None) for t in held]
        level = plan.burst + plan.rate * (now - began) / 1000 - (e.value - units)
        if level > SURPLUS * plan.burst:  # overflowed by more than is worth a call
            self.owe(c, level - plan.burst)
        inside = min(level, plan.burst) >= units
        c.learn(min(level, plan.burst) - units * inside, 1.0, now)
        self.owe(c, units * inside - units)
        return [(t, inside) for t in held]

    def hear(self, e: i.PeerMessage | i.Counted, now: float) -> list[tuple[st.Ticket, bool | None]]:
        """The held requests that are answered; what is asked of this keeper is answered by mail."""
        if isinstance(e, i.Counted):
            return self.counted(e, now)
        answered = []
        for kind, index, key, units, over, number in st.unpack(ENTRY, e.text):
            c, plan = self.customers.get(key), self.s.plans[min(index, len(self.s.plans) - 1)]
            if kind == ASK:
                told = YES if self.keep(key, plan, units, now, (e.source, number), over) else NO
                store, share = self.kept[key], plan.rate / (self.kept[key].demand.per_s(now) + 1e-9)
                self.mail.post(e.source, (told, index, key, store.level, int(min(share, 1) * 255), number))
            elif kind == DONE and (store := self.kept.get(key)):
                store.settle(units, (e.source, number) if over else None, plan.burst, over == 2)
                store.demand.add(units * (not number), now)  # was not asked about
            elif kind in (YES, NO) and c is not None:
                if c.heard(e.source) or now - c.told > MEMORY_MS:  # a second keeper knows little
                    c.learn(min(units, c.plan.burst), over / 255, now, e.source)
                if (t := self.held.pop(number, None)) is not None:
                    t.keeper = e.source
                    answered.append((t, kind == YES))
        return answered

    def tick(self, now: float) -> list[i.Action]:
        calls: list[i.Action] = []
        self.mail.repeat()  # ends: of seven words one was lost on a fleet, and its place lay idle for a second
        while self.owing and now >= self.next_call:
            calls.append(self.call(self.owing.popitem()[1], 0.0, None, now))
        if now - self.swept >= IDLE_MS / 10:
            self.swept = now
            self.customers = {n: c for n, c in self.customers.items() if now - c.seen < IDLE_MS or c.open}
            self.kept = {k: s for k, s in self.kept.items() if now - s.at < IDLE_MS}
            self.lent = {k: x for k, x in self.lent.items() if k in self.customers or now - x.at < IDLE_MS}
            self.calls = {n: calls for n, calls in self.calls.items() if calls}
            self.held = {k: t for k, t in self.held.items() if now < t.r.not_after_ms}
        return calls
