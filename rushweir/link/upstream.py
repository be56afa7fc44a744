"""A link to a service that is kept up: JSON-RPC 2.0 over WebSocket, without I/O.

    away --dial--> dialing --dialed--> handshake --101--> open
      ^               |                    |                |
      +---- a growing, jittered pause -----+------- lost ---+

Its owner gives it what to do when it opens, when a message comes and when it is lost.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import urlsplit

from rushweir.ingress import commands as c
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol

AWAY, DIALING, HANDSHAKE, OPEN = "away", "dialing", "handshake", "open"


class Owner(Protocol):
    def opened(self) -> None: ...

    def message(self, message: rpc.Call | rpc.Reply) -> None: ...

    def bad_message(self, why: str) -> None: ...

    def link_lost(self, was_open: bool) -> None: ...


class Upstream:
    """One link; ``out`` holds its orders for the shell."""

    def __init__(
        self,
        owner: Owner,
        url: str,
        headers: dict[str, str],
        *,
        seed: int,
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
        retry_delay_ms: tuple[float, float],
        connect_timeout_ms: float,
        ping_interval_ms: float,
        max_message: int,
        deflate: bool = False,
    ) -> None:
        """``retry_delay_ms``: before the link is tried again, the first time and at most."""
        self.owner, self.url, self.headers, self.rng = owner, url, headers, random.Random(seed)
        self.new_conn, self.at, self.pauses, self.pause = new_conn, at, retry_delay_ms, retry_delay_ms[0]
        self.connect_timeout_ms, self.ping_interval_ms = connect_timeout_ms, ping_interval_ms
        self.max_message, self.deflate = max_message, deflate
        self.state, self.conn, self.writable, self.stopped = AWAY, 0, True, False
        self.messages: Messages | None = None
        self.out: list[c.ShellCommand] = []
        self.now, self.serial, self.quiet, self.losses = 0.0, 0, 0, 0

    def start(self, now: float) -> None:
        self.now = now
        self._dial(None)

    def stop(self, now: float) -> None:
        """No more attempts to reach the service; the link is dropped."""
        self.now, self.stopped = now, True
        if self.state is not AWAY:
            self._lost()

    def drop(self, now: float) -> None:
        """What came on it is of no use: it ends, and is tried again after a pause."""
        self.now = now
        if self.state is not AWAY:
            self._lost()

    def call(self, method: str, params: dict[str, Any], number: int | None = None) -> None:
        """Send a request; ``number`` is its id, else one is made."""
        assert self.messages is not None
        self.serial += 1
        self.messages.send(rpc.call(method, params, self.serial if number is None else number))
        self._flush()

    def send(self, text: bytes) -> None:
        """Send a message that is written already."""
        if self.messages is not None and self.state is OPEN:
            self.messages.send(text)
            self._flush()

    # --- what happens to the connection ----------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self.now = now
        if conn == self.conn and self.state is DIALING:
            self.state = HANDSHAKE
            self.messages = Messages(client_protocol(self.url, self.max_message, self.deflate))
            self.messages.connect(self.headers)
            self._flush()

    def dial_failed(self, now: float, conn: int) -> None:
        self.now = now
        if conn == self.conn and self.state is not AWAY:
            self._lost()

    lost = dial_failed

    def received(self, now: float, conn: int, data: bytes) -> None:
        self.now = now
        if conn != self.conn or self.messages is None:
            return
        self.quiet = 0
        if self.state is HANDSHAKE:
            opened = self.messages.receive_handshake(data)
            if opened is False:
                self._lost()
            if not opened:
                return
            self.state, self.pause, self.writable = OPEN, self.pauses[0], True
            self.at(now + self.ping_interval_ms, self._ping, conn)
            self.owner.opened()
            texts = self.messages.messages() if self.messages else []
        else:
            texts = self.messages.receive(data)
        for text in texts:
            self._message(text)
        self._flush()
        if self.state is OPEN and self.messages is not None and not self.messages.open:
            self._lost()

    def congested(self, conn: int) -> None:
        self.writable = False

    def drained(self, now: float, conn: int) -> None:
        self.now, self.writable = now, True

    # --- inside ----------------------------------------------------------------------------------

    def _message(self, text: bytes | str) -> None:
        try:
            message = rpc.parse(text)
        except rpc.RpcError as problem:
            self.owner.bad_message(str(problem))
            return
        for member in message.calls if isinstance(message, rpc.Batch) else (message,):
            if isinstance(member, rpc.RpcError):
                self.owner.bad_message(str(member))
            else:
                self.owner.message(member)

    def _dial(self, _: Any) -> None:
        if self.state is AWAY and not self.stopped:
            where = urlsplit(self.url)
            self.state, self.conn = DIALING, self.new_conn(self)
            self.out.append(c.Dial(self.conn, where.hostname or "", where.port or 80, self.connect_timeout_ms))
            self.at(self.now + self.connect_timeout_ms, self._dial_late, self.conn)

    def _dial_late(self, conn: int) -> None:
        if conn == self.conn and self.state in (DIALING, HANDSHAKE):
            self._lost()

    def _lost(self) -> None:
        self.out.append(c.AbortConnection(self.conn))
        was_open, self.state, self.messages = self.state is OPEN, AWAY, None
        self.losses += 1
        self.owner.link_lost(was_open)
        # Jittered by half, so that a fleet that lost its service together does not return together.
        self.at(self.now + self.pause * self.rng.uniform(0.5, 1.0), self._redial, None)
        self.pause = min(self.pause * 2, self.pauses[1])

    def _redial(self, _: Any) -> None:
        self._dial(None)

    def _ping(self, conn: int) -> None:
        """A service that answers nothing any more, not even a ping, is taken for lost."""
        if conn != self.conn or self.state is not OPEN or self.messages is None:
            return
        if self.quiet >= 2:
            self._lost()
            return
        self.quiet += 1
        self.messages.ping()
        self._flush()
        self.at(self.now + self.ping_interval_ms, self._ping, conn)

    def _flush(self) -> None:
        if self.messages is not None:
            writes, end = self.messages.take()
            if writes:
                self.out.append(c.Write(self.conn, b"".join(writes)))
            if end:
                self.out.append(c.CloseConnection(self.conn, 100.0))
