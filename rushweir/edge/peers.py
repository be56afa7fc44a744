"""Messages between the platform's ingresses: bare datagrams of at most 256 bytes, known by their sender's address.

The platform delivers datagrams between ingresses only, each from an address set aside for its sender, so nothing in
them proves who wrote them. No I/O.
"""

from __future__ import annotations

from collections import Counter

MOST_BYTES = 256


class Peers:
    """One ingress's side. ``counts`` tells what was dropped, and why."""

    def __init__(self, me: int, addresses: list[tuple[str, int]]) -> None:
        """``addresses`` of all ingresses, its own included, by their numbers."""
        self.me, self.numbers = me, {a: k for k, a in enumerate(addresses)}
        self.counts: Counter[str] = Counter()

    def pack(self, now: float, to: int, text: str) -> bytes | None:
        data = text.encode()
        if len(data) > MOST_BYTES:
            self.counts["too_long"] += 1
            return None
        self.counts["sent"] += 1
        return data

    def unpack(self, now: float, data: bytes, address: tuple[str, int] | None) -> tuple[int, str] | None:
        """Sender and text; None where the sender is no peer or the bytes are no text."""
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
