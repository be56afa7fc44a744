"""A change of settings costs what it changes: the roles that measure it, and a fault that makes them say so."""

from __future__ import annotations

import pytest

from rushweir.lab.scale import rollout_roles
from rushweir.lab.scale.rollout_roles import Fleet, MeteredSending, _changed, zone_returns
from rushweir.lab.sim.rollout_plants import Bulky


class BulkySending(MeteredSending, Bulky):
    """A step that carries the whole."""


def figures(ingresses: int, objects: int) -> dict[str, float]:
    return {s.figure: s.value for s in _changed("rollout", "objects", objects, ingresses, objects)}


def flat(one: float, other: float) -> bool:
    return abs(one / other - 1) < 0.1


def test_a_change_costs_the_same_bytes_however_large_the_settings_and_the_fleet_are():
    small, large, many = figures(6, 100), figures(6, 800), figures(18, 100)
    assert flat(small["change_bytes"], large["change_bytes"]) and flat(small["change_bytes"], many["change_bytes"])
    assert large["whole_bytes"] > 5 * small["whole_bytes"]
    assert all(x["in_force_last"] < 11.0 for x in (small, large, many))


def test_a_step_that_carries_the_whole_is_seen(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(Fleet, "sending", BulkySending)
    assert not flat(figures(6, 100)["change_bytes"], figures(6, 800)["change_bytes"])


def test_a_zone_that_returns_gets_what_it_missed_and_not_the_whole(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(rollout_roles, "OBJECTS", 600)
    found = {s.figure: s.value for s in zone_returns(12)}
    assert 0 < found["back"] < 11.0 and found["back_bytes"] < figures(6, 600)["whole_bytes"] / 2


def test_what_never_comes_into_force_is_told(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(rollout_roles, "MOST_MS", 3_000.0)
    world = Fleet(6, 50)
    world.begin()
    world.cut |= {frozenset((a, b)) for a in range(6) for b in range(6)}
    world.log.append(world.log[-1])
    with pytest.raises(RuntimeError, match="not in force everywhere after 3 s"):
        world.until_all()


def test_what_is_timed_and_what_is_counted_are_all_figures_together():
    role = next(r for r in rollout_roles.ROLES if r.name == "rollout")
    parts = [{s.figure for s in part(6)} for part in (role.measure, role.counted)]
    assert parts[0] == {"control_idle_cpu", "change_cpu", "control_change_cpu"}
    assert parts[1] == set(figures(6, 100)) - parts[0] and "change_bytes" in parts[1]
