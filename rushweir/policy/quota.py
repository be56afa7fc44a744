"""Customers' quotas: who owns a token bucket, whom a gateway asks, and what decides where nobody answers."""

import math
import random
from struct import Struct
from typing import Any
from zlib import crc32

from rushweir import interface, state
from rushweir.outbox import Outbox, unpack_entries
from rushweir.pending_requests import PendingRequest
from rushweir.policy.known_customers import CUSTOMER_IDLE_MS, KnownCustomers
from rushweir.policy.time_constants import MEMORY_MS, REPORT_LIFETIME_MS
from rushweir.token_buckets import Customer, LeasedShare, TokenBucket

OWNER_ORDER = (0, 0, 1)  # rank of the owner to ask on the 1st, 2nd and 3rd try
MESSAGE_BURST = 15.0  # messages that may be sent at once: those of 1/4 s
MAX_ENTRIES_PER_MESSAGE = 15  # they fill 256 bytes
MESSAGES_FOR_ANSWERS = 5.0  # questions leave so many messages for answers
MIN_COUNTER_INTERVAL_MS = 2.0  # between calls of all gateways together
MAX_COUNTER_INTERVAL_MS = 2000.0  # between calls of one gateway
COUNTER_INTERVAL_FACTOR_AFTER_SUCCESS = 0.95
COUNTER_INTERVAL_FACTOR_AFTER_FAILURE = 1.5
SURPLUS_BURSTS = 1.5  # a counter that has fallen so many bursts behind a full bucket is corrected
OVERSAMPLING = 1.2  # requests that still ask while the bucket is low, in multiples of the granted share
LOW_SHARE = 0.5  # of the burst: a bucket below it is low
# Of a ceiling; the rest is split equally among the gateways and is all they have while the owner can't be reached.
OWNER_CEILING_SHARE = 1 / 3
COUNTER_EPOCH_MS = 60000.0  # a counter's name changes with each epoch, which bounds its drift
# Kind, plan, customer, units, flags, request number. ASK: units of the request, flags of ``take_question_flags``.
# SETTLE: units to charge (negative: return); flags 1 or 2 if an attempt ended, 2 if it was charged to the owner's
# ceiling. ADMITTED, REFUSED: tokens in the owner's bucket, granted share in 1/255.
ENTRY_FORMAT = Struct(">BBIfBH")
ASK, SETTLE, ADMITTED, REFUSED = 0, 1, 2, 3  # kinds of entries
COUNTER = -1  # in place of an owner: usage is reported later, to the counter or, without one, with the next question


