"""The connections of an ingress's clients, from the first byte to the last, and their requests. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress import commands
from rushweir.ingress.held_memory import LOG_CAUSE
from rushweir.ingress.queries import Query
from rushweir.ingress.timers import Timer

if TYPE_CHECKING:
    from rushweir.ingress.core import Core

LINGER_MS = 50.0  # a client that was notified gets so long to close by itself; HTTP clients get no notification
MAX_DISCARDED_BYTES = 262_144  # read and discarded after an error was sent, before the connection is aborted
GOING_AWAY, POLICY_VIOLATION = 1001, 1008  # RFC 6455, 7.4.1; fronts of other protocols skip them


@dataclass(slots=True)
class Client:
    """A client's connection as the core tracks it."""

    conn: int
    front: Any
    opened_at: float
    read_count: int = 0
    checked_read_count: int = 0  # as of the last look whether it is silent
    quiet_read_count: int = 0  # as of when it was notified that its connection will be closed
    ping_sent: bool = False  # and nothing was read since
    write_blocked: bool = False  # answers wait, since the client does not read
    ended: bool = False  # nothing more is written or handled
    last_active_at: float = 0.0  # when bytes were last read, or an answer written
    timed_message: int = 0  # the last message whose reading has a time limit
    discarded_bytes: int = 0  # read after the end
    unread_bytes: int = 0  # written and not read yet, at most
    refusable_bytes: int = 0  # memory of all that it holds beside its open request
    timers: dict[Callable[[Client], None], Timer] = field(default_factory=dict)  # one for each function at most

    def end(self) -> None:
        """Marks that nothing more is written or handled. Cancels the timers: they would keep the record for as long
        as they run, and clients that are refused and connect again leave thousands of records a second."""
        self.ended = True
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()


