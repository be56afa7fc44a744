"""A successor whose settings come from control processes takes nothing over; the running one does not hear of it."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest

SETTINGS = """ingress 0 1
zone a
listen 127.0.0.1:0
state run
control {
    socket in.sock
}
list {
    url ws://127.0.0.1:9/list
}
rollout {
    control 127.0.0.1:9
    key-file watch.key
}
"""


def test_a_successor_with_a_rollout_block_is_refused_and_touches_nothing(tmp_path):
    (tmp_path / "in.conf").write_text(SETTINGS)
    (tmp_path / "watch.key").write_bytes(b"w" * 32)
    (tmp_path / "watch.key").chmod(0o600)
    (tmp_path / "run").mkdir()
    kept = tmp_path / "run" / "rollout.book"
    kept.write_bytes(b"another's")
    with socket.socket(socket.AF_UNIX) as running:
        here = os.getcwd()
        os.chdir(tmp_path)  # a path of this kind is short
        try:
            running.bind("in.sock")
        finally:
            os.chdir(here)
        running.listen()
        running.setblocking(False)
        done = subprocess.run(
            [sys.executable, "-m", "rushweir", "serve", "--take-over", str(tmp_path / "in.conf")],
            capture_output=True, text=True, timeout=60,
        )  # fmt: skip
        assert done.returncode == 1 and done.stdout == ""
        assert done.stderr.splitlines() == [
            "--take-over: not with a rollout block, since one process alone may keep the settings; "
            "stop the running one, then start this one: it serves at once from what was kept"
        ]
        with pytest.raises(BlockingIOError):  # nobody asked for anything
            running.accept()
    assert kept.read_bytes() == b"another's" and not (tmp_path / "run" / "lock").exists()
