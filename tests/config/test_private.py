"""Keys and the users' file: the same rules wherever one is named, and each problem with its place."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from rushweir.config import ConfigError, load_text, rollout
from rushweir.config.control import load_control
from rushweir.config.private import LINE_END, MOST_FILE, MOST_KEY, read_key, read_private
from rushweir.config.text import Spot

OWN = "ingress 0 1\nzone a\nlisten 127.0.0.1:0\n"
REST = "list {\n    url ws://127.0.0.1:9/l\n}\nclass c {\n    aim 1s\n    deadline 2s\n}\nplan p {\n}\n"
CONTROL = "control 0\nprocess 0 127.0.0.1:7400\nstate s\nkey-file {}\nwatch-key-file {}\nsocket s.sock\n"


def written(folder: Path, text: str) -> Path:
    (folder / "x.conf").write_text(text)
    return folder / "x.conf"


def of_peers(folder: Path) -> bytes | None:
    peers = "peers {\n    bind 127.0.0.1:0\n    key-file key\n}\n"
    return load_text(OWN + peers + REST, str(folder / "x.conf"), folder).peer_key


def of_control(folder: Path) -> bytes | None:
    return load_control(written(folder, CONTROL.format("key", "good"))).key


def of_watch(folder: Path) -> bytes | None:
    return load_control(written(folder, CONTROL.format("good", "key"))).watch_key


def of_rollout(folder: Path) -> bytes | None:
    block = "rollout {\n    control 127.0.0.1:7400\n    key-file key\n}\n"
    text = OWN + "state run\nlist {\n    url ws://127.0.0.1:9/l\n}\n" + block
    assert rollout.own(written(folder, text)) is not None
    return read_key(folder / "key", "key-file", Spot("", 1, 1))


WHERE = [(of_peers, "6:14: key-file: "), (of_control, "4:1: key-file: "), (of_watch, "5:1: watch-key-file: "),
         (of_rollout, "10:14: key-file: ")]  # fmt: skip


def put(folder: Path, key: bytes, mode: int = 0o600, name: str = "key") -> None:
    (folder / name).write_bytes(key)
    (folder / name).chmod(mode)


@pytest.mark.parametrize(("load", "place"), WHERE)
@pytest.mark.parametrize(
    ("key", "mode", "says"),
    [
        (b"k" * 32, 0o640, "can be read by others; chmod 600 is needed"),
        (b"k" * 32, 0o602, "can be read by others; chmod 600 is needed"),
        (b"k" * 5, 0o640, "can be read by others; chmod 600 is needed"),  # nothing is said of what is not taken
        (b"k" * 15 + b"\n", 0o600, "16 bytes at least"),
        (b"k" * (MOST_KEY + 1), 0o600, "4096 bytes at most"),
        (b"k" * MOST_KEY + b"\r\nk", 0o600, "4096 bytes at most"),
        (b"k" * MOST_KEY + b"   k", 0o600, "4096 bytes at most"),
        (b"k" * 2 * MOST_FILE, 0o600, "4096 bytes at most"),
    ],
    ids=["group", "others", "short and group", "short", "long", "a line more", "behind a space", "large"],
)
def test_a_key_that_is_none_is_refused_once_with_its_place(
    tmp_path: Path, load: Callable, place: str, key: bytes, mode: int, says: str
) -> None:
    put(tmp_path, b"g" * 32, name="good")
    put(tmp_path, key, mode)
    with pytest.raises(ConfigError) as problem:
        load(tmp_path)
    (told,) = problem.value.problems
    assert str(problem.value).startswith(f"{tmp_path}/x.conf:{place}") and says in told.text


@pytest.mark.parametrize(("load", "place"), WHERE)
def test_a_file_that_is_not_there_is_told_with_its_place(tmp_path: Path, load: Callable, place: str) -> None:
    put(tmp_path, b"g" * 32, name="good")
    with pytest.raises(ConfigError, match="No such file") as problem:
        load(tmp_path)
    assert str(problem.value).startswith(f"{tmp_path}/x.conf:{place}")


@pytest.mark.parametrize(("load", "_"), WHERE)
@pytest.mark.parametrize("key", [b"k" * 16, b"k" * MOST_KEY], ids=["least", "most"])
@pytest.mark.parametrize("end", [b"", b"\n", b"\r\n"])
def test_a_key_is_whole_without_the_end_of_its_line(
    tmp_path: Path, load: Callable, _: str, key: bytes, end: bytes
) -> None:
    put(tmp_path, b"g" * 32, name="good")
    put(tmp_path, key + end)
    assert load(tmp_path) == key


def test_users_beyond_the_bound_are_refused_and_not_cut(tmp_path: Path) -> None:
    line = b"u" * (MOST_FILE + LINE_END)
    put(tmp_path, line)
    with pytest.raises(ConfigError, match="users-file: .*: 1048576 bytes at most"):
        read_private(tmp_path / "key", "users-file", Spot("x.conf", 1, 1))
    put(tmp_path, line[:MOST_FILE] + b"\n")
    assert read_private(tmp_path / "key", "users-file", Spot("x.conf", 1, 1)) == line[:MOST_FILE]
