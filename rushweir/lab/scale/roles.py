"""The roles that are measured on a fleet of hollow ingresses in real time, with real ones among them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any

from rushweir.lab.scale import figures, fleet
from rushweir.lab.scale.fleet import Times
from rushweir.lab.scale.samples import Role, Sample
from rushweir.lab.scale.scene import Scene

SIZES = (25, 50, 100, 150)
REAL = 3  # beside the hollow ones
RATES, RATE_MEMBERS = (5, 20, 60, 143), 16
LISTS, LIST_MEMBERS = (100, 1_000, 4_000, 7_600), 8
DOORS, DOOR_MEMBERS = (3, 9, 18, 27), 27


def say(text: str) -> None:
    """Progress of a run; its processes are not news."""
    if not text.startswith("process "):
        print(f"         {text}", flush=True)


@cache
def played(scene: Scene, times: Times = Times()) -> dict[str, Any]:  # noqa: B008 - plain and frozen
    """One run serves all roles that look at the same scene."""
    return asyncio.run(fleet.run(scene, times, say))


def _calm(figure: Callable[[dict[str, Any]], Iterator[Sample]]) -> Callable[[int], list[Sample]]:
    return lambda size: list(figure(played(Scene(size, min(REAL, max(0, size - 4))))))


def _by_rate(size: int) -> list[Sample]:
    times = Times(idle=0.0, warm=6.0, driven=10.0)
    run = played(Scene(RATE_MEMBERS, per_s=float(size)), times)
    by = "requests a second of each"
    return [Sample("rate", s.figure, s.unit, by, size, s.value, s.how, s.seconds) for s in figures.mail(run)]


def _by_doors(size: int) -> list[Sample]:
    run = played(Scene(DOOR_MEMBERS, per_s=10.0, doors=size), Times(idle=0.0, warm=12.0, driven=12.0))
    return list(figures.budgets(run, "doors", "doors of a tenant", size))


def _by_list(size: int) -> list[Sample]:
    scene = Scene(LIST_MEMBERS, per_s=0.0, tenants=50, shared=0, backends=size, changes_per_s=4.0)
    return list(figures.watcher(played(scene, Times(idle=8.0, driven=0.0)), "list", "backends", size))


ROLES = (
    Role("ingress", "All that control costs one ingress", figures.BY, SIZES, _calm(figures.whole)),
    Role("mail", "Keeper and door of quotas", figures.BY, SIZES, _calm(figures.mail)),
    Role("member", "Member of the fleet", figures.BY, SIZES, _calm(figures.member)),
    Role("seed", "Seed of the fleet", figures.BY, SIZES, _calm(figures.seed)),
    Role("chair", "Seed in the chair", figures.BY, SIZES, _calm(figures.chair)),
    Role("budgets", "Home and holder of lent ceilings", figures.BY, SIZES, _calm(figures.budgets)),
    Role("watcher", "Watcher of the list, and the list's service", figures.BY, SIZES, _calm(figures.watcher)),
    Role("check", "Hollow ingresses beside real ones", figures.BY, SIZES, _calm(figures.check)),
    Role("rate", "Quotas as requests grow, 16 ingresses", "requests a second of each", RATES, _by_rate),
    Role("list", "The list as it grows, 8 ingresses", "backends", LISTS, _by_list),
    Role("doors", "Lent ceilings as doors grow, 27 ingresses", "doors of a tenant", DOORS, _by_doors),
)
