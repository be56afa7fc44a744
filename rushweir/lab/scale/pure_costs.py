"""Cost routes: a request's price, the rules' memory, and settings that hold them, by the number of routes."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Iterator
from pathlib import Path

from rushweir.costs.decisions import CostRules, Rule, Term, TermKind
from rushweir.lab.scale.pure_measure import child, cpu, traced
from rushweir.lab.scale.pure_settings import FEW, settings_text
from rushweir.lab.scale.samples import Role, Sample

BODY = {"trip": {"from": "Keleti", "to": "Ferihegy", "stops": ["a", "b", "c"]}, "people": 3, "note": "x" * 300}
TERMS = (
    Term(TermKind.SIZE, (), 100),
    Term(TermKind.ENTRIES, ("trip", "stops"), 500),
    Term(TermKind.VALUE, ("people",), 250),
)
PRICES = 1_000  # in a block that is timed
COST = 'cost "{name}" {{\n    base 1.5\n    per-kilobyte 0.1\n}}\n'


def names(count: int) -> list[str]:
    """Routes of methods, one in ten with a part that may be anything."""
    return [f"area{k % 100}.thing{k}" + ("" if k % 10 else ".{what}") for k in range(count)]


def rules_of(known: list[str]) -> CostRules:
    return CostRules(Rule("default", 1000), [Rule(n, 1000, TERMS) for n in known])


def read_of(known: list[str]) -> dict[str, float]:
    """What a fresh process says that reads settings with these."""
    with tempfile.TemporaryDirectory(prefix="rushweir-scale-") as folder:
        file = Path(folder, "main.conf")
        file.write_text(settings_text(FEW) + "".join(COST.format(name=n) for n in known))
        return child("rushweir.lab.scale.pure_settings", str(file))


def memory(size: int) -> Iterator[Sample]:
    role, by, known = "costs", "routes", names(size)
    _, held = traced(lambda: rules_of(known))
    yield Sample(role, "memory_of_rules", "MB", by, size, held / 1e6, "core")


def routes(size: int) -> Iterator[Sample]:
    role, by, known = "costs", "routes", names(size)
    rules = rules_of(known)
    rng = random.Random(size)
    asked = [rng.choice(known).replace("{what}", "x") for _ in range(PRICES)]

    def priced() -> None:
        for method in asked:
            rules.price_rpc(method, BODY)

    if any(rules.price_rpc(m, BODY).rule is rules.default for m in asked):
        raise RuntimeError("a route was not found")
    yield Sample(role, "price_cpu", "us", by, size, cpu(priced) / PRICES * 1e6, "core")
    told = read_of(known)
    yield Sample(role, "cpu_to_read", "s", by, size, told["made_s"], "core")
    yield Sample(role, "memory_of_settings", "MB", by, size, told["bytes"] / 1e6, "core")


ROLES = (Role("costs", "Cost routes", "routes", (100, 1_000, 3_000, 9_300), routes, memory),)
