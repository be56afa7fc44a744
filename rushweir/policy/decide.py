"""One gateway: what its events lead to, with quota, room and servers asked in turn."""

import random

from rushweir import interface as i
from rushweir import state as st
from rushweir.policy.quota import ASKS, COUNTER, Quota
from rushweir.policy.room import LENGTH_ALPHA, Room
from rushweir.policy.servers import Fleet
from rushweir.policy.times import SILENT_MS

TICK_MS = 100.0  # parts, mail that waits and what is owed to the counter are looked after this often
ASK_MS = 60.0  # wait for a keeper's answer: two ways and two ticks
SOFT_PART = 0.35  # of the room: open to work beyond quotas
RETRY_PART, RETRY_MOST = 0.3, 30.0  # retry budget per answer in time, and at most of all: no retry storm
LIMIT_AIM, LIMIT_TIMES = 0.4, 6.0  # of the aim, and of the median time: then an attempt counts as lost


class Policy:
    """One gateway's decisions, and the requests that are owed an answer; interface.py has the contract."""

    def __init__(self, settings: i.Settings, seed: int, now_ms: float) -> None:
        if not (settings.classes and settings.plans and 0 <= settings.me < settings.gateways):
            raise ValueError("settings need classes, plans and a gateway number below the count")
        rng = random.Random(seed)
        self.s, self.now = settings, now_ms
        self.retries = self.most_retries = 1 + RETRY_MOST / settings.gateways
        self.quota, self.room = Quota(settings, rng, now_ms), Room(settings, now_ms)
        self.fleet, self.tickets = Fleet(settings, rng, now_ms), dict[str, st.Ticket]()
        self.checks, self.serial = dict[int, tuple[str, int, float]](), rng.randrange(2, 65536)

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
            case i.Timer(ref=0):
                self.room.partition(self.fleet.able(self.now), self.now)
                return [*self.quota.tick(self.now), i.SetTimer(0, TICK_MS)]
            case i.Timer(ref=1):
                return [i.Watch()]
            case i.Timer():
                return self.check(*self.checks.pop(event.ref))
            case i.PeerMessage() | i.Counted():
                answers = self.quota.hear(event, self.now)
                return [a for t, told in answers for a in self.decide(t, told)]
            case i.Members():
                self.fleet.update(event, self.now)
                self.room.partition(self.fleet.able(self.now), self.now)
                return [i.SetTimer(1, SILENT_MS)] * (event.scope is i.Scope.FAILED and self.s.ask_discovery)
            case i.Part():
                self.quota.lend(event, self.now)
            case i.Settings():  # of the same gateway; what was learnt stays
                self.s = event
                self.quota.adopt(event, self.now)
                self.room.adopt(event, {t.r.cls for t in self.tickets.values()}, self.now)
                self.fleet.adopt(event)
            case i.Gone() | i.FirstByte() if event.id in self.tickets:
                self.end(self.tickets[event.id])
        return []

    def check(self, rid: str, n: int, more_ms: float) -> list[i.Action]:
        t = self.tickets.get(rid)
        if t is None or t.done:
            return []
        if n < 0:  # still held: ask again
            return self.ask(t) if t.asks == -n and not t.sends else []
        # Lost: it outlived several usual answers, and its server answered nobody since. Repeated only in time: late
        # repeats jammed a fleet (L33b1c1). Harm: with servers that nobody else tries, a long request is sent twice.
        b = self.fleet.servers.get(t.sends[n][0].address)
        if n not in t.out:
            return []
        alive = b is not None and b.answered >= t.sends[n][1]
        if alive and (more_ms or self.room.pressed(self.now)):
            # Its server answers others: it is long, or its connection swallowed it. Long ones get as much time again,
            # on slow kinds and cold servers more; then it is lost, unless all are long. Harm: longer ones begin anew.
            return [self.later(t, n, more_ms)] if more_ms else []
        if self.s.limits.cancel and t.cls.effect is not i.Effect.UNSAFE and self.useful(t):
            return [i.Cancel(rid, n)]
        if not alive:
            self.room.parts.give_back(t.grant)
            t.grant = []
        return []

    def useful(self, t: st.Ticket) -> bool:
        """Whether one more attempt is within the limits, and likely to end within the aim."""
        ends = self.now + self.room.length[t.r.cls].value
        left = self.retries >= 1 and len(t.sends) < self.s.limits.max_attempts
        return left and ends < min(t.aim_at, t.r.not_after_ms)

    def ask(self, t: st.Ticket, order: list[int] | None = None) -> list[i.Action]:
        """``order``: the parts it may draw from, where that was looked at just now."""
        c, units, now = t.c, t.r.units, self.now
        own = int(c.plan.open_limit / c.doors + 0.5)
        if own and not c.plan.rate:
            # On busy mail a place lies with its keeper for long. Where each door has one of its own to give it needs
            # no word. Harm: a customer that asks all doors at once gets up to half a place more for each of them.
            return self.decide(t, c.open < own, order)
        t.keeper = self.quota.keeper(c, t.asks, now)
        t.keeper = t.keeper if t.own or t.keeper == c.ranks[0] else None  # none but the first pays
        t.asks += 1
        if t.keeper == self.s.me:
            who = (self.s.me, t.number)
            return self.decide(t, self.quota.keep(c.hash, c.plan, units, now, who, c.over(t.own)), order)
        if self.quota.known(t, now):
            return self.decide(t, True, order)
        if t.keeper is None or now + ASK_MS * len(ASKS) > t.r.not_after_ms:
            return self.decide(t, self.quota.even(t, now), order)
        if t.keeper == COUNTER:  # needs no timer: a call always ends by itself
            return [self.quota.call(c, units, t, now)]
        self.quota.ask(t)
        return [self.later(t, -t.asks, ASK_MS)]

    def later(self, t: st.Ticket, n: int, after_ms: float, more_ms: float = 0.0) -> i.SetTimer:
        self.serial += 1
        self.checks[self.serial] = (t.r.id, n, more_ms)
        return i.SetTimer(self.serial, after_ms)

    def decide(self, t: st.Ticket, inside: bool | None, order: list[int] | None = None) -> list[i.Action]:
        if inside is None:  # the counter is late or full
            return self.ask(t)
        r, c = t.r, t.c
        if t.done or t.sends:  # gone, or decided before this word came: what it let in goes back
            if inside:
                self.quota.settle(t, -r.units, True)
            return []
        server = self.fleet.choose(self.now, lambda e: True, set()) if inside or self.soft(c) else None
        # Only now is room drawn: what waits for a word is in no server's work, and took most of B.
        if server is not None and order is None:
            order = self.room.fits(r.cls, r.units, t.keep, self.now)
        if server is not None and order is not None and ((inside and self.quota.paid(t)) or self.quota.pay(t)):
            t.inside, t.grant = inside, self.room.parts.draw(order, r.units)
            return self.send(t, server)
        if inside:
            self.quota.settle(t, -r.units, True)
        c.ceiling += r.units * t.own
        self.end(t)
        if server is not None and order is None:
            return [self.refuse(r, "room", self.room.wait(r.cls, r.units))]
        why = "ceiling" if server or not t.own else "no_node" if inside or self.soft(c) else "quota"
        return [self.refuse(r, why, self.quota.wait(c, r.units, not t.own))]

    def soft(self, c: st.Customer) -> bool:
        free = not self.room.pressed(self.now) and self.room.parts.full() < SOFT_PART
        return free and c.plan.over_worth > c.plan.over_cost and not c.plan.open_limit

    def refuse(self, r: i.Request, why: str, wait: float = 0.0) -> i.Refuse:
        return i.Refuse(r.id, min(wait, self.s.limits.max_retry_after_ms) * self.s.limits.retry_after, why)

    def request(self, r: i.Request) -> list[i.Action]:
        now, cls, c = self.now, self.room.classes.get(r.cls), self.quota.customer(r, self.now)
        if cls is None or c is None:
            return [self.refuse(r, "unknown")]
        self.room.asked[r.cls].add(r.units, now)
        self.room.mean_units += LENGTH_ALPHA * (r.units - self.room.mean_units)
        shut = c.ceiling < r.units and not self.quota.part(c.plan)
        if shut or (self.quota.vain(c, r.units, now) and not self.soft(c)):
            c.missed += r.units
            return [self.refuse(r, "ceiling" if shut else "quota", self.quota.wait(c, r.units))]
        keep = self.room.keep(r.cls, c.plan.price)
        if (order := self.room.fits(r.cls, r.units, keep, now)) is None:
            return [self.refuse(r, "room", self.room.wait(r.cls, r.units))]
        self.serial += 1
        t = self.tickets[r.id] = st.Ticket(r, cls, c, keep, now + cls.aim_ms, self.serial % 65536)
        self.quota.pay(t)
        return self.ask(t, order)

    def send(self, t: st.Ticket, b: st.Backend) -> list[i.Action]:
        n, usual = t.sent(b, self.now), self.room.length[t.r.cls].value * self.room.median
        limit = max(LIMIT_AIM * t.cls.aim_ms, LIMIT_TIMES * usual)
        go: list[i.Action] = [i.Send(t.r.id, b.entry.address, t.r.not_after_ms)]
        if self.now + limit < t.r.not_after_ms:
            slow = b.health[-1].slow.value / self.fleet.warmth(b, self.now)  # its own slowness is of lost ones too
            go.append(self.later(t, n, limit, limit * max(1.0, slow)))
        return go

    def outcome(self, e: i.Outcome) -> list[i.Action]:
        t, now = self.tickets.get(e.id), self.now
        if t is None or e.attempt not in t.out:
            return []
        t.back(e.attempt)
        if e.result is i.Result.OK and now < t.aim_at:
            self.retries = min(self.most_retries, self.retries + RETRY_PART)
        if not self.fleet.done(e, self.room.length[t.r.cls].value, now):
            self.room.observe(t.r.cls, e, t.r.units, now)
        if not e.result.never_ran and t.ran is None:
            t.ran = t.sends[e.attempt]
        if e.cost and t.inside:
            self.quota.settle(t, e.cost - t.r.units, False)
        if e.settled or t.done:
            self.end(t)
        return [] if t.done or t.out else self.again(t)

    def again(self, t: st.Ticket) -> list[i.Action]:
        now, cls, keyed = self.now, t.cls, t.cls.effect is i.Effect.KEYED
        # Keys are remembered from the client's first word at the earliest; a repeat may have to wait for its dial.
        ends = t.aim_at - cls.aim_ms + cls.window_ms - self.s.limits.dial_ms
        may = t.ran is None or cls.effect is i.Effect.SAFE or (keyed and now < ends)
        if may and self.useful(t):
            tried = {s.address for s, _ in t.sends}
            if (b := self.fleet.choose(now, lambda e: self.may_go(t, e), tried)) is not None:
                self.retries -= 1
                return self.send(t, b)
        self.end(t)
        harmless = t.ran is None or cls.effect is i.Effect.SAFE or (keyed and cls.group is i.Group.ALL)
        wait = self.room.wait(t.r.cls, t.r.units)
        return [self.refuse(t.r, "attempts", wait) if harmless and now < t.r.not_after_ms else i.Fail(t.r.id)]

    def may_go(self, t: st.Ticket, e: i.Server) -> bool:
        if t.ran is None or t.cls.effect is not i.Effect.KEYED or t.cls.group is i.Group.ALL:
            return True
        return e.zone == t.ran[0].zone if t.cls.group is i.Group.ZONE else e.cell == t.ran[0].cell

    def end(self, t: st.Ticket) -> None:
        t.done = True
        if not t.out and self.tickets.pop(t.r.id, None) is not None:
            self.room.parts.give_back(t.grant)
            if t.inside:
                self.quota.settle(t, 0.0, True)
