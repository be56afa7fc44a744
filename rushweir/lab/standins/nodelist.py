"""The node list as a stand-in: pushes its list and changes to every ingress that watches."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rushweir import interface as i
from rushweir.discovery.source import server_to_entry
from rushweir.lab.records import Recorder, clock
from rushweir.lab.standins.server import Peer, RpcServer
from rushweir.link import rpc


class NodeList(RpcServer):
    """The list. Each change gets a version; a watcher that is not at the last one gets the whole list."""

    def __init__(self, records: Recorder, wall_offset_ms: float) -> None:
        """``wall_offset_ms``: what the records' clock lacks of the wall clock, in which start times are told."""
        super().__init__()
        self.records, self.offset = records, wall_offset_ms
        self.servers: dict[str, i.Server] = {}
        self.version = 1
        self.watchers: dict[int, Peer] = {}
        self.broken = 0  # so many updates to come are sent half-formed

    def set(self, address: str, state: str, *, online_since: float | None = None, **fields: Any) -> None:
        """Note a node's state and tell everybody who watches; ``online_since`` in the records' time."""
        old = self.servers.get(address) or i.Server(address)
        since = old.online_since_ms if online_since is None else (online_since and online_since + self.offset)
        new = replace(old, state=i.State(state), online_since_ms=since, **fields)
        if state == "gone":
            self.servers.pop(address, None)
        else:
            self.servers[address] = new
        base, self.version = self.version, self.version + 1
        params = {"scope": "delta", "base": base, "version": self.version, "servers": [server_to_entry(new)]}
        for peer in list(self.watchers.values()):
            self._tell(peer, params, {address: state})

    def call(self, peer: Peer, call: rpc.Call) -> None:
        params = call.params if isinstance(call.params, dict) else {}
        if call.method == "list.watch":
            if params.get("on", True):
                self.watchers[peer.number] = peer
                if params.get("from") != self.version:
                    self._whole(peer)
            else:
                self.watchers.pop(peer.number, None)
            peer.send(rpc.result(call.id, {"version": self.version}))
        elif call.method == "list.fetch":
            self._whole(peer)
            peer.send(rpc.result(call.id, {"version": self.version}))
        else:
            peer.send(rpc.error(call.id, rpc.METHOD_NOT_FOUND, "list.watch or list.fetch"))

    def lost(self, peer: Peer) -> None:
        self.watchers.pop(peer.number, None)

    def _whole(self, peer: Peer) -> None:
        entries = [server_to_entry(s) for s in self.servers.values()]
        params = {"scope": "full", "version": self.version, "servers": entries}
        self._tell(peer, params, {s.address: s.state.value for s in self.servers.values()})

    def _tell(self, peer: Peer, params: dict[str, Any], states: dict[str, str]) -> None:
        text = rpc.call("list.update", params)
        if self.broken:
            self.broken -= 1
            peer.send(text[: len(text) // 2])
            return
        full = params["scope"] == "full"
        since = {e["address"]: e["online_since_ms"] - self.offset for e in params["servers"] if e["online_since_ms"]}
        self.records.note("told", ingress=peer.ingress, full=full, states=states, since=since)
        peer.send(text)


def wall_offset_ms() -> float:
    import time

    return time.time() * 1000.0 - clock()
