"""The ``rollout`` block: every problem with its place, and nothing of it without the block."""

from __future__ import annotations

from pathlib import Path

import pytest

from rushweir.config import ConfigError, rollout
from rushweir.daemon.decisions import needs_restart

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
    assert [p.text for p in needs_restart(old, new)] == ["rollout: a change needs a restart, or serve --take-over"]
