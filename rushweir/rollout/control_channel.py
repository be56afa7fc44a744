"""Messages between two control processes on one connection: JSON-RPC notifications with sealed bodies. No I/O.

    state   received        then
    NEW     control.hello   READY: the peer's number and nonce; both nonces make the connection's key
    READY   control.sealed  OPEN: the first sealed message, which is empty, proves that the peer has the key
    OPEN    control.sealed  a body
    any     anything else   the connection is ended

    {"jsonrpc": "2.0", "method": "control.hello", "params": {"me", "count", "nonce", "version"}}
    {"jsonrpc": "2.0", "method": "control.sealed", "params": {"body": BASE64, "seal": BASE64}}

A body is a list that msgpack packs. The seal is a keyed digest over the sender, the message's number on the
connection and the body; its key is made of the shared key and both nonces. So messages that were altered, left out,
repeated or taken from another connection are refused, and a peer without the key never gets beyond READY.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from hashlib import blake2b
from hmac import compare_digest
from typing import Any

import msgpack

from rushweir.link import rpc

VERSION = 1
SEAL_BYTES, NONCE_BYTES = 16, 16
MAX_MESSAGE_BYTES = 8_388_608  # in base64: a snapshot chunk or entries, plus one of the largest
NEW, READY, OPEN = "new", "ready", "open"


class ChannelError(ValueError):
    """A message that is not of a process with the key, or not what that process sent."""


class SealedChannel:
    """One end of one connection. ``peer``: the other process, once ``state`` is READY."""

    def __init__(self, me: int, count: int, key: bytes, nonce: bytes) -> None:
        """``nonce``: NONCE_BYTES bytes that no other connection had."""
        self.me, self.count, self.shared_key, self.nonce = me, count, key, nonce
        self.state, self.peer, self.key = NEW, -1, b""
        self.sent = self.received = 0

    def hello(self) -> bytes:
        """The first message of this end."""
        params = {"me": self.me, "count": self.count, "nonce": self.nonce.hex(), "version": VERSION}
        return rpc.call("control.hello", params)

    def write(self, body: list[Any]) -> bytes:
        """Seal a body."""
        data = msgpack.packb(body)
        seal = self._seal(self.me, self.sent, data)
        self.sent += 1
        params = {"body": b64encode(data).decode(), "seal": b64encode(seal).decode()}
        return rpc.call("control.sealed", params)

    def read(self, text: bytes | str) -> list[Any] | None:
        """Return a body; None: a message of the handshake, see ``state``. Raises ChannelError."""
        try:
            return self.take(rpc.parse(text, 1))
        except rpc.RpcError as problem:
            raise ChannelError(f"no message: {problem}") from None

    def take(self, call: rpc.Call | rpc.Reply | rpc.Batch) -> list[Any] | None:
        """As ``read``, for a message that is parsed already."""
        if not isinstance(call, rpc.Call) or not isinstance(call.params, dict):
            raise ChannelError("no message of a control process")
        if self.state is NEW and call.method == "control.hello":
            self._accept_hello(call.params)
            return None
        if self.state is NEW or call.method != "control.sealed":
            raise ChannelError(f"{call.method[:40]} is not expected here")
        body = self._open(call.params)
        if self.state is READY:
            self.state = OPEN
            return None
        return body

    def _accept_hello(self, params: dict[str, Any]) -> None:
        peer, nonce = params.get("me"), params.get("nonce")
        if params.get("version") != VERSION or params.get("count") != self.count:
            raise ChannelError(
                f"a control process of {params.get('count')!r:.20}, version {params.get('version')!r:.20}"
            )
        if type(peer) is not int or not 0 <= peer < self.count or peer == self.me:
            raise ChannelError(f"control process {peer!r:.20} connects to {self.me} of {self.count}")
        try:
            peer_nonce = bytes.fromhex(nonce) if isinstance(nonce, str) else b""
        except ValueError:
            peer_nonce = b""
        if len(peer_nonce) != NONCE_BYTES or peer_nonce == self.nonce:
            raise ChannelError("no nonce")
        both = sorted([(self.me, self.nonce), (peer, peer_nonce)])
        self.key = blake2b(both[0][1] + both[1][1], key=self.shared_key[:64], person=b"rushweir-control").digest()
        self.peer, self.state = peer, READY

    def _open(self, params: dict[str, Any]) -> list[Any]:
        """Check the seal and return the body. Raises ChannelError."""
        try:
            data, seal = b64decode(params["body"], validate=True), b64decode(params["seal"], validate=True)
        except (KeyError, ValueError, TypeError):
            raise ChannelError("a message without body and seal") from None
        if not compare_digest(seal, self._seal(self.peer, self.received, data)):
            raise ChannelError("the seal does not match: another key, or altered bytes")
        self.received += 1
        try:
            body = msgpack.unpackb(data)
        except (ValueError, msgpack.UnpackException) as problem:
            raise ChannelError(f"a body that can't be read: {problem}") from None
        if not isinstance(body, list):
            raise ChannelError("a body that is no list")
        return body

    def _seal(self, sender: int, number: int, data: bytes) -> bytes:
        head = sender.to_bytes(4, "big") + number.to_bytes(8, "big")
        return blake2b(head + data, digest_size=SEAL_BYTES, key=self.key).digest()
