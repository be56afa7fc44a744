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
from rushweir.fleet.settings import (
    FORGET_AFTER_MS,
    INDIRECT_PROBE_COUNT,
    PROBE_PERIOD_MS,
    PROBE_TIMEOUT_MS,
    Address,
    suspicion_ms,
)
from rushweir.fleet.table import MEMBER

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "dead", "left")
SILENT, OVERDUE, OBJECTED, GOODBYE = "silent", "overdue", "objected", "goodbye"
TRANSITIONS = {
    (ALIVE, SILENT): SUSPECT,
    (SUSPECT, OVERDUE): DEAD,
    (SUSPECT, OBJECTED): ALIVE,
    (DEAD, OBJECTED): ALIVE,
    (ALIVE, GOODBYE): LEFT,
    (SUSPECT, GOODBYE): LEFT,
    (DEAD, GOODBYE): LEFT,
}
MAX_HEALTH = 8  # times the usual patience, at worst
STALE_VIEW_SHARE, STALE_VIEW_MS = (
    1 / 4,
    1_200.0,
)  # of a view's term, and at most: word that it is in force is stale then
LEADER_PROBES_PER_PERIOD = 6  # members that ask the chair in each period, at most
RECENT_SENDERS, RECENT_MS = (
    16,
    1_000.0,
)  # members that were heard last are remembered, and may be relied on for so long
CONFIRMED_FAILURES = 2  # failed probes in a row that helpers confirm: then the fault is not here
MAX_ZONE_BYTES = 32  # bytes of a zone's name as it is told


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
    short = zone.encode()[:MAX_ZONE_BYTES].decode(errors="ignore")
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
        self.probe_order: list[int] = []  # who is probed next, last first
        self.pending_probe: tuple[int, int] | None = None  # number and target of the probe that is out
        self.serial = 0
        self.indirect_probes: dict[
            int, tuple[int, int, int]
        ] = {}  # own probe for another: who asked, its number, the target
        self.health = 0  # how far this process mistrusts itself
        self.recent_senders: OrderedDict[int, float] = OrderedDict()  # who was heard, and when: latest last
        self.missing_helpers: set[int] | None = (
            None  # helpers that were lately heard and owe an answer; None: none was asked
        )
        self.confirmed_failures = 0  # failed probes in a row in which no helper was missing
        self.next_period_at = 0.0

    # --- what is known ---------------------------------------------------------------------------

    def alive(self) -> list[Member]:
        """Those that may be spoken to, without this one."""
        return [m for m in self.known.values() if m.state <= SUSPECT and m.id != self.fleet.me]

    def count(self) -> int:
        return 1 + sum(m.state <= SUSPECT for m in self.known.values() if m.id != self.fleet.me)

    def alive_at(self, address: Address) -> Member | None:
        """The member that is alive at an address."""
        return next((m for m in self.known.values() if m.address == address and m.state <= SUSPECT), None)

    def write_own_entry(self, state: int = ALIVE) -> None:
        """This process's own entry."""
        s, version = self.fleet.settings, version_of(self.incarnation, state)
        self.fleet.table.put(MEMBER, self.fleet.me, version, pack(s.address, s.zone))
        self.known[self.fleet.me] = Member(self.fleet.me, state, self.incarnation, s.address, s.zone)

    def should_merge(self, row: list) -> bool:
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
                self.health = min(MAX_HEALTH, self.health + 1)
                self.fleet.counts["objected"] += 1
                self.write_own_entry()
            return False
        return had is None or version > version_of(had.incarnation, had.state)

    def apply_entry(self, origin: int) -> None:
        """The table has a new entry of a member."""
        entry = self.fleet.table.get(MEMBER, origin)
        new = unpack(origin, *entry) if entry is not None else None
        if new is None:
            return
        had, self.known[origin] = self.known.get(origin), new
        if new.state == SUSPECT and (had is None or had.state < SUSPECT):
            patience = suspicion_ms(self.fleet.settings.slot_count) * (1 + self.health / 4)
            self.fleet.call_after(patience, self._on_suspicion_timeout, (origin, entry[0]))
        elif new.state >= DEAD and (had is None or had.state < DEAD):
            self.fleet.counts["ended_members"] += 1
            self.fleet.call_after(FORGET_AFTER_MS, self._forget, origin)
        if had is None or had.state != new.state:
            self.fleet.member_changed(new, had)

    def _change_state(self, id_: int, event: str) -> None:
        m = self.known.get(id_)
        state = TRANSITIONS.get((m.state, event)) if m is not None else None
        if state is not None and self.fleet.table.put(
            MEMBER, id_, version_of(m.incarnation, state), pack(m.address, m.zone)
        ):
            self.fleet.counts[event] += 1
            self.apply_entry(id_)

    def _on_suspicion_timeout(self, what: tuple[int, int]) -> None:
        id_, version = what
        m = self.known.get(id_)
        if m is not None and version_of(m.incarnation, m.state) == version:
            self._change_state(id_, OVERDUE)

    def _forget(self, id_: int) -> None:
        m = self.known.get(id_)
        if m is not None and m.state >= DEAD:
            del self.known[id_]
            self.fleet.table.forget_origin(id_)

    def leave(self) -> None:
        self.write_own_entry(LEFT)

    # --- probes ----------------------------------------------------------------------------------

    def tick(self, planned: float) -> None:
        """A period is over, and another begins."""
        now = self.fleet.now
        late = now - planned
        if late > PROBE_PERIOD_MS:
            # This process was away. That nobody answered it proves nothing about anybody.
            self.fleet.counts["away"] += 1
            self.health = min(MAX_HEALTH, self.health + 1 + int(late / (4 * PROBE_PERIOD_MS)))
            self.pending_probe = None
        if self.pending_probe is not None:
            self._update_health()
            self._change_state(self.pending_probe[1], SILENT)
            self.pending_probe = None
        self.indirect_probes = {n: h for n, h in self.indirect_probes.items() if n > self.serial - 64}
        if (target := self._next_target()) is not None:
            self.serial += 1
            self.pending_probe, self.missing_helpers = (self.serial, target), None
            self.fleet.send_probe(f.PROBE, target, self.serial)
            self.fleet.call_after(
                PROBE_TIMEOUT_MS * (1 + self.health / 4), self._probe_indirectly, self.pending_probe
            )
        self._probe_leader()
        self.next_period_at = now + PROBE_PERIOD_MS * (1 + self.health / 4)
        self.fleet.call_after(self.next_period_at - now, self.tick, self.next_period_at)

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
        if (
            not fleet.exchange.request_newer_view()
            and chair != fleet.me
            and known is not None
            and known.state <= SUSPECT
        ):
            self.serial += 1
            fleet.send_probe(f.PROBE, chair, self.serial)

    def _next_target(self) -> int | None:
        while self.probe_order:
            id_ = self.probe_order.pop()
            m = self.known.get(id_)
            if m is not None and m.state <= SUSPECT and id_ != self.fleet.me:
                return id_
        self.probe_order = [m.id for m in self.alive()]
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _update_health(self) -> None:
        """A probe failed: is the fault here? Lifeguard (3.1) goes by the answers of helpers, not by the target's:
        where most of a fleet is gone nearly each probe fails, and who probes is well. It is where all helpers that
        were lately heard answered, twice in a row: in noise a single time is often luck. Where none of three did,
        rather this process is deaf than they."""
        if self.missing_helpers is not None and not self.missing_helpers:
            self.confirmed_failures += 1
        else:
            self.confirmed_failures = 0
        if self.confirmed_failures >= CONFIRMED_FAILURES:
            self.health = max(0, self.health - 2)  # two round trips at least went well
        else:
            missing = len(self.missing_helpers) if self.missing_helpers is not None else 0
            self.health = min(MAX_HEALTH, self.health + (2 if missing == INDIRECT_PROBE_COUNT else 1))

    def _probe_indirectly(self, probe: tuple[int, int]) -> None:
        """Helpers are first of all such as were heard lately: who is gone itself helps nobody, and only of those is
        the lack of an answer a sign."""
        if self.pending_probe != probe:
            return
        others = [m.id for m in self.alive() if m.id != probe[1] and m.state == ALIVE]
        self.rng.shuffle(others)
        sure = {id_ for id_, at in self.recent_senders.items() if self.fleet.now - at <= RECENT_MS}
        helpers = sorted(others, key=lambda id_: id_ not in sure)[:INDIRECT_PROBE_COUNT]
        self.missing_helpers = sure.intersection(helpers) or None
        for helper in helpers:
            self.fleet.send(f.INDIRECT_PROBE, helper, [probe[0], probe[1]])

    def on_indirect_probe(self, sender: int, number: int, target: int) -> None:
        """Another could not reach a member, and asks whether this one can."""
        m = self.known.get(target)
        if m is None or m.state > SUSPECT or len(self.indirect_probes) >= 64:
            return
        self.serial += 1
        self.indirect_probes[self.serial] = (sender, number, target)
        self.fleet.send_probe(f.PROBE, target, self.serial)
        self.fleet.call_after(PROBE_TIMEOUT_MS, self._send_nack, self.serial)

    def _send_nack(self, number: int) -> None:
        """The target does not answer this member either: who asked may trust itself."""
        if (asked := self.indirect_probes.get(number)) is not None:
            self.fleet.send(f.INDIRECT_NACK, asked[0], [asked[1], asked[2]])

    def on_datagram(self, sender: int) -> None:
        """Any datagram of a member came."""
        self.recent_senders[sender] = self.fleet.now
        self.recent_senders.move_to_end(sender)
        if len(self.recent_senders) > RECENT_SENDERS:
            self.recent_senders.popitem(last=False)

    def on_ack(self, sender: int, number: int) -> None:
        """A probe of this member's was answered."""
        if self.pending_probe == (number, sender):
            self.pending_probe = None
            self.health = max(0, self.health - 1)
        elif (asked := self.indirect_probes.pop(number, None)) is not None and asked[2] == sender:
            self.fleet.send(f.INDIRECT_ACK, asked[0], [asked[1], sender])

    def on_indirect_ack(self, number: int, target: int) -> None:
        if self.pending_probe == (number, target):
            self.pending_probe = None

    def on_indirect_nack(self, helper: int, number: int, target: int) -> None:
        """A helper had no answer of the target."""
        if self.pending_probe == (number, target) and self.missing_helpers is not None:
            self.missing_helpers.discard(helper)
