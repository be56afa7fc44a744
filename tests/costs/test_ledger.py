"""The ledger: whatever happens in whatever order, each try is charged once, and a kill changes nothing."""

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
    STEPS,
    TIMED_OUT,
    UNSETTLED,
    Costs,
    LedgerFull,
)


@pytest.fixture
def costs():
    return Costs(close_ms=1000.0, most=100)


def one(costs, rid="r", number=0, guess=1000, keyed=False):
    return costs.open(0.0, rid, number, "hotel", "booking", guess, keyed)


def charged(costs) -> tuple[int, int, int, int]:
    a = costs.account("hotel")
    return a.settled, a.open, a.unsettled, a.closed


def test_settled_by_the_truth_above_below_and_nothing(costs):
    for n, truth in enumerate((5000, 200, 0)):
        one(costs, number=n)
        assert charged(costs)[1] == 1000
        assert costs.answered(1.0, "r", n, truth).state == SETTLED
    assert charged(costs) == (5200, 0, 0, 0) and not costs.entries


def test_an_answer_without_a_cost_settles_at_the_guess(costs):
    one(costs)
    assert costs.answered(1.0, "r", 0, None).amount == 1000
    assert charged(costs) == (1000, 0, 0, 0) and costs.counts["unnamed"] == 1


def test_released_where_it_never_ran(costs):
    one(costs)
    assert costs.never_ran(1.0, "r", 0).state == RELEASED
    assert charged(costs) == (0, 0, 0, 0)


def test_no_answer_stays_charged_until_a_late_one_or_the_nodes_account(costs):
    one(costs)
    one(costs, "s")
    one(costs, "t")
    for rid in "rst":
        assert costs.lost(10.0, rid, 0).state == UNSETTLED
    assert charged(costs) == (0, 0, 3000, 0)
    assert [e.rid for e in costs.unsettled()] == ["r", "s", "t"]
    assert costs.answered(20.0, "r", 0, 300).state == SETTLED
    assert costs.never_ran(20.0, "s", 0).state == RELEASED
    assert charged(costs) == (300, 0, 1000, 0) and costs.counts["late"] == 1
    assert not costs.expire(1009.0)
    (closed,) = costs.expire(1010.0)
    assert (closed.rid, closed.state) == ("t", CLOSED) and charged(costs) == (300, 0, 0, 1000)
    assert costs.answered(2000.0, "t", 0, 9) is None and charged(costs) == (300, 0, 0, 1000)


def test_second_answers_and_those_to_other_tries_change_nothing(costs):
    one(costs)
    costs.answered(1.0, "r", 0, 400)
    for again in (costs.answered(2.0, "r", 0, 900), costs.answered(2.0, "r", 1, 900), costs.answered(2.0, "x", 0, 1),
                  costs.never_ran(2.0, "r", 0), costs.lost(2.0, "r", 0)):  # fmt: skip
        assert again is None
    assert charged(costs) == (400, 0, 0, 0)
    assert costs.counts["stray_answer"] == 3


def test_a_keyed_request_is_charged_once_whatever_its_second_answer_names(costs):
    one(costs, keyed=True)
    costs.lost(1.0, "r", 0)
    one(costs, number=1, keyed=True)
    assert charged(costs) == (0, 1000, 1000, 0)
    assert costs.answered(2.0, "r", 1, 700).state == SETTLED
    assert costs.answered(3.0, "r", 0, 900).state == RELEASED
    assert charged(costs) == (700, 0, 0, 0) and costs.counts["disputed"] == 1
    assert not costs.done_keyed and not costs.tries_of


def test_tries_of_an_unkeyed_request_are_each_charged(costs):
    one(costs)
    costs.lost(1.0, "r", 0)
    one(costs, number=1)
    costs.answered(2.0, "r", 1, 700)
    costs.answered(3.0, "r", 0, 900)
    assert charged(costs) == (1600, 0, 0, 0) and costs.counts["disputed"] == 0


def test_the_ledger_is_bounded_and_a_try_opens_once(costs):
    one(costs)
    with pytest.raises(ValueError, match="open already"):
        one(costs)
    with pytest.raises(ValueError, match="below nothing"):
        one(costs, "x", guess=-1)
    for k in range(99):
        one(costs, f"k{k}")
    with pytest.raises(LedgerFull):
        one(costs, "last")


def test_the_machine_ends():
    final = {SETTLED, RELEASED, CLOSED}
    assert all(state in (OPEN, UNSETTLED) for state, _ in STEPS)
    assert set(STEPS.values()) == final | {UNSETTLED}
    assert {e for _, e in STEPS} == {ANSWERED, NEVER_RAN, LOST, TIMED_OUT}


# --- whatever happens -------------------------------------------------------------------------------

moves = st.lists(
    st.tuples(
        st.sampled_from(["open", "answer", "none", "never", "lost", "wait"]), st.sampled_from(["a", "b", "k1", "k2"]),
        st.integers(0, 2), st.integers(0, 5000),
    ),
    max_size=60,
)  # fmt: skip


