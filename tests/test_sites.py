"""The script that writes variants of a site, on a site of the test's own."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
SCRIPT = ROOT / "deploy" / "sites" / "write.py"
SITE = """
name = "first"
[net]
zones = ["a", "b"]
[allow]
probes = true
attempts = 4
[[class]]
name = "ask"
effect = "safe"
[[class]]
name = "order"
effect = "keyed"
window_ms = 6000
"""


@pytest.fixture
def write(tmp_path):
    spec = importlib.util.spec_from_file_location("write_site", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    given = tmp_path / "given"
    given.mkdir()
    (given / "first.toml").write_text(SITE)
    for name in module.BESIDE:
        (given / name).write_text(name)

    def run(text):
        (tmp_path / "mine.toml").write_text('base = "first.toml"\n[set]\n' + text)
        return module.main([str(tmp_path / "mine.toml"), "--given", str(given), "--into", str(tmp_path / "out")])

    return run


def test_complete_site_is_written_with_its_accompanying_files(write, tmp_path):
    text = 'name = "mine"\n"class.1.effect" = "unsafe"\n"net.zones" = ["x"]\n'
    text += '"class" = [{name = "new", window_ms = 9}]\n'
    assert write(text) == 0
    site = tomllib.loads((tmp_path / "out" / "mine" / "mine.toml").read_text())
    assert site["net"]["zones"] == ["x"] and site["class"] == [{"name": "new", "window_ms": 9}]
    assert site["allow"] == {"probes": True, "attempts": 4}
    assert (tmp_path / "out" / "mine" / "wire.json").read_text() == "wire.json"


@pytest.mark.parametrize(("text", "message"), [
    ('"net.rooms" = ["x"]', "net.rooms: the site has no 'rooms' there"),
    ('"class.2.name" = "x"', "class.2.name: the site has no '2' there"),
    ('"class.0.window_ms" = 5', "class.0.window_ms: the site has no 'window_ms' there"),
    ('"name.x" = 5', "name.x: the site has no 'x' there"),
    ('"allow.probes" = 1', "allow.probes: bool stands there, not int"),
    ('"allow.attempts" = "four"', "allow.attempts: int stands there, not str"),
    ('class = [{title = "x"}]', "class.0.title: no table of the site's list has it"),
])  # fmt: skip
def test_unknown_key_or_wrong_type_is_reported_by_name(write, tmp_path, capsys, text, message):
    assert write(text) == 2
    assert message in capsys.readouterr().err and not (tmp_path / "out").exists()


@pytest.mark.parametrize("name", ["harbour", "clinic"])
def test_variants_in_the_repository_parse_and_name_their_base(name):
    page = tomllib.loads((SCRIPT.parent / f"{name}.toml").read_text())
    assert page["base"].endswith(".toml") and page["set"]["name"]


def test_missing_base_site_ends_with_one_line(tmp_path):
    done = subprocess.run(
        [sys.executable, str(SCRIPT), str(SCRIPT.parent / "clinic.toml"), "--given", str(tmp_path)],
        capture_output=True, text=True, cwd=tmp_path, check=False,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1
