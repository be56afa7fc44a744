"""Messages between ingresses as datagrams of at most 256 bytes, authenticated, without I/O.

    version 1 | flags 1 | sender 2 | stamp 8 | text ... | tag 16

The tag is a keyed BLAKE2s over receiver and all before it: a message can be neither altered, nor made up by
a stranger, nor taken from the one that it was for to another. The stamp is the sender's time in
microseconds, raised where needed so that it grows with each message, across restarts too; a receiver takes
each stamp once and none older than ``WINDOW_MS``, so a recorded datagram is worthless. Clocks of ingresses
that differ by more are cut off from each other, and counted as such.

The text of the policy's messages is base 85; it travels as the bytes that it stands for where these give the
same text back, which leaves the room that the header needs.
"""

from __future__ import annotations

from base64 import b85decode, b85encode
from collections import Counter, deque
from hashlib import blake2s
from hmac import compare_digest
from struct import Struct

MOST_BYTES = 256
MOST_TEXT_BYTES = 256  # of a message as the policy writes it, before it is packed
VERSION, DENSE = 1, 1
HEAD = Struct(">BBHQ")
TAG = 16
WINDOW_MS = 5_000.0
MOST_STAMPS = 2048  # of one peer, remembered: more in a window than the stated 60 messages a second give


class Peers:
    """One ingress's side of the messages. ``counts`` tells what was dropped, and why."""

    def __init__(self, me: int, gateways: int, key: bytes) -> None:
        if len(key) < 16:
            raise ValueError("peer key: 16 bytes at least")
        self.me, self.gateways = me, gateways
        self.key = blake2s(key).digest()  # any length comes out as the 32 bytes that a keyed BLAKE2s takes
        self.last = 0
        self.floors = dict[int, int]()  # stamps up to here are not taken any more
        self.seen = dict[int, tuple[set[int], deque[int]]]()
        self.counts: Counter[str] = Counter()

    def pack(self, now: float, to: int, text: str) -> bytes | None:
        """The datagram for one peer; None where the text does not fit, which is counted."""
        body, flags = text.encode(), 0
        if len(body) > MOST_TEXT_BYTES:
            self.counts["too_long"] += 1
            return None
        try:
            dense = b85decode(body)
            if b85encode(dense) == body:
                body, flags = dense, DENSE
        except ValueError:
            pass
        if HEAD.size + len(body) + TAG > MOST_BYTES:
            self.counts["too_long"] += 1
            return None
        self.last = max(self.last + 1, int(now * 1000))
        message = HEAD.pack(VERSION, flags, self.me, self.last) + body
        self.counts["sent"] += 1
        return message + self._tag(to, message)

    def unpack(self, now: float, data: bytes, address: object = None) -> tuple[int, str] | None:
        """Sender and text; None where the datagram is not to be believed, which is counted by its reason.
        The address plays no part: the tag proves who it is."""
        if not HEAD.size + TAG <= len(data) <= MOST_BYTES:
            return self._drop("length")
        message, tag = data[:-TAG], data[-TAG:]
        version, flags, sender, stamp = HEAD.unpack_from(message)
        if version != VERSION or flags & ~DENSE:
            return self._drop("version")
        # The tag is judged before anything that a stranger could learn from or make this side remember.
        if not compare_digest(tag, self._tag(self.me, message)):
            return self._drop("stranger")
        if sender >= self.gateways or sender == self.me:
            return self._drop("sender")
        now_us = int(now * 1000)
        if abs(now_us - stamp) > WINDOW_MS * 1000:
            return self._drop("clock")
        if not self._fresh(sender, stamp, now_us):
            return self._drop("replay")
        body = message[HEAD.size :]
        try:
            text = b85encode(body).decode() if flags & DENSE else body.decode()
        except UnicodeDecodeError:
            return self._drop("text")
        self.counts["received"] += 1
        return sender, text

    def _fresh(self, sender: int, stamp: int, now_us: int) -> bool:
        seen, order = self.seen.setdefault(sender, (set(), deque()))
        if stamp in seen or stamp <= self.floors.get(sender, 0):
            return False
        seen.add(stamp)
        order.append(stamp)
        # Stamps that fell out of the window are refused by their age and need not be remembered.
        while order and (order[0] < now_us - WINDOW_MS * 1000 or len(order) > MOST_STAMPS):
            gone = order.popleft()
            seen.discard(gone)
            if gone >= now_us - WINDOW_MS * 1000:
                self.floors[sender] = max(self.floors.get(sender, 0), gone)
        return True

    def _drop(self, why: str) -> None:
        self.counts[f"dropped_{why}"] += 1

    def _tag(self, to: int, message: bytes) -> bytes:
        return blake2s(to.to_bytes(2, "big") + message, key=self.key, digest_size=TAG).digest()
