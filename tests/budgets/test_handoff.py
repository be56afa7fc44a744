"""A ledger on its way from home to home, page by page."""

from __future__ import annotations

import pytest

from rushweir.budgets.handoff import MAX_PAGES, RESEND_MS, Handoffs, follows
from rushweir.budgets.records import BudgetTotal
from rushweir.fleet.views import SEED_BITS, View

KEY, SCOPE, TERM = 7, BudgetTotal.from_units(10, 10), 2_000.0
ROWS = [[2**62 + k, 9_000 + k, 70_000, 90_000, 1_900] for k in range(12)]


def view(n: int, seed: int = 1) -> View:
    return View(n << SEED_BITS | seed)


def given(to: int = 20, n: int = 3) -> Handoffs:
    h = Handoffs(8, TERM)
    assert h.start(KEY, SCOPE, to, view(n).number, ROWS, 0, TERM)
    return h


def test_pages_come_in_any_order_more_than_once_and_make_the_whole():
    pages = [e for _, e in given().due_pages(0.0)]
    assert len(pages) > 2
    taker = Handoffs(8, TERM)
    for key, v, page, of, _, rows in [pages[1], pages[1], *pages[2:]]:
        assert taker.on_page(0.0, 10, key, v, page, of, rows) is None
    key, v, page, of, _, rows = pages[0]
    assert not taker.has_received(KEY, v)
    assert (
        taker.on_page(0.0, 10, key, v, page, of, rows) == ROWS and taker.has_received(KEY, v) and not taker.incoming
    )


def test_a_page_is_sent_again_until_it_is_confirmed_and_no_longer_than_a_term():
    h = given()
    pages = [e[2] for _, e in h.due_pages(0.0)]
    assert not list(h.due_pages(RESEND_MS - 1)) and [e[2] for _, e in h.due_pages(RESEND_MS)] == pages
    h.on_ack(20, KEY, view(3).number, 0)
    h.on_ack(21, KEY, view(3).number, 1)  # it was not given to that one
    h.on_ack(20, KEY, view(2).number, 1)
    assert [e[2] for _, e in h.due_pages(2 * RESEND_MS)] == pages[1:]
    for page in pages:
        h.on_ack(20, KEY, view(3).number, page)
    assert not h.outgoing
    h = given()
    assert not list(h.due_pages(TERM)) and not h.outgoing


def test_who_has_room_for_one_page_at_a_time_sends_each():
    h = given()
    sent = [next(h.due_pages(50.0 * k))[1][2] for k in range(3)]
    assert sent == [0, 1, 2]


def test_a_view_that_keeps_the_next_home_begins_the_ledger_anew_under_it():
    h = given()
    list(h.due_pages(0.0))
    h.on_ack(20, KEY, view(3).number, 0)
    h.on_view_change(view(3), view(4), lambda key, scope: 20)
    assert {(to, e[1], e[2]) for to, e in h.due_pages(1.0)} == {(20, view(4).number, p) for p in range(3)}


def test_a_ledger_that_another_may_have_goes_to_nobody_else():
    h = given()
    list(h.due_pages(0.0))
    h.on_view_change(view(3), view(4), lambda key, scope: 30)
    assert {(to, e[1]) for to, e in h.due_pages(RESEND_MS)} == {(20, view(3).number)}
    h.on_refused(21, KEY, view(3).number, 30, view(4).number)  # it was not given to that one
    assert h.outgoing[KEY].receiver == 20
    h.on_refused(20, KEY, view(3).number, 30, view(4).number)
    assert {(to, e[1]) for to, e in h.due_pages(RESEND_MS + 1)} == {(30, view(4).number)}


def test_a_ledger_of_which_a_page_was_never_sent_goes_to_the_next_at_once():
    h = given()
    next(h.due_pages(0.0))
    h.on_view_change(view(3), view(4), lambda key, scope: 30)
    assert {(to, e[1]) for to, e in h.due_pages(1.0)} == {(30, view(4).number)}


@pytest.mark.parametrize("new", [view(5), view(4, 2), view(3), view(2)])
def test_a_view_that_may_have_been_left_out_ends_it(new):
    h = given()
    h.on_view_change(view(3), new, lambda key, scope: 20)
    assert bool(h.outgoing) == follows(new, view(3)) == (new.number >> SEED_BITS == 4)


def test_what_is_kept_is_bounded():
    h = Handoffs(2, TERM)
    assert [h.start(k, SCOPE, 20, 8, ROWS, 0, TERM) for k in range(3)] == [True, True, False]
    for k in range(9):
        h.on_page(0.0, 10, k, 8, 0, 2, [])
    assert len(h.incoming) == 4
    h.on_view_change(view(3), view(4), lambda key, scope: 20)
    assert [h.on_page(0.0, 10, k, 8, 0, 1, []) for k in range(6)] == [[], [], [], [], None, None]
    assert (
        h.on_page(2 * TERM, 10, 5, 8, 0, 1, []) == [] and len(h.received) == 1
    )  # nobody needs word of the others any more
    with pytest.raises(ValueError):
        h.on_page(0.0, 10, KEY, 8, MAX_PAGES, MAX_PAGES + 1, [])
