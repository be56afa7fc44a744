"""Random days of control processes: a script of faults drawn from a seed, and operators who change settings.

The invariants are checked after each turn:

    one version    two different change sets are never committed with one version, and no version is left out
    confirmed      a confirmed change set is on the disks of a majority then, and was reported as committed
    two operators  no change set between a change's base and its version changed one of the same objects
    own term       a change set is committed by a majority that has an entry of its leader's term, too
    votes          a vote that is sent is on disk
    one leader     of each term, in one life of its process
    minority       an isolated process reports that it has no majority, and takes no change
    old disk       a process whose disk was restored takes no part, while another remembers its position
    agreement      some time after the last fault all have the same change sets and objects, and take changes

``python -m rushweir.lab.sim.control_days [DAYS] [FIRST]`` runs many and prints which invariants broke.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rushweir.lab.sim.control_faults import LONGEST_MS, Faults
from rushweir.lab.sim.control_world import ControlCluster, Make, make
from rushweir.lab.sim.days import cut_down
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.world import Process, World
from rushweir.rollout.change_sets import Change, ChangeSet
from rushweir.rollout.commands import Committed, LogEvent, Objects, ProposalAnswered, Send, SnapshotInstalled
from rushweir.rollout.election import LEADER
from rushweir.rollout.log import apply_change_set

Fault = tuple[float, str, tuple]
AGREEMENT_MS = 12_000.0  # after the last fault, until all must agree and have taken a change


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a day."""

    count: int = 3
    length_ms: float = 40_000.0
    faults: int = 14
    every_ms: float = 150.0  # mean time between proposals
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
    """One simulated day."""

    def __init__(
        self, seed: int, size: Size = SIZE, script: list[Fault] | None = None, make: Make = make,
        believe: bool = False, disk: dict[str, bool] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.size, self.script = size, draw(seed, size) if script is None else script
        self.world = World(seed)
        self.controls = ControlCluster(self.world, size.count, make, believe, disk)
        self.majority = size.count // 2 + 1
        self.truth: dict[int, ChangeSet] = {}  # committed change sets by version
        self.versions: dict[Process, int] = {}  # the newest committed version of each life
        self.leaders: dict[int, Process] = {}
        self.proposals: dict[int, tuple[tuple[Change, ...], int | None]] = {}  # changes and base, by request id
        self.answers: dict[int, ProposalAnswered] = {}
        self.open = True
        self.world.watchers.append(self._check_command)
        self.world.after.append(self._check_leaders)

    def play(self) -> Day:
        """Run the day. Raises Broken."""
        rng, world = self.world.rng, self.world
        for k in range(self.size.count):
            world.later(rng.uniform(0, 500.0), self.controls.start, k)
            for _ in range(3):
                world.later(rng.uniform(1_500.0, self.size.length_ms / 2), self._copy, k)
        world.later(1_000.0, self._operator)
        for at, fault, (k, j, ms) in self.script:
            world.later(at, getattr(self, fault), k, (k + j) % self.size.count, ms)
        end = max([self.size.length_ms, *(s[0] + LONGEST_MS for s in self.script)])
        world.run(end)
        self.open = False
        self._heal()
        world.run(end + AGREEMENT_MS / 2)
        for _ in range(3):  # a leader may be about to step down
            if any(self.propose(k, None, ask_leader=True) for k in range(self.size.count)):
                break
            world.run(world.now + AGREEMENT_MS / 8)
        world.run(end + AGREEMENT_MS)
        self._check_agreement()
        return self

    def _heal(self) -> None:
        self.controls.streams.end_cut(set(self.controls.streams.cut))
        self._end_lag()
        self.leaders_to_kill = 0
        for k in range(self.size.count):
            if self.controls.is_up(k):
                self._continue(k, self.world.at[k])
            else:
                self.controls.start(k)

    def _check_agreement(self) -> None:
        good = [k for k in range(self.size.count) if not self.controls.control(k).outdated]
        if set(range(self.size.count)) - set(good) - {self.restored_process}:
            raise Broken(f"only {good} take part, and {self.restored_process} has an older disk")
        versions = {k: self.controls.control(k).version for k in good}
        newest = max(self.truth, default=0)
        if set(versions.values()) != {newest}:
            raise Broken(
                f"{AGREEMENT_MS / 1000:g} s after the last fault: versions {versions}, {newest} were committed"
            )
        if not any(a.version == newest for a in self.answers.values() if a.request_id == max(self.answers)):
            raise Broken(f"{AGREEMENT_MS / 1000:g} s after the last fault a change is not taken")
        objects = replay(self.truth, newest)
        for k in good:
            if self.controls.control(k).objects != objects:
                raise Broken(f"the objects of {k} are not the result of the change sets")

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
        """Propose a change at ``k``, or at its leader; return the request id, 0: nobody there."""
        if ask_leader and self.controls.is_up(k):
            k = self.controls.control(k).leader
        if k < 0 or not self.controls.is_up(k) or self.world.at[k].stopped:
            return 0
        rng, request_id = self.world.rng, len(self.proposals) + 1
        names = rng.sample(range(self.size.names), rng.randint(1, 2))
        data = [None if rng.random() < 0.15 else f"{request_id}".encode() for _ in names]
        changes = tuple(Change(("partner", f"p{n}"), d) for n, d in zip(names, data, strict=True))
        self.proposals[request_id] = (changes, base)
        self.controls.propose(k, request_id, changes, f"{request_id}", base)
        return request_id

    # --- invariants ------------------------------------------------------------------------------

    def _check_command(self, p: Process, command: Any) -> None:
        if isinstance(command, Committed):
            self._check_committed(p, command.change_set)
        elif isinstance(command, SnapshotInstalled):
            if self.versions.get(p, 0) > command.version:
                raise Broken(f"{p.name} goes back from version {self.versions[p]} to {command.version}")
            self.versions[p] = command.version
            if command.objects != replay(self.truth, command.version):
                raise Broken(f"{p.name} has other objects at version {command.version}")
        elif isinstance(command, LogEvent):
            if command.cause == "leads" and self.leaders_to_kill:
                self.leaders_to_kill -= 1
                self.world.later(0.0, self.propose, p.name, None, False)
                self.world.later(
                    self.world.rng.uniform(0.0, self.world.rng.choice((4.0, 25.0))), self._restart_new_leader, p
                )
        elif isinstance(command, Send):
            if command.body[0] == "vote_answer" and command.body[3]:
                state = self.controls.on_disk(p.name)
                if (state.term, state.voted_for) != (command.body[1], command.peer):
                    raise Broken(f"{p.name} sends a vote in term {command.body[1]} that is not on its disk")
        elif isinstance(command, ProposalAnswered):
            self.answers[command.request_id] = command
            if command.version is not None:
                self._check_confirmed(p, command)

    def _check_committed(self, p: Process, change_set: ChangeSet) -> None:
        last, self.versions[p] = self.versions.get(p, 0), change_set.version
        if change_set.version != last + 1:
            raise Broken(f"{p.name} commits version {change_set.version} after version {last}")
        if change_set.version not in self.truth:
            self._check_own_term(p, change_set)
        known = self.truth.setdefault(change_set.version, change_set)
        if known != change_set:
            raise Broken(
                f"two change sets with version {change_set.version}: of {known.author} and of {change_set.author}"
            )
        changes, base = self.proposals[int(change_set.author)]
        keys = {change.key for change in changes}
        if base is not None:
            for n in range(base + 1, change_set.version):
                if keys & {change.key for change in self.truth[n].changes}:
                    raise Broken(
                        f"version {change_set.version} was made on version {base}, and version {n} changed the same"
                    )

    def _check_own_term(self, p: Process, change_set: ChangeSet) -> None:
        """Committed first by its leader: an entry of the leader's own term is with it on the disks of a majority."""
        term = p.core.core.term
        on = [k for k in range(self.size.count) if any(e.term == term for e in self.controls.on_disk(k).entries)]
        if len(on) < self.majority:
            raise Broken(
                f"{p.name} commits version {change_set.version}, and entries of its term are on the disks of {on}"
            )

    def _check_confirmed(self, p: Process, answer: ProposalAnswered) -> None:
        change_set = self.truth.get(answer.version or 0)
        if change_set is None or change_set.author != str(answer.request_id):
            raise Broken(f"{p.name} confirms version {answer.version} for another proposal")
        on = [k for k in range(self.size.count) if self._has(k, change_set)]
        if len(on) < self.majority:
            raise Broken(f"{p.name} confirms version {answer.version}, which is on the disks of {on}")

    def _has(self, k: int, change_set: ChangeSet) -> bool:
        state = self.controls.on_disk(k)
        return change_set.version <= state.snapshot.version or any(
            entry.change_set == change_set for entry in state.entries
        )

    def _check_leaders(self, p: Process) -> None:
        control = p.core.core
        if control.election.role is LEADER and self.leaders.setdefault(control.term, p) is not p:
            raise Broken(f"two leaders in term {control.term}: {p.name} and {self.leaders[control.term].name}")

    def _check_isolated(self, k: int, p: Process, directions: set[tuple[int, int]], since: float) -> None:
        """A process that was cut off for some time reports it, and takes no change."""
        isolated = directions <= self.controls.streams.cut and all(self.cut_at[d] <= since for d in directions)
        if not p.up or p.stopped or not isolated or self.continued_at.get(k, 0.0) > since:
            return
        if p.core.core.status(p.clock(self.world.now))["majority"]:
            raise Broken(f"{k} is cut off and says that it has a majority")
        self.world._turned(p)
        request_id = self.propose(k, None, ask_leader=False)
        if request_id not in self.answers or self.answers[request_id].version is not None:
            raise Broken(f"{k} is cut off and takes a change")


def replay(change_sets: dict[int, ChangeSet], until: int) -> Objects:
    """The objects after the change sets up to a version."""
    objects: Objects = {}
    for n in range(1, until + 1):
        apply_change_set(objects, change_sets[n])
    return objects


def check(seed: int, size: Size = SIZE, script: list[Fault] | None = None, **injected: Any) -> str:
    """Run a day; return which invariant broke, empty: none."""
    try:
        Day(seed, size, script, **injected).play()
    except Broken as problem:
        return str(problem)
    return ""


def shortest(seed: int, size: Size, broke: Callable[[list[Fault]], bool]) -> list[Fault]:
    """The script of a day, reduced to the faults without which nothing breaks."""
    return cut_down(seed, size, draw(seed, size), broke)


def main(days: int = 500, first: int = 0) -> int:
    """Run days from a seed on and print what broke; return the exit code."""
    broken = 0
    for seed in range(first, first + days):
        if why := check(seed):
            broken += 1
            print(f"day {seed}: {why}", flush=True)
    print(f"{days} days, {broken} broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*(int(a) for a in sys.argv[1:3])))
