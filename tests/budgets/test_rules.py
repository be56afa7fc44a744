"""Scenes of simulated fleets that share one whole, each made for one rule, and broken where that rule is left out."""

from __future__ import annotations

import pytest

from rushweir.budgets.core import Budgets
from rushweir.budgets.leasing import CRC_MASK
from rushweir.budgets.records import BudgetTotal, budget_key
from rushweir.fleet.view_manager import PROPOSING
from rushweir.lab.sim.budget_plants import Planted
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.spenders import Sharers
from rushweir.lab.sim.world import World
from rushweir.state import rendezvous

COUNT, TERM_MS = 6, 2_000.0
# Of this budget the next number that is given is the home.
NAME = next(
    n for n in map(str, range(100)) if rendezvous(budget_key(n) & CRC_MASK, set(range(COUNT + 1)), 1)[0] == COUNT
)
WHOLE, HALF = BudgetTotal.from_units(40, 60), BudgetTotal.from_units(20, 30)
SETTINGS = {"keep_ms": 12_000.0, "view_ms": 3_000.0}


class Scene:
    """Six members that all ask, and are at rest."""

    def __init__(self, seed: int, kind: str = "", term_ms: float = TERM_MS) -> None:
        self.world = World(seed)
        self.fleet = Sharers(self.world, 3, 2 * COUNT, 0.01, **SETTINGS)
        self.fleet.budgets = lambda fleet: Planted(kind, fleet, term_ms) if kind else Budgets(fleet, term_ms)
        self.fleet.share(NAME, WHOLE)
        for k in range(COUNT):
            self.fleet.start(k)
        self.asking = set(range(2 * COUNT))
        for k in range(2 * COUNT):
            self._asks(k)
        self.world.run(12_000.0)

    def _asks(self, k: int) -> None:
        if k in self.asking:
            self.fleet.want(k, NAME)
        self.world.later(self.world.rng.expovariate(20.0) * 1000, self._asks, k)

    def home(self, p) -> int:
        return p.core.budgets.owner_of(budget_key(NAME), WHOLE)

    def place(self, id_: int) -> int:
        return next(k for k in range(2 * COUNT) if (p := self.world.at.get(self.fleet.place(k))) and
                    p.core.fleet.me == id_)  # fmt: skip

    def cut(self, some: set[int]) -> None:
        rest = set(range(2 * COUNT)) - some
        self.world.split([self.fleet.place(k) for k in some], [self.fleet.place(k) for k in rest])

    def spendable(self) -> int:
        return sum(self.fleet._part(p, NAME).rate for p in self.fleet.up())


def old_word(seed: int, kind: str = "") -> bool:
    """A member joins and becomes the home; while its view is put the old home is cut off, with one holder. Whether
    that came about, which it can't where the old home is in the chair; raises Broken."""
    s = Scene(seed, kind)
    chair = next(p for p in s.fleet.up() if p.core.lease_acceptor is not None and p.core.leader_lease.is_held())
    old = s.place(s.home(chair))
    other = next(k for k in range(COUNT - 1, 0, -1) if k != old)  # no seed: two of three are on the chair's side
    if s.world.at[s.fleet.place(old)] is chair:
        return False
    s.fleet.start(COUNT)
    while chair.core.view_manager.state != PROPOSING:
        s.world.run(s.world.now + 0.2)
    s.cut({old, other})
    s.world.run(s.world.now + 3 * TERM_MS)
    return s.home(chair) == s.world.at[s.fleet.place(COUNT)].core.fleet.me


def test_a_new_home_waits_for_all_that_rests_on_an_older_word():
    assert sum(old_word(seed) for seed in range(12)) >= 4


def test_grants_that_outlast_their_home_s_word_are_found():
    with pytest.raises(Broken, match="parts of"):
        for seed in range(12):
            old_word(seed, "long")


