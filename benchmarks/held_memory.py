"""Memory of one ingress under clients that leave requests unfinished, queue them or read no answers, by their shape.

.venv/bin/python -m benchmarks.held_memory [CLIENTS [MEMORY_MB [SOCKETS [NAME...]]]]

The first row, clients that connect and are silent, is the baseline.
"""

from __future__ import annotations

import asyncio
import sys

from rushweir.lab.memory_load import LOADS, play


def main() -> None:
    words = sys.argv[1:]
    count, memory_mb, sockets = [int(w) for w in words[:3]] + [300, 96, 512][len(words[:3]) :]
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    print(f"{count} clients, {memory_mb} MB, {sockets} descriptors; MB before, at most, later")
    for name in words[3:] or LOADS:
        result = asyncio.run(play(LOADS[name], count, limits))
        ended = "" if result.exit_status is None else f"; ended with {result.exit_status}"
        print(
            f"{name:38} {result.before_mb:6.1f} {result.peak_mb:6.1f} {result.later_mb:6.1f}  "
            f"{dict(result.clients)}; sound {dict(result.sound)}{ended}",
            flush=True,
        )


if __name__ == "__main__":
    main()
