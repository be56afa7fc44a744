"""The ledger of an ingress: each request taken, its attempts, its one final answer. No I/O, no clock.

A request is a small state machine, as in h11's ``_state.py``: the table below is the whole of it, and a step
that it does not list raises LedgerError, whatever asked for it.

    held ----send----> out ----ended----> held         (the last attempt out came back without an answer)
      |                 |
      +--answer / left--+----> done ---> (dropped when its last attempt is back)

An attempt is out until its one Outcome. Attempts may outlive the request: their outcomes are still told to
the policy, which keeps count of what is in flight, but nothing more goes to the client.
"""

from __future__ import annotations

from typing import Any

from rushweir.ingress.commands import Attempt

HELD, OUT, DONE = "held", "out", "done"
SEND, ENDED, ANSWER, LEFT = "send", "ended", "answer", "left"

STEPS = {
    (HELD, SEND): OUT,
    (OUT, SEND): OUT,  # a second copy, where the settings allow one
    (OUT, ENDED): HELD,  # the last one out; while others are out the state stays
    (HELD, ANSWER): DONE,
    (OUT, ANSWER): DONE,
    (HELD, LEFT): DONE,
    (OUT, LEFT): DONE,
}


class LedgerError(Exception):
    """A step that the request's state does not allow."""


class Entry:
    """One request taken, and all that is known of it."""

    __slots__ = (
        "attempts", "conn", "pending_trace", "customer", "cls", "may_have_run", "method", "not_after", "out",
        "payload", "ref", "request_id", "state", "taken", "units",
    )  # fmt: skip

    def __init__(
        self, request_id: str, conn: int, ref: Any, cls: str, customer: str, units: float, taken: float,
        not_after: float, payload: dict[str, Any],
    ) -> None:  # fmt: skip
        self.request_id, self.conn, self.ref, self.cls, self.customer = request_id, conn, ref, cls, customer
        self.units, self.taken, self.not_after, self.payload = units, taken, not_after, payload
        self.state = HELD
        self.pending_trace: Any = None  # what the watch wants noted of it when its last attempt is back
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts without an outcome
        self.may_have_run = False  # some attempt ended in a way that does not prove the opposite

    def step(self, event: str) -> None:
        try:
            self.state = STEPS[self.state, event]
        except KeyError:
            raise LedgerError(f"request {self.request_id}: {event} while {self.state}") from None


class Ledger:
    """The requests of one ingress that are owed an answer or have attempts out; ``most`` bounds the former."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.entries: dict[str, Entry] = {}
        self.by_conn: dict[int, dict[str, Entry]] = {}
        self.unanswered = 0
        self.serial = 0

    def is_full(self) -> bool:
        return self.unanswered >= self.most

    def take(self, entry: Entry) -> None:
        self.entries[entry.request_id] = entry
        self.by_conn.setdefault(entry.conn, {})[entry.request_id] = entry
        self.unanswered += 1

    def send(self, entry: Entry, attempt: Attempt) -> None:
        entry.step(SEND)
        entry.attempts.append(attempt)
        entry.out += 1

    def ended(self, entry: Entry, attempt: Attempt, never_ran: bool) -> None:
        """Note an attempt's one outcome; a second one is a fault of the caller and raises."""
        if attempt.ended:
            raise LedgerError(f"request {entry.request_id}: attempt {attempt.number} ended twice")
        attempt.ended = True
        entry.out -= 1
        entry.may_have_run |= not never_ran
        if entry.state is DONE:
            self.drop(entry)
        elif not entry.out:
            entry.step(ENDED)

    def finish(self, entry: Entry, event: str) -> None:
        """The final answer was given, or the client left; the entry stays for the attempts still out."""
        entry.step(event)
        self.unanswered -= 1
        mine = self.by_conn.get(entry.conn)
        if mine is not None:
            mine.pop(entry.request_id, None)
            if not mine:
                del self.by_conn[entry.conn]
        entry.payload = {}
        self.drop(entry)

    def drop(self, entry: Entry) -> None:
        if entry.state is DONE and not entry.out:
            self.entries.pop(entry.request_id, None)

    def of(self, conn: int) -> list[Entry]:
        """The requests of one connection that are owed an answer, oldest first."""
        return list(self.by_conn.get(conn, {}).values())
