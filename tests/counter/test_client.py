"""Calls to the counter: each ends once, and those for one name in their order."""

from __future__ import annotations

from rushweir import interface
from rushweir.counter.client import CounterClient
from rushweir.ingress import commands
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol


class Harness:
    """A client, and the counter service at the other end of its link."""

    def __init__(self) -> None:
        self.timers, self.connections, self.now = [], 0, 0.0
        self.client = CounterClient("ws://127.0.0.1:1/c", {}, 1, 50.0, self.new_conn, self.at)
        self.client.link.start(0.0)
        self.calls: list[rpc.Call] = []
        self.server: Messages | None = None

    def new_conn(self, owner):
        self.connections += 1
        return self.connections

    def at(self, when, function, argument):
        self.timers.append((when, function, argument))

    def open(self) -> None:
        self.client.link.dialed(self.now, self.client.link.conn)
        protocol = server_protocol(1 << 16)
        protocol.receive_data(self.written())
        protocol.send_response(protocol.accept(protocol.events_received()[0]))
        self.server = Messages(protocol)
        self.push()

    def written(self) -> bytes:
        data = b"".join(command.data for command in self.client.link.out if isinstance(command, commands.Write))
        self.client.link.out.clear()
        return data

    def push(self) -> None:
        self.client.link.received(self.now, self.client.link.conn, b"".join(self.server.take()[0]))

    def add(self, name: int, amount: float = 1.0) -> None:
        self.client.add(self.now, name, amount, 60_000.0)
        if self.server is not None:
            self.calls += [rpc.parse(text) for text in self.server.receive(self.written())]

    def answer(self, index: int, text: bytes | None = None, value: float = 1.0) -> None:
        self.server.send(text or rpc.result(self.calls[index].id, {"value": value}))
        self.push()

    def tick(self, now: float) -> None:
        self.now = self.client.link.now = now
        due = sorted((timer for timer in self.timers if timer[0] <= now), key=lambda timer: timer[0])
        self.timers = [timer for timer in self.timers if timer[0] > now]
        for _, function, argument in due:
            function(argument)

    def ended(self):
        ended = [(end.name, end.result, end.value) for end in self.client.ended]
        self.client.ended.clear()
        return ended


def test_answers_give_results():
    harness = Harness()
    harness.open()
    harness.add(7, 2.5)
    assert harness.calls[0].params == {"name": 7, "amount": 2.5, "forget_after_ms": 60_000.0}
    harness.answer(0, value=9.5)
    assert harness.ended() == [(7, interface.Result.OK, 9.5)]
    harness.add(8)
    harness.answer(1, rpc.error(harness.calls[1].id, rpc.NODE_FULL, "full"))
    harness.add(9)
    harness.answer(2, rpc.result(harness.calls[2].id, {"value": "many"}))
    assert harness.ended() == [(8, interface.Result.FULL, 0.0), (9, interface.Result.ERROR, 0.0)]


def test_call_without_a_link_is_connect_failed():
    harness = Harness()
    harness.add(7)
    assert harness.ended() == [(7, interface.Result.CONNECT_FAILED, 0.0)]


def test_call_without_an_answer_times_out_and_a_late_answer_is_counted():
    harness = Harness()
    harness.open()
    harness.add(7)
    harness.tick(49.0)
    assert harness.ended() == []
    harness.tick(50.0)
    assert harness.ended() == [(7, interface.Result.TIMEOUT, 0.0)]
    harness.answer(0)
    assert harness.ended() == [] and harness.client.counts["late_answers"] == 1


def test_calls_for_one_name_end_in_their_order():
    harness = Harness()
    harness.open()
    harness.add(7)
    harness.add(8)
    harness.add(7)
    harness.answer(2, value=3.0)  # the answer to the first call was lost
    assert harness.ended() == [(7, interface.Result.TIMEOUT, 0.0), (7, interface.Result.OK, 3.0)]
    harness.answer(1)
    assert harness.ended() == [(8, interface.Result.OK, 1.0)]
    assert not harness.client.calls and not harness.client.by_name


def test_lost_link_ends_all_calls_and_reconnects():
    harness = Harness()
    harness.open()
    for name in (1, 2, 1):
        harness.add(name)
    harness.client.link.lost(5.0, harness.client.link.conn)
    assert [result for _, result, _ in harness.ended()] == [interface.Result.TIMEOUT] * 3
    first = harness.client.link.conn
    harness.tick(200.0)
    assert harness.client.link.state == "dialing" and harness.client.link.conn != first
    harness.client.link.out.clear()
    harness.open()
    harness.add(1)
    harness.answer(3, value=4.0)
    assert harness.ended() == [(1, interface.Result.OK, 4.0)]


def test_link_to_a_silent_counter_is_dropped():
    harness = Harness()
    harness.open()
    for k in range(1, 4):
        harness.tick(1000.0 * k)
    assert harness.client.link.state == "away"
