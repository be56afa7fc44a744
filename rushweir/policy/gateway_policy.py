"""The policy of one gateway: what each event leads to, by quota, in-flight capacity and servers in turn."""

import random

from rushweir import interface
from rushweir.pending_requests import PendingRequest
from rushweir.policy.in_flight_capacity import LENGTH_ALPHA, InFlightCapacity
from rushweir.policy.known_customers import FULL_SWEEP_INTERVAL_MS
from rushweir.policy.load_balancing import ServerPool
from rushweir.policy.quota import COUNTER, OWNER_ORDER, Quota
from rushweir.policy.time_constants import REPORT_LIFETIME_MS
from rushweir.state import ServerRecord
from rushweir.token_buckets import Customer

TICK_MS = 100.0  # between repartitions, and looks at waiting messages and unreported usage
ASK_TIMEOUT_MS = 60.0  # wait for an owner's answer: two transits and two ticks
OVER_QUOTA_MAX_UTILIZATION = 0.35  # of the in-flight capacity, above which nothing over its quota is admitted
RETRY_TOKENS_PER_SUCCESS = 0.3  # each answer in time adds so much to the retry budget, against retry storms
MAX_RETRY_TOKENS = 30.0  # of all gateways together
ATTEMPT_LIMIT_AIM_SHARE = 0.4  # an attempt counts as lost after this share of the aim ...
ATTEMPT_LIMIT_MEDIANS = 6.0  # ... or so many times the median time, if that is more

REQUEST_NUMBERS = 65536  # the number of a request has two bytes in messages
TICK_TIMER = 0
WATCH_TIMER = 1
FIRST_CHECK_TIMER = 2  # serials of requests and check timers start here or above


