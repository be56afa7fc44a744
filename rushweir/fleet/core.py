"""One fleet member without I/O: takes datagrams and time, returns commands.

It combines failure detection (members.py), the replicated table (table.py, exchange.py), the leader lease
(leader_lease.py) and membership views (view_manager.py, views.py). Nothing here waits, reads a clock or opens
anything. Equal calls give equal commands.

How a member bounds the age of its view: the leader's answer to a probe says that the view is in force now; any other
member's answer says how long ago it surely was. The receiver counts from when it *sent* the probe and adds what the
answer says, which is an upper bound whatever the network did. ``is_view_current`` and ``slot`` rely on it.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil, inf
from typing import Any

import msgpack

from rushweir.fleet import commands, frame
from rushweir.fleet.drift import max_under_drift, min_under_drift
from rushweir.fleet.exchange import ROWS_BYTES, Exchange
from rushweir.fleet.handlers import HANDLERS
from rushweir.fleet.leader_lease import LeaderLease, LeaseAcceptor
from rushweir.fleet.members import DEAD, STATE_NAMES, SUSPECT, Member, Members
from rushweir.fleet.message_budget import MessageBudget
from rushweir.fleet.sending import MessageSender
from rushweir.fleet.settings import COMPARE_INTERVAL_MS, FleetSettings
from rushweir.fleet.table import MEMBER, SLOT, VIEW_HEADER, Table, paginate
from rushweir.fleet.view_manager import ViewManager, changed_slots, unpack_view
from rushweir.fleet.views import LOST, SLOT_BYTES, View, unpack_slot

MEMBER_BYTES, HEADER_BYTES = 96, 48
SLOT_REQUEST_INTERVAL_MS, SLOT_RELEASE_INTERVAL_MS, MAX_SLOT_RELEASE_TRIES = 500.0, 100.0, 6
BROADCAST_BUDGET_S = 2.0  # of the budget may be spent on sending a view to all; beyond it gossip spreads it
COMPARE_MESSAGES_PER_S = 3 * 1000 / COMPARE_INTERVAL_MS  # of each comparison: digest, versions, rows


class Fleet(MessageSender):
    """One member. Take the commands from ``commands`` after each call and carry them out in order."""

    def __init__(
        self, settings: FleetSettings, key: bytes, seed: int, now: float, stored_view: bytes | None = None,
        max_bytes: dict[int, int] | None = None,
    ) -> None:  # fmt: skip
        """``seed``: of all randomness, this process's id included; another at each start. ``stored_view``: what the
        last SaveFile wrote. ``max_bytes``: of an entry, by the kinds that users of the fleet write. Raises
        StoredViewError."""
        self.settings, self.now, self.rng = settings, now, random.Random(seed)
        self.me = self.rng.getrandbits(63) + 1
        self.frames = frame.Frames(self.me, key, settings.max_entries)
        self.commands: deque[commands.Command] = deque()
        self.counts: Counter[str] = Counter()
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.serial = 0
        kinds = {MEMBER: MEMBER_BYTES, SLOT: SLOT_BYTES, VIEW_HEADER: HEADER_BYTES, **(max_bytes or {})}
        self.table = Table(kinds, settings.max_entries, lambda origin: origin in self.members.known)
        self.members, self.exchange = Members(self), Exchange(self)
        self.view, self.confirming_seeds = View(), ()
        self.view_confirmed_at = -inf  # the view held here was in force then or later
        self.slot_confirmed_at = -inf  # and so was one with a slot of this process
        self.assigned_slot = -1
        self.probes_sent_at: OrderedDict[tuple[int, int], float] = OrderedDict()
        self.message_budget, self.app_budget = (
            MessageBudget(settings.per_s, now),
            MessageBudget(settings.apps_per_s, now),
        )
        self.compare_budget = MessageBudget(COMPARE_MESSAGES_PER_S, now)
        self.leaving = self.left = self.is_silent = False
        self.release_tries = 0
        self.refusal_reason = ""  # why the leader assigned no slot
        self.app_handlers: dict[int, Callable[[int, list], None]] = {}  # handlers of users' messages, by topic
        self.lease_acceptor: LeaseAcceptor | None = None
        if settings.seed_index >= 0:
            self.lease_acceptor = LeaseAcceptor(now, settings.leader_lease_ms)
            self.view_manager = ViewManager(self, unpack_view(stored_view) if stored_view else View())
            self.leader_lease = LeaderLease(self, self.lease_acceptor)

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Writes the own entry and starts all periodic work."""
        self.now = now
        self.members.write_own_entry()
        self.call_after(0.0, self.members.tick, now)
        self.call_after(0.0, self.members.confirm_view, None)
        self.exchange.start()
        self.call_after(0.0, self._maintain_slot, None)
        if self.lease_acceptor is not None:
            self.call_after(0.0, self.leader_lease.tick, None)
            self.call_after(0.0, self.view_manager.tick, None)

    def next_at(self) -> float | None:
        """Returns when the next timer is due; None: there is none."""
        return self.timers[0][0] if self.timers else None

    def call_after(self, after_ms: float, callback: Callable[[Any], None], argument: Any) -> None:
        """Calls ``callback`` with ``argument`` in ``after_ms`` milliseconds."""
        self.serial += 1
        heappush(self.timers, (self.now + after_ms, self.serial, callback, argument))

    def advance(self, now: float) -> None:
        """Advances the time and runs the timers that are due."""
        self.now = now
        due = []
        while self.timers and self.timers[0][0] <= now:
            due.append(heappop(self.timers))
        for _, _, callback, argument in due:
            callback(argument)

    # --- datagrams -------------------------------------------------------------------------------

    def datagram(self, now: float, data: bytes) -> None:
        """Handles a received datagram."""
        self.now = now
        message = None if self.is_silent else self.frames.unpack(data)
        if message is None:
            return
        kind, sender, body = message
        handler = HANDLERS.get(kind)
        if handler is None:
            self.counts["unknown_kinds"] += 1
            return
        try:
            handler(self, sender, body)
        except (ValueError, TypeError, IndexError, KeyError):
            self.counts["bad_bodies"] += 1  # from another version of the program, or a faulty one
            return
        self.members.on_datagram(sender)
        member = self.members.known.get(sender)
        if member is not None and member.state == DEAD and self.may_send():
            self.send(frame.ROWS, sender, [[self.table.row((MEMBER, sender))]])  # so that it objects

    # --- other members ---------------------------------------------------------------------------

    def view_report(self) -> list[int]:
        """Returns the number of the view held here and the upper bound of its age; -1: unknown."""
        age = self.view_age()
        return [self.view.number, -1 if age == inf else ceil(age)]

    def view_age(self) -> float:
        """Returns an upper bound of the time since the view held here was surely in force."""
        if self.is_leader():
            self.view_confirmed_at = self.now
        return self.now - self.view_confirmed_at

    def is_leader(self) -> bool:
        """Whether the view held here is this process's own and it holds the leader lease."""
        return (
            self.lease_acceptor is not None and self.leader_lease.is_held()
            and self.view_manager.state in ("open", "putting")
            and self.view.number > 0 and self.view_ballot == self.view_manager.ballot
        )  # fmt: skip

    view_ballot = 0  # the ballot of this process under which the view held here was proposed

    def learn_view_age(self, sender: int, number: int, view: int, age: int) -> None:
        """A probe was answered: takes over the age of the view, counted from when the probe was sent."""
        sent_at = self.probes_sent_at.pop((sender, number), None)
        if sent_at is not None and age >= 0 and view == self.view.number:
            self.view_confirmed_at = max(self.view_confirmed_at, sent_at - max_under_drift(age))
            self._update_slot()

    def merge(self, rows: Any) -> None:
        """Merges the rows of any message."""
        view_changed = False
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
                view_changed |= kind in (SLOT, VIEW_HEADER)
        if view_changed:
            self._adopt_view()

    def member_changed(self, new: Member, previous: Member | None) -> None:
        """A member became known, died, left or came back."""
        if previous is None or (previous.state >= DEAD) != (new.state >= DEAD):
            self.counts["member_changes"] += 1
            host, port = new.address
            self.log_event("info", f"member_{STATE_NAMES[new.state]}", address=f"{host}:{port}", zone=new.zone)

    def log_event(self, level: str, cause: str, **fields: Any) -> None:
        """Emits a log event."""
        self.commands.append(commands.LogEvent(level, cause, fields))

    # --- entries of users ------------------------------------------------------------------------

    def publish(self, kind: int, data: bytes) -> bool:
        """Writes this process's own entry of a kind; returns whether it fits."""
        previous = self.table.get(kind, self.me)
        return self.table.put(kind, self.me, (previous[0] if previous else 0) + 1, data)

    # --- views -----------------------------------------------------------------------------------

    def other_seeds(self) -> list[Member]:
        """Returns the other seeds that are alive or suspected."""
        found = [self.members.present_at(a) for a in self.settings.seeds if a != self.settings.address]
        return [member for member in found if member is not None]

    def save_file(self, serial: int, data: bytes) -> None:
        """Asks for data to be persisted; ``file_saved`` confirms it."""
        self.commands.append(commands.SaveFile(serial, data))

    def file_saved(self, now: float, serial: int) -> None:
        """A SaveFile command was carried out."""
        self.now = now
        self.view_manager.on_saved(serial)

    def publish_view(self, view: View, seeds: list[int]) -> None:
        """A majority of the seeds stores this leader's view: publishes it."""
        for slot in sorted(view.slots.keys() | self.view.slots.keys() | self.table.entries_of(SLOT).keys()):
            data = view.slots[slot].pack() if slot in view.slots else b""
            previous = self.table.get(SLOT, slot)
            if (previous is None and data) or (previous is not None and previous[1] != data):
                self.table.put(SLOT, slot, view.number, data)
        bits = sum(1 << index for index in seeds)
        self.table.put(VIEW_HEADER, 0, view.number, msgpack.packb([view.digest(), self.me, bits]))
        # Sent to all members of a small fleet at once; in a large one gossip spreads it.
        rows = [
            self.table.row(key)
            for key in ((VIEW_HEADER, 0), *((SLOT, slot) for slot, _ in changed_slots(self.view, view)))
        ]
        pages = paginate(rows, ROWS_BYTES)
        others = self.members.present()
        if len(pages) * len(others) <= self.settings.per_s * BROADCAST_BUDGET_S:
            for member in others:
                for page in pages:
                    self.send(frame.ROWS, member.id, [page])
        self.view_ballot = self.view_manager.ballot
        self._adopt_view()

    def _adopt_view(self) -> None:
        """Holds the view that the table describes once it is complete."""
        header = self.table.get(VIEW_HEADER, 0)
        if header is None or header[0] <= self.view.number:
            return
        digest, _, bits = msgpack.unpackb(header[1])
        found = {slot: unpack_slot(data) for slot, (_, data) in self.table.entries_of(SLOT).items()}
        view = View(header[0], {slot: entry for slot, entry in found.items() if entry is not None})
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
        """Records when a view in force surely had a slot of this process, and which."""
        slot = self.view.slot_of(self.me)
        if slot >= 0 and self.view.slots[slot].state != LOST:
            self.slot_confirmed_at = max(self.slot_confirmed_at, self.view_confirmed_at)
            if slot != self.assigned_slot:
                self.assigned_slot = slot
                self.refusal_reason = ""
                self.commands.append(commands.SlotChanged(slot))
        elif self.assigned_slot >= 0 and (slot < 0 or slot != self.assigned_slot):
            # Another process has it, or it was given back.
            self.assigned_slot, self.slot_confirmed_at = -1, -inf
            self.commands.append(commands.SlotChanged(-1))

    def leader_id(self) -> int:
        """Returns who made the newest view known here; 0: nobody."""
        header = self.table.get(VIEW_HEADER, 0)
        return msgpack.unpackb(header[1])[1] if header is not None else 0

    def is_view_current(self) -> bool:
        """Whether the view held here may be acted on: no other can have been in force for longer than that."""
        return self.view.number > 0 and self.view_age() < min_under_drift(self.settings.view_ms)

    def slot(self) -> int:
        """Returns the slot that is surely this process's own now, or -1. Called in the turn that acts on it."""
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
        interval_ms = SLOT_REQUEST_INTERVAL_MS
        if not self.view.has_active_slot(self.me):
            settings = self.settings
            slots = (unpack_slot(data) for _, data in self.table.entries_of(SLOT).values())
            if any(slot is not None and slot.id == self.me and slot.state != LOST for slot in slots):
                interval_ms = 4 * SLOT_REQUEST_INTERVAL_MS  # it has one; the rest of that view is on its way
            if self.lease_acceptor is not None and self.leader_lease.is_held():
                self.view_manager.request_slot(self.me, settings.address, settings.wanted_slot)
            else:
                leader = self.members.known.get(self.leader_id())
                receivers = [leader] if leader is not None and leader.state <= SUSPECT else self.other_seeds()
                for member in self.rng.sample(receivers, min(1, len(receivers))):
                    self.send(
                        frame.SLOT_REQUEST,
                        member.id,
                        [*settings.address, settings.wanted_slot, [self.table.row((MEMBER, self.me))]],
                    )
        self.call_after(interval_ms, self._maintain_slot, None)

    # --- leaving ---------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        """Gives the slot back and tells the others; ``left`` says when that is done. Nothing may be done on the slot
        after this call."""
        self.now = now
        if self.leaving:
            return
        self.leaving = True
        self.assigned_slot, self.slot_confirmed_at = -1, -inf
        self.members.leave()
        self._release_slot()

    def stop_sending(self, now: float) -> None:
        """Goes quiet: a successor at the same address continues and takes over the slot."""
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
        elif (leader := self.members.known.get(self.leader_id())) is not None:
            self.send(frame.SLOT_RELEASE, leader.id, [])
        self.call_after(SLOT_RELEASE_INTERVAL_MS, lambda _: self._release_slot(), None)

    def _finish_leaving(self) -> None:
        """Tells some members that this one has left, so that nobody has to detect it."""
        if self.lease_acceptor is not None:
            self.leader_lease.release()
        others = self.members.present()
        for member in self.rng.sample(others, min(3, len(others))):
            self.send(frame.ROWS, member.id, [[self.table.row((MEMBER, self.me))]])
        self.left = True

    def slot_released(self) -> None:
        """The leader confirms that the slot was given back."""
        if self.leaving and not self.left:
            self._finish_leaving()
