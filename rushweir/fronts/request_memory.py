"""The memory that the messages of one WebSocket connection take, by what they wait for. No I/O."""

from __future__ import annotations

from rushweir.link import rpc

VALUE_BYTES = 80  # of memory for one value of a parsed message, an empty object at most


def parsed_bytes(text: bytes) -> int:
    """Returns how much memory a JSON text takes once it is parsed, at most."""
    return len(text) + VALUE_BYTES * (1 + text.count(b"[") + text.count(b"{") + text.count(b","))


class RequestMemory:
    """The memory of a connection's open requests, and of answers that wait for the others of their batch."""

    __slots__ = ("batch_bytes", "by_id", "open_bytes")

    def __init__(self) -> None:
        self.by_id: dict[rpc.Id, int] = {}
        self.open_bytes = self.batch_bytes = 0

    def opened(self, request_id: rpc.Id, held_bytes: int) -> None:
        """Records an open request."""
        self.by_id[request_id] = held_bytes
        self.open_bytes += held_bytes

    def answered(self, request_id: rpc.Id) -> None:
        """Records that a request has its answer."""
        self.open_bytes -= self.by_id.pop(request_id, 0)

    def clear(self) -> None:
        """Forgets all: the connection has ended."""
        self.by_id.clear()
        self.open_bytes = self.batch_bytes = 0
