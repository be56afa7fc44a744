"""The ledger: each attempt is charged once in any order of events, and recovers from a kill without a change."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.costs import log
from rushweir.costs.ledger import (
    ANSWERED,
    CLOSED,
    LOST,
    NEVER_RAN,
    OPEN,
    RELEASED,
    SETTLED,
    TIMED_OUT,
    TRANSITIONS,
    UNSETTLED,
    CostLedger,
    LedgerFull,
)


@pytest.fixture
def ledger():
    return CostLedger(close_after_ms=1000.0, max_entries=100)


def open_entry(ledger, request_id="r", attempt=0, estimate=1000, keyed=False):
    return ledger.open(0.0, request_id, attempt, "hotel", "booking", estimate, keyed)


def charged(ledger) -> tuple[int, int, int, int]:
    account = ledger.account("hotel")
    return account.settled, account.open, account.unsettled, account.closed


def test_settles_at_the_actual_cost_above_or_below_the_estimate_or_zero(ledger):
    for attempt, actual in enumerate((5000, 200, 0)):
        open_entry(ledger, attempt=attempt)
        assert charged(ledger)[1] == 1000
        assert ledger.record_answer(1.0, "r", attempt, actual).state == SETTLED
    assert charged(ledger) == (5200, 0, 0, 0) and not ledger.entries


def test_answer_without_a_cost_settles_at_the_estimate(ledger):
    open_entry(ledger)
    assert ledger.record_answer(1.0, "r", 0, None).amount == 1000
    assert charged(ledger) == (1000, 0, 0, 0) and ledger.counts["unnamed"] == 1


def test_attempt_that_never_ran_is_released(ledger):
    open_entry(ledger)
    assert ledger.record_never_ran(1.0, "r", 0).state == RELEASED
    assert charged(ledger) == (0, 0, 0, 0)


def test_unanswered_attempt_stays_charged_until_a_late_answer_or_a_usage_report(ledger):
    open_entry(ledger)
    open_entry(ledger, "s")
    open_entry(ledger, "t")
    for request_id in "rst":
        assert ledger.record_lost(10.0, request_id, 0).state == UNSETTLED
    assert charged(ledger) == (0, 0, 3000, 0)
    assert [e.request_id for e in ledger.unsettled_entries()] == ["r", "s", "t"]
    assert ledger.record_answer(20.0, "r", 0, 300).state == SETTLED
    assert ledger.record_never_ran(20.0, "s", 0).state == RELEASED
    assert charged(ledger) == (300, 0, 1000, 0) and ledger.counts["late"] == 1
    assert not ledger.expire(1009.0)
    (closed,) = ledger.expire(1010.0)
    assert (closed.request_id, closed.state) == ("t", CLOSED) and charged(ledger) == (300, 0, 0, 1000)
    assert ledger.record_answer(2000.0, "t", 0, 9) is None and charged(ledger) == (300, 0, 0, 1000)


def test_second_answers_and_answers_to_other_attempts_change_nothing(ledger):
    open_entry(ledger)
    ledger.record_answer(1.0, "r", 0, 400)
    for transition in (
        ledger.record_answer(2.0, "r", 0, 900),
        ledger.record_answer(2.0, "r", 1, 900),
        ledger.record_answer(2.0, "x", 0, 1),
        ledger.record_never_ran(2.0, "r", 0),
        ledger.record_lost(2.0, "r", 0),
    ):
        assert transition is None
    assert charged(ledger) == (400, 0, 0, 0)
    assert ledger.counts["stray_answer"] == 3


def test_keyed_request_is_charged_once_whatever_cost_its_second_answer_names(ledger):
    open_entry(ledger, keyed=True)
    ledger.record_lost(1.0, "r", 0)
    open_entry(ledger, attempt=1, keyed=True)
    assert charged(ledger) == (0, 1000, 1000, 0)
    assert ledger.record_answer(2.0, "r", 1, 700).state == SETTLED
    assert ledger.record_answer(3.0, "r", 0, 900).state == RELEASED
    assert charged(ledger) == (700, 0, 0, 0) and ledger.counts["disputed"] == 1
    assert not ledger.settled_keyed and not ledger.keyed_attempts


def test_each_attempt_of_an_unkeyed_request_is_charged(ledger):
    open_entry(ledger)
    ledger.record_lost(1.0, "r", 0)
    open_entry(ledger, attempt=1)
    ledger.record_answer(2.0, "r", 1, 700)
    ledger.record_answer(3.0, "r", 0, 900)
    assert charged(ledger) == (1600, 0, 0, 0) and ledger.counts["disputed"] == 0


def test_entries_are_bounded_and_an_attempt_opens_once(ledger):
    open_entry(ledger)
    with pytest.raises(ValueError, match="open already"):
        open_entry(ledger)
    with pytest.raises(ValueError, match="negative"):
        open_entry(ledger, "x", estimate=-1)
    for k in range(99):
        open_entry(ledger, f"k{k}")
    with pytest.raises(LedgerFull):
        open_entry(ledger, "last")


def test_state_machine_ends_in_the_final_states():
    final = {SETTLED, RELEASED, CLOSED}
    assert all(state in (OPEN, UNSETTLED) for state, _ in TRANSITIONS)
    assert set(TRANSITIONS.values()) == final | {UNSETTLED}
    assert {e for _, e in TRANSITIONS} == {ANSWERED, NEVER_RAN, LOST, TIMED_OUT}


# --- random sequences of events ---------------------------------------------------------------------

event_lists = st.lists(
    st.tuples(
        st.sampled_from(["open", "answer", "none", "never", "lost", "wait"]), st.sampled_from(["a", "b", "k1", "k2"]),
        st.integers(0, 2), st.integers(0, 5000),
    ),
    max_size=60,
)  # fmt: skip


def apply_events(ledger: CostLedger, events, log_bytes: bytearray | None = None) -> list:
    """Apply events to a ledger, appending to a log as the store does.

    Returns the transitions, and a tuple for each entry that was opened.
    """
    now, results = 0.0, []
    for event, request_id, attempt, amount in events:
        now += 50.0
        transitions: list = []
        opened = ("o", request_id, attempt)
        if event == "open" and (request_id, attempt) not in ledger.entries and opened not in results:
            entry = ledger.open(now, request_id, attempt, request_id, "x", amount, request_id.startswith("k"))
            results.append(opened)
            if log_bytes is not None:
                log_bytes += log.encode_open(entry)
        elif event == "wait":
            now += 400.0
            transitions = ledger.expire(now)
        elif event == "never":
            transitions = [ledger.record_never_ran(now, request_id, attempt)]
        elif event == "lost":
            transitions = [ledger.record_lost(now, request_id, attempt)]
        elif event in ("answer", "none"):
            transitions = [ledger.record_answer(now, request_id, attempt, amount if event == "answer" else None)]
        for transition in transitions:
            if transition is not None:
                results.append(transition)
                if log_bytes is not None:
                    log_bytes += log.encode_transition(transition, now)
    return results


@given(event_lists)
def test_each_attempt_is_final_once_and_accounts_are_the_sums_of_the_transitions(events):
    ledger = CostLedger(close_after_ms=1000.0)
    transitions = [result for result in apply_events(ledger, events) if not isinstance(result, tuple)]
    final = Counter((t.request_id, t.attempt) for t in transitions if t.state != UNSETTLED)
    assert not final or max(final.values()) == 1
    assert not set(final) & set(ledger.entries)
    for partner, account in ledger.accounts.items():
        own = [t for t in transitions if t.request_id == partner]
        assert account.settled == sum(t.amount for t in own if t.state in (SETTLED, RELEASED))
        assert account.closed == sum(t.amount for t in own if t.state == CLOSED)
        open_estimates = [e.estimate for e in ledger.entries.values() if (e.partner, e.state) == (partner, OPEN)]
        assert account.open == sum(open_estimates)
        unsettled = [e.estimate for e in ledger.entries.values() if (e.partner, e.state) == (partner, UNSETTLED)]
        assert account.unsettled == sum(unsettled)
        if partner.startswith("k") and sum(t.state == SETTLED for t in own) > 1:
            # Possible only if all attempts of the earlier request were final before the next was sent.
            assert not ledger.settled_keyed.get(partner) or ledger.keyed_attempts[partner]


@settings(max_examples=60)
@given(event_lists, st.integers(0, 10_000), st.integers(0, 40))
def test_after_a_kill_at_any_byte_the_ledger_is_that_of_the_complete_records(events, cut, snapshot_at):
    log_bytes = bytearray(log.MAGIC)
    ledger = CostLedger(close_after_ms=1000.0)
    apply_events(ledger, events[:snapshot_at], log_bytes)
    snapshot = ledger.dump()
    snapshot_end = len(log_bytes)
    apply_events(ledger, events[snapshot_at:], log_bytes)
    replayed = CostLedger(close_after_ms=1000.0)
    log.replay(replayed, bytes(log_bytes))
    assert replayed.dump() == ledger.dump()
    # Torn end: the complete records before it are replayed, and the next record can be written where they end.
    torn = bytes(log_bytes[: min(len(log_bytes), cut % (len(log_bytes) + 1))])
    end = log.valid_end(torn)
    assert end <= len(torn) and log.valid_end(torn[:end]) == end
    recovered = CostLedger(close_after_ms=1000.0)
    log.replay(recovered, torn)
    assert recovered.dump() == _replayed(torn[:end])
    # A snapshot and the records after it.
    restored = CostLedger(close_after_ms=1000.0)
    restored.restore(snapshot)
    log.replay(restored, log.MAGIC + bytes(log_bytes[snapshot_end:]))
    assert restored.dump() == ledger.dump()


def _replayed(data: bytes):
    ledger = CostLedger(close_after_ms=1000.0)
    log.replay(ledger, data)
    return ledger.dump()


def test_entries_open_at_a_kill_are_unsettled_after_the_restart(ledger):
    open_entry(ledger)
    open_entry(ledger, "s")
    ledger.record_lost(1.0, "s", 0)
    restarted = CostLedger(1000.0)
    restarted.restore(ledger.dump())
    assert [t.request_id for t in restarted.mark_orphans_lost(500.0)] == ["r"]
    assert charged(restarted) == (0, 0, 2000, 0) and charged(restarted) == (0, 0, sum(charged(ledger)), 0)
    assert [t.request_id for t in restarted.expire(1400.0)] == ["s"]
    assert [t.request_id for t in restarted.expire(1500.0)] == ["r"]


def test_damage_in_the_middle_is_not_taken_for_a_torn_end():
    log_bytes = bytearray(log.MAGIC)
    ledger = CostLedger(1000.0)
    ends = []
    for k in range(5):
        log_bytes += log.encode_open(open_entry(ledger, f"r{k}"))
        ends.append(len(log_bytes))
    assert log.valid_end(bytes(log_bytes)) == ends[-1]
    log_bytes[ends[1] + 12] ^= 0xFF
    with pytest.raises(log.LogError, match=f"damaged at byte {ends[1]}"):
        log.valid_end(bytes(log_bytes))
    with pytest.raises(log.LogError, match="another version"):
        list(log.records(b"RWCOSTS\x09" + bytes(log_bytes[8:])))
    with pytest.raises(log.LogError, match="record 1"):
        log.replay(CostLedger(1.0), log.MAGIC + log.encode(["what"]))


def test_fifty_thousand_entries_open_and_expire():
    ledger = CostLedger(1000.0, 50_000)
    for k in range(50_000):
        ledger.open(0.0, f"r{k}", 0, f"p{k % 100}", "x", 1000)
    with pytest.raises(LedgerFull):
        ledger.open(0.0, "more", 0, "p", "x", 1)
    assert sum(a.charged for a in ledger.accounts.values()) == 50_000_000
    for k in range(50_000):
        ledger.record_lost(1.0, f"r{k}", 0)
    assert len(ledger.expire(1001.0)) == 50_000 and not ledger.entries and not ledger.unsettled_keys
