"""Slot assignment, stored views and the leader lease acceptor."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from rushweir.fleet.drift import MAX_CLOCK_DRIFT, max_under_drift, min_under_drift
from rushweir.fleet.leader_lease import LeaseAcceptor
from rushweir.fleet.view_manager import Pages, StoredViewError, apply_changes, changed_slots, pack_view, unpack_view
from rushweir.fleet.views import ACTIVE, LOST, Slot, SlotRequest, View, assign_slots, next_view_number, unpack_slot

SLOT_COUNT = 6


def place(k: int):
    return f"10.0.0.{k}", 7946


MEMBERS = st.tuples(st.integers(1, 9), st.sampled_from([ACTIVE, LOST]))
SLOTS = st.dictionaries(st.integers(0, SLOT_COUNT - 1), MEMBERS, max_size=6)
slots_of = lambda d: {n: Slot(i * 100 + n, place(i * 10 + n), s) for n, (i, s) in d.items()}  # noqa: E731
REQUESTS = st.lists(st.tuples(st.integers(1, 60), st.integers(1, 60), st.integers(-1, SLOT_COUNT)), max_size=8)


@settings(max_examples=1000, deadline=None)
@given(
    SLOTS,
    REQUESTS,
    st.sets(st.integers(0, SLOT_COUNT - 1)),
    st.sets(st.integers(0, SLOT_COUNT - 1)),
    st.integers(1, 20),
)
@example({3: (2, LOST)}, [(1, 23, 0), (2, 1, 3)], set(), set(), 3)  # a successor takes another slot
def test_slots_are_assigned_once_and_lost_slots_to_nobody_else(given_, requests, left, freed, changes):
    slots = slots_of(given_)
    gone = {slots[n].id for n in left if n in slots}
    distinct_requests = list({i: SlotRequest(i, place(a), n) for i, a, n in requests}.values())
    new, refused = assign_slots(slots, SLOT_COUNT, distinct_requests, gone, [], freed, changes)
    ids, addresses = [s.id for s in new.values()], [s.address for s in new.values()]
    assert len(set(ids)) == len(ids) and len(set(addresses)) == len(addresses)
    is_full = len(changed_slots(View(0, slots), View(0, new))) >= changes  # the rest waits for the next view
    assert all(0 <= n < SLOT_COUNT for n in new) and (is_full or not gone & set(ids))
    for n, s in slots.items():
        if s.state == LOST and n not in freed and s.id not in gone and n in new:
            assert new[n] == s or new[n].address == s.address or new[n].id == s.id
    for request in distinct_requests:
        if request.slot >= SLOT_COUNT and request.id not in gone:
            succeeded = any(x.address == request.address and x.id != request.id for x in distinct_requests)
            assert is_full or request.id in refused or request.id in ids or succeeded


def test_successor_at_same_address_takes_over_slot():
    slots = {2: Slot(5, place(1), LOST)}
    new, refused = assign_slots(slots, SLOT_COUNT, [SlotRequest(6, place(1))], [], [], [], 9)
    assert new == {2: Slot(6, place(1))} and not refused


def test_silent_member_keeps_its_slot_until_freed():
    slots = {0: Slot(5, place(1))}
    lost, _ = assign_slots(slots, 1, [SlotRequest(6, place(2))], [], [5], [], 9)
    assert lost == {0: Slot(5, place(1), LOST)}
    same, refused = assign_slots(lost, 1, [SlotRequest(6, place(2))], [], [5], [], 9)
    assert same == lost and "taken" in refused[6]
    assert assign_slots(lost, 1, [SlotRequest(6, place(2))], [], [5], [0], 9)[0] == {0: Slot(6, place(2))}
    assert assign_slots(lost, 1, [SlotRequest(5, place(1))], [], [], [], 9)[0] == {0: Slot(5, place(1))}  # it is back


def test_request_for_occupied_or_unknown_slot_is_refused_with_reason():
    _, refused = assign_slots(
        {3: Slot(5, place(1))}, SLOT_COUNT, [SlotRequest(6, place(2), 3), SlotRequest(7, place(3), 9)], [], [], [], 9
    )
    assert refused == {6: "slot 3 is that of 10.0.0.1:7946, seated", 7: "slots go up to 5"}


@settings(max_examples=100, deadline=None)
@given(SLOTS, SLOTS)
def test_changes_transform_views_and_files_round_trip(old, new):
    a, b = View(8, slots_of(old)), View(16, slots_of(new))
    assert apply_changes(a, 16, changed_slots(a, b)) == b and unpack_view(pack_view(b)) == b
    assert apply_changes(View(), 16, changed_slots(View(), b)).digest() == b.digest()


def test_seeds_never_share_view_numbers():
    first, second = next_view_number(0, 0), next_view_number(0, 1)
    assert (
        first != second
        and next_view_number(second, 0) > second > 0
        and next_view_number(next_view_number(first, 2), 0) > first
    )


def test_torn_or_altered_view_file_raises():
    data = pack_view(View(9, {1: Slot(5, place(1))}))
    for bad in (b"", data[:-2], b"\x93\x01\x02\x90\x00", b"\x93\x02" + data[2:], b"text"):
        try:
            unpack_view(bad)
        except StoredViewError:
            continue
        raise AssertionError(bad)


def test_malformed_slot_is_none():
    assert (
        unpack_slot(b"") is None and unpack_slot(b"\x94\x01\x02\x03\x04") is None and unpack_slot(b"nonsense") is None
    )


def test_pages_are_collected_in_any_order_of_one_view_only():
    pages = Pages()
    assert pages.add(8, 1, 3, ["b"]) is None and pages.add(8, 2, 3, ["c"]) is None
    assert pages.add(16, 0, 1, ["x"]) == ["x"]
    assert pages.add(8, 0, 3, ["a"]) is None and pages.add(8, 1, 3, ["b"]) is None
    assert pages.add(8, 2, 3, ["c"]) == ["a", "b", "c"]
    assert pages.add(8, 5, 3, []) is None


def test_acceptor_grants_one_lease_at_a_time_and_none_after_start():
    acceptor = LeaseAcceptor(0.0, 3000.0)
    assert acceptor.prepare(3000.0, 8) is None and acceptor.propose(10.0, 8, 5) is None
    now = max_under_drift(3000.0) + 1
    assert acceptor.prepare(now, 8) == (True, 0) and acceptor.propose(now, 8, 5) is True
    assert acceptor.prepare(now, 17) == (True, 5)  # ballot 17 learns the holder and may not proceed
    assert acceptor.prepare(now, 16) == (False, 0) and acceptor.propose(now, 8, 6) is False
    assert acceptor.prepare(now + 3000.0, 24) == (True, 0)
    assert acceptor.propose(now + 3000.0, 24, 6) is True and acceptor.current_holder(now + 5000.0) == 6
    acceptor.release(5)
    assert acceptor.current_holder(now + 5000.0) == 6
    acceptor.release(6)
    assert acceptor.current_holder(now + 5000.0) == 0


def test_lease_expires_at_its_holder_before_its_granter():
    for slow, fast in ((1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT), (1 + MAX_CLOCK_DRIFT, 1 - MAX_CLOCK_DRIFT)):
        assert (
            min_under_drift(1000.0) / slow <= 1000.0 / fast + 1e-9
            and max_under_drift(1000.0) / fast >= 1000.0 / slow - 1e-9
        )
