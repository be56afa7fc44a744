"""How soon a dead member is known to all, how often a live one is taken for dead, and what it costs: simulated time.

    .venv/bin/python -m benchmarks.fleet_detection [MEMBERS ...]        # 3, 12, 30; 300 takes some minutes

Beside it, in the same world and on the same network (5% of the datagrams lost): a heartbeat table, each member
telling each other once a second and taking for dead whom it did not hear for three and for five. It needs no
suspicion and no gossip, and (members - 1) datagrams a second of each.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from math import inf

from rushweir.fleet import commands
from rushweir.fleet.members import DEAD
from rushweir.lab.sim.fleets import Members
from rushweir.lab.sim.world import World

LOSS, STEP_MS, DEATHS = 0.05, 50.0, 3


class Heartbeats:
    """The baseline: a table of when each other was heard last."""

    def __init__(self, place, others, after_s: float) -> None:
        self.place, self.others, self.after = place, others, after_s * 1000
        self.commands: deque = deque()
        self.heard = {}
        self.due = inf
        self.false = 0
        self.dead = set()

    def start(self, now: float) -> None:
        self.heard = dict.fromkeys(self.others, now)
        self.due = now

    def next_at(self) -> float:
        return self.due

    def advance(self, now: float) -> None:
        self.due = now + 1000.0
        for other in self.others:
            self.commands.append(commands.SendTo(other, b"%s:%d" % (self.place[0].encode(), self.place[1])))
        for other, at in self.heard.items():
            if now - at > self.after and other not in self.dead:
                self.dead.add(other)

    def datagram(self, now: float, data: bytes) -> None:
        host, port = data.decode().split(":")
        place = host, int(port)
        self.heard[place] = now
        if place in self.dead:
            self.dead.discard(place)
            self.false += 1

    def file_saved(self, now: float, serial: int) -> None: ...


def swim(count: int, seconds: float) -> dict:
    world = World(7)
    fleet = Members(world, 3, count)
    for k in range(count):
        fleet.start(k)
    began = time.perf_counter()
    while not (
        len({p.core.view.number for p in fleet.up()}) == 1 and all(p.core.assigned_slot >= 0 for p in fleet.up())
    ):
        world.run(world.now + 1000.0)
    found = {"together_s": world.now / 1000}
    world.net.loss = LOSS
    sent, at = world.counts["sent"], world.now
    before = [(p.core.counts["overdue"], p.core.counts["silent"]) for p in fleet.up()]
    world.run(world.now + seconds * 1000)
    now = [(p.core.counts["overdue"], p.core.counts["silent"]) for p in fleet.up()]
    hours = seconds / 3600
    found["sent_s"] = (world.counts["sent"] - sent) / count / (world.now - at) * 1000
    found["suspected_h"] = sum(b[1] - a[1] for a, b in zip(before, now, strict=True)) / hours
    found["false_h"] = sum(b[0] - a[0] for a, b in zip(before, now, strict=True)) / hours
    times = []
    for d in range(min(DEATHS, count - 2)):
        k = count - 1 - d
        gone = fleet.fleet(k).me
        world.kill(Members.place(k))
        at = world.now
        while any(gone in p.core.members.known and p.core.members.known[gone].state < DEAD for p in fleet.up()):
            world.run(world.now + STEP_MS)
        times.append((world.now - at) / 1000)
    found["known_s"] = max(times)
    found["cpu_s"] = time.perf_counter() - began
    return found


def heartbeats(count: int, seconds: float, after_s: float) -> dict:
    world = World(7)
    world.net.loss = LOSS
    places = [Members.place(k) for k in range(count)]
    for place in places:
        others = [p for p in places if p != place]
        world.start(place, lambda now, kept, place=place, others=others: Heartbeats(place, others, after_s))
    world.run(seconds * 1000)
    found = {"sent_s": world.counts["sent"] / count / seconds, "suspected_h": None}
    found["false_h"] = sum(p.core.false for p in world.at.values()) / (seconds / 3600)
    world.kill(places[-1])
    at = world.now
    while any(places[-1] not in p.core.dead for p in world.at.values() if p.up):
        world.run(world.now + STEP_MS)
    found["known_s"] = (world.now - at) / 1000
    return found


def main() -> None:
    print(f"{LOSS:.0%} lost; datagrams sent by each member; false: members taken for dead that are alive")
    for count in [int(a) for a in sys.argv[1:]] or [3, 12, 30]:
        seconds = 600.0 if count <= 30 else 60.0
        rows = {"swim, suspicion": swim(count, seconds)}
        for after in (3.0, 5.0):
            rows[f"heartbeats, {after:g} s"] = heartbeats(count, seconds, after)
        for name, r in rows.items():
            more = f"  suspected {r['suspected_h']:8.1f}/h" if r["suspected_h"] is not None else ""
            more += f"  all in one view after {r['together_s']:.0f} s" if "together_s" in r else ""
            print(f"{count:4} {name:18} dead known to all {r['known_s']:5.2f} s  false {r['false_h']:8.1f}/h"
                  f"  {r['sent_s']:7.1f} datagrams/s{more}")  # fmt: skip


if __name__ == "__main__":
    main()
