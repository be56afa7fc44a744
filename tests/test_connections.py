"""Servers with an open connection are preferred by the price of a new one, without abandoning the others."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from conftest import SETTINGS, Gateway

from rushweir import interface

LIMITS = replace(SETTINGS.limits, connection_idle_ms=15_000.0)


def serve(gateway: Gateway, count: int, step_ms: float = 250.0) -> tuple[int, Counter[str]]:
    """Serve requests, each answered in 100 ms; returns the connections opened and each server's requests.

    A connection lives for 12 s after its last answer.
    """
    idle_since: dict[str, float] = {}
    opened, chosen = 0, Counter()
    for _ in range(count):
        request_id, send = gateway.request()
        opened += gateway.now - idle_since.get(send.server, -1e9) > 12_000.0
        chosen[send.server] += 1
        gateway.now += 100.0
        gateway.end_attempt(request_id, send, spent_ms=100.0)
        idle_since[send.server] = gateway.now
        gateway.now += step_ms - 100.0
    return opened, chosen


def test_large_fleet_reuses_connections_without_favouring_one_server():
    """Of four requests per second over 119 servers, seven in ten opened a new connection on a quiet day."""
    gateway = Gateway(replace(SETTINGS, limits=LIMITS, prices={"handshake": 0.08}), servers=119)
    opened, chosen = serve(gateway, 400)
    assert opened <= 0.45 * 400
    assert len(chosen) >= 8 and max(chosen.values()) <= 0.25 * 400


def test_servers_get_equal_shares_where_connections_are_free_or_unknown():
    for limits, prices in ((LIMITS, {}), (SETTINGS.limits, {"handshake": 0.08})):
        gateway = Gateway(replace(SETTINGS, limits=limits, prices=prices), servers=12)
        _, chosen = serve(gateway, 600)
        assert len(chosen) == 12 and max(chosen.values()) <= 2 * 600 / 12


@pytest.mark.parametrize(
    "result",
    [interface.Result.RESET, interface.Result.TIMEOUT, interface.Result.CONNECT_FAILED, interface.Result.CANCELLED],
)
def test_broken_connection_is_not_believed_free(result):
    gateway = Gateway(replace(SETTINGS, limits=LIMITS), servers=1)
    request_id, send = gateway.request()
    gateway.end_attempt(request_id, send)
    server = gateway.policy.server_pool.servers["s0"]
    assert server.has_free_connection(gateway.now - 1.0, False)
    request_id, send = gateway.request()
    assert not server.has_free_connection(gateway.now - 1.0, False)  # in use
    gateway.end_attempt(request_id, send, result, settled=True)
    assert not server.has_free_connection(gateway.now - 1.0, False)


def test_streams_share_a_connection_and_the_record_of_idle_ones_is_bounded():
    gateway = Gateway(replace(SETTINGS, limits=replace(LIMITS, streams_per_connection=32)), servers=1)
    request_id, send = gateway.request()
    server = gateway.policy.server_pool.servers["s0"]
    assert server.has_free_connection(gateway.now, True) and not server.has_free_connection(gateway.now, False)
    gateway.end_attempt(request_id, send)
    gateway.serve(2000, spent_ms=20.0)
    assert len(server.idle_connections) <= 1
