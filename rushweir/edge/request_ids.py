"""The ids of requests that are open or were so a moment ago. No I/O."""

from __future__ import annotations

from collections import OrderedDict

MAX_ENDED_IDS = 4096  # of up to 128 bytes each


class RequestIds:
    """Ids that no other request may have: each request has an id of its own, also one that repeats another.

    An id is kept for ``keep_ms`` after its request ended, since an attempt may still run where the client has left.
    Of ended ones the newest ``MAX_ENDED_IDS`` are kept."""

    def __init__(self, keep_ms: float) -> None:
        self.keep_ms = keep_ms
        self.open: set[bytes] = set()  # limited by the connections, each of which has one open request
        self.ended: OrderedDict[bytes, float] = OrderedDict()  # until when each is kept, oldest first

    def use(self, request_id: bytes, now: float) -> bool:
        """Takes an id for a request that begins; returns whether it is free."""
        self._forget_old(now)
        if request_id in self.open or request_id in self.ended:
            return False
        self.open.add(request_id)
        return True

    def release(self, request_id: bytes, now: float) -> None:
        """Records that a request has its answer, or that its client has left."""
        self.open.discard(request_id)
        self.ended[request_id] = now + self.keep_ms
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        while self.ended:
            request_id, until = next(iter(self.ended.items()))
            if until > now and len(self.ended) <= MAX_ENDED_IDS:
                return
            del self.ended[request_id]
