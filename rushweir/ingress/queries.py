"""What a front makes of a client's bytes: a request, and whose it is. Plain records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Partner:
    """A customer as its requests are told to the policy: where its plan's quota is counted."""

    name: str
    plan: str
    gateway_count: int = 1  # ingresses that its requests may arrive through ...
    first_gateway: int = 0  # ... counted round from this one


@dataclass(slots=True)  # not frozen: one is made for each request, and freezing triples its cost
class Query:
    """A request as a front understood it."""

    cls: str
    payload: Any  # what goes to the node, in the form of its front and pool
    within_ms: float | None = None  # how long the client says that it waits; None: the class's deadline
    units: float = 1.0
    partner: Partner | None = None  # whose it is, where that is not the connection's affair
    arrived_ms: float | None = None  # when it came, where it waited for the one before it; None: now
