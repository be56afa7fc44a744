"""Entries for other gateways, batched into messages within a rate of messages per second."""

import math
from base64 import b85decode, b85encode
from struct import Struct
from struct import error as StructError


class Outbox:
    """Entries that wait to be sent to other gateways, and the token bucket of the messages that carry them."""

    def __init__(
        self, entry_format: Struct, messages_per_s: float, burst: float, max_entries: int, now: float
    ) -> None:
        """``burst``: messages that may be sent at once; ``max_entries``: entries in a message."""
        self.entry_format = entry_format
        self.messages_per_ms = messages_per_s / 1000
        self.burst = burst
        self.max_entries = max_entries
        self.tokens = burst
        self.refilled_at = now
        self.waiting: dict[int, list[tuple]] = {}
        self.repeats: list[tuple[int, tuple]] = []

    def enqueue(self, to: int, entry: tuple, repeated: bool = False) -> None:
        """Add an entry for a gateway. With ``repeated`` the next ``enqueue_repeats`` adds it again, so its handling
        must be idempotent."""
        self.waiting.setdefault(to, []).append(entry)
        if repeated:
            self.repeats.append((to, entry))

    def enqueue_repeats(self) -> None:
        """Add the entries that are to be sent a second time."""
        repeats, self.repeats = self.repeats, []
        for to, entry in repeats:
            self.enqueue(to, entry)

    def available_messages(self, now: float) -> float:
        """Messages that could be sent now beside those for the entries that wait."""
        return min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms) - len(self.waiting)

    def flush(self, now: float) -> list[tuple[int, str]]:
        """Take the messages to send now, each with its gateway, as far as the tokens last."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms)
        self.refilled_at = now
        messages = []
        for to, entries in list(self.waiting.items()):
            while entries and self.tokens >= 1:
                self.tokens -= 1
                packed = b"".join(self.entry_format.pack(*entry) for entry in entries[: self.max_entries])
                messages.append((to, b85encode(packed).decode()))
                del entries[: self.max_entries]
            if not entries:
                del self.waiting[to]
        return messages


def unpack_entries(entry_format: Struct, text: str) -> list[tuple]:
    """The entries of a message; none if the text is not a message of this format."""
    try:
        return [entry for entry in entry_format.iter_unpack(b85decode(text)) if all(map(math.isfinite, entry))]
    except (ValueError, StructError):
        return []
