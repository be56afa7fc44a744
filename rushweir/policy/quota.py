"""Each customer's units: who holds its store, who is asked, and what decides where nobody answers."""

import math
import random
from struct import Struct
from zlib import crc32

from rushweir import interface as i
from rushweir import state as st
from rushweir.outbox import Outbox, unpack_entries
from rushweir.pending_requests import PendingRequest
from rushweir.policy.time_constants import MEMORY_MS, REPORT_LIFETIME_MS
from rushweir.token_buckets import Customer, LeasedShare, TokenBucket

OWNER_ORDER = (0, 0, 1)  # who is asked in turn
MESSAGE_BURST, MAX_ENTRIES_PER_MESSAGE, MESSAGES_FOR_ANSWERS = (
    15.0,
    15,
    5.0,
)  # messages at once: 1/4 s; entries in 256 bytes; left for answers
COUNTER_INTERVAL_MS, COUNTER_INTERVAL_FACTORS = (
    (2.0, 2000.0),
    (0.95, 1.5),
)  # between calls of all gateways, and of one; after good and bad
SURPLUS_BURSTS = 1.5  # times the burst: a total this far behind a full store is put right
OVERSAMPLING, LOW_SHARE = 1.2, 0.5  # times the share of tries granted: so many still ask, while the store is so low
OWNER_CEILING_SHARE = 1 / 3  # of a ceiling is its keeper's; the doors' even parts must do when nobody hears anybody
COUNTER_EPOCH_MS, CUSTOMER_IDLE_MS = 60000.0, 30000.0  # life of a counter name (bounds drift), of customers idle
ENTRY_FORMAT = Struct(">BBIfBH")  # kind, plan, customer, units or level, over (keep, settle) or share granted, number
ASK, SETTLE, ADMITTED, REFUSED, COUNTER = 0, 1, 2, 3, -1


