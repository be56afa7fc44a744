"""Ports that are given before anybody listens."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from rushweir.lab import ports


def test_no_port_is_given_twice_though_nobody_listens_yet():
    """Two of sixteen that start at once were given one port: the second ended, `address in use`."""
    found = [ports.free_port() for _ in range(600)]
    assert len(set(found)) == len(found)


def test_ports_lie_below_those_that_the_system_gives():
    given = Path("/proc/sys/net/ipv4/ip_local_port_range")
    first = int(given.read_text().split()[0]) if given.exists() else 32_768
    assert ports.PORTS[1] <= first
    assert all(ports.PORTS[0] <= ports.free_port() < ports.PORTS[1] for _ in range(50))


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_somebody_has_is_not_given(monkeypatch, kind):
    with socket.socket(socket.AF_INET, kind) as held:
        held.bind(("127.0.0.1", ports.free_port(kind)))
        taken = held.getsockname()[1]
        monkeypatch.setattr(ports, "_given", [])
        monkeypatch.setattr(ports, "PORTS", (taken, taken + 1))
        with pytest.raises(OSError, match="no free port"):
            ports.free_port(kind)


def test_what_is_kept_of_ports_given_is_bounded():
    assert ports._given.maxlen == ports.KEPT < (ports.PORTS[1] - ports.PORTS[0]) / 2
