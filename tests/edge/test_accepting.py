"""Accepting under many clients that come again at once: within the descriptors, and without those that have gone.

Guards against answers that are late by seconds, since accepting stopped at the limit of descriptors (review/8), or
since new connections waited in the queue behind hundreds whose clients had closed them.
"""

from __future__ import annotations

import asyncio
import errno
import socket

from tests.edge.conftest import request
from tests.edge.live import run_scenario

GONE = 200  # clients that close their connections before they are accepted
SILENT = 100
MAX_CLIENTS = 4


def connect(port):
    """Returns a connection that waits in the listening queue."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setblocking(False)
    return sock


def test_connections_that_were_closed_in_the_queue_are_not_served():
    async def scenario(live):
        for number in range(GONE):  # no await until the sound client is in the queue behind them
            sock = connect(live.port)
            sock.sendall(request(f"gone-{number}"))
            sock.close()
        sound = connect(live.port)
        live.clients.append(sound)
        await live.send(sound, request("sound"))
        assert (await live.read(sound))[0] == 200
        assert live.core.counts["left_in_queue"] == GONE and live.core.counts["accepted"] == 1
        assert len(live.heads()) == 1 and len(live.shell.acceptor.open) == 1

    run_scenario(scenario)


def test_no_more_descriptors_are_open_than_the_bound_on_clients_permits():
    async def scenario(live):
        live.clients += [connect(live.port) for _ in range(SILENT)]
        most = 0
        while live.core.counts["accepted"] < SILENT:
            await asyncio.sleep(0)
            most = max(most, len(live.shell.acceptor.open))
        assert MAX_CLIENTS < most <= MAX_CLIENTS + live.shell.accept_at_once

    run_scenario(scenario, max_clients=MAX_CLIENTS)


def test_client_with_a_request_is_served_beside_silent_ones_that_fill_the_bound():
    async def scenario(live):
        live.clients += [connect(live.port) for _ in range(SILENT)]
        await live.until(lambda: live.core.counts["accepted"] >= MAX_CLIENTS)
        await asyncio.sleep(0.1)  # a connection may be closed for others once it was silent for 50 ms
        sound = connect(live.port)
        live.clients.append(sound)
        await live.send(sound, request("sound"))
        assert (await live.read(sound))[0] == 200

    run_scenario(scenario, max_clients=2 * SILENT)


def test_accepting_goes_on_after_the_system_refused_it(monkeypatch):
    async def scenario(live):
        acceptor = live.shell.acceptor

        class Refusing:
            def __init__(self, sock):
                self.sock, self.refusals = sock, 1

            def accept(self):
                if self.refusals:
                    self.refusals -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                return self.sock.accept()

            def __getattr__(self, name):
                return getattr(self.sock, name)

        real = acceptor.listening[0]
        live.shell.loop.remove_reader(real.fileno())
        acceptor.listening[0] = Refusing(real)
        acceptor._resume(acceptor.listening[0])
        sound = connect(live.port)
        live.clients.append(sound)
        await live.send(sound, request("sound"))
        assert (await live.read(sound))[0] == 200
        assert any(event["cause"] == "accept_failed" for event in live.core.telemetry.events)

    run_scenario(scenario)


def test_connections_in_the_queue_are_reset_when_accepting_stops_and_accepted_ones_are_answered():
    async def scenario(live):
        accepted = await live.client()
        await live.send(accepted, request("accepted"))
        await live.shell.acceptor.stop()
        assert (await live.read(accepted))[0] == 200
        assert not live.shell.acceptor.tasks and live.shell.acceptor.listening[0].fileno() < 0

    run_scenario(scenario)
