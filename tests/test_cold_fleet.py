"""Cold servers under the traffic of a whole fleet get more than the settings allow only by chance."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rushweir.lab.sim.cold import ColdFleet, Scene
from rushweir.policy import Policy

SCENES = {
    "six in ten in 7 s": {"starts": tuple((k * 1000.0, 2) for k in range(6))},
    "all at once, uneven, told late": {"uneven": 4.0, "told_ms": (0.0, 3000.0), "starts": ((0.0, 99),)},
    # The initial capacity counted cold servers as warm: they got up to 3.7 roots above N.
    "all at once, long work": {"load": 1.5, "work_ms": 250.0, "aim_ms": 2000.0, "starts": ((0.0, 99),)},
    "all at once, little allowed": {"work_ms": 250.0, "aim_ms": 2000.0, "starts": ((0.0, 99),),
                                    "rules": replace(Scene(1, 1).rules, fall_multiple=1.5)},
}  # fmt: skip


@pytest.mark.parametrize("ingresses", [3, 30, 200])
@pytest.mark.parametrize("name", SCENES)
def test_cold_servers_are_used_and_not_overloaded(name, ingresses):
    found = ColdFleet(Scene(ingresses, max(12, ingresses // 5), seconds=5.0, **SCENES[name])).run()
    assert found.cold_sends > 20 and found.falls == 0 and found.mean < 1.0
    assert found.served > 0.35 * found.asked


def test_model_detects_a_fleet_that_overloads_cold_servers():
    """All servers count as warm, and the in-flight capacity has no end."""

    class Greedy(Policy):
        def __init__(self, *args):
            super().__init__(*args)
            self.server_pool.warm_up = lambda server, now: 1.0
            self.capacity.find_partitions = lambda *_: [0]

    found = ColdFleet(Scene(30, 12, load=1.5, seconds=3.0, starts=((0.0, 12),)), Greedy).run()
    assert found.falls > 0
