"""Day files of the bench's form, made up here: what of them is played, and what is named as not played."""

from __future__ import annotations

import copy
import time

import orjson
import pytest

from rushweir.config.text import ConfigError
from rushweir.lab.day import load_text
from rushweir.lab.replay import ReplayError, load
from rushweir.lab.traffic import capacity, concerns, schedule

CLASS = {
    "name": "ask",
    "share": 1.0,
    "work": 40_000.0,
    "cv": 0.5,
    "aim": 500_000,
    "deadline": 2_000_000,
    "worth": 1.0,
    "late_worth": 0.0,
    "effect": "safe",
    "group": "all",
    "window": 0,
}
PLAN = {
    "customers": 4,
    "rate": 5.0,
    "burst": 9.0,
    "open": 0,
    "ceiling_rate": 0.0,
    "ceiling_burst": 0.0,
    "slack": 0.0,
    "price": 1.0,
    "over_worth": 0.0,
    "over_cost": 0.0,
    "size": 5.0,
    "spread": [0.5, 1.0],
}
KIND = {
    "name": "one",
    "cores": 2,
    "slots": 8,
    "queue": 9,
    "thrash": 0.1,
    "knee": 8.0,
    "cold_from": 0.3,
    "cold": 9_000_000,
}
DAY = {
    "v": 1,
    "family": "gate",
    "length": 20_000_000,
    "zones": ["x", "y"],
    "servers": [{"zone": k % 2, "kind": 0, "cell": k % 2, "speed": 1.0, "weight": 2.0} for k in range(4)],
    "balancers": [{"zone": 0}, {"zone": 1}],
    "tiers": [{"kinds": [KIND], "stated_cold_from": 0.2, "stated_cold": 9_500_000}],
    "classes": [CLASS, {**CLASS, "name": "put", "effect": "keyed", "group": "zone", "window": 3_000_000}],
    "tenants": [{"name": "p"}, {"name": "q"}],
    "traffic": {"load": 0.5},
    "clients": {"retries": 1, "backoff_us": 50_000.0, "honour": 0.5, "try_share": 0.9, "max_retry_after": 400_000},
    "discovery": {"notice": 300_000, "silent_notice": 2_000_000},
    "allow": {"peer_delay": 2000, "max_attempts": 3, "second_copies": False},
    "drain_grace": 700_000,
    "fall_multiple": 2.5,
    "fall_for": 1_200_000,
    "fam": {
        "seed": 5,
        "plans": [PLAN, {**PLAN, "rate": 0.0, "open": 2}],
        "calm": 0.3,
        "full": 0.2,
        "heavy": 0.1,
        "heavy_x": [2, 3],
        "spiky": 0.5,
        "spike_x": [2, 3],
        "spike_s": [1, 2],
        "spike_every_s": 5.0,
        "units": "one",
        "most_units": 1,
        "peer_loss": 0.01,
        "meter": 1_000_000,
        "meter_late": 200_000,
        "counter": None,
    },
    "troubles": [],
}


def trouble(kind, on=(), size=0.5, extra=0.4, which=0, **more):
    return {
        "kind": kind,
        "at": 4_000_000,
        "len": 3_000_000,
        "size": size,
        "extra": extra,
        "on": list(on),
        "which": which,
        "steps": [],
        **more,
    }


def played(tmp_path, *troubles, scale=1.0, **changes):
    o = copy.deepcopy(DAY) | {"troubles": list(troubles)}
    for path, value in changes.items():
        part, _, name = path.partition("__")
        o[part][name] = value
    (tmp_path / "day.json").write_bytes(orjson.dumps(o))
    return load(tmp_path / "day.json", scale)


def test_sizes_plans_and_figures(tmp_path):
    day = played(tmp_path)
    assert (day.length, day.ingress_rooms, len(day.nodes), capacity(day)) == (20_000.0, ("x", "y"), 4, 8.0)
    assert [(c.name, c.repeat, c.window, c.work) for c in day.classes] == [
        ("ask", "safe", 0, 40),
        ("put", "keyed", 3000, 40),
    ]
    assert [(p.name, p.partners, p.rate, p.open) for p in day.plans] == [("p", 4, 5, 0), ("q", 4, 0, 2)]
    assert day.rules["drain_grace"] == 700 and day.rules["cold_time"] == 9500 and not day.not_played
    first = schedule(day)
    assert first == schedule(played(tmp_path)) and len(first) > 200
    assert {p.door for p in first} == {0, 1} and all(0 <= p.t < 20_000 for p in first)


