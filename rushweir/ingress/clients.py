"""The clients of one ingress: their connections from the first byte to the last, joined to the engine. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress import commands as c
from rushweir.ingress.queries import Query

if TYPE_CHECKING:
    from rushweir.ingress.core import Core

LINGER_MS = 50.0  # a connection that is to be left is quiet for so long first: a request may be on its way
MOST_DRAINED = 262_144  # bytes thrown away after an error was sent, before the connection is cut
GOING_AWAY, POLICY_VIOLATION = 1001, 1008  # RFC 6455, 7.4.1; fronts of other protocols skip them


@dataclass(slots=True)
class Client:
    """A client's connection, and what of it is the core's affair."""

    conn: int
    front: Any
    since: float
    heard: int = 0
    asked: bool = False  # a ping is out
    held: bool = False  # answers wait: the client does not take them
    helds: int = 0  # how often that was so
    ended: bool = False
    quiet_at: float = 0.0  # when it last said something, or was answered
    timed: int = 0  # the last message begun whose end is waited for
    drained: int = 0  # bytes that came after the end, thrown away


class Clients:
    """The connections of clients by number, in ``open``. Its core calls it, and carries out its orders."""

    def __init__(self, core: Core) -> None:
        self.core, self.open = core, dict[int, Client]()
        self.engine, self.commands, self.counts = core.engine, core.commands, core.counts

    def accepted(self, address: str) -> int:
        conn = self.core.new_conn(None)
        front = self.core.components.front()
        client = self.open[conn] = Client(conn, front, self.core.now, quiet_at=self.core.now)
        self.counts["accepted"] += 1
        if len(self.open) > self.core.setup.max_clients:
            self._make_room(client)
        full = len(self.open) > self.core.setup.max_clients or not self.core.load_shedder.admits_connections()
        if self.core.stopping or full:
            self.counts["turned_away"] += 1
            front.reject()
            self._flush(client)
        elif address and (nets := self.core.setup.client_networks) is not None and not nets.allows(address):
            self.counts["strange_networks"] += 1
            front.forbid()
            self._flush(client)
        else:
            self.engine.call_at(self.core.now + self.core.setup.handshake_ms, self._head_late, client)
        return conn

    def received(self, client: Client, data: bytes) -> None:
        if client.ended:
            client.drained += len(data)
            if client.drained > MOST_DRAINED:
                self.commands.append(c.AbortConnection(client.conn))
            return
        was_head = client.front.state is HEAD
        client.heard += 1
        client.asked = False
        client.quiet_at = self.core.now
        self._take(client, client.front.receive(data))
        if was_head and client.front.state is not HEAD:
            self._head_done(client)
        if (part := client.front.partial_message) > client.timed:
            # A message begun late on a connection is to end in time too.
            client.timed = part
            self.engine.call_at(self.core.now + self.core.setup.handshake_ms, self._part_late, (client, part))
        self._flush(client)

    def _take(self, client: Client, asked: Iterable[tuple[Any, Query]]) -> None:
        for ref, ask in asked:
            partner = ask.partner or client.front.partner
            assert partner is not None
            if self.core.fleet is not None:
                self.core.fleet.asked(self.core, partner, ask.units)
            if self.core.load_shedder.admits(self.core.values.get((ask.class_name, partner.plan), 0.0)):
                self.engine.request(self.core.now, client.conn, ref, partner, ask)
            else:
                wait = self.core.load_shedder.retry_after_ms()
                self.engine.reject(self.core.now, client.conn, ref, partner, ask, "overloaded", wait)

    def _part_late(self, what: tuple[Client, int]) -> None:
        client, part = what
        if client.front.partial_message == part and not client.ended and client.conn in self.open:
            self.counts["slow_messages"] += 1
            client.front.time_out()
            self._flush(client)

    def _make_room(self, new: Client) -> None:
        """No descriptor is left for a new client: the one that asked nothing for longest goes. Never one with a
        request under way, nor one that just asked; one that never said a word goes before one that did."""
        # Who has its last answer and lingers goes first: a crowd that is turned away filled the bound by lingering.
        others = [k for k in self.open.values() if k is not new]
        spare = [k for k in others if k.ended or k.front.is_idle(self.core.now - k.quiet_at)]
        spare.sort(key=lambda k: (not k.ended, k.heard > 0, k.quiet_at))
        # As many as are above the bound: one for each newcomer left those above it there, and all were turned away.
        for oldest in spare[: len(self.open) - self.core.setup.max_clients]:
            self.counts["made_room"] += 1
            oldest.ended = True
            oldest.front.receive_eof()
            del self.open[oldest.conn]
            self.commands.append(c.AbortConnection(oldest.conn))

    def ended(self, conn: int) -> bool:
        """The other side ended its writing, or the connection broke; whether it was a client's."""
        client = self.open.pop(conn, None)
        if client is None:
            return False
        client.ended = True
        client.front.receive_eof()
        if left := self.engine.client_left(self.core.now, conn):
            self.counts["left_open"] += left
        self.commands.append(c.CloseConnection(conn, 200.0))
        return True

    def congested(self, client: Client, size: int) -> None:
        """Bytes wait to be written to it, ``size`` of them."""
        if client.ended:
            return
        if size > self.core.setup.max_unread_bytes:
            # It asks and never reads: its answers would fill the memory that others need.
            self._unread(client)
        elif not client.held:
            # Its bytes are read on all the same: with reading paused nobody saw that it left.
            client.held = True
            client.helds += 1
            self.engine.call_at(self.core.now + self.core.setup.unread_ms, self._still_held, (client, client.helds))

    def drained(self, client: Client) -> None:
        client.held = False

    def _still_held(self, what: tuple[Client, int]) -> None:
        client, helds = what
        if client.held and client.helds == helds and not client.ended and client.conn in self.open:
            self._unread(client)

    def _unread(self, client: Client) -> None:
        self.counts["unread"] += 1
        self._drop(client, POLICY_VIOLATION, "answers are not read")

    def _drop(self, client: Client, code: int, reason: str) -> None:
        client.front.fail(code, reason)
        self._flush(client)
        if not client.ended:
            client.ended = True
            self.commands.append(c.CloseConnection(client.conn, 1000.0))
        self.engine.client_left(self.core.now, client.conn)

    def _head_late(self, client: Client) -> None:
        if client.front.state is HEAD and not client.ended and client.conn in self.open:
            self.counts["slow_handshakes"] += 1
            client.front.time_out()
            self._flush(client)

    def _head_done(self, client: Client) -> None:
        if client.front.state is HTTP:
            idle = self.core.setup.http_idle_ms
            self.engine.call_at(self.core.now + idle, self._idle_http, (client, idle))
        else:
            idle = self.core.setup.ping_ms
            self.engine.call_at(self.core.now + idle, self._idle, (client, client.heard, idle))

    def _idle_http(self, what: tuple[Client, float]) -> None:
        """Plain HTTP has no ping: a connection ends when nothing was open on it for so long, to the moment."""
        client, idle = what
        if client.ended or client.conn not in self.open:
            return
        due = (self.core.now if client.front.is_busy else client.quiet_at) + idle
        if due > self.core.now:
            self.engine.call_at(due, self._idle_http, what)
        else:
            self._silent(client)

    def _idle(self, what: tuple[Client, int, float]) -> None:
        """A client that was silent for a while is asked whether it is there; without any word it is dropped:
        a hotel desk that lost its line sends no end, and would hold its connection for days."""
        client, heard, idle = what
        if client.ended or client.conn not in self.open:
            return
        if client.heard == heard:
            if client.front.state is CLOSING or client.asked:
                self._silent(client)
                return
            client.asked = True
            client.front.ping()
            self._flush(client)
        self.engine.call_at(self.core.now + idle, self._idle, (client, client.heard, idle))

    def _silent(self, client: Client) -> None:
        self.counts["silent_clients"] += 1
        self._drop(client, GOING_AWAY, "no answer to a ping")

    def _flush(self, client: Client) -> None:
        writes, end = client.front.take()
        if writes:
            self.commands.append(c.Write(client.conn, b"".join(writes) if len(writes) > 1 else writes[0]))
        if end and not client.ended:
            client.ended = True
            self.commands.append(c.CloseConnection(client.conn, 1000.0))
            self.engine.client_left(self.core.now, client.conn)

    def answer(self, answer: c.Answer) -> None:
        client = self.open.get(answer.conn)
        if client is None or client.ended:
            self.counts["answers_to_nobody"] += 1
            return
        client.front.answer(answer)
        client.quiet_at = self.core.now
        if client.front.backlog:
            self._take(client, client.front.receive(b""))
        self._flush(client)
        if client.front.refusal_reason or self.core.draining:
            self.leave_if_idle(client)

    def leave_if_idle(self, client: Client) -> None:
        """Leave a connection once nothing is open on it and nothing comes: what is read after the close frame
        gets no answer, and its sender could not tell whether it was done."""
        if not client.front.open_ids and not client.ended:
            self.engine.call_at(self.core.now + LINGER_MS, self._leave_if_quiet, (client, client.heard))

    def _leave_if_quiet(self, what: tuple[Client, int]) -> None:
        client, heard = what
        if client.ended or client.conn not in self.open:
            return
        # A request that has begun becomes whole, and is answered, or is told in time that it did not.
        quiet = client.heard == heard and not client.front.is_busy
        self.leave(client) if quiet else self.leave_if_idle(client)

    def leave(self, client: Client) -> None:
        """Going away, or, where it is only this client that must go, a policy's ground (RFC 6455, 7.4.1)."""
        gone = client.front.refusal_reason == "partner_gone"
        code = POLICY_VIOLATION if gone else GOING_AWAY
        client.front.close(code, "partner no longer known" if gone else "ingress stops")
        self._flush(client)
