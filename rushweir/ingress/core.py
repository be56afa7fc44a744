"""A whole ingress without I/O: input is connections, datagrams and time; output is commands for a shell.

The core joins the clients' connections (clients.py), the engine, the pool of nodes, the known nodes (known_nodes.py),
the peers and the counter. A Setup makes the components for a protocol: ``websocket.py`` here, ``rushweir/edge/`` for
the platform's HTTP. Nothing here waits, reads a clock or opens anything, so an ingress runs on sockets (shell.py) and
in simulated time alike. Equal calls in equal order give equal commands.

Connections have numbers. ``accepted`` announces those of clients; connections to nodes and services are named in a
Dial command, which ends in ``dialed`` or ``dial_failed``.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from rushweir import interface
from rushweir.discovery.source import Update
from rushweir.fronts.states import CLOSING, HEAD, HTTP
from rushweir.ingress import commands
from rushweir.ingress.clients import Clients
from rushweir.ingress.engine import Engine
from rushweir.ingress.held_memory import HeldMemory
from rushweir.ingress.known_nodes import KnownNodes
from rushweir.ingress.protocols import DecisionPolicy
from rushweir.ingress.setup import Components, Setup
from rushweir.overload.decisions import SAMPLE_INTERVAL_MS, LoadShedder
from rushweir.watch.telemetry import Telemetry

__all__ = ["Core", "Components", "Setup"]


class Core:
    """One ingress. The caller takes the commands from ``commands`` after each call and carries them out in order."""

    def __init__(self, setup: Setup, policy: DecisionPolicy, now: float) -> None:
        self.setup = setup
        self.now = now
        settings = setup.settings
        aims = {request_class.name: request_class.aim_ms for request_class in settings.classes}
        self.telemetry = Telemetry(now, setup.partners(), aims, setup.trace_share, setup.max_traces)
        self.engine = Engine(
            settings, policy, now, margin_ms=setup.margin_ms, boot=setup.boot, telemetry=self.telemetry
        )
        self.commands: deque[commands.ShellCommand] = deque()
        self.upstream_handlers: dict[int, Any] = {}  # by connection that this side opened
        self.next_conn = 0
        self.counts: Counter[str] = Counter()
        self.memory = HeldMemory(self)
        self.stopping = self.draining = self.ending = False
        self.sample_due_at = now + SAMPLE_INTERVAL_MS  # when the next sample of the event loop's delay is due
        self.clients = Clients(self)
        self.nodes = KnownNodes(self)
        self.components = components = setup.components(self)
        self.pool = components.pool
        self.list = components.list
        self.counter = components.counter
        self.peers = components.peers
        self.fleet = components.fleet
        self.pool.wanted, self.pool.hold = self.engine.wanted, self.memory.set
        self.load_shedder = LoadShedder(setup.late_ms, setup.max_late_ms)
        self._compute_request_values()
        self.handlers = {
            commands.SendAttempt: lambda x: self.pool.send(self.now, x.attempt),
            commands.CancelAttempt: lambda x: self.pool.cancel(self.now, x.attempt),
            commands.WithdrawAttempt: lambda x: self.pool.withdraw(self.now, x.attempt),
            commands.ExpireAttempt: lambda x: self.pool.expire(self.now, x.attempt),
            commands.Answer: self.clients.answer,
            commands.SendPeerMessage: self._send_peer_message,
            commands.CallCounter: self._call_counter,
            commands.ProbeNode: lambda x: self.pool.probe(self.now, x.node),
            commands.WatchList: lambda x: self.list.watch(self.now, x.on)
            if self.list
            else self._report_list_failure(),
            commands.FetchList: lambda x: self.list.fetch(self.now) if self.list else self._report_list_failure(),
            commands.LogEvent: self.log_event,
        }

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float, last_list: bytes | None = None) -> None:
        """Start, with the node list that was saved to disk, if there is one."""
        self._set_time(now)
        self.engine.start(now)
        self._schedule_sample()
        if last_list is not None:
            self.nodes.load(last_list)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.start(now)
        if self.fleet is not None:
            self.fleet.start(self)
        self._process()

    def preload_nodes(self, now: float, update: Update) -> None:
        """Apply a node list that is known before the start."""
        self._set_time(now)
        self.nodes.apply_update(update)

    def next_at(self) -> float | None:
        """When ``advance`` has to be called next, or None."""
        at = self.engine.next_at()
        other = self.fleet.fleet.next_at() if self.fleet is not None else None
        return at if other is None else other if at is None else min(at, other)

    def advance(self, now: float) -> None:
        """Run the timers that are due."""
        self._set_time(now)
        if self.fleet is not None:
            self.fleet.fleet.advance(now)
            self.fleet.update(self)  # expired and changed shares apply before the next decision
        self.engine.advance(now)
        self._process()

    def _set_time(self, now: float) -> None:
        self.now = self.engine.now = self.pool.now = now
        if self.fleet is not None:
            self.fleet.update(self)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.now = now

    def _sample_delay(self, planned_at: float) -> None:
        """Record the delay of the event loop, and move the deadlines of new requests forward by it."""
        self.load_shedder.record_delay(self.now - planned_at)
        self.engine.margin_ms = self.setup.margin_ms + self.load_shedder.delay_ms
        history = self.telemetry.history
        history.max_delay_ms = max(history.max_delay_ms, self.load_shedder.delay_ms)
        if (level := self.load_shedder.level) != self.overload_level:
            self.overload_level, previous = level, self.overload_level
            fields = {"level": level, "delay_ms": round(self.load_shedder.delay_ms)}
            self.log_event(commands.LogEvent("warning" if level > previous else "info", "overload", fields))
        self._schedule_sample()

    def _schedule_sample(self) -> None:
        self.sample_due_at = self.now + SAMPLE_INTERVAL_MS
        self.engine.call_at(self.sample_due_at, self._sample_delay, self.sample_due_at)

    def _account_for_hold(self) -> None:
        """This process did not run for a while, so input may have waited as long: what is read before the next sample
        is due earlier by that. The hold began after the last sample."""
        overdue_ms = self.now - self.sample_due_at
        if overdue_ms > SAMPLE_INTERVAL_MS:
            self.engine.margin_ms = self.setup.margin_ms + overdue_ms + SAMPLE_INTERVAL_MS

    def _compute_request_values(self) -> None:
        settings = self.setup.settings
        self.overload_level = self.load_shedder.level
        prices = {p.name: p.price for p in settings.plans}
        self.request_values = {
            (k.name, plan): k.worth * price for k in settings.classes for plan, price in prices.items()
        }  # by class and plan

    # --- connections -----------------------------------------------------------------------------

    def accepted(self, now: float, address: str = "") -> int:
        """A client connected from this address; returns the number of the connection."""
        self._set_time(now)
        conn = self.clients.accepted(address)
        self._process()
        return conn

    def received(self, now: float, conn: int, data: bytes) -> None:
        """Bytes arrived on a connection."""
        self._set_time(now)
        if (client := self.clients.open.get(conn)) is not None:
            self._account_for_hold()
            self.clients.received(client, data)
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.received(now, conn, data)
        self.memory.enforce()
        self._process()

    def ended(self, now: float, conn: int, is_eof: bool = False) -> None:
        """The other side closed its sending direction (``is_eof``), or the connection broke."""
        self._set_time(now)
        if not self.clients.ended(conn) and (handler := self.upstream_handlers.pop(conn, None)) is not None:
            handler.lost(now, conn, is_eof)
        self._process()

    def congested(self, now: float, conn: int, size: int) -> None:
        """``size`` bytes wait to be written to a connection, more than its high-water mark."""
        self._set_time(now)
        if (client := self.clients.open.get(conn)) is not None:
            self.clients.congested(client, size)
            self.memory.enforce()
            self._process()
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.congested(conn)

    def drained(self, now: float, conn: int) -> None:
        """The bytes that waited to be written to a connection are sent."""
        self._set_time(now)
        if (client := self.clients.open.get(conn)) is not None:
            self.clients.drained(client)
        elif (handler := self.upstream_handlers.get(conn)) is not None:
            handler.drained(now, conn)
        self._process()

    def dialed(self, now: float, conn: int) -> None:
        """A connection of a Dial command is open."""
        self._set_time(now)
        if (handler := self.upstream_handlers.get(conn)) is not None:
            handler.dialed(now, conn)
        self._process()

    def dial_failed(self, now: float, conn: int) -> None:
        """A connection of a Dial command could not be opened."""
        self._set_time(now)
        if (handler := self.upstream_handlers.pop(conn, None)) is not None:
            handler.dial_failed(now, conn)
        self._process()

    def new_conn(self, handler: Any) -> int:
        """A number for a new connection; ``handler`` gets its events, if this side opens it."""
        self.next_conn += 1
        if handler is not None:
            self.upstream_handlers[self.next_conn] = handler
        return self.next_conn

    # --- peers, counter, list --------------------------------------------------------------------

    def datagram(self, now: float, data: bytes, address: tuple[str, int] | None = None) -> None:
        """A datagram arrived from this address."""
        self._set_time(now)
        if self.fleet is not None and self.fleet.owns_datagram(data):
            self.fleet.fleet.datagram(now, data)
            self.fleet.update(self)
            self._process()
        elif self.peers is not None:
            message = self.peers.unpack(now, data, address)
            if message is not None:
                self.engine.peer_message(now, *message)
                self._process()

    def _send_peer_message(self, command: commands.SendPeerMessage) -> None:
        if self.peers is None:
            self.counts["no_peers"] += 1
            return
        own_number, count = self.setup.settings.gateway, self.setup.settings.gateways
        for peer in range(count) if command.to is None else (command.to,):
            if peer != own_number and 0 <= peer < count:
                data = self.peers.pack(self.now, peer, command.text)
                if data is not None:
                    self.commands.append(commands.SendPeerDatagram(peer, data))
                    if self.fleet is not None:
                        self.fleet.fleet.charge_peer_messages()

    def file_saved(self, now: float, serial: int) -> None:
        """A SaveFile command was carried out."""
        self._set_time(now)
        self.fleet.fleet.file_saved(now, serial)
        self._process()

    def _call_counter(self, command: commands.CallCounter) -> None:
        if self.counter is None:
            self.engine.counted(self.now, command.name, interface.Result.CONNECT_FAILED, 0.0, 0.0)
        else:
            self.counter.add(self.now, command.name, command.amount, command.forget_after_ms)

    def _report_list_failure(self) -> None:
        self.engine.members(self.now, interface.Scope.FAILED)

    def drain_node(self, now: float, address: str, on: bool = True) -> bool:
        """Drain a node by an operator's command, or readmit it; returns whether the list has the node."""
        self._set_time(now)
        known = self.nodes.drain(address, on)
        self._process()
        return known

    # --- settings and log ------------------------------------------------------------------------

    def reload(self, now: float, setup: Setup) -> None:
        """Apply other settings. Connections stay open, also those authenticated by an old credential; those of a
        removed partner are closed once their open requests are answered."""
        self._set_time(now)
        self.setup = setup
        settings = setup.settings if self.fleet is None else self.fleet.with_present_gateways(setup.settings)
        self.engine.apply_settings(now, settings, setup.margin_ms)
        self.load_shedder.apply_settings(setup.late_ms, setup.max_late_ms)
        self._compute_request_values()
        self.telemetry.usage.set_partners(setup.partners())
        self.telemetry.set_classes({k.name: k.aim_ms for k in setup.settings.classes})
        self.telemetry.traces.apply_settings(setup.trace_share, setup.max_traces)
        setup.apply_to(self)
        self.memory.enforce()
        self.nodes.publish(Update(interface.Scope.FULL, -1, tuple(self.nodes.listed.values())))
        self._process()

    def log_event(self, event: commands.LogEvent) -> None:
        """Write an event to the log and store it in the telemetry."""
        self.telemetry.event(self.now, event.level, event.cause, event.fields)
        self.commands.append(event)

    def log(self, now: float, level: str, cause: str, **fields: Any) -> None:
        """Write an event of the surrounding process to the log and the telemetry."""
        self.now = now
        self.log_event(commands.LogEvent(level, cause, fields))

    # --- processing ------------------------------------------------------------------------------

    def _process(self) -> None:
        """Pass commands and results between the components until there are none left."""
        engine, pool, counter, source = self.engine, self.pool, self.counter, self.list
        while True:
            while engine.commands:
                command = engine.commands.popleft()
                self.handlers[type(command)](command)
            if pool.ended:
                ended, pool.ended = pool.ended, []
                for end in ended:
                    if isinstance(end, commands.AttemptEnded):
                        engine.outcome(
                            self.now, end.attempt, end.result, end.body,
                            quota_used=end.quota_used, cost=end.cost, load=end.load,
                        )  # fmt: skip
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
        for component in (pool, *(s.link for s in (counter, source) if s is not None)):
            if component.out:
                self.commands.extend(component.out)
                component.out.clear()
        if self.fleet is not None and self.fleet.fleet.commands:
            self.fleet.execute_commands(self)
        if source is not None and source.log_events:
            for event in source.log_events:
                self.log_event(event)
            source.log_events.clear()

    # --- shutdown --------------------------------------------------------------------------------

    def drain_clients(self, now: float, settings: interface.Settings) -> None:
        """Close each client's connection as soon as it is idle, and serve it by ``settings`` until then, since a
        successor accepts the new ones. Nothing is written to the state folder any more: the successor has it."""
        self._set_time(now)
        self.draining = True
        if self.fleet is not None:
            self.fleet.hand_off(self)
        self.engine.apply_settings(now, settings, self.setup.margin_ms)
        for client in list(self.clients.open.values()):
            self.clients.close_when_idle(client)
        self._process()

    def stop(self, now: float) -> None:
        """Accept no more requests; open ones are still answered, until ``is_idle``."""
        self._set_time(now)
        self.stopping = True
        for client in list(self.clients.open.values()):
            client.front.refuse_new("stopping")
            self.clients.close_when_idle(client)
        self._process()

    def all_answered(self) -> bool:
        """Whether no client waits for an answer: no request is open, and none is being read."""
        return self.engine.ledger.unanswered == 0 and not any(
            k.front.partial_message for k in self.clients.open.values() if not k.ended
        )

    def is_idle(self) -> bool:
        """Whether all requests are answered, and each client was notified that its connection closes, or connected
        after the shutdown began."""
        return self.all_answered() and all(
            k.ended or k.front.state in (CLOSING, HEAD, HTTP) for k in self.clients.open.values()
        )

    def answer_open(self, now: float) -> None:
        """Answer all open requests by what is known of their attempts. Those that waited behind them are refused."""
        self._set_time(now)
        self.ending = True
        self.engine.answer_all(now, "stopping")
        self._process()

    def finish(self, now: float) -> None:
        """Close all connections: clients with 1001, "going away" (RFC 6455, 7.4.1). Open requests are answered
        first, so that they are not retried when the connections to their nodes are reset."""
        self.answer_open(now)
        for client in list(self.clients.open.values()):
            self.clients.close(client)
        self.pool.close_all(now)
        for service in (self.list, self.counter):
            if service is not None:
                service.link.stop(now)
        self._process()