def play(costs: Costs, steps, wire: bytearray | None = None) -> list:
    """Do steps on a ledger, noting in a log as the store does; returns what changed, for the model."""
    now, told = 0.0, []
    for what, rid, number, amount in steps:
        now += 50.0
        done: list = []
        if what == "open" and (rid, number) not in costs.entries and ("o", rid, number) not in told:
            entry = costs.open(now, rid, number, rid, "x", amount, rid.startswith("k"))
            told.append(("o", rid, number))
            if wire is not None:
                wire += log.opened(entry)
        elif what == "wait":
            now += 400.0
            done = costs.expire(now)
        elif what == "never":
            done = [costs.never_ran(now, rid, number)]
        elif what == "lost":
            done = [costs.lost(now, rid, number)]
        elif what in ("answer", "none"):
            done = [costs.answered(now, rid, number, amount if what == "answer" else None)]
        for step in done:
            if step is not None:
                told.append(step)
                if wire is not None:
                    wire += log.stepped(step, now)
    return told


@given(moves)
def test_each_try_is_final_once_and_accounts_are_the_sum_of_what_happened(steps):
    costs = Costs(close_ms=1000.0)
    told = [t for t in play(costs, steps) if not isinstance(t, tuple)]
    final = Counter((t.rid, t.number) for t in told if t.state != UNSETTLED)
    assert not final or max(final.values()) == 1
    assert not set(final) & set(costs.entries)
    for partner, account in costs.accounts.items():
        mine = [t for t in told if t.rid == partner]
        assert account.settled == sum(t.amount for t in mine if t.state in (SETTLED, RELEASED))
        assert account.closed == sum(t.amount for t in mine if t.state == CLOSED)
        assert account.open == sum(e.guess for e in costs.entries.values() if (e.partner, e.state) == (partner, OPEN))
        held = [e.guess for e in costs.entries.values() if (e.partner, e.state) == (partner, UNSETTLED)]
        assert account.unsettled == sum(held)
        if partner.startswith("k") and sum(t.state == SETTLED for t in mine) > 1:
            # Only where all tries of the earlier one were back before the next was sent.
            assert not costs.done_keyed.get(partner) or costs.tries_of[partner]


@settings(max_examples=60)
@given(moves, st.integers(0, 10_000), st.integers(0, 40))
def test_after_a_kill_at_any_byte_the_ledger_is_that_of_the_records_before_it(steps, cut, at):
    wire = bytearray(log.MAGIC)
    costs = Costs(close_ms=1000.0)
    play(costs, steps[:at], wire)
    kept = costs.dump()
    kept_bytes = len(wire)
    play(costs, steps[at:], wire)
    whole = Costs(close_ms=1000.0)
    log.replay(whole, bytes(wire))
    assert whole.dump() == costs.dump()
    # A torn end: what was whole before it is done, and the cut is where the next record can be written.
    torn = bytes(wire[: min(len(wire), cut % (len(wire) + 1))])
    end = log.good_end(torn)
    assert end <= len(torn) and log.good_end(torn[:end]) == end
    again = Costs(close_ms=1000.0)
    log.replay(again, torn)
    assert again.dump() == _replayed(torn[:end])
    # From a snapshot and the records behind it.
    both = Costs(close_ms=1000.0)
    both.restore(kept)
    log.replay(both, log.MAGIC + bytes(wire[kept_bytes:]))
    assert both.dump() == costs.dump()


def _replayed(data: bytes):
    made = Costs(close_ms=1000.0)
    log.replay(made, data)
    return made.dump()


def test_what_was_open_at_a_kill_is_unsettled_after_it(costs):
    one(costs)
    one(costs, "s")
    costs.lost(1.0, "s", 0)
    after = Costs(1000.0)
    after.restore(costs.dump())
    assert [s.rid for s in after.orphans(500.0)] == ["r"]
    assert charged(after) == (0, 0, 2000, 0) and charged(after) == (0, 0, sum(charged(costs)), 0)
    assert [s.rid for s in after.expire(1400.0)] == ["s"] and [s.rid for s in after.expire(1500.0)] == ["r"]


def test_damage_in_the_middle_is_no_torn_end():
    wire = bytearray(log.MAGIC)
    costs = Costs(1000.0)
    ends = []
    for k in range(5):
        wire += log.opened(one(costs, f"r{k}"))
        ends.append(len(wire))
    assert log.good_end(bytes(wire)) == ends[-1]
    wire[ends[1] + 12] ^= 0xFF
    with pytest.raises(log.LogError, match=f"damaged at byte {ends[1]}"):
        log.good_end(bytes(wire))
    with pytest.raises(log.LogError, match="another version"):
        list(log.records(b"RWCOSTS\x09" + bytes(wire[8:])))
    with pytest.raises(log.LogError, match="record 1"):
        log.replay(Costs(1.0), log.MAGIC + log.record(["what"]))


def test_fifty_thousand_open_entries():
    costs = Costs(1000.0, 50_000)
    for k in range(50_000):
        costs.open(0.0, f"r{k}", 0, f"p{k % 100}", "x", 1000)
    with pytest.raises(LedgerFull):
        costs.open(0.0, "more", 0, "p", "x", 1)
    assert sum(a.charged for a in costs.accounts.values()) == 50_000_000
    for k in range(50_000):
        costs.lost(1.0, f"r{k}", 0)
    assert len(costs.expire(1001.0)) == 50_000 and not costs.entries and not costs.waiting
