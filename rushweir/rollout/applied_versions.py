"""Who acts on which version, as the control processes know it together; no I/O, no clock.

Each control process hears those that watch it, and tells the others all that it knows, with the time since each was
heard; so what one learnt comes to a third that it does not reach. Of two accounts of one ingress the one heard later
counts, and before any account that of a session that is open here.

``least`` is the version that every ingress acts on that is known and not expired. What it holds on to:

- An ingress says that it acts on a version when it acts and has it on disk: a restart never falls behind its word.
- An ingress that can't be reached blocks ``least`` for ``expire_ms``. Then it does not, so that one broken machine
  does not hold the settings of all. That is safe for who raises a ceiling by ``least``: an ingress raises nothing by
  itself, only at what a control process told it, so one that is out of reach goes on with the smaller ceiling of its
  version, and all together spend no more than the larger of the two.
- A control process that starts knows nobody, and would say too much: it tells no ``least`` until another that knows
  told it, or ``expire_ms`` went by, in which all that are within reach came to it or to the others. At the first
  start of all there is nobody to know.
- What was told is never taken back. An ingress that comes back with an older version after it expired is behind until
  its steps came, as one is that was out of reach; while it is heard and behind, nothing further is raised.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

EXPIRE_MS = 600_000.0
MAX_KNOWN = 4_096  # ingresses; beyond that the ones expired longest are forgotten, and then newcomers refused


@dataclass(slots=True)
class KnownIngress:
    acting_version: int
    heard_at: float
    why: str = ""  # it is behind: what it refused, with object and field, or what its disk said
    refused_version: int = 0  # the version that it refused


class AppliedVersions:
    """The account of one control process."""

    def __init__(self, now: float, expire_ms: float = EXPIRE_MS, first: bool = False) -> None:
        """``first``: of the first start of all control processes, when nobody can act on anything yet."""
        self.started_at, self.expire_ms = now, expire_ms
        self.known: dict[str, KnownIngress] = {}
        self.connected: set[str] = set()  # with a session that is open here
        self.reported_minimum, self.complete, self.changed = 0, first, True

    def record(self, now: float, who: str, acts: int, why: str = "", at: int = 0) -> bool:
        """Of one of our own; False where there is no room for it."""
        if who not in self.known and not self._room(now):
            return False
        old = self.known.get(who)
        self.changed |= old is None or (old.acting_version, old.why, old.refused_version) != (acts, why, at)
        self.known[who] = KnownIngress(acts, now, why, at)
        return True

    def _room(self, now: float) -> bool:
        if len(self.known) < MAX_KNOWN:
            return True
        oldest = min(self.known, key=lambda w: self.known[w].heard_at)
        if self.is_expired(now, self.known[oldest]):
            del self.known[oldest]
        return len(self.known) < MAX_KNOWN

    def is_expired(self, now: float, k: KnownIngress) -> bool:
        return now - k.heard_at > self.expire_ms

    def forget(self, who: str) -> bool:
        """An operator says that it will not come back."""
        return who not in self.connected and self.known.pop(who, None) is not None

    def minimum(self, now: float) -> int:
        """0 while nothing can be said."""
        self.complete = self.complete or now - self.started_at > self.expire_ms
        acts = [k.acting_version for k in self.known.values() if not self.is_expired(now, k)]
        if self.complete and acts:
            self.reported_minimum = max(self.reported_minimum, min(acts))
        return self.reported_minimum

    # --- between the control processes -----------------------------------------------------------

    def report(self, now: float) -> dict[str, Any]:
        """All that is known; ages instead of times, as clocks share no zero."""
        self.changed = False
        self.minimum(now)
        rows = [
            [w, k.acting_version, max(0, int(now - k.heard_at)), k.why, k.refused_version]
            for w, k in self.known.items()
        ]
        return {"complete": self.complete, "told": self.reported_minimum, "rows": rows}

    def merge_report(self, now: float, report: Any) -> None:
        """Of another. Raises ValueError, with nothing taken."""
        try:
            complete, told = report["complete"] is True, report["told"]
            rows = [
                (str(who), KnownIngress(int(acts), now - max(0, int(age)), str(why), int(at)))
                for who, acts, age, why, at in report["rows"]
            ]
        except (KeyError, TypeError, ValueError) as problem:
            raise ValueError(f"no report of a control process: {problem}") from None
        if type(told) is not int or len(rows) > MAX_KNOWN:
            raise ValueError("no report of a control process")
        for who, k in rows:
            mine = self.known.get(who)
            if (
                who not in self.connected
                and (mine is None or mine.heard_at < k.heard_at)
                and (mine or self._room(now))
            ):
                self.known[who] = k
        self.reported_minimum = max(self.reported_minimum, told)  # nothing was raised by less
        self.complete = self.complete or complete

    def rows(self, now: float, head: int) -> list[dict[str, Any]]:
        """For operators: who acts on what, the ones furthest behind first."""
        found = []
        for who, k in self.known.items():
            silent = now - k.heard_at
            why = k.why
            if who not in self.connected and silent > 5_000.0:
                why = f"not heard for {silent / 1000:.0f} s" + (", expired" if self.is_expired(now, k) else "")
            elif not why and k.acting_version < head:
                why = "on its way"
            behind = max(0, head - k.acting_version)
            found.append(
                {"ingress": who, "acts": k.acting_version, "behind": behind, "why": why, "refused": k.refused_version}
            )
        return sorted(found, key=lambda r: (-r["behind"], r["ingress"]))
