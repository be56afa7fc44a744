"""Load shedding of an ingress whose own process is overloaded: what is shed, in which order, and with what advice.
No I/O, no clock.

The measure is the delay of the event loop, sampled by a timer. It is also the time that input waits to be read: each
turn of the loop reads all sockets once, so what arrived during a turn waits until that turn ends.

New connections are shed first, since handshakes are the most expensive work that an unknown client can cause. Then
requests are shed by value, which is the worth of the class times the price of the plan, lowest first; the share of
requests that is shed rises with the pressure. Accepted requests are kept. Their deadline is moved forward by the loop
delay, so that their answers still leave in time.

Shedding starts when the delay has been above ``delay_limit_ms`` for some samples, so one long turn does not cause it.
While it lasts, requests of low value are refused although some of them could have been served; it ends as soon as the
loop runs in time again.
"""

from __future__ import annotations

from math import log2

SAMPLE_INTERVAL_MS = 50.0
RISE_WEIGHT, FALL_WEIGHT = 0.3, 0.15  # weight of a sample above, or below, the mean delay
SHED_REQUESTS_FROM = 0.2  # pressure from which on requests are shed too
COUNT_DECAY = 0.98  # by which the recent number of requests of each value is multiplied at each sample
MAX_VALUES = 1024  # values that are counted; settings have fewer pairs of class and plan


class LoadShedder:
    """Tracks the delay of the event loop and decides what is admitted."""

    def __init__(self, delay_limit_ms: float, max_delay_ms: float) -> None:
        """Nothing is shed up to ``delay_limit_ms``; nothing new is admitted from ``max_delay_ms`` on."""
        self.apply_settings(delay_limit_ms, max_delay_ms)
        self.delay_ms = 0.0
        self.recent_requests: dict[float, float] = {}  # by value, decayed
        self.shed_fraction: dict[float, float] = {}  # of the value that is shed in part: carried to its next request

    def apply_settings(self, delay_limit_ms: float, max_delay_ms: float) -> None:
        """Apply other limits."""
        self.delay_limit_ms, self.max_delay_ms = delay_limit_ms, max_delay_ms

    def record_delay(self, late_ms: float) -> None:
        """Record by how much the sampling timer was late."""
        delay_ms = max(0.0, late_ms)
        self.delay_ms += (RISE_WEIGHT if delay_ms > self.delay_ms else FALL_WEIGHT) * (delay_ms - self.delay_ms)
        self.recent_requests = {v: n * COUNT_DECAY for v, n in self.recent_requests.items() if n > 0.01}

    @property
    def pressure(self) -> float:
        """The pressure from 0, at the limit of the delay, to 1, where nothing is admitted."""
        return min(1.0, max(0.0, (self.delay_ms - self.delay_limit_ms) / (self.max_delay_ms - self.delay_limit_ms)))

    @property
    def level(self) -> int:
        """0: nothing is shed; 1: new connections are; 2: requests are too."""
        pressure = self.pressure
        return 0 if pressure <= 0 else 1 if pressure < SHED_REQUESTS_FROM else 2

    def admits_connections(self) -> bool:
        """Whether a new connection is accepted."""
        return self.pressure <= 0

    def admits(self, value: float) -> bool:
        """Whether a request of this value is admitted.

        The share of requests that the pressure demands is shed, those of the lowest values first. Of the value at the
        border every n-th request is shed.
        """
        if value in self.recent_requests or len(self.recent_requests) < MAX_VALUES:
            self.recent_requests[value] = self.recent_requests.get(value, 0.0) + 1
        share = (self.pressure - SHED_REQUESTS_FROM) / (1 - SHED_REQUESTS_FROM)
        if share <= 0:
            return True
        if share >= 1:
            return False
        below = sum(n for v, n in self.recent_requests.items() if v < value)
        of_value, total = self.recent_requests.get(value, 1.0), sum(self.recent_requests.values())
        shed_share = (share * total - below) / of_value
        if shed_share <= 0 or shed_share >= 1:
            self.shed_fraction.pop(value, None)
            return shed_share <= 0
        fraction = self.shed_fraction.get(value, 0.0) + shed_share
        is_shed = fraction >= 1
        self.shed_fraction = {value: fraction - is_shed}  # only one value is at the border at a time
        return not is_shed

    def retry_after_ms(self) -> float:
        """Advice for refused clients: the time until the mean delay has fallen to its limit if no sample is late, at
        least half a sampling interval. It grows with the delay."""
        if self.delay_ms <= self.delay_limit_ms:
            return 0.0
        samples = log2(self.delay_ms / self.delay_limit_ms) / -log2(1 - FALL_WEIGHT)
        return max(0.5, samples) * SAMPLE_INTERVAL_MS
