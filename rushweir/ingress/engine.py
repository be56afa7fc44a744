"""The engine passes events to the policy and turns the policy's actions into commands. No I/O, no clock.

The engine decides nothing about admission, load balancing, time-outs or retries. It keeps the ledger, so that its
commands are correct whatever the policy returns: one final answer for each request, no attempt for a finished
request, no more attempts than the settings allow. An action that the ledger does not allow is counted and, as in the
simulator, reported to the policy as an attempt that ended with SUPERSEDED: it never ran.

Times are milliseconds of one clock that never runs backwards. Equal calls give equal commands.
"""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Callable
from math import ceil
from typing import Any

from rushweir import interface
from rushweir.ingress import commands
from rushweir.ingress.ledger import ANSWER, DONE, LEFT, Entry, Ledger
from rushweir.ingress.protocols import DecisionPolicy, RequestObserver
from rushweir.ingress.queries import Partner, Query
from rushweir.ingress.timers import Timer, Timers

ATTEMPT_END_MARGIN_MS = 5.0  # attempts end this long before their request's deadline, so that the policy can answer
TIMER_STEP_MS = 4.0  # the policy's timers are rounded up to such steps, so that one wake-up serves several
FAULT_PAUSE_MS = 100.0  # a timer whose handling raised is repeated after this time


