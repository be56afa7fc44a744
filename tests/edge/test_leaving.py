"""A client that left is gone: no attempt begins for it, whatever else is on its way at that instant. Real sockets."""

from __future__ import annotations

import socket

import pytest

from tests.edge.conftest import booking, request
from tests.edge.live import play


def end(sock, how):
    """Its end, by a FIN or by a reset."""
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
    else:
        sock.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("how", ["FIN", "reset"])
def test_no_attempt_for_a_client_that_disconnected_during_the_dial(how):
    """The attempt stayed in the pool's queue and went out when the dial came up, a quarter of a second later."""

    async def scenario(p):
        p.shell.gate.clear()
        sock = await p.client()
        await p.say(sock, booking())
        await p.until(lambda: p.core.pool.counts["dials"] == 1)
        end(sock, how)
        await p.until(lambda: p.core.counts["left_open"] == 1)
        p.shell.gate.set()
        await p.until(lambda: any(k.state == "idle" for k in p.core.pool.links.values()))
        other = await p.client()
        await p.say(other, request("other"))  # goes out on that connection: what went before it would be there too
        assert (await p.read(other))[0] == 200
        assert [("id-1" in h) for h in p.heads()] == [False] and not p.core.engine.ledger.entries

    play(scenario, count=1)


@pytest.mark.parametrize("how", ["FIN", "reset"])
def test_no_retry_for_a_client_whose_disconnect_is_not_read_yet(how):
    """In one turn of the loop: the client's end is on the socket, and the attempt that was out breaks."""

    async def scenario(p):
        p.release.clear()
        sock = await p.client()
        await p.say(sock, request())
        await p.until(lambda: len(p.heads()) == 1)
        up = next(k for k, link in p.core.pool.links.items() if link.job is not None)
        end(sock, how)  # from here on without an await: nothing is read before the reset is taken
        p.core.ended(p.shell.clock(), up)
        p.shell.carry_out()
        assert p.core.engine.counts["left"] == 1 and p.core.engine.counts["attempts"] == 1
        await p.until(lambda: not p.core.clients.open)
        p.release.set()
        assert len(p.heads()) == 1 and not p.core.engine.ledger.entries

    play(scenario)


def test_no_attempt_when_request_and_disconnect_arrive_together():
    async def scenario(p):
        sock = await p.client()
        sock.sendall(request())
        end(sock, "FIN")
        await p.until(lambda: not p.core.clients.open)
        assert p.core.engine.counts["left"] == 1 and not p.core.engine.counts["attempts"] and not p.heads()

    play(scenario)


def test_disconnect_of_a_client_that_reads_no_answers_is_noticed():
    """Reading was paused for it: its FIN lay behind, and the request that it had sent ahead went out."""

    async def scenario(p):
        p.body = b"x" * 60_000
        sock, client, _ = await p.slow_client()
        await p.say(sock, request("one"))
        await p.until(lambda: client.held)  # its answer waits on this side
        p.shell.gate.clear()
        for link in list(p.core.pool.links):
            p.core.ended(p.shell.clock(), link)
        await p.say(sock, request("two"))
        await p.until(lambda: p.core.pool.counts["dials"] == 2)
        end(sock, "FIN")
        await p.until(lambda: p.core.counts["left_open"] == 1)
        p.shell.gate.set()
        await p.until(lambda: any(k.state == "idle" for k in p.core.pool.links.values()))
        assert not [h for h in p.heads() if "two" in h]

    play(scenario, count=1)


def test_half_closed_client_that_reads_nothing_releases_its_descriptor():
    """Its transport waited for ever to hand over what was left: no timer ended it, and no bound counted it."""

    async def scenario(p):
        p.body = b"x" * 60_000
        sock, client, transport = await p.slow_client()
        await p.say(sock, request())
        await p.until(lambda: client.held)
        end(sock, "FIN")
        await p.until(lambda: transport.get_extra_info("socket").fileno() < 0)

    play(scenario)
