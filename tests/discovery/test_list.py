"""The node list: whole updates or none, and the copy on disk."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir import interface as i
from rushweir.discovery import saved_list
from rushweir.discovery.pushed import FETCH_MS, PushedList
from rushweir.discovery.source import Update, UpdateError, apply_update, server, server_to_entry, servers
from rushweir.ingress import commands as c
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol

A, B = i.Server("10.0.0.1:80", "a", 1, 5.0, 2.0, "std"), i.Server("10.0.0.2:80", state=i.State.DRAINING)


class Service:
    """The far end of a pushed list."""

    def __init__(self, push: bool = True) -> None:
        self.timers, self.conns = [], 0
        self.list = PushedList("ws://127.0.0.1:1/l", {}, 1, self.new_conn, lambda *t: self.timers.append(t), push)
        self.list.link.start(0.0)
        self.open()

    def new_conn(self, owner):
        self.conns += 1
        return self.conns

    def open(self) -> None:
        self.list.link.out.clear()
        self.list.link.dialed(0.0, self.list.link.conn)
        proto = server_protocol(1 << 20)
        proto.receive_data(self.written())
        proto.send_response(proto.accept(proto.events_received()[0]))
        self.server = Messages(proto)
        self.push()

    def written(self) -> bytes:
        data = b"".join(o.data for o in self.list.link.out if isinstance(o, c.Write))
        self.list.link.out.clear()
        return data

    def push(self) -> None:
        self.list.link.received(self.list.link.now, self.list.link.conn, b"".join(self.server.take()[0]))

    def calls(self) -> list[tuple[str, dict]]:
        return [(m.method, m.params) for m in map(rpc.parse, self.server.receive(self.written()))]

    def update(self, scope="full", base=None, version=1, entries=(A,), raw=None) -> list[Update]:
        params = {"scope": scope, "version": version, "servers": [server_to_entry(s) for s in entries]}
        params |= {} if base is None else {"base": base}
        self.server.send(raw if raw is not None else rpc.call("list.update", params))
        self.push()
        out, self.list.updates = self.list.updates, []
        return out


def test_full_then_delta():
    s = Service()
    assert s.calls() == [("list.watch", {"from": -1, "on": True})]
    (full,) = s.update(entries=(A, B))
    (delta,) = s.update("delta", 1, 2, (i.Server(A.address, state=i.State.GONE),))
    held = apply_update(apply_update({}, full), delta)
    assert held == {B.address: B} and s.list.version == 2


@pytest.mark.parametrize(
    "raw",
    [
        b'{"jsonrpc":"2.0","method":"list.update","params":{"scope":"full","vers',
        rpc.call("list.update", {"scope": "full", "version": 9, "servers": [{"address": "nix"}]}),
        rpc.call("list.update", {"scope": "full", "version": 9, "servers": [server_to_entry(A), server_to_entry(A)]}),
        rpc.call("list.update", {"scope": "full", "version": 9}),
        rpc.call("list.update", {"scope": "some", "version": 9, "servers": []}),
        rpc.call("list.update", {"scope": "full", "version": "9", "servers": []}),
        rpc.call("list.update", {"scope": "delta", "base": 5, "version": 6, "servers": []}),
        rpc.call(
            "list.update", {"scope": "full", "version": 9, "servers": [{**server_to_entry(A), "state": "asleep"}]}
        ),
        rpc.call("list.update", {"scope": "full", "version": 9, "servers": [{**server_to_entry(A), "weight": -1}]}),
        rpc.call("list.update", [1]),
        b"nonsense",
    ],
)
def test_a_half_formed_update_changes_nothing_and_the_whole_is_asked_for(raw):
    s = Service()
    s.update()
    s.calls()
    s.list.link.now = FETCH_MS
    assert s.update(raw=raw) == [] and s.list.version == 1
    assert s.calls() == [("list.fetch", {})]
    assert s.update(raw=raw) == [] and s.calls() == []  # asked once a while, however many come
    assert s.list.counts["bad_updates"] == 2 and len(s.list.log_events) == 2
    assert len(s.update(version=10)) == 1


def test_a_lost_service_is_told_and_dialed_again():
    s = Service()
    s.update()
    s.list.link.lost(10.0, s.list.link.conn)
    assert [u.scope for u in s.list.updates] == [i.Scope.FAILED]
    s.list.updates.clear()
    (when, again, arg) = [t for t in s.timers if t[1].__name__ == "_redial"][0]
    assert 50.0 <= when - 10.0 <= 100.0
    again(arg)
    s.open()
    assert s.calls() == [("list.watch", {"from": 1, "on": True})]  # what was missed comes first


def test_ask_mode_watches_only_when_told():
    s = Service(push=False)
    assert s.calls() == []
    s.list.watch(1.0, True)
    s.list.fetch(1.0)
    assert [m for m, _ in s.calls()] == ["list.watch", "list.fetch"]
    s.server.send(rpc.error(1, -1, "no"))
    s.push()
    assert [u.scope for u in s.list.updates] == [i.Scope.FAILED]
    s.list.updates.clear()
    s.list.link.lost(2.0, s.list.link.conn)
    s.list.updates.clear()
    s.list.watch(3.0, True)
    s.list.fetch(3.0)
    assert [u.scope for u in s.list.updates] == [i.Scope.FAILED] * 2


def test_errors_name_the_entry_and_the_field():
    bad = (
        ({}, "address"),
        (3, "object"),
        ({"address": "h:0"}, "address"),
        ({"address": "h:1", "cell": -1}, "cell"),
        ({"address": "h:1", "online_since_ms": "x"}, "online_since_ms"),
        ({"address": "h:1", "zone": 3}, "zone"),
        ({"address": "h:1", "weight": 1e400}, "weight"),
    )
    for entry, name in bad:
        with pytest.raises(UpdateError, match=name):
            server(entry, "servers[0]")
    with pytest.raises(UpdateError, match="array"):
        servers({})


def test_the_kept_list_comes_back():
    held = {s.address: s for s in (A, B)}
    servers, by_hand = saved_list.load(saved_list.dump(held, {A.address, "gone:1"}, 1.0))
    assert {s.address: s for s in servers} == held and by_hand == {A.address}


@settings(max_examples=80, deadline=None)
@given(cut=st.integers(0, 400), at=st.integers(0, 500), byte=st.integers(0, 255))
def test_a_torn_or_altered_copy_is_refused_whole(cut, at, byte):
    data = saved_list.dump({s.address: s for s in (A, B)}, {A.address}, 1.0)
    if cut < len(data):
        with pytest.raises(UpdateError):
            saved_list.load(data[:cut])
    changed = bytearray(data)
    changed[at % len(data)] = byte
    try:
        found, by_hand = saved_list.load(bytes(changed))
    except UpdateError:
        return
    assert set(found) == {A, B} and by_hand == {A.address}  # only what does not matter was altered (written_ms)


def test_a_kept_list_of_another_format():
    with pytest.raises(UpdateError, match="format"):
        saved_list.load(orjson.dumps({"format": 1}))
