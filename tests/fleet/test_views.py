"""Who gets which number, and who decides: pure functions and votes."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from rushweir.fleet.drift import MAX_CLOCK_DRIFT, max_under_drift, min_under_drift
from rushweir.fleet.leader_lease import LeaseAcceptor
from rushweir.fleet.view_manager import Pages, StoredViewError, apply_changes, changed_slots, pack_view, unpack_view
from rushweir.fleet.views import ACTIVE, LOST, Slot, SlotRequest, View, assign_slots, next_view_number, unpack_slot

MOST = 6


def place(k: int):
    return f"10.0.0.{k}", 7946


HOLDERS = st.tuples(st.integers(1, 9), st.sampled_from([ACTIVE, LOST]))
SEATS = st.dictionaries(st.integers(0, MOST - 1), HOLDERS, max_size=6)
seats_of = lambda d: {n: Slot(i * 100 + n, place(i * 10 + n), s) for n, (i, s) in d.items()}  # noqa: E731
WISHES = st.lists(st.tuples(st.integers(1, 60), st.integers(1, 60), st.integers(-1, MOST)), max_size=8)


@settings(max_examples=1000, deadline=None)
@given(SEATS, WISHES, st.sets(st.integers(0, MOST - 1)), st.sets(st.integers(0, MOST - 1)), st.integers(1, 20))
@example({3: (2, LOST)}, [(1, 23, 0), (2, 1, 3)], set(), set(), 3)  # a successor takes another number
def test_seats_are_each_given_once_and_lost_ones_to_nobody(given_, wishes, left, freed, changes):
    seats = seats_of(given_)
    gone = {seats[n].id for n in left if n in seats}
    asked = list({i: SlotRequest(i, place(a), n) for i, a, n in wishes}.values())
    new, refused = assign_slots(seats, MOST, asked, gone, [], freed, changes)
    ids, addresses = [s.id for s in new.values()], [s.address for s in new.values()]
    assert len(set(ids)) == len(ids) and len(set(addresses)) == len(addresses)
    many = len(changed_slots(View(0, seats), View(0, new))) >= changes  # the rest waits for the next view
    assert all(0 <= n < MOST for n in new) and (many or not gone & set(ids))
    for n, s in seats.items():
        if s.state == LOST and n not in freed and s.id not in gone and n in new:
            assert new[n] == s or new[n].address == s.address or new[n].id == s.id
    for w in asked:
        if w.slot >= MOST and w.id not in gone:
            succeeded = any(x.address == w.address and x.id != w.id for x in asked)
            assert many or w.id in refused or w.id in ids or succeeded


def test_a_successor_at_the_same_address_takes_the_number_over():
    seats = {2: Slot(5, place(1), LOST)}
    new, refused = assign_slots(seats, MOST, [SlotRequest(6, place(1))], [], [], [], 9)
    assert new == {2: Slot(6, place(1))} and not refused


def test_a_silent_one_keeps_its_number_until_it_is_freed():
    seats = {0: Slot(5, place(1))}
    lost, _ = assign_slots(seats, 1, [SlotRequest(6, place(2))], [], [5], [], 9)
    assert lost == {0: Slot(5, place(1), LOST)}
    same, refused = assign_slots(lost, 1, [SlotRequest(6, place(2))], [], [5], [], 9)
    assert same == lost and "taken" in refused[6]
    assert assign_slots(lost, 1, [SlotRequest(6, place(2))], [], [5], [0], 9)[0] == {0: Slot(6, place(2))}
    assert assign_slots(lost, 1, [SlotRequest(5, place(1))], [], [], [], 9)[0] == {0: Slot(5, place(1))}  # it is back


def test_a_number_that_another_has_is_refused_by_its_holder():
    _, refused = assign_slots(
        {3: Slot(5, place(1))}, MOST, [SlotRequest(6, place(2), 3), SlotRequest(7, place(3), 9)], [], [], [], 9
    )
    assert refused == {6: "slot 3 is that of 10.0.0.1:7946, seated", 7: "slots go up to 5"}


@settings(max_examples=100, deadline=None)
@given(SEATS, SEATS)
def test_changes_make_one_view_into_the_other_and_files_keep_them(old, new):
    a, b = View(8, seats_of(old)), View(16, seats_of(new))
    assert apply_changes(a, 16, changed_slots(a, b)) == b and unpack_view(pack_view(b)) == b
    assert apply_changes(View(), 16, changed_slots(View(), b)).digest() == b.digest()


def test_numbers_of_views_are_never_shared_by_seeds():
    first, second = next_view_number(0, 0), next_view_number(0, 1)
    assert (
        first != second
        and next_view_number(second, 0) > second > 0
        and next_view_number(next_view_number(first, 2), 0) > first
    )


def test_a_file_that_is_torn_or_altered_is_refused():
    data = pack_view(View(9, {1: Slot(5, place(1))}))
    for bad in (b"", data[:-2], b"\x93\x01\x02\x90\x00", b"\x93\x02" + data[2:], b"text"):
        try:
            unpack_view(bad)
        except StoredViewError:
            continue
        raise AssertionError(bad)


def test_a_seat_that_is_none():
    assert (
        unpack_slot(b"") is None and unpack_slot(b"\x94\x01\x02\x03\x04") is None and unpack_slot(b"nonsense") is None
    )


def test_pages_come_in_any_order_and_of_one_view_only():
    p = Pages()
    assert p.add(8, 1, 3, ["b"]) is None and p.add(8, 2, 3, ["c"]) is None
    assert p.add(16, 0, 1, ["x"]) == ["x"]
    assert p.add(8, 0, 3, ["a"]) is None and p.add(8, 1, 3, ["b"]) is None
    assert p.add(8, 2, 3, ["c"]) == ["a", "b", "c"]
    assert p.add(8, 5, 3, []) is None


def test_a_vote_is_given_to_one_at_a_time_and_to_nobody_after_a_start():
    v = LeaseAcceptor(0.0, 3000.0)
    assert v.prepare(3000.0, 8) is None and v.propose(10.0, 8, 5) is None
    now = max_under_drift(3000.0) + 1
    assert v.prepare(now, 8) == (True, 0) and v.propose(now, 8, 5) is True
    assert v.prepare(now, 17) == (True, 5)  # 17 learns who has it, and may not go on
    assert v.prepare(now, 16) == (False, 0) and v.propose(now, 8, 6) is False
    assert v.prepare(now + 3000.0, 24) == (True, 0)
    assert v.propose(now + 3000.0, 24, 6) is True and v.current_holder(now + 5000.0) == 6
    v.release(5)
    assert v.current_holder(now + 5000.0) == 6
    v.release(6)
    assert v.current_holder(now + 5000.0) == 0


def test_a_right_is_over_where_it_was_given_to_before_it_is_over_where_it_came_from():
    for slow, fast in ((1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT), (1 + MAX_CLOCK_DRIFT, 1 - MAX_CLOCK_DRIFT)):
        assert (
            min_under_drift(1000.0) / slow <= 1000.0 / fast + 1e-9
            and max_under_drift(1000.0) / fast >= 1000.0 / slow - 1e-9
        )