def halved_during_a_cut(seed: int, kind: str = "") -> None:
    """Three of six are cut off, the whole is halved for the other three one after the other; the cut heals; it is
    halved for the rest, too. Then it is doubled again. Raises Broken."""
    s = Scene(seed, kind)
    apart = {(seed + k) % COUNT for k in range(3)}
    s.cut(apart)
    for k in sorted(set(range(COUNT)) - apart):
        s.world.run(s.world.now + 700.0)
        s.fleet.settings_of[k, NAME] = HALF
    s.world.run(s.world.now + 6_000.0)
    s.world.net.cut.clear()
    s.world.run(s.world.now + 4_000.0)
    for k in sorted(apart):
        assert s.fleet.largest(NAME) == WHOLE
        s.world.run(s.world.now + 300.0)
        s.fleet.settings_of[k, NAME] = HALF
    s.world.run(s.world.now + 400.0)
    assert s.fleet.largest(NAME) == HALF  # from here on the sum is judged by the half
    s.world.run(s.world.now + 8_000.0)
    assert s.spendable() > 0.6 * HALF.rate  # and it is lent
    for k in range(COUNT):
        s.fleet.settings_of[k, NAME] = WHOLE
        s.world.run(s.world.now + 500.0)
    s.world.run(s.world.now + 4_000.0)
    assert s.spendable() > 0.6 * WHOLE.rate


@pytest.mark.parametrize("seed", range(4))
def test_a_whole_that_is_halved_shrinks_before_the_last_one_acts_on_it(seed):
    halved_during_a_cut(seed)


def halved_at_once(seed: int, kind: str = "") -> None:
    """All read the halved whole within half a second. Raises Broken."""
    s = Scene(seed, kind)
    for k in range(COUNT):
        s.fleet.settings_of[k, NAME] = HALF
        s.world.run(s.world.now + 80.0)
    s.world.run(s.world.now + 300.0)
    assert s.fleet.largest(NAME) == HALF
    s.world.run(s.world.now + 4_000.0)


@pytest.mark.parametrize("seed", range(2))
def test_a_whole_that_is_halved_for_all_at_once_is_not_waited_for(seed):
    halved_at_once(seed)


def test_a_part_that_outlives_its_whole_is_found():
    with pytest.raises(Broken, match="parts of"):
        halved_at_once(0, "slack")


def alone_and_back(seed: int, kind: str = "") -> None:
    """The home is cut off until another lends; that one is killed, so that its ledger comes to nobody, and the first
    is the home again while parts of the other are still held: the term is longer than it takes to miss a member. Two
    of the others ask meanwhile, and the rest from then on. Raises Broken."""
    s = Scene(seed, kind, 5_000.0)
    chair = next(p for p in s.fleet.up() if p.core.lease_acceptor is not None and p.core.leader_lease.is_held())
    old = s.home(chair)
    s.cut({s.place(old)})
    while s.home(chair) == old or not any(
        p.core.budgets.retained_shares for p in s.fleet.up() if p.core.fleet.me != old
    ):
        s.world.run(s.world.now + 100.0)
    between = s.home(chair)
    rest = [k for k in range(COUNT) if s.world.at[s.fleet.place(k)].core.fleet.me not in (old, between)]
    s.asking = set(rest[:2])
    s.world.run(s.world.now + 700.0)  # until they have parts of it
    s.world.kill(s.fleet.place(s.place(between)))
    s.world.net.cut.clear()
    s.asking = set(range(COUNT)) - set(rest[:2])
    watch, until = s.world.at[s.fleet.place(rest[-1])], s.world.now + 30_000.0
    while s.home(watch) != old and s.world.now < until:
        s.world.run(s.world.now + 100.0)
    assert s.home(watch) == old
    s.world.run(s.world.now + 6_000.0)


def away_from_the_chair() -> list[int]:
    """Seeds of days on which the home is not in the chair."""
    found = []
    for seed in range(6):
        s = Scene(seed)
        chair = next(p for p in s.fleet.up() if p.core.lease_acceptor is not None and p.core.leader_lease.is_held())
        if s.home(chair) != chair.core.fleet.me:
            found.append(seed)
    return found


def test_a_home_that_was_away_knows_nothing_of_what_was_lent():
    days = away_from_the_chair()
    assert len(days) >= 2
    for seed in days:
        alone_and_back(seed)
    with pytest.raises(Broken, match="parts of"):
        for seed in days:
            alone_and_back(seed, "faithful")
