"""Sending a member's messages within its message budgets. No I/O, no clock."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque

from rushweir.fleet import frame
from rushweir.fleet.commands import Command, SendTo
from rushweir.fleet.members import SUSPECT, Members
from rushweir.fleet.message_budget import MessageBudget
from rushweir.fleet.settings import FleetSettings, retransmit_limit
from rushweir.fleet.table import MEMBER, Table, packed_size

PIGGYBACK_BYTES = frame.MAX_BODY_BYTES - 44  # of rows in a probe or its answer
MAX_PROBES_TRACKED = 256  # probes whose answers are awaited
PEER_MESSAGE_COST = 0.25  # what one quota message costs of the fleet's budget


class MessageSender:
    """The sending part of ``Fleet``, which sets the attributes."""

    now: float
    me: int
    settings: FleetSettings
    frames: frame.Frames
    commands: deque[Command]
    counts: Counter[str]
    members: Members
    table: Table
    probes_sent_at: OrderedDict[tuple[int, int], float]
    message_budget: MessageBudget
    app_budget: MessageBudget
    compare_budget: MessageBudget

    def view_report(self) -> list[int]:
        """Returns the number of the view held here and the upper bound of its age."""
        raise NotImplementedError

    def send(self, kind: int, to: int, body: list) -> None:
        """Sends a message to a known member."""
        member = self.members.known.get(to)
        if member is not None:
            self.send_to(member.address, kind, to, body)

    def send_to(self, address: tuple[str, int], kind: int, to: int, body: list) -> None:
        """Sends a message to an address."""
        self.message_budget.spend(self.now)
        self.counts["sent"] += 1
        self.commands.append(SendTo(address, self.frames.pack(kind, to, body)))

    def may_send(self) -> bool:
        """Whether one datagram that can wait may be sent now; asked once for each.

        Probes, their answers and what the leader needs are always sent, and use the budget up under heavy loss.
        Comparisons of tables have a rate of their own beside them: otherwise a member that lacks one entry of a view
        never learns it, and its slot expires."""
        if self.message_budget.allows(self.now):
            return True
        if not self.compare_budget.allows(self.now):
            return False
        self.compare_budget.spend(self.now)
        return True

    def charge_peer_messages(self, count: int = 1) -> None:
        """Charges quota messages that were sent: they go first and leave the fleet less of its budget."""
        self.message_budget.spend(self.now, count * PEER_MESSAGE_COST)

    def send_app(self, topic: int, to: int, body: list) -> None:
        """Sends a message of a user of the fleet from a budget of its own, since joining members must not wait for
        it. It may be lost like any other, and is dropped when the budget is used up."""
        member = self.members.known.get(to)
        if member is None:
            return
        if not self.app_budget.allows(self.now):
            self.counts["apps_held_back"] += 1
            return
        self.app_budget.spend(self.now)
        self.counts["apps_sent"] += 1
        self.commands.append(SendTo(member.address, self.frames.pack(frame.APP, to, [topic, *body])))

    def send_probe(self, kind: int, to: int, number: int) -> None:
        """Sends a probe with a number of its sender's."""
        self.probes_sent_at[to, number] = self.now
        if len(self.probes_sent_at) > MAX_PROBES_TRACKED:
            self.probes_sent_at.popitem(last=False)
        # With its own entry: a member that forgot this one could not answer it.
        own = self.table.row((MEMBER, self.me))
        self.send(
            kind,
            to,
            [number, *self.view_report(), [own, *self.piggyback_rows(to, PIGGYBACK_BYTES - packed_size(own))]],
        )

    def piggyback_rows(self, to: int, max_bytes: int = PIGGYBACK_BYTES) -> list:
        """Returns rows to piggyback on a message to a member; its own row comes first if it is suspected."""
        limit = retransmit_limit(self.settings.slot_count)
        member = self.members.known.get(to)
        return self.table.piggyback_rows(
            max_bytes, limit, (MEMBER, to) if member is not None and member.state == SUSPECT else None
        )
