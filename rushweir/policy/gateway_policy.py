"""One gateway: what its events lead to, with quota, room and servers asked in turn."""

import random

from rushweir import interface as i
from rushweir import state as st
from rushweir.pending_requests import PendingRequest
from rushweir.policy.in_flight_capacity import LENGTH_ALPHA, InFlightCapacity
from rushweir.policy.load_balancing import ServerPool
from rushweir.policy.quota import COUNTER, OWNER_ORDER, Quota
from rushweir.policy.time_constants import REPORT_LIFETIME_MS
from rushweir.token_buckets import Customer

TICK_MS = 100.0  # parts, mail that waits and what is owed to the counter are looked after this often
ASK_TIMEOUT_MS = 60.0  # wait for a keeper's answer: two ways and two ticks
OVER_QUOTA_MAX_UTILIZATION = 0.35  # of the room: open to work beyond quotas
RETRY_TOKENS_PER_SUCCESS, MAX_RETRY_TOKENS = (
    0.3,
    30.0,
)  # retry budget per answer in time, and at most of all: no retry storm
ATTEMPT_LIMIT_AIM_SHARE, ATTEMPT_LIMIT_MEDIANS = (
    0.4,
    6.0,
)  # of the aim, and of the median time: then an attempt counts as lost


class Policy:
    """One gateway's decisions, and the requests that are owed an answer; interface.py has the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not (settings.classes and settings.plans and 0 <= settings.gateway < settings.gateways):
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.settings, self.now = settings, now_ms
        self.retry_tokens = self.max_retry_tokens = 1 + MAX_RETRY_TOKENS / settings.gateways
        self.quota, self.capacity = Quota(settings, rng, now_ms), InFlightCapacity(settings, now_ms)
        self.server_pool, self.pending = ServerPool(settings, rng, now_ms), dict[str, PendingRequest]()
        self.checks, self.serial = dict[int, tuple[str, int, float]](), rng.randrange(2, 65536)

    def start(self) -> list[i.Action]:
        return [i.SetTimer(0, TICK_MS), *([i.Watch()] if self.settings.ask_discovery else [])]

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]:
        self.now = now_ms
        actions = self.process_event(event)
        mail = self.quota.outbox.flush(now_ms) if self.quota.outbox.waiting else ()
        return [*actions, *(i.Tell(text, to) for to, text in mail)] if mail else actions

    def process_event(self, event: i.Event) -> list[i.Action]:
        match event:
            case i.Request():
                return self.handle_request(event)
            case i.Outcome():
                return self.handle_outcome(event)
            case i.Timer(ref=0):
                self.capacity.partition(self.server_pool.warm_ready_count(self.now), self.now)
                return [*self.quota.tick(self.now), i.SetTimer(0, TICK_MS)]
            case i.Timer(ref=1):
                return [i.Watch()]
            case i.Timer():
                return self.run_check(*self.checks.pop(event.ref))
            case i.PeerMessage() | i.Counted():
                answers = self.quota.handle_message(event, self.now)
                return [a for t, told in answers for a in self.decide(t, told)]
            case i.Members():
                self.server_pool.update_members(event, self.now)
                self.capacity.partition(self.server_pool.warm_ready_count(self.now), self.now)
                return [i.SetTimer(1, REPORT_LIFETIME_MS)] * (
                    event.scope is i.Scope.FAILED and self.settings.ask_discovery
                )
            case i.Part():
                self.quota.apply_lease(event, self.now)
            case i.Settings():  # of the same gateway; what was learnt stays
                self.settings = event
                self.quota.apply_settings(event, self.now)
                self.capacity.apply_settings(event, {t.request.class_name for t in self.pending.values()}, self.now)
                self.server_pool.apply_settings(event)
            case i.Gone() | i.FirstByte() if event.id in self.pending:
                self.finish(self.pending[event.id])
        return []

    def run_check(self, rid: str, n: int, more_ms: float) -> list[i.Action]:
        t = self.pending.get(rid)
        if t is None or t.answered:
            return []
        if n < 0:  # still held: ask again
            return self.ask_owner(t) if t.ask_count == -n and not t.attempts else []
        # Lost: it outlived several usual answers, and its server answered nobody since. Repeated only in time: late
        # repeats jammed a fleet (L33b1c1). Harm: with servers that nobody else tries, a long request is sent twice.
        b = self.server_pool.servers.get(t.attempts[n][0].address)
        if n not in t.in_flight:
            return []
        alive = b is not None and b.last_answer_at >= t.attempts[n][1]
        if alive and (more_ms or self.capacity.under_pressure(self.now)):
            # Its server answers others: it is long, or its connection swallowed it. Long ones get as much time again,
            # on slow kinds and cold servers more; then it is lost, unless all are long. Harm: longer ones begin anew.
            return [self.schedule_check(t, n, more_ms)] if more_ms else []
        if self.settings.limits.cancel and t.request_class.effect is not i.Effect.UNSAFE and self.is_retry_useful(t):
            return [i.Cancel(rid, n)]
        if not alive:
            self.capacity.partitions.release(t.reservation)
            t.reservation = []
        return []

    def is_retry_useful(self, t: PendingRequest) -> bool:
        """Whether one more attempt is within the limits, and likely to end within the aim."""
        ends = self.now + self.capacity.lengths[t.request.class_name].value
        left = self.retry_tokens >= 1 and len(t.attempts) < self.settings.limits.max_attempts
        return left and ends < min(t.aim_at, t.request.not_after_ms)

    def ask_owner(self, t: PendingRequest, order: list[int] | None = None) -> list[i.Action]:
        """``order``: the parts it may draw from, where that was looked at just now."""
        c, units, now = t.customer, t.request.units, self.now
        own = int(c.plan.max_in_flight / c.gateway_count + 0.5)
        if own and not c.plan.rate:
            # On busy mail a place lies with its keeper for long. Where each door has one of its own to give it needs
            # no word. Harm: a customer that asks all doors at once gets up to half a place more for each of them.
            return self.decide(t, c.open_attempts < own, order)
        t.owner = self.quota.choose_owner(c, t.ask_count, now)
        t.owner = t.owner if t.own_ceiling_pays or t.owner == c.owners[0] else None  # none but the first pays
        t.ask_count += 1
        if t.owner == self.settings.gateway:
            who = (self.settings.gateway, t.number)
            return self.decide(
                t,
                self.quota.decide_as_owner(c.key, c.plan, units, now, who, c.take_question_flags(t.own_ceiling_pays)),
                order,
            )
        if self.quota.admits_unasked(t, now):
            return self.decide(t, True, order)
        if t.owner is None or now + ASK_TIMEOUT_MS * len(OWNER_ORDER) > t.request.not_after_ms:
            return self.decide(t, self.quota.decide_by_equal_share(t, now), order)
        if t.owner == COUNTER:  # needs no timer: a call always ends by itself
            return [self.quota.call_counter(c, units, t, now)]
        self.quota.enqueue_question(t)
        return [self.schedule_check(t, -t.ask_count, ASK_TIMEOUT_MS)]

    def schedule_check(self, t: PendingRequest, n: int, after_ms: float, more_ms: float = 0.0) -> i.SetTimer:
        self.serial += 1
        self.checks[self.serial] = (t.request.id, n, more_ms)
        return i.SetTimer(self.serial, after_ms)

    def decide(self, t: PendingRequest, inside: bool | None, order: list[int] | None = None) -> list[i.Action]:
        if inside is None:  # the counter is late or full
            return self.ask_owner(t)
        r, c = t.request, t.customer
        if t.answered or t.attempts:  # gone, or decided before this word came: what it let in goes back
            if inside:
                self.quota.settle(t, -r.units, True)
            return []
        server = (
            self.server_pool.choose(self.now, lambda e: True, set()) if inside or self.admits_over_quota(c) else None
        )
        # Only now is room drawn: what waits for a word is in no server's work, and took most of B.
        if server is not None and order is None:
            order = self.capacity.find_partitions(r.class_name, r.units, t.reserved_share, self.now)
        if (
            server is not None
            and order is not None
            and ((inside and self.quota.owner_charged_ceiling(t)) or self.quota.charge_own_ceiling(t))
        ):
            t.within_quota, t.reservation = inside, self.capacity.partitions.reserve(order, r.units)
            return self.send_attempt(t, server)
        if inside:
            self.quota.settle(t, -r.units, True)
        c.ceiling_tokens += r.units * t.own_ceiling_pays
        self.finish(t)
        if server is not None and order is None:
            return [self.refusal(r, "room", self.capacity.estimate_wait_ms(r.class_name, r.units))]
        why = (
            "ceiling"
            if server or not t.own_ceiling_pays
            else "no_node"
            if inside or self.admits_over_quota(c)
            else "quota"
        )
        return [self.refusal(r, why, self.quota.estimate_wait_ms(c, r.units, not t.own_ceiling_pays))]

    def admits_over_quota(self, c: Customer) -> bool:
        free = (
            not self.capacity.under_pressure(self.now)
            and self.capacity.partitions.utilization() < OVER_QUOTA_MAX_UTILIZATION
        )
        return free and c.plan.over_worth > c.plan.over_cost and not c.plan.max_in_flight

    def refusal(self, r: i.Request, why: str, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(
            r.id, min(wait, self.settings.limits.max_retry_after_ms) * self.settings.limits.retry_after, why
        )

    def handle_request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.capacity.classes.get(r.class_name), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refusal(r, "unknown")]
        self.capacity.popularity[r.class_name].add(r.units, now)
        self.capacity.mean_units += LENGTH_ALPHA * (r.units - self.capacity.mean_units)
        shut = c.ceiling_tokens < r.units and not self.quota.owner_ceiling_share(c.plan)
        if shut or (self.quota.is_hopeless(c, r.units, now) and not self.admits_over_quota(c)):
            c.unasked_demand += r.units
            return [self.refusal(r, "ceiling" if shut else "quota", self.quota.estimate_wait_ms(c, r.units))]
        keep = self.capacity.reserved_share(r.class_name, c.plan.price)
        if (order := self.capacity.find_partitions(r.class_name, r.units, keep, now)) is None:
            return [self.refusal(r, "room", self.capacity.estimate_wait_ms(r.class_name, r.units))]
        self.serial += 1
        t = self.pending[r.id] = PendingRequest(r, cls, c, keep, now + cls.aim_ms, self.serial % 65536)
        self.quota.charge_own_ceiling(t)
        return self.ask_owner(t, order)

    def send_attempt(self, t: PendingRequest, b: st.ServerRecord) -> list[i.Action]:
        n, usual = (
            t.add_attempt(b, self.now),
            self.capacity.lengths[t.request.class_name].value * self.capacity.median_ratio,
        )
        limit = max(ATTEMPT_LIMIT_AIM_SHARE * t.request_class.aim_ms, ATTEMPT_LIMIT_MEDIANS * usual)
        go: list[i.Action] = [i.Send(t.request.id, b.entry.address, t.request.not_after_ms)]
        if self.now + limit < t.request.not_after_ms:
            slow = b.health[-1].relative_latency.value / self.server_pool.warm_up(
                b, self.now
            )  # its own slowness is of lost ones too
            go.append(self.schedule_check(t, n, limit, limit * max(1.0, slow)))
        return go

    def handle_outcome(self, e: i.Outcome) -> list[i.Action]:
        t, now = self.pending.get(e.id), self.now
        if t is None or e.attempt not in t.in_flight:
            return []
        t.end_attempt(e.attempt)
        if e.result is i.Result.OK and now < t.aim_at:
            self.retry_tokens = min(self.max_retry_tokens, self.retry_tokens + RETRY_TOKENS_PER_SUCCESS)
        if not self.server_pool.record_outcome(e, self.capacity.lengths[t.request.class_name].value, now):
            self.capacity.observe_outcome(t.request.class_name, e, t.request.units, now)
        if not e.result.never_ran and t.first_executed is None:
            t.first_executed = t.attempts[e.attempt]
        if e.cost and t.within_quota:
            self.quota.settle(t, e.cost - t.request.units, False)
        if e.settled or t.answered:
            self.finish(t)
        return [] if t.answered or t.in_flight else self.retry_or_finish(t)

    def retry_or_finish(self, t: PendingRequest) -> list[i.Action]:
        now, cls, keyed = self.now, t.request_class, t.request_class.effect is i.Effect.KEYED
        # Keys are remembered from the client's first word at the earliest; a repeat may have to wait for its dial.
        ends = t.aim_at - cls.aim_ms + cls.window_ms - self.settings.limits.dial_timeout_ms
        may = t.first_executed is None or cls.effect is i.Effect.SAFE or (keyed and now < ends)
        if may and self.is_retry_useful(t):
            tried = {s.address for s, _ in t.attempts}
            if (b := self.server_pool.choose(now, lambda e: self.may_retry_on(t, e), tried)) is not None:
                self.retry_tokens -= 1
                return self.send_attempt(t, b)
        self.finish(t)
        harmless = t.first_executed is None or cls.effect is i.Effect.SAFE or (keyed and cls.group is i.Group.ALL)
        wait = self.capacity.estimate_wait_ms(t.request.class_name, t.request.units)
        return [
            self.refusal(t.request, "attempts", wait)
            if harmless and now < t.request.not_after_ms
            else i.Fail(t.request.id)
        ]

    def may_retry_on(self, t: PendingRequest, e: i.Server) -> bool:
        if (
            t.first_executed is None
            or t.request_class.effect is not i.Effect.KEYED
            or t.request_class.group is i.Group.ALL
        ):
            return True
        return (
            e.zone == t.first_executed[0].zone
            if t.request_class.group is i.Group.ZONE
            else e.cell == t.first_executed[0].cell
        )

    def finish(self, t: PendingRequest) -> None:
        t.answered = True
        if not t.in_flight and self.pending.pop(t.request.id, None) is not None:
            self.capacity.partitions.release(t.reservation)
            if t.within_quota:
                self.quota.settle(t, 0.0, True)
