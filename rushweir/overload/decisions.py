"""The ingress under its own overload: what it sheds, in which order, and with what advice. No I/O, no clock.

The measure is how late this process's own turns come. In an event loop that is also the age of what waits to be
read: a turn reads all sockets once, so what came in during the last turn waits for as long as that took.

Order: first new connections, whose handshakes are the dearest thing that a stranger can ask for; then requests,
the cheapest by worth times their plan's price first, as large a share of what comes in as the pressure is. What
was taken is kept: its answer is due the earlier by as much as turns come late, so that it still leaves in time.

When it acts: above ``delay_ms`` for some beats, so not at one long turn. Harm: below its bar cheap work is refused
although some of it might have been done; the bar falls as soon as turns come in time again.
"""

from __future__ import annotations

from math import log2

SAMPLE_INTERVAL_MS = 50.0
RISE, FALL = 0.3, 0.15  # weight of a beat in the running delay, when it came later than that, and when sooner
REQUESTS_FROM = 0.2  # of the way from ``delay_ms`` to ``most_ms``: from here on requests are shed too
FORGET = 0.98  # of the share of each value in what comes in, each beat
MOST_VALUES = 1024  # values told apart: classes times plans, in any sensible settings


class LoadShedder:
    """How late turns come, and what is shed for it."""

    def __init__(self, delay_ms: float, most_ms: float) -> None:
        """Turns later than ``delay_ms`` are too late; at ``most_ms`` nothing new is taken any more."""
        self.adopt(delay_ms, most_ms)
        self.delay_ms, self.beat_at = 0.0, 0.0
        self.asked: dict[float, float] = {}  # what came in lately, by value
        self.owed: dict[float, float] = {}  # of a value shed in part: its share so far of one request

    def adopt(self, delay_ms: float, most_ms: float) -> None:
        self.delay_limit_ms, self.max_delay_ms = delay_ms, most_ms

    def record_delay(self, late_ms: float) -> None:
        """A turn that was planned came so late."""
        late = max(0.0, late_ms)
        self.delay_ms += (RISE if late > self.delay_ms else FALL) * (late - self.delay_ms)
        self.asked = {v: n * FORGET for v, n in self.asked.items() if n > 0.01}

    @property
    def pressure(self) -> float:
        """From 0, at the limit, to 1, where nothing is taken."""
        return min(1.0, max(0.0, (self.delay_ms - self.delay_limit_ms) / (self.max_delay_ms - self.delay_limit_ms)))

    @property
    def level(self) -> int:
        """0: nothing is shed; 1: new connections; 2: requests too."""
        p = self.pressure
        return 0 if p <= 0 else 1 if p < REQUESTS_FROM else 2

    def admits_connections(self) -> bool:
        return self.pressure <= 0

    def admits(self, value: float) -> bool:
        """Whether a request of this value (worth times price) is taken. Exactly the share that is to go goes,
        the cheapest of it first; of the value on the border every so many-th."""
        if value in self.asked or len(self.asked) < MOST_VALUES:
            self.asked[value] = self.asked.get(value, 0.0) + 1
        share = (self.pressure - REQUESTS_FROM) / (1 - REQUESTS_FROM)
        if share <= 0:
            return True
        if share >= 1:
            return False
        below = sum(n for v, n in self.asked.items() if v < value)
        mine, whole = self.asked.get(value, 1.0), sum(self.asked.values())
        part = (share * whole - below) / mine  # of this value, to be shed
        if part <= 0 or part >= 1:
            self.owed.pop(value, None)
            return part <= 0
        owed = self.owed.get(value, 0.0) + part
        shed = owed >= 1
        self.owed = {value: owed - shed}  # there is one border at a time
        return not shed

    def retry_after_ms(self) -> float:
        """Advice: in what time turns come in time again if nothing new makes them late, but half a beat at least.
        It is the time that the running delay takes to fall back, so it grows with the trouble."""
        if self.delay_ms <= self.delay_limit_ms:
            return 0.0
        beats = log2(self.delay_ms / self.delay_limit_ms) / -log2(1 - FALL)
        return max(0.5, beats) * SAMPLE_INTERVAL_MS
