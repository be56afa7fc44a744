"""Failure detection: SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's local health (Dadgar et al.
2018).

In each period one other member is probed, in a shuffled round, so that each is probed within two rounds. A member
that does not answer is probed indirectly through others; if it still does not answer it is suspected, is told so, and
may object with a higher incarnation. Only a member that does not object for ``suspicion_ms`` counts as dead, and it
may come back even then: a member that is cut off has not ended. State transitions:

    from      event      to
    ALIVE     SILENT     SUSPECT
    SUSPECT   OVERDUE    DEAD
    SUSPECT   OBJECTED   ALIVE      (a higher incarnation, which only the member itself writes)
    DEAD      OBJECTED   ALIVE
    any       GOODBYE    LEFT       (final: the process has ended)

A member that notices that it was itself paused or starved suspects nobody for answers it missed meanwhile and
gives the others more time (``health_penalty``). No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from rushweir.fleet import frame
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
MAX_HEALTH_PENALTY = 8
# After this share of ``view_ms``, or this time if less, the confirmation that a view is in force counts as stale.
STALE_VIEW_SHARE, STALE_VIEW_MS = 1 / 4, 1_200.0
LEADER_PROBES_PER_PERIOD = 6  # of all members together, at most
# How many recent senders are remembered, and how long a sender counts as recently active.
RECENT_SENDERS, RECENT_MS = 16, 1_000.0
CONFIRMED_FAILURES = 2  # failed probes in a row that all helpers confirmed; then this process is considered healthy
MAX_INDIRECT_PROBES = 64  # relayed for others at a time; each is forgotten after so many further probes
MAX_ZONE_BYTES = 32  # of a zone's name in an entry


def version_of(incarnation: int, state: int) -> int:
    """Returns an entry's version: a higher incarnation wins and, within one incarnation, the worse state."""
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
    """Returns the data of a member's entry."""
    zone_name = zone.encode()[:MAX_ZONE_BYTES].decode(errors="ignore")
    return msgpack.packb([address[0], address[1], zone_name])


