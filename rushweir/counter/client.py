"""Calls to the shared counter over one WebSocket link, as JSON-RPC 2.0, without I/O.

    counter.add {"name": integer, "amount": number, "forget_after_ms": number} -> {"value": number}

Each call ends exactly once: OK with the total, TIMEOUT without an answer (the amount may have been added), FULL (the
counter rejected it before execution), ERROR for any other answer, or CONNECT_FAILED (it was never written). The calls
for one name end in their order, as the policy expects: the answer to a later call ends the earlier ones first.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rushweir import interface
from rushweir.link import rpc
from rushweir.link.upstream import OPEN, Upstream

RETRY_DELAY_MS = (50.0, 2_000.0)
CONNECT_TIMEOUT_MS = 1_000.0
PING_INTERVAL_MS = 1_000.0
MAX_OPEN_CALLS = 4096  # further ones end at once as never sent
MAX_MESSAGE_BYTES = 65_536


@dataclass(slots=True)
class Call:
    """An open call; ``number`` is its id on the wire, ``name`` the counter."""

    number: int
    name: int
    sent_ms: float
    ended: bool = False


@dataclass(slots=True)
class CallEnded:
    """The end of a call; ``value`` is the total of the counter if the result is OK."""

    name: int
    result: interface.Result
    value: float
    spent_ms: float


class CounterClient:
    """The calls of one ingress, over a link that reconnects."""

    def __init__(
        self,
        url: str,
        headers: dict[str, str],
        seed: int,
        timeout_ms: float,
        new_conn: Callable[[Any], int],
        at: Callable[[float, Callable[..., None], Any], None],
    ) -> None:
        self.link = Upstream(
            self, url, headers, seed=seed, new_conn=new_conn, at=at, retry_delay_ms=RETRY_DELAY_MS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS, ping_interval_ms=PING_INTERVAL_MS, max_message=MAX_MESSAGE_BYTES,
        )  # fmt: skip
        self.timeout_ms, self.at, self.number = timeout_ms, at, 0
        self.calls: dict[int, Call] = {}
        self.by_name: dict[int, deque[Call]] = {}
        self.ended: list[CallEnded] = []
        self.counts: Counter[str] = Counter()

    def add(self, now: float, name: int, amount: float, forget_after_ms: float) -> None:
        """Adds an amount to a counter, which the service drops after ``forget_after_ms``."""
        self.link.now = now
        self.number += 1
        call = Call(self.number, name, now)
        if self.link.state is not OPEN or not self.link.writable or len(self.calls) >= MAX_OPEN_CALLS:
            # Nothing is queued for an unreachable counter: an answer after the deadline is useless.
            if earlier := self.by_name.get(name):
                self._end_through(earlier[-1])
            self.counts["not_sent"] += 1
            self.ended.append(CallEnded(name, interface.Result.CONNECT_FAILED, 0.0, 0.0))
            return
        self.calls[call.number] = call
        self.by_name.setdefault(name, deque()).append(call)
        params = {"name": name, "amount": amount, "forget_after_ms": forget_after_ms}
        self.link.call("counter.add", params, call.number)
        self.at(now + self.timeout_ms, self._on_timeout, call)

    # --- called by the link ----------------------------------------------------------------------

    def opened(self) -> None:
        """The link is open."""
        self.counts["opened"] += 1

    def bad_message(self, why: str) -> None:
        """A message arrived that is not valid JSON-RPC 2.0."""
        self.counts["bad_messages"] += 1

    def link_lost(self, was_open: bool) -> None:
        """The link was lost: all open calls end."""
        for call in list(self.calls.values()):
            # It was written, so the amount may have been added, as with a timeout.
            self._finish(call, interface.Result.TIMEOUT, 0.0)

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        """Handles a message of the counter."""
        call = self.calls.get(message.id) if isinstance(message.id, int) else None
        if isinstance(message, rpc.Call) or call is None:
            self.counts["late_answers"] += 1
            return
        for earlier in list(self.by_name[call.name]):
            if earlier is call:
                break
            self._finish(earlier, interface.Result.TIMEOUT, 0.0)
        value = message.result.get("value") if isinstance(message.result, dict) else None
        if message.error is not None:
            full = message.error["code"] == rpc.NODE_FULL
            self._finish(call, interface.Result.FULL if full else interface.Result.ERROR, 0.0)
        elif type(value) in (int, float) and math.isfinite(value):
            self._finish(call, interface.Result.OK, float(value))
        else:
            self._finish(call, interface.Result.ERROR, 0.0)

    def _on_timeout(self, call: Call) -> None:
        if not call.ended:
            self._end_through(call)

    def _end_through(self, last: Call) -> None:
        """Ends the calls for a name without an answer, from the oldest to this one."""
        for call in list(self.by_name.get(last.name, ())):
            self._finish(call, interface.Result.TIMEOUT, 0.0)
            if call is last:
                break

    def _finish(self, call: Call, result: interface.Result, value: float) -> None:
        call.ended = True
        self.calls.pop(call.number, None)
        open_calls = self.by_name[call.name]
        open_calls.remove(call)
        if not open_calls:
            del self.by_name[call.name]
        self.counts[result.value] += 1
        self.ended.append(CallEnded(call.name, result, value, self.link.now - call.sent_ms))
