"""One member of a fleet without I/O: datagrams and time in, orders out.

It joins who is alive (members.py), what all know (table.py, exchange.py), who decides (chair.py) and who has which
number (seating.py, views.py). Nothing here waits, reads a clock or opens anything. Equal calls give equal orders.

How sure a member is of the view that it holds: the chair's answer to a probe says that the view is in force now; any
other member's says how long ago it was surely in force. The receiver counts from when it *asked*, adds what the
answer says, and so holds an upper bound of the age, whatever the network did. ``current`` and ``seat`` look at it.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil, inf
from typing import Any

import msgpack

from rushweir.fleet import commands
from rushweir.fleet import frame as f
from rushweir.fleet.drift import max_under_drift, min_under_drift
from rushweir.fleet.exchange import ROWS_BYTES, Exchange
from rushweir.fleet.handlers import HANDLERS
from rushweir.fleet.leader_lease import LeaderLease, LeaseAcceptor
from rushweir.fleet.members import DEAD, STATE_NAMES, SUSPECT, Member, Members
from rushweir.fleet.message_budget import MessageBudget
from rushweir.fleet.settings import COMPARE_INTERVAL_MS, FleetSettings, retransmit_limit
from rushweir.fleet.table import MEMBER, SLOT, VIEW_HEADER, Table, packed_size, paginate
from rushweir.fleet.view_manager import ViewManager, changed_slots, unpack_view
from rushweir.fleet.views import LOST, SLOT_BYTES, View, unpack_slot

MEMBER_BYTES, HEADING_BYTES = 96, 48
PIGGYBACK_BYTES = f.MAX_BODY_BYTES - 44  # and in a probe or its answer
SLOT_REQUEST_INTERVAL_MS, SLOT_RELEASE_INTERVAL_MS, MAX_SLOT_RELEASE_TRIES = 500.0, 100.0, 6
MAX_PROBES_TRACKED = 256  # whose answers are waited for
BROADCAST_BUDGET_S = 2.0  # of the budget may go for telling a view to all, beyond which it is left to gossip
PEER_MESSAGE_COST = 0.25  # of a datagram of the quotas counts against what the fleet may send
COMPARE_MESSAGES_PER_S = (
    3 * 1000 / COMPARE_INTERVAL_MS
)  # a comparison each REST_MS, of three datagrams: digest, versions, entries


class Fleet:
    """One member. Take the orders from ``orders`` after each call and carry them out in order."""

    def __init__(
        self, settings: FleetSettings, key: bytes, seed: int, now: float, kept: bytes | None = None,
        bounds: dict[int, int] | None = None,
    ) -> None:  # fmt: skip
        """``seed``: for the number of this process and all its chances, another at each start; ``kept``: what a
        SaveFile order wrote last; ``bounds``: bytes of each kind of entry that users of the fleet write.
        Raises StoredViewError."""
        self.settings, self.now, self.rng = settings, now, random.Random(seed)
        self.me = self.rng.getrandbits(63) + 1
        self.frames = f.Frames(self.me, key, settings.max_entries)
        self.commands: deque[commands.Command] = deque()
        self.counts: Counter[str] = Counter()
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.serial = 0
        kinds = {MEMBER: MEMBER_BYTES, SLOT: SLOT_BYTES, VIEW_HEADER: HEADING_BYTES, **(bounds or {})}
        self.table = Table(kinds, settings.max_entries, lambda origin: origin in self.members.known)
        self.members, self.exchange = Members(self), Exchange(self)
        self.view, self.confirming_seeds = View(), ()
        self.view_confirmed_at = -inf  # the view that is held here was in force at this time or later
        self.slot_confirmed_at = -inf  # and so was one in which this process has a seat
        self.assigned_slot = -1
        self.probes_sent_at: OrderedDict[tuple[int, int], float] = OrderedDict()
        self.message_budget, self.app_budget = (
            MessageBudget(settings.per_s, now),
            MessageBudget(settings.apps_per_s, now),
        )
        self.compare_budget = MessageBudget(COMPARE_MESSAGES_PER_S, now)
        self.leaving = self.left = self.is_silent = False
        self.release_tries = 0
        self.refusal_reason = ""  # why the chair gave no seat
        self.app_handlers: dict[int, Callable[[int, list], None]] = {}  # who takes messages of users, by their topic
        self.lease_acceptor: LeaseAcceptor | None = None
        if settings.seed_index >= 0:
            self.lease_acceptor = LeaseAcceptor(now, settings.leader_lease_ms)
            self.view_manager = ViewManager(self, unpack_view(kept) if kept else View())
            self.leader_lease = LeaderLease(self, self.lease_acceptor)

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self.now = now
        self.members.write_own_entry()
        self.call_after(0.0, self.members.tick, now)
        self.exchange.start()
        self.call_after(0.0, self._maintain_slot, None)
        if self.lease_acceptor is not None:
            self.call_after(0.0, self.leader_lease.tick, None)
            self.call_after(0.0, self.view_manager.tick, None)

    def next_at(self) -> float | None:
        return self.timers[0][0] if self.timers else None

    def call_after(self, after_ms: float, what: Callable[[Any], None], argument: Any) -> None:
        self.serial += 1
        heappush(self.timers, (self.now + after_ms, self.serial, what, argument))

    def advance(self, now: float) -> None:
        """Let time pass."""
        self.now = now
        due = []
        while self.timers and self.timers[0][0] <= now:
            due.append(heappop(self.timers))
        for _, _, what, argument in due:
            what(argument)

    # --- datagrams -------------------------------------------------------------------------------

    def datagram(self, now: float, data: bytes) -> None:
        self.now = now
        told = None if self.is_silent else self.frames.unpack(data)
        if told is None:
            return
        kind, sender, body = told
        handler = HANDLERS.get(kind)
        if handler is None:
            self.counts["unknown_kinds"] += 1
            return
        try:
            handler(self, sender, body)
        except (ValueError, TypeError, IndexError, KeyError):
            self.counts["bad_bodies"] += 1  # of a member with another version of the program, or a faulty one
            return
        self.members.on_datagram(sender)
        m = self.members.known.get(sender)
        if m is not None and m.state == DEAD and self.may_send():
            self.send(f.ROWS, sender, [[self.table.row((MEMBER, sender))]])  # so that it objects

    def send(self, kind: int, to: int, body: list) -> None:
        m = self.members.known.get(to)
        if m is not None:
            self.send_to(m.address, kind, to, body)

    def send_to(self, address: tuple[str, int], kind: int, to: int, body: list) -> None:
        self.message_budget.spend(self.now)
        self.counts["sent"] += 1
        self.commands.append(commands.SendTo(address, self.frames.pack(kind, to, body)))

    def may_send(self) -> bool:
        """Whether one datagram of what can wait may go now; asked once for each. Probes, their answers and what the
        chair needs always go, and where much is lost they use the budget up. What compares tables keeps a pace of
        its own beside them: else who lacks one entry of a view does not learn it, and its number runs out."""
        if self.message_budget.allows(self.now):
            return True
        if not self.compare_budget.allows(self.now):
            return False
        self.compare_budget.spend(self.now)
        return True

    def charge_peer_messages(self, count: int = 1) -> None:
        """The quotas sent so many datagrams: theirs go first, and the fleet's waiting ones have the less."""
        self.message_budget.spend(self.now, count * PEER_MESSAGE_COST)

    def send_app(self, topic: int, to: int, body: list) -> None:
        """A message of a user of the fleet, out of a budget of their own: members that find each other must not wait
        for it. It may be lost as any, and is where the budget is used up."""
        m = self.members.known.get(to)
        if m is None:
            return
        if not self.app_budget.allows(self.now):
            self.counts["apps_held_back"] += 1
            return
        self.app_budget.spend(self.now)
        self.counts["apps_sent"] += 1
        self.commands.append(commands.SendTo(m.address, self.frames.pack(f.APP, to, [topic, *body])))

    # --- the others ------------------------------------------------------------------------------

    def send_probe(self, kind: int, to: int, number: int) -> None:
        self.probes_sent_at[to, number] = self.now
        if len(self.probes_sent_at) > MAX_PROBES_TRACKED:
            self.probes_sent_at.popitem(last=False)
        # With its own entry: who forgot this member could not answer it.
        own = self.table.row((MEMBER, self.me))
        self.send(
            kind,
            to,
            [number, *self.view_report(), [own, *self.piggyback_rows(to, PIGGYBACK_BYTES - packed_size(own))]],
        )

    def piggyback_rows(self, to: int, room: int = PIGGYBACK_BYTES) -> list:
        times = retransmit_limit(self.settings.slot_count)
        m = self.members.known.get(to)
        return self.table.piggyback_rows(room, times, (MEMBER, to) if m is not None and m.state == SUSPECT else None)

    def view_report(self) -> list[int]:
        """The view that holds here, and for how long it is not sure to be in force."""
        age = self.view_age()
        return [self.view.number, -1 if age == inf else ceil(age)]

    def view_age(self) -> float:
        if self.is_leader():
            self.view_confirmed_at = self.now
        return self.now - self.view_confirmed_at

    def is_leader(self) -> bool:
        """Whether the view that holds here is this process's own, and it may decide now."""
        return (
            self.lease_acceptor is not None and self.leader_lease.is_held()
            and self.view_manager.state in ("open", "putting")
            and self.view.number > 0 and self.view_ballot == self.view_manager.ballot
        )  # fmt: skip

    view_ballot = 0  # by which ballot of this process the view that holds was put

    def learn_view_age(self, sender: int, number: int, view: int, age: int) -> None:
        """A probe was answered: what the answer says of the view held for a time that is counted from the probe."""
        asked = self.probes_sent_at.pop((sender, number), None)
        if asked is not None and age >= 0 and view == self.view.number:
            self.view_confirmed_at = max(self.view_confirmed_at, asked - max_under_drift(age))
            self._update_slot()

    def merge(self, rows: Any) -> None:
        """Entries that came with any message."""
        heading = False
        for row in rows if isinstance(rows, list) else ():
            if not (isinstance(row, list) and len(row) == 4):
                continue
            kind, origin = row[0], row[1]
            if kind == MEMBER and not self.members.should_merge(row):
                continue
            if self.table.merge(row):
                self.exchange.has_new_rows = True
                if kind == MEMBER:
                    self.members.apply_entry(origin)
                heading |= kind in (SLOT, VIEW_HEADER)
        if heading:
            self._adopt_view()

    def member_changed(self, new: Member, had: Member | None) -> None:
        if had is None or (had.state >= DEAD) != (new.state >= DEAD):
            self.counts["member_changes"] += 1
            host, port = new.address
            self.log_event("info", f"member_{STATE_NAMES[new.state]}", address=f"{host}:{port}", zone=new.zone)

    def log_event(self, level: str, cause: str, **fields: Any) -> None:
        self.commands.append(commands.LogEvent(level, cause, fields))

    # --- entries of users ------------------------------------------------------------------------

    def publish(self, kind: int, data: bytes) -> bool:
        """Write this process's own entry of a kind; whether it fits."""
        had = self.table.get(kind, self.me)
        return self.table.put(kind, self.me, (had[0] if had else 0) + 1, data)

    # --- views -----------------------------------------------------------------------------------

    def other_seeds(self) -> list[Member]:
        found = [self.members.alive_at(a) for a in self.settings.seeds if a != self.settings.address]
        return [m for m in found if m is not None]

    def save_file(self, serial: int, data: bytes) -> None:
        self.commands.append(commands.SaveFile(serial, data))

    def file_saved(self, now: float, serial: int) -> None:
        """A SaveFile order was carried out."""
        self.now = now
        self.view_manager.on_saved(serial)

    def publish_view(self, view: View, seeds: list[int]) -> None:
        """This process, in the chair, made a view, and a majority of the seeds keeps it: tell everybody."""
        for n in sorted(view.slots.keys() | self.view.slots.keys() | self.table.entries_of(SLOT).keys()):
            data = view.slots[n].pack() if n in view.slots else b""
            had = self.table.get(SLOT, n)
            if (had is None and data) or (had is not None and had[1] != data):
                self.table.put(SLOT, n, view.number, data)
        bits = sum(1 << k for k in seeds)
        self.table.put(VIEW_HEADER, 0, view.number, msgpack.packb([view.digest(), self.me, bits]))
        # A small fleet hears of it at once; in a large one it goes from member to member.
        rows = [
            self.table.row(k) for k in ((VIEW_HEADER, 0), *((SLOT, n) for n, _ in changed_slots(self.view, view)))
        ]
        portions = paginate(rows, ROWS_BYTES)
        others = self.members.alive()
        if len(portions) * len(others) <= self.settings.per_s * BROADCAST_BUDGET_S:
            for m in others:
                for portion in portions:
                    self.send(f.ROWS, m.id, [portion])
        self.view_ballot = self.view_manager.ballot
        self._adopt_view()

    def _adopt_view(self) -> None:
        """Hold the view that the table tells of, once all of it is there."""
        heading = self.table.get(VIEW_HEADER, 0)
        if heading is None or heading[0] <= self.view.number:
            return
        digest, _, bits = msgpack.unpackb(heading[1])
        found = {n: unpack_slot(data) for n, (_, data) in self.table.entries_of(SLOT).items()}
        view = View(heading[0], {n: s for n, s in found.items() if s is not None})
        if view.digest() != digest:
            return
        self.view, self.view_confirmed_at = view, -inf
        self.confirming_seeds = tuple(k for k in range(len(self.settings.seeds)) if bits >> k & 1)
        if self.is_leader():
            self.view_confirmed_at = self.now
        self.counts["views"] += 1
        self.commands.append(commands.ViewChanged())
        self._update_slot()

    def _update_slot(self) -> None:
        """Note when a view in force surely had a seat of this process, and which."""
        n = self.view.slot_of(self.me)
        if n >= 0 and self.view.slots[n].state != LOST:
            self.slot_confirmed_at = max(self.slot_confirmed_at, self.view_confirmed_at)
            if n != self.assigned_slot:
                self.assigned_slot = n
                self.refusal_reason = ""
                self.commands.append(commands.SlotChanged(n))
        elif self.assigned_slot >= 0 and (n < 0 or n != self.assigned_slot):
            # Another has it, or it was given back.
            self.assigned_slot, self.slot_confirmed_at = -1, -inf
            self.commands.append(commands.SlotChanged(-1))

    def leader_id(self) -> int:
        """Who made the newest view that this process knows of; 0: nobody."""
        heading = self.table.get(VIEW_HEADER, 0)
        return msgpack.unpackb(heading[1])[1] if heading is not None else 0

    def is_view_current(self) -> bool:
        """Whether the view that is held here may be acted on now: no other was in force for longer than that."""
        return self.view.number > 0 and self.view_age() < min_under_drift(self.settings.view_ms)

    def slot(self) -> int:
        """The number that is surely this process's own now, -1: none. Looked at in the turn that acts on it."""
        if self.is_leader():
            self.view_age()
            self._update_slot()
        return (
            self.assigned_slot if self.now - self.slot_confirmed_at < min_under_drift(self.settings.keep_ms) else -1
        )

    def _maintain_slot(self, _: object) -> None:
        if self.leaving:
            self._release_slot()
            return
        again = SLOT_REQUEST_INTERVAL_MS
        if not self.view.has_active_slot(self.me):
            s = self.settings
            seats = (unpack_slot(data) for _, data in self.table.entries_of(SLOT).values())
            if any(x is not None and x.id == self.me and x.state != LOST for x in seats):
                again = 4 * SLOT_REQUEST_INTERVAL_MS  # it has one; the rest of that view is still on its way
            if self.lease_acceptor is not None and self.leader_lease.is_held():
                self.view_manager.request_slot(self.me, s.address, s.wanted_slot)
            else:
                known = self.members.known.get(self.leader_id())
                ask = [known] if known is not None and known.state <= SUSPECT else self.other_seeds()
                for m in self.rng.sample(ask, min(1, len(ask))):
                    self.send(f.SLOT_REQUEST, m.id, [*s.address, s.wanted_slot, [self.table.row((MEMBER, self.me))]])
        self.call_after(again, self._maintain_slot, None)

    # --- the end ---------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        """Give the number back, tell the others, and be done: ``left`` says when. Nothing may be done on the number
        after this call."""
        self.now = now
        if self.leaving:
            return
        self.leaving = True
        self.assigned_slot, self.slot_confirmed_at = -1, -inf
        self.members.leave()
        self._release_slot()

    def stop_sending(self, now: float) -> None:
        """Not a word more: a successor at the same address goes on. The number stays taken, by it."""
        self.now = now
        if self.lease_acceptor is not None:
            self.leader_lease.release()
        self.leaving = self.left = self.is_silent = True
        self.assigned_slot, self.slot_confirmed_at = -1, -inf
        self.timers.clear()

    def _release_slot(self) -> None:
        if self.left:
            return
        self.release_tries += 1
        if self.release_tries > MAX_SLOT_RELEASE_TRIES:
            self._finish_leaving()
            return
        if self.lease_acceptor is not None and self.leader_lease.is_held():
            self.view_manager.release_slot(self.me)
            if self.view.slot_of(self.me) < 0:
                self._finish_leaving()
                return
        elif (known := self.members.known.get(self.leader_id())) is not None:
            self.send(f.SLOT_RELEASE, known.id, [])
        self.call_after(SLOT_RELEASE_INTERVAL_MS, lambda _: self._release_slot(), None)

    def _finish_leaving(self) -> None:
        """The last words: to some others, so that nobody has to find out."""
        if self.lease_acceptor is not None:
            self.leader_lease.release()
        others = self.members.alive()
        for m in self.rng.sample(others, min(3, len(others))):
            self.send(f.ROWS, m.id, [[self.table.row((MEMBER, self.me))]])
        self.left = True

    def slot_released(self) -> None:
        if self.leaving and not self.left:
            self._finish_leaving()
