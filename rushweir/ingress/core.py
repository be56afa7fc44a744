"""A whole ingress without I/O: connections, datagrams and time in, orders for a shell out.

It joins the front's connections, the engine, the pool of nodes, the node list, the peers and the counter.
Which protocols these speak is the affair of a Setup, which makes the parts: ``websocket.py`` here,
``rushweir/edge/`` for the platform's HTTP. Nothing here waits, reads a clock or opens anything, so that an ingress
runs on sockets (shell.py), and as well in simulated time. Equal calls in equal order give equal orders.

Connections are numbers. Those of clients are announced by ``accepted``; those to nodes and services are
named in a Dial order and end in ``dialed`` or ``dial_failed``.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from rushweir import interface as i
from rushweir.discovery import kept
from rushweir.discovery.source import Update, UpdateError, apply
from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress import commands as c
from rushweir.ingress.engine import Ask, Decides, Engine
from rushweir.overload.decisions import BEAT_MS, Overload
from rushweir.watch.watch import Watch

if TYPE_CHECKING:  # a tree in C, which an ingress without such networks need not load
    from rushweir.link.networks import AddressSet

LINGER_MS = 50.0  # a connection that is to be left is quiet for so long first: a request may be on its way
MOST_DRAINED = 262_144  # bytes thrown away after an error was sent, before the connection is cut
MOST_CLIENTS = 20_000  # connections of clients: beyond, one is answered 503 and closed
GOING_AWAY, POLICY_VIOLATION = 1001, 1008  # RFC 6455, 7.4.1; fronts of other protocols skip them


@dataclass(slots=True)
class Parts:
    """What speaks with the outside. ``front`` makes the state of a client's new connection; ``list``, ``counter``
    and ``peers`` may be missing."""

    front: Callable[[], Any]
    pool: Any
    list: Any = None
    counter: Any = None
    peers: Any = None


@dataclass(frozen=True, slots=True)
class Setup:
    """What an ingress is made of, whatever protocols it speaks; those that do derive from this."""

    settings: i.Settings
    margin_ms: float = 25.0  # an answer leaves this long before the client's time is up
    handshake_ms: float = 5_000.0  # for a client's request head
    ping_ms: float = 30_000.0  # a client heard of for so long is asked whether it is there; twice: dropped
    http_idle_ms: float = 15_000.0
    unread_ms: float = 10_000.0  # a client that takes nothing of its answers for so long is dropped
    unread: int = 1_048_576  # bytes of answers that wait for a client that does not read
    seed: int = 0
    boot: str = ""
    most_clients: int = MOST_CLIENTS
    sample: float = 0.0  # share of requests whose course is kept although nothing went wrong
    courses: int = 2_000  # kept at most
    late_ms: float = 60.0  # turns of this process that come later are too late ...
    most_late_ms: float = 400.0  # ... and so late that nothing new is taken
    client_networks: AddressSet | None = None  # that may connect; None: all
    node_networks: AddressSet | None = None  # that nodes may stand in
    keep_list: bool = True  # on disk, for the next start

    def parts(self, core: Core) -> Parts:
        raise NotImplementedError

    def adopt(self, core: Core) -> None:
        """These settings hold from now on: tell the parts."""

    def partners(self) -> list[tuple[str, str]]:
        """Name and plan of each that is known beforehand."""
        return []


@dataclass(slots=True)
class Client:
    """A client's connection, and what of it is the core's affair."""

    conn: int
    front: Any
    since: float
    heard: int = 0
    asked: bool = False  # a ping is out
    held: bool = False  # reading is paused: the client does not take its answers
    helds: int = 0  # how often that was so
    ended: bool = False
    quiet_at: float = 0.0  # when it last said something, or was answered
    timed: int = 0  # the last message begun whose end is waited for
    drained: int = 0  # bytes that came after the end, thrown away


class Core:
    """One ingress. Take the orders from ``orders`` after each call and carry them out in order."""

    def __init__(self, setup: Setup, policy: Decides, now: float) -> None:
        self.setup, self.now = setup, now
        s = setup.settings
        aims = {k.name: k.aim_ms for k in s.classes}
        self.watch = Watch(now, setup.partners(), aims, setup.sample, setup.courses)
        self.engine = Engine(s, policy, now, margin_ms=setup.margin_ms, boot=setup.boot, watch=self.watch)
        self.orders: deque[c.Order] = deque()
        self.clients: dict[int, Client] = {}
        self.ups: dict[int, Any] = {}  # who handles a connection that this side opened
        self.next_conn = 0
        self.counts: Counter[str] = Counter()
        self.stopping = self.moving = False
        self.parts = parts = setup.parts(self)
        self.pool, self.list, self.counter, self.peers = parts.pool, parts.list, parts.counter, parts.peers
        self.overload = Overload(setup.late_ms, setup.most_late_ms)
        self._value_classes()
        self.listed: dict[str, i.Server] = {}  # as the list has them
        self.by_hand: set[str] = set()  # of these, drained by an operator
        self.held: dict[str, i.Server] = {}  # as the policy was told
        self.listed_at: float | None = None  # when the last good update was read
        self.carry = {
            c.SendAttempt: lambda x: self.pool.send(self.now, x.attempt),
            c.CancelAttempt: lambda x: self.pool.cancel(self.now, x.attempt),
            c.ExpireAttempt: lambda x: self.pool.expire(self.now, x.attempt),
            c.Answer: self._answer,
            c.TellPeer: self._tell_peer,
            c.CallCounter: self._call_counter,
            c.ProbeNode: lambda x: self.pool.probe(self.now, x.server),
            c.WatchList: lambda x: self.list.watch(self.now, x.on) if self.list else self._no_list(),
            c.FetchList: lambda x: self.list.fetch(self.now) if self.list else self._no_list(),
            c.Remark: self._remark,
        }

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float, last_list: bytes | None = None) -> None:
        """Begin, with the list as it was kept on disk, if there is one."""
        self._at(now)
        self.engine.start(now)
        self.engine.at(now + BEAT_MS, self._beat, now + BEAT_MS)
        if last_list is not None:
            try:
                servers, self.by_hand = kept.load(last_list)
            except UpdateError as problem:
                self._remark(c.Remark("error", "kept_list_refused", {"why": str(problem)}))
            else:
                self._take_update(Update(i.Scope.CACHED, -1, servers))
        for service in (self.list, self.counter):
            if service is not None:
                service.link.start(now)
        self._run()

    def begin_with(self, now: float, update: Update) -> None:
        """A list known beforehand, before the start."""
        self._at(now)
        self._take_update(update)

    def next_at(self) -> float | None:
        return self.engine.next_at()

    def advance(self, now: float) -> None:
        self._at(now)
        self.engine.advance(now)
        self._run()

    def _at(self, now: float) -> None:
        self.now = self.engine.now = self.pool.now = now
        for service in (self.list, self.counter):
            if service is not None:
                service.link.now = now

    def _beat(self, planned: float) -> None:
        """How late this turn comes shows how short of CPU the process is; what is taken is due the earlier."""
        self.overload.beat(self.now - planned)
        self.engine.margin = self.setup.margin_ms + self.overload.delay_ms
        history = self.watch.history
        history.worst_delay = max(history.worst_delay, self.overload.delay_ms)
        if (level := self.overload.level) != self.level:
            self.level, was = level, self.level
            fields = {"level": level, "delay_ms": round(self.overload.delay_ms)}
            self._remark(c.Remark("warning" if level > was else "info", "overload", fields))
        self.engine.at(self.now + BEAT_MS, self._beat, self.now + BEAT_MS)

    def _value_classes(self) -> None:
        s, self.level = self.setup.settings, self.overload.level
        prices = {p.name: p.price for p in s.plans}
        self.values = {(k.name, plan): k.worth * price for k in s.classes for plan, price in prices.items()}

    # --- clients ---------------------------------------------------------------------------------

    def accepted(self, now: float, address: str = "") -> int:
        """A client connected from an address; returns the connection's number."""
        self._at(now)
        conn = self.new_conn(None)
        front = self.parts.front()
        client = self.clients[conn] = Client(conn, front, now, quiet_at=now)
        self.counts["accepted"] += 1
        if len(self.clients) > self.setup.most_clients:
            self._make_room(client)
        if self.stopping or len(self.clients) > self.setup.most_clients or not self.overload.takes_connections():
            self.counts["turned_away"] += 1
            front.turn_away()
            self._flush(client)
            self._run()
        elif address and (nets := self.setup.client_networks) is not None and not nets.allows(address):
            self.counts["strange_networks"] += 1
            front.forbid()
            self._flush(client)
            self._run()
        else:
            self.engine.at(now + self.setup.handshake_ms, self._head_late, client)
        return conn

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes came on any connection."""
        self._at(now)
        client = self.clients.get(conn)
        if client is None:
            handler = self.ups.get(conn)
            if handler is not None:
                handler.received(now, conn, data)
        elif not client.ended:
            was_head = client.front.state is HEAD
            client.heard += 1
            client.asked = False
            client.quiet_at = now
            self._take(client, client.front.receive(data))
            if was_head and client.front.state is not HEAD:
                self._head_done(client)
            if (part := client.front.partial) > client.timed:
                # A message begun late on a connection is to end in time too.
                client.timed = part
                self.engine.at(now + self.setup.handshake_ms, self._part_late, (client, part))
            self._flush(client)
        else:
            client.drained += len(data)
            if client.drained > MOST_DRAINED:
                self.orders.append(c.AbortConn(conn))
        self._run()

    def _take(self, client: Client, asked: Iterable[tuple[Any, Ask]]) -> None:
        for ref, ask in asked:
            partner = ask.partner or client.front.partner
            assert partner is not None
            if self.overload.takes(self.values.get((ask.cls, partner.plan), 0.0)):
                self.engine.request(self.now, client.conn, ref, partner, ask)
            else:
                wait = self.overload.wait_ms()
                self.engine.turn_down(self.now, client.conn, ref, partner, ask, "overloaded", wait)

    def _part_late(self, what: tuple[Client, int]) -> None:
        client, part = what
        if client.front.partial == part and not client.ended and client.conn in self.clients:
            self.counts["slow_messages"] += 1
            client.front.time_out()
            self._flush(client)

    def _make_room(self, new: Client) -> None:
        """No descriptor is left for a new client: the one that asked nothing for longest goes. Never one with a
        request under way, nor one that just asked; one that never said a word goes before one that did."""
        # Who has its last answer and lingers goes first: a crowd that is turned away filled the bound by lingering.
        others = [k for k in self.clients.values() if k is not new]
        spare = [k for k in others if k.ended or k.front.spare(self.now - k.quiet_at)]
        spare.sort(key=lambda k: (not k.ended, k.heard > 0, k.quiet_at))
        # As many as are above the bound: one for each newcomer left those above it there, and all were turned away.
        for oldest in spare[: len(self.clients) - self.setup.most_clients]:
            self.counts["made_room"] += 1
            oldest.ended = True
            oldest.front.receive_eof()
            del self.clients[oldest.conn]
            self.orders.append(c.AbortConn(oldest.conn))

    def ended(self, now: float, conn: int) -> None:
        """The other side ended its writing, or the connection broke."""
        self._at(now)
        client = self.clients.pop(conn, None)
        if client is not None:
            client.ended = True
            client.front.receive_eof()
            if left := self.engine.client_left(now, conn):
                self.counts["left_open"] += left
            self.orders.append(c.CloseConn(conn, 200.0))
        else:
            handler = self.ups.pop(conn, None)
            if handler is not None:
                handler.lost(now, conn)
        self._run()

    def congested(self, now: float, conn: int, size: int) -> None:
        """Bytes wait to be written on a connection, ``size`` of them."""
        self._at(now)
        client = self.clients.get(conn)
        if client is None:
            if (handler := self.ups.get(conn)) is not None:
                handler.congested(conn)
            return
        if client.ended:
            return
        if size > self.setup.unread:
            # It asks and never reads: its answers would fill the memory that others need.
            self._unread(client)
        elif not client.held:
            client.held = True
            client.helds += 1
            self.engine.at(now + self.setup.unread_ms, self._still_held, (client, client.helds))
            self.orders.append(c.PauseReading(conn, True))
        self._run()

    def drained(self, now: float, conn: int) -> None:
        self._at(now)
        client = self.clients.get(conn)
        if client is not None:
            if client.held:
                client.held = False
                self.orders.append(c.PauseReading(conn, False))
        elif (handler := self.ups.get(conn)) is not None:
            handler.drained(now, conn)
        self._run()

    def _still_held(self, what: tuple[Client, int]) -> None:
        client, helds = what
        if client.held and client.helds == helds and not client.ended and client.conn in self.clients:
            self._unread(client)

    def _unread(self, client: Client) -> None:
        self.counts["unread"] += 1
        self._drop(client, POLICY_VIOLATION, "answers are not read")

    def _drop(self, client: Client, code: int, reason: str) -> None:
        client.front.fail(code, reason)
        self._flush(client)
        if not client.ended:
            client.ended = True
            self.orders.append(c.CloseConn(client.conn, 1000.0))
        self.engine.client_left(self.now, client.conn)

    def _head_late(self, client: Client) -> None:
        if client.front.state is HEAD and not client.ended and client.conn in self.clients:
            self.counts["slow_handshakes"] += 1
            client.front.time_out()
            self._flush(client)

    def _head_done(self, client: Client) -> None:
        if client.front.state is HTTP:
            idle = self.setup.http_idle_ms
            self.engine.at(self.now + idle, self._idle_http, (client, idle))
        else:
            idle = self.setup.ping_ms
            self.engine.at(self.now + idle, self._idle, (client, client.heard, idle))

    def _idle_http(self, what: tuple[Client, float]) -> None:
        """Plain HTTP has no ping: a connection ends when nothing was open on it for so long, to the moment."""
        client, idle = what
        if client.ended or client.conn not in self.clients:
            return
        due = (self.now if client.front.open_ids else client.quiet_at) + idle
        if due > self.now:
            self.engine.at(due, self._idle_http, what)
        else:
            self._silent(client)

    def _idle(self, what: tuple[Client, int, float]) -> None:
        """A client that was silent for a while is asked whether it is there; without any word it is dropped:
        a hotel desk that lost its line sends no end, and would hold its connection for days."""
        client, heard, idle = what
        if client.ended or client.conn not in self.clients:
            return
        if client.heard == heard:
            if client.front.state is CLOSING or client.asked:
                self._silent(client)
                return
            client.asked = True
            client.front.ping()
            self._flush(client)
        self.engine.at(self.now + idle, self._idle, (client, client.heard, idle))

    def _silent(self, client: Client) -> None:
        self.counts["silent_clients"] += 1
        self._drop(client, GOING_AWAY, "no answer to a ping")

    def _flush(self, client: Client) -> None:
        writes, end = client.front.take()
        if writes:
            self.orders.append(c.Write(client.conn, b"".join(writes) if len(writes) > 1 else writes[0]))
        if end and not client.ended:
            client.ended = True
            self.orders.append(c.CloseConn(client.conn, 1000.0))
            self.engine.client_left(self.now, client.conn)

    def _answer(self, answer: c.Answer) -> None:
        client = self.clients.get(answer.conn)
        if client is None or client.ended:
            self.counts["answers_to_nobody"] += 1
            return
        client.front.answer(answer)
        client.quiet_at = self.now
        if client.front.backlog:
            self._take(client, client.front.receive(b""))
        self._flush(client)
        if client.front.leaving or self.moving:
            self.leave_if_idle(client)

    # --- connections that this side opened -------------------------------------------------------

    def dialed(self, now: float, conn: int) -> None:
        self._at(now)
        if (handler := self.ups.get(conn)) is not None:
            handler.dialed(now, conn)
        self._run()

    def dial_failed(self, now: float, conn: int) -> None:
        self._at(now)
        if (handler := self.ups.pop(conn, None)) is not None:
            handler.dial_failed(now, conn)
        self._run()

    def new_conn(self, handler: Any) -> int:
        """A new connection's number; ``handler`` is told what becomes of it, if this side opens it."""
        self.next_conn += 1
        if handler is not None:
            self.ups[self.next_conn] = handler
        return self.next_conn

    # --- peers, counter, list --------------------------------------------------------------------

    def datagram(self, now: float, data: bytes, address: tuple[str, int] | None = None) -> None:
        """A datagram came, from that address."""
        self._at(now)
        if self.peers is not None:
            told = self.peers.unpack(now, data, address)
            if told is not None:
                self.engine.peer_message(now, *told)
                self._run()

    def _tell_peer(self, command: c.TellPeer) -> None:
        if self.peers is None:
            self.counts["no_peers"] += 1
            return
        me, count = self.setup.settings.me, self.setup.settings.gateways
        for to in range(count) if command.to is None else (command.to,):
            if to != me and 0 <= to < count:
                data = self.peers.pack(self.now, to, command.text)
                if data is not None:
                    self.orders.append(c.Datagram(to, data))

    def _call_counter(self, command: c.CallCounter) -> None:
        if self.counter is None:
            self.engine.counted(self.now, command.name, i.Result.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.add(self.now, command.name, command.amount, command.forget_after_ms)

    def _no_list(self) -> None:
        self.engine.members(self.now, i.Scope.FAILED)

    def _take_update(self, update: Update) -> None:
        """Put an update to the policy and the pool, at the moment when it was read, and keep the list."""
        if update.scope is i.Scope.FAILED:
            self.counts["list_failed"] += 1
            self.engine.members(self.now, update.scope)
            return
        self.listed = apply(self.listed, update)
        self.by_hand &= self.listed.keys()
        self._put(update)
        if update.scope is not i.Scope.CACHED:
            self.listed_at = self.now
            self._keep_list()

    def _put(self, update: Update) -> None:
        """An update as it holds here: without strange nodes, and with those drained by hand as draining."""
        update = self._known_networks(update)
        servers = tuple(
            replace(s, state=i.State.DRAINING) if s.state is i.State.READY and s.address in self.by_hand else s
            for s in update.servers
        )
        self.engine.members(self.now, update.scope, servers)
        self.held = apply(self.held, Update(update.scope, update.version, servers))
        self.pool.told(self.now, {a: s.state for a, s in self.held.items()})
        self.watch.know_nodes(self.held)

    def _keep_list(self) -> None:
        if not self.moving and self.setup.keep_list:
            self.orders.append(c.SaveList(kept.dump(self.listed, self.by_hand, self.now)))

    def drain(self, now: float, address: str, on: bool = True) -> bool:
        """Drain a node by hand, or readmit it, as if the list had said so; whether the list has such a node.
        What the list says of it meanwhile holds once it is readmitted; a node that leaves the list is forgotten."""
        self._at(now)
        server = self.listed.get(address)
        if server is None:
            return False
        if (address in self.by_hand) is not on:
            (self.by_hand.add if on else self.by_hand.discard)(address)
            self.counts["drained_by_hand" if on else "readmitted_by_hand"] += 1
            self._remark(c.Remark("info", "drained_by_hand" if on else "readmitted_by_hand", {"node": address}))
            self._put(Update(i.Scope.DELTA, -1, (server,)))
            self._keep_list()
        self._run()
        return True

    # --- other settings --------------------------------------------------------------------------

    def reload(self, now: float, setup: Setup) -> None:
        """Other settings from now on. Connections stay, those of a partner that is gone until their open
        requests are answered; who was let in by an old credential stays too."""
        self._at(now)
        self.setup = setup
        self.engine.adopt(now, setup.settings, setup.margin_ms)
        self.overload.adopt(setup.late_ms, setup.most_late_ms)
        self._value_classes()
        self.watch.usage.know(setup.partners())
        self.watch.know_classes({k.name: k.aim_ms for k in setup.settings.classes})
        self.watch.courses.adopt(setup.sample, setup.courses)
        setup.adopt(self)
        self._put(Update(i.Scope.FULL, -1, tuple(self.listed.values())))
        self._run()

    def _known_networks(self, update: Update) -> Update:
        """An update without the nodes outside the networks where nodes may stand: a list that names them is
        wrong or altered, and the others are still needed."""
        networks = self.setup.node_networks
        if networks is None or not networks.size:
            return update
        allows = networks.allows
        strange, known = [], []
        for s in update.servers:
            (known if allows(s.address.rpartition(":")[0].strip("[]")) else strange).append(s)
        if not strange:
            return update
        self.counts["strange_nodes"] += len(strange)
        fields = {"count": len(strange), "first": strange[0].address}
        self._remark(c.Remark("error", "node_outside_networks", fields))
        return Update(update.scope, update.version, tuple(known))

    def _remark(self, remark: c.Remark) -> None:
        self.watch.event(self.now, remark.level, remark.cause, remark.fields)
        self.orders.append(remark)

    def tell(self, now: float, level: str, cause: str, **fields: Any) -> None:
        """An event of the process around this, for the log and for whoever looks."""
        self.now = now
        self._remark(c.Remark(level, cause, fields))

    # --- inside ----------------------------------------------------------------------------------

    def _run(self) -> None:
        """Carry out what the parts want of each other until none wants anything."""
        engine, pool, counter, source = self.engine, self.pool, self.counter, self.list
        while True:
            while engine.out:
                command = engine.out.popleft()
                self.carry[type(command)](command)
            if pool.ended:
                ended, pool.ended = pool.ended, []
                for end in ended:
                    if isinstance(end, c.Ended):
                        engine.outcome(
                            self.now, end.attempt, end.result, end.body, used=end.used, cost=end.cost, load=end.load
                        )
                    else:
                        engine.probed(self.now, end.server, end.result, end.spent_ms, end.load)
                continue
            if counter is not None and counter.ended:
                calls, counter.ended = counter.ended, []
                for call in calls:
                    engine.counted(self.now, call.name, call.result, call.value, call.spent_ms)
                continue
            if source is not None and source.updates:
                updates, source.updates = source.updates, []
                for update in updates:
                    self._take_update(update)
                continue
            if not engine.out:
                break
        for part in (pool, *(s.link for s in (counter, source) if s is not None)):
            if part.out:
                self.orders.extend(part.out)
                part.out.clear()
        if source is not None and source.remarks:
            for remark in source.remarks:
                self._remark(remark)
            source.remarks.clear()

    # --- to be seen ------------------------------------------------------------------------------

    def health(self) -> tuple[int, dict[str, Any]]:
        """Status and body of the health page: whether this ingress can serve, and why not."""
        ready = sum(s.state is i.State.READY for s in self.held.values())
        why = "stopping" if self.stopping or self.moving else "no nodes" if not ready else ""
        page = {
            "status": "ok" if not why else "unready", "why": why, "ingress": self.setup.settings.me,
            "nodes_ready": ready, "open_requests": self.engine.ledger.owed, "clients": len(self.clients),
        }  # fmt: skip
        return (503 if why else 200), page

    def figures(self) -> dict[str, Any]:
        """Counts since the start, by part."""
        return {
            "engine": dict(self.engine.counts), "refusals": dict(self.engine.refusals),
            "core": dict(self.counts), "pool": dict(self.pool.counts),
            "peers": dict(self.peers.counts) if self.peers else {},
            "list": dict(self.list.counts) if self.list else {},
            "counter": dict(self.counter.counts) if self.counter else {},
            "faults": self.engine.faults, "owed": self.engine.ledger.owed, "clients": len(self.clients),
            "entries": len(self.engine.ledger.entries), "timers": len(self.engine.timers),
            "links": len(self.pool.links),
        }  # fmt: skip

    # --- the end ---------------------------------------------------------------------------------

    def leave(self, now: float, settings: i.Settings) -> None:
        """A successor takes new connections from now on: each connection here is closed at its first idle moment,
        and served until then, by ``settings``. Nothing more is kept on disk: that is the successor's."""
        self._at(now)
        self.moving = True
        self.engine.adopt(now, settings, self.setup.margin_ms)
        for client in list(self.clients.values()):
            self.leave_if_idle(client)
        self._run()

    def stop(self, now: float) -> None:
        """Take nothing new; what is open is still answered. ``idle`` tells when nothing is owed any more."""
        self._at(now)
        self.stopping = True
        for client in list(self.clients.values()):
            client.front.refuse_new("stopping")
            self.leave_if_idle(client)
        self._run()

    def idle(self) -> bool:
        """Whether nobody waits: no answer is owed, and each client was told to go, or came after the end began."""
        return self.engine.ledger.owed == 0 and all(k.ended or k.front.state in (CLOSING, HEAD, HTTP)
                                                    for k in self.clients.values())  # fmt: skip

    def finish(self, now: float) -> None:
        """Close all connections: clients with 1001, "going away" (RFC 6455, 7.4.1). What is still owed is
        answered before, so that the resets of the nodes' connections send nothing on."""
        self._at(now)
        self.engine.give_up_all(now, "stopping")
        self._run()
        for client in list(self.clients.values()):
            self._leave(client)
        self.pool.close_all(now)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.stop(now)
        self._run()

    def leave_if_idle(self, client: Client) -> None:
        """Leave a connection once nothing is open on it and nothing comes: what is read after the close frame
        gets no answer, and its sender could not tell whether it was done."""
        if not client.front.open_ids and not client.ended:
            self.engine.at(self.now + LINGER_MS, self._leave_if_quiet, (client, client.heard))

    def _leave_if_quiet(self, what: tuple[Client, int]) -> None:
        client, heard = what
        if client.ended or client.conn not in self.clients or client.front.open_ids:
            return
        self._leave(client) if client.heard == heard else self.leave_if_idle(client)

    def _leave(self, client: Client) -> None:
        """Going away, or, where it is only this client that must go, a policy's ground (RFC 6455, 7.4.1)."""
        gone = client.front.leaving == "partner_gone"
        code = POLICY_VIOLATION if gone else GOING_AWAY
        client.front.close(code, "partner no longer known" if gone else "ingress stops")
        self._flush(client)
