"""Datagrams between members: authenticated, addressed to one process, accepted once. No I/O.

    version 1 | kind 1 | sender 8 | receiver 8 | serial 4 | body (msgpack, one array) | tag 16

Sender and receiver are random ids that processes draw when they start, so a datagram recorded for one process is
useless against its successor. The serial increases with each datagram of a sender; a receiver accepts each serial
once and none that lags by ``REPLAY_WINDOW`` or more (as in RFC 6479), so no synchronized clocks are needed. The tag
is a keyed BLAKE2s over everything before it. Only a JOIN may come without a receiver: it is answered and has no other
effect.

The first byte distinguishes these datagrams from quota messages (peers/datagram.py), which share the socket.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from hashlib import blake2s
from hmac import compare_digest
from struct import Struct
from typing import Any

import msgpack

MAX_DATAGRAM_BYTES = 256
VERSION = 2
HEADER = Struct(">BBQQI")
TAG_BYTES = 16
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - TAG_BYTES
REPLAY_WINDOW = 1024  # serials of one sender that may arrive out of order: more than a minute of its messages
ANY_RECEIVER = 0  # as receiver of a JOIN

JOIN, JOIN_REPLY, PROBE, PROBE_ACK, INDIRECT_PROBE, INDIRECT_ACK = 1, 2, 3, 4, 5, 6
DIGEST, VERSIONS, ROWS, INDIRECT_NACK, SKETCH = 7, 8, 9, 10, 11
PREPARE, PROMISE, PROPOSE, ACCEPT = 16, 17, 18, 19
VIEW_PROPOSE, VIEW_ACCEPT, VIEW_FETCH, VIEW_PAGE = 20, 21, 22, 23
SLOT_REQUEST, SLOT_REFUSED, SLOT_RELEASE, SLOT_RELEASED, LEASE_RELEASE = 24, 25, 26, 27, 28
APP = 32


class Frames:
    """Packs and unpacks the datagrams of one process. ``counts`` has what was dropped, by reason."""

    def __init__(self, me: int, key: bytes, most_senders: int) -> None:
        """``max_senders``: how many replay windows are kept; the least recently active sender is evicted. Raises
        ValueError for a key shorter than 16 bytes."""
        if len(key) < 16:
            raise ValueError("peer key: 16 bytes at least")
        self.me, self.max_senders = me, most_senders
        self.key = blake2s(key).digest()
        self.serial = 0
        self.windows: OrderedDict[int, tuple[int, int]] = OrderedDict()  # highest serial, and a bitmap of those below
        self.counts: Counter[str] = Counter()

    def pack(self, kind: int, to: int, body: Any) -> bytes:
        """Returns a datagram. Raises ValueError if the body is too long; callers measure the bodies that they
        build."""
        self.serial += 1
        packed = msgpack.packb(body)
        if len(packed) > MAX_BODY_BYTES:
            raise ValueError(f"a body of {len(packed)} bytes, {MAX_BODY_BYTES} at most")
        message = HEADER.pack(VERSION, kind, self.me, to, self.serial & 0xFFFFFFFF) + packed
        self.counts["sent"] += 1
        return message + blake2s(message, key=self.key, digest_size=TAG_BYTES).digest()

    def unpack(self, data: bytes) -> tuple[int, int, list] | None:
        """Returns kind, sender and body; None if the datagram is malformed, unauthenticated or replayed."""
        if not HEADER.size + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return self._drop("length")
        message, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        version, kind, sender, receiver, serial = HEADER.unpack_from(message)
        if version != VERSION:
            return self._drop("version")
        # The tag is verified before anything that an attacker could learn from or make this side store.
        if not compare_digest(tag, blake2s(message, key=self.key, digest_size=TAG_BYTES).digest()):
            return self._drop("stranger")
        if sender in (self.me, ANY_RECEIVER):
            return self._drop("own")
        if receiver != self.me and not (receiver == ANY_RECEIVER and kind == JOIN):
            return self._drop("other_receiver")
        if receiver == self.me and not self._is_fresh(sender, serial):
            return self._drop("replay")
        try:
            body = msgpack.unpackb(message[HEADER.size :], strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            return self._drop("body")
        if not isinstance(body, list):
            return self._drop("body")
        self.counts["received"] += 1
        return kind, sender, body

    def _is_fresh(self, sender: int, serial: int) -> bool:
        high, seen = self.windows.get(sender, (0, 0))
        if serial > high:
            seen = (seen << min(serial - high, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            high = serial
        else:
            bit = 1 << (high - serial)
            if high - serial >= REPLAY_WINDOW or seen & bit:
                return False
            seen |= bit
        self.windows[sender] = high, seen
        self.windows.move_to_end(sender)
        if len(self.windows) > self.max_senders:
            self.windows.popitem(last=False)
        return True

    def renew(self, me: int) -> None:
        """Continues under another id, as a newly started process would."""
        self.me, self.serial = me, 0
        self.windows.clear()

    def _drop(self, why: str) -> None:
        self.counts[f"dropped_{why}"] += 1
