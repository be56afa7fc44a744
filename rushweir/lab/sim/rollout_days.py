"""Random days of settings on their way to many ingresses: a script of faults drawn from a seed, played and watched.

    python -m rushweir.lab.sim.rollout_days --days 500 --first 0 --jobs 1

plays that many days of some sixty ingresses, and with ``--large`` days of 700; ``--hard`` plays days of 700 with 100
changes a second for a minute, in the midst of which all are killed and come back at once, and again in a calm. It
ends with 1 if any broke.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing import get_context
from typing import Any

from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.rollout_watch import IN_FORCE_MS, Watched
from rushweir.rollout.change_sets import Change, Key
from rushweir.rollout.object_store import ObjectStore, encode_key, encode_object
from rushweir.rollout.stored_settings import MAGIC
from rushweir.rollout.watch_session_records import Rates

Script = list[tuple[float, str, tuple]]
START_MS = 6_000.0  # all are together
QUIET_MS = 25_000.0  # after the last fault
CONTROLS = [0, 1, 3]  # their zones: two in the one region, one in the other
ZONES, REGION = 6, 3  # zones, and in each region


@dataclass(frozen=True, slots=True)
class Size:
    ingresses: int = 60
    objects: int = 250
    data: int = 120  # bytes of one at most
    length_ms: float = 70_000.0
    faults: int = 10
    change_ms: float = 900.0  # between two
    burst: int = 300  # changes at 100 a second
    rates: Rates = Rates()
    sample: float = 1.0


SHORT = Size()
SHORTEST = Size(ingresses=36, objects=100, length_ms=38_000.0, faults=7, burst=60)
LARGE = Size(ingresses=700, objects=2_000, length_ms=150_000.0, burst=6_000, sample=0.02)
HARD = Size(ingresses=700, objects=2_000, length_ms=95_000.0, burst=6_000, sample=0.02)
HARD_SCRIPT: Script = [(8_000.0, "burst", (0, 0.0)), (35_000.0, "all", (0, 4_000.0)), (80_000.0, "all", (0, 4_000.0))]
FAULTS = (
    "kill", "kill", "rack", "zone", "zone", "regions", "regions", "control", "control", "control_alone", "all",
    "burst", "alter", "double", "swap", "refuser", "replace", "foreign", "large", "one_way_off",
    "mid_write", "mid_write", "rolling", "rolling",
)  # fmt: skip


def draw(seed: int, size: Size) -> Script:
    """The script of a day."""
    rng, steps = random.Random(seed), Script()
    for _ in range(size.faults):
        at, what = rng.uniform(START_MS + 2_000.0, size.length_ms), rng.choice(FAULTS)
        steps.append((at, what, (rng.randrange(1 << 30), rng.uniform(600.0, 20_000.0))))
    return sorted(steps)


class Day:
    def __init__(self, seed: int, size: Size, script: Script, plant: Callable[[Any], None] | None = None) -> None:
        zones = [n % ZONES for n in range(size.ingresses)]
        self.world = Watched(seed, CONTROLS, zones, size.rates, size.sample)
        self.size, self.script, self.rng = size, script, random.Random(seed ^ 0x5EED)
        self.names = [("partner", f"p{n}") for n in range(size.objects)]
        self.over = False
        if plant is not None:
            plant(self.world)

    def play(self) -> None:
        """Raises Broken."""
        w = self.world
        for c in w.controls:
            w.start_control(c)
        w.run(200.0)
        w.commit(tuple(Change(key, self._data()) for key in self.names))
        for i in w.ingresses:
            w.later(w.rng.uniform(0, 1_500.0), w.start_ingress, i)
        w.run(START_MS)
        for c in w.controls:  # as if they had run for long
            assert c.core is not None
            c.core.applied_versions.complete = True
        w.later(0.0, self._changes)
        for at, what, arguments in self.script:
            w.later(at - w.now, getattr(self, what), *arguments)
        w.run(self.size.length_ms + QUIET_MS)
        self._calm()

    def _calm(self) -> None:
        """All that could be restored is: what nobody can take any more is taken back, and all act on the same."""
        w, self.over = self.world, True
        w.alter = w.double = w.swap = 0.0
        w.heal(set(w.cut))
        w.apart.clear()
        w.refusers.clear()
        for c in w.controls:
            if c.core is None:
                w.start_control(c)
        for i in w.ingresses:
            if i.core is None:
                w.start_ingress(i)
        w.run(w.now + 2_000.0)
        w.commit((Change(self.names[0], self._data()),))
        w.run(w.now + IN_FORCE_MS)
        for i in w.ingresses:
            assert i.core is not None
            w.content(i, "ends with")
            if i.version != len(w.log):
                raise Broken(f"calm, and {i.name} acts on {i.version} of {len(w.log)}")
        w.run(w.now + 8_000.0)
        told = {c.core.minimum_acting_version() for c in w.controls if c.core is not None}
        if any(c.core is not None and c.core.applied_versions.complete for c in w.controls) and told != {len(w.log)}:
            raise Broken(f"calm, and the least that all act on is told as {sorted(told)} of {len(w.log)}")

    # --- what is changed -------------------------------------------------------------------------

    def _data(self) -> bytes:
        return b"." + self.rng.randbytes(self.rng.randrange(self.size.data))

    def _change(self, most: int = 5) -> tuple[Change, ...]:
        keys: set[Key] = {self.rng.choice(self.names) for _ in range(self.rng.randint(1, most))}
        if self.rng.random() < 0.2:
            keys.add(("plan", f"new {len(self.world.log)}"))
        return tuple(Change(k, None if self.rng.random() < 0.25 else self._data()) for k in sorted(keys))

    def _changes(self) -> None:
        if self.over:
            return
        self.world.commit(self._change())
        self.world.later(self.rng.expovariate(1 / self.size.change_ms), self._changes)

    # --- faults ----------------------------------------------------------------------------------

    def _some(self, seed: int, part: float) -> list[Any]:
        rng = random.Random(seed)
        return [i for i in self.world.ingresses if rng.random() < part]

    def _down(self, ingresses: list[Any], ms: float) -> None:
        for i in ingresses:
            self.world.kill_ingress(i)
            self.world.later(ms * self.rng.uniform(0.5, 1.0), self._up, i)

    def _up(self, i: Any) -> None:
        if i.core is None:
            self.world.start_ingress(i)

    def _cut(self, pairs: set[frozenset[int]], ms: float) -> None:
        self.world.cut |= pairs
        self.world.later(ms, self.world.heal, pairs)

    def kill(self, seed: int, ms: float) -> None:
        self._down([self.world.ingresses[seed % len(self.world.ingresses)]], ms)

    def rack(self, seed: int, ms: float) -> None:
        self._down(self._some(seed, 0.06), ms)

    def all(self, seed: int, ms: float) -> None:
        """All at once, and all back at once."""
        for i in self.world.ingresses:
            self.world.kill_ingress(i)
            self.world.later(ms / 2 + self.rng.uniform(0.0, 100.0), self._up, i)

    def zone(self, seed: int, ms: float) -> None:
        z = seed % ZONES
        self._cut({frozenset((z, other)) for other in range(ZONES) if other != z}, ms)

    def one_way_off(self, seed: int, ms: float) -> None:
        """One zone does not reach one control process."""
        self._cut({frozenset((seed % ZONES, CONTROLS[seed // 7 % 3]))} - {frozenset((seed % ZONES,))}, ms)

    def regions(self, seed: int, ms: float) -> None:
        """For long: an hour is some minutes here, by the changes that come meanwhile."""
        self._cut({frozenset((a, b)) for a in range(REGION) for b in range(REGION, ZONES)}, 2 * ms)

    def control(self, seed: int, ms: float) -> None:
        c = self.world.controls[seed % 3]
        self.world.kill_control(c)
        self.world.later(ms + 1_000.0, self._control_up, c)

    def _control_up(self, c: Any) -> None:
        if c.core is None:
            self.world.start_control(c)

    def rolling(self, seed: int, ms: float) -> None:
        """Each control process anew in turn, so that none has the recent steps; some ingresses are away meanwhile."""
        self._down(self._some(seed, 0.1), 12_000.0)
        for n, c in enumerate(self.world.controls):
            self.world.later(500.0 + 2_500.0 * n, self.world.kill_control, c)
            self.world.later(2_000.0 + 2_500.0 * n, self._control_up, c)
        gone = tuple(Change(key, None) for key in random.Random(seed).sample(self.names, 3))
        self.world.later(200.0, self.world.commit, gone)

    def mid_write(self, seed: int, ms: float) -> None:
        """A kill while what was changed last is on its way to the disk."""
        self.world.commit(self._change())
        for i in self._some(seed, 0.4):
            self.world.later(self.rng.uniform(50.0, 90.0), self._down, [i], ms / 4)

    def control_alone(self, seed: int, ms: float) -> None:
        """Ingresses reach it, no other control process does."""
        name = self.world.controls[seed % 3].name
        self.world.apart.add(name)
        self.world.later(ms, self.world.apart.discard, name)

    def burst(self, seed: int, ms: float) -> None:
        for n in range(self.size.burst):
            self.world.later(n * 10.0, lambda: self.world.commit(self._change(2)))

    def large(self, seed: int, ms: float) -> None:
        """Many objects at once, and a third of them gone with the next."""
        rng = random.Random(seed)
        keys = rng.sample(self.names, len(self.names) // 2)
        self.world.commit(tuple(Change(k, self._data()) for k in keys))
        self.world.commit(tuple(Change(k, None) for k in keys[::3]))

    def alter(self, seed: int, ms: float) -> None:
        self._noise("alter", 0.05, ms)

    def double(self, seed: int, ms: float) -> None:
        self._noise("double", 0.2, ms)

    def swap(self, seed: int, ms: float) -> None:
        self._noise("swap", 0.1, ms)

    def _noise(self, what: str, part: float, ms: float) -> None:
        setattr(self.world, what, part)
        self.world.later(ms, setattr, self.world, what, 0.0)

    def refuser(self, seed: int, ms: float) -> None:
        """A change that some do not take, and a while later one that they do."""
        key, mark = self.names[seed % len(self.names)], b"!" + bytes([seed % 250])
        for i in self._some(seed, 0.1):
            self.world.refusers.setdefault(i.name, set()).add(b"!")
        self.world.commit((Change(key, mark), *self._only_new()))
        self.world.later(ms, lambda: self.world.commit((Change(key, self._data()),)))

    def _only_new(self) -> tuple[Change, ...]:
        return (Change(("plan", f"beside {len(self.world.log)}"), self._data()),)

    def replace(self, seed: int, ms: float) -> None:
        """Another machine of the same name, with nothing."""
        i = self.world.ingresses[seed % len(self.world.ingresses)]
        self.world.kill_ingress(i)
        i.files, i.word, i.known_since = (None, b""), 0, float("inf")
        self.world.foreign.discard(i.name)
        self.world.later(ms / 10, self._up, i)

    def foreign(self, seed: int, ms: float) -> None:
        """A disk with sound files whose objects are not those of their version."""
        i = self.world.ingresses[seed % len(self.world.ingresses)]
        if i.files[0] is None or i.core is None:
            return
        self.world.kill_ingress(i)
        book = ObjectStore.load(i.files[0])
        book.put(
            [(encode_key(self.names[seed % 7]), encode_object(max(1, book.version), b".of elsewhere"))], book.version
        )
        i.files, i.word = (book.dump(), MAGIC), 0
        self.world.foreign.add(i.name)
        self.world.mended.add((i.name, i.life + 1))
        self.world.later(ms / 10, self._up, i)


def check(seed: int, size: Size, script: Script | None = None, plant: Callable[[Any], None] | None = None) -> str:
    """What broke on a day; empty: nothing."""
    day = Day(seed, size, draw(seed, size) if script is None else script, plant)
    try:
        day.play()
    except Broken as problem:
        return f"{day.world.now / 1000:.1f} s: {problem}"
    return ""


def played(seed: int, size: Size) -> tuple[int, str, Counter[str]]:
    """A day: its seed, what broke, and counts of what it had."""
    day, broke = Day(seed, size, HARD_SCRIPT if size == HARD else draw(seed, size)), ""
    try:
        day.play()
    except Broken as problem:
        broke = f"{day.world.now / 1000:.1f} s: {problem}"
    counts = Counter[str](day.world.counts)
    counts.update(changes=len(day.world.log), days=1, applied=len(day.world.latest))
    counts["latest_ms"] = round(max(day.world.latest, default=0))
    return seed, broke, counts


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--days", type=int, default=500)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1, help="days that are played at once, each in a process")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--hard", action="store_true")
    given = parser.parse_args()
    size = HARD if given.hard else LARGE if given.large else SHORT
    seeds, play = range(given.first, given.first + given.days), partial(played, size=size)
    broken, latest, counts = 0, 0, Counter[str]()
    # Each day in a process of its own: a large one leaves hundreds of MB behind.
    with get_context("spawn").Pool(given.jobs, maxtasksperchild=20 if size is SHORT else 1) as pool:
        for seed, broke, of_day in pool.imap_unordered(play, seeds):
            latest = max(latest, of_day.pop("latest_ms"))
            counts.update(of_day)
            broken += bool(broke)
            if broke:
                print(f"day {seed}: {broke}", flush=True)
            if size is not SHORT or counts["days"] % 25 == 0:
                print(f"{counts['days']} days, {broken} broke, latest {latest} ms: {dict(counts)}", flush=True)
    print(f"{given.days} days, {broken} broke, latest {latest} ms: {dict(counts)}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
