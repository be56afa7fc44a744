"""How much memory the messages of an ingress's connections take together, and what gives way where it is too much.

Held are requests that are incomplete, queued behind another or open, answers of backends that are incomplete, and
what clients have not read yet. Each alone has a limit; this one is for their sum. Where it is exceeded, the
connection that holds most beside its open request gives way first, so that small requests go on. No I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushweir.ingress import commands
from rushweir.ingress.byte_totals import ByteTotals

if TYPE_CHECKING:
    from rushweir.ingress.core import Core

LOG_CAUSE = "out_of_memory"


class HeldMemory:
    """The memory held by connection, in bytes, against one limit."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.totals = ByteTotals[int]()
        self.set = self.totals.set  # records what a connection holds now, by its number

    @property
    def held_bytes(self) -> int:
        """The memory of the messages of all connections."""
        return self.totals.total

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the settings allow."""
        return self.held_bytes > self.core.setup.held_bytes

    def retry_after_ms(self) -> float:
        """After what time a refused request may be repeated: by then what is incomplete now has ended."""
        limits = self.core.setup.settings.limits
        return min(self.core.setup.handshake_ms, limits.max_retry_after_ms) if limits.retry_after else 0.0

    def enforce(self) -> None:
        """Lets the largest give way until the limit holds, or nothing is left that can."""
        while self.is_exceeded and self._free_largest():
            pass

    def _free_largest(self) -> bool:
        clients, pool = self.core.clients, self.core.pool
        client = max(clients.open.values(), key=lambda client: client.refusable_bytes, default=None)
        client_bytes = 0 if client is None else client.refusable_bytes
        before = self.held_bytes
        answer_bytes, backend_conn = pool.largest_incomplete_answer()
        if not client_bytes and not answer_bytes:
            return False
        if client is None or answer_bytes > client_bytes:
            self.core.counts["memory_answers_dropped"] += 1
            pool.drop_incomplete_answer(self.core.now, backend_conn)
        elif client.refusable_bytes > 2 * client.front.refusable_bytes:  # most of it is not read by the client
            self.core.counts["memory_clients_dropped"] += 1
            clients.drop(client)
        else:
            self.core.counts["memory_requests_refused"] += clients.refuse_unfinished(client)
        self.core.log_event(commands.LogEvent("warning", LOG_CAUSE, {"held_bytes": self.held_bytes}))
        return self.held_bytes < before
