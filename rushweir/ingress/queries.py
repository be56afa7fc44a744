"""Requests as a front parsed them, and the partners they come from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Partner:
    """A customer: its name, its plan, and the gateways over which its quota is counted."""

    name: str
    plan: str
    gateway_count: int = 1  # its requests may arrive through so many ingresses ...
    first_gateway: int = 0  # ... whose numbers follow this one


@dataclass(slots=True)  # not frozen: one is made for each request, and freezing triples its cost
class Query:
    """A client's request as a front parsed it."""

    class_name: str
    payload: Any  # what the node gets, in the form that the front and the pool agree on
    within_ms: float | None = None  # how long the client waits; None: until the deadline of the class
    units: float = 1.0
    partner: Partner | None = None  # None: the partner of the connection
    arrived_ms: float | None = None  # when it was read, if it waited behind an earlier request; None: now
