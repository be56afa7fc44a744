"""Tests that the lines of deploy/balancer.toml match what they start."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tomllib
from importlib import metadata
from pathlib import Path

import orjson
import pytest

from rushweir.lab.ports import free_port
from tests.edge.test_process import OPTIONS

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
LOADED = """
import sys
import rushweir.edge.__main__, rushweir.edge.service
for name, module in sorted(sys.modules.items()):
    if getattr(module, "__file__", None):
        print(name, module.__file__, getattr(module, "__cached__", None) or "")
"""


def loaded(cwd: Path, *flags: str) -> tuple[list[list[str]], str]:
    done = subprocess.run(
        [sys.executable, *flags, "-c", LOADED], cwd=cwd, capture_output=True, text=True, check=True, timeout=60
    )
    return [line.split(" ") for line in done.stdout.splitlines()], done.stderr


@pytest.fixture
def copied(tmp_path):
    """A clone: the sources without byte code, and the interpreter where the build puts one."""
    shutil.copytree(ROOT / "rushweir", tmp_path / "rushweir", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    return tmp_path


def test_build_writes_all_byte_code_and_run_writes_none(copied):
    """About 200 processes of a fresh clone each compiled everything, wrote it to one disk, and started late."""
    subprocess.run(DEPLOY["build"].rpartition("&& ")[2], shell=True, cwd=copied, check=True, timeout=60)
    for source in copied.rglob("*.py"):
        source.touch()  # a copy of the built tree has other modification times
    before = {p: p.stat().st_mtime_ns for p in copied.rglob("*.pyc")}
    assert " -B " in DEPLOY["run"]
    _, said = loaded(copied, "-B", "-v")
    own = [line for line in said.splitlines() if "code object from" in line and str(copied / "rushweir") in line]
    assert [line for line in own if ".pyc" not in line] == []
    assert len(own) > 30  # each was loaded from its byte code
    assert {p: p.stat().st_mtime_ns for p in copied.rglob("*.pyc")} == before


def test_build_installs_what_run_imports():
    """hdrhistogram was in the requirements of the whole program only, and no ingress started from a clean build."""
    wanted = (ROOT / "requirements.txt").read_text() + (ROOT / "requirements-edge.txt").read_text()
    names = {n.lower() for n in re.findall(r"(?m)^([\w.-]+)==", wanted)}
    dists = metadata.packages_distributions()
    found = {d.lower() for name, _, *_ in loaded(ROOT)[0] for d in dists.get(name.partition(".")[0], [])}
    assert found - {"rushweir", "setuptools"} <= names
    assert "orjson" in found


def test_node_and_policy_list_every_module_that_run_loads():
    named = [ROOT / path for key in ("node", "policy") for path in DEPLOY[key]]
    own = [Path(file) for name, file, *_ in loaded(ROOT)[0] if name.partition(".")[0] == "rushweir"]
    assert len(own) > 30
    assert [f for f in own if not any(f == n or n in f.parents for n in named)] == []


def test_run_is_one_process_linked_against_the_c_library(copied):
    """The platform preloads a library and allows no other program, so the shell must exec the interpreter."""
    page = {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9", "settings": OPTIONS}
    (copied / "config.json").write_bytes(orjson.dumps(page))
    env = {**os.environ, "EDGE_CONFIG": str(copied / "config.json")}
    process = subprocess.Popen(["/bin/sh", "-c", DEPLOY["run"]], cwd=copied, env=env, stderr=subprocess.PIPE)
    try:
        assert orjson.loads(process.stderr.readline())["cause"] == "started"
        proc = Path("/proc") / str(process.pid)
        assert os.path.realpath(proc / "exe") == os.path.realpath(sys.executable)
        assert {(task / "children").read_text() for task in (proc / "task").iterdir()} == {""}
        assert re.search(r"/libc[.-]\S*so", (proc / "maps").read_text())
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_each_listed_path_exists_and_is_loaded():
    """A listed path of which nothing is loaded would be out of date."""
    own = [Path(file) for name, file, *_ in loaded(ROOT)[0] if name.partition(".")[0] == "rushweir"]
    for key in ("node", "policy"):
        for path in DEPLOY[key]:
            assert any(f == ROOT / path or ROOT / path in f.parents for f in own), path
