"""A JSON-RPC server over WebSocket for stand-ins: plain, on asyncio streams, with the faults they need."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from typing import Any

from websockets.http11 import Request

from rushweir.lab.records import clock
from rushweir.link import rpc
from rushweir.link.websocket import Messages, server_protocol

MOST_CHUNKS = 64  # of 64 KiB, held for a connection that nobody reads from
AGENT = re.compile(r"ingress=(\d+) zone=(\S+)")


class Peer:
    """One connection of a stand-in's server."""

    def __init__(self, server: RpcServer, writer: asyncio.StreamWriter, number: int) -> None:
        self.server, self.writer, self.number = server, writer, number
        self.messages: Messages | None = None
        self.ingress, self.zone = -1, ""
        self.gone = False
        self.came = 0.0  # when the bytes at hand were read off the socket

    def send(self, text: bytes) -> None:
        if self.messages is not None and not self.gone and self.messages.send(text):
            self.flush()  # what is sent to a peer that is gone is lost, as on any socket

    def flush(self) -> None:
        if self.messages is None or self.gone:
            return
        writes, end = self.messages.take()
        for data in writes:
            self.writer.write(data)
        if end:
            self.writer.close()

    def half(self, text: bytes) -> None:
        """Send the first half of a message's frame, then reset the connection."""
        if self.messages is not None and self.messages.send(text):
            writes, _ = self.messages.take()
            data = b"".join(writes)
            self.writer.write(data[: len(data) // 2])
        self.reset()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.writer.transport.abort()


class RpcServer:
    """Override ``call`` and, for faults, ``reading`` and ``lost``."""

    def __init__(self) -> None:
        self.listener: asyncio.Server | None = None
        self.peers: dict[int, Peer] = {}
        self.serial = 0
        self.port = 0

    async def listen(self, port: int = 0) -> int:
        # The port is kept over a restart, so the address may be taken up at once again.
        self.listener = await asyncio.start_server(
            self._client, "127.0.0.1", port or self.port, backlog=512, reuse_address=True
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        return self.port

    def down(self) -> None:
        """As if the process were killed: no listener, all connections reset."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for peer in list(self.peers.values()):
            peer.reset()

    def call(self, peer: Peer, call: rpc.Call) -> None:
        raise NotImplementedError

    async def reading(self, peer: Peer) -> None:
        """Wait here for as long as nothing of this connection may be read."""

    def opened(self, peer: Peer) -> None:
        """A connection's handshake is done."""

    def lost(self, peer: Peer) -> None:
        """A connection ended."""

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.serial += 1
        peer = Peer(self, writer, self.serial)
        self.peers[peer.number] = peer
        proto = server_protocol(1 << 24)
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MOST_CHUNKS)
        pump = asyncio.create_task(self._pump(reader, chunks))
        try:
            while True:
                peer.came, data = await chunks.get()
                if not data:
                    break
                await self.reading(peer)
                if peer.messages is None:
                    proto.receive_data(data)
                    request = next(iter(proto.events_received()), None)
                    if not isinstance(request, Request):
                        if proto.handshake_exc is not None:
                            break
                        continue
                    if found := AGENT.search(request.headers.get("User-Agent", "")):
                        peer.ingress, peer.zone = int(found[1]), found[2]
                    await self.reading(peer)  # only now it is known whose connection this is
                    proto.send_response(proto.accept(request))
                    peer.messages = Messages(proto)
                    peer.flush()
                    self.opened(peer)
                    texts = peer.messages.messages()
                else:
                    texts = peer.messages.receive(data)
                for text in texts:
                    self._read(peer, text)
                peer.flush()
        except (ConnectionError, OSError):
            pass
        finally:
            pump.cancel()
            peer.gone = True
            self.peers.pop(peer.number, None)
            self.lost(peer)
            writer.close()

    async def _pump(self, reader: asyncio.StreamReader, chunks: asyncio.Queue[tuple[float, bytes]]) -> None:
        """Read on while the other side of the queue waits, so that each chunk has the time at which it came."""
        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except (ConnectionError, OSError):
                data = b""
            await chunks.put((clock(), data))

    def _read(self, peer: Peer, text: Any) -> None:
        try:
            message = rpc.parse(text)
        except rpc.RpcError as problem:
            peer.send(problem.answer())
            return
        if isinstance(message, rpc.Call):
            self.call(peer, message)
