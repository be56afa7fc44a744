"""Which watcher applies which version, as all control processes know it together; no I/O, no clock.

Each control process receives the reports of its watchers and passes all that it knows to the other control processes,
with the age of each report; so a report reaches a process that is not connected to the first one. Of two reports of a
watcher the newer one counts, and before any of them that of a session that is open here.

``minimum`` is the version that every watcher applies which is known and not expired. Its rules:

- A watcher reports a version when it applies it and has it on disk, so a restart never falls behind its report.
- A watcher that can't be reached blocks ``minimum`` for ``expire_ms`` and then no longer, so that one broken machine
  does not block the settings of all. That is safe for code that raises a ceiling by ``minimum``: an ingress raises
  nothing by itself, only on a report of a control process, so an unreachable one continues with the smaller ceiling
  of its version, and all together use no more than the larger of the two.
- A control process that starts knows no watcher, and its minimum would be too high: it reports none until another
  process with complete knowledge has reported, or ``expire_ms`` have passed, in which all reachable watchers have
  connected to it or to the others. At the first start of all control processes there is no watcher to know.
- The minimum never decreases. A watcher that returns with an older version after it expired is behind until it has
  its change sets, as an unreachable one is; while it is connected and behind, the minimum does not rise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

EXPIRE_MS = 600_000.0
MAX_KNOWN = 4_096  # watchers; beyond that those expired longest are forgotten, and then new ones refused
LATE_REPORT_MS = 5_000.0  # without a report for so long, a watcher is shown as silent


@dataclass(slots=True)
class KnownIngress:
    """The last report of a watcher."""

    acting_version: int
    last_seen_at: float
    why: str = ""  # the reason why it is behind: what it refused, with object and field, or its disk error
    refused_version: int = 0


class AppliedVersions:
    """What one control process knows of the versions that watchers apply. Times are in ms."""

    def __init__(self, now: float, expire_ms: float = EXPIRE_MS, first: bool = False) -> None:
        """``first``: at the first start of all control processes, when no watcher can apply anything yet."""
        self.started_at = now
        self.expire_ms = expire_ms
        self.known: dict[str, KnownIngress] = {}
        self.connected: set[str] = set()  # watchers with an open session here
        self.reported_minimum = 0
        self.complete = first
        self.changed = True  # since the last report to other control processes

    def record(self, now: float, watcher: str, version: int, why: str = "", refused_version: int = 0) -> bool:
        """Record a report of a connected watcher. Return False if too many are known."""
        if watcher not in self.known and not self._has_capacity(now):
            return False
        old = self.known.get(watcher)
        self.changed |= old is None or (old.acting_version, old.why, old.refused_version) != (
            version, why, refused_version
        )  # fmt: skip
        self.known[watcher] = KnownIngress(version, now, why, refused_version)
        return True

    def _has_capacity(self, now: float) -> bool:
        """Return whether one more watcher can be known, after forgetting an expired one if need be."""
        if len(self.known) < MAX_KNOWN:
            return True
        oldest = min(self.known, key=lambda w: self.known[w].last_seen_at)
        if self.is_expired(now, self.known[oldest]):
            del self.known[oldest]
        return len(self.known) < MAX_KNOWN

    def is_expired(self, now: float, ingress: KnownIngress) -> bool:
        """Return whether a watcher has not reported for so long that the minimum ignores it."""
        return now - ingress.last_seen_at > self.expire_ms

    def forget(self, watcher: str) -> bool:
        """Forget a watcher that an operator says will not return. Return whether it was known and not connected."""
        return watcher not in self.connected and self.known.pop(watcher, None) is not None

    def minimum(self, now: float) -> int:
        """Return the version that all known watchers apply; 0 as long as it is unknown."""
        self.complete = self.complete or now - self.started_at > self.expire_ms
        versions = [k.acting_version for k in self.known.values() if not self.is_expired(now, k)]
        if self.complete and versions:
            self.reported_minimum = max(self.reported_minimum, min(versions))
        return self.reported_minimum

    # --- between control processes ---------------------------------------------------------------

    def report(self, now: float) -> dict[str, Any]:
        """Return all that is known for other control processes; with ages, as their clocks have other zeros."""
        self.changed = False
        self.minimum(now)
        rows = [
            [watcher, k.acting_version, max(0, int(now - k.last_seen_at)), k.why, k.refused_version]
            for watcher, k in self.known.items()
        ]
        return {"complete": self.complete, "told": self.reported_minimum, "rows": rows}

    def merge_report(self, now: float, report: Any) -> None:
        """Merge a report of another control process. Raises ValueError, with nothing merged."""
        try:
            complete, minimum = report["complete"] is True, report["told"]
            rows = [
                (str(watcher), KnownIngress(int(version), now - max(0, int(age)), str(why), int(refused_version)))
                for watcher, version, age, why, refused_version in report["rows"]
            ]
        except (KeyError, TypeError, ValueError) as problem:
            raise ValueError(f"not a report of a control process: {problem}") from None
        if type(minimum) is not int or len(rows) > MAX_KNOWN:
            raise ValueError("not a report of a control process: a field of another type, or too many rows")
        for watcher, theirs in rows:
            ours = self.known.get(watcher)
            if (
                watcher not in self.connected
                and (ours is None or ours.last_seen_at < theirs.last_seen_at)
                and (ours or self._has_capacity(now))
            ):
                self.known[watcher] = theirs
        self.reported_minimum = max(self.reported_minimum, minimum)  # watchers may have acted on the larger one
        self.complete = self.complete or complete

    def rows(self, now: float, head: int) -> list[dict[str, Any]]:
        """Return a status row of each known watcher for operators, those furthest behind ``head`` first."""
        found = []
        for watcher, k in self.known.items():
            silent_ms = now - k.last_seen_at
            why = k.why
            if watcher not in self.connected and silent_ms > LATE_REPORT_MS:
                why = f"not heard for {silent_ms / 1000:.0f} s" + (", expired" if self.is_expired(now, k) else "")
            elif not why and k.acting_version < head:
                why = "on its way"
            behind = max(0, head - k.acting_version)
            found.append(
                {
                    "ingress": watcher, "acts": k.acting_version, "behind": behind, "why": why,
                    "refused": k.refused_version,
                }
            )  # fmt: skip
        return sorted(found, key=lambda r: (-r["behind"], r["ingress"]))
