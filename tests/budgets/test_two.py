"""A request that needs units of two buckets: its gateway's share of a ceiling, which pays first, and its partner's
quota, which another process owns. If the second refuses, the first is refunded, once."""

from __future__ import annotations

from base64 import b85encode

import pytest

from rushweir import interface as i
from rushweir.outbox import unpack_entries
from rushweir.policy import Policy
from rushweir.policy.quota import ADMITTED, ASK, ENTRY_FORMAT, REFUSED

BURST = 3  # units of the share, which hardly refills during the test


class Gateway:
    """One gateway whose partner's quota is owned by another."""

    def __init__(self) -> None:
        # One that the other of two gateways owns.
        for me in (0, 1):
            settings = i.Settings(
                gateway=me, gateways=2, zone="a",
                classes=(i.RequestClass("look", 800.0, 3000.0, effect=i.Effect.SAFE),),
                plans=(i.Plan("capped", 50.0, 50.0, ceiling_rate=50.0, ceiling_burst=50.0),),
                sharing=i.Sharing(peers=True, leased_ceilings=True),
            )  # fmt: skip
            self.policy, self.me, self.now, self.serial = Policy(settings, 1, 0.0), me, 0.0, 0
            self.do(i.Members(i.Scope.FULL, tuple(i.Server(f"10.0.0.{k}:80") for k in range(20))))
            self.number = self.ask()
            if self.number is not None:
                break
        self.refused(self.number)  # the request that found it
        self.do(i.Part("one", 0.001, BURST, BURST))

    def do(self, event: object) -> list:
        self.now += 1.0
        return self.policy.handle(self.now, event)

    def ask(self) -> int | None:
        """Sends a request; returns the number under which its quota is asked for, None if nobody is asked."""
        self.serial += 1
        self.last = self.do(i.Request(f"r{self.serial}", "look", "capped", "one", self.now + 3000.0, 1.0, 2, 0))
        for _ in range(40):  # peer messages are batched
            for a in self.last:
                if isinstance(a, i.Tell):
                    for kind, *_, over, number in unpack_entries(ENTRY_FORMAT, a.text):
                        if kind == ASK:
                            self.own = not over % 2  # whether the gateway's own share pays
                            return number
            self.last = self.do(i.Timer(0))
        return None

    def answer(self, kind: int, number: int) -> list:
        """An answer of the quota's owner: so little is left that nothing is admitted by it alone, but enough to ask
        again."""
        customer = self.policy.quota.customers.copy().popitem()[0]
        text = b85encode(ENTRY_FORMAT.pack(kind, 0, customer, 1.0, 255, number)).decode()
        return self.do(i.PeerMessage(1 - self.me, text))

    def refused(self, number: int) -> None:
        assert [type(a) for a in self.answer(REFUSED, number)] == [i.Refuse]

    def sent(self) -> int:
        """How many requests the gateway's share pays for from now on, until the owner is asked to pay."""
        for n in range(3 * BURST):
            number = self.ask()
            if not self.own:
                return n
            assert any(isinstance(a, i.Send) for a in self.answer(ADMITTED, number))
        return 3 * BURST


@pytest.mark.parametrize("times", [1, 3])
def test_refused_request_is_refunded_once(times):
    gateway = Gateway()
    gateway.answer(ADMITTED, gateway.ask())  # so that the bucket has capacity for a second refund
    for _ in range(4):  # more than the share has: each is refunded before the next
        number = gateway.ask()
        assert number is not None
        gateway.refused(number)
        for _ in range(times - 1):
            assert not gateway.answer(REFUSED, number)  # duplicated in transit
    assert gateway.sent() == BURST - 1


def test_admitted_request_is_not_refunded():
    gateway = Gateway()
    number = gateway.ask()
    assert any(isinstance(a, i.Send) for a in gateway.answer(ADMITTED, number))
    gateway.answer(REFUSED, number)  # to an older request, or a false answer
    assert gateway.sent() == BURST - 1
