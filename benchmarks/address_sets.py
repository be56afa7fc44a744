"""Address sets: 10,000 prefixes in a radix tree, in netaddr, and in a plain list, in one run.

    .venv/bin/python -m benchmarks.address_sets [PREFIXES]

``netaddr`` is no dependency of the program; install it to measure it.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from ipaddress import ip_address, ip_network

from rushweir.link.networks import AddressSet

try:
    import netaddr
except ImportError:
    netaddr = None


def prefixes(count: int, rng: random.Random) -> list:
    found = set()
    while len(found) < count:
        length = rng.choice((12, 16, 20, 24, 24, 24, 28, 32))
        found.add(ip_network((rng.getrandbits(32) >> (32 - length) << (32 - length), length)))
    return sorted(found)


def timed(name: str, build, ask, addresses: list, times: int) -> list[bool]:
    tracemalloc.start()
    began = time.perf_counter()
    made = build()
    built, (memory, _) = time.perf_counter() - began, tracemalloc.get_traced_memory()
    tracemalloc.stop()
    few = addresses[:times]
    began = time.perf_counter()
    answers = [ask(made, a) for a in few]
    each = (time.perf_counter() - began) / len(few) * 1e6
    print(f"{name:12} built in {built * 1000:8.1f} ms   {memory / 1024:8.0f} KiB traced   {each:10.2f} us a question")
    return answers


def main() -> None:
    count, rng = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000, random.Random(5)
    nets = prefixes(count, rng)
    addresses = [str(ip_address(rng.getrandbits(32))) for _ in range(10_000)]
    for k in range(0, len(addresses), 2):  # every other one is inside some prefix
        addresses[k] = str(rng.choice(nets)[0])
    tree = timed("radix", lambda: AddressSet(nets), AddressSet.allows, addresses, 10_000)
    plain = timed("list", lambda: list(nets), lambda s, a: any(ip_address(a) in n for n in s), addresses, 50)
    assert tree[:50] == plain
    if netaddr is not None:
        made = timed("netaddr", lambda: netaddr.IPSet([str(n) for n in nets]), lambda s, a: a in s, addresses, 10_000)
        assert made == tree


if __name__ == "__main__":
    main()
