"""The pool of connections to nodes, without I/O: attempts in, writes and outcomes out.

Each node has up to ``max_links`` WebSocket connections, each carrying up to ``streams`` attempts at once as JSON-RPC
requests. An attempt is assigned to the open connection with the fewest attempts, else to one that is being opened,
else to a new one. It waits there until the connection is open and accepts writes. An attempt that was never written
to its connection never ran, and this is exact: the shell reports each congested connection, and nothing is written
to it meanwhile. docs/outcomes.md maps observations to results.

    dialing --dialed--> handshake --101--> open --close--> closing --> gone
       |                    |               |
       +---- failed --------+---- lost -----+-----------------------> gone
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from websockets.frames import CloseCode

from rushweir import interface
from rushweir.ingress import commands
from rushweir.ingress.pool import BasePool
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol
from rushweir.nodes.answers import attempt_ended, parse_load
from rushweir.nodes.links import CLOSING, DIALING, GONE, HANDSHAKE, OPEN, Link, Node, PoolSettings

MAX_ABANDONED = 2048  # ids that a connection remembers of attempts given up, to recognise late answers
CANCEL = "rpc.cancel"  # a notification: names that begin with "rpc." are for extensions (JSON-RPC 2.0, 8)
PROBE = "rpc.probe"
CLOSE_WRITE_TIMEOUT_MS = 100.0  # for the last bytes to a connection that is being closed
CLOSING_HANDSHAKE_TIMEOUT_MS = 1000.0  # then an idle connection is aborted
NODE_FORGET_MS = 60_000.0  # a node that is not ready or not listed is forgotten after this time


class Pool(BasePool):
    """The connections of one ingress to all nodes. ``out``: commands for the shell; ``ended``: attempts and probes
    that ended. Times are in milliseconds."""

    def __init__(
        self, settings: PoolSettings, headers: dict[str, str], new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:  # fmt: skip
        super().__init__(new_conn, at)
        self.settings, self.headers = settings, headers
        self.nodes: dict[str, Node] = {}
        self.link_by_attempt: dict[int, Link] = {}  # of attempts that have not ended, by their identity

    # --- called by the engine --------------------------------------------------------------------

    def send(self, now: float, attempt: commands.Attempt) -> None:
        """Sends an attempt to its node, or ends it at once if that is not possible."""
        self.now = now
        node = self._node(attempt.node)
        if node is None:
            self._end_attempt(attempt, interface.Result.CONNECT_FAILED)
            return
        if self._is_past_grace(node):
            self.counts["cut_off"] += 1
            self._end_attempt(attempt, interface.Result.SUPERSEDED)
            return
        link = self._link_for(node)
        if link is None:  # all connections that may be opened are full: the limit is local, and nothing was sent
            self.counts["no_stream"] += 1
            self._end_attempt(attempt, interface.Result.SUPERSEDED)
            return
        link.waiting[id(attempt)] = attempt
        self.link_by_attempt[id(attempt)] = link
        if link.state is OPEN and link.writable:
            self._write_waiting(link)

    def probe(self, now: float, address: str) -> None:
        """Probes a node over a connection that is open."""
        self.now = now
        node = self._node(address)
        link = next((link for link in node.links if link.state is OPEN and link.writable), None) if node else None
        if link is None or len(link.probes) >= self.settings.streams:
            # A probe that opened a connection first would measure the dial and not the node.
            self.ended.append(commands.ProbeEnded(address, interface.Result.CONNECT_FAILED, 0.0))
            return
        link.last_id += 1
        link.probes[link.last_id] = now
        link.messages.send(rpc.call(PROBE, {}, link.last_id))
        self._flush(link)
        self.at(now + self.settings.probe_timeout_ms, self._on_probe_timeout, (link, link.last_id))

    def apply_list(self, now: float, states: dict[str, interface.State]) -> None:
        """Takes the current list, as states by address: after the grace time nothing is written to a node that is not
        ready or not listed."""
        self.now = now
        for address, state in states.items():
            if state is interface.State.READY:
                if (node := self.nodes.get(address)) is not None:
                    node.unavailable_since = None
            else:
                node = self.nodes.setdefault(address, Node(address))
                node.unavailable_since = now if node.unavailable_since is None else node.unavailable_since
        for address, node in self.nodes.items():
            if address not in states and node.unavailable_since is None:
                node.unavailable_since = now
        self._remove_gone_nodes()

    # --- called by the shell ---------------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        """A connection was opened; the handshake follows."""
        self.now = now
        link = self.links.get(conn)
        if link is None or link.state is not DIALING:
            return
        link.state = HANDSHAKE
        link.messages.connect(self.headers)
        self._flush(link)

    def dial_failed(self, now: float, conn: int) -> None:
        """A connection could not be opened."""
        self.now = now
        if (link := self.links.get(conn)) is not None:
            link.node.dial_failures += 1
            self._end_link(link)

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes were read from a connection."""
        self.now = now
        link = self.links.get(conn)
        if link is None:
            return
        link.reads += 1
        link.ping_sent = False
        if link.state is HANDSHAKE:
            self._handle_handshake(link, data)
            return
        for text in link.messages.receive(data):
            self._handle_message(link, text)
        self.hold(conn, link.held_bytes)
        self._flush(link)
        if not link.messages.open and link.state is OPEN:
            # The node closes, or violated the protocol: no further answers come (RFC 6455, 1.4).
            self._end_link(link)

    def lost(self, now: float, conn: int, is_eof: bool = False) -> None:
        """A connection ended, in any way."""
        self.now = now
        if (link := self.links.get(conn)) is not None:
            self._end_link(link)

    def congested(self, conn: int) -> None:
        """A connection accepts no more writes until it is drained."""
        if (link := self.links.get(conn)) is not None:
            link.writable = False

    def drained(self, now: float, conn: int) -> None:
        """A congested connection accepts writes again."""
        self.now = now
        if (link := self.links.get(conn)) is not None and not link.writable:
            link.writable = True
            if link.state is OPEN:
                self._write_waiting(link)

    def drop_incomplete_answer(self, now: float, conn: int) -> None:
        """Ends a connection whose message is incomplete, since there is no memory; its attempts may have run."""
        self.now = now
        self._end_link(self.links[conn], abort=True)

    # --- internal --------------------------------------------------------------------------------

    def _node(self, address: str) -> Node | None:
        node = self.nodes.get(address)
        if node is None:
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit():
                return None
            node = self.nodes[address] = Node(address)
        return node

    def _is_past_grace(self, node: Node) -> bool:
        return node.unavailable_since is not None and self.now >= node.unavailable_since + self.settings.grace_ms

    def _link_for(self, node: Node) -> Link | None:
        # Writable links first, then the fewest attempts; ties go to the oldest, so that equal events act alike.
        not_full = [link for link in node.links if link.load < self.settings.streams]
        is_open = [link for link in not_full if link.state is OPEN]
        if available := [link for link in is_open if link.writable]:
            return min(available, key=lambda link: link.load)
        if opening := [link for link in not_full if link.state in (DIALING, HANDSHAKE)]:
            return opening[0]
        not_closing = [link for link in node.links if link.state is not CLOSING]
        if len(not_closing) < self.settings.max_links:
            return self._dial(node)
        return min(is_open, key=lambda link: link.load, default=None)

    def _dial(self, node: Node) -> Link:
        host, _, port = node.address.rpartition(":")
        messages = Messages(client_protocol(f"ws://{node.address}{self.settings.path}", self.settings.max_message))
        link = Link(0, node, self.now, messages)
        link.conn = self.new_conn(self)
        self.links[link.conn] = link
        node.links.append(link)
        self.counts["dials"] += 1
        self.out.append(commands.Dial(link.conn, host.strip("[]"), int(port), self.settings.connect_timeout_ms))
        self.at(self.now + self.settings.connect_timeout_ms, self._on_connect_timeout, link)
        return link

    def _on_connect_timeout(self, link: Link) -> None:
        if link.state in (DIALING, HANDSHAKE):
            link.node.dial_failures += 1
            self._end_link(link, abort=True)

    def _handle_handshake(self, link: Link, data: bytes) -> None:
        opened = link.messages.receive_handshake(data)
        if opened:
            link.state = OPEN
            link.idle_since = self.now
            self._check_idle(link)
            self._check_ping(link)
            self._write_waiting(link)
            for text in link.messages.messages():
                self._handle_message(link, text)
        elif opened is False:
            self.counts["handshake_refused"] += 1
            link.node.dial_failures += 1
            self._end_link(link, abort=True)

    def _write_waiting(self, link: Link) -> None:
        """Writes waiting attempts to the connection, oldest first. From here on an attempt may have run."""
        past_grace = bool(link.waiting) and self._is_past_grace(link.node)
        while link.waiting and len(link.streams) < self.settings.streams:
            _, attempt = link.waiting.popitem(last=False)
            if past_grace or not self.wanted(attempt):
                self.counts["cut_off"] += past_grace
                self._end_attempt(attempt, interface.Result.SUPERSEDED)
                continue
            link.last_id += 1
            link.streams[link.last_id] = attempt
            params = {**attempt.payload, "request": attempt.request_id, "attempt": attempt.number,
                      "within_ms": max(0.0, attempt.deadline_ms - self.now)}  # fmt: skip
            # Identifies repeats of this ingress where the client set no key.
            params.setdefault("key", attempt.request_id)
            link.messages.send(rpc.call(attempt.method, params, link.last_id))
        self._flush(link)

    def _handle_message(self, link: Link, text: bytes | str) -> None:
        try:
            message = rpc.parse(text, self.settings.streams)
        except rpc.RpcError:
            self.counts["bad_messages"] += 1
            link.node.unexpected_messages += 1
            return
        for reply in message.calls if isinstance(message, rpc.Batch) else (message,):
            if isinstance(reply, rpc.Reply):
                self._handle_reply(link, reply)
            else:  # nodes send no requests to an ingress
                self.counts["bad_messages"] += 1
                link.node.unexpected_messages += 1

    def _handle_reply(self, link: Link, reply: rpc.Reply) -> None:
        if reply.id in link.probes:
            spent_ms = self.now - link.probes.pop(reply.id)
            load = reply.result.get("load") if isinstance(reply.result, dict) else None
            result = interface.Result.OK if reply.error is None else interface.Result.ERROR
            self.ended.append(commands.ProbeEnded(link.node.address, result, spent_ms, parse_load(load)))
            return
        attempt = link.streams.pop(reply.id, None) if isinstance(reply.id, int) else None
        if attempt is None:
            # An answer to an attempt given up is late; any other is unmatched: a second answer, or a wrong id.
            # Neither may reach a client; unmatched ones are counted by node for the operators.
            if isinstance(reply.id, int) and link.abandoned.pop(reply.id, None) is not None:
                link.node.late_answers += 1
                self.counts["late_answers"] += 1
            else:
                link.node.unexpected_messages += 1
                self.counts["stray_answers"] += 1
            return
        link.idle_since = self.now
        self.link_by_attempt.pop(id(attempt), None)
        self.ended.append(attempt_ended(attempt, reply))
        if link.waiting:
            self._write_waiting(link)

    def _abandon(self, attempt: commands.Attempt, result: interface.Result) -> None:
        link = self.link_by_attempt.get(id(attempt))
        if link is None:
            return
        if link.waiting.pop(id(attempt), None) is not None:
            self._end_attempt(attempt, interface.Result.SUPERSEDED)  # never written: it never ran
            return
        rpc_id = next(rpc_id for rpc_id, sent in link.streams.items() if sent is attempt)
        del link.streams[rpc_id]
        link.abandoned[rpc_id] = attempt
        while len(link.abandoned) > MAX_ABANDONED:
            link.abandoned.popitem(last=False)
        if link.writable:
            link.messages.send(rpc.call(CANCEL, {"id": rpc_id}))
            self._flush(link)
        self._end_attempt(attempt, result)
        if link.waiting and link.state is OPEN and link.writable:
            self._write_waiting(link)

    def _is_unsent(self, attempt: commands.Attempt) -> bool:
        link = self.link_by_attempt.get(id(attempt))
        return link is not None and id(attempt) in link.waiting

    def _end_attempt(self, attempt: commands.Attempt, result: interface.Result) -> None:
        self.link_by_attempt.pop(id(attempt), None)
        self.ended.append(commands.AttemptEnded(attempt, result))

    def _end_link(self, link: Link, abort: bool = False) -> None:
        """Ends a connection. Attempts that waited on it never ran; those written to it may have.

        ``abort``: without a closing handshake."""
        if link.state is GONE:
            return
        link.state = GONE
        self.hold(link.conn, 0)
        self.links.pop(link.conn, None)
        if link in link.node.links:
            link.node.links.remove(link)
        close = commands.CloseConnection(link.conn, CLOSE_WRITE_TIMEOUT_MS)
        self.out.append(commands.AbortConnection(link.conn) if abort else close)
        for attempt in list(link.waiting.values()):
            self._end_attempt(attempt, interface.Result.CONNECT_FAILED)
        for attempt in list(link.streams.values()):
            self._end_attempt(attempt, interface.Result.RESET)
        for sent_at in link.probes.values():
            self.ended.append(commands.ProbeEnded(link.node.address, interface.Result.RESET, self.now - sent_at))
        for held in (link.waiting, link.streams, link.probes, link.abandoned):
            held.clear()

    def _flush(self, link: Link) -> None:
        writes, end = link.messages.take()
        if writes:
            self.out.append(commands.Write(link.conn, b"".join(writes) if len(writes) > 1 else writes[0]))
        if end and link.state is not GONE:
            self.out.append(commands.CloseConnection(link.conn, CLOSE_WRITE_TIMEOUT_MS))

    def _on_probe_timeout(self, probe: tuple[Link, int]) -> None:
        link, rpc_id = probe
        if (sent_at := link.probes.pop(rpc_id, None)) is not None:
            self.ended.append(commands.ProbeEnded(link.node.address, interface.Result.TIMEOUT, self.now - sent_at))

    def _check_idle(self, link: Link) -> None:
        """Closes a connection that has been idle for some time, since each costs the node some of its capacity."""
        if link.state is not OPEN:
            return
        if link.load or link.probes:
            link.idle_since = self.now
        due = link.idle_since + self.settings.idle_ms
        if self.now >= due:
            link.state = CLOSING
            link.messages.close(CloseCode.NORMAL_CLOSURE, "idle")
            self._flush(link)
            self.at(self.now + CLOSING_HANDSHAKE_TIMEOUT_MS, self._on_close_timeout, link)
        else:
            self.at(due, self._check_idle, link)

    def _on_close_timeout(self, link: Link) -> None:
        self._end_link(link, abort=True)

    def _check_ping(self, link: Link) -> None:
        """Pings a node that is silent while attempts are in flight, and ends the connection if no answer comes: a
        machine that fails sends no reset, and its connections would take attempts for ever."""
        if link.state is not OPEN:
            return
        if link.streams or link.abandoned:
            if link.ping_sent:
                self.counts["silent_links"] += 1
                self._end_link(link, abort=True)
                return
            link.ping_sent = True
            link.messages.ping()
            self._flush(link)
        self.at(self.now + self.settings.ping_ms, self._check_ping, link)

    def _remove_gone_nodes(self) -> None:
        """Removes nodes that are gone from the list and have no connection, so that the table stays bounded."""
        unused = [name for name, node in self.nodes.items() if not node.links and self._is_past_grace(node)]
        for address in unused:
            # The policy sends no attempts to such an address, since its list no longer has it.
            if self.nodes[address].unavailable_since + NODE_FORGET_MS < self.now:
                del self.nodes[address]

    def close_all(self, now: float) -> None:
        """Closes all connections as the ingress stops."""
        self.now = now
        for link in list(self.links.values()):
            if link.state is OPEN:
                link.messages.close(CloseCode.GOING_AWAY, "ingress stops")
                self._flush(link)
            self._end_link(link)
