"""The nodes as discovery lists them, and as the policy sees them. No I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rushweir import interface
from rushweir.discovery import saved_list
from rushweir.discovery.source import Update, UpdateError, apply_update
from rushweir.ingress import commands

if TYPE_CHECKING:
    from rushweir.ingress.core import Core


class KnownNodes:
    """The last node list, the nodes that operators drained, and the list that results for the policy."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.listed: dict[str, interface.Server] = {}  # by address, as the last list has them
        self.drained_by_hand: set[str] = set()  # nodes of the list that an operator drained
        self.effective: dict[str, interface.Server] = {}  # by address, as reported to the policy
        self.updated_at: float | None = None  # when the last valid update was read

    def load(self, last_list: bytes) -> None:
        """Apply the list that was saved to disk; an invalid one is logged and ignored."""
        try:
            servers, self.drained_by_hand = saved_list.load(last_list)
        except UpdateError as problem:
            self.core.log_event(commands.LogEvent("error", "kept_list_refused", {"why": str(problem)}))
        else:
            self.apply_update(Update(interface.Scope.CACHED, -1, servers))

    def apply_update(self, update: Update) -> None:
        """Report an update to the policy and the pool, and save the list."""
        if update.scope is interface.Scope.FAILED:
            self.core.counts["list_failed"] += 1
            self.core.engine.members(self.core.now, update.scope)
            return
        self.listed = apply_update(self.listed, update)
        self.drained_by_hand &= self.listed.keys()
        self.publish(update)
        if update.scope is not interface.Scope.CACHED:
            self.updated_at = self.core.now
            self._save()

    def publish(self, update: Update) -> None:
        """Report an update without nodes of other networks, and with those that operators drained as draining."""
        update = self._without_foreign_nodes(update)
        servers = tuple(
            replace(s, state=interface.State.DRAINING)
            if s.state is interface.State.READY and s.address in self.drained_by_hand
            else s
            for s in update.servers
        )
        self.core.engine.members(self.core.now, update.scope, servers)
        self.effective = apply_update(self.effective, Update(update.scope, update.version, servers))
        self.core.pool.apply_list(self.core.now, {a: s.state for a, s in self.effective.items()})
        self.core.telemetry.set_nodes(self.effective)

    def _save(self) -> None:
        if not self.core.draining and self.core.setup.keep_list:
            self.core.commands.append(
                commands.SaveList(saved_list.dump(self.listed, self.drained_by_hand, self.core.now))
            )

    def drain(self, address: str, on: bool) -> bool:
        """Drain a node (``on``) or readmit it, as if the list said so; returns whether the list has the node. Once it
        is readmitted, the state in the list holds again; a node that leaves the list is forgotten."""
        server = self.listed.get(address)
        if server is None:
            return False
        if (address in self.drained_by_hand) is not on:
            (self.drained_by_hand.add if on else self.drained_by_hand.discard)(address)
            self.core.counts["drained_by_hand" if on else "readmitted_by_hand"] += 1
            self.core.log_event(
                commands.LogEvent("info", "drained_by_hand" if on else "readmitted_by_hand", {"node": address})
            )
            self.publish(Update(interface.Scope.DELTA, -1, (server,)))
            self._save()
        return True

    def _without_foreign_nodes(self, update: Update) -> Update:
        """An update without nodes outside the networks that nodes may be in. A list with such nodes is wrong or
        tampered with, but its other nodes are still needed."""
        networks = self.core.setup.node_networks
        if networks is None or not networks.size:
            return update
        allows = networks.allows
        foreign = []
        known = []
        for s in update.servers:
            (known if allows(s.address.rpartition(":")[0].strip("[]")) else foreign).append(s)
        if not foreign:
            return update
        self.core.counts["strange_nodes"] += len(foreign)
        fields = {"count": len(foreign), "first": foreign[0].address}
        self.core.log_event(commands.LogEvent("error", "node_outside_networks", fields))
        return Update(update.scope, update.version, tuple(known))
