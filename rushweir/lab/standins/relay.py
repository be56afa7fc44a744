"""The network between ingresses as a stand-in: datagrams are delayed, some lost, none cross a cut. Loopback."""

from __future__ import annotations

import asyncio
import random

LATE_S = (0.02, 0.4)  # of a datagram that is overtaken


class PeerNet:
    """One relay port for each ingress; what comes to port k goes on to ingress k."""

    def __init__(self, count: int, delay_ms: float, loss: float, seed: int, rooms: tuple[str, ...]) -> None:
        self.delay, self.loss, self.rng, self.rooms = delay_ms, loss, random.Random(seed), rooms
        self.transports: list[asyncio.DatagramTransport] = []
        self.real: dict[int, tuple[str, int]] = {}  # where each ingress really listens
        self.by_address: dict[tuple[str, int], int] = {}
        self.cut: set[str] = set()  # rooms cut off from the others
        self.pairs: set[tuple[int, int]] = set()  # whose messages, from one to the other, don't arrive
        self.extra_loss = self.doubled = 0.0
        self.spoilt = self.overtaken = 0.0  # shares in which a bit is another, or that take far longer
        self.carried = self.dropped = 0
        self.count = count

    async def open(self) -> list[int]:
        """Open the ports; returns them by ingress."""
        loop = asyncio.get_running_loop()
        for k in range(self.count):
            transport, _ = await loop.create_datagram_endpoint(
                lambda k=k: _Port(self, k), local_addr=("127.0.0.1", 0)
            )
            self.transports.append(transport)
        return [t.get_extra_info("sockname")[1] for t in self.transports]

    def at(self, ingress: int, port: int) -> None:
        """Note where an ingress listens now; it has a new port after each start."""
        self.by_address = {a: k for a, k in self.by_address.items() if k != ingress}
        self.real[ingress] = ("127.0.0.1", port)
        self.by_address[self.real[ingress]] = ingress

    def came(self, to: int, data: bytes, source: tuple[str, int]) -> None:
        sender = self.by_address.get(source)
        apart = sender is not None and self.rooms[sender] != self.rooms[to] and (
            self.rooms[sender] in self.cut or self.rooms[to] in self.cut
        )  # fmt: skip
        apart = apart or (sender, to) in self.pairs
        if apart or to not in self.real or self.rng.random() < self.loss + self.extra_loss:
            self.dropped += 1
            return
        for _ in range(1 + (self.rng.random() < self.doubled)):
            pause = self.delay * self.rng.uniform(0.6, 1.6) / 1000
            if self.rng.random() < self.overtaken:
                pause += self.rng.uniform(*LATE_S)
            if self.rng.random() < self.spoilt:
                k = self.rng.randrange(len(data))
                data = data[:k] + bytes([data[k] ^ 1 << self.rng.randrange(8)]) + data[k + 1 :]
            asyncio.get_running_loop().call_later(pause, self._pass, to, data, source)

    def _pass(self, to: int, data: bytes, source: tuple[str, int]) -> None:
        """On with it. It leaves by the receiver's own port: an ingress knows peers by their key, not address."""
        self.carried += 1
        if not self.transports[to].is_closing():
            self.transports[to].sendto(data, self.real[to])

    def close(self) -> None:
        for transport in self.transports:
            transport.close()


class _Port(asyncio.DatagramProtocol):
    def __init__(self, net: PeerNet, to: int) -> None:
        self.net, self.to = net, to

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.net.came(self.to, data, address)

    def error_received(self, error: OSError) -> None:
        """An ingress that is down: its datagrams are lost."""
