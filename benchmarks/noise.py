"""How long members in noise go without knowing that their number is their own: simulated time, many seeds.

    .venv/bin/python -m benchmarks.noise [SEEDS]        # 40; some minutes

The baseline in the same run is a member as it was before (``Starved``): comparing tables waited for what probes left
of the budget. ``behind``: the first seed misses the views of those who join, and lacks them when it hears again.
"""

from __future__ import annotations

import sys

from rushweir.fleet.core import Fleet
from rushweir.lab.sim.noise import KEEP_MS, Scene, Starved, play, safe_ms

SCENES = {"noise": Scene(), "noise, quotas' mail": Scene(mail=35), "noise, behind": Scene(missed_ms=3_000.0)}
KINDS = {"before": Starved, "now": Fleet}
PARTS = (0.5, 0.9, 0.99, 0.999, 1.0)


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    print(f"{seeds} seeds of each; keep {KEEP_MS / 1000:g} s, of which a number is safe for {safe_ms() / 1000:.1f} s")
    print("longest time without a renewal, of each member, in seconds")
    heads = "".join(f"{f'{p:.1%}' if p < 1 else 'most':>8}" for p in PARTS)
    print(f"{'':30}{heads}{'ended':>8}{'of':>6}{'sent/s':>8}")
    for name, scene in SCENES.items():
        for kind, cls in KINDS.items():
            plays = [play(seed, scene, cls) for seed in range(seeds)]
            longest = sorted(ms / 1000 for found in plays for ms in found.longest.values())
            ended = sum(len(found.ended) for found in plays)
            values = "".join(f"{longest[min(len(longest) - 1, int(len(longest) * p))]:8.1f}" for p in PARTS)
            sent = sum(found.sent_s for found in plays) / seeds
            print(f"{name:22}{kind:8}{values}{ended:8}{len(longest):6}{sent:8.1f}", flush=True)


if __name__ == "__main__":
    main()
