"""What a request costs, by its route and its body. No I/O, no clock.

A rule is a base and terms: so much for each kilobyte of the body, for each entry of an array, for a number's
value, for a field that is there. It is compiled once, when the settings are read. A body is looked at once, and
nothing that a client can make long is walked: an array's length is known, a field is found by its names.

Where a field is not of the kind that its term counts, the term adds nothing: the node will answer with the truth,
and that settles (ledger). A price lies between the rule's minimum and maximum in any case.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from dataclasses import field as record_field
from enum import Enum
from typing import Any

import orjson

from rushweir.costs import amounts
from rushweir.costs.routes import Routes, http_route, rpc_route

KILOBYTE = 1024
MAX_TERMS, MAX_DEPTH = 32, 8
FIELD = re.compile(r"[^\s.{}\"#]{1,64}(?:\.[^\s.{}\"#]{1,64}){0,7}\Z")
MOST_VALUE = 10**6  # a number in a body counts for no more


class TermKind(Enum):
    """What a term counts."""

    SIZE = "per-kilobyte"  # of the body as compact JSON: white space is no work
    ENTRIES = "each"  # entries of an array
    VALUE = "times"  # a number
    PRESENT = "present"  # whether a field is there, and neither null nor false


@dataclass(frozen=True, slots=True)
class Term:
    kind: TermKind
    field: tuple[str, ...]
    amount: int  # thousandths, for each counted

    def __str__(self) -> str:
        return f"{self.kind.value} {'.'.join(self.field)}".strip()


@dataclass(frozen=True, slots=True)
class Rule:
    """The price of one route. Amounts in thousandths of a unit."""

    name: str  # the pattern, or "default"
    base: int
    terms: tuple[Term, ...] = ()
    minimum: int = 0
    maximum: int = amounts.MAX_AMOUNT
    places: Any = record_field(default=None, compare=False, repr=False)  # of the settings, asked when needed

    @property
    def location(self) -> str:
        """The place in the settings, FILE:LINE."""
        return self.places.origin(self.name) if self.places is not None else ""


@dataclass(frozen=True, slots=True)
class Price:
    """What a request costs, and why: the rule, and each part that added something."""

    amount: int
    rule: Rule
    parts: tuple[tuple[str, int, int], ...] = ()  # term, how many were counted (thousandths), what it added


def parse_field(text: str) -> tuple[str, ...]:
    """The names of a field such as ``trip.stops``. Raises ValueError."""
    if not FIELD.match(text):
        raise ValueError(f"a field such as trip.stops, {MAX_DEPTH} names deep at most")
    return tuple(text.split("."))


class CostRules:
    """All rules, compiled; one that stands for a route that has none."""

    def __init__(self, default: Rule, rules: Iterable[Rule] = (), max_amount: int = amounts.MAX_AMOUNT) -> None:
        """``max_amount``: what any request costs at most. Raises RouteError."""
        self.default = default
        self.max_amount = max_amount
        self.routes: Routes[Rule] = Routes()
        for rule in rules:
            self.routes.add(rule.name, rule)

    def price_rpc(self, method: str, body: Any) -> Price:
        """The price of a JSON-RPC request."""
        return self._price(self.routes.find(rpc_route(method)) or self.default, body)

    def price_http(self, verb: str, path: str, body: Any) -> Price:
        """The price of an HTTP request; a rule for any method (``*``) is found where none names this one."""
        rule = self.routes.find(http_route(verb, path))
        return self._price(rule or self.default, body)

    def _price(self, rule: Rule, body: Any) -> Price:
        found = price(rule, body)
        return found if found.amount <= self.max_amount else replace(found, amount=self.max_amount)


def price(rule: Rule, body: Any) -> Price:
    """What a body costs by a rule, in whole thousandths; each term is rounded to the nearest, halves up."""
    whole, parts = rule.base, []
    for term in rule.terms:
        count = _count(term, body)
        if count:
            added = (count * term.amount + 500) // 1000
            whole += added
            parts.append((str(term), count, added))
    return Price(min(rule.maximum, max(rule.minimum, whole)), rule, tuple(parts))


def _count(term: Term, body: Any) -> int:
    """How many a term counts, in thousandths."""
    if term.kind is TermKind.SIZE:
        return 0 if body is None else len(orjson.dumps(body)) * 1000 // KILOBYTE
    for name in term.field:
        if type(body) is not dict or (body := body.get(name)) is None:
            return 0
    if term.kind is TermKind.ENTRIES:
        return len(body) * 1000 if type(body) is list else 0
    if term.kind is TermKind.PRESENT:
        return 1000 if body is not False else 0
    if type(body) is int:
        return min(MOST_VALUE, max(0, body)) * 1000
    if type(body) is float and body > 0:
        return int(min(MOST_VALUE, body) * 1000 + 0.5)
    return 0
