"""The ledger of an ingress: each accepted request, its attempts and its one final answer. No I/O, no clock.

A request is a small state machine, in the manner of h11's ``_state.py``. ``TRANSITIONS`` has all its transitions; any
other raises LedgerError, whoever asked for it.

    held ----send----> out ----ended----> held         (the last attempt in flight ended without an answer)
      |                 |
      +--answer / left--+----> done ---> (dropped when its last attempt has ended)

An attempt is in flight until its one outcome. Attempts may outlive their request: the policy, which counts what is in
flight, still gets their outcomes, but nothing more is sent to the client.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rushweir.ingress.commands import Attempt

HELD, OUT, DONE = "held", "out", "done"
SEND, ENDED, ANSWER, LEFT = "send", "ended", "answer", "left"

TRANSITIONS = {
    (HELD, SEND): OUT,
    (OUT, SEND): OUT,  # a parallel attempt, where the settings allow one
    (OUT, ENDED): HELD,  # the last attempt in flight; while there are others the state stays
    (HELD, ANSWER): DONE,
    (OUT, ANSWER): DONE,
    (HELD, LEFT): DONE,
    (OUT, LEFT): DONE,
}


class LedgerError(Exception):
    """A transition that the request's state does not allow."""


@dataclass(slots=True, eq=False)
class Entry:
    """One accepted request and all that is known of it."""

    request_id: str
    conn: int
    ref: Any  # the front's own reference to the request
    class_name: str
    partner: str
    units: float
    accepted_ms: float
    deadline_ms: float
    payload: dict[str, Any]
    state: str = HELD
    pending_trace: Any = None  # what the telemetry records once the last attempt has ended
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts without an outcome
    may_have_run: bool = False  # whether an attempt ended in a way that does not prove that it never ran

    def step(self, event: str) -> None:
        """Change the state by an event. Raises LedgerError if the state does not allow it."""
        try:
            self.state = TRANSITIONS[self.state, event]
        except KeyError:
            raise LedgerError(f"request {self.request_id}: {event} while {self.state}") from None


class Ledger:
    """The requests of one ingress that wait for an answer or have attempts in flight.

    ``max_open_requests`` bounds those that wait for an answer.
    """

    def __init__(self, max_open_requests: int) -> None:
        self.max_open_requests = max_open_requests
        self.entries: dict[str, Entry] = {}  # by request id
        self.by_connection: dict[int, dict[str, Entry]] = {}  # those that wait for an answer
        self.unanswered = 0
        self.last_id = 0

    def is_full(self) -> bool:
        """Whether no more requests may be accepted."""
        return self.unanswered >= self.max_open_requests

    def add(self, entry: Entry) -> None:
        """Record an accepted request."""
        self.entries[entry.request_id] = entry
        self.by_connection.setdefault(entry.conn, {})[entry.request_id] = entry
        self.unanswered += 1

    def send(self, entry: Entry, attempt: Attempt) -> None:
        """Record that an attempt is sent."""
        entry.step(SEND)
        entry.attempts.append(attempt)
        entry.in_flight += 1

    def ended(self, entry: Entry, attempt: Attempt, never_ran: bool) -> None:
        """Record an attempt's one outcome. Raises LedgerError at a second one."""
        if attempt.ended:
            raise LedgerError(f"request {entry.request_id}: attempt {attempt.number} ended twice")
        attempt.ended, attempt.payload = True, {}  # its timer may hold it for seconds
        entry.in_flight -= 1
        entry.may_have_run |= not never_ran
        if entry.state is DONE:
            self.drop(entry)
        elif not entry.in_flight:
            entry.step(ENDED)

    def finish(self, entry: Entry, event: str) -> None:
        """Record that the final answer was given, or that the client left. Attempts in flight keep the entry."""
        entry.step(event)
        self.unanswered -= 1
        of_connection = self.by_connection.get(entry.conn)
        if of_connection is not None:
            of_connection.pop(entry.request_id, None)
            if not of_connection:
                del self.by_connection[entry.conn]
        entry.payload = {}
        self.drop(entry)

    def drop(self, entry: Entry) -> None:
        """Forget a finished request without attempts in flight."""
        if entry.state is DONE and not entry.in_flight:
            self.entries.pop(entry.request_id, None)

    def of_connection(self, conn: int) -> list[Entry]:
        """The requests of one connection that wait for an answer, oldest first."""
        return list(self.by_connection.get(conn, {}).values())
