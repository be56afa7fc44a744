"""Settings files: what they give, and how errors name their place."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface as i
from rushweir.config import ConfigError, load, load_text
from rushweir.fronts.credentials import digest
from rushweir.ingress.queries import Partner

GOOD = f"""\
ingress 1 3
zone room-a
listen [::1]:8080
path /dispatch
state run            # a folder beside this file
list {{
    url ws://127.0.0.1:7000/list
    mode ask
}}
peers {{
    bind 127.0.0.1:9001
    key-file peers.key
    rate 30/s
    peer 0 127.0.0.1:9000
    peer 2 127.0.0.1:9002
}}
rules {{
    drain-grace 1s
    cold-share 0.2
    cold-time 10s
    fall-multiple 3
    fall-time 1500ms
}}
limits {{
    attempts 4
    retry-after 500ms
    largest-request 6
}}
class booking {{
    aim 1200ms
    deadline 3s
    worth 5
    repeat keyed
    group zone
    window 6s
}}
plan teljes {{
    rate 660/m
    burst 20
    ceiling-rate 25/s
    ceiling-burst 43
    ceiling-slack 4
}}
partner "Hotel \\"A\\"" {{
    plan teljes
    credential {digest("x")}
    through 2 2
}}
"""


@pytest.fixture
def base(tmp_path):
    key = tmp_path / "peers.key"
    key.write_text("k" * 40)
    os.chmod(key, 0o600)
    return tmp_path


def problems(text: str, base: Path = Path(".")) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        load_text(text, "x.conf", base)
    return str(caught.value).splitlines()


def test_what_a_file_gives(base):
    (base / "x.conf").write_text(GOOD)
    config = load(base / "x.conf")
    s = config.settings()
    assert (s.gateway, s.gateways, s.zone, s.ask_discovery) == (1, 3, "room-a", True)
    assert s.classes == (i.RequestClass("booking", 1200, 3000, 5, 0, i.Effect.KEYED, i.Group.ZONE, 6000),)
    assert s.plans[0] == i.Plan("teljes", 11, 20, 0, 25, 43, 4)
    assert s.rules == i.Rules(0, 1000, 0.2, 10000, 3, 1500)
    assert s.limits == i.Limits(
        max_attempts=4, max_open_requests=20_000, max_retry_after_ms=500, parallel_attempts=False, cancel=True,
        probing=False, retry_after=True, dial_timeout_ms=250,
    )  # fmt: skip
    assert (s.sharing.peers, s.sharing.messages_per_s, s.sharing.largest_request) == (True, 30, 6)
    setup = config.setup()
    assert setup.credentials.by_digest == {digest("x"): Partner('Hotel "A"', "teljes", 2, 2)}
    assert config.listen == ("::1", 8080) and config.state == base / "run" and config.peer_key == b"k" * 40
    assert setup.pool.grace_ms == 1000 and setup.front.largest_units == 6


def test_all_problems_at_once_with_their_places(base):
    text = GOOD.replace("aim 1200ms", "aim 1200").replace("worth 5", "wort 5").replace("mode ask", "mode later")
    lines = problems(text, base)
    told = [line for line in lines if line.startswith("x.conf:")]
    assert [line.split(": ")[0] for line in told] == ["x.conf:8:10", "x.conf:30:9", "x.conf:32:5"]
    assert "a time such as 800ms" in told[1]
    at = lines.index(told[1])
    assert lines[at + 1 : at + 3] == ["        aim 1200", "            ^"]


@pytest.mark.parametrize(
    ("old", "new", "place", "text"),
    [
        ("ingress 1 3", "ingress 3 3", "1:1", "number 3 of 3"),
        ("plan teljes\n    cred", "plan x\n    cred", "45:10", "no plan 'x'"),
        ("through 2 2", "through 3 1", "47:5", "3 ingresses"),
        ("peer 2 127", "peer 1 127", "15:5", "no such peer"),
        ("rate 30/s", "rate 30", "13:10", "a rate such as 5/s"),
        ("zone room-a", "zone room-a\nzone room-b", "3:1", "stands twice, first in line 2"),
        ("zone room-a", "", "1:1", "zone: is missing"),
        ("window 6s", "", "29:7", "window"),
        ("key-file peers.key", "key-file nowhere.key", "12:14", "No such file"),
        ("listen [::1]:8080", "listen localhost:8080", "3:8", "an address such as"),
        ("burst 20", "", "37:6", "burst"),
        ("fall-multiple 3", "fall_multiple 3", "21:5", "not known here"),
        ("list {", "list x {", "6:1", "a block is expected"),
        ("}\nplan", "plan", "48:1", "'}' is missing"),
        ("limits {", "limits", None, "block"),
        (f"credential {digest('x')}", "credential secret", "46:16", "64 hex digits"),
    ],
)
def test_each_problem_names_its_place(base, old, new, place, text):
    assert old in GOOD
    told = "\n".join(problems(GOOD.replace(old, new, 1), base))
    assert text in told
    if place is not None:
        assert f"x.conf:{place}: " in told


def test_a_key_that_others_can_read_is_refused(base):
    os.chmod(base / "peers.key", 0o640)
    assert "chmod 600" in "\n".join(problems(GOOD, base))
    os.chmod(base / "peers.key", 0o600)
    (base / "peers.key").write_text("short")
    assert "16 bytes" in "\n".join(problems(GOOD, base))


def test_a_file_that_cannot_be_read(tmp_path):
    with pytest.raises(ConfigError, match="can't be read"):
        load(tmp_path / "none.conf")
    (tmp_path / "bad.conf").write_bytes(b"\xff\xfe")
    with pytest.raises(ConfigError, match="can't be read"):
        load(tmp_path / "bad.conf")


@settings(max_examples=200, deadline=None)
@given(cut=st.integers(0, 900), text=st.text(alphabet='{}"\\# \n\tazA0\x00é', max_size=12))
def test_damaged_files_are_refused_and_never_raise_anything_else(cut, text):
    try:
        load_text(GOOD[: cut % len(GOOD)] + text + GOOD[cut % len(GOOD) + 3 :], "x.conf", Path("."))
    except ConfigError as problem:
        assert str(problem).startswith("x.conf:")
