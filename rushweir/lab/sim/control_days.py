"""Random days of control processes: a script of faults drawn from a seed, operators who change settings meanwhile,
and what must hold looked at after each turn:

    one number     two different steps are never told under one number, nor a number left out
    confirmed      what is answered with a number is on the disks of a majority then, and was told
    two operators  no step that changed one of the same objects lies between a change's base and its number
    own term       a step is put in force by a majority that has an entry of its leader's term, too
    votes          a vote that is told is on disk
    one leader     of each term, in one life of its process
    minority       a process that was cut off says so, and takes no change
    old disk       a process whose disk was put back takes part no more, while another remembers
    together       some time after the last fault all have the same steps and objects, and take changes

``python -m rushweir.lab.sim.control_days [DAYS] [FIRST]`` plays many and prints what broke.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rushweir.lab.sim.control_faults import LONGEST_MS, Faults
from rushweir.lab.sim.control_world import Controls, Make, make
from rushweir.lab.sim.days import cut_down
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.world import Process, World
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Committed, LogEvent, Objects, ProposalAnswered, Send, SnapshotInstalled
from rushweir.rollout.election import LEADER
from rushweir.rollout.log import apply_change_set

Fault = tuple[float, str, tuple]
TOGETHER_MS = 12_000.0  # after the last fault, until all must be as one and have taken a change


@dataclass(frozen=True, slots=True)
class Size:
    count: int = 3
    length_ms: float = 40_000.0
    faults: int = 14
    every_ms: float = 150.0  # a change is proposed, on average
    names: int = 6  # of objects


SIZE = Size()
FAULTS = (
    "kill", "restart", "restart", "mid_write", "mid_write", "mid_write", "stop", "stop", "alone", "alone", "alone",
    "one_way", "one_way", "break_", "break_", "lag", "all", "old_disk", "old_disk", "lost_disk", "pass_on",
    "fall", "fall",
)  # fmt: skip


def draw(seed: int, size: Size = SIZE) -> list[Fault]:
    """The script of a day."""
    rng, script = random.Random(seed), list[Fault]()
    for _ in range(size.faults):
        at, what = rng.uniform(2_000.0, size.length_ms), rng.choice(FAULTS)
        script.append((at, what, (rng.randrange(size.count), rng.randrange(1, max(2, size.count)),
                                  rng.uniform(300.0, LONGEST_MS))))  # fmt: skip
    return sorted(script)


class Day(Faults):
    """One day being played."""

    def __init__(
        self, seed: int, size: Size = SIZE, script: list[Fault] | None = None, make: Make = make,
        believe: bool = False, disk: dict[str, bool] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.size, self.script = size, draw(seed, size) if script is None else script
        self.world = World(seed)
        self.controls = Controls(self.world, size.count, make, believe, disk)
        self.majority = size.count // 2 + 1
        self.truth: dict[int, ChangeSet] = {}  # what was told to be in force, by number
        self.told: dict[Process, int] = {}  # the newest number of each life
        self.leaders: dict[int, Process] = {}
        self.asked: dict[int, tuple[tuple[Change, ...], int | None]] = {}  # changes and base, by ticket
        self.answers: dict[int, ProposalAnswered] = {}
        self.open = True
        self.world.watchers.append(self._order)
        self.world.after.append(self._look)

    def play(self) -> Day:
        """Raises Broken."""
        rng, world = self.world.rng, self.world
        for k in range(self.size.count):
            world.later(rng.uniform(0, 500.0), self.controls.start, k)
            for _ in range(3):
                world.later(rng.uniform(1_500.0, self.size.length_ms / 2), self._copy, k)
        world.later(1_000.0, self._operator)
        for at, what, (k, j, ms) in self.script:
            world.later(at, getattr(self, what), k, (k + j) % self.size.count, ms)
        end = max([self.size.length_ms, *(s[0] + LONGEST_MS for s in self.script)])
        world.run(end)
        self.open = False
        self._heal()
        world.run(end + TOGETHER_MS / 2)
        for _ in range(3):  # a leader may still be on its way out
            if any(self.propose(k, None, ask_leader=True) for k in range(self.size.count)):
                break
            world.run(world.now + TOGETHER_MS / 8)
        world.run(end + TOGETHER_MS)
        self._together()
        return self

    def _heal(self) -> None:
        self.controls.streams.mend(set(self.controls.streams.cut))
        self._calm()
        self.falls = 0
        for k in range(self.size.count):
            if self.controls.is_up(k):
                self._go_on(k, self.world.at[k])
            else:
                self.controls.start(k)

    def _together(self) -> None:
        good = [k for k in range(self.size.count) if not self.controls.control(k).outdated]
        if set(range(self.size.count)) - set(good) - {self.put_back}:
            raise Broken(f"only {good} take part, and {self.put_back} has an old disk")
        numbers = {k: self.controls.control(k).version for k in good}
        newest = max(self.truth, default=0)
        if set(numbers.values()) != {newest}:
            raise Broken(f"{TOGETHER_MS / 1000:g} s after the last fault: steps {numbers}, {newest} were in force")
        if not any(a.version == newest for a in self.answers.values() if a.request_id == max(self.answers)):
            raise Broken(f"{TOGETHER_MS / 1000:g} s after the last fault a change is not taken")
        whole = replay(self.truth, newest)
        for k in good:
            if self.controls.control(k).objects != whole:
                raise Broken(f"the objects of {k} are not what the steps make")

    # --- operators -------------------------------------------------------------------------------

    def _operator(self) -> None:
        if self.open:
            rng = self.world.rng
            up = [k for k in range(self.size.count) if self.controls.is_up(k) and not self.world.at[k].stopped]
            if up:
                k = rng.choice(up)
                base = None if rng.random() < 0.4 else max(0, self.controls.control(k).version - rng.randrange(3))
                self.propose(k, base, ask_leader=rng.random() < 0.7)
            self.world.later(rng.expovariate(1 / self.size.every_ms), self._operator)

    def propose(self, k: int, base: int | None, ask_leader: bool) -> int:
        """A change at ``k``, or at whom it believes to lead; its ticket, 0: nobody there."""
        if ask_leader and self.controls.is_up(k):
            k = self.controls.control(k).leader
        if k < 0 or not self.controls.is_up(k) or self.world.at[k].stopped:
            return 0
        rng, ticket = self.world.rng, len(self.asked) + 1
        names = rng.sample(range(self.size.names), rng.randint(1, 2))
        data = [None if rng.random() < 0.15 else f"{ticket}".encode() for _ in names]
        changes = tuple(Change(("partner", f"p{n}"), d) for n, d in zip(names, data, strict=True))
        self.asked[ticket] = (changes, base)
        self.controls.propose(k, ticket, changes, f"{ticket}", base)
        return ticket

    # --- what must hold --------------------------------------------------------------------------

    def _order(self, p: Process, order: Any) -> None:
        if isinstance(order, Committed):
            self._in_force(p, order.change_set)
        elif isinstance(order, SnapshotInstalled):
            if self.told.get(p, 0) > order.version:
                raise Broken(f"{p.name} goes back from step {self.told[p]} to {order.version}")
            self.told[p] = order.version
            if order.objects != replay(self.truth, order.version):
                raise Broken(f"{p.name} has another whole at step {order.version}")
        elif isinstance(order, LogEvent):
            if order.cause == "leads" and self.falls:
                self.falls -= 1
                self.world.later(0.0, self.propose, p.name, None, False)
                self.world.later(self.world.rng.uniform(0.0, self.world.rng.choice((4.0, 25.0))), self._fall, p)
        elif isinstance(order, Send):
            if order.body[0] == "vote_answer" and order.body[3]:
                kept = self.controls.on_disk(p.name)
                if (kept.term, kept.voted_for) != (order.body[1], order.peer):
                    raise Broken(f"{p.name} tells a vote in term {order.body[1]} that is not on its disk")
        elif isinstance(order, ProposalAnswered):
            self.answers[order.request_id] = order
            if order.version is not None:
                self._confirmed(p, order)

    def _in_force(self, p: Process, step: ChangeSet) -> None:
        last, self.told[p] = self.told.get(p, 0), step.version
        if step.version != last + 1:
            raise Broken(f"{p.name} tells step {step.version} behind step {last}")
        if step.version not in self.truth:
            self._counted(p, step)
        known = self.truth.setdefault(step.version, step)
        if known != step:
            raise Broken(f"two steps under number {step.version}: of {known.author} and of {step.author}")
        changes, base = self.asked[int(step.author)]
        keys = {c.key for c in changes}
        if base is not None:
            for n in range(base + 1, step.version):
                if keys & {c.key for c in self.truth[n].changes}:
                    raise Broken(f"step {step.version} was made on version {base}, and step {n} changed the same")

    def _counted(self, p: Process, step: ChangeSet) -> None:
        """First told by its leader: one of the leader's own term lies with it on the disks of a majority."""
        term = p.core.core.term
        on = [k for k in range(self.size.count) if any(e.term == term for e in self.controls.on_disk(k).entries)]
        if len(on) < self.majority:
            raise Broken(
                f"{p.name} puts step {step.version} in force, and what it leads with is on the disks of {on}"
            )

    def _confirmed(self, p: Process, a: ProposalAnswered) -> None:
        step = self.truth.get(a.version or 0)
        if step is None or step.author != str(a.request_id):
            raise Broken(f"{p.name} confirms {a.version} to another than it was told for")
        on = [k for k in range(self.size.count) if self._has(k, step)]
        if len(on) < self.majority:
            raise Broken(f"{p.name} confirms step {a.version}, which is on the disks of {on}")

    def _has(self, k: int, step: ChangeSet) -> bool:
        kept = self.controls.on_disk(k)
        return step.version <= kept.snapshot.version or any(e.change_set == step for e in kept.entries)

    def _look(self, p: Process) -> None:
        control = p.core.core
        if control.election.role is LEADER and self.leaders.setdefault(control.term, p) is not p:
            raise Broken(f"two leaders in term {control.term}: {p.name} and {self.leaders[control.term].name}")

    def _says_so(self, k: int, p: Process, ways: set[tuple[int, int]], since: float) -> None:
        """Cut off for some time: it knows, and takes no change."""
        held = ways <= self.controls.streams.cut and all(self.cut_at[w] <= since for w in ways)
        if not p.up or p.stopped or not held or self.went_on.get(k, 0.0) > since:
            return
        if p.core.core.status(p.clock(self.world.now))["majority"]:
            raise Broken(f"{k} is cut off and says that it has a majority")
        self.world._turned(p)
        ticket = self.propose(k, None, ask_leader=False)
        if ticket not in self.answers or self.answers[ticket].version is not None:
            raise Broken(f"{k} is cut off and takes a change")


def replay(steps: dict[int, ChangeSet], until: int) -> Objects:
    objects: Objects = {}
    for n in range(1, until + 1):
        apply_change_set(objects, steps[n])
    return objects


def check(seed: int, size: Size = SIZE, script: list[Fault] | None = None, **planted: Any) -> str:
    """What a day broke; nothing if all held."""
    try:
        Day(seed, size, script, **planted).play()
    except Broken as problem:
        return str(problem)
    return ""


def shortest(seed: int, size: Size, broke: Callable[[list[Fault]], bool]) -> list[Fault]:
    return cut_down(seed, size, draw(seed, size), broke)


def main(days: int = 500, first: int = 0) -> int:
    broken = 0
    for seed in range(first, first + days):
        if why := check(seed):
            broken += 1
            print(f"day {seed}: {why}", flush=True)
    print(f"{days} days, {broken} broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*(int(a) for a in sys.argv[1:3])))
