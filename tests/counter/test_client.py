"""Calls to the counter: each ends once, in the order of the calls for its name."""

from __future__ import annotations

from rushweir import interface as i
from rushweir.counter.client import CounterClient
from rushweir.ingress import commands as c
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol


class Wire:
    def __init__(self) -> None:
        self.timers, self.conns, self.now = [], 0, 0.0
        self.client = CounterClient("ws://127.0.0.1:1/c", {}, 1, 50.0, self.new_conn, self.at)
        self.client.link.start(0.0)
        self.calls: list[rpc.Call] = []
        self.server: Messages | None = None

    def new_conn(self, owner):
        self.conns += 1
        return self.conns

    def at(self, when, f, x):
        self.timers.append((when, f, x))

    def open(self) -> None:
        self.client.link.dialed(self.now, self.client.link.conn)
        proto = server_protocol(1 << 16)
        proto.receive_data(self.written())
        proto.send_response(proto.accept(proto.events_received()[0]))
        self.server = Messages(proto)
        self.push()

    def written(self) -> bytes:
        data = b"".join(o.data for o in self.client.link.out if isinstance(o, c.Write))
        self.client.link.out.clear()
        return data

    def push(self) -> None:
        self.client.link.received(self.now, self.client.link.conn, b"".join(self.server.take()[0]))

    def add(self, name: int, amount: float = 1.0) -> None:
        self.client.add(self.now, name, amount, 60_000.0)
        if self.server is not None:
            self.calls += [rpc.parse(t) for t in self.server.receive(self.written())]

    def answer(self, k: int, text: bytes | None = None, value: float = 1.0) -> None:
        self.server.send(text or rpc.result(self.calls[k].id, {"value": value}))
        self.push()

    def tick(self, now: float) -> None:
        self.now = self.client.link.now = now
        due = sorted((t for t in self.timers if t[0] <= now), key=lambda t: t[0])
        self.timers = [t for t in self.timers if t[0] > now]
        for _, f, x in due:
            f(x)

    def ended(self):
        out = [(e.name, e.result, e.value) for e in self.client.ended]
        self.client.ended.clear()
        return out


def test_answers_and_refusals():
    w = Wire()
    w.open()
    w.add(7, 2.5)
    assert w.calls[0].params == {"name": 7, "amount": 2.5, "forget_after_ms": 60_000.0}
    w.answer(0, value=9.5)
    assert w.ended() == [(7, i.Result.OK, 9.5)]
    w.add(8)
    w.answer(1, rpc.error(w.calls[1].id, rpc.NODE_FULL, "full"))
    w.add(9)
    w.answer(2, rpc.result(w.calls[2].id, {"value": "many"}))
    assert w.ended() == [(8, i.Result.FULL, 0.0), (9, i.Result.ERROR, 0.0)]


def test_away_means_never_added():
    w = Wire()
    w.add(7)
    assert w.ended() == [(7, i.Result.CONNECT_FAILED, 0.0)]


def test_too_late_may_have_been_added_and_a_late_answer_is_none():
    w = Wire()
    w.open()
    w.add(7)
    w.tick(49.0)
    assert w.ended() == []
    w.tick(50.0)
    assert w.ended() == [(7, i.Result.TIMEOUT, 0.0)]
    w.answer(0)
    assert w.ended() == [] and w.client.counts["late_answers"] == 1


def test_ends_of_one_name_come_in_the_order_of_its_calls():
    w = Wire()
    w.open()
    w.add(7)
    w.add(8)
    w.add(7)
    w.answer(2, value=3.0)  # the first one's answer was lost
    assert w.ended() == [(7, i.Result.TIMEOUT, 0.0), (7, i.Result.OK, 3.0)]
    w.answer(1)
    assert w.ended() == [(8, i.Result.OK, 1.0)]
    assert not w.client.calls and not w.client.by_name


def test_a_lost_link_ends_all_calls_and_comes_back():
    w = Wire()
    w.open()
    for name in (1, 2, 1):
        w.add(name)
    w.client.link.lost(5.0, w.client.link.conn)
    assert [r for _, r, _ in w.ended()] == [i.Result.TIMEOUT] * 3
    first = w.client.link.conn
    w.tick(200.0)
    assert w.client.link.state == "dialing" and w.client.link.conn != first
    w.client.link.out.clear()
    w.open()
    w.add(1)
    w.answer(3, value=4.0)
    assert w.ended() == [(1, i.Result.OK, 4.0)]


def test_a_silent_counter_is_dropped():
    w = Wire()
    w.open()
    for k in range(1, 4):
        w.tick(1000.0 * k)
    assert w.client.link.state == "away"
