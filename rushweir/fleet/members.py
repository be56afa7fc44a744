"""Who is alive: SWIM with suspicion (Das, Gupta, Motivala 2002), and Lifeguard's local health (Dadgar et al. 2018).

Each period one other member is probed, in a shuffled round, so that each is probed within two rounds. Who does not
answer is asked for through others; who still does not answer is suspected, is told so, and may object with a higher
incarnation. Only who objects to nothing for ``suspicion_ms`` counts as dead, and may come back from that too: a
member cut off is not a member ended. What states follow on what:

    from      event      to
    ALIVE     SILENT     SUSPECT
    SUSPECT   OVERDUE    DEAD
    SUSPECT   OBJECTED   ALIVE      (a higher incarnation, which only the member itself writes)
    DEAD      OBJECTED   ALIVE
    any       GOODBYE    LEFT       (final: the process is over)

A member that notices that it was itself away, paused or starved, judges nobody by what it missed and gives the others
more time (``health``). No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from rushweir.fleet import frame as f
from rushweir.fleet.settings import ANSWER_MS, FORGET_MS, HELPERS, PERIOD_MS, Address, suspicion_ms
from rushweir.fleet.table import MEMBER

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

ALIVE, SUSPECT, DEAD, LEFT = range(4)
NAMES = ("alive", "suspect", "dead", "left")
SILENT, OVERDUE, OBJECTED, GOODBYE = "silent", "overdue", "objected", "goodbye"
NEXT = {
    (ALIVE, SILENT): SUSPECT,
    (SUSPECT, OVERDUE): DEAD,
    (SUSPECT, OBJECTED): ALIVE,
    (DEAD, OBJECTED): ALIVE,
    (ALIVE, GOODBYE): LEFT,
    (SUSPECT, GOODBYE): LEFT,
    (DEAD, GOODBYE): LEFT,
}
MOST_HEALTH = 8  # times the usual patience, at worst
STALE_VIEW_SHARE, STALE_VIEW_MS = (
    1 / 4,
    1_200.0,
)  # of a view's term, and at most: word that it is in force is stale then
LEADER_PROBES_PER_PERIOD = 6  # members that ask the chair in each period, at most
LATELY, LATELY_MS = 16, 1_000.0  # members that were heard last are remembered, and may be relied on for so long
CLEARED = 2  # failed probes in a row that helpers confirm: then the fault is not here
MOST_ZONE = 32  # bytes of a zone's name as it is told


def version_of(incarnation: int, state: int) -> int:
    """So that of two entries the later holds: a higher incarnation, and in one incarnation the worse state."""
    return incarnation * 4 + state


@dataclass(frozen=True, slots=True)
class Member:
    """A process as the table has it."""

    id: int
    state: int
    incarnation: int
    address: Address
    zone: str


def pack(address: Address, zone: str) -> bytes:
    short = zone.encode()[:MOST_ZONE].decode(errors="ignore")
    return msgpack.packb([address[0], address[1], short])


def unpack(id_: int, version: int, data: bytes) -> Member | None:
    try:
        host, port, zone = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    if not (isinstance(host, str) and type(port) is int and 0 < port < 65536 and isinstance(zone, str)):
        return None
    return Member(id_, version % 4, version // 4, (host, port), zone)


class Members:
    """One member's knowledge of the others, and its probes."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.rng = fleet, fleet.rng
        self.incarnation = 1
        self.known: dict[int, Member] = {}
        self.round: list[int] = []  # who is probed next, last first
        self.probe: tuple[int, int] | None = None  # number and target of the probe that is out
        self.serial = 0
        self.helping: dict[int, tuple[int, int, int]] = {}  # own probe for another: who asked, its number, the target
        self.health = 0  # how far this process mistrusts itself
        self.lately: OrderedDict[int, float] = OrderedDict()  # who was heard, and when: latest last
        self.waited: set[int] | None = None  # helpers that were lately heard and owe an answer; None: none was asked
        self.cleared = 0  # failed probes in a row in which no helper was missing
        self.due = 0.0

    # --- what is known ---------------------------------------------------------------------------

    def alive(self) -> list[Member]:
        """Those that may be spoken to, without this one."""
        return [m for m in self.known.values() if m.state <= SUSPECT and m.id != self.fleet.me]

    def count(self) -> int:
        return 1 + sum(m.state <= SUSPECT for m in self.known.values() if m.id != self.fleet.me)

    def at(self, address: Address) -> Member | None:
        """The member that is alive at an address."""
        return next((m for m in self.known.values() if m.address == address and m.state <= SUSPECT), None)

    def write(self, state: int = ALIVE) -> None:
        """This process's own entry."""
        s, version = self.fleet.settings, version_of(self.incarnation, state)
        self.fleet.table.put(MEMBER, self.fleet.me, version, pack(s.address, s.zone))
        self.known[self.fleet.me] = Member(self.fleet.me, state, self.incarnation, s.address, s.zone)

    def heard(self, row: list) -> bool:
        """An entry of a member came; whether it is to be merged."""
        _, origin, version, data = row
        if type(version) is not int or type(origin) is not int or not isinstance(data, bytes):
            return True  # the table refuses and counts it
        had, new = self.known.get(origin), unpack(origin, version, data)
        if new is None or (had is None and new.state >= DEAD):
            return False  # late news of one that ended and was forgotten
        if origin == self.fleet.me:
            if new.incarnation >= self.incarnation and new.state != ALIVE and not self.fleet.leaving:
                self.incarnation = new.incarnation + 1
                self.health = min(MOST_HEALTH, self.health + 1)
                self.fleet.counts["objected"] += 1
                self.write()
            return False
        return had is None or version > version_of(had.incarnation, had.state)

    def took(self, origin: int) -> None:
        """The table has a new entry of a member."""
        entry = self.fleet.table.get(MEMBER, origin)
        new = unpack(origin, *entry) if entry is not None else None
        if new is None:
            return
        had, self.known[origin] = self.known.get(origin), new
        if new.state == SUSPECT and (had is None or had.state < SUSPECT):
            patience = suspicion_ms(self.fleet.settings.slot_count) * (1 + self.health / 4)
            self.fleet.at(patience, self._overdue, (origin, entry[0]))
        elif new.state >= DEAD and (had is None or had.state < DEAD):
            self.fleet.counts["ended_members"] += 1
            self.fleet.at(FORGET_MS, self._forget, origin)
        if had is None or had.state != new.state:
            self.fleet.member_changed(new, had)

    def _judge(self, id_: int, event: str) -> None:
        m = self.known.get(id_)
        state = NEXT.get((m.state, event)) if m is not None else None
        if state is not None and self.fleet.table.put(
            MEMBER, id_, version_of(m.incarnation, state), pack(m.address, m.zone)
        ):
            self.fleet.counts[event] += 1
            self.took(id_)

    def _overdue(self, what: tuple[int, int]) -> None:
        id_, version = what
        m = self.known.get(id_)
        if m is not None and version_of(m.incarnation, m.state) == version:
            self._judge(id_, OVERDUE)

    def _forget(self, id_: int) -> None:
        m = self.known.get(id_)
        if m is not None and m.state >= DEAD:
            del self.known[id_]
            self.fleet.table.forget_origin(id_)

    def leave(self) -> None:
        self.write(LEFT)

    # --- probes ----------------------------------------------------------------------------------

    def tick(self, planned: float) -> None:
        """A period is over, and another begins."""
        now = self.fleet.now
        late = now - planned
        if late > PERIOD_MS:
            # This process was away. That nobody answered it proves nothing about anybody.
            self.fleet.counts["away"] += 1
            self.health = min(MOST_HEALTH, self.health + 1 + int(late / (4 * PERIOD_MS)))
            self.probe = None
        if self.probe is not None:
            self._blame()
            self._judge(self.probe[1], SILENT)
            self.probe = None
        self.helping = {n: h for n, h in self.helping.items() if n > self.serial - 64}
        if (target := self._next()) is not None:
            self.serial += 1
            self.probe, self.waited = (self.serial, target), None
            self.fleet.send_probe(f.PROBE, target, self.serial)
            self.fleet.at(ANSWER_MS * (1 + self.health / 4), self._ask_others, self.probe)
        self._probe_leader()
        self.due = now + PERIOD_MS * (1 + self.health / 4)
        self.fleet.at(self.due - now, self.tick, self.due)

    def _probe_leader(self) -> None:
        """Word that the view is in force comes with any answer, but from hand to hand. Who has none for a while asks
        the chair itself, in a large fleet by lot: together they ask as often as ``CHAIR_ASKED`` members would. Who
        heard of a newer view than it holds learns nothing from that answer: it asks for what it lacks instead."""
        fleet, chair = self.fleet, self.fleet.leader_id()
        if fleet.view_age() <= min(STALE_VIEW_MS, fleet.settings.view_ms * STALE_VIEW_SHARE):
            return
        known = self.known.get(chair)
        if self.rng.random() * self.count() >= LEADER_PROBES_PER_PERIOD:
            return
        if not fleet.exchange.catch_up() and chair != fleet.me and known is not None and known.state <= SUSPECT:
            self.serial += 1
            fleet.send_probe(f.PROBE, chair, self.serial)

    def _next(self) -> int | None:
        while self.round:
            id_ = self.round.pop()
            m = self.known.get(id_)
            if m is not None and m.state <= SUSPECT and id_ != self.fleet.me:
                return id_
        self.round = [m.id for m in self.alive()]
        self.rng.shuffle(self.round)
        return self.round.pop() if self.round else None

    def _blame(self) -> None:
        """A probe failed: is the fault here? Lifeguard (3.1) goes by the answers of helpers, not by the target's:
        where most of a fleet is gone nearly each probe fails, and who probes is well. It is where all helpers that
        were lately heard answered, twice in a row: in noise a single time is often luck. Where none of three did,
        rather this process is deaf than they."""
        if self.waited is not None and not self.waited:
            self.cleared += 1
        else:
            self.cleared = 0
        if self.cleared >= CLEARED:
            self.health = max(0, self.health - 2)  # two round trips at least went well
        else:
            missing = len(self.waited) if self.waited is not None else 0
            self.health = min(MOST_HEALTH, self.health + (2 if missing == HELPERS else 1))

    def _ask_others(self, probe: tuple[int, int]) -> None:
        """Helpers are first of all such as were heard lately: who is gone itself helps nobody, and only of those is
        the lack of an answer a sign."""
        if self.probe != probe:
            return
        others = [m.id for m in self.alive() if m.id != probe[1] and m.state == ALIVE]
        self.rng.shuffle(others)
        sure = {id_ for id_, at in self.lately.items() if self.fleet.now - at <= LATELY_MS}
        helpers = sorted(others, key=lambda id_: id_ not in sure)[:HELPERS]
        self.waited = sure.intersection(helpers) or None
        for helper in helpers:
            self.fleet.send(f.INDIRECT_PROBE, helper, [probe[0], probe[1]])

    def asked_for(self, sender: int, number: int, target: int) -> None:
        """Another could not reach a member, and asks whether this one can."""
        m = self.known.get(target)
        if m is None or m.state > SUSPECT or len(self.helping) >= 64:
            return
        self.serial += 1
        self.helping[self.serial] = (sender, number, target)
        self.fleet.send_probe(f.PROBE, target, self.serial)
        self.fleet.at(ANSWER_MS, self._not_reached, self.serial)

    def _not_reached(self, number: int) -> None:
        """The target does not answer this member either: who asked may trust itself."""
        if (asked := self.helping.get(number)) is not None:
            self.fleet.send(f.INDIRECT_NACK, asked[0], [asked[1], asked[2]])

    def heard_of(self, sender: int) -> None:
        """Any datagram of a member came."""
        self.lately[sender] = self.fleet.now
        self.lately.move_to_end(sender)
        if len(self.lately) > LATELY:
            self.lately.popitem(last=False)

    def answered(self, sender: int, number: int) -> None:
        """A probe of this member's was answered."""
        if self.probe == (number, sender):
            self.probe = None
            self.health = max(0, self.health - 1)
        elif (asked := self.helping.pop(number, None)) is not None and asked[2] == sender:
            self.fleet.send(f.INDIRECT_ACK, asked[0], [asked[1], sender])

    def answered_for(self, number: int, target: int) -> None:
        if self.probe == (number, target):
            self.probe = None

    def not_reached_by(self, helper: int, number: int, target: int) -> None:
        """A helper had no answer of the target."""
        if self.probe == (number, target) and self.waited is not None:
            self.waited.discard(helper)
