"""Ownership state on its way from owner to owner, page by page."""

from __future__ import annotations

import pytest

from rushweir.budgets.handoff import MAX_PAGES, RESEND_MS, Handoffs, follows
from rushweir.budgets.records import BudgetTotal
from rushweir.fleet.views import SEED_BITS, View

KEY, TOTAL, LEASE_MS = 7, BudgetTotal.from_units(10, 10), 2_000.0
ROWS = [[2**62 + k, 9_000 + k, 70_000, 90_000, 1_900] for k in range(12)]


def view(n: int, seed: int = 1) -> View:
    return View(n << SEED_BITS | seed)


def given(receiver: int = 20, view_number: int = 3) -> Handoffs:
    handoffs = Handoffs(8, LEASE_MS)
    assert handoffs.start(KEY, TOTAL, receiver, view(view_number).number, ROWS, 0, LEASE_MS)
    return handoffs


def test_pages_in_any_order_and_duplicated_make_complete_state():
    pages = [e for _, e in given().due_pages(0.0)]
    assert len(pages) > 2
    receiver = Handoffs(8, LEASE_MS)
    for key, view_number, page, page_count, _, rows in [pages[1], pages[1], *pages[2:]]:
        assert receiver.on_page(0.0, 10, key, view_number, page, page_count, rows) is None
    key, view_number, page, page_count, _, rows = pages[0]
    assert not receiver.has_received(KEY, view_number)
    assert (
        receiver.on_page(0.0, 10, key, view_number, page, page_count, rows) == ROWS
        and receiver.has_received(KEY, view_number)
        and not receiver.incoming
    )


def test_page_is_resent_until_acknowledged_for_one_lease_at_most():
    handoffs = given()
    pages = [e[2] for _, e in handoffs.due_pages(0.0)]
    assert not list(handoffs.due_pages(RESEND_MS - 1)) and [e[2] for _, e in handoffs.due_pages(RESEND_MS)] == pages
    handoffs.on_ack(20, KEY, view(3).number, 0)
    handoffs.on_ack(21, KEY, view(3).number, 1)  # it was not sent to that one
    handoffs.on_ack(20, KEY, view(2).number, 1)
    assert [e[2] for _, e in handoffs.due_pages(2 * RESEND_MS)] == pages[1:]
    for page in pages:
        handoffs.on_ack(20, KEY, view(3).number, page)
    assert not handoffs.outgoing
    handoffs = given()
    assert not list(handoffs.due_pages(LEASE_MS)) and not handoffs.outgoing


def test_pages_are_sent_one_at_a_time_when_capacity_allows_one():
    handoffs = given()
    sent = [next(handoffs.due_pages(50.0 * k))[1][2] for k in range(3)]
    assert sent == [0, 1, 2]


def test_next_view_with_same_owner_restarts_handoff():
    handoffs = given()
    list(handoffs.due_pages(0.0))
    handoffs.on_ack(20, KEY, view(3).number, 0)
    handoffs.on_view_change(view(3), view(4), lambda key, total: 20)
    assert {(to, e[1], e[2]) for to, e in handoffs.due_pages(1.0)} == {(20, view(4).number, p) for p in range(3)}


def test_fully_sent_handoff_stays_with_its_receiver_until_refused():
    handoffs = given()
    list(handoffs.due_pages(0.0))
    handoffs.on_view_change(view(3), view(4), lambda key, total: 30)
    assert {(to, e[1]) for to, e in handoffs.due_pages(RESEND_MS)} == {(20, view(3).number)}
    handoffs.on_refused(21, KEY, view(3).number, 30, view(4).number)  # it was not sent to that one
    assert handoffs.outgoing[KEY].receiver == 20
    handoffs.on_refused(20, KEY, view(3).number, 30, view(4).number)
    assert {(to, e[1]) for to, e in handoffs.due_pages(RESEND_MS + 1)} == {(30, view(4).number)}


def test_handoff_with_unsent_page_restarts_with_new_owner():
    handoffs = given()
    next(handoffs.due_pages(0.0))
    handoffs.on_view_change(view(3), view(4), lambda key, total: 30)
    assert {(to, e[1]) for to, e in handoffs.due_pages(1.0)} == {(30, view(4).number)}


@pytest.mark.parametrize("new", [view(5), view(4, 2), view(3), view(2)])
def test_possibly_skipped_view_drops_handoff(new):
    handoffs = given()
    handoffs.on_view_change(view(3), new, lambda key, total: 20)
    assert bool(handoffs.outgoing) == follows(new, view(3)) == (new.number >> SEED_BITS == 4)


def test_outgoing_and_incoming_handoffs_are_bounded():
    handoffs = Handoffs(2, LEASE_MS)
    assert [handoffs.start(k, TOTAL, 20, 8, ROWS, 0, LEASE_MS) for k in range(3)] == [True, True, False]
    for k in range(9):
        handoffs.on_page(0.0, 10, k, 8, 0, 2, [])
    assert len(handoffs.incoming) == 4
    handoffs.on_view_change(view(3), view(4), lambda key, total: 20)
    assert [handoffs.on_page(0.0, 10, k, 8, 0, 1, []) for k in range(6)] == [[], [], [], [], None, None]
    assert (
        handoffs.on_page(2 * LEASE_MS, 10, 5, 8, 0, 1, []) == [] and len(handoffs.received) == 1
    )  # the others are not needed any more
    with pytest.raises(ValueError):
        handoffs.on_page(0.0, 10, KEY, 8, MAX_PAGES, MAX_PAGES + 1, [])
