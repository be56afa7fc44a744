"""Messages between the platform's ingresses: datagrams of at most 256 bytes, identified by their sender's address.

The platform delivers datagrams between ingresses only, each from an address reserved for its sender, so they carry no
authentication. No I/O.
"""

from __future__ import annotations

from collections import Counter

MAX_DATAGRAM_BYTES = 256


class Peers:
    """Packs and unpacks the messages of one ingress. ``counts``: messages sent, received and dropped."""

    def __init__(self, me: int, addresses: list[tuple[str, int]]) -> None:
        """``me``: the number of this ingress; ``addresses``: of all ingresses by number, its own included."""
        self.me = me
        self.numbers = {address: number for number, address in enumerate(addresses)}
        self.counts: Counter[str] = Counter()

    def pack(self, now: float, to: int, text: str) -> bytes | None:
        """Returns the datagram of a message, or None if it is too long."""
        data = text.encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            return None
        self.counts["sent"] += 1
        return data

    def unpack(self, now: float, data: bytes, address: tuple[str, int] | None) -> tuple[int, str] | None:
        """Returns the sender's number and the text, or None if the sender is no peer or the bytes are not ASCII."""
        source = self.numbers.get(address)
        if source is None or source == self.me:
            self.counts["dropped_stranger"] += 1
            return None
        try:
            text = data.decode("ascii")
        except UnicodeDecodeError:
            self.counts["dropped_text"] += 1
            return None
        self.counts["received"] += 1
        return source, text
