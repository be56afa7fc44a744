"""The ``rollout`` block: every problem with its place, and nothing of it without the block."""

from __future__ import annotations

from pathlib import Path

import pytest

from rushweir.config import ConfigError, live, load_text, rollout
from rushweir.daemon.decisions import needs_restart
from rushweir.rollout.change_sets import Change

OWN = """\
ingress 0 1
zone a
listen 127.0.0.1:0
state run
list {
    url ws://127.0.0.1:9/list
}
rollout {
    control 127.0.0.1:7400
    control 127.0.0.1:7401
    key-file watch.key
}
"""


def written(folder: Path, change: tuple[str, str] = ("", ""), key: bytes = b"k" * 32, mode: int = 0o600) -> Path:
    assert change[0] in OWN
    (folder / "watch.key").write_bytes(key)
    (folder / "watch.key").chmod(mode)
    (folder / "own.conf").write_text(OWN.replace(*change) if change[0] else OWN + change[1])
    return folder / "own.conf"


def test_a_machine_s_own_settings_need_no_shared_ones(tmp_path: Path) -> None:
    found = rollout.own(written(tmp_path))
    assert found is not None and found.file.rollout is not None
    assert found.file.rollout.control == ((("127.0.0.1", 7400),), (("127.0.0.1", 7401),))
    assert not found.file.classes and not found.file.partners


def test_without_the_block_nothing_is_read_here(tmp_path: Path) -> None:
    block = OWN[OWN.index("rollout {") :]
    assert rollout.own(written(tmp_path, (block, ""))) is None


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (("state run\n", ""), "own.conf:7:1: rollout: needs state"),
        (("    key-file watch.key\n", ""), "key-file: is missing"),
        (("control 127.0.0.1:7400", "control nowhere"), "own.conf:9:5: rollout control: expected an address"),
        (("key-file watch.key", "key-file other.key"), "own.conf:11:14: key-file: "),
        (("", "class position {\n    aim 1s\n    deadline 2s\n}\n"), "own.conf:13:1: class: stands with the control"),
        (("", "partner p {\n    plan wide\n}\n"), "own.conf:13:1: partner: stands with the control processes"),
        (("control 127.0.0.1:7400", "strange 1"), "own.conf:9:5: "),
    ],
)
def test_problems_are_told_with_their_place(tmp_path: Path, change: tuple[str, str], says: str) -> None:
    with pytest.raises(ConfigError) as problem:
        rollout.own(written(tmp_path, change))
    assert says in str(problem.value)


@pytest.mark.parametrize(("key", "mode", "says"), [(b"short", 0o600, "16 bytes"), (b"k" * 32, 0o644, "chmod 600")])
def test_a_key_that_is_none_is_refused(tmp_path: Path, key: bytes, mode: int, says: str) -> None:
    with pytest.raises(ConfigError, match=says):
        rollout.own(written(tmp_path, key=key, mode=mode))


def test_other_control_processes_need_a_restart(tmp_path: Path) -> None:
    old = rollout.own(written(tmp_path))
    new = rollout.own(written(tmp_path, ("7401", "7402")))
    assert old is not None and new is not None
    assert [p.text for p in needs_restart(old, new)] == ["rollout: a change needs a restart"]


def test_a_take_over_is_named_only_where_it_is_possible(tmp_path: Path) -> None:
    """`serve --take-over` is refused where control processes have the settings."""
    old, new = rollout.own(written(tmp_path)), rollout.own(written(tmp_path, ("zone a", "zone b")))
    assert old is not None and new is not None
    assert [p.text for p in needs_restart(old, new)] == ["zone: a change needs a restart"]
    text = OWN[: OWN.index("rollout {")] + "class c {\n    aim 1s\n    deadline 2s\n}\nplan p {\n}\n"
    alone = [load_text(text.replace("zone a", zone), "x", tmp_path) for zone in ("zone a", "zone b")]
    assert [p.text for p in needs_restart(*alone)] == ["zone: a change needs a restart, or serve --take-over"]
    for one, other in ((old, alone[1]), (alone[0], new)):  # with the block on one side only
        both = {f"{name}: a change needs a restart" for name in ("zone", "rollout")}
        assert {p.text for p in needs_restart(one, other)} == both


def test_what_a_restart_has_to_forget_is_named(tmp_path: Path) -> None:
    """Budgets come with a step, and an ingress is bound to them: from what it kept it would refuse it again."""
    path = written(tmp_path)
    kept = [(("class", "c"), b"aim 1s\ndeadline 2s\n"), (("plan", "p"), b""), (("budgets", ""), b"floor 0.5\n")]
    step = Change(("budgets", ""), b"floor 0.25\n")
    started = live.assemble(path, kept, 1)
    new, _ = live.told(started, [step], 2)
    says = "budgets: a change needs a restart without its kept settings"
    assert [p.text for p in needs_restart(started, new)] == [says]
    assert live.assemble(path, [*kept[:2], (step.key, step.data)], 2).file.budgets.floor == 0.25
