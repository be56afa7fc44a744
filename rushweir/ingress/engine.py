"""The engine: what happened goes to the policy, what it decides goes out as commands. No I/O, no clock.

The engine decides nothing about admission, servers, time-outs or repeats; it keeps the ledger, so that what
leaves it obeys the facts whatever the policy says: one final answer for each request, no attempt for a
request that is finished, no more attempts than the settings allow. An action that the ledger can't carry out
is answered to the policy as the bench answers it (an attempt ends as SUPERSEDED: it never ran) and counted.

Times are milliseconds of one clock that never runs backwards. Equal calls give equal commands.
"""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from typing import Any, Protocol

from rushweir import interface as i
from rushweir.ingress import commands as c
from rushweir.ingress.ledger import ANSWER, DONE, LEFT, Entry, Ledger
from rushweir.ingress.queries import Partner, Query

ENDING_MS = 5.0  # attempts end this long before their request's time, while the policy can still answer in time
STEP_MS = 4.0  # timers of the policy come in such steps, so that one wake-up serves many
FAULT_PAUSE_MS = 100.0  # a policy timer whose handling raised comes again after this, at least


class DecisionPolicy(Protocol):
    """What the engine needs of a policy; interface.py has the contract."""

    def start(self) -> list[i.Action]: ...

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]: ...


class RequestObserver(Protocol):
    """Whoever wants to see what becomes of requests (watch/telemetry.py). It changes nothing of it."""

    def answered(self, now: float, entry: Entry, kind: str, why: str) -> None: ...

    def request_rejected(self, now: float, partner: str, units: float, why: str) -> None: ...

    def attempted(self, now: float, attempt: c.Attempt, result: str) -> None: ...

    def over(self, now: float, entry: Entry) -> c.LogEvent | None: ...


