"""Faults planted in a scale run, each of which its bounds must find. Nothing of this is reachable from the program.

``mail-to-all``: each message of the quotas goes to every ingress, not to a keeper. ``probe-all``: a member probes
everybody in each period. ``whole-changes``: each change of the list is told by the whole list.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rushweir import interface as i
from rushweir.discovery.source import server_to_entry
from rushweir.fleet import frame as f
from rushweir.fleet.members import Members
from rushweir.lab.scale import hollow, nodes


def mail_to_all() -> None:
    handle = hollow.Timed.handle

    def planted(self: hollow.Timed, now: float, event: i.Event) -> list[i.Action]:
        return [replace(a, to=None) if isinstance(a, i.Tell) else a for a in handle(self, now, event)]

    hollow.Timed.handle = planted


def probe_all() -> None:
    tick = Members.tick

    def planted(self: Members, planned: float) -> None:
        tick(self, planned)
        for m in self.present():
            self.serial += 1
            self.fleet.send_probe(f.PROBE, m.id, self.serial)

    Members.tick = planted


def whole_changes() -> None:
    tell = nodes.Listing._tell

    def planted(self: nodes.Listing, peer: Any, params: dict[str, Any], states: dict[str, str]) -> None:
        every = [server_to_entry(s) for s in self.servers.values()]
        tell(self, peer, {"scope": "full", "version": self.version, "servers": every}, states)

    nodes.Listing._tell = planted


PLANTS = {"mail-to-all": mail_to_all, "probe-all": probe_all, "whole-changes": whole_changes}


def plant(names: list[str]) -> None:
    for name in names:
        PLANTS[name]()
