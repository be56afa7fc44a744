"""The nodes as the list tells of them, and as they hold here. No I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rushweir import interface as i
from rushweir.discovery import saved_list
from rushweir.discovery.source import Update, UpdateError, apply_update
from rushweir.ingress import commands as c

if TYPE_CHECKING:
    from rushweir.ingress.core import Core


class KnownNodes:
    """What the list said last, what was done by hand, and what the policy was told."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.listed: dict[str, i.Server] = {}  # as the list has them
        self.drained_by_hand: set[str] = set()  # of these, drained by an operator
        self.effective: dict[str, i.Server] = {}  # as the policy was told
        self.updated_at: float | None = None  # when the last good update was read

    def load(self, last_list: bytes) -> None:
        """The list as it was kept on disk."""
        try:
            servers, self.drained_by_hand = saved_list.load(last_list)
        except UpdateError as problem:
            self.core.log_event(c.LogEvent("error", "kept_list_refused", {"why": str(problem)}))
        else:
            self.apply_update(Update(i.Scope.CACHED, -1, servers))

    def apply_update(self, update: Update) -> None:
        """Put an update to the policy and the pool, at the moment when it was read, and keep the list."""
        if update.scope is i.Scope.FAILED:
            self.core.counts["list_failed"] += 1
            self.core.engine.members(self.core.now, update.scope)
            return
        self.listed = apply_update(self.listed, update)
        self.drained_by_hand &= self.listed.keys()
        self.publish(update)
        if update.scope is not i.Scope.CACHED:
            self.updated_at = self.core.now
            self._keep()

    def publish(self, update: Update) -> None:
        """An update as it holds here: without strange nodes, and with those drained by hand as draining."""
        update = self._known_networks(update)
        servers = tuple(
            replace(s, state=i.State.DRAINING)
            if s.state is i.State.READY and s.address in self.drained_by_hand
            else s
            for s in update.servers
        )
        self.core.engine.members(self.core.now, update.scope, servers)
        self.effective = apply_update(self.effective, Update(update.scope, update.version, servers))
        self.core.pool.notified(self.core.now, {a: s.state for a, s in self.effective.items()})
        self.core.telemetry.set_nodes(self.effective)

    def _keep(self) -> None:
        if not self.core.draining and self.core.setup.keep_list:
            self.core.commands.append(c.SaveList(saved_list.dump(self.listed, self.drained_by_hand, self.core.now)))

    def drain(self, address: str, on: bool) -> bool:
        """Drain a node by hand, or readmit it, as if the list had said so; whether the list has such a node.
        What the list says of it meanwhile holds once it is readmitted; a node that leaves the list is forgotten."""
        server = self.listed.get(address)
        if server is None:
            return False
        if (address in self.drained_by_hand) is not on:
            (self.drained_by_hand.add if on else self.drained_by_hand.discard)(address)
            self.core.counts["drained_by_hand" if on else "readmitted_by_hand"] += 1
            self.core.log_event(
                c.LogEvent("info", "drained_by_hand" if on else "readmitted_by_hand", {"node": address})
            )
            self.publish(Update(i.Scope.DELTA, -1, (server,)))
            self._keep()
        return True

    def _known_networks(self, update: Update) -> Update:
        """An update without the nodes outside the networks where nodes may stand: a list that names them is
        wrong or altered, and the others are still needed."""
        networks = self.core.setup.node_networks
        if networks is None or not networks.size:
            return update
        allows = networks.allows
        strange, known = [], []
        for s in update.servers:
            (known if allows(s.address.rpartition(":")[0].strip("[]")) else strange).append(s)
        if not strange:
            return update
        self.core.counts["strange_nodes"] += len(strange)
        fields = {"count": len(strange), "first": strange[0].address}
        self.core.log_event(c.LogEvent("error", "node_outside_networks", fields))
        return Update(update.scope, update.version, tuple(known))