class Quota:
    """Token buckets by demand share. A customer's whole store lies with one keeper: a gateway among its
    doors, by rendezvous hashing, or the shared counter. A door holds a request for its bounded answer, unless
    a fresh word shows that asking is in vain; where no answer comes its even part decides."""

    def __init__(self, settings: i.Settings, rng: random.Random, now: float) -> None:
        self.rng, self.started_at = rng, now
        self.customers, self.owned_buckets = dict[int, Customer](), dict[int, TokenBucket]()
        self.outbox = Outbox(
            ENTRY_FORMAT, settings.sharing.messages_per_s, MESSAGE_BURST, MAX_ENTRIES_PER_MESSAGE, now
        )
        self.held_requests, self.unreported_customers = dict[int, PendingRequest](), dict[int, Customer]()
        self.counter_calls: dict[int, list[tuple]] = {}
        self.leased_shares = dict[int, LeasedShare]()
        self.counter_interval_ms, self.next_call_at, self.swept_at = (
            COUNTER_INTERVAL_MS[0] * settings.gateways,
            now,
            now,
        )
        self.apply_settings(settings, now)

    def apply_settings(self, settings: i.Settings, now: float) -> None:
        """Other plans. A customer whose plan is gone keeps it until idle: its ceiling must not be forgotten."""
        self.settings, self.sharing = settings, settings.sharing
        self.outbox.messages_per_ms = self.sharing.messages_per_s / 1000
        self.plans = {p.name: (k, p) for k, p in enumerate(settings.plans)}
        for c in self.customers.values():
            self.change_plan(c, c.plan.name, now)
            c.gateway_count, c.owners = self.gateways_and_owners(c.key, *c.gateway_range)

    def change_plan(self, c: Customer, plan: str, now: float) -> None:
        """To another plan, or to other quotas of the same. Of a ceiling that is new nothing is there yet."""
        if plan in self.plans and self.plans[plan] != (c.plan_index, c.plan):
            self.refill(c, now)
            had, (c.plan_index, c.plan) = c.plan.ceiling_rate, self.plans[plan]
            c.ceiling_tokens = (c.ceiling_tokens if had else 0.0) if c.plan.ceiling_rate else math.inf
            c.ceiling_refilled_at = now
            self.refill(c, now)

    def refill(self, c: Customer, now: float) -> None:
        c.refill(1 - self.owner_ceiling_share(c.plan), now)

    def apply_lease(self, e: i.Part, now: float) -> None:
        """Another part of a ceiling. What its bucket has beyond the new burst is gone."""
        key = crc32(e.customer.encode()) if isinstance(e.customer, str) else e.customer
        lent, c, store = (
            self.leased_shares.setdefault(key, LeasedShare(now)),
            self.customers.get(key),
            self.owned_buckets.get(key),
        )
        if e.as_owner:
            if store is not None:
                store.fill_ceiling(*lent.owner_share, now)
                store.ceiling_tokens = min(store.ceiling_tokens, e.burst)
            lent.owner_share, lent.updated_at = (e.rate, e.burst), now
            return
        if c is not None:
            self.refill(c, now)
            c.ceiling_tokens = min(c.ceiling_tokens + e.added_tokens, e.burst)
        lent.rate, lent.burst, lent.updated_at = e.rate, e.burst, now

    def gateways_and_owners(self, key: int, first: int, spread: int) -> tuple[int, list[int]]:
        return st.gateways_and_owners(key, first, spread, self.settings, 1 + max(OWNER_ORDER))

    def owner_ceiling_share(self, plan: i.Plan) -> float:
        """Of a ceiling the first keeper has a part, for doors whose even part is spent; unheard it is idle."""
        return OWNER_CEILING_SHARE if plan.ceiling_rate and self.sharing.peers and not self.sharing.counter else 0.0

    def charge_own_ceiling(self, t: PendingRequest) -> bool:
        """Take the units from the own part of the ceiling, if it has them."""
        if not t.own_ceiling_pays and t.customer.ceiling_tokens >= t.request.units:
            t.own_ceiling_pays, t.customer.ceiling_tokens = True, t.customer.ceiling_tokens - t.request.units
        return t.own_ceiling_pays

    def owner_charged_ceiling(self, t: PendingRequest) -> bool:
        """Whether the keeper that let it in paid for it: only the first has a part."""
        return (
            not t.own_ceiling_pays
            and t.owner is not None
            and t.owner == t.customer.owners[0]
            and self.owner_ceiling_share(t.customer.plan) > 0
        )

    def customer(self, r: i.Request, now: float) -> Customer | None:
        key = crc32(r.customer.encode())
        c = self.customers.get(key)
        if c is None:
            if r.plan not in self.plans:
                return None
            index, plan = self.plans[r.plan]
            doors, ranks = self.gateways_and_owners(key, r.first_gateway, r.gateway_count)
            # Of a ceiling only the own part is spent; what a predecessor left of it is unknown.
            store = TokenBucket(plan.burst, MEMORY_MS, now)
            c = self.customers[key] = Customer(plan, index, key, doors, ranks, store, self.started_at)
            c.gateway_range = r.first_gateway, r.gateway_count
            if self.sharing.leased_ceilings:
                c.leased_share = self.leased_shares.setdefault(key, LeasedShare(now))
                c.ceiling_refilled_at = c.leased_share.updated_at
        elif c.plan.name != r.plan:
            self.change_plan(c, r.plan, now)
        c.last_seen_at = now
        self.refill(c, now)
        return c

    def choose_owner(self, c: Customer, asks: int, now: float) -> int | None:
        if self.sharing.counter and c.owners != [self.settings.gateway]:
            return COUNTER if c.plan.rate and not asks and now >= self.next_call_at else None
        if asks >= len(OWNER_ORDER) or not (self.sharing.peers or c.owners == [self.settings.gateway]):
            return None
        to = c.owners[min(OWNER_ORDER[asks], len(c.owners) - 1)]
        # A word that comes late is of no use, and was asked for twice more. Answers go first, newcomers last.
        least = MESSAGES_FOR_ANSWERS * (1 if c.unreported_units or c.reported_by is not None else 2)
        return to if to == self.settings.gateway or self.outbox.available_messages(now) >= least else None

    def is_hopeless(self, c: Customer, units: float, now: float) -> bool:
        """Whether by a fresh word the store has too little; or so little, by one not too old, that only a share asks:
        all doors draw on it, and where words were lost for too much mail all asked again and lost more."""
        sieved = c.is_low(LOW_SHARE, now - MEMORY_MS) and self.rng.random() > OVERSAMPLING * c.granted_share
        return c.plan.rate > 0 and (sieved or (now - c.reported_at < REPORT_LIFETIME_MS and c.bucket.tokens < units))

    def decide_by_equal_share(self, t: PendingRequest, now: float) -> bool:
        """Unasked for lack of mail the share last told decides (once); where none answered, the even part. What is
        let in is told later, twice if the question came and its answer did not."""
        c, units, asked = (
            t.customer,
            t.request.units,
            self.sharing.counter or t.ask_count > 1 or not self.sharing.peers,
        )
        fresh = not asked or now - c.reported_at < REPORT_LIFETIME_MS
        inside = c.bucket.tokens >= units * fresh and c.bucket.tokens > 0 if c.plan.rate else not c.open_attempts
        once = asked or not c.plan.rate or c.is_low(LOW_SHARE, now - MEMORY_MS)
        inside = inside and (once or self.rng.random() <= c.granted_share)
        c.unasked_demand += units * (not asked and not inside)
        t.owner = COUNTER if inside and (fresh or not self.sharing.counter) else None
        self.add_unreported(c, units * (t.owner == COUNTER))
        c.bucket.tokens -= units * inside * (1 if fresh else c.gateway_count)
        return inside

    def decide_as_owner(self, key: int, plan: i.Plan, units: float, now: float, who: tuple[int, int], over=0) -> bool:
        """A place is known by gateway and number, not by order: ends get lost (h499d24). A question asked again takes
        nothing. ``over``: 1 if the door has nothing left of the ceiling, and 2 for each unit that it refused on a
        word since it last asked, or the share would grow as doors ask less."""
        if (store := self.owned_buckets.get(key)) is None:
            store = self.owned_buckets[key] = TokenBucket(plan.burst, MEMORY_MS, now)
            store.ceiling_refilled_at = self.started_at  # of the ceiling a predecessor may have spent all
        store.refill(plan.rate, plan.burst, now)
        part, lent = self.owner_ceiling_share(plan), self.leased_shares.get(key)
        kept = (
            (plan.ceiling_rate * part, plan.ceiling_burst * part) if not self.sharing.leased_ceilings else (0.0, 0.0)
        )
        store.fill_ceiling(*(lent.owner_share if lent is not None else kept), now)
        taken = store.count_in_flight(now - REPORT_LIFETIME_MS)
        if who in store.in_flight:
            return True
        store.demand.add(units + over // 2, now)
        full = 0 < plan.max_in_flight <= taken
        inside = (
            not full and (not plan.rate or store.tokens >= units) and (not over % 2 or store.ceiling_tokens >= units)
        )
        if inside:
            store.tokens -= units
            store.ceiling_tokens -= units * (over % 2)
            store.in_flight[who] = now
        return inside

    def estimate_wait_ms(self, c: Customer, units: float, own: bool = False) -> float:
        """Advice, where the keeper's store or the own part of the ceiling lacks so much."""
        store, p, part = self.owned_buckets.get(c.key, c.bucket), c.plan, self.owner_ceiling_share(c.plan)
        quota = max(0.0, units - store.tokens) * 1000 / (p.rate * c.granted_share + 1e-9) * (p.rate > 0)
        # The own part of a ceiling fills by itself; without advice the try would be back at once, in vain.
        lacks = max(0.0, units - c.ceiling_tokens) * c.gateway_count * (own or not part)
        rate = (
            c.leased_share.rate * c.gateway_count
            if c.leased_share and c.leased_share.rate
            else p.ceiling_rate * (1 - part)
        )
        return max(quota, lacks * 1000 / rate if lacks else 0.0)

    def settle(self, t: PendingRequest, more: float, over: bool) -> None:
        c = t.customer
        if t.owner == self.settings.gateway and c.key in self.owned_buckets:
            self.owned_buckets[c.key].settle(
                more, (self.settings.gateway, t.number) if over else None, c.plan.burst, not t.own_ceiling_pays
            )
        elif t.owner == COUNTER:
            self.add_unreported(c, more)
        elif t.owner is not None and (more or (over and c.plan.max_in_flight)):
            end = (SETTLE, c.plan_index, c.key, more, over * (1 if t.own_ceiling_pays else 2), t.number)
            self.outbox.enqueue(t.owner, end, again=over and c.plan.max_in_flight > 0)

    def add_unreported(self, c: Customer, units: float) -> None:
        c.unreported_units += units * (c.plan.rate > 0)
        if units and self.sharing.counter:
            self.unreported_customers[c.key] = c

    def admits_unasked(self, t: PendingRequest, now: float) -> bool:
        """Whether it is let in unasked, and told later: there is no quota but a ceiling, or the door's even part of
        the store that its first keeper told holds the try. A word counts while a keeper can answer all doors with
        half of its messages. Harm: other demand shows that much later."""
        c, p, left = (
            t.customer,
            t.customer.plan,
            t.customer.bucket.tokens - t.request.units * t.customer.gateway_count,
        )
        life = min(
            REPORT_LIFETIME_MS * max(1.0, 2 * c.gateway_count / (self.sharing.messages_per_s + 1e-9)),
            CUSTOMER_IDLE_MS,
        )
        heard = left >= 0 and now - c.reported_at <= life and c.reported_by == c.owners[0]
        if not t.own_ceiling_pays or p.max_in_flight or self.sharing.counter or (p.rate and not heard):
            return False
        t.owner, c.bucket.tokens = COUNTER, left
        self.add_unreported(c, t.request.units)
        return True

    def enqueue_question(self, t: PendingRequest) -> None:
        self.held_requests[t.number] = t
        if units := t.customer.report_usage(t.owner, t.ask_count > 1):
            self.outbox.enqueue(t.owner, (SETTLE, t.customer.plan_index, t.customer.key, units, 0, 0))
        self.outbox.enqueue(
            t.owner,
            (
                ASK,
                t.customer.plan_index,
                t.customer.key,
                t.request.units,
                t.customer.take_question_flags(t.own_ceiling_pays),
                t.number,
            ),
        )

    def call_counter(self, c: Customer, units: float, t: PendingRequest | None, now: float) -> i.Count:
        epoch = now // COUNTER_EPOCH_MS
        name = c.key * 65536 + int(epoch) % 65536
        amount, c.unreported_units = units + c.unreported_units, 0.0
        self.next_call_at = now + self.counter_interval_ms
        self.counter_calls.setdefault(name, []).append((c, units, t, epoch * COUNTER_EPOCH_MS))
        return i.Count(name, amount, COUNTER_EPOCH_MS)

    def handle_count(self, e: i.Counted, now: float) -> list[tuple[PendingRequest, bool | None]]:
        if not self.counter_calls.get(e.name):
            return []
        c, units, ticket, began = self.counter_calls[e.name].pop(0)
        held, plan, good = [] if ticket is None else [ticket], c.plan, e.result is i.Result.OK
        self.counter_interval_ms = min(
            max(self.counter_interval_ms * COUNTER_INTERVAL_FACTORS[0 if good else 1], COUNTER_INTERVAL_MS[0]),
            COUNTER_INTERVAL_MS[1],
        )
        if not good:
            return [(t, None) for t in held]
        level = plan.burst + plan.rate * (now - began) / 1000 - (e.value - units)
        if level > SURPLUS_BURSTS * plan.burst:  # overflowed by more than is worth a call
            self.add_unreported(c, level - plan.burst)
        inside = min(level, plan.burst) >= units
        c.apply_report(min(level, plan.burst) - units * inside, 1.0, now)
        self.add_unreported(c, units * inside - units)
        return [(t, inside) for t in held]

    def handle_message(self, e: i.PeerMessage | i.Counted, now: float) -> list[tuple[PendingRequest, bool | None]]:
        """The held requests that are answered; what is asked of this keeper is answered by mail."""
        if isinstance(e, i.Counted):
            return self.handle_count(e, now)
        answered = []
        for kind, index, key, units, over, number in unpack_entries(ENTRY_FORMAT, e.text):
            c, plan = self.customers.get(key), self.settings.plans[min(index, len(self.settings.plans) - 1)]
            if kind == ASK:
                told = ADMITTED if self.decide_as_owner(key, plan, units, now, (e.source, number), over) else REFUSED
                store, share = self.owned_buckets[key], plan.rate / (self.owned_buckets[key].demand.per_s(now) + 1e-9)
                self.outbox.enqueue(e.source, (told, index, key, store.tokens, int(min(share, 1) * 255), number))
            elif kind == SETTLE and (store := self.owned_buckets.get(key)):
                store.settle(units, (e.source, number) if over else None, plan.burst, over == 2)
                store.demand.add(units * (not number), now)  # was not asked about
            elif kind in (ADMITTED, REFUSED) and c is not None:
                if c.confirm_usage(e.source) or now - c.reported_at > MEMORY_MS:  # a second keeper knows little
                    c.apply_report(min(units, c.plan.burst), over / 255, now, e.source)
                if (t := self.held_requests.pop(number, None)) is not None:
                    t.owner = e.source
                    answered.append((t, kind == ADMITTED))
        return answered

    def tick(self, now: float) -> list[i.Action]:
        calls: list[i.Action] = []
        # Ends: of seven words one was lost on a fleet, and its place lay idle for a second.
        self.outbox.enqueue_repeats()
        while self.unreported_customers and now >= self.next_call_at:
            calls.append(self.call_counter(self.unreported_customers.popitem()[1], 0.0, None, now))
        if now - self.swept_at >= CUSTOMER_IDLE_MS / 10:
            self.swept_at = now
            self.customers = {
                n: c for n, c in self.customers.items() if now - c.last_seen_at < CUSTOMER_IDLE_MS or c.open_attempts
            }
            self.owned_buckets = {
                k: s for k, s in self.owned_buckets.items() if now - s.refilled_at < CUSTOMER_IDLE_MS
            }
            self.leased_shares = {
                k: x
                for k, x in self.leased_shares.items()
                if k in self.customers or now - x.updated_at < CUSTOMER_IDLE_MS
            }
            self.counter_calls = {n: calls for n, calls in self.counter_calls.items() if calls}
            self.held_requests = {k: t for k, t in self.held_requests.items() if now < t.request.not_after_ms}
        return calls