class Engine:
    """Runs the policy of one ingress. The core carries out ``commands`` in order after each call."""

    def __init__(
        self, settings: interface.Settings, policy: DecisionPolicy, now: float, *,
        margin_ms: float = 0.0, boot: str = "", telemetry: RequestObserver,
    ) -> None:  # fmt: skip
        """``margin_ms`` is subtracted from the time that each client waits, so that the answer arrives in time;
        ``boot`` is a prefix of request ids that tells them from those of earlier runs."""
        self.settings = settings
        self.policy = policy
        self.now = now
        self.margin_ms = margin_ms
        self.boot = boot
        self.telemetry = telemetry
        self.classes = {cls.name: cls for cls in settings.classes}
        self.ledger = Ledger(settings.limits.max_open_requests)
        self.commands: deque[commands.EngineCommand] = deque()
        self.timers = Timers(self._is_obsolete)
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.faults = 0
        # Whether a client's connection is still open. Its end may have arrived without being read while the event
        # loop is busy, so the shell replaces this by a look at the socket.
        self.is_connected: Callable[[int], bool] = lambda conn: True
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Refuse: self._refuse,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: self._set_timer,
            interface.Tell: lambda a: self.commands.append(commands.SendPeerMessage(a.to, a.text)),
            interface.Count: lambda a: self.commands.append(
                commands.CallCounter(a.name, a.amount, a.forget_after_ms)
            ),
            interface.Probe: lambda a: self.commands.append(commands.ProbeNode(a.server)),
            interface.Watch: lambda a: self.commands.append(commands.WatchList(a.on)),
            interface.Fetch: lambda a: self.commands.append(commands.FetchList()),
            interface.Log: lambda a: self.commands.append(
                commands.LogEvent("info", "policy", {"text": a.text[:500]})
            ),
        }

    # --- time ------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Start the policy."""
        self.now = now
        self._carry_out(self.policy.start())

    def next_at(self) -> float | None:
        """When ``advance`` has to be called next, or None."""
        return self.timers.next_at()

    def _is_obsolete(self, function: Callable[..., None], argument: Any) -> bool:
        """Whether a timer is the deadline of a request that is done, or of an attempt that has ended."""
        if function == self._deadline:
            return argument.state is DONE and not argument.in_flight
        return function == self._expire and argument.ended

    def advance(self, now: float) -> None:
        """Run the timers that are due. Those set meanwhile wait for the next call, as in the simulator."""
        self.now = now
        self.timers.run_due(now)

    def call_at(self, when: float, function: Callable[..., None], argument: Any) -> Timer:
        """Call ``function(argument)`` at a time; returns the timer, to be cancelled."""
        return self.timers.add(when, function, argument)

    def apply_settings(self, now: float, settings: interface.Settings, margin_ms: float) -> None:
        """Apply other settings to new requests; those accepted before keep their class and deadline."""
        self.now, self.settings, self.margin_ms = now, settings, margin_ms
        self.classes = {cls.name: cls for cls in settings.classes}
        self.ledger.max_open_requests = settings.limits.max_open_requests
        self._notify_policy(settings)

    # --- events ----------------------------------------------------------------------------------

    def request(self, now: float, conn: int, ref: Any, partner: Partner, query: Query) -> str | None:
        """Accept a request and return its id, or reject it with an answer and return None."""
        self.now = now
        request_class = self.classes.get(query.class_name)
        self.counts["requests"] += 1
        max_within_ms = request_class.deadline_ms if request_class else 0.0
        within = max_within_ms if query.within_ms is None else min(query.within_ms, max_within_ms)
        # The time counts from the request's arrival: it may have waited behind an earlier one of its connection.
        request_deadline = (now if query.arrived_ms is None else query.arrived_ms) + within - self.margin_ms
        # From here on all times are those of this clock; the margin covers the way to the client.
        reason = "unknown_class" if request_class is None else "ingress_full" if self.ledger.is_full() else ""
        if reason or request_deadline <= now + ATTEMPT_END_MARGIN_MS:
            # The policy decides about load; requests that it could not handle at all do not reach it.
            self.reject(now, conn, ref, partner, query, reason or "too_late")
            return None
        self.ledger.last_id += 1
        request_id = f"{self.boot}{self.ledger.last_id:x}"
        entry = Entry(
            request_id, conn, ref, query.class_name, partner.name, query.units, now, request_deadline, query.payload
        )
        self.ledger.add(entry)
        self.call_at(request_deadline - ATTEMPT_END_MARGIN_MS, self._deadline, entry)
        event = interface.Request(
            request_id, query.class_name, partner.plan, partner.name, request_deadline, query.units,
            partner.gateway_count, partner.first_gateway,
        )  # fmt: skip
        self._notify_policy(event, entry)
        return request_id

    def client_left(self, now: float, conn: int) -> int:
        """Drop the open requests of a connection that has ended; returns their number."""
        self.now = now
        entries = self.ledger.of_connection(conn)
        for entry in entries:
            self._drop_request(entry)
        return len(entries)

    def _drop_request(self, entry: Entry) -> None:
        """Finish a request whose client has left; attempts that are not sent yet are withdrawn."""
        self.counts["left"] += 1
        self.ledger.finish(entry, LEFT)
        self.telemetry.answered(self.now, entry, "left", "")
        for attempt in entry.attempts:
            if not attempt.ended:
                self.commands.append(commands.WithdrawAttempt(attempt))
        self._finish_trace(entry)
        self._notify_policy(interface.Gone(entry.request_id))

    def wanted(self, attempt: commands.Attempt) -> bool:
        """Whether an attempt's request is unanswered and its client still connected."""
        entry = self.ledger.entries.get(attempt.request_id)
        return entry is not None and entry.state is not DONE and self.is_connected(entry.conn)

    def answer_all(self, now: float, reason: str) -> int:
        """Answer all open requests without the policy, before the ingress ends; returns their number."""
        self.now = now
        unanswered = [e for e in self.ledger.entries.values() if e.state is not DONE]
        for entry in unanswered:
            self._answer_for_policy(entry, reason)
            self._notify_policy(interface.Gone(entry.request_id))
        return len(unanswered)

    def outcome(
        self, now: float, attempt: commands.Attempt, result: interface.Result, body: Any = None, *,
        quota_used: int = 0, cost: float = 0.0, load: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """Record the end of an attempt and report it to the policy. The first success is the final answer."""
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
            self._finish_trace(entry)
        if result is interface.Result.OK and entry.state is not DONE:
            self._answer(entry, commands.AnswerKind.SERVED, body)
        event = interface.Outcome(
            attempt.request_id, attempt.number, attempt.node, result, now - attempt.sent_ms, entry.state is DONE,
            quota_used, cost, load,
        )  # fmt: skip
        self._notify_policy(event, entry)

    def members(self, now: float, scope: interface.Scope, servers: tuple[interface.Server, ...] = ()) -> None:
        """Report an update of the node list to the policy."""
        self.now = now
        self._notify_policy(interface.Members(scope, servers))

    def peer_message(self, now: float, source: int, text: str) -> None:
        """Report a message of another ingress to the policy."""
        self.now = now
        self._notify_policy(interface.PeerMessage(source, text))

    def counted(self, now: float, name: int, result: interface.Result, value: float, spent_ms: float) -> None:
        """Report the end of a counter call to the policy."""
        self.now = now
        self._notify_policy(interface.Counted(name, result, value, spent_ms))

    def update_share(self, now: float, share: interface.Part) -> None:
        """Report another leased share of a partner's ceiling to the policy."""
        self.now = now
        self._notify_policy(share)

    def probed(
        self, now: float, node: str, result: interface.Result, spent_ms: float, load: dict[str, float] | None = None
    ) -> None:
        """Report the end of a probe to the policy."""
        self.now = now
        self._notify_policy(interface.Probed(node, result, spent_ms, load))

    # --- the policy ------------------------------------------------------------------------------

    def _notify_policy(self, event: interface.Event, entry: Entry | None = None) -> None:
        """Pass an event to the policy and carry out its actions. If the policy raises, the event's request is
        answered here; other requests that the policy may have lost are answered at their deadline."""
        try:
            actions = self.policy.handle(self.now, event)
        except Exception as error:  # noqa: BLE001 - a fault of the policy must not end the ingress
            self._log_fault(error, type(event).__name__)
            if entry is not None and entry.state is not DONE and not entry.in_flight:
                self._answer_for_policy(entry, "fault")
            if isinstance(event, interface.Timer):
                # The policy sets its next timer when one expires: a lost one would stop its periodic work.
                self.call_at(self.now + FAULT_PAUSE_MS, self._timer, event.ref)
            return
        if actions:
            self._carry_out(actions)

    def _carry_out(self, actions: list[interface.Action]) -> None:
        for action in actions:
            self.handlers[type(action)](action)

    def _log_fault(self, error: Exception, event_name: str) -> None:
        self.faults += 1
        self.counts["faults"] += 1
        last = traceback.extract_tb(error.__traceback__)[-1:]
        place = f"{last[0].name}:{last[0].lineno}" if last else ""
        fields = {"event": event_name, "error": f"{type(error).__name__}: {error}"[:300], "at": place}
        self.commands.append(commands.LogEvent("error", "policy_fault", fields))

    def _send(self, action: interface.Send) -> None:
        entry = self.ledger.entries.get(action.id)
        if entry is None:
            self._log_unexpected_action("send", action.id)
            return
        number = len(entry.attempts)
        until = min(action.until_ms or entry.deadline_ms, entry.deadline_ms - ATTEMPT_END_MARGIN_MS)
        attempt = commands.Attempt(
            entry.request_id, number, action.server, self.now, until, entry.payload, entry.class_name
        )
        limits = self.settings.limits
        is_forbidden_parallel = entry.in_flight and not limits.parallel_attempts
        client_left = entry.state is not DONE and not self.is_connected(entry.conn)
        if (
            client_left or entry.state is DONE or number >= limits.max_attempts or until <= self.now
            or is_forbidden_parallel
        ):  # fmt: skip
            # The attempt is not sent. Its outcome is reported in an event of its own, as in the simulator.
            if client_left:
                self._drop_request(entry)
            else:
                self._log_unexpected_action("send", action.id)
            entry.attempts.append(attempt)
            attempt.ended, attempt.result, attempt.ended_ms = True, interface.Result.SUPERSEDED.value, self.now
            self.call_at(self.now, self._report_superseded, attempt)
            return
        self.ledger.send(entry, attempt)
        self.counts["attempts"] += 1
        if until < entry.deadline_ms - ATTEMPT_END_MARGIN_MS:  # else ``_deadline`` ends it
            self.call_at(until, self._expire, attempt)
        self.commands.append(commands.SendAttempt(attempt))

    def _report_superseded(self, attempt: commands.Attempt) -> None:
        entry = self.ledger.entries.get(attempt.request_id)
        is_done = entry is None or entry.state is DONE
        result = interface.Result.SUPERSEDED
        outcome = interface.Outcome(attempt.request_id, attempt.number, attempt.node, result, 0.0, is_done)
        self._notify_policy(outcome, entry)

    def _refuse(self, action: interface.Refuse) -> None:
        entry = self._unanswered_entry(action.id, "refuse")
        if entry is not None:
            self.refusals[action.reason or "policy"] += 1
            self._answer(
                entry, commands.AnswerKind.REFUSED, reason=action.reason or "policy",
                retry_after_ms=action.retry_after_ms,
            )  # fmt: skip

    def _fail(self, action: interface.Fail) -> None:
        entry = self._unanswered_entry(action.id, "fail")
        if entry is not None:
            self._answer(entry, commands.AnswerKind.FAILED, reason="attempts")

    def _cancel(self, action: interface.Cancel) -> None:
        entry = self.ledger.entries.get(action.id)
        if entry is None or not 0 <= action.attempt < len(entry.attempts):
            self._log_unexpected_action("cancel", action.id)
        elif not entry.attempts[action.attempt].ended:
            self.commands.append(commands.CancelAttempt(entry.attempts[action.attempt]))

    def _set_timer(self, action: interface.SetTimer) -> None:
        when = self.now + max(0.0, action.after_ms)
        self.call_at(ceil(when / TIMER_STEP_MS) * TIMER_STEP_MS, self._timer, action.ref)

    def _timer(self, ref: int) -> None:
        self._notify_policy(interface.Timer(ref))

    def _unanswered_entry(self, request_id: str, action_name: str) -> Entry | None:
        """The entry of a request that waits for its answer; None for a second answer, which is counted."""
        entry = self.ledger.entries.get(request_id)
        if entry is None or entry.state is DONE:
            self._log_unexpected_action(action_name, request_id)
            return None
        return entry

    def _log_unexpected_action(self, action_name: str, request_id: str) -> None:
        self.counts[f"odd_{action_name}"] += 1
        self.commands.append(
            commands.LogEvent("warning", "odd_action", {"action": action_name, "request": request_id})
        )

    # --- answers ---------------------------------------------------------------------------------

    def _answer(
        self, entry: Entry, kind: str, body: Any = None, reason: str = "", retry_after_ms: float = 0.0
    ) -> None:
        self.counts[kind] += 1
        self.ledger.finish(entry, ANSWER)
        self.commands.append(
            commands.Answer(entry.conn, entry.ref, kind, body, reason, retry_after_ms, entry.request_id)
        )
        self.telemetry.answered(self.now, entry, kind, reason)
        self._finish_trace(entry)

    def _finish_trace(self, entry: Entry) -> None:
        """Complete the trace of a finished request whose last attempt has ended."""
        if entry.pending_trace is not None and not entry.in_flight:
            event = self.telemetry.request_finished(self.now, entry)
            entry.pending_trace = None
            if event is not None:
                self.commands.append(event)

    def reject(
        self, now: float, conn: int, ref: Any, partner: Partner, query: Query, reason: str,
        retry_after_ms: float = 0.0,
    ) -> None:  # fmt: skip
        """Refuse a request before it is accepted; the policy is not asked."""
        self.now = now
        self.telemetry.request_rejected(self.now, partner.name, query.units, reason)
        self.counts[commands.AnswerKind.REFUSED] += 1
        self.refusals[reason] += 1
        self.commands.append(commands.Answer(conn, ref, commands.AnswerKind.REFUSED, None, reason, retry_after_ms))

    def _answer_for_policy(self, entry: Entry, reason: str) -> None:
        """Answer a request that the policy did not answer: it is refused only if no attempt can have run."""
        may_have_run = entry.may_have_run or any(not a.ended for a in entry.attempts)
        if not may_have_run:
            self.refusals[reason] += 1
        self._answer(
            entry, commands.AnswerKind.FAILED if may_have_run else commands.AnswerKind.REFUSED, reason=reason
        )

    def _expire(self, attempt: commands.Attempt) -> None:
        if not attempt.ended:
            self.commands.append(commands.ExpireAttempt(attempt))

    def _deadline(self, entry: Entry) -> None:
        """Expire the attempts in flight ``ATTEMPT_END_MARGIN_MS`` before the request's deadline: the policy may still
        answer on their outcomes, otherwise ``_overdue`` does. Attempts of a client that left end as well: those to a
        silent node would hold their capacity."""
        waiting = [a for a in entry.attempts if not a.ended]
        for attempt in waiting:
            self.commands.append(commands.ExpireAttempt(attempt))
        if entry.state is DONE:
            return
        # The commands above are carried out, and the outcomes reported, before this timer runs.
        self.call_at(self.now, self._overdue, entry) if waiting else self._overdue(entry)

    def _overdue(self, entry: Entry) -> None:
        if entry.state is DONE:
            return
        self.counts["overdue"] += 1
        self._answer_for_policy(entry, "overdue")
        self._notify_policy(interface.Gone(entry.request_id))
