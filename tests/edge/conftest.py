"""Harness of the edge tests: an ingress whose time and connections the test controls; no sockets, no clock."""

from __future__ import annotations

import re

import pytest

from rushweir import interface
from rushweir.edge.backend_links import PoolSettings
from rushweir.edge.backends import COOLDOWN_MS
from rushweir.edge.setup import IDLE_MS, Setup
from rushweir.ingress import commands
from rushweir.ingress.core import Core
from rushweir.policy import Policy

CLASSES = (
    interface.RequestClass("position", 800.0, 3000.0, effect=interface.Effect.SAFE),
    interface.RequestClass(
        "booking", 1200.0, 3000.0, 5.0, 0.0, interface.Effect.KEYED, interface.Group.ZONE, window_ms=6000.0
    ),
)
SETTINGS = interface.Settings(
    gateway=0, gateways=1, zone="a", classes=CLASSES,
    plans=(
        interface.Plan("wide", rate=1000.0, burst=1000.0),
        interface.Plan("tight", rate=0.1, burst=1.0, over_cost=0.5),
    ),
    rules=interface.Rules(8.0, 1000.0, 0.2, 10_000.0, 3.0, 1500.0),
    limits=interface.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0),
)  # fmt: skip
LIST = {
    "version": 7, "full": True,
    "servers": [
        {"id": f"s-{k}", "addr": f"10.0.0.{k}:80", "zone": "a", "kind": "m", "cell": 0, "state": "Ready",
         "weight": 1.0, "started_ms": 0}
        for k in range(1, 4)
    ],
}  # fmt: skip


def request(rid="id-1", cls="position", plan="wide", customer="0000000000000001", method="GET", body=b"", **headers):
    """Returns the bytes of a request as the platform's clients write it; a header given as None is omitted."""
    lines = {
        "Host": "origin.svc", "Req-Id": rid, "Req-Kind": cls, "X-Contract": plan, "Req-Deadline-Ms": "2000",
        "X-Metering": "units=1,spread=1,first=0",
    } | {k.replace("_", "-"): v for k, v in headers.items()}  # fmt: skip
    if body:
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{k}: {v}\r\n" for k, v in lines.items() if v is not None)
    return f"{method} /api?customer={customer} HTTP/1.1\r\n{head}\r\n".encode() + body


def booking(rid="id-1", body=b"{}", key="k1", **headers):
    return request(rid, "booking", method="POST", body=body, Idempotency_Key=key, **headers)


def answer(body=b"served", status="200 OK", more=""):
    return f"HTTP/1.1 {status}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Edge:
    """An ingress without a shell. ``commands`` collects the commands of its core."""

    def __init__(self, settings=SETTINGS, known=LIST, **setup):
        self.now, self.commands = 10_000.0, []
        options = {"discovery": ("10.9.0.1", 8500), "pool": PoolSettings(64), "boot": "t", "keep_list": False}
        options |= {"handshake_ms": 2_000.0, "http_idle_ms": IDLE_MS} | setup
        self.policy = Policy(settings, 3, self.now)
        self.core = Core(Setup(settings, **options), self.policy, self.now)
        if known is not None:
            self.core.preload_nodes(self.now, self.core.list.known(known))
        self.core.start(self.now)
        self.closed, self.open = set(), set()
        self.turn()

    def turn(self):
        """Takes the core's commands as a shell would, without a network, and returns them."""
        found = []
        while self.core.commands:
            command = self.core.commands.popleft()
            found.append(command)
            if (
                isinstance(command, commands.AbortConnection | commands.CloseConnection)
                and command.conn not in self.closed
            ):
                self.closed.add(command.conn)
                if isinstance(command, commands.AbortConnection):
                    self.core.ended(self.now, command.conn)
        self.commands += found
        return found

    def advance_ms(self, ms):
        """Advances the time timer by timer, and returns the commands."""
        end, found = self.now + ms, []
        while (at := self.core.next_at()) is not None and at <= end:
            self.now = max(self.now, at)
            self.core.advance(self.now)
            found += self.turn()
        self.now = end
        return found

    def connect(self):
        conn = self.core.accepted(self.now)
        self.turn()
        return conn

    def receive(self, conn, data):
        """Delivers bytes on a connection, and returns the commands that follow at once."""
        self.core.received(self.now, conn, data)
        return self.turn()

    def written(self, conn):
        return b"".join(o.data for o in self.commands if isinstance(o, commands.Write) and o.conn == conn)

    def complete_dial(self, issued):
        """Completes the first dial to a backend among some commands; returns its connection and the next commands."""
        dial = next(o for o in issued if isinstance(o, commands.Dial) and o.port == 80)
        self.core.dialed(self.now, dial.conn)
        return dial.conn, self.turn()

    def send_request(self, data=None, conn=None):
        """Sends a client's request and lets its attempt be written. Returns both connections."""
        conn = self.connect() if conn is None else conn
        issued = self.receive(conn, data or request())
        if not any(
            isinstance(o, commands.Dial) or (isinstance(o, commands.Write) and o.conn != conn) for o in issued
        ):
            issued = self.advance_ms(COOLDOWN_MS)  # it waits for a connection that cools down
        backend_conn = next(
            (o.conn for o in issued if isinstance(o, commands.Write) and b"Req-Deadline-Ms" in o.data), None
        )
        if backend_conn is None:
            backend_conn, _ = self.complete_dial(issued)
        return conn, backend_conn

    def statuses(self, conn):
        return [int(s) for s in re.findall(rb"HTTP/1\.1 (\d{3}) ", self.written(conn))]


@pytest.fixture
def edge():
    return Edge()


__all__ = ["LIST", "SETTINGS", "Edge", "answer", "booking", "request"]
