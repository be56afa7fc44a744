"""A request that needs units of two: its door's part of a ceiling, which pays first, and its partner's quota, which
another process keeps. Where the second refuses the first has its units back, once."""

from __future__ import annotations

from base64 import b85encode

import pytest

from rushweir import interface as i
from rushweir.outbox import unpack_entries
from rushweir.policy import Policy
from rushweir.policy.quota import ADMITTED, ASK, ENTRY_FORMAT, REFUSED

BURST = 3  # units of the part, which fills next to nothing while this lasts


class Door:
    """One process whose partner's quota is kept elsewhere."""

    def __init__(self) -> None:
        # One that is kept elsewhere: the other of two numbers.
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
        self.refused(self.number)  # what it was found out by
        self.do(i.Part("one", 0.001, BURST, BURST))

    def do(self, event: object) -> list:
        self.now += 1.0
        return self.policy.handle(self.now, event)

    def ask(self) -> int | None:
        """A request; the number under which its quota is asked for, None where nobody is asked."""
        self.serial += 1
        self.last = self.do(i.Request(f"r{self.serial}", "look", "capped", "one", self.now + 3000.0, 1.0, 2, 0))
        for _ in range(40):  # mail goes in its own time
            for a in self.last:
                if isinstance(a, i.Tell):
                    for kind, *_, over, number in unpack_entries(ENTRY_FORMAT, a.text):
                        if kind == ASK:
                            self.own = not over % 2  # whether the door's own part pays
                            return number
            self.last = self.do(i.Timer(0))
        return None

    def word(self, kind: int, number: int) -> list:
        """The keeper's: so little is left that none is let in on the word alone, and enough to ask for one more."""
        customer = self.policy.quota.customers.copy().popitem()[0]
        text = b85encode(ENTRY_FORMAT.pack(kind, 0, customer, 1.0, 255, number)).decode()
        return self.do(i.PeerMessage(1 - self.me, text))

    def refused(self, number: int) -> None:
        assert [type(a) for a in self.word(REFUSED, number)] == [i.Refuse]

    def sent(self) -> int:
        """How many requests the door's part pays for from now on, until the keeper is asked to pay."""
        for n in range(3 * BURST):
            number = self.ask()
            if not self.own:
                return n
            assert any(isinstance(a, i.Send) for a in self.word(ADMITTED, number))
        return 3 * BURST


@pytest.mark.parametrize("times", [1, 3])
def test_what_the_second_refuses_comes_back_to_the_first_once(times):
    door = Door()
    door.word(ADMITTED, door.ask())  # so that the bucket has room for what would come back twice
    for _ in range(4):  # more than the part has: each gets its own back before the next
        number = door.ask()
        assert number is not None
        door.refused(number)
        for _ in range(times - 1):
            assert not door.word(REFUSED, number)  # doubled on its way
    assert door.sent() == BURST - 1


def test_what_the_second_lets_in_does_not_come_back():
    door = Door()
    number = door.ask()
    assert any(isinstance(a, i.Send) for a in door.word(ADMITTED, number))
    door.word(REFUSED, number)  # of an older question, or a wrong word
    assert door.sent() == BURST - 1
