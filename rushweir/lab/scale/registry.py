"""All roles that are measured, by their names: a module's line here brings in its ``ROLES``."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from importlib import import_module

from rushweir.lab.scale.bounds import Need
from rushweir.lab.scale.samples import Role

HERE = "rushweir.lab.scale"
MODULES = (
    "roles",
    "path",
    "burst",
    "event_roles",
    "rollout_roles",
)  # fmt: skip
# Measured by calls in one process, or by processes that are there for one call.
PURE = (
    "pure_policy",
    "pure_mail",
    "pure_list",
    "pure_pool",
    "pure_costs",
    "pure_counter",
    "pure_watch",
    "pure_settings",
)  # fmt: skip
ROUNDS = 3  # of these: a busy moment of the machine then hurts one value of three, which the median drops


def needs(wanted: list[tuple[str, int]]) -> Iterator[tuple[str, int, Need]]:
    """What the roles take that say so beforehand. Raises DoesNotFit."""
    modules = [import_module(f"{HERE}.{name}") for name in MODULES]
    known = {role.name: m.need for m in modules if hasattr(m, "need") for role in m.ROLES}
    for name, size in wanted:
        if name in known:
            yield name, size, known[name](name, size)


def preparers() -> list[Callable[[list[tuple[str, int]], Callable[[str], None]], None]]:
    """What may do much of the work ahead: each is told all names and sizes that are wanted, and takes its own."""
    modules = (import_module(f"{HERE}.{name}") for name in MODULES)
    return [m.prepare for m in modules if hasattr(m, "prepare")]


def roles() -> dict[str, Role]:
    """By name, in the order in which they are run."""
    found: dict[str, Role] = {}
    for name in (*MODULES, *PURE):
        for role in import_module(f"{HERE}.{name}").ROLES:
            if role.name in found:
                raise ValueError(f"two roles have the name {role.name}")
            found[role.name] = replace(role, rounds=ROUNDS) if name in PURE else role
    return found
