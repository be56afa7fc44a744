"""Members that lack much of the table are sent what they lack, not what they have."""

from __future__ import annotations

import pytest

from rushweir.fleet import frame
from rushweir.fleet.core import Fleet
from rushweir.fleet.exchange import Exchange
from rushweir.fleet.table import BUCKETS, MEMBER, Table
from rushweir.lab.sim.fleets import KEY, Members
from rushweir.lab.sim.world import World


class Blind(Fleet):
    """The baseline: if much differs both sides send whole buckets."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.exchange = BlindExchange(self)


class BlindExchange(Exchange):
    def on_digest(self, sender: int, digest: bytes, answer: bool) -> None:
        if not answer and len(self.fleet.table.differing(digest)) > BUCKETS / 4:
            super().on_digest(sender, digest, True)
            if self.fleet.may_send():
                self._send_digest(sender, True)
        else:
            super().on_digest(sender, digest, answer)


def one_view_s(seed: int, kind: type[Fleet], count: int = 60) -> float:
    """Seconds until members that start at once all hold one view and know each other."""
    world = World(seed)
    fleet = Members(world, 3, count)
    fleet.make = lambda settings, seed, now, kept: kind(settings, KEY, seed, now, kept)
    for k in range(count):
        fleet.start(k)
    while (
        len({p.core.view.number for p in fleet.up()}) > 1
        or any(p.core.assigned_slot < 0 or p.core.members.count() < count for p in fleet.up())
    ):  # fmt: skip
        world.run(world.now + 100.0)
        assert world.now < 120_000.0
    return world.now / 1000


def test_fleet_started_at_once_converges_sooner_with_sketches():
    seeds = range(2)
    assert sum(one_view_s(s, Fleet) for s in seeds) < 0.8 * sum(one_view_s(s, Blind) for s in seeds)


def test_short_hashes_show_missing_rows():
    full, half = (Table({MEMBER: 9}, 400, lambda _: True) for _ in range(2))
    for origin in range(1, 201):
        full.put(MEMBER, origin, 1, b"x")
        if origin % 2:
            half.put(MEMBER, origin, 1 + (origin == 99), b"x")
    missing = set()
    for bucket in range(BUCKETS):
        hashes = half.bucket_hashes(bucket)
        missing |= set(full.rows_without_hash(bucket, {hashes[k : k + 2] for k in range(0, len(hashes), 2)}))
    assert missing == {(MEMBER, k) for k in range(2, 201, 2)} | {(MEMBER, 99)}  # another version has another hash
    half.forget(MEMBER, 1)
    assert (
        all(half.bucket_hashes(bucket) is not None for bucket in range(BUCKETS))
        and (MEMBER, 1) not in half.short_hashes
    )


BODIES = ([3, b"", True], [[1], "text", True], [[1]], [[[]], b"odd", 1], [[-1, 10**9], b"", 0])


@pytest.mark.parametrize("body", BODIES)
def test_malformed_sketch_changes_nothing(body):
    world = World(1)
    fleet = Members(world, 1, 3)
    for k in range(2):
        fleet.start(k)
    world.run(10_000.0)
    a, b = fleet.fleet(0), fleet.fleet(1)
    before = a.table.digest()
    a.datagram(a.now, b.frames.pack(frame.SKETCH, a.me, body))
    assert a.table.digest() == before and sum(type(x).__name__ == "SendTo" for x in a.commands) <= 6
