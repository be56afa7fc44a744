"""Faults planted in the fleet, each of which the days must find. Nothing of this is reachable from the program.

``hasty``: the chair counts its lease from when it was granted, not from when it asked. ``eager``: a seed that
starts votes at once, whatever its predecessor granted. ``lone``: one vote is a majority. ``forgetful``: seeds keep
nothing on disk. ``generous``: a silent member's number is free at once. ``trusting``: an answer says that a view is
in force now, however old it is. ``endless``: a number is owned for good, whoever is in force without it.
"""

from __future__ import annotations

from rushweir.fleet import seating
from rushweir.fleet.chair import Chair, Vote
from rushweir.fleet.core import Fleet
from rushweir.fleet.settings import FleetSettings
from rushweir.fleet.views import View


class Hasty(Chair):
    def accepted(self, voter: int, ballot: int, ok: bool) -> None:
        held = self.until
        super().accepted(voter, ballot, ok)
        if self.until > held:
            self.until = self.fleet.now + 1.05 * self.term


class Eager(Vote):
    def __init__(self, now: float, term_ms: float) -> None:
        super().__init__(now, term_ms)
        self.silent_until = now


class Generous(seating.Seating):
    def _next_view(self) -> None:
        self.lost_at = {n: -1e12 for n in self.lost_at}
        super()._next_view()


class Planted(Fleet):
    """A member with one fault, by name."""

    def __init__(self, kind: str, settings: FleetSettings, key: bytes, seed: int, now: float, kept: bytes | None):
        super().__init__(settings, key, seed, now, None if kind == "forgetful" else kept)
        self.kind = kind
        if self.vote is None:
            return
        if kind == "eager":
            self.vote = Eager(now, settings.chair_ms)
            self.chair = Chair(self, self.vote)
        elif kind == "hasty":
            self.chair = Hasty(self, self.vote)
        elif kind == "lone":
            self.chair.majority = 1
        elif kind == "generous":
            self.seating = Generous(self, self.seating.kept if kept else View())

    def learn_age(self, sender: int, number: int, view: int, age: int) -> None:
        if self.kind == "trusting" and view == self.view.number:
            self.sure_at = max(self.sure_at, self.now)
            self._seated()
        super().learn_age(sender, number, view, age)

    def seat(self) -> int:
        return self.number if self.kind == "endless" else super().seat()


KINDS = ("hasty", "eager", "lone", "forgetful", "generous", "trusting", "endless")
