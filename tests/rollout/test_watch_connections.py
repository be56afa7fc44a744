"""The choice of the control process that an ingress watches."""

from __future__ import annotations

from collections import Counter

import pytest

from rushweir.rollout import watch_connections
from rushweir.rollout.stored_settings import StoredSettings
from rushweir.rollout.watch_connections import Connect, preference
from rushweir.rollout.watcher import Watcher
from tests.rollout.conftest import KEY, Scene, whom

THREE = ("c", "d", "e")


def three(scene: Scene) -> None:
    for name in THREE:
        scene.control(name)


def test_each_name_has_its_own_order_and_first_choices_are_even() -> None:
    orders = [preference(f"ingress {k}", THREE) for k in range(700)]
    assert preference("ingress 5", ("e", "c", "d")) == orders[5]
    firsts, pairs = Counter(o[0] for o in orders), Counter(o[:2] for o in orders)
    assert all(190 < n < 280 for n in firsts.values())
    assert all(80 < n < 155 for n in pairs.values())  # each of the others gets half of the watchers of a lost one


def test_watchers_of_a_lost_control_process_spread_over_the_others_and_over_time(scene: Scene) -> None:
    three(scene)
    ingresses = [scene.ingress(f"i{k}", THREE) for k in range(120)]
    scene.run(2_000)
    gone = [i for i in ingresses if whom(i) == "c"]
    scene.kill("c")
    at: list[float] = []
    while len(at) < len(gone):
        scene.run(50)
        at += [scene.now] * (sum(whom(i) != "" for i in gone) - len(at))
    share = Counter(whom(i) for i in gone)
    assert set(share) == {"d", "e"} and min(share.values()) > len(gone) / 4
    spread = Counter(int((t - at[0]) / 300) for t in at)
    assert max(spread.values()) < len(gone) / 2  # in 0.3 s
    assert at[-1] - at[0] < 2_000


def test_without_jitter_watchers_reconnect_at_once(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the assertion of the test above can fail."""
    monkeypatch.setattr(watch_connections, "PAUSE_MS", (0.0, 0.0))
    three(scene)
    ingresses = [scene.ingress(f"i{k}", THREE) for k in range(60)]
    scene.run(2_000)
    gone = [i for i in ingresses if whom(i) == "c"]
    scene.kill("c")
    scene.run(50)
    assert all(whom(i) for i in gone)


def test_returns_to_its_first_choice_without_losing_the_working_connection(scene: Scene) -> None:
    three(scene)
    i = scene.ingress("i1", THREE)
    scene.run(2_000)
    first = whom(i)
    old = scene.controls[first]
    scene.kill(first)
    scene.run(5_000)
    second = whom(i)
    assert second not in ("", first)
    scene.controls[first] = old
    for s in list(old.sessions):
        old.closed(scene.now, s)
    for _ in range(100):
        scene.run(1_000)
        assert whom(i) in (first, second)
        scene.commit(("p", b"%d" % scene.now))
        scene.settle()
        assert i.core.version == old.store.version
    assert whom(i) == first
    assert i.core.connections.trial is None and len(i.wire) == 1


def test_first_choice_that_stays_unreachable_is_tried_less_often(scene: Scene) -> None:
    three(scene)
    i = scene.ingress("i1", THREE)
    scene.run(2_000)
    scene.kill(whom(i))
    scene.run(5_000)
    before = i.core.connections.serial
    scene.run(3_600_000)
    assert 4 < i.core.connections.serial - before < 20


def test_leaves_a_control_process_that_no_majority_hears(scene: Scene) -> None:
    three(scene)
    i = scene.ingress("i1", THREE)
    scene.run(2_000)
    first = whom(i)
    scene.controls[first].set_current(scene.now, False)
    scene.commit(("p", b"1"), controls=tuple(set(THREE) - {first}))
    scene.run(8_000)
    assert whom(i) != first
    assert i.core.version == 1


def test_without_a_majority_it_stays_until_another_has_newer_settings(scene: Scene) -> None:
    three(scene)
    i = scene.ingress("i1", THREE)
    scene.run(2_000)
    first = whom(i)
    for s in scene.controls.values():
        s.set_current(scene.now, False)
    scene.run(60_000)
    assert whom(i) == first and len(i.wire) == 1
    scene.commit(("p", b"1"), controls=tuple(set(THREE) - {first}))
    scene.run(10_000)
    assert whom(i) != first


def test_leaves_a_silent_control_process(scene: Scene) -> None:
    scene.control("c"), scene.control("d")
    i = scene.ingress("i1", ("c", "d"))
    scene.run(2_000)
    first = whom(i)
    real = scene.down
    scene.down = lambda name, order: None if name == first else real(name, order)  # type: ignore[method-assign]
    scene.run(7_000)
    assert whom(i) not in ("", first)


def test_dial_that_does_not_open_is_given_up() -> None:
    w = Watcher(0.0, "a", ("c", "d"), StoredSettings(), KEY)
    for _ in range(40):
        w.advance(w.next_at())
    dialed = [o.address for o in w.commands if isinstance(o, Connect)]
    assert len(dialed) > 8 and dialed[::2] != dialed[1::2] and set(dialed) == {"c", "d"}
    assert w.now > 1_500 * (len(dialed) - 1)
