"""``rushweir change`` against real control processes, and the settings file of a control process."""

from __future__ import annotations

import asyncio
import sys

import pytest

from rushweir.config import ConfigError
from rushweir.config.control import load_control
from tests.rollout.control_harness import ControlHarness

SETTINGS = """\
ingress 0 1
zone a
listen 127.0.0.1:0
list {{
    url ws://127.0.0.1:9/list
}}
class c {{
    aim 1s
    deadline 2s
}}
plan basic {{
    rate 5/s
    burst {burst}
}}
partner acme {{
    plan basic
    credential sha256:{digest}
}}
{more}
"""


def settings(burst=5, digest="a" * 64, more=""):
    return SETTINGS.format(burst=burst, digest=digest, more=more)


OTHER_PARTNER = "partner other {{\n    plan basic\n    credential sha256:{}\n}}\n".format("b" * 64)


async def rushweir(harness, k, *arguments):
    """Run a command at process ``k``; return its output and exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rushweir", *arguments, "--socket", str(harness.folder / f"{k}.sock"),
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    out, _ = await process.communicate()
    return out.decode(), process.returncode


def test_apply_makes_one_change_set_of_what_differs(tmp_path):
    async def run():
        harness = ControlHarness(tmp_path)
        file = tmp_path / "a.conf"
        try:
            await harness.start_all()
            leader = await harness.wait_for_event((0, 1, 2), "leads")
            file.write_text(settings())
            out, code = await rushweir(harness, 0, "change", "apply", str(file))
            assert (out, code) == ("step 1: 3 objects changed\n", 0)
            await harness.wait_for_version(1)
            out, code = await rushweir(harness, 1, "change", "apply", str(file))
            assert (out, code) == ("nothing differs from step 1\n", 0)
            file.write_text(settings(burst=9, more=OTHER_PARTNER))
            out, code = await rushweir(harness, 2, "change", "apply", str(file), "--dry-run")
            assert (out.split("\n"), code) == (["~ plan basic", "+ partner other", ""], 0)
            out, code = await rushweir(harness, 2, "change", "apply", str(file))
            assert (out, code) == ("step 2: 2 objects changed\n", 0)
            await harness.wait_for_version(2)
            found = await harness.objects(leader)
            assert found["other"][0] == found["basic"][0] == 2 and found["acme"][0] == 1
            # A second operator whose files were made on version 1: the plan has changed since.
            file.write_text(settings(burst=7))
            out, code = await rushweir(harness, 0, "change", "apply", str(file), "--base", "1", "--author", "ann")
            assert code == 1 and out.startswith("refused: p") and "changed by change set 2" in out
            file.write_text(settings(burst=9))  # an object that is in no file is deleted
            out, code = await rushweir(harness, 0, "change", "apply", str(file))
            assert (out, code) == ("step 3: 1 objects changed\n", 0)
            await harness.wait_for_version(3)
            assert "other" not in await harness.objects(leader)
            out, code = await rushweir(harness, 1, "change", "status")
            assert code == 0 and f"{leader} leads, step 3 in force" in out
            file.write_text(settings(burst="many"))
            out, code = await rushweir(harness, 0, "change", "apply", str(file))
            assert code == 2 and f"{file}:13:11: " in out
            for k in (0, 1, 2):
                if k != leader:
                    await harness.kill(k)
            await harness.wait_for_event([leader], "no_majority")
            file.write_text(settings())
            out, code = await rushweir(harness, leader, "change", "apply", str(file))
            assert code == 1 and "refused: no majority" in out
            out, code = await rushweir(harness, leader, "change", "status")
            assert code == 1 and "no majority: it goes on with what it has" in out
            await harness.kill(leader)
            out, code = await rushweir(harness, leader, "change", "status")
            assert code == 3
        finally:
            await harness.stop_all()

    asyncio.run(run())


VALID = """\
control 1
process 0 127.0.0.1:7400
process 1 127.0.0.1:7401
process 2 [::1]:7402
state state
key-file key
socket control.sock
"""


def load(tmp_path, text, key=b"k" * 32, mode=0o600):
    (tmp_path / "key").write_bytes(key)
    (tmp_path / "key").chmod(mode)
    (tmp_path / "control.conf").write_text(text)
    return load_control(tmp_path / "control.conf")


def test_valid_settings_file_is_loaded(tmp_path):
    found = load(tmp_path, VALID)
    assert (found.me, found.count, found.key) == (1, 3, b"k" * 32)
    assert found.addresses == (("127.0.0.1", 7400), ("127.0.0.1", 7401), ("::1", 7402))
    assert found.state == tmp_path / "state" and found.socket == tmp_path / "control.sock"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("control 1", "control 3", "1:1: control: 3 is no process"),
        ("control 1\n", "", "1:1: control: is missing"),
        ("control 1", "control one", "1:1: control: expected a whole number"),
        ("process 2 [::1]:7402\n", "", "2:1: process: 1, 3, 5 or 7"),
        ("process 2", "process 4", "2:1: process: numbers from 0 without a gap"),
        ("process 2", "process 1", "4:1: process 1: stands twice, first in line 3"),
        ("[::1]:7402", "127.0.0.1:7400", "2:1: process: two with one address"),
        ("[::1]:7402", "here:7402", "4:1: process 2: expected an address"),
        ("[::1]:7402", "", "4:1: process: a number and an address expected"),
        ("socket", "sock", "7:1: sock: not known here"),
        ("state state", "state {\n}", "5:1: state: takes no block"),
        ("key-file key", "key-file none", "6:1: key-file: "),
        ("state state", "state }", "5:7: "),
    ],
)
def test_error_in_the_settings_file_names_line_and_column(tmp_path, old, new, message):
    with pytest.raises(ConfigError) as problem:
        load(tmp_path, VALID.replace(old, new))
    assert f"{tmp_path}/control.conf:{message}" in str(problem.value)


def test_key_file_must_be_secret_and_long_enough(tmp_path):
    with pytest.raises(ConfigError, match="key-file: .* can be read by others"):
        load(tmp_path, VALID, mode=0o644)
    with pytest.raises(ConfigError, match="key-file: 16 bytes at least"):
        load(tmp_path, VALID, key=b"short\n")
