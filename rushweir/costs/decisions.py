"""The price of a request by its route and its body. No I/O, no clock.

A rule has a base amount and terms: an amount for each kilobyte of the body, for each entry of an array, times the
value of a number, or for a field that is present. It is compiled once, when the settings are read. A body is examined
once, and nothing whose length a client controls is iterated: an array's length is known, a field is found by name.

If a field is not of the type that its term counts, the term adds nothing: the node will report the actual cost in its
answer, which settles the ledger's entry. A price is within the rule's minimum and maximum in any case.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from dataclasses import field as dataclass_field
from enum import Enum
from typing import Any

import orjson

from rushweir.costs import amounts
from rushweir.costs.routes import Routes, http_route, rpc_route

KILOBYTE = 1024  # bytes
MAX_TERMS = 32  # of one rule
MAX_DEPTH = 8  # names of one field
FIELD = re.compile(r"[^\s.{}\"#]{1,64}(?:\.[^\s.{}\"#]{1,64}){0,7}\Z")
MAX_VALUE = 10**6  # larger numbers in a body are counted as this


class TermKind(Enum):
    """What a term counts."""

    SIZE = "per-kilobyte"  # of the body as compact JSON: white space causes no work
    ENTRIES = "each"  # entries of an array
    VALUE = "times"  # the value of a number
    PRESENT = "present"  # 1 if a field is there and neither null nor false


@dataclass(frozen=True, slots=True)
class Term:
    """One addend of a rule: an amount for each unit that it counts in a field of the body."""

    kind: TermKind
    field: tuple[str, ...]
    amount: int  # thousandths, for each counted

    def __str__(self) -> str:
        return f"{self.kind.value} {'.'.join(self.field)}".strip()


@dataclass(frozen=True, slots=True)
class Rule:
    """The price of one route. Amounts are in thousandths of a unit."""

    name: str  # the pattern, or "default"
    base: int
    terms: tuple[Term, ...] = ()
    minimum: int = 0
    maximum: int = amounts.MAX_AMOUNT
    # Finds where the settings define the rule; called only when needed.
    locations: Any = dataclass_field(default=None, compare=False, repr=False)

    @property
    def location(self) -> str:
        """Where the settings define the rule, FILE:LINE; empty if unknown."""
        return self.locations.origin(self.name) if self.locations is not None else ""


@dataclass(frozen=True, slots=True)
class Price:
    """What a request costs in thousandths of a unit, with the rule and each term that added something."""

    amount: int
    rule: Rule
    additions: tuple[tuple[str, int, int], ...] = ()  # term, how many it counted (thousandths), what it added


def parse_field(text: str) -> tuple[str, ...]:
    """The names of a field such as ``trip.stops``. Raises ValueError."""
    if not FIELD.match(text):
        raise ValueError(f"a field such as trip.stops, {MAX_DEPTH} names deep at most")
    return tuple(text.split("."))


class CostRules:
    """All rules, compiled, and the default rule of routes that match none."""

    def __init__(self, default: Rule, rules: Iterable[Rule] = (), max_amount: int = amounts.MAX_AMOUNT) -> None:
        """``max_amount``: the limit of any request's price, in thousandths of a unit. Raises RouteError."""
        self.default = default
        self.max_amount = max_amount
        self.routes: Routes[Rule] = Routes()
        for rule in rules:
            self.routes.add(rule.name, rule)

    def price_rpc(self, method: str, body: Any) -> Price:
        """The price of a JSON-RPC request."""
        return self._price(self.routes.find(rpc_route(method)) or self.default, body)

    def price_http(self, method: str, path: str, body: Any) -> Price:
        """The price of an HTTP request; a rule for any method (``*``) applies if none names this method."""
        rule = self.routes.find(http_route(method, path))
        return self._price(rule or self.default, body)

    def _price(self, rule: Rule, body: Any) -> Price:
        found = price(rule, body)
        return found if found.amount <= self.max_amount else replace(found, amount=self.max_amount)


def price(rule: Rule, body: Any) -> Price:
    """The price of a body by a rule, in thousandths; each term is rounded to the nearest, halves up."""
    total, additions = rule.base, []
    for term in rule.terms:
        count = _count(term, body)
        if count:
            added = (count * term.amount + 500) // 1000
            total += added
            additions.append((str(term), count, added))
    return Price(min(rule.maximum, max(rule.minimum, total)), rule, tuple(additions))


def _count(term: Term, body: Any) -> int:
    """How many a term counts in a body, in thousandths."""
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
        return min(MAX_VALUE, max(0, body)) * 1000
    if type(body) is float and body > 0:
        return int(min(MAX_VALUE, body) * 1000 + 0.5)
    return 0
