"""What cold servers are sent by a fleet, beside what they may get: the module, and one that takes them for warm.

    .venv/bin/python -m benchmarks.cold_fleet [INGRESSES ...]

Simulated time. N is what the settings allow a cold server in their window; a window above N + 2 roots of N + 2 is a
fall.
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace

from rushweir.lab.sim.cold import ColdFleet, Scene
from rushweir.policy import Policy


class Blind(Policy):
    """The baseline: no slow start."""

    def __init__(self, *args):
        super().__init__(*args)
        self.server_pool.warm_up = lambda b, now: 1.0


def scenes(ingresses: int) -> dict[str, Scene]:
    n = max(12, ingresses // 2)
    base = Scene(ingresses, n, seconds=8.0)
    return {
        "one in ten starts anew": replace(base, starts=((0.0, n // 10),)),
        "six in ten in 7 s": replace(base, starts=tuple((k * 1000.0, n // 10) for k in range(6))),
        "nine in ten at once": replace(base, starts=((0.0, n * 9 // 10),)),
        "all at once": replace(base, starts=((0.0, n),)),
        "all at once, 0.9 of the load": replace(base, load=0.9, starts=((0.0, n),)),
        "all at once, uneven, told late": replace(base, uneven=4.0, told_ms=(0.0, 3000.0), starts=((0.0, n),)),
        "all at once, long work": replace(base, work_ms=250.0, aim_ms=2000.0, starts=((0.0, n),)),
    }


def main() -> None:
    print("| ingresses | scene | mean, of N | worst, in roots | falls | served | without: worst | falls | served |")
    print("| --- " * 9 + "|")
    for ingresses in [int(a) for a in sys.argv[1:]] or [3, 30, 200]:
        for name, scene in scenes(ingresses).items():
            began = time.monotonic()
            m, b = ColdFleet(scene).run(), ColdFleet(scene, Blind).run()
            row = [ingresses, name, f"{m.mean:.2f}", f"{m.worst:+.1f}", m.falls, f"{m.served / m.asked:.2f}"]
            row += [f"{b.worst:+.1f}", b.falls, f"{b.served / b.asked:.2f}"]
            print("|", " | ".join(str(x) for x in row), "|", flush=True)
            print(f"{time.monotonic() - began:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