class Policy:
    """One gateway's decisions, and the requests that wait for their answer; interface.py has the contract."""

    def __init__(self, settings: interface.Settings, seed: int, now_ms: float) -> None:
        """Raises ValueError if there are no classes or plans, or the gateway's number is not below the count."""
        if not (settings.classes and settings.plans and 0 <= settings.gateway < settings.gateways):
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.settings = settings
        self.now = now_ms
        self.retry_tokens = self.max_retry_tokens = 1 + MAX_RETRY_TOKENS / settings.gateways
        self.quota = Quota(settings, rng, now_ms)
        self.capacity = InFlightCapacity(settings, now_ms)
        self.server_pool = ServerPool(settings, rng, now_ms)
        self.pending = dict[str, PendingRequest]()
        # What each check timer looks at: a request's id, and an attempt's number and the time to add before it counts
        # as lost, or a negative number of questions to owners.
        self.checks = dict[int, tuple[str, int, float]]()
        self.serial = rng.randrange(FIRST_CHECK_TIMER, REQUEST_NUMBERS)

    def start(self) -> list[interface.Action]:
        """The actions to begin with."""
        return [
            interface.SetTimer(TICK_TIMER, TICK_MS),
            *([interface.Watch()] if self.settings.ask_discovery else []),
        ]

    def handle(self, now_ms: float, event: interface.Event) -> list[interface.Action]:
        """The actions that an event leads to, with the messages that may be sent by now."""
        self.now = now_ms
        actions = self.process_event(event)
        messages = self.quota.outbox.flush(now_ms) if self.quota.outbox.waiting else ()
        return [*actions, *(interface.Tell(text, to) for to, text in messages)] if messages else actions

    def process_event(self, event: interface.Event) -> list[interface.Action]:
        """The actions that an event leads to, without messages to peers."""
        match event:
            case interface.Request():
                return self.handle_request(event)
            case interface.Outcome():
                return self.handle_outcome(event)
            case interface.Timer(ref=0):  # TICK_TIMER
                self.capacity.partition(self.server_pool.warm_ready_count(self.now), self.now)
                return [*self.quota.tick(self.now), interface.SetTimer(TICK_TIMER, TICK_MS)]
            case interface.Timer(ref=1):  # WATCH_TIMER
                return [interface.Watch()]
            case interface.Timer():
                return self.run_check(*self.checks.pop(event.ref))
            case interface.PeerMessage() | interface.Counted():
                decided = self.quota.handle_message(event, self.now)
                return [action for request, admitted in decided for action in self.decide(request, admitted)]
            case interface.Members():
                self.server_pool.update_members(event, self.now)
                self.capacity.partition(self.server_pool.warm_ready_count(self.now), self.now)
                watch_again = event.scope is interface.Scope.FAILED and self.settings.ask_discovery
                return [interface.SetTimer(WATCH_TIMER, REPORT_LIFETIME_MS)] * watch_again
            case interface.Part():
                self.quota.apply_lease(event, self.now)
            case interface.Settings():  # of the same gateway; what was learned stays
                self.settings = event
                self.quota.apply_settings(event, self.now)
                open_classes = {request.request.class_name for request in self.pending.values()}
                self.capacity.apply_settings(event, open_classes, self.now)
                self.server_pool.apply_settings(event)
            case interface.Gone() | interface.FirstByte() if event.id in self.pending:
                self.finish(self.pending[event.id])
        return []

    def run_check(self, request_id: str, attempt: int, extra_ms: float) -> list[interface.Action]:
        """Look at a request as its check timer expires.

        A negative ``attempt`` counts the questions so far: the next owner is asked if none has answered. Otherwise
        the attempt has outlived several usual answers. ``extra_ms``: the time it is given more, if its server answers
        others.
        """
        request = self.pending.get(request_id)
        if request is None or request.answered:
            return []
        if attempt < 0:
            return self.ask_owner(request) if request.ask_count == -attempt and not request.attempts else []
        server = self.server_pool.servers.get(request.attempts[attempt][0].address)
        if attempt not in request.in_flight:
            return []
        server_answers = server is not None and server.last_answer_at >= request.attempts[attempt][1]
        if server_answers and (extra_ms or self.capacity.under_pressure(self.now)):
            # Its server answers others, so the request is long or its connection swallowed it. It gets as much time
            # again, more on slow kinds and cold servers, and then counts as lost, unless all requests take long. One
            # that takes longer still starts anew.
            return [self.schedule_check(request, attempt, extra_ms)] if extra_ms else []
        # The attempt counts as lost. It is repeated only in time: late repeats jammed a fleet (incident L33b1c1).
        # With servers that nobody else tries, a long request is sent twice.
        may_cancel = self.settings.limits.cancel and request.request_class.effect is not interface.Effect.UNSAFE
        if may_cancel and self.is_retry_useful(request):
            return [interface.Cancel(request_id, attempt)]
        if not server_answers:
            self.capacity.partitions.release(request.reservation)
            request.reservation = []
        return []

    def is_retry_useful(self, request: PendingRequest) -> bool:
        """Whether one more attempt is within the limits, and likely to end within the aim."""
        ends_at = self.now + self.capacity.lengths[request.request.class_name].value
        is_allowed = self.retry_tokens >= 1 and len(request.attempts) < self.settings.limits.max_attempts
        return is_allowed and ends_at < min(request.aim_at, request.request.not_after_ms)

    def ask_owner(self, request: PendingRequest, order: list[int] | None = None) -> list[interface.Action]:
        """Decide on a request by its customer's quota, or ask the owner of its bucket.

        ``order``: the partitions that it may reserve from, if they were looked up just now.
        """
        customer = request.customer
        units = request.request.units
        now = self.now
        own_limit = int(customer.plan.max_in_flight / customer.gateway_count + 0.5)
        if own_limit and not customer.plan.rate:
            # With many messages an end reaches the owner late, and the attempt counts until then. Where each gateway
            # has an attempt of its own to grant, it asks nobody. A customer that uses all gateways at once gets up to
            # half an attempt more for each of them.
            return self.decide(request, customer.open_attempts < own_limit, order)
        request.owner = self.quota.choose_owner(customer, request.ask_count, now)
        # Only the first owner has a share of the ceiling to charge.
        can_pay = request.charges_own_ceiling or request.owner == customer.owners[0]
        request.owner = request.owner if can_pay else None
        request.ask_count += 1
        if request.owner == self.settings.gateway:
            asker = (self.settings.gateway, request.number)
            flags = customer.take_question_flags(request.charges_own_ceiling)
            admitted = self.quota.decide_as_owner(customer.key, customer.plan, units, now, asker, flags)
            return self.decide(request, admitted, order)
        if self.quota.admits_unasked(request, now):
            return self.decide(request, True, order)
        if request.owner is None or now + ASK_TIMEOUT_MS * len(OWNER_ORDER) > request.request.not_after_ms:
            return self.decide(request, self.quota.decide_by_equal_share(request, now), order)
        if request.owner == COUNTER:  # needs no timer: a call always ends by itself
            return [self.quota.call_counter(customer, units, request, now)]
        self.quota.enqueue_question(request)
        return [self.schedule_check(request, -request.ask_count, ASK_TIMEOUT_MS)]

    def schedule_check(
        self, request: PendingRequest, attempt: int, after_ms: float, extra_ms: float = 0.0
    ) -> interface.SetTimer:
        """A timer that has ``run_check`` look at a request."""
        self.serial += 1
        self.checks[self.serial] = (request.request.id, attempt, extra_ms)
        return interface.SetTimer(self.serial, after_ms)

    def decide(
        self, pending: PendingRequest, admitted: bool | None, order: list[int] | None = None
    ) -> list[interface.Action]:
        """Send or refuse a request, given whether its quota admits it; None if the counter was late or full."""
        if admitted is None:
            return self.ask_owner(pending)
        request = pending.request
        customer = pending.customer
        if pending.answered or pending.attempts:  # gone, or decided already: what a late answer charged is returned
            if admitted:
                self.quota.settle(pending, -request.units, True)
            return []
        is_chosen = admitted or self.admits_over_quota(customer)
        server = self.server_pool.choose(self.now, lambda entry: True, set()) if is_chosen else None
        # Capacity is reserved only now: requests that wait for an answer are no server's work, and took most of B.
        if server is not None and order is None:
            order = self.capacity.find_partitions(request.class_name, request.units, pending.reserved_share, self.now)
        if (
            server is not None
            and order is not None
            and ((admitted and self.quota.owner_charged_ceiling(pending)) or pending.charge_own_ceiling())
        ):
            pending.within_quota = admitted
            pending.reservation = self.capacity.partitions.reserve(order, request.units)
            return self.send_attempt(pending, server)
        if admitted:
            self.quota.settle(pending, -request.units, True)
        customer.ceiling_tokens += request.units * pending.charges_own_ceiling
        self.finish(pending)
        if server is not None and order is None:
            return [self.refusal(request, "room", self.capacity.estimate_wait_ms(request.class_name, request.units))]
        if server or not pending.charges_own_ceiling:
            reason = "ceiling"
        elif admitted or self.admits_over_quota(customer):
            reason = "no_node"
        else:
            reason = "quota"
        wait_ms = self.quota.estimate_wait_ms(customer, request.units, not pending.charges_own_ceiling)
        return [self.refusal(request, reason, wait_ms)]

    def admits_over_quota(self, customer: Customer) -> bool:
        """Whether requests beyond a customer's quota are admitted: there is capacity to spare and they earn more than
        they cost."""
        has_spare_capacity = (
            not self.capacity.under_pressure(self.now)
            and self.capacity.partitions.utilization() < OVER_QUOTA_MAX_UTILIZATION
        )
        plan = customer.plan
        return has_spare_capacity and plan.over_worth > plan.over_cost and not plan.max_in_flight

    def refusal(self, request: interface.Request, reason: str, wait_ms: float = 0.0) -> interface.Refuse:
        """A refusal with advice when to try again, as far as the limits allow it."""
        limits = self.settings.limits
        return interface.Refuse(request.id, min(wait_ms, limits.max_retry_after_ms) * limits.retry_after, reason)

    def handle_request(self, request: interface.Request) -> list[interface.Action]:
        """Refuse a request that has no chance, and ask for the others."""
        now = self.now
        request_class = self.capacity.classes.get(request.class_name)
        customer = self.quota.customer(request, self.now)
        if request_class is None or (customer is None and request.plan not in self.quota.plans):
            return [self.refusal(request, "unknown")]
        if customer is None:
            return [self.refusal(request, "too_many_customers", FULL_SWEEP_INTERVAL_MS)]
        self.capacity.popularity[request.class_name].add(request.units, now)
        self.capacity.mean_units += LENGTH_ALPHA * (request.units - self.capacity.mean_units)
        over_ceiling = customer.ceiling_tokens < request.units and not self.quota.owner_ceiling_share(customer.plan)
        if over_ceiling or (
            self.quota.should_skip_asking(customer, request.units, now) and not self.admits_over_quota(customer)
        ):
            customer.unasked_demand += request.units
            reason = "ceiling" if over_ceiling else "quota"
            return [self.refusal(request, reason, self.quota.estimate_wait_ms(customer, request.units))]
        reserved_share = self.capacity.reserved_share(request.class_name, customer.plan.price)
        order = self.capacity.find_partitions(request.class_name, request.units, reserved_share, now)
        if order is None:
            return [self.refusal(request, "room", self.capacity.estimate_wait_ms(request.class_name, request.units))]
        self.serial += 1
        pending = PendingRequest(
            request,
            request_class,
            customer,
            reserved_share,
            now + request_class.aim_ms,
            self.serial % REQUEST_NUMBERS,
        )
        self.pending[request.id] = pending
        pending.charge_own_ceiling()
        return self.ask_owner(pending, order)

    def send_attempt(self, pending: PendingRequest, server: ServerRecord) -> list[interface.Action]:
        """Send an attempt, and set a timer for when it counts as lost."""
        attempt = pending.add_attempt(server, self.now)
        request = pending.request
        median_ms = self.capacity.lengths[request.class_name].value * self.capacity.median_ratio
        limit_ms = max(ATTEMPT_LIMIT_AIM_SHARE * pending.request_class.aim_ms, ATTEMPT_LIMIT_MEDIANS * median_ms)
        actions: list[interface.Action] = [interface.Send(request.id, server.entry.address, request.not_after_ms)]
        if self.now + limit_ms < request.not_after_ms:
            # The latency of the server's kind: its own one includes lost attempts.
            slowness = server.health[-1].relative_latency.value / self.server_pool.warm_up(server, self.now)
            actions.append(self.schedule_check(pending, attempt, limit_ms, limit_ms * max(1.0, slowness)))
        return actions

    def handle_outcome(self, event: interface.Outcome) -> list[interface.Action]:
        """Learn from the end of an attempt, and retry or answer its request if it needs that."""
        pending = self.pending.get(event.id)
        now = self.now
        if pending is None or event.attempt not in pending.in_flight:
            return []
        class_name = pending.request.class_name
        units = pending.request.units
        pending.end_attempt(event.attempt)
        if event.result is interface.Result.OK and now < pending.aim_at:
            self.retry_tokens = min(self.max_retry_tokens, self.retry_tokens + RETRY_TOKENS_PER_SUCCESS)
        if not self.server_pool.record_outcome(event, self.capacity.lengths[class_name].value, now):
            self.capacity.observe_outcome(class_name, event, units, now)
        if not event.result.never_ran and pending.first_executed is None:
            pending.first_executed = pending.attempts[event.attempt]
        if event.cost and pending.within_quota:
            self.quota.settle(pending, event.cost - units, False)
        if event.settled or pending.answered:
            self.finish(pending)
        return [] if pending.answered or pending.in_flight else self.retry_or_finish(pending)

    def retry_or_finish(self, pending: PendingRequest) -> list[interface.Action]:
        """Send another attempt of a request if that is allowed and useful, else refuse or fail it."""
        now = self.now
        request_class = pending.request_class
        is_safe = request_class.effect is interface.Effect.SAFE
        is_keyed = request_class.effect is interface.Effect.KEYED
        # Servers remember a key from the client's request at the earliest, and a retry may have to wait for a new
        # connection.
        window_ends_at = (
            pending.aim_at - request_class.aim_ms + request_class.window_ms - self.settings.limits.dial_timeout_ms
        )
        may_retry = pending.first_executed is None or is_safe or (is_keyed and now < window_ends_at)
        if may_retry and self.is_retry_useful(pending):
            tried = {entry.address for entry, _ in pending.attempts}
            server = self.server_pool.choose(now, lambda entry: self.may_retry_on(pending, entry), tried)
            if server is not None:
                self.retry_tokens -= 1
                return self.send_attempt(pending, server)
        self.finish(pending)
        is_safe_to_retry = (
            pending.first_executed is None or is_safe or (is_keyed and request_class.group is interface.Group.ALL)
        )
        request = pending.request
        wait_ms = self.capacity.estimate_wait_ms(request.class_name, request.units)
        if is_safe_to_retry and now < request.not_after_ms:
            return [self.refusal(request, "attempts", wait_ms)]
        return [interface.Fail(request.id)]

    def may_retry_on(self, pending: PendingRequest, entry: interface.Server) -> bool:
        """Whether a server would drop a repeat of what may have run, or no server needs to."""
        request_class = pending.request_class
        if (
            pending.first_executed is None
            or request_class.effect is not interface.Effect.KEYED
            or request_class.group is interface.Group.ALL
        ):
            return True
        first_server = pending.first_executed[0]
        if request_class.group is interface.Group.ZONE:
            return entry.zone == first_server.zone
        return entry.cell == first_server.cell

    def finish(self, pending: PendingRequest) -> None:
        """Mark a request as answered; once no attempt is in flight, release what it holds."""
        pending.answered = True
        if not pending.in_flight and self.pending.pop(pending.request.id, None) is not None:
            self.capacity.partitions.release(pending.reservation)
            if pending.within_quota:
                self.quota.settle(pending, 0.0, True)
