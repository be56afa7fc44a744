"""Routes in the trie beside a plain list of patterns, and pricing a request, in one run.

    .venv/bin/python -m benchmarks.cost_routes

The list holds a compiled regular expression for each pattern, most exact first, and is searched from its top.
"""

from __future__ import annotations

import random
import re
import time

from rushweir.costs.decisions import CostRules, Rule, Term, TermKind, price
from rushweir.costs.routes import Routes, parse_pattern, rpc_route

BODY = {"trip": {"from": "Keleti", "to": "Ferihegy", "stops": ["a", "b", "c"]}, "people": 3, "note": "x" * 300}
TERMS = (
    Term(TermKind.SIZE, (), 100),
    Term(TermKind.ENTRIES, ("trip", "stops"), 500),
    Term(TermKind.VALUE, ("people",), 250),
)


def expression(text: str) -> re.Pattern[str]:
    parts = [r"[^.]+" if s.startswith("{") else r".*" if s == "**" else re.escape(s) for s in parse_pattern(text)[1:]]
    return re.compile(r"\.".join(parts) + r"\Z")


def exactness(text: str) -> tuple[int, ...]:
    return tuple(2 if s == "**" else 1 if s.startswith("{") else 0 for s in parse_pattern(text))


def timed(ask, methods: list[str]) -> float:
    began = time.perf_counter()
    for method in methods:
        ask(method)
    return (time.perf_counter() - began) / len(methods) * 1e6


def main() -> None:
    for count in (10, 1_000, 10_000):
        rng = random.Random(count)
        texts = [f"area{k % 100}.thing{k}" if k % 10 else f"area{k % 100}.thing{k}.{{what}}" for k in range(count)]
        routes: Routes[Rule] = Routes()
        for t in texts:
            routes.add(t, Rule(t, 1000, TERMS))
        plain = [(expression(t), t) for t in sorted(texts, key=exactness)]
        methods = [rng.choice(texts).replace("{what}", "x") for _ in range(2000)]

        def search(method: str, plain=plain) -> str | None:
            return next((t for e, t in plain if e.match(method)), None)

        for method in methods[:50]:
            found = routes.find(rpc_route(method))
            assert found is not None and found.name == search(method)
        rules = CostRules(Rule("default", 1000), list(routes))
        few = methods if count < 1000 else methods[:200]
        print(
            f"{count:6} routes: trie {timed(lambda m: routes.find(rpc_route(m)), methods):6.2f} us, "  # noqa: B023
            f"list {timed(search, few):8.2f} us; a request priced, 3 terms, 0.4 KB body: "
            f"{timed(lambda m: rules.price_rpc(m, BODY), methods):6.2f} us"  # noqa: B023
        )
    print(f"a price without its route: {timed(lambda _: price(Rule('x', 1000, TERMS), BODY), ['x'] * 2000):6.2f} us")


if __name__ == "__main__":
    main()
