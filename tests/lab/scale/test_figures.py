"""Samples worked out from a run that is made up here: sums, means, and hollow over real."""

from __future__ import annotations

from typing import Any

import pytest

from rushweir.lab.scale import figures, short

REAL = "127.0.0.1:9"


def hollow(place: int, group: str, mail: int, probes: int) -> dict[str, Any]:
    """Ten seconds of one: each datagram has 100 bytes; of its mail a fifth is with the real one."""
    return {
        "place": str(place), "group": group, "at": 10.0,
        "sent": {"mail": [mail, mail * 100], "probe": [probes, probes * 100], "list": [1, 6]},
        "got": {"mail": [mail, mail * 100], "probe": [probes, probes * 100], "list": [20, 3200]},
        "cpu": {"mail": [mail, 0.2], "probe": [probes, 0.05], "tick": [100, 0.1], "tick.fleet": [50, 0.04],
                "request": [200, 0.15], "module.Request": [200, 0.1], "module.Members": [20, 0.02],
                "module.PeerMessage": [mail, 0.06], "list": [20, 0.03], "module.Outcome": [150, 0.05]},
        "by_peer": {REAL: {"sent": {"mail": [mail // 5, mail * 20], "probe": [probes // 5, probes * 20]},
                           "got": {"mail": [mail // 5, mail * 20], "probe": [probes // 5, probes * 20]}}},
        "engine": {"requests": 200, "served": 150, "refused": 50}, "peers": {}, "fleet": {}, "budgets": {},
        "has": {"held": "0", "homes": "0", "faults": "0", "age": "0", "ended": "", "level": "0"},
    }  # fmt: skip


def run(size: int = 6, mail: int = 300, told: int = 120) -> dict[str, Any]:
    groups = ["chair", "seed", "seed", *["member"] * (size - 4)]
    window = {
        "at": 10.0, "members": {str(k): hollow(k, g, mail, 50) for k, g in enumerate(groups)},
        "workers": [{"at": 10.0, "cpu_s": 0.63 * len(groups), "memory_kb": "400", "count": str(len(groups))}],
        "list": {"at": 10.0, "cpu_s": 0.4, "changes": 20, "due": 120, "told": {"delta": told}, "watchers": size},
        "real": {"at": 10.0, "processes": [{"cpu_s": 0.9, "memory_kb": "60000"}]},
        "crowd": {"asked": 200, "served": 150},
    }  # fmt: skip
    return {"scene": {"members": size, "real": 1}, "together_s": 4.0, "start": window, "idle": window,
            "driven": window, "real_at": [REAL]}  # fmt: skip


def of(samples) -> dict[str, float]:
    return {s.figure: s.value for s in samples}


def test_traffic_is_of_one_ingress_a_second():
    found = of(figures.mail(run()))
    assert (found["sent_datagrams"], found["sent_bytes"]) == (30.0, 3000.0)
    assert found["sent_for_request"] == 1.5 and found["requests"] == 20.0
    assert found["request_us"] == pytest.approx(500.0) and found["message_us"] == pytest.approx(200.0)
    assert (found["served_share"], found["refused_share"]) == (0.75, 0.25)
    assert of(figures.member(run()))["sent_bytes"] == 500.0  # the fleet's alone, without mail


def test_what_is_timed_within_a_turn_is_not_counted_twice():
    found = of(figures.whole(run()))
    # Turns: mail, probe, tick, request and list. Requests: theirs, and the outcomes within ticks.
    assert found["cpu_requests"] == pytest.approx(20.0)
    assert found["cpu_control"] == pytest.approx(53.0 - 20.0)
    assert found["cpu_loop"] == pytest.approx(63.0 - 53.0)
    assert found["memory"] == 400.0


def test_hollow_over_real_is_one_where_they_do_the_same():
    # A hollow one sends 240 to the four other hollow ones; the real one got 60 from each of five, and sent as many.
    found = of(figures.check(run()))
    assert found["mail_sent_datagrams"] == found["mail_got_bytes"] == pytest.approx(240 / 4 / (300 / 5))
    assert found["cpu_driven_real"] == 90.0 and found["cpu_driven_hollow"] == 63.0
    one = run()
    for m in one["driven"]["members"].values():
        m["by_peer"][REAL]["got"]["mail"] = [30, 3000]  # the real one sends half of what hollow ones do
    assert of(figures.check(one))["mail_sent_datagrams"] == pytest.approx(2.0)


def test_a_change_of_the_list_is_counted_by_those_that_took_it():
    found = of(figures.watcher(run()))
    assert found["change_bytes"] == 160.0 and found["change_cpu"] == pytest.approx(1.5)
    assert found["source_cpu_for_change"] == 20.0 and found["source_sent_for_change"] == 6.0


def test_bounds_hold_of_runs_that_keep_them_and_name_what_does_not():
    assert short.judge(run(), run(12)) == []
    assert short.growth(2.0, 8.0, (10, 20)) == pytest.approx(2.0)
    assert short.judge(run(), run(12, mail=345)) == []  # a seventh more at twice the size, and just what is allowed
    broken = short.judge(run(), run(12, mail=900))
    assert any("messages of the quotas for a request: 1.5 at 6, 4.5 at 12: grows by 1.58" in x for x in broken)
    assert any("place 0: 900 datagrams of mail in 10.0 s, 33/s and 15 allowed" in x for x in broken)
    assert any("to be told one by one" in x for x in short.judge(run(), run(12, told=119)))
