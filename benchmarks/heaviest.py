"""The sketch of the heaviest beside a plain dictionary, in time and memory, in one run.

    .venv/bin/python -m benchmarks.heaviest

The dictionary holds an exponentially forgotten count for each partner and is sorted when it is asked; the sketch
holds 1,024 names. Partners' requests follow a Zipf law; the last table says how good the sketch's answer is.
"""

from __future__ import annotations

import math
import random
import time
import tracemalloc
from bisect import bisect
from collections import Counter
from heapq import nlargest
from itertools import accumulate

from rushweir.watch.top_users import TopUsers


class Plain:
    """A forgotten count for each name."""

    def __init__(self) -> None:
        self.counts: dict[str, tuple[float, float]] = {}

    def add(self, name: str, now: float) -> None:
        count, at = self.counts.get(name, (0.0, now))
        self.counts[name] = (count * math.exp((at - now) / 90_000.0) + 1, now)

    def top(self, count: int) -> list:
        return nlargest(count, self.counts.items(), key=lambda x: x[1][0])


def main() -> None:
    for partners in (10_000, 100_000, 1_000_000):
        rng = random.Random(partners)
        shares = list(accumulate(1 / (k + 1) for k in range(partners)))
        stream = [f"p{bisect(shares, rng.random() * shares[-1])}" for _ in range(300_000)]
        true = Counter(stream)
        print(f"{partners} partners, {len(stream)} requests, {len(true)} seen")
        for name, made in (("dictionary", Plain()), ("sketch", TopUsers(1024))):
            plain = isinstance(made, Plain)
            began = time.perf_counter()
            if plain:
                for k, partner in enumerate(stream):
                    made.add(partner, float(k))
            else:
                for partner in stream:
                    made.add(partner)
            each = (time.perf_counter() - began) / len(stream) * 1e6
            began = time.perf_counter()
            top = made.top(20)
            asked = (time.perf_counter() - began) * 1000
            tracemalloc.start()
            again = Plain() if plain else TopUsers(1024)
            for k, partner in enumerate(stream):
                again.add(partner, float(k)) if plain else again.add(partner)
            memory, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            good = len({t[0] for t in top} & {n for n, _ in true.most_common(20)})
            print(f"  {name:11} {each:6.2f} us a count   {asked:7.2f} ms for the 20 heaviest, {good} of them true"
                  f"   {memory / 1024:8.0f} KiB")  # fmt: skip


if __name__ == "__main__":
    main()