class Clients:
    """The connections of clients, by number in ``open``. The core calls it and carries out its commands."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.open = dict[int, Client]()
        self.engine = core.engine
        self.commands = core.commands
        self.counts = core.counts
        # Whether nothing that a client sent waits to be read; the shell replaces this by a look at the socket.
        self.has_no_unread_input: Callable[[int], bool] = lambda conn: True

    def accepted(self, address: str) -> int:
        """A client connected from this address; returns the number of the connection."""
        conn = self.core.new_conn(None)
        front = self.core.components.front()
        client = self.open[conn] = Client(conn, front, self.core.now, last_active_at=self.core.now)
        self.counts["accepted"] += 1
        if len(self.open) > self.core.setup.max_clients:
            self._close_idle_connections(client)
        is_full = len(self.open) > self.core.setup.max_clients or not self.core.load_shedder.admits_connections()
        if self.core.stopping or is_full:
            self.counts["turned_away"] += 1
            front.reject_full()
            self._flush(client)
        elif address and (networks := self.core.setup.client_networks) is not None and not networks.allows(address):
            self.counts["strange_networks"] += 1
            front.reject_network()
            self._flush(client)
        else:
            self._call_at(client, self.core.now + self.core.setup.handshake_ms, self._head_timed_out)
        return conn

    def _call_at(self, client: Client, when: float, function: Callable[[Client], None]) -> None:
        """Calls ``function(client)`` at a time, unless its connection ends or this is called again before."""
        if client.ended:
            return
        if (former := client.timers.get(function)) is not None:
            former.cancel()
        client.timers[function] = self.engine.call_at(when, function, client)

    def received(self, client: Client, data: bytes) -> None:
        """Bytes arrived from a client."""
        if client.ended:
            client.discarded_bytes += len(data)
            if client.discarded_bytes > MAX_DISCARDED_BYTES:
                self.commands.append(commands.AbortConnection(client.conn))
            return
        was_head = client.front.state is HEAD
        client.read_count += 1
        client.ping_sent = False
        client.last_active_at = self.core.now
        discarded_before = client.front.discarded_count
        requests = client.front.receive(data)
        self._record_memory(client)
        self.core.memory.enforce()
        if client.conn not in self.open:
            return  # it was dropped, since it reads nothing: nobody would get the answers
        self._handle_requests(client, requests)
        if self.core.pool.waits_for_input:
            self._send_held_attempts(client)
        if client.front.discarded_count != discarded_before:
            self.counts["requests_after_close"] += client.front.discarded_count - discarded_before
        if was_head and client.front.state is not HEAD:
            self._head_read(client)
        if (message := client.front.partial_message) > client.timed_message:
            # The time limit for reading holds for each message, not only for the first of a connection.
            client.timed_message = message
            self._call_at(client, self.core.now + self.core.setup.handshake_ms, self._message_timed_out)
        self._flush(client)

    def _handle_requests(self, client: Client, requests: Iterable[tuple[Any, Query]]) -> None:
        for ref, query in requests:
            partner = query.partner or client.front.partner
            assert partner is not None
            if self.core.fleet is not None:
                self.core.fleet.record_demand(self.core, partner, query.units)
            if self.core.ending:
                # An attempt would run, but nobody be told: its connection is closed in the same turn.
                self.engine.reject(self.core.now, client.conn, ref, partner, query, "stopping")
            elif self.core.memory.is_exceeded:
                retry_after_ms = self.core.memory.retry_after_ms()
                self.engine.reject(self.core.now, client.conn, ref, partner, query, LOG_CAUSE, retry_after_ms)
            elif self.core.load_shedder.admits(self.core.request_values.get((query.class_name, partner.plan), 0.0)):
                self.engine.request(self.core.now, client.conn, ref, partner, query)
            else:
                retry_after_ms = self.core.load_shedder.retry_after_ms()
                self.engine.reject(self.core.now, client.conn, ref, partner, query, "overloaded", retry_after_ms)

    def is_read(self, attempt: commands.Attempt) -> bool:
        """Whether all input of an attempt's client was read. Its pipelined requests may fill the receive buffers, and
        the end of its connection comes behind them: until then nobody can tell whether the client has gone."""
        entry = self.engine.ledger.entries.get(attempt.request_id)
        return entry is None or self.has_no_unread_input(entry.conn)

    def _send_held_attempts(self, client: Client) -> None:
        """Let attempts be sent that waited until the client's input was read."""
        for entry in self.engine.ledger.of_connection(client.conn):
            for attempt in entry.attempts:
                if not attempt.ended:
                    self.core.pool.client_read(self.core.now, attempt)

    def _message_timed_out(self, client: Client) -> None:
        if client.front.partial_message == client.timed_message:
            self.counts["slow_messages"] += 1
            client.front.reject_slow_head()
            self._flush(client)

    def _close_idle_connections(self, new_client: Client) -> None:
        """Abort idle connections, since no descriptor is left for a new client: those idle for longest first, and
        those that never sent anything before the others; none with an open request or a recent one."""
        # Connections that only linger after their last answer go first: else rejected clients fill the bound.
        others = [k for k in self.open.values() if k is not new_client]
        idle = [k for k in others if k.ended or k.front.is_idle(self.core.now - k.last_active_at)]
        idle.sort(key=lambda k: (not k.ended, k.read_count > 0, k.last_active_at))
        # All above the bound are closed: with one for each new client the number would stay above it.
        for oldest in idle[: len(self.open) - self.core.setup.max_clients]:
            self.counts["made_room"] += 1
            oldest.end()
            oldest.front.receive_eof()
            del self.open[oldest.conn]
            self.core.memory.set(oldest.conn, 0)
            self.commands.append(commands.AbortConnection(oldest.conn))

    def ended(self, conn: int) -> bool:
        """The other side closed its sending direction, or the connection broke; returns whether it was a client's."""
        client = self.open.pop(conn, None)
        if client is None:
            return False
        client.end()
        client.front.receive_eof()
        self.core.memory.set(conn, 0)
        if left := self.engine.client_left(self.core.now, conn):
            self.counts["left_open"] += left
        self.commands.append(commands.CloseConnection(conn, 200.0))
        return True

    def congested(self, client: Client, size: int) -> None:
        """``size`` bytes wait to be written to a client."""
        client.unread_bytes = size
        self._record_memory(client)
        if client.ended:
            return
        if size > self.core.setup.max_unread_bytes:
            # A client that sends requests and reads no answers would fill the memory.
            self._drop_unread(client)
        elif not client.write_blocked:
            # Reading goes on: with reading paused the end of the connection would not be seen.
            client.write_blocked = True
            self._call_at(client, self.core.now + self.core.setup.unread_ms, self._write_timed_out)

    def drained(self, client: Client) -> None:
        """The bytes that waited to be written to a client are sent."""
        client.write_blocked = False
        client.unread_bytes = 0
        self._record_memory(client)

    def _write_timed_out(self, client: Client) -> None:
        if client.write_blocked:
            self._drop_unread(client)

    def _drop_unread(self, client: Client) -> None:
        self.counts["unread"] += 1
        self._close_with_error(client, POLICY_VIOLATION, "answers are not read")

    def _close_with_error(self, client: Client, code: int, reason: str) -> None:
        client.front.fail(code, reason)
        self._flush(client)
        if not client.ended:
            client.end()
            self.commands.append(commands.CloseConnection(client.conn, 1000.0))
        self.engine.client_left(self.core.now, client.conn)

    def _head_timed_out(self, client: Client) -> None:
        if client.front.state is HEAD:
            self.counts["slow_handshakes"] += 1
            client.front.reject_slow_head()
            self._flush(client)

    def _head_read(self, client: Client) -> None:
        if client.front.state is HTTP:
            self._call_at(client, self.core.now + self.core.setup.http_idle_ms, self._close_if_idle)
        else:
            client.checked_read_count = client.read_count
            self._call_at(client, self.core.now + self.core.setup.ping_ms, self._check_silence)

    def _close_if_idle(self, client: Client) -> None:
        """Close a plain HTTP connection, which has no ping, once it had no open request for the idle time."""
        idle_since = self.core.now if client.front.is_busy else client.last_active_at
        due = idle_since + self.core.setup.http_idle_ms
        if due > self.core.now:
            self._call_at(client, due, self._close_if_idle)
        else:
            self._drop_silent(client)

    def _check_silence(self, client: Client) -> None:
        """Ping a client that was silent for the ping interval, and drop it if it stays silent. A client that lost its
        network sends no end of the connection, and would hold its descriptor for days."""
        if client.read_count == client.checked_read_count:
            if client.front.state is CLOSING or client.ping_sent:
                self._drop_silent(client)
                return
            client.ping_sent = True
            client.front.ping()
            self._flush(client)
        client.checked_read_count = client.read_count
        self._call_at(client, self.core.now + self.core.setup.ping_ms, self._check_silence)

    def _drop_silent(self, client: Client) -> None:
        self.counts["silent_clients"] += 1
        self._close_with_error(client, GOING_AWAY, "no answer to a ping")

    # --- memory ----------------------------------------------------------------------------------

    def _record_memory(self, client: Client) -> None:
        front = client.front
        client.refusable_bytes = client.unread_bytes + front.unsent_bytes + front.refusable_bytes
        self.core.memory.set(client.conn, client.unread_bytes + front.held_bytes)

    def refuse_unfinished(self, client: Client) -> int:
        """Refuse a client's requests that are incomplete or queued, since there is no memory for them; returns their
        number."""
        count = client.front.refuse_unfinished()
        self._handle_requests(client, client.front.receive(b""))
        self._flush(client)
        return count

    def drop(self, client: Client) -> None:
        """Abort the connection of a client that does not read its answers, since there is no memory for them."""
        client.end()
        client.front.fail(POLICY_VIOLATION, "answers are not read")
        del self.open[client.conn]
        self.core.memory.set(client.conn, 0)
        self.engine.client_left(self.core.now, client.conn)
        self.commands.append(commands.AbortConnection(client.conn))

    # --- answers ---------------------------------------------------------------------------------

    def _flush(self, client: Client) -> None:
        writes, end = client.front.take()
        if writes:
            self.commands.append(commands.Write(client.conn, b"".join(writes) if len(writes) > 1 else writes[0]))
        if end and not client.ended:
            client.end()
            self.commands.append(commands.CloseConnection(client.conn, 1000.0))
            self.engine.client_left(self.core.now, client.conn)
        self._record_memory(client)

    def answer(self, answer: commands.Answer) -> None:
        """Send a final answer to the client, if it is still connected."""
        client = self.open.get(answer.conn)
        if client is None or client.ended:
            self.counts["answers_to_nobody"] += 1
            return
        client.front.answer(answer)
        client.last_active_at = self.core.now
        if client.front.backlog:
            self._handle_requests(client, client.front.receive(b""))
        self._flush(client)
        if client.front.refusal_reason or self.core.draining:
            self.close_when_idle(client)

    def close_when_idle(self, client: Client) -> None:
        """Notify a client that its connection will be closed, and close it once it has no open request and is quiet.

        A request that is read after the close frame can't be answered. So the close frame waits until the client has
        confirmed that it read the notification: all that it sent before is read by then."""
        if client.ended:
            return
        client.front.announce_close()
        self._flush(client)
        if not client.front.open_ids:
            client.quiet_read_count = client.read_count
            self._call_at(client, self.core.now + LINGER_MS, self._close_if_quiet)

    def _close_if_quiet(self, client: Client) -> None:
        # A request that is partly read is first read to its end, or times out.
        is_quiet = client.read_count == client.quiet_read_count and not client.front.is_busy
        if is_quiet and not client.front.awaits_close_ack:
            self.close(client)
        else:
            self.close_when_idle(client)

    def close(self, client: Client) -> None:
        """Close a connection: with "going away" where the ingress stops, with "policy violation" where the client's
        partner was removed (RFC 6455, 7.4.1)."""
        partner_gone = client.front.refusal_reason == "partner_gone"
        code = POLICY_VIOLATION if partner_gone else GOING_AWAY
        why = "partner no longer known" if partner_gone else "ingress stops"
        client.front.close(code, f"{why}; requests without an answer were not taken")
        self._flush(client)
