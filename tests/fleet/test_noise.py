"""Under datagram loss members learn in time that their slot is still their own; the cause of a former failure,
forced."""

from __future__ import annotations

import pytest

from rushweir.fleet import frame
from rushweir.fleet.core import Fleet
from rushweir.fleet.exchange import Exchange
from rushweir.fleet.views import LOST
from rushweir.lab.sim.fleets import KEY, Members
from rushweir.lab.sim.noise import Scene, Starved, StarvedProbes, play, safe_ms
from rushweir.lab.sim.world import World

SEEDS = range(6)
NOISE = Scene(mail=35, missed_ms=3_000.0, length_ms=35_000.0)
# No loss at all: the views of two joining members are missed, and probes and quotas use up every message budget.
DRAINED = Scene(mail=400, missed_ms=3_000.0, noise=False, length_ms=35_000.0)


def worst(scene: Scene, kind: type[Fleet]) -> tuple[float, int]:
    plays = [play(seed, scene, kind) for seed in SEEDS]
    return max(ms for found in plays for ms in found.longest.values()), sum(len(found.ended) for found in plays)


def test_under_loss_slots_stay_confirmed_well_within_safe_time():
    longest, ended = worst(NOISE, Fleet)
    assert ended == 0 and longest < 0.6 * safe_ms()
    assert worst(NOISE, Starved)[0] > 0.6 * safe_ms()  # the bound detects the fault


def test_member_learns_missed_view_with_exhausted_message_budget():
    longest, ended = worst(DRAINED, Fleet)
    assert ended == 0 and longest < safe_ms() / 2
    assert worst(DRAINED, Starved)[1] > 0


class Unasking(Fleet):
    """Asks the leader although it is behind."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.members = StarvedProbes(self)


def behind(kind: type[Fleet]) -> tuple[World, Members]:
    """Three members converged; a fourth joined while the first received nothing, and all gossip about it has
    ended."""
    world = World(5)
    fleet = Members(world, 3, 6, view_ms=4_000.0, keep_ms=30_000.0)
    fleet.make = lambda settings, seed, now, kept: kind(settings, KEY, seed, now, kept)
    for k in range(3):
        fleet.start(k)
    world.run(15_000.0)
    first = next(k for k in range(3) if not fleet.fleet(k).leader_lease.is_held())
    world.net.cut |= {(Members.place(k), Members.place(first)) for k in range(6) if k != first}
    fleet.start(3)
    world.run(17_000.0)
    world.net.cut.clear()
    assert fleet.fleet(first).view.number < fleet.fleet(3).view.number
    return world, fleet


def views(world: World, fleet: Members, until: float) -> set[int]:
    world.run(until)
    return {p.core.view.number for p in fleet.up()}


@pytest.mark.parametrize(("kind", "found"), [(Fleet, 1), (Unasking, 2)])
def test_member_requests_newer_view_reported_to_it(monkeypatch, kind, found):
    """Without comparisons and after all gossip: only a request is left. The leader's answer alone is not enough."""
    monkeypatch.setattr(Exchange, "_compare", lambda self, _: None)
    monkeypatch.setattr("rushweir.fleet.sending.retransmit_limit", lambda slot_count: 1)
    assert len(views(*behind(kind), 21_000.0)) == found


def test_false_report_of_newer_view_does_not_block_asking_leader():
    world = World(5)
    fleet = Members(world, 3, 6, view_ms=4_000.0, keep_ms=30_000.0)
    for k in range(3):
        fleet.start(k)
    world.run(15_000.0)
    member = next(fleet.fleet(k) for k in range(3) if not fleet.fleet(k).leader_lease.is_held())
    sender = next(m.id for m in member.members.present())
    member.exchange.on_view_report(sender, 1 << 40)
    assert member.exchange.request_newer_view() and not member.exchange.request_newer_view()
    member.exchange.on_view_report(sender, member.view.number)
    assert not member.exchange.request_newer_view()


def test_member_with_lost_slot_requests_at_normal_interval(monkeypatch):
    world = World(5)
    fleet = Members(world, 3, 6, view_ms=4_000.0, keep_ms=30_000.0)
    for k in range(4):
        fleet.start(k)
    world.run(15_000.0)
    lost, leader = fleet.fleet(3), next(fleet.fleet(k) for k in range(3) if fleet.fleet(k).leader_lease.is_held())

    def until_lost(member: Fleet) -> None:
        while member.view.slots[lost.assigned_slot].state != LOST:
            world.run(world.now + 100.0)
            assert world.now < 30_000.0

    world.net.cut |= {(Members.place(3), Members.place(k)) for k in range(3)}
    until_lost(leader)
    world.net.cut.clear()
    monkeypatch.setattr(
        "rushweir.fleet.view_manager.ViewManager.request_slot", lambda *_: None
    )  # its requests are lost
    until_lost(lost)
    requested_at = []
    send = Fleet.send

    def counted(self, kind, to, body):
        if kind == frame.SLOT_REQUEST:
            requested_at.append(self.now)
        send(self, kind, to, body)

    monkeypatch.setattr(Fleet, "send", counted)
    world.run(world.now + 6_000.0)
    assert len(requested_at) >= 10
