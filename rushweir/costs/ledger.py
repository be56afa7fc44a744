"""The ledger of costs: each try opens an entry, and closes it exactly once. No I/O, no clock.

    open --answer--------> settled         at the truth, or at the guess where the answer names none
      |---never ran------> released        nothing is charged
      +---no answer------> unsettled --late answer, or the node's account--> settled
                                     --after ``close_ms``------------------> closed, at the guess

What is charged to a partner at any time: the truth of what is settled, and the guess of what is open, unsettled
or closed. Every step is a function of the entry's state; a step that the state does not have (a second answer, an
answer to another try, an account of what was settled) changes nothing and is counted as a stray.

A keyed request is done once, however often it is sent: its first settled try is charged, and the others are
released when they come back, whatever cost they name; a different one is counted as disputed.

Amounts are whole thousandths of a unit; entries that are open or unsettled are bounded by ``most``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

OPEN, UNSETTLED = "open", "unsettled"
SETTLED, RELEASED, CLOSED = "settled", "released", "closed"

ANSWERED, NEVER_RAN, LOST, TIMED_OUT = "answered", "never_ran", "lost", "timed_out"

# The whole of the machine: what happens to an entry in which state.
STEPS = {
    (OPEN, ANSWERED): SETTLED,
    (OPEN, NEVER_RAN): RELEASED,
    (OPEN, LOST): UNSETTLED,
    (UNSETTLED, ANSWERED): SETTLED,  # late, or from the node's account
    (UNSETTLED, NEVER_RAN): RELEASED,  # the account says that the node never saw it
    (UNSETTLED, TIMED_OUT): CLOSED,
}

Key = tuple[str, int]  # request and number of the try


class LedgerFull(Exception):
    """No more entries can be open at once."""


@dataclass(slots=True)
class Entry:
    """One try whose cost is not final yet."""

    rid: str
    number: int
    partner: str
    route: str
    guess: int
    at: float  # when it was opened; once unsettled, when that was
    keyed: bool = False
    state: str = OPEN


@dataclass(slots=True)
class Account:
    """What a partner is charged, by how sure it is. Thousandths of a unit; counts of tries beside."""

    settled: int = 0
    open: int = 0
    unsettled: int = 0
    closed: int = 0
    tries: Counter[str] = field(default_factory=Counter)

    @property
    def charged(self) -> int:
        return self.settled + self.open + self.unsettled + self.closed


@dataclass(frozen=True, slots=True)
class Step:
    """What a call changed: the entry's new state, and the amount that its partner is charged in place of the guess
    from now on. As plain values it is what the log keeps."""

    event: str
    rid: str
    number: int
    state: str
    amount: int


class Costs:
    """All entries of one ingress that are not final, and the partners' accounts."""

    def __init__(self, close_ms: float, most: int = 100_000) -> None:
        """``close_ms``: how long an unsettled entry waits for a late answer or the node's account."""
        self.close_ms, self.most = close_ms, most
        self.entries: dict[Key, Entry] = {}
        self.waiting: OrderedDict[Key, None] = OrderedDict()  # unsettled, oldest first
        self.done_keyed: dict[str, int] = {}  # keyed requests with tries out: the cost that was settled
        self.tries_of: Counter[str] = Counter()  # of keyed requests, tries that are not final
        self.accounts: dict[str, Account] = {}
        self.counts: Counter[str] = Counter()

    # --- steps -----------------------------------------------------------------------------------

    def open(
        self, now: float, rid: str, number: int, partner: str, route: str, guess: int, keyed: bool = False
    ) -> Entry:
        """A try is sent. Raises LedgerFull; ValueError where the try is open already."""
        key = (rid, number)
        if key in self.entries:
            raise ValueError(f"request {rid}, try {number}: open already")
        if guess < 0:
            raise ValueError(f"request {rid}: a guess below nothing")
        if len(self.entries) >= self.most:
            raise LedgerFull(f"{self.most} entries are open")
        entry = self.entries[key] = Entry(rid, number, partner, route, guess, now, keyed)
        if keyed:
            self.tries_of[rid] += 1
        account = self.account(partner)
        account.open += guess
        account.tries[OPEN] += 1
        return entry

    def answered(self, now: float, rid: str, number: int, truth: int | None) -> Step | None:
        """An answer came, at once, late, or as the node's account; ``truth`` is None where it names no cost."""
        entry = self.entries.get((rid, number))
        if entry is None:
            return self._stray("answer")
        if truth is None:
            self.counts["unnamed"] += 1
            truth = entry.guess
        if entry.keyed:
            first = self.done_keyed.get(rid)
            if first is not None:
                self.counts["disputed"] += truth not in (first, 0)
                return self._final(entry, ANSWERED, RELEASED, 0)
            self.done_keyed[rid] = truth
        self.counts["late"] += entry.state is UNSETTLED
        return self._final(entry, ANSWERED, STEPS[entry.state, ANSWERED], truth)

    def never_ran(self, now: float, rid: str, number: int) -> Step | None:
        """The try was never worked on: proved by how it ended, or by the node's account."""
        entry = self.entries.get((rid, number))
        if entry is None:
            return self._stray("release")
        return self._final(entry, NEVER_RAN, STEPS[entry.state, NEVER_RAN], 0)

    def lost(self, now: float, rid: str, number: int) -> Step | None:
        """No answer came, and it may have run."""
        entry = self.entries.get((rid, number))
        if entry is None or (entry.state, LOST) not in STEPS:
            return self._stray("loss")
        entry.state, entry.at = UNSETTLED, now
        self.waiting[rid, number] = None
        account = self.account(entry.partner)
        account.open -= entry.guess
        account.unsettled += entry.guess
        account.tries[UNSETTLED] += 1
        return Step(LOST, rid, number, UNSETTLED, entry.guess)

    def expire(self, now: float) -> list[Step]:
        """Close what waited too long, at its guess."""
        out = []
        while self.waiting:
            key = next(iter(self.waiting))
            entry = self.entries[key]
            if entry.at + self.close_ms > now:
                break
            out.append(self._final(entry, TIMED_OUT, CLOSED, entry.guess))
        return out

    def _final(self, entry: Entry, event: str, state: str, amount: int) -> Step:
        key = (entry.rid, entry.number)
        account = self.account(entry.partner)
        if entry.state is OPEN:
            account.open -= entry.guess
        else:
            account.unsettled -= entry.guess
            del self.waiting[key]
        if state == CLOSED:
            account.closed += amount
        else:
            account.settled += amount
        account.tries[state] += 1
        del self.entries[key]
        if entry.keyed:
            self.tries_of[entry.rid] -= 1
            if not self.tries_of[entry.rid]:
                del self.tries_of[entry.rid]
                self.done_keyed.pop(entry.rid, None)
        return Step(event, entry.rid, entry.number, state, amount)

    def _stray(self, what: str) -> None:
        self.counts[f"stray_{what}"] += 1

    # --- to be seen, and kept --------------------------------------------------------------------

    def account(self, partner: str) -> Account:
        found = self.accounts.get(partner)
        if found is None:
            found = self.accounts[partner] = Account()
        return found

    def unsettled(self) -> Iterator[Entry]:
        """What a node could be asked about, oldest first."""
        return (self.entries[k] for k in self.waiting)

    def dump(self) -> dict[str, Any]:
        """All of it, as plain values."""
        return {
            "entries": [
                [e.rid, e.number, e.partner, e.route, e.guess, e.at, e.keyed, e.state]
                for e in sorted(self.entries.values(), key=lambda e: (e.at, e.rid, e.number))
            ],
            "done_keyed": self.done_keyed,
            "accounts": {p: [a.settled, a.closed, dict(a.tries)] for p, a in self.accounts.items()},
        }

    def restore(self, kept: dict[str, Any]) -> None:
        """Take over what ``dump`` gave; this ledger must be empty."""
        if self.entries or self.accounts:
            raise ValueError("a ledger that holds something can't be restored")
        for partner, (settled, closed, tries) in kept["accounts"].items():
            self.accounts[partner] = Account(settled=settled, closed=closed, tries=Counter(tries))
        for rid, number, partner, route, guess, at, keyed, state in kept["entries"]:
            state = OPEN if state == OPEN else UNSETTLED
            self.entries[rid, number] = Entry(rid, number, partner, route, guess, at, keyed, state)
            account = self.account(partner)
            if state is OPEN:
                account.open += guess
            else:
                account.unsettled += guess
                self.waiting[rid, number] = None
            if keyed:
                self.tries_of[rid] += 1
        self.done_keyed = dict(kept["done_keyed"])

    def apply(self, step: Step, now: float) -> None:
        """Do a step again that the log kept. One that was done already changes nothing."""
        entry = self.entries.get((step.rid, step.number))
        if entry is None:
            return
        if step.state == UNSETTLED:
            self.lost(now, step.rid, step.number)
        else:
            if entry.keyed and step.state == SETTLED:
                self.done_keyed[step.rid] = step.amount
            self._final(entry, step.event, step.state, step.amount)

    def orphans(self, now: float) -> list[Step]:
        """After a restart: tries that were open when the process ended may have run, and nobody waits for them."""
        return [s for key in [k for k, e in self.entries.items() if e.state is OPEN]
                if (s := self.lost(now, *key)) is not None]  # fmt: skip
