"""The node list: updates are applied as a whole or not at all; the copy saved on disk."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface
from rushweir.discovery import saved_list
from rushweir.discovery.pushed import FETCH_INTERVAL_MS, PushedList
from rushweir.discovery.source import Update, UpdateError, apply_update, parse_server, parse_servers, server_to_entry
from rushweir.ingress import commands
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol

NODE_A, NODE_B = (
    interface.Server("10.0.0.1:80", "a", 1, 5.0, 2.0, "std"),
    interface.Server("10.0.0.2:80", state=interface.State.DRAINING),
)


class Service:
    """A pushed list, and the list service at the other end of its link."""

    def __init__(self, push: bool = True) -> None:
        self.timers = []
        self.connections = 0
        self.list = PushedList(
            "ws://127.0.0.1:1/l", {}, 1, self.new_conn, lambda *timer: self.timers.append(timer), push
        )
        self.list.link.start(0.0)
        self.open()

    def new_conn(self, owner):
        self.connections += 1
        return self.connections

    def open(self) -> None:
        self.list.link.out.clear()
        self.list.link.dialed(0.0, self.list.link.conn)
        protocol = server_protocol(1 << 20)
        protocol.receive_data(self.written())
        protocol.send_response(protocol.accept(protocol.events_received()[0]))
        self.server = Messages(protocol)
        self.push()

    def written(self) -> bytes:
        data = b"".join(command.data for command in self.list.link.out if isinstance(command, commands.Write))
        self.list.link.out.clear()
        return data

    def push(self) -> None:
        self.list.link.received(self.list.link.now, self.list.link.conn, b"".join(self.server.take()[0]))

    def calls(self) -> list[tuple[str, dict]]:
        return [(message.method, message.params) for message in map(rpc.parse, self.server.receive(self.written()))]

    def update(self, scope="full", base=None, version=1, entries=(NODE_A,), raw=None) -> list[Update]:
        params = {"scope": scope, "version": version, "servers": [server_to_entry(server) for server in entries]}
        params |= {} if base is None else {"base": base}
        self.server.send(raw if raw is not None else rpc.call("list.update", params))
        self.push()
        updates, self.list.updates = self.list.updates, []
        return updates


def test_delta_is_applied_to_the_full_list():
    service = Service()
    assert service.calls() == [("list.watch", {"from": -1, "on": True})]
    (full,) = service.update(entries=(NODE_A, NODE_B))
    (delta,) = service.update("delta", 1, 2, (interface.Server(NODE_A.address, state=interface.State.GONE),))
    listed = apply_update(apply_update({}, full), delta)
    assert listed == {NODE_B.address: NODE_B} and service.list.version == 2


@pytest.mark.parametrize(
    "raw",
    [
        b'{"jsonrpc":"2.0","method":"list.update","params":{"scope":"full","vers',
        rpc.call("list.update", {"scope": "full", "version": 9, "servers": [{"address": "nix"}]}),
        rpc.call(
            "list.update",
            {"scope": "full", "version": 9, "servers": [server_to_entry(NODE_A), server_to_entry(NODE_A)]},
        ),
        rpc.call("list.update", {"scope": "full", "version": 9}),
        rpc.call("list.update", {"scope": "some", "version": 9, "servers": []}),
        rpc.call("list.update", {"scope": "full", "version": "9", "servers": []}),
        rpc.call("list.update", {"scope": "delta", "base": 5, "version": 6, "servers": []}),
        rpc.call(
            "list.update",
            {"scope": "full", "version": 9, "servers": [{**server_to_entry(NODE_A), "state": "asleep"}]},
        ),
        rpc.call(
            "list.update", {"scope": "full", "version": 9, "servers": [{**server_to_entry(NODE_A), "weight": -1}]}
        ),
        rpc.call("list.update", [1]),
        b"nonsense",
    ],
)
def test_malformed_update_changes_nothing_and_the_full_list_is_fetched(raw):
    service = Service()
    service.update()
    service.calls()
    service.list.link.now = FETCH_INTERVAL_MS
    assert service.update(raw=raw) == [] and service.list.version == 1
    assert service.calls() == [("list.fetch", {})]
    assert service.update(raw=raw) == [] and service.calls() == []  # at most one fetch per interval
    assert service.list.counts["bad_updates"] == 2 and len(service.list.log_events) == 2
    assert len(service.update(version=10)) == 1


def test_lost_service_is_reported_and_dialed_again():
    service = Service()
    service.update()
    service.list.link.lost(10.0, service.list.link.conn)
    assert [update.scope for update in service.list.updates] == [interface.Scope.FAILED]
    service.list.updates.clear()
    (when, redial, argument) = [timer for timer in service.timers if timer[1].__name__ == "_redial"][0]
    assert 50.0 <= when - 10.0 <= 100.0
    redial(argument)
    service.open()
    # From the version held before, so that changes missed meanwhile come first.
    assert service.calls() == [("list.watch", {"from": 1, "on": True})]


def test_without_push_the_list_is_watched_only_on_request():
    service = Service(push=False)
    assert service.calls() == []
    service.list.watch(1.0, True)
    service.list.fetch(1.0)
    assert [method for method, _ in service.calls()] == ["list.watch", "list.fetch"]
    service.server.send(rpc.error(1, -1, "no"))
    service.push()
    assert [update.scope for update in service.list.updates] == [interface.Scope.FAILED]
    service.list.updates.clear()
    service.list.link.lost(2.0, service.list.link.conn)
    service.list.updates.clear()
    service.list.watch(3.0, True)
    service.list.fetch(3.0)
    assert [update.scope for update in service.list.updates] == [interface.Scope.FAILED] * 2


def test_errors_name_the_field():
    malformed = (
        ({}, "address"),
        (3, "object"),
        ({"address": "h:0"}, "address"),
        ({"address": "h:1", "cell": -1}, "cell"),
        ({"address": "h:1", "online_since_ms": "x"}, "online_since_ms"),
        ({"address": "h:1", "zone": 3}, "zone"),
        ({"address": "h:1", "weight": 1e400}, "weight"),
    )
    for entry, name in malformed:
        with pytest.raises(UpdateError, match=name):
            parse_server(entry, "servers[0]")
    with pytest.raises(UpdateError, match="array"):
        parse_servers({})


def test_saved_list_is_loaded_as_it_was():
    listed = {server.address: server for server in (NODE_A, NODE_B)}
    servers, drained_by_hand = saved_list.load(saved_list.dump(listed, {NODE_A.address, "gone:1"}, 1.0))
    assert {server.address: server for server in servers} == listed and drained_by_hand == {NODE_A.address}


@settings(max_examples=80, deadline=None)
@given(cut=st.integers(0, 400), at=st.integers(0, 500), byte=st.integers(0, 255))
def test_truncated_or_altered_saved_list_is_refused(cut, at, byte):
    data = saved_list.dump({server.address: server for server in (NODE_A, NODE_B)}, {NODE_A.address}, 1.0)
    if cut < len(data):
        with pytest.raises(UpdateError):
            saved_list.load(data[:cut])
    changed = bytearray(data)
    changed[at % len(data)] = byte
    try:
        servers, drained_by_hand = saved_list.load(bytes(changed))
    except UpdateError:
        return
    assert set(servers) == {NODE_A, NODE_B} and drained_by_hand == {NODE_A.address}  # only written_ms was altered


def test_saved_list_of_another_format_is_refused():
    with pytest.raises(UpdateError, match="format"):
        saved_list.load(orjson.dumps({"format": 1}))
