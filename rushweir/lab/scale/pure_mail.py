"""Quota mail between ingresses, worked out by calls on one virtual clock.

Each ingress gets 143 requests a second; each of 16,000 tenants may come through any of them. A tenant's part of the
requests follows Zipf's law; its quota is twice its mean. *Wanted* is what the ingresses would send if messages were
not bounded; *sent* is what leaves with 60 a second allowed. Bytes are whole datagrams, with IP and UDP heads.
Requests are answered after 20 ms, messages arrive after 1 ms; no other time passes.
"""

from __future__ import annotations

import heapq
import random
import time
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from typing import Any

from rushweir import interface as i
from rushweir.lab.scale.pure_policy import CLASSES, servers
from rushweir.lab.scale.samples import Role, Sample
from rushweir.peers.datagram import Peers
from rushweir.policy import Policy

TENANTS, PER_S = 16_000, 143.0
ALLOWED = 60.0  # messages a second that an ingress may send
SENT_MS, SERVED_MS = 1.0, 20.0
HEADS = 28  # bytes of an IPv4 and a UDP head
WARM_MS, COUNT_MS = 1_000.0, 1_000.0
TIMED_MS = 300.0  # and as long before it, untimed
BACKENDS = 100
UNBOUNDED = 1e7
QUOTA = 2.0  # times a tenant's mean


class Fleet:
    """Ingresses whose requests are drawn, on one clock; counts their messages."""

    def __init__(self, count: int, allowed: float, seed: int = 3) -> None:
        rng = random.Random(seed)
        self.count, self.rng = count, rng
        self.sums = list(accumulate(1 / (k + 1) for k in range(TENANTS)))
        mean = [PER_S * count / (k + 1) / self.sums[-1] for k in range(TENANTS)]
        self.plan_of = [max(0, int(m * 64).bit_length()) for m in mean]  # quotas in steps of two
        plans = tuple(
            i.Plan(f"plan{k}", rate=QUOTA * 2**k / 64, burst=max(4.0, 4 * QUOTA * 2**k / 64))
            for k in range(max(self.plan_of) + 1)
        )
        limits, sharing = i.Limits(max_attempts=3, retry_after=True), i.Sharing(peers=True, messages_per_s=allowed)
        self.policies = [
            Policy(i.Settings(k, count, f"zone{k % 6}", CLASSES, plans, limits=limits, sharing=sharing), k, 0.0)
            for k in range(count)
        ]
        self.peers = [Peers(k, count, b"k" * 32) for k in range(count)]
        self.due: list[tuple[float, int, int, Any]] = []
        self.serial = 0
        self.messages = self.bytes = self.requests = self.refused = 0
        self.by_quota = self.even = 0
        self.mail_s = 0.0  # processor time of messages that came, answers to them included
        self.counting = False
        listed = servers(BACKENDS)
        for k, policy in enumerate(self.policies):
            self.carry(k, 0.0, policy.start())
            self.carry(k, 0.0, policy.handle(0.0, i.Members(i.Scope.FULL, listed)))
            self.at(rng.expovariate(PER_S / 1000), k, None)
            self._watched(policy)

    def _watched(self, policy: Policy) -> None:
        """Count what is decided by a door's even part, for no keeper's word came."""
        decides = policy.quota.decide_by_equal_share

        def even(ticket: Any, now: float) -> bool:
            self.even += self.counting
            return decides(ticket, now)

        policy.quota.decide_by_equal_share = even

    def at(self, when: float, k: int, event: Any) -> None:
        self.serial += 1
        heapq.heappush(self.due, (when, self.serial, k, event))

    def carry(self, k: int, now: float, actions: list[i.Action]) -> None:
        for a in actions:
            match a:
                case i.Tell(text=text, to=to) if to is not None:
                    if self.counting:
                        self.messages += 1
                        self.bytes += len(self.peers[k].pack(now, to, text) or b"") + HEADS
                    self.at(now + SENT_MS, to, i.PeerMessage(k, text))
                case i.Send():
                    done = i.Outcome(a.id, 0, a.server, i.Result.OK, SERVED_MS, True)
                    self.at(now + SERVED_MS, k, done)
                case i.SetTimer():
                    self.at(now + a.after_ms, k, i.Timer(a.ref))
                case i.Refuse():
                    self.refused += self.counting
                    self.by_quota += self.counting and a.reason == "quota"

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] < until:
            now, _, k, event = heapq.heappop(self.due)
            if event is None:
                self.at(now + self.rng.expovariate(PER_S / 1000), k, None)
                event = self.request(now)
            if not self.counting or not isinstance(event, i.PeerMessage):
                self.carry(k, now, self.policies[k].handle(now, event))
                continue
            began = time.process_time()
            actions = self.policies[k].handle(now, event)
            self.mail_s += time.process_time() - began
            self.carry(k, now, actions)

    def request(self, now: float) -> i.Request:
        tenant = bisect(self.sums, self.rng.random() * self.sums[-1])
        self.requests += self.counting
        self.serial += 1
        return i.Request(
            f"{self.serial:x}", "long", f"plan{self.plan_of[tenant]}", f"tenant{tenant}", now + 8_000.0,
            gateway_count=self.count,
        )  # fmt: skip


def counted(size: int) -> Iterator[Sample]:
    """Messages and bytes a second of each ingress, wanted and sent."""
    role, by = "quota_mail", "ingresses"
    seconds = COUNT_MS / 1000
    for name, allowed in (("wanted", UNBOUNDED), ("sent", ALLOWED)):
        fleet = Fleet(size, allowed)
        fleet.run(WARM_MS)
        fleet.counting = True
        fleet.run(WARM_MS + COUNT_MS)
        of_each = size * seconds
        for figure, unit, value in (
            (f"{name}_datagrams", "1/s", fleet.messages / of_each),
            (f"{name}_bytes", "B/s", fleet.bytes / of_each),
            (f"{name}_refused_share", "1", fleet.refused / fleet.requests),
            (f"{name}_refused_by_quota_share", "1", fleet.by_quota / fleet.requests),
            (f"{name}_by_even_part_share", "1", fleet.even / fleet.requests),
        ):
            yield Sample(role, figure, unit, by, size, value, "simulated", seconds)
        waits = sum(len(p.quota.outbox.waiting) for p in fleet.policies) / size
        yield Sample(role, f"{name}_peers_that_wait", "1", by, size, waits, "simulated")


def timed(size: int) -> Iterator[Sample]:
    """What the mail that is allowed costs in processor time, and all else with it. For a shorter time than the counts
    are of: it is played several times over, and each message is timed."""
    role, by, seconds = "quota_mail", "ingresses", TIMED_MS / 1000
    fleet = Fleet(size, ALLOWED)
    fleet.run(TIMED_MS)
    fleet.counting, began = True, time.process_time()
    fleet.run(2 * TIMED_MS)
    spent = time.process_time() - began
    for figure, value in (("sent_mail_cpu", fleet.mail_s), ("sent_cpu", spent)):
        yield Sample(role, figure, "ms/s", by, size, value / (size * seconds) * 1e3, "simulated", seconds)


ROLES = (
    Role("quota_mail", "Quota mail of an ingress at 143 requests a second", "ingresses", (10, 25, 50, 100), timed,
         counted),
)  # fmt: skip
