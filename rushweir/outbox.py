"""Messages to peers: entries are packed together, as a token bucket of messages allows."""

import math
from base64 import b85decode, b85encode
from struct import Struct
from struct import error as StructError


class Outbox:
    """Entries for peers, sent in messages of at most so many, as a token bucket of messages allows."""

    def __init__(self, form: Struct, per_s: float, burst: float, most: int, now: float) -> None:
        self.entry_format, self.messages_per_ms, self.burst, self.max_entries = form, per_s / 1000, burst, most
        self.tokens, self.refilled_at = burst, now
        self.waiting: dict[int, list[tuple]] = {}
        self.repeats: list[tuple[int, tuple]] = []

    def enqueue(self, to: int, entry: tuple, again: bool = False) -> None:
        """``again``: once more at the next call of ``repeat``; who hears it twice must take it once."""
        self.waiting.setdefault(to, []).append(entry)
        if again:
            self.repeats.append((to, entry))

    def enqueue_repeats(self) -> None:
        repeats, self.repeats = self.repeats, []
        for to, entry in repeats:
            self.enqueue(to, entry)

    def available_messages(self, now: float) -> float:
        """Messages that may go at once beside what waits."""
        return min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms) - len(self.waiting)

    def flush(self, now: float) -> list[tuple[int, str]]:
        """What goes out now: each peer's entries together, as far as the tokens last."""
        self.tokens, self.refilled_at = (
            min(self.burst, self.tokens + (now - self.refilled_at) * self.messages_per_ms),
            now,
        )
        out = []
        for to, entries in list(self.waiting.items()):
            while entries and self.tokens >= 1:
                self.tokens -= 1
                text = b85encode(b"".join(self.entry_format.pack(*e) for e in entries[: self.max_entries])).decode()
                out.append((to, text))
                del entries[: self.max_entries]
            if not entries:
                del self.waiting[to]
        return out


def unpack_entries(form: Struct, text: str) -> list[tuple]:
    """The entries of a message; none if the text is not a message of ours."""
    try:
        return [e for e in form.iter_unpack(b85decode(text)) if all(map(math.isfinite, e))]
    except (ValueError, StructError):
        return []
