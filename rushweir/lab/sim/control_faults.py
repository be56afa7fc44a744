"""What happens to control processes in a day: kills at any point of a write, stops, cuts, lags, disks put back."""

from __future__ import annotations

from typing import Any

from rushweir.lab.sim.control_world import Controls
from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.world import Process, World
from rushweir.rollout import storage
from rushweir.rollout.change_sets import ChangeSet

LONGEST_MS = 20_000.0  # of a fault
SAYS_SO_MS = 4_500.0  # after a cut, until who is cut off must say so: three election times
CLEAR_MS = 2_400.0  # with a clear way for half of it, a word has come
LAG_MS, DELAY_MS = (20.0, 900.0), (0.5, 4.0)


class Faults:
    """Each by its name: of process ``k``, with ``j`` as the other of a pair, for some time."""

    world: World
    controls: Controls
    size: Any
    majority: int
    truth: dict[int, ChangeSet]
    open: bool
    propose: Any
    _has: Any
    _says_so: Any

    def __init__(self) -> None:
        self.falls = 0  # so many new leaders are killed at once
        self.went_on: dict[int, float] = {}
        self.put_back: int | None = None
        self.lives: dict[int, int] = {}  # of the others when the disk was put back
        self.cut_at: dict[tuple[int, int], float] = {}
        self.mended_at: dict[tuple[int, int], float] = {}
        self.lagged_at = -LONGEST_MS

    def kill(self, k: int, _: int, __: float) -> None:
        self.controls.kill(k)

    def restart(self, k: int, _: int, ms: float) -> None:
        self.controls.kill(k)
        self.world.later(ms / 20, self.controls.start, k)

    def mid_write(self, k: int, _: int, ms: float) -> None:
        """Killed while a change is being written, at the leader or at one that follows."""
        for _ in range(3):
            self.propose(k, None, ask_leader=True)
        self.world.later(self.world.rng.uniform(0.0, 30.0), self.restart, k, 0, ms)

    def fall(self, k: int, _: int, __: float) -> None:
        """Who leads, and whoever leads after it, is killed among its first words."""
        self.falls = 4
        if self.controls.is_up(k) and self.controls.control(k).leader >= 0:
            self.restart(self.controls.control(k).leader, 0, 2_000.0)

    def _fall(self, p: Process) -> None:
        if self.world.at[p.name] is p:
            self.restart(p.name, 0, self.world.rng.uniform(500.0, 60_000.0))

    def stop(self, k: int, _: int, ms: float) -> None:
        if self.controls.is_up(k):
            p = self.world.at[k]
            self.world.stop(k)
            self.world.later(ms, self._go_on, k, p)

    def _go_on(self, k: int, p: Process) -> None:
        if self.world.at.get(k) is p:
            self.went_on[k] = self.world.now
            self.world.go_on(k)

    def alone(self, k: int, _: int, ms: float) -> None:
        others = [x for x in range(self.size.count) if x != k]
        ways = {(k, x) for x in others} | {(x, k) for x in others}
        self._cut(ways, ms)
        if self.controls.is_up(k) and ms > SAYS_SO_MS and len(others) >= self.majority:
            p, now = self.world.at[k], self.world.now
            self.world.later(SAYS_SO_MS, self._says_so, k, p, ways, now)

    def one_way(self, k: int, j: int, ms: float) -> None:
        self._cut({(k, j)}, ms)

    def pass_on(self, k: int, j: int, ms: float) -> None:
        """Two can't hear each other, and both hear the third."""
        self._cut({(k, j), (j, k)}, ms)

    def break_(self, k: int, j: int, _: float) -> None:
        if j != k:
            self.controls.streams.reset(k, j)

    def _cut(self, ways: set[tuple[int, int]], ms: float) -> None:
        streams = self.controls.streams
        new = {w for w in ways - streams.cut if w[0] != w[1]}  # another cut's heal with that one
        streams.cut |= new
        self.cut_at |= dict.fromkeys(new, self.world.now)
        if self.world.rng.random() < 0.5:  # the connection ends sooner or later; else it holds what was sent
            for a, b in sorted(new):
                self.world.later(self.world.rng.uniform(0.0, ms), streams.reset, a, b)
        self.world.later(ms, self._mend, new)

    def _mend(self, ways: set[tuple[int, int]]) -> None:
        self.controls.streams.mend(ways)
        self.mended_at |= dict.fromkeys(ways, self.world.now)

    def lag(self, _: int, __: int, ms: float) -> None:
        self.controls.streams.delay_ms, self.lagged_at = LAG_MS, self.world.now
        self.world.later(ms, self._calm)

    def _calm(self) -> None:
        self.controls.streams.delay_ms = DELAY_MS

    def all(self, _: int, __: int, ms: float) -> None:
        for k in range(self.size.count):
            self.restart(k, 0, self.world.rng.uniform(0.0, ms))

    def _copy(self, k: int) -> None:
        self.controls.disks[k].copies.append(self.controls.disks[k].data)

    def old_disk(self, k: int, _: int, __: float, tries: int = 60) -> None:
        """Restarted with an older copy of its disk, once a day; and only where the others have all that is in force
        and have heard of a newer write of it: what is promised for that, is what docs/rollout-control.md says."""
        others = [x for x in range(self.size.count) if x != k]
        if self.put_back is not None or not self.open or len(others) < self.majority:
            return
        copies = self._older(k, others) if all(map(self.controls.is_up, (k, *others))) else []
        if copies:
            self.put_back, self.lives = k, {x: self.controls.lives[x] for x in others}
            self.controls.kill(k)
            self.controls.disks[k].data = self.world.rng.choice(copies)
            self.controls.start(k)
            self.world.later(CLEAR_MS, self._left_out, 8)
        elif tries:
            self.world.later(100.0, self.old_disk, k, 0, 0.0, tries - 1)

    def lost_disk(self, k: int, _: int, ms: float) -> None:
        """All are down, and the disk of one is made anew of those of the others."""
        others = [x for x in range(self.size.count) if x != k]
        if self.put_back is not None or not self.open or len(others) < self.majority:
            return
        for x in range(self.size.count):
            self.controls.kill(x)
        made = storage.rebuild_state(k, self.size.count, [self.controls.on_disk(x) for x in others])
        self.controls.disks[k].data = storage.encode_file(made.records())
        for x in range(self.size.count):
            self.world.later(self.world.rng.uniform(0.0, ms / 4), self.controls.start, x)

    def _left_out(self, times: int) -> None:
        """With a clear way to one that remembers, it was told by now."""
        k, now = self.put_back, self.world.now
        clear = [x for x in self.lives if self.lives[x] == self.controls.lives[x] and self._clear(k, x, now)]
        if clear and not self.controls.control(k).outdated:
            raise Broken(f"{k} has an old disk and takes part, and {clear} remember")
        if times:
            self.world.later(CLEAR_MS, self._left_out, times - 1)

    def _clear(self, k: int, x: int, now: float) -> bool:
        """Both have run, and nothing was cut between them, for long enough; after a lag nobody can say."""
        up = [self.controls.is_up(n) and not self.world.at[n].stopped and self.world.at[n].born < now - CLEAR_MS / 2
              and self.went_on.get(n, 0.0) < now - CLEAR_MS / 2 for n in (k, x)]  # fmt: skip
        free = all(w not in self.controls.streams.cut and self.mended_at.get(w, 0.0) < now - CLEAR_MS / 2
                   for w in ((k, x), (x, k)))  # fmt: skip
        return all(up) and free and self.lagged_at < now - LONGEST_MS

    def _older(self, k: int, others: list[int]) -> list[bytes]:
        """The copies that all the others know to be old, if they have all that is in force."""
        last = self.truth.get(max(self.truth, default=0))
        if last is None or not all(self._has(x, last) for x in others):
            return []
        heard = min(self.controls.control(x).known_positions[k] for x in others)
        copies = self.controls.disks[k].copies
        return [c for c in copies if storage.decode_file(c, k, self.size.count).position < heard]