class Quota:
    """Token buckets by demand share.

    A customer's whole token bucket lies with one owner: a gateway among those that the customer comes through, by
    rendezvous hashing, or the shared counter. Another gateway holds a request until the owner's answer, for a bounded
    time, unless a fresh report shows that asking is hopeless. Where no answer comes, its equal share decides.
    """

    def __init__(self, settings: interface.Settings, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.started_at = now
        self.known = KnownCustomers(now)
        self.customers = self.known.customers
        self.owned_buckets = self.known.owned_buckets
        self.outbox = Outbox(
            ENTRY_FORMAT, settings.sharing.messages_per_s, MESSAGE_BURST, MAX_ENTRIES_PER_MESSAGE, now
        )
        self.held_requests = dict[int, PendingRequest]()  # by request number
        self.unreported_customers = dict[int, Customer]()
        self.counter_calls: dict[int, list[tuple]] = {}
        self.leased_shares = self.known.leased_shares
        self.counter_interval_ms = MIN_COUNTER_INTERVAL_MS * settings.gateways
        self.next_call_at = now
        self.apply_settings(settings, now)

    def apply_settings(self, settings: interface.Settings, now: float) -> None:
        """Use other plans. A customer whose plan is gone keeps it until idle, so that its ceiling isn't forgotten."""
        self.settings = settings
        self.sharing = settings.sharing
        self.outbox.messages_per_ms = self.sharing.messages_per_s / 1000
        self.plans = {plan.name: (index, plan) for index, plan in enumerate(settings.plans)}
        for customer in self.customers.values():
            self.change_plan(customer, customer.plan.name, now)
            customer.gateway_count, customer.owners = self.gateways_and_owners(customer.key, *customer.gateway_range)

    def change_plan(self, customer: Customer, plan_name: str, now: float) -> None:
        """Move a customer to another plan or to other quotas of the same. A new ceiling begins empty."""
        if plan_name in self.plans and self.plans[plan_name] != (customer.plan_index, customer.plan):
            self.refill(customer, now)
            had_ceiling = customer.plan.ceiling_rate
            customer.plan_index, customer.plan = self.plans[plan_name]
            customer.ceiling_tokens = (
                (customer.ceiling_tokens if had_ceiling else 0.0) if customer.plan.ceiling_rate else math.inf
            )
            customer.ceiling_refilled_at = now
            self.refill(customer, now)

    def refill(self, customer: Customer, now: float) -> None:
        """Refill a customer's bucket and ceiling up to now."""
        customer.refill(1 - self.owner_ceiling_share(customer.plan), now)

    def apply_lease(self, event: interface.Part, now: float) -> None:
        """Replace a leased share of a ceiling; tokens beyond its burst are lost."""
        key = crc32(event.customer.encode()) if isinstance(event.customer, str) else event.customer
        lease = self.leased_shares.setdefault(key, LeasedShare(now))
        customer = self.customers.get(key)
        bucket = self.owned_buckets.get(key)
        if event.as_owner:
            if bucket is not None:
                bucket.refill_ceiling(*lease.owner_share, now)
                bucket.ceiling_tokens = min(bucket.ceiling_tokens, event.burst)
            lease.owner_share = event.rate, event.burst
            lease.updated_at = now
            return
        if customer is not None:
            self.refill(customer, now)
            customer.ceiling_tokens = min(customer.ceiling_tokens + event.added_tokens, event.burst)
        lease.rate = event.rate
        lease.burst = event.burst
        lease.updated_at = now

    def gateways_and_owners(self, key: int, first_gateway: int, gateway_count: int) -> tuple[int, list[int]]:
        """How many gateways a customer comes through, and its owners."""
        return state.gateways_and_owners(key, first_gateway, gateway_count, self.settings, 1 + max(OWNER_ORDER))

    def owner_ceiling_share(self, plan: interface.Plan) -> float:
        """The first owner's share of a ceiling, for gateways whose equal share is spent; unused
        while the owner can't be reached."""
        return OWNER_CEILING_SHARE if plan.ceiling_rate and self.sharing.peers and not self.sharing.counter else 0.0

    def owner_charged_ceiling(self, request: PendingRequest) -> bool:
        """Whether the owner that admitted a request charged its share of the ceiling, which only the first has."""
        return (
            not request.charges_own_ceiling
            and request.owner is not None
            and request.owner == request.customer.owners[0]
            and self.owner_ceiling_share(request.customer.plan) > 0
        )

    def customer(self, request: interface.Request, now: float) -> Customer | None:
        """The customer of a request, refilled up to now; None if its plan is unknown or too many are known."""
        key = crc32(request.customer.encode())
        customer = self.customers.get(key)
        if customer is None:
            if request.plan not in self.plans or not self.has_room(self.customers, now):
                return None
            index, plan = self.plans[request.plan]
            gateway_count, owners = self.gateways_and_owners(key, request.first_gateway, request.gateway_count)
            # A predecessor may have spent this gateway's share of the ceiling: it fills from this process's start.
            bucket = TokenBucket(plan.burst, MEMORY_MS, now)
            customer = Customer(plan, index, key, gateway_count, owners, bucket, self.started_at)
            self.customers[key] = customer
            customer.gateway_range = request.first_gateway, request.gateway_count
            if self.sharing.leased_ceilings:
                customer.leased_share = self.leased_shares.setdefault(key, LeasedShare(now))
                customer.ceiling_refilled_at = customer.leased_share.updated_at
        elif customer.plan.name != request.plan:
            self.change_plan(customer, request.plan, now)
        customer.last_seen_at = now
        self.refill(customer, now)
        return customer

    def choose_owner(self, customer: Customer, ask_count: int, now: float) -> int | None:
        """The gateway to ask next, or COUNTER; None if nobody can be asked."""
        this_gateway = self.settings.gateway
        if self.sharing.counter and customer.owners != [this_gateway]:
            return COUNTER if customer.plan.rate and not ask_count and now >= self.next_call_at else None
        if ask_count >= len(OWNER_ORDER) or not (self.sharing.peers or customer.owners == [this_gateway]):
            return None
        owner = customer.owners[min(OWNER_ORDER[ask_count], len(customer.owners) - 1)]
        # An answer that comes late is useless, and its question is repeated up to twice. So answers have priority,
        # and questions about customers that are not known yet come last.
        known = customer.unreported_units or customer.reported_by is not None
        least_messages = MESSAGES_FOR_ANSWERS * (1 if known else 2)
        return owner if owner == this_gateway or self.outbox.available_messages(now) >= least_messages else None

    def should_skip_asking(self, customer: Customer, units: float, now: float) -> bool:
        """Whether a fresh report has too few tokens, or the bucket is low and the request is sampled out. All
        gateways draw on a low bucket; when messages were lost to overload, all asked again and lost more."""
        is_low = customer.is_low(LOW_SHARE, now - MEMORY_MS)
        is_sampled_out = is_low and self.rng.random() > OVERSAMPLING * customer.granted_share
        is_fresh = now - customer.reported_at < REPORT_LIFETIME_MS
        return customer.plan.rate > 0 and (is_sampled_out or (is_fresh and customer.bucket.tokens < units))

    def decide_by_equal_share(self, request: PendingRequest, now: float) -> bool:
        """Whether to admit a request without an owner's answer.

        If it could not be asked about because messages ran out, it is sampled by the last granted share; otherwise
        the equal share decides. What is admitted is reported later, twice if the question arrived but no answer did.
        """
        customer = request.customer
        units = request.request.units
        use_equal_share = self.sharing.counter or request.ask_count > 1 or not self.sharing.peers
        report_decides = not use_equal_share or now - customer.reported_at < REPORT_LIFETIME_MS
        admitted = (
            customer.bucket.tokens >= units * report_decides and customer.bucket.tokens > 0
            if customer.plan.rate
            else not customer.open_attempts
        )
        # The share was applied already, by should_skip_asking, if the bucket was low.
        skip_sampling = use_equal_share or not customer.plan.rate or customer.is_low(LOW_SHARE, now - MEMORY_MS)
        admitted = admitted and (skip_sampling or self.rng.random() <= customer.granted_share)
        customer.unasked_demand += units * (not use_equal_share and not admitted)
        request.owner = COUNTER if admitted and (report_decides or not self.sharing.counter) else None
        self.add_unreported(customer, units * (request.owner == COUNTER))
        customer.bucket.tokens -= units * admitted * (1 if report_decides else customer.gateway_count)
        return admitted

    def decide_as_owner(
        self, key: int, plan: interface.Plan, units: float, now: float, asker: tuple[int, int], flags: int = 0
    ) -> bool:
        """Whether to admit a request as the customer's owner.

        ``asker``: the gateway and request number, by which an attempt in flight is known, not by its order, since
        reports of ends get lost (incident h499d24). A repeated question charges nothing. ``flags``: 1 if the
        gateway's share of the ceiling is spent, plus 2 for each unit that it refused by a report since it last asked:
        without them the granted share would grow as gateways ask less.
        """
        if (bucket := self.owned_buckets.get(key)) is None:
            if not self.has_room(self.owned_buckets, now):
                return False
            bucket = self.owned_buckets[key] = TokenBucket(plan.burst, MEMORY_MS, now)
            bucket.ceiling_refilled_at = self.started_at  # a predecessor may have spent all of the ceiling
        bucket.refill(plan.rate, plan.burst, now)
        share = self.owner_ceiling_share(plan)
        lease = self.leased_shares.get(key)
        ceiling = (
            (plan.ceiling_rate * share, plan.ceiling_burst * share)
            if not self.sharing.leased_ceilings
            else (0.0, 0.0)
        )
        bucket.refill_ceiling(*(lease.owner_share if lease is not None else ceiling), now)
        in_flight = bucket.count_in_flight(now - REPORT_LIFETIME_MS)
        if asker in bucket.in_flight:
            return True
        bucket.demand.add(units + flags // 2, now)
        is_full = 0 < plan.max_in_flight <= in_flight
        admitted = (
            not is_full
            and (not plan.rate or bucket.tokens >= units)
            and (not flags % 2 or bucket.ceiling_tokens >= units)
        )
        if admitted:
            bucket.tokens -= units
            bucket.ceiling_tokens -= units * (flags % 2)
            bucket.in_flight[asker] = now
        return admitted

    def estimate_wait_ms(self, customer: Customer, units: float, own_ceiling: bool = False) -> float:
        """In how many milliseconds the owner's bucket and the own share of the ceiling have the tokens they lack."""
        bucket = self.owned_buckets.get(customer.key, customer.bucket)
        owner_share = self.owner_ceiling_share(customer.plan)
        quota_wait_ms = customer.quota_wait_ms(bucket, units)
        # The gateway's own share of a ceiling refills without a question; without advice the client would retry at
        # once, in vain.
        needs_own_ceiling = own_ceiling or not owner_share
        return max(quota_wait_ms, customer.ceiling_wait_ms(units, 1 - owner_share) if needs_own_ceiling else 0.0)

    def settle(self, request: PendingRequest, extra_units: float, ended: bool) -> None:
        """Charge units beyond those admitted, or return negative ones, where the request was admitted."""
        customer = request.customer
        if request.owner == self.settings.gateway and customer.key in self.owned_buckets:
            self.owned_buckets[customer.key].settle(
                extra_units,
                (self.settings.gateway, request.number) if ended else None,
                customer.plan.burst,
                not request.charges_own_ceiling,
            )
        elif request.owner == COUNTER:
            self.add_unreported(customer, extra_units)
        elif request.owner is not None and (extra_units or (ended and customer.plan.max_in_flight)):
            flags = ended * (1 if request.charges_own_ceiling else 2)
            entry = (SETTLE, customer.plan_index, customer.key, extra_units, flags, request.number)
            self.outbox.enqueue(request.owner, entry, repeated=ended and customer.plan.max_in_flight > 0)

    def add_unreported(self, customer: Customer, units: float) -> None:
        """Note usage to be reported later."""
        customer.unreported_units += units * (customer.plan.rate > 0)
        if units and self.sharing.counter:
            self.unreported_customers[customer.key] = customer

    def admits_unasked(self, request: PendingRequest, now: float) -> bool:
        """Whether a request is admitted without a question, and reported later.

        So it is where the plan has a ceiling only, or where the gateway's equal share of the bucket that its first
        owner reported covers the request. A report is valid for the time the owner needs to answer every gateway once
        with half of its message rate; so long does another gateway's demand stay unseen.
        """
        customer = request.customer
        plan = request.customer.plan
        tokens_left = request.customer.bucket.tokens - request.request.units * request.customer.gateway_count
        lifetime_ms = min(
            REPORT_LIFETIME_MS * max(1.0, 2 * customer.gateway_count / (self.sharing.messages_per_s + 1e-9)),
            CUSTOMER_IDLE_MS,
        )
        is_covered = (
            tokens_left >= 0
            and now - customer.reported_at <= lifetime_ms
            and customer.reported_by == customer.owners[0]
        )
        if (
            not request.charges_own_ceiling
            or plan.max_in_flight
            or self.sharing.counter
            or (plan.rate and not is_covered)
        ):
            return False
        request.owner = COUNTER
        customer.bucket.tokens = tokens_left
        self.add_unreported(customer, request.request.units)
        return True

    def enqueue_question(self, request: PendingRequest) -> None:
        """Ask the request's owner, with the usage that is not reported yet, and hold the request."""
        customer = request.customer
        self.held_requests[request.number] = request
        if units := customer.usage_to_report(request.owner, request.ask_count > 1):
            self.outbox.enqueue(request.owner, (SETTLE, customer.plan_index, customer.key, units, 0, 0))
        flags = customer.take_question_flags(request.charges_own_ceiling)
        entry = (ASK, customer.plan_index, customer.key, request.request.units, flags, request.number)
        self.outbox.enqueue(request.owner, entry)

    def call_counter(
        self, customer: Customer, units: float, request: PendingRequest | None, now: float
    ) -> interface.Count:
        """Add a request's units, and those not reported yet, to the customer's counter."""
        epoch = now // COUNTER_EPOCH_MS
        name = customer.key * 65536 + int(epoch) % 65536
        amount = units + customer.unreported_units
        customer.unreported_units = 0.0
        self.next_call_at = now + self.counter_interval_ms
        self.counter_calls.setdefault(name, []).append((customer, units, request, epoch * COUNTER_EPOCH_MS))
        return interface.Count(name, amount, COUNTER_EPOCH_MS)

    def handle_count(self, event: interface.Counted, now: float) -> list[tuple[PendingRequest, bool | None]]:
        """The request that a counter call decides, if any: whether it is admitted, or None if the call failed."""
        if not self.counter_calls.get(event.name):
            return []
        customer, units, request, epoch_at = self.counter_calls[event.name].pop(0)
        held = [] if request is None else [request]
        plan = customer.plan
        succeeded = event.result is interface.Result.OK
        factor = COUNTER_INTERVAL_FACTOR_AFTER_SUCCESS if succeeded else COUNTER_INTERVAL_FACTOR_AFTER_FAILURE
        self.counter_interval_ms = min(
            max(self.counter_interval_ms * factor, MIN_COUNTER_INTERVAL_MS), MAX_COUNTER_INTERVAL_MS
        )
        if not succeeded:
            return [(held_request, None) for held_request in held]
        tokens = plan.burst + plan.rate * (now - epoch_at) / 1000 - (event.value - units)
        if tokens > SURPLUS_BURSTS * plan.burst:  # a smaller surplus isn't worth a call
            self.add_unreported(customer, tokens - plan.burst)
        admitted = min(tokens, plan.burst) >= units
        customer.apply_report(min(tokens, plan.burst) - units * admitted, 1.0, now)
        self.add_unreported(customer, units * admitted - units)
        return [(held_request, admitted) for held_request in held]

    def handle_message(
        self, event: interface.PeerMessage | interface.Counted, now: float
    ) -> list[tuple[PendingRequest, bool | None]]:
        """The held requests that a peer's message or the counter decides; questions to this owner are answered."""
        if isinstance(event, interface.Counted):
            return self.handle_count(event, now)
        decided = []
        for kind, index, key, units, flags, number in unpack_entries(ENTRY_FORMAT, event.text):
            customer = self.customers.get(key)
            plan = self.settings.plans[min(index, len(self.settings.plans) - 1)]
            if kind == ASK:
                admitted = self.decide_as_owner(key, plan, units, now, (event.source, number), flags)
                if (bucket := self.owned_buckets.get(key)) is None:
                    continue  # too many are owned: without an answer, equal shares decide
                share = plan.rate / (bucket.demand.per_s(now) + 1e-9)
                answer = ADMITTED if admitted else REFUSED
                entry = (answer, index, key, bucket.tokens, int(min(share, 1) * 255), number)
                self.outbox.enqueue(event.source, entry)
            elif kind == SETTLE and (bucket := self.owned_buckets.get(key)):
                bucket.settle(units, (event.source, number) if flags else None, plan.burst, flags == 2)
                bucket.demand.add(units * (not number), now)  # usage without a question has number 0
            elif kind in (ADMITTED, REFUSED) and customer is not None:
                # A second owner knows little: its report counts only in place of an old one.
                if customer.confirm_usage(event.source) or now - customer.reported_at > MEMORY_MS:
                    customer.apply_report(min(units, customer.plan.burst), flags / 255, now, event.source)
                # The number may be that of a question of this gateway's predecessor, about another customer.
                request = self.held_requests.get(number)
                if request is not None and request.customer.key == key:
                    del self.held_requests[number]
                    request.owner = event.source
                    decided.append((request, kind == ADMITTED))
        return decided

    def tick(self, now: float) -> list[interface.Action]:
        """Call the counter for unreported usage, repeat reports of ends and forget what is idle."""
        calls: list[interface.Action] = []
        # One report of an end in seven was lost on a fleet, and the attempt counted for a second more.
        self.outbox.enqueue_repeats()
        while self.unreported_customers and now >= self.next_call_at:
            calls.append(self.call_counter(self.unreported_customers.popitem()[1], 0.0, None, now))
        if self.known.sweep_is_due(now):
            self.known.forget_idle(now)
            self.counter_calls = {name: calls for name, calls in self.counter_calls.items() if calls}
            held = self.held_requests.items()
            self.held_requests = {number: one for number, one in held if now < one.request.not_after_ms}
        return calls

    def has_room(self, known: dict[int, Any], now: float) -> bool:
        """Whether one more customer or bucket can be known; those are forgotten whose absence changes nothing."""
        limit = self.settings.limits.max_customers or math.inf
        if len(known) >= limit and self.known.full_sweep_is_due(now):
            in_use = {request.customer.key for request in self.held_requests.values()}
            in_use |= self.unreported_customers.keys()
            self.known.forget_unused(now, in_use, self.owner_ceiling_share)
        return len(known) < limit
