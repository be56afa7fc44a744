"""One process with a fleet block: its settings, waiting for a slot, handoff to a successor."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from rushweir.budgets.core import TOPIC
from rushweir.config import ConfigError, load_text
from rushweir.daemon.service import Service, make_log
from rushweir.lab.stage import free_port
from tests.daemon.conftest import House

BASE = """\
ingress {number}
zone a
listen 127.0.0.1:0
{state}
list {{
    url ws://127.0.0.1:7000/list
}}
class look {{
    aim 800ms
    deadline 3s
}}
plan wide {{
    rate 5/s
    burst 5
}}
{more}
"""
PEERS = "peers {\n    bind 127.0.0.1:%s\n    key-file peers.key\n}\n"
FLEET = "fleet {\n    seed 127.0.0.1:9001\n    %s\n}\n"


@pytest.fixture
def base(tmp_path):
    key = tmp_path / "peers.key"
    key.touch(mode=0o600)
    key.write_text("sixteen bytes or more of a key")
    return tmp_path


def settings(base: Path, more: str, number: str = "auto 12", state: str = "state run"):
    return load_text(BASE.format(number=number, state=state, more=more), "a.conf", base)


def test_fleet_settings_follow_configuration(base):
    made = settings(base, PEERS % 9001 + FLEET % "term 4s\n    keep 1m")
    fleet = made.fleet()
    assert fleet.seeds == (fleet.address,) == (("127.0.0.1", 9001),) and (fleet.slot_count, fleet.wanted_slot) == (
        12,
        -1,
    )
    assert (fleet.view_ms, fleet.keep_ms, fleet.seed_index, made.me) == (4000.0, 60_000.0, 0, -1)
    sharing = made.settings().sharing
    assert (
        sharing.messages_per_s == 33.0 and sharing.leased_ceilings
    )  # of 60; the rest is for the fleet and its budgets
    assert settings(base, PEERS % 9001, "1 3").fleet() is None


@pytest.mark.parametrize(
    ("more", "number", "state", "text"),
    [
        (PEERS % 9001, "auto 12", "", "auto needs a fleet block"),
        (FLEET % "term 4s", "auto 12", "state run", "fleet: needs peers"),
        (PEERS % 9001 + FLEET % "seed 127.0.0.1:9001", "auto 12", "state run", "a seed stands twice"),
        (PEERS % 9001 + FLEET % "keep 5s", "auto 12", "state run", "keep: longer than term"),
        (PEERS % 9001 + FLEET % "term 4s", "auto 12", "", "a seed needs a state folder"),
        (PEERS % 0 + FLEET % "term 4s", "auto 12", "state run", "advertise: needed"),
        (PEERS % 9001 + FLEET % "rate 2/s", "auto 12", "state run", "fleet rate"),
        (PEERS % 9001 + "fleet {\n}\n", "auto 12", "state run", "seed"),
        (PEERS % 9001, "some 12", "state run", "a whole number, or auto"),
    ],
)
def test_configuration_error_names_the_line(base, more, number, state, text):
    with pytest.raises(ConfigError) as bad:
        settings(base, more, number, state)
    assert text in str(bad.value) and "a.conf:" in str(bad.value)


def test_reload_keeps_the_existing_member(base):
    """Guards against a reload that made a second set of budgets, which took over the fleet's messages from the
    first."""
    config = settings(base, PEERS % 9001 + FLEET % "term 4s", "1 12")
    service = Service(base / "a.conf", config, make_log(config))
    first = service._setup(config).fleet
    handler = service.member.app_handlers[TOPIC]
    assert (
        service._setup(config).fleet is first
        and service.member.app_handlers[TOPIC] == handler == first.budgets._on_message
    )
    service._ended_early(0)


def fleet_lines(house: House, peers: int, seed: int) -> str:
    key = house.tmp / "peers.key"
    key.touch(mode=0o600)
    key.write_text("sixteen bytes or more of a key")
    return PEERS % peers + f"fleet {{\n    seed 127.0.0.1:{seed}\n    term 3s\n    keep 6s\n}}\n"


def test_ingress_without_majority_waits_and_stops_on_signal(house):
    async def body(h):
        port = free_port(socket.SOCK_DGRAM)
        h.write(fleet_lines(h, port, port + 1 if port < 60000 else port - 1), ("ingress 0 1", "ingress auto 3"))
        process = await h.spawn()
        while b"no_number" not in (h.tmp / "errors.txt").read_bytes():
            await asyncio.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 10) == 0

    house(body)


def test_single_seed_takes_slot_and_successor_takes_it_over(house):
    async def body(h):
        await h.nodes(1)
        port = free_port(socket.SOCK_DGRAM)
        h.write(fleet_lines(h, port, port), ("ingress 0 1", "ingress auto 3"), port=free_port())
        old = await h.start()
        first = h.ask("status")["fleet"]
        assert (first["number"], first["chair"], first["current"]) == (0, True, True)
        await h.start("--take-over")
        assert await asyncio.wait_for(old.wait(), 20) == 0
        await h.until(lambda: h.ask("status")["fleet"]["current"])
        then = h.ask("status")["fleet"]
        assert then["number"] == 0 and then["id"] != first["id"] and then["view"] > first["view"]

    house(body)


def test_seed_with_corrupt_view_file_refuses_to_start(house):
    async def body(h):
        await h.nodes(1)
        port = free_port(socket.SOCK_DGRAM)
        h.write(fleet_lines(h, port, port), ("ingress 0 1", "ingress auto 3"))
        (h.tmp / "run").mkdir()
        (h.tmp / "run" / "fleet").write_bytes(b"torn")
        process = await h.spawn()
        assert await asyncio.wait_for(process.wait(), 20) == 1
        assert b"the stored view of this seed is unreadable" in (h.tmp / "errors.txt").read_bytes()

    house(body)
