"""The shared counter as a stand-in: named numbers with life times, in memory. A small one; it forgets all when
it stops, as its users have seen of theirs."""

from __future__ import annotations

from rushweir.lab.records import Recorder, clock
from rushweir.lab.standins.server import Peer, RpcServer
from rushweir.link import rpc

MOST_FORGET_MS = 60_000.0


class CounterStandIn(RpcServer):
    def __init__(self, records: Recorder) -> None:
        super().__init__()
        self.records = records
        self.names: dict[int, tuple[float, float]] = {}  # value, when it is forgotten
        self.mute = False  # takes calls and answers none
        self.full = False

    def call(self, peer: Peer, call: rpc.Call) -> None:
        p = call.params if isinstance(call.params, dict) else {}
        name, amount = p.get("name"), p.get("amount")
        if call.method != "counter.add" or type(name) is not int or type(amount) not in (int, float):
            peer.send(rpc.error(call.id, rpc.INVALID_PARAMS, "counter.add with name and amount"))
            return
        if self.full:
            peer.send(rpc.error(call.id, rpc.NODE_FULL, "full"))
            return
        now = clock()
        value, until = self.names.get(name, (0.0, 0.0))
        if now >= until:
            value, until = 0.0, now + min(float(p.get("forget_after_ms", 0.0)), MOST_FORGET_MS)
        self.names[name] = (value + amount, until)
        self.records.note("counted", ingress=peer.ingress, name=name, amount=amount)
        if len(self.names) > 100_000:
            self.names = {n: v for n, v in self.names.items() if v[1] > now}
        if not self.mute:
            peer.send(rpc.result(call.id, {"value": value + amount}))
