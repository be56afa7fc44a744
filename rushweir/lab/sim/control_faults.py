"""Faults of a day of control processes: kills at any point of a write, stops, cuts, lags, restored disks."""

from __future__ import annotations

from typing import Any

from rushweir.lab.sim.control_world import ControlCluster
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.world import Process, World
from rushweir.rollout import storage
from rushweir.rollout.change_sets import ChangeSet

LONGEST_MS = 20_000.0  # of a fault
NO_MAJORITY_MS = 4_500.0  # after a cut until the isolated process must report it: three election timeouts
CONTACT_MS = 2_400.0  # connected for half of it, two processes have exchanged a message
LAG_MS, DELAY_MS = (20.0, 900.0), (0.5, 4.0)


class Faults:
    """Faults by the names that a script has: of process ``k``, with ``j`` as the other of a pair, for some time."""

    world: World
    controls: ControlCluster
    size: Any
    majority: int
    truth: dict[int, ChangeSet]
    open: bool
    propose: Any
    _has: Any
    _check_isolated: Any

    def __init__(self) -> None:
        self.leaders_to_kill = 0  # so many new leaders are killed as soon as they are elected
        self.continued_at: dict[int, float] = {}
        self.restored_process: int | None = None  # with an older copy of its disk
        self.lives: dict[int, int] = {}  # of the others when the disk was restored
        self.cut_at: dict[tuple[int, int], float] = {}
        self.cut_ended_at: dict[tuple[int, int], float] = {}
        self.lagged_at = -LONGEST_MS

    def kill(self, k: int, _: int, __: float) -> None:
        """Killed, and not started again."""
        self.controls.kill(k)

    def restart(self, k: int, _: int, ms: float) -> None:
        """Killed, and started after a twentieth of the time."""
        self.controls.kill(k)
        self.world.later(ms / 20, self.controls.start, k)

    def mid_write(self, k: int, _: int, ms: float) -> None:
        """Killed while a change is being written, at the leader or at a follower."""
        for _ in range(3):
            self.propose(k, None, ask_leader=True)
        self.world.later(self.world.rng.uniform(0.0, 30.0), self.restart, k, 0, ms)

    def fall(self, k: int, _: int, __: float) -> None:
        """The leader, and each leader after it, is killed while it sends its first messages."""
        self.leaders_to_kill = 4
        if self.controls.is_up(k) and self.controls.control(k).leader >= 0:
            self.restart(self.controls.control(k).leader, 0, 2_000.0)

    def _restart_new_leader(self, p: Process) -> None:
        if self.world.at[p.name] is p:
            self.restart(p.name, 0, self.world.rng.uniform(500.0, 60_000.0))

    def stop(self, k: int, _: int, ms: float) -> None:
        """Stopped as by SIGSTOP, and continued."""
        if self.controls.is_up(k):
            p = self.world.at[k]
            self.world.stop(k)
            self.world.later(ms, self._continue, k, p)

    def _continue(self, k: int, p: Process) -> None:
        if self.world.at.get(k) is p:
            self.continued_at[k] = self.world.now
            self.world.go_on(k)

    def alone(self, k: int, _: int, ms: float) -> None:
        """Cut off from all others."""
        others = [x for x in range(self.size.count) if x != k]
        directions = {(k, x) for x in others} | {(x, k) for x in others}
        self._cut(directions, ms)
        if self.controls.is_up(k) and ms > NO_MAJORITY_MS and len(others) >= self.majority:
            p, now = self.world.at[k], self.world.now
            self.world.later(NO_MAJORITY_MS, self._check_isolated, k, p, directions, now)

    def one_way(self, k: int, j: int, ms: float) -> None:
        """One direction between two is cut."""
        self._cut({(k, j)}, ms)

    def pass_on(self, k: int, j: int, ms: float) -> None:
        """Two can't reach each other, and both reach the third."""
        self._cut({(k, j), (j, k)}, ms)

    def break_(self, k: int, j: int, _: float) -> None:
        """The stream between two breaks."""
        if j != k:
            self.controls.streams.reset(k, j)

    def _cut(self, directions: set[tuple[int, int]], ms: float) -> None:
        streams = self.controls.streams
        new = {d for d in directions - streams.cut if d[0] != d[1]}  # those of another cut end with that one
        streams.cut |= new
        self.cut_at |= dict.fromkeys(new, self.world.now)
        if self.world.rng.random() < 0.5:  # the connection breaks at some time; otherwise it holds what was sent
            for a, b in sorted(new):
                self.world.later(self.world.rng.uniform(0.0, ms), streams.reset, a, b)
        self.world.later(ms, self._end_cut, new)

    def _end_cut(self, directions: set[tuple[int, int]]) -> None:
        self.controls.streams.end_cut(directions)
        self.cut_ended_at |= dict.fromkeys(directions, self.world.now)

    def lag(self, _: int, __: int, ms: float) -> None:
        """All streams are slow."""
        self.controls.streams.delay_ms, self.lagged_at = LAG_MS, self.world.now
        self.world.later(ms, self._end_lag)

    def _end_lag(self) -> None:
        self.controls.streams.delay_ms = DELAY_MS

    def all(self, _: int, __: int, ms: float) -> None:
        """All are killed, each at some time, and started again."""
        for k in range(self.size.count):
            self.restart(k, 0, self.world.rng.uniform(0.0, ms))

    def _copy(self, k: int) -> None:
        self.controls.disks[k].copies.append(self.controls.disks[k].data)

    def old_disk(self, k: int, _: int, __: float, tries: int = 60) -> None:
        """Restarted with an older copy of its disk, once a day, and only if the others have all that is committed and
        know a newer position of it: docs/rollout-control.md states the guarantee for this case."""
        others = [x for x in range(self.size.count) if x != k]
        if self.restored_process is not None or not self.open or len(others) < self.majority:
            return
        copies = self._older_copies(k, others) if all(map(self.controls.is_up, (k, *others))) else []
        if copies:
            self.restored_process, self.lives = k, {x: self.controls.lives[x] for x in others}
            self.controls.kill(k)
            self.controls.disks[k].data = self.world.rng.choice(copies)
            self.controls.start(k)
            self.world.later(CONTACT_MS, self._check_left_out, 8)
        elif tries:
            self.world.later(100.0, self.old_disk, k, 0, 0.0, tries - 1)

    def lost_disk(self, k: int, _: int, ms: float) -> None:
        """All are down, and the disk of one is rebuilt from those of the others."""
        others = [x for x in range(self.size.count) if x != k]
        if self.restored_process is not None or not self.open or len(others) < self.majority:
            return
        for x in range(self.size.count):
            self.controls.kill(x)
        state = storage.rebuild_state(k, self.size.count, [self.controls.on_disk(x) for x in others])
        self.controls.disks[k].data = storage.encode_file(state.records())
        for x in range(self.size.count):
            self.world.later(self.world.rng.uniform(0.0, ms / 4), self.controls.start, x)

    def _check_left_out(self, repeats: int) -> None:
        """If it is connected to a process that remembers its position, it knows by now that its disk is older."""
        k, now = self.restored_process, self.world.now
        in_contact = [
            x for x in self.lives if self.lives[x] == self.controls.lives[x] and self._was_in_contact(k, x, now)
        ]
        if in_contact and not self.controls.control(k).outdated:
            raise Broken(f"{k} has an older disk and takes part, and {in_contact} remember")
        if repeats:
            self.world.later(CONTACT_MS, self._check_left_out, repeats - 1)

    def _was_in_contact(self, k: int, x: int, now: float) -> bool:
        """Whether both have run, with nothing cut between them, for long enough; false for some time after a lag."""
        up = [self.controls.is_up(n) and not self.world.at[n].stopped and self.world.at[n].born < now - CONTACT_MS / 2
              and self.continued_at.get(n, 0.0) < now - CONTACT_MS / 2 for n in (k, x)]  # fmt: skip
        connected = all(d not in self.controls.streams.cut and self.cut_ended_at.get(d, 0.0) < now - CONTACT_MS / 2
                        for d in ((k, x), (x, k)))  # fmt: skip
        return all(up) and connected and self.lagged_at < now - LONGEST_MS

    def _older_copies(self, k: int, others: list[int]) -> list[bytes]:
        """The copies that all the others know to be old, if they have all that is committed."""
        last = self.truth.get(max(self.truth, default=0))
        if last is None or not all(self._has(x, last) for x in others):
            return []
        position = min(self.controls.control(x).known_positions[k] for x in others)
        copies = self.controls.disks[k].copies
        return [copy for copy in copies if storage.decode_file(copy, k, self.size.count).position < position]
