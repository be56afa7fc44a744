"""Messages between two control processes on one connection: JSON-RPC notifications with sealed bodies. No I/O.

    state   comes           then
    NEW     control.hello   READY: who it is, and a number that was never used; both make the connection's key
    READY   control.sealed  OPEN: the first sealed one, which is empty, shows that it has the key
    OPEN    control.sealed  a body
    any     else            the connection is ended

    {"jsonrpc": "2.0", "method": "control.hello", "params": {"me", "count", "nonce", "version"}}
    {"jsonrpc": "2.0", "method": "control.sealed", "params": {"body": BASE64, "seal": BASE64}}

A body is a list that msgpack packs. The seal is a keyed digest over the sender, the message's place on the connection
and the body; its key is made of the shared key and both nonces. So bytes that were altered, left out, doubled or
taken from another connection are refused, and whoever lacks the key never gets beyond READY.
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
MAX_MESSAGE_BYTES = 8_388_608  # bytes of one message: a part or entries, and one more of the largest, in base64
NEW, READY, OPEN = "new", "ready", "open"


class ChannelError(ValueError):
    """What came is not of a process that has the key, or not what was sent."""


class SealedChannel:
    """One end of one connection."""

    def __init__(self, me: int, count: int, key: bytes, nonce: bytes) -> None:
        """``nonce``: NONCE_BYTES bytes that no other connection had."""
        self.me, self.count, self.shared, self.nonce = me, count, key, nonce
        self.state, self.peer, self.key = NEW, -1, b""
        self.sent = self.received = 0

    def hello(self) -> bytes:
        told = {"me": self.me, "count": self.count, "nonce": self.nonce.hex(), "version": VERSION}
        return rpc.call("control.hello", told)

    def write(self, body: list[Any]) -> bytes:
        data = msgpack.packb(body)
        seal = self._seal(self.me, self.sent, data)
        self.sent += 1
        told = {"body": b64encode(data).decode(), "seal": b64encode(seal).decode()}
        return rpc.call("control.sealed", told)

    def read(self, text: bytes | str) -> list[Any] | None:
        """A body; None: a part of the greeting, look at ``state``. Raises ChannelError."""
        try:
            return self.take(rpc.read(text, 1))
        except rpc.RpcError as problem:
            raise ChannelError(f"no message: {problem}") from None

    def take(self, call: rpc.Call | rpc.Reply | rpc.Batch) -> list[Any] | None:
        """The same of a message that was read."""
        if not isinstance(call, rpc.Call) or not isinstance(call.params, dict):
            raise ChannelError("no message of a control process")
        if self.state is NEW and call.method == "control.hello":
            self._hello(call.params)
            return None
        if self.state is NEW or call.method != "control.sealed":
            raise ChannelError(f"{call.method[:40]} has no place here")
        body = self._open(call.params)
        if self.state is READY:
            self.state = OPEN
            return None
        return body

    def _hello(self, told: dict[str, Any]) -> None:
        peer, nonce = told.get("me"), told.get("nonce")
        if told.get("version") != VERSION or told.get("count") != self.count:
            raise ChannelError(f"a control process of {told.get('count')!r:.20}, version {told.get('version')!r:.20}")
        if type(peer) is not int or not 0 <= peer < self.count or peer == self.me:
            raise ChannelError(f"control process {peer!r:.20} speaks to {self.me} of {self.count}")
        try:
            theirs = bytes.fromhex(nonce) if isinstance(nonce, str) else b""
        except ValueError:
            theirs = b""
        if len(theirs) != NONCE_BYTES or theirs == self.nonce:
            raise ChannelError("no nonce")
        both = sorted([(self.me, self.nonce), (peer, theirs)])
        self.key = blake2b(both[0][1] + both[1][1], key=self.shared[:64], person=b"rushweir-control").digest()
        self.peer, self.state = peer, READY

    def _open(self, told: dict[str, Any]) -> list[Any]:
        try:
            data, seal = b64decode(told["body"], validate=True), b64decode(told["seal"], validate=True)
        except (KeyError, ValueError, TypeError):
            raise ChannelError("a message without body and seal") from None
        if not compare_digest(seal, self._seal(self.peer, self.received, data)):
            raise ChannelError("the seal does not fit: another key, or altered bytes")
        self.received += 1
        try:
            body = msgpack.unpackb(data)
        except (ValueError, msgpack.UnpackException) as problem:
            raise ChannelError(f"a body that can't be read: {problem}") from None
        if not isinstance(body, list):
            raise ChannelError("a body that is no list")
        return body

    def _seal(self, sender: int, place: int, data: bytes) -> bytes:
        head = sender.to_bytes(4, "big") + place.to_bytes(8, "big")
        return blake2b(head + data, digest_size=SEAL_BYTES, key=self.key).digest()