def unpack(id_: int, version: int, data: bytes) -> Member | None:
    """Returns the member that an entry describes; None if it is malformed."""
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
        self.probe_order: list[int] = []  # ids that are probed next, last first
        self.pending_probe: tuple[int, int] | None = None  # number and target
        self.serial = 0
        self.indirect_probes: dict[int, tuple[int, int, int]] = {}  # by own probe: the asker, its probe, the target
        self.health_penalty = 0  # Lifeguard's local health score; 0: healthy, higher is worse
        self.recent_senders: OrderedDict[int, float] = OrderedDict()  # times by id, latest last
        # Recently active helpers that have not answered yet; None: no recently active helper was asked.
        self.missing_helpers: set[int] | None = None
        self.confirmed_failures = 0  # in a row, of which no helper was missing
        self.next_period_at = 0.0

    # --- knowledge -------------------------------------------------------------------------------

    def present(self) -> list[Member]:
        """Returns the other members that are alive or suspected."""
        return [member for member in self.known.values() if member.state <= SUSPECT and member.id != self.fleet.me]

    def count(self) -> int:
        """Returns how many members are alive or suspected, including this one."""
        return 1 + sum(member.state <= SUSPECT for member in self.known.values() if member.id != self.fleet.me)

    def present_at(self, address: Address) -> Member | None:
        """Returns the member at an address that is alive or suspected, or None."""
        return next(
            (member for member in self.known.values() if member.address == address and member.state <= SUSPECT), None
        )

    def write_own_entry(self, state: int = ALIVE) -> None:
        """Writes this process's own entry."""
        settings, version = self.fleet.settings, version_of(self.incarnation, state)
        self.fleet.table.put(MEMBER, self.fleet.me, version, pack(settings.address, settings.zone))
        self.known[self.fleet.me] = Member(self.fleet.me, state, self.incarnation, settings.address, settings.zone)

    def should_merge(self, row: list) -> bool:
        """Whether a received row of a member is to be merged. A row that suspects this process also raises its own
        incarnation, which refutes the row."""
        _, origin, version, data = row
        if type(version) is not int or type(origin) is not int or not isinstance(data, bytes):
            return True  # the table refuses and counts it
        previous, new = self.known.get(origin), unpack(origin, version, data)
        if new is None or (previous is None and new.state >= DEAD):
            return False  # a late row of a member that ended and was forgotten
        if origin == self.fleet.me:
            if new.incarnation >= self.incarnation and new.state != ALIVE and not self.fleet.leaving:
                self.incarnation = new.incarnation + 1
                self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
                self.fleet.counts["objected"] += 1
                self.write_own_entry()
            return False
        return previous is None or version > version_of(previous.incarnation, previous.state)

    def apply_entry(self, origin: int) -> None:
        """The table has a new entry of a member."""
        entry = self.fleet.table.get(MEMBER, origin)
        new = unpack(origin, *entry) if entry is not None else None
        if new is None:
            return
        previous, self.known[origin] = self.known.get(origin), new
        if new.state == SUSPECT and (previous is None or previous.state < SUSPECT):
            timeout_ms = suspicion_ms(self.fleet.settings.slot_count) * (1 + self.health_penalty / 4)
            self.fleet.call_after(timeout_ms, self._on_suspicion_timeout, (origin, entry[0]))
        elif new.state >= DEAD and (previous is None or previous.state < DEAD):
            self.fleet.counts["ended_members"] += 1
            self.fleet.call_after(FORGET_AFTER_MS, self._forget, origin)
        if previous is None or previous.state != new.state:
            self.fleet.member_changed(new, previous)

    def _change_state(self, member_id: int, event: str) -> None:
        member = self.known.get(member_id)
        state = TRANSITIONS.get((member.state, event)) if member is not None else None
        if state is not None and self.fleet.table.put(
            MEMBER, member_id, version_of(member.incarnation, state), pack(member.address, member.zone)
        ):
            self.fleet.counts[event] += 1
            self.apply_entry(member_id)

    def _on_suspicion_timeout(self, entry: tuple[int, int]) -> None:
        member_id, version = entry
        member = self.known.get(member_id)
        if member is not None and version_of(member.incarnation, member.state) == version:
            self._change_state(member_id, OVERDUE)

    def _forget(self, member_id: int) -> None:
        member = self.known.get(member_id)
        if member is not None and member.state >= DEAD:
            del self.known[member_id]
            self.fleet.table.forget_origin(member_id)

    def leave(self) -> None:
        """Writes that this process has left."""
        self.write_own_entry(LEFT)

    # --- probes ----------------------------------------------------------------------------------

    def tick(self, planned_at: float) -> None:
        """Ends a probe period and begins the next one."""
        now = self.fleet.now
        delay_ms = now - planned_at
        if delay_ms > PROBE_PERIOD_MS:
            # This process was paused. That nobody answered it proves nothing about the others.
            self.fleet.counts["away"] += 1
            self.health_penalty = min(
                MAX_HEALTH_PENALTY, self.health_penalty + 1 + int(delay_ms / (4 * PROBE_PERIOD_MS))
            )
            self.pending_probe = None
        if self.pending_probe is not None:
            self._update_health()
            self._change_state(self.pending_probe[1], SILENT)
            self.pending_probe = None
        self.indirect_probes = {
            n: h for n, h in self.indirect_probes.items() if n > self.serial - MAX_INDIRECT_PROBES
        }
        if (target := self._next_target()) is not None:
            self.serial += 1
            self.pending_probe, self.missing_helpers = (self.serial, target), None
            self.fleet.send_probe(frame.PROBE, target, self.serial)
            self.fleet.call_after(
                PROBE_TIMEOUT_MS * (1 + self.health_penalty / 4), self._probe_indirectly, self.pending_probe
            )
        self.next_period_at = now + PROBE_PERIOD_MS * (1 + self.health_penalty / 4)
        self.fleet.call_after(self.next_period_at - now, self.tick, self.next_period_at)

    def confirm_view(self, _: object) -> None:
        """Asks for a confirmation of the view in each probe period, whose length local health does not change: a
        member that heard nobody for a while is unhealthy just when its slot is about to expire."""
        self._probe_leader()
        self.fleet.call_after(PROBE_PERIOD_MS, self.confirm_view, None)

    def _probe_leader(self) -> None:
        """Asks the leader whether the view is in force, if that was not confirmed for a while.

        Other members' answers confirm it too, but only as of when they last knew. In a large fleet members ask at
        random: together as often as ``LEADER_PROBES_PER_PERIOD`` members would. A member that knows of a newer view
        than it holds learns nothing from that answer and asks for the missing view instead."""
        fleet, leader = self.fleet, self.fleet.leader_id()
        if fleet.view_age() <= min(STALE_VIEW_MS, fleet.settings.view_ms * STALE_VIEW_SHARE):
            return
        leader_member = self.known.get(leader)
        if self.rng.random() * self.count() >= LEADER_PROBES_PER_PERIOD:
            return
        if (
            not fleet.exchange.request_newer_view()
            and leader != fleet.me
            and leader_member is not None
            and leader_member.state <= SUSPECT
        ):
            self.serial += 1
            fleet.send_probe(frame.PROBE, leader, self.serial)

    def _next_target(self) -> int | None:
        while self.probe_order:
            member_id = self.probe_order.pop()
            member = self.known.get(member_id)
            if member is not None and member.state <= SUSPECT and member_id != self.fleet.me:
                return member_id
        self.probe_order = [member.id for member in self.present()]
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _update_health(self) -> None:
        """A probe failed: is the fault here? Lifeguard (3.1) judges by the answers of helpers, not by the target's:
        where most of a fleet is gone nearly each probe fails although the prober is healthy. It is healthy if all
        helpers that were recently active answered, twice in a row, since under loss a single time is often luck. If
        none of three answered, this process is more likely at fault than they are."""
        if self.missing_helpers is not None and not self.missing_helpers:
            self.confirmed_failures += 1
        else:
            self.confirmed_failures = 0
        if self.confirmed_failures >= CONFIRMED_FAILURES:
            self.health_penalty = max(0, self.health_penalty - 2)  # at least two round trips succeeded
        else:
            missing = len(self.missing_helpers) if self.missing_helpers is not None else 0
            self.health_penalty = min(
                MAX_HEALTH_PENALTY, self.health_penalty + (2 if missing == INDIRECT_PROBE_COUNT else 1)
            )

    def _probe_indirectly(self, probe: tuple[int, int]) -> None:
        """Asks helpers to probe the target. Members that were active recently come first: a member that is gone
        cannot help, and only from an active one is a missing answer a sign."""
        if self.pending_probe != probe:
            return
        others = [member.id for member in self.present() if member.id != probe[1] and member.state == ALIVE]
        self.rng.shuffle(others)
        recent = {member_id for member_id, at in self.recent_senders.items() if self.fleet.now - at <= RECENT_MS}
        helpers = sorted(others, key=lambda member_id: member_id not in recent)[:INDIRECT_PROBE_COUNT]
        self.missing_helpers = recent.intersection(helpers) or None
        for helper in helpers:
            self.fleet.send(frame.INDIRECT_PROBE, helper, [probe[0], probe[1]])

    def on_indirect_probe(self, sender: int, number: int, target: int) -> None:
        """Another member could not reach the target and asks whether this one can."""
        member = self.known.get(target)
        if member is None or member.state > SUSPECT or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        self.serial += 1
        self.indirect_probes[self.serial] = (sender, number, target)
        self.fleet.send_probe(frame.PROBE, target, self.serial)
        self.fleet.call_after(PROBE_TIMEOUT_MS, self._send_nack, self.serial)

    def _send_nack(self, number: int) -> None:
        """The target does not answer this member either, so the asker may consider itself healthy."""
        if (request := self.indirect_probes.get(number)) is not None:
            self.fleet.send(frame.INDIRECT_NACK, request[0], [request[1], request[2]])

    def on_datagram(self, sender: int) -> None:
        """A datagram of any kind came from a member."""
        self.recent_senders[sender] = self.fleet.now
        self.recent_senders.move_to_end(sender)
        if len(self.recent_senders) > RECENT_SENDERS:
            self.recent_senders.popitem(last=False)

    def on_ack(self, sender: int, number: int) -> None:
        """A probe of this member was answered."""
        if self.pending_probe == (number, sender):
            self.pending_probe = None
            self.health_penalty = max(0, self.health_penalty - 1)
        elif (request := self.indirect_probes.pop(number, None)) is not None and request[2] == sender:
            self.fleet.send(frame.INDIRECT_ACK, request[0], [request[1], sender])

    def on_indirect_ack(self, number: int, target: int) -> None:
        """A helper reached the target of the pending probe."""
        if self.pending_probe == (number, target):
            self.pending_probe = None

    def on_indirect_nack(self, helper: int, number: int, target: int) -> None:
        """A helper had no answer of the target."""
        if self.pending_probe == (number, target) and self.missing_helpers is not None:
            self.missing_helpers.discard(helper)
