"""A link to a service that reconnects when it is lost: JSON-RPC 2.0 over WebSocket, without I/O.

    away --dial--> dialing --dialed--> handshake --101--> open
      ^               |                    |                |
      +-- exponential delay with jitter ---+------- lost ---+

Its owner is called when the link opens, when a message arrives and when the link is lost.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import urlsplit

from rushweir.ingress import commands
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol

DISCONNECTED, DIALING, HANDSHAKE, OPEN = "away", "dialing", "handshake", "open"


class Owner(Protocol):
    """What a link calls."""

    def opened(self) -> None:
        """The link is open."""

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        """A message arrived."""

    def bad_message(self, why: str) -> None:
        """A message arrived that is not valid JSON-RPC 2.0."""

    def link_lost(self, was_open: bool) -> None:
        """The link was lost, or could not be opened."""


class Upstream:
    """One link; ``out`` holds its commands for the shell. Times are in milliseconds."""

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
        """``new_conn`` registers the handler of a new connection and returns its number; ``at`` sets a timer;
        ``retry_delay_ms``: the first and the longest delay before reconnecting."""
        self.owner, self.url, self.headers, self.rng = owner, url, headers, random.Random(seed)
        self.new_conn, self.at = new_conn, at
        self.delays_ms, self.delay_ms = retry_delay_ms, retry_delay_ms[0]
        self.connect_timeout_ms, self.ping_interval_ms = connect_timeout_ms, ping_interval_ms
        self.max_message, self.deflate = max_message, deflate
        self.state, self.conn, self.writable, self.stopped = DISCONNECTED, 0, True, False
        self.messages: Messages | None = None
        self.out: list[commands.ShellCommand] = []
        self.now, self.last_id, self.unanswered_pings, self.losses = 0.0, 0, 0, 0

    def start(self, now: float) -> None:
        """Connects for the first time."""
        self.now = now
        self._dial(None)

    def stop(self, now: float) -> None:
        """Drops the link and does not reconnect."""
        self.now, self.stopped = now, True
        if self.state is not DISCONNECTED:
            self._drop_link()

    def drop(self, now: float) -> None:
        """Drops the link since its input is unusable, and reconnects after the delay."""
        self.now = now
        if self.state is not DISCONNECTED:
            self._drop_link()

    def call(self, method: str, params: dict[str, Any], number: int | None = None) -> None:
        """Sends a request; ``number`` is its id, by default the next one."""
        assert self.messages is not None
        self.last_id += 1
        self.messages.send(rpc.call(method, params, self.last_id if number is None else number))
        self._flush()

    def send(self, text: bytes) -> None:
        """Sends a message that is already encoded, if the link is open."""
        if self.messages is not None and self.state is OPEN:
            self.messages.send(text)
            self._flush()

    # --- called by the shell ---------------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        """The connection was opened; the handshake follows."""
        self.now = now
        if conn == self.conn and self.state is DIALING:
            self.state = HANDSHAKE
            self.messages = Messages(client_protocol(self.url, self.max_message, self.deflate))
            self.messages.connect(self.headers)
            self._flush()

    def dial_failed(self, now: float, conn: int) -> None:
        """The connection could not be opened."""
        self.lost(now, conn)

    def lost(self, now: float, conn: int, is_eof: bool = False) -> None:
        """The connection ended, in any way."""
        self.now = now
        if conn == self.conn and self.state is not DISCONNECTED:
            self._drop_link()

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes were read from the connection."""
        self.now = now
        if conn != self.conn or self.messages is None:
            return
        self.unanswered_pings = 0
        if self.state is HANDSHAKE:
            opened = self.messages.receive_handshake(data)
            if opened is False:
                self._drop_link()
            if not opened:
                return
            self.state, self.delay_ms, self.writable = OPEN, self.delays_ms[0], True
            self.at(now + self.ping_interval_ms, self._ping, conn)
            self.owner.opened()
            texts = self.messages.messages() if self.messages else []
        else:
            texts = self.messages.receive(data)
        for text in texts:
            self._handle_message(text)
        self._flush()
        if self.state is OPEN and self.messages is not None and not self.messages.open:
            self._drop_link()

    def congested(self, conn: int) -> None:
        """The connection accepts no more writes until it is drained."""
        self.writable = False

    def drained(self, now: float, conn: int) -> None:
        """The connection accepts writes again."""
        self.now, self.writable = now, True

    # --- internal --------------------------------------------------------------------------------

    def _handle_message(self, text: bytes | str) -> None:
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
        if self.state is DISCONNECTED and not self.stopped:
            parts = urlsplit(self.url)
            self.state, self.conn = DIALING, self.new_conn(self)
            self.out.append(commands.Dial(self.conn, parts.hostname or "", parts.port or 80, self.connect_timeout_ms))
            self.at(self.now + self.connect_timeout_ms, self._on_connect_timeout, self.conn)

    def _on_connect_timeout(self, conn: int) -> None:
        if conn == self.conn and self.state in (DIALING, HANDSHAKE):
            self._drop_link()

    def _drop_link(self) -> None:
        self.out.append(commands.AbortConnection(self.conn))
        was_open, self.state, self.messages = self.state is OPEN, DISCONNECTED, None
        self.losses += 1
        self.owner.link_lost(was_open)
        # Jitter of up to a half, so that a fleet that lost its service at once does not reconnect at once.
        self.at(self.now + self.delay_ms * self.rng.uniform(0.5, 1.0), self._redial, None)
        self.delay_ms = min(self.delay_ms * 2, self.delays_ms[1])

    def _redial(self, _: Any) -> None:
        self._dial(None)

    def _ping(self, conn: int) -> None:
        """Pings the service regularly; the link is dropped if nothing arrives after two pings."""
        if conn != self.conn or self.state is not OPEN or self.messages is None:
            return
        if self.unanswered_pings >= 2:
            self._drop_link()
            return
        self.unanswered_pings += 1
        self.messages.ping()
        self._flush()
        self.at(self.now + self.ping_interval_ms, self._ping, conn)

    def _flush(self) -> None:
        if self.messages is not None:
            writes, ends = self.messages.take()
            if writes:
                self.out.append(commands.Write(self.conn, b"".join(writes)))
            if ends:
                self.out.append(commands.CloseConnection(self.conn, 100.0))
