"""Calls to the shared counter over one WebSocket link, as JSON-RPC 2.0, without I/O.

    counter.add {"name": whole number, "amount": number, "forget_after_ms": number} -> {"value": number}

Each call ends exactly once: OK with the total, TIMEOUT after the deadline (the amount may have been added),
FULL (the counter turned it away unseen) or CONNECT_FAILED (it was never written). Ends for one name come in
the order of the calls, as the policy expects: a later call's answer ends the earlier ones first.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rushweir import interface as i
from rushweir.link import rpc
from rushweir.link.upstream import OPEN, Upstream

PAUSE_MS = (50.0, 2_000.0)
CONNECT_MS = 1_000.0
PING_MS = 1_000.0
MOST_OUT = 4096  # calls without an end; more are ended at once as never sent
MOST_MESSAGE = 65_536


@dataclass(slots=True)
class Call:
    number: int
    name: int
    sent_ms: float
    ended: bool = False


@dataclass(slots=True)
class CallEnded:
    name: int
    result: i.Result
    value: float
    spent_ms: float


class CounterClient:
    """The calls of one ingress, over a link that is kept up."""

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
            self, url, headers, seed=seed, new_conn=new_conn, at=at, retry_delay_ms=PAUSE_MS,
            connect_timeout_ms=CONNECT_MS, ping_interval_ms=PING_MS, max_message=MOST_MESSAGE,
        )  # fmt: skip
        self.timeout, self.at, self.number = timeout_ms, at, 0
        self.calls: dict[int, Call] = {}
        self.by_name: dict[int, deque[Call]] = {}
        self.ended: list[CallEnded] = []
        self.counts: Counter[str] = Counter()

    def add(self, now: float, name: int, amount: float, forget_after_ms: float) -> None:
        self.link.now = now
        self.number += 1
        call = Call(self.number, name, now)
        if self.link.state is not OPEN or not self.link.writable or len(self.calls) >= MOST_OUT:
            # Nothing is queued for a counter that is away: an answer past its deadline would be no answer.
            if earlier := self.by_name.get(name):
                self._end_through(earlier[-1])
            self.counts["not_sent"] += 1
            self.ended.append(CallEnded(name, i.Result.CONNECT_FAILED, 0.0, 0.0))
            return
        self.calls[call.number] = call
        self.by_name.setdefault(name, deque()).append(call)
        params = {"name": name, "amount": amount, "forget_after_ms": forget_after_ms}
        self.link.call("counter.add", params, call.number)
        self.at(now + self.timeout, self._late, call)

    # --- what the link tells ---------------------------------------------------------------------

    def opened(self) -> None:
        self.counts["opened"] += 1

    def bad_message(self, why: str) -> None:
        self.counts["bad_messages"] += 1

    def link_lost(self, was_open: bool) -> None:
        for call in list(self.calls.values()):
            # It was written, so the amount may have been added: no answer, as with a time-out.
            self._finish(call, i.Result.TIMEOUT, 0.0)

    def message(self, message: rpc.Call | rpc.Reply) -> None:
        call = self.calls.get(message.id) if isinstance(message.id, int) else None
        if isinstance(message, rpc.Call) or call is None:
            self.counts["late_answers"] += 1
            return
        for earlier in list(self.by_name[call.name]):
            if earlier is call:
                break
            self._finish(earlier, i.Result.TIMEOUT, 0.0)
        value = message.result.get("value") if isinstance(message.result, dict) else None
        if message.error is not None:
            full = message.error["code"] == rpc.NODE_FULL
            self._finish(call, i.Result.FULL if full else i.Result.ERROR, 0.0)
        elif type(value) in (int, float) and math.isfinite(value):
            self._finish(call, i.Result.OK, float(value))
        else:
            self._finish(call, i.Result.ERROR, 0.0)

    def _late(self, call: Call) -> None:
        if not call.ended:
            self._end_through(call)

    def _end_through(self, last: Call) -> None:
        """End the calls of a name without an answer, from the oldest through this one."""
        for call in list(self.by_name.get(last.name, ())):
            self._finish(call, i.Result.TIMEOUT, 0.0)
            if call is last:
                break

    def _finish(self, call: Call, result: i.Result, value: float) -> None:
        call.ended = True
        self.calls.pop(call.number, None)
        mine = self.by_name[call.name]
        mine.remove(call)
        if not mine:
            del self.by_name[call.name]
        self.counts[result.value] += 1
        self.ended.append(CallEnded(call.name, result, value, self.link.now - call.sent_ms))
