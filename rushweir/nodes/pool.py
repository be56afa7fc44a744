"""The pool of connections to nodes, without I/O: attempts in, writes and outcomes out.

Each node has up to ``max_links`` WebSocket connections, each carrying up to ``streams`` attempts at once as
JSON-RPC requests. An attempt goes to the open connection with the fewest attempts, else to one that is being
opened, else opens one. It waits at its connection until that is open and takes writes; what was never
handed over to the connection for writing never ran, and that is exact: the shell reports each connection
that holds back writes, and nothing is handed to it meanwhile. docs/outcomes.md maps what is seen to results.

    dialing --dialed--> handshake --101--> open --close--> closing --> gone
       |                    |               |
       +---- failed --------+---- lost -----+-----------------------> gone
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from websockets.frames import CloseCode

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.ingress.pool import BasePool
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol
from rushweir.nodes.answers import ended
from rushweir.nodes.answers import load as load_of
from rushweir.nodes.links import CLOSING, DIALING, GONE, HANDSHAKE, OPEN, Link, Node, PoolSettings

MOST_LATE = 2048  # ids that a connection remembers after their attempts were given up, to know late answers
CANCEL = "rpc.cancel"  # a notification: names that begin with "rpc." are for extensions (JSON-RPC 2.0, 8)
PROBE = "rpc.probe"


class Pool(BasePool):
    """All nodes of one ingress. ``out`` holds orders for the shell, ``ended`` what became of attempts."""

    def __init__(
        self,
        settings: PoolSettings,
        headers: dict[str, str],
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:
        super().__init__(new_conn, at)
        self.settings, self.headers = settings, headers
        self.nodes: dict[str, Node] = {}
        self.links: dict[int, Link] = {}
        self.link_by_attempt: dict[int, Link] = {}  # attempts not ended, by identity

    # --- what the engine wants -------------------------------------------------------------------

    def send(self, now: float, attempt: c.Attempt) -> None:
        self.now = now
        node = self._node(attempt.node)
        if node is None:
            self._end(attempt, i.Result.CONNECT_FAILED)
            return
        if self._cut_off(node):
            self.counts["cut_off"] += 1
            self._end(attempt, i.Result.SUPERSEDED)
            return
        link = self._link_for(node)
        if link is None:
            # All connections that may be opened are full: the cap is this side's, and nothing was sent.
            self.counts["no_stream"] += 1
            self._end(attempt, i.Result.SUPERSEDED)
            return
        link.waiting[id(attempt)] = attempt
        self.link_by_attempt[id(attempt)] = link
        if link.state is OPEN and link.writable:
            self._hand_over(link)

    def probe(self, now: float, server: str) -> None:
        self.now = now
        node = self._node(server)
        link = next((k for k in node.links if k.state is OPEN and k.writable), None) if node else None
        if link is None or len(link.probes) >= self.settings.streams:
            # A probe that would have to open a connection first would tell of the dial, not of the node.
            self.ended.append(c.ProbeEnded(server, i.Result.CONNECT_FAILED, 0.0))
            return
        link.serial += 1
        link.probes[link.serial] = now
        link.messages.send(rpc.call(PROBE, {}, link.serial))
        self._flush(link)
        self.at(now + self.settings.probe_timeout_ms, self._probe_late, (link, link.serial))

    def notified(self, now: float, servers: dict[str, i.State]) -> None:
        """The list as it now stands: what is not ready, or not in it, gets nothing after the grace."""
        self.now = now
        for address, state in servers.items():
            if state is i.State.READY:
                if (node := self.nodes.get(address)) is not None:
                    node.closed_at = None
            else:
                node = self.nodes.setdefault(address, Node(address))
                node.closed_at = now if node.closed_at is None else node.closed_at
        for address, node in self.nodes.items():
            if address not in servers and node.closed_at is None:
                node.closed_at = now
        self._forget()

    # --- what happens to connections -------------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self.now = now
        link = self.links.get(conn)
        if link is None or link.state is not DIALING:
            return
        link.state = HANDSHAKE
        link.messages.connect(self.headers)
        self._flush(link)

    def dial_failed(self, now: float, conn: int) -> None:
        self.now = now
        if (link := self.links.get(conn)) is not None:
            link.node.dial_failures += 1
            self._gone(link)

    def received(self, now: float, conn: int, data: bytes) -> None:
        self.now = now
        link = self.links.get(conn)
        if link is None:
            return
        link.heard += 1
        link.pinged = False
        if link.state is HANDSHAKE:
            self._handshake(link, data)
            return
        for text in link.messages.receive(data):
            self._message(link, text)
        self._flush(link)
        if not link.messages.open and link.state is OPEN:
            # The node closes or broke the protocol: no further answers come (RFC 6455, 1.4).
            self._gone(link)

    def lost(self, now: float, conn: int) -> None:
        """The connection ended, in whichever way."""
        self.now = now
        if (link := self.links.get(conn)) is not None:
            self._gone(link)

    def congested(self, conn: int) -> None:
        if (link := self.links.get(conn)) is not None:
            link.writable = False

    def drained(self, now: float, conn: int) -> None:
        self.now = now
        if (link := self.links.get(conn)) is not None and not link.writable:
            link.writable = True
            if link.state is OPEN:
                self._hand_over(link)

    # --- inside ----------------------------------------------------------------------------------

    def _node(self, address: str) -> Node | None:
        node = self.nodes.get(address)
        if node is None:
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit():
                return None
            node = self.nodes[address] = Node(address)
        return node

    def _cut_off(self, node: Node) -> bool:
        return node.closed_at is not None and self.now >= node.closed_at + self.settings.grace_ms

    def _link_for(self, node: Node) -> Link | None:
        s = self.settings
        # Writable ones first, then fewest attempts; order of birth breaks ties, so equal events act alike.
        able = [k for k in node.links if k.state is OPEN and k.writable and k.load < s.streams]
        if able:
            return min(able, key=lambda k: k.load)
        opening = [k for k in node.links if k.state in (DIALING, HANDSHAKE) and k.load < s.streams]
        if opening:
            return opening[0]
        live = [k for k in node.links if k.state is not CLOSING]
        if len(live) < s.max_links:
            return self._dial(node)
        held = [k for k in live if k.state is OPEN and k.load < s.streams]
        return min(held, key=lambda k: k.load) if held else None

    def _dial(self, node: Node) -> Link:
        host, _, port = node.address.rpartition(":")
        messages = Messages(client_protocol(f"ws://{node.address}{self.settings.path}", self.settings.max_message))
        link = Link(0, node, self.now, messages)
        link.conn = self.new_conn(self)
        self.links[link.conn] = link
        node.links.append(link)
        self.counts["dials"] += 1
        self.out.append(c.Dial(link.conn, host.strip("[]"), int(port), self.settings.connect_timeout_ms))
        self.at(self.now + self.settings.connect_timeout_ms, self._connect_late, link)
        return link

    def _connect_late(self, link: Link) -> None:
        if link.state in (DIALING, HANDSHAKE):
            link.node.dial_failures += 1
            self._gone(link, abort=True)

    def _handshake(self, link: Link, data: bytes) -> None:
        opened = link.messages.receive_handshake(data)
        if opened:
            link.state = OPEN
            link.idle_since = self.now
            self._idle_check(link)
            self._ping_check(link)
            self._hand_over(link)
            for text in link.messages.messages():
                self._message(link, text)
        elif opened is False:
            self.counts["handshake_refused"] += 1
            link.node.dial_failures += 1
            self._gone(link, abort=True)

    def _hand_over(self, link: Link) -> None:
        """Give what waits to the connection, oldest first. From here on an attempt may have run."""
        cut_off = bool(link.waiting) and self._cut_off(link.node)
        while link.waiting and len(link.streams) < self.settings.streams:
            _, attempt = link.waiting.popitem(last=False)
            if cut_off or not self.wanted(attempt):
                self.counts["cut_off"] += cut_off
                self._end(attempt, i.Result.SUPERSEDED)
                continue
            link.serial += 1
            link.streams[link.serial] = attempt
            params = {**attempt.payload, "request": attempt.request_id, "attempt": attempt.number,
                      "within_ms": max(0.0, attempt.deadline_ms - self.now)}  # fmt: skip
            # Marks this ingress's own repeats where the client named none.
            params.setdefault("key", attempt.request_id)
            link.messages.send(rpc.call(attempt.method, params, link.serial))
        self._flush(link)

    def _message(self, link: Link, text: bytes | str) -> None:
        try:
            message = rpc.parse(text, self.settings.streams)
        except rpc.RpcError:
            self.counts["bad_messages"] += 1
            link.node.strays += 1
            return
        for reply in message.calls if isinstance(message, rpc.Batch) else (message,):
            if isinstance(reply, rpc.Reply):
                self._reply(link, reply)
            else:  # a node asks nothing of an ingress
                self.counts["bad_messages"] += 1
                link.node.strays += 1

    def _reply(self, link: Link, reply: rpc.Reply) -> None:
        if reply.id in link.probes:
            spent = self.now - link.probes.pop(reply.id)
            load = reply.result.get("load") if isinstance(reply.result, dict) else None
            result = i.Result.OK if reply.error is None else i.Result.ERROR
            self.ended.append(c.ProbeEnded(link.node.address, result, spent, load_of(load)))
            return
        attempt = link.streams.pop(reply.id, None) if isinstance(reply.id, int) else None
        if attempt is None:
            # An answer to an attempt given up is late, any other is a stray: a second answer, or a wrong id.
            # Neither may reach a client; a node that sends strays is counted for the operators.
            if isinstance(reply.id, int) and link.late.pop(reply.id, None) is not None:
                link.node.late += 1
                self.counts["late_answers"] += 1
            else:
                link.node.strays += 1
                self.counts["stray_answers"] += 1
            return
        link.idle_since = self.now
        self.link_by_attempt.pop(id(attempt), None)
        self.ended.append(ended(attempt, reply))
        if link.waiting:
            self._hand_over(link)

    def _give_up(self, attempt: c.Attempt, result: i.Result) -> None:
        link = self.link_by_attempt.get(id(attempt))
        if link is None:
            return
        if link.waiting.pop(id(attempt), None) is not None:
            self._end(attempt, i.Result.SUPERSEDED)  # never handed over: it never ran
            return
        number = next(n for n, a in link.streams.items() if a is attempt)
        del link.streams[number]
        link.late[number] = attempt
        while len(link.late) > MOST_LATE:
            link.late.popitem(last=False)
        if link.writable:
            link.messages.send(rpc.call(CANCEL, {"id": number}))
            self._flush(link)
        self._end(attempt, result)
        if link.waiting and link.state is OPEN and link.writable:
            self._hand_over(link)

    def _held_back(self, attempt: c.Attempt) -> bool:
        link = self.link_by_attempt.get(id(attempt))
        return link is not None and id(attempt) in link.waiting

    def _end(self, attempt: c.Attempt, result: i.Result) -> None:
        self.link_by_attempt.pop(id(attempt), None)
        self.ended.append(c.AttemptEnded(attempt, result))

    def _gone(self, link: Link, abort: bool = False) -> None:
        """A connection is over. What waited on it never ran; what was handed over may have."""
        if link.state is GONE:
            return
        link.state = GONE
        self.links.pop(link.conn, None)
        if link in link.node.links:
            link.node.links.remove(link)
        self.out.append(c.AbortConnection(link.conn) if abort else c.CloseConnection(link.conn, 100.0))
        for attempt in list(link.waiting.values()):
            self._end(attempt, i.Result.CONNECT_FAILED)
        for attempt in list(link.streams.values()):
            self._end(attempt, i.Result.RESET)
        for sent in link.probes.values():
            self.ended.append(c.ProbeEnded(link.node.address, i.Result.RESET, self.now - sent))
        link.waiting.clear()
        link.streams.clear()
        link.probes.clear()
        link.late.clear()

    def _flush(self, link: Link) -> None:
        writes, end = link.messages.take()
        if writes:
            self.out.append(c.Write(link.conn, b"".join(writes) if len(writes) > 1 else writes[0]))
        if end and link.state is not GONE:
            self.out.append(c.CloseConnection(link.conn, 100.0))

    def _probe_late(self, what: tuple[Link, int]) -> None:
        link, number = what
        if (sent := link.probes.pop(number, None)) is not None:
            self.ended.append(c.ProbeEnded(link.node.address, i.Result.TIMEOUT, self.now - sent))

    def _idle_check(self, link: Link) -> None:
        """Close a connection that carried nothing for a while (each costs the node a part of its capacity)."""
        if link.state is not OPEN:
            return
        if link.load or link.probes:
            link.idle_since = self.now
        due = link.idle_since + self.settings.idle_ms
        if self.now >= due:
            link.state = CLOSING
            link.messages.close(CloseCode.NORMAL_CLOSURE, "idle")
            self._flush(link)
            self.at(self.now + 1000.0, self._closing_late, link)
        else:
            self.at(due, self._idle_check, link)

    def _closing_late(self, link: Link) -> None:
        self._gone(link, abort=True)

    def _ping_check(self, link: Link) -> None:
        """With attempts out and nothing heard, ask whether the other side lives: a machine that fell silent
        sends no reset, and its connections would take attempts for ever."""
        if link.state is not OPEN:
            return
        if link.streams or link.late:
            if link.pinged:
                self.counts["silent_links"] += 1
                self._gone(link, abort=True)
                return
            link.pinged = True
            link.messages.ping()
            self._flush(link)
        self.at(self.now + self.settings.ping_ms, self._ping_check, link)

    def _forget(self) -> None:
        """Nodes gone from the list with no connection left are dropped, so that the table stays bounded."""
        for address in [a for a, n in self.nodes.items() if not n.links and self._cut_off(n)]:
            # An attempt to such an address is refused by the policy, which no longer has it in its list.
            if self.nodes[address].closed_at + 60_000.0 < self.now:
                del self.nodes[address]

    def close_all(self, now: float) -> None:
        self.now = now
        for link in list(self.links.values()):
            if link.state is OPEN:
                link.messages.close(CloseCode.GOING_AWAY, "ingress stops")
                self._flush(link)
            self._gone(link)
