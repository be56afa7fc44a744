"""All roles that are measured, by their names: a module's line here brings in its ``ROLES``."""

from __future__ import annotations

from importlib import import_module
from importlib.util import find_spec

from rushweir.lab.scale.samples import Role

HERE = "rushweir.lab.scale"
MODULES = (
    "roles",
)  # fmt: skip
# Measured by calls in one process. Until all of these are there, one that is absent is left out.
PURE = (
    "pure_policy",
)  # fmt: skip


def roles() -> dict[str, Role]:
    """By name, in the order in which they are run."""
    found: dict[str, Role] = {}
    for name in (*MODULES, *(p for p in PURE if find_spec(f"{HERE}.{p}") is not None)):
        for role in import_module(f"{HERE}.{name}").ROLES:
            if role.name in found:
                raise ValueError(f"two roles have the name {role.name}")
            found[role.name] = role
    return found
