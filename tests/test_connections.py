"""Servers with an open connection are preferred, by the price of a dial, without leaving the others."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from conftest import SETTINGS, Gateway

from rushweir import interface as i

LIMITS = replace(SETTINGS.limits, connection_idle_ms=15_000.0)


def dials(gateway: Gateway, count: int, step: float = 250.0) -> tuple[int, Counter[str]]:
    """One request after another, answered in 100 ms; a connection lives for 12 s after its last answer."""
    idle: dict[str, float] = {}
    opened, chosen = 0, Counter()
    for _ in range(count):
        rid, send = gateway.ask()
        opened += gateway.now - idle.get(send.server, -1e9) > 12_000.0
        chosen[send.server] += 1
        gateway.now += 100.0
        gateway.end(rid, send, spent=100.0)
        idle[send.server] = gateway.now
        gateway.now += step - 100.0
    return opened, chosen


def test_a_large_fleet_is_not_dialed_for_each_request():
    """Four requests a second over 119 servers: seven in ten went over a new connection (calm day of the fleet)."""
    gateway = Gateway(replace(SETTINGS, limits=LIMITS, prices={"handshake": 0.08}), servers=119)
    opened, chosen = dials(gateway, 400)
    assert opened <= 0.45 * 400
    assert len(chosen) >= 8 and max(chosen.values()) <= 0.25 * 400  # and no one server gets it all


def test_where_dials_are_free_or_nothing_is_known_all_servers_are_alike():
    for limits, prices in ((LIMITS, {}), (SETTINGS.limits, {"handshake": 0.08})):
        gateway = Gateway(replace(SETTINGS, limits=limits, prices=prices), servers=12)
        _, chosen = dials(gateway, 600)
        assert len(chosen) == 12 and max(chosen.values()) <= 2 * 600 / 12


@pytest.mark.parametrize("result", [i.Result.RESET, i.Result.TIMEOUT, i.Result.CONNECT_FAILED, i.Result.CANCELLED])
def test_a_connection_that_broke_is_not_counted_on(result):
    gateway = Gateway(replace(SETTINGS, limits=LIMITS), servers=1)
    rid, send = gateway.ask()
    gateway.end(rid, send)
    server = gateway.policy.server_pool.servers["s0"]
    assert server.has_free_connection(gateway.now - 1.0, False)
    rid, send = gateway.ask()
    assert not server.has_free_connection(gateway.now - 1.0, False)  # in use
    gateway.end(rid, send, result, settled=True)
    assert not server.has_free_connection(gateway.now - 1.0, False)


def test_many_streams_go_over_one_connection_and_what_is_known_of_idle_ones_is_bounded():
    gateway = Gateway(replace(SETTINGS, limits=replace(LIMITS, streams_per_connection=32)), servers=1)
    rid, send = gateway.ask()
    server = gateway.policy.server_pool.servers["s0"]
    assert server.has_free_connection(gateway.now, True) and not server.has_free_connection(gateway.now, False)
    gateway.end(rid, send)
    gateway.serve(2000, spent=20.0)
    assert len(server.idle_connections) <= 1
