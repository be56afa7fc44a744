"""B, the capacity for units in flight, partitioned by f2 (Popularity-based Bandwidth Prepartitioning)."""

import math

from rushweir import interface
from rushweir.policy.time_constants import MEMORY_MS
from rushweir.state import DecayingRate, Health, Partitions, RunningMean

AIM_SHARE = 0.4  # of the aim, planned as the mean time in flight: the slow half and unevenness need the rest
POPULARITY_MS = 15000.0  # time constant of popularity
PRIOR_UNITS = 2.0  # added to each class's popularity against noise
START_UNITS_PER_S = 12.0  # requests that each ready server is presumed to finish in a second at first
CREDIT_ROOTS = 1.0  # square roots of B that may be used beyond B while there is credit
PRESSURE_MS = 2000.0  # time constant of signs of pressure
PRESSURE_SHARE = 0.1  # of recent outcomes and 5 good ones: a gateway with more signs is under pressure
MAX_RESERVED_SHARE = 0.5  # of the capacity that worthless requests leave free
LENGTH_ALPHA = 0.05  # least weight of a sample in the mean length and the mean units
VALUE_ALPHA = 0.02  # least weight of a sample in the mean value
MEDIAN_STEP = 0.05  # relative step of the median for each answer


class InFlightCapacity:
    """B, the capacity for units in flight, and its ranges by length (paper, section 4.3, figure 3).

    A class's length is its mean time in flight. Ranges double in length, and each has a partition of B by
    f2 = popularity times length. Requests of longer ranges borrow from the partitions of shorter ones.
    """

    def __init__(self, settings: interface.Settings, now: float) -> None:
        self.classes = dict[str, interface.RequestClass]()
        self.lengths = dict[str, RunningMean]()
        self.popularity = dict[str, DecayingRate]()
        self.apply_settings(settings, set(), now)
        self.finished = DecayingRate(MEMORY_MS, now)
        self.mean_units = (1 + settings.sharing.largest_request) / 2
        self.outcomes = Health(PRESSURE_MS, now)
        self.partitions = Partitions()
        values = [
            request_class.worth * plan.price / self.lengths[request_class.name].value
            for request_class in settings.classes
            for plan in settings.plans
        ]
        self.mean_value = sum(values) / len(values)
        self.credit = 0.0  # units times milliseconds
        self.max_credit = 0.0
        self.credit_at = now
        self.median_ratio = 1.0  # median time of an answer, relative to the length of its class

    def apply_settings(self, settings: interface.Settings, open_classes: set[str], now: float) -> None:
        """Use other classes; those of open requests stay until the next change."""
        kept_classes = {name: request_class for name, request_class in self.classes.items() if name in open_classes}
        self.settings = settings
        self.classes = kept_classes | {request_class.name: request_class for request_class in settings.classes}
        self.lengths = {
            name: self.lengths.get(name) or RunningMean(request_class.aim_ms / 4)
            for name, request_class in self.classes.items()
        }
        self.popularity = {
            name: self.popularity.get(name) or DecayingRate(POPULARITY_MS, now) for name in self.classes
        }

    def under_pressure(self, now: float) -> bool:
        """Whether recent outcomes show overload: full servers, missing answers or late ones."""
        return self.outcomes.failures.total(now) > PRESSURE_SHARE * (5 + self.outcomes.outcomes.total(now))

    def observe_outcome(self, class_name: str, event: interface.Outcome, units: float, now: float) -> None:
        """Learn pressure, throughput, length and median from an attempt's outcome."""
        ok = event.result is interface.Result.OK
        late = event.spent_ms > self.classes[class_name].aim_ms
        unanswered = event.result in (interface.Result.TIMEOUT, interface.Result.CANCELLED)
        self.outcomes.record(event.result is interface.Result.FULL or unanswered or (ok and late), now)
        self.finished.add(units * ok, now)
        if ok:
            above_median = event.spent_ms > self.median_ratio * self.lengths[class_name].value
            self.median_ratio *= 1 + MEDIAN_STEP * (1 if above_median else -1)
            self.lengths[class_name].update(event.spent_ms, LENGTH_ALPHA)

    def length_range(self, class_name: str) -> int:
        """The range of a class's length: [2^k lmin, 2^(k+1) lmin), k from 0; the top one is closed above."""
        lengths = [mean.value for mean in self.lengths.values()]
        range_count = max(1, math.ceil(math.log2(max(lengths) / min(lengths)) - 1e-9))
        return min(int(math.log2(self.lengths[class_name].value / min(lengths))), range_count - 1)

    def partition(self, ready: float, now: float) -> None:
        """Set B and partition it by f2: popularity (units requested) times length.

        ``ready``: the number of ready servers, cold ones by their warm-up.
        """
        f2 = {
            name: (requested.total(now) + PRIOR_UNITS) * self.lengths[name].value
            for name, requested in self.popularity.items()
        }
        ranges = {name: self.length_range(name) for name in f2}
        f2_sum = sum(f2.values())
        mean_aim_s = sum(f2[name] * self.classes[name].aim_ms for name in f2) / f2_sum / 1000
        start_per_s = START_UNITS_PER_S * self.mean_units * max(1, ready) / self.settings.gateways
        under_pressure = self.under_pressure(now)
        finished_per_s = self.finished.per_s(now)
        capacity = max(start_per_s / 2 if under_pressure else start_per_s, finished_per_s) * mean_aim_s * AIM_SHARE
        self.accrue_credit(now)
        self.max_credit = capacity * mean_aim_s * 1000
        self.partitions.resize(
            1 + max(ranges.values()), [(ranges[name], value / f2_sum * capacity) for name, value in f2.items()]
        )

    def accrue_credit(self, now: float) -> float:
        """Update and return the credit: unused capacity, in units times milliseconds.

        Credit pays for what is in flight beyond B, for a large request or by chance, so that all gateways together
        have no more in flight over time than the sum of their B. Without it each gateway added a square root of B
        (incident L33b1c1). After a long request a gateway whose capacity is below one unit refuses for a while.
        """
        size = sum(self.partitions.sizes)
        used = sum(self.partitions.used)
        self.credit = min(self.max_credit, self.credit + (size - used) * (now - self.credit_at))
        self.credit = max(self.credit, -MEMORY_MS * self.mean_units)
        self.credit_at = now
        return self.credit

    def reserved_share(self, class_name: str, price: float) -> float:
        """The share of the capacity that a request leaves free for more valuable ones.

        The paper values requests by length alone; here it is worth and price for the time in flight.
        """
        value = self.classes[class_name].worth * price / self.lengths[class_name].value
        self.mean_value += VALUE_ALPHA * (value - self.mean_value)
        return MAX_RESERVED_SHARE * max(0.0, 1 - value / self.mean_value)

    def find_partitions(self, class_name: str, units: float, reserved_share: float, now: float) -> list[int] | None:
        """The partitions to reserve a request's units from, in order; None if the capacity is too small.

        A request borrows from shorter ranges, and from longer ones too while there is no pressure.
        """
        partitions = self.partitions
        top = min(self.length_range(class_name), len(self.partitions.sizes) - 1)
        under_pressure = self.under_pressure(now)
        order = [*range(top, -1, -1), *([] if under_pressure else range(top + 1, len(partitions.sizes)))]
        used = sum(partitions.used)
        free = sum(max(0.0, partitions.sizes[index] - partitions.used[index]) for index in order)
        extra = (
            CREDIT_ROOTS
            * math.sqrt(sum(partitions.sizes) * self.mean_units)
            * (self.accrue_credit(now) > 0 and not under_pressure)
        )
        too_small = (
            free + extra < units - 1e-9 or (sum(partitions.sizes) + extra) * (1 - reserved_share) - used < units
        )
        if too_small and (used > 1e-6 or self.credit < 0):
            return None
        return order  # an idle gateway with credit takes a request larger than its capacity

    def estimate_wait_ms(self, class_name: str, units: float) -> float:
        """When so many units will have been released at the present pace: one mean time in flight at most."""
        return self.lengths[class_name].value * min(1.0, units / max(1e-9, sum(self.partitions.used)))
