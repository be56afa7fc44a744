"""Tests that no attempt begins for a disconnected client, whatever else happens at that moment. Real sockets."""

from __future__ import annotations

import socket

import pytest

from tests.edge.conftest import booking, request
from tests.edge.live import run_scenario


def end(sock, how):
    """Disconnects a client by a FIN or by a reset."""
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
    else:
        sock.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("how", ["FIN", "reset"])
def test_no_attempt_for_a_client_that_disconnected_during_the_dial(how):
    """The attempt stayed in the pool's queue and was sent when the dial succeeded, a quarter of a second later."""

    async def scenario(live):
        live.shell.gate.clear()
        sock = await live.client()
        await live.send(sock, booking())
        await live.until(lambda: live.core.pool.counts["dials"] == 1)
        end(sock, how)
        await live.until(lambda: live.core.counts["left_open"] == 1)
        live.shell.gate.set()
        await live.until(lambda: any(k.state == "idle" for k in live.core.pool.links.values()))
        other = await live.client()
        await live.send(other, request("other"))  # uses that connection, where an earlier attempt would show
        assert (await live.read(other))[0] == 200
        assert [("id-1" in h) for h in live.heads()] == [False] and not live.core.engine.ledger.entries

    run_scenario(scenario, count=1)


@pytest.mark.parametrize("how", ["FIN", "reset"])
def test_no_retry_for_a_client_whose_disconnect_is_not_read_yet(how):
    """In one turn of the loop the client's FIN or reset is on the socket and the open attempt fails."""

    async def scenario(live):
        live.release.clear()
        sock = await live.client()
        await live.send(sock, request())
        await live.until(lambda: len(live.heads()) == 1)
        backend_conn = next(k for k, link in live.core.pool.links.items() if link.job is not None)
        end(sock, how)  # no await from here on, so that nothing is read before the attempt fails
        live.core.ended(live.shell.clock(), backend_conn)
        live.shell.carry_out()
        assert live.core.engine.counts["left"] == 1 and live.core.engine.counts["attempts"] == 1
        await live.until(lambda: not live.core.clients.open)
        live.release.set()
        assert len(live.heads()) == 1 and not live.core.engine.ledger.entries

    run_scenario(scenario)


def test_no_attempt_when_request_and_disconnect_arrive_together():
    async def scenario(live):
        sock = await live.client()
        sock.sendall(request())
        end(sock, "FIN")
        await live.until(lambda: not live.core.clients.open)
        assert live.core.engine.counts["left"] == 1 and not live.core.engine.counts["attempts"] and not live.heads()

    run_scenario(scenario)


def test_disconnect_of_a_client_that_reads_no_answers_is_noticed():
    """Reading was paused for it, so that its FIN was not read and its pipelined request was sent."""

    async def scenario(live):
        live.body = b"x" * 60_000
        sock, client, _ = await live.slow_client()
        await live.send(sock, request("one"))
        await live.until(lambda: client.write_blocked)  # its answer waits in this process
        live.shell.gate.clear()
        for link in list(live.core.pool.links):
            live.core.ended(live.shell.clock(), link)
        await live.send(sock, request("two"))
        await live.until(lambda: live.core.pool.counts["dials"] == 2)
        end(sock, "FIN")
        await live.until(lambda: live.core.counts["left_open"] == 1)
        live.shell.gate.set()
        await live.until(lambda: any(k.state == "idle" for k in live.core.pool.links.values()))
        assert not [h for h in live.heads() if "two" in h]

    run_scenario(scenario, count=1)


def test_half_closed_client_that_reads_nothing_releases_its_descriptor():
    """Its transport waited forever to write the rest; no timer ended it, and no limit counted it."""

    async def scenario(live):
        live.body = b"x" * 60_000
        sock, client, transport = await live.slow_client()
        await live.send(sock, request())
        await live.until(lambda: client.write_blocked)
        end(sock, "FIN")
        await live.until(lambda: transport.get_extra_info("socket").fileno() < 0)

    run_scenario(scenario)
