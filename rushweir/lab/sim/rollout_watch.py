"""What must always be true of settings on their way, looked at in a simulated day.

- What an ingress acts on is a version of the log, object for object; and so is what a restart finds on its disk.
- A version never goes back: not in a life, and not by a restart behind what a control process was told.
- Whoever is up, and has had a control process within reach that was up and with a majority all that time, knows
  within IN_FORCE_MS all that was committed, and acts on it unless it refuses a part of it.
- No control process sends more bytes in a second than its rate, its burst and one message.
- The whole goes only to one with nothing; a step is as large as what it changes; what differs names what differs.
- A digest never fails to fit, but at one whose disk was put in from elsewhere.
- Those of one control process that went do not come over at once.
- What all act on at least, as a control process tells, is what all who are known act on at least.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from rushweir.lab.sim.fleets import Broken
from rushweir.lab.sim.rollout_world import KEY, Control, Ingress, Wire, World
from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import Change, Key, pack, unpack
from rushweir.rollout.watch_session_limits import CHUNK_BYTES
from rushweir.rollout.watch_session_records import Rates

IN_FORCE_MS = 11_000.0
LOOK_MS = 500.0
AT_ONCE_MS = 250.0
AT_ONCE_PART = 0.75  # of those who went over together; of at least AT_ONCE_FROM
AT_ONCE_FROM = 10
KNOWN_MS = 10_000.0  # with a control process for so long: its account came to the others
MESSAGE = 700  # bytes of a step beside what it changes, in base64

Content = frozenset[tuple[Key, bytes]]


class Watched(World):
    """A world that ends with Broken as soon as one of these is not so."""

    def __init__(
        self, seed: int, controls: list[int], zones: list[int], rates: Rates | None = None, sample: float = 1.0
    ) -> None:
        """``sample`` is the share of all applied versions that are compared object for object."""
        super().__init__(seed, controls, zones, rates)
        self.sample = sample
        self.truth: dict[Key, bytes] = {}
        self.contents: list[int] = [hash(frozenset())]
        self.committed_at = [0.0]
        self.sizes, self.largest = [0], 0  # bytes of each step, as packed
        self.steps: set[bytes] = set()
        self.ok: dict[tuple[int, str], float] = {}  # since when a zone reaches a control process that can help
        self.foreign: set[str] = set()  # with a disk put in from elsewhere, not mended yet
        self.mended: set[tuple[str, int]] = set()  # lives that began so
        self.lost_at: deque[tuple[float, str]] = deque()
        self.dialed: deque[tuple[float, str]] = deque()
        self.latest: list[float] = []  # ms to in force, of each applied
        self.later(LOOK_MS, self._looks)

    def commit(self, changes: tuple[Change, ...]) -> bool:
        if not super().commit(changes):
            return False
        for c in changes:
            if c.data is None:
                self.truth.pop(c.key, None)
            else:
                self.truth[c.key] = c.data
        self.contents.append(hash(frozenset(self.truth.items())))
        self.committed_at.append(self.now)
        self.sizes.append(len(pack(self.log[-1])))
        self.largest = max(self.largest, self.sizes[-1])
        return True

    # --- at each event ---------------------------------------------------------------------------

    def acts(self, i: Ingress, before: int) -> None:
        if i.version < before:
            raise Broken(f"{i.name} went from version {before} back to {i.version}")
        if i.version > before:
            self.latest.append(self.now - self.committed_at[i.version])
        if self.sample >= 1 or self.rng.random() < self.sample:
            self.content(i, "acts on")

    def content(self, i: Ingress, what: str) -> None:
        if hash(frozenset(i.acting.items())) != self.contents[i.version]:
            raise Broken(f"{i.name} {what} objects that are not version {i.version}")
        self.foreign.discard(i.name)

    def start_ingress(self, i: Ingress) -> None:
        super().start_ingress(i)
        self.lost_at = deque((at, name) for at, name in self.lost_at if name != i.name)  # it dials as it starts
        if i.version < i.word:
            raise Broken(f"{i.name} begins with version {i.version}, and had said {i.word}")
        if i.name not in self.foreign:
            self.content(i, "begins with")

    def says(self, i: Ingress, data: bytes) -> None:
        _, fields = watch_channel.read(data, KEY)
        acts = fields.get("acts", fields.get("version") if "why" in fields else None)
        if acts is not None:
            i.word = max(i.word, acts)

    def sees(self, c: Control, wire: Wire, data: bytes) -> None:
        second = int(self.now / 1000)
        if second != c.second:
            c.second, c.sent = second, 0.0
        c.sent += len(data)
        most = self.rates.rate + self.rates.burst + 2 * max(CHUNK_BYTES, self.largest)
        if c.sent > most:
            raise Broken(f"{c.name} sent {c.sent:.0f} bytes in a second, {most:.0f} at most")
        if b'"rollout.mend"' in data[:60]:
            self._mend(c, wire, data)
        elif b'"rollout.step"' in data[:60] and data not in self.steps:  # the same bytes go to all
            self.steps.add(data)
            most = MESSAGE + 1.4 * self.sizes[unpack(watch_channel.read(data, KEY)[1]["step"]).version]
            if len(data) > most:
                raise Broken(f"{c.name} sent a step of {len(data)} bytes, {most:.0f} by what it changes")

    def _mend(self, c: Control, wire: Wire, data: bytes) -> None:
        self.counts["pieces"] += 1
        _, fields = watch_channel.read(data, KEY)
        base, version = fields["base"], fields["version"]
        if base == 0:
            if wire.ingress.word > 0 and wire.ingress.version > 0:
                raise Broken(f"{wire.ingress.name} acts on {wire.ingress.version} and got the whole")
            return
        touched = {ch.key for s in self.log[base:version] for ch in s.changes}
        if len(fields["rows"]) > len(touched) and wire.ingress.name not in self.foreign:
            raise Broken(f"{len(fields['rows'])} objects sent to {wire.ingress.name} where {len(touched)} differ")

    def lost(self, i: Ingress, wire: Wire) -> None:
        self.lost_at.append((self.now, i.name))

    def _dials(self, i: Ingress, order: Any) -> None:
        while self.lost_at and self.lost_at[0][0] < self.now - 5_000:
            self.lost_at.popleft()
        if any(name == i.name for _, name in self.lost_at):
            self.dialed.append((self.now, i.name))
            while self.dialed[0][0] < self.now - AT_ONCE_MS:
                self.dialed.popleft()
            # Only what one event did together: those who were lost within a moment of each other.
            last = self.lost_at[-1][0]
            together = {name for at, name in self.lost_at if last - at < 50.0}
            came = together & {name for at, name in self.dialed if at > last - 50.0}
            if len(together) >= AT_ONCE_FROM and len(came) > AT_ONCE_PART * len(together):
                raise Broken(f"{len(came)} of {len(together)} came over within {AT_ONCE_MS:.0f} ms")
        super()._dials(i, order)

    # --- now and then ----------------------------------------------------------------------------

    def _looks(self) -> None:
        self.later(LOOK_MS, self._looks)
        for c in self.controls:
            for zone in {i.zone for i in self.ingresses}:
                able = c.core is not None and c.core.current and self.majority(c) and not self.alter
                if able and frozenset((zone, c.zone)) not in self.cut:
                    self.ok.setdefault((zone, c.name), self.now)
                else:
                    self.ok.pop((zone, c.name), None)
        head = self._head_at(self.now - IN_FORCE_MS)
        for i in self.ingresses:
            if i.core is None:
                continue
            if i.core.counts["digest_wrong"] and (i.name, i.life) not in self.mended:
                raise Broken(f"{i.name}: a digest did not fit")
            since = min((at for (zone, _), at in self.ok.items() if zone == i.zone), default=float("inf"))
            if self.now - max(since, i.up_since) >= IN_FORCE_MS and i.word:
                self._in_force(i, head)
        self._least()

    def _head_at(self, at: float) -> int:
        n = len(self.log)
        while n and self.committed_at[n] > at:
            n -= 1
        return n

    def _in_force(self, i: Ingress, head: int) -> None:
        assert i.core is not None
        if i.core.buffer.version < head:
            raise Broken(f"{i.name} knows {i.core.buffer.version}, and {head} is older than that")
        if i.version < head and not i.core.refusal:
            raise Broken(f"{i.name} acts on {i.version}, and {head} is older than that")

    def _least(self) -> None:
        told = max((c.core.applied_versions.reported_minimum for c in self.controls if c.core is not None), default=0)
        for i in self.ingresses:
            if i.core is None:
                continue
            near = any(w.control.core is not None and w.control.core.current for w in i.wires.values())
            if not i.version or (not near and self.now - i.known_since < KNOWN_MS):
                i.known_since = float("inf")
            elif near:
                i.known_since = min(i.known_since, self.now)
            if self.now - i.known_since > KNOWN_MS and i.version < told:
                raise Broken(f"{i.name} acts on {i.version}, and all are said to act on {told}")