@pytest.mark.parametrize(
    ("given", "what", "on", "size"),
    [
        (trouble("crash", [1]), "kill", (1,), 1.0),
        (trouble("mass_restart", [0, 2], how="restart"), "kill", (0, 2), 1.0),
        (trouble("mass_restart", [0, 2], how="silence"), "silence", (0, 2), 1.0),
        (trouble("vanish", [3]), "silence", (3,), 1.0),
        (trouble("fast_errors", [2], 0.7), "errors", (2,), 0.7),
        (trouble("shared_slow", [], 2.0), "slow", (0, 1, 2, 3), 2.0),
        (trouble("tenant_burst", [], 3.0, which=1), "storm", ("q",), 3.0),
        (trouble("zone_cut", which=1), "cut", ("y",), 1.0),
        (trouble("zone_loss", which=1, size=0.1), "kill", (1, 3), 1.0),
        (trouble("balancer_crash", [1]), "crash", (1,), 1.0),
        (trouble("reconnect"), "shift", (), 0.5),
    ],
)
def test_troubles_as_ours(tmp_path, given, what, on, size):
    (t,) = played(tmp_path, given).troubles
    assert (t.what, t.on, t.size, t.at) == (what, on, size, 4000.0)


def test_rolls_hot_keys_and_lost_zones_with_their_ingresses(tmp_path):
    roll = trouble("balancer_roll", extra=0.6, steps=[{"at": 5_000_000, "stop": [0]}, {"at": 7_000_000, "stop": [1]}])
    assert [(t.at, t.on, t.length) for t in played(tmp_path, roll).troubles] == [(5000, (0,), 600), (7000, (1,), 600)]
    (hot,) = played(tmp_path, trouble("hot_key", size=0.1, extra=1.5)).troubles
    assert hot.what == "storm" and len(hot.on) == 1 and hot.size > 1
    lost = played(tmp_path, trouble("zone_loss", which=0, size=0.9, extra=0.9)).troubles
    assert [(t.what, t.on) for t in lost] == [("silence", (0, 2)), ("crash", (0,))]


def test_what_is_not_played_is_named(tmp_path):
    day = played(
        tmp_path, trouble("give_up"), trouble("hot_caller"), scale=0.5, fam__units="after", allow__second_copies=True
    )
    assert "give_up" in day.not_played and "hot_caller" in day.not_played and "second copies" in day.not_played
    assert any("2 of 4 nodes" in x for x in day.not_played) and any("settlement" in x for x in day.not_played)


def test_a_file_that_is_no_day(tmp_path):
    file = tmp_path / "x.json"
    with pytest.raises(ReplayError, match="No such file"):
        load(file)
    for text, why in (
        (b"{", "not JSON"),
        (b"{}", "'v' is missing"),
        (orjson.dumps({**DAY, "v": 2}), "v 1"),
        (orjson.dumps({k: v for k, v in DAY.items() if k != "fam"}), "'fam'"),
    ):
        file.write_bytes(text)
        with pytest.raises(ReplayError, match=why):
            load(file)


def test_schedules_follow_storms_at_any_scale_quickly():
    text = (
        "length 20s\nload 0.3\nkind k {\n cores 2\n}\nnodes 2 k\nclass c {\n aim 1s\n deadline 2s\n repeat safe\n}\n"
        "plan a {\n partners 20\n rate 5/s\n burst 9\n}\nat 5s storm partner a-3 for 5s by 8\n"
    )
    began = time.perf_counter()
    found = schedule(load_text(text, "x.day"))
    assert time.perf_counter() - began < 20
    hot = [p for p in found if p.partner == "a-3"]
    inside = [p for p in hot if 5000 <= p.t < 10_000]
    assert len(inside) > len(hot) / 2
    assert concerns(("a",), "a-3") and concerns(("a-3",), "a-3") and not concerns(("a-4",), "a-3")


def test_day_files_name_their_errors():
    with pytest.raises(ConfigError) as caught:
        load_text("length 4\nat 3s dance node 1\nclass c {\n aim 3\n}\nnodes 2 none\n", "x.day")
    told = str(caught.value)
    for place in ("x.day:1:1", "x.day:2:1", "x.day:4:6", "x.day:6:1", "needs nodes"):
        assert place in told
