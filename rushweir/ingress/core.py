"""A whole ingress without I/O: connections, datagrams and time in, orders for a shell out.

It joins the clients' connections (clients.py), the engine, the pool of nodes, the node list (listed.py), the
peers and the counter.
Which protocols these speak is the affair of a Setup, which makes the parts: ``websocket.py`` here,
``rushweir/edge/`` for the platform's HTTP. Nothing here waits, reads a clock or opens anything, so that an ingress
runs on sockets (shell.py), and as well in simulated time. Equal calls in equal order give equal orders.

Connections are numbers. Those of clients are announced by ``accepted``; those to nodes and services are
named in a Dial order and end in ``dialed`` or ``dial_failed``.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from rushweir import interface as i
from rushweir.discovery.source import Update
from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress import commands as c
from rushweir.ingress.clients import Clients
from rushweir.ingress.engine import Engine
from rushweir.ingress.known_nodes import KnownNodes
from rushweir.ingress.protocols import DecisionPolicy
from rushweir.ingress.setup import Components, Setup
from rushweir.overload.decisions import SAMPLE_INTERVAL_MS, LoadShedder
from rushweir.watch.telemetry import Telemetry

__all__ = ["Core", "Components", "Setup"]


class Core:
    """One ingress. Take the orders from ``orders`` after each call and carry them out in order."""

    def __init__(self, setup: Setup, policy: DecisionPolicy, now: float) -> None:
        self.setup, self.now = setup, now
        s = setup.settings
        aims = {k.name: k.aim_ms for k in s.classes}
        self.telemetry = Telemetry(now, setup.partners(), aims, setup.trace_share, setup.max_traces)
        self.engine = Engine(s, policy, now, margin_ms=setup.margin_ms, boot=setup.boot, telemetry=self.telemetry)
        self.commands: deque[c.ShellCommand] = deque()
        self.upstream_handlers: dict[int, Any] = {}  # who handles a connection that this side opened
        self.next_conn = 0
        self.counts: Counter[str] = Counter()
        self.stopping = self.draining = False
        self.clients, self.nodes = Clients(self), KnownNodes(self)
        self.components = parts = setup.components(self)
        self.pool, self.list, self.counter, self.peers = parts.pool, parts.list, parts.counter, parts.peers
        self.fleet, self.pool.wanted = parts.fleet, self.engine.wanted
        self.load_shedder = LoadShedder(setup.late_ms, setup.max_late_ms)
        self._value_classes()
        self.carry = {
            c.SendAttempt: lambda x: self.pool.send(self.now, x.attempt),
            c.CancelAttempt: lambda x: self.pool.cancel(self.now, x.attempt),
            c.WithdrawAttempt: lambda x: self.pool.withdraw(self.now, x.attempt),
            c.ExpireAttempt: lambda x: self.pool.expire(self.now, x.attempt),
            c.Answer: self.clients.answer,
            c.SendPeerMessage: self._tell_peer,
            c.CallCounter: self._call_counter,
            c.ProbeNode: lambda x: self.pool.probe(self.now, x.node),
            c.WatchList: lambda x: self.list.watch(self.now, x.on) if self.list else self._no_list(),
            c.FetchList: lambda x: self.list.fetch(self.now) if self.list else self._no_list(),
            c.LogEvent: self.log_event,
        }

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float, last_list: bytes | None = None) -> None:
        """Begin, with the list as it was kept on disk, if there is one."""
        self._at(now)
        self.engine.start(now)
        self.engine.call_at(now + SAMPLE_INTERVAL_MS, self._beat, now + SAMPLE_INTERVAL_MS)
        if last_list is not None:
            self.nodes.load(last_list)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.start(now)
        if self.fleet is not None:
            self.fleet.start(self)
        self._run()

    def preload_nodes(self, now: float, update: Update) -> None:
        """A list known beforehand, before the start."""
        self._at(now)
        self.nodes.apply_update(update)

    def next_at(self) -> float | None:
        at = self.engine.next_at()
        other = self.fleet.fleet.next_at() if self.fleet is not None else None
        return at if other is None else other if at is None else min(at, other)

    def advance(self, now: float) -> None:
        self._at(now)
        if self.fleet is not None:
            self.fleet.fleet.advance(now)
            self.fleet.turn(self)  # what ended or moved by that is told before anything else is decided
        self.engine.advance(now)
        self._run()

    def _at(self, now: float) -> None:
        self.now = self.engine.now = self.pool.now = now
        if self.fleet is not None:
            self.fleet.turn(self)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.now = now

    def _beat(self, planned: float) -> None:
        """How late this turn comes shows how short of CPU the process is; what is taken is due the earlier."""
        self.load_shedder.record_delay(self.now - planned)
        self.engine.margin_ms = self.setup.margin_ms + self.load_shedder.delay_ms
        history = self.telemetry.history
        history.max_delay_ms = max(history.max_delay_ms, self.load_shedder.delay_ms)
        if (level := self.load_shedder.level) != self.level:
            self.level, was = level, self.level
            fields = {"level": level, "delay_ms": round(self.load_shedder.delay_ms)}
            self.log_event(c.LogEvent("warning" if level > was else "info", "overload", fields))
        self.engine.call_at(self.now + SAMPLE_INTERVAL_MS, self._beat, self.now + SAMPLE_INTERVAL_MS)

    def _value_classes(self) -> None:
        s, self.level = self.setup.settings, self.load_shedder.level
        prices = {p.name: p.price for p in s.plans}
        self.values = {(k.name, plan): k.worth * price for k in s.classes for plan, price in prices.items()}

    # --- connections -----------------------------------------------------------------------------

    def accepted(self, now: float, address: str = "") -> int:
        """A client connected from an address; returns the connection's number."""
        self._at(now)
        conn = self.clients.accepted(address)
        self._run()
        return conn

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes came on any connection."""
        self._at(now)
        if (client := self.clients.open.get(conn)) is not None:
            self.clients.received(client, data)
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.received(now, conn, data)
        self._run()

    def ended(self, now: float, conn: int) -> None:
        """The other side ended its writing, or the connection broke."""
        self._at(now)
        if not self.clients.ended(conn) and (handler := self.upstream_handlers.pop(conn, None)) is not None:
            handler.lost(now, conn)
        self._run()

    def congested(self, now: float, conn: int, size: int) -> None:
        """Bytes wait to be written on a connection, ``size`` of them."""
        self._at(now)
        if (client := self.clients.open.get(conn)) is not None:
            self.clients.congested(client, size)
            self._run()
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.congested(conn)

    def drained(self, now: float, conn: int) -> None:
        self._at(now)
        if (client := self.clients.open.get(conn)) is not None:
            self.clients.drained(client)
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.drained(now, conn)
        self._run()

    def dialed(self, now: float, conn: int) -> None:
        self._at(now)
        if (handler := self.upstream_handlers.get(conn)) is not None:
            handler.dialed(now, conn)
        self._run()

    def dial_failed(self, now: float, conn: int) -> None:
        self._at(now)
        if (handler := self.upstream_handlers.pop(conn, None)) is not None:
            handler.dial_failed(now, conn)
        self._run()

    def new_conn(self, handler: Any) -> int:
        """A new connection's number; ``handler`` is told what becomes of it, if this side opens it."""
        self.next_conn += 1
        if handler is not None:
            self.upstream_handlers[self.next_conn] = handler
        return self.next_conn

    # --- peers, counter, list --------------------------------------------------------------------

    def datagram(self, now: float, data: bytes, address: tuple[str, int] | None = None) -> None:
        """A datagram came, from that address."""
        self._at(now)
        if self.fleet is not None and self.fleet.mine(data):
            self.fleet.fleet.datagram(now, data)
            self.fleet.turn(self)
            self._run()
        elif self.peers is not None:
            told = self.peers.unpack(now, data, address)
            if told is not None:
                self.engine.peer_message(now, *told)
                self._run()

    def _tell_peer(self, command: c.SendPeerMessage) -> None:
        if self.peers is None:
            self.counts["no_peers"] += 1
            return
        me, count = self.setup.settings.gateway, self.setup.settings.gateways
        for to in range(count) if command.to is None else (command.to,):
            if to != me and 0 <= to < count:
                data = self.peers.pack(self.now, to, command.text)
                if data is not None:
                    self.commands.append(c.SendPeerDatagram(to, data))
                    if self.fleet is not None:
                        self.fleet.fleet.charge_peer_messages()

    def file_saved(self, now: float, serial: int) -> None:
        """A SaveFile order was carried out."""
        self._at(now)
        self.fleet.fleet.file_saved(now, serial)
        self._run()

    def _call_counter(self, command: c.CallCounter) -> None:
        if self.counter is None:
            self.engine.counted(self.now, command.name, i.Result.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.add(self.now, command.name, command.amount, command.forget_after_ms)

    def _no_list(self) -> None:
        self.engine.members(self.now, i.Scope.FAILED)

    def drain_node(self, now: float, address: str, on: bool = True) -> bool:
        """Drain a node by hand, or readmit it; whether the list has such a node."""
        self._at(now)
        known = self.nodes.drain(address, on)
        self._run()
        return known

    # --- other settings --------------------------------------------------------------------------

    def reload(self, now: float, setup: Setup) -> None:
        """Other settings from now on. Connections stay, those of a partner that is gone until their open
        requests are answered; who was let in by an old credential stays too."""
        self._at(now)
        self.setup = setup
        settings = setup.settings if self.fleet is None else self.fleet.among(setup.settings)
        self.engine.apply_settings(now, settings, setup.margin_ms)
        self.load_shedder.apply_settings(setup.late_ms, setup.max_late_ms)
        self._value_classes()
        self.telemetry.usage.set_partners(setup.partners())
        self.telemetry.set_classes({k.name: k.aim_ms for k in setup.settings.classes})
        self.telemetry.traces.apply_settings(setup.trace_share, setup.max_traces)
        setup.adopt(self)
        self.nodes.publish(Update(i.Scope.FULL, -1, tuple(self.nodes.listed.values())))
        self._run()

    def log_event(self, event: c.LogEvent) -> None:
        self.telemetry.event(self.now, event.level, event.cause, event.fields)
        self.commands.append(event)

    def log(self, now: float, level: str, cause: str, **fields: Any) -> None:
        """An event of the process around this, for the log and for whoever looks."""
        self.now = now
        self.log_event(c.LogEvent(level, cause, fields))

    # --- inside ----------------------------------------------------------------------------------

    def _run(self) -> None:
        """Carry out what the parts want of each other until none wants anything."""
        engine, pool, counter, source = self.engine, self.pool, self.counter, self.list
        while True:
            while engine.commands:
                command = engine.commands.popleft()
                self.carry[type(command)](command)
            if pool.ended:
                ended, pool.ended = pool.ended, []
                for end in ended:
                    if isinstance(end, c.AttemptEnded):
                        engine.outcome(
                            self.now,
                            end.attempt,
                            end.result,
                            end.body,
                            quota_used=end.quota_used,
                            cost=end.cost,
                            load=end.load,
                        )
                    else:
                        engine.probed(self.now, end.node, end.result, end.spent_ms, end.load)
                continue
            if counter is not None and counter.ended:
                calls, counter.ended = counter.ended, []
                for call in calls:
                    engine.counted(self.now, call.name, call.result, call.value, call.spent_ms)
                continue
            if source is not None and source.updates:
                updates, source.updates = source.updates, []
                for update in updates:
                    self.nodes.apply_update(update)
                continue
            if not engine.commands:
                break
        for part in (pool, *(s.link for s in (counter, source) if s is not None)):
            if part.out:
                self.commands.extend(part.out)
                part.out.clear()
        if self.fleet is not None and self.fleet.fleet.commands:
            self.fleet.carry(self)
        if source is not None and source.log_events:
            for remark in source.log_events:
                self.log_event(remark)
            source.log_events.clear()

    # --- to be seen ------------------------------------------------------------------------------

    def health(self) -> tuple[int, dict[str, Any]]:
        """Status and body of the health page: whether this ingress can serve, and why not."""
        ready = sum(s.state is i.State.READY for s in self.nodes.effective.values())
        why = "stopping" if self.stopping or self.draining else "no nodes" if not ready else ""
        page = {
            "status": "ok" if not why else "unready", "why": why, "ingress": self.setup.settings.gateway,
            "nodes_ready": ready, "open_requests": self.engine.ledger.unanswered, "clients": len(self.clients.open),
        }  # fmt: skip
        return (503 if why else 200), page

    def counts_by_component(self) -> dict[str, Any]:
        """Counts since the start, by part."""
        return {
            "engine": dict(self.engine.counts), "refusals": dict(self.engine.refusals),
            "core": dict(self.counts), "pool": dict(self.pool.counts),
            "peers": dict(self.peers.counts) if self.peers else {},
            "list": dict(self.list.counts) if self.list else {},
            "counter": dict(self.counter.counts) if self.counter else {},
            "faults": self.engine.faults, "owed": self.engine.ledger.unanswered, "clients": len(self.clients.open),
            "entries": len(self.engine.ledger.entries), "timers": len(self.engine.timers),
            "links": len(self.pool.links),
        }  # fmt: skip

    # --- the end ---------------------------------------------------------------------------------

    def drain_clients(self, now: float, settings: i.Settings) -> None:
        """A successor takes new connections from now on: each connection here is closed at its first idle moment,
        and served until then, by ``settings``. Nothing more is kept on disk: that is the successor's."""
        self._at(now)
        self.draining = True
        if self.fleet is not None:
            self.fleet.hand_over(self)
        self.engine.apply_settings(now, settings, self.setup.margin_ms)
        for client in list(self.clients.open.values()):
            self.clients.leave_if_idle(client)
        self._run()

    def stop(self, now: float) -> None:
        """Take nothing new; what is open is still answered. ``idle`` tells when nothing is owed any more."""
        self._at(now)
        self.stopping = True
        for client in list(self.clients.open.values()):
            client.front.refuse_new("stopping")
            self.clients.leave_if_idle(client)
        self._run()

    def idle(self) -> bool:
        """Whether nobody waits: no answer is owed, nobody is in the middle of a request, and each client was told to
        go, or came after the end began."""
        return self.engine.ledger.unanswered == 0 and all(
            k.ended or (k.front.state in (CLOSING, HEAD, HTTP) and not k.front.partial_message)
            for k in self.clients.open.values()
        )

    def finish(self, now: float) -> None:
        """Close all connections: clients with 1001, "going away" (RFC 6455, 7.4.1). What is still owed is
        answered before, so that the resets of the nodes' connections send nothing on."""
        self._at(now)
        self.engine.answer_all(now, "stopping")
        self._run()
        for client in list(self.clients.open.values()):
            self.clients.leave(client)
        self.pool.close_all(now)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.stop(now)
        self._run()
