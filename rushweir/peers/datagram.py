"""Messages between ingresses as authenticated datagrams of at most 256 bytes. No I/O.

    version 1 | flags 1 | sender 2 | timestamp 8 | text ... | tag 16

The tag is a keyed BLAKE2s over the receiver's number and all bytes before the tag: a message can be neither altered,
nor forged without the key, nor replayed to another receiver. The timestamp is the sender's time in microseconds,
raised where needed so that it grows with each message, across restarts too. A receiver accepts each timestamp once
and none older than ``WINDOW_MS``, so a recorded datagram is useless. Ingresses whose clocks differ by more can't
communicate, and their datagrams are counted as such.

The policy's messages are text in base 85. It is sent as the bytes that it encodes where these encode to the same text
again, which saves the space that the header needs.
"""

from __future__ import annotations

from base64 import b85decode, b85encode
from collections import Counter, deque
from hashlib import blake2s
from hmac import compare_digest
from struct import Struct

MAX_DATAGRAM_BYTES = 256
MAX_TEXT_BYTES = 256  # of a message as the policy writes it, before it is packed
VERSION, DECODED_BASE85 = 1, 1
HEADER = Struct(">BBHQ")
TAG_BYTES = 16
WINDOW_MS = 5_000.0
MAX_TIMESTAMPS = 2048  # remembered of one peer: more than 60 messages a second, the stated rate, give in a window


class Peers:
    """Packs and unpacks the messages of one ingress. ``counts``: messages sent, received and dropped, by reason."""

    def __init__(self, me: int, gateways: int, key: bytes) -> None:
        """``me``: the number of this ingress; ``gateways``: the number of ingresses. Raises ValueError for a key of
        less than 16 bytes."""
        if len(key) < 16:
            raise ValueError("peer key: must have at least 16 bytes")
        self.me, self.gateways = me, gateways
        self.key = blake2s(key).digest()  # keyed BLAKE2s takes 32 bytes at most, the key may have any length
        self.last_timestamp = 0
        self.min_timestamps = dict[int, int]()  # by sender: timestamps up to this one are rejected
        self.seen = dict[int, tuple[set[int], deque[int]]]()  # by sender: its timestamps, and their order of arrival
        self.counts: Counter[str] = Counter()

    def pack(self, now: float, to: int, text: str) -> bytes | None:
        """Returns the datagram of a message to one peer, or None if it is too long, which is counted."""
        body, flags = text.encode(), 0
        if len(body) > MAX_TEXT_BYTES:
            self.counts["too_long"] += 1
            return None
        try:
            decoded = b85decode(body)
            if b85encode(decoded) == body:
                body, flags = decoded, DECODED_BASE85
        except ValueError:
            pass
        if HEADER.size + len(body) + TAG_BYTES > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            return None
        self.last_timestamp = max(self.last_timestamp + 1, int(now * 1000))
        message = HEADER.pack(VERSION, flags, self.me, self.last_timestamp) + body
        self.counts["sent"] += 1
        return message + self._tag(to, message)

    def unpack(self, now: float, data: bytes, address: object = None) -> tuple[int, str] | None:
        """Returns the sender's number and the text, or None if the datagram is rejected, which is counted by its
        reason. The address is not used: the tag authenticates the sender."""
        if not HEADER.size + TAG_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            return self._drop("length")
        message, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        version, flags, sender, timestamp = HEADER.unpack_from(message)
        if version != VERSION or flags & ~DECODED_BASE85:
            return self._drop("version")
        # The tag is checked before anything from which an outsider could learn, or which would make this side store
        # something.
        if not compare_digest(tag, self._tag(self.me, message)):
            return self._drop("stranger")
        if sender >= self.gateways or sender == self.me:
            return self._drop("sender")
        now_us = int(now * 1000)
        if abs(now_us - timestamp) > WINDOW_MS * 1000:
            return self._drop("clock")
        if not self._is_new(sender, timestamp, now_us):
            return self._drop("replay")
        body = message[HEADER.size :]
        try:
            text = b85encode(body).decode() if flags & DECODED_BASE85 else body.decode()
        except UnicodeDecodeError:
            return self._drop("text")
        self.counts["received"] += 1
        return sender, text

    def _is_new(self, sender: int, timestamp: int, now_us: int) -> bool:
        seen, order = self.seen.setdefault(sender, (set(), deque()))
        if timestamp in seen or timestamp <= self.min_timestamps.get(sender, 0):
            return False
        seen.add(timestamp)
        order.append(timestamp)
        # Timestamps outside of the window are rejected by their age and need not be remembered.
        while order and (order[0] < now_us - WINDOW_MS * 1000 or len(order) > MAX_TIMESTAMPS):
            removed = order.popleft()
            seen.discard(removed)
            if removed >= now_us - WINDOW_MS * 1000:
                self.min_timestamps[sender] = max(self.min_timestamps.get(sender, 0), removed)
        return True

    def _drop(self, why: str) -> None:
        self.counts[f"dropped_{why}"] += 1

    def _tag(self, to: int, message: bytes) -> bytes:
        return blake2s(to.to_bytes(2, "big") + message, key=self.key, digest_size=TAG_BYTES).digest()
