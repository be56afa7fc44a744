"""The ledger of costs: each attempt opens an entry, which ends exactly once. No I/O, no clock.

    open --answer-------> settled      at the actual cost, or at the estimate if the answer names none
      |---never ran-----> released     nothing is charged
      +---no answer-----> unsettled --late answer, or the node's usage report--> settled
                                    --after ``close_after_ms``----------------> closed, at the estimate

A partner is charged at any time the actual cost of settled entries, and the estimate of open, unsettled and closed
ones. Each transition is a function of the entry's state. An event that has no transition from there (a second answer,
an answer to another attempt, a usage report of a settled entry) changes nothing and is counted as unmatched.

A keyed request, one with an idempotency key, takes effect once, however many attempts of it are sent: its first
settled attempt is charged, and the others are released when their answers come, whatever cost they name; a different
cost is counted as disputed. This release is not in the table of transitions (``CostLedger.record_answer``).

Amounts are integer thousandths of a unit. Open and unsettled entries are bounded by ``max_entries``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

# States of an entry; the last three are final.
OPEN, UNSETTLED = "open", "unsettled"
SETTLED, RELEASED, CLOSED = "settled", "released", "closed"

# Events.
ANSWERED, NEVER_RAN, LOST, TIMED_OUT = "answered", "never_ran", "lost", "timed_out"

# From (state, event) to the next state; each entry ends exactly once. Besides, the later answers of a keyed request
# that is charged already release their entries (``record_answer``).
TRANSITIONS = {
    (OPEN, ANSWERED): SETTLED,
    (OPEN, NEVER_RAN): RELEASED,
    (OPEN, LOST): UNSETTLED,
    (UNSETTLED, ANSWERED): SETTLED,  # a late answer, or the node's usage report
    (UNSETTLED, NEVER_RAN): RELEASED,  # by its usage report, the node never received it
    (UNSETTLED, TIMED_OUT): CLOSED,
}

EntryKey = tuple[str, int]  # request id and attempt number


class LedgerFull(Exception):
    """The maximum number of entries is open or unsettled."""


@dataclass(slots=True)
class Entry:
    """One attempt whose cost is not final yet."""

    request_id: str
    attempt: int
    partner: str
    route: str
    estimate: int
    since: float  # ms; when it was opened, or became unsettled
    keyed: bool = False
    state: str = OPEN


@dataclass(slots=True)
class Account:
    """What a partner is charged, by the state of the entries, in thousandths of a unit.

    ``attempts``: how many of its attempts ever reached each state.
    """

    settled: int = 0
    open: int = 0
    unsettled: int = 0
    closed: int = 0
    attempts: Counter[str] = field(default_factory=Counter)

    @property
    def charged(self) -> int:
        """The total charge, in thousandths of a unit."""
        return self.settled + self.open + self.unsettled + self.closed


@dataclass(frozen=True, slots=True)
class Transition:
    """What an event changed: the entry's new state, and the amount charged from then on in place of the estimate.

    The cost log stores it as plain values.
    """

    event: str
    request_id: str
    attempt: int
    state: str
    amount: int


class CostLedger:
    """All entries of one ingress that are not final, and the partners' accounts."""

    def __init__(self, close_after_ms: float, max_entries: int = 100_000) -> None:
        """``close_after_ms``: how long an unsettled entry waits for a late answer or the node's usage report."""
        self.close_after_ms = close_after_ms
        self.max_entries = max_entries
        self.entries: dict[EntryKey, Entry] = {}
        self.unsettled_keys: OrderedDict[EntryKey, None] = OrderedDict()  # oldest first
        self.settled_keyed: dict[str, int] = {}  # settled cost of keyed requests that have attempts outstanding
        self.keyed_attempts: Counter[str] = Counter()  # attempts of keyed requests that are not final
        self.accounts: dict[str, Account] = {}
        self.counts: Counter[str] = Counter()

    # --- transitions -----------------------------------------------------------------------------

    def open(
        self,
        now: float,
        request_id: str,
        attempt: int,
        partner: str,
        route: str,
        estimate: int,
        keyed: bool = False,
    ) -> Entry:
        """Open the entry of an attempt that is sent.

        Raises LedgerFull; ValueError if the entry is open already or the estimate is negative.
        """
        key = (request_id, attempt)
        if key in self.entries:
            raise ValueError(f"request {request_id}, attempt {attempt}: open already")
        if estimate < 0:
            raise ValueError(f"request {request_id}: the estimate is negative")
        if len(self.entries) >= self.max_entries:
            raise LedgerFull(f"{self.max_entries} entries are open or unsettled")
        entry = self.entries[key] = Entry(request_id, attempt, partner, route, estimate, now, keyed)
        if keyed:
            self.keyed_attempts[request_id] += 1
        account = self.account(partner)
        account.open += estimate
        account.attempts[OPEN] += 1
        return entry

    def record_answer(self, now: float, request_id: str, attempt: int, actual: int | None) -> Transition | None:
        """Settle an attempt by its answer, in time or late, or by the node's usage report.

        ``actual``: the cost that the node reports, None if it names none. Returns None if no entry matches, else the
        transition, RELEASED for a keyed request charged already.
        """
        entry = self.entries.get((request_id, attempt))
        if entry is None:
            return self._count_unmatched("answer")
        if actual is None:
            self.counts["unnamed"] += 1
            actual = entry.estimate
        if entry.keyed:
            first = self.settled_keyed.get(request_id)
            if first is not None:
                self.counts["disputed"] += actual not in (first, 0)
                return self._finish(entry, ANSWERED, RELEASED, 0)
            self.settled_keyed[request_id] = actual
        self.counts["late"] += entry.state is UNSETTLED
        return self._finish(entry, ANSWERED, TRANSITIONS[entry.state, ANSWERED], actual)

    def record_never_ran(self, now: float, request_id: str, attempt: int) -> Transition | None:
        """Release an attempt that did not run, as its outcome or the node's usage report proves.

        Returns None if no entry matches.
        """
        entry = self.entries.get((request_id, attempt))
        if entry is None:
            return self._count_unmatched("release")
        return self._finish(entry, NEVER_RAN, TRANSITIONS[entry.state, NEVER_RAN], 0)

    def record_lost(self, now: float, request_id: str, attempt: int) -> Transition | None:
        """Mark an attempt unsettled that got no answer and may have run; returns None if no open entry matches."""
        entry = self.entries.get((request_id, attempt))
        if entry is None or (entry.state, LOST) not in TRANSITIONS:
            return self._count_unmatched("loss")
        entry.state, entry.since = UNSETTLED, now
        self.unsettled_keys[request_id, attempt] = None
        account = self.account(entry.partner)
        account.open -= entry.estimate
        account.unsettled += entry.estimate
        account.attempts[UNSETTLED] += 1
        return Transition(LOST, request_id, attempt, UNSETTLED, entry.estimate)

    def expire(self, now: float) -> list[Transition]:
        """Close entries that were unsettled for ``close_after_ms``, at their estimates."""
        transitions = []
        while self.unsettled_keys:
            key = next(iter(self.unsettled_keys))
            entry = self.entries[key]
            if entry.since + self.close_after_ms > now:
                break
            transitions.append(self._finish(entry, TIMED_OUT, CLOSED, entry.estimate))
        return transitions

    def _finish(self, entry: Entry, event: str, state: str, amount: int) -> Transition:
        """Remove an entry that is final, and charge the amount in place of its estimate."""
        key = (entry.request_id, entry.attempt)
        account = self.account(entry.partner)
        if entry.state is OPEN:
            account.open -= entry.estimate
        else:
            account.unsettled -= entry.estimate
            del self.unsettled_keys[key]
        if state == CLOSED:
            account.closed += amount
        else:
            account.settled += amount
        account.attempts[state] += 1
        del self.entries[key]
        if entry.keyed:
            self.keyed_attempts[entry.request_id] -= 1
            if not self.keyed_attempts[entry.request_id]:
                del self.keyed_attempts[entry.request_id]
                self.settled_keyed.pop(entry.request_id, None)
        return Transition(event, entry.request_id, entry.attempt, state, amount)

    def _count_unmatched(self, event: str) -> None:
        self.counts[f"stray_{event}"] += 1

    # --- queries, dump and restore ---------------------------------------------------------------

    def account(self, partner: str) -> Account:
        """A partner's account, created if it has none."""
        found = self.accounts.get(partner)
        if found is None:
            found = self.accounts[partner] = Account()
        return found

    def unsettled_entries(self) -> Iterator[Entry]:
        """Entries for which a node could be asked for a usage report, oldest first."""
        return (self.entries[key] for key in self.unsettled_keys)

    def dump(self) -> dict[str, Any]:
        """The complete ledger as plain values."""
        return {
            "entries": [
                [
                    entry.request_id,
                    entry.attempt,
                    entry.partner,
                    entry.route,
                    entry.estimate,
                    entry.since,
                    entry.keyed,
                    entry.state,
                ]
                for entry in sorted(
                    self.entries.values(), key=lambda entry: (entry.since, entry.request_id, entry.attempt)
                )
            ],
            "done_keyed": self.settled_keyed,
            "accounts": {
                partner: [account.settled, account.closed, dict(account.attempts)]
                for partner, account in self.accounts.items()
            },
        }

    def restore(self, stored: dict[str, Any]) -> None:
        """Load what ``dump`` returned. Raises ValueError if this ledger is not empty."""
        if self.entries or self.accounts:
            raise ValueError("only an empty ledger can be restored")
        for partner, (settled, closed, attempts) in stored["accounts"].items():
            self.accounts[partner] = Account(settled=settled, closed=closed, attempts=Counter(attempts))
        for request_id, attempt, partner, route, estimate, since, keyed, state in stored["entries"]:
            state = OPEN if state == OPEN else UNSETTLED
            self.entries[request_id, attempt] = Entry(
                request_id, attempt, partner, route, estimate, since, keyed, state
            )
            account = self.account(partner)
            if state is OPEN:
                account.open += estimate
            else:
                account.unsettled += estimate
                self.unsettled_keys[request_id, attempt] = None
            if keyed:
                self.keyed_attempts[request_id] += 1
        self.settled_keyed = dict(stored["done_keyed"])

    def apply(self, transition: Transition, now: float) -> None:
        """Replay a transition from the cost log. One that was applied already changes nothing."""
        entry = self.entries.get((transition.request_id, transition.attempt))
        if entry is None:
            return
        if transition.state == UNSETTLED:
            self.record_lost(now, transition.request_id, transition.attempt)
        else:
            if entry.keyed and transition.state == SETTLED:
                self.settled_keyed[transition.request_id] = transition.amount
            self._finish(entry, transition.event, transition.state, transition.amount)

    def mark_orphans_lost(self, now: float) -> list[Transition]:
        """After a restart, mark attempts unsettled that were open when the process ended.

        They may have run, and no request waits for their answers any more.
        """
        return [
            transition
            for key in [open_key for open_key, entry in self.entries.items() if entry.state is OPEN]
            if (transition := self.record_lost(now, *key)) is not None
        ]