class Engine:
    """The decisions of one ingress at work. Fetch what it wants done from ``commands``, in order, after each call."""

    def __init__(
        self,
        settings: i.Settings,
        policy: DecisionPolicy,
        now: float,
        *,
        margin_ms: float = 0.0,
        boot: str = "",
        telemetry: RequestObserver,
    ) -> None:
        """``margin_ms`` is taken off each client's time, so that its answer is there before it gives up;
        ``boot`` makes request ids unlike those of earlier runs."""
        self.settings, self.policy, self.now = settings, policy, now
        self.margin, self.boot, self.telemetry = margin_ms, boot, telemetry
        self.classes = {cls.name: cls for cls in settings.classes}
        self.ledger = Ledger(settings.limits.max_open_requests)
        self.commands: deque[c.EngineCommand] = deque()
        self.timers: list[tuple[float, int, Callable[..., None], Any]] = []
        self.serial = 0
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.faults = 0
        # Whether a client's connection stands at this instant: its end may be there and not read yet, behind what a
        # busy turn of the loop still does. Whoever has the sockets replaces it.
        self.is_connected: Callable[[int], bool] = lambda conn: True
        self.carry: dict[type, Callable[[Any], None]] = {
            i.Send: self._send,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.Cancel: self._cancel,
            i.SetTimer: self._set_timer,
            i.Tell: lambda a: self.commands.append(c.SendPeerMessage(a.to, a.text)),
            i.Count: lambda a: self.commands.append(c.CallCounter(a.name, a.amount, a.forget_after_ms)),
            i.Probe: lambda a: self.commands.append(c.ProbeNode(a.server)),
            i.Watch: lambda a: self.commands.append(c.WatchList(a.on)),
            i.Fetch: lambda a: self.commands.append(c.FetchList()),
            i.Log: lambda a: self.commands.append(c.LogEvent("info", "policy", {"text": a.text[:500]})),
        }

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self.now = now
        self._carry_out(self.policy.start())

    def next_at(self) -> float | None:
        """When ``advance`` has something to do; None: nothing waits."""
        timers = self.timers
        # The deadlines of requests that are answered are the bulk of what is set: no need to wake up for them.
        while timers and timers[0][2] == self._deadline and timers[0][3].state is DONE and not timers[0][3].out:
            heappop(timers)
        return timers[0][0] if timers else None

    def advance(self, now: float) -> None:
        """Let time pass. What becomes due while this runs waits for the next call, as on the bench."""
        self.now = now
        due = []
        while self.timers and self.timers[0][0] <= now:
            due.append(heappop(self.timers))
        for _, _, what, argument in due:
            what(argument)

    def call_at(self, when: float, what: Callable[..., None], argument: Any) -> None:
        # The serial keeps events of one moment in the order in which they were set.
        self.serial += 1
        heappush(self.timers, (when, self.serial, what, argument))

    def adopt(self, now: float, settings: i.Settings, margin_ms: float) -> None:
        """Other settings from now on; what was taken by the old ones is finished by the old ones."""
        self.now, self.settings, self.margin = now, settings, margin_ms
        self.classes = {cls.name: cls for cls in settings.classes}
        self.ledger.most = settings.limits.max_open_requests
        self._tell(settings)

    # --- what happened ---------------------------------------------------------------------------

    def request(self, now: float, conn: int, ref: Any, partner: Partner, ask: Query) -> str | None:
        """Take a request; returns its id, or None where it was answered before it was taken."""
        self.now = now
        cls = self.classes.get(ask.cls)
        self.counts["requests"] += 1
        deadline = cls.deadline_ms if cls else 0.0
        within = deadline if ask.within_ms is None else min(ask.within_ms, deadline)
        # It counts from when the request came, which may have waited behind the one before it on its connection.
        not_after = (now if ask.arrived_ms is None else ask.arrived_ms) + within - self.margin
        # From here on all times are the policy's: what the client's clock says is the margin's affair.
        why = "unknown_class" if cls is None else "ingress_full" if self.ledger.is_full() else ""
        if why or not_after <= now + ENDING_MS:
            # None of it is a decision about load: these can't be put to the policy at all.
            self.reject(now, conn, ref, partner, ask, why or "too_late")
            return None
        self.ledger.serial += 1
        request_id = f"{self.boot}{self.ledger.serial:x}"
        entry = Entry(request_id, conn, ref, ask.cls, partner.name, ask.units, now, not_after, ask.payload)
        self.ledger.take(entry)
        self.call_at(not_after - ENDING_MS, self._deadline, entry)
        event = i.Request(
            request_id,
            ask.cls,
            partner.plan,
            partner.name,
            not_after,
            ask.units,
            partner.gateway_count,
            partner.first_gateway,
        )
        self._tell(event, entry)
        return request_id

    def client_left(self, now: float, conn: int) -> int:
        """A connection ended: nobody waits for its requests; returns how many there were."""
        self.now = now
        entries = self.ledger.of(conn)
        for entry in entries:
            self._left(entry)
        return len(entries)

    def _left(self, entry: Entry) -> None:
        """Nobody waits for a request: what is not on its way by now never goes out."""
        self.counts["left"] += 1
        self.ledger.finish(entry, LEFT)
        self.telemetry.answered(self.now, entry, "left", "")
        for attempt in entry.attempts:
            if not attempt.ended:
                self.commands.append(c.WithdrawAttempt(attempt))
        self._over(entry)
        self._tell(i.Gone(entry.request_id))

    def wanted(self, attempt: c.Attempt) -> bool:
        """Whether somebody waits for an attempt's request, at this very instant."""
        entry = self.ledger.entries.get(attempt.request_id)
        return entry is not None and entry.state is not DONE and self.is_connected(entry.conn)

    def answer_all(self, now: float, why: str) -> int:
        """Answer all that is owed by what is known of it, since the ingress ends; returns how many there were."""
        self.now = now
        owed = [e for e in self.ledger.entries.values() if e.state is not DONE]
        for entry in owed:
            self._answer_by_facts(entry, why)
            self._tell(i.Gone(entry.request_id))
        return len(owed)

    def outcome(
        self,
        now: float,
        attempt: c.Attempt,
        result: i.Result,
        body: Any = None,
        *,
        used: int = 0,
        cost: float = 0.0,
        load: dict[str, float] | None = None,
    ) -> None:
        """An attempt ended. The first good one is the request's final answer; the policy hears of each."""
        self.now = now
        entry = self.ledger.entries.get(attempt.request_id)
        if entry is None or attempt.ended:
            self.counts["stray_outcomes"] += 1
            return
        self.counts[f"attempt_{result.value}"] += 1
        attempt.result, attempt.ended_ms = result.value, now
        self.telemetry.attempted(now, attempt, result.value)
        self.ledger.ended(entry, attempt, result.never_ran)
        if entry.state is DONE:
            self._over(entry)
        if result is i.Result.OK and entry.state is not DONE:
            self._answer(entry, c.AnswerKind.SERVED, body)
        event = i.Outcome(
            attempt.request_id, attempt.number, attempt.server, result, now - attempt.sent_ms, entry.state is DONE,
            used, cost, load,
        )  # fmt: skip
        self._tell(event, entry)

    def members(self, now: float, scope: i.Scope, servers: tuple[i.Server, ...] = ()) -> None:
        self.now = now
        self._tell(i.Members(scope, servers))

    def peer_message(self, now: float, source: int, text: str) -> None:
        self.now = now
        self._tell(i.PeerMessage(source, text))

    def counted(self, now: float, name: int, result: i.Result, value: float, spent_ms: float) -> None:
        self.now = now
        self._tell(i.Counted(name, result, value, spent_ms))

    def part(self, now: float, part: i.Part) -> None:
        """What this ingress may spend of a partner's ceiling is another amount."""
        self.now = now
        self._tell(part)

    def probed(
        self, now: float, server: str, result: i.Result, spent_ms: float, load: dict[str, float] | None = None
    ) -> None:
        self.now = now
        self._tell(i.Probed(server, result, spent_ms, load))

    # --- the policy ------------------------------------------------------------------------------

    def _tell(self, event: i.Event, entry: Entry | None = None) -> None:
        """Put an event to the policy and carry out its answer. If it raises, the request at hand still gets
        its one answer; others that it may have forgotten get theirs at their deadline."""
        try:
            actions = self.policy.handle(self.now, event)
        except Exception as error:  # noqa: BLE001 - whatever it raised, the ingress goes on
            self._fault(error, type(event).__name__)
            if entry is not None and entry.state is not DONE and not entry.out:
                self._answer_by_facts(entry, "fault")
            if isinstance(event, i.Timer):
                # The policy's clockwork hangs on its timers: a lost tick would stop it for good.
                self.call_at(self.now + FAULT_PAUSE_MS, self._timer, event.ref)
            return
        if actions:
            self._carry_out(actions)

    def _carry_out(self, actions: list[i.Action]) -> None:
        for action in actions:
            self.carry[type(action)](action)

    def _fault(self, error: Exception, where: str) -> None:
        self.faults += 1
        self.counts["faults"] += 1
        last = traceback.extract_tb(error.__traceback__)[-1:]
        place = f"{last[0].name}:{last[0].lineno}" if last else ""
        fields = {"event": where, "error": f"{type(error).__name__}: {error}"[:300], "at": place}
        self.commands.append(c.LogEvent("error", "policy_fault", fields))

    def _send(self, action: i.Send) -> None:
        entry = self.ledger.entries.get(action.id)
        if entry is None:
            self._odd("send", action.id)
            return
        n, until = len(entry.attempts), min(action.until_ms or entry.not_after, entry.not_after - ENDING_MS)
        attempt = c.Attempt(entry.request_id, n, action.server, self.now, until, entry.payload, entry.cls)
        limits = self.settings.limits
        twice = entry.out and not limits.parallel_attempts
        gone = entry.state is not DONE and not self.is_connected(entry.conn)
        if gone or entry.state is DONE or n >= limits.max_attempts or until <= self.now or twice:
            # Not to be carried out: it ends as never sent, told apart from this answer, as on the bench.
            if gone:
                self._left(entry)
            else:
                self._odd("send", action.id)
            entry.attempts.append(attempt)
            attempt.ended, attempt.result, attempt.ended_ms = True, i.Result.SUPERSEDED.value, self.now
            self.call_at(self.now, self._moot, attempt)
            return
        self.ledger.send(entry, attempt)
        self.counts["attempts"] += 1
        if until < entry.not_after - ENDING_MS:  # at its deadline the request ends its attempts itself
            self.call_at(until, self._expire, attempt)
        self.commands.append(c.SendAttempt(attempt))

    def _moot(self, attempt: c.Attempt) -> None:
        entry = self.ledger.entries.get(attempt.request_id)
        settled = entry is None or entry.state is DONE
        self._tell(
            i.Outcome(attempt.request_id, attempt.number, attempt.server, i.Result.SUPERSEDED, 0.0, settled), entry
        )

    def _refuse(self, action: i.Refuse) -> None:
        entry = self._open_entry(action.id, "refuse")
        if entry is not None:
            self.refusals[action.reason or "policy"] += 1
            self._answer(entry, c.AnswerKind.REFUSED, why=action.reason or "policy", retry=action.retry_after_ms)

    def _fail(self, action: i.Fail) -> None:
        entry = self._open_entry(action.id, "fail")
        if entry is not None:
            self._answer(entry, c.AnswerKind.FAILED, why="attempts")

    def _cancel(self, action: i.Cancel) -> None:
        entry = self.ledger.entries.get(action.id)
        if entry is None or not 0 <= action.attempt < len(entry.attempts):
            self._odd("cancel", action.id)
        elif not entry.attempts[action.attempt].ended:
            self.commands.append(c.CancelAttempt(entry.attempts[action.attempt]))

    def _set_timer(self, action: i.SetTimer) -> None:
        when = self.now + max(0.0, action.after_ms)
        self.call_at(ceil(when / STEP_MS) * STEP_MS, self._timer, action.ref)

    def _timer(self, ref: int) -> None:
        self._tell(i.Timer(ref))

    def _open_entry(self, request_id: str, what: str) -> Entry | None:
        """The entry that an answer is for; a second answer has none, and is dropped and counted."""
        entry = self.ledger.entries.get(request_id)
        if entry is None or entry.state is DONE:
            self._odd(what, request_id)
            return None
        return entry

    def _odd(self, what: str, request_id: str) -> None:
        self.counts[f"odd_{what}"] += 1
        self.commands.append(c.LogEvent("warning", "odd_action", {"action": what, "request": request_id}))

    # --- answers ---------------------------------------------------------------------------------

    def _answer(self, entry: Entry, kind: str, body: Any = None, why: str = "", retry: float = 0.0) -> None:
        self.counts[kind] += 1
        self.ledger.finish(entry, ANSWER)
        self.commands.append(c.Answer(entry.conn, entry.ref, kind, body, why, retry, entry.request_id))
        self.telemetry.answered(self.now, entry, kind, why)
        self._over(entry)

    def _over(self, entry: Entry) -> None:
        """Nothing more comes of a finished request once its last attempt is back."""
        if entry.pending_trace is not None and not entry.out:
            remark = self.telemetry.over(self.now, entry)
            entry.pending_trace = None
            if remark is not None:
                self.commands.append(remark)

    def reject(
        self, now: float, conn: int, ref: Any, partner: Partner, ask: Query, why: str, retry: float = 0.0
    ) -> None:
        """Answer a request that is not taken: it never comes before the policy."""
        self.now = now
        self.telemetry.request_rejected(self.now, partner.name, ask.units, why)
        self.counts[c.AnswerKind.REFUSED] += 1
        self.refusals[why] += 1
        self.commands.append(c.Answer(conn, ref, c.AnswerKind.REFUSED, None, why, retry))

    def _answer_by_facts(self, entry: Entry, why: str) -> None:
        """The answer where the policy gave none: a refusal is true only if no attempt can have run."""
        ran = entry.may_have_run or any(not a.ended for a in entry.attempts)
        if not ran:
            self.refusals[why] += 1
        self._answer(entry, c.AnswerKind.FAILED if ran else c.AnswerKind.REFUSED, why=why)

    def _expire(self, attempt: c.Attempt) -> None:
        if not attempt.ended:
            self.commands.append(c.ExpireAttempt(attempt))

    def _deadline(self, entry: Entry) -> None:
        """The client's time is up: what is out has timed out, which the policy answers; if it does not, the
        facts do. Where the client left before, what is still out ends too: a silent server would hold its place."""
        waiting = [a for a in entry.attempts if not a.ended]
        for attempt in waiting:
            self.commands.append(c.ExpireAttempt(attempt))
        if entry.state is DONE:
            return
        # After those have come back: the commands before this one are carried out first.
        self.call_at(self.now, self._overdue, entry) if waiting else self._overdue(entry)

    def _overdue(self, entry: Entry) -> None:
        if entry.state is DONE:
            return
        self.counts["overdue"] += 1
        self._answer_by_facts(entry, "overdue")
        self._tell(i.Gone(entry.request_id))
