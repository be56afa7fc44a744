"""Faults planted in the fleet, each of which the days must find. Nothing of this is reachable from the program.

``hasty``: the chair counts its lease from when it was granted, not from when it asked. ``eager``: a seed that
starts votes at once, whatever its predecessor granted. ``lone``: one vote is a majority. ``forgetful``: seeds keep
nothing on disk. ``generous``: a silent member's number is free at once. ``trusting``: an answer says that a view is
in force now, however old it is. ``endless``: a number is owned for good, whoever is in force without it.
"""

from __future__ import annotations

from rushweir.fleet import view_manager
from rushweir.fleet.core import Fleet
from rushweir.fleet.leader_lease import LeaderLease, LeaseAcceptor
from rushweir.fleet.settings import FleetSettings
from rushweir.fleet.views import View


class Hasty(LeaderLease):
    def on_accept(self, voter: int, ballot: int, ok: bool) -> None:
        held = self.expires_at
        super().on_accept(voter, ballot, ok)
        if self.expires_at > held:
            self.expires_at = self.fleet.now + 1.05 * self.lease_ms


class Eager(LeaseAcceptor):
    def __init__(self, now: float, term_ms: float) -> None:
        super().__init__(now, term_ms)
        self.silent_until = now


class Generous(view_manager.ViewManager):
    def _propose_next(self) -> None:
        self.lost_at = {n: -1e12 for n in self.lost_at}
        super()._propose_next()


class Planted(Fleet):
    """A member with one fault, by name."""

    def __init__(self, kind: str, settings: FleetSettings, key: bytes, seed: int, now: float, kept: bytes | None):
        super().__init__(settings, key, seed, now, None if kind == "forgetful" else kept)
        self.kind = kind
        if self.lease_acceptor is None:
            return
        if kind == "eager":
            self.lease_acceptor = Eager(now, settings.leader_lease_ms)
            self.leader_lease = LeaderLease(self, self.lease_acceptor)
        elif kind == "hasty":
            self.leader_lease = Hasty(self, self.lease_acceptor)
        elif kind == "lone":
            self.leader_lease.majority = 1
        elif kind == "generous":
            self.view_manager = Generous(self, self.view_manager.stored if kept else View())

    def learn_view_age(self, sender: int, number: int, view: int, age: int) -> None:
        if self.kind == "trusting" and view == self.view.number:
            self.view_confirmed_at = max(self.view_confirmed_at, self.now)
            self._update_slot()
        super().learn_view_age(sender, number, view, age)

    def slot(self) -> int:
        return self.assigned_slot if self.kind == "endless" else super().slot()


KINDS = ("hasty", "eager", "lone", "forgetful", "generous", "trusting", "endless")
